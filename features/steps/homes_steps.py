"""Steps of requests that are bound to home regions."""

import itertools
import json
from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import relay_hosts
import ragwort_edge as edge
import ragwort_lab as lab
import ragwort_model as model
from ragwort_platform import _directory
import ragwort_wire as wire

REGION_OF = {'north': 'inland', 'east': 'inland', 'south': 'coast'}
ROUTE_HOST = 'one.example'
HOSTS = 6
GAP_S = 0.05
ANSWER_S = 9.0
AT_ONCE_S = 0.05
# Every so many requests each main runner fails once in each of these ways.
FAIL_EVERY = 15
FAILURES = ('full', 'reset')


def _start(context: Any, **homes: list[str]) -> None:
    world = relay_hosts.HostWorld(HOSTS, region_of=REGION_OF)
    context.world = world
    context.sent = []
    for name in ('a', 'b'):
        world.remove_runner(name)
    world.runners.clear()
    numbers = itertools.count(1)
    for domain in REGION_OF:
        for _ in range(2):
            number = next(numbers)
            main = lab.ScriptedRunner(
                world.clock, f'm{number}', f'10.0.8.{number}:80', domain
            )
            prep = lab.LabStageRunner(
                world.clock,
                f'p{number}',
                f'10.0.7.{number}:80',
                domain,
                relay_hosts.PREP_LIMITS,
            )
            for runner, service in ((main, 'main'), (prep, 'prep')):
                world.network.runners[runner.address] = runner
                world.set_runner(runner, 'live', service=service)
            world.runners.append(main)
    world.keep_keys(['k1'], **homes)
    world.run(4.0)


@given('hosts and runners in two regions')
def start_unbound(context: Any) -> None:
    """Start hosts without homes."""
    _start(context)


@given('hosts and runners in two regions, and routes at home in "{region}"')
def start_bound(context: Any, region: str) -> None:
    """Start hosts whose routes have a home."""
    _start(context, homes=[region])


@given(
    'hosts and runners in two regions, and workspaces at home in "{region}"'
)
def start_workspace(context: Any, region: str) -> None:
    """Start hosts whose first workspace has a home."""
    _start(context, workspace_homes=[region])


@given(
    'hosts and runners in two regions, and homes "{region}" of routes and'
    ' "{other}" of workspaces'
)
def start_both(context: Any, region: str, other: str) -> None:
    """Start hosts whose routes and workspace have different homes."""
    _start(context, homes=[region], workspace_homes=[other])


def _send(context: Any, index: int, number: int, route: str) -> None:
    facts: dict[str, Any] = {'request_id': f'q{number}', 'access_key': 'k1'}
    if route == 'staged':
        facts |= {'pieces': [4], 'piece_key': 'x'}
    for runner in context.world.runners:
        runner.events = 3 if route in ('stream', 'staged') else 0
    path = f'/{route}/{number}'
    exchange = context.world.submit(index, path, facts)
    context.sent.append((index, exchange))


@when(
    'callers send {count:d} "{route}" requests to all hosts while runners fail'
)
def send(context: Any, count: int, route: str) -> None:
    """Send requests to the hosts in turn."""
    world = context.world
    for number in range(count):
        if number % FAIL_EVERY == FAIL_EVERY - 1:
            for runner in world.runners:
                runner.script = list(FAILURES)
        _send(context, number % HOSTS, number, route)
        world.run(GAP_S)
    world.run(ANSWER_S)


def _reached(context: Any) -> set[str]:
    """Return the regions whose runners got requests or pieces."""
    return {
        REGION_OF[runner.domain]
        for runner in context.world.network.runners.values()
        for arrival in runner.arrivals
        if arrival.request.target not in (b'/room', b'/free')
    }


@then('they reached runners in "{region}" alone')
def check_alone(context: Any, region: str) -> None:
    """Look at the runners that got anything."""
    assert _reached(context) == {region}, _reached(context)


@then('they reached runners of both regions')
def check_both(context: Any) -> None:
    """Look at the runners that got anything."""
    assert _reached(context) == set(REGION_OF.values()), _reached(context)


@then('at least {count:d} of them are answered 200')
def check_answered(context: Any, count: int) -> None:
    """Count the answers."""
    answered = [e for _, e in context.sent if e.status == 200 and e.is_whole]
    assert len(answered) >= count, len(answered)


@when('all "{service}" runners in "{region}" leave')
def leave(context: Any, service: str, region: str) -> None:
    """Let the runners of a service in one region leave."""
    world = context.world
    for runner in world.network.runners.values():
        is_main = isinstance(runner, lab.ScriptedRunner)
        if REGION_OF.get(runner.domain) == region and (
            is_main == (service == 'main')
        ):
            world.set_runner(runner, 'leaving', service=service)
    world.run(3.0)


@then('all are refused at once with a time to come back and reached no runner')
def check_refused(context: Any) -> None:
    """Look at the answers and the runners."""
    for _, exchange in context.sent:
        assert exchange.status == 503, exchange.status
        assert exchange.ended_at - exchange.started_at <= AT_ONCE_S
        value = edge.find_header(exchange.headers, b'retry-after')
        assert value is not None
        assert float(value) > 0
    assert _reached(context) == set()


@when('the hosts lose the regions of all domains but their own')
def lose_regions(context: Any) -> None:
    """Let the settings name no region but each host's own."""
    for host in context.world.hosts:
        own = host.options.host
        host.catalog.region_of = {own.failure_domain: own.region}


@when(
    'the store returns from an older copy and only other runners register'
    ' again'
)
def restore(context: Any) -> None:
    """Lose the runners at home, and write the others anew."""
    world = context.world
    copy = world.objects.copy()
    homes = [
        runner
        for runner in world.network.runners.values()
        if REGION_OF[runner.domain] == 'coast'
    ]
    for runner in homes:
        copy[1].pop(f'runner/{runner.name}')
    world.objects.restore(copy)
    world.run(0.5)
    for runner in world.runners:
        if runner not in homes:
            world.set_runner(runner, 'live')
    world.run(0.3)


@then(
    'a request for pieces that may go to "{domains}" is read as it was written'
)
def check_message(context: Any, domains: str) -> None:
    """Encode and decode a message."""
    allowed = None if domains == 'any' else domains.split(',')
    if domains == 'none':
        allowed = []
    ask = model.StageAsk('g', 's', [], 1.0, 2.0, 0, 1.0, '', [], allowed)
    frame = wire.decode_peer(wire.encode_peer('10.0.0.1:84', ask))
    assert frame.message == ask, frame.message


@then('requests at hosts outside "{region}" are refused')
def check_outside(context: Any, region: str) -> None:
    """Look at the answers by the region of their hosts."""
    hosts = context.world.hosts
    for index, exchange in context.sent:
        is_home = hosts[index].options.host.region == region
        assert is_home or exchange.status == 503, exchange.status


@when(
    'host {index:d} loses all runners and callers send it {count:d} "{route}"'
    ' requests'
)
def cut(context: Any, index: int, count: int, route: str) -> None:
    """Cut a host off and send requests there alone."""
    context.world.ways[index].cut_off(lab.CutManner.REFUSE)
    for number in range(count):
        _send(context, index, number, route)
        context.world.run(GAP_S * 4)
    context.world.run(ANSWER_S)


@then('it handed at least {count:d} requests over, all to hosts in "{region}"')
def check_handed(context: Any, count: int, region: str) -> None:
    """Look at the hosts that got requests from others."""
    world = context.world
    assert len(world.hops) >= count, len(world.hops)
    got = {
        host.options.host.region
        for host in world.hosts
        for port in [world.network.hosts[host.options.host.hand_over_address]]
        if port.exchanges
    }
    assert got == {region}, got
    taken = [
        json.loads(hop.request.header(b'facts'))['request_id']
        for hop in world.hops
        if hop.status == 200
    ]
    assert len(taken) >= count, taken


@when('the hosts in "{region}" leave')
def leave_hosts(context: Any, region: str) -> None:
    """Let the hosts of a region leave, if there is such a region."""
    for host in context.world.hosts:
        if host.options.host.region == region:
            host.leave()
    context.world.run(2.0)


@then('the directory gives callers in "{caller}" the hosts in "{region}"')
def check_directory(context: Any, caller: str, region: str) -> None:
    """Ask all hosts that still run, by region and by failure domain."""
    hosts = context.world.hosts
    wanted = {
        host.options.host.caller_address
        for host in hosts
        if region in ('all', host.options.host.region)
    }
    zones = [zone for zone, home in REGION_OF.items() if home == caller]
    for host in hosts:
        if host.leaving_at is not None:
            continue
        for query in (
            f'name={ROUTE_HOST}&region={caller}&zone=',
            *(f'name={ROUTE_HOST}&zone={zone}' for zone in zones),
        ):
            target = f'/api/resolution?{query}'.encode()
            request = edge.HttpRequest(b'GET', target, ())
            answer = _directory.answer(host, request)
            found = json.loads(answer.body)['addresses']
            assert set(found) == wanted, (query, found)
