"""The order in which groups of pieces wait for a service.

Answers bursts beyond what a service can do. By due time alone every group
would get its turn just too late for its target. So groups that would make
others late are set aside, the least urgent rank and the latest target
first (Moore, 1968); they are served with what the others leave.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq

from ragwort_relay import _pieces

# Urgency of a rank in seconds of slack.
SLACK_PER_RANK_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Throughput:
    """How fast a service takes pieces.

    free_pieces can start at once and the others at pieces_per_s; each is
    done work_s after its start.
    """

    free_pieces: int
    pieces_per_s: float
    work_s: float

    def start_delay_s(self, pieces: float) -> float:
        """Return when the last of so many pieces starts, from now."""
        behind = pieces - self.free_pieces
        if behind <= 0:
            return 0.0
        if self.pieces_per_s <= 0:
            return float('inf')
        return behind / self.pieces_per_s


# A rule that names the groups to serve first.
ChooseTimely = Callable[
    [Iterable[_pieces.QueuedPiece], Throughput, float], set[str]
]


@dataclasses.dataclass(slots=True)
class _Waiting:
    group: _pieces.PieceGroup
    count: int


def timely_groups(
    queue: Iterable[_pieces.QueuedPiece], throughput: Throughput, now: float
) -> set[str]:
    """Return the groups that can meet their targets, all of them together.

    Groups that were begun count first: what is made of them takes room at
    a runner until the rest is made.
    """
    waiting: dict[str, _Waiting] = {}
    for piece in queue:
        known = waiting.get(piece.group.group_id)
        if known is None:
            waiting[piece.group.group_id] = _Waiting(piece.group, 1)
        else:
            known.count += 1
    begun = sum(w.count for w in waiting.values() if w.group.sends)
    fresh = [w for w in waiting.values() if not w.group.sends]
    fresh.sort(key=_due)
    return _choose(fresh, begun, throughput, now)


def due_at(group: _pieces.PieceGroup) -> float:
    """Return by when a group wants its turn: later for a higher rank."""
    return group.target_at + SLACK_PER_RANK_S * group.rank


def _due(waiting: _Waiting) -> tuple[float, str]:
    return due_at(waiting.group), waiting.group.group_id


def _choose(
    fresh: list[_Waiting], begun: int, throughput: Throughput, now: float
) -> set[str]:
    """Set groups aside, the least urgent first, until the rest is timely."""
    total = begun
    chosen: set[int] = set()
    least_urgent: list[tuple[int, float, int]] = []
    for index, waiting in enumerate(fresh):
        group = waiting.group
        if now + throughput.work_s > group.target_at:
            continue
        # Among equals the one that came last is set aside.
        entry = (-group.rank, -group.target_at, -index)
        heapq.heappush(least_urgent, entry)
        chosen.add(index)
        total += waiting.count
        set_aside: list[tuple[int, float, int]] = []
        while (
            now + throughput.start_delay_s(total) + throughput.work_s
            > group.target_at
        ):
            entry = heapq.heappop(least_urgent)
            set_aside.append(entry)
            total -= fresh[-entry[2]].count
            if -entry[2] == index:
                break
        if index in (-entry[2] for entry in set_aside):
            # It can't be timely whatever is set aside for it.
            for entry in set_aside[:-1]:
                heapq.heappush(least_urgent, entry)
                total += fresh[-entry[2]].count
            chosen.remove(index)
        else:
            chosen -= {-entry[2] for entry in set_aside}
    return {fresh[index].group.group_id for index in chosen}
