"""Steps of the account of runners' storage."""

from typing import Any

from behave import given
from behave import then
from behave import when

import ragwort_lab as lab
import ragwort_relay as relay
from ragwort_relay import _storage

MB = 1e6
LIMITS = relay.BatchLimits(4, 0.15, 0.01, 20 * MB, 4.0)
RUNNER = 'runner'
STEP_S = 0.05


@given("an owner from the service's start")
def own_from_start(context: Any) -> None:
    """Create an account that nobody kept before."""
    context.storage = _storage.ResultStorage(LIMITS)


@given('an owner from {since:g} s on')
def own_since(context: Any, since: float) -> None:
    """Create an account of a service that had another owner."""
    context.storage = _storage.ResultStorage(LIMITS, since)


@when('{size:g} MB are made at {at:g} s')
def make(context: Any, size: float, at: float) -> None:
    """Store one result."""
    context.storage.occupy(RUNNER, size * MB)
    context.storage.store('handle', RUNNER, size * MB, at)


@when('the results are released')
def release(context: Any) -> None:
    """Release the result."""
    context.storage.release(['handle'])


@when('the runner ends')
def end(context: Any) -> None:
    """Let its results end with it."""
    context.storage.release_all_of(RUNNER)


@when('a result finds no room at {at:g} s')
def refuse(context: Any, at: float) -> None:
    """Let the runner be full."""
    context.storage.on_full(RUNNER, at)


@when('the runner reports {size:g} MB at {at:g} s')
def report(context: Any, size: float, at: float) -> None:
    """Read the runner's free storage."""
    context.storage.on_report(RUNNER, size * MB, at)


@then('{size:g} MB are free at {at:g} s')
def check_free(context: Any, size: float, at: float) -> None:
    """Compare the free storage."""
    context.storage.expire(at)
    found = context.storage.free_bytes(RUNNER, at) / MB
    assert abs(found - size) < 1e-9, found


@given("an owner whose runner is full of a dead owner's results")
def own_full_runner(context: Any) -> None:
    """Create a batcher that begins at 0 s, and its one runner."""
    context.batcher = relay.Batcher(LIMITS, owned_since=0.0)
    world = lab.RelayWorld(hosts=1)
    world.add_scripted('main', 1)
    context.runners = world.hosts[0].catalog.fleet.usable('main', 0.0)


@when(
    'groups of {count:d} results of {size:g} MB wait from 0 s to {until:g} s'
)
def keep_waiting(context: Any, count: int, size: float, until: float) -> None:
    """Answer each call as a runner whose foreign results expire evenly."""
    batcher = context.batcher
    context.refused_calls = 0
    work = [relay.PieceWork('r', 0, n, 'k', ()) for n in range(count)]
    batcher.add(relay.PieceGroup('g', work, 9.0, 9.0, 0, size * MB, ''))
    now = 0.0
    while now < until:
        for call in batcher.next_calls(context.runners, now):
            foreign = LIMITS.storage_bytes * (1 - now / LIMITS.result_ttl_s)
            free = LIMITS.storage_bytes - foreign
            fits = len(call.pieces) * size * MB <= free
            handles = [f'{now}/{n}' for n in range(len(call.pieces))]
            batcher.on_answer(
                call, handles if fits else [None] * len(handles), now
            )
            if not fits:
                context.refused_calls += 1
                batcher.storage.on_full(call.runner.name, now)
                batcher.queue += call.pieces
            batcher.storage.release(handles)
        now += STEP_S


@then('at most {count:d} calls find no room')
def check_refused(context: Any, count: int) -> None:
    """Count the calls that came back without results."""
    assert context.refused_calls <= count, context.refused_calls
    assert not context.batcher.queue
