"""Steps of refusals that runners repeat."""

import random
from typing import Any
from unittest import mock

from behave import then
from behave import when
import msgspec
from twisted.internet import address
from twisted.internet import error
from twisted.internet import task
from twisted.internet import testing
from twisted.python import failure

from features.support import transports
import ragwort_client as caller
import ragwort_edge as edge
import ragwort_http as http
import ragwort_model as model
import ragwort_node as node
from ragwort_node import _caller_http
from ragwort_node import _effects
from ragwort_node import _runner_client
import ragwort_platform as platform
import ragwort_wire as wire

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
# What a transport of Twisted takes before it asks its producer to pause.
MAX_UNSENT_BYTES = 65536
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


def _open(context: Any, transport: Any, body: bytes) -> Any:
    """Send a call of the relay; return its connection."""
    opened: list[Any] = []

    class Reactor(task.Clock):
        def connectTCP(  # noqa: N802
            self, host: str, port: int, factory: Any, timeout_s: float
        ) -> None:
            opened.append(factory.buildProtocol(None))

    context.reader = Reader()
    client = edge.HttpClient(Reactor())
    request = edge.HttpRequest(b'POST', b'/', ((b'host', b'a'),), body)
    client.open('10.0.0.1:80', request, context.reader)
    (connection,) = opened
    connection.makeConnection(transport)
    return connection


def _receive(context: Any, data: bytes) -> None:
    """Let a new connection bring bytes as soon as it is there."""
    _open(context, transports.QuietTransport(), b'body').dataReceived(data)


@when('a new connection brings a refusal that names {named}')
def connect_to_refusal(context: Any, named: str) -> None:
    """Bring only the refusal."""
    _receive(context, _refusal_bytes(named))


class SlowTransport(transports.QuietTransport):
    """A transport that can't send much at once, as a socket's."""

    def write(self, data: bytes) -> None:
        """Ask the sender to pause while much is unsent."""
        super().write(data)
        if self.producer is not None and len(data) > MAX_UNSENT_BYTES:
            self.producer.pauseProducing()


@when('a runner refuses a request of {size:d} bytes that was sent {part}')
def refuse_large(context: Any, size: int, part: str) -> None:
    """Bring the refusal before or after the request has been sent."""
    context.transport = SlowTransport()
    connection = _open(context, context.transport, b'x' * size)
    if part == 'whole' and size > MAX_UNSENT_BYTES:
        context.transport.producer.resumeProducing()
    connection.dataReceived(_refusal_bytes('no request'))
    assert context.reader.ends == ['whole'], context.reader.ends


@then('so early or late, the runner {gets}')
def check_runner_side(context: Any, gets: str) -> None:
    """Tell a reset, which drops unsent bytes, from a close."""
    is_reset = gets == 'gets no more of the request'
    assert context.transport.disconnected == is_reset
    assert is_reset or context.transport.disconnecting


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


LOAD = wire.LoadRecord(1, 0, 4, 0.0, False, 1)
EARLIER = 'earlier/0/1/a'


class NodeCalls:
    """A node's calls to one runner, on transports in memory."""

    def __init__(self) -> None:
        """Open no call."""
        self.reactor = testing.MemoryReactorClock()
        self.client = http.HttpClient(self.reactor)
        self.events: list[Any] = []
        self.runner_client = _runner_client.RunnerClient(
            self.reactor, self.client, self.events.append, lambda _: None
        )
        self.connections: list[Any] = []

    def call(self, number: int) -> str:
        """Send a call; return the name of its attempt."""
        attempt = model.AttemptId('key', 0, number, 'nonce')
        stage_call = model.StageCall(attempt, 'main', 'x', 4.0, 5, 0, '')
        runner = model.Runner('r', 'main', '10.0.0.1:80', 'north')
        # Bodies are written by the cooperator of the reactor in use.
        cooperator = task.Cooperator(
            scheduler=lambda work: self.reactor.callLater(0.0, work)
        )
        with mock.patch.object(task, '_theCooperator', cooperator):
            self.runner_client.call(
                model.CallRunner(runner, stage_call, False)
            )
            while len(self.reactor.tcpClients) > len(self.connections):
                factory = self.reactor.tcpClients[-1][2]
                connection = factory.buildProtocol(None)
                connection.makeConnection(transports.QuietTransport())
                self.connections.append(connection)
            self.reactor.pump([0.01] * 5)
        return str(attempt)


def _response(status: int, body: bytes) -> bytes:
    head = b'HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n'
    return head % (status, len(body)) + body


def _refusal(attempt: str) -> bytes:
    return wire.encode_result(wire.ResultRefused(attempt, 'full', LOAD))


@when("a node's call gets {what} in place of its answer")
def answer_wrongly(context: Any, what: str) -> None:
    """Answer a call with what does not answer it."""
    context.node = NodeCalls()
    attempt = context.node.call(1)
    error_line = wire.encode_result(wire.ResultError(EARLIER, 'failed'))
    responses = {
        'an earlier refusal': _response(200, _refusal(EARLIER)),
        'an earlier error': _response(200, error_line),
        'status 503 without a record': _response(503, b'no room'),
        'status 503 with its own refusal': _response(503, _refusal(attempt)),
        'a line that is no record': _response(200, b'no record\n'),
    }
    context.node.connections[0].dataReceived(responses[what])


@then('it counts as a breach of protocol, and its connection closes')
def check_protocol(context: Any) -> None:
    """Look at the only event; the answer could still come."""
    (event,) = context.node.events
    assert event.failure == model.CallFailure.PROTOCOL, event
    transport = context.node.connections[0].transport
    assert transport.disconnecting or transport.disconnected
    context.node.call(2)
    assert len(context.node.connections) == 2


OBJECTS = {
    'workspace/w': {'name': 'w'},
    'service/s': {'name': 's', 'kind': 'encoder'},
    'pipeline/p': {'name': 'p', 'stages': ['s']},
    'class/c': {
        'name': 'c',
        'pipeline': 'p',
        'target': {'attainment': 0.9, 'deadline_s': 30, 'cost': 1},
    },
    'runner/r-1': {
        'name': 'r-1',
        'service': 's',
        'address': '10.0.0.9:80',
        'failure_domain': 'fd-1',
    },
}
WALL = 1.8e9
HEARTBEAT_S = 0.25
# Far longer than a runner may be silent, and shorter than the deadline.
HEARTBEATS = 40


@when("a node's call only gets heartbeats of {whose} call")
def beat(context: Any, whose: str) -> None:
    """Send heartbeats to a node that has one call open."""
    host = model.EntryHost('n-1', '10.0.0.1:80', '10.0.0.1:90', 'fd-1', 'r-1')
    rng = random.Random(1)
    core = node.NodeCore(node.NodeOptions(host), rng, 0.0, WALL)
    objects = [
        model.StoredObject(
            f'config/{name}', revision, msgspec.json.encode(value).decode()
        )
        for revision, (name, value) in enumerate(OBJECTS.items(), 1)
    ]
    core.on_peer('10.0.0.2:90', model.StatePush(objects, True), 0.1, WALL)
    core.tick(0.2, WALL)
    key = model.request_key_at(WALL, rng)
    request = model.Request(key, 'c', 'w', 30.0, 'hello', 'digest')
    effects = core.submit(request, 'caller-1', 0.3, WALL)
    call = next(e for e in effects if isinstance(e, model.CallRunner))
    attempt = call.call.attempt
    echoed = str(attempt) if whose == 'its own' else EARLIER
    context.counted = []
    for number in range(HEARTBEATS):
        now = 0.3 + number * HEARTBEAT_S
        found = list(
            core.on_runner(model.StageHeartbeat(attempt, echoed), now)
        )
        found += core.tick(now, WALL + now)
        context.counted += [
            e.name for e in found if isinstance(e, _effects.Count)
        ]


@then('so many of them mean that it {effect}')
def check_silence(context: Any, effect: str) -> None:
    """Look for the failure of the attempt."""
    is_silent = 'failure.s.silent' in context.counted
    assert is_silent == (effect == 'counts as silent'), context.counted


@when("a node's connection brings its answer and {what}")
def answer_and_more(context: Any, what: str) -> None:
    """Answer a call, and let more bytes come on its connection."""
    context.node = NodeCalls()
    answer = _response(200, _refusal(context.node.call(1)))
    more = b''
    if what.startswith('an earlier refusal'):
        more = _response(200, _refusal(EARLIER))
    elif what.startswith('a byte'):
        more = b'\n'
    (connection,) = context.node.connections
    if what.endswith('in one segment'):
        connection.dataReceived(answer + more)
    else:
        connection.dataReceived(answer)
        if more:
            connection.dataReceived(more)
    (event,) = context.node.events
    assert event.failure == model.CallFailure.OVERLOADED, event


@then("the node's next call opens a new connection")
def check_new(context: Any) -> None:
    """Count the connections; the first must be closing."""
    context.node.call(2)
    assert len(context.node.connections) == 2
    transport = context.node.connections[0].transport
    assert transport.disconnecting or transport.disconnected


@then("the node's next call is sent on it")
def check_kept(context: Any) -> None:
    """Count the connections and the requests on the first."""
    context.node.call(2)
    (connection,) = context.node.connections
    assert connection.transport.value().count(b'POST /v1/calls') == 2


EARLIER_KEY = 'earlier'
CHUNKS = ('own answer',)


def _stream(key: str, *chunks: str, outcome: str = 'completed') -> bytes:
    end = model.End(
        key,
        model.Outcome(outcome),
        len(chunks),
        model.content_digest(chunks),
        'a reason',
    )
    events = [
        model.Accepted(key, 'host-1'),
        *(model.Chunk(seq, data) for seq, data in enumerate(chunks)),
        end,
    ]
    return b''.join(wire.encode_event(event) + b'\n' for event in events)


def _problem(status: int, key: str) -> bytes:
    problem = wire.Problem('t', status, 'd', outcome='not_run', key=key)
    return _response(status, wire.encode_json(problem))


def _first_answer(what: str, key: str) -> bytes:
    end = model.End(EARLIER_KEY, model.Outcome.NOT_RUN, 0, '', 'refused')
    chunk = model.Chunk(0, 'another answer')
    answers = {
        'a 409 of another key': _problem(409, EARLIER_KEY),
        'a 409 without a key': _problem(409, ''),
        'a 409 of its own key': _problem(409, key),
        'a 409 of nested arrays': _response(409, b'[' * 5000),
        'a 503 of another key': _problem(503, EARLIER_KEY),
        'a stream of another key': _response(
            200, _stream(EARLIER_KEY, 'another answer')
        ),
        'a not_run end of another key': _response(
            200, wire.encode_event(end) + b'\n'
        ),
        'a chunk of a stream without a key': _response(
            200, wire.encode_event(chunk) + b'\n'
        ),
    }
    return answers[what]


class CallerWorld:
    """A caller's client and a host that answers from a script."""

    def __init__(self, keeps: bool) -> None:
        """Answer nothing yet; keep connections open if keeps is set."""
        self.keeps = keeps
        self.reactor = testing.MemoryReactorClock()
        self.client = caller.Client(self.reactor, ['10.0.0.1:80'])
        self.key = model.new_request_key()
        self.connections: list[Any] = []
        self.opened = 0
        # The number of a connection that is refused.
        self.refused = 0
        self.chunks: list[str] = []
        self.answers: list[caller.Answer] = []

    def play(self, script: list[bytes]) -> None:
        """Send a request; its n-th try gets the n-th answer."""
        cooperator = task.Cooperator(
            scheduler=lambda work: self.reactor.callLater(0.0, work)
        )
        with mock.patch.object(task, '_theCooperator', cooperator):
            sent = self.client.send(
                'class', 'w', 'x', 4.0, self.key, self._on_chunk
            )
            sent.addCallback(self.answers.append)
            for _ in range(100):
                self.reactor.advance(0.02)
                self._connect()
                for connection in self.connections:
                    self._serve(connection, script)

    def _on_chunk(self, seq: int, data: str) -> None:
        if not seq:
            self.chunks.clear()
        self.chunks.append(data)

    def _connect(self) -> None:
        while len(self.reactor.tcpClients) > self.opened:
            factory = self.reactor.tcpClients[self.opened][2]
            self.opened += 1
            if self.opened == self.refused:
                refused = failure.Failure(error.ConnectionRefusedError())
                factory.clientConnectionFailed(None, refused)
                continue
            connection = factory.buildProtocol(None)
            connection.makeConnection(transports.QuietTransport())
            self.connections.append(connection)

    def _serve(self, connection: Any, script: list[bytes]) -> None:
        transport = connection.transport
        if transport.disconnecting or transport.disconnected:
            if not transport.producerState == 'lost':
                transport.producerState = 'lost'
                done = failure.Failure(error.ConnectionDone())
                connection.connectionLost(done)
            return
        head, _, body = transport.value().partition(b'\r\n\r\n')
        if head.startswith(b'GET /v1/addresses'):
            transport.clear()
            connection.dataReceived(self._addresses())
        elif head.startswith(b'GET') or body.endswith(b'}'):
            transport.clear()
            answer = script.pop(0)
            if answer:
                connection.dataReceived(answer)
            else:
                transport.loseConnection()

    def _addresses(self) -> bytes:
        entry = wire.EntryAddressRecord('host-1', '10.0.0.1:80', 'north')
        record = wire.AddressesRecord([entry], 5.0, 1)
        answer = _response(200, wire.encode_json(record))
        if self.keeps:
            return answer
        return answer.replace(b'\r\n', b'\r\nConnection: close\r\n', 1)


@when("a caller's request first gets {what} on a {state} connection")
def ask_first(context: Any, what: str, state: str) -> None:
    """Answer the first try wrongly and later ones well."""
    world = context.caller = CallerWorld(state == 'kept')
    whole = _response(200, _stream(world.key, *CHUNKS))
    world.play([_first_answer(what, world.key), *[whole] * 5])


@when(
    "a caller's first try {ends} and each later one is refused with {status:d}"
)
def refuse_later(context: Any, ends: str, status: int) -> None:
    """Let the first try end in some way."""
    is_alone = ends == 'finds no host'
    world = context.caller = CallerWorld(not is_alone)
    # The first connection asks for addresses.
    world.refused = 2 if is_alone else 0
    begun = model.Accepted(world.key, 'host-1')
    first = {
        'loses its connection': b'',
        'breaks off its stream': _response(200, wire.encode_event(begun)),
        'gets an earlier refusal': _problem(503, EARLIER_KEY),
        'is refused': _problem(503, world.key),
        'finds no host': _problem(503, world.key),
    }
    world.play([first[ends], *[_problem(status, world.key)] * 5])


@when("a caller's request gets {what} at each try")
def ask_always(context: Any, what: str) -> None:
    """Answer each try wrongly."""
    world = context.caller = CallerWorld(True)
    world.play([_first_answer(what, world.key)] * 6)


@then('the caller is told {outcome} after {tries:d} tries')
def check_told(context: Any, outcome: str, tries: int) -> None:
    """Look at the answer; a completed one is this request's alone."""
    (answer,) = context.caller.answers
    assert answer.outcome == outcome, answer
    assert answer.attempts == tries, answer
    if outcome == 'completed':
        assert answer.chunks == CHUNKS, answer
        assert context.caller.chunks == list(CHUNKS), context.caller.chunks


class SmallService:
    """What the resources of a host need to refuse a request."""

    max_body = 1000

    def __init__(self) -> None:
        """Know no key."""
        self.core = mock.Mock()
        self.core.control.members.version = 1
        self.core.explain.return_value = None

    def count(self, name: str) -> None:
        """Count nothing."""

    def on_error(self, trace: str) -> None:
        """Expect no error."""
        raise AssertionError(trace)


@when('a host is sent {what}')
def send_to_host(context: Any, what: str) -> None:
    """Feed a request to the site of a host."""
    context.key = model.new_request_key()
    body = {'key': context.key, 'class_of_work': 'c', 'workspace': 'w'}
    if what == 'a request with an unknown field':
        body |= {'deadline_ms': 4000, 'input': 'x', 'odd': 1}
    data = msgspec.json.encode(body)
    lines = {
        'a resumption from a wrong chunk': b'?from_seq=x',
        'a question for an unknown key': b'/explain',
    }
    site = _caller_http.caller_site(SmallService(), 5.0)
    channel = site.buildProtocol(address.IPv4Address('TCP', '10.0.0.2', 9))
    transport = transports.QuietTransport()
    channel.makeConnection(transport)
    if what in lines:
        target = b'/v1/requests/' + context.key.encode() + lines[what]
        channel.dataReceived(b'GET %s HTTP/1.1\r\nHost: a\r\n\r\n' % target)
    else:
        head = b'POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Length: %d'
        channel.dataReceived(head % len(data) + b'\r\n\r\n' + data)
    context.written = transport.value()
    channel.connectionLost(failure.Failure(error.ConnectionDone()))


@then('its problem document names the key that was sent')
def check_key(context: Any) -> None:
    """Read the document, which may be a chunk of the response."""
    text = context.written
    document = text[text.index(b'{') : text.rindex(b'}') + 1]
    status = int(text.split()[1])
    assert status >= 400, text
    assert msgspec.json.decode(document).get('key') == context.key, text
