"""Objects that were requested from peers and have not arrived yet."""

from collections.abc import Callable
import math

import msgspec

# Time for a requested object to arrive before another peer is asked: 600 KB
# over a link of 10 Mbit/s.
REQUEST_TIMEOUT_S = 0.5


class _Request(msgspec.Struct):
    """The highest version offered of an object, and who else has it."""

    version: int
    requested_at: float
    sources: list[str]


class Wants:
    """Request each object from one peer at a time.

    Many peers offer the same object at about the same time; requesting it
    from each of them would transfer it as many times.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.requests: dict[str, _Request] = {}

    def on_offer(
        self, name: str, version: int, source: str, now: float
    ) -> bool:
        """Record that source has a version; return whether to request it.

        If a request is open, source is asked only after that has failed, or
        has brought an older version.
        """
        request = self.requests.get(name)
        if request is None:
            self.requests[name] = _Request(version, now, [])
            return True
        if version > request.version:
            request.version = version
            request.sources = [source]
        elif version == request.version and source not in request.sources:
            request.sources.append(source)
        return False

    def on_received(self, name: str, version: int) -> None:
        """End the request for an object, or make the next one due at once."""
        request = self.requests.get(name)
        if request is None:
            return
        if version >= request.version:
            del self.requests[name]
        else:
            request.requested_at = -math.inf

    def due(
        self, now: float, is_lacking: Callable[[str, int], bool]
    ) -> list[tuple[str, str]]:
        """Return the sources to ask next, each with an object's name.

        A request is over if the version came from elsewhere. One without
        another source is given up; anti-entropy finds what it would have
        brought.
        """
        found = []
        for name, request in list(self.requests.items()):
            if now < request.requested_at + REQUEST_TIMEOUT_S:
                continue
            is_needed = is_lacking(name, request.version)
            if not is_needed or not request.sources:
                del self.requests[name]
                continue
            request.requested_at = now
            found.append((request.sources.pop(0), name))
        return found
