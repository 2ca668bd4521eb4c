"""Whole hosts whose runners are cold at times, and callers of them."""

import dataclasses
import random
from typing import Any

from features.support import relay_hosts
import ragwort_edge as edge
import ragwort_lab as lab
from ragwort_lab import _relay_fakes as fakes
import ragwort_relay as relay

# Wall-clock time at the start of the virtual clock.
WALL_S = 1_600_000_000.0
COLD_START_S = 3.0
OVERAGE, SLACK = 1.5, 5.0
# Callers answer an end within this time; the store and peers tell all hosts
# of a cold time within it.
TELL_S = 1.0
STAGE_RUNNERS = 3
MISDIRECTED = b'refused'


@dataclasses.dataclass(slots=True)
class Span:
    """A cold time of a runner."""

    runner: fakes.LabRunner
    since: float
    until: float


@dataclasses.dataclass(slots=True)
class Ask:
    """A caller's request."""

    at: float
    index: int
    exchange: fakes.LabExchange

    @property
    def is_served(self) -> bool:
        """Tell whether its first try got a runner's whole answer."""
        return self.exchange.status == 200 and self.exchange.is_whole


def most_in_a_second(times: list[float]) -> int:
    """Return the most of these times in any second."""
    return max(
        (sum(s <= at < s + 1.0 for at in times) for s in times), default=0
    )


class ColdWorld(relay_hosts.HostWorld):
    """Hosts, runners that become cold, and callers that count first tries."""

    def __init__(
        self,
        hosts: int,
        runner_count: int,
        per_s: float,
        seed: int,
        is_on: bool = True,
    ) -> None:
        """Start all; nothing is cold yet."""
        self.per_s = per_s
        self.rng = random.Random(seed)
        self.cold = relay.ColdBound(OVERAGE, SLACK) if is_on else None
        rates = [COLD_START_S, per_s]
        self.settings = {'cold_main': rates, 'cold_prep': rates}
        self.group_of: dict[int, int] = {}
        self.spans: list[Span] = []
        self.asks: list[Ask] = []
        self.killed: set[int] = set()
        super().__init__(hosts)
        for runner in list(self.runners):
            self.remove_runner(runner.name)
        self.runners.clear()
        for number in range(1, runner_count + 1):
            domain = relay_hosts.DOMAINS[number % len(relay_hosts.DOMAINS)]
            runner = lab.ScriptedRunner(
                self.clock, f'engine-{number}', f'10.0.8.{number}:80', domain
            )
            runner.work_s = 0.05
            self.network.runners[runner.address] = runner
            self.runners.append(runner)
            self.set_runner(runner, 'live')
        self.run(3.0)

    def _host(self, index: int) -> edge.RelayHost:
        host = super()._host(index)
        host.cold_sharing.wall = self.wall
        self._split(index)
        return host

    def wall(self) -> float:
        """Return the wall-clock time of hosts and runners."""
        return WALL_S + float(self.clock.seconds())

    def add_stage_runners(self) -> list[fakes.LabRunner]:
        """Start the runners of the stage service."""
        found: list[fakes.LabRunner] = []
        for number in range(1, STAGE_RUNNERS + 1):
            runner = lab.LabStageRunner(
                self.clock,
                f'prep-{number}',
                f'10.0.7.{number}:80',
                'north',
                relay_hosts.PREP_LIMITS,
            )
            self.network.runners[runner.address] = runner
            self.set_runner(runner, 'live', service='prep')
            found.append(runner)
        self.run(1.0)
        return found

    # Cold times.

    def make_cold(
        self,
        runner: fakes.LabRunner,
        entry_s: float | None = COLD_START_S,
        header_s: float | None = 0.0,
        is_restart: bool = True,
        is_written: bool = True,
    ) -> None:
        """Make a runner cold from now on.

        entry_s is what its entry says. header_s is how far off the remaining
        time in its answers is, None if they do not say.
        """
        now = self.clock.seconds()
        until = now + COLD_START_S
        self.spans.append(Span(runner, now, until))
        runner.cold_s = None
        if header_s is not None:
            off_s: float = header_s
            runner.cold_s = lambda: self._told_s(until, off_s)
        if not is_written:
            return
        born = int(self.wall() * 1000) if is_restart else self._born(runner)
        service = 'prep' if 'prep' in runner.name else 'main'
        self.set_runner(runner, 'live', born, service, entry_s)

    def _told_s(self, until: float, off_s: float) -> float:
        left_s = until - self.clock.seconds()
        return max(left_s + off_s, 0.0) if left_s > 0.0 else 0.0

    def _born(self, runner: fakes.LabRunner) -> int:
        known = self.hosts[0].catalog.fleet.runners[f'runner/{runner.name}']
        return known.entry.started_ms

    def most_to_cold(self, skipped_s: float = 0.0) -> int:
        """Return the most requests to a cold runner in any second.

        skipped_s leaves out the time until hosts can know of a cold time.
        """
        return max(
            most_in_a_second(
                [
                    arrival.at
                    for arrival in span.runner.arrivals
                    if span.since + skipped_s <= arrival.at < span.until
                ]
            )
            for span in self.spans
        )

    # Partitions.

    def partition(self, groups: int) -> None:
        """Let hosts reach only those of their group, and the runners."""
        for index in range(len(self.hosts)):
            self.group_of[index] = index % groups
        self._split_all()

    def heal(self) -> None:
        """Let all hosts reach each other."""
        self.group_of.clear()
        self._split_all()

    def _split_all(self) -> None:
        for index in range(len(self.ways)):
            self._split(index)

    def _split(self, index: int) -> None:
        """Let a host's hand-overs reach the hosts of its group."""
        way: Any = self.ways[index]
        if not self.group_of:
            way.hosts = self.network.hosts
            return
        way.hosts = {
            address: port
            for address, port in self.network.hosts.items()
            if self._group(int(address.split('.')[2])) == self._group(index)
        }

    def _group(self, index: int) -> int:
        return self.group_of.get(index, 0)

    def is_cut(self, sender: str, index: int) -> bool:
        """Tell whether the sender is in another group."""
        return self._group(int(sender.split('.')[2])) != self._group(index)

    def kill_host(self, index: int) -> None:
        """End a host; no caller asks it any more."""
        self.killed.add(index)
        self.kill(index)
        self.ways[index].cut_off(lab.CutManner.REFUSE)

    # Callers.

    def call(
        self, seconds: float, per_s: float, path: str = '/safe/', **facts: Any
    ) -> None:
        """Ask random hosts at an even rate."""
        for _ in range(round(seconds * per_s)):
            self.ask_once(path, **facts)
            self.run(1.0 / per_s)

    def burst(self, count: int) -> None:
        """Ask many times at the same moment."""
        for _ in range(count):
            self.ask_once('/safe/')

    def ask_once(self, path: str, **facts: Any) -> None:
        """Ask a random host that lives."""
        up = sorted(set(range(len(self.hosts))) - self.killed)
        index = self.rng.choice(up)
        name = f'q{len(self.asks):05d}'
        told = {'request_id': name, 'access_key': 'k1', 'deadline_s': 4.0}
        if path == '/staged/':
            told |= {'pieces': (2,), 'piece_key': name, 'deadline_s': 8.0}
        exchange = self.submit(index, f'{path}{name}', told | facts)
        self.asks.append(Ask(self.clock.seconds(), index, exchange))

    def share_served(self, since: float, until: float) -> float:
        """Return the share of first tries that were served."""
        found = [a.is_served for a in self.asks if since <= a.at < until]
        assert len(found) >= 20, len(found)
        return sum(found) / len(found)

    def messages_told(self) -> float:
        """Return the bytes of messages on cold runners that hosts sent."""
        return sum(
            host.metrics.peer_bytes.labels('ColdRunners')._value.get()
            for host in self.hosts
        )
