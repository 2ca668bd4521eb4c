"""Framed Thrift messages over TCP between hosts."""

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.protocols import basic
from twisted.python import failure

import ragwort_model as model
import ragwort_wire as wire

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 30.0
MAX_QUEUED_FRAMES = 256
MAX_BUFFERED_BYTES = 4 * 1024 * 1024
# Size of the length that precedes each frame.
LENGTH_BYTES = 4

FrameHandler = Callable[[wire.PeerFrame], None]
ErrorHandler = Callable[[str], None]


class IncomingPeer(basic.Int32StringReceiver):
    """Connection opened by another host."""

    MAX_LENGTH = wire.MAX_FRAME_BYTES

    def __init__(self, on_frame: FrameHandler, on_error: ErrorHandler) -> None:
        """Pass frames and errors to the given handlers."""
        self.on_frame = on_frame
        self.on_error = on_error

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Decode one frame; close the connection if it is damaged."""
        try:
            frame = wire.decode_peer(string)
        except model.WireError as error:
            self.on_error(str(error))
            self.transport.loseConnection()
            return
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


class _OutgoingPeer(basic.Int32StringReceiver):
    """Connection opened by this host; the peer sends nothing on it."""

    MAX_LENGTH = 0

    def __init__(self, connection: '_PeerConnection') -> None:
        self.connection = connection

    def connectionMade(self) -> None:  # noqa: N802
        self.connection.on_connected(self)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self.connection.on_disconnected(self)


class _PeerConnection(protocol.ClientFactory):
    """The connection to one peer, opened when needed."""

    noisy = False

    def __init__(self, reactor: Any, address: str) -> None:
        self.reactor = reactor
        self.address = address
        self.active_protocol: _OutgoingPeer | None = None
        self.connector: Any = None
        self.queue: list[bytes] = []
        self.last_used_at = 0.0

    def buildProtocol(self, addr: Any) -> _OutgoingPeer:  # noqa: N802
        return _OutgoingPeer(self)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: failure.Failure
    ) -> None:
        if connector is self.connector:
            self.connector = None
            self.queue.clear()

    def send(self, data: bytes, reconnect: bool) -> None:
        if reconnect:
            self.abort()
        if self.active_protocol is not None:
            self.active_protocol.sendString(data)
            return
        if len(self.queue) < MAX_QUEUED_FRAMES:
            self.queue.append(data)
        if self.connector is None:
            host, port = model.split_address(self.address)
            self.connector = self.reactor.connectTCP(
                host, port, self, CONNECT_TIMEOUT_S
            )

    def on_connected(self, peer: _OutgoingPeer) -> None:
        self.active_protocol = peer
        peer.transport.setTcpNoDelay(True)
        for data in self.queue:
            peer.sendString(data)
        self.queue.clear()

    def on_disconnected(self, peer: _OutgoingPeer) -> None:
        if peer is self.active_protocol:
            self.active_protocol = None
            self.connector = None

    def abort(self) -> None:
        """Abort the connection or the attempt to open one."""
        if self.active_protocol is not None:
            self.active_protocol.transport.abortConnection()
        elif self.connector is not None:
            self.connector.disconnect()
        self.active_protocol = None
        self.connector = None


class PeerConnections:
    """Send messages to peers; they may be lost but are never reordered."""

    def __init__(self, reactor: Any, own_address: str) -> None:
        """Start without connections."""
        self.reactor = reactor
        self.own_address = own_address
        self.connections: dict[str, _PeerConnection] = {}
        self.bytes_sent = 0

    def send(self, effect: model.SendPeerMessage, now: float) -> int:
        """Send a message, opening a connection if there is none.

        Return the size of its frame in bytes.
        """
        data = wire.encode_peer(
            self.own_address, effect.message, effect.is_compressed
        )
        frame_bytes = len(data) + LENGTH_BYTES
        self.bytes_sent += frame_bytes
        connection = self.connections.get(effect.address)
        if connection is None:
            connection = _PeerConnection(self.reactor, effect.address)
            self.connections[effect.address] = connection
        connection.last_used_at = now
        connection.send(data, effect.fresh)
        return frame_bytes

    def close_idle(self, now: float) -> None:
        """Close connections that were not used for IDLE_TIMEOUT_S."""
        for address, connection in list(self.connections.items()):
            if now - connection.last_used_at > IDLE_TIMEOUT_S:
                connection.abort()
                del self.connections[address]

    def close(self) -> None:
        """Close all connections once written data has been sent."""
        for connection in self.connections.values():
            if connection.active_protocol is not None:
                connection.active_protocol.transport.loseConnection()
