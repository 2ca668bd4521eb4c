"""Gathering the pieces of many requests into calls to a stage service.

Answers bursts beyond what small calls can carry: a call costs much before
its first piece, so that one host gathers the pieces of all hosts and each
runner gets one full call at a time.
"""

from collections.abc import Iterable
import dataclasses
import itertools
import math

from ragwort_relay import _fleet
from ragwort_relay import _routes
from ragwort_relay import _stages

# A runner this much slower than usual gets a call only if the others
# could not have done it by then.
SLOWNESS_WEIGHT = 0.3
# Time to spare beyond the wait for a runner in the wanted failure domain.
NEAR_SLACK_SHARE = 0.25
# Time to send a runner without room only smaller results.
FULL_S = 0.3
# Smallest room that runners tell precisely enough to count by.
MIN_TOLD_ROOM_BYTES = 8e6
# Urgency of a rank in seconds of slack.
RANK_S = 0.25
# Patience with a call, as a multiple of its expected time and at least.
PATIENCE_FACTOR = 3.0
PATIENCE_S = 0.6
# Time between the end of a call here and its answer at the asking host.
RETURN_S = 0.03


@dataclasses.dataclass(slots=True)
class PieceGroup:
    """The pieces of one stage of one request, wanted by one host.

    failure_domain is where the inputs lie or the results will be read,
    empty where that does not matter.
    target_at and deadline_at are when the stage has to be done to meet the
    request's target and its deadline, in seconds of this host's clock.
    """

    group_id: str
    work: list[_stages.PieceWork]
    target_at: float
    deadline_at: float
    rank: int
    result_bytes: float
    failure_domain: str
    sends: int = 0

    def slack_s(self, now: float, work_s: float) -> float:
        """Return the time to spare before the target, in seconds."""
        return self.target_at - now - work_s


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedPiece:
    """One piece that waits for a call."""

    group: PieceGroup
    work: _stages.PieceWork


@dataclasses.dataclass(slots=True)
class BatchCall:
    """A call to one runner; patience_s is when to give it up."""

    call_id: int
    runner: _fleet.FleetRunner
    pieces: list[QueuedPiece]
    sent_at: float
    expected_s: float

    @property
    def patience_s(self) -> float:
        """Return how long to wait for the answer."""
        return max(PATIENCE_FACTOR * self.expected_s, PATIENCE_S)

    @property
    def result_bytes(self) -> float:
        """Return the room that the results will take."""
        return sum(piece.group.result_bytes for piece in self.pieces)


@dataclasses.dataclass(slots=True)
class _FormingCall:
    """A call to an idle runner while its pieces are chosen."""

    runner: _fleet.FleetRunner
    free_bytes: float
    pieces: list[QueuedPiece] = dataclasses.field(default_factory=list)

    @property
    def failure_domain(self) -> str:
        return self.runner.entry.runner.failure_domain

    def holds(self, group: PieceGroup) -> bool:
        return any(piece.group is group for piece in self.pieces)

    def add(self, piece: QueuedPiece) -> None:
        self.pieces.append(piece)
        self.free_bytes -= piece.group.result_bytes


class Gatherer:
    """Queue of pieces for one service, and the calls made of it."""

    def __init__(self, limits: _routes.BatchLimits) -> None:
        """Start empty."""
        self.limits = limits
        self.queue: list[QueuedPiece] = []
        self.calls: dict[int, BatchCall] = {}
        self.call_ids = itertools.count(1)
        self.kept: dict[str, tuple[str, float, float]] = {}
        self.used_bytes: dict[str, float] = {}
        self.full_until: dict[str, tuple[float, float]] = {}
        self.foreign_bytes: dict[str, float] = {}

    def add(self, group: PieceGroup) -> None:
        """Queue the pieces of a group."""
        self.queue += [QueuedPiece(group, work) for work in group.work]

    def drop(self, group_id: str) -> int:
        """Take out what waits of a group that nobody wants any more."""
        before = len(self.queue)
        self.queue = [
            piece for piece in self.queue if piece.group.group_id != group_id
        ]
        return before - len(self.queue)

    def take_hopeless(self, runners: int, now: float) -> list[QueuedPiece]:
        """Take out the pieces that can't be made before their deadline.

        Those behind them in the queue move up, so that waiting for the
        deadline to pass would help nobody.
        """
        self.queue.sort(key=lambda piece: self._urgency(piece, now))
        full_s = self.limits.duration_s(self.limits.batch)
        round_size = self.limits.batch * max(runners, 1)
        least_s = self.limits.duration_s(1)
        kept: list[QueuedPiece] = []
        hopeless: list[QueuedPiece] = []
        for piece in self.queue:
            rounds = len(kept) // round_size
            ready_at = now + rounds * full_s + least_s
            is_late = ready_at > piece.group.deadline_at
            (hopeless if is_late else kept).append(piece)
        self.queue = kept
        return hopeless

    def next_calls(
        self, runners: Iterable[_fleet.FleetRunner], now: float
    ) -> list[BatchCall]:
        """Return the calls to send now, most urgent pieces first."""
        self._expire_results(now)
        usable = {runner.name: runner for runner in runners}
        busy = {call.runner.name for call in self.calls.values()}
        idle = [r for name, r in usable.items() if name not in busy]
        if not self.queue or not idle:
            return []
        self.queue.sort(key=lambda piece: self._urgency(piece, now))
        forming = [
            _FormingCall(runner, self._free_bytes(runner, now))
            for runner in sorted(idle, key=lambda r: (r.slowness, r.name))
            if self._is_worth(runner, usable, now)
        ]
        waiting: list[QueuedPiece] = []
        for piece in self.queue:
            place = self._place(piece, forming, usable, now)
            if place is None:
                waiting.append(piece)
            else:
                place.add(piece)
        self.queue = waiting
        return [self._start(call, now) for call in forming if call.pieces]

    def _place(
        self,
        piece: QueuedPiece,
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
        work_s = self.limits.duration_s(self.limits.batch)
        if free_in_s < NEAR_SLACK_SHARE * group.slack_s(now, work_s):
            return None
        # Pieces of one request stay together: they share their inputs.
        mine = [c for c in places if c.holds(group)]
        return mine[0] if mine else max(places, key=lambda c: len(c.pieces))

    def _fits(self, call: '_FormingCall', group: PieceGroup) -> bool:
        """Tell whether a call can take a piece of a group.

        A group that was not begun starts only in a call that can hold all
        of it, or as much of it as any call can.
        """
        free = self.limits.batch - len(call.pieces)
        if free < 1 or call.free_bytes < group.result_bytes:
            return False
        if group.sends or call.holds(group):
            return True
        whole = min(len(group.work), self.limits.batch)
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
        self, piece: QueuedPiece, now: float
    ) -> tuple[bool, bool, float, str, int, int]:
        """Return the order of pieces.

        A group that was begun goes first: what is made of it takes room
        at a runner until the rest is made. What can only be late goes
        after what can be in time.
        """
        group = piece.group
        is_late = now + self.limits.duration_s(1) > group.target_at
        due = group.deadline_at if is_late else group.target_at
        work = piece.work
        return (
            not group.sends,
            is_late,
            due + RANK_S * group.rank,
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
        count = min(len(self.queue), self.limits.batch)
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
        ahead = len(self.queue) // max(self.limits.batch, 1)
        others.sort()
        if ahead >= len(others):
            return True
        return here <= max(others[ahead], usual_s) * (1 + SLOWNESS_WEIGHT)

    def _free_bytes(self, runner: _fleet.FleetRunner, now: float) -> float:
        until, least = self.full_until.get(runner.name, (now, 0.0))
        used = self.used_bytes.get(runner.name, 0.0)
        foreign = self.foreign_bytes.get(runner.name, 0.0)
        free = self.limits.room_bytes - used - foreign
        return min(free, least) if now < until else free

    def _start(self, forming: '_FormingCall', now: float) -> BatchCall:
        runner = forming.runner
        usual_s = self.limits.duration_s(len(forming.pieces))
        call = BatchCall(
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
        self, call: BatchCall, handles: list[str | None], now: float
    ) -> None:
        """Take a call's answer: a handle, or None, for each piece."""
        self.calls.pop(call.call_id, None)
        runner = call.runner
        usual_s = self.limits.duration_s(len(call.pieces))
        ratio = max((now - call.sent_at) / usual_s, 1.0)
        runner.slowness += 0.5 * (ratio - runner.slowness)
        until = now + self.limits.result_life_s
        for piece, handle in zip(call.pieces, handles, strict=True):
            if handle is None:
                self._use(runner.name, -piece.group.result_bytes)
            else:
                size = piece.group.result_bytes
                self.kept[handle] = (runner.name, size, until)

    def on_no_room(self, call: BatchCall, size: float, now: float) -> None:
        """Send a runner only smaller results for a while.

        Its room is taken by results that this host does not count: of an
        owner before it, or of hosts that gather for themselves.
        """
        self.full_until[call.runner.name] = (now + FULL_S, size / 2)

    def on_room(self, runner: str, free_bytes: float) -> None:
        """Take a runner's own word on its room."""
        used = self.used_bytes.get(runner, 0.0)
        foreign = self.limits.room_bytes - free_bytes - used
        self.foreign_bytes[runner] = max(foreign, 0.0)
        self.full_until.pop(runner, None)

    def is_room_unclear(self, runner: str, now: float) -> bool:
        """Tell whether others' results may lie at a runner.

        A runner tells its room too coarsely for small rooms.
        """
        if self.limits.room_bytes < MIN_TOLD_ROOM_BYTES:
            return False
        until, _ = self.full_until.get(runner, (now, 0.0))
        return now < until or self.foreign_bytes.get(runner, 0.0) > 0.0

    def on_failure(self, call: BatchCall) -> None:
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

    def wait_s(self, runners: int, now: float) -> float:
        """Return how long a new piece waits before its call starts."""
        if not runners:
            return 0.0
        limits = self.limits
        full_s = limits.duration_s(limits.batch)
        left_s = sum(
            max(call.sent_at + call.expected_s - now, 0.0)
            for call in self.calls.values()
        )
        queued_s = len(self.queue) / limits.batch * full_s
        idle = runners - len(self.calls)
        if idle > 0 and len(self.queue) < limits.batch:
            return 0.0
        return (left_s + queued_s) / runners
