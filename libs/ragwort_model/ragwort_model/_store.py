"""Calls to the platform's object API and their results."""

import dataclasses
import enum


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


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object with its version; value is None after deletion."""

    name: str
    version: int
    value: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCall:
    """Effect: call the object API; op identifies the call in its result.

    expected_version 0 means that the object must not exist. since is the
    revision after which a watch reports changes; wait_s is how long the
    watch may stay open.
    """

    op: str
    verb: StoreVerb
    name: str
    value: str | None = None
    expected_version: int = 0
    since: int = 0
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreResult:
    """Event: the result of the store call that op identifies."""

    op: str
    status: StoreStatus
    objects: tuple[StoredObject, ...] = ()
    revision: int = 0
