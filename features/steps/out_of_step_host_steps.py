"""Steps of hosts that were out of step while a software version joined."""

from typing import Any

from behave import then
from behave import when

from features.steps import stream_version_steps
from features.support import relay_hosts
from features.support import stream_callers

STREAMS = 40
START_GAP_S = 0.01
# Time for the others to hear of the runners that join, and for events to come.
JOIN_S = 0.5
EVENTS_S = 0.15
END_S = 6.0
STILL = 'stand still'


def cut_off(world: relay_hosts.HostWorld, hosts: set[int], state: str) -> None:
    """Let hosts hear nothing of the others, or of the store, for now."""
    addresses = {
        host.options.host.peer_address: index
        for index, host in enumerate(world.hosts)
    }
    if 'no other host' in state or state == STILL:
        bound: Any = world
        bound.is_cut = lambda sender, index: (
            (addresses[sender] in hosts) != (index in hosts)
            or (state == STILL and index in hosts)
        )
    if 'no store' in state or state == STILL:
        for index in hosts:
            world.objects.ways[index].is_silent = True


def heal(world: relay_hosts.HostWorld) -> None:
    """Let all hosts hear everything from now on."""
    bound: Any = world
    bound.is_cut = lambda sender, index: False
    for way in world.objects.ways:
        way.is_silent = False


def start_at(callers: Any, hosts: list[int]) -> None:
    """Begin streams at some hosts in turn."""
    for number in range(STREAMS):
        stream = stream_callers.Stream()
        callers.streams.append(stream)
        callers._attempt(stream, hosts[number % len(hosts)])
        callers.world.run(START_GAP_S)
    callers.world.run(EVENTS_S)


def take_up_at(callers: Any, hosts: list[int]) -> None:
    """Break all connections and go on at some hosts in turn."""
    for number, item in enumerate(list(callers.open)):
        stream, _, exchange = item
        callers.open.remove(item)
        callers._take(stream, exchange)
        exchange.leave()
        if not stream.is_whole:
            callers._attempt(stream, hosts[number % len(hosts)])


@when(
    'the first {count:d} hosts {state} while v2 joins and streams of the'
    ' others are taken up there {moment}'
)
def join(context: Any, count: int, state: str, moment: str) -> None:
    """Begin streams at hosts that know v2; go on at those that don't."""
    callers, world = context.callers, context.world
    behind = list(range(count))
    others = [n for n in range(len(world.hosts)) if n >= count]
    for runner in world.runners:
        runner.events = 10
    cut_off(world, set(behind), state)
    stream_version_steps.add_second(world)
    for runner in world.runners:
        runner.events = 10
    world.run(JOIN_S)
    start_at(callers, others)
    if moment == 'at once':
        heal(world)
    take_up_at(callers, behind)
    world.run(1.0)
    heal(world)
    callers.run(END_S)


@then('some streams of v2 were taken up')
def check_taken_up(context: Any) -> None:
    """Look at whether the scenario tested anything."""
    found = [
        stream
        for stream in context.callers.streams
        if stream.has_asked_to_go_on and stream.versions & {'2'}
    ]
    assert len(found) >= STREAMS // 5, len(found)


@when('{what} and streams are taken up elsewhere')
def take_up(context: Any, what: str) -> None:
    """Begin streams everywhere and go on at the host in question."""
    callers, world = context.callers, context.world
    hosts = list(range(1, len(world.hosts)))
    target = [0]
    for runner in world.runners:
        runner.events = 10
    if what == 'the store is away':
        for index in range(len(world.hosts)):
            world.turn_away(index)
        world.run(3.0)
    elif what == 'a host hears no store':
        cut_off(world, {0}, 'no store')
        world.run(3.0)
    start_at(callers, hosts)
    if what == 'a host has just lost power':
        world.stop_for_good(7)
        hosts.remove(7)
        target = hosts
    elif what == 'a host hears no other host':
        cut_off(world, {0}, 'no other host')
    take_up_at(callers, target)
    callers.run(END_S)
