"""Steps of the fault soak and of its checks."""

from collections.abc import Callable
import subprocess
import sys
from typing import Any

from behave import given
from behave import then
from behave import when

from features.soak import clients
from features.soak import hosts
from features.soak import ledger
from features.soak import promises
from features.soak import runners
from features.soak import strange_answers
from features.support import limit_windows

RUN_TIMEOUT_S = 120.0
# The sound run's only fault was over by then.
QUIET_AT = 60.0
RUNNER = '127.0.0.1:9'


@when(
    'the soak plays seed {seed:d} with {count:d} hosts '
    'and {faults_s:d} s of faults'
)
def play(context: Any, seed: int, count: int, faults_s: int) -> None:
    """Run the soak as a process of its own."""
    run_soak(context, seed, count, faults_s)


@when(
    'the soak plays seed {seed:d} with {count:d} hosts, limits '
    'and {faults_s:d} s of faults'
)
def play_limits(context: Any, seed: int, count: int, faults_s: int) -> None:
    """Run the soak with runners that name limits."""
    run_soak(context, seed, count, faults_s, '--limits')


@when(
    'the soak plays seed {seed:d} with {count:d} hosts, silence between them '
    'and {faults_s:d} s of faults'
)
def play_severed(context: Any, seed: int, count: int, faults_s: int) -> None:
    """Run the soak with connections between hosts that fall silent."""
    run_soak(context, seed, count, faults_s, '--severed')


@when(
    'the soak plays seed {seed:d} with {count:d} hosts, notices '
    'and {faults_s:d} s of faults'
)
def play_notices(context: Any, seed: int, count: int, faults_s: int) -> None:
    """Run the soak with runners that leave or ask for pauses."""
    run_soak(context, seed, count, faults_s, '--notices')


@when(
    'the soak plays seed {seed:d} with {count:d} hosts, a deadly part '
    'and {faults_s:d} s of faults'
)
def play_deadly(context: Any, seed: int, count: int, faults_s: int) -> None:
    """Run the soak with a part of a prompt that crashes runners."""
    run_soak(context, seed, count, faults_s, '--deadly')


@when(
    'the soak plays seed {seed:d} with {count:d} hosts, a deadly request '
    'and {faults_s:d} s of faults'
)
def play_same(context: Any, seed: int, count: int, faults_s: int) -> None:
    """Run the soak with a request that crashes runners."""
    run_soak(context, seed, count, faults_s, '--same')


@when(
    'the soak plays seed {seed:d} with {count:d} hosts, brittle runners '
    'and {faults_s:d} s of faults'
)
def play_brittle(context: Any, seed: int, count: int, faults_s: int) -> None:
    """Run the soak with runners that fall over."""
    run_soak(context, seed, count, faults_s, '--brittle')


@when(
    'the soak plays seed {seed:d} with {count:d} hosts, an evacuation '
    'and {faults_s:d} s of faults'
)
def play_evacuation(
    context: Any, seed: int, count: int, faults_s: int
) -> None:
    """Run the soak with the evacuation of a domain."""
    run_soak(context, seed, count, faults_s, '--evacuation')


@when(
    'the soak plays seed {seed:d} with {count:d} hosts, lost runners '
    'and {faults_s:d} s of faults'
)
def play_stranded(context: Any, seed: int, count: int, faults_s: int) -> None:
    """Run the soak with hosts that lose all runners."""
    run_soak(context, seed, count, faults_s, '--stranded')


@when(
    'the soak plays seed {seed:d} with {count:d} hosts, silent and strange '
    'runners and {faults_s:d} s of faults'
)
def play_strange(context: Any, seed: int, count: int, faults_s: int) -> None:
    """Run the soak with silences, odd entries and others' answers."""
    options = ('--silences', '--odd', '--repeats', '--errors')
    run_soak(context, seed, count, faults_s, *options)


@when(
    'the soak plays seed {seed:d} with {count:d} hosts, versions '
    'and {faults_s:d} s of faults'
)
def play_versions(context: Any, seed: int, count: int, faults_s: int) -> None:
    """Run the soak with runners of two software versions."""
    run_soak(context, seed, count, faults_s, '--versions')


@when(
    'the soak plays seed {seed:d} with {count:d} hosts, requests late in the'
    ' grace and {faults_s:d} s of faults'
)
def play_late(context: Any, seed: int, count: int, faults_s: int) -> None:
    """Run the soak with hosts that leave under long requests."""
    run_soak(context, seed, count, faults_s, '--late')


@when(
    'the soak plays seed {seed:d} with {count:d} hosts, slow readers, streams'
    ' that outlast hosts and {faults_s:d} s of faults'
)
def play_slow(context: Any, seed: int, count: int, faults_s: int) -> None:
    """Run the soak with readers that stop and streams that grow."""
    run_soak(context, seed, count, faults_s, '--outlasting', '--slow')


@when(
    'the soak plays seed {seed:d} with {count:d} hosts, results numbered anew'
    ' and {faults_s:d} s of faults'
)
def play_renumbered(
    context: Any, seed: int, count: int, faults_s: int
) -> None:
    """Run the soak with stage runners that begin anew under their names."""
    run_soak(context, seed, count, faults_s, '--renumbered')


@when(
    'the soak plays seed {seed:d} with {count:d} hosts, late heartbeats, two'
    ' software versions and {faults_s:d} s of faults'
)
def play_late_writes(
    context: Any, seed: int, count: int, faults_s: int
) -> None:
    """Run the soak with heartbeats of before that are carried out late."""
    run_soak(context, seed, count, faults_s, '--late-writes', '--versions')


def run_soak(
    context: Any, seed: int, count: int, faults_s: int, *more: str
) -> None:
    """Run the soak as a process of its own and keep what it prints."""
    context.run = subprocess.run(
        [
            sys.executable,
            '-m',
            'features.soak',
            f'--seed={seed}',
            f'--hosts={count}',
            f'--faults-s={faults_s}',
            *more,
        ],
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
    )


@then('it ends well and says that all promises were kept')
def check_run(context: Any) -> None:
    """Look at the status and the line of the run."""
    output = context.run.stdout + context.run.stderr
    assert context.run.returncode == 0, output
    assert ': kept,' in context.run.stdout, output


def add_request(
    records: ledger.Ledger, name: str, kind: str, at: float
) -> ledger.Outcome:
    """Add a request that was served well."""
    one = ledger.Outcome(name, kind, 'host-0', 'key-0', at, at + 0.2, 200)
    one.body = clients.expected_body(one)
    records.outcomes.append(one)
    add_arrival(records, one)
    return one


def add_arrival(records: ledger.Ledger, one: ledger.Outcome) -> None:
    """Add a run of a request at a runner of its service."""
    prefix = clients.ALL_KINDS[one.kind][1]
    service = 'engine' if prefix.startswith('/stream/') else 'plain'
    records.arrivals.append(
        ledger.Arrival(
            one.request_id,
            service,
            prefix + one.request_id,
            one.asked_at + 0.1,
            True,
            RUNNER,
        )
    )


@given('the records of a sound run')
def set_records(context: Any) -> None:
    """Serve a few requests of each kind."""
    records = ledger.Ledger(quiet_at=QUIET_AT, recovered_at=QUIET_AT + 1)
    for number in range(20):
        for kind in clients.KINDS:
            add_request(records, f'{kind}-{number}', kind, 3.0 * number)
    records.key_changes.append(ledger.KeyChange('given', True, 5.0))
    records.key_changes.append(ledger.KeyChange('given', False, 20.0))
    records.exits.append(ledger.HostExit('host-1', 10.0, 13.0, 0))
    context.records = records


Defect = Callable[[ledger.Ledger], None]
DEFECTS: dict[str, Defect] = {}


def defect(name: str) -> Callable[[Defect], Defect]:
    """Register what goes wrong under a name."""

    def register(spoil: Defect) -> Defect:
        DEFECTS[name] = spoil
        return spoil

    return register


def find(records: ledger.Ledger, name: str) -> ledger.Outcome:
    """Return the outcome of a request."""
    return next(o for o in records.outcomes if o.request_id == name)


@defect("another request's answer")
def mix_answers(records: ledger.Ledger) -> None:
    """Swap the bodies of two plain requests."""
    first, second = find(records, 'safe-1'), find(records, 'safe-2')
    first.body, second.body = second.body, first.body


@defect('an input that is a result of another request')
def mix_inputs(records: ledger.Ledger) -> None:
    """Let a runner read what was made for another request."""
    records.foreign.append((f'{RUNNER}/1', 'stream-1', 'stream-2'))


@defect('an event that is left out')
def drop_event(records: ledger.Ledger) -> None:
    """Take an event out of a stream that broke off later."""
    one = find(records, 'stream-1')
    one.problem = 'closed'
    one.body = one.body.replace(runners.event_text('stream-1', 3), b'')


@defect('an event that came twice')
def double_event(records: ledger.Ledger) -> None:
    """Repeat an event of a stream that broke off later."""
    one = find(records, 'stream-1')
    one.problem = 'closed'
    text = runners.event_text('stream-1', 3)
    one.body = one.body.replace(text, text + text)


@defect('a stream that ends early as if it were whole')
def end_early(records: ledger.Ledger) -> None:
    """End a stream with its second event, without a sign of a fault."""
    one = find(records, 'stream-1')
    one.body = stream_body(one, '', 1, 2)


@defect('the head of an error in a stream that broke off')
def add_head(records: ledger.Ledger) -> None:
    """Put an answer to the resumption behind the second event."""
    one = find(records, 'stream-1')
    one.problem = 'closed'
    head = strange_answers.head('500 Internal Server Error', ())
    one.body = stream_body(one, '', 1, 2) + head


@defect('an earlier refusal behind a whole answer')
def add_refusal(records: ledger.Ledger) -> None:
    """Send a caller more than its answer."""
    headers = ((b'request-id', b'safe-1'),)
    find(records, 'safe-2').surplus = strange_answers.refusal(503, headers)


@defect('an unsafe request that ran twice')
def run_twice(records: ledger.Ledger) -> None:
    """Add a second run."""
    add_arrival(records, find(records, 'unsafe-1'))


@defect('a repeatable request that ran three times')
def run_often(records: ledger.Ledger) -> None:
    """Add two more runs."""
    add_arrival(records, find(records, 'safe-1'))
    add_arrival(records, find(records, 'safe-1'))


@defect('a refused request that ran')
def refuse_run(records: ledger.Ledger) -> None:
    """Answer a request that ran as if it had not."""
    one = find(records, 'unsafe-1')
    one.status, one.body = 503, b''


@defect('a request that got no answer')
def lose_answer(records: ledger.Ledger) -> None:
    """Let a caller wait for its whole deadline."""
    one = find(records, 'unsafe-1')
    one.status, one.body, one.problem = None, b'', 'deadline'
    one.ended_at = one.asked_at + clients.DEADLINE_S


@defect('a key that is still valid when taken')
def keep_key(records: ledger.Ledger) -> None:
    """Serve with a key well after it was taken."""
    add_request(records, 'safe-99', 'safe', 30.0).key = 'given'


@defect('a request at a runner that had reported its leaving')
def send_reported(records: ledger.Ledger) -> None:
    """Add one that came well behind the drain time."""
    records.reported.append(
        ledger.ReportedArrival('i-0001', 'host-0', 30.0, 34.0)
    )


@defect('a refusal of a key that was taken')
def refuse_key(records: ledger.Ledger) -> None:
    """Answer 503 well after a key was taken."""
    one = add_request(records, 'safe-99', 'safe', 30.0)
    one.key, one.status, one.body = 'given', 503, b''
    records.arrivals.pop()


@defect('a key that is not known when given')
def miss_key(records: ledger.Ledger) -> None:
    """Deny a key well after it was given and before it was taken."""
    one = add_request(records, 'safe-99', 'safe', 15.0)
    one.key, one.status, one.body = 'given', 401, b''


@defect('a host that learns of a key long after another')
def hear_late(records: ledger.Ledger) -> None:
    """Serve with a new key at one host and deny it at another."""
    add_request(records, 'safe-98', 'safe', 5.5).key = 'given'
    one = add_request(records, 'safe-99', 'safe', 11.0)
    one.key, one.status, one.body = 'given', 401, b''
    one.host = 'host-2'


@defect('a denied standing key')
def deny_key(records: ledger.Ledger) -> None:
    """Deny a key that always held."""
    one = find(records, 'safe-1')
    one.status, one.body = 401, b''


@defect("a request at another route's service")
def misroute(records: ledger.Ledger) -> None:
    """Run a request at a service that its route does not name."""
    records.arrivals[0].service = 'stage-a'


@defect('a hundred second sends')
def send_often(records: ledger.Ledger) -> None:
    """Send a hundred requests again that a runner had turned away."""
    for number in range(100):
        one = add_request(records, f'safe-a{number}', 'safe', 30.0)
        add_arrival(records, one)
        records.arrivals[-1].ran = False


@defect('a limited runner that gets too much')
def exceed_limit(records: ledger.Ledger) -> None:
    """Send one request more than the limit allows within 4 s."""
    allowed = int(limit_windows.allowed_in_window(1.0))
    records.limited += [
        ledger.LimitedArrival('i-0001', 1.0, 10.0 + index / 10)
        for index in range(allowed + 1)
    ]


@defect('three streams of two software versions')
def mix_versions(records: ledger.Ledger) -> None:
    """Let three callers go on at another version."""
    for number in range(3):
        first = add_request(records, f'stream-m{number}', 'stream', 30.0)
        again = add_request(records, f'stream-n{number}', 'stream', 31.0)
        again.first_attempt = first.first_attempt = first.request_id
        again.last_event = 3
        first.problem = 'closed'
        first.body = stream_body(first, 'v1', 1, 3)
        again.body = stream_body(again, 'v2', 4, runners.EVENTS)
        add_arrival(records, first)
        add_arrival(records, again)


def stream_body(
    one: ledger.Outcome, version: str, first: int, last: int
) -> bytes:
    """Return events of one software version."""
    return b''.join(
        runners.event_text(one.request_id, number, version)
        for number in range(first, last + 1)
    )


@defect('a leaving runner that gets more')
def send_to_leaving(records: ledger.Ledger) -> None:
    """Send to a runner well after it said that it leaves."""
    records.noticed.append(
        ledger.NoticedArrivals(
            'leaving', 'i-0001', 'host-0', 10.0, 99.0, [12.0, 15.0]
        )
    )


@defect('a paused runner that gets three requests')
def send_to_paused(records: ledger.Ledger) -> None:
    """Send three requests in the pause and one behind it."""
    times = [10.1, 11.0, 12.0, 12.5, 14.0]
    records.noticed.append(
        ledger.NoticedArrivals('pause', 'i-0001', 'host-0', 10.0, 13.0, times)
    )


@defect('a call to a runner of an evacuated domain')
def send_to_evacuated(records: ledger.Ledger) -> None:
    """Release results there."""
    records.evacuated.append(('i-0001', '/handles/free'))


@defect('a part that goes on crashing runners')
def crash_on(records: ledger.Ledger) -> None:
    """Crash a runner each second for fifteen seconds."""
    times = [10.0 + second for second in range(15)]
    records.deadly_crashes, records.deadly_arrivals = times, times


@defect('a request that goes on crashing runners')
def crash_on_request(records: ledger.Ledger) -> None:
    """Crash a runner each second for fifteen seconds."""
    times = [10.0 + second for second in range(15)]
    records.same_crashes, records.same_arrivals = times, times


@defect('brittle runners that fall over again and again')
def fall_over(records: ledger.Ledger) -> None:
    """Let runners fall over three times."""
    records.falls = [10.0, 14.0, 18.0]


@defect('a host without runners that serves nobody')
def strand(records: ledger.Ledger) -> None:
    """Let one host refuse all callers, and another serve its own."""
    records.strandings.append(
        ledger.Disturbance('cut', 'host-0', 100.0, 112.0)
    )
    for number in range(60):
        name = f'host-{number % 2}'
        outcome = ledger.Outcome(
            f'cut-{number}', 'safe', name, 'k', 105.0 + number / 10
        )
        outcome.ended_at = outcome.asked_at + 0.01
        outcome.status = 503
        if number % 2:
            outcome.status = 200
            outcome.body = clients.expected_body(outcome)
        records.outcomes.append(outcome)


@when('the host that reaches runners was cut off from the others')
def cut_helper(context: Any) -> None:
    """Cut it off for as long as the other one has no runners."""
    [stranding] = context.records.strandings
    cut = ledger.Disturbance('cut', 'host-1', stranding.at, stranding.until)
    context.records.cuts.append(cut)


@defect('a request that came late in the grace and was cut')
def cut_late(records: ledger.Ledger) -> None:
    """Cut a request that came 4 s after the signal."""
    one = add_request(records, 'late', 'late-stream', 14.0)
    one.host, one.problem = 'host-1', 'closed'
    one.ended_at, one.body = 17.9, b''
    records.exits.append(ledger.HostExit('host-1', 10.0, 17.9, 0))


@defect('a stream that outlasted its host and was cut')
def cut_outlasting(records: ledger.Ledger) -> None:
    """Cut a stream that came 4 s after the signal."""
    one = add_request(records, 'outlasting', 'outlasting', 14.0)
    one.host, one.problem = 'host-1', 'closed'
    one.ended_at, one.body = 17.9, b''
    records.exits.append(ledger.HostExit('host-1', 10.0, 17.9, 0))


@defect('a large answer that was cut while its caller read it')
def cut_slow_answer(records: ledger.Ledger) -> None:
    """Cut an answer behind its head."""
    one = add_request(records, 'slow', 'slow-answer', 30.0)
    one.ended_at, one.problem = 33.5, 'closed'
    one.body = one.body[:1000]


@defect('a large request that its runner read slowly and got 502')
def cut_slow_upload(records: ledger.Ledger) -> None:
    """Answer 502 after a while."""
    one = add_request(records, 'slow', 'slow-upload', 30.0)
    one.ended_at, one.status, one.body = 33.5, 502, b''


@defect('a cut answer of a runner that was silent')
def cut_silent(records: ledger.Ledger) -> None:
    """Cut a request 1.5 s after its runner fell silent."""
    end_silent(find(records, 'stream-3'), records, 1.5, 1.8).body = b''


@defect('a 502 for a request at a runner that was silent')
def fail_silent(records: ledger.Ledger) -> None:
    """Answer 502 though the runner goes on 0.3 s later."""
    one = end_silent(find(records, 'unsafe-3'), records, 1.5, 1.8)
    one.status, one.body, one.problem = 502, b'', None


@defect('a request that one silence kept until its deadline')
def lose_silent(records: ledger.Ledger) -> None:
    """Let the deadline end a stream long after its runner went on."""
    end_silent(find(records, 'stream-3'), records, 4.0, 1.7).body = b''


def end_silent(
    one: ledger.Outcome, records: ledger.Ledger, took_s: float, silent_s: float
) -> ledger.Outcome:
    """End a request early whose runner was silent from 0.1 s on."""
    at = one.asked_at + 0.1
    records.silent_calls.append(
        ledger.SilentCall(one.request_id, at, at + silent_s)
    )
    one.ended_at = one.asked_at + took_s
    one.problem = 'closed'
    return one


@when('another fault concerned its runner')
def spoil_runner(context: Any) -> None:
    """Note that its runner was not sound for a moment."""
    one = find(context.records, 'stream-3')
    context.records.unsound[RUNNER] = [one.ended_at]


@defect('a host that ends by itself')
def end_host(records: ledger.Ledger) -> None:
    """End a host with a failure that nobody told to leave."""
    records.crashes.append(ledger.HostExit('host-2', 10.0, 10.0, 1))


@defect('a host that does not leave')
def stay(records: ledger.Ledger) -> None:
    """Keep a host beyond its grace."""
    records.exits[0].gone_at = 10.0 + hosts.GRACE_S + 5.0


@defect('a host that crashes as it leaves')
def crash(records: ledger.Ledger) -> None:
    """End a leaving host with a failure."""
    records.exits[0].code = 1


@defect('a request that a leaving host cut')
def cut(records: ledger.Ledger) -> None:
    """Close a caller's connection in the middle of a request."""
    one = find(records, 'unsafe-3')
    one.host, one.asked_at, one.ended_at = 'host-1', 9.9, 10.1
    one.status, one.body, one.problem = None, b'', 'closed'


@defect('a host that serves nobody any more')
def stay_down(records: ledger.Ledger) -> None:
    """Leave the time of recovery open."""
    records.recovered_at = None
    records.unserved = [('host-1', 'safe')]


@when('{name} is in the records')
def spoil(context: Any, name: str) -> None:
    """Put a defect into the sound run."""
    DEFECTS[name](context.records)


@when('a fault concerned its host')
def disturb(context: Any) -> None:
    """Note a fault at the time of the lost answer."""
    one = find(context.records, 'unsafe-1')
    context.records.disturbances.append(
        ledger.Disturbance(
            'host-pause', one.host, one.asked_at, one.asked_at + 1.0
        )
    )


@when('its host was started just before')
def start_host(context: Any) -> None:
    """Note a start of the host that refused."""
    one = find(context.records, 'safe-99')
    context.records.starts[one.host] = [one.asked_at - 1.0]


@when('that host was started behind the report')
def start_reported_host(context: Any) -> None:
    """Note a start of the host that sent it."""
    found = context.records.reported[-1]
    context.records.starts[found.host] = [found.reported_at + 1.0]


@then('no promise is broken')
def check_kept(context: Any) -> None:
    """Check all promises."""
    broken = promises.broken_promises(context.records)
    assert not broken, broken


@then('only the promise "{name}" is broken')
def check_broken(context: Any, name: str) -> None:
    """Compare the names of the broken promises."""
    broken = promises.broken_promises(context.records)
    assert {text.partition(':')[0] for text in broken} == {name}, broken


@when('its runner had broken it off')
def note_broken_off(context: Any) -> None:
    """Let runners have cut all streams."""
    context.records.broken_off |= {
        one.request_id for one in context.records.outcomes
    }
