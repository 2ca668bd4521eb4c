"""Reading the store: a few watchers, seldom polls by everybody else."""

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
COLD_LIST_JITTER_S = 3.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


class Watcher:
    """Decide when to list, watch or poll the store.

    An elected watcher keeps one watch open. Others list only if no peer
    brought them a full state, and poll seldom.
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
        self.not_before = now
        self.cold_list_at = (
            now + PEER_GRACE_S + rng.uniform(0, COLD_LIST_JITTER_S)
        )
        self.next_poll = now + self._poll_delay()

    def _poll_delay(self) -> float:
        return POLL_INTERVAL_S * self.rng.uniform(0.75, 1.25)

    def tick(self, now: float, elected: bool) -> list[model.StoreCall]:
        """Return the store call due now, if any."""
        if self.has_listed and now >= self.started_at + PEER_GRACE_S:
            self.replica.synced = True
        if self.pending_op is not None or now < self.not_before:
            return []
        if elected:
            # Right after an outage a watch that returns at once tells that
            # the store is back; one that waits would tell with its events.
            wait_s = 0.0 if self.is_store_unavailable else WATCH_WAIT_S
            return [self._watch(wait_s) if self.has_listed else self._list()]
        if not self.replica.synced and now >= self.cold_list_at:
            return [] if self.has_listed else [self._list()]
        if self.replica.synced and now >= self.next_poll:
            self.next_poll = now + self._poll_delay()
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
        """Merge what a call brought and return the objects adopted."""
        self.pending_op = None
        if result.status == model.StoreStatus.GONE:
            self.has_listed = False
            return []
        if result.status != model.StoreStatus.OK:
            self.not_before = now + self.backoff_s * self.rng.uniform(0.5, 1)
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
