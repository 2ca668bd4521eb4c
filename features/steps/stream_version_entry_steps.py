"""Steps on the entries of versions in the store, in doubt and in trouble."""

import json
from typing import Any

from behave import then
from behave import when

from features.steps import stream_version_steps
from features.support import relay_hosts
import ragwort_edge as edge
import ragwort_model as model

# Lists and writes of versions.
COUNTED = (model.StoreVerb.LIST, model.StoreVerb.PUT)


TROUBLES: dict[str, stream_version_steps.Happening] = {}


@stream_version_steps.named(TROUBLES, 'nothing else happens')
def do_nothing(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Change nothing."""


@stream_version_steps.named(TROUBLES, 'the writer is killed as v1 leaves')
def end_writer(callers: Any, world: relay_hosts.HostWorld) -> None:
    """End the host that would write the end of v1."""
    world.clock.callLater(
        5.05, world.kill, stream_version_steps.writer_of(world)
    )


@stream_version_steps.named(TROUBLES, 'the store is away for 10 s')
def stop_store(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Turn all hosts away just after they heard of v2."""
    for index in range(len(world.hosts)):
        world.clock.callLater(0.005, world.turn_away, index)
        world.clock.callLater(10.0, world.let_in, index)


@stream_version_steps.named(TROUBLES, 'all hosts think that they write')
def elect_all(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Let each host write, as in groups that don't reach each other."""
    for host in world.hosts:
        host.version_store._is_writer = lambda now: True  # type: ignore


@stream_version_steps.named(
    TROUBLES, 'the store returns from a copy before v2'
)
def lose_writes(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Restore the store after v1 left; runners of v2 write again."""

    def lose() -> None:
        stream_version_steps.restore(callers, world)

    world.copies.append(world.objects.copy())
    world.clock.callLater(8.0, lose)


@stream_version_steps.named(
    TROUBLES, 'the entry is damaged and the writer killed'
)
def damage_and_kill(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Let another host find the damaged entry."""
    world.clock.callLater(5.05, stream_version_steps.damage, callers, world)
    end_writer(callers, world)


@when('v2 comes, v1 leaves after {seconds:g} s, and {what}')
def release_beside(context: Any, seconds: float, what: str) -> None:
    """Count the calls from the first runner of v2 on."""
    world = context.world
    TROUBLES[what](context.callers, world)
    context.calls = stream_version_steps.count_calls(world)
    stream_version_steps.add_second(world)
    world.run(seconds)
    stream_version_steps.remove_first(world)


@then('{seconds:g} s later the entry has v1 as ended and v2 as present')
def check_entry(context: Any, seconds: float) -> None:
    """Look at the store."""
    context.world.run(seconds)
    context.entry = json.loads(
        context.world.objects.items[stream_version_steps.ENTRY].value or ''
    )
    versions = context.entry['versions']
    assert versions['v2'] is None, versions
    assert isinstance(versions['v1'], int), versions


@then("the entry is of the store's era")
def check_era(context: Any) -> None:
    """Compare the eras."""
    assert context.entry['era'] == context.world.objects.era, context.entry


@then('versions took at most {most:d} calls')
def check_all_calls(context: Any, most: int) -> None:
    """Count lists and writes since."""
    now = stream_version_steps.count_calls(context.world)
    made = sum(now[verb] - context.calls[verb] for verb in COUNTED)
    assert made <= most, made


DOUBTS: dict[str, stream_version_steps.Happening] = {}


@stream_version_steps.named(DOUBTS, 'the store goes silent')
def silence_store(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Answer no host any more."""
    for host in world.hosts:
        way: Any = host.store
        way.is_silent = True


@stream_version_steps.named(DOUBTS, 'the store goes away')
def turn_all_away(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Refuse all calls."""
    for host in world.hosts:
        way: Any = host.store
        way.is_away = True


@stream_version_steps.named(DOUBTS, 'the entry begins in the future')
def begin_later(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Move the entry's start."""
    value = json.loads(
        world.objects.items[stream_version_steps.ENTRY].value or ''
    )
    value['sinceMs'] += 3_600_000
    world.objects.put(stream_version_steps.ENTRY, json.dumps(value))


@stream_version_steps.named(DOUBTS, 'the entry has no versions')
def empty_entry(callers: Any, world: relay_hosts.HostWorld) -> None:
    """Write a sound entry without any."""
    value = json.loads(
        world.objects.items[stream_version_steps.ENTRY].value or ''
    )
    world.objects.put(
        stream_version_steps.ENTRY, json.dumps(value | {'versions': {}})
    )


@when('all hosts restart, {what}, and a stream is taken up')
def take_up_in_doubt(context: Any, what: str) -> None:
    """Restart, and ask for the rest of a stream once the hosts are ready."""
    world = context.world
    for index in range(len(world.hosts)):
        world.restart(index)
    world.run(1.0)
    DOUBTS[what](context.callers, world)
    facts = {
        'request_id': 'again',
        'access_key': 'k1',
        'deadline_s': 8.0,
        'last_event': 3,
        'first_attempt': 'began',
    }
    context.exchange = world.ask_stream(1, facts)


@then('it is refused with a time to come back within {seconds:g} s')
def check_refused_soon(context: Any, seconds: float) -> None:
    """Look at the answer."""
    context.world.run(seconds)
    exchange = context.exchange
    assert exchange.status == 503, (exchange.status, exchange.body)
    assert edge.find_header(exchange.headers, b'retry-after')
