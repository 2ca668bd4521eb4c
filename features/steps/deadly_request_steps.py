"""Steps of requests that crash runners."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import deadly_part_steps
from features.support import deadly_requests

# The users count from the third crash.
COUNTED_CRASHES = 3
# Time for callers to get their last answers.
LAST_S = 6.0
DISTURBED_S = 20.0


@given(
    '{hosts:d} relay hosts and {runners:d} runners of "{route}" requests,'
    ' luck {seed:d}'
)
def start(
    context: Any, hosts: int, runners: int, route: str, seed: int
) -> None:
    """Start hosts and runners."""
    context.requests = deadly_requests.RequestWorld(
        hosts, runners, seed, route
    )
    context.crash = context.requests.crash


@given('runners fall silent when they crash')
def let_fall_silent(context: Any) -> None:
    """Let crashes reset no connection."""
    for runner in context.crash.world.runners:
        runner.crashes_silently = True


@when('callers send {per_s:d} requests a second for {seconds:d} s')
def send_sound(context: Any, per_s: int, seconds: int) -> None:
    """Send sound requests."""
    context.per_s = per_s
    context.sound_from = context.crash.clock.seconds()
    context.requests.run(seconds, per_s, 0.0)
    context.sound_until = context.crash.clock.seconds()


def send_deadly(context: Any, seconds: float) -> None:
    """Send requests of which a tenth is deadly."""
    context.requests.set_deadly()
    context.requests.run(seconds, context.per_s, 0.1)
    context.deadly_until = context.crash.clock.seconds()


@when('a tenth of them is a request that crashes runners, for {seconds:d} s')
def send_tenth(context: Any, seconds: int) -> None:
    """Send them until the last is answered."""
    send_deadly(context, seconds)
    context.crash.world.run(LAST_S)


@when(
    '{count:d} callers at once send a request that crashes runners, every'
    ' {gap_s:d} s for {seconds:d} s'
)
def send_at_once(context: Any, count: int, gap_s: int, seconds: int) -> None:
    """Send copies of the deadly request at the same moment."""
    context.requests.set_deadly()
    for _ in range(seconds // gap_s):
        for _ in range(count):
            context.requests.send(deadly_requests.DEADLY)
        context.requests.run(gap_s, context.per_s, 0.0)
    context.deadly_until = context.crash.clock.seconds()
    context.crash.world.run(LAST_S)


@when(
    'a tenth of them is a request that crashes runners, and hosts restart'
    ' one by one'
)
def restart_hosts(context: Any) -> None:
    """Restart each host while the request is sent."""
    for index in range(len(context.crash.world.hosts)):
        send_deadly(context, 4.0)
        context.crash.world.restart(index)
    context.crash.world.run(LAST_S)


@when(
    'a tenth of them is a request that crashes runners, and hosts are all'
    ' killed'
)
def kill_hosts(context: Any) -> None:
    """Restart all hosts at the same time; only the store remembers."""
    send_deadly(context, 16.0)
    for index in range(len(context.crash.world.hosts)):
        context.crash.world.restart(index)
    context.crash.world.run(2.0)
    send_deadly(context, 12.0)
    context.crash.world.run(LAST_S)


@when('runners crash {why} under {count:d} requests that come again and again')
def crash_runners(context: Any, why: str, count: int) -> None:
    """Crash runners whatever they run."""
    crash = context.crash
    until = crash.clock.seconds() + DISTURBED_S
    gap_s = deadly_part_steps.CRASH_GAPS_S[why]
    while crash.clock.seconds() < until:
        deadly_part_steps.crash_some(crash, why)
        for _ in range(round(gap_s * context.per_s)):
            context.requests.send(f'again-{crash.rng.randrange(count)}')
            crash.world.run(1.0 / context.per_s)
    context.disturbed_until = crash.clock.seconds()
    context.requests.run(12.0, context.per_s, 0.0)
    context.deadly_until = crash.clock.seconds()
    crash.world.run(LAST_S)


def bound_from(context: Any) -> float:
    """Return when the request has crashed as often as counts, or the last."""
    crashes = context.crash.crashes
    assert crashes
    return float(crashes[min(COUNTED_CRASHES, len(crashes)) - 1])


@then(
    'it reaches runners at most {most:d} times later than {seconds:g} s after'
    ' its third crash'
)
def check_arrivals(context: Any, most: int, seconds: float) -> None:
    """Count what reached runners."""
    late_at = bound_from(context) + seconds
    late = [at for at in context.requests.deadly_arrivals() if at > late_at]
    assert len(late) <= most, (len(late), len(context.crash.crashes))


@then(
    'sound requests are served half as often as before, from {seconds:g} s'
    ' after its third crash'
)
def check_sound(context: Any, seconds: float) -> None:
    """Compare the shares of sound requests that were served."""
    since = bound_from(context) + seconds
    compare_shares(context, since)


@then(
    'sound requests are served half as often as before, from {seconds:g} s'
    ' after the last crash'
)
def check_sound_later(context: Any, seconds: float) -> None:
    """Compare the shares of sound requests that were served."""
    compare_shares(context, context.disturbed_until + seconds)


def compare_shares(context: Any, since: float) -> None:
    """Compare with the time before the crashes."""
    found = context.requests
    before = found.share_served(context.sound_from, context.sound_until)
    after = found.share_served(since, context.deadly_until)
    assert after >= before / 2, (before, after)


@then('no other request is kept from runners')
def check_one_refused(context: Any) -> None:
    """Look at what the hosts believe and at what callers got."""
    refused = {
        key
        for found in deadly_part_steps.evidence_of(context)
        for key in found.refused()
    }
    assert len(refused) <= 1, refused
    check_long_refusals(context)


@then('no request is kept from runners')
def check_none_refused(context: Any) -> None:
    """Look at what the hosts believe and at what callers got."""
    counts = [
        len(found.refused())
        for found in deadly_part_steps.evidence_of(context)
    ]
    assert not any(counts), counts
    check_long_refusals(context)


def check_long_refusals(context: Any) -> None:
    """Look for sound requests that were told to come back much later."""
    for asked in context.requests.asked:
        for one in asked.exchanges:
            value = dict(one.headers).get(b'retry-after')
            is_long = value is not None and (
                float(value) >= deadly_part_steps.LONG_RETRY_S
            )
            assert not is_long or asked.is_deadly, asked.path
