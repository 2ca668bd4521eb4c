"""Steps of a node's runners that fall silent and go on."""

from collections.abc import Callable
import dataclasses
from typing import Any

from behave import given
from behave import then
from behave import when

import ragwort_lab as lab
from ragwort_lab import _world
from ragwort_lab import _world_parts
import ragwort_model as model
from ragwort_node import _engine

GENERATOR = 'generator'
CHUNK_S = 0.1
# Time after which the generator of a request has its call, and its first
# chunks are there.
SILENT_AFTER_S = {'first chunk': 0.06, 'next chunk': 0.4}

What = Callable[[Any, str], None]
HINDRANCES: dict[str, What] = {}


def hindrance(name: str) -> Callable[[What], What]:
    """Register what keeps a stage from another attempt."""

    def register(what: What) -> What:
        HINDRANCES[name] = what
        return what

    return register


@given('a node with {count:d} generators')
def start(context: Any, count: int) -> None:
    """Start a node and generators that take their time."""
    shape = _world_parts.WorldShape(1, count)
    runners = {
        name: dataclasses.replace(runner, chunk_s=CHUNK_S)
        for name, runner in _world.default_runners(shape).items()
    }
    context.world = lab.World(1, shape, runners)
    context.world.run_until(6.0)


@hindrance('nothing hinders a retry')
def hinder_nothing(context: Any, runner: str) -> None:
    """Leave all as it is."""


@hindrance('the budget is spent')
def spend_budget(context: Any, runner: str) -> None:
    """Leave no token for retries of the generator."""
    for engine in engines(context):
        engine.dispatcher.retry_budget(GENERATOR).tokens = -100.0


@hindrance('the other runners drain')
def drain_others(context: Any, runner: str) -> None:
    """Let all other generators refuse calls."""
    for name in context.world.runners:
        if GENERATOR in name and name != runner:
            context.world.runner_side.drain(name)


@hindrance('the attempts are used up')
def use_up_attempts(context: Any, runner: str) -> None:
    """Let the stage have had all of its attempts."""
    for engine in engines(context):
        for execution in engine.active.values():
            execution.stage_attempt_count = _engine.MAX_ATTEMPTS_PER_STAGE


def engines(context: Any) -> list[Any]:
    """Return the engines of all nodes."""
    return [slot.core.engine for slot in context.world.nodes.values()]


@when(
    'a request\'s generator is silent for {silence:g} s before its {part}, and'
    ' {what}'
)
def silence_generator(
    context: Any, silence: float, part: str, what: str
) -> None:
    """Hold back what the generator sends."""
    world = context.world
    context.calls = []

    def note(_: str, effect: Any) -> None:
        is_call = isinstance(effect, model.CallRunner)
        if is_call and effect.call.service == GENERATOR:
            context.calls.append(effect)

    world.hooks.append(note)
    name = next(iter(world.nodes))
    context.submission = world.callers.submit(name, 'tide-question', 'text')
    while not context.calls:
        world.run_for(0.01)
    if part == 'next chunk':
        world.run_for(SILENT_AFTER_S[part])
        assert context.submission.chunks
    runner = context.calls[0].runner.name
    world.runner_side.silence(runner, silence)
    HINDRANCES[what](context, runner)
    world.run_for(8.0)


@then('the request completes with all of its chunks')
def check_completed(context: Any) -> None:
    """Look at its end."""
    submission = context.submission
    assert submission.end is not None
    end = submission.end
    assert end.outcome == model.Outcome.COMPLETED, end
    assert end.count == len(submission.chunks) > 1, end
