"""Steps of refusals that runners repeat."""

from typing import Any

from behave import then
from behave import when
from twisted.internet import task

from features.support import transports
import ragwort_edge as edge
import ragwort_platform as platform

REQUEST_ID = 'abc'
MARK: edge.Headers = ((b'not-executed', b'1'),)
# What a refusal may say of its runner beside the refusal itself.
NOTICES: edge.Headers = (
    (b'server-load', b'3,1,8'),
    (b'server-limit', b'0.1'),
    (b'server-leaving', b'1'),
    (b'retry-after', b'60'),
    (b'server-brittle', b'1'),
    (b'cold-milliseconds', b'9000'),
)
NAMED: dict[str, edge.Headers] = {
    'no request': (),
    'an empty id': ((b'request-id', b''),),
    'this request': ((b'request-id', b'abc'),),
    'another request': ((b'request-id', b'xyz'),),
    'another and this request': (
        (b'request-id', b'xyz'),
        (b'request-id', b'abc'),
    ),
    'this and another request': (
        (b'request-id', b'abc'),
        (b'request-id', b'xyz'),
    ),
}
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc'


@then('nothing of the earlier refusal is kept')
def check_nothing_kept(context: Any) -> None:
    """Look at what the host knows of the runner that repeated it."""
    world = context.world
    catalog, now = world.hosts[0].catalog, world.clock.seconds()
    name = f'runner/{context.runners[0].name}'
    runner = catalog.fleet.runners[name]
    assert not runner.is_misdirected
    assert runner.is_live_of('main')
    assert catalog.pauses.left_s(runner, now) == 0.0
    assert not catalog.rate_limits.is_limited(runner, now)
    assert not catalog.brittle.is_brittle(runner)
    assert not catalog.cold.is_cold(runner, now)


def _read(
    status: int, headers: edge.Headers, request_id: str
) -> edge.RunnerReply:
    response = edge.HttpResponse(status, headers)
    return platform.PlatformDialect().read_reply(response, request_id)


@when('a runner refuses with status {status:d} and names {named}')
def refuse(context: Any, status: int, named: str) -> None:
    """Read a refusal that says all that a refusal may say."""
    headers = MARK + NOTICES + NAMED[named]
    context.reply = _read(status, headers, REQUEST_ID)


@when('a runner refuses a call without a request id')
def refuse_unnamed(context: Any) -> None:
    """Read the refusal of a stage call."""
    headers = MARK + NAMED['another request']
    context.reply = _read(503, headers, '')


@then('the platform\'s host reads it as {meaning}')
def check_meaning(context: Any, meaning: str) -> None:
    """Compare the reading; a foreign one says nothing at all."""
    reply = context.reply
    if meaning == 'foreign':
        assert reply == edge.FOREIGN_REPLY, reply
        return
    assert reply.is_not_run
    assert not reply.is_foreign
    assert reply.is_misdirected == (meaning == 'misdirected')


class Reader(edge.ResponseReader):
    """Keeps what a call heard, in order."""

    def __init__(self) -> None:
        """Start with nothing heard."""
        self.heads: list[edge.HttpResponse] = []
        self.body = b''
        self.ends: list[str] = []

    def on_head(self, response: edge.HttpResponse) -> None:
        """Take status and headers."""
        self.heads.append(response)

    def on_data(self, data: bytes) -> None:
        """Take a part of the body."""
        self.body += data

    def on_end(self) -> None:
        """Take the end."""
        self.ends.append('whole')

    def on_error(self, call_error: edge.CallError) -> None:
        """Take a problem."""
        self.ends.append(str(call_error.kind))


def _refusal_bytes(named: str) -> bytes:
    lines = [b'HTTP/1.1 503 Unavailable', b'Content-Length: 0']
    headers = MARK + NAMED[named]
    lines += [name + b': ' + value for name, value in headers]
    return b'\r\n'.join([*lines, b'', b''])


def _receive(context: Any, data: bytes) -> None:
    """Let a new connection bring bytes as soon as it is there."""
    opened: list[Any] = []

    class Reactor(task.Clock):
        def connectTCP(  # noqa: N802
            self, host: str, port: int, factory: Any, timeout_s: float
        ) -> None:
            opened.append(factory.buildProtocol(None))

    context.reader = Reader()
    client = edge.HttpClient(Reactor())
    request = edge.HttpRequest(b'POST', b'/', ((b'host', b'a'),), b'body')
    client.open('10.0.0.1:80', request, context.reader)
    (connection,) = opened
    connection.makeConnection(transports.QuietTransport())
    connection.dataReceived(data)


@when('a new connection brings a refusal that names {named}')
def connect_to_refusal(context: Any, named: str) -> None:
    """Bring only the refusal."""
    _receive(context, _refusal_bytes(named))


@then('the call ends with it and is read as {meaning}')
def check_new_connection(context: Any, meaning: str) -> None:
    """Read what the call got."""
    assert context.reader.ends == ['whole'], context.reader.ends
    (head,) = context.reader.heads
    context.reply = _read(head.status, head.headers, REQUEST_ID)
    check_meaning(context, meaning)


@when('a connection brings an answer and an earlier refusal')
def bring_both(context: Any) -> None:
    """Bring both in one segment."""
    _receive(context, WHOLE + _refusal_bytes('another request'))


@then('the call ends with the answer alone')
def check_answer_alone(context: Any) -> None:
    """Look for a second head."""
    (head,) = context.reader.heads
    assert head.status == 200
    assert context.reader.body == b'abc'
    assert context.reader.ends == ['whole']
