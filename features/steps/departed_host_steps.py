"""Steps of directories while hosts depart."""

import random
from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import relay_hosts
from ragwort_membership import _departed

MOST_LATE = 3
ASK_S = 0.5
SETTLE_S = 3.0


@given('{count:d} hosts whose directories are asked twice a second')
def start(context: Any, count: int) -> None:
    """Start hosts that know each other."""
    context.world = relay_hosts.HostWorld(count)
    context.rng = random.Random(count)
    context.gone = []
    context.world.run(SETTLE_S)


@when('{percent:d} % of the messages between hosts are lost')
def lose_messages(context: Any, percent: int) -> None:
    """Deliver only some messages from now on."""
    deliver = context.world.deliver

    def deliver_some(address: str, frame: Any, size: int) -> None:
        if context.rng.random() >= percent / 100:
            deliver(address, frame, size)

    context.world.deliver = deliver_some


@when('{count:d} of the hosts are killed')
def kill(context: Any, count: int) -> None:
    """Kill hosts at the same moment."""
    world = context.world
    context.gone = context.rng.sample(range(len(world.hosts)), count)
    for index in context.gone:
        world.kill(index)
    context.gone_at = world.clock.seconds()


@when('{count:d} of the hosts are removed')
def remove(context: Any, count: int) -> None:
    """Let hosts leave and end; they count as gone from their end."""
    world = context.world
    context.gone = context.rng.sample(range(len(world.hosts)), count)
    for index in context.gone:
        world.hosts[index].leave()
    while not set(context.gone) <= world.stopped.keys():
        world.run(ASK_S)
    context.gone_at = world.clock.seconds()


def _address(context: Any, index: int) -> str:
    return str(context.world.hosts[index].options.host.caller_address)


def _answers(context: Any) -> list[set[str]]:
    """Return what the directory of each running host answers."""
    return [
        set(host.addresses(domain, 'caller'))
        for index, host in enumerate(context.world.hosts)
        if index not in context.world.stopped
        for domain in relay_hosts.DOMAINS
    ]


@then(
    'for the next {seconds:d} s at most 3 answers name one of them beside a'
    ' running host later than 7 s'
)
def check_departed(context: Any, seconds: int) -> None:
    """Ask all directories again and again."""
    world = context.world
    gone = {_address(context, index) for index in context.gone}
    context.answers = []
    late = []
    for _ in range(int(seconds / ASK_S)):
        world.run(ASK_S)
        age_s = world.clock.seconds() - context.gone_at
        answers = _answers(context)
        context.answers += answers
        if age_s > _departed.MAX_NAMED_S:
            late += [
                age_s for named in answers if named & gone and named - gone
            ]
    assert len(late) <= MOST_LATE, (len(late), max(late))


@then('each answer names a running host')
def check_running(context: Any) -> None:
    """Look at all answers."""
    gone = {_address(context, index) for index in context.gone}
    assert all(named - gone for named in context.answers)


@when('they start again {seconds:d} s later')
def start_again(context: Any, seconds: int) -> None:
    """Start new processes of the hosts."""
    world = context.world
    world.run(seconds)
    for index in context.gone:
        del world.stopped[index]
        world.restart(index)


@then(
    '{seconds:d} s later each directory names {count:d} hosts at least, and'
    ' they are named again'
)
def check_again(context: Any, seconds: int, count: int) -> None:
    """Ask all directories once."""
    context.world.run(seconds)
    answers = _answers(context)
    assert min(map(len, answers)) >= count, min(map(len, answers))
    named = set().union(*answers)
    assert {_address(context, index) for index in context.gone} <= named


@then('{seconds:d} s later each directory names all {count:d} running hosts')
def check_all(context: Any, seconds: int, count: int) -> None:
    """Ask all directories once."""
    context.world.run(seconds)
    for named in _answers(context):
        assert len(named) == count, len(named)
