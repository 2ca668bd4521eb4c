"""Steps of answers whose head stops in its middle."""

from typing import Any

from behave import then
from behave import when
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock
from twisted.python import failure

from features.support import transports
import ragwort_edge as edge
import ragwort_http as http

HEADS = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Length: 5\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nRequest-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nRequest-Id: q\r\nResponse-Seal: s\r\n\r\n',
    b'HTTP/1.1 200 OK\nRequest-Id: q\nContent-Length: 5\n\n',
    b'HTTP/1.0 200 OK\r\nRequest-Id: q\r\n\r\n',
)
BEFORE = {
    'nothing': b'',
    'an interim head': b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n',
}
KEPT = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
FRAMES = {
    'a length': b'Content-Length: 5\r\n',
    'chunks': b'Transfer-Encoding: chunked\r\n',
    'neither': b'',
}
ENDS = {'close': error.ConnectionDone, 'reset': error.ConnectionLost}


class Reader(edge.ResponseReader):
    """Notes what a host's call brings."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.heads: list[int] = []
        self.has_ended = False
        self.has_failed = False

    def on_head(self, response: edge.HttpResponse) -> None:
        """Note a head."""
        self.heads.append(response.status)

    def on_data(self, data: bytes) -> None:
        """Take a part of the body."""

    def on_end(self) -> None:
        """Note the end."""
        self.has_ended = True

    def on_error(self, call_error: edge.CallError) -> None:
        """Note a failure."""
        self.has_failed = True


def connect(reactor: MemoryReactorClock) -> Any:
    """Accept the latest connection."""
    _, _, factory, *_ = reactor.tcpClients[-1]
    protocol = factory.buildProtocol(None)
    protocol.makeConnection(transports.QuietTransport())
    return protocol


def host_call(data: bytes, end: str) -> Reader:
    """Let a host's call get some bytes and the end of its connection."""
    reactor, reader = MemoryReactorClock(), Reader()
    request = edge.HttpRequest(b'GET', b'/', ((b'host', b'r'),))
    edge.HttpClient(reactor).open('10.0.0.1:80', request, reader)
    protocol = connect(reactor)
    protocol.dataReceived(data)
    protocol.connectionLost(failure.Failure(ENDS[end]()))
    return reader


def node_call(before: str, data: bytes, end: str) -> tuple[list[Any], bool]:
    """Return the answers and the failure of a node's call."""
    reactor = MemoryReactorClock()
    client = http.HttpClient(reactor)
    protocol = None
    if before == 'a kept answer':
        first = client.request(b'GET', 'http://10.0.0.1:80/')
        protocol = connect(reactor)
        bodies: list[bytes] = []
        first.addCallback(http.read_body).addCallback(bodies.append)
        protocol.dataReceived(KEPT)
        assert bodies == [b'ok'], bodies
    answers: list[Any] = []
    failures: list[Any] = []
    sent = client.request(b'GET', 'http://10.0.0.1:80/')
    sent.addCallbacks(answers.append, failures.append)
    if protocol is None:
        protocol = connect(reactor)
    assert len(reactor.tcpClients) == 1
    protocol.dataReceived(data)
    protocol.connectionLost(failure.Failure(ENDS[end]()))
    return answers, bool(failures)


@when(
    'heads cut at each byte come to the {client} behind {before} and end by a'
    ' {end}'
)
def send_cut(context: Any, client: str, before: str, end: str) -> None:
    """Cut each head before each of its bytes."""
    context.answers, context.failures, context.calls = 0, 0, 0
    for head in HEADS:
        for size in range(len(head)):
            data = BEFORE.get(before, b'') + head[:size]
            context.calls += 1
            if client == 'host':
                reader = host_call(data, end)
                context.answers += bool(reader.heads or reader.has_ended)
                context.failures += reader.has_failed
            else:
                answers, has_failed = node_call(before, data, end)
                context.answers += len(answers)
                context.failures += has_failed


@then('no call has an answer and each has failed')
def check_none(context: Any) -> None:
    """Count answers and failures."""
    assert context.answers == 0, context.answers
    assert context.failures == context.calls > 200, context.failures


@when(
    'a head with {frame} comes to the host without a body and ends by a {end}'
)
def send_head(context: Any, frame: str, end: str) -> None:
    """Send a whole head and nothing more."""
    data = b'HTTP/1.1 200 OK\r\nRequest-Id: q\r\n' + FRAMES[frame] + b'\r\n'
    context.reader = host_call(data, end)


@then('that call {result}')
def check_result(context: Any, result: str) -> None:
    """Look at how the call ended."""
    reader = context.reader
    assert reader.has_ended == (result != 'fails')
    assert reader.has_failed == (result == 'fails')
