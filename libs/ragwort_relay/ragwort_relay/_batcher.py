"""Gathering the pieces of many requests into calls to a stage service.

Answers bursts beyond what small calls can carry: a call costs much before
its first piece, so that one host gathers the pieces of all hosts and each
runner gets one full call at a time.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum
import itertools
import math

from ragwort_relay import _fleet
from ragwort_relay import _order
from ragwort_relay import _pieces
from ragwort_relay import _routes
from ragwort_relay import _waits

# A runner this much slower than usual gets a call only if the others
# could not have done it by then.
SLOWNESS_WEIGHT = 0.3
# Time to spare beyond the wait for a runner in the wanted failure domain.
NEAR_SLACK_SHARE = 0.25
# Time to send a runner without room only smaller results.
FULL_S = 0.3
# Smallest room that runners tell precisely enough to count by.
MIN_TOLD_ROOM_BYTES = 8e6
# Weight of a new call in the usual size of calls while more pieces wait.
FULL_SIZE_WEIGHT = 0.1
# Queueing time of the services that follow up to which results for requests
# that can only be late are made: more would lie there and take the room.
MAX_FOLLOWING_WAIT_S = 0.15
# Time between the end of a call here and its answer at the asking host.
RETURN_S = 0.03


@dataclasses.dataclass(slots=True)
class _FormingCall:
    """A call to an idle runner while its pieces are chosen."""

    runner: _fleet.FleetRunner
    free_bytes: float
    pieces: list[_pieces.QueuedPiece] = dataclasses.field(default_factory=list)

    @property
    def failure_domain(self) -> str:
        return self.runner.entry.runner.failure_domain

    def holds(self, group: _pieces.PieceGroup) -> bool:
        return any(piece.group is group for piece in self.pieces)

    def add(self, piece: _pieces.QueuedPiece) -> None:
        self.pieces.append(piece)
        self.free_bytes -= piece.group.result_bytes


class _Turn(enum.IntEnum):
    """Order at an idle runner, within which urgency decides.

    Pieces that can wait for another call leave this one to pieces whose
    inputs or readers are in the runner's failure domain.
    """

    PRESSED = 0
    NEAR = 1
    TIMELY = 2
    LATE_NEAR = 3
    LATE = 4


class Batcher:
    """Queue of pieces for one service, and the calls made of it."""

    def __init__(
        self,
        limits: _routes.BatchLimits,
        choose_timely: _order.ChooseTimely = _order.timely_groups,
    ) -> None:
        """Start empty."""
        self.limits = limits
        self.choose_timely = choose_timely
        self.queue: list[_pieces.QueuedPiece] = []
        self.timely: set[str] = set()
        self.timely_due: list[float] = []
        self.full_size = float(limits.max_pieces)
        self.calls: dict[int, _pieces.BatchCall] = {}
        self.call_ids = itertools.count(1)
        self.kept: dict[str, tuple[str, float, float]] = {}
        self.used_bytes: dict[str, float] = {}
        self.full_until: dict[str, tuple[float, float]] = {}
        self.foreign_bytes: dict[str, float] = {}

    def add(self, group: _pieces.PieceGroup) -> None:
        """Queue the pieces of a group."""
        self.queue += [_pieces.QueuedPiece(group, work) for work in group.work]
        self.timely_due += [_order.due_at(group)] * len(group.work)

    def drop(self, group_id: str) -> int:
        """Take out what waits of a group that nobody wants any more."""
        before = len(self.queue)
        self.queue = [
            piece for piece in self.queue if piece.group.group_id != group_id
        ]
        return before - len(self.queue)

    def remove_too_late(
        self, runners: Sequence[_fleet.FleetRunner], now: float
    ) -> list[_pieces.QueuedPiece]:
        """Take out the groups that can't be made before their deadline.

        Those behind them in the queue move up, so that waiting for the
        deadline to pass would help nobody, and a part of a group neither.
        """
        throughput = self._sort(runners, now)
        least_s = self.limits.duration_s(1)
        kept: list[_pieces.QueuedPiece] = []
        hopeless: list[_pieces.QueuedPiece] = []
        for _, found in itertools.groupby(
            self.queue, key=lambda piece: piece.group.group_id
        ):
            pieces = list(found)
            start_s = (
                throughput.start_delay_s(len(kept) + len(pieces))
                if runners
                else 0.0
            )
            is_late = now + start_s + least_s > pieces[0].group.deadline_at
            (hopeless if is_late else kept).extend(pieces)
        self.queue = kept
        return hopeless

    def next_calls(
        self,
        runners: Sequence[_fleet.FleetRunner],
        now: float,
        downstream_wait_s: float = 0.0,
    ) -> list[_pieces.BatchCall]:
        """Return the calls to send now, most urgent pieces first.

        downstream_wait_s is the queueing time of the services that read the
        results.
        """
        self._expire_results(now)
        usable = {runner.name: runner for runner in runners}
        idle = self._idle(runners)
        if not self.queue or not idle:
            return []
        self._sort(runners, now)
        forming = [
            _FormingCall(runner, self._free_bytes(runner, now))
            for runner in sorted(idle, key=lambda r: (r.slowness, r.name))
            if self._is_worth(runner, usable, now)
        ]
        domains = {call.failure_domain for call in forming}
        self.queue.sort(key=lambda piece: self._turn(piece, domains, now))
        waiting: list[_pieces.QueuedPiece] = []
        for piece in self.queue:
            place = None
            if not self._is_held_back(piece.group, downstream_wait_s):
                place = self._place(piece, forming, usable, now)
            if place is None:
                waiting.append(piece)
            else:
                place.add(piece)
        self.queue = waiting
        self._note_sizes(forming)
        return [self._start(call, now) for call in forming if call.pieces]

    def _note_sizes(self, formed: list['_FormingCall']) -> None:
        """Learn how full calls are while timely pieces are left over.

        Room for results and groups that stay whole keep calls from being
        full, and the queue from moving as fast as it could.
        """
        left = sum(p.group.group_id in self.timely for p in self.queue)
        if left < self.limits.max_pieces:
            return
        for call in formed:
            if call.pieces:
                more = len(call.pieces) - self.full_size
                self.full_size += FULL_SIZE_WEIGHT * more

    def _turn(
        self, piece: _pieces.QueuedPiece, domains: set[str], now: float
    ) -> _Turn:
        """Return the turn of a piece at idle runners of some domains."""
        group = piece.group
        is_near = group.failure_domain in domains
        if group.sends:
            return _Turn.PRESSED
        if group.group_id not in self.timely:
            return _Turn.LATE_NEAR if is_near else _Turn.LATE
        full_s = self.limits.duration_s(self.limits.max_pieces)
        if group.slack_s(now, full_s) < full_s:
            return _Turn.PRESSED
        return _Turn.NEAR if is_near else _Turn.TIMELY

    def _idle(
        self, runners: Iterable[_fleet.FleetRunner]
    ) -> list[_fleet.FleetRunner]:
        busy = {call.runner.name for call in self.calls.values()}
        return [runner for runner in runners if runner.name not in busy]

    def _is_held_back(
        self, group: _pieces.PieceGroup, downstream_wait_s: float
    ) -> bool:
        """Tell whether results would only lie in the way of timely ones."""
        if group.sends or group.group_id in self.timely:
            return False
        return downstream_wait_s > MAX_FOLLOWING_WAIT_S

    def _throughput(
        self, runners: Sequence[_fleet.FleetRunner]
    ) -> _order.Throughput:
        """Return how fast the runners take what waits."""
        limits = self.limits
        count = max(len(runners), 1)
        slowness = sum(r.slowness for r in runners) / count if runners else 1.0
        full = min(max(self.full_size, 1.0), limits.max_pieces)
        full_s = limits.duration_s(math.ceil(full)) * slowness
        idle = len(self._idle(runners))
        size = min(
            math.ceil(len(self.queue) / max(idle, 1)), limits.max_pieces
        )
        return _order.Throughput(
            int(idle * full),
            len(runners) * full / full_s,
            limits.duration_s(size) * slowness,
        )

    def _sort(
        self, runners: Sequence[_fleet.FleetRunner], now: float
    ) -> _order.Throughput:
        """Put the queue in order and return the throughput it goes at."""
        throughput = self._throughput(runners)
        self.timely = self.choose_timely(self.queue, throughput, now)
        self.timely_due = [
            -math.inf if piece.group.sends else _order.due_at(piece.group)
            for piece in self.queue
            if piece.group.sends or piece.group.group_id in self.timely
        ]
        self.queue.sort(key=self._urgency)
        return throughput

    def _place(
        self,
        piece: _pieces.QueuedPiece,
        forming: list['_FormingCall'],
        usable: dict[str, _fleet.FleetRunner],
        now: float,
    ) -> '_FormingCall | None':
        """Return the call for a piece, None if it had better wait.

        Results that cross failure domains are slow and dear, so that a
        piece with time to spare waits for a runner of its own.
        """
        group = piece.group
        places = [call for call in forming if self._fits(call, group)]
        if not places:
            return None
        domain = group.failure_domain
        near = [c for c in places if c.failure_domain == domain]
        if near:
            return near[0]
        free_in_s = self._near_free_in_s(domain, usable, now)
        work_s = self.limits.duration_s(self.limits.max_pieces)
        if free_in_s < NEAR_SLACK_SHARE * group.slack_s(now, work_s):
            return None
        # Pieces of one request stay together: they share their inputs.
        mine = [c for c in places if c.holds(group)]
        return mine[0] if mine else max(places, key=lambda c: len(c.pieces))

    def _fits(self, call: '_FormingCall', group: _pieces.PieceGroup) -> bool:
        """Tell whether a call can take a piece of a group.

        A group that was not begun starts only in a call that can hold all
        of it, or as much of it as any call can.
        """
        free = self.limits.max_pieces - len(call.pieces)
        if free < 1 or call.free_bytes < group.result_bytes:
            return False
        if group.sends or call.holds(group):
            return True
        whole = min(len(group.work), self.limits.max_pieces)
        return free >= whole and (
            call.free_bytes >= whole * group.result_bytes
        )

    def _near_free_in_s(
        self,
        domain: str,
        usable: dict[str, _fleet.FleetRunner],
        now: float,
    ) -> float:
        """Return when a busy runner of a failure domain is free."""
        return min(
            (
                max(call.sent_at + call.expected_s - now, 0.0)
                for call in self.calls.values()
                if call.runner.name in usable
                and call.runner.entry.runner.failure_domain == domain
            ),
            default=math.inf,
        )

    def _urgency(
        self, piece: _pieces.QueuedPiece
    ) -> tuple[bool, bool, float, str, int, int]:
        """Return the order of pieces: begun, timely and late groups."""
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

    def _is_worth(
        self,
        runner: _fleet.FleetRunner,
        usable: dict[str, _fleet.FleetRunner],
        now: float,
    ) -> bool:
        """Tell whether a slow runner is done sooner than a busy fast one."""
        count = min(len(self.queue), self.limits.max_pieces)
        usual_s = self.limits.duration_s(count)
        here = usual_s * runner.slowness
        others = [
            call.sent_at
            + call.expected_s
            - now
            + usual_s * call.runner.slowness
            for call in self.calls.values()
            if call.runner.name in usable
        ]
        # Each busy runner takes one call before the queue is at its end.
        ahead = len(self.queue) // max(self.limits.max_pieces, 1)
        others.sort()
        if ahead >= len(others):
            return True
        return here <= max(others[ahead], usual_s) * (1 + SLOWNESS_WEIGHT)

    def _free_bytes(self, runner: _fleet.FleetRunner, now: float) -> float:
        until, least = self.full_until.get(runner.name, (now, 0.0))
        used = self.used_bytes.get(runner.name, 0.0)
        foreign = self.foreign_bytes.get(runner.name, 0.0)
        free = self.limits.storage_bytes - used - foreign
        return min(free, least) if now < until else free

    def _start(self, forming: '_FormingCall', now: float) -> _pieces.BatchCall:
        runner = forming.runner
        usual_s = self.limits.duration_s(len(forming.pieces))
        call = _pieces.BatchCall(
            next(self.call_ids),
            runner,
            forming.pieces,
            now,
            usual_s * runner.slowness,
        )
        self.calls[call.call_id] = call
        self._use(runner.name, call.result_bytes)
        return call

    def _use(self, runner: str, amount: float) -> None:
        used = self.used_bytes.get(runner, 0.0) + amount
        self.used_bytes[runner] = max(used, 0.0)

    def on_answer(
        self, call: _pieces.BatchCall, handles: list[str | None], now: float
    ) -> None:
        """Take a call's answer: a handle, or None, for each piece."""
        self.calls.pop(call.call_id, None)
        runner = call.runner
        usual_s = self.limits.duration_s(len(call.pieces))
        ratio = max((now - call.sent_at) / usual_s, 1.0)
        runner.slowness += 0.5 * (ratio - runner.slowness)
        until = now + self.limits.result_ttl_s
        for piece, handle in zip(call.pieces, handles, strict=True):
            if handle is None:
                self._use(runner.name, -piece.group.result_bytes)
            else:
                size = piece.group.result_bytes
                self.kept[handle] = (runner.name, size, until)

    def on_storage_full(
        self, call: _pieces.BatchCall, size: float, now: float
    ) -> None:
        """Send a runner only smaller results for a while.

        Its room is taken by results that this host does not count: of an
        owner before it, or of hosts that gather for themselves.
        """
        self.full_until[call.runner.name] = (now + FULL_S, size / 2)

    def on_free_bytes(self, runner: str, free_bytes: float) -> None:
        """Take a runner's own word on its room."""
        used = self.used_bytes.get(runner, 0.0)
        foreign = self.limits.storage_bytes - free_bytes - used
        self.foreign_bytes[runner] = max(foreign, 0.0)
        self.full_until.pop(runner, None)

    def may_hold_foreign_results(self, runner: str, now: float) -> bool:
        """Tell whether others' results may lie at a runner.

        A runner tells its room too coarsely for small rooms.
        """
        if self.limits.storage_bytes < MIN_TOLD_ROOM_BYTES:
            return False
        until, _ = self.full_until.get(runner, (now, 0.0))
        return now < until or self.foreign_bytes.get(runner, 0.0) > 0.0

    def on_failure(self, call: _pieces.BatchCall) -> None:
        """Forget a call that brought no answer."""
        self.calls.pop(call.call_id, None)
        self._use(call.runner.name, -call.result_bytes)

    def release(self, handles: Iterable[str]) -> None:
        """Count results as gone from their runners."""
        for handle in handles:
            runner, size, _ = self.kept.pop(handle, ('', 0.0, 0.0))
            if runner:
                self._use(runner, -size)

    def _expire_results(self, now: float) -> None:
        over = [h for h, (_, _, until) in self.kept.items() if now >= until]
        self.release(over)

    def queue_wait(
        self, runners: Sequence[_fleet.FleetRunner], now: float
    ) -> _waits.QueueWait:
        """Return how long a new piece waits before its call starts."""
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
        )
