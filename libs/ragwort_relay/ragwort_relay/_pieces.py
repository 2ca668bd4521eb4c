"""Pieces of stage work that wait at an owner, and calls made of them."""

import dataclasses

from ragwort_relay import _fleet
from ragwort_relay import _stages

# Patience with a call, as a multiple of its expected time and at least.
PATIENCE_FACTOR = 3.0
PATIENCE_S = 0.6


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
    """A call to one runner; timeout_s is when to give it up."""

    call_id: int
    runner: _fleet.FleetRunner
    pieces: list[QueuedPiece]
    sent_at: float
    expected_s: float

    @property
    def timeout_s(self) -> float:
        """Return how long to wait for the answer."""
        return max(PATIENCE_FACTOR * self.expected_s, PATIENCE_S)

    @property
    def result_bytes(self) -> float:
        """Return the room that the results will take."""
        return sum(piece.group.result_bytes for piece in self.pieces)
