"""Hosts whose runners are in three failure domains, under mixed traffic."""

import itertools
import math

from features.support import relay_hosts
import ragwort_lab as lab
from ragwort_lab import _relay_fakes as fakes
import ragwort_relay as relay

BOUND_S = 5.0
EVENTS = 6
EVENT_GAP_S = 0.05
KINDS = ('safe', 'stream', 'staged', 'open')
LAST_S = 3.0


class EvacuationWorld(relay_hosts.HostWorld):
    """Hosts with one main and one stage runner in each domain, or more."""

    def __init__(self, count: int, is_enabled: bool = True) -> None:
        """Start the hosts; they honour evacuations if that is enabled."""
        self.stage_runners: list[lab.LabStageRunner] = []
        self.exchanges: list[fakes.LabExchange] = []
        self.numbers = itertools.count()
        super().__init__(
            count, evacuation_bound_s=BOUND_S if is_enabled else None
        )
        for index, domain in enumerate(relay_hosts.DOMAINS):
            self.add_main(f'main-{domain}', f'10.0.7.{index}:80', domain)
            self.add_stage(f'prep-{domain}', f'10.0.6.{index}:80', domain)
        for runner in self.runners:
            assert isinstance(runner, lab.ScriptedRunner)
            runner.events, runner.event_gap_s = EVENTS, EVENT_GAP_S
        self.run(2.0)

    def add_main(self, name: str, address: str, domain: str) -> None:
        """Start a runner of the main service."""
        runner = lab.ScriptedRunner(self.clock, name, address, domain)
        self.network.runners[address] = runner
        self.runners.append(runner)
        self.set_runner(runner, 'live')

    def add_stage(self, name: str, address: str, domain: str) -> None:
        """Start a runner of the stage service."""
        runner = lab.LabStageRunner(
            self.clock, name, address, domain, relay_hosts.PREP_LIMITS
        )
        self.network.runners[address] = runner
        self.stage_runners.append(runner)
        self.set_runner(runner, 'live', service='prep')

    def evacuate(self, domain: str, value: str = '{}') -> None:
        """Let the operator evacuate a domain."""
        self.objects.put(relay.EVACUATION_PREFIX + domain, value)

    def end_evacuation(self, domain: str) -> None:
        """Let the operator end an evacuation."""
        self.objects.delete(relay.EVACUATION_PREFIX + domain)

    def in_domain(self, domain: str) -> list[fakes.LabRunner]:
        """Return all runners of a domain."""
        return [
            runner
            for runner in (*self.runners, *self.stage_runners)
            if runner.domain == domain
        ]

    def arrivals(
        self, domain: str, since: float, until: float = math.inf
    ) -> list[tuple[float, str, bytes]]:
        """Return what reached a domain's runners in a time."""
        return [
            (round(a.at, 2), a.runner, a.request.target)
            for runner in self.in_domain(domain)
            for a in runner.arrivals
            if since <= a.at < until
        ]

    def send(self, seconds: float, per_s: float = 50.0) -> None:
        """Ask the running hosts in turn, for all kinds of calls."""
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            number = next(self.numbers)
            kind = KINDS[number // len(self.hosts) % len(KINDS)]
            index = number % len(self.hosts)
            if index not in self.stopped:
                self.exchanges.append(self.ask_once(index, kind))
            self.run(1.0 / per_s)

    def ask_once(self, index: int, kind: str) -> fakes.LabExchange:
        """Send one request to a host."""
        number = next(self.numbers)
        facts = {'request_id': f'r{number}', 'access_key': 'k1'}
        if kind == 'staged':
            facts['pieces'] = [3]
            facts['piece_key'] = f'k{number}'
        return self.submit(index, f'/{kind}/{number}', facts)
