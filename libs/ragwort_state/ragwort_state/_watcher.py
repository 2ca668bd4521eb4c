"""Reads of the store: watches by elected nodes, rare polls by others."""

from collections.abc import Sequence
import math
import random
from typing import Any

import msgspec

import ragwort_model as model
from ragwort_state import _era
from ragwort_state import _replica

LIST_OP = 'config:list'
WATCH_OP = 'config:watch'
# Longest wait of a watch, whatever the number of watchers.
MAX_WATCH_WAIT_S = 20.0
# Time after which a watch without an answer is given up. The store answers in
# a few ms at the end of the wait.
WATCH_OVERDUE_S = 0.5
POLL_INTERVAL_S = 60.0
PEER_GRACE_S = 2.0
# Time from the start until a node knows the fleet, and with it whether it is
# among those that watch. Its list holds what changed before.
FIRST_WATCH_S = 0.5
FALLBACK_LIST_JITTER_S = 3.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
# With two watchers a region, a lost answer is found well within the 11 s in
# which a change has to be in force.
DEFAULT_RENEWAL_S = 4.0
# In a new era all watchers list at once; the delay spreads their calls.
RELIST_JITTER_S = 0.3


class WatchTurn(msgspec.Struct, frozen=True):
    """A watcher's place, counted from 0, among those that watch with it."""

    index: int = 0
    count: int = 1

    @classmethod
    def of(cls, name: str, watchers: Sequence[str]) -> 'WatchTurn':
        """Return a node's turn; one that is not listed comes last."""
        if name in watchers:
            return cls(watchers.index(name), len(watchers))
        return cls(len(watchers), len(watchers) + 1)


class Watcher:
    """Decide when to list, watch or poll the store.

    An elected watcher keeps one watch open. Other nodes list only if no
    peer has sent them the full state, and poll rarely. In a new era of the
    store, a watch from an earlier revision would miss changes, so that the
    watcher lists again; until then the earlier objects stay in force.

    A watch whose answer is lost brings nothing more. Therefore one watcher
    opens its watch anew every renewal_s seconds, in turn, and its peers hear
    what it finds. All count the turns from the last change, which ended the
    watches of all at once.
    """

    def __init__(
        self,
        replica: _replica.Replica[Any],
        store_era: _era.StoreEra,
        rng: random.Random,
        now: float,
        prefix: str = _replica.CONFIG_PREFIX,
        max_backoff_s: float = MAX_BACKOFF_S,
        renewal_s: float = DEFAULT_RENEWAL_S,
    ) -> None:
        """Start with nothing read of the objects below prefix."""
        self.replica = replica
        self.store_era = store_era
        self.era = store_era.current
        self.prefix = prefix
        self.max_backoff_s = max_backoff_s
        self.renewal_s = renewal_s
        self.watch_overdue_at: float | None = None
        self.overdue_count = 0
        self.is_store_unavailable = False
        self.rng = rng
        self.started_at = now
        self.revision = 0
        self.has_listed = False
        replica.unlisted.add(prefix)
        self.op_count = 0
        self.pending_op: str | None = None
        self.backoff_s = MIN_BACKOFF_S
        self.next_call_at = now
        self.fallback_list_at = (
            now + PEER_GRACE_S + rng.uniform(0, FALLBACK_LIST_JITTER_S)
        )
        self.next_poll_at = now + self._poll_delay()

    def _poll_delay(self) -> float:
        return POLL_INTERVAL_S * self.rng.uniform(0.75, 1.25)

    def tick(
        self, now: float, turn: WatchTurn | None
    ) -> list[model.StoreCall]:
        """Return the store call due now, if any.

        turn is None for a node that is not elected to watch.
        """
        is_listed = not self.replica.unlisted
        if is_listed and now >= self.started_at + PEER_GRACE_S:
            self.replica.synced = True
        if self.era < self.store_era.current:
            self._enter_era(now)
        is_overdue = self._give_up_overdue_watch(now)
        if self.pending_op is not None or now < self.next_call_at:
            return []
        if turn is not None:
            # After an outage, a watch that returns at once shows that the
            # store is back; a waiting one shows it only with its result.
            is_doubtful = is_overdue or self.is_store_unavailable
            wait_s = 0.0 if is_doubtful else self._wait_s(turn, now)
            if not self._can_watch:
                return [self._list()]
            if now < self.started_at + FIRST_WATCH_S:
                return []
            return [self._watch(wait_s, now)]
        if not self.replica.synced and now >= self.fallback_list_at:
            return [] if self.has_listed else [self._list()]
        if self.replica.synced and now >= self.next_poll_at:
            self.next_poll_at = now + self._poll_delay()
            if not self._can_watch:
                return [self._list()]
            return [self._watch(0.0, now)]
        return []

    def _wait_s(self, turn: WatchTurn, now: float) -> float:
        """Return the time until this watcher's next turn to renew."""
        changed_at = self.replica.changed_at.get(self.prefix, self.started_at)
        first_at = changed_at + (turn.index + 1) * self.renewal_s
        round_s = turn.count * self.renewal_s
        rounds = max(math.ceil((now - first_at) / round_s), 0)
        return min(first_at + rounds * round_s - now, MAX_WATCH_WAIT_S)

    def _give_up_overdue_watch(self, now: float) -> bool:
        """Stop waiting for a watch that is overdue; tell whether it was."""
        overdue_at = self.watch_overdue_at
        if overdue_at is None or now < overdue_at:
            return False
        self.watch_overdue_at = None
        self.pending_op = None
        self.overdue_count += 1
        return True

    @property
    def _can_watch(self) -> bool:
        """Tell whether the last list is one of the present era."""
        return self.has_listed and model.era_of(self.revision) == self.era

    def _enter_era(self, now: float) -> None:
        """Plan a new list and stop waiting for a watch of an earlier era."""
        self.era = self.store_era.current
        if self.pending_op is not None and not _is_list(self.pending_op):
            self.pending_op = None
            self.watch_overdue_at = None
        self.next_call_at = now + self.rng.uniform(0, RELIST_JITTER_S)

    def _new_op(self, kind: str) -> str:
        self.op_count += 1
        self.pending_op = f'{kind}#{self.op_count}'
        return self.pending_op

    def _list(self) -> model.StoreCall:
        return model.StoreCall(
            self._new_op(LIST_OP), model.StoreVerb.LIST, self.prefix
        )

    def _watch(self, wait_s: float, now: float) -> model.StoreCall:
        if wait_s:
            self.watch_overdue_at = now + wait_s + WATCH_OVERDUE_S
        return model.StoreCall(
            self._new_op(WATCH_OP),
            model.StoreVerb.WATCH,
            self.prefix,
            since=self.revision,
            wait_s=wait_s,
        )

    def on_store_result(
        self, result: model.StoreResult, now: float
    ) -> list[model.StoredObject]:
        """Merge the objects of a result and return those adopted.

        The result of a call that was given up in the meantime, or that a
        store of an earlier era answered, changes nothing.
        """
        if result.op != self.pending_op:
            return []
        self.pending_op = None
        self.watch_overdue_at = None
        if result.status == model.StoreStatus.GONE:
            self.has_listed = False
            return []
        if result.status == model.StoreStatus.NOT_FOUND and (
            _is_list(result.op)
        ):
            # The store has never held an object of this kind.
            self._on_listed()
        if result.status != model.StoreStatus.OK:
            self.next_call_at = now + self.backoff_s * self.rng.uniform(0.5, 1)
            self.backoff_s = min(2 * self.backoff_s, self.max_backoff_s)
            self.is_store_unavailable = True
            return []
        self.backoff_s = MIN_BACKOFF_S
        self.is_store_unavailable = False
        if _is_list(result.op) and result.era == self.store_era.current:
            self.era = result.era
        if result.era != self.era:
            return []
        if _is_list(result.op):
            self._on_listed()
            adopted = self.replica.merge_list(
                result.objects, result.revision, now, self.prefix
            )
        else:
            adopted = self.replica.merge(result.objects, now)
        self.revision = max(self.revision, result.revision)
        return adopted

    def _on_listed(self) -> None:
        self.has_listed = True
        self.replica.unlisted.discard(self.prefix)


def _is_list(op: str) -> bool:
    return op.startswith(LIST_OP)
