"""Connections that this host opens to others.

Messages travel one way on a connection; receipts come back on it. A
connection may stop delivering without an error while new ones work. It is
replaced as soon as a receipt is overdue, and what was not confirmed is sent
again. A peer may so read a message twice, but never out of order.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.protocols import basic
from twisted.python import failure

import ragwort_model as model
from ragwort_peers import _socket_options
from ragwort_peers import _unconfirmed_frames
import ragwort_wire as wire

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 30.0
# Connections without a receipt after which a peer is taken for one that sends
# none, until it sends one again.
MAX_SILENT_CONNECTIONS = 4
# Size of the length that precedes each frame.
LENGTH_BYTES = 4

# Called with the peer's address, the number of unconfirmed frames and the age
# of the oldest one in seconds.
SilenceHandler = Callable[[str, int, float], None]


class _OutgoingPeer(basic.Int32StringReceiver):
    """Connection opened by this host; the peer sends receipts on it."""

    MAX_LENGTH = wire.RECEIPT_BYTES

    def __init__(self, connection: '_PeerConnection') -> None:
        self.connection = connection
        self.has_receipt = False

    def connectionMade(self) -> None:  # noqa: N802
        _socket_options.set_socket_options(self.transport)
        self.connection.on_connected(self)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        try:
            number = wire.decode_receipt(string)
        except model.WireError:
            self.transport.abortConnection()
            return
        self.has_receipt = True
        self.connection.on_receipt(self, number)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self.connection.on_disconnected(self)


class _PeerConnection(protocol.ClientFactory):
    """The connection to one peer, opened when needed."""

    noisy = False

    def __init__(
        self, reactor: Any, address: str, on_silent: SilenceHandler
    ) -> None:
        self.reactor = reactor
        self.address = address
        self.on_silent = on_silent
        self.active_protocol: _OutgoingPeer | None = None
        self.connector: Any = None
        self.unconfirmed = _unconfirmed_frames.UnconfirmedFrames()
        self.sent_count = 0
        self.sends_receipts = False
        self.silent_count = 0
        self.timer: Any = None
        self.last_used_at = 0.0

    def buildProtocol(self, addr: Any) -> _OutgoingPeer:  # noqa: N802
        return _OutgoingPeer(self)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: failure.Failure
    ) -> None:
        if connector is self.connector:
            self.connector = None

    def next_number(self) -> int:
        """Return the number of the next frame."""
        self.sent_count += 1
        return self.sent_count

    def send(self, number: int, data: bytes, reconnect: bool) -> None:
        """Send a frame once there is a connection, maybe a new one."""
        if reconnect:
            self.abort()
        self.unconfirmed.add(number, data, self.reactor.seconds())
        if self.active_protocol is not None:
            self.active_protocol.sendString(data)
            self._await_receipt()
        elif self.connector is None:
            self._open()

    def _open(self) -> None:
        host, port = model.split_address(self.address)
        self.connector = self.reactor.connectTCP(
            host, port, self, CONNECT_TIMEOUT_S
        )

    def on_connected(self, peer: _OutgoingPeer) -> None:
        """Send all that is not confirmed on the new connection."""
        self.active_protocol = peer
        now = self.reactor.seconds()
        self.unconfirmed.drop_outdated(now)
        self.unconfirmed.on_sent_again(now)
        for frame in self.unconfirmed.frames:
            peer.sendString(frame.data)
        self._await_receipt()

    def on_receipt(self, peer: _OutgoingPeer, number: int) -> None:
        """Drop what the peer has read."""
        if peer is not self.active_protocol:
            return
        self.sends_receipts = True
        self.silent_count = 0
        self.unconfirmed.confirm(number)

    def _await_receipt(self) -> None:
        due_at = self.unconfirmed.due_at
        if due_at is None or not self.sends_receipts:
            return
        if self.timer is None:
            delay_s = max(due_at - self.reactor.seconds(), 0.0)
            self.timer = self.reactor.callLater(delay_s, self._check_receipt)

    def _check_receipt(self) -> None:
        """Replace the connection if a receipt is overdue."""
        self.timer = None
        due_at = self.unconfirmed.due_at
        if self.active_protocol is None or due_at is None:
            return
        now = self.reactor.seconds()
        if now < due_at:
            self._await_receipt()
            return
        self.on_silent(
            self.address,
            len(self.unconfirmed.frames),
            self.unconfirmed.age_s(now),
        )
        self.unconfirmed.wait_longer()
        self.silent_count += 1
        if self.silent_count >= MAX_SILENT_CONNECTIONS:
            self.sends_receipts = False
        self.abort()
        self._open()

    def on_disconnected(self, peer: _OutgoingPeer) -> None:
        """Go on over another connection after one has ended."""
        if peer is not self.active_protocol:
            return
        self._forget_connection()
        if peer.has_receipt and self.unconfirmed.frames:
            self._open()
        else:
            # The peer may have closed the connection because of this frame.
            self.unconfirmed.drop_first()

    def _forget_connection(self) -> None:
        self.active_protocol = None
        self.connector = None
        if not self.sends_receipts:
            # Whether the peer has read them will never be known.
            self.unconfirmed.clear()

    def abort(self) -> None:
        """Abort the connection or the attempt to open one."""
        peer, connector = self.active_protocol, self.connector
        if peer is not None:
            self._forget_connection()
            peer.transport.abortConnection()
        elif connector is not None:
            self.connector = None
            connector.disconnect()

    def close(self, is_aborted: bool) -> None:
        """End the connection for good, or once written data is sent."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if is_aborted:
            self.abort()
        elif self.active_protocol is not None:
            self.active_protocol.transport.loseConnection()


class PeerConnections:
    """Send messages to peers; they may be lost but are never reordered."""

    def __init__(self, reactor: Any, own_address: str) -> None:
        """Start without connections."""
        self.reactor = reactor
        self.own_address = own_address
        self.connections: dict[str, _PeerConnection] = {}
        self.bytes_sent = 0
        self.on_silent: SilenceHandler = lambda address, count, age_s: None

    def send(self, effect: model.SendPeerMessage, now: float) -> int:
        """Send a message, opening a connection if there is none.

        Return the size of its frame in bytes.
        """
        connection = self.connections.get(effect.address)
        if connection is None:
            connection = _PeerConnection(
                self.reactor, effect.address, self._on_silent
            )
            self.connections[effect.address] = connection
        number = connection.next_number()
        data = wire.encode_peer(
            self.own_address, effect.message, effect.is_compressed, number
        )
        frame_bytes = len(data) + LENGTH_BYTES
        self.bytes_sent += frame_bytes
        connection.last_used_at = now
        connection.send(number, data, effect.fresh)
        return frame_bytes

    def _on_silent(self, address: str, count: int, age_s: float) -> None:
        self.on_silent(address, count, age_s)

    def close_idle(self, now: float) -> None:
        """Close connections that were not used for IDLE_TIMEOUT_S."""
        for address, connection in list(self.connections.items()):
            if now - connection.last_used_at > IDLE_TIMEOUT_S:
                connection.close(is_aborted=True)
                del self.connections[address]

    def close(self) -> None:
        """Close all connections once written data has been sent."""
        for connection in self.connections.values():
            connection.close(is_aborted=False)
