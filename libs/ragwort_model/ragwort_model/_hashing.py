"""Stable hashes: content digests and rendezvous hashing."""

from collections.abc import Iterable
import hashlib

import xxhash

DIGEST_BYTES = 16


def content_digest(parts: Iterable[str]) -> str:
    """Return a digest of the concatenated parts as hexadecimal text."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(part.encode())
    return digest.hexdigest()


def fields_digest(fields: Iterable[bytes]) -> str:
    """Return a digest of fields, which differs if their borders do."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(8))
        digest.update(field)
    return digest.hexdigest()


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    return xxhash.xxh3_64_intdigest('\x00'.join(parts).encode())


def select_by_rendezvous(
    key: str, names: Iterable[str], count: int = 1
) -> list[str]:
    """Return the count names with the highest score for key.

    Rendezvous hashing: when a name is added or removed, only the keys that
    it gains or had selected it are reassigned.
    """
    scored = sorted(
        names, key=lambda name: (stable_hash(key, name), name), reverse=True
    )
    return scored[:count]
