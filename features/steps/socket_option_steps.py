"""Steps of the options of sockets."""

import socket
from typing import Any

from behave import then
from behave import when
from twisted.internet import task

import ragwort_edge as edge
from ragwort_edge import _client
from ragwort_edge import _server
import ragwort_peers as peers
from ragwort_peers import _peer_connections
import ragwort_relay as relay


class _Transport:
    """A transport on a socket of its own that is not connected."""

    def __init__(self) -> None:
        self.handle = socket.socket()

    def getHandle(self) -> socket.socket:  # noqa: N802
        return self.handle

    def setTcpNoDelay(self, is_on: bool) -> None:  # noqa: N802
        self.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, is_on)

    def setTcpKeepAlive(self, is_on: bool) -> None:  # noqa: N802
        self.handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, is_on)

    def write(self, data: bytes) -> None:
        """Send nothing."""

    def registerProducer(  # noqa: N802
        self, producer: Any, is_streaming: bool
    ) -> None:
        """Pause nothing."""


def call_protocol() -> Any:
    """Return the protocol of a call."""
    request = edge.HttpRequest(b'GET', b'/', ((b'host', b'one'),))
    return _client._CallProtocol(
        request,
        edge.ResponseReader(),
        edge.HeldBytes(),
        peers.SendMonitor(task.Clock()),
    )


def server_protocol() -> Any:
    """Return the protocol of a caller's connection."""
    clock = task.Clock()
    site = edge.Site(
        clock, relay.CallerLimits, lambda one: None, lambda one: None
    )
    return _server.ServerProtocol(site)


def outgoing_peer() -> Any:
    """Return the protocol of a connection to a peer."""

    class _Connection:
        def on_connected(self, connected: Any) -> None:
            """Send nothing."""

    connection: Any = _Connection()
    return _peer_connections._OutgoingPeer(connection)


def incoming_peer() -> Any:
    """Return the protocol of a peer's connection."""
    factory = peers.IncomingPeerFactory(lambda one: None, lambda one: None)
    return factory.buildProtocol(None)


PROTOCOLS = {
    'a call to a runner or to the store': call_protocol,
    'a caller\'s connection': server_protocol,
    'a connection to a peer': outgoing_peer,
    'a peer\'s connection': incoming_peer,
}


@when('{what} is connected')
def connect(context: Any, what: str) -> None:
    """Let the protocol set its options."""
    protocol = PROTOCOLS[what]()
    protocol.transport = _Transport()
    protocol.connectionMade()
    context.socket = protocol.transport.handle


def option(context: Any, name: str) -> int:
    """Return an option of TCP."""
    found: int = context.socket.getsockopt(
        socket.IPPROTO_TCP, getattr(socket, name)
    )
    return found


@then(
    'neither probes nor bytes without receipt give it up before {seconds:g} s'
)
def check_least(context: Any, seconds: float) -> None:
    """Compare what the probes and the user timeout allow."""
    probes_s = option(context, 'TCP_KEEPIDLE') + (
        option(context, 'TCP_KEEPINTVL') * option(context, 'TCP_KEEPCNT')
    )
    assert probes_s >= seconds, probes_s
    timeout_s = option(context, 'TCP_USER_TIMEOUT') / 1000
    assert timeout_s >= seconds, timeout_s


@then('probes give it up within {seconds:g} s')
def check_most(context: Any, seconds: float) -> None:
    """Look at the user timeout, which ends the probes."""
    assert context.socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert 0 < option(context, 'TCP_USER_TIMEOUT') / 1000 <= seconds
