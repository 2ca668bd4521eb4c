"""Steps of what answers promise."""

from typing import Any

from behave import given
from behave import then
from behave import when
from twisted.internet.testing import MemoryReactorClock

from features.support import relay_hosts
import ragwort_edge as edge
import ragwort_lab as lab

ROUTE_S = 4.0
# Long enough for anything that would still run.
AFTER_S = 12.0
NOT_RUN_STATUSES = (429, 503, 408, 421)
EVENTS = 3
SCRIPTS = {
    'runners fail': 'error',
    'runners reset the connection': 'reset',
    'runners answer for another': 'foreign',
    'runners are silent': 'silent',
    'runners turn it away': 'full',
    'runners are others': 'refused',
    'runners repeat a refusal': 'stale:503',
    'runners repeat a 421': 'stale:421',
    'runners break off': f'cut:{EVENTS}',
}
CUT_OFF = 'host is cut off'
DECLINED = ((b'ragwort-declined', b'no'),)


@given('two hosts, two runners and a caller')
def start(context: Any) -> None:
    """Start the hosts."""
    context.world = relay_hosts.HostWorld(2)
    context.world.run(1.0)


def _send(context: Any, route: str, key: str = 'k1') -> None:
    world = context.world
    for runner in world.runners:
        runner.events = EVENTS if route == 'stream' else 0
    context.asked = world.submit(
        0, f'/{route}/1', {'request_id': 'once', 'access_key': key}
    )


def _script(context: Any, what: str) -> None:
    """Let all runners answer in one way."""
    step = SCRIPTS.get(what, '')
    if what.startswith('runners answer 4') or what.startswith(
        'runners answer 5'
    ):
        step = f'status:{what.split()[-1]}'
    for runner in context.world.runners:
        runner.script = [step] * 9
        if what == 'runners say declined':
            runner.script = ['status:200']
            runner.extra_headers = DECLINED


def _lose_runners(context: Any) -> None:
    """Let host 0 reach no runner, and know it."""
    world = context.world
    world.ways[0].cut_off(lab.CutManner.REFUSE)
    for number in range(4):
        facts = {'request_id': f'before-{number}', 'access_key': 'k1'}
        world.submit(0, f'/safe/{number}', facts)
        world.run(0.2)
    world.run(1.0)
    for runner in world.runners:
        runner.arrivals.clear()
    world.hops.clear()


@when('it sends a "{route}" request whose {cause}')
def send(context: Any, route: str, cause: str) -> None:
    """Send a request and wait until nothing can run any more."""
    world = context.world
    key, path = 'k1', route
    cut, _, rest = cause.partition(' and ')
    if cut == CUT_OFF:
        _lose_runners(context)
        cause = rest or 'runner answers'
    if cause.startswith('the other'):
        for runner in world.runners:
            runner.work_s = 1.0
    elif cause == 'runners take no connection':
        world.network.runners.clear()
    elif cause == 'runners are gone':
        for name in 'ab':
            world.remove_runner(name)
    elif cause == 'host has just started':
        world.restart(0)
    elif cause == 'key is unknown':
        key = 'nobody'
    elif cause == 'path has no route':
        path = 'nowhere'
    elif cause != 'runner answers':
        _script(context, cause)
    _send(context, path, key)
    if route == 'stream':
        for runner in world.runners:
            runner.events = EVENTS
    if cause.startswith('the other'):
        world.run(0.3)
        if cause.endswith('killed'):
            world.kill(1)
            # The process has ended: nothing of it sends any more.
            world.ways[1].cut_off(lab.CutManner.REFUSE)
        else:
            world.freeze(1)
    world.run(ROUTE_S + AFTER_S)


def _ran(context: Any) -> int:
    return sum(a.ran for r in context.world.runners for a in r.arrivals)


@then('it is answered {status:d}, and the request has run {ran:d} times')
def check_answer(context: Any, status: int, ran: int) -> None:
    """Compare what the caller got with what runners did."""
    asked = context.asked
    assert asked.status == status, (asked.status, _ran(context))
    assert asked.is_whole
    assert _ran(context) == ran, _ran(context)
    retry_after = edge.find_header(asked.headers, b'retry-after')
    if status in NOT_RUN_STATUSES:
        assert ran == 0
        assert retry_after is not None
        assert float(retry_after) > 0
    else:
        assert retry_after is None
    names = [name for name, _ in asked.headers]
    assert not any(name.startswith(b'ragwort-') for name in names), names


@then('its answer is broken off, and the request has run {ran:d} times')
def check_broken(context: Any, ran: int) -> None:
    """Look at the end of the stream."""
    assert context.asked.status == 200, context.asked.status
    assert context.asked.is_over
    assert not context.asked.is_whole
    assert _ran(context) == ran, _ran(context)


@when('its caller leaves while a "{route}" request waits for a connection')
def leave_early(context: Any, route: str) -> None:
    """Let one runner be silent, so that the request waits; then leave."""
    world = context.world
    addresses = {runner.address for runner in world.runners}
    world.network.silent |= addresses
    for way in world.ways:
        way.silent |= addresses
    _send(context, route)
    world.run(0.1)
    context.asked.leave()
    for way in (world.network, *world.ways):
        way.silent.clear()
    world.run(AFTER_S)


@then('no runner gets it')
def check_nothing(context: Any) -> None:
    """Look at the runners."""
    for runner in context.world.runners:
        assert not runner.arrivals, runner.arrivals


@when('a call is given up while its connection opens, which then opens')
def open_late(context: Any) -> None:
    """Give a call up before its connection is there."""
    reactor = MemoryReactorClock()
    client = edge.HttpClient(reactor)
    request = edge.HttpRequest(b'POST', b'/job/1', (), b'body')
    context.call = client.open('10.0.0.1:80', request, edge.ResponseReader())
    context.call.cancel()
    factory = reactor.tcpClients[0][2]
    context.late = factory.buildProtocol(None)


@then('nothing is sent on it, and the call counts as not sent')
def check_late(context: Any) -> None:
    """Look at the connection: None makes the reactor close it."""
    assert context.late is None
    assert not context.call.was_sent
