"""One account of the bytes that a host holds for callers and runners."""

from collections.abc import Callable
from typing import Protocol

# Largest body of an answer. The smallest hosts have 160 MB.
MAX_ANSWER_BYTES = 8_000_000
# Largest body of a short message: a load report, a release.
MAX_REPORT_BYTES = 64_000
# All that a host holds, if its settings don't name its memory.
MAX_HELD_BYTES = 24_000_000
# Share of the memory that may be held: 24 MB of 160 MB, the bound of before.
# Requests, parsers and the host's own state take the rest.
HELD_SHARE = 0.15
BYTES_PER_MB = 1_000_000


def held_limit(memory_mb: float | None) -> int:
    """Return how many bytes a host with some memory may hold."""
    if memory_mb is None:
        return MAX_HELD_BYTES
    return int(memory_mb * BYTES_PER_MB * HELD_SHARE)


class Holder(Protocol):
    """Something that holds bytes and can give them up."""

    @property
    def size(self) -> int:
        """Return the bytes held."""

    def give_up(self, reason: str) -> None:
        """Drop the bytes and end what they are for, openly."""


class HeldBytes:
    """Counts bodies being collected, and bytes that wait for slow readers.

    Beyond the limit the largest is given up.
    """

    def __init__(self, limit: int = MAX_HELD_BYTES) -> None:
        """Hold at most limit bytes."""
        self.limit = limit
        self.total = 0
        self.holders: set[Holder] = set()
        self.given_up = 0

    def add(self, holder: Holder, count: int) -> None:
        """Count bytes that a holder has just taken."""
        self.holders.add(holder)
        self.total += count
        while self.total > self.limit and self.holders:
            largest = max(self.holders, key=lambda held: held.size)
            self.given_up += 1
            largest.give_up(f'over {self.limit} bytes held together')

    def take_off(self, holder: Holder, count: int) -> None:
        """Count bytes no more that a holder has just passed on."""
        if holder in self.holders:
            self.total -= count
            if not holder.size:
                self.holders.discard(holder)

    def remove(self, holder: Holder) -> None:
        """Count a holder no more."""
        if holder in self.holders:
            self.holders.discard(holder)
            self.total -= holder.size


class BodyBuffer:
    """A body that is collected up to a size."""

    def __init__(
        self,
        held: HeldBytes,
        max_bytes: int,
        on_too_large: Callable[[str], None],
    ) -> None:
        """Call on_too_large with the reason once the body is given up."""
        self.held = held
        self.max_bytes = max_bytes
        self.on_too_large = on_too_large
        self.data = bytearray()
        self.is_over = False

    @property
    def size(self) -> int:
        """Return the bytes collected."""
        return len(self.data)

    def add(self, data: bytes) -> None:
        """Add a part of the body."""
        if self.is_over:
            return
        if self.size + len(data) > self.max_bytes:
            self.give_up(f'body of over {self.max_bytes} bytes')
            return
        self.data += data
        self.held.add(self, len(data))

    def take(self) -> bytes:
        """Return the whole body and hold it no more."""
        body = bytes(self.data)
        self.drop()
        return body

    def drop(self) -> None:
        """Forget the body."""
        self.held.remove(self)
        self.data = bytearray()
        self.is_over = True

    def give_up(self, reason: str) -> None:
        """Forget a body that is too large and say so."""
        if not self.is_over:
            self.drop()
            self.on_too_large(reason)
