"""What waits for a caller that reads slowly."""

from collections.abc import Callable
from typing import Any

from twisted.internet import interfaces
import zope.interface

from ragwort_edge import _body

# Bytes written to a transport at a time, and those that it holds before it
# asks for a pause: so much of each connection is in no account.
SLICE_BYTES = 16 * 1024


@zope.interface.implementer(interfaces.IPushProducer)
class CallerQueue:
    """The bytes of answers that a connection has yet to carry.

    They count towards the host's account, which may give them up. Then the
    connection is aborted, so that no answer looks whole that is not.
    """

    def __init__(
        self,
        held: _body.HeldBytes,
        transport: Any,
        on_pause: Callable[[bool], None],
        on_given_up: Callable[[str], None],
    ) -> None:
        """Write to a transport.

        on_pause is told when bytes begin to wait, and when none do any more.
        """
        self.held = held
        self.transport = transport
        self.on_pause = on_pause
        self.on_given_up = on_given_up
        self.data = bytearray()
        self.is_paused = False
        self.is_over = False
        self.on_empty: Callable[[], None] | None = None
        transport.bufferSize = SLICE_BYTES
        transport.registerProducer(self, True)

    @property
    def size(self) -> int:
        """Return the bytes that wait."""
        return len(self.data)

    def write(self, data: bytes) -> None:
        """Write bytes, or keep those that the transport can't take yet."""
        if self.is_over:
            return
        if not self.data and not self.is_paused and len(data) <= SLICE_BYTES:
            self.transport.write(data)
            return
        self.data += data
        self.held.add(self, len(data))
        self._write_on()

    def _write_on(self) -> None:
        while self.data and not self.is_paused and not self.is_over:
            part = bytes(self.data[:SLICE_BYTES])
            del self.data[:SLICE_BYTES]
            self.held.take_off(self, len(part))
            self.transport.write(part)
        if not self.data and self.on_empty is not None and not self.is_over:
            on_empty, self.on_empty = self.on_empty, None
            on_empty()

    def pauseProducing(self) -> None:  # noqa: N802
        """Keep what comes from now on."""
        if not self.is_paused:
            self.is_paused = True
            self.on_pause(True)

    def resumeProducing(self) -> None:  # noqa: N802
        """Write what waits."""
        if not self.is_paused:
            return
        self.is_paused = False
        self._write_on()
        if not self.is_paused and not self.is_over:
            self.on_pause(False)

    def stopProducing(self) -> None:  # noqa: N802
        """Forget what waits: the connection is gone."""
        self.drop()

    def close(self) -> None:
        """Close the connection once nothing waits."""
        if self.data:
            self.on_empty = self._close
        else:
            self._close()

    def _close(self) -> None:
        self.drop()
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def drop(self) -> None:
        """Forget what waits."""
        self.is_over = True
        self.held.remove(self)
        self.data = bytearray()

    def give_up(self, reason: str) -> None:
        """Forget what waits and say so."""
        if not self.is_over:
            self.drop()
            self.on_given_up(reason)
