"""Stage calls to runners and events of the answer stream to callers."""

import enum

import msgspec

from ragwort_model import _domain
from ragwort_model import _ids


class CallFailure(enum.StrEnum):
    """Why a stage call ended without a result.

    The first three prove that the runner did not run the call.
    """

    REFUSED = 'refused'
    OVERLOADED = 'overloaded'
    UNREACHABLE = 'unreachable'
    LOST = 'lost'
    SILENT = 'silent'
    PROTOCOL = 'protocol'
    FAILED = 'failed'


NOT_RUN_FAILURES = frozenset(
    {CallFailure.REFUSED, CallFailure.OVERLOADED, CallFailure.UNREACHABLE}
)


class LoadReport(msgspec.Struct, frozen=True):
    """Load as a runner reports it.

    age_s is the age of the figures when sent; state_version orders the
    runner's reports of whether it drains. pace is how long work takes on its
    machine now against the usual, 1.0; None if it sends none.
    """

    running: int
    queued: int
    slots: int
    age_s: float
    draining: bool
    state_version: int
    loaded: bool = True
    pace: float | None = None


class StageCall(msgspec.Struct, frozen=True):
    """A stage call as sent to a runner.

    resume_from is the first chunk to send; prior is the text before it.
    """

    attempt: _ids.AttemptId
    service: str
    input: str
    deadline_s: float
    priority: int
    resume_from: int = 0
    prior: str = ''


class CallRunner(msgspec.Struct, frozen=True):
    """Effect: send a stage call; fresh requires a new connection."""

    runner: _domain.Runner
    call: StageCall
    fresh: bool


class CancelCall(msgspec.Struct, frozen=True):
    """Effect: stop waiting for a stage call and notify its runner."""

    attempt: _ids.AttemptId


class DesiredState(enum.StrEnum):
    """State that an order requests of a runner."""

    LOADED = 'loaded'
    UNLOADED = 'unloaded'


class RunnerOrder(msgspec.Struct, frozen=True):
    """A desired state, sent repeatedly until a load report confirms it.

    fencing is the fencing token of the lease; expires_wall is the
    wall-clock time in seconds after which the runner must ignore the order.
    """

    fencing: int
    desired: DesiredState
    expires_wall: float


class SendOrder(msgspec.Struct, frozen=True):
    """Effect: send an order to a runner; a load report confirms it."""

    runner: _domain.Runner
    order: RunnerOrder


class ReadLoad(msgspec.Struct, frozen=True):
    """Effect: ask a runner for its load report."""

    runner: _domain.Runner


class LoadResult(msgspec.Struct, frozen=True):
    """Event: the answer to ReadLoad, None if there was none."""

    runner: str
    report: LoadReport | None


class StageChunk(msgspec.Struct, frozen=True):
    """Event: one chunk from a runner, echoed attempt not yet checked."""

    attempt: _ids.AttemptId
    echoed_attempt: str
    seq: int
    data: str


class StageEnd(msgspec.Struct, frozen=True):
    """Event: end of a stage result, echoed attempt not yet checked."""

    attempt: _ids.AttemptId
    echoed_attempt: str
    count: int
    digest: str
    busy_s: float
    report: LoadReport


class StageHeartbeat(msgspec.Struct, frozen=True):
    """Event: a heartbeat from a runner, echoed attempt not yet checked."""

    attempt: _ids.AttemptId
    echoed_attempt: str


class StageFailed(msgspec.Struct, frozen=True):
    """Event: a stage call ended without a complete result."""

    attempt: _ids.AttemptId
    failure: CallFailure
    detail: str = ''
    report: LoadReport | None = None


class Accepted(msgspec.Struct, frozen=True):
    """First event of an answer stream; host runs the request."""

    key: str
    host: str


class Chunk(msgspec.Struct, frozen=True):
    """Part of an answer; seq counts from 0 without gaps."""

    seq: int
    data: str


class Heartbeat(msgspec.Struct, frozen=True):
    """Keep-alive event while no chunk is due."""


class End(msgspec.Struct, frozen=True):
    """Last event of an answer stream.

    count and digest cover all chunks from seq 0. retry_after_s is set
    when the caller may try again later.
    """

    key: str
    outcome: _domain.Outcome
    count: int
    digest: str
    reason: str = ''
    retry_after_s: float | None = None


CallerEvent = Accepted | Chunk | Heartbeat | End


class AnswerCaller(msgspec.Struct, frozen=True):
    """Effect: send an event to the caller registered as subscriber."""

    subscriber: str
    event: CallerEvent
