"""Steps of cold runners."""

import json
import random
import re
from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import platform_steps
from features.steps import relay_decision_steps
from features.support import cold_runners
from features.support import relay_hosts
import ragwort_edge as edge
from ragwort_edge import _cold_runners
import ragwort_membership as membership
import ragwort_model as model
import ragwort_platform as platform
import ragwort_policy as policy
import ragwort_relay as relay

STEP_S = 0.01
NEVER = -1.0
WALL_S = 1000.0
LAST_S = 5.0
# Time after a cold time's end in which answers of before still come.
AFTER_S = 0.2


def make_runner(
    started_ms: int, cold_s: float | None = None, name: str = 'engine'
) -> relay.FleetRunner:
    """Return a runner as a fleet knows it."""
    runner = model.Runner(name, 'main', '10.0.0.1:80', 'north')
    entry = relay.RunnerEntry(runner, started_ms, 8, cold_s)
    return relay.FleetRunner(entry, policy.RunnerState(runner))


def make_cold_runners(per_s: float, self_name: str = '') -> relay.ColdRunners:
    """Return the cold runners of a host, with one runner in its fleet."""
    spec = relay.ServiceSpec('main', None, cold_runners.COLD_START_S, per_s)
    cold = relay.ColdRunners({'main': spec}.get, relay.Fleet())
    cold.bound = relay.ColdBound(cold_runners.OVERAGE, cold_runners.SLACK)
    cold.self_name = self_name
    return cold


@given('a service whose cold runners sustain {per_s:g} a second')
def set_service(context: Any, per_s: float) -> None:
    """Remember the rate."""
    context.per_s = per_s


@when(
    'two groups of {count:d} holders each send whenever they may, for'
    ' {seconds:d} s'
)
def send_all(context: Any, count: int, seconds: int) -> None:
    """Let each holder send as soon as it may, at most every 10 ms."""
    context.sends = [[], []]
    rng = random.Random(1)
    for group in range(2):
        names = [f'host-{group}-{index}' for index in range(count)]
        for name in names:
            cold = make_cold_runners(context.per_s, name)
            cold.holders = lambda runner, most, names=names: names
            if count == 1:
                cold._max_holders = lambda runner: 1
            context.sends[group] += holder_sends(
                cold, rng.random() * STEP_S, seconds
            )


def holder_sends(
    cold: relay.ColdRunners, offset_s: float, seconds: float
) -> list[float]:
    """Return when a holder sends that always has something to send."""
    runner = make_runner(1)
    cold.fleet.runners['engine'] = runner
    times = []
    for step in range(round(seconds / STEP_S)):
        now = offset_s + step * STEP_S
        if cold.left_s(runner, now) < 1.0:
            cold.on_domain_returned('north', now)
        if cold.wait_s(runner, now) == 0.0:
            times.append(now)
            cold.on_send(runner, now)
    return times


@then('the runner gets at most its bound in any second')
def check_bound(context: Any) -> None:
    """Count the sends of both groups."""
    most = cold_runners.most_in_a_second(context.sends[0] + context.sends[1])
    assert most <= bound(context.per_s), most
    context.seconds = 10.0


def bound(per_s: float) -> float:
    """Return what a cold runner may get in a second."""
    return cold_runners.OVERAGE * per_s + cold_runners.SLACK


@then('one group alone sends at least {least:g} a second')
def check_rate(context: Any, least: float) -> None:
    """Count the sends of one group."""
    rate_per_s = len(context.sends[0]) / context.seconds
    assert rate_per_s >= least, rate_per_s


REPORT_PATTERN = re.compile(
    r'(?P<at>[\d.]+) (?:'
    r'entry born (?P<born>-?[\d.]+) says (?P<says>\S+)'
    r'|answer (?P<answer>\S+?)(?: sent (?P<sent>[\d.]+))?'
    r'|peer (?P<peer>[\d.]+) old (?P<age>[\d.]+)'
    r'|(?P<domain>domain))'
)


@when('a host that started at 0 hears "{reports}"')
def hear(context: Any, reports: str) -> None:
    """Hand each report to the decision."""
    cold = make_cold_runners(context.per_s)
    context.cold, context.runner = cold, None
    for text in reports.split('; '):
        match = REPORT_PATTERN.fullmatch(text)
        assert match is not None, text
        report(context, cold, match, float(match['at']))


def number(text: str) -> float | None:
    """Return a number, None for '-'."""
    return None if text == '-' else float(text)


def report(
    context: Any, cold: relay.ColdRunners, match: Any, now: float
) -> None:
    """Hand over one report."""
    if match['born']:
        born = float(match['born'])
        started_ms = int((WALL_S + born) * 1000) if born else 0
        known = context.runner
        before = None if known is None else known.entry
        context.runner = make_runner(started_ms, number(match['says']))
        cold.fleet.runners['engine'] = context.runner
        cold.on_entry(context.runner, before, now, WALL_S + now)
    elif match['answer']:
        sent_at = float(match['sent'] or now - 0.1)
        cold.on_answer(context.runner, number(match['answer']), sent_at, now)
    elif match['peer']:
        started_ms = context.runner.entry.started_ms
        told = model.ColdRunner(
            'engine', started_ms, float(match['peer']), float(match['age'])
        )
        cold.merge([told], now)
    else:
        cold.on_domain_returned('north', now)
    context.heard_at = now


@then('the runner is cold until {until}')
def check_until(context: Any, until: str) -> None:
    """Ask the decision just before and after that time."""
    cold, runner = context.cold, context.runner
    now = context.heard_at
    left_s = cold.left_s(runner, now)
    expected = now if until == 'never' else float(until)
    is_over = expected <= now
    assert abs(left_s - (0.0 if is_over else expected - now)) < 0.002, left_s
    assert not cold.is_cold(runner, max(expected, now) + 0.01)
    assert is_over or cold.is_cold(runner, expected - 0.01)


@when('a host reads a runner that started 1 s ago, then the configuration')
def read_in_order(context: Any) -> None:
    """Apply both objects at second 10."""
    catalog = relay.RelayCatalog(relay_hosts.Decoder())
    catalog.cold.bound = relay.ColdBound(1.5, 5.0)
    catalog.now, catalog.wall_offset_s = 10.0, WALL_S
    entry = relay_decision_steps.entry_text(born=int((WALL_S + 9) * 1000))
    catalog.apply(model.StoredObject('runner/a', 1, entry))
    text = json.dumps({'version': 1, 'keys': [], 'cold_main': [3.0, 7.4]})
    catalog.apply(model.StoredObject('config/main', 2, text))
    context.cold, context.heard_at = catalog.cold, 10.0
    context.runner = catalog.fleet.runners['runner/a']


@when('an entry of the platform has the remaining cold time {value}')
def read_entry(context: Any, value: str) -> None:
    """Decode an entry."""
    fields = dict(platform_steps.SERVER)
    if value != 'missing':
        fields['coldRemainingMs'] = json.loads(value)
    dialect = platform.PlatformDialect()
    entry = dialect.decode_runner('servers/a', json.dumps(fields))
    context.cold_s = entry.cold_remaining_s


@when('an answer of the platform has the header Cold-Milliseconds {value}')
def read_header(context: Any, value: str) -> None:
    """Read an answer."""
    headers: edge.Headers = ()
    if value != 'missing':
        headers = ((b'cold-milliseconds', value.encode()),)
    response = edge.HttpResponse(200, headers)
    reply = platform.PlatformDialect().read_reply(response, 'r1')
    context.cold_s = reply.cold_s


@then('its runner is cold for {seconds} s more')
@then('it says that the runner is cold for {seconds} s more')
def check_cold_s(context: Any, seconds: str) -> None:
    """Compare the time in seconds."""
    assert context.cold_s == number(seconds), context.cold_s


@then(
    'a service with coldStartS {start_s:g} and coldPerS {per_s:g} is read so'
)
def check_service(context: Any, start_s: float, per_s: float) -> None:
    """Decode a configuration."""
    fields = json.loads(json.dumps(platform_steps.CONFIGURATION))
    fields['services'][0] |= {'coldStartS': start_s, 'coldPerS': per_s}
    decoded = platform.PlatformDialect().decode_configuration(
        json.dumps(fields)
    )
    spec = decoded.services[fields['services'][0]['name']]
    assert (spec.cold_start_s, spec.cold_per_s) == (start_s, per_s)


@then('the settings have a bound with bounds.coldOverage, and none without')
def check_cold_settings(context: Any) -> None:
    """Fill the template in both ways."""
    values = {'bounds.coldOverage': '1.5', 'bounds.coldSlack': '5'}
    for changes, expected in (
        (values, relay.ColdBound(1.5, 5.0)),
        ({}, None),
    ):
        content = platform_steps.template_settings(**changes)
        settings = platform.parse_settings(content, 'host.yaml')
        assert platform.host_options(settings).cold == expected


# Views of hosts.


def make_host(index: int) -> model.EntryHost:
    """Return a host's own record."""
    base = f'10.1.{index // 250}.{index % 250}'
    return model.EntryHost(
        f'host-{index}', f'{base}:81', f'{base}:84', 'north', 'here'
    )


def make_members(index: int, count: int) -> membership.Membership:
    """Return a host's view in which all hosts are there."""
    members = membership.Membership(
        make_host(index), (), random.Random(index), 0.0, 0.0
    )
    updates = [
        model.MemberUpdate(
            host.name,
            1,
            model.MemberStatus.ALIVE,
            host.caller_address,
            host.peer_address,
            'north',
            'here',
            True,
        )
        for host in map(make_host, range(count))
        if host.name != members.self_name
    ]
    members.set_accepting(True, 0.0)
    members.merge(updates, 0.0)
    return members


def lose(members: membership.Membership, name: str, now: float) -> None:
    """Let a host believe that another is down."""
    known = members.members[name].update
    members.merge(
        [
            model.MemberUpdate(
                name,
                known.incarnation,
                model.MemberStatus.DEAD,
                known.caller_address,
                known.peer_address,
                'north',
                'here',
                True,
            )
        ],
        now,
    )


@given('{count:d} hosts that know each other')
def set_views(context: Any, count: int) -> None:
    """Create the views of some hosts, as they are after a while."""
    context.members = [make_members(index, count) for index in range(count)]
    context.views = [
        _cold_runners.HostView(members, 0.0) for members in context.members
    ]
    for view in context.views:
        view.update(0.0)
        for other in context.members:
            view.on_frame(other.self_name, 3.5)
        view.update(4.0)


@when(
    'they fall apart into groups of {size:d} and each loses {rate:g} others'
    ' a second'
)
def fall_apart(context: Any, size: int, rate: float) -> None:
    """Let each host lose the hosts of other groups, one after the other."""
    rng = random.Random(5)
    count = len(context.views)
    order = list(range(count))
    rng.shuffle(order)
    place = {index: number // size for number, index in enumerate(order)}
    others = []
    for index in range(count):
        names = [i for i in range(count) if place[i] != place[index]]
        rng.shuffle(names)
        others.append(names)
    context.counts = []
    # Until each host has lost the fleet, seen about fifty times.
    batch = -(-count // 50)
    for step in range(0, count + 12 * batch, batch):
        now = 4.0 + (step + batch) / rate
        for index, view in enumerate(context.views):
            for lost in others[index][step : step + batch]:
                lose(context.members[index], f'host-{lost}', now)
            for mate in range(count):
                if place[mate] == place[index] and mate != index:
                    view.on_frame(f'host-{mate}', now - 0.1)
            view.update(now)
        context.counts.append(held_by(context.views, 'engine-1'))


def held_by(views: list[Any], runner: str) -> int:
    """Return how many hosts choose themselves as holders."""
    return sum(
        view.members.self_name
        in model.select_by_rendezvous(f'cold/{runner}', view.names, 2)
        for view in views
    )


@then('at no time more than {most:d} of them hold a runner')
def check_holders(context: Any, most: int) -> None:
    """Compare the largest count."""
    assert max(context.counts) <= most, max(context.counts)
    assert context.counts[0] >= 1, context.counts[0]


@given('{count:d} host with {seeds:d} seeds that it does not find')
def set_lone(context: Any, count: int, seeds: int) -> None:
    """Create the view of a host that knows only itself."""
    addresses = [f'10.9.0.{n}:84' for n in range(1, seeds + 1)]
    members = membership.Membership(
        make_host(0), addresses, random.Random(1), 0.0, 0.0
    )
    members.set_accepting(True, 0.0)
    context.views = [_cold_runners.HostView(members, 0.0)]


@when('{seconds:d} s pass for it')
def pass_time(context: Any, seconds: int) -> None:
    """Update the view each second."""
    for now in range(seconds):
        context.views[0].update(float(now))


@then('it holds no runner')
def check_none(context: Any) -> None:
    """Look at the view."""
    assert context.views[0].names == []


@when('the first holder of a runner is lost to the others for {seconds:d} s')
def lose_first(context: Any, seconds: int) -> None:
    """Let all others hear each other but not the holder."""
    names = context.views[0].names
    lost = model.select_by_rendezvous('cold/engine-1', names, 2)[0]
    context.views = [v for v in context.views if v.members.self_name != lost]
    for view in context.views:
        lose(view.members, lost, 5.0)
    for second in range(seconds + 1):
        now = 5.0 + second
        for view in context.views:
            for other in context.views:
                view.on_frame(other.members.self_name, now)
            view.update(now)
        if second == 0:
            assert held_by(context.views, 'engine-1') == 1


@then('the others choose {count:d} holders among themselves')
def check_count(context: Any, count: int) -> None:
    """Count the hosts that choose themselves."""
    assert held_by(context.views, 'engine-1') == count


# Whole hosts.


@given(
    '{hosts:d} hosts and {runners:d} runners that sustain {per_s:g} a second'
    ' while cold, {setting} settings, luck {seed:d}'
)
def start(
    context: Any,
    hosts: int,
    runners: int,
    per_s: float,
    setting: str,
    seed: int,
) -> None:
    """Start hosts and runners."""
    context.world = cold_runners.ColdWorld(
        hosts, runners, per_s, seed, setting == 'with'
    )
    context.world.call(1.0, 30.0)
    context.calls_from = context.world.clock.seconds()


@given('stage runners that sustain as much')
def add_stage_runners(context: Any) -> None:
    """Start them."""
    context.stage_runners = context.world.add_stage_runners()


@when('callers go on with {per_s:d} a second for {seconds:d} s')
def send_calls(context: Any, per_s: int, seconds: int) -> None:
    """Send at an even rate."""
    world = context.world
    if world.spans:
        world.run(AFTER_S)
        context.warm_from = world.clock.seconds()
        context.withheld = withheld_at(world)
    world.call(seconds, per_s)
    if world.spans:
        context.warm_until = world.clock.seconds()
        world.run(LAST_S)


def cold_calls(
    context: Any, per_s: int, seconds: int, path: str = '/safe/'
) -> None:
    """Send while runners are cold."""
    context.cold_from = context.world.clock.seconds()
    context.world.call(seconds, per_s, path)
    context.cold_until = context.world.clock.seconds()


def chosen(context: Any, names: str) -> list[Any]:
    """Return the runners with these numbers."""
    return [context.world.runners[int(n) - 1] for n in names.split()]


@when(
    'runners "{names}" start cold, and callers send {per_s:d} a second for'
    ' {seconds:d} s'
)
def start_cold(context: Any, names: str, per_s: int, seconds: int) -> None:
    """Let runners restart."""
    for runner in chosen(context, names):
        context.world.make_cold(runner)
    cold_calls(context, per_s, seconds)


@when(
    'callers send prompts with {parts} parts, {per_s:d} a second for'
    ' {seconds:d} s'
)
def send_prompts(context: Any, parts: str, per_s: int, seconds: int) -> None:
    """Send prompts of two parts that come again, or that do not."""
    world = context.world
    for _ in range(per_s * seconds):
        number = len(world.asks)
        names = ['part-1', 'part-2'] if parts == 'shared' else [f'{number}']
        prompt = [[f'{name}-{parts}', 500] for name in names]
        world.call(1.0 / per_s, per_s, prompt=prompt)


@when(
    'runner {index:d} starts cold, and callers send prompts with {parts}'
    ' parts, {per_s:d} a second for {seconds:d} s'
)
def start_cold_for_prompts(
    context: Any, index: int, parts: str, per_s: int, seconds: int
) -> None:
    """Let the runner restart that most of the prompts would go to."""
    world = context.world
    counts = [len(runner.arrivals) for runner in world.runners]
    runner = world.runners[counts.index(max(counts))]
    world.make_cold(runner, is_restart=False)
    send_prompts(context, parts, per_s, seconds)


@then('the cold runner gets {some} of them')
def check_prompts(context: Any, some: str) -> None:
    """Count what reached it while it was cold."""
    most = context.world.most_to_cold()
    assert (most > 0) == (some == 'some'), most


@then(
    'each host counts {count:d} cold runners, and some requests sent elsewhere'
)
def check_metrics(context: Any, count: int) -> None:
    """Read the metrics."""
    check_gauge(context.world, count)
    text = b''.join(host.metrics.text() for host in context.world.hosts)
    pattern = rb'withheld_from_cold_total{[^}]*elsewhere[^}]*} [1-9]'
    assert re.search(pattern, text)


@then('{seconds:d} s later each host counts {count:d} cold runners')
def check_gauge_later(context: Any, seconds: int, count: int) -> None:
    """Let time pass and read the gauge."""
    context.world.run(seconds)
    check_gauge(context.world, count)


def check_gauge(world: cold_runners.ColdWorld, count: int) -> None:
    """Compare the gauge of each host."""
    for host in world.hosts:
        assert b'ragwort_cold_runners %d.0' % count in host.metrics.text()


@when('the domain of runner {index:d} returns {how}')
def return_domain(context: Any, index: int, how: str) -> None:
    """Let all runners of a domain be cold, without a word of their own."""
    world = context.world
    domain = world.runners[index - 1].domain
    is_evacuated = how == 'from an evacuation'
    for runner in world.runners:
        if runner.domain == domain:
            world.make_cold(runner, is_written=not is_evacuated)
    for host in world.hosts if is_evacuated else ():
        host.catalog.cold.on_domain_returned(domain, world.clock.seconds())
    world.run(0.01)


@when(
    'a burst of {count:d} requests comes, and {per_s:d} a second for'
    ' {seconds:d} s'
)
def send_burst(context: Any, count: int, per_s: int, seconds: int) -> None:
    """Send many at once, then at an even rate."""
    context.cold_from = context.world.clock.seconds()
    context.world.burst(count)
    context.world.call(seconds, per_s)
    context.cold_until = context.world.clock.seconds()
    context.world.run(LAST_S)


@when(
    'runner {index:d} becomes cold, {reports}, and callers send {per_s:d} a'
    ' second for {seconds:d} s'
)
def become_cold(
    context: Any, index: int, reports: str, per_s: int, seconds: int
) -> None:
    """Let a running runner become cold."""
    options: dict[str, dict[str, Any]] = {
        'its entry and answers say so': {},
        'only its answers say so': {'is_written': False},
        'only its entry says so': {'header_s': None},
        'its answers say 1 s more': {'header_s': 1.0},
        'its entry says 0.5 s and its answers are right': {'entry_s': 0.5},
    }
    runner = context.world.runners[index - 1]
    context.world.make_cold(runner, is_restart=False, **options[reports])
    cold_calls(context, per_s, seconds)


@when('hosts are parted into {groups:d} groups for {seconds:d} s')
def part_hosts(context: Any, groups: int, seconds: int) -> None:
    """Part the hosts; nobody asks them meanwhile."""
    context.world.partition(groups)
    context.world.run(seconds)


@when(
    'hosts are {how}, runners "{names}" start cold, and callers send {per_s:d}'
    ' a second for {seconds:d} s'
)
def disturb_hosts(
    context: Any, how: str, names: str, per_s: int, seconds: int
) -> None:
    """Disturb the hosts half a second after the runners started."""
    world = context.world
    for runner in chosen(context, names):
        world.make_cold(runner)
    context.cold_from = world.clock.seconds()
    world.call(0.5, per_s)
    if how == 'killed, two of them':
        for index in (0, 3):
            world.kill_host(index)
    else:
        if how == 'restarted, each one alone':
            world.partition(len(world.hosts))
        for index in range(len(world.hosts)):
            world.restart(index)
    world.call(seconds - 0.5, per_s)
    context.cold_until = world.clock.seconds()


@when(
    'all stage runners start cold, and callers of stages send {per_s:d} a'
    ' second for {seconds:d} s'
)
def start_stages_cold(context: Any, per_s: int, seconds: int) -> None:
    """Let the stage runners restart."""
    for runner in context.stage_runners:
        context.world.make_cold(runner)
    cold_calls(context, per_s, seconds, '/staged/')
    context.world.run(LAST_S)


@then('a cold runner gets at most its bound in any second')
def check_cold(context: Any) -> None:
    """Count the requests that reached each cold runner."""
    most = context.world.most_to_cold()
    context.world.most_seen = most
    assert most <= bound(context.world.per_s), most


@then('a cold runner gets more than its bound for {per_s:g} in some second')
def check_unbound(context: Any, per_s: float) -> None:
    """Count the requests that reached the cold runner."""
    most = context.world.most_to_cold()
    assert most > bound(per_s), most


@then('hosts tell each other nothing of cold runners')
def check_silence(context: Any) -> None:
    """Look at the messages' sizes."""
    assert context.world.messages_told() == 0


@then('first tries are served as well as {share:d} in 10 of those before')
def check_served(context: Any, share: int) -> None:
    """Compare the time in which runners were cold with the one before."""
    world = context.world
    before = world.share_served(context.calls_from, context.cold_from)
    during = world.share_served(context.cold_from, context.cold_until)
    assert during * 10 >= before * share, (during, before)


@then('all first tries after the cold time are served')
def check_served_after(context: Any) -> None:
    """Look at the calls once the runners are warm."""
    share = context.world.share_served(context.warm_from, context.warm_until)
    assert share == 1.0, share


def withheld_at(world: cold_runners.ColdWorld) -> set[int]:
    """Return the hosts that keep requests from runners now."""
    now = world.clock.seconds()
    return {
        index
        for index, host in enumerate(world.hosts)
        if host.catalog.is_withheld('main', now)
    }


@then('no host withholds anything once the cold time is over')
def check_withheld(context: Any) -> None:
    """Look at all hosts just after the end."""
    assert not context.withheld, context.withheld


@then('some host still withholds requests, and none after that')
def check_withheld_longer(context: Any) -> None:
    """Look at all hosts just after the end, and once it is expired."""
    assert context.withheld
    assert not withheld_at(context.world)


@then('some stage calls reach cold runners')
def check_some(context: Any) -> None:
    """Look for any, so that the count says something."""
    assert context.world.most_to_cold() >= 1
    assert relay_hosts.PREP_LIMITS.max_pieces
