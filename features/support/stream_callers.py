"""Callers of streams that take a broken one up at another host."""

import dataclasses
import itertools
import random
from typing import Any

from features.support import relay_hosts
import ragwort_lab as lab
from ragwort_lab import _relay_fakes as fakes

EVENTS = 6
EVENT_GAP_S = 0.1
DEADLINE_S = 8.0
# Time from a broken connection to the next attempt, as callers take it.
TAKE_UP_S = 0.05
MAX_ATTEMPTS = 4
LIVE = 'live'


@dataclasses.dataclass(slots=True)
class Stream:
    """What a caller received of one stream, over all its attempts."""

    first_attempt: str | None = None
    events: list[str] = dataclasses.field(default_factory=list)
    attempts: int = 0
    has_asked_to_go_on: bool = False
    has_gone_on: bool = False
    is_whole: bool = False
    last: fakes.LabExchange | None = None

    @property
    def versions(self) -> set[str]:
        """Return the software versions that the events show."""
        return {text.partition('v')[2] for text in self.events}


def set_versions(
    world: relay_hosts.HostWorld, versions: dict[str, int]
) -> list[lab.ScriptedRunner]:
    """Replace the runners by some of each software version."""
    for runner in list(world.runners):
        world.remove_runner(runner.name)
    world.runners.clear()
    for version, count in versions.items():
        for _ in range(count):
            add_runner(world, version)
    world.run(1.0)
    return world.runners


def add_runner(
    world: relay_hosts.HostWorld, version: str
) -> lab.ScriptedRunner:
    """Start a runner of a software version."""
    number = next(world.runner_numbers)
    # Hosts prefer runners of their own domain, and so differ in their choice.
    domain = relay_hosts.DOMAINS[number % len(relay_hosts.DOMAINS)]
    runner = lab.ScriptedRunner(
        world.clock, f'{version}-{number}', f'10.0.8.{number}:80', domain
    )
    runner.events = EVENTS
    runner.event_gap_s = EVENT_GAP_S
    runner.version = version
    world.network.runners[runner.address] = runner
    world.runners.append(runner)
    world.set_runner(runner, LIVE)
    return runner


class StreamCallers:
    """Start streams at all hosts in turn, and take broken ones up."""

    numbers = itertools.count(1)

    def __init__(self, world: relay_hosts.HostWorld, seed: int = 1) -> None:
        """Use the hosts of a world."""
        self.world = world
        self.rng = random.Random(seed)
        self.streams: list[Stream] = []
        self.open: list[tuple[Stream, int, fakes.LabExchange]] = []
        self.restarts = itertools.count()

    def start(self, count: int, gap_s: float = 0.01) -> None:
        """Start some streams, one after the other."""
        for _ in range(count):
            stream = Stream()
            self.streams.append(stream)
            self._attempt(stream, len(self.streams) % len(self.world.hosts))
            self.world.run(gap_s)

    def _attempt(self, stream: Stream, index: int) -> None:
        if index in self.world.stopped:
            index = self._other_host(index)
        request_id = f'a{next(self.numbers):05d}'
        stream.attempts += 1
        facts: dict[str, Any] = {
            'request_id': request_id,
            'access_key': 'k1',
            'deadline_s': DEADLINE_S,
        }
        if stream.events:
            stream.has_asked_to_go_on = True
            facts['last_event'] = len(stream.events)
            facts['first_attempt'] = stream.first_attempt
        else:
            stream.first_attempt = request_id
        exchange = self.world.ask_stream(index, facts)
        stream.last = exchange
        self.open.append((stream, index, exchange))

    def _other_host(self, index: int) -> int:
        hosts = range(len(self.world.hosts))
        others = [i for i in hosts if i != index]
        return self.rng.choice(
            [i for i in others if i not in self.world.stopped] or [index]
        )

    def run(self, seconds: float) -> None:
        """Let time pass; take up elsewhere what ended before its end."""
        until = self.world.clock.seconds() + seconds
        while self.world.clock.seconds() < until:
            self.world.run(TAKE_UP_S)
            for item in list(self.open):
                self._look(item)

    def _look(self, item: tuple[Stream, int, fakes.LabExchange]) -> None:
        stream, index, exchange = item
        if not exchange.is_over:
            return
        self.open.remove(item)
        self._take(stream, exchange)
        if not stream.is_whole and stream.attempts < MAX_ATTEMPTS:
            self._attempt(stream, self._other_host(index))

    def _take(self, stream: Stream, exchange: fakes.LabExchange) -> None:
        if exchange.status != 200:
            return
        texts = exchange.body.decode().split('\n\n')[:-1]
        stream.has_gone_on |= bool(stream.events and texts)
        stream.events += [text.partition('data: ')[2] for text in texts]
        stream.is_whole |= exchange.is_whole

    def cut(self, index: int | None = None, wait_s: float = 0.0) -> None:
        """Break the callers' connections, those to one host or all.

        The callers try again elsewhere after wait_s.
        """
        for item in list(self.open):
            if index is None or item[1] == index:
                self._break(item, wait_s)

    def _break(
        self, item: tuple[Stream, int, fakes.LabExchange], wait_s: float
    ) -> None:
        stream, index, exchange = item
        self.open.remove(item)
        self._take(stream, exchange)
        exchange.leave()
        if not stream.is_whole:
            other = self._other_host(index)
            self.world.clock.callLater(wait_s, self._attempt, stream, other)

    @property
    def mixed(self) -> list[Stream]:
        """Return the streams that hold events of two versions."""
        return [stream for stream in self.streams if len(stream.versions) > 1]

    def share_gone_on(self) -> float:
        """Return the share of the taken up streams that went on."""
        taken_up = [s for s in self.streams if s.has_asked_to_go_on]
        assert len(taken_up) >= 12, len(taken_up)
        return sum(s.has_gone_on for s in taken_up) / len(taken_up)

    def share_begun(self) -> float:
        """Return the share of all streams that began."""
        return sum(bool(s.events) for s in self.streams) / len(self.streams)
