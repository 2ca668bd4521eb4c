"""Reads of the store: watches by elected nodes, rare polls by others."""

import random
from typing import Any

import ragwort_model as model
from ragwort_state import _catalog
from ragwort_state import _replica

LIST_OP = 'config:list'
WATCH_OP = 'config:watch'
WATCH_WAIT_S = 20.0
POLL_INTERVAL_S = 60.0
PEER_GRACE_S = 2.0
FALLBACK_LIST_JITTER_S = 3.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


class Watcher:
    """Decide when to list, watch or poll the store.

    An elected watcher keeps one watch open. Other nodes list only if no
    peer has sent them the full state, and poll rarely.
    """

    def __init__(
        self,
        replica: _replica.Replica[Any],
        rng: random.Random,
        now: float,
        prefix: str = _catalog.CONFIG_PREFIX,
        max_backoff_s: float = MAX_BACKOFF_S,
    ) -> None:
        """Start with nothing read of the objects below prefix."""
        self.replica = replica
        self.prefix = prefix
        self.max_backoff_s = max_backoff_s
        self.is_store_unavailable = False
        self.rng = rng
        self.started_at = now
        self.revision = 0
        self.has_listed = False
        self.pending_op: str | None = None
        self.backoff_s = MIN_BACKOFF_S
        self.next_call_at = now
        self.fallback_list_at = (
            now + PEER_GRACE_S + rng.uniform(0, FALLBACK_LIST_JITTER_S)
        )
        self.next_poll_at = now + self._poll_delay()

    def _poll_delay(self) -> float:
        return POLL_INTERVAL_S * self.rng.uniform(0.75, 1.25)

    def tick(self, now: float, is_elected: bool) -> list[model.StoreCall]:
        """Return the store call due now, if any."""
        if self.has_listed and now >= self.started_at + PEER_GRACE_S:
            self.replica.synced = True
        if self.pending_op is not None or now < self.next_call_at:
            return []
        if is_elected:
            # After an outage, a watch that returns at once shows that the
            # store is back; a waiting one shows it only with its result.
            wait_s = 0.0 if self.is_store_unavailable else WATCH_WAIT_S
            return [self._watch(wait_s) if self.has_listed else self._list()]
        if not self.replica.synced and now >= self.fallback_list_at:
            return [] if self.has_listed else [self._list()]
        if self.replica.synced and now >= self.next_poll_at:
            self.next_poll_at = now + self._poll_delay()
            return [self._watch(0.0) if self.has_listed else self._list()]
        return []

    def _list(self) -> model.StoreCall:
        self.pending_op = LIST_OP
        return model.StoreCall(LIST_OP, model.StoreVerb.LIST, self.prefix)

    def _watch(self, wait_s: float) -> model.StoreCall:
        self.pending_op = WATCH_OP
        return model.StoreCall(
            WATCH_OP,
            model.StoreVerb.WATCH,
            self.prefix,
            since=self.revision,
            wait_s=wait_s,
        )

    def on_store_result(
        self, result: model.StoreResult, now: float
    ) -> list[model.StoredObject]:
        """Merge the objects of a result and return those adopted."""
        self.pending_op = None
        if result.status == model.StoreStatus.GONE:
            self.has_listed = False
            return []
        if result.status != model.StoreStatus.OK:
            self.next_call_at = now + self.backoff_s * self.rng.uniform(0.5, 1)
            self.backoff_s = min(2 * self.backoff_s, self.max_backoff_s)
            self.is_store_unavailable = True
            return []
        self.backoff_s = MIN_BACKOFF_S
        self.is_store_unavailable = False
        if result.op == LIST_OP:
            self.has_listed = True
            adopted = self.replica.merge_list(
                result.objects, result.revision, now, self.prefix
            )
        else:
            adopted = self.replica.merge(result.objects, now)
        self.revision = max(self.revision, result.revision)
        return adopted
