"""Steps of runners that fall over when they turn many requests away."""

from typing import Any

from behave import given
from behave import then
from behave import when

import ragwort_lab as lab

# Time from the first answer that tells of it until runners let fewer wait.
NOTICE_S = 3.0
LAST_S = 6.0
# Time until each host has heard from a runner that it is brittle.
SPREAD_S = 3.0


@given(
    'each runner takes {room:d} requests at a time and works {work_s:g} s on'
    ' each'
)
def set_room(context: Any, room: int, work_s: float) -> None:
    """Bound what runners take."""
    context.work_s = work_s
    for runner in context.crash.world.runners:
        runner.room, runner.work_s = room, work_s


@when(
    'runners are brittle, turn away {most:d} a second, and take {room:d} at a'
    ' time {seconds:d} s later, for {for_s:d} s'
)
def make_brittle(
    context: Any, most: int, room: int, seconds: int, for_s: int
) -> None:
    """Let runners say that they are brittle, then take fewer requests."""
    runners = context.crash.world.runners
    for runner in runners:
        runner.brittle_per_s = most
    context.requests.run(seconds, context.per_s, 0.0)
    for runner in runners:
        runner.room = room
    context.room = room * len(runners)
    context.brittle_from = context.crash.clock.seconds()
    context.requests.run(for_s - seconds, context.per_s, 0.0)
    context.brittle_until = context.crash.clock.seconds()
    context.crash.world.run(LAST_S)


@then('runners fall over at most {most:d} times')
def check_falls(context: Any, most: int) -> None:
    """Count the falls of all runners."""
    falls = [at for r in context.crash.world.runners for at in r.falls]
    assert len(falls) <= most, len(falls)


@then('sound requests are served two thirds as often as there is room')
def check_served(context: Any) -> None:
    """Compare with what the runners could have worked on."""
    share = context.requests.share_served(
        context.brittle_from, context.brittle_until
    )
    possible = min(context.room / context.work_s / context.per_s, 1.0)
    assert share >= possible * 2 / 3, (share, possible)


def hosts_that_send(world: Any) -> set[int]:
    """Return the indexes of the hosts that send to a brittle runner."""
    return {
        index
        for index, host in enumerate(world.hosts)
        for runner in host.catalog.fleet.live_runners('main')
        if not host.catalog.brittle.is_held_elsewhere(runner)
    }


@when(
    'runners are brittle and turn away {most:d} a second, and only a host that'
    ' is none of their senders reaches them, for {seconds:d} s'
)
def cut_senders(context: Any, most: int, seconds: int) -> None:
    """Tell all hosts of brittle runners, then cut off all but one host."""
    world = context.crash.world
    for runner in world.runners:
        runner.brittle_per_s = most
    context.requests.run(SPREAD_S, context.per_s, 0.0)
    others = set(range(len(world.hosts))) - hosts_that_send(world)
    left = min(others)
    context.cut_hosts = set(range(len(world.hosts))) - {left}
    context.cut_at = context.crash.clock.seconds()
    for index in context.cut_hosts:
        world.ways[index].cut_off(lab.CutManner.HANG)
    context.requests.run(seconds, context.per_s, 0.0)
    context.healed_at = context.crash.clock.seconds()
    for index in context.cut_hosts:
        world.ways[index].heal()
    context.requests.run(LAST_S, context.per_s, 0.0)


@then(
    'from {seconds:g} s on, first tries at all hosts are served at least'
    ' {most:d} in 10 times'
)
def check_all_served(context: Any, seconds: float, most: int) -> None:
    """Look at the first tries during the cut."""
    since = context.cut_at + seconds
    found = [
        asked.is_first_try_served
        for asked in context.requests.asked
        if since <= asked.at < context.healed_at
    ]
    assert len(found) >= 20, len(found)
    assert sum(found) * 10 >= len(found) * most, (sum(found), len(found))
