"""Steps of parts of prompts that crash runners."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import deadly_parts
import ragwort_edge as edge

# Bounds of the users: crashes until a part counts, and requests after that.
COUNTED_CRASHES = 5
# Time for callers to get their last answers.
LAST_S = 9.0
# A refusal at once, as a caller sees it.
AT_ONCE_S = 0.05
LONG_RETRY_S = 10.0


@given('{hosts:d} relay hosts and {runners:d} runners, luck {seed:d}')
def start(context: Any, hosts: int, runners: int, seed: int) -> None:
    """Start hosts and runners."""
    context.crash = deadly_parts.CrashWorld(hosts, runners, seed)
    context.deadly = [deadly_parts.DEADLY]


@when('callers send {per_s:d} streams a second for {seconds:d} s')
def send_sound(context: Any, per_s: int, seconds: int) -> None:
    """Send sound streams."""
    context.per_s = per_s
    context.sound_from = context.crash.clock.seconds()
    context.crash.run(seconds, per_s)
    context.sound_until = context.crash.clock.seconds()


@when('a quarter of them have a part that crashes runners for {seconds:d} s')
def send_deadly(context: Any, seconds: int) -> None:
    """Send streams of which some have the part."""
    context.crash.set_deadly(*context.deadly)
    context.crash.run(seconds, context.per_s, *context.deadly)
    context.deadly_until = context.crash.clock.seconds()
    context.crash.world.run(LAST_S)


def bound_from(context: Any) -> float:
    """Return when the part has crashed as often as counts, or the last."""
    crashes = context.crash.crashes
    assert crashes
    return float(crashes[min(COUNTED_CRASHES, len(crashes)) - 1])


@then(
    'at most {most:d} requests with that part reach runners later than'
    ' {seconds:g} s after its fifth crash'
)
def check_arrivals(context: Any, most: int, seconds: float) -> None:
    """Count what reached runners."""
    late_at = bound_from(context) + seconds
    for part in context.deadly:
        times = context.crash.deadly_arrivals(part)
        late = [at for at in times if at > late_at]
        assert len(late) <= most, (len(late), len(context.crash.crashes))


@then(
    'sound streams begin half as often as before, from {seconds:g} s after'
    ' the fifth crash'
)
def check_sound(context: Any, seconds: float) -> None:
    """Compare the shares of sound streams that began."""
    crash = context.crash
    before = crash.share_begun(context.sound_from, context.sound_until)
    since = bound_from(context) + seconds
    after = crash.share_begun(since, context.deadly_until)
    assert after >= before / 2, (before, after)


@then(
    'requests with that part are refused at once, with a long time to come'
    ' back'
)
def check_refused(context: Any) -> None:
    """Look at the last requests with the part."""
    found = [one for one in context.crash.sent if one.is_deadly][-5:]
    for one in found:
        assert one.exchange.status == 503, one.exchange.status
        took_s = one.exchange.ended_at - one.at
        assert took_s <= AT_ONCE_S, took_s
        value = edge.find_header(one.exchange.headers, b'retry-after')
        assert value is not None and float(value) >= LONG_RETRY_S, value
