"""Steps of callers and runners that read slowly."""

import json
from typing import Any

from behave import given
from behave import then
from behave import when
from twisted.internet.testing import MemoryReactorClock

from features.support import relay_hosts
from features.support import slow_transports
import ragwort_edge as edge
from ragwort_edge import _body
from ragwort_edge import _hand_over
import ragwort_relay as relay

KB = 1000
REQUEST = b'GET /safe/1 HTTP/1.1\r\nhost: one.example\r\n\r\n'
CLOSING = REQUEST.replace(b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n')
HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
STEP_S = 0.01
CHUNK_KB = 64


class Callers:
    """Callers of a site, and what it sends them."""

    def __init__(self, memory_mb: int) -> None:
        """Start without callers."""
        self.clock = MemoryReactorClock()
        self.held = edge.HeldBytes(_body.held_limit(memory_mb))
        self.exchanges: list[edge.Exchange] = []
        self.transports: list[slow_transports.SlowTransport] = []
        self.sizes: list[int] = []
        self.site = edge.Site(
            self.clock,
            relay.CallerLimits,
            self.exchanges.append,
            lambda status: None,
            self.held,
        )
        self.client = edge.HttpClient(self.clock, self.held)

    def connect(self, request: bytes = REQUEST) -> edge.Exchange:
        """Return the exchange of a new caller's request."""
        protocol = self.site.buildProtocol(None)
        transport = slow_transports.SlowTransport(protocol)
        self.transports.append(transport)
        protocol.makeConnection(transport)
        protocol.dataReceived(request)
        return self.exchanges[-1]

    def answer(self, exchange: edge.Exchange, size: int) -> None:
        """Send a whole answer."""
        self.sizes.append(size)
        exchange.respond(edge.HttpResponse(200, (), b'x' * size))

    @property
    def held_bytes(self) -> int:
        """Return all bytes that wait in the host."""
        waiting = sum(len(t.pending) for t in self.transports)
        return waiting + self.held.total


class Collector(edge.ResponseReader):
    """Notes how a call ends."""

    def __init__(self) -> None:
        """Wait for the end."""
        self.error: Any = None

    def on_error(self, call_error: edge.CallError) -> None:
        """Note the error."""
        self.error = call_error


@given('a host of {memory_mb:d} MB of memory')
def start(context: Any, memory_mb: int) -> None:
    """Start a site with an account."""
    context.callers = Callers(memory_mb)


@when(
    '{count:d} callers are each sent an answer of {size_kb:d} KB and read'
    ' nothing'
)
def send(context: Any, count: int, size_kb: int) -> None:
    """Answer callers that don't read."""
    callers = context.callers
    context.most = 0
    for _ in range(count):
        callers.answer(callers.connect(), size_kb * KB)
        context.most = max(context.most, callers.held_bytes)
    callers.clock.advance(STEP_S)


@then('it holds 3 MB at most, and 32 KB for each connection')
def check_held(context: Any) -> None:
    """Compare the most that was held."""
    callers = context.callers
    slack = 33 * 1024 * max(len(callers.transports), 1)
    assert callers.held.total <= 3_000_000, callers.held.total
    assert context.most <= 3_000_000 + slack, context.most


@then('{count:d} connections are reset, none with a whole answer')
def check_reset(context: Any, count: int) -> None:
    """Look at the connections."""
    transports = context.callers.transports
    reset = [t for t in transports if t.is_aborted]
    assert len(reset) == count, len(reset)
    for transport in reset:
        assert len(transport.received) + len(transport.pending) < 99 * KB


@when('they read {size_kb:d} KB every {gap_s:g} s')
def read(context: Any, size_kb: int, gap_s: float) -> None:
    """Let the callers read for as long as anything comes."""
    callers = context.callers
    for _ in range(2 * max(callers.sizes) // (size_kb * KB) + 2):
        for transport in callers.transports:
            transport.read(size_kb * KB)
        callers.clock.advance(gap_s)


@then('each has got its whole answer, and nothing is held')
def check_whole(context: Any) -> None:
    """Compare what the callers got."""
    callers = context.callers
    for transport, size in zip(callers.transports, callers.sizes, strict=True):
        body = bytes(transport.received).partition(b'\r\n\r\n')[2]
        assert len(body) == size, len(body)
        assert not transport.is_aborted
    assert callers.held.total == 0, callers.held.total


@then('only the last connection is reset')
def check_last(context: Any) -> None:
    """Look at the connections."""
    found = [t.is_aborted for t in context.callers.transports]
    assert found == [False] * (len(found) - 1) + [True], found


@when(
    'a caller that reads slowly is sent an answer after which the connection'
    ' closes'
)
def send_closing(context: Any) -> None:
    """Answer a caller that asked for the close."""
    callers = context.callers
    callers.answer(callers.connect(CLOSING), 500 * KB)


@then('it closes once the caller has read all')
def check_close(context: Any) -> None:
    """Let the caller read."""
    (transport,) = context.callers.transports
    assert not transport.disconnecting
    read(context, 40, 0.1)
    check_whole(context)
    assert transport.disconnecting


@then('it is reset after the idle time if the caller reads nothing')
def check_idle(context: Any) -> None:
    """Let the idle time pass."""
    callers = context.callers
    (transport,) = callers.transports
    callers.clock.advance(relay.CallerLimits().idle_timeout_s - 1.0)
    assert not transport.is_aborted
    callers.clock.advance(2.0)
    assert transport.is_aborted


@when(
    '{count:d} requests of {size_kb:d} KB are sent to runners that read'
    ' nothing'
)
def send_requests(context: Any, count: int, size_kb: int) -> None:
    """Open calls whose connections take nothing."""
    callers = context.callers
    context.calls = []
    context.most = 0
    request = edge.HttpRequest(
        b'POST', b'/', ((b'host', b'r'),), b'x' * (size_kb * KB)
    )
    for _ in range(count):
        reader = Collector()
        call = callers.client.open('10.0.0.1:80', request, reader)
        protocol = callers.clock.tcpClients[-1][2].buildProtocol(None)
        protocol.makeConnection(slow_transports.SlowTransport(protocol))
        context.calls.append((call, reader))
        context.most = max(context.most, callers.held.total)


@then('{count:d} of the calls end as closed, which counts as may have run')
def check_closed(context: Any, count: int) -> None:
    """Look at the ends."""
    ended = [(c, r.error) for c, r in context.calls if r.error is not None]
    assert len(ended) == count, len(ended)
    for call, error in ended:
        assert error.kind == edge.CallErrorKind.CLOSED
        assert call.was_sent


@when(
    'a runner streams {size_kb:d} KB every {gap_s:g} s for {for_s:g} s to a'
    ' caller that reads nothing for {stuck_s:g} s'
)
def stream(
    context: Any, size_kb: int, gap_s: float, for_s: float, stuck_s: float
) -> None:
    """Pass a stream on, as for a request that another host serves."""
    callers = context.callers
    clock = callers.clock
    exchange = callers.connect()
    caller = callers.transports[-1]
    context.hop = hop = _hand_over.HopCall(clock, exchange)
    exchange.on_disconnect = hop.cancel
    request = edge.HttpRequest(b'GET', b'/', ((b'host', b'r'),))
    hop.open(callers.client, '10.0.0.1:85', request, None, lambda: True)
    protocol = clock.tcpClients[-1][2].buildProtocol(None)
    context.runner = runner = slow_transports.SlowTransport(protocol)
    protocol.makeConnection(runner)
    protocol.dataReceived(HEAD)
    part = b'%x\r\n' % (size_kb * KB) + b'x' * (size_kb * KB) + b'\r\n'
    context.pauses = []
    context.resumed_after_s = None
    unread = bytearray()
    paused_at = None
    begin = clock.seconds()
    context.sent = round(for_s / gap_s)
    sent = 0
    while not (caller.is_aborted or runner.is_aborted):
        now = clock.seconds() - begin
        if sent < context.sent and now >= sent * gap_s:
            unread += part
            sent += 1
            if sent == context.sent:
                unread += b'0\r\n\r\n'
        if now >= stuck_s:
            caller.read(100_000 * KB)
            if context.resumed_after_s is None:
                context.resumed_after_s = 0.0 if not runner.is_paused else 1.0
        if runner.is_paused and paused_at is None:
            paused_at = now
        if not runner.is_paused:
            if paused_at is not None and now < stuck_s:
                context.pauses.append(now - paused_at)
            paused_at = None
            if unread and not runner.disconnecting:
                taken = bytes(unread[: CHUNK_KB * KB])
                del unread[: CHUNK_KB * KB]
                protocol.dataReceived(taken)
        if hop.done.called and not caller.pending and not unread:
            break
        assert now < 2 * (for_s + stuck_s), 'the stream does not end'
        clock.advance(STEP_S)
    context.caller = caller


@then(
    'the host leaves the stream unread for {least:g} s to {most:g} s at a time'
)
def check_pauses(context: Any, least: float, most: float) -> None:
    """Compare the pauses while the caller read nothing."""
    assert len(context.pauses) >= 3, context.pauses
    assert all(least <= p <= most for p in context.pauses), context.pauses


@then('it reads on at once when the caller does, and the answer is whole')
def check_stream(context: Any) -> None:
    """Look at what the caller got."""
    assert context.resumed_after_s == 0.0
    got = bytes(context.caller.received)
    assert got.endswith(b'0\r\n\r\n')
    assert got.count(b'x') == context.sent * 64 * KB, got.count(b'x')
    assert context.callers.held.total == 0


@then("the caller's connection is reset, and the call to the runner ended")
def check_stuck(context: Any) -> None:
    """Look at both connections."""
    context.callers.clock.advance(STEP_S)
    assert context.caller.is_aborted
    assert context.runner.is_aborted
    assert context.callers.held.given_up == 1
    assert context.callers.held.total == 0, context.callers.held.total


@when(
    'a caller falls behind for {seconds:g} s in a stream with an event every'
    ' {gap_s:g} s'
)
def fall_behind(context: Any, seconds: float, gap_s: float) -> None:
    """Let the exchange of a stream say that its caller does not read."""
    world = context.world = relay_hosts.HostWorld(1)
    for runner in world.runners:
        runner.events = 40
        runner.event_gap_s = gap_s
    facts = {'request_id': 's1', 'access_key': 'k1'}
    context.asked = world.ask_stream(0, facts)
    world.run(1.0)
    context.asked.on_pause(True)
    world.run(seconds)
    context.asked.on_pause(False)
    world.run(4.0)


@then('the stream has run once and is whole')
def check_once(context: Any) -> None:
    """Look at the runners and the answer."""
    arrivals = [a for r in context.world.runners for a in r.arrivals]
    assert len(arrivals) == 1, len(arrivals)
    assert context.asked.is_whole
    assert context.asked.body.count(b'id: ') == 40


@then('a host with memory of {memory} holds {limit:d} bytes')
def check_limit(context: Any, memory: str, limit: int) -> None:
    """Compare the limit."""
    memory_mb = None if memory == 'none' else float(memory)
    assert _body.held_limit(memory_mb) == limit


@when('a caller that reads nothing asks host 0, which is told to leave')
def ask_and_leave(context: Any) -> None:
    """Let the host answer and leave while its answer can't go out."""
    world = context.world
    host = world.hosts[0]
    protocol = host.caller_site.buildProtocol(None)
    context.transport = slow_transports.SlowTransport(protocol)
    protocol.makeConnection(context.transport)
    facts = json.dumps({'request_id': 'once', 'access_key': 'k1'}).encode()
    head = b'POST /job/1 HTTP/1.1\r\nhost: one.example\r\n'
    protocol.dataReceived(head + b'facts: ' + facts + b'\r\n\r\n')
    host.leave()


@then('host 0 has not stopped {seconds:g} s later')
def check_waits(context: Any, seconds: float) -> None:
    """Give the host time to see that its requests are answered."""
    context.world.run(seconds)
    host = context.world.hosts[0]
    assert not host.open_requests
    assert not host.is_stopped


@when('the caller reads')
def read_all(context: Any) -> None:
    """Let the answer out; the connection then closes."""
    transport = context.transport
    transport.read(len(transport.pending))
    assert transport.disconnecting
    transport.end.connectionLost()


@then('it has a whole answer, and host 0 has stopped {seconds:g} s later')
def check_read(context: Any, seconds: float) -> None:
    """Look at the answer and the host."""
    assert context.transport.received.endswith(b'whole')
    context.world.run(seconds)
    assert context.world.hosts[0].is_stopped


@then('host 0 has stopped within its time to leave')
def check_gone(context: Any) -> None:
    """Wait for as long as it may take."""
    host = context.world.hosts[0]
    context.world.run(host.options.grace_s)
    assert host.is_stopped
