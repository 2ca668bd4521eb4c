"""Steps of the relay's decisions."""

import json
import random
from typing import Any

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

import ragwort_lab as lab
import ragwort_model as model
import ragwort_relay as relay

RATIO, SLACK, WINDOW_S = 0.2, 50.0, 10.0
EXAMPLES = 60
_settings = hypothesis.settings(
    max_examples=EXAMPLES, derandomize=True, deadline=None, database=None
)


def make_route(**fields: Any) -> relay.Route:
    """Return a route with usual values."""
    values: dict[str, Any] = {
        'name': 'r',
        'host': 'one.example',
        'path_prefix': '/job/',
        'kind': relay.CallKind.REPEATABLE,
        'timeout_s': 4.0,
        'target_s': 0.5,
        'priority': 1,
        'attempts': 2,
        'shares': (relay.ServiceShare('main', 1.0),),
    }
    return relay.Route(**(values | fields))


def make_configuration(
    routes: list[relay.Route], **services: relay.BatchLimits
) -> relay.RelayConfiguration:
    """Return a configuration of routes and stage services."""
    specs = {
        name: relay.ServiceSpec(name, limits)
        for name, limits in services.items()
    }
    return relay.RelayConfiguration(
        1, tuple(routes), specs, (), relay.CallerLimits()
    )


@given('routes for "{first}" and "{second}" of host "{host}"')
def set_routes(context: Any, first: str, second: str, host: str) -> None:
    """Create two routes of one host."""
    context.configuration = make_configuration(
        [
            make_route(name=prefix, host=host, path_prefix=prefix)
            for prefix in (first, second)
        ]
    )


@then('host "{host}" and path "{path}" lead to "{name}"')
def check_route(context: Any, host: str, path: str, name: str) -> None:
    """Look a route up."""
    found = context.configuration.find_route(host, path)
    assert (found.name if found else 'none') == name, found


@then('of 4000 requests on a route split 90 to 10 about 400 go to the lesser')
def check_split(context: Any) -> None:
    """Count the choices."""
    shares = (relay.ServiceShare('a', 90.0), relay.ServiceShare('b', 10.0))
    route = make_route(shares=shares)
    chosen = [route.service_for(f'request-{n}') for n in range(4000)]
    assert 320 <= chosen.count('b') <= 480, chosen.count('b')
    assert set(chosen) == {'a', 'b'}


@then('for any load on any hosts the repeats stay within the bound')
def check_budget(context: Any) -> None:
    """Let hosts take all that they may, at any times."""
    event = strategies.tuples(
        strategies.integers(0, 3),
        strategies.floats(0, 0.5),
        strategies.integers(0, 8),
        strategies.integers(0, 12),
    )

    @_settings
    @hypothesis.given(strategies.lists(event, max_size=120))
    def hold(events: list[tuple[int, float, int, int]]) -> None:
        budgets = [relay.RetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(4)]
        now = 0.0
        requests: list[float] = []
        repeats: list[float] = []
        for budget in budgets:
            budget.on_host_count(4, now)
        for host, pause_s, asked, wanted in events:
            now += pause_s
            budgets[host].on_request('s', now, asked)
            requests += [now] * asked
            for _ in range(wanted):
                if budgets[host].take('s', now):
                    repeats.append(now)
            recent = [t for t in requests if t > now - WINDOW_S]
            spent = [t for t in repeats if t > now - WINDOW_S]
            assert len(spent) <= RATIO * len(recent) + SLACK

    hold()


@then('for any cut of a stream the same whole events come out')
def check_cutter(context: Any) -> None:
    """Cut a stream at any places."""

    @_settings
    @hypothesis.given(
        strategies.integers(0, 6),
        strategies.lists(strategies.integers(0, 200), max_size=8),
        strategies.sampled_from([b'\n', b'\r\n']),
    )
    def hold(count: int, cuts: list[int], end: bytes) -> None:
        whole = [
            b'id: %d%sdata: x%s%s' % (n, end, end, end)
            for n in range(1, count + 1)
        ]
        stream = b''.join(whole) + b'id: 99' + end + b'da'
        splitter = relay.EventSplitter()
        at = 0
        found: list[relay.StreamEvent] = []
        for cut in sorted(cuts):
            found += splitter.feed(stream[at:cut])
            at = max(at, min(cut, len(stream)))
        found += splitter.feed(stream[at:])
        assert [event.data for event in found] == whole
        assert [event.event_id for event in found] == list(range(1, count + 1))

    hold()


@then('events 1 2 2 3 pass as 1 2 3 and a step to 5 is an error')
def check_progress(context: Any) -> None:
    """Offer events in turn."""
    progress = relay.StreamProgress(None)
    offered = [relay.StreamEvent(b'', number) for number in (1, 2, 2, 3)]
    passed = [e.event_id for e in offered if progress.accept(e)]
    assert passed == [1, 2, 3], passed
    try:
        progress.accept(relay.StreamEvent(b'', 5))
    except ValueError:
        return
    raise AssertionError('a gap passed')


@then('for any stage graph every piece gets exactly the results it needs')
def check_stages(context: Any) -> None:
    """Make the stages of random graphs in random order."""

    @_settings
    @hypothesis.given(strategies.randoms(use_true_random=False))
    def hold(rng: random.Random) -> None:
        count = rng.randint(1, 5)
        specs = [
            relay.StageSpec(
                f's{index}',
                tuple(sorted(rng.sample(range(index), rng.randint(0, index)))),
                1.0,
            )
            for index in range(count)
        ]
        pieces = [rng.randint(0, 4) for _ in range(count)]
        run = relay.StageRun('r', specs, pieces, 'key')
        made: set[tuple[int, int]] = set()
        open_work: list[relay.PieceWork] = []
        while not run.is_done:
            for stage in run.ready():
                run.start(stage, 0.0)
                open_work += run.work(stage)
            work = open_work.pop(rng.randrange(len(open_work)))
            needed = specs[work.stage].after
            expected = [
                f'{stage}/{piece}'
                for stage in needed
                for piece in range(pieces[stage])
            ]
            assert list(work.inputs) == expected
            assert (work.key is None) == bool(needed)
            assert (work.stage, work.piece) not in made
            made.add((work.stage, work.piece))
            handle = f'{work.stage}/{work.piece}'
            run.add_result(work.stage, work.piece, handle)
        assert len(made) == sum(pieces)
        last = [s for s in range(count) if s not in run.stages_with_dependents]
        assert run.main_call_inputs() == [
            f'{stage}/{piece}'
            for stage in last
            for piece in range(pieces[stage])
        ]

    hold()


def entry_text(**fields: Any) -> str:
    """Return a runner's entry in the lab's form."""
    values = {
        'service': 'main',
        'address': '10.0.0.1:80',
        'domain': 'north',
        'state': 'live',
        'born': 1,
        'slots': 4,
    }
    return json.dumps(values | fields)


@given('a fleet with runner "{name}" born at {born:d}')
def set_fleet(context: Any, name: str, born: int) -> None:
    """Create a catalog with one runner."""
    world = lab.RelayWorld(hosts=1)
    context.catalog = world.hosts[0].catalog
    item = model.StoredObject(f'runner/{name}', 1, entry_text(born=born))
    context.catalog.apply(item)
    context.runner = context.catalog.fleet.runners[f'runner/{name}']
    context.runner.slowness = 9.0


@when('its entry comes again born at {born:d}')
def start_again(context: Any, born: int) -> None:
    """Apply the entry of a new incarnation."""
    name = context.runner.name
    item = model.StoredObject(name, 2, entry_text(born=born))
    context.catalog.apply(item)


@when('its entry comes born at {born:d}, then after {s:g} s born at {late:d}')
def replace_late(context: Any, born: int, s: float, late: int) -> None:
    """Apply an entry of a later start, and another one behind it."""
    start_again(context, born)
    context.catalog.now += s
    context.catalog.fleet.remove_expired(context.catalog.now)
    start_again(context, late)


@when('{s:g} s pass')
def pass_time(context: Any, s: float) -> None:
    """Let nothing be written meanwhile."""
    context.catalog.now += s
    context.catalog.expire_runners(context.catalog.now)
    context.catalog.forget_makers(context.catalog.now)


@when('its entry is removed')
def remove_entry(context: Any) -> None:
    """Let the store delete it."""
    context.catalog.now = 0.0
    context.catalog.apply(model.StoredObject(context.runner.name, 9, None))


@then('the start at its address is {started_ms:d}')
def check_start(context: Any, started_ms: int) -> None:
    """Look at what is believed to be there."""
    address = context.runner.address
    assert context.catalog.makers.start_at(address) == started_ms


@then('the runner that is known was born at {born:d}')
def check_born(context: Any, born: int) -> None:
    """Look at the entry in use."""
    found = context.catalog.fleet.runners[context.runner.name]
    assert found.entry.started_ms == born, found.entry


@then('nothing of the first is kept')
def check_new(context: Any) -> None:
    """Compare what is known."""
    found = context.catalog.fleet.runners[context.runner.name]
    assert found is not context.runner
    assert found.slowness == 1.0
    assert found.state.calls == 0


@when('the store is back and the entry of "{name}" is gone')
def lose_entry(context: Any, name: str) -> None:
    """Remove an entry right after an outage."""
    context.catalog.now = 100.0
    context.catalog.fleet.on_store_recovered(100.0)
    context.catalog.apply(model.StoredObject(f'runner/{name}', 5, None))


@then('"{name}" is used only if nobody else is, and forgotten after 2 s')
def check_doubtful(context: Any, name: str) -> None:
    """Look at the usable runners."""
    fleet = context.catalog.fleet
    alone = [r.name for r in fleet.usable('main', 100.5)]
    assert alone == [f'runner/{name}'], alone
    other = entry_text(address='10.0.0.2:80')
    context.catalog.apply(model.StoredObject('runner/other', 6, other))
    both = [r.name for r in fleet.usable('main', 100.5)]
    assert both == ['runner/other'], both
    fleet.remove_expired(102.1)
    assert f'runner/{name}' not in fleet.runners


@when('the entry of "{name}" becomes unreadable')
def spoil_entry(context: Any, name: str) -> None:
    """Apply an entry with a state not named."""
    text = entry_text(state='odd')
    context.catalog.apply(model.StoredObject(f'runner/{name}', 2, text))


@then('no runner is usable')
def check_none(context: Any) -> None:
    """Look at the usable runners."""
    assert context.catalog.fleet.usable('main', 0.0) == []
    assert context.catalog.problems


@then('hosts that know nothing of each other choose the same engine')
def check_affinity(context: Any) -> None:
    """Choose for many sessions on three hosts."""
    world = lab.RelayWorld(hosts=3)
    world.add_scripted('engine', 5)
    homes = set()
    for session in range(40):
        chosen = set()
        for host in world.hosts:
            runners = host.catalog.fleet.usable('engine', 0.0)
            prompt = (
                relay.PromptPart('common', 2500),
                relay.PromptPart(f'session-{session}', 3800),
                relay.PromptPart(f'own-{session}-{host.name}', 2900),
            )
            host.catalog.prompt_sharing.record('class', prompt)
            runner, _ = relay.choose_by_prompt_cache(
                runners,
                prompt,
                host.catalog.prompt_sharing.home('class', prompt),
                host.catalog.prompt_cache,
                {},
                prompt[-1].part_id,
                len(world.hosts),
                0.0,
            )
            host.catalog.prompt_cache.record(runner.name, prompt)
            chosen.add(runner.name)
        assert len(chosen) == 1, (session, chosen)
        homes |= chosen
    assert len(homes) == 5, homes


@then('a forecast of 6 s with 5 s left is refused and one of 3 s admitted')
def check_admission(context: Any) -> None:
    """Decide on two forecasts, of which none meets the target."""
    rng = random.Random(1)
    timely = relay.Forecast(2.5, 2.0)
    late = relay.admit(timely, relay.Forecast(6.0, 5.0), 1.0, 5.0, rng)
    assert late.verdict == relay.Verdict.TOO_LATE
    assert 0.2 <= late.retry_after_s <= 5.2, late
    behind = relay.admit(timely, relay.Forecast(3.0, 2.0), 1.0, 5.0, rng)
    assert behind.verdict == relay.Verdict.ADMIT_LATE


@then('what can meet its target is admitted however long others wait')
def check_timely_admission(context: Any) -> None:
    """Decide on a forecast that meets the target."""
    rng = random.Random(1)
    timely = relay.Forecast(0.9, 0.4)
    decision = relay.admit(timely, relay.Forecast(9.0, 8.5), 1.0, 5.0, rng)
    assert decision.verdict == relay.Verdict.ADMIT


@given(
    'two groups with one target, '
    'of a prompt of {long:d} and of {short:d} tokens'
)
def queue_groups(context: Any, long: int, short: int) -> None:
    """Queue the short prompt's group first."""
    limits = relay.BatchLimits(2, 0.1, 0.01, 1e9, 4.0)
    context.batcher = relay.Batcher(limits)
    for name, tokens in (('short', short), ('long', long)):
        prompt = (relay.PromptPart('a', tokens),)
        due = 2.0 - relay.first_event_s(prompt)
        work = [relay.PieceWork(name, 0, piece, 'k', ()) for piece in (0, 1)]
        group = relay.PieceGroup(name, work, due, 5.0, 1, 1.0, '')
        context.batcher.add(group)


@then("the long prompt's pieces are in the first call")
def check_first(context: Any) -> None:
    """Form a call for one idle runner."""
    world = lab.RelayWorld(hosts=1)
    world.add_scripted('main', 1)
    runners = world.hosts[0].catalog.fleet.usable('main', 0.0)
    (call,) = context.batcher.next_calls(runners, 0.0)
    assert [p.work.request_id for p in call.pieces] == ['long', 'long']


@then('50 refusals give at least 40 different times to come back')
def check_spread(context: Any) -> None:
    """Count the times."""
    rng = random.Random(1)
    times = {round(relay.retry_after_s(1.0, rng), 3) for _ in range(50)}
    assert len(times) >= 40, times
    assert all(0.5 <= time <= 1.5 for time in times)
