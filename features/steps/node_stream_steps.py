"""Steps of a node's streams while two software versions serve."""

import dataclasses
from typing import Any

from behave import given
from behave import then
from behave import when

import ragwort_lab as lab
from ragwort_lab import _world
from ragwort_lab import _world_parts
import ragwort_model as model

GENERATOR = 'generator'
REQUESTS = 30
CRASHES = 6
# Streams of twelve chunks, long enough to break.
CHUNK_S = 0.1


@given('a node whose generators are of versions {versions}')
def start(context: Any, versions: str) -> None:
    """Start a node; each runner's entry names its software version."""
    wanted = versions.split(', ')
    shape = _world_parts.WorldShape(1, len(wanted))
    runners = {
        name: dataclasses.replace(runner, chunk_s=CHUNK_S)
        for name, runner in _world.default_runners(shape).items()
    }
    context.world = world = lab.World(1, shape, runners)
    context.versions = {}
    generators = [name for name in world.runners if GENERATOR in name]
    for index, (name, version) in enumerate(
        zip(generators, wanted, strict=True)
    ):
        context.versions[name] = version
        content = {
            'service': GENERATOR,
            'address': f'127.0.0.1:{list(world.runners).index(name) + 1}',
            'failure_domain': _world_parts.DOMAINS[index % 2],
            'software_version': version,
        }
        world.put_object(f'runner/{name}', content)
    world.run_until(6.0)


@when('requests stream and the generators that began them crash')
def stream(context: Any) -> None:
    """Note each stream's calls; end its runner after the first chunk."""
    world = context.world
    context.calls = []

    def note(_: str, effect: Any) -> None:
        is_call = isinstance(effect, model.CallRunner)
        if is_call and effect.call.service == GENERATOR:
            context.calls.append(effect)

    world.hooks.append(note)
    context.submissions = []
    for number in range(REQUESTS):
        name = next(iter(world.nodes))
        context.submissions.append(
            world.callers.submit(name, 'tide-question', f'text {number}')
        )
    for _ in range(CRASHES):
        world.run_for(0.15)
        crash_one(world, context.submissions, context.calls)
    world.run_for(10.0)


def crash_one(
    world: lab.World, submissions: list[Any], calls: list[Any]
) -> None:
    """End the runner of a stream that has begun, and let it return."""
    begun = {s.key for s in submissions if s.chunks and s.end is None}
    for effect in reversed(calls):
        if effect.call.attempt.request_key in begun:
            name = effect.runner.name
            world.runner_side.kill(name)
            world.after(0.5, lambda: world.runner_side.revive(name))
            return


@then('each goes on at its version or ends without more chunks')
def check_versions(context: Any) -> None:
    """Compare the versions of a stream's calls behind its first chunk."""
    by_key: dict[str, list[Any]] = {}
    for effect in context.calls:
        by_key.setdefault(effect.call.attempt.request_key, []).append(effect)
    resumed = 0
    for calls in by_key.values():
        for before, after in zip(calls, calls[1:], strict=False):
            if not after.call.resume_from:
                continue
            resumed += 1
            versions = [
                context.versions[c.runner.name] for c in (before, after)
            ]
            assert versions[0] == versions[1], versions
    assert resumed, 'no stream went on'
