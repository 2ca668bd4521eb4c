"""Steps of the store's return from an older copy."""

import json
from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import platform_store_steps
from features.steps import relay_host_steps
import ragwort_lab as lab
import ragwort_model as model
import ragwort_state as state

ASKS = 8


@given('the store is copied')
def copy_store(context: Any) -> None:
    """Keep the store as it is now."""
    context.copy = context.world.objects.copy()


@when('the store returns from the copy')
def restore_store(context: Any) -> None:
    """Lose what was written since."""
    objects = context.world.objects
    context.last_configuration = objects.items['config/main'].value
    objects.restore(context.copy)
    context.calls_before = objects.calls


@when('the store returns without the entries of hosts')
def lose_entries(context: Any) -> None:
    """Return to a copy from before the hosts' start."""
    revision, items = context.world.objects.copy()
    kept = {n: i for n, i in items.items() if not n.startswith('entry-hosts/')}
    context.world.objects.restore((revision, kept))


@when('{seconds:g} s passes')
def wait(context: Any, seconds: float) -> None:
    """Let time pass."""
    context.world.run(seconds)


@when('what the operator wrote last is written again')
def write_again(context: Any) -> None:
    """Write the configuration that the copy lacked."""
    context.world.objects.put('config/main', context.last_configuration)
    context.world.run(1.0)


@when('key "{key}" is given')
def give_key(context: Any, key: str) -> None:
    """Write a configuration with a further key."""
    fields = json.loads(context.last_configuration)
    version = fields['version'] + 1
    text = json.dumps({'version': version, 'keys': [*fields['keys'], key]})
    context.world.objects.put('config/main', text)


@when('the entry of runner "{name}" is removed')
def remove_entry(context: Any, name: str) -> None:
    """Remove a runner's entry."""
    context.world.remove_runner(name)


@when('runner "{name}" writes its entry again')
def rewrite_entry(context: Any, name: str) -> None:
    """Let a runner register."""
    (runner,) = (r for r in context.world.runners if r.name == name)
    context.world.set_runner(runner, 'live')


@then('within {seconds:g} s every host sends to runner "{name}"')
def check_used(context: Any, seconds: float, name: str) -> None:
    """Ask each host until the runner must have got a share."""
    world = context.world
    (runner,) = (r for r in world.runners if r.name == name)
    world.run(seconds)
    for index in range(len(world.hosts)):
        before = len(runner.arrivals)
        for _ in range(ASKS):
            world.ask(index, '/job/1', 'k1')
        world.run(relay_host_steps.ANSWER_S)
        assert len(runner.arrivals) > before, index


@then('every host knows era {era:d} of the store')
def check_era(context: Any, era: int) -> None:
    """Compare the eras."""
    known = [host.store_era.current for host in context.world.hosts]
    assert known == [era] * len(known), known


@then('the store was called at most {count:d} times since')
def check_calls(context: Any, count: int) -> None:
    """Count the calls since the restore."""
    calls = context.world.objects.calls - context.calls_before
    assert calls <= count, calls


def _era(number: int) -> tuple[tuple[bytes, bytes], ...]:
    return ((b'store-era', b'%d' % number),)


@when('the store of era {era:d} lists a runner at revision {revision:d}')
def list_in_era(context: Any, era: int, revision: int) -> None:
    """List one runner."""
    page = {
        'items': [platform_store_steps.stored('a', revision)],
        'hasMore': False,
        'storeRevision': revision,
    }
    platform_store_steps.call_store(
        context, platform_store_steps.LIST, (200, _era(era), page)
    )


@then('the runner has revision {revision:d} of era {era:d}')
def check_version(context: Any, revision: int, era: int) -> None:
    """Compare versions of the object and of the list."""
    (runner,) = context.result.objects
    expected = model.make_version(era, revision)
    assert runner.version == context.result.revision == expected
    assert model.format_version(expected) == f'{era}.{revision}'


@when('the store is restored between two pages of a list')
def list_two_eras(context: Any) -> None:
    """List two pages of two eras."""
    stored = platform_store_steps.stored
    pages = [
        {'items': [stored('a', 3)], 'hasMore': True, 'storeRevision': 8},
        {'items': [stored('b', 4)], 'hasMore': False, 'storeRevision': 7},
    ]
    answers = [(200, _era(n + 1), page) for n, page in enumerate(pages)]
    platform_store_steps.call_store(
        context, platform_store_steps.LIST, *answers
    )


@when('an object read in era {read:d} is replaced and era {taken:d} takes it')
def replace_across_eras(context: Any, read: int, taken: int) -> None:
    """Replace an object by its version of another era."""
    version = model.make_version(read, 7)
    effect = model.StoreCall(
        'op', model.StoreVerb.PUT, 'leases/x', '{"a":1}', version
    )
    platform_store_steps.call_store(context, effect, (200, _era(taken), {}))


@when('the store of era {era:d} refuses a watch with {status:d}')
def refuse_watch(context: Any, era: int, status: int) -> None:
    """Watch."""
    platform_store_steps.call_store(
        context, platform_store_steps.WATCH, (status, _era(era), {})
    )


@then('the result is of era {era:d}')
def check_result_era(context: Any, era: int) -> None:
    """Compare the era."""
    assert context.result.era == era, context.result


CLAIMED_CLASS = 'safety-notice'


def _claims(world: lab.World) -> set[str]:
    """Return the keys of all claims in the store."""
    return {
        key
        for name, item in world.platform.objects.items()
        if name.startswith(state.CLAIMS_PREFIX)
        for key in state.decode_claims(item.value or '[]')
    }


@given('a system of nodes with claims in the store')
def claim_keys(context: Any) -> None:
    """Let requests that may not be repeated be claimed."""
    context.world = lab.World(1)
    context.world.run_until(5.0)
    for index in range(6):
        context.world.callers.submit('node-1', CLAIMED_CLASS, f'note {index}')
        context.world.run_for(0.2)
    context.claims = _claims(context.world)
    assert context.claims


@when('its store returns from a copy {age:g} s old')
def restore_world(context: Any, age: float) -> None:
    """Restore the store of the nodes."""
    world = context.world
    world.platform.restore(world.revision_at(world.now - age))
    context.lost = context.claims - _claims(world)
    assert context.lost
    world.run_for(6.0)


def _decisions(context: Any, rule: str) -> list[tuple[str, Any]]:
    return [
        (name, decision)
        for name, decision in context.world.trace.decisions
        if decision.rule == rule
    ]


@then('every node logs the new era once, and who told it')
def check_era_logged(context: Any) -> None:
    """Compare the decisions with the nodes."""
    logged = _decisions(context, 'new-era')
    assert sorted(name for name, _ in logged) == sorted(context.world.nodes)
    assert all(d.detail.startswith('0 to 1, ') for _, d in logged), logged


@then('the lost claims are written again, which is logged')
def check_claims_rewritten(context: Any) -> None:
    """Look for the claims in the store and for the decisions."""
    assert context.lost <= _claims(context.world)
    assert _decisions(context, 'claims-rewritten')


@when('the store is restored and refused parts may be missing')
def list_parts(context: Any) -> None:
    """Restore the store and note which hosts ask it for the parts."""
    world = context.world
    world.run(relay_host_steps.ANSWER_S)
    context.listed_by = []
    for index, way in enumerate(world.objects.ways):
        _note_lists(context, index, way)
    world.objects.restore(world.objects.copy())
    world.run(8.0)


def _note_lists(context: Any, index: int, way: Any) -> None:
    call = way.call

    def note(effect: model.StoreCall) -> None:
        if effect.name == 'refused-parts/':
            context.listed_by.append(index)
        call(effect)

    way.call = note


@then('{count:d} host has listed the refused parts')
def check_listed(context: Any, count: int) -> None:
    """Count the lists."""
    assert len(context.listed_by) == count, context.listed_by
