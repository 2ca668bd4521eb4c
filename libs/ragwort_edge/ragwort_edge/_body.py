"""Collecting bodies of answers within bounds on each and on all."""

from collections.abc import Callable

# Largest body of an answer. The smallest hosts have 160 MB.
MAX_ANSWER_BYTES = 8_000_000
# Largest body of a short message: a load report, a release.
MAX_REPORT_BYTES = 64_000
# Bodies of all calls of a host together.
MAX_HELD_BYTES = 24_000_000


class HeldBytes:
    """Counts the bytes of the bodies that a host is collecting.

    Beyond the limit the largest body is given up.
    """

    def __init__(self, limit: int = MAX_HELD_BYTES) -> None:
        """Hold at most limit bytes."""
        self.limit = limit
        self.total = 0
        self.bodies: set[BodyBuffer] = set()

    def add(self, body: 'BodyBuffer', count: int) -> None:
        """Count bytes of a body."""
        self.bodies.add(body)
        self.total += count
        while self.total > self.limit:
            largest = max(self.bodies, key=lambda held: held.size)
            largest.give_up(f'bodies of over {self.limit} bytes together')

    def remove(self, body: 'BodyBuffer') -> None:
        """Count a body no more."""
        if body in self.bodies:
            self.bodies.discard(body)
            self.total -= body.size


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
