"""Steps of requests that come before the answers to those before them."""

from collections.abc import Iterator
import inspect
import itertools
from typing import Any

from behave import then
from behave import when
from twisted.internet import task

from features.support import kept_callers
import ragwort_edge as edge
from ragwort_edge import _server
import ragwort_relay as relay

QUOTED = b'GET /quoted HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n'
LIMITS = relay.CallerLimits(header_timeout_s=3.0, idle_timeout_s=15.0)


class Server:
    """One connection to a site that answers when it is told to."""

    def __init__(self) -> None:
        """Connect."""
        self.clock = task.Clock()
        self.open: list[_server.Exchange] = []
        self.requests: list[edge.HttpRequest] = []
        self.rejected: list[int] = []
        site = _server.Site(
            self.clock, lambda: LIMITS, self._on_exchange, self.rejected.append
        )
        self.protocol = site.buildProtocol(None)
        self.transport = kept_callers.KeptTransport(self.clock, self.protocol)
        self.protocol.makeConnection(self.transport)

    def _on_exchange(self, exchange: _server.Exchange) -> None:
        self.open.append(exchange)
        self.requests.append(exchange.request)

    def receive(self, data: bytes) -> None:
        """Take some bytes."""
        if data and self.transport.closed_at is None:
            self.protocol.dataReceived(data)

    def answer(self) -> None:
        """Answer the request that is open with its own target and body."""
        request = self.open.pop().request
        body = request.target + b' ' + request.body
        self.open.clear()
        self.protocol.exchange.respond(edge.HttpResponse(200, (), body))

    def answers(self) -> list[kept_callers.Answer]:
        """Return what was answered."""
        return kept_callers.read_answers(self.transport.value())


def request_of(number: int, frame: str) -> tuple[bytes, bytes]:
    """Return a request and its body, which quotes another request."""
    body = b'%d ' % number + QUOTED
    head = b'POST /%d HTTP/1.1\r\nhost: a\r\n' % number
    if frame == 'a length':
        return head + b'content-length: %d\r\n\r\n' % len(body) + body, body
    chunks = b'%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n' % (
        2,
        body[:2],
        len(body) - 2,
        body[2:],
    )
    return head + b'transfer-encoding: chunked\r\n\r\n' + chunks, body


def cuts(sent: list[bytes]) -> Iterator[int]:
    """Return where the bytes behind the first request may be cut."""
    return iter(range(len(sent[0]), len(b''.join(sent)) + 1))


@when(
    '{count:d} requests whose bodies have {frame} come, cut at each byte by'
    ' {what}'
)
def send(context: Any, count: int, frame: str, what: str) -> None:
    """Send some bytes, let something happen, and send the rest."""
    made = [request_of(number, frame) for number in range(count)]
    sent = [request for request, _ in made]
    context.bodies = [body for _, body in made]
    context.servers = []
    for cut in cuts(sent):
        server = Server()
        data = b''.join(sent)
        server.receive(data[:cut])
        if what == 'the end of the answer before':
            while server.open:
                server.answer()
        server.receive(data[cut:])
        for _ in itertools.repeat(None, count):
            if server.open:
                server.answer()
        context.servers.append(server)


@then('each request has run once with its own body and has its own answer')
def check(context: Any) -> None:
    """Compare requests and answers."""
    for server in context.servers:
        seen = [(r.target, r.body) for r in server.requests]
        wanted = [(b'/%d' % n, b) for n, b in enumerate(context.bodies)]
        assert seen == wanted, seen
        answers = server.answers()
        assert [a.status for a in answers] == [200] * len(wanted)
        assert [a.body for a in answers] == [t + b' ' + b for t, b in wanted]
        assert not server.rejected


@when('a pipelined request stops in its {part} behind an answer')
def stop(context: Any, part: str) -> None:
    """Send a whole request and a part of the next; answer the first."""
    server = context.server = Server()
    first, _ = request_of(0, 'a length')
    second, body = request_of(1, 'a length')
    size = 9 if part == 'head' else len(second) - len(body) + 5
    server.receive(first + second[:size])
    server.answer()


@then('the caller is told 408 once its time is over')
def check_told(context: Any) -> None:
    """Let the time for heads and bodies pass."""
    server = context.server
    server.clock.advance(LIMITS.header_timeout_s - 0.1)
    assert server.transport.closed_at is None
    server.clock.advance(0.2)
    assert [a.status for a in server.answers()] == [200, 408]


@when('{count:d} pipelined requests are {how} at once')
def answer_at_once(context: Any, count: int, how: str) -> None:
    """Answer each request as it is handed on."""
    context.server = server = Server()
    context.count = count
    context.status = 401 if how == 'refused' else 200
    context.depths = []

    def answer(exchange: _server.Exchange) -> None:
        context.depths.append(len(inspect.stack(0)))
        exchange.respond(edge.HttpResponse(context.status, (), b''))

    server.protocol.site.on_exchange = answer
    server.receive(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n' * count)


@then('each is answered, from the same depth of the stack')
def check_depth(context: Any) -> None:
    """Look at all answers and at where they were given."""
    answers = context.server.answers()
    assert len(answers) == context.count, len(answers)
    assert {a.status for a in answers} == {context.status}
    assert context.server.transport.closed_at is None
    # The first one is answered as its bytes come, the others behind it.
    assert len(set(context.depths[1:])) == 1, set(context.depths)
