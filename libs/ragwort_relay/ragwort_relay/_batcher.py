"""Batching of pieces from many requests into calls to a stage service.

A call has a high fixed cost, so that many small calls could not keep up with
a burst. One host therefore batches the pieces of all hosts and sends each
runner one full call at a time.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import itertools
import math
import types

import msgspec

from ragwort_relay import _fleet
from ragwort_relay import _order
from ragwort_relay import _pieces
from ragwort_relay import _routes
from ragwort_relay import _storage
from ragwort_relay import _waits

# An idle slow runner gets a call only if it would finish at most this share
# later than the busy runners.
SLOW_RUNNER_TOLERANCE = 0.3
# Share of a group's slack that may go into waiting for a local runner.
LOCAL_WAIT_SLACK_SHARE = 0.25
# Weight of a new call in the mean batch size.
BATCH_SIZE_WEIGHT = 0.1
# Weight of a new call in the size of recent calls: a service under load makes
# some 30 calls a second, and a burst fills them within a few tenths of one.
RECENT_SIZE_WEIGHT = 0.2
# Downstream queueing time above which late groups are held back: their
# results would only wait there and occupy storage.
MAX_DOWNSTREAM_WAIT_S = 0.15
# Time from the end of a call at this host to its reply at the asking host.
REPLY_DELAY_S = 0.03


class _DraftCall(msgspec.Struct):
    """A call to an idle runner whose pieces are still being chosen."""

    runner: _fleet.FleetRunner
    free_bytes: float
    pieces: list[_pieces.QueuedPiece] = msgspec.field(default_factory=list)

    @property
    def failure_domain(self) -> str:
        return self.runner.entry.runner.failure_domain

    def holds(self, group: _pieces.PieceGroup) -> bool:
        return any(piece.group is group for piece in self.pieces)

    def add(self, piece: _pieces.QueuedPiece) -> None:
        self.pieces.append(piece)
        self.free_bytes -= piece.group.result_bytes


class _DispatchOrder(enum.IntEnum):
    """Order of pieces for an idle runner; the queue's order breaks ties.

    Local pieces, whose inputs or readers are in the runner's failure
    domain, go before pieces that can wait for another call.
    """

    URGENT = 0
    TIMELY_LOCAL = 1
    TIMELY = 2
    LATE_LOCAL = 3
    LATE = 4


class Batcher:
    """Queue of pieces for one service, and the calls under way."""

    def __init__(
        self,
        limits: _routes.BatchLimits,
        choose_timely: _order.ChooseTimely = _order.timely_groups,
        owned_since: float = -math.inf,
    ) -> None:
        """Start with an empty queue and no calls, see ResultStorage."""
        self.limits = limits
        self.choose_timely = choose_timely
        self.queue: list[_pieces.QueuedPiece] = []
        self.timely: set[str] = set()
        self.timely_due: list[float] = []
        self.mean_batch_size = float(limits.max_pieces)
        self.recent_size = 1.0
        self.calls: dict[int, _pieces.BatchCall] = {}
        self.call_ids = itertools.count(1)
        self.storage = _storage.ResultStorage(limits, owned_since)

    def add(self, group: _pieces.PieceGroup) -> None:
        """Queue the pieces of a group."""
        self.queue += [_pieces.QueuedPiece(group, work) for work in group.work]
        self.timely_due += [_order.due_at(group)] * len(group.work)

    def drop(self, group_id: str) -> int:
        """Remove the queued pieces of a cancelled group; return how many."""
        before = len(self.queue)
        self.queue = [
            piece for piece in self.queue if piece.group.group_id != group_id
        ]
        return before - len(self.queue)

    def remove_without_inputs(self, now: float) -> list[_pieces.QueuedPiece]:
        """Remove and return the pieces whose inputs have expired.

        A call would come back without their results.
        """
        gone = [p for p in self.queue if p.group.inputs_expire_at <= now]
        if gone:
            self.queue = [
                p for p in self.queue if p.group.inputs_expire_at > now
            ]
        return gone

    def remove_too_late(
        self, runners: Sequence[_fleet.FleetRunner], now: float
    ) -> list[_pieces.QueuedPiece]:
        """Remove and return the groups that can't meet their deadlines.

        Removing them at once lets the groups behind them move up. A group
        is removed as a whole, since a part of its results is of no use.
        """
        throughput = self._sort_queue(runners, now)
        min_call_s = self.limits.duration_s(1)
        remaining: list[_pieces.QueuedPiece] = []
        too_late: list[_pieces.QueuedPiece] = []
        for _, found in itertools.groupby(
            self.queue, key=lambda piece: piece.group.group_id
        ):
            pieces = list(found)
            start_s = (
                throughput.start_delay_s(len(remaining) + len(pieces))
                if runners
                else 0.0
            )
            is_late = now + start_s + min_call_s > pieces[0].group.deadline_at
            (too_late if is_late else remaining).extend(pieces)
        self.queue = remaining
        return too_late

    def next_calls(
        self,
        runners: Sequence[_fleet.FleetRunner],
        now: float,
        queued_s: Mapping[str, float] = types.MappingProxyType({}),
    ) -> list[_pieces.BatchCall]:
        """Return the calls to send now, the most urgent pieces first.

        queued_s is the time that the queue of each service takes to start.
        """
        self.storage.expire(now)
        usable = {runner.name: runner for runner in runners}
        idle = self._idle_runners(runners)
        if not self.queue or not idle:
            return []
        self._sort_queue(runners, now)
        drafts = [
            _DraftCall(runner, self.storage.free_bytes(runner.name, now))
            for runner in sorted(idle, key=lambda r: (r.slowness, r.name))
            if self._is_worthwhile(runner, usable, now)
        ]
        domains = {draft.failure_domain for draft in drafts}
        self.queue.sort(
            key=lambda piece: self._dispatch_order(piece, domains, now)
        )
        waiting: list[_pieces.QueuedPiece] = []
        for piece in self.queue:
            chosen = None
            if not self._is_held_back(piece.group, queued_s):
                chosen = self._choose_draft(piece, drafts, usable, now)
            if chosen is None:
                waiting.append(piece)
            else:
                chosen.add(piece)
        self.queue = waiting
        self._update_mean_batch_size(drafts)
        self._update_recent_size(drafts)
        return [
            self._create_call(draft, now) for draft in drafts if draft.pieces
        ]

    def set_limits(self, limits: _routes.BatchLimits) -> None:
        """Take over limits from a newer configuration."""
        self.limits = self.storage.limits = limits

    def _update_mean_batch_size(self, drafts: list['_DraftCall']) -> None:
        """Learn how full calls get while timely pieces are left over.

        Limited storage and groups that are not split leave calls partly
        empty, which lowers the throughput of the queue.
        """
        left = sum(p.group.group_id in self.timely for p in self.queue)
        if left < self.limits.max_pieces:
            return
        for draft in drafts:
            if draft.pieces:
                difference = len(draft.pieces) - self.mean_batch_size
                self.mean_batch_size += BATCH_SIZE_WEIGHT * difference

    def _update_recent_size(self, drafts: list['_DraftCall']) -> None:
        for draft in drafts:
            if draft.pieces:
                difference = len(draft.pieces) - self.recent_size
                self.recent_size += RECENT_SIZE_WEIGHT * difference

    def _call_s(self, runners: Sequence[_fleet.FleetRunner]) -> float:
        """Return the time of a call that waits for a busy runner.

        It will hold pieces of other requests too, as recent calls did.
        """
        if self._idle_runners(runners):
            return 0.0
        size = min(math.ceil(self.recent_size), self.limits.max_pieces)
        slowness = sum(r.slowness for r in runners) / len(runners)
        return self.limits.duration_s(size) * slowness

    def _dispatch_order(
        self, piece: _pieces.QueuedPiece, domains: set[str], now: float
    ) -> _DispatchOrder:
        """Return the order of a piece for idle runners in some domains."""
        group = piece.group
        is_local = group.failure_domain in domains
        if group.sends:
            return _DispatchOrder.URGENT
        if group.group_id not in self.timely:
            return (
                _DispatchOrder.LATE_LOCAL if is_local else _DispatchOrder.LATE
            )
        call_s = self.limits.duration_s(self.limits.max_pieces)
        if group.slack_s(now, call_s) < call_s:
            return _DispatchOrder.URGENT
        return (
            _DispatchOrder.TIMELY_LOCAL if is_local else _DispatchOrder.TIMELY
        )

    def _idle_runners(
        self, runners: Iterable[_fleet.FleetRunner]
    ) -> list[_fleet.FleetRunner]:
        busy = {call.runner.name for call in self.calls.values()}
        return [runner for runner in runners if runner.name not in busy]

    def _is_held_back(
        self, group: _pieces.PieceGroup, queued_s: Mapping[str, float]
    ) -> bool:
        """Tell whether a late group waits for shorter downstream queues."""
        if group.sends or group.group_id in self.timely:
            return False
        return any(
            queued_s.get(service, 0.0) > MAX_DOWNSTREAM_WAIT_S
            for service in group.next_services
        )

    def _throughput(
        self, runners: Sequence[_fleet.FleetRunner]
    ) -> _order.Throughput:
        """Return how fast the runners take queued pieces."""
        limits = self.limits
        count = max(len(runners), 1)
        slowness = sum(r.slowness for r in runners) / count if runners else 1.0
        batch_size = min(max(self.mean_batch_size, 1.0), limits.max_pieces)
        batch_s = limits.duration_s(math.ceil(batch_size)) * slowness
        idle = len(self._idle_runners(runners))
        size = min(
            math.ceil(len(self.queue) / max(idle, 1)), limits.max_pieces
        )
        return _order.Throughput(
            int(idle * batch_size),
            len(runners) * batch_size / batch_s,
            limits.duration_s(size) * slowness,
        )

    def _sort_queue(
        self, runners: Sequence[_fleet.FleetRunner], now: float
    ) -> _order.Throughput:
        """Sort the queue and return its throughput."""
        throughput = self._throughput(runners)
        self.timely = self.choose_timely(self.queue, throughput, now)
        self.timely_due = [
            -math.inf if piece.group.sends else _order.due_at(piece.group)
            for piece in self.queue
            if piece.group.sends or piece.group.group_id in self.timely
        ]
        self.queue.sort(key=self._sort_key)
        return throughput

    def _choose_draft(
        self,
        piece: _pieces.QueuedPiece,
        drafts: list['_DraftCall'],
        usable: dict[str, _fleet.FleetRunner],
        now: float,
    ) -> '_DraftCall | None':
        """Return the call for a piece, None if it should wait.

        Moving results across failure domains is slow and costly, so that a
        piece with slack waits for a local runner.
        """
        group = piece.group
        candidates = [draft for draft in drafts if self._fits(draft, group)]
        if not candidates:
            return None
        domain = group.failure_domain
        local = [c for c in candidates if c.failure_domain == domain]
        if local:
            return local[0]
        wait_s = self._local_wait_s(domain, usable, now)
        work_s = self.limits.duration_s(self.limits.max_pieces)
        if wait_s < LOCAL_WAIT_SLACK_SHARE * group.slack_s(now, work_s):
            return None
        # Pieces of one request stay together: they share their inputs.
        shared = [c for c in candidates if c.holds(group)]
        return (
            shared[0]
            if shared
            else max(candidates, key=lambda c: len(c.pieces))
        )

    def _fits(self, draft: '_DraftCall', group: _pieces.PieceGroup) -> bool:
        """Tell whether a call can take a piece of a group.

        A group starts only in a call that can hold all of it, or as much
        of it as any call can.
        """
        if not group.admits(draft.failure_domain):
            return False
        free = self.limits.max_pieces - len(draft.pieces)
        if free < 1 or draft.free_bytes < group.result_bytes:
            return False
        if group.sends or draft.holds(group):
            return True
        needed = min(len(group.work), self.limits.max_pieces)
        return free >= needed and (
            draft.free_bytes >= needed * group.result_bytes
        )

    def _local_wait_s(
        self,
        domain: str,
        usable: dict[str, _fleet.FleetRunner],
        now: float,
    ) -> float:
        """Return the time until a busy runner of a failure domain is free."""
        return min(
            (
                max(call.sent_at + call.expected_s - now, 0.0)
                for call in self.calls.values()
                if call.runner.name in usable
                and call.runner.entry.runner.failure_domain == domain
            ),
            default=math.inf,
        )

    def _sort_key(
        self, piece: _pieces.QueuedPiece
    ) -> tuple[bool, bool, float, str, int, int]:
        """Return the sort key: started groups, then timely, then late ones."""
        group = piece.group
        is_late = group.group_id not in self.timely
        due = group.deadline_at if is_late else group.target_at
        work = piece.work
        return (
            not group.sends,
            is_late,
            due + _order.SLACK_PER_RANK_S * group.rank,
            work.request_id,
            work.stage,
            work.piece,
        )

    def _is_worthwhile(
        self,
        runner: _fleet.FleetRunner,
        usable: dict[str, _fleet.FleetRunner],
        now: float,
    ) -> bool:
        """Tell whether an idle runner finishes about as soon as busy ones."""
        count = min(len(self.queue), self.limits.max_pieces)
        typical_s = self.limits.duration_s(count)
        finish_s = typical_s * runner.slowness
        others_finish_s = [
            call.sent_at
            + call.expected_s
            - now
            + typical_s * call.runner.slowness
            for call in self.calls.values()
            if call.runner.name in usable
        ]
        # The full calls ahead in the queue go to the busy runners first.
        ahead = len(self.queue) // max(self.limits.max_pieces, 1)
        others_finish_s.sort()
        if ahead >= len(others_finish_s):
            return True
        return finish_s <= max(others_finish_s[ahead], typical_s) * (
            1 + SLOW_RUNNER_TOLERANCE
        )

    def _create_call(
        self, draft: '_DraftCall', now: float
    ) -> _pieces.BatchCall:
        runner = draft.runner
        typical_s = self.limits.duration_s(len(draft.pieces))
        call = _pieces.BatchCall(
            next(self.call_ids),
            runner,
            draft.pieces,
            now,
            typical_s * runner.slowness,
        )
        self.calls[call.call_id] = call
        self.storage.occupy(runner.name, call.result_bytes)
        return call

    def on_answer(
        self, call: _pieces.BatchCall, handles: list[str | None], now: float
    ) -> None:
        """Record a call's answer: a handle or None for each piece."""
        self.calls.pop(call.call_id, None)
        runner = call.runner
        typical_s = self.limits.duration_s(len(call.pieces))
        ratio = max((now - call.sent_at) / typical_s, 1.0)
        runner.slowness += 0.5 * (ratio - runner.slowness)
        for piece, handle in zip(call.pieces, handles, strict=True):
            if handle is None:
                self.storage.occupy(runner.name, -piece.group.result_bytes)
            else:
                size = piece.group.result_bytes
                self.storage.store(handle, runner.name, size, now)

    def on_failure(self, call: _pieces.BatchCall) -> None:
        """Remove a call that got no usable answer."""
        self.calls.pop(call.call_id, None)
        self.storage.occupy(call.runner.name, -call.result_bytes)

    def queue_wait(
        self, runners: Sequence[_fleet.FleetRunner], now: float
    ) -> _waits.QueueWait:
        """Return how long new pieces will wait before their calls start."""
        if not runners:
            return _waits.QueueWait((), 0.0, now)
        throughput = self._throughput(runners)
        due = sorted(self.timely_due)
        ahead = [
            bisect.bisect_right(due, now + point)
            for point in _waits.DUE_POINTS_S
        ]
        return _waits.QueueWait(
            tuple(throughput.start_delay_s(pieces + 1) for pieces in ahead),
            throughput.start_delay_s(len(self.queue) + 1),
            now,
            self._call_s(runners),
        )
