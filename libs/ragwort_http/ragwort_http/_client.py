"""HTTP connections from a node to runners and the platform."""

from collections.abc import Callable
import io
from typing import Any

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 64
IDLE_TIMEOUT_S = 30.0
MAX_LINE_BYTES = 1024 * 1024
# Largest head of an answer, interim ones included, and largest stream.
MAX_HEAD_BYTES = 64 * 1024
MAX_STREAM_BYTES = 16_000_000
# States of Twisted's parser before the body of an answer.
HEAD_STATES = ('STATUS', 'HEADER')
# Largest body of an answer, and of a short one as a load report.
MAX_BODY_BYTES = 8_000_000
MAX_REPORT_BYTES = 64_000

CONNECT_ERRORS = (
    error.ConnectError,
    error.ConnectionRefusedError,
    error.TimeoutError,
    error.DNSLookupError,
)


def _check(connection: Any) -> None:
    """Close a connection on which more comes than what was asked for.

    A faulty server repeats an earlier response. Twisted drops what follows a
    response in its last segment, and would read what comes later as the
    answer to the next request. It also puts no bound on a head.
    """
    connection.is_spoiled = False
    connection.request_count = 0
    connection.head_bytes = 0
    receive, finish = connection.dataReceived, connection._finishResponse
    send = connection.request

    def send_counted(request: Any) -> 'defer.Deferred[Any]':
        connection.request_count += 1
        connection.head_bytes = 0
        is_first = connection.request_count == 1

        def mark(response: Any) -> Any:
            response.is_first = is_first
            return response

        sent: defer.Deferred[Any] = send(request)
        return sent.addCallback(mark)

    def spoil() -> None:
        connection.is_spoiled = True
        connection.transport.abortConnection()

    def receive_checked(data: bytes) -> None:
        if connection.is_spoiled:
            return
        if connection.state == 'QUIESCENT':
            spoil()
            return
        receive(data)
        if getattr(connection._parser, 'state', None) in HEAD_STATES:
            connection.head_bytes += len(data)
            if connection.head_bytes > MAX_HEAD_BYTES:
                spoil()

    def finish_checked(rest: bytes) -> None:
        connection.is_spoiled = bool(rest)
        finish(rest)
        if rest:
            spoil()

    connection.request = send_counted
    connection.dataReceived = receive_checked
    connection._finishResponse = finish_checked


class _CheckedFactory(protocol.ClientFactory):
    """Check the connections that another factory builds."""

    noisy = False

    def __init__(self, factory: Any) -> None:
        self.factory = factory

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        connection = self.factory.buildProtocol(addr)
        _check(connection)
        return connection


@implementer(interfaces.IStreamClientEndpoint)
class _CheckedEndpoint:
    """Connect by another endpoint and check the connections."""

    def __init__(self, endpoint: Any) -> None:
        self.endpoint = endpoint

    def connect(self, factory: Any) -> 'defer.Deferred[Any]':
        connected: defer.Deferred[Any] = self.endpoint.connect(
            _CheckedFactory(factory)
        )
        return connected


class _CheckedPool(client.HTTPConnectionPool):
    """Hand out no connection that is spoiled or about to close."""

    def getConnection(  # noqa: N802
        self, key: Any, endpoint: Any
    ) -> 'defer.Deferred[Any]':
        """Return a connection that is fit for a request."""

        def take(connection: Any) -> Any:
            transport = connection.transport
            if connection.is_spoiled or transport.disconnecting:
                return self.getConnection(key, endpoint)
            return connection

        found: defer.Deferred[Any] = super().getConnection(key, endpoint)
        return found.addCallback(take)


@implementer(iweb.IAgentEndpointFactory)
class _IpEndpointFactory:
    """Connect directly to an IPv4 address.

    The agent's default endpoint resolves names and tries addresses in
    turn, which delays the report of a refused connection by 0.3 s.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor

    def endpointForURI(self, uri: client.URI) -> Any:  # noqa: N802
        return _CheckedEndpoint(
            endpoints.TCP4ClientEndpoint(
                self.reactor,
                uri.host.decode(),
                uri.port,
                timeout=CONNECT_TIMEOUT_S,
            )
        )


class HttpClient:
    """HTTP client with a pool of persistent connections."""

    def __init__(self, reactor: Any) -> None:
        """Create a pool for the reactor."""
        self.pool = _CheckedPool(reactor, persistent=True)
        self.pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self.pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        # The core decides on retries of a request whose connection failed.
        self.pool.retryAutomatically = False
        factory = _IpEndpointFactory(reactor)
        self.pooled_agent = client.Agent.usingEndpointFactory(
            reactor, factory, self.pool
        )
        self.unpooled_agent = client.Agent.usingEndpointFactory(
            reactor, factory
        )

    def request(
        self,
        method: bytes,
        url: str,
        body: bytes | None = None,
        fresh: bool = False,
    ) -> 'defer.Deferred[iweb.IResponse]':
        """Send a request; fresh requires a new connection."""
        agent = self.unpooled_agent if fresh else self.pooled_agent
        producer = None
        if body is not None:
            producer = client.FileBodyProducer(io.BytesIO(body))
        headers = http_headers.Headers(
            {b'content-type': [b'application/json']}
        )
        sent: defer.Deferred[iweb.IResponse] = agent.request(
            method, url.encode(), headers, producer
        )
        return sent

    def close(self) -> 'defer.Deferred[None]':
        """Close idle connections."""
        closed: defer.Deferred[None] = self.pool.closeCachedConnections()
        return closed


def is_first_answer(response: iweb.IResponse) -> bool:
    """Tell whether a response is the first one on its connection.

    It can't be a repetition of an earlier one then.
    """
    return bool(getattr(response, 'is_first', False))


class BodyTooLargeError(ValueError):
    """Raise when the body of an answer exceeds its bound."""


class _BodyReader(protocol.Protocol):
    """Collect a body up to a size."""

    def __init__(self, max_bytes: int, done: 'defer.Deferred[bytes]') -> None:
        self.max_bytes = max_bytes
        self.done = done
        self.body = bytearray()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Add a part; end the call if the body is too large."""
        if self.done.called:
            return
        if len(self.body) + len(data) > self.max_bytes:
            self.body.clear()
            self.close()
            self.done.errback(
                BodyTooLargeError(f'body of over {self.max_bytes} bytes')
            )
            return
        self.body += data

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Return the body if it is complete."""
        if self.done.called:
            return
        # A body with neither a length nor chunks ends with its connection; its
        # reader tells from the content whether it was cut short.
        if reason.check(client.ResponseDone, http.PotentialDataLoss):
            self.done.callback(bytes(self.body))
        else:
            self.done.errback(reason)

    def close(self) -> None:
        """Close the connection, whatever comes on it."""
        if self.transport is not None:
            # All that Twisted lets a reader of a body do.
            self.transport.loseConnection()


def read_body(
    response: iweb.IResponse, max_bytes: int = MAX_BODY_BYTES
) -> 'defer.Deferred[bytes]':
    """Return a whole body; fail if it is cut short or over max_bytes.

    One without a length or chunks ends with its connection, in whatever way.

    Cancelling the Deferred closes the connection.
    """

    def cancel(_: 'defer.Deferred[bytes]') -> None:
        reader.close()

    done: defer.Deferred[bytes] = defer.Deferred(cancel)
    reader: _BodyReader = _BodyReader(max_bytes, done)
    response.deliverBody(reader)
    return done


class LineReader(protocol.Protocol):
    """Split a response body into lines, up to a size."""

    def __init__(
        self,
        on_line: Callable[[bytes], None],
        on_end: Callable[[], None],
    ) -> None:
        """Call on_line for each line and on_end at the end of the body.

        The body ends as well behind a line or a total that is too long.
        """
        self.on_line = on_line
        self.on_end = on_end
        self.buffer = b''
        self.size = 0
        self.stopped = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Split received bytes into lines."""
        if self.stopped:
            return
        self.size += len(data)
        *lines, self.buffer = (self.buffer + data).split(b'\n')
        for line in lines:
            if self.stopped:
                return
            self.on_line(line)
        if len(self.buffer) > MAX_LINE_BYTES or self.size > MAX_STREAM_BYTES:
            self.stop()
            self.on_end()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Report the end of the body, for whatever reason."""
        if not self.stopped:
            self.stopped = True
            self.on_end()

    def stop(self) -> None:
        """Stop reading and close the connection."""
        self.stopped = True
        if self.transport is not None:
            self.transport.loseConnection()
