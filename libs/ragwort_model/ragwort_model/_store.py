"""Calls to the platform's object API and their results."""

import enum

import msgspec


class StoreVerb(enum.StrEnum):
    """Operations of the object API."""

    GET = 'get'
    PUT = 'put'
    DELETE = 'delete'
    LIST = 'list'
    WATCH = 'watch'


class StoreStatus(enum.StrEnum):
    """How a store call ended.

    After UNAVAILABLE a write may or may not have taken effect.
    """

    OK = 'ok'
    NOT_FOUND = 'not_found'
    CONFLICT = 'conflict'
    GONE = 'gone'
    RATE_LIMITED = 'rate_limited'
    UNAVAILABLE = 'unavailable'


# Bits of a version below its era: room for 280 million million revisions.
REVISION_BITS = 48
MAX_REVISION = (1 << REVISION_BITS) - 1
# Versions are sent to peers in signed fields of 64 bits.
MAX_ERA = (1 << (63 - REVISION_BITS)) - 1


def make_version(era: int, revision: int) -> int:
    """Return a revision of the store as a version that orders by era first.

    A store that is restored from an older copy gives out the same revisions
    again; its era rises by one each time. A store that was never restored
    has era 0, where versions equal revisions.
    """
    return (era << REVISION_BITS) | revision


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Return the store's own revision of a version."""
    return version & MAX_REVISION


def format_version(version: int) -> str:
    """Return a version as text, with its era unless that is 0."""
    era = era_of(version)
    return f'{era}.{revision_of(version)}' if era else str(version)


class StoredObject(msgspec.Struct, frozen=True):
    """An object with its version; value is None after deletion."""

    name: str
    version: int
    value: str | None


class StoreCall(msgspec.Struct, frozen=True):
    """Effect: call the object API; op identifies the call in its result.

    expected_version 0 means that the object must not exist. since is the
    version after which a watch reports changes; wait_s is how long the
    watch may stay open.
    """

    op: str
    verb: StoreVerb
    name: str
    value: str | None = None
    expected_version: int = 0
    since: int = 0
    wait_s: float = 0.0


class StoreResult(msgspec.Struct, frozen=True):
    """Event: the result of the store call that op identifies.

    revision is a version as of make_version. An answer without a revision
    has revision 0 of its era; a call without an answer has 0.
    """

    op: str
    status: StoreStatus
    objects: tuple[StoredObject, ...] = ()
    revision: int = 0

    @property
    def era(self) -> int:
        """Return the era of the store that answered, 0 without an answer."""
        return era_of(self.revision)
