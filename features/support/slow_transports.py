"""Transports whose other end reads only when told to."""

from typing import Any

from twisted.internet import error
from twisted.python import failure

from features.support import transports


class SlowTransport(transports.QuietTransport):
    """Holds what is written, and pauses its producer, as a socket's does."""

    def __init__(self, protocol: Any) -> None:
        """Carry bytes for a protocol."""
        super().__init__()
        self.end = protocol
        self.bufferSize = 64 * 1024
        self.pending = bytearray()
        self.received = bytearray()
        self.is_held = False
        self.is_aborted = False
        # Whether the protocol reads nothing.
        self.is_paused = False

    def write(self, data: bytes) -> None:
        """Hold bytes for the other end."""
        if self.is_aborted:
            return
        self.pending += data
        if (
            self.producer
            and not self.is_held
            and (len(self.pending) > self.bufferSize)
        ):
            self.is_held = True
            self.producer.pauseProducing()

    def read(self, count: int) -> None:
        """Let the other end read some bytes."""
        while count > 0 and self.pending:
            taken = self.pending[:count]
            del self.pending[:count]
            self.received += taken
            count -= len(taken)
            if not self.pending and self.is_held and self.producer:
                self.is_held = False
                self.producer.resumeProducing()

    def pauseProducing(self) -> None:  # noqa: N802
        """Read nothing for now."""
        self.is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on."""
        self.is_paused = False

    def abortConnection(self) -> None:  # noqa: N802
        """Reset the connection."""
        if not self.is_aborted:
            self.is_aborted = True
            self.pending.clear()
            reason = failure.Failure(error.ConnectionAborted())
            self.end.connectionLost(reason)
