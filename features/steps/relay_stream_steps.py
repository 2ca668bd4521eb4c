"""Steps of streams while runners of several software versions serve."""

from collections.abc import Callable
import re
from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import relay_hosts
from features.support import stream_callers
import ragwort_edge as edge

WARM_UP = 20
STREAMS = 60
ROUNDS = 4
ROUND_S = 0.4
# Time in which all streams have ended or are given up.
END_S = 6.0
# Time after a crash until its entry lapses.
LAPSE_S = 3.6
RESTART_S = 1.5

What = Callable[[Any, relay_hosts.HostWorld], None]
FAULTS: dict[str, What] = {}


def fault(name: str) -> Callable[[What], What]:
    """Register what happens in each round under a name."""

    def register(what: What) -> What:
        FAULTS[name] = what
        return what

    return register


@given('{count:d} relay hosts with runners {versions}')
def start(context: Any, count: int, versions: str) -> None:
    """Start hosts and runners of the versions."""
    context.world = relay_hosts.HostWorld(count)
    found = re.findall(r'(\d+) of (\S+?)(?:,|$)', versions)
    stream_callers.set_versions(
        context.world, {version: int(number) for number, version in found}
    )
    context.callers = stream_callers.StreamCallers(context.world)
    # The runners before these are forgotten by then.
    context.world.run(40.0)


@when('streams run while {what}')
def run_streams(context: Any, what: str) -> None:
    """Start streams, and let something happen while they run."""
    callers = context.callers
    callers.start(WARM_UP)
    for _ in range(ROUNDS):
        callers.start(STREAMS // ROUNDS)
        callers.run(ROUND_S / 2)
        FAULTS[what](callers, context.world)
        callers.run(ROUND_S / 2)
    callers.run(END_S)


@fault('connections break')
def break_connections(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Break those of all callers."""
    callers.cut()


def crash(world: relay_hosts.HostWorld, runner: Any) -> None:
    """End a runner; its entry lapses later."""
    world.network.runners.pop(runner.address, None)
    world.runners.remove(runner)
    runner.crash()
    world.clock.callLater(LAPSE_S, world.remove_runner, runner.name)


@fault('runners crash')
def crash_runner(callers: Any, world: relay_hosts.HostWorld) -> None:
    """End the first runner of v1; another one of it starts."""
    runner = next(r for r in world.runners if r.version == 'v1')
    crash(world, runner)
    stream_callers.add_runner(world, 'v1')
    callers.run(0.1)
    callers.cut()


@fault('all runners of v1 crash')
def crash_version(callers: Any, world: relay_hosts.HostWorld) -> None:
    """End all runners of a version."""
    for runner in list(world.runners):
        if runner.version == 'v1':
            crash(world, runner)


@fault('each is replaced by one of v2')
def replace_runner(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Start a runner of v2, let one of v1 leave, break connections."""
    stream_callers.add_runner(world, 'v2')
    callers.start(5)
    old = next((r for r in world.runners if r.version == 'v1'), None)
    if old is not None:
        world.set_runner(old, 'leaving')
        callers.run(0.2)
        crash(world, old)
    callers.run(0.1)
    callers.cut()


@fault('hosts lose power one after another')
def lose_host(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Stop a host; its callers go to others."""
    index = len(world.stopped)
    world.stop_for_good(index)
    callers.cut(index)


@fault('hosts restart one after another')
def restart_host(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Start a host anew; all callers lose their connections soon after."""
    index = next(callers.restarts)
    world.restart(index)
    callers.cut(index)
    callers.run(RESTART_S)
    callers.cut()


@fault('all hosts restart at once')
def restart_all(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Start all hosts anew; callers come back once those are ready."""
    for index in range(len(world.hosts)):
        world.restart(index)
    callers.cut(wait_s=RESTART_S)
    callers.run(RESTART_S)


@fault('a third of the hosts hear no peers')
def silence_peers(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Cut the links of some hosts, then the callers' connections."""
    for host in world.hosts[: len(world.hosts) // 3]:
        links: Any = host.peers
        links.send = lambda effect, now: 0
    callers.cut()


@fault('runners of v2 start and hosts lose power')
def start_second(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Let a second version begin to serve while streams of v1 run."""
    stream_callers.add_runner(world, 'v2')
    callers.run(0.05)
    lose_host(callers, world)
    callers.cut()


@then('at most {most:d} streams hold events of two versions')
def check_mixed(context: Any, most: int) -> None:
    """Look at what callers received."""
    mixed = context.callers.mixed
    assert len(mixed) <= most, f'{len(mixed)}: {mixed[:3]}'


@then('of the streams taken up at least half the share that begins goes on')
def check_gone_on(context: Any) -> None:
    """Compare the shares."""
    gone_on = context.callers.share_gone_on()
    begun = context.callers.share_begun()
    assert gone_on >= begun / 2, (gone_on, begun)


@then('the streams that v1 began are refused with a time to come back')
def check_refused(context: Any) -> None:
    """Look at the streams that no runner can go on with."""
    ended = [
        s
        for s in context.callers.streams
        if s.versions == {'1'} and not s.is_whole
    ]
    assert ended
    for stream in ended:
        exchange = stream.last
        assert exchange.status == 503, (exchange.status, exchange.body)
        assert edge.find_header(exchange.headers, b'retry-after')
