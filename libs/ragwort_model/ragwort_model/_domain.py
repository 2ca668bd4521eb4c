"""Domain data classes: services, pipelines, classes of work, requests."""

import enum

import msgspec


class ServiceKind(enum.StrEnum):
    """Role of a service in a pipeline."""

    ENCODER = 'encoder'
    RETRIEVER = 'retriever'
    RERANKER = 'reranker'
    GENERATOR = 'generator'
    PLAIN = 'plain'


class Outcome(enum.StrEnum):
    """Final state of a request as reported to its caller.

    NOT_RUN: no stage was ever dispatched. FAILED: only idempotent stages
    were dispatched. UNKNOWN: a non-idempotent call was sent and its result
    was never received.
    """

    COMPLETED = 'completed'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class HostState(enum.StrEnum):
    """Whether a host or runner accepts new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Service(msgspec.Struct, frozen=True):
    """A service whose runners execute one stage of a pipeline."""

    name: str
    kind: ServiceKind
    idempotent: bool = True
    streams: bool = False


class Pipeline(msgspec.Struct, frozen=True):
    """Ordered names of the services that a request passes through."""

    name: str
    stages: tuple[str, ...]


class Target(msgspec.Struct, frozen=True):
    """Service-level target of a class of work, as set by operators.

    attainment is the share of requests to complete within deadline_s;
    cost is the maximum spend per completed request, in cost units.
    """

    attainment: float
    deadline_s: float
    cost: float


class ClassOfWork(msgspec.Struct, frozen=True):
    """A kind of request with one pipeline and one target."""

    name: str
    pipeline: str
    target: Target


class Runner(msgspec.Struct, frozen=True):
    """A model engine or plain service that executes stage calls.

    cost_rate is in cost units per busy second. software_version tells what
    runs on it, not which weights; what two of them stream does not fit
    together.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    cost_rate: float = 1.0
    checks_fencing: bool = True
    state: HostState = HostState.LIVE
    software_version: str = ''


class EntryHost(msgspec.Struct, frozen=True):
    """An entry host and the addresses that it listens on.

    capacity is relative to a host with one core and a link of matching
    bandwidth. hand_over_address takes requests from other hosts; it is empty
    if the host takes none.
    """

    name: str
    caller_address: str
    peer_address: str
    failure_domain: str
    region: str
    capacity: float = 1.0
    hand_over_address: str = ''


class Request(msgspec.Struct, frozen=True):
    """A caller's request after validation."""

    key: str
    class_of_work: str
    workspace: str
    deadline_s: float
    input: str
    digest: str
