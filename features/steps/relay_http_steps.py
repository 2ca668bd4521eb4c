"""Steps of reading HTTP, on transports without sockets."""

from typing import Any

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
from twisted.internet import error
from twisted.internet import task
from twisted.python import failure

from features.support import transports
import ragwort_edge as edge
import ragwort_relay as relay

LIMITS = relay.CallerLimits(1024, 4096, 2.0, 5.0)
HEAD = b'POST /job/1 HTTP/1.1\r\nHost: one.example\r\n'
EXAMPLES = 400

REQUESTS = {
    'length and chunks together': HEAD
    + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'two different lengths': HEAD
    + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
    'a length that is no number': HEAD + b'Content-Length: +3\r\n\r\nabc',
    'a broken chunk size': HEAD
    + b'Transfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n',
    'a body over the limit': HEAD + b'Content-Length: 5000\r\n\r\n',
    'chunks over the limit': HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n1388\r\n'
    + b'x' * 5000
    + b'\r\n0\r\n\r\n',
    'headers over the limit': HEAD + b'X: ' + b'x' * 2000,
    'an absolute target': b'GET http://one.example/ HTTP/1.1\r\n'
    b'Host: one.example\r\n\r\n',
    'no host': b'GET / HTTP/1.1\r\n\r\n',
    'two hosts': HEAD + b'Host: two.example\r\n\r\n',
    'a space before the colon': HEAD + b'Content-Length : 3\r\n\r\nabc',
    'bytes that are no request': b'\x16\x03\x01\x02\x00\x01\x00\r\n\r\n',
    'half a head and then nothing': HEAD,
    'half a body and then nothing': HEAD + b'Content-Length: 30\r\n\r\nabc',
}
RESPONSES = {
    'whole with a length': b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc',
    'whole in chunks': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'3\r\nabc\r\n0\r\n\r\n',
    'whole without a length': b'HTTP/1.1 200 OK\r\n\r\nabc',
    'reset without a length': b'HTTP/1.1 200 OK\r\n\r\nabc',
    'cut short of its length': b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n'
    b'abc',
    'cut within a chunk': b'HTTP/1.1 200 OK\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n9\r\nabc',
    'not HTTP': b'this is not HTTP\r\n\r\n',
    'whole and followed by another': b'HTTP/1.1 200 OK\r\n'
    b'Content-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n'
    b'Content-Length: 5\r\n\r\nother',
    'nothing at all': b'',
}


class ServerWorld:
    """One connection to a site."""

    def __init__(self) -> None:
        """Connect."""
        self.clock = task.Clock()
        self.exchanges: list[edge.Exchange] = []
        self.rejected: list[int] = []
        self.site = edge.Site(
            self.clock,
            lambda: LIMITS,
            self.exchanges.append,
            self.rejected.append,
        )
        self.protocol = self.site.buildProtocol(None)
        self.transport = transports.QuietTransport()
        self.protocol.makeConnection(self.transport)

    @property
    def is_closed(self) -> bool:
        """Tell whether the server closed the connection."""
        return self.transport.disconnecting or self.transport.disconnected


@when('a caller sends two requests in one write')
def send_two(context: Any) -> None:
    """Send two requests at once."""
    context.server = ServerWorld()
    request = HEAD + b'Content-Length: 3\r\n\r\nabc'
    context.server.protocol.dataReceived(request + request)


@when('a caller connects and sends nothing')
def send_nothing(context: Any) -> None:
    """Only connect."""
    context.server = ServerWorld()


@when('a caller sends a request and leaves')
def send_and_leave(context: Any) -> None:
    """Send a request and close."""
    context.server = ServerWorld()
    context.heard = []
    context.server.protocol.dataReceived(HEAD + b'\r\n')
    (exchange,) = context.server.exchanges
    exchange.on_disconnect = lambda: context.heard.append(True)
    reason = failure.Failure(error.ConnectionDone())
    context.server.protocol.connectionLost(reason)
    exchange.respond(edge.HttpResponse(200))


@when('an answer is broken off after its head')
def break_answer(context: Any) -> None:
    """Start an answer and abort it."""
    context.server = ServerWorld()
    context.server.protocol.dataReceived(HEAD + b'\r\n')
    (exchange,) = context.server.exchanges
    exchange.start(200, ())
    exchange.write(b'abc')
    exchange.abort()


@when('a caller sends {what}')
def send_request(context: Any, what: str) -> None:
    """Send a request that must not be handed on."""
    context.server = ServerWorld()
    context.server.protocol.dataReceived(REQUESTS[what])
    context.server.clock.advance(LIMITS.header_timeout_s + 0.1)


@then('it is answered {status:d} and the connection closes')
def check_rejected(context: Any, status: int) -> None:
    """Look at what was written."""
    written = context.server.transport.value()
    assert written.startswith(b'HTTP/1.1 %d ' % status), written
    assert context.server.is_closed
    assert context.server.rejected == [status]


@then('no request is handed on')
def check_nothing(context: Any) -> None:
    """Look for exchanges."""
    assert context.server.exchanges == []


@then('both are handed on one after the other, each answered in turn')
def check_two(context: Any) -> None:
    """Answer the first and look for the second."""
    server = context.server
    assert len(server.exchanges) == 1
    server.exchanges[0].respond(edge.HttpResponse(200, (), b'first'))
    assert len(server.exchanges) == 2
    server.exchanges[1].respond(edge.HttpResponse(200, (), b'second'))
    written = server.transport.value()
    assert written.count(b'HTTP/1.1 200') == 2
    assert written.index(b'first') < written.index(b'second')
    assert [e.request.body for e in server.exchanges] == [b'abc', b'abc']


@then('the connection closes after the idle time and nothing is answered')
def check_idle(context: Any) -> None:
    """Let time pass."""
    context.server.clock.advance(LIMITS.idle_timeout_s - 0.1)
    assert not context.server.is_closed
    context.server.clock.advance(0.2)
    assert context.server.is_closed
    assert context.server.transport.value() == b''


@then('whoever answers hears of it once')
def check_heard(context: Any) -> None:
    """Count the calls."""
    assert context.heard == [True]


@then('the connection is reset without the end of the body')
def check_reset(context: Any) -> None:
    """Look at what was written."""
    written = context.server.transport.value()
    assert b'abc' in written
    assert not written.endswith(b'0\r\n\r\n'), written
    assert context.server.transport.disconnected


@then('no bytes of a fuzzer make the server fail or hand on half a request')
def fuzz(context: Any) -> None:
    """Send pieces of valid and invalid requests in any order and cut."""
    pieces = strategies.sampled_from(
        [
            *REQUESTS.values(),
            HEAD + b'Content-Length: 3\r\n\r\nabc',
            b'\r\n',
            b'\x00',
            b'0\r\n\r\n',
            b'GET ',
        ]
    )
    data = strategies.lists(pieces | strategies.binary(max_size=40))

    @hypothesis.settings(
        max_examples=EXAMPLES, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(data, strategies.integers(1, 50))
    def hold(parts: list[bytes], step: int) -> None:
        server = ServerWorld()
        stream = b''.join(parts)
        for at in range(0, len(stream), step):
            server.protocol.dataReceived(stream[at : at + step])
            for exchange in server.exchanges:
                exchange.respond(edge.HttpResponse(200))
        for exchange in server.exchanges:
            length = exchange.request.header(b'content-length') or b'0'
            if exchange.request.header(b'transfer-encoding') is None:
                assert len(exchange.request.body) == int(length)
        server.clock.advance(LIMITS.idle_timeout_s + LIMITS.header_timeout_s)
        server.clock.advance(LIMITS.idle_timeout_s)
        assert server.is_closed

    hold()


class Recorder(edge.ResponseReader):
    """Remember how a response ended."""

    def __init__(self) -> None:
        """Start with nothing heard."""
        self.body = b''
        self.ends: list[str] = []

    def on_data(self, data: bytes) -> None:
        """Take a part of the body."""
        self.body += data

    def on_end(self) -> None:
        """Take the end."""
        self.ends.append('whole')

    def on_error(self, problem: edge.CallError) -> None:
        """Take a problem."""
        self.ends.append(str(problem.kind))


@when('a runner responds with {what}')
def respond(context: Any, what: str) -> None:
    """Feed a response to a call and close the connection."""
    opened: list[Any] = []

    class Reactor(task.Clock):
        def connectTCP(self, host: str, port: int, factory: Any, t: float):  # noqa: N802, E501
            opened.append(factory.buildProtocol(None))

    context.recorder = Recorder()
    client = edge.HttpClient(Reactor())
    request = edge.HttpRequest(b'GET', b'/', ((b'host', b'a'),))
    client.open('10.0.0.1:80', request, context.recorder)
    (protocol,) = opened
    protocol.makeConnection(transports.QuietTransport())
    for byte in RESPONSES[what]:
        protocol.dataReceived(bytes([byte]))
    is_reset = what.startswith('reset')
    reason = error.ConnectionLost() if is_reset else error.ConnectionDone()
    protocol.connectionLost(failure.Failure(reason))
