"""Pieces of stage work queued at an owner, and batched calls of them."""

import math

import msgspec

from ragwort_relay import _fleet
from ragwort_relay import _stages

# Timeout of a call as a multiple of its expected time, and its minimum.
TIMEOUT_FACTOR = 3.0
MIN_TIMEOUT_S = 0.6


class PieceGroup(msgspec.Struct):
    """The pieces of one stage of one request, asked for by one host.

    failure_domain is where the inputs are stored or the results will be
    read, empty where that does not matter.
    target_at and deadline_at are when the stage has to finish to meet the
    request's target and its deadline, in seconds of this host's clock.
    sends counts the pieces sent so far; a group with none is not started.
    next_services are those whose pieces read the results. domains are the
    failure domains whose runners may get the pieces, None for any.
    inputs_expire_at is when the first input is gone at the latest.
    """

    group_id: str
    work: list[_stages.PieceWork]
    target_at: float
    deadline_at: float
    rank: int
    result_bytes: float
    failure_domain: str
    sends: int = 0
    next_services: tuple[str, ...] = ()
    domains: frozenset[str] | None = None
    inputs_expire_at: float = math.inf

    def slack_s(self, now: float, work_s: float) -> float:
        """Return the seconds left before the target after work_s of work."""
        return self.target_at - now - work_s

    def admits(self, failure_domain: str) -> bool:
        """Tell whether runners of a failure domain may get the pieces."""
        return self.domains is None or failure_domain in self.domains


class QueuedPiece(msgspec.Struct, frozen=True):
    """One piece waiting for a call."""

    group: PieceGroup
    work: _stages.PieceWork


class BatchCall(msgspec.Struct):
    """A batch of pieces sent to one runner.

    started_ms is the start of the runner as known when the call was sent.
    """

    call_id: int
    runner: _fleet.FleetRunner
    pieces: list[QueuedPiece]
    sent_at: float
    expected_s: float
    started_ms: int = 0

    @property
    def timeout_s(self) -> float:
        """Return after how long the runner counts as silent, in seconds."""
        return max(TIMEOUT_FACTOR * self.expected_s, MIN_TIMEOUT_S)

    @property
    def latest_deadline_at(self) -> float:
        """Return until when a result of the call is of use."""
        return max(piece.group.deadline_at for piece in self.pieces)

    @property
    def result_bytes(self) -> float:
        """Return the storage that the results will take."""
        return sum(piece.group.result_bytes for piece in self.pieces)
