"""Steps of hosts that are told to leave while requests come and wait."""

import itertools
import math
from typing import Any

from behave import given
from behave import then
from behave import when
import msgspec

from features.support import kept_callers
from features.support import relay_hosts
import ragwort_edge as edge
import ragwort_lab as lab
from ragwort_lab import _relay_fakes as fakes
import ragwort_relay as relay

PATHS = {
    'once': '/job/',
    'safe': '/safe/',
    'stream': '/stream/',
    'take-up': '/stream/',
    'staged': '/staged/',
}
STREAMS = ('stream', 'take-up', 'staged')
GAP_S = 0.1
# Time before the signal at which earlier requests begin.
LEAD_S = 0.4
KEY = {'access_key': 'k1'}
# Longer than any route's time limit.
LONG = 'late:60'


class LeavingWorld(relay_hosts.HostWorld):
    """Hosts that leave, with stage runners and streams of any length."""

    settings = {'streams': {'/long/': 60.0}}

    def __init__(self, count: int, grace_s: float) -> None:
        """Start hosts with so much time to leave."""
        self.grace_s = grace_s
        self.left_at = 0.0
        self.numbers = itertools.count(1)
        super().__init__(count)
        self.stage_runners = [self._add_stage(n) for n in (1, 2)]
        self.run(2.0)

    def _add_stage(self, number: int) -> lab.LabStageRunner:
        runner = lab.LabStageRunner(
            self.clock,
            f'p{number}',
            f'10.0.7.{number}:80',
            'north',
            relay_hosts.PREP_LIMITS,
        )
        self.network.runners[runner.address] = runner
        self.set_runner(runner, 'live', service='prep')
        return runner

    def script(self, target: str, step: str) -> None:
        """Let all runners answer a target by a step."""
        for runner in self.runners:
            runner.steps[target.encode()] = step

    def target(self, kind: str, work_s: float) -> tuple[str, dict[str, Any]]:
        """Return the target and facts of a request of so much work."""
        number = next(self.numbers)
        target = f'{PATHS[kind]}{number}'
        facts: dict[str, Any] = {'request_id': f'q{number}'}
        if kind == 'take-up':
            facts['last_event'] = 1
        if kind == 'staged':
            facts |= {'pieces': [2], 'piece_key': f'k{number}'}
        events = round(work_s / GAP_S) + (kind == 'take-up')
        is_stream = kind in STREAMS
        self.script(
            target, f'events:{events}' if is_stream else f'late:{work_s}'
        )
        return target, facts

    def leave(self, index: int = 0) -> None:
        """Tell a host to leave."""
        self.left_at = self.clock.seconds()
        self.hosts[index].leave()

    def run_to(self, age_s: float) -> None:
        """Run until some time after the signal."""
        self.run(self.left_at + age_s - self.clock.seconds())

    def ran(self, request_id: str) -> int:
        """Return how often runners took a request."""
        return sum(
            arrival.ran and arrival.told.get('id') == request_id
            for runner in self.runners
            for arrival in runner.arrivals
        )


@given('a host with {grace_s:g} s to leave')
def start_host(context: Any, grace_s: float) -> None:
    """Start two hosts, the first of which will leave."""
    context.world = LeavingWorld(2, grace_s)
    for runner in context.world.runners:
        runner.event_gap_s = GAP_S


@given('{count:d} hosts with {grace_s:g} s to leave and stage runners')
def start_several(context: Any, count: int, grace_s: float) -> None:
    """Start several hosts."""
    context.world = LeavingWorld(count, grace_s)


@given(
    '{count:d} hosts with {grace_s:g} s to leave, the first without runners'
)
def start_cut_off(context: Any, count: int, grace_s: float) -> None:
    """Let the first host find out that it reaches no runner."""
    context.world = world = LeavingWorld(count, grace_s)
    world.ways[0].cut_off(fakes.CutManner.REFUSE)
    for number in range(4):
        world.ask(0, f'/safe/cut-{number}', 'k1')
        world.run(0.5)


@given('{kind} requests that have taken {work_s:g} s')
def learn(context: Any, kind: str, work_s: float) -> None:
    """Let the host learn how long such requests take."""
    world = context.world
    for _ in range(5):
        target, facts = world.target(kind, work_s)
        caller = kept_callers.KeptCaller(world, 0)
        caller.send(target, **facts)
        world.run(work_s + 0.5)
        assert caller.answers()[0].is_whole
        caller.transport.loseConnection()


def _stream_until(context: Any, age_s: float) -> kept_callers.KeptCaller:
    """Return a caller whose stream ends some time after the signal."""
    world = context.world
    caller = kept_callers.KeptCaller(world, 0)
    target = f'/long/{next(world.numbers)}'
    events = round((age_s + LEAD_S) / GAP_S)
    world.script(target, f'events:{events}')
    caller.send(target, request_id=target)
    world.run(LEAD_S)
    return caller


def _come(context: Any, way: str, data: bytes, at_s: float) -> None:
    """Let a request come to a host that leaves."""
    world = context.world
    if way in ('behind a stream', 'pipelined'):
        context.caller = _stream_until(context, at_s - 0.05)
        context.earlier = 1
        world.leave()
        world.run_to(at_s - (0.3 if way == 'pipelined' else 0.0))
    elif way == 'behind a short answer':
        context.caller = _stream_until(context, at_s - 0.5)
        context.earlier = 2
        target, facts = world.target('safe', 0.1)
        world.leave()
        world.run_to(at_s - 0.3)
        context.caller.write(
            kept_callers.request_bytes(target, b'', **facts) + data
        )
        world.run_to(at_s)
        return
    elif way == 'as a late body':
        context.caller = kept_callers.KeptCaller(world, 0)
        context.earlier = 0
        for part in data[:-1], data[-1:]:
            context.caller.write(part)
            if part == data[:-1]:
                world.leave()
                for _ in range(round(at_s)):
                    world.run(at_s / round(at_s))
                    context.caller.protocol._set_timer(9.0)
        return
    else:
        world.leave()
        world.run_to(at_s)
        context.caller = kept_callers.KeptCaller(world, 0)
        context.earlier = 0
    context.caller.write(data)


@when('it leaves and a {kind} of {work_s:g} s comes {at_s:g} s later {way}')
def come(
    context: Any, kind: str, work_s: float, at_s: float, way: str
) -> None:
    """Let the host leave and send it a request."""
    world = context.world
    target, facts = world.target(kind, work_s)
    context.request_id = facts['request_id']
    data = kept_callers.request_bytes(target, b'body', **facts)
    _come(context, way, data, at_s)
    world.run_to(max(world.grace_s, at_s + work_s))


def _result(context: Any) -> str:
    """Return how the request in question ended."""
    answers = context.caller.answers()[context.earlier :]
    if not answers:
        return 'without an answer'
    answer = answers[0]
    if not answer.is_whole:
        return 'broken off' if context.caller.transport.is_reset else 'open'
    if answer.status == 503:
        assert float(answer.headers['retry-after']) >= 0.0
        assert answer.is_last
        assert context.world.ran(context.request_id) == 0
        return 'refused'
    return 'served' if answer.status == 200 else f'answered {answer.status}'


@then('the {kind} is {outcome} before the host ends')
def check_outcome(context: Any, kind: str, outcome: str) -> None:
    """Look at the answer, and when the host has ended."""
    found = _result(context)
    assert found == outcome, found
    world = context.world
    world.run_to(world.grace_s)
    assert world.stopped[0] <= world.left_at + world.grace_s
    if outcome == 'served':
        assert world.ran(context.request_id) == 1


@given('a {kind} that waits {where}')
def wait(context: Any, kind: str, where: str) -> None:
    """Send a request that gets nowhere before the host has to end."""
    world = context.world
    context.caller = kept_callers.KeptCaller(world, 0)
    context.earlier = 0
    target, facts = world.target(kind, 0.1)
    context.request_id = facts['request_id']
    if where == 'between its events':
        world.script(target, 'events:70')
        for runner in world.runners:
            runner.event_gap_s = 1.0
    elif where == 'for its stages':
        for stage_runner in world.stage_runners:
            stage_runner.silences_s = [60.0] * 9
    else:
        world.script(target, LONG)
    data = kept_callers.request_bytes(target, b'body', **facts)
    if where == 'for its body':
        data = data[:-1]
    elif where == 'for its head':
        data = data[:20]
    context.caller.write(data)
    world.run(LEAD_S)


@when('the host leaves and its time is over')
def leave_and_wait(context: Any) -> None:
    """Let the host leave; callers go on sending what they have begun."""
    world = context.world
    world.leave()
    while world.clock.seconds() < world.left_at + world.grace_s:
        if context.caller.protocol.timer is not None:
            context.caller.protocol._set_timer(9.0)
        world.run(0.5)


FAILURES = {
    'resets': 'reset',
    'breaks off behind an event': 'cut:1',
    'turns it away': 'full',
}


@when('it leaves and the runner of a {kind} {fails} 1 s later')
def fail_late(context: Any, kind: str, fails: str) -> None:
    """Let a send fail that was under way as the signal came."""
    world = context.world
    target, facts = world.target(kind, 0.1)
    context.request_id = facts['request_id']
    world.script(target, FAILURES[fails])
    for runner in world.runners:
        runner.work_s = 1.0
    context.caller = kept_callers.KeptCaller(world, 0)
    context.earlier = 0
    context.caller.send(target, **facts)
    world.leave()
    world.run_to(1.0)


@then('the {kind} ends up {outcome} within {seconds:g} s')
def check_soon(context: Any, kind: str, outcome: str, seconds: float) -> None:
    """Look at the answer soon after the failure."""
    context.world.run(seconds)
    found = _result(context)
    assert found == outcome, found


@given('{what} in series')
def change(context: Any, what: str) -> None:
    """Let other planned work come five times a second."""
    world = context.world
    host = world.hosts[0]
    sizes = itertools.cycle((8, 16, 32))

    def come() -> None:
        if what == 'reloads':
            host.reload(host.options)
        else:
            if what == 'limits':
                world.header_bytes = next(sizes) * 1024
            world.keep_keys(['k1', f'given-{next(world.numbers)}'])
        world.clock.callLater(0.2, come)

    come()


@when(
    'it leaves while {count:d} callers send requests of {work_s:g} s every'
    ' {gap_s:g} s on kept connections'
)
def keep_sending(
    context: Any, count: int, work_s: float, gap_s: float
) -> None:
    """Send each next request behind the answer before it."""
    world = context.world
    context.callers = [kept_callers.KeptCaller(world, 0) for _ in range(count)]
    context.sent = dict.fromkeys(range(count), 0)
    for round_number in range(round(world.grace_s / gap_s)):
        if round_number == 3:
            world.leave()
        for number, caller in enumerate(context.callers):
            answers = caller.answers()
            if answers and answers[-1].is_last:
                continue
            target, facts = world.target('once', work_s)
            caller.send(target, **facts)
            context.sent[number] += 1
        world.run(gap_s)
    world.run(1.0)


@then('each request is served, and no connection closes without notice')
def check_all_served(context: Any) -> None:
    """Compare answers with requests."""
    for number, caller in enumerate(context.callers):
        answers = caller.answers()
        assert len(answers) == context.sent[number]
        assert {a.status for a in answers} == {200}
        assert all(a.is_whole for a in answers)
        assert answers[-1].is_last


@when('it leaves and a caller pipelines {count:d} requests behind a stream')
def pipeline(context: Any, count: int) -> None:
    """Send several requests at once."""
    world = context.world
    caller = context.caller = _stream_until(context, 1.0)
    world.leave()
    for _ in range(count):
        target, facts = world.target('safe', 0.1)
        caller.send(target, **facts)
    world.run(4.0)


@then(
    'it gets {count:d} answers and only the last one says that the connection'
    ' closes'
)
def check_pipelined(context: Any, count: int) -> None:
    """Look at all answers behind the stream."""
    answers = context.caller.answers()[1:]
    assert [a.status for a in answers] == [200] * count, answers
    assert [a.is_last for a in answers] == [False] * (count - 1) + [True]


def _with_grace(host: edge.RelayHost, grace_s: float) -> edge.HostOptions:
    return msgspec.structs.replace(host.options, grace_s=grace_s)


@when(
    'the host leaves, is told again after 2 s and reads settings with'
    ' {grace_s:g} s'
)
def tell_again(context: Any, grace_s: float) -> None:
    """Send a second signal, and one that settings have changed."""
    world = context.world
    world.leave()
    world.run(2.0)
    host = world.hosts[0]
    host.leave()
    host.reload(_with_grace(host, grace_s))


@when('the host reads settings with {grace_s:g} s and leaves')
def reload_and_leave(context: Any, grace_s: float) -> None:
    """Change the settings just before the signal."""
    host = context.world.hosts[0]
    host.reload(_with_grace(host, grace_s))
    context.world.leave()


@when('the host notices the signal after {seconds:g} s')
def notice_late(context: Any, seconds: float) -> None:
    """Tell a busy host of a signal that came some time ago."""
    world = context.world
    world.left_at = world.clock.seconds()
    world.hosts[0].leave(world.left_at - seconds)


@then('the host ends within {seconds:g} s of the first signal')
def check_end(context: Any, seconds: float) -> None:
    """Wait for the end; no request is left without an answer."""
    world = context.world
    world.run_to(seconds)
    assert world.stopped[0] <= world.left_at + seconds
    assert _result(context) in ('answered 504', 'broken off')


@when('answers of {count:d} routes are recorded')
def record_answers(context: Any, count: int) -> None:
    """Record one answer of each route."""
    context.times = relay.AnswerTimes()
    for number in range(count):
        context.times.record(f'route-{number}', relay.Span.SEND, 1.0)


@then('the times of {count:d} are remembered, the latest among them')
def check_remembered(context: Any, count: int) -> None:
    """Look at the number of routes and at two of them."""
    times = context.times
    assert len(times.times_s) == count, len(times.times_s)
    assert times.expected_s('route-0', relay.Span.SEND) == math.inf
    assert times.expected_s('route-4999', relay.Span.SEND) < 2.0


def _leave_unknown(world: LeavingWorld, index: int) -> None:
    """Let a host leave without the others hearing of it."""
    host = world.hosts[index]
    host.members.announce = lambda wall: []
    host.members.set_accepting = lambda accepting, now: None
    world.leave(index)


@when('the second leaves unknown to the first, which is asked {count:d} times')
def hand_to_leaving(context: Any, count: int) -> None:
    """Ask the host that hands its requests to others."""
    world = context.world
    _leave_unknown(world, 1)
    context.asked = []
    for number in range(count):
        context.asked.append(world.ask(0, f'/safe/{number}', 'k1'))
        world.run(0.3)


@given('the second has answered {kind} requests within {seconds:g} s')
def learn_elsewhere(context: Any, kind: str, seconds: float) -> None:
    """Let the second host expect short answers."""
    route = PATHS[kind].strip('/')
    for span in relay.Span:
        times = context.world.hosts[1].context.answer_times
        times.record(route, span, seconds)


@when(
    'the second leaves unknown to the first, and {kind} requests of {work_s:g}'
    ' s are handed on {at_s:g} s later'
)
def hand_long(context: Any, kind: str, work_s: float, at_s: float) -> None:
    """Ask the host that hands its requests to others, late in the drain."""
    world = context.world
    for runner in world.runners:
        runner.event_gap_s = GAP_S
    target = f'/long/{next(world.numbers)}'
    world.script(target, f'events:{round(world.grace_s / GAP_S)}')
    # A host with nothing left to finish would have stopped by then.
    world.submit(1, target, {'request_id': target} | KEY)
    world.run(LEAD_S)
    _leave_unknown(world, 1)
    world.run_to(at_s)
    context.asked = []
    context.request_ids = []
    hand_over = world.hosts[0].context.hand_over
    others = [host.members.self_name for host in world.hosts[1:]]
    for _ in range(6):
        _prefer(hand_over.helpers, *others, world.clock.seconds())
        target, facts = world.target(kind, work_s)
        context.asked.append(world.submit(0, target, facts | KEY))
        context.request_ids.append(facts['request_id'])
        world.run(0.1)
    world.run_to(world.grace_s + work_s)


def _prefer(helpers: Any, first: str, second: str, now: float) -> None:
    """Let a host, whose requests are served, ask one helper first."""
    helpers.served_at['main'] = now
    helpers.declined_at.pop((first, 'main'), None)
    helpers.declined_at[second, 'main'] = now - 2.0


@then('all of them are whole and have run once')
def check_whole(context: Any) -> None:
    """Look at the answers and at what ran; the leaving host was asked."""
    world = context.world
    found = [(e.status, e.is_whole) for e in context.asked]
    assert found == [(200, True)] * len(found), found
    assert [world.ran(one) for one in context.request_ids] == [1] * len(found)
    assert any(hop.is_declined for hop in world.hops)


@then('all {count:d} are served')
def check_all(context: Any, count: int) -> None:
    """Look at the answers; the leaving host was asked, too."""
    assert [e.status for e in context.asked] == [200] * count
    assert any(hop.is_declined for hop in context.world.hops)


@when('the host that got its staged request leaves before the stages are done')
def leave_helper(context: Any) -> None:
    """Let the helper leave while no runner has the request."""
    world = context.world
    for runner in world.stage_runners:
        runner.silences_s = [world.grace_s + 0.5]
    facts = {
        'request_id': 'handed',
        'access_key': 'k1',
        'pieces': [2],
        'piece_key': 'k',
    }
    context.asked = world.submit(0, '/staged/handed', facts)
    world.run(0.2)
    helper = world.hops[-1]
    (index,) = (
        number
        for number, host in enumerate(world.hosts)
        if any(h.exchange is helper for h in host.open_requests)
    )
    world.leave(index)
    world.run_to(world.grace_s + 2.0)


@then('the request is served once')
def check_served_once(context: Any) -> None:
    """Look at the answer and the runners."""
    assert context.asked.status == 200, context.asked.status
    assert context.world.ran('handed') == 1


@when('the owner of the stage {how} while {count:d} staged requests wait')
def leave_owner(context: Any, how: str, count: int) -> None:
    """Let the owner leave while its queue is long."""
    world = context.world
    (owner,) = (
        index
        for index, host in enumerate(world.hosts)
        if host.stages.owner_candidates('prep')[0] is None
    )
    others = [n for n in range(len(world.hosts)) if n != owner]
    for runner in world.stage_runners:
        runner.silences_s = [0.4]
    context.asked = []
    for number in range(count):
        target, facts = world.target('staged', 0.1)
        index = others[number % len(others)]
        facts |= {'access_key': 'k1', 'pieces': [4]}
        context.asked.append(world.submit(index, target, facts))
    world.run(0.1)
    if how == 'leaves':
        world.leave(owner)
    else:
        _leave_unknown(world, owner)
        target, facts = world.target('staged', 0.1)
        facts |= {'access_key': 'k1', 'pieces': [4]}
        context.asked.append(world.submit(others[0], target, facts))
    world.run(6.0)
    assert not world.hosts[owner].stages.local_owner.owned
    assert owner in world.stopped


@then('all of them are served and no piece is made twice')
def check_pieces(context: Any) -> None:
    """Look at the answers and at what the stage runners made."""
    assert [e.status for e in context.asked] == [200] * len(context.asked)
    made = [m for r in context.world.stage_runners for m in r.made]
    assert len(made) == len(set(made)), made


@when('{count:d} of them leave in turn while callers keep their connections')
def leave_in_turn(context: Any, count: int) -> None:
    """Send requests of all kinds; callers go elsewhere if refused."""
    world = context.world
    context.tries = []
    callers: dict[int, Any] = {}
    kinds = itertools.cycle(['once', 'stream', 'safe', 'staged'])
    times = itertools.cycle([0.1, 1.0, 3.0, 0.5])
    for step in range(round((count + 1) * world.grace_s / GAP_S)):
        if step % round(world.grace_s / GAP_S) == 10:
            index = step // round(world.grace_s / GAP_S)
            if index < count:
                world.leave(index)
        for number in range(6):
            _go_on(context, callers, number, kinds, times)
        world.run(GAP_S)
    world.run(10.0)


def _go_on(
    context: Any, callers: dict[int, Any], number: int, kinds: Any, times: Any
) -> None:
    """Send a caller's next request once it has its answer."""
    world = context.world
    caller, sent = callers.get(number, (None, []))
    if caller is not None and len(caller.answers()) < len(sent):
        if not caller.is_closed:
            return
    answers = caller.answers() if caller else []
    if answers and not answers[-1].is_whole and not caller.is_closed:
        return
    if caller is None or caller.is_closed or answers[-1].is_last:
        for index in range(len(world.hosts)):
            try:
                caller, sent = kept_callers.KeptCaller(world, index), []
            except ConnectionRefusedError:
                continue
            break
        context.tries.append((caller, sent))
    target, facts = world.target(next(kinds), next(times))
    caller.send(target, **facts)
    sent.append(facts['request_id'])
    callers[number] = caller, sent


@then('no request is lost, and those refused are served elsewhere')
def check_none_lost(context: Any) -> None:
    """Look at each request of each connection."""
    world = context.world
    total = refused = 0
    for caller, sent in context.tries:
        answers = caller.answers()
        assert len(answers) == len(sent), (len(answers), sent)
        for answer, request_id in zip(answers, sent, strict=True):
            total += 1
            assert answer.is_whole, (answer, request_id)
            assert answer.status in (200, 503), answer
            if answer.status == 503:
                refused += 1
                assert world.ran(request_id) == 0
    assert total > 100, total
    assert refused < total / 20, (refused, total)
