"""Messages between nodes."""

import dataclasses
import enum

from ragwort_model import _store


class MemberStatus(enum.IntEnum):
    """Liveness of a node; the order breaks ties of one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class ClaimStatus(enum.IntEnum):
    """Answer to a claim.

    GRANTED: the claimant's own nonce stands in the store. TAKEN: another
    claim holds the key. UNRESOLVED: the store gave no answer in time.
    """

    GRANTED = 0
    TAKEN = 1
    UNRESOLVED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class MemberUpdate:
    """What one node says about another; capacity as in EntryHost."""

    name: str
    incarnation: int
    status: MemberStatus
    caller_address: str
    peer_address: str
    failure_domain: str
    region: str
    accepting: bool
    capacity: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Probe; wall lets the receiver compare clocks (seconds).

    view is a hash over the sender's list of nodes.
    """

    sequence: int
    wall: float
    view: int
    updates: list[MemberUpdate]


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Answer to a probe."""

    sequence: int
    wall: float
    updates: list[MemberUpdate]


@dataclasses.dataclass(frozen=True, slots=True)
class IndirectPing:
    """Ask the receiver to probe target for the sender."""

    sequence: int
    target: str
    updates: list[MemberUpdate]


@dataclasses.dataclass(frozen=True, slots=True)
class MemberSync:
    """Full member list, exchanged at start and after a healed split."""

    members: list[MemberUpdate]
    reply: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectVersion:
    """Name and version of one replicated object."""

    name: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateDigest:
    """Hash over the replica, and over its buckets once roots differ."""

    root: int
    buckets: list[int]


@dataclasses.dataclass(frozen=True, slots=True)
class StateVersions:
    """Versions that the sender holds in the named buckets."""

    buckets: list[int]
    versions: list[ObjectVersion]


@dataclasses.dataclass(frozen=True, slots=True)
class StateWant:
    """Ask for objects by name."""

    names: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class StatePush:
    """Objects for the receiver to merge; synced ends a full exchange."""

    objects: list[_store.StoredObject]
    synced: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The right of one node to dispatch one non-idempotent request."""

    key: str
    workspace: str
    body_digest: str
    host: str
    nonce: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimForward:
    """Ask the shard's owner to commit a claim."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReply:
    """Result of a forwarded claim, with the claim that stands."""

    key: str
    nonce: str
    status: ClaimStatus
    standing: Claim | None


@dataclasses.dataclass(frozen=True, slots=True)
class Follow:
    """Ask for the answer stream of a request from chunk from_seq on."""

    key: str
    token: str
    from_seq: int
    body_digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class FollowEvent:
    """One event of a followed stream, encoded as towards callers."""

    token: str
    event: str


@dataclasses.dataclass(frozen=True, slots=True)
class StageWork:
    """One piece of a stage that a host wants made."""

    request_id: str
    stage: int
    piece: int
    key: str | None
    inputs: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class StageAsk:
    """Ask a stage service's owner for the pieces of one stage.

    target_s and deadline_s count from the receipt: when the pieces have to
    be made for the request's target and its deadline.
    """

    group: str
    service_name: str
    work: list[StageWork]
    target_s: float
    deadline_s: float
    rank: int
    result_bytes: float
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceWait:
    """The queueing times of a stage service that were so age_s ago.

    What can be timely waits as waits_s says for several times until it is
    due, what can only be late late_wait_s.
    """

    service_name: str
    waits_s: list[float]
    late_wait_s: float
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StageTaken:
    """The owner has the pieces; waits is what it knows of queues."""

    group: str
    waits: list[ServiceWait]


@dataclasses.dataclass(frozen=True, slots=True)
class PieceOutcome:
    """How one piece ended: the handle of its result, or why there is none."""

    piece: int
    handle: str | None
    reason: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class StageReply:
    """Outcomes of some pieces, and what the owner knows of queues."""

    group: str
    service_name: str
    outcomes: list[PieceOutcome]
    waits: list[ServiceWait]


@dataclasses.dataclass(frozen=True, slots=True)
class StageDrop:
    """Nobody wants the pieces of a group any more."""

    group: str
    service_name: str


@dataclasses.dataclass(frozen=True, slots=True)
class StageRelease:
    """Results that were read and can be freed."""

    service_name: str
    handles: list[str]


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
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Effect: send a message to the node at address.

    fresh asks for a new connection because the present one is suspected
    of being silent.
    """

    address: str
    message: PeerMessage
    fresh: bool = False
