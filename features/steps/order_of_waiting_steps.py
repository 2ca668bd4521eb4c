"""Steps of the order in which stage work waits."""

import re
from typing import Any

from behave import given
from behave import then
from behave import when

import ragwort_lab as lab
import ragwort_relay as relay

LIMITS = relay.BatchLimits(4, 0.16, 0.01, 1e9, 4.0)
THROUGHPUT = relay.Throughput(
    4, 4 / LIMITS.duration_s(4), LIMITS.duration_s(4)
)
NEXT_SERVICE = 'next'
TARGET_S = 1.0
DEADLINE_S = 5.0


def group_of(name: str, pieces: int, rank: int) -> relay.PieceGroup:
    """Return a group that waits for its pieces."""
    work = [relay.PieceWork(name, 0, p, 'key', ()) for p in range(pieces)]
    return relay.PieceGroup(
        name,
        work,
        TARGET_S,
        DEADLINE_S,
        rank,
        1.0,
        '',
        next_services=(NEXT_SERVICE,),
    )


def queue_of(
    groups: list[relay.PieceGroup],
) -> list[relay.QueuedPiece]:
    """Return the pieces of groups."""
    return [relay.QueuedPiece(g, work) for g in groups for work in g.work]


@given('{count:d} groups of {pieces:d} pieces wait')
def set_groups(context: Any, count: int, pieces: int) -> None:
    """Queue groups of rank 0."""
    set_ranked(context, count, pieces, 0)


@given('{count:d} groups of {pieces:d} pieces of rank {rank:d} wait')
def set_ranked(context: Any, count: int, pieces: int, rank: int) -> None:
    """Queue groups of a rank behind those that wait already."""
    groups = getattr(context, 'groups', [])
    first = len(groups)
    context.groups = groups + [
        group_of(f'g{index}', pieces, rank)
        for index in range(first, first + count)
    ]


@given("{count:d} groups of {pieces:d} pieces of the runner's domain wait")
def set_near(context: Any, count: int, pieces: int) -> None:
    """Queue groups whose inputs lie where the idle runner is."""
    (runner,) = runners()
    first = len(context.groups)
    set_groups(context, count, pieces)
    for group in context.groups[first:]:
        group.failure_domain = runner.entry.runner.failure_domain


@given('targets are {target:f} s away')
def set_targets(context: Any, target: float) -> None:
    """Give every group the same target."""
    for group in context.groups:
        group.target_at = target


@then('the first call holds groups {names}')
def check_held(context: Any, names: str) -> None:
    """Compare the groups of the first call."""
    (call,) = next_calls(context)
    held = {piece.group.group_id for piece in call.pieces}
    assert held == set(names.split(', ')), held


@given('their targets have passed')
def pass_targets(context: Any) -> None:
    """Leave the groups nothing but their deadlines."""
    for group in context.groups:
        group.target_at = 0.0


@given('the last of them was begun')
def begin_last(context: Any) -> None:
    """Count a piece of the last group as sent."""
    context.groups[-1].sends = 1


@when('the order is chosen')
def choose_order(context: Any) -> None:
    """Choose the groups that can be timely."""
    queue = queue_of(context.groups)
    context.timely = relay.timely_groups(queue, THROUGHPUT, 0.0)


@then('between {least:d} and {most:d} groups are timely')
def check_timely(context: Any, least: int, most: int) -> None:
    """Count the groups."""
    assert least <= len(context.timely) <= most, context.timely


@then('all of those can be served within the target')
def check_served(context: Any) -> None:
    """Work through the chosen groups."""
    pieces = sum(
        len(group.work)
        for group in context.groups
        if group.group_id in context.timely
    )
    assert THROUGHPUT.start_delay_s(pieces) + THROUGHPUT.work_s <= TARGET_S


@then('every group of rank {rank:d} is {what}')
def check_rank(context: Any, rank: int, what: str) -> None:
    """Look for each group of a rank among the chosen."""
    names = {g.group_id for g in context.groups if g.rank == rank}
    expected = names if what == 'timely' else set()
    assert names & context.timely == expected, context.timely


@then('some group of rank {rank:d} is set aside')
def check_set_aside(context: Any, rank: int) -> None:
    """Look for a group of a rank that was not chosen."""
    names = {g.group_id for g in context.groups if g.rank == rank}
    assert names - context.timely


def next_calls(
    context: Any, next_queue_s: float = 0.0
) -> list[relay.BatchCall]:
    """Queue the groups and form the calls for one idle runner."""
    batcher = relay.Batcher(LIMITS)
    for group in context.groups:
        batcher.add(group)
    queued_s = {NEXT_SERVICE: next_queue_s, 'unrelated': 9.0}
    return batcher.next_calls(runners(), 0.0, queued_s)


def runners() -> list[relay.FleetRunner]:
    """Return one idle runner."""
    world = lab.RelayWorld(hosts=1)
    world.add_scripted('main', 1)
    return world.hosts[0].catalog.fleet.usable('main', 0.0)


@then('the first call holds its pieces')
def check_first_call(context: Any) -> None:
    """Look for the begun group in the first call."""
    (call,) = next_calls(context)
    last = context.groups[-1].group_id
    assert {p.group.group_id for p in call.pieces[:2]} == {last}


@given('no stage reads their results')
def set_last_stage(context: Any) -> None:
    """Let the main call alone read the results."""
    for group in context.groups:
        group.next_services = ()


@then('with {wait:f} s of waiting behind it {does}')
def check_held_back(context: Any, wait: float, does: str) -> None:
    """Form calls while the next service's queue is so long."""
    assert bool(next_calls(context, wait)) == (does == 'starts')


@then('{count:d} calls serve them all and the timely ones come first')
def check_all_served(context: Any, count: int) -> None:
    """Take calls until the queue is empty; each answer frees the runner."""
    batcher = relay.Batcher(relay.BatchLimits(2, 0.16, 0.01, 1e9, 4.0))
    for group in context.groups:
        batcher.add(group)
    served: list[str] = []
    idle = runners()
    for _ in range(count):
        (call,) = batcher.next_calls(idle, 0.0)
        served += [piece.group.group_id for piece in call.pieces]
        batcher.on_answer(call, [f'h{p.work.piece}' for p in call.pieces], 0.0)
    assert not batcher.queue
    assert served[0] == context.groups[-1].group_id, served


@given('word of {wait:d} s of waiting at {at:f} s')
def hear_first(context: Any, wait: int, at: float) -> None:
    """Hear of a queue."""
    context.waits = relay.QueueWaits()
    context.waits.update('main', relay.QueueWait((wait,), 2.0 * wait, at))


@when('word of {wait:d} s of waiting at {at:f} s comes')
def hear_next(context: Any, wait: int, at: float) -> None:
    """Hear of the same queue again."""
    context.waits.update('main', relay.QueueWait((wait,), 2.0 * wait, at))


@then('{left:g} s of waiting are left at {now:f} s')
def check_left(context: Any, left: float, now: float) -> None:
    """Ask for the queueing time."""
    assert abs(context.waits.wait_s('main', 1.0, now) - left) < 1e-9


@then('what is due in {due_s} waits {waits_s}')
def check_due_waits(context: Any, due_s: str, waits_s: str) -> None:
    """Ask for queueing times; a call of four pieces starts at once."""
    batcher = relay.Batcher(LIMITS)
    for group in context.groups:
        batcher.add(group)
    waits = relay.QueueWaits()
    waits.update('main', batcher.queue_wait(runners(), 0.0))
    for due, expected in zip(seconds(due_s), seconds(waits_s), strict=True):
        found = waits.wait_s('main', due, 0.0)
        assert abs(found - expected) < 1e-9, (due, found)


def seconds(text: str) -> list[float]:
    """Return the numbers of seconds in a text."""
    return [float(found) for found in re.findall(r'([0-9.]+) s', text)]


@given('a request whose stages 1 and 2 after it take 0.2 s each')
def set_chain(context: Any) -> None:
    """Build the stages; the first has no followers."""
    stages = (
        relay.StageSpec('main', (), 3e6),
        relay.StageSpec('main', (), 8e3),
        relay.StageSpec('main', (1,), 6e3),
    )
    context.run = relay.StageRun('r', stages, (1, 1, 1), 'key')


@given('whose stage 0 of large results takes {work:f} s')
def set_large(context: Any, work: float) -> None:
    """Set the expected times of the stages."""
    context.stage_s = [work, 0.2, 0.2]


@then('stage 0 has {spare:f} s to spare at first')
def check_spare(context: Any, spare: float) -> None:
    """Ask before anything began."""
    found = context.run.slack_s(0, context.stage_s, 0.0)
    assert abs(found - spare) < 1e-9, found


@then('it has {spare:f} s to spare {after:f} s after stage 1 began')
def check_spare_later(context: Any, spare: float, after: float) -> None:
    """Ask again while the chain is under way."""
    context.run.start(1, 0.0)
    found = context.run.slack_s(0, context.stage_s, after)
    assert abs(found - spare) < 1e-9, found


@then('stages 1 and 2 have none to spare')
def check_no_spare(context: Any) -> None:
    """Ask for the chain that the request waits for."""
    assert context.run.slack_s(1, context.stage_s, 0.0) == 0.0
    assert context.run.slack_s(2, context.stage_s, 0.0) == 0.0


@given('its recent calls were full and its runner is {state}')
def make_full_calls(context: Any, state: str) -> None:
    """Let an owner send full calls, and tell its queueing times."""
    batcher = relay.Batcher(LIMITS)
    at = 0.0
    for number in range(30):
        at = float(number)
        batcher.add(group_of(f'g{number}', LIMITS.max_pieces, 0))
        batcher.queue[0].group.target_at = at + TARGET_S
        [call] = batcher.next_calls(runners(), at)
        if number < 29 or state == 'idle':
            batcher.on_answer(call, ['handle'] * len(call.pieces), at + 0.2)
    context.told_at = at
    context.waits = relay.QueueWaits()
    context.waits.update('main', batcher.queue_wait(runners(), at))
    context.now = at


@when('{seconds:g} s pass without word from the owner')
def let_pass(context: Any, seconds: float) -> None:
    """Let what the owner told get old."""
    context.now = context.told_at + seconds


@then('a stage of one piece is expected to take {seconds:g} s')
def check_stage_time(context: Any, seconds: float) -> None:
    """Forecast a stage of one piece."""
    run = relay.StageRun(
        'r1', (relay.StageSpec('main', (), 1.0),), (1,), 'key'
    )
    services = {'main': relay.ServiceSpec('main', LIMITS)}
    [expected_s] = relay.typical_stage_s(
        run,
        services,
        lambda service: context.waits.call_s(service, context.now),
    )
    assert abs(expected_s - seconds) < 0.005, expected_s
