"""Effects of a node core besides those of the model package."""

import dataclasses
import enum

import ragwort_model as model
import ragwort_policy as policy


class DecisionKind(enum.StrEnum):
    """Kind of a decision, written to the log as its event."""

    ADMISSION = 'admission'
    CLAIM = 'claim'
    ROUTING = 'routing'
    RETRY = 'retry'
    HEDGE = 'hedge'
    EJECTION = 'ejection'
    OUTCOME = 'outcome'
    DRAIN = 'drain'
    PLACEMENT = 'placement'
    CONFIGURATION = 'configuration'
    MEMBERSHIP = 'membership'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Effect: write a decision and its reason to the log.

    subject is a request key or the name of a node, runner or object;
    at is monotonic seconds.
    """

    at: float
    kind: DecisionKind
    subject: str
    rule: str
    chosen: str = ''
    detail: str = ''
    estimate_s: float | None = None
    candidates: tuple[policy.Candidate, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """Effect: add to a counter."""

    name: str
    value: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Effect: record a duration in seconds."""

    name: str
    duration_s: float


class RefusalKind(enum.StrEnum):
    """Reason for refusing a request before any stage was dispatched."""

    INVALID = 'invalid'
    UNKNOWN_NAME = 'unknown_name'
    KEY_REUSED = 'key_reused'
    KEY_EXPIRED = 'key_expired'
    NOT_READY = 'not_ready'
    DRAINING = 'draining'
    OVERLOADED = 'overloaded'
    STORE_DOWN = 'store_down'
    CLOCK_SKEW = 'clock_skew'
    TOO_LATE = 'too_late'
    UNKNOWN_KEY = 'unknown_key'


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseCaller:
    """Effect: refuse a request; its outcome is not_run."""

    subscriber: str
    key: str
    kind: RefusalKind
    detail: str
    retry_after_s: float | None = None


Effect = (
    model.CallRunner
    | model.CancelCall
    | model.AnswerCaller
    | model.SendPeerMessage
    | model.StoreCall
    | model.SendOrder
    | model.ReadLoad
    | Decision
    | Count
    | Timing
    | RefuseCaller
)
