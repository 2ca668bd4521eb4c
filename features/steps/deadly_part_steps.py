"""Steps of parts of prompts that crash runners."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import deadly_parts
import ragwort_edge as edge
import ragwort_model as model
import ragwort_wire as wire

# Bounds of the users: crashes until a part counts, and requests after that.
COUNTED_CRASHES = 5
# Time for callers to get their last answers.
LAST_S = 9.0
# A refusal at once, as a caller sees it.
AT_ONCE_S = 0.05
LONG_RETRY_S = 10.0
DISTURBED_S = 20.0
RARE_PARTS = 60
STORED_PARTS = 'refused-parts/'
CRASH_GAPS_S = {
    'one after the other': 0.75,
    'three at a time': 4.5,
    'a failure domain at once': 4.5,
}


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


@given('another part crashes runners too')
def add_deadly(context: Any) -> None:
    """Let two parts be deadly."""
    context.deadly.append(f'{deadly_parts.DEADLY}-too')


def restart_between(context: Any, indexes: range, settle_s: float) -> None:
    """Restart hosts at the same time while the part is sent."""
    crash = context.crash
    crash.set_deadly(*context.deadly)
    crash.run(12.0, context.per_s, *context.deadly)
    for index in indexes:
        crash.world.restart(index)
    crash.world.run(settle_s)
    crash.run(12.0, context.per_s, *context.deadly)
    context.deadly_until = crash.clock.seconds()
    crash.world.run(LAST_S)


@when(
    'a quarter of them have a part that crashes runners, and hosts'
    ' restart one by one'
)
def restart_hosts(context: Any) -> None:
    """Restart each host while the part is sent."""
    crash = context.crash
    crash.set_deadly(*context.deadly)
    for index in range(len(crash.world.hosts)):
        crash.run(4.0, context.per_s, *context.deadly)
        crash.world.restart(index)
    context.deadly_until = crash.clock.seconds()
    crash.world.run(LAST_S)


@when(
    'a quarter of them have a part that crashes runners, and hosts'
    ' are killed, but for one'
)
def kill_hosts(context: Any) -> None:
    """Restart all hosts but the first at the same time."""
    restart_between(context, range(1, len(context.crash.world.hosts)), 0.0)


@when(
    'a quarter of them have a part that crashes runners, and hosts'
    ' are all killed'
)
def kill_all_hosts(context: Any) -> None:
    """Restart all hosts at the same time; only the store remembers."""
    restart_between(context, range(len(context.crash.world.hosts)), 2.0)


@when(
    'a host hears of two crashes, all others start anew, and it hears of a'
    ' third'
)
def start_between(context: Any) -> None:
    """Restart the others once they have told each other of two crashes."""
    world = context.crash.world
    for number, pause_s in enumerate((1.0, 6.0)):
        tell_crash(context, number)
        world.run(pause_s)
    for index in range(1, len(world.hosts)):
        world.restart(index)
    world.run(3.0)
    tell_crash(context, 2)
    world.run(2.0)


def tell_crash(context: Any, number: int) -> None:
    """Tell host 0 of the crash of a runner under the part."""
    crash = model.SuspectCrash(
        'main', deadly_parts.DEADLY, False, f'runner/x{number}', 0, 0.0, 0.1
    )
    data = wire.encode_peer('10.0.1.1:84', model.CrashNews([crash], []))
    context.crash.world.hosts[0]._on_frame(wire.decode_peer(data))


@when('a host hears of {count:d} crashes at once under the part')
def tell_at_once(context: Any, count: int) -> None:
    """Tell one host, and let it tell the others."""
    for number in range(count):
        tell_crash(context, number)
    context.crash.world.run(3.0)


@when(
    'the part is answered, and a host hears of {count:d} crashes at once'
    ' under it'
)
def tell_after_answer(context: Any, count: int) -> None:
    """Let each host answer a request with the part before."""
    for _ in range(4 * len(context.crash.world.hosts)):
        context.crash.send(deadly_parts.DEADLY)
    context.crash.world.run(3.0)
    tell_at_once(context, count)


@then('every host refuses the part')
def check_all_refuse(context: Any) -> None:
    """Look at what the hosts believe."""
    refused = [found.refused() for found in evidence_of(context)]
    expected = [('main', deadly_parts.DEADLY)]
    assert refused == [expected] * len(refused), refused


@when('the store returns from a copy without the part')
def restore_without(context: Any) -> None:
    """Restore the store from a copy that was made before the verdict."""
    objects = context.crash.world.objects
    revision, items = objects.copy()
    kept = {n: i for n, i in items.items() if not n.startswith(STORED_PARTS)}
    assert len(kept) == len(items) - 1
    objects.restore((revision, kept))


@then('the store holds the part again within {seconds:g} s')
def check_written(context: Any, seconds: float) -> None:
    """Look at the store once the time is over."""
    world = context.crash.world
    world.run(seconds)
    stored = [n for n in world.objects.items if n.startswith(STORED_PARTS)]
    assert len(stored) == 1, stored


@when('runners are mended and the operator removes the part from the store')
def mend_runners(context: Any) -> None:
    """Let no part be deadly any more."""
    crash = context.crash
    crash.set_deadly()
    items = crash.world.objects.items
    stored = [name for name in items if name.startswith(STORED_PARTS)]
    assert len(stored) == 1, stored
    del items[stored[0]]


@when('all hosts read their settings anew')
def reload_hosts(context: Any) -> None:
    """Let all hosts reload at about the same time."""
    world = context.crash.world
    for host in world.hosts:
        host.reload(host.options)
    world.run(2.0)


@then('requests with the part are answered')
def check_tried_again(context: Any) -> None:
    """Send some and look at their answers."""
    crash = context.crash
    found = [crash.send(deadly_parts.DEADLY) for _ in range(5)]
    crash.world.run(LAST_S)
    assert all(one.has_begun for one in found)


@when('the store holds the refused part {entry} and hosts start anew')
def store_entry(context: Any, entry: str) -> None:
    """Write an entry as a damaged writer might, and restart all hosts."""
    world = context.crash.world
    value = '' if entry == 'nothing' else entry
    world.objects.put('refused-parts/x', value)
    for index in range(len(world.hosts)):
        world.restart(index)
    world.run(3.0)


@then('every host is ready')
def check_ready(context: Any) -> None:
    """Look at the readiness."""
    assert all(host.is_ready for host in context.crash.world.hosts)


def disturb(context: Any, gap_s: float, what: Any) -> None:
    """Send sound and rare parts for 20 s and disturb runners meanwhile."""
    crash = context.crash
    until = crash.clock.seconds() + DISTURBED_S
    while crash.clock.seconds() < until:
        what()
        for _ in range(round(gap_s * context.per_s)):
            is_rare = crash.rng.random() < 0.5
            rare = f'rare-{crash.rng.randrange(RARE_PARTS)}'
            crash.send(
                rare if is_rare else crash.rng.choice(deadly_parts.SOUND_PARTS)
            )
            crash.world.run(1.0 / context.per_s)
    context.disturbed_until = crash.clock.seconds()
    crash.run(12.0, context.per_s)
    context.deadly_until = crash.clock.seconds()
    crash.world.run(LAST_S)


@when('runners crash {why} for 20 s, while 60 rare parts are sent')
def crash_runners(context: Any, why: str) -> None:
    """Crash runners whatever they answer."""
    disturb(context, CRASH_GAPS_S[why], lambda: crash_some(context.crash, why))


def crash_some(crash: deadly_parts.CrashWorld, why: str) -> None:
    """Crash some of the runners that are up."""
    up = [
        runner
        for runner in crash.world.runners
        if runner.address in crash.world.network.runners
    ]
    if why == 'three at a time':
        chosen = crash.rng.sample(up, min(3, len(up)))
    elif why == 'a failure domain at once':
        domain = crash.rng.choice(up).domain if up else ''
        chosen = [runner for runner in up if runner.domain == domain]
    else:
        chosen = crash.rng.sample(up, min(1, len(up)))
    for runner in chosen:
        runner.crash()


@when(
    'connections to runners are reset for 20 s, while 60 rare parts are sent'
)
def reset_connections(context: Any) -> None:
    """Break the calls of runners that go on."""
    crash = context.crash

    def reset_some() -> None:
        for runner in crash.rng.sample(crash.world.runners, 3):
            for call in runner.calls:
                call.fail(edge.CallErrorKind.CLOSED)

    disturb(context, 0.5, reset_some)


@when(
    'runners leave and end with their calls for 20 s, while 60 rare parts'
    ' are sent'
)
def leave_with_calls(context: Any) -> None:
    """Let runners say that they leave, and end while calls go on."""
    crash = context.crash

    def leave_one() -> None:
        up = [
            runner
            for runner in crash.world.runners
            if runner.address in crash.world.network.runners
        ]
        runner = crash.rng.choice(up)
        crash.world.set_runner(runner, 'leaving')
        crash.clock.callLater(0.3, runner.crash)

    disturb(context, 2.0, leave_one)


def evidence_of(context: Any) -> list[Any]:
    """Return what each host holds against parts."""
    return [host.catalog.crash_evidence for host in context.crash.world.hosts]


@then('no part is refused')
def check_none_refused(context: Any) -> None:
    """Look at what the hosts believe and at what callers got."""
    counts = [len(found.refused()) for found in evidence_of(context)]
    assert not any(counts), counts


@then('no part is suspected')
def check_none_suspected(context: Any) -> None:
    """Look at what the hosts believe."""
    records = [len(found.records) for found in evidence_of(context)]
    assert not any(records), records


@then(
    'sound streams begin half as often as before, from {seconds:g} s after'
    ' the last crash'
)
def check_after_crashes(context: Any, seconds: float) -> None:
    """Compare the shares of sound streams that began."""
    crash = context.crash
    before = crash.share_begun(context.sound_from, context.sound_until)
    since = context.disturbed_until + seconds
    after = crash.share_begun(since, context.deadly_until)
    assert after >= before / 2, (before, after)


@when('a peer tells host 0 of three crashes with {what}')
def tell_strange(context: Any, what: str) -> None:
    """Deliver evidence as a damaged peer might send it."""
    fields = {
        'part': 'p1',
        'runner': 'runner/x',
        'start': '5',
        'age': '1.0',
        'run': '0.1',
    }
    name, _, value = what.partition(' ')
    if name == 'no':
        fields[value] = ''
    else:
        fields[name] = value
    crashes = [
        model.SuspectCrash(
            'main',
            fields['part'],
            False,
            fields['runner'] and f'{fields["runner"]}{number}',
            int(fields['start']),
            float(fields['age']),
            float(fields['run']),
        )
        for number in range(3)
    ]
    data = wire.encode_peer('10.0.1.1:84', model.CrashNews(crashes, []))
    world = context.crash.world
    world.hosts[0]._on_frame(wire.decode_peer(data))
    world.run(2.0)
