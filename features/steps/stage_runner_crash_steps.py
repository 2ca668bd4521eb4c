"""Steps of stage runners that crash under load, in virtual time."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import relay_decision_steps
import ragwort_edge as edge
import ragwort_lab as lab
import ragwort_model as model
import ragwort_relay as relay

LIMITS = relay.BatchLimits(8, 0.15, 0.016, 1e9, 4.0)
PIECES = 3
ROUTE_S = 4.0
# Time for the last requests to end.
REST_S = 5.0


@given(
    '{hosts:d} hosts and {runners:d} stage runners that take 8 pieces a call'
)
def start(context: Any, hosts: int, runners: int) -> None:
    """Create a world whose first host owns the stage service."""
    world = lab.RelayWorld(hosts)
    context.world = world
    world.add_scripted('main', 6)
    context.stage_runners = world.add_stage_runners('first', LIMITS, runners)
    context.route = relay_decision_steps.make_route(
        stages=(relay.StageSpec('first', (), 1000.0),),
        kind=relay.CallKind.ONCE,
        attempts=1,
        timeout_s=ROUTE_S,
    )
    world.configure(
        relay_decision_steps.make_configuration([context.route], first=LIMITS)
    )
    context.crash = None


@given('the budget allows no repeats')
def stop_repeats(context: Any) -> None:
    """Leave no host a repeat."""
    for host in context.world.hosts:
        host.budget.ratio = host.budget.slack = 0.0


@when('{per_s:d} staged requests a second are sent for {seconds:d} s')
def plan_load(context: Any, per_s: int, seconds: int) -> None:
    """Plan what is sent once the crash is known."""
    context.per_s, context.load_s = per_s, seconds


@when('{count:d} of the stage runners are gone from the start')
def remove(context: Any, count: int) -> None:
    """Let runners that the store still lists listen no more."""
    play(context, count, 0.0, ROUTE_S + REST_S)


@when('{count:d} of the stage runners crash after {at:g} s, for {seconds:g} s')
def play(context: Any, count: int, at: float, seconds: float) -> None:
    """Send to all hosts in turn while runners crash and come back."""
    world = context.world
    crashed = context.stage_runners[:count]
    context.crashed_at = at
    world.clock.callLater(at, crash, world, crashed)
    world.clock.callLater(at + seconds, start_again, world, crashed)
    context.sent = []
    for index in range(context.per_s * context.load_s):
        facts = edge.RequestMetadata(
            f'request-{index}', ROUTE_S, pieces=(PIECES,), piece_key='key'
        )
        host = world.hosts[index % len(world.hosts)]
        sent_at = world.clock.seconds()
        exchange = world.submit(host, context.route, facts)
        context.sent.append((sent_at, exchange))
        world.run(1.0 / context.per_s)
    world.run(REST_S)


def crash(world: Any, runners: list[Any]) -> None:
    """End runners: calls break, and nobody listens any more."""
    for runner in runners:
        del world.network.runners[runner.address]
        runner.results.clear()
    addresses = {runner.address for runner in runners}
    for call in world.network.runner_calls:
        if call.address in addresses and not call.is_over:
            call.fail(edge.CallErrorKind.CLOSED)


def start_again(world: Any, runners: list[Any]) -> None:
    """Let runners listen again at their addresses."""
    for runner in runners:
        runner.waiting.clear()
        runner.is_busy = False
        world.network.runners[runner.address] = runner


@then('the owner gives no group away')
def check_kept(context: Any) -> None:
    """Look at what the hosts told each other."""
    declined = [
        message
        for message in context.world.messages
        if isinstance(message, model.StageDeclined)
    ]
    assert not declined, len(declined)


@then('at least {share:g} of the requests are answered')
def check_answered(context: Any, share: float) -> None:
    """Count answers with success."""
    statuses = [exchange.status for _, exchange in context.sent]
    answered = sum(status == 200 for status in statuses)
    assert answered >= share * len(statuses), (answered, len(statuses))


@then(
    'every request sent later than {late_s:g} s after that is refused within'
    ' {seconds:g} s'
)
def check_refused(context: Any, late_s: float, seconds: float) -> None:
    """Look at the requests that nobody could serve."""
    late = [
        (at, exchange)
        for at, exchange in context.sent
        if at > context.crashed_at + late_s
    ]
    assert late
    for at, exchange in late:
        assert exchange.status == 503, exchange.status
        assert exchange.ended_at - at <= seconds, (at, exchange.ended_at)
