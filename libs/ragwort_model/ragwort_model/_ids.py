"""Identifiers of requests and attempts."""

import random
import uuid

import msgspec

from ragwort_model import _errors

MS_PER_S = 1000


class AttemptId(msgspec.Struct, frozen=True):
    """Identifier of one attempt at one stage of a request.

    The nonce distinguishes attempts of a restarted node from earlier ones.
    """

    request_key: str
    stage: int
    number: int
    nonce: str

    def __str__(self) -> str:
        """Return the form that is sent to runners and echoed by them."""
        return f'{self.request_key}/{self.stage}/{self.number}/{self.nonce}'


def new_request_key() -> str:
    """Return a new UUIDv7; its time bounds how long a claim is retained."""
    # Slow to import, and not used by all processes.
    import uuid6

    return str(uuid6.uuid7())


def request_key_at(wall: float, rng: random.Random) -> str:
    """Return a new UUIDv7 for the given wall-clock time in seconds."""
    timestamp_ms = int(wall * MS_PER_S) & ((1 << 48) - 1)
    value = timestamp_ms << 80 | rng.getrandbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


def request_key_time(key: str) -> float:
    """Return the wall-clock time in seconds encoded in a request key.

    Raises InvalidInputError if the key is not a UUIDv7.
    """
    try:
        value = uuid.UUID(key)
    except ValueError:
        raise _errors.InvalidInputError(
            f'request key {key!r} is not a UUID'
        ) from None
    if value.version != 7:
        raise _errors.InvalidInputError(
            f'request key {key!r} is not a UUID of version 7'
        )
    return (value.int >> 80) / MS_PER_S


def new_nonce(rng: random.Random) -> str:
    """Return 64 random bits as hexadecimal text."""
    return f'{rng.getrandbits(64):016x}'
