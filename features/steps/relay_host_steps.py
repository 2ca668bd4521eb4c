"""Steps of whole relay hosts."""

import math
import random
import subprocess
import sys
from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import limit_windows
from features.support import relay_hosts
import ragwort_edge as edge
import ragwort_membership as membership
import ragwort_model as model
import ragwort_wire as wire

ANSWER_S = 0.5
# Time before a limit must be kept, and for which it is watched.
NOTICE_S = 3.0
LIMITED_S = 20.0
SLOW_WORK_S = 0.1
# Time for all hosts to have the last of several configurations.
CATCH_UP_S = 60.0
BYTES_PER_S_PER_MBPS = 1e6 / 8
# Longer than a host's longest call to the store.
WATCH_S = 25.0


@given('{count:d} relay hosts whose store is silent')
def start_silent(context: Any, count: int) -> None:
    """Start hosts without a store."""
    context.world = relay_hosts.HostWorld(count, is_away=True)


@given('{count:d} relay hosts whose store answers')
def start_hosts(context: Any, count: int) -> None:
    """Start hosts."""
    context.world = relay_hosts.HostWorld(count)


@given(
    '{count:d} relay hosts with links of {mbps:g} Mbit/s whose store answers'
)
def start_narrow(context: Any, count: int, mbps: float) -> None:
    """Start hosts whose links to each other are narrow."""
    context.world = relay_hosts.HostWorld(
        count, link_bytes_per_s=mbps * BYTES_PER_S_PER_MBPS
    )


@given('{count:d} relay hosts that reach each other over connections')
def start_connected(context: Any, count: int) -> None:
    """Start hosts whose connections may go silent."""
    context.world = relay_hosts.HostWorld(count, has_connections=True)


@when(
    'connections of {percent:d} % of the hosts fall silent, with luck {seed:d}'
)
def silence_connections(context: Any, percent: int, seed: int) -> None:
    """Lose what connections carry from now on."""
    context.world.peer_network.silence(percent / 100, random.Random(seed))


@when(
    '{seconds:g} s later a configuration of {size_kb:d} KB withdraws key'
    ' "{key}"'
)
def withdraw_later(
    context: Any, seconds: float, size_kb: int, key: str
) -> None:
    """Withdraw a key some time later, by a configuration of some size."""
    context.world.run(seconds)
    context.world.keep_keys(['other'], size_kb * 1000)


@then('no host suspects another for the next {seconds:d} s')
def check_no_suspicion(context: Any, seconds: int) -> None:
    """Look every second at what all hosts believe of the others."""
    world = context.world
    for _ in range(seconds):
        world.run(1.0)
        known = [len(host.members.live()) for host in world.hosts]
        assert known == [len(world.hosts)] * len(world.hosts), known


@given('{count:d} relay hosts with seeds that are gone')
def start_seedless(context: Any, count: int) -> None:
    """Start hosts whose seeds don't exist."""
    seeds = ('10.9.9.1:84', '10.9.9.2:84')
    context.world = relay_hosts.HostWorld(count, seeds=seeds)


@then('each host knows {count:d} hosts within 5 s')
def check_members(context: Any, count: int) -> None:
    """Count the members once the time is over."""
    context.world.run(5.0)
    known = [len(host.members.live()) for host in context.world.hosts]
    assert known == [count] * count, known


@when('host {index:d} loses power and does not return for {seconds:d} s')
def lose_host(context: Any, index: int, seconds: int) -> None:
    """Stop a host for good."""
    context.world.stop_for_good(index)
    context.world.run(seconds)


@then('the store holds the entries of {count:d} hosts')
def check_entries(context: Any, count: int) -> None:
    """Count the entries."""
    items = context.world.objects.items
    entries = [name for name in items if name.startswith('entry-hosts/')]
    assert len(entries) == count, entries


@given('runners take {seconds:g} s')
def slow_runners(context: Any, seconds: float) -> None:
    """Slow all runners."""
    for runner in context.world.runners:
        runner.work_s = seconds


@when('a caller asks host {index:d} for "{path}" with key "{key}"')
def ask(context: Any, index: int, path: str, key: str) -> None:
    """Send a request."""
    context.asked = context.world.ask(index, path, key)
    context.world.run(ANSWER_S)


@then('it is answered {status:d}')
def check_status(context: Any, status: int) -> None:
    """Compare the status."""
    assert context.asked.status == status, context.asked.status


@then('it is answered {status:d} and told when to come back')
def check_retry(context: Any, status: int) -> None:
    """Compare the status and look for the time."""
    assert context.asked.status == status, context.asked.status
    value = edge.find_header(context.asked.headers, b'retry-after')
    assert value is not None
    assert float(value) > 0


@then('host {index:d} is not ready')
def check_unready(context: Any, index: int) -> None:
    """Look at the readiness."""
    assert not context.world.hosts[index].is_ready


@when('the store turns host {index:d} away and key "{key}" is withdrawn')
def withdraw(context: Any, index: int, key: str) -> None:
    """Withdraw a key that one host can't read of."""
    context.world.turn_away(index)
    context.world.keep_keys(['other'])


@when('the store turns host {index:d} away and runner "{name}" is leaving')
def drain_runner(context: Any, index: int, name: str) -> None:
    """Let a runner leave that one host can't read of."""
    world = context.world
    world.turn_away(index)
    (leaving,) = (r for r in world.runners if r.name == name)
    world.set_runner(leaving, 'leaving')


@when(
    'the store falls silent for {count:d} hosts, the first watchers among them'
)
def silence_store(context: Any, count: int) -> None:
    """Let hosts wait for answers that never come.

    Three of them watch, whichever and however many others do.
    """
    world = context.world
    # Every host watches while it knows few others; those calls are over.
    world.run(WATCH_S)

    def watches(host: edge.RelayHost) -> bool:
        return membership.is_elected(
            host.members, 'store-watcher', 3, host.options.host.region
        )

    hosts = range(len(world.hosts))
    order = sorted(hosts, key=lambda index: not watches(world.hosts[index]))
    for index in order[:count]:
        world.objects.ways[index].is_silent = True


@when(
    'the store loses the answers to all open watches and key "{key}" '
    'is withdrawn'
)
def lose_watches(context: Any, key: str) -> None:
    """Change the keys once no open watch can bring the change."""
    world = context.world
    world.run(WATCH_S)
    for way in world.objects.ways:
        way.lose_watches()
    world.keep_keys(['other'])


@when('key "{key}" is withdrawn')
def withdraw_key(context: Any, key: str) -> None:
    """Leave only another key."""
    context.world.keep_keys(['other'])


@when('the store turns host {index:d} away for 3 s and nothing changes')
def turn_away_for_a_while(context: Any, index: int) -> None:
    """Let a host reach the store no more, then again."""
    context.world.turn_away(index)
    context.world.run(3.0)
    context.world.let_in(index)


@then('host {index:d} knows within 2 s that the store is back')
def check_back(context: Any, index: int) -> None:
    """Look at the watchers and the fleet."""
    host = context.world.hosts[index]
    assert any(w.is_store_unavailable for w in host.watchers.values())
    back_by = context.world.clock.seconds() + 2.0
    context.world.run(2.0)
    assert not any(w.is_store_unavailable for w in host.watchers.values())
    back_at = host.catalog.fleet.store_recovered_at
    assert back_at is not None
    assert back_at <= back_by


@when('key "{key}" is withdrawn and a peer repeats the first version')
def repeat_old(context: Any, key: str) -> None:
    """Push the first version again after a newer one."""
    world = context.world
    old = world.objects.items['config/main']
    world.keep_keys(['other'])
    world.run(1.0)
    push = model.StatePush([old], True)
    for host in world.hosts:
        host._on_message('10.0.1.1:84', push, world.clock.seconds(), 0.0)


@then('within {seconds:g} s every host answers key "{key}" with {status:d}')
def check_keys(context: Any, seconds: float, key: str, status: int) -> None:
    """Ask every host once the time is over."""
    world = context.world
    world.run(seconds)
    asked = [world.ask(n, '/job/1', key) for n in range(len(world.hosts))]
    world.run(ANSWER_S)
    assert [e.status for e in asked] == [status] * len(asked)


@then('within {seconds:g} s no host sends to runner "{name}"')
def check_drained(context: Any, seconds: float, name: str) -> None:
    """Ask every host several times and look at the runner."""
    world = context.world
    (leaving,) = (r for r in world.runners if r.name == name)
    world.run(seconds)
    before = len(leaving.arrivals)
    for index in range(len(world.hosts)):
        for _ in range(5):
            world.ask(index, '/job/1', 'k1')
    world.run(ANSWER_S)
    assert len(leaving.arrivals) == before
    sound = sum(len(r.arrivals) for r in world.runners)
    assert sound >= 5 * len(world.hosts)


@when('the store goes away and host {index:d} starts anew')
def restart_alone(context: Any, index: int) -> None:
    """Restart a host while nobody reaches the store."""
    world = context.world
    world.objects.is_away = True
    for number in range(len(world.hosts)):
        world.turn_away(number)
    world.restart(index)
    assert not world.hosts[index].is_ready


@then('within {seconds:g} s host {index:d} is ready')
def check_ready(context: Any, seconds: float, index: int) -> None:
    """Look at the readiness once the time is over."""
    context.world.run(seconds)
    assert context.world.hosts[index].is_ready


@then('a caller with key "{key}" is answered {status:d} there')
def check_there(context: Any, key: str, status: int) -> None:
    """Ask the host that started anew."""
    asked = context.world.ask(1, '/job/1', key)
    context.world.run(ANSWER_S)
    assert asked.status == status, asked.status


@when('host {index:d} is told to leave')
def leave(context: Any, index: int) -> None:
    """Begin to leave."""
    context.world.hosts[index].leave()
    context.left_at = context.world.clock.seconds()


@then('host {index:d} is not ready and no host lists it')
def check_unlisted(context: Any, index: int) -> None:
    """Ask every directory."""
    world = context.world
    world.run(ANSWER_S)
    address = world.hosts[index].options.host.caller_address
    assert not world.hosts[index].is_ready
    for host in world.hosts:
        assert address not in host.addresses('north', 'caller')


@then('the caller is answered {status:d} before host {index:d} stops')
def check_finished(context: Any, status: int, index: int) -> None:
    """Wait for the answer."""
    context.world.run(1.5)
    assert context.asked.status == status, context.asked.status
    assert index not in context.world.stopped


@then('host {index:d} stops within {seconds:d} s')
def check_stopped(context: Any, index: int, seconds: int) -> None:
    """Wait for the end."""
    context.world.run(seconds)
    assert context.world.stopped[index] - context.left_at <= seconds


@then('the directory of each host lists {count:d} addresses, "{first}" first')
def check_directory(context: Any, count: int, first: str) -> None:
    """Ask every directory."""
    world = context.world
    for host in world.hosts:
        listed = host.addresses(first, 'caller')
        assert len(listed) == len(set(listed)) == count, listed
        own = [
            h.options.host.caller_address
            for h in world.hosts
            if h.options.host.failure_domain == first
        ]
        assert listed[: len(own)] == own, listed


# Sets a timer of 0.1 s, steps the time of day back, and prints whether the
# timer has fired within half a second of the steady clock.
TIMER_SCRIPT = """
import time

real, step, fired = time.time, [0.0], []
time.time = lambda: real() + step[0]
import ragwort_peers as peers

reactor = peers.monotonic_reactor()
reactor.callLater(0.1, fired.append, True)
step[0], started = -30.0, time.monotonic()
while not fired and time.monotonic() - started < 5.0:
    reactor.iterate(0.05)
print('fired' if fired else 'held up')
"""


@when(
    'a process on the steady clock sets a timer and steps its time of day back'
)
def step_back(context: Any) -> None:
    """Run a small program of its own."""
    done = subprocess.run(
        [sys.executable, '-c', TIMER_SCRIPT], capture_output=True, text=True
    )
    context.output = done.stdout + done.stderr


@then('the timer fires in time')
def check_fired(context: Any) -> None:
    """Look at what the program said."""
    assert context.output == 'fired\n', context.output


@then('host {index:d} counts bytes of "{message}" to peers')
def check_peer_bytes(context: Any, index: int, message: str) -> None:
    """Read the counter as a scrape shows it."""
    text = context.world.hosts[index].metrics.text().decode()
    prefix = f'ragwort_peer_bytes_total{{message="{message}"}} '
    values = [
        float(line.removeprefix(prefix))
        for line in text.splitlines()
        if line.startswith(prefix)
    ]
    assert values and values[0] > 0, text


@when('configurations of {size:d} KB come every {gap_s:g} s for {for_s:g} s')
def write_configurations(
    context: Any, size: int, gap_s: float, for_s: float
) -> None:
    """Write them and note when, then let the hosts catch up.

    A configuration is late if a host has not even a newer one in force.
    """
    world = context.world
    context.written_at = {}
    context.in_force_s = {}
    began_at = world.clock.seconds()
    while len(context.in_force_s) < math.ceil(for_s / gap_s):
        now = world.clock.seconds()
        written = len(context.written_at)
        if now >= began_at + written * gap_s and written * gap_s < for_s:
            item = world.keep_keys(['k1'], size * 1000)
            context.written_at[item.version] = now
        oldest = min(world.versions_in_force())
        for version, written_at in context.written_at.items():
            if oldest >= version:
                context.in_force_s.setdefault(version, now - written_at)
        assert now < began_at + CATCH_UP_S, context.in_force_s
        world.run(relay_hosts.STEP_S)


@when('the store falls silent for {count:d} hosts that watch it')
def silence_watchers(context: Any, count: int) -> None:
    """Let some watchers hear nothing, once only the elected ones watch."""
    world = context.world
    world.run(WATCH_S)
    watching = [
        index
        for index, host in enumerate(world.hosts)
        if host._watch_turn() is not None
    ]
    assert len(watching) > count, watching
    for index in watching[:count]:
        world.objects.ways[index].is_silent = True


@then('each was in force on every host within {bound_s:g} s')
def check_in_force(context: Any, bound_s: float) -> None:
    """Compare the slowest with the bound."""
    assert max(context.in_force_s.values()) <= bound_s, context.in_force_s


def limited_runners(context: Any, who: str) -> list[Any]:
    """Return the runners that a step means."""
    runners = context.world.runners
    if who == 'every runner':
        return list(runners)
    return [runner for runner in runners if f'"{runner.name}"' in who]


@when(
    'callers send {per_s:d} requests a second and {who} names a limit of '
    '{rate:g} a second'
)
def name_limit(context: Any, per_s: int, who: str, rate: float) -> None:
    """Ask all hosts in turn; the limit holds from some seconds on."""
    world = context.world
    context.asks = relay_hosts.SteadyCallers(world, per_s)
    context.asks.run(NOTICE_S)
    context.limited = limited_runners(context, who)
    context.rate = rate
    for runner in context.limited:
        runner.limit_per_s = rate
    context.asks.run(NOTICE_S)
    context.kept_from = world.clock.seconds()
    context.asks.run(LIMITED_S)


@then('{who} gets at most one and a half times that and 5 requests in any 4 s')
def check_limit(context: Any, who: str) -> None:
    """Count the arrivals in each window that ends with one."""
    allowed = limit_windows.allowed_in_window(context.rate)
    for runner in limited_runners(context, who):
        times = [a.at for a in runner.arrivals if a.at >= context.kept_from]
        assert times, runner.name
        most = limit_windows.most_in_window(times)
        assert most <= allowed, (runner.name, most, allowed)


@then('callers were refused only if every runner names a limit')
def check_refusals(context: Any) -> None:
    """Look for refusals, and for the time to come back in each."""
    refused = [a for a in context.asks.exchanges if a.status != 200]
    if len(context.limited) < len(context.world.runners):
        assert not refused, [a.status for a in refused]
    for asked in refused:
        assert asked.status == 503, asked.status
        value = edge.find_header(asked.headers, b'retry-after')
        assert value is not None and float(value) > 0


@when(
    'it names the limit no more while the others slow down for {seconds:g} s'
)
def lift_limit(context: Any, seconds: float) -> None:
    """Let the runner answer without a limit, and make it worth a send."""
    for runner in context.world.runners:
        if runner in context.limited:
            runner.limit_per_s = None
        else:
            runner.work_s = SLOW_WORK_S
    context.asks.run(seconds)


@when('the hosts restart in turn, one every {gap_s:g} s')
def restart_in_turn(context: Any, gap_s: float) -> None:
    """Restart each host as a process that knows nothing."""
    for index in range(len(context.world.hosts)):
        context.world.restart(index)
        context.asks.run(gap_s)


@when(
    'a peer tells host {index:d} that runner "{name}" names a limit of {rate} '
    'a second'
)
def tell_limit(context: Any, index: int, name: str, rate: str) -> None:
    """Deliver a frame as a damaged peer might send it."""
    host = context.world.hosts[index]
    limit = model.RunnerLimit(f'runner/{name}', 1, float(rate), 0.0)
    data = wire.encode_peer('10.0.1.1:84', model.RunnerLimits([limit]))
    host._on_frame(wire.decode_peer(data))
    context.world.run(ANSWER_S)


@then('host {index:d} knows no limit and host {other:d} is told none')
def check_no_limit(context: Any, index: int, other: int) -> None:
    """Look at both hosts."""
    for number in (index, other):
        assert not context.world.hosts[number].catalog.rate_limits.limits


@when('a peer that {reads} compressed frames requests the configuration')
def request_configuration(context: Any, reads: str) -> None:
    """Ask host 0 as a host of either build, and keep what it sends."""
    host = context.world.hosts[0]
    context.sent = host.gossip.on_want(
        '10.0.1.1:84', model.StateWant(['config/main'], reads == 'reads')
    )


@then('it gets {frame} frame')
def check_frame(context: Any, frame: str) -> None:
    """Encode what was sent as a link does."""
    (effect,) = context.sent
    data = wire.encode_peer('a:1', effect.message, effect.is_compressed)
    plain = wire.encode_peer('a:1', effect.message)
    assert (data == plain) == (frame == 'a plain')
    assert wire.decode_peer(data).message == effect.message


@then('host {index:d} has read the entries since before its last second')
def check_readable(context: Any, index: int) -> None:
    """Look at the fleet."""
    now = context.world.clock.seconds()
    since = context.world.hosts[index].catalog.fleet.readable_since
    assert since <= now - 1.0, (since, now)


@then("host {index:d} can't read the entries")
def check_unreadable(context: Any, index: int) -> None:
    """Look at the fleet."""
    since = context.world.hosts[index].catalog.fleet.readable_since
    assert since > context.world.clock.seconds(), since


@when('the store has no object of another kind that host {index:d} reads')
def answer_nothing(context: Any, index: int) -> None:
    """Answer a read of the configuration as one of an unknown kind."""
    host = context.world.hosts[index]
    watcher = host.watchers['config/']
    watcher.pending_op = 'config:watch#odd'
    result = model.StoreResult(
        'config/' + watcher.pending_op, model.StoreStatus.NOT_FOUND
    )
    host._on_store(result)
    context.world.run(0.05)


@when('the store answers host {index:d} again')
def let_in(context: Any, index: int) -> None:
    """Let a host reach the store."""
    context.world.let_in(index)


@when('{s:g} s pass at the hosts')
def pass_time(context: Any, s: float) -> None:
    """Let the hosts go on."""
    context.world.run(s)
