"""Order in which groups of pieces wait for a service.

In a burst beyond a service's throughput, order by due time alone would serve
every group just after its target. So groups that would make others late are
set aside, the least urgent rank and the latest target first (Moore, 1968);
they get the capacity that the others leave.
"""

from collections.abc import Callable
from collections.abc import Iterable
import heapq

import msgspec

from ragwort_relay import _pieces

# Each step of rank defers the due time by this much.
SLACK_PER_RANK_S = 0.25


class Throughput(msgspec.Struct, frozen=True):
    """How fast a service takes pieces.

    free_pieces can start at once and the others at pieces_per_s; each
    finishes work_s after its start.
    """

    free_pieces: int
    pieces_per_s: float
    work_s: float

    def start_delay_s(self, pieces: float) -> float:
        """Return the seconds until the last of so many pieces starts."""
        queued = pieces - self.free_pieces
        if queued <= 0:
            return 0.0
        if self.pieces_per_s <= 0:
            return float('inf')
        return queued / self.pieces_per_s


# Returns the ids of the groups to serve first.
ChooseTimely = Callable[
    [Iterable[_pieces.QueuedPiece], Throughput, float], set[str]
]


class _WaitingGroup(msgspec.Struct):
    group: _pieces.PieceGroup
    piece_count: int


def timely_groups(
    queue: Iterable[_pieces.QueuedPiece], throughput: Throughput, now: float
) -> set[str]:
    """Return the ids of groups that can all meet their targets together.

    Started groups count first: their results occupy a runner's storage
    until the group is complete.
    """
    waiting: dict[str, _WaitingGroup] = {}
    for piece in queue:
        known = waiting.get(piece.group.group_id)
        if known is None:
            waiting[piece.group.group_id] = _WaitingGroup(piece.group, 1)
        else:
            known.piece_count += 1
    started = sum(w.piece_count for w in waiting.values() if w.group.sends)
    unstarted = [w for w in waiting.values() if not w.group.sends]
    unstarted.sort(key=_due_key)
    return _choose_timely(unstarted, started, throughput, now)


def due_at(group: _pieces.PieceGroup) -> float:
    """Return the due time of a group, deferred for less urgent ranks."""
    return group.target_at + SLACK_PER_RANK_S * group.rank


def _due_key(waiting: _WaitingGroup) -> tuple[float, str]:
    return due_at(waiting.group), waiting.group.group_id


def _choose_timely(
    unstarted: list[_WaitingGroup],
    started: int,
    throughput: Throughput,
    now: float,
) -> set[str]:
    """Set groups aside, the least urgent first, until the rest is timely."""
    total = started
    chosen: set[int] = set()
    least_urgent: list[tuple[int, float, int]] = []
    for index, waiting in enumerate(unstarted):
        group = waiting.group
        if now + throughput.work_s > group.target_at:
            continue
        # Of equal groups the last one in the list is set aside.
        entry = (-group.rank, -group.target_at, -index)
        heapq.heappush(least_urgent, entry)
        chosen.add(index)
        total += waiting.piece_count
        set_aside: list[tuple[int, float, int]] = []
        while (
            now + throughput.start_delay_s(total) + throughput.work_s
            > group.target_at
        ):
            entry = heapq.heappop(least_urgent)
            set_aside.append(entry)
            total -= unstarted[-entry[2]].piece_count
            if -entry[2] == index:
                break
        if index in (-entry[2] for entry in set_aside):
            # No set of earlier groups set aside would make this one timely.
            for entry in set_aside[:-1]:
                heapq.heappush(least_urgent, entry)
                total += unstarted[-entry[2]].piece_count
            chosen.remove(index)
        else:
            chosen -= {-entry[2] for entry in set_aside}
    return {unstarted[index].group.group_id for index in chosen}
