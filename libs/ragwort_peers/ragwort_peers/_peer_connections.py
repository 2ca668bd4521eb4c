"""Framed thrift over TCP between nodes."""

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.protocols import basic
from twisted.python import failure

import ragwort_model as model
import ragwort_wire as wire

CONNECT_TIMEOUT_S = 1.0
IDLE_CLOSE_S = 30.0
MAX_QUEUED_FRAMES = 256
MAX_BUFFERED_BYTES = 4 * 1024 * 1024

OnFrame = Callable[[wire.PeerFrame], None]
OnProblem = Callable[[str], None]


class IncomingPeer(basic.Int32StringReceiver):
    """A link that another node opened."""

    MAX_LENGTH = wire.MAX_FRAME_BYTES

    def __init__(self, on_frame: OnFrame, on_problem: OnProblem) -> None:
        """Report frames and problems to the given functions."""
        self.on_frame = on_frame
        self.on_problem = on_problem

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Decode one frame; a damaged one closes the link."""
        try:
            frame = wire.decode_peer(string)
        except model.WireError as error:
            self.on_problem(str(error))
            self.transport.loseConnection()
            return
        self.on_frame(frame)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close a link that announces a frame over the limit."""
        self.on_problem(f'frame of {length} bytes is too long')
        self.transport.loseConnection()


class IncomingPeerFactory(protocol.Factory):
    """Accept links from other nodes."""

    noisy = False

    def __init__(self, on_frame: OnFrame, on_problem: OnProblem) -> None:
        """Report frames and problems to the given functions."""
        self.on_frame = on_frame
        self.on_problem = on_problem

    def buildProtocol(self, addr: Any) -> IncomingPeer:  # noqa: N802
        """Return the protocol of a new link."""
        return IncomingPeer(self.on_frame, self.on_problem)


class _Outgoing(basic.Int32StringReceiver):
    """A link that this node opened; nothing is expected on it."""

    MAX_LENGTH = 0

    def __init__(self, link: '_Link') -> None:
        self.link = link

    def connectionMade(self) -> None:  # noqa: N802
        self.link.on_connected(self)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self.link.on_lost(self)


class _Link(protocol.ClientFactory):
    """The way to one peer, opened when needed and closed when idle."""

    noisy = False

    def __init__(self, reactor: Any, address: str) -> None:
        self.reactor = reactor
        self.address = address
        self.protocol_now: _Outgoing | None = None
        self.connector: Any = None
        self.queue: list[bytes] = []
        self.used_at = 0.0

    def buildProtocol(self, addr: Any) -> _Outgoing:  # noqa: N802
        return _Outgoing(self)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: failure.Failure
    ) -> None:
        if connector is self.connector:
            self.connector = None
            self.queue.clear()

    def send(self, data: bytes, fresh: bool) -> None:
        if fresh:
            self.abort()
        if self.protocol_now is not None:
            self.protocol_now.sendString(data)
            return
        if len(self.queue) < MAX_QUEUED_FRAMES:
            self.queue.append(data)
        if self.connector is None:
            host, port = model.split_address(self.address)
            self.connector = self.reactor.connectTCP(
                host, port, self, CONNECT_TIMEOUT_S
            )

    def on_connected(self, opened: _Outgoing) -> None:
        self.protocol_now = opened
        opened.transport.setTcpNoDelay(True)
        for data in self.queue:
            opened.sendString(data)
        self.queue.clear()

    def on_lost(self, closed: _Outgoing) -> None:
        if closed is self.protocol_now:
            self.protocol_now = None
            self.connector = None

    def abort(self) -> None:
        """Drop the connection, whether it works or not."""
        if self.protocol_now is not None:
            self.protocol_now.transport.abortConnection()
        elif self.connector is not None:
            self.connector.disconnect()
        self.protocol_now = None
        self.connector = None


class PeerConnections:
    """Carry out SendPeerMessage; messages may be lost, never reordered."""

    def __init__(self, reactor: Any, own_address: str) -> None:
        """Start without links."""
        self.reactor = reactor
        self.own_address = own_address
        self.links: dict[str, _Link] = {}
        self.bytes_sent = 0

    def send(self, effect: model.SendPeerMessage, now: float) -> None:
        """Send a message, opening a link if there is none."""
        data = wire.encode_peer(self.own_address, effect.message)
        self.bytes_sent += len(data) + 4
        link = self.links.get(effect.address)
        if link is None:
            link = _Link(self.reactor, effect.address)
            self.links[effect.address] = link
        link.used_at = now
        link.send(data, effect.fresh)

    def close_idle(self, now: float) -> None:
        """Close links that were not used for a while."""
        for address, link in list(self.links.items()):
            if now - link.used_at > IDLE_CLOSE_S:
                link.abort()
                del self.links[address]

    def close(self) -> None:
        """Close all links after what was written has gone out."""
        for link in self.links.values():
            if link.protocol_now is not None:
                link.protocol_now.transport.loseConnection()
