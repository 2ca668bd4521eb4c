"""Steps of streams that callers take up after all hosts lost power."""

from collections.abc import Callable
import json
import math
from typing import Any

from behave import given
from behave import then
from behave import when

import msgspec

from features.support import relay_hosts
from features.support import stream_callers
import ragwort_membership as membership
import ragwort_model as model

STREAMS = 60
START_GAP_S = 0.005
RESTART_S = 1.5
# Time in which all streams have ended or are given up.
END_S = 3.0
KIND = 'stream-versions'
# Long streams outlast the time between two writes of their origins.
LONG_EVENTS = 30
LONG_GAP_S = 0.05
LONG_END_S = 3.0
ENTRY = f'{KIND}/main'
WRITER_ROLE = 'stream-version-writer'

Happening = Callable[[Any, relay_hosts.HostWorld], None]
RELEASES: dict[str, Happening] = {}
OUTAGES: dict[str, Happening] = {}


def named(
    registry: dict[str, Happening], name: str
) -> Callable[[Happening], Happening]:
    """Register what happens under a name."""

    def register(happening: Happening) -> Happening:
        registry[name] = happening
        return happening

    return register


def add_second(world: relay_hosts.HostWorld) -> None:
    """Start as many runners of v2 as there are of v1."""
    for _ in range(len(world.runners)):
        stream_callers.add_runner(world, 'v2')


def remove_first(world: relay_hosts.HostWorld) -> None:
    """Let all runners of v1 leave; they remove their entries."""
    for runner in [r for r in world.runners if r.version == 'v1']:
        world.network.runners.pop(runner.address)
        world.runners.remove(runner)
        runner.crash()
        world.remove_runner(runner.name)


@named(RELEASES, 'the runners of v1 have just left')
def replace_all(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Let v2 take over while streams of both run."""
    add_second(world)
    callers.start(STREAMS, START_GAP_S)
    remove_first(world)
    world.run(0.1)


@named(RELEASES, 'both versions serve')
def add_version(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Start streams at both versions."""
    add_second(world)
    callers.start(STREAMS, START_GAP_S)


@named(RELEASES, 'the runners started again as v2 under their names')
def start_again(callers: Any, world: relay_hosts.HostWorld) -> None:
    """End each runner, and let one of v2 register under its name."""
    callers.start(STREAMS, START_GAP_S)
    for number, runner in enumerate(list(world.runners)):
        runner.crash()
        again = stream_callers.add_runner(world, 'v2')
        world.objects.items.pop(f'runner/{again.name}')
        again.name = runner.name
        world.runners.remove(runner)
        world.set_runner(again, 'live', born=1000 + number)
    world.run(0.1)


def writer_of(world: relay_hosts.HostWorld) -> int:
    """Return the index of the host that writes."""
    members = world.hosts[0].members
    (name,) = membership.role_holders(members, WRITER_ROLE, 1, None)
    return int(name.removeprefix('host-'))


@named(RELEASES, 'the writer was killed as v1 ended')
def kill_writer(callers: Any, world: relay_hosts.HostWorld) -> None:
    """End the host that writes the versions together with v1."""
    add_second(world)
    callers.start(STREAMS, START_GAP_S)
    world.kill(writer_of(world))
    remove_first(world)
    world.run(0.1)


@named(RELEASES, 'v1 left 12 s before')
def replace_before(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Let v1 leave, so that its end is written; its callers come later."""
    replace_all(callers, world)
    streams = list(callers.open)
    callers.open.clear()
    world.run(12.0)
    callers.open += streams


@named(RELEASES, 'v1 is back after v2 served')
def roll_back(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Replace v1 by v2, start streams of that, and replace it by v1."""
    add_second(world)
    remove_first(world)
    world.run(1.0)
    callers.start(STREAMS, START_GAP_S)
    for runner in list(world.runners):
        stream_callers.add_runner(world, 'v1')
        world.network.runners.pop(runner.address)
        world.runners.remove(runner)
        runner.crash()
        world.remove_runner(runner.name)
    world.run(0.1)


@named(OUTAGES, 'the store works')
def keep_store(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Change nothing."""


@named(OUTAGES, 'the store answers one host alone')
def turn_away(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Let the other hosts learn the runners from peers."""
    for index in range(1, len(world.hosts)):
        way: Any = world.hosts[index].store
        way.is_away = True


@named(OUTAGES, 'the entry is damaged')
def damage(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Cut the entry short."""
    value = world.objects.items[ENTRY].value or ''
    world.objects.put(ENTRY, value[: len(value) // 2])


@named(OUTAGES, 'another writer replaced the entry')
def replace_entry(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Write fields of other types."""
    world.objects.put(ENTRY, json.dumps({'era': 0, 'versions': ['v2']}))


@named(OUTAGES, 'the entry is gone')
def remove_entry(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Remove the entry from the store."""
    world.objects.items.pop(ENTRY, None)


@named(OUTAGES, 'the store returns from a copy taken before v2')
def restore(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Lose what was written of v2; its runners write their entries again."""
    world.objects.restore(world.copies[-1])
    for name in [n for n in world.objects.items if n.startswith('runner/')]:
        world.objects.items.pop(name)
    for runner in world.runners:
        world.set_runner(runner, 'live')


@named(OUTAGES, 'the hosts\' clocks differ by 4 s')
def differ(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Let the clocks of the hosts that start now go ahead or behind."""
    for index in range(len(world.hosts)):
        world.clock_offsets_s[index] = -2.0 if index % 2 else 2.0


@when('all hosts lose power while {release} and {outage}')
def lose_power(context: Any, release: str, outage: str) -> None:
    """Run streams, end all hosts at once, let callers come back."""
    callers, world = context.callers, context.world
    world.copies.append(world.objects.copy())
    RELEASES[release](callers, world)
    restart(callers, world, outage)


def restart(callers: Any, world: relay_hosts.HostWorld, outage: str) -> None:
    """Start all hosts anew beside an outage; callers return once ready."""
    for host in world.hosts:
        world.cut_power(host)
    if outage != 'the store answers one host alone':
        OUTAGES[outage](callers, world)
    world.stopped.clear()
    for index in range(len(world.hosts)):
        world.restart(index)
    if outage == 'the store answers one host alone':
        OUTAGES[outage](callers, world)
    callers.cut(wait_s=RESTART_S)
    callers.run(RESTART_S + END_S)
    callers.start(STREAMS, START_GAP_S)
    callers.run(END_S)


@then('of the {count:d} streams that begin afterwards all end whole')
def check_new(context: Any, count: int) -> None:
    """Look at the streams that started after the restart."""
    whole = [s for s in context.callers.streams[-count:] if s.is_whole]
    assert len(whole) == count, len(whole)


@then('some streams were taken up')
def check_taken_up(context: Any) -> None:
    """Look at whether the scenario tested anything."""
    taken_up = [s for s in context.callers.streams if s.has_asked_to_go_on]
    assert len(taken_up) >= STREAMS // 4, len(taken_up)


def count_calls(world: relay_hosts.HostWorld) -> dict[str, int]:
    """Return the calls for versions by verb."""
    calls = world.objects.calls_of
    return {verb: calls[verb, KIND] for verb in model.StoreVerb}


@when('v2 replaces v1 and {seconds:g} s pass')
def release(context: Any, seconds: float) -> None:
    """Count the calls of a release."""
    world = context.world
    context.calls = count_calls(world)
    add_second(world)
    world.run(seconds / 2)
    remove_first(world)
    world.run(seconds / 2)


@when('all hosts restart while nobody takes streams up')
def restart_idle(context: Any) -> None:
    """Count the calls of a restart."""
    world = context.world
    context.calls = count_calls(world)
    for index in range(len(world.hosts)):
        world.restart(index)
    world.run(10.0)


@when('all hosts restart while callers take streams up')
def restart_busy(context: Any) -> None:
    """Count the calls of a restart with take-ups at all hosts."""
    world, callers = context.world, context.callers
    callers.start(STREAMS, START_GAP_S)
    context.calls = count_calls(world)
    restart(callers, world, 'the store works')


@then(
    'the store got at most {lists:d} lists and {writes:d} writes of versions'
)
def check_count_of_calls(context: Any, lists: int, writes: int) -> None:
    """Look at the calls since the last count."""
    now = count_calls(context.world)
    made = {verb: now[verb] - context.calls[verb] for verb in now}
    assert made[model.StoreVerb.LIST] <= lists, made
    assert made[model.StoreVerb.PUT] <= writes, made


@when(
    'streams of both versions run for {seconds:g} s and all hosts lose power'
)
def lose_mixed(context: Any, seconds: float) -> None:
    """Begin long streams all the time, then end all hosts at once."""
    callers, world = context.callers, context.world
    add_second(world)
    for runner in world.runners:
        runner.events = LONG_EVENTS
    callers.start(int(seconds / LONG_GAP_S), LONG_GAP_S)
    restart(callers, world, 'the store works')
    callers.run(LONG_END_S)


@when('streams run for {seconds:g} s')
def run_one_version(context: Any, seconds: float) -> None:
    """Begin streams while one version serves."""
    context.callers.start(int(seconds / LONG_GAP_S), LONG_GAP_S)


@then('the store got no call for streams')
def check_no_stream_call(context: Any) -> None:
    """Count the calls for streams."""
    calls = context.world.objects.calls_of
    made = {verb: calls[verb, 'stream-origins'] for verb in model.StoreVerb}
    assert not any(made.values()), made


@given(
    '{count:d} relay hosts that have just started first, with runners 4 of v1'
)
def start_first(context: Any, count: int) -> None:
    """Start hosts that see runners of one version from the start."""
    context.world = relay_hosts.HostWorld(0, run_s=0.0)
    stream_callers.set_versions(context.world, {'v1': 4})
    world = context.world
    world.hosts = []
    for index in range(count):
        world.hosts.append(world._host(index))
    for host in world.hosts:
        host.start()
    world.run(6.0)
    context.callers = stream_callers.StreamCallers(world)


@when('the entries of versions are lost and a new host is the writer')
def elect_new(context: Any) -> None:
    """Add hosts, as names not seen before, until one of them is elected."""
    world = context.world
    world.objects.items.pop(ENTRY)
    members = world.hosts[0].members
    for host in world.hosts:
        host.version_store.elected_at = math.inf
        shift_incarnation(host.members, -60)
    world.run(0.2)
    while True:
        (name,) = membership.role_holders(members, WRITER_ROLE, 1, None)
        context.writer = int(name.removeprefix('host-'))
        if context.writer >= 8:
            break
        world.hosts.append(world._host(len(world.hosts)))
        world.hosts[-1].start()
        world.run(1.0)
    world.run(5.0)


def shift_incarnation(members: membership.Membership, by_s: int) -> None:
    """Let all hosts that a host knows have started earlier."""
    for member in members.members.values():
        member.update = msgspec.structs.replace(
            member.update, incarnation=member.update.incarnation + by_s
        )


@then('the entry written next covers only its own time')
def check_covered(context: Any) -> None:
    """Compare the entry with the start of the host that wrote it."""
    world = context.world
    host = world.hosts[context.writer]
    assert host.version_store.is_new_host
    value = json.loads(world.objects.items[ENTRY].value or '')
    started = relay_hosts.START_WALL_S + host.started_at
    assert value['sinceMs'] >= 1000 * started, (value, started)


@when('hosts restart one after another, {seconds:g} s apart')
def restart_in_turn(context: Any, seconds: float) -> None:
    """Count the calls of a rolling restart."""
    world = context.world
    context.calls = count_calls(world)
    for index in range(len(world.hosts)):
        world.restart(index)
        world.run(seconds)
