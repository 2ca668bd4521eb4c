"""Steps of hosts that lost all runners."""

import json
from typing import Any

from behave import then
from behave import when
import msgspec

from features.support import relay_hosts
import ragwort_lab as lab
import ragwort_relay as relay

# The users' bound of what a cut host serves, as a share of the others.
MIN_SHARE_OF_OTHERS = 2 / 3
# Longest time of a refusal at once, as a caller sees it.
AT_ONCE_S = 0.05
LAST_S = 6.0
CUT_S = 12.0


def cut_off(context: Any, count: int, manner: str) -> None:
    """Cut hosts off from all runners."""
    context.cut_hosts = set(range(count))
    context.cut_at = context.crash.clock.seconds()
    for index in context.cut_hosts:
        context.crash.world.ways[index].cut_off(lab.CutManner(manner))


def heal(context: Any) -> None:
    """Let the hosts reach their runners and send for some time."""
    context.healed_at = context.crash.clock.seconds()
    for index in context.cut_hosts:
        context.crash.world.ways[index].heal()
    context.requests.run(LAST_S, context.per_s, 0.0)
    context.crash.world.run(LAST_S)


@when(
    '{count:d} hosts lose all runners for {seconds:d} s and connections'
    ' {manner}'
)
def cut_for_long(context: Any, count: int, seconds: int, manner: str) -> None:
    """Cut hosts off, send requests and heal the cut."""
    cut_off(context, count, manner)
    context.requests.run(seconds, context.per_s, 0.0)
    heal(context)


@when('a helper {what} while 3 hosts are without runners for 12 s')
def cut_with_helper(context: Any, what: str) -> None:
    """Cut hosts off, and let another host fail in the middle."""
    cut_off(context, 3, 'reset')
    context.requests.run(CUT_S / 2, context.per_s, 0.0)
    world = context.crash.world
    if what == 'is killed':
        world.kill(4)
    elif what == 'freezes':
        world.freeze(4)
    elif what == 'leaves':
        world.hosts[4].leave()
    else:
        world.ways[4].cut_off(lab.CutManner.HANG)
        context.cut_hosts.add(4)
    context.requests.avoided = {4}
    context.requests.run(CUT_S / 2, context.per_s, 0.0)
    heal(context)


@when(
    'stages take {stage_s:g} s and runners begin their answers after'
    ' {seconds:g} s'
)
def slow_down(context: Any, stage_s: float, seconds: float) -> None:
    """Let runners work for long on each request, as the hosts know."""
    world = context.crash.world
    limits = msgspec.structs.replace(
        relay_hosts.PREP_LIMITS, call_overhead_s=stage_s
    )
    for runner in world.network.runners.values():
        if isinstance(runner, lab.LabStageRunner):
            runner.limits = limits
    for runner in world.runners:
        runner.work_s = seconds
    for host in world.hosts:
        services = host.catalog.configuration.services
        services['prep'] = relay.ServiceSpec('prep', limits)


@when('{count:d} hosts lose all runners and connections {manner}')
def cut_for_good(context: Any, count: int, manner: str) -> None:
    """Cut hosts off and send requests for long enough to notice."""
    cut_off(context, count, manner)
    context.requests.run(4.0, context.per_s, 0.0)


def request_id_of(exchange: Any) -> str:
    """Return the id under which a caller sent a request."""
    facts = json.loads(exchange.request.header(b'facts'))
    return str(facts['request_id'])


def first_tries(
    context: Any, are_cut: bool, since: float, until: float
) -> list[Any]:
    """Return requests by whether their first try was at a cut host."""
    return [
        asked
        for asked in context.requests.asked
        if since <= asked.at < until
        and (asked.hosts[0] in context.cut_hosts) == are_cut
    ]


def share_served(found: list[Any]) -> float:
    """Return the share of first tries that were served."""
    assert len(found) >= 10, len(found)
    return sum(asked.is_first_try_served for asked in found) / len(found)


@then(
    'from {seconds:g} s on, first tries at the cut hosts are served two thirds'
    ' as often as at the others'
)
def check_shares(context: Any, seconds: float) -> None:
    """Compare the first tries during the cut."""
    span = (context.cut_at + seconds, context.healed_at)
    at_cut = share_served(first_tries(context, True, *span))
    at_others = share_served(first_tries(context, False, *span))
    assert at_cut >= MIN_SHARE_OF_OTHERS * at_others, (at_cut, at_others)


@then(
    'from {seconds:g} s on, first tries at the other hosts are served as'
    ' before'
)
def check_others(context: Any, seconds: float) -> None:
    """Look for requests of other hosts that the cut has harmed."""
    span = (context.cut_at + seconds, context.healed_at)
    failed = [
        asked.exchanges[0].body
        for asked in first_tries(context, False, *span)
        if not asked.is_first_try_served
    ]
    assert not failed, failed


@then('nothing is suspected of crashing runners')
def check_no_evidence(context: Any) -> None:
    """Look at what the hosts believe."""
    records = [
        list(host.catalog.crash_evidence.records)
        for host in context.crash.world.hosts
    ]
    assert not any(records), records


@then('no request has run twice, or was refused and has run')
def check_truth(context: Any) -> None:
    """Compare what runners ran with what callers were told."""
    runs: dict[str, int] = {}
    for runner in context.crash.world.runners:
        for arrival in runner.arrivals:
            if arrival.ran:
                name = arrival.told['id']
                runs[name] = runs.get(name, 0) + 1
    may_repeat = context.requests.route != 'job'
    for asked in context.requests.asked:
        for exchange in asked.exchanges:
            name = request_id_of(exchange)
            assert may_repeat or runs.get(name, 0) <= 1, name
            refused = exchange.status in (429, 503)
            assert not refused or name not in runs, name


@then(
    'the cut hosts serve their callers themselves, {seconds:g} s after they'
    ' have their runners back'
)
def check_healed(context: Any, seconds: float) -> None:
    """Look for requests that went to other hosts after the cut."""
    since = context.healed_at + seconds
    found = first_tries(context, True, since, context.healed_at + LAST_S)
    assert share_served(found) == 1.0
    handed = [hop.at for hop in context.crash.world.hops if hop.at >= since]
    assert not handed, handed


@then(
    'from {seconds:g} s on, requests are refused at once, with a time to come'
    ' back'
)
def check_refused(context: Any, seconds: float) -> None:
    """Look at the answers during the cut."""
    span = (context.cut_at + seconds, context.healed_at)
    found = first_tries(context, True, *span)
    slow = [
        (asked.at, first.status, first.ended_at - asked.at)
        for asked in found
        for first in asked.exchanges[:1]
        if first.status != 503
        or first.ended_at - asked.at > AT_ONCE_S
        or b'retry-after' not in dict(first.headers)
    ]
    assert not slow, slow


@when('a caller of a cut host leaves after its first event')
def leave_after_event(context: Any) -> None:
    """Let a stream begin at a helper, then close the caller's end."""
    world = context.crash.world
    asked = context.requests.send('leaver', 0)
    exchange = asked.exchanges[0]
    while not exchange.body:
        world.run(0.01)
    exchange.leave()
    context.left_at = context.crash.clock.seconds()
    context.leaver = request_id_of(exchange)
    world.run(1.0)


@then('its runner hears of it within {seconds:g} s')
def check_heard(context: Any, seconds: float) -> None:
    """Look at when the runner's connection closed."""
    [arrival] = [
        arrival
        for runner in context.crash.world.runners
        for arrival in runner.arrivals
        if arrival.told['id'] == context.leaver
    ]
    assert arrival.closed_at is not None
    assert arrival.closed_at - context.left_at <= seconds, arrival.closed_at


@when('a runner answers a request for another, and its host then reaches none')
def lose_after_run(context: Any) -> None:
    """Let all runners answer for other requests, and cut the host off."""
    world = context.crash.world
    for runner in world.runners:
        runner.script = ['foreign'] * 9
    asked = context.requests.send('once-here', 0)
    context.asked = request_id_of(asked.exchanges[0])
    world.run(0.02)
    world.ways[0].cut_off(lab.CutManner.REFUSE)
    world.run(LAST_S)


@then('the request has run at most {most:d} times')
def check_runs(context: Any, most: int) -> None:
    """Count the runs under the caller's first id."""
    runs = [
        arrival.at
        for runner in context.crash.world.runners
        for arrival in runner.arrivals
        if arrival.ran and arrival.told['id'] == context.asked
    ]
    assert runs
    assert len(runs) <= most, runs


@when('a host is handed a request by another')
def hand_over(context: Any) -> None:
    """Hand a sound request to a host that has no runner either."""
    context.hop = context.crash.world.hand(3, {})


@when('a host is handed a request with {what}')
def hand_damaged(context: Any, what: str) -> None:
    """Hand over a request whose hop is damaged or outdated."""
    changed = {
        'a newer configuration': {'version': '999999'},
        'no name of a host': {'host': ''},
        'the name of a stranger': {'host': 'stranger'},
        'no time left': {'left-ms': '0'},
        'a key that was taken since': {'key': 'taken'},
        'a time that can\'t be read': {'left-ms': 'soon'},
    }[what]
    context.hop = context.crash.world.hand(3, changed)


@then('it declines the request at once')
def check_declined(context: Any) -> None:
    """Look at the answer on the hop."""
    context.crash.world.run(AT_ONCE_S)
    assert context.hop.is_declined, context.hop
