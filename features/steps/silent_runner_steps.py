"""Steps of sound runners that fall silent and go on."""

from collections.abc import Callable
import json
from typing import Any

from behave import given
from behave import then

from features.steps import relay_call_steps
import ragwort_model as model
import ragwort_relay as relay

What = Callable[[Any], None]
HINDRANCES: dict[str, What] = {}
SCRIPTS = {
    'turns all away': 'full',
    'answers with errors': 'error',
    'breaks off at once': 'reset',
    'is silent': 'silent',
    'asks for a pause': 'pause:9',
    'answers 301': 'status:301',
    'answers 404': 'status:404',
    'answers 410': 'status:410',
    'ends without an event': 'bytes:nothing',
    'sends a comment and ends': 'bytes:comment',
}
BODIES = {'nothing': b'', 'comment': b': on its way\n\n'}
CHUNKS = ((b'transfer-encoding', b'chunked'),)
# Events of which the first runner breaks off in the middle of the second.
BREAKS_OFF = 'cut:1'


def hindrance(name: str) -> Callable[[What], What]:
    """Register what keeps a request from a second runner."""

    def register(what: What) -> What:
        HINDRANCES[name] = what
        return what

    return register


@given(
    '{count:d} stream runners of {events:d} events, silent for {silence:g} s'
    ' behind event {behind:d}'
)
def stalling_streams(
    context: Any, count: int, events: int, silence: float, behind: int
) -> None:
    """Let the runner that is chosen first stall."""
    relay_call_steps.start_world(context, count)
    context.stall = f'stall:{behind},{silence}'
    for runner in context.runners:
        runner.events = events
    context.runners[0].script = [context.stall]


@given('{count:d} runners of a {kind} request that begin after {silence:g} s')
def late_runners(context: Any, count: int, kind: str, silence: float) -> None:
    """Let the runner that is chosen first answer late."""
    relay_call_steps.start_world(context, count)
    for runner in context.runners:
        runner.events = 3 if kind == 'resumable' else 0
    context.runners[0].script = [f'late:{silence}']


def enter(context: Any, runner: Any, **fields: Any) -> None:
    """Write a runner's entry anew."""
    entry = {
        'service': 'main',
        'address': runner.address,
        'domain': runner.domain,
        'state': 'live',
        'born': 1,
        'slots': 4,
    }
    text = json.dumps(entry | fields)
    item = model.StoredObject(f'runner/{runner.name}', 2, text)
    context.world.hosts[0].catalog.apply(item)


@given("the first stage's runners are silent for {silence:g} s once")
def silence_stage(context: Any, silence: float) -> None:
    """Hold back the first answer of each of them."""
    for runner in context.stage_runners[:2]:
        runner.silences_s = [silence]


@given('the other stage runner leaves')
def leave_stage(context: Any) -> None:
    """Leave one runner of the first stage."""
    enter(context, context.stage_runners[1], service='first', state='leaving')


@given('nothing hinders a second send')
def hinder_nothing(context: Any) -> None:
    """Leave all as it is."""


@given('the budget of repeats is spent')
def spend_budget(context: Any) -> None:
    """Let the host have nothing to spend."""
    budget = context.world.hosts[0].budget
    budget.ratio = budget.slack = 0.0


@given('the first runner breaks off before that')
def break_first(context: Any) -> None:
    """Let one runner use up an attempt, and the other one stall."""
    first, second = context.runners
    first.script, second.script = [BREAKS_OFF], [context.stall]


@given('the other runner {what}')
def hinder_other(context: Any, what: str) -> None:
    """Let the second runner be of no use, once the first one has begun."""
    context.other = context.runners[1]
    context.other.bodies = {
        name: lambda last, body=body: body for name, body in BODIES.items()
    }
    if what.startswith(('ends', 'sends')):
        context.other.extra_headers = CHUNKS
    if what in SCRIPTS:
        context.other.script = [SCRIPTS[what]] * 20
    else:
        context.world.clock.callLater(0.1, HINDRANCES[what], context)


@given("a second request can't be built")
def break_second(context: Any) -> None:
    """Let the dialect fail at all requests but the first."""
    break_requests(context, 1)


@given("a request can't be built")
def break_first_request(context: Any) -> None:
    """Let the dialect fail at all requests."""
    break_requests(context, 0)


def break_requests(context: Any, sound: int) -> None:
    """Let the dialect fail behind some requests."""
    dialect = context.world.hosts[0].context.dialect
    build = dialect.main_request
    built: list[Any] = []

    def fail(call: Any) -> Any:
        built.append(call)
        if len(built) > sound:
            raise ZeroDivisionError('of the test')
        return build(call)

    dialect.main_request = fail


@given('the first runner refuses new connections')
def refuse_new(context: Any) -> None:
    """Let nobody listen there, and no other runner be of use."""
    first, context.other = context.runners
    context.other.script = ['full'] * 20
    context.world.clock.callLater(
        0.1, context.world.network.runners.pop, first.address
    )


@hindrance('takes no connection')
def refuse(context: Any) -> None:
    """Let nobody listen."""
    context.world.network.runners.pop(context.other.address)


@hindrance('leaves')
def leave(context: Any) -> None:
    """Let its entry say so."""
    enter(context, context.other, state='leaving')


@hindrance('is of another version')
def change_version(context: Any) -> None:
    """Start it anew with other software."""
    enter(context, context.other, born=2, version='v2')


@given("the other runner's domain is evacuated")
def evacuate(context: Any) -> None:
    """Evacuate it once the first one has begun."""
    context.other = context.runners[1]
    name = relay.EVACUATION_PREFIX + context.other.domain
    item = model.StoredObject(name, 3, '{}')
    context.world.clock.callLater(
        0.1, context.world.hosts[0].catalog.apply, item
    )


@then('the caller gets a whole answer')
def check_served(context: Any) -> None:
    """Look at the answer."""
    exchange = context.exchange
    assert exchange.is_whole and exchange.status == 200, exchange.status


@then('2 runners got it, the first of which has lost its connection')
def check_taken_over(context: Any) -> None:
    """Look at the runners' ends."""
    first, second = relay_call_steps.arrivals(context)
    assert first.runner != second.runner
    assert second.told['last_event'] == 2, second.told
    assert first.closed_at is not None


@then(
    "the other runner's connection has closed within {seconds:g} s of event 3"
)
def check_stopped(context: Any, seconds: float) -> None:
    """Compare the close with when the first runner went on."""
    [arrival] = context.other.arrivals
    went_on_at = 1.7
    assert arrival.closed_at is not None
    assert 0 <= arrival.closed_at - went_on_at <= seconds, arrival


@then('both runners worked on it for at most {seconds:g} s')
def check_overlap(context: Any, seconds: float) -> None:
    """Compare the close of the first with the arrival at the second."""
    first, second = relay_call_steps.arrivals(context)
    assert first.closed_at is not None
    assert first.closed_at - second.at <= seconds, (first, second)


@then('no runner counts a call as open')
def check_inflight(context: Any) -> None:
    """Look at what the host has noted."""
    fleet = context.world.hosts[0].catalog.fleet
    found = [runner.state.inflight for runner in fleet.runners.values()]
    assert not any(found), found


@then('no runner has an open connection {seconds:g} s later')
def check_all_closed(context: Any, seconds: float) -> None:
    """Look at the runners' ends."""
    found = relay_call_steps.arrivals(context)
    assert len(found) == 2, found
    for arrival in found:
        assert arrival.closed_at is not None
        assert arrival.closed_at <= context.left_at + seconds, arrival
    assert not context.world.hosts[0].open
