"""Steps of runners that ask one host for a pause."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import relay_call_steps
import ragwort_edge as edge

# Time after an answer from which requests that were under way have arrived.
NOTICE_S = 0.5
# Requests that may reach a runner in its pause.
MOST_IN_PAUSE = 2


@when('{count:d} more once requests are sent in {seconds:g} s')
def send_more(context: Any, count: int, seconds: float) -> None:
    """Send requests at an even rate and keep their answers."""
    context.answers = getattr(context, 'answers', [context.exchange])
    for _ in range(count):
        relay_call_steps.send(context, **relay_call_steps.KINDS['once'])
        context.answers.append(context.exchange)
        context.world.run(seconds / count)


@when('{count:d} more once requests are sent at once')
def send_burst(context: Any, count: int) -> None:
    """Send more requests than one runner would get."""
    for _ in range(count):
        relay_call_steps.send(context, **relay_call_steps.KINDS['once'])
    context.world.run(0.1)


@then('every request got 200 and the first runner got 1 of them')
def check_paused(context: Any) -> None:
    """Look at the answers and at what the runner got."""
    assert {answer.status for answer in context.answers} == {200}
    assert len(context.runners[0].arrivals) == 1


@then('the first runner got more than 1 of them')
def check_used(context: Any) -> None:
    """Look at what the runner got."""
    assert len(context.runners[0].arrivals) > 1


@when('a once request is sent and answered')
def send_and_wait(context: Any) -> None:
    """Send a request; it is answered at once."""
    relay_call_steps.send(context, **relay_call_steps.KINDS['once'])
    context.world.run(0.1)
    assert context.exchange.is_over


@when('{seconds:d} s pass and a once request is sent and answered')
def wait_and_send(context: Any, seconds: int) -> None:
    """Send a request some time later."""
    context.world.clock.advance(seconds)
    send_and_wait(context)


@then('it is told to come back after {seconds:g} s at the earliest')
def check_time(context: Any, seconds: float) -> None:
    """Compare the time that the caller is told."""
    value = edge.find_header(context.exchange.headers, b'retry-after')
    assert value is not None
    assert float(value) >= seconds, value


@then('each runner got one request')
def check_one_each(context: Any) -> None:
    """Count what reached the runners."""
    counts = [len(runner.arrivals) for runner in context.runners]
    assert counts == [1] * len(counts), counts


@then('the runner got {count:d} requests')
def check_count(context: Any, count: int) -> None:
    """Count what reached the runner."""
    (runner,) = context.runners
    assert len(runner.arrivals) == count, len(runner.arrivals)


@given('the main runners ask for a pause of {seconds:g} s')
def pause_main(context: Any, seconds: float) -> None:
    """Let each main runner turn its next request away."""
    for runner in context.runners:
        runner.script = [f'pause:{seconds}'] * 2


@when('a staged request is sent soon')
def send_staged_soon(context: Any) -> None:
    """Send a staged request while the pauses last, and wait shortly."""
    relay_call_steps.submit_staged(context, 0, relay_call_steps.PIECES)
    context.world.run(0.2)


@then('the pieces were made at most once')
def check_made_once(context: Any) -> None:
    """Count all pieces that were made."""
    made = sum(len(runner.made) for runner in context.stage_runners)
    assert made <= sum(relay_call_steps.PIECES), made


@when('the stage runners ask for a pause of {seconds:g} s')
def pause_stages(context: Any, seconds: float) -> None:
    """Let all stage runners turn away what comes while the pause lasts."""
    world = context.world
    context.pause_s = seconds
    context.pause_ends_at = world.clock.seconds() + seconds
    for runner in context.stage_runners:
        runner.pause_s = seconds

        def go_on(paused: Any = runner) -> None:
            paused.pause_s = None

        world.clock.callLater(seconds, go_on)


@then('no stage runner got more than 2 requests while it was paused')
def check_stage_pauses(context: Any) -> None:
    """Count from half a second after the first that was turned away."""
    began_at = context.pause_ends_at - context.pause_s
    for runner in context.stage_runners:
        times = [a.at for a in runner.arrivals if a.at > began_at]
        assert times, runner.name
        until = times[0] + context.pause_s
        late = [at for at in times if times[0] + NOTICE_S < at < until]
        assert len(late) <= MOST_IN_PAUSE, (runner.name, late)


@then('callers were refused within {seconds:g} s, with a time to come back')
def check_refused(context: Any, seconds: float) -> None:
    """Look at the requests that came in the pause, and at those after it."""
    context.world.run(relay_call_steps.ROUTE_S)
    began_at = context.pause_ends_at - context.pause_s
    paused = [
        asked
        for asked in context.exchanges
        if began_at + 1.0 < asked.started_at < context.pause_ends_at - 1.5
    ]
    assert paused
    for asked in paused:
        if asked.status == 200:
            continue
        assert asked.status == 503, asked.status
        assert asked.ended_at - asked.started_at <= seconds
        value = edge.find_header(asked.headers, b'retry-after')
        assert value is not None and float(value) > 0
    assert context.exchanges[-1].status == 200, context.exchanges[-1].status
