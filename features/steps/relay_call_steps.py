"""Steps of relayed requests in virtual time."""

from typing import Any

from behave import given
from behave import then
from behave import when
import msgspec

from features.steps import relay_decision_steps
from features.support import limit_windows
import ragwort_edge as edge
import ragwort_lab as lab
import ragwort_model as model
import ragwort_relay as relay

KINDS = {
    'once': {'kind': relay.CallKind.ONCE, 'attempts': 1},
    'repeatable': {'kind': relay.CallKind.REPEATABLE, 'attempts': 2},
    'stream': {'kind': relay.CallKind.STREAM, 'attempts': 1},
    'resumable': {
        'kind': relay.CallKind.STREAM,
        'attempts': 2,
        'is_resumable': True,
    },
}
ROUTE_S = 4.0
LIMITS = relay.BatchLimits(4, 0.05, 0.01, 1e6, 4.0)
PIECES = (2, 3, 1)
MAIN_S = 0.3
# The stages take about 0.2 s, so that the main call runs by then.
DEATH_S = 0.4
GONE = 409
# The requests whose answers say that a runner leaves.
LEAVING_TARGETS = {
    'any answer': None,
    'stage calls': b'/make',
    'releases': b'/free',
    'reports': b'/room',
}
# Time for which limits are watched, and before they must be kept.
LIMITED_S = 20.0
NOTICE_S = 3.0


def start_world(context: Any, count: int, hosts: int = 1) -> None:
    """Create hosts and main runners."""
    context.world = lab.RelayWorld(hosts)
    context.runners = context.world.add_scripted('main', count)
    context.world.configure(relay_decision_steps.make_configuration([]))


@given('{count:d} runners, of which the first chosen does "{step}"')
def script_first(context: Any, count: int, step: str) -> None:
    """Give the runner that will be chosen first one step."""
    start_world(context, count)
    context.runners[0].script = [step]


@given('{count:d} runners that all do "{step}"')
def script_all(context: Any, count: int, step: str) -> None:
    """Let every runner do the same, however often it is asked."""
    start_world(context, count)
    for runner in context.runners:
        runner.script = [step] * 20


@given(
    '{count:d} stream runners of {events:d} events, '
    'the first chosen does "{step}"'
)
def script_streams(context: Any, count: int, events: int, step: str) -> None:
    """Create stream runners."""
    start_world(context, count)
    for runner in context.runners:
        runner.events = events
    context.runners[0].script = [step]


def send(context: Any, host: int = 0, **fields: Any) -> None:
    """Send one request and let its time pass."""
    facts = edge.RequestMetadata(
        'request-1', fields.pop('deadline_s', ROUTE_S)
    )
    route = relay_decision_steps.make_route(timeout_s=ROUTE_S, **fields)
    world = context.world
    context.exchange = world.submit(world.hosts[host], route, facts)


@when('a {kind} request is sent')
def send_kind(context: Any, kind: str) -> None:
    """Send a request of a kind."""
    if kind == 'staged':
        send_staged(context, 0, PIECES)
    else:
        send(context, **KINDS[kind])
        seconds = 0.3 if context.runners[0].events else ROUTE_S + 1
        context.world.run(seconds)


@given('{count:d} stream runners of {events:d} events, {gap_s:g} s apart')
def slow_streams(context: Any, count: int, events: int, gap_s: float) -> None:
    """Create stream runners that take their time."""
    start_world(context, count)
    for runner in context.runners:
        runner.events, runner.event_gap_s = events, gap_s


@when('a {kind} request is sent, and {seconds:g} s pass')
def send_and_wait(context: Any, kind: str, seconds: float) -> None:
    """Send a request of a kind; let all of its time pass."""
    send(context, **KINDS[kind])
    context.world.run(seconds)


@then(
    'it has ended within {seconds:g} s and holds nothing of the first runner'
)
def check_ended(context: Any, seconds: float) -> None:
    """Look at when it ended; a second runner may have served it."""
    assert context.exchange.is_over
    assert context.exchange.ended_at <= seconds, context.exchange.ended_at
    assert b'x' not in context.exchange.body, context.exchange.body


@then('the first runner\'s connection has closed by then')
def check_drip_closed(context: Any) -> None:
    """Look at the runner's end."""
    [first, *_] = arrivals(context)
    assert first.closed_at is not None
    assert first.closed_at <= ROUTE_S + 0.1, first.closed_at


def arrivals(context: Any) -> list[Any]:
    """Return what reached the main runners, in order."""
    found = [a for runner in context.runners for a in runner.arrivals]
    return sorted(found, key=lambda arrival: arrival.at)


@then('the caller gets {status:d} after {runs:d} runs')
def check_answer(context: Any, status: int, runs: int) -> None:
    """Compare the answer with what ran."""
    assert context.exchange.status == status, context.exchange.status
    assert context.exchange.is_whole
    ran = [arrival for arrival in arrivals(context) if arrival.ran]
    assert len(ran) == runs, ran


@then('it is told when to come back')
def check_retry_after(context: Any) -> None:
    """Look for the time."""
    value = edge.find_header(context.exchange.headers, b'retry-after')
    assert value is not None
    assert float(value) > 0


@then('each send is told at most the time that was left')
def check_left(context: Any) -> None:
    """Compare the times told with those of arrival."""
    found = arrivals(context)
    assert len(found) == 2, found
    for arrival in found:
        assert 0 < arrival.told['left_s'] <= ROUTE_S - arrival.at + 0.01


@then(
    'the caller gets events {first:d} to {last:d} once each and a whole answer'
)
def check_events(context: Any, first: int, last: int) -> None:
    """Compare the body with the events."""
    context.world.run(ROUTE_S)
    expected = b''.join(
        b'id: %d\ndata: e%d\n\n' % (n, n) for n in range(first, last + 1)
    )
    assert context.exchange.body == expected, context.exchange.body
    assert context.exchange.is_whole


@then('the caller gets events {first:d} to {last:d} and no whole answer')
def check_broken(context: Any, first: int, last: int) -> None:
    """Compare the body with the events."""
    expected = b''.join(
        b'id: %d\ndata: e%d\n\n' % (n, n) for n in range(first, last + 1)
    )
    assert context.exchange.body == expected, context.exchange.body
    assert context.exchange.is_over
    assert not context.exchange.is_whole
    assert len(arrivals(context)) == 1


@when('the caller leaves after 0.3 s')
def leave(context: Any) -> None:
    """Close the caller's connection."""
    context.left_at = context.world.clock.seconds()
    context.exchange.leave()
    context.world.run(ROUTE_S)


@then("its runner's connection closes within 0.5 s and nothing more is sent")
def check_closed(context: Any) -> None:
    """Look at the runner's side."""
    found = arrivals(context)
    assert len(found) == 1, found
    assert found[0].closed_at is not None
    assert found[0].closed_at - context.left_at <= 0.5
    assert not context.world.hosts[0].open


@when('a once request is sent on a route with a timeout of 1 s')
def send_short(context: Any) -> None:
    """Send a request with more time than its route allows."""
    facts = edge.RequestMetadata('request-1', 9.0)
    fields = KINDS['once'] | {'timeout_s': 1.0}
    route = relay_decision_steps.make_route(**fields)
    host = context.world.hosts[0]
    context.exchange = context.world.submit(host, route, facts)
    context.world.run(2.0)


@then('it has its final answer after 1 s')
def check_timeout(context: Any) -> None:
    """Compare the time of the answer."""
    assert context.exchange.status == 504, context.exchange.status
    assert 0.9 <= context.exchange.ended_at <= 1.05


@given('a route with stages 0, 1 after 0, and 2, of 2, 3 and 1 pieces')
def set_stages(context: Any) -> None:
    """Create a world with stage services."""
    start_world(context, 2, hosts=3)
    world = context.world
    for runner in context.runners:
        runner.work_s = MAIN_S
    context.stage_runners = [
        *world.add_stage_runners('first', LIMITS, 2),
        *world.add_stage_runners('second', LIMITS, 2),
    ]
    stages = (
        relay.StageSpec('first', (), 1000.0),
        relay.StageSpec('second', (0,), 1000.0),
        relay.StageSpec('first', (), 1000.0),
    )
    context.route = relay_decision_steps.make_route(
        stages=stages, kind=relay.CallKind.ONCE, attempts=1
    )
    world.configure(
        relay_decision_steps.make_configuration(
            [context.route], first=LIMITS, second=LIMITS
        )
    )


@given('the main runner says once that its inputs are gone')
def lose_inputs(context: Any) -> None:
    """Let the first main call fail for its inputs."""
    for runner in context.runners:
        runner.events = 2
    context.runners[0].script = ['gone']
    context.route = relay_decision_steps.make_route(
        stages=context.route.stages, kind=relay.CallKind.STREAM, attempts=1
    )


@given('the inputs of stage 1 are gone {times:d} times')
def lose_stage_inputs(context: Any, times: int) -> None:
    """Let calls for the second stage find no inputs."""
    lost = [True] * times
    for runner in context.stage_runners:
        runner.lost_inputs = lost


@given('the owner of the stage services {fault}')
def break_owner(context: Any, fault: str) -> None:
    """Let the owner, host 0, misbehave."""
    world = context.world
    lost: list[Any] = []

    def lose_first_reply(message: Any) -> bool:
        if isinstance(message, model.StageReply) and not lost:
            lost.append(message)
            return True
        return False

    if fault == 'is dead':
        world.hosts[0].is_alive = False
    elif fault == 'is dead and has a second':
        world.hosts[0].is_alive = False
        world.owners = lambda service: ['host-0', 'host-2']
    elif fault == 'dies once the main call runs':
        world.clock.callLater(DEATH_S, kill_owner, context)
    elif fault == 'loses its first answer':
        world.lose_message = lose_first_reply
    elif fault == 'answers late':
        for runner in context.stage_runners:
            runner.limits = relay.BatchLimits(4, 0.5, 0.01, 1e6, 4.0)
    elif fault == 'is asked again all the time':
        context.pester = True


def kill_owner(context: Any) -> None:
    """Let the owner die, noticed by its silence."""
    world = context.world
    assert arrivals(context), 'the main call runs not yet'
    world.hosts[0].is_alive = False
    world.hosts[1].stages.avoided_owners['host-0'] = (
        world.clock.seconds() + 9.0
    )


def submit_staged(context: Any, host: int, pieces: tuple[int, ...]) -> None:
    """Send a request with stages."""
    facts = edge.RequestMetadata(
        'request-1', ROUTE_S, pieces=pieces, piece_key='key'
    )
    world = context.world
    context.exchange = world.submit(world.hosts[host], context.route, facts)


def send_staged(context: Any, host: int, pieces: tuple[int, ...]) -> None:
    """Send a request with stages and let its time pass."""
    submit_staged(context, host, pieces)
    world = context.world
    if getattr(context, 'pester', False):
        for _ in range(100):
            ask_again(context)
            world.run(0.01)
    world.run(ROUTE_S + 1.0)


def ask_again(context: Any) -> None:
    """Let the asking host ask about every group once more."""
    stages = context.world.hosts[1].stages
    for pending in list(stages.pending.values()):
        stages._check_owner(pending.group.group_id)


@given('its callers leave after {seconds:g} s without an event')
def shorten_patience(context: Any, seconds: float) -> None:
    """Let callers leave well before their deadline."""
    context.route = msgspec.structs.replace(context.route, patience_s=seconds)


@then('no piece was made')
def check_no_piece(context: Any) -> None:
    """Look at the calls to stage runners."""
    assert not any(runner.made for runner in context.stage_runners)


@when('a staged request is sent from another host')
def send_from_other(context: Any) -> None:
    """Send a request to a host that owns no stage service."""
    send_staged(context, 1, PIECES)


@when('a staged request with 2 counts is sent')
def send_miscounted(context: Any) -> None:
    """Send a request whose counts don't fit its stages."""
    send_staged(context, 0, (2, 3))


@then('each piece was made once')
def check_made(context: Any) -> None:
    """Compare the pieces made with those asked for."""
    made = sorted(
        piece for runner in context.stage_runners for piece in runner.made
    )
    expected = sorted(
        ('request-1', stage, piece)
        for stage, count in enumerate(PIECES)
        for piece in range(count)
    )
    assert made == expected, made


@then('each piece was made once and the main call got 4 results')
def check_stages_made(context: Any) -> None:
    """Compare the pieces, and the main call's inputs."""
    check_made(context)
    (main,) = arrivals(context)
    assert len(set(main.told['inputs'])) == 4, main.told


@then('all results are freed once they were read')
def check_freed(context: Any) -> None:
    """Look for results that are left."""
    left = [r.results for r in context.stage_runners if r.results]
    assert not left, left


@then('the caller gets 200 and the main call was sent twice')
def check_remade(context: Any) -> None:
    """Look at the answer and the sends."""
    assert context.exchange.status == 200, context.exchange.status
    found = arrivals(context)
    assert len(found) == 2, found
    first, second = (set(a.told['inputs']) for a in found)
    assert not first & second


@when('stage load "{pattern}" is played')
def play_pattern(context: Any, pattern: str) -> None:
    """Play a load pattern under each rule."""
    context.figures = {
        rule: lab.run_stage_pattern(pattern, rule) for rule in lab.StageRule
    }


@then('at least {share:f} are made within the target and none lack room')
def check_pattern(context: Any, share: float) -> None:
    """Check the figures of the rule in force."""
    figures = context.figures[lab.StageRule.TIMELY_FIRST]
    assert figures.share_in_target >= share, figures
    assert figures.no_room == 0, figures


@then('that is at least as many as with each host for itself')
def check_gain(context: Any) -> None:
    """Compare with the earliest rule in the same run."""
    timely = context.figures[lab.StageRule.TIMELY_FIRST]
    scattered = context.figures[lab.StageRule.EACH_HOST]
    assert timely.in_target >= scattered.in_target


@when('stage loads "{first}" and "{second}" are played with {count:d} seeds')
def play_seeds(context: Any, first: str, second: str, count: int) -> None:
    """Play both loads under the order in force and the one before it."""
    context.runs = [
        tuple(
            lab.run_stage_pattern(pattern, rule, seed)
            for rule in (
                lab.StageRule.TIMELY_FIRST,
                lab.StageRule.BY_DUE_TIME,
            )
        )
        for pattern in (first, second)
        for seed in range(1, count + 1)
    ]


@then('by due time alone no seed serves more in time')
def check_each_seed(context: Any) -> None:
    """Compare the figures seed by seed."""
    for timely, by_due_time in context.runs:
        assert timely.in_target >= by_due_time.in_target, (timely, by_due_time)


@then('by due time alone fewer are served in time, and no more at all')
def check_all_seeds(context: Any) -> None:
    """Compare the sums over all seeds."""
    in_target = [[f.in_target for f in pair] for pair in context.runs]
    made = [[f.made for f in pair] for pair in context.runs]
    assert sum(a for a, _ in in_target) > sum(b for _, b in in_target)
    assert sum(a for a, _ in made) >= sum(b for _, b in made)


@when(
    'staged requests are sent {per_s:d} times a second to runners that name '
    'a limit of {rate:g} a second'
)
def send_to_limited(context: Any, per_s: int, rate: float) -> None:
    """Send to both hosts in turn; the first one calls the stage runners."""
    world = context.world
    context.rate = rate
    for runner in context.stage_runners:
        runner.limit_per_s = rate
    for index in range(round(LIMITED_S * per_s)):
        facts = edge.RequestMetadata(
            f'request-{index}', ROUTE_S, pieces=PIECES, piece_key='key'
        )
        host = world.hosts[index % len(world.hosts)]
        world.submit(host, context.route, facts)
        world.run(1.0 / per_s)


@then(
    'each stage runner gets at most one and a half times that and 5 requests '
    'in any 4 s'
)
def check_stage_limits(context: Any) -> None:
    """Count all requests once the runners have named their limits."""
    allowed = limit_windows.allowed_in_window(context.rate)
    for runner in context.stage_runners:
        times = [a.at for a in runner.arrivals if a.at >= NOTICE_S]
        assert times, runner.name
        most = limit_windows.most_in_window(times)
        assert most <= allowed, (runner.name, most, allowed)


@then('it gets more than half of what it allows')
def check_stage_use(context: Any) -> None:
    """Count the calls that make pieces at the runners of the first stage."""
    expected = context.rate * (LIMITED_S - NOTICE_S) / 2
    for runner in context.stage_runners[:2]:
        times = [a.at for a in runner.arrivals if a.at >= NOTICE_S]
        assert len(times) > expected, (runner.name, len(times), expected)


@when('staged requests are sent {per_s:d} times a second for {seconds:d} s')
def send_staged_evenly(context: Any, per_s: int, seconds: int) -> None:
    """Send to all hosts in turn; the first one calls the stage runners."""
    world = context.world
    context.exchanges = []
    for index in range(per_s * seconds):
        facts = edge.RequestMetadata(
            f'request-{world.clock.seconds()}',
            ROUTE_S,
            pieces=PIECES,
            piece_key='key',
        )
        host = world.hosts[index % len(world.hosts)]
        asked = world.submit(host, context.route, facts)
        context.exchanges.append(asked)
        world.run(1.0 / per_s)


@when('a stage runner says in {answer} that it leaves')
def leave_in(context: Any, answer: str) -> None:
    """Let the first stage runner say so in some of its answers only."""
    context.leaving = context.stage_runners[0]
    context.leaving.leaving_target = LEAVING_TARGETS[answer]
    context.leaving.is_leaving = True
    if answer == 'reports':
        check_storage(context)


def check_storage(context: Any) -> None:
    """Let the owner ask the leaving runner for its free storage."""
    owner = context.world.hosts[0].stages.local_owner
    batcher = owner.batchers['first']
    batcher.storage.may_hold_foreign = lambda runner, now: True
    name = f'runner/{context.leaving.name}'
    runner = context.world.hosts[0].catalog.fleet.runners[name]
    owner._check_storage(batcher, [runner])


@then(
    'that runner has got no work, release or check since {seconds:g} s after'
    ' such an answer'
)
def check_left_alone(context: Any, seconds: float) -> None:
    """Look at all that has reached the runner."""
    arrivals = context.leaving.arrivals
    target = context.leaving.leaving_target
    left_s = context.world.clock.seconds() - 4.0
    told = [
        a.at
        for a in arrivals
        if a.at > left_s - 0.1 and target in (None, a.request.target)
    ]
    assert told
    late = [a for a in arrivals if a.at > told[0] + seconds]
    assert not late, [(a.at, a.request.target) for a in late]


@then('all of these requests were answered')
def check_all_answered(context: Any) -> None:
    """Look at the answers once the last request has had its time."""
    context.world.run(ROUTE_S)
    statuses = [exchange.status for exchange in context.exchanges]
    assert statuses == [200] * len(statuses), statuses


@given('its runners say in answers that they leave, but one')
def leave_all_but_one(context: Any) -> None:
    """Let all but the last runner say so in all of their answers."""
    for runner in context.runners[:-1]:
        runner.is_leaving = True


@when('{count:d} more {kind} requests are sent')
def send_more(context: Any, count: int, kind: str) -> None:
    """Send requests one after another."""
    for _ in range(count):
        send(context, **KINDS[kind])
        context.world.run(0.1)


@then('the runner that stays gets the last {count:d} of them')
def check_stays(context: Any, count: int) -> None:
    """Look at where the last requests went."""
    stays = context.runners[-1].name
    last = [arrival.runner for arrival in arrivals(context)[-count:]]
    assert last == [stays] * count, last
