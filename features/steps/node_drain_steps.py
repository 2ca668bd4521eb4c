"""Steps of nodes that leave with a time limit."""

import dataclasses
from typing import Any

from behave import given
from behave import then
from behave import when

import ragwort_lab as lab
from ragwort_lab import _world
from ragwort_lab import _world_parts

PATIENT = 'safety-notice'
QUICK_S = 0.02


@given(
    'a node with a drain timeout of {limit_s:g} s whose {service} takes'
    ' {work_s:g} s'
)
def start(context: Any, limit_s: float, service: str, work_s: float) -> None:
    """Start one node and its runners."""
    start_unlimited(context, service, work_s)
    core = context.world.nodes[context.node].core
    core.options = dataclasses.replace(core.options, drain_timeout_s=limit_s)


@given('a node without a drain timeout whose {service} takes {work_s:g} s')
def start_unlimited(context: Any, service: str, work_s: float) -> None:
    """Start one node whose drain has no time limit."""
    shape = _world_parts.WorldShape(1, 1)
    runners = {
        name: dataclasses.replace(
            runner,
            service_s=work_s if runner.service == service else QUICK_S,
        )
        for name, runner in _world.default_runners(shape).items()
    }
    context.world = lab.World(1, shape, runners)
    context.node = next(iter(context.world.nodes))
    context.world.run_until(6.0)


@given('{count:d} requests that have been answered')
def learn(context: Any, count: int) -> None:
    """Let the node learn how long requests take."""
    learn_class(context, count, PATIENT)


@given('{count:d} {name} requests that have been answered')
def learn_class(context: Any, count: int, name: str) -> None:
    """Let the node learn how long requests of a class take."""
    for number in range(count):
        context.world.callers.submit(context.node, name, f'text {number}')
        context.world.run_for(0.2)
    context.world.run_for(10.0)


@when('{count:d} {name} requests are open as the node leaves')
def leave_with_open(context: Any, count: int, name: str) -> None:
    """Send requests with long deadlines, then tell the node to leave."""
    world = context.world
    context.open = [
        world.callers.submit(
            context.node, name, f'text {number}', deadline_s=60.0
        )
        for number in range(count)
    ]
    world.run_for(0.3)
    context.left_at = world.now
    world.drain(context.node)


@when(
    'a request with a deadline of {limit_s:g} s comes {at_s:g} s after the'
    ' node leaves'
)
def come(context: Any, limit_s: float, at_s: float) -> None:
    """Send a request while the node still accepts some."""
    come_class(context, PATIENT, limit_s, at_s)


@when(
    'a {name} request with a deadline of {limit_s:g} s comes {at_s:g} s after'
    ' the node leaves'
)
def come_class(context: Any, name: str, limit_s: float, at_s: float) -> None:
    """Send a request of a class while the node still accepts some."""
    world = context.world
    context.left_at = world.now
    world.drain(context.node)
    world.run_for(at_s)
    context.asked = world.callers.submit(
        context.node, name, 'text', deadline_s=limit_s
    )
    world.run_for(limit_s)


@then('all are told within {seconds:g} s, "{outcome}" among them')
def check_told(context: Any, outcome: str, seconds: float) -> None:
    """Look at the ends of all requests."""
    world = context.world
    world.run_for(seconds)
    ends = [asked.end for asked in context.open]
    assert None not in ends, ends
    assert outcome in {end.outcome for end in ends}, ends
    told_by = context.left_at + seconds
    assert all(asked.told_at <= told_by for asked in context.open)
    world.run_for(1.0)
    assert not world.nodes[context.node].alive


@then('that request is {outcome}')
def check_outcome(context: Any, outcome: str) -> None:
    """Look at the end or the refusal."""
    asked = context.asked
    if outcome == 'refused':
        assert asked.refusal is not None
        assert asked.refusal.kind == 'draining', asked.refusal
        assert asked.told_at - asked.at < 0.1
    else:
        assert asked.end is not None
        assert asked.end.outcome == outcome, asked.end
