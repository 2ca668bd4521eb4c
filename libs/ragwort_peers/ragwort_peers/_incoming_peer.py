"""Connections that other hosts open to this one."""

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.protocols import basic

import ragwort_model as model
from ragwort_peers import _socket_options
import ragwort_wire as wire

FrameHandler = Callable[[wire.PeerFrame], None]
ErrorHandler = Callable[[str], None]


class IncomingPeer(basic.Int32StringReceiver):
    """Connection opened by another host, which awaits receipts on it."""

    MAX_LENGTH = wire.MAX_FRAME_BYTES

    def __init__(self, on_frame: FrameHandler, on_error: ErrorHandler) -> None:
        """Pass frames and errors to the given handlers."""
        self.on_frame = on_frame
        self.on_error = on_error
        self.read_number = 0
        self.confirmed_number = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Detect a peer that is gone."""
        _socket_options.set_socket_options(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read all complete frames and confirm them with one receipt."""
        super().dataReceived(data)
        self._confirm()

    def _confirm(self) -> None:
        if self.read_number > self.confirmed_number:
            self.confirmed_number = self.read_number
            self.sendString(wire.encode_receipt(self.read_number))

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Decode one frame; close the connection if it is damaged."""
        try:
            frame = wire.decode_peer(string)
        except model.UnknownMessageError as error:
            # A later version may send it; what follows can be read.
            self.on_error(str(error))
            self.read_number = max(self.read_number, error.number)
            return
        except model.WireError as error:
            self.on_error(str(error))
            self._confirm()
            self.transport.loseConnection()
            return
        self.read_number = max(self.read_number, frame.number)
        self.on_frame(frame)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close a connection that announces a frame over the limit."""
        self.on_error(
            f'frame of {length} bytes exceeds the limit of {self.MAX_LENGTH}'
        )
        self.transport.loseConnection()


class IncomingPeerFactory(protocol.Factory):
    """Accept connections from other hosts."""

    noisy = False

    def __init__(self, on_frame: FrameHandler, on_error: ErrorHandler) -> None:
        """Pass frames and errors to the given handlers."""
        self.on_frame = on_frame
        self.on_error = on_error

    def buildProtocol(self, addr: Any) -> IncomingPeer:  # noqa: N802
        """Return the protocol of a new connection."""
        return IncomingPeer(self.on_frame, self.on_error)
