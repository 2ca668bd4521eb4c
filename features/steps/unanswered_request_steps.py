"""Steps of requests whose handling raises what nobody expected."""

import json
import os
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when
import h11
import msgspec
import structlog
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.internet.testing import MemoryReactorClock
from twisted.python import failure

from features.support import relay_hosts
from features.support import transports
import ragwort_edge as edge
from ragwort_edge import _hand_over
from ragwort_edge import _logs
from ragwort_edge import _placement
from ragwort_edge import _request_handler
from ragwort_edge import _request_stages
from ragwort_edge import _server
import ragwort_relay as relay


def fail(*arguments: Any, **named: Any) -> Any:
    """Raise what no caller expects."""
    raise ZeroDivisionError('of the test')


async def go_on(handler: Any) -> None:
    """Go on for ever, also when cancelled."""
    while True:
        try:
            await defer.Deferred()
        except defer.CancelledError:
            continue


def _in_handler(name: str, function: Any = fail) -> Any:
    return mock.patch.object(_request_handler.RequestHandler, name, function)


def _silence(host: Any) -> Any:
    """Let all lines of requests and errors fail."""
    logger = mock.Mock(info=fail, warning=fail, error=fail)
    host.guard.logger = logger
    return mock.patch.object(host.context, 'logger', logger)


BREAKERS: dict[str, Any] = {
    'configuration': lambda host: mock.patch.object(
        relay.RelayConfiguration, 'find_route', fail
    ),
    'request reader': lambda host: mock.patch.object(
        host.dialect, 'read_request', fail
    ),
    'route': lambda host: mock.patch.object(relay.Route, 'service_for', fail),
    'parts of the prompt': lambda host: mock.patch.object(
        relay, 'suspects_of', fail
    ),
    'handler': lambda host: mock.patch.object(
        _request_handler, 'RequestHandler', fail
    ),
    'clock': lambda host: mock.patch.object(
        _request_handler.RequestHandler, 'left_s', fail
    ),
    'sharing of prompts': lambda host: mock.patch.object(
        host.catalog.prompt_sharing, 'record', fail
    ),
    'member list': lambda host: mock.patch.object(
        host.members, 'is_alive', fail
    ),
    'failure handling': lambda host: _in_handler('_on_failure'),
    'refusal': lambda host: _in_handler('_refuse'),
    'failure': lambda host: _in_handler('fail'),
    'cancellation': lambda host: _in_handler('_on_cancelled'),
    'delivery': lambda host: _in_handler('_deliver'),
    'conclusion': lambda host: _in_handler('_conclude'),
    'request log': lambda host: _in_handler('log_end'),
    'steps, cancelled': lambda host: _in_handler('_run', go_on),
    'whole log': lambda host: _silence(host),
    'error answer': lambda host: mock.patch.object(
        host.dialect, 'error_response', fail
    ),
    'release': lambda host: mock.patch.object(
        _request_stages.RequestStages, 'release_all', fail
    ),
    'reply reader': lambda host: mock.patch.object(
        host.dialect, 'read_reply', fail
    ),
    'first event': lambda host: _in_handler('on_event_from'),
    'end of a stream': lambda host: mock.patch.object(
        _placement.Placement, 'on_call_end', fail
    ),
    'judge of calls': lambda host: _in_handler('classify_response'),
    'ready': lambda host: mock.patch.object(
        edge.RelayHost, 'is_ready', property(fail)
    ),
    'directory': lambda host: mock.patch.object(host, 'directory', fail),
    'metrics': lambda host: mock.patch.object(host.metrics, 'text', fail),
}
UNSENDABLE: dict[str, tuple[int, edge.Headers, bytes]] = {
    'a status of 101': (101, (), b'body'),
    'a status of 1000': (1000, (), b'body'),
    'a body to a 204': (204, (), b'body'),
    'a body to a 304': (304, (), b'body'),
    'a line break in a header': (200, ((b'x', b'a\r\nb: c'),), b'body'),
    'a null in a header': (200, ((b'x', b'a\x00b'),), b'body'),
    'a header without a name': (200, ((b'', b'a'),), b'body'),
    'a space in the name of a header': (200, ((b'x y', b'a'),), b'body'),
}
REASONS = {
    'a line break': 'no\r\nragwort-cut-off: 1',
    'a null': 'no\x00',
    'another script': 'no \u05d0 \U0001f40d',
    'a lone surrogate': 'no \udc80',
    '100,000 characters': 'no' * 50_000,
    'nothing in it': '',
}
SCRIPTS = {
    'runners reset': 'reset',
    'runners are silent': 'silent',
    'runners turn it away': 'full',
    'runners break off': 'cut:3',
}
PLAIN_ANSWER = b'HTTP/1.1 200 OK\r\necho: once\r\nContent-Length: 2\r\n\r\nok'
STREAM_ANSWER = (
    b'HTTP/1.1 200 OK\r\necho: once\r\nContent-Type: text/event-stream\r\n'
    b'Content-Length: 16\r\n\r\nid: 1\ndata: e1\n\n'
)
# Far less than the time limit of any route.
PROMPT_S = 1.0
KEPT_LIMITS = relay.CallerLimits(1000, 4096, 2.0, 5.0)
# Bytes that a server reads at once.
READ = 64 * 1024
# Bytes that come at a time.
STEP = 100
# Longer than the time limit of any route.
LONG_S = 12.0
NOT_RUN = 503
PORTS = {'ready': 82, 'directory': 83, 'metrics': 86}


def break_part(context: Any, patch: Any) -> None:
    """Let a part raise until the scenario is over."""
    patch.start()
    context.add_cleanup(patch.stop)


def connect(site: Any) -> tuple[Any, transports.QuietTransport]:
    """Return a connection to a site and what it writes to."""
    served = site.buildProtocol(None)
    transport = transports.QuietTransport()
    served.makeConnection(transport)
    return served, transport


def start_world(context: Any) -> Any:
    """Start two hosts and return the one that is asked."""
    context.world = world = relay_hosts.HostWorld(2)
    world.run(1.0)
    context.host = world.hosts[1]
    return context.host


@given('a host whose "{part}" raises as a request comes')
def break_host(context: Any, part: str) -> None:
    """Let a part raise after the host has started."""
    host = start_world(context)
    break_part(context, BREAKERS[part](host))


@when('the host gets a "{route}" request')
def send(context: Any, route: str) -> None:
    """Send a request; whatever leaves the host ends the connection."""
    facts = {'request_id': 'once', 'access_key': 'k1'}
    world = context.world
    context.asked = world.submit(1, f'/{route}/1', facts)
    world.run(1.0)


@when('the host gets a "{route}" request whose {cause}')
def send_scripted(context: Any, route: str, cause: str) -> None:
    """Send a request and wait until its time is over."""
    world = context.world
    for runner in world.runners:
        runner.events = 3 if route == 'stream' else 0
        if cause in SCRIPTS:
            runner.script = [SCRIPTS[cause]] * 9
        elif cause == 'runners are gone':
            world.remove_runner(runner.name)
    facts = {'request_id': 'once', 'access_key': 'k1'}
    context.asked = world.submit(1, f'/{route}/1', facts)
    world.run(LONG_S)


@when('all runners are gone and another host hands it a request')
def hand_without_runners(context: Any) -> None:
    """Send a request that the host has to refuse."""
    for runner in context.world.runners:
        context.world.remove_runner(runner.name)
    context.asked = context.world.hand(1, {})


@when('another host hands it a request')
def hand(context: Any) -> None:
    """Send a request to the port for other hosts."""
    context.asked = context.world.hand(1, {})


@when('somebody asks over a connection for the host\'s "{part}"')
def ask_port(context: Any, part: str) -> None:
    """Send a request to the port of a part."""
    host = context.host
    if part == 'metrics':
        host.options = msgspec.structs.replace(
            host.options, metrics_address=f'10.0.1.1:{PORTS[part]}'
        )
        host.start()
    listening = context.world.clock.tcpServers
    sites = {port: site for port, site, *_ in listening}
    served, context.transport = connect(sites[PORTS[part]])
    served.dataReceived(b'GET / HTTP/1.1\r\nHost: one.example\r\n\r\n')


@then('it is answered {status:d} on the connection with a time to come back')
def check_written(context: Any, status: int) -> None:
    """Look at what was written."""
    written = context.transport.value()
    assert written.startswith(b'HTTP/1.1 %d ' % status), written
    assert b'retry-after' in written, written


@then('it is answered {status:d} with a time to come back')
def check_refused(context: Any, status: int) -> None:
    """Look at the answer."""
    asked = context.asked
    assert asked.status == status, asked.status
    assert asked.is_whole
    retry_after = edge.find_header(asked.headers, b'retry-after')
    assert retry_after is not None and float(retry_after) > 0


@then('it declines the request')
def check_declined(context: Any) -> None:
    """Look at the answer to the other host."""
    assert context.asked.is_whole
    assert context.asked.is_declined


@then('no runner has got it, and the host has no request open')
def check_unsent(context: Any) -> None:
    """Look at the runners and the host."""
    for runner in context.world.runners:
        assert not runner.arrivals, runner.arrivals
    assert not context.host.open_requests
    armed = [
        call
        for call in context.world.clock.getDelayedCalls()
        if 'RequestHandler' in repr(call.func)
    ]
    assert not armed, armed


@then('the host has counted an error of its "{part}"')
def check_counted(context: Any, part: str) -> None:
    """Look at the counter of any host."""
    found = [
        host.metrics.registry.get_sample_value(
            'ragwort_unexpected_errors_total', {'part': part}
        )
        for host in context.world.hosts
    ]
    assert any(found), found


@then('it is answered {status:d} with the promise of that status')
def check_promise(context: Any, status: int) -> None:
    """Look at the answer, and whether it may be sent again."""
    asked = context.asked
    assert asked.status == status, asked.status
    assert asked.is_whole
    ran = any(a.ran for r in context.world.runners for a in r.arrivals)
    has_time = edge.find_header(asked.headers, b'retry-after') is not None
    assert has_time == (status == NOT_RUN)
    assert status != NOT_RUN or not ran


@then('the host has no request open')
def check_none_open(context: Any) -> None:
    """Look at what a leaving host waits for."""
    assert not context.host.open_requests


@then('its answer is broken off and the host has no request open')
def check_broken(context: Any) -> None:
    """Look at the end of the stream."""
    assert context.asked.status == 200, context.asked.status
    assert context.asked.is_over
    assert not context.asked.is_whole
    assert not context.host.open_requests


@given('a host with callers on connections')
def start_connected(context: Any) -> None:
    """Open a connection to the port of callers."""
    host = start_world(context)
    context.served, context.transport = connect(host.caller_site)


def ask(
    context: Any, target: str, method: str = 'GET', key: str = 'k1'
) -> None:
    """Send a request on the connection and wait for its end."""
    facts = json.dumps({'request_id': 'once', 'access_key': key})
    head = f'{method} {target} HTTP/1.1\r\nHost: one.example\r\n'
    context.served.dataReceived(f'{head}facts: {facts}\r\n\r\n'.encode())
    context.world.run(LONG_S)


def answer_with(
    context: Any, status: int, headers: edge.Headers, body: bytes
) -> None:
    """Let all runners give one answer, whatever HTTP allows."""
    echo = ((b'echo', b'once'),)
    for runner in context.world.runners:
        runner.serve = lambda request, call: call.respond(
            status, headers + echo, body
        )


@when('a caller asks over a connection and the runner answers with {what}')
def ask_unsendable(context: Any, what: str) -> None:
    """Let the runner give an answer that a server can't pass on."""
    status, headers, body = UNSENDABLE[what]
    answer_with(context, status, headers, body)
    ask(context, '/job/1')


@when('a caller asks for a stream and the runner begins with {what}')
def ask_unsendable_stream(context: Any, what: str) -> None:
    """Let the runner begin a stream that a server can't pass on."""
    _, headers, _ = UNSENDABLE[what]
    headers += ((b'content-type', b'text/event-stream'),)
    answer_with(context, 200, headers, b'id: 1\ndata: e1\n\n')
    ask(context, '/stream/1')


@when('the host gets a HEAD request {case}')
def ask_head(context: Any, case: str) -> None:
    """Ask for an answer without its body."""
    target = '/job/1'
    if case == 'while all runners are gone':
        for runner in context.world.runners:
            context.world.remove_runner(runner.name)
    elif case == 'for a path without a route':
        target = '/nowhere'
    elif case == 'and the runners fail':
        for runner in context.world.runners:
            runner.script = ['reset'] * 9
    else:
        answer_with(context, 200, (), b'body')
    ask(context, target, 'HEAD')


@when('the host gets a CONNECT request')
def ask_connect(context: Any) -> None:
    """Ask for a tunnel."""
    answer_with(context, 200, (), b'body')
    ask(context, '/job/1', 'CONNECT')


def check_one_answer(context: Any, status: int) -> bytes:
    """Return the body of the only answer."""
    written = context.transport.value()
    assert written.startswith(b'HTTP/1.1 %d ' % status), written
    assert written.count(b'HTTP/1.1') == 1, written
    _, _, body = written.partition(b'\r\n\r\n')
    return bytes(body)


@then('it is answered {status:d} on the connection, which stays open')
def check_stays_open(context: Any, status: int) -> None:
    """Look at the connection."""
    assert check_one_answer(context, status)
    check_next(context)


@then(
    'it is answered {status:d} without a body on the connection, which stays '
    'open'
)
def check_without_body(context: Any, status: int) -> None:
    """Look at the connection."""
    assert not check_one_answer(context, status)
    check_next(context)


def check_next(context: Any) -> None:
    """Send another request on the connection."""
    transport = context.transport
    assert not transport.disconnecting and not transport.disconnected
    transport.clear()
    ask(context, '/nowhere')
    assert transport.value().startswith(b'HTTP/1.1 404 '), transport.value()


@then('it is answered {status:d} on the connection, which closes')
def check_closes(context: Any, status: int) -> None:
    """Look at the connection."""
    check_one_answer(context, status)
    assert context.transport.disconnecting


@when('a host declines for a reason with {what}')
def make_decline(context: Any, what: str) -> None:
    """Decline, and send that over a connection."""
    context.decline = _hand_over.decline(REASONS[what])
    clock = task.Clock()
    site = _server.Site(
        clock,
        relay.CallerLimits,
        lambda exchange: exchange.respond(context.decline),
        lambda status: None,
    )
    served, context.transport = connect(site)
    served.dataReceived(b'GET / HTTP/1.1\r\nHost: one.example\r\n\r\n')


@then('its decline can be sent and tells the reason as far as a header can')
def check_decline(context: Any) -> None:
    """Look at what was written."""
    written = context.transport.value()
    assert written.startswith(b'HTTP/1.1 503 '), written[:80]
    assert b'ragwort-declined: ' in written
    assert len(written) < 1000
    reason = context.decline.header(b'ragwort-declined')
    assert not reason or reason.startswith(b'no')
    assert context.transport.connected


CONNECTION_PARTS: dict[str, Any] = {
    'parser': lambda site: mock.patch.object(
        h11.Connection, 'next_event', fail
    ),
    'headers': lambda site: mock.patch.object(
        _server.ServerProtocol, '_on_headers', fail
    ),
    'body': lambda site: mock.patch.object(
        _server.ServerProtocol, '_on_body', fail
    ),
    'end': lambda site: mock.patch.object(
        _server.ServerProtocol, '_on_complete_request', fail
    ),
    'handler': lambda site: mock.patch.object(site, 'on_exchange', fail),
    'refusal': lambda site: mock.patch.object(
        _server.ServerProtocol, '_send_rejection', fail
    ),
    'count of invalid': lambda site: mock.patch.object(
        site, 'on_rejected', fail
    ),
    'count of late': lambda site: mock.patch.object(site, 'on_rejected', fail),
}


@when('the "{part}" of the connection raises while a request is read')
def break_connection(context: Any, part: str) -> None:
    """Send a request, a damaged one or a part of one."""
    site = context.host.caller_site
    break_part(context, CONNECTION_PARTS[part](site))
    data = b'POST /job/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc'
    if part in ('count of invalid', 'refusal'):
        data = b'no request\r\n\r\n'
    elif part == 'count of late':
        data = data[:-1]
    context.served.dataReceived(data)
    context.world.run(LONG_S)


@then('the connection is reset')
def check_reset(context: Any) -> None:
    """Look at the connection."""
    assert context.transport.disconnected


@given('a connection of a caller that has had an answer')
def answer_first(context: Any) -> None:
    """Let a site answer a request on a connection that stays open."""
    context.limits = KEPT_LIMITS
    context.exchanges = []
    site = _server.Site(
        task.Clock(),
        lambda: context.limits,
        context.exchanges.append,
        lambda status: None,
    )
    context.served, context.transport = connect(site)
    context.served.dataReceived(padded(0))
    context.exchanges.pop().respond(edge.HttpResponse(200))
    assert b' 200 ' in context.transport.value()
    context.transport.clear()


def padded(size: int, body: bytes = b'') -> bytes:
    """Return a request with headers of about a size."""
    head = f'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n'
    return f'{head}X: {"x" * size}\r\n\r\n'.encode() + body


@when(
    'its site allows headers of {size:d} bytes and it sends {sent:d} bytes of '
    'them {how}'
)
def send_headers(context: Any, size: int, sent: int, how: str) -> None:
    """Send a request in small pieces, as a slow network does."""
    changed = msgspec.structs.replace(KEPT_LIMITS, header_bytes=size)
    data = padded(sent)
    context.sent_count = 1
    if how == 'pipelined':
        context.sent_count = 2
        context.served.dataReceived(padded(0))
        context.served.dataReceived(data[:-STEP])
        context.limits = changed
        context.exchanges.pop().respond(edge.HttpResponse(200))
        data = data[-STEP:]
    context.limits = changed
    for at in range(0, len(data), STEP):
        context.served.dataReceived(data[at : at + STEP])


@when('its site allows {what} while a request is read')
def change_limits(context: Any, what: str) -> None:
    """Change the limits behind the first byte, then behind the head."""
    name = {
        'smaller headers': 'header_bytes',
        'smaller bodies': 'body_bytes',
    }[what]
    data = padded(500, b'x' * 3000)
    context.sent_count = 1
    context.served.dataReceived(data[:10])
    context.limits = msgspec.structs.replace(KEPT_LIMITS, **{name: 100})
    for at in range(10, len(data), STEP):
        context.served.dataReceived(data[at : at + STEP])


@then('the request gets {status:d}')
def check_limits(context: Any, status: int) -> None:
    """Answer the request if it has been handed on; look at the last answer."""
    for exchange in context.exchanges:
        exchange.respond(edge.HttpResponse(200))
    written = context.transport.value()
    last = written[written.rindex(b'HTTP/1.1') :]
    assert last.startswith(b'HTTP/1.1 %d ' % status), written
    answers = written.count(b'HTTP/1.1')
    assert answers == context.sent_count, written


@when('it sends a request and {count:d} more of {size:d} bytes behind it')
def pipeline(context: Any, count: int, size: int) -> None:
    """Send all at once, as far as the server reads."""
    context.limits = msgspec.structs.replace(KEPT_LIMITS, body_bytes=size)
    body = b'x' * size
    context.unread = padded(0) + padded(0, body) * count
    context.pipelined = count + 1
    context.most_waiting = 0
    read_on(context)


def read_on(context: Any) -> None:
    """Let the server read until it pauses."""
    transport = context.transport
    while context.unread and transport.producerState == 'producing':
        part, context.unread = context.unread[:READ], context.unread[READ:]
        context.served.dataReceived(part)
        waiting = context.served.pipelined_bytes
        context.most_waiting = max(context.most_waiting, waiting)


@then('each of them is answered in turn, and at most {held:d} bytes waited')
def check_pipelined(context: Any, held: int) -> None:
    """Answer one after the other."""
    for _ in range(context.pipelined):
        assert len(context.exchanges) == 1, len(context.exchanges)
        context.exchanges.pop().respond(edge.HttpResponse(200))
        read_on(context)
    assert not context.exchanges
    assert not context.unread
    answers = context.transport.value().count(b'HTTP/1.1 200')
    assert answers == context.pipelined, answers
    assert context.most_waiting <= held, context.most_waiting


class RaisingReader(edge.ResponseReader):
    """Raises at one part of an answer, and notes how the call ends."""

    def __init__(self, part: str) -> None:
        """Raise at a part, '' for none."""
        self.errors: list[edge.CallError] = []
        if part:
            setattr(self, f'on_{part}', fail)

    def on_error(self, call_error: edge.CallError) -> None:
        """Note a failed call."""
        self.errors.append(call_error)


def open_call(context: Any, part: str, request: edge.HttpRequest) -> None:
    """Open a call whose connection is there at once."""
    reactor = MemoryReactorClock()
    client = edge.HttpClient(reactor)
    context.reports = []
    client.report = lambda: context.reports.append(True)
    context.reader = RaisingReader(part)
    client.open('10.0.0.1:80', request, context.reader)
    factory = reactor.tcpClients[0][2]
    context.called = factory.buildProtocol(None)
    context.transport = transports.QuietTransport()
    context.called.makeConnection(context.transport)


@given('a call whose reader raises at the "{part}" of an answer')
def open_raising(context: Any, part: str) -> None:
    """Open a call."""
    request = edge.HttpRequest(b'GET', b'/', ((b'host', b'a'),))
    open_call(context, part, request)


@when('the runner answers it whole')
def answer_whole(context: Any) -> None:
    """Send an answer, then close the connection."""
    context.called.dataReceived(PLAIN_ANSWER)
    lost = failure.Failure(error.ConnectionDone())
    context.called.connectionLost(lost)


@given('a call of a request that {what}')
def open_damaged(context: Any, what: str) -> None:
    """Open a call whose request can't be sent."""
    target, value = {
        'has a null in a header': (b'/', b'a\x00'),
        'has a line break in a header': (b'/', b'a\r\nb: c'),
        'has a space in its target': (b'/ x', b'a'),
    }[what]
    headers = ((b'host', b'a'), (b'x', value))
    open_call(context, '', edge.HttpRequest(b'GET', target, headers))


@then('the reader hears once that the call has failed')
def check_failed(context: Any) -> None:
    """Look at what the reader heard."""
    [call_error] = context.reader.errors
    assert call_error.kind == edge.CallErrorKind.DAMAGED


@then('the error is reported and the connection is closed')
def check_reported(context: Any) -> None:
    """Look at the reports."""
    assert len(context.reports) == 1
    assert context.transport.disconnected


@when(
    'the host gets a "{route}" request and its runner answers with {kind} on '
    'a connection'
)
def send_connected(context: Any, route: str, kind: str) -> None:
    """Answer all connections that the host opens to runners."""
    world, host = context.world, context.host
    host.context.client = client = edge.HttpClient(world.clock)
    client.report = host._on_http_error
    make_request = host.dialect.main_request

    def with_host(call: Any) -> edge.HttpRequest:
        made = make_request(call)
        headers = ((b'host', b'a'), *made.headers)
        return msgspec.structs.replace(made, headers=headers)

    host.dialect.main_request = with_host
    is_stream = route == 'stream' and kind == 'events'
    answer = STREAM_ANSWER if is_stream else PLAIN_ANSWER
    facts = {'request_id': 'once', 'access_key': 'k1'}
    context.asked = world.submit(1, f'/{route}/1', facts)
    answered = 0
    until = world.clock.seconds() + LONG_S
    while not context.asked.is_over and world.clock.seconds() < until:
        for _, _, factory, _, _ in world.clock.tcpClients[answered:]:
            answered += 1
            deliver(factory.buildProtocol(None), answer)
        world.run(0.01)


def deliver(called: Any, answer: bytes) -> None:
    """Deliver an answer; close the connection on an error, as a reactor."""
    called.makeConnection(transports.QuietTransport())
    try:
        called.dataReceived(answer)
    except ZeroDivisionError:
        called.connectionLost(failure.Failure())


@then('it is {end} long before its deadline')
def check_prompt(context: Any, end: str) -> None:
    """Look at the answer and when it came."""
    asked = context.asked
    is_cut = end == 'cut'
    assert asked.status == (200 if is_cut else 502), asked.status
    assert asked.is_whole != is_cut
    assert asked.ended_at - asked.started_at < PROMPT_S, asked.ended_at


@given('a host whose log {problem}')
def break_log(context: Any, problem: str) -> None:
    """Let each write of the log fail."""
    host = start_world(context)
    if problem == 'has lost its reader':
        reading, descriptor = os.pipe()
        os.close(reading)
    else:
        descriptor = os.open('/dev/full', os.O_WRONLY)
    context.add_cleanup(os.close, descriptor)
    renderer = structlog.processors.JSONRenderer()
    logger = structlog.wrap_logger(
        _logs.RateLimitedOutput(descriptor), [renderer]
    )
    host.logger = host.context.logger = host.guard.logger = logger


@when(
    'a runner sends events 1, 2 and 4 of a stream at once, and the next one '
    'the rest to 5'
)
def send_gap(context: Any) -> None:
    """Let the first send bring a stream that lacks an event."""
    headers = ((b'echo', b'once'), (b'content-type', b'text/event-stream'))
    told: list[int] = []

    def serve(request: edge.HttpRequest, call: Any) -> None:
        facts = json.loads(request.header(b'call') or b'{}')
        told.append(facts['last_event'] or 0)
        numbers = range(told[-1] + 1, 6) if len(told) > 1 else (1, 2, 4)
        events = [b'id: %d\ndata: e\n\n' % number for number in numbers]
        call.respond(200, headers, b''.join(events))

    for runner in context.world.runners:
        runner.serve = serve
    facts = {'request_id': 'once', 'access_key': 'k1'}
    context.asked = context.world.submit(1, '/stream/1', facts)
    context.world.run(LONG_S)


@then('the caller gets events 1 to 5, each once')
def check_events(context: Any) -> None:
    """Look at the stream."""
    assert context.asked.is_whole
    found = [
        int(line.removeprefix(b'id: '))
        for line in context.asked.body.splitlines()
        if line.startswith(b'id: ')
    ]
    assert found == [1, 2, 3, 4, 5], found
