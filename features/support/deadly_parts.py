"""Runners that crash on a part of a prompt, and callers that send it."""

import dataclasses
import itertools
import random

from features.support import relay_hosts
import ragwort_lab as lab
from ragwort_lab import _relay_fakes as fakes

EVENTS = 5
EVENT_GAP_S = 0.1
WORK_S = 0.2
# Time for which a crashed runner is away; its entry lapses before.
DOWN_S = 4.0
LAPSE_S = 3.5
DEADLY = 'dead'
FIRST = 'system'
SOUND_PARTS = tuple(f'part-{n}' for n in range(12))


@dataclasses.dataclass(slots=True)
class Sent:
    """A request of a caller and how it went."""

    request_id: str
    is_deadly: bool
    at: float
    exchange: fakes.LabExchange

    @property
    def has_begun(self) -> bool:
        """Tell whether the caller got an event."""
        return self.exchange.status == 200 and bool(self.exchange.body)


class CrashWorld:
    """Hosts, runners that crash and come back, and callers of streams."""

    def __init__(self, hosts: int, runner_count: int, seed: int) -> None:
        """Start all; nothing is deadly yet."""
        self.world = relay_hosts.HostWorld(hosts)
        self.clock = self.world.clock
        self.rng = random.Random(seed)
        self.sent: list[Sent] = []
        self.numbers = itertools.count(1)
        self.crashes: list[float] = []
        for runner in list(self.world.runners):
            self.world.remove_runner(runner.name)
        self.world.runners.clear()
        for number in range(1, runner_count + 1):
            domain = relay_hosts.DOMAINS[number % len(relay_hosts.DOMAINS)]
            self._add_runner(f'engine-{number}', f'10.0.8.{number}:80', domain)
        self.world.run(1.0)

    def _add_runner(self, name: str, address: str, domain: str) -> None:
        runner = lab.ScriptedRunner(self.clock, name, address, domain)
        runner.events = EVENTS
        runner.event_gap_s = EVENT_GAP_S
        runner.work_s = WORK_S
        runner.on_crash = lambda: self._go_down(runner)
        self.world.network.runners[address] = runner
        self.world.runners.append(runner)
        self.world.set_runner(runner, 'live')

    def _go_down(self, runner: lab.ScriptedRunner) -> None:
        if self.world.network.runners.pop(runner.address, None) is None:
            return
        if runner.crashes_silently:
            self.world.network.silent.add(runner.address)
        now = self.clock.seconds()
        self.crashes.append(now)
        self.clock.callLater(LAPSE_S, self.world.remove_runner, runner.name)
        self.clock.callLater(DOWN_S, self._come_back, runner)

    def _come_back(self, runner: lab.ScriptedRunner) -> None:
        self.world.network.silent.discard(runner.address)
        self.world.network.runners[runner.address] = runner
        born = 1 + int(self.clock.seconds() * 1000)
        self.world.set_runner(runner, 'live', born)

    def set_deadly(self, *parts: str) -> None:
        """Let all runners crash on some parts."""
        for runner in self.world.runners:
            runner.deadly_parts = frozenset(parts)

    def send(self, middle: str) -> Sent:
        """Send one stream request with a middle part to a random host."""
        number = next(self.numbers)
        prompt = [[FIRST, 2000], [middle, 400], [f'own-{number}', 100]]
        now = self.clock.seconds()
        exchange = self.world.ask_stream(
            self.rng.randrange(len(self.world.hosts)),
            {
                'request_id': f'q{number:05d}',
                'access_key': 'k1',
                'deadline_s': 8.0,
                'prompt': prompt,
            },
        )
        one = Sent(f'q{number:05d}', middle.startswith(DEADLY), now, exchange)
        self.sent.append(one)
        return one

    def run(self, seconds: float, per_s: float, *deadly: str) -> None:
        """Send at an even rate; a quarter have one of the deadly parts."""
        for _ in range(round(seconds * per_s)):
            is_deadly = deadly and self.rng.random() < 0.25
            self.send(
                self.rng.choice(deadly or SOUND_PARTS)
                if is_deadly
                else self.rng.choice(SOUND_PARTS)
            )
            self.world.run(1.0 / per_s)

    def deadly_arrivals(self, part: str) -> list[float]:
        """Return when requests with a part reached runners."""
        return sorted(
            arrival.at
            for runner in self.world.runners
            for arrival in runner.arrivals
            if part in arrival.told.get('parts', ())
        )

    def share_begun(self, since: float, until: float) -> float:
        """Return the share of the sound requests that began."""
        sound = [
            one
            for one in self.sent
            if since <= one.at < until and not one.is_deadly
        ]
        assert len(sound) >= 20, len(sound)
        return sum(one.has_begun for one in sound) / len(sound)
