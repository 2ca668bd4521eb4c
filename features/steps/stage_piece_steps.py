"""Steps of what stage runners are asked for."""

import json
import random
from typing import Any

from behave import then
from behave import when

import ragwort_lab as lab

SEED = 5
GAP_S = 0.05
ANSWER_S = 9.0
MAX_PIECES = 6
PAUSE_S = 0.3
LOSS_SHARE = 0.1
# When the fault begins, in requests.
FAULT_AT = 20


@when(
    'callers send {count:d} staged requests with keys of their own while'
    ' {fault}'
)
def send(context: Any, count: int, fault: str) -> None:
    """Send requests with different numbers of pieces."""
    world = context.world
    rng = random.Random(SEED)
    context.asked = {}
    for runner in world.runners:
        runner.events = 2
    for number in range(count):
        if number == FAULT_AT:
            _begin_fault(context, fault, rng)
        index = number % len(world.hosts)
        if index in world.stopped:
            continue
        name, key = f'q{number}', f'key-{number}'
        pieces = rng.randint(1, MAX_PIECES)
        context.asked[name] = (pieces, key)
        facts = {
            'request_id': name,
            'access_key': 'k1',
            'pieces': [pieces],
            'piece_key': key,
        }
        exchange = world.submit(index, f'/staged/{number}', facts)
        context.sent.append((index, exchange))
        world.run(GAP_S)
    world.run(ANSWER_S)


def _stage_runners(context: Any) -> list[lab.LabStageRunner]:
    return [
        runner
        for runner in context.world.network.runners.values()
        if isinstance(runner, lab.LabStageRunner)
    ]


def _begin_fault(context: Any, fault: str, rng: random.Random) -> None:
    world = context.world
    if fault == 'stage runners ask for a pause':
        for runner in _stage_runners(context)[:3]:
            runner.pause_s = PAUSE_S
    elif fault == 'inputs vanish':
        for runner in world.runners:
            runner.script = ['gone'] * 3
    elif fault == 'the owner is killed':
        (owner,) = (
            index
            for index, host in enumerate(world.hosts)
            if host.stages.owner_candidates('prep')[0] is None
        )
        world.kill(owner)
    elif fault == 'messages are lost and repeated':
        deliver = world.deliver

        def deliver_some(address: str, frame: Any, size: int) -> None:
            if rng.random() < LOSS_SHARE:
                return
            deliver(address, frame, size)
            if rng.random() < LOSS_SHARE:
                deliver(address, frame, size)

        world.deliver = deliver_some


@then(
    'each piece that a runner was asked for is one of a request, with its key'
)
def check_pieces(context: Any) -> None:
    """Look at all calls to stage runners."""
    count = 0
    for runner in _stage_runners(context):
        for arrival in runner.arrivals:
            if arrival.request.target != b'/make':
                continue
            for item in json.loads(arrival.request.body):
                pieces, key = context.asked[item['request_id']]
                assert item['stage'] == 0, item
                assert 0 <= item['piece'] < pieces, item
                assert item['key'] == key, item
                assert item['inputs'] == [], item
                count += 1
    assert count >= len(context.asked), count
