"""Steps of streams that break off, as bytes on connections in memory."""

from typing import Any

from behave import given
from behave import when
import msgspec
from twisted.internet import error
from twisted.python import failure

from features.steps import broken_stream_steps
from features.steps import relay_decision_steps
from features.support import transports
import ragwort_edge as edge
import ragwort_lab as lab
from ragwort_lab import _relay_fakes as fakes
import ragwort_relay as relay

ROUTE_S = 4.0
ECHO = b'echo: request-1\r\n'
OK = b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n' + ECHO
ERROR = b'HTTP/1.1 500 Internal Server Error\r\n'
TEXT = broken_stream_steps.ERROR_TEXT
CHUNKED = b'transfer-encoding: chunked\r\n\r\n'


def events(first: int, last: int) -> bytes:
    """Return some events of the stream."""
    numbers = range(first, last + 1)
    return b''.join(broken_stream_steps.event(n) for n in numbers)


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


def in_frame(head: bytes, body: bytes, frame: str) -> bytes:
    """Return an answer whose body is framed in one of three ways."""
    if frame == 'a length':
        return head + b'content-length: %d\r\n\r\n' % len(body) + body
    if frame == 'chunks':
        return head + CHUNKED + chunk(body) + b'0\r\n\r\n'
    return head + b'\r\n' + body


BEGUN = events(1, broken_stream_steps.BEGUN)
# What the first connection carries until it closes.
FIRST = {
    'short of its length': OK + b'content-length: 999\r\n\r\n' + BEGUN,
    'between chunks': OK + CHUNKED + chunk(BEGUN),
    'within a chunk': OK + CHUNKED + b'fff\r\n' + BEGUN,
    'with a head within its length': OK
    + b'content-length: 999\r\n\r\n'
    + BEGUN
    + ERROR
    + b'\r\n'
    + TEXT,
    'with a head between chunks': OK
    + CHUNKED
    + chunk(BEGUN)
    + in_frame(ERROR, TEXT, 'a length'),
    'with a head within a chunk': OK
    + CHUNKED
    + b'fff\r\n'
    + BEGUN
    + in_frame(ERROR, TEXT, 'a length'),
    'with a head in a chunk of its own': OK
    + CHUNKED
    + chunk(BEGUN)
    + chunk(in_frame(ERROR, TEXT, 'a length'))
    + b'0\r\n\r\n',
    'with a head in a body of no length': OK
    + b'\r\n'
    + BEGUN
    + in_frame(ERROR, TEXT, 'a length'),
}


class HttpDialect(fakes.LabDialect):
    """The lab's messages with the header that HTTP demands."""

    def main_request(self, call: edge.MainCall) -> edge.HttpRequest:
        """Return the request to a runner, with a host."""
        request = super().main_request(call)
        headers = (*request.headers, (b'host', b'one.example'))
        return msgspec.structs.replace(request, headers=headers)


class RawRunners:
    """Carries bytes on each connection that a host opens, then closes it."""

    def __init__(self, clock: Any, answers: list[bytes]) -> None:
        """Keep the answers in their order."""
        self.clock = clock
        self.answers = answers
        self.opened = 0

    def connect(
        self, host: str, port: int, factory: Any, timeout_s: float
    ) -> None:
        """Open a connection and answer on it soon."""
        self.opened += 1
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(transports.QuietTransport())
        self.clock.callLater(0.01, self._answer, protocol)

    def _answer(self, protocol: Any) -> None:
        protocol.dataReceived(self.answers.pop(0))
        reason = failure.Failure(error.ConnectionDone())
        protocol.connectionLost(reason)


@given('a runner whose stream breaks off {where}')
def begin(context: Any, where: str) -> None:
    """Prepare the first connection."""
    context.answers = [FIRST[where]]


@given('the next runner answers {what}, framed by {frame}')
def go_on(context: Any, what: str, frame: str) -> None:
    """Prepare the second connection."""
    head, body = {
        'the rest': (OK, events(4, broken_stream_steps.EVENTS)),
        'an error': (ERROR + ECHO, TEXT),
        'an error without an echo': (ERROR, TEXT),
        'a plain body': (b'HTTP/1.1 200 OK\r\n' + ECHO, TEXT),
    }[what]
    context.answers.append(in_frame(head, body, frame))


@when('its caller reads the stream over HTTP')
def read(context: Any) -> None:
    """Send a stream request with two attempts."""
    world = lab.RelayWorld(hosts=1)
    world.add_scripted('main', 2)
    world.configure(relay_decision_steps.make_configuration([]))
    context.raw = RawRunners(world.clock, context.answers)
    reactor: Any = world.clock
    reactor.connectTCP = context.raw.connect
    client: Any = edge.HttpClient(reactor)
    world.hosts[0].context.client = client
    world.hosts[0].context.dialect = HttpDialect()
    route = relay_decision_steps.make_route(
        timeout_s=ROUTE_S,
        kind=relay.CallKind.STREAM,
        attempts=2,
        is_resumable=True,
    )
    facts = edge.RequestMetadata('request-1', ROUTE_S)
    context.asked = [world.submit(world.hosts[0], route, facts)]
    context.end = b'\n'
    world.run(ROUTE_S + 1.0)
    assert context.raw.opened == 2, context.raw.opened
