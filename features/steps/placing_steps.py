"""Steps of the placing of requests by hosts that know little."""

import collections
import heapq
import random
from typing import Any

from behave import given
from behave import then
from behave import when

import ragwort_model as model
import ragwort_policy as policy
import ragwort_relay as relay

SERVICE_S = 0.3
WINDOW_S = 2.0
TOKENS = 3000
NEW_AT_S = 10.0


class Host:
    """What one host knows of the engines."""

    def __init__(self) -> None:
        """Know nothing."""
        self.cache = relay.PromptCacheIndex()
        self.runners: dict[str, relay.FleetRunner] = {}
        self.models: relay.RunnerModels | None = None

    def learn(self, name: str, slots: int) -> None:
        """Read an engine's entry."""
        runner = model.Runner(name, 'pool', '10.0.0.1:80', 'north')
        entry = relay.RunnerEntry(runner, 0, slots)
        state = policy.RunnerState(runner)
        self.runners[name] = relay.FleetRunner(entry, state)


class Placing:
    """Hosts, and engines that count the requests they work on."""

    def __init__(self, hosts: int, engines: int, slots: int) -> None:
        """Start with all engines idle."""
        self.rng = random.Random(1)
        self.slots = slots
        self.hosts = [Host() for _ in range(hosts)]
        self.running: collections.Counter[str] = collections.Counter()
        self.ends: list[tuple[float, int, str, Host]] = []
        self.arrivals: list[tuple[float, str]] = []
        for index in range(engines):
            self.add(f'engine-{index:02d}')

    def add(self, name: str) -> None:
        """Let all hosts read the entry of an engine."""
        self.running[name] = 0
        for host in self.hosts:
            host.learn(name, self.slots)

    def report(self, host: Host, name: str, now: float) -> None:
        """Let a host hear of an engine's load."""
        running = self.running[name]
        load = model.LoadReport(
            min(running, self.slots),
            max(running - self.slots, 0),
            self.slots,
            0.0,
            False,
            0,
            pace=1.0 if host.models is not None else None,
        )
        host.runners[name].state.on_report(load, now)
        if host.models is not None:
            host.models.on_report(host.runners[name])

    def end_until(self, now: float) -> None:
        """End the requests that are due; their replies tell the load."""
        while self.ends and self.ends[0][0] <= now:
            at, _, name, host = heapq.heappop(self.ends)
            self.running[name] -= 1
            host.runners[name].state.on_result(SERVICE_S, SERVICE_S, at)
            self.report(host, name, at)
            if host.models is not None:
                runner = host.runners[name]
                sent = relay.SentWork(runner, relay.Work(TOKENS), 0.0, 0.0)
                host.models.on_first_event(sent, SERVICE_S, at)
                host.models.on_call_end(runner, SERVICE_S)

    def send(self, number: int, now: float) -> None:
        """Let a host place a request whose parts nobody shares."""
        host = self.rng.choice(self.hosts)
        prompt = (relay.PromptPart(f'own-{number}', TOKENS),)
        chosen, _ = relay.choose_by_prompt_cache(
            list(host.runners.values()),
            prompt,
            None,
            host.cache,
            {},
            f'request-{number}',
            len(self.hosts),
            now,
            host.models,
        )
        chosen.state.on_dispatch()
        self.running[chosen.name] += 1
        self.arrivals.append((now, chosen.name))
        heapq.heappush(self.ends, (now + SERVICE_S, number, chosen.name, host))


@given(
    '{hosts:d} hosts and {engines:d} engines of {slots:d} slots, {new:d} of'
    ' them new after 10 s'
)
def start(
    context: Any, hosts: int, engines: int, slots: int, new: int
) -> None:
    """Start all but the new engines."""
    context.placing = Placing(hosts, engines - new, slots)
    context.new = new


@given('the models of runners are on')
def turn_on(context: Any) -> None:
    """Give each host models that know nothing."""
    for host in context.placing.hosts:
        host.models = relay.RunnerModels()


@when(
    'callers send {per_s:d} requests a second for {seconds:d} s, hosts hear of'
    ' load {heard}'
)
def send(context: Any, per_s: int, seconds: int, heard: str) -> None:
    """Play the requests in turn."""
    placing = context.placing
    interval_s = float(heard.split()[1]) if heard[:4] == 'each' else seconds
    next_at = interval_s
    now, number = 0.0, 0
    while now < seconds:
        now += placing.rng.expovariate(per_s)
        number += 1
        placing.end_until(now)
        if now >= NEW_AT_S and context.new:
            for index in range(context.new):
                placing.add(f'a-new-engine-{index}')
            context.new = 0
        if now >= next_at:
            next_at += interval_s
            for host in placing.hosts:
                for name in host.runners:
                    placing.report(host, name, now)
        placing.send(number, now)


@then('no engine gets over {most:g} times the mean in any 2 s')
def check_spread(context: Any, most: float) -> None:
    """Count the arrivals of each window."""
    placing = context.placing
    windows: dict[int, collections.Counter[str]] = {}
    for at, name in placing.arrivals:
        counts = windows.setdefault(int(at / WINDOW_S), collections.Counter())
        counts[name] += 1
    worst = max(
        max(counts.values()) * len(placing.running) / counts.total()
        for counts in windows.values()
        if counts.total() >= len(placing.running)
    )
    assert worst <= most, worst


@when(
    '{hosts:d} hosts choose one of {runners:d} equal runners, each for the'
    ' first time'
)
def choose_first(context: Any, hosts: int, runners: int) -> None:
    """Let each host choose once."""
    context.chosen = collections.Counter()
    for number in range(hosts):
        host = Host()
        for index in range(runners):
            host.learn(f'runner-{index:02d}', 4)
        chosen, _ = relay.choose_by_load(
            list(host.runners.values()), 'south', f'request-{number}', 0.0
        )
        context.chosen[chosen.name] += 1
    context.mean = hosts / runners


@then('no runner is chosen over {most:d} times as often as the mean')
def check_chosen(context: Any, most: int) -> None:
    """Look at the most popular runner."""
    worst = max(context.chosen.values()) / context.mean
    assert worst <= most, worst
