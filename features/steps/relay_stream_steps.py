"""Steps of streams while runners of several software versions serve."""

from collections.abc import Callable
import re
from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import relay_decision_steps
from features.support import relay_hosts
from features.support import stream_callers
import ragwort_edge as edge
import ragwort_lab as lab
from ragwort_lab import _relay_fakes as fakes
import ragwort_model as model
import ragwort_relay as relay

WARM_UP = 20
STREAMS = 240
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


def ask_stream(
    context: Any, index: int, facts: dict[str, Any]
) -> fakes.LabExchange:
    """Send a stream request to a host and let its answer come."""
    exchange = context.world.ask_stream(index, facts)
    context.world.run(2.0)
    return exchange


@when('a caller takes up a stream that began at v1 and names {what}')
def take_up(context: Any, what: str) -> None:
    """Begin a stream at one host, and go on with it at another."""
    world = context.world
    began = {'request_id': 'began', 'access_key': 'k1', 'deadline_s': 8.0}
    ask_stream(context, 0, began)
    named = {
        'no first attempt': None,
        'an attempt that never was': 'never',
        'it from another workspace': 'began',
    }
    facts = began | {
        'request_id': 'again',
        'last_event': 3,
        'first_attempt': named[what],
    }
    if what == 'it from another workspace':
        facts['access_key'] = 'k2'
    context.arrived = sum(len(r.arrivals) for r in world.runners)
    context.exchange = ask_stream(context, 1, facts)


@then('it is refused with a time to come back and reaches no runner')
def check_not_taken_up(context: Any) -> None:
    """Look at the answer and the runners."""
    exchange = context.exchange
    assert exchange.status == 503, (exchange.status, exchange.body)
    assert edge.find_header(exchange.headers, b'retry-after')
    arrived = sum(len(r.arrivals) for r in context.world.runners)
    assert arrived == context.arrived


def origin(version: str) -> relay.StreamOrigin:
    """Return the origin of a stream of the main service."""
    return relay.StreamOrigin('main', version)


def key(number: int) -> relay.StreamKey:
    """Return a stream's name."""
    return relay.StreamKey('school', f'attempt-{number}')


@when('{count:d} streams begin that callers may take up for {ttl_s:d} s')
def begin_many(context: Any, count: int, ttl_s: int) -> None:
    """Record them."""
    context.origins = relay.StreamOrigins()
    context.count = count
    for number in range(count):
        context.origins.record(
            key(number), origin('v1'), ttl_s, 0.0, is_own=True
        )


@then('the host knows {count:d} of them')
def check_count(context: Any, count: int) -> None:
    """Look each up; the latest are known."""
    known = [
        number
        for number in range(context.count)
        if context.origins.find(key(number), 0.0)
    ]
    assert len(known) == count, len(known)
    assert known[-1] == context.count - 1


@then('none of them {seconds:d} s later')
def check_expired(context: Any, seconds: int) -> None:
    """Look at what is kept."""
    assert context.origins.find(key(context.count - 1), seconds) is None
    context.origins.remove_expired(seconds)
    assert not context.origins.records


@when('two hosts tell different versions of one stream')
def tell_two(context: Any) -> None:
    """Record both."""
    context.origins = relay.StreamOrigins()
    for version in ('v1', 'v2'):
        context.origins.record(
            key(1), origin(version), 10.0, 0.0, is_own=False
        )


@then("the stream's version is the first one")
def check_first(context: Any) -> None:
    """Look it up."""
    assert context.origins.find(key(1), 1.0) == origin('v1')


def apply_entry(context: Any, era: int, version: str, born: int) -> None:
    """Put a runner's entry into the catalog."""
    text = relay_decision_steps.entry_text(version=version, born=born)
    context.revision += 1
    item = model.StoredObject(
        'runner/a', model.make_version(era, context.revision), text
    )
    context.catalog.apply(item)


@given('a runner that started again with another software version')
def start_again(context: Any) -> None:
    """Read two incarnations."""
    context.catalog = lab.RelayWorld(hosts=1).hosts[0].catalog
    context.revision = 0
    apply_entry(context, 1, 'v1', 1000)
    apply_entry(context, 1, 'v2', 2000)


@when('an older copy of the store shows its earlier incarnation')
def show_earlier(context: Any) -> None:
    """Read the first entry again, in a new era."""
    apply_entry(context, 2, 'v1', 1000)


@then('streams from it are of the later version')
def check_later(context: Any) -> None:
    """Look at the runner."""
    runner = context.catalog.fleet.runners['runner/a'].entry.runner
    assert runner.software_version == 'v2', runner
