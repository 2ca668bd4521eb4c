"""Steps of answers that do not end until the caller closes."""

from collections.abc import Iterator
import itertools
import time
from typing import Any

from behave import then
from behave import when
from twisted.internet import task
from twisted.python import failure
from twisted.web import client

from features.steps import relay_decision_steps
from features.support import endless_servers
from features.support import transports
import ragwort_edge as edge
import ragwort_http as http
import ragwort_lab as lab
from ragwort_lab import _relay_fakes as fakes
import ragwort_relay as relay

MB = 1_000_000
PIECE = 64 * 1024
# Far more than any bound, and little enough for this machine.
MAX_FED_BYTES = 64 * MB
BIT = 512
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
ROUTE_S = 60.0


def pieces(what: str) -> Iterator[bytes]:
    """Return what a server sends until its caller closes."""
    start, again = {
        'a head': (HEAD, b'X-Filler: ' + b'x' * 1000 + b'\r\n'),
        'interim heads': (
            b'HTTP/1.1 103 Early Hints\r\n\r\n',
            b'HTTP/1.1 103 Early Hints\r\n\r\n' * 50,
        ),
        'a body': (HEAD + b'\r\n', b'x' * PIECE),
        'a body of a stated length': (
            HEAD + b'Content-Length: 900000000000\r\n\r\n',
            b'x' * PIECE,
        ),
        'chunks': (CHUNKED, b'10000\r\n' + b'x' * PIECE + b'\r\n'),
        'chunks of a byte': (CHUNKED, b'1\r\nx\r\n' * 1000),
    }[what]
    yield start
    yield from itertools.repeat(again)


class CallWorld:
    """A client whose connections lead to transports in memory."""

    def __init__(self) -> None:
        """Open no call."""
        self.opened: list[Any] = []
        self.clock = task.Clock()
        reactor: Any = self.clock
        reactor.connectTCP = self._connect
        self.client = edge.HttpClient(reactor)

    def _connect(
        self, host: str, port: int, factory: Any, timeout_s: float
    ) -> None:
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(transports.QuietTransport())
        self.opened.append(protocol)

    def fetch(self) -> tuple[Any, list[Any]]:
        """Start a call; return its connection and where its end goes."""
        request = edge.HttpRequest(b'GET', b'/', ((b'host', b'a'),))
        ends: list[Any] = []
        done = edge.fetch(self.client, '10.0.0.1:80', request, ROUTE_S)
        done.addBoth(ends.append)
        return self.opened[-1], ends


def is_damaged(ends: list[Any]) -> bool:
    """Tell whether a call ended as damaged."""
    if len(ends) != 1 or isinstance(ends[0], edge.HttpResponse):
        return False
    return bool(ends[0].value.kind == edge.CallErrorKind.DAMAGED)


@when('a server answers with {what} without end')
def answer_without_end(context: Any, what: str) -> None:
    """Feed a call until it closes its connection."""
    world = CallWorld()
    connection, context.ends = world.fetch()
    context.fed = 0
    for piece in pieces(what):
        if connection.transport.disconnected or context.fed > MAX_FED_BYTES:
            break
        connection.dataReceived(piece)
        context.fed += len(piece)
    context.is_closed = connection.transport.disconnected


@then(
    'the call ends as damaged after at most {limit:g} MB, and the connection '
    'closes'
)
def check_damaged(context: Any, limit: float) -> None:
    """Look at the call's end and what was read by then."""
    assert context.fed <= limit * MB, context.fed
    assert context.is_closed
    assert is_damaged(context.ends), context.ends


STREAMED = {
    'an event': [b'data: ' + b'x' * PIECE],
    'an event in bits': [b'x' * BIT],
    # More than a stream may have.
    'events': [
        b''.join(b'id: %d\ndata: x\n\n' % n for n in range(at, at + 1000))
        for at in range(1, 150_001, 1000)
    ],
    'comments': [b':\n\n' * 1000],
    'events without an id': [b'data: x\n\n' * 1000],
    'a plain body': [b'x' * PIECE],
}


class EndlessRunner(fakes.LabRunner):
    """Streams the same bytes again and again until its caller closes."""

    def __init__(self, clock: task.Clock, what: str) -> None:
        """Stream what is named."""
        super().__init__(clock, 'endless', '10.0.0.1:80', 'north')
        self.what = what
        self.fed = 0
        self.is_closed = False

    def serve(self, request: edge.HttpRequest, open_call: Any) -> None:
        """Answer with a head, then with bytes."""
        open_call.on_close = self._close
        kind: edge.Headers = fakes.EVENT_STREAM
        if self.what == 'a plain body':
            kind = ()
        headers = kind + ((b'echo', b'request-1'),)
        open_call.send('on_head', edge.HttpResponse(200, headers))
        self.clock.callLater(fakes.ONE_WAY_S * 2, self._feed, open_call)

    def _close(self) -> None:
        self.is_closed = True

    def _feed(self, open_call: Any) -> None:
        for data in itertools.cycle(STREAMED[self.what]):
            if open_call.is_over or self.fed > MAX_FED_BYTES:
                return
            open_call.reader.on_data(data)
            self.fed += len(data)


@when('a runner streams {what} without end')
def stream_without_end(context: Any, what: str) -> None:
    """Send a stream request to it."""
    world = lab.RelayWorld(hosts=1)
    context.runner = EndlessRunner(world.clock, what)
    world.add_runner(context.runner, 'main')
    world.configure(relay_decision_steps.make_configuration([]))
    route = relay_decision_steps.make_route(
        timeout_s=ROUTE_S, kind=relay.CallKind.STREAM, attempts=1
    )
    facts = edge.RequestMetadata('request-1', ROUTE_S)
    context.exchange = world.submit(world.hosts[0], route, facts)
    began = time.process_time()
    world.run(1.0)
    context.took_s = time.process_time() - began


@then('the send ends after at most {limit:g} MB, and the connection closes')
def check_stream(context: Any, limit: float) -> None:
    """Look at the runner's side and the caller's."""
    assert context.runner.fed <= limit * MB, context.runner.fed
    assert context.runner.is_closed
    assert context.exchange.is_over
    assert context.exchange.status != 200 or not context.exchange.is_whole


@then('reading it takes less than {seconds:g} s')
def check_time(context: Any, seconds: float) -> None:
    """Compare the processor time."""
    assert context.took_s < seconds, context.took_s


@when('{count:d} servers answer with a body without end at the same time')
def answer_together(context: Any, count: int) -> None:
    """Feed all calls in turn, and a sound one among them."""
    world = CallWorld()
    calls = [world.fetch() for _ in range(count)]
    context.calls = calls
    for connection, _ in calls:
        connection.dataReceived(HEAD + b'\r\n')
    held = dict.fromkeys(range(count), 0)
    context.most_held = 0
    context.sound = None
    while any(held.values()) or not context.most_held:
        for index, (connection, _) in enumerate(calls):
            if connection.transport.disconnected:
                held[index] = 0
            elif held[index] <= MAX_FED_BYTES:
                connection.dataReceived(b'x' * PIECE)
                held[index] += PIECE
            else:
                return
        now_held = sum(
            held[index]
            for index, (connection, _) in enumerate(calls)
            if not connection.transport.disconnected
        )
        context.most_held = max(context.most_held, now_held)
        if context.sound is None:
            sound, context.sound = world.fetch()
            sound.dataReceived(HEAD + b'Content-Length: 3\r\n\r\nabc')


@then('at most {limit:g} MB of them are held, and each call ends as damaged')
def check_held(context: Any, limit: float) -> None:
    """Look at all calls."""
    assert context.most_held <= limit * MB, context.most_held
    assert all(is_damaged(ends) for _, ends in context.calls)


@then('a call to a sound server is answered meanwhile')
def check_sound(context: Any) -> None:
    """Look at its answer."""
    assert context.sound[0].body == b'abc', context.sound


class BodyTransport(transports.QuietTransport):
    """What Twisted gives to the reader of a body, which can't reset it."""

    abortConnection = None  # noqa: N815

    def loseConnection(self) -> None:  # noqa: N802
        """Close at once, as nothing is left to write."""
        self.disconnected = True


class BodyResponse:
    """A response of the nodes' HTTP client, whose body comes in pieces."""

    def __init__(self) -> None:
        """Wait for a reader."""
        self.reader: Any = None

    def deliverBody(self, reader: Any) -> None:  # noqa: N802
        """Hand the body to a reader."""
        self.reader = reader
        reader.makeConnection(BodyTransport())


NODE_BOUNDS = {'store call': (), 'load report': (http.MAX_REPORT_BYTES,)}


@when("a server answers a node's {reader} with {size:d} MB")
def answer_node(context: Any, reader: str, size: int) -> None:
    """Send a body until it ends or the node closes."""
    response: Any = BodyResponse()
    context.ends = []
    http.read_body(response, *NODE_BOUNDS[reader]).addBoth(context.ends.append)
    context.fed = 0
    while context.fed < size * MB:
        if response.reader.transport.disconnected:
            return
        response.reader.dataReceived(b'x' * 50_000)
        context.fed += 50_000
    response.reader.connectionLost(failure.Failure(client.ResponseDone()))


@then('the node {result} after at most {limit:g} MB')
def check_node(context: Any, result: str, limit: float) -> None:
    """Look at the end and at what was read by then."""
    (end,) = context.ends
    assert context.fed <= limit * MB + 50_000, context.fed
    if result == 'gets the whole body':
        assert len(end) == context.fed
    else:
        assert end.check(http.BodyTooLargeError), end


@when('a server with a real socket sends "{reader}" {what} without end')
def send_really(context: Any, reader: str, what: str) -> None:
    """Let the reader end, or the time."""
    context.fed, context.ended_s = endless_servers.play(reader, what)


@then('"{reader}" ends after at most {limit:g} MB and {seconds:g} s')
def check_really(
    context: Any, reader: str, limit: float, seconds: float
) -> None:
    """Look at what was sent, some of which only buffers have taken."""
    assert context.ended_s is not None, context.fed
    assert context.fed <= limit * MB, context.fed
    assert context.ended_s <= seconds, context.ended_s
