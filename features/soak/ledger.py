"""What callers and back ends saw during a run."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Arrival:
    """A main call that reached a runner; ran tells whether it was begun."""

    request_id: str
    service: str
    path: str
    at: float
    ran: bool
    runner: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class LimitedArrival:
    """Any request to a runner that names a limit, and has for a while."""

    runner: str
    rate_per_s: float
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SilentCall:
    """A request that a runner had while it was silent, and that time."""

    request_id: str
    at: float
    until: float


@dataclasses.dataclass(slots=True)
class NoticedArrivals:
    """Main calls from a host that a runner had told of a pause or leaving.

    told_at is when the first of them was answered so; times are those of the
    later ones.
    """

    kind: str
    runner: str
    host: str
    told_at: float
    until: float
    times: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedArrival:
    """A request that came long after its runner reported that it leaves."""

    runner: str
    host: str
    reported_at: float
    at: float


@dataclasses.dataclass(slots=True)
class Outcome:
    """One request as its caller saw it, times in seconds.

    problem says why there is no whole answer; status is then that of the
    answer's head, or None. A request that takes a stream up names the attempt
    that brought its first event, and the last event.
    """

    request_id: str
    kind: str
    host: str
    key: str
    asked_at: float
    ended_at: float = 0.0
    status: int | None = None
    body: bytes = b''
    problem: str | None = None
    is_probe: bool = False
    first_attempt: str = ''
    last_event: int = 0
    # What came on the connection behind the whole answer.
    surplus: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChange:
    """A key that the operator gave or took; acknowledged at that time."""

    key: str
    is_valid: bool
    at: float


@dataclasses.dataclass(slots=True)
class Disturbance:
    """A fault; target is a host's name where it concerns one host."""

    kind: str
    target: str
    at: float
    until: float


@dataclasses.dataclass(slots=True)
class HostExit:
    """A host that was told to leave, and how it went."""

    host: str
    told_at: float
    gone_at: float | None
    code: int | None


@dataclasses.dataclass(slots=True)
class Ledger:
    """All records of a run; quiet_at is when the last fault was over.

    asked_hosts names the host that got each request; deadly_crashes and
    deadly_arrivals are the times at which runners crashed on a part of a
    prompt and got requests with it;
    starts are the times at which each host was started; handles are the
    results that lie at runners now; cuts are the times at which a host was
    cut off from all others, strandings those at which it lost all runners;
    same_crashes and same_arrivals are the times at which one request crashed
    runners and reached them; unserved are the hosts and kinds that were not
    served since, at the end.
    """

    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    limited: list[LimitedArrival] = dataclasses.field(default_factory=list)
    noticed: list[NoticedArrivals] = dataclasses.field(default_factory=list)
    reported: list[ReportedArrival] = dataclasses.field(default_factory=list)
    asked_hosts: dict[str, str] = dataclasses.field(default_factory=dict)
    outcomes: list[Outcome] = dataclasses.field(default_factory=list)
    key_changes: list[KeyChange] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    cuts: list[Disturbance] = dataclasses.field(default_factory=list)
    strandings: list[Disturbance] = dataclasses.field(default_factory=list)
    same_crashes: list[float] = dataclasses.field(default_factory=list)
    same_arrivals: list[float] = dataclasses.field(default_factory=list)
    # Requests whose streams a runner cut.
    broken_off: set[str] = dataclasses.field(default_factory=set)
    # Times at which brittle runners fell over.
    falls: list[float] = dataclasses.field(default_factory=list)
    # Runners of an evacuated domain, and what was sent to them.
    evacuated: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    exits: list[HostExit] = dataclasses.field(default_factory=list)
    # Hosts that ended though nobody told them to, and when that was seen.
    crashes: list[HostExit] = dataclasses.field(default_factory=list)
    deadly_crashes: list[float] = dataclasses.field(default_factory=list)
    deadly_arrivals: list[float] = dataclasses.field(default_factory=list)
    starts: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    handles: set[str] = dataclasses.field(default_factory=set)
    # Whose results lie, or lay last, under the handles.
    made_for: dict[str, str] = dataclasses.field(default_factory=dict)
    # Handles that were read, by whom, and whose results lay there.
    foreign: list[tuple[str, str, str]] = dataclasses.field(
        default_factory=list
    )
    silent_calls: list[SilentCall] = dataclasses.field(default_factory=list)
    # Times at which a runner was not sound, by its address and its service.
    unsound: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    quiet_at: float = 0.0
    recovered_at: float | None = None
    unserved: list[tuple[str, str]] = dataclasses.field(default_factory=list)
