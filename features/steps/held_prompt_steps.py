"""Steps of held prompts that are weighed against the wait."""

import json
import math
import random
from typing import Any

from behave import then
from behave import when

from features.steps import relay_decision_steps
import ragwort_edge as edge
import ragwort_lab as lab
from ragwort_lab import _held_bench
import ragwort_model as model
import ragwort_policy as policy
import ragwort_relay as relay

SERVICE = 'engine'


def make_runner(
    name: str, domain: str = 'north', started_ms: int = 0
) -> relay.FleetRunner:
    """Return a runner that has reported nothing."""
    runner = model.Runner(name, SERVICE, '10.0.0.1:80', domain)
    entry = relay.RunnerEntry(runner, started_ms, 32)
    return relay.FleetRunner(entry, policy.RunnerState(runner))


def make_report(
    running: int = 0, pace: float | None = None
) -> model.LoadReport:
    """Return a load report with or without a pace."""
    return model.LoadReport(running, 0, 32, 0.0, False, 0, pace=pace)


@when('"{situation}" is replayed under both rules')
def replay(context: Any, situation: str) -> None:
    """Play the same requests twice."""
    context.before, context.now = (
        _held_bench.HeldReplay(situation, is_on).run()
        for is_on in (False, True)
    )


@then(
    'at most {p50:g} and {p95:g} times the median and the 95th percentile of'
    ' before remain'
)
def check_times(context: Any, p50: float, p95: float) -> None:
    """Compare the times to the first event."""
    before, now = context.before, context.now
    assert now.p50_s <= p50 * before.p50_s, (before, now)
    assert now.p95_s <= p95 * before.p95_s, (before, now)


@then(
    'the share of requests at the better of two runners changes by at least'
    ' {gain:g}'
)
def check_better(context: Any, gain: float) -> None:
    """Compare the choices by hindsight."""
    before, now = context.before, context.now
    assert now.better_share >= before.better_share + gain, (before, now)


@then('no engine has over {factor:g} times the mean load')
def check_busiest(context: Any, factor: float) -> None:
    """Look at the load."""
    assert context.now.busiest <= factor, context.now


@then(
    "at most {factor:g} times the hot part's 95th percentile of before remain"
)
def check_hot(context: Any, factor: float) -> None:
    """Compare the times of the hot part's requests."""
    before, now = context.before, context.now
    assert now.hot_p95_s <= factor * before.hot_p95_s, (before, now)


def earlier_compared(
    costs: dict[str, float], request_id: str, hosts: int
) -> set[str]:
    """Return the runners that the earlier rule compares."""
    order = model.select_by_rendezvous(request_id, costs, len(costs))
    count = max(2, math.ceil(len(order) * 8 / hosts))
    limit = min(costs.values()) + 0.0015
    cheapest = [name for name in order if costs[name] <= limit]
    return set(cheapest[:count] + order[:count])


def earlier_choice(
    runners: list[relay.FleetRunner],
    prompt: list[relay.PromptPart],
    home: relay.Home | None,
    cache: relay.PromptCacheIndex,
    input_bytes: dict[str, float],
    request_id: str,
    hosts: int,
    now: float,
) -> tuple[str, dict[str, float]]:
    """Return choice and estimates of the rule as of commit d10f63c."""
    tokens = sum(part.tokens for part in prompt)
    costs, estimates = {}, {}
    names = [runner.name for runner in runners]
    for runner in runners:
        uncached: float = cache.uncached_tokens(runner.name, prompt)
        if home is not None:
            [home_name] = model.select_by_rendezvous(home.key, names)
            if runner.name == home_name:
                uncached = min(uncached, tokens - home.cached_tokens)
        costs[runner.name] = (
            uncached * (1.0 / 75_000.0)
            + runner.state.failure_share
            + 2.7e-9
            * sum(
                size
                for domain, size in input_bytes.items()
                if domain != runner.entry.runner.failure_domain
            )
        )
        load_s = runner.state.occupancy(now) * 0.0015
        estimates[runner.name] = costs[runner.name] + load_s
    compared = earlier_compared(costs, request_id, hosts)
    tie_key = prompt[-2].part_id if len(prompt) >= 3 else request_id
    least = min(estimates[name] for name in compared)
    equal = [n for n in names if n in compared and estimates[n] == least]
    [chosen] = model.select_by_rendezvous(tie_key, equal)
    return chosen, estimates


def earlier_plain_choice(
    runners: list[relay.FleetRunner], domain: str, key: str, now: float
) -> tuple[str, dict[str, float]]:
    """Return choice and estimates by load as of commit d10f63c."""
    estimates = {}
    for runner in runners:
        state = runner.state
        busy_s = state.busy_s or 0.05
        crowd = max(1.0, (state.occupancy(now) + 1) / runner.entry.slots)
        is_remote = runner.entry.runner.failure_domain != domain
        estimates[runner.name] = (
            busy_s * crowd + state.failure_share * busy_s + 0.004 * is_remote
        )
    least = min(estimates.values())
    equal = [name for name, value in estimates.items() if value == least]
    [chosen] = model.select_by_rendezvous(key, equal)
    return chosen, estimates


@when('{count:d} choices are made with the models off')
def choose_often(context: Any, count: int) -> None:
    """Choose among runners of random loads, with what was chosen before."""
    rng = random.Random(5)
    catalog = relay.RelayCatalog(lab_decoder())
    runners = [
        make_runner(f'r-{i}', rng.choice(['north', 'south']))
        for i in range(12)
    ]
    context.pairs = []
    for number in range(count):
        now = float(number)
        runner = rng.choice(runners)
        catalog.on_load(runner, make_report(rng.randrange(40)), now)
        runner.state.on_dispatch()
        runner.state.on_result(rng.random(), rng.random(), now)
        prompt = [
            relay.PromptPart(f'part-{i}-{rng.randrange(9)}', 2000)
            for i in range(rng.randrange(1, 5))
        ]
        sharing = catalog.prompt_sharing
        sharing.hosts = rng.choice([1, 9, 200])
        sharing.record('class', prompt)
        call = (
            prompt,
            sharing.home('class', prompt),
            catalog.prompt_cache,
            {'north': rng.random() * 1e7},
            f'request-{number}',
            sharing.hosts,
            now,
        )
        models = catalog.models_for(SERVICE)
        chosen, found = relay.choose_by_prompt_cache(runners, *call, models)
        context.pairs.append(
            ((chosen.name, found), earlier_choice(runners, *call))
        )
        catalog.on_prompt_sent(chosen, prompt, now)
        plain = ('north', f'plain-{number}', now)
        chosen, found = relay.choose_by_load(runners, *plain, models)
        context.pairs.append(
            ((chosen.name, found), earlier_plain_choice(runners, *plain))
        )


def lab_decoder() -> Any:
    """Return a decoder of the stand-ins' objects."""
    return lab.RelayWorld(hosts=1).hosts[0].catalog.decoder


@then('each is the choice and has the estimates of the earlier rule')
def check_choices(context: Any) -> None:
    """Compare pair by pair."""
    assert len(context.pairs) == 800
    for found, expected in context.pairs:
        assert found == expected, (found, expected)


@when('a runner reports its load without a pace')
def report_load(context: Any) -> None:
    """Report three figures."""
    context.catalog = relay.RelayCatalog(lab_decoder())
    context.runner = make_runner('a')
    context.catalog.on_load(context.runner, make_report(3), 1.0)


@then('the models of its service are off')
def check_off(context: Any) -> None:
    """Ask for the models."""
    assert context.catalog.models_for(SERVICE) is None


@then('a pace turns them on for that service alone')
def check_on(context: Any) -> None:
    """Report a pace."""
    context.catalog.on_load(context.runner, make_report(3, 1.0), 2.0)
    assert context.catalog.models_for(SERVICE) is not None
    assert context.catalog.models_for('other') is None


@when(
    'a runner with memory for {memory:d} tokens got prompts of {tokens:d}'
    ' tokens each'
)
def fill_memory(context: Any, memory: int, tokens: int) -> None:
    """Send five prompts."""
    context.cache = relay.PromptCacheIndex()
    for number in range(5):
        part = relay.PromptPart(f'part-{number}', tokens)
        context.cache.record('a', [part], memory)
    context.models = relay.RunnerModels()
    context.models.engines[SERVICE] = relay.EngineSpec(memory)


@then('the last three are held, and one once calls take {taken:d} tokens')
def check_memory(context: Any, taken: int) -> None:
    """Look at the index, then let calls run."""
    assert list(context.cache.parts['a']) == ['part-2', 'part-3', 'part-4']
    runner = make_runner('a')
    work = relay.Work(taken / 2)
    sent = relay.SentWork(runner, work, 0.0, 0.0)
    context.models.on_first_event(sent, 0.3, 0.0)
    runner.state.inflight = 2
    context.cache.trim('a', context.models.free_tokens(runner, 0.0))
    assert list(context.cache.parts['a']) == ['part-4']
    assert context.cache.tokens['a'] == 3000


@when('a runner that holds a part starts again under its name')
def restart(context: Any) -> None:
    """Store the entry of a later start."""
    world = lab.RelayWorld(hosts=1)
    world.add_scripted(SERVICE, 2)
    catalog = context.catalog = world.hosts[0].catalog
    catalog.runner_models.is_forced = True
    runner = catalog.fleet.usable(SERVICE, 0.0)[0]
    context.part = relay.PromptPart('part', 3000)
    catalog.on_prompt_sent(runner, [context.part], 0.0)
    for _ in range(20):
        sent = relay.SentWork(runner, relay.Work(3000.0), 0.0, 0.0)
        catalog.runner_models.on_first_event(sent, 0.6, 0.0)
    assert catalog.runner_models.speed(runner) > 1.2
    entry = {
        'service': SERVICE,
        'address': runner.address,
        'domain': 'north',
        'state': 'live',
        'born': 2,
        'slots': 4,
    }
    catalog.apply(model.StoredObject(runner.name, 2, json.dumps(entry)))
    context.runner = catalog.fleet.runners[runner.name]
    assert context.runner is not runner


@then('nothing is held there and its speed is the mean')
def check_restarted(context: Any) -> None:
    """Look at the index and the model."""
    cache, name = context.catalog.prompt_cache, context.runner.name
    assert cache.uncached_tokens(name, [context.part]) == 3000
    assert context.catalog.runner_models.speed(context.runner) == 1.0


@when('a runner reported a pace of {pace:g} and {age:g} s have passed')
def report_pace(context: Any, pace: float, age: float) -> None:
    """Report once and let time pass."""
    context.models = relay.RunnerModels()
    context.runner = make_runner('a')
    context.runner.state.on_report(make_report(0, pace), 0.0)
    context.models.on_report(context.runner)
    context.age_s = age


@then('{weight:g} of its difference from the usual pace remains')
def check_pace(context: Any, weight: float) -> None:
    """Compare with the pace after a long time."""
    usual = context.models.pace(context.runner, 1000.0)
    pace = context.models.pace(context.runner, context.age_s)
    assert abs(pace - usual - weight * (2.5 - usual)) < 1e-6, (pace, usual)


@when('nothing was learned of a service')
def learn_nothing(context: Any) -> None:
    """Start with empty models."""
    context.models = relay.RunnerModels()


@then('{tokens:d} tokens take 1 s to read at each of its runners')
def check_prior(context: Any, tokens: int) -> None:
    """Look at estimates of new runners."""
    for name in ('a', 'b'):
        runner = make_runner(name)
        some, none = (
            context.models.expect(runner, relay.Work(count), 0.0).total_s
            for count in (float(tokens), 0.0)
        )
        assert abs(some - none - 1.0) < 1e-6, (some, none)


def learn(models: relay.RunnerModels, count: int, rng: random.Random) -> None:
    """Let first events come from ten engines that read 20 tokens a ms."""
    runners = [make_runner(f'r-{i}') for i in range(10)]
    for _ in range(count):
        tokens = rng.uniform(500.0, 9000.0)
        pace = 2.5 if rng.random() < 0.15 else 1.0
        runner = rng.choice(runners)
        runner.state.on_report(make_report(0, pace), 0.0)
        models.on_report(runner)
        sent = relay.SentWork(runner, relay.Work(tokens), 0.0, 0.0)
        models.on_first_event(sent, 0.02 + pace * tokens / 20_000, 0.0)


@when(
    '{count:d} first events come from engines that read 20000 tokens a second'
)
def learn_tokens(context: Any, count: int) -> None:
    """Learn with noise of which the reports tell."""
    context.models = relay.RunnerModels()
    learn(context.models, count, random.Random(3))


@then('{tokens:d} tokens are expected to take between {low:g} and {high:g} s')
def check_learned(context: Any, tokens: int, low: float, high: float) -> None:
    """Look at the service's time a token."""
    context.read_s = context.models.read_s(SERVICE, tokens)
    assert low <= context.read_s <= high, context.read_s


@then('one call that stalls for 60 s changes that by at most a tenth')
def check_stall(context: Any) -> None:
    """Let one first event come late."""
    sent = relay.SentWork(make_runner('r-1'), relay.Work(9000.0), 0.0, 0.0)
    context.models.on_first_event(sent, 60.0, 0.0)
    after_s = context.models.read_s(SERVICE, 20_000)
    assert abs(after_s / context.read_s - 1.0) <= 0.1, after_s


class _Log:
    """Keeps the fields of all log lines."""

    def __init__(self) -> None:
        """Start without lines."""
        self.lines: list[dict[str, Any]] = []

    def info(self, event: str, **fields: Any) -> None:
        """Keep a line."""
        self.lines.append({'event': event} | fields)

    warning = error = info


@when('two streams with the same long part are sent, the models {switch}')
def send_streams(context: Any, switch: str) -> None:
    """Send one after the other to one host."""
    world = lab.RelayWorld(hosts=1)
    for runner in world.add_scripted(SERVICE, 3):
        runner.events = 2
    host = context.host = world.hosts[0]
    world.configure(relay_decision_steps.make_configuration([]))
    host.catalog.runner_models.is_forced = switch == 'on'
    host.context.logger = context.log = _Log()
    route = relay_decision_steps.make_route(
        kind=relay.CallKind.STREAM,
        shares=(relay.ServiceShare(SERVICE, 1.0),),
    )
    for number in range(2):
        prompt = (
            relay.PromptPart('shared', 6300),
            relay.PromptPart(f'own-{number}', 2890),
        )
        facts = edge.RequestMetadata(f'request-{number}', 4.0, prompt=prompt)
        world.submit(host, route, facts)
        world.run(2.0)


def request_lines(context: Any) -> list[dict[str, Any]]:
    """Return the log lines of the ends of requests."""
    lines = [line for line in context.log.lines if line['event'] == 'request']
    assert len(lines) == 2, lines
    assert all(line['outcome'] == 'answered' for line in lines), lines
    return lines


@then('the log line has both sides and the metrics count a holder')
def check_log(context: Any) -> None:
    """Look at the second stream."""
    first, second = request_lines(context)
    assert second['runner'] == first['runner'] == second['holder']
    assert second['saved_s'] > 0.05, second
    assert second['holder_saved_s'] == second['saved_s']
    assert {'wait_s', 'holder_wait_s'} <= second.keys()
    registry = context.host.context.metrics.registry
    labels = {'service': SERVICE, 'outcome': 'holder'}
    assert registry.get_sample_value('ragwort_held_prompts_total', labels) == 2
    assert (
        registry.get_sample_value(
            'ragwort_tokens_read_again_count', {'service': SERVICE}
        )
        == 2
    )
    times = context.host.catalog.runner_models.services[SERVICE].times
    assert times.coefficients[1] < 1 / 35.0, times.coefficients


@then('the log line has no sides and the metrics count nothing')
def check_no_log(context: Any) -> None:
    """Look at both streams."""
    for line in request_lines(context):
        assert not {'saved_s', 'wait_s', 'holder'} & line.keys(), line
    text = context.host.context.metrics.text()
    assert b'ragwort_held_prompts_total{' not in text
    assert not context.host.catalog.runner_models.services
