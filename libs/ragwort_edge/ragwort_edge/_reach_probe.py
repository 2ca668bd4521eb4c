"""Finds out whether services are out of reach, and when they are back."""

import random
from typing import Any

from ragwort_edge import _client
import ragwort_relay as relay

# Interval between checks of each service while one is out of reach.
PROBE_INTERVAL_S = 0.5


class ReachProbe:
    """Opens connections to runners while a service is out of reach.

    A host that loses one service has likely lost others; it learns so before
    their requests come.
    """

    def __init__(
        self,
        reactor: Any,
        client: _client.HttpClient,
        catalog: relay.RelayCatalog,
        rng: random.Random,
        logger: Any,
    ) -> None:
        """Start with all services in reach."""
        self.reactor = reactor
        self.client = client
        self.catalog = catalog
        self.rng = rng
        self.logger = logger
        self.lost: set[str] = set()
        self.next_probe_at = 0.0

    def tick(self, now: float) -> None:
        """Log what has changed; check all services if one is lost."""
        services = self.catalog.fleet.services()
        lost = {s for s in services if self.catalog.is_lost(s)}
        for service in sorted(lost ^ self.lost):
            self.logger.warning(
                'service-reach', service=service, in_reach=service not in lost
            )
        self.lost = lost
        if not lost or now < self.next_probe_at:
            return
        self.next_probe_at = now + PROBE_INTERVAL_S
        for service in sorted(services):
            self._probe(service, now)

    def _probe(self, service: str, now: float) -> None:
        live = self.catalog.live_runners(service, now)
        if not live:
            return
        reach = self.catalog.reach
        untried = [runner for runner in live if not reach.has_failed(runner)]
        runner = self.rng.choice(untried or live)
        checked = self.client.check(runner.address)
        checked.addCallback(self._on_checked, runner)

    def _on_checked(
        self, state: _client.AddressState, runner: relay.FleetRunner
    ) -> None:
        reach = self.catalog.reach
        service = runner.entry.runner.service
        now = self.reactor.seconds()
        if state != _client.AddressState.OPEN:
            reach.on_unreachable(runner, now)
            return
        reach.on_connected(service, now)
        if service in self.lost:
            self.catalog.fleet.end_backoffs(service, now)
