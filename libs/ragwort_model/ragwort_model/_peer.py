"""Messages between nodes."""

import enum

import msgspec

from ragwort_model import _store


class MemberStatus(enum.IntEnum):
    """Liveness of a node; within one incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class ClaimStatus(enum.IntEnum):
    """Answer to a claim.

    GRANTED: the store holds the claim with the claimant's nonce. TAKEN:
    another claim holds the key. UNRESOLVED: the store did not answer in
    time. LOST: the store was restored from an older copy, and a claim of
    the key may have been lost with what is missing there.
    """

    GRANTED = 0
    TAKEN = 1
    UNRESOLVED = 2
    LOST = 3


class MemberUpdate(msgspec.Struct, frozen=True):
    """State of a node as seen by the sender.

    capacity and hand_over_address are as in EntryHost.
    """

    name: str
    incarnation: int
    status: MemberStatus
    caller_address: str
    peer_address: str
    failure_domain: str
    region: str
    accepting: bool
    capacity: float = 1.0
    hand_over_address: str = ''


class Ping(msgspec.Struct, frozen=True):
    """Probe; wall is the sender's wall clock in seconds, to detect skew.

    view is a hash of the sender's member list.
    """

    sequence: int
    wall: float
    view: int
    updates: list[MemberUpdate]


class Ack(msgspec.Struct, frozen=True):
    """Answer to a probe."""

    sequence: int
    wall: float
    updates: list[MemberUpdate]


class IndirectPing(msgspec.Struct, frozen=True):
    """Ask the receiver to probe target for the sender."""

    sequence: int
    target: str
    updates: list[MemberUpdate]


class MemberSync(msgspec.Struct, frozen=True):
    """Full member list, exchanged at start and after a partition heals."""

    members: list[MemberUpdate]
    reply: bool


class ObjectVersion(msgspec.Struct, frozen=True):
    """Name and version of one replicated object."""

    name: str
    version: int


class StateDigest(msgspec.Struct, frozen=True):
    """Hash of the replica, and of its buckets once the roots differ."""

    root: int
    buckets: list[int]


class StateVersions(msgspec.Struct, frozen=True):
    """Versions of the sender's objects.

    They are all that the sender has in the given buckets; without buckets
    they are offered as newly adopted.
    """

    buckets: list[int]
    versions: list[ObjectVersion]


class StateWant(msgspec.Struct, frozen=True):
    """Ask for objects by name; the answer may be compressed if they say so."""

    names: list[str]
    reads_compressed: bool = False


class StatePush(msgspec.Struct, frozen=True):
    """Objects to merge; synced marks the end of a full exchange."""

    objects: list[_store.StoredObject]
    synced: bool


class Claim(msgspec.Struct, frozen=True):
    """The right of one node to dispatch one non-idempotent request."""

    key: str
    workspace: str
    body_digest: str
    host: str
    nonce: str


class ClaimForward(msgspec.Struct, frozen=True):
    """Ask the shard's owner to commit a claim."""

    claim: Claim


class ClaimReply(msgspec.Struct, frozen=True):
    """Result of a forwarded claim; standing is the claim in the store."""

    key: str
    nonce: str
    status: ClaimStatus
    standing: Claim | None


class Follow(msgspec.Struct, frozen=True):
    """Ask for the answer stream of a request from chunk from_seq on."""

    key: str
    token: str
    from_seq: int
    body_digest: str


class FollowEvent(msgspec.Struct, frozen=True):
    """One event of a followed stream, encoded as for callers."""

    token: str
    event: str


class StageWork(msgspec.Struct, frozen=True):
    """One piece of a stage that a host needs computed."""

    request_id: str
    stage: int
    piece: int
    key: str | None
    inputs: list[str]


class StageAsk(msgspec.Struct, frozen=True):
    """Ask the owner of a stage service to compute the pieces of one stage.

    target_s and deadline_s are the seconds from receipt until the pieces
    are due for the request's target and for its deadline. next_services are
    those whose pieces read the results. allowed_domains are the failure
    domains whose runners may get the pieces, None for any. makers are the
    addresses of those that made the inputs, maker_starts their starts, as in
    PieceOutcome. inputs_left_s is the time until the first input is gone, None
    if it is not known.
    """

    group: str
    service_name: str
    work: list[StageWork]
    target_s: float
    deadline_s: float
    rank: int
    result_bytes: float
    failure_domain: str
    next_services: list[str]
    allowed_domains: list[str] | None = None
    makers: list[str] = []
    maker_starts: list[int] = []
    inputs_left_s: float | None = None


class ServiceWait(msgspec.Struct, frozen=True):
    """Queueing times of a stage service, as measured age_s ago.

    waits_s holds the wait of work that can be timely for each of several
    times until it is due; late_wait_s is the wait of work that can only be
    late. call_s is how long a call takes that begins after the wait, 0.0 if
    an idle runner takes new work by itself.
    """

    service_name: str
    waits_s: list[float]
    late_wait_s: float
    age_s: float
    call_s: float = 0.0


class StageTaken(msgspec.Struct, frozen=True):
    """Acknowledge StageAsk; waits are the queueing times the owner knows."""

    group: str
    waits: list[ServiceWait]


class PieceOutcome(msgspec.Struct, frozen=True):
    """How one piece ended: the handle of its result, or why there is none.

    started_ms tells the start of the runner that made the result: its Unix
    time, a negative number for one that does not say it, 0 if it is not
    known. The next start may give the same handle again.
    """

    piece: int
    handle: str | None
    reason: str | None
    started_ms: int = 0


class StageReply(msgspec.Struct, frozen=True):
    """Outcomes of some pieces, and the queueing times the owner knows."""

    group: str
    service_name: str
    outcomes: list[PieceOutcome]
    waits: list[ServiceWait]


class StageDrop(msgspec.Struct, frozen=True):
    """Cancel the pieces of a group that no request needs any more."""

    group: str
    service_name: str


class StageDeclined(msgspec.Struct, frozen=True):
    """A group that its owner gives back, as it reaches no runner."""

    group: str
    service_name: str


class StageRelease(msgspec.Struct, frozen=True):
    """Free results that were read; starts are those of their makers."""

    service_name: str
    handles: list[str]
    starts: list[int] = []


class RunnerStart(msgspec.Struct, frozen=True):
    """The start that is at a runner's address, as PieceOutcome.started_ms.

    ended are earlier starts there, whose results are gone; is_down tells that
    its process has ended as well, and no other one is there.
    """

    address: str
    started_ms: int
    ended: list[int]
    is_down: bool = False


class RunnerStarts(msgspec.Struct, frozen=True):
    """Starts of runners whose results the receiver may use."""

    starts: list[RunnerStart]


class RunnerLimit(msgspec.Struct, frozen=True):
    """Requests a second that a runner takes from all hosts together.

    rate_per_s is None if the runner names no limit any more; age_s is the
    time since its answer said so. started_ms tells its incarnation.
    """

    runner: str
    started_ms: int
    rate_per_s: float | None
    age_s: float


class RunnerLimits(msgspec.Struct, frozen=True):
    """Limits of runners that the sender knows."""

    limits: list[RunnerLimit]


class ColdRunner(msgspec.Struct, frozen=True):
    """A cold runner's incarnation, as an answer told age_s seconds ago.

    left_s is how long it will still be cold, 0 if it is warm.
    """

    runner: str
    started_ms: int
    left_s: float
    age_s: float


class ColdRunners(msgspec.Struct, frozen=True):
    """Cold runners that the sender knows from answers."""

    runners: list[ColdRunner]


class StreamBegan(msgspec.Struct, frozen=True):
    """The software version of a service that began a stream.

    first_attempt is the id of the request that brought the first event;
    ttl_s is how long callers may still take the stream up.
    """

    first_attempt: str
    workspace: str
    service_name: str
    software_version: str
    ttl_s: float


class LeavingRunner(msgspec.Struct, frozen=True):
    """A runner's incarnation that said age_s seconds ago that it leaves."""

    runner: str
    started_ms: int
    age_s: float


class RunnersLeaving(msgspec.Struct, frozen=True):
    """Runners whose answers said that they leave."""

    runners: list[LeavingRunner]


class SuspectCrash(msgspec.Struct, frozen=True):
    """A runner's incarnation that ended before it answered a suspect.

    A suspect is a part of a prompt, or a whole request. The call broke age_s
    seconds ago, ran_s seconds after it was sent; is_first tells that the
    suspect is a part that was the first one of its prompt.
    """

    service_name: str
    suspect: str
    is_first: bool
    runner: str
    started_ms: int
    age_s: float
    ran_s: float


class ClearedSuspect(msgspec.Struct, frozen=True):
    """A suspect whose answer began age_s seconds ago."""

    service_name: str
    suspect: str
    age_s: float


class CrashNews(msgspec.Struct, frozen=True):
    """Crashes under suspects, and suspects that are not to blame."""

    crashes: list[SuspectCrash]
    cleared: list[ClearedSuspect]


class StreamsBegan(msgspec.Struct, frozen=True):
    """Origins of streams, for the hosts that are asked for them."""

    streams: list[StreamBegan]


class StreamQuestion(msgspec.Struct, frozen=True):
    """Ask which software version of a service began a stream."""

    question: str
    first_attempt: str
    workspace: str
    service_name: str


class SeenVersion(msgspec.Struct, frozen=True):
    """A software version that a service had age_s seconds ago."""

    software_version: str
    age_s: float


class StreamAnswer(msgspec.Struct, frozen=True):
    """Answer to a StreamQuestion; origin is None if it is not known.

    versions are those that the sender knows the service to have had lately.
    remembers_all tells whether there were no others for as long as streams
    last; None is from a host whose build does not say.
    """

    question: str
    origin: StreamBegan | None
    versions: list[SeenVersion]
    remembers_all: bool | None = None


PeerMessage = (
    Ping
    | Ack
    | IndirectPing
    | MemberSync
    | StateDigest
    | StateVersions
    | StateWant
    | StatePush
    | ClaimForward
    | ClaimReply
    | Follow
    | FollowEvent
    | StageAsk
    | StageTaken
    | StageReply
    | StageDrop
    | StageRelease
    | StageDeclined
    | RunnerLimits
    | StreamsBegan
    | StreamQuestion
    | StreamAnswer
    | RunnersLeaving
    | CrashNews
    | ColdRunners
    | RunnerStarts
)


class SendPeerMessage(msgspec.Struct, frozen=True):
    """Effect: send a message to the node at address.

    fresh requests a new connection because the current one may have
    stopped delivering. is_compressed is for nodes that read such frames.
    """

    address: str
    message: PeerMessage
    fresh: bool = False
    is_compressed: bool = False
