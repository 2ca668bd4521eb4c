"""Steps of stage runners that give the handles of an earlier start again."""

import collections
import json
from typing import Any

from behave import given
from behave import then
from behave import when
import msgspec

from features.steps import relay_decision_steps
import ragwort_edge as edge
import ragwort_lab as lab
from ragwort_lab import _relay_fakes as fakes
import ragwort_model as model
import ragwort_relay as relay

QUICK = relay.BatchLimits(4, 0.05, 0.01, 1e9, 4.0)
SLOW = relay.BatchLimits(6, 0.4, 0.05, 1e9, 4.0)
ROUTE_S = 8.0
# Time for which a result of the first stage lives behind its call.
LIFE_S = QUICK.result_ttl_s + QUICK.duration_s(QUICK.max_pieces)
# Time for which a main call waits at its runner.
ROOM_S = 1.0
TARGET_S = 4.0
PIECES = 2
FIRST_START_S = 1.0
START_GAP_S = 0.4
DOWN_S = 0.2
STARTS_PER_RUNNER = 4
FIRST_BORN_MS = 10_000_000
CLOCK_STEP_MS = 100_000


class Shelf:
    """Whose results lie under which handles, and since when."""

    def __init__(self) -> None:
        """Start empty."""
        self.held: dict[str, str] = {}
        self.history: dict[str, list[tuple[float, str]]] = (
            collections.defaultdict(list)
        )

    def put(self, handle: str, request_id: str, now: float) -> None:
        """Keep a result of a request."""
        self.held[handle] = request_id
        self.history[handle].append((now, request_id))

    def is_foreign(self, handle: str, request_id: str, at: float) -> bool:
        """Tell whether a handle had come to be another request's."""
        owners = [one for since, one in self.history[handle] if since <= at]
        return bool(owners) and owners[-1] != request_id


class CountingRunner(lab.LabStageRunner):
    """Numbers its results from 1 at each start."""

    shelf: Shelf

    def _make(self, item: dict[str, Any]) -> tuple[str, str | None]:
        if not all(handle in self.shelf.held for handle in item['inputs']):
            return 'gone', None
        result, handle = super()._make(item)
        if handle is not None:
            now = self.clock.seconds()
            self.shelf.put(handle, item['request_id'], now)
        return result, handle

    def end(self, network: Any) -> None:
        """End without a word; the results end as well."""
        del network.runners[self.address]
        for handle in list(self.shelf.held):
            if handle.startswith(self.address + '/'):
                del self.shelf.held[handle]
        self.results.clear()
        self.waiting.clear()
        network.end_connections(self.address)

    def start(self, network: Any, born: int) -> None:
        """Begin anew."""
        self.born = born
        self.count = 0
        self.is_busy = False
        network.runners[self.address] = self


class WaitingRunner(lab.ScriptedRunner):
    """Fetches the inputs of a main call once it has room for it."""

    shelf: Shelf

    def __init__(self, *more: Any) -> None:
        super().__init__(*more)
        self.events = 3
        # The time, the request and the handle of each input.
        self.fetched: list[tuple[float, str, str]] = []

    def serve(self, request: edge.HttpRequest, open_call: Any) -> None:
        self.clock.callLater(ROOM_S, self._fetch, request, open_call)

    def _fetch(self, request: edge.HttpRequest, call: Any) -> None:
        if call.is_over:
            return
        told = json.loads(request.header(b'call') or b'{}')
        now = self.clock.seconds()
        self.fetched += [(now, told['id'], one) for one in told['inputs']]
        if all(handle in self.shelf.held for handle in told['inputs']):
            super().serve(request, call)
        else:
            call.respond(409, ((b'not-run', b'1'),))


def _add(
    world: Any, shelf: Shelf, service: str, limits: Any, count: int
) -> list[CountingRunner]:
    runners = []
    for index in range(count):
        runner = CountingRunner(
            world.clock,
            f'{service}-{index}',
            f'10.0.0.{len(world.network.runners) + 1}:80',
            'north',
            limits,
        )
        runner.shelf = shelf
        runner.born = 1
        world.add_runner(runner, service, slots=1)
        runners.append(runner)
    return runners


@given(
    '{hosts:d} hosts and {count:d} stage runners that number their results'
    ' from 1 at each start'
)
def start(context: Any, hosts: int, count: int) -> None:
    """Create a world whose first host owns the stage services."""
    context.world = world = lab.RelayWorld(hosts)
    context.shelf = Shelf()
    context.mains = world.add_scripted('main', 6)
    context.runners = _add(world, context.shelf, 'first', QUICK, count)


@given('a second stage that keeps pieces waiting')
def add_second(context: Any) -> None:
    """Let it be slower than what is asked of it."""
    world = context.world
    context.readers = _add(world, context.shelf, 'second', SLOW, 2)
    context.route = relay_decision_steps.make_route(
        stages=(
            relay.StageSpec('first', (), 1000.0),
            relay.StageSpec('second', (0,), 1000.0),
        ),
        kind=relay.CallKind.ONCE,
        attempts=1,
        timeout_s=ROUTE_S,
        target_s=TARGET_S,
    )
    world.configure(
        relay_decision_steps.make_configuration(
            [context.route], first=QUICK, second=SLOW
        )
    )


@given(
    'runners of main calls that fetch the inputs {wait_s:g} s later, for'
    ' requests that may be sent once'
)
def add_waiting_once(context: Any, wait_s: float) -> None:
    """Let no request be sent to a second runner."""
    add_waiting(context, wait_s)
    context.route = msgspec.structs.replace(
        context.route, is_resumable=False, attempts=1
    )
    context.world.configure(
        relay_decision_steps.make_configuration([context.route], first=QUICK)
    )


@given('runners of main calls that fetch the inputs {wait_s:g} s later')
def add_waiting(context: Any, wait_s: float) -> None:
    """Let them be the next to read what the first stage makes."""
    assert wait_s == ROOM_S
    world = context.world
    # Long enough for a request to meet the start of one of its makers alone.
    context.start_gap_s = ROOM_S
    context.readers, context.mains = [], []
    for index in range(6):
        runner = WaitingRunner(
            world.clock, f'engine-{index}', f'10.0.1.{index + 1}:80', 'north'
        )
        runner.shelf = context.shelf
        world.add_runner(runner, 'engine', slots=8)
        context.mains.append(runner)
    context.route = relay_decision_steps.make_route(
        shares=(relay.ServiceShare('engine', 1.0),),
        stages=(relay.StageSpec('first', (), 1000.0),),
        kind=relay.CallKind.STREAM,
        is_resumable=True,
        attempts=2,
        timeout_s=ROUTE_S,
        target_s=TARGET_S,
    )
    world.configure(
        relay_decision_steps.make_configuration([context.route], first=QUICK)
    )


@when(
    '{per_s:d} staged requests a second are sent for {seconds:d} s while each'
    ' runner starts again in turn'
)
@when('{per_s:d} staged requests come a second for {seconds:d} s')
def plan(context: Any, per_s: int, seconds: int) -> None:
    """Plan what is sent once it is known when hosts hear of starts."""
    context.per_s, context.load_s = per_s, seconds


@given('runners whose clocks are set back before each start')
def set_back(context: Any) -> None:
    """Let each start be born before the last one."""
    context.born_step = -CLOCK_STEP_MS


@given('runners whose reports tell their start')
def tell_start(context: Any) -> None:
    """Leave the runners as they are."""


@given('runners whose reports tell no start')
def tell_nothing(context: Any) -> None:
    """Let runners tell their starts in their entries alone."""
    for runner in context.runners:
        runner.tells_start = False


@when('all hosts but the owner hear of each start {lag_s:g} s later')
def play(context: Any, lag_s: float) -> None:
    """Let the owner hear of each start at once."""
    _play(context, 0.0, lag_s)


@when('no host hears of the starts, as the store is away')
def play_away(context: Any) -> None:
    """Let no entry of a start come."""
    _play(context, None, None)


@when('the hosts hear of each start {lag_s:g} s later')
def play_late(context: Any, lag_s: float) -> None:
    """Let all entries come late."""
    _play(context, lag_s, lag_s)


@when('no runner starts again')
def play_sound(context: Any) -> None:
    """Let all runners be sound."""
    _play(context, None, None, starts=0)


def _play(
    context: Any,
    owner_lag_s: float | None,
    lag_s: float | None,
    starts: int = STARTS_PER_RUNNER,
) -> None:
    """Let runners end and start, and requests come.

    Entries of starts come so long behind them, not at all if it is None.
    """
    world = context.world
    step = getattr(context, 'born_step', CLOCK_STEP_MS)
    gap_s = getattr(context, 'start_gap_s', START_GAP_S)
    for number in range(len(context.runners) * starts):
        runner = context.runners[number % len(context.runners)]
        at = FIRST_START_S + number * gap_s
        world.clock.callLater(at, runner.end, world.network)
        born = FIRST_BORN_MS + (number + 1) * step
        world.clock.callLater(
            at + DOWN_S,
            _start_again,
            context,
            runner,
            born,
            (owner_lag_s, lag_s),
        )
    context.sent = []
    for index in range(context.per_s * context.load_s):
        facts = edge.RequestMetadata(
            f'request-{index}',
            ROUTE_S,
            pieces=(PIECES,) * len(context.route.stages),
            piece_key='key',
        )
        host = world.hosts[index % len(world.hosts)]
        sent_at = world.clock.seconds()
        exchange = world.submit(host, context.route, facts)
        context.sent.append((sent_at, exchange))
        world.run(1.0 / context.per_s)
    world.run(ROUTE_S)


def _start_again(
    context: Any,
    runner: CountingRunner,
    born: int,
    lags_s: tuple[float | None, float | None],
) -> None:
    """Start a runner; its new entry is heard of before or later."""
    world = context.world
    entry = {
        'service': 'first',
        'address': runner.address,
        'domain': runner.domain,
        'state': 'live',
        'born': born,
        'slots': 1,
    }
    item = model.StoredObject(f'runner/{runner.name}', born, json.dumps(entry))
    for index, host in enumerate(world.hosts):
        delay_s = lags_s[1] if index else lags_s[0]
        if delay_s is not None:
            world.clock.callLater(delay_s, _apply, world, host, item)
    runner.start(world.network, born)


def _apply(world: Any, host: Any, item: model.StoredObject) -> None:
    host.catalog.now = world.clock.seconds()
    host.catalog.apply(item)


def _reads(context: Any) -> list[tuple[float, str, str]]:
    """Return what was read: the time, the request and the handle."""
    reads = []
    for reader in context.readers:
        for arrival in reader.arrivals:
            if arrival.request.target != b'/make':
                continue
            for item in json.loads(arrival.request.body):
                for handle in item['inputs']:
                    reads.append((arrival.at, item['request_id'], handle))
    for runner in context.mains:
        reads += getattr(runner, 'fetched', [])
        if isinstance(runner, WaitingRunner):
            continue
        for arrival in runner.arrivals:
            for handle in arrival.told['inputs']:
                reads.append((arrival.at, arrival.told['id'], handle))
    return reads


@then('no piece and no request gets a result of another request')
def check_own(context: Any) -> None:
    """Compare each input with whose result lay there at that time.

    The owner, which sends all pieces, hears of each start at once.
    """
    reads = _reads(context)
    foreign = [
        (at, request_id, handle)
        for at, request_id, handle in reads
        if context.shelf.is_foreign(handle, request_id, at)
    ]
    assert len(reads) > 100, len(reads)
    assert not foreign, (len(foreign), len(reads), foreign[:5])


@then('no piece is sent whose inputs have expired')
def check_age(context: Any) -> None:
    """Compare the age of each input with the time that results live."""
    reads = _reads(context)
    old = [
        (at, request_id, handle)
        for at, request_id, handle in reads
        if at > context.shelf.history[handle][0][0] + LIFE_S
    ]
    assert len(reads) > 100, len(reads)
    assert not old, (len(old), len(reads), old[:5])


@then('nobody frees a result of a start that is not its own')
def check_freed(context: Any) -> None:
    """Look whether what was freed had been read by its request."""
    read = {(request_id, handle) for _, request_id, handle in _reads(context)}
    freed = [
        (arrival.at, handle)
        for runner in context.runners
        for arrival in runner.arrivals
        if arrival.request.target == b'/free'
        for handle in json.loads(arrival.request.body)
    ]
    refused = {
        f'request-{index}'
        for index, (_, exchange) in enumerate(context.sent)
        if exchange.status != fakes.HTTP_OK
    }
    wrong = []
    for at, handle in freed:
        owners = [o for s, o in context.shelf.history[handle] if s <= at]
        if owners and owners[-1] not in refused:
            if (owners[-1], handle) not in read:
                wrong.append((at, handle, owners[-1]))
    assert freed
    assert not wrong, wrong[:5]


@when('the connections to one runner after the other break')
def play_breaks(context: Any) -> None:
    """Let the runners go on, and take connections at once."""
    world = context.world
    for number in range(len(context.runners) * STARTS_PER_RUNNER):
        runner = context.runners[number % len(context.runners)]
        world.clock.callLater(
            FIRST_START_S + number * START_GAP_S,
            world.network.end_connections,
            runner.address,
        )
    _play(context, None, None, starts=0)


@then('at most {share:g} of the pieces are made twice')
def check_made_once(context: Any, share: float) -> None:
    """Count what the stages' runners were asked for."""
    runners = [*context.runners, *context.readers]
    made = [
        (item['request_id'], runner in context.readers, item['piece'])
        for runner in runners
        for arrival in runner.arrivals
        if arrival.request.target == b'/make'
        for item in json.loads(arrival.request.body)
    ]
    assert len(made) > 100, len(made)
    twice = 1.0 - len(set(made)) / len(made)
    assert twice <= share, (twice, len(made))
