"""Steps of connections with real sockets whose peers read slowly or die."""

from typing import Any

from behave import then
from behave import when

from features.support import real_peers
import ragwort_peers as peers

# Time between two checks of a connection, and when its peer was first asked.
CHECK_S = 0.5
ASKED_S = 5.0


@when('connections with real sockets are played')
def play(context: Any) -> None:
    """Play them once for all scenarios."""
    context.play = real_peers.play_all()


def _result(context: Any, what: str, reads: str) -> real_peers.Result:
    found: real_peers.Result = context.play.results[what, reads]
    return found


@then('{what} to a peer that {reads} is whole')
def check_whole(context: Any, what: str, reads: str) -> None:
    """Look at what the peer has read."""
    result = _result(context, what, reads)
    assert result.is_whole, (result.is_reset, len(result.received))
    if reads == real_peers.Reading.PAUSES:
        assert result.whole_s >= real_peers.PAUSE_S, result.whole_s


@then(
    '{what} to a peer that {dies} is given up {least:g} s to {most:g} s later'
)
def check_given_up(
    context: Any, what: str, dies: str, least: float, most: float
) -> None:
    """Compare when the system's end was gone and when it had bytes to send."""
    result = _result(context, what, dies)
    assert result.ended_s is not None
    took_s = result.ended_s - max(result.died_s, real_peers.ANSWER_S)
    assert least <= took_s <= most, took_s


@then('{what} to a peer that never reads is not whole and gone after {s:g} s')
def check_gone(context: Any, what: str, s: float) -> None:
    """Look at when the system's end was gone."""
    result = _result(context, what, real_peers.Reading.NEVER)
    assert not result.is_whole
    assert result.ended_s is not None and result.ended_s <= s, result.ended_s


@when(
    '{slow:d} callers stop while they get {size_mb:d} MB each, and {quick:d}'
    ' get 100 bytes, within {limit_mb:d} MB'
)
def play_crowd(
    context: Any, slow: int, size_mb: int, quick: int, limit_mb: int
) -> None:
    """Play many slow callers at once."""
    context.play = real_peers.play_crowd(
        slow, size_mb * 1_000_000, quick, limit_mb * 1_000_000
    )


@then('those of 100 bytes have them within {seconds:g} s')
def check_quick(context: Any, seconds: float) -> None:
    """Look at the callers that read at once."""
    for (name, _), result in context.play.results.items():
        if name.startswith('quick'):
            assert result.is_whole
            assert result.whole_s <= seconds, (name, result.whole_s)


@then(
    'no more than {limit_mb:d} MB were held, and an answer is whole or reset'
)
def check_crowd(context: Any, limit_mb: int) -> None:
    """Look at the account and at the slow callers' answers."""
    assert 0 < context.play.held_bytes <= limit_mb * 1_000_000
    slow = [
        result
        for (name, _), result in context.play.results.items()
        if name.startswith('slow')
    ]
    assert all(r.is_whole or r.is_reset for r in slow)
    assert any(r.is_whole for r in slow)


@then(
    'a connection that has waited for {age:g} s is {verdict} if the kernel'
    ' tells {unacked} {probes:d} {notsent:d} {last_ack:g}'
)
def check_verdict(
    context: Any,
    age: float,
    verdict: str,
    unacked: str,
    probes: int,
    notsent: int,
    last_ack: float,
) -> None:
    """Tell the same at each check of the last seconds."""
    info = None
    if unacked != 'none':
        info = peers.TcpInfo(int(unacked), probes, notsent, 0, last_ack)
    state = peers.SendState(0.0)
    checks = int(min(age, ASKED_S) / CHECK_S)
    for number in range(checks + 1):
        found = state.check(info, age - (checks - number) * CHECK_S)
    assert found.value == verdict, found
