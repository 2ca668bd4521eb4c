"""Stage calls to runners and events of the answer stream to callers."""

import dataclasses
import enum

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


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load as a runner reports it.

    age_s is the age of the figures when sent; state_version orders the
    runner's reports of whether it drains.
    """

    running: int
    queued: int
    slots: int
    age_s: float
    draining: bool
    state_version: int
    loaded: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class StageCall:
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


@dataclasses.dataclass(frozen=True, slots=True)
class CallRunner:
    """Effect: send a stage call; fresh requires a new connection."""

    runner: _domain.Runner
    call: StageCall
    fresh: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CancelCall:
    """Effect: stop waiting for a stage call and notify its runner."""

    attempt: _ids.AttemptId


class DesiredState(enum.StrEnum):
    """State that an order requests of a runner."""

    LOADED = 'loaded'
    UNLOADED = 'unloaded'


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerOrder:
    """A desired state, sent repeatedly until a load report confirms it.

    fencing is the fencing token of the lease; expires_wall is the
    wall-clock time in seconds after which the runner must ignore the order.
    """

    fencing: int
    desired: DesiredState
    expires_wall: float


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Effect: send an order to a runner; a load report confirms it."""

    runner: _domain.Runner
    order: RunnerOrder


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLoad:
    """Effect: ask a runner for its load report."""

    runner: _domain.Runner


@dataclasses.dataclass(frozen=True, slots=True)
class LoadResult:
    """Event: the answer to ReadLoad, None if there was none."""

    runner: str
    report: LoadReport | None


@dataclasses.dataclass(frozen=True, slots=True)
class StageChunk:
    """Event: one chunk from a runner, echoed attempt not yet checked."""

    attempt: _ids.AttemptId
    echoed_attempt: str
    seq: int
    data: str


@dataclasses.dataclass(frozen=True, slots=True)
class StageEnd:
    """Event: end of a stage result, echoed attempt not yet checked."""

    attempt: _ids.AttemptId
    echoed_attempt: str
    count: int
    digest: str
    busy_s: float
    report: LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class StageHeartbeat:
    """Event: a heartbeat for a call that has not ended yet."""

    attempt: _ids.AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class StageFailed:
    """Event: a stage call ended without a complete result."""

    attempt: _ids.AttemptId
    failure: CallFailure
    detail: str = ''
    report: LoadReport | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """First event of an answer stream; host runs the request."""

    key: str
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Part of an answer; seq counts from 0 without gaps."""

    seq: int
    data: str


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Keep-alive event while no chunk is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class End:
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


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Effect: send an event to the caller registered as subscriber."""

    subscriber: str
    event: CallerEvent
