"""Some relay hosts, their peers' links and lab runners in virtual time."""

from collections.abc import Callable
import dataclasses
import json
import math
import random
from typing import Any

import structlog
from twisted.internet import task

import ragwort_edge as edge
from ragwort_lab import _relay_fakes as fakes
import ragwort_model as model
import ragwort_relay as relay
import ragwort_state as state

DOMAINS = ('north', 'east', 'south', 'west')
PEER_ONE_WAY_S = 0.002
STEP_S = 0.002
RETRY_RATIO = 0.2
RETRY_SLACK = 50.0
RETRY_WINDOW_S = 10.0


@dataclasses.dataclass(slots=True)
class LabHost:
    """The deciding parts of one host, without sockets."""

    name: str
    address: str
    domain: str
    catalog: relay.RelayCatalog
    budget: relay.RetryBudget
    stages: edge.StageService
    context: edge.RelayContext
    is_alive: bool = True
    open: set[edge.RequestHandler] = dataclasses.field(default_factory=set)

    def on_inputs_ended(self) -> None:
        """Tell the open requests that results may be gone."""
        for handler in list(self.open):
            handler.on_makers_ended()


class RelayWorld:
    """Hosts that share one network of runners and one clock."""

    def __init__(self, hosts: int = 2, seed: int = 1) -> None:
        """Create hosts; the first one owns every stage service."""
        self.clock = task.Clock()
        self.rng = random.Random(seed)
        self.network = fakes.LabNetwork(self.clock)
        self.hosts: list[LabHost] = []
        self.owners: Callable[[str], list[str]] = lambda service: ['host-0']
        self.lose_message: Callable[[Any], bool] = lambda message: False
        self.messages: list[Any] = []
        for index in range(hosts):
            self.hosts.append(self._host(index))
        for host in self.hosts:
            host.stages.on_inputs_ended = host.on_inputs_ended

    def _host(self, index: int) -> LabHost:
        name = f'host-{index}'
        dialect = fakes.LabDialect()
        catalog = relay.RelayCatalog(dialect)
        budget = relay.RetryBudget(RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S)
        metrics = edge.Metrics()
        logger = structlog.wrap_logger(structlog.ReturnLogger())

        def owners_of(service: str) -> list[str | None]:
            owners = self.owners(service)
            return [None if owner == name else owner for owner in owners]

        def send_peer(effect: model.SendPeerMessage) -> None:
            self._send_peer(name, effect)

        client: Any = self.network
        stages = edge.StageService(
            self.clock,
            client,
            dialect,
            catalog,
            budget,
            metrics,
            logger,
            name,
            send_peer,
            owners_of,
        )
        # The lab's hosts have no store for versions, and miss none.
        catalog.stream_origins.started_at = -math.inf
        origins = edge.OriginService(
            self.clock,
            catalog,
            metrics,
            logger,
            self.rng,
            send_peer,
            lambda attempt, count: [],
        )
        crashes = edge.CrashWatch(
            self.clock,
            client,
            catalog.crash_evidence,
            catalog.reach,
            state.SuspectRegister(state.StoreEra(), self.rng, 0.0),
            self.rng,
            metrics,
            logger,
        )
        context = edge.RelayContext(
            self.clock,
            self.rng,
            client,
            dialect,
            catalog,
            budget,
            stages,
            origins,
            crashes,
            metrics,
            logger,
            DOMAINS[index % len(DOMAINS)],
            edge.LastResort(edge.Guard(self.clock, metrics, logger), dialect),
        )
        return LabHost(
            name,
            name,
            DOMAINS[index % len(DOMAINS)],
            catalog,
            budget,
            stages,
            context,
        )

    def _send_peer(self, sender: str, effect: model.SendPeerMessage) -> None:
        self.messages.append(effect.message)
        if self.lose_message(effect.message):
            return
        target = next(h for h in self.hosts if h.address == effect.address)
        self.clock.callLater(
            PEER_ONE_WAY_S, self._deliver, sender, target, effect.message
        )

    def _deliver(self, sender: str, target: LabHost, message: Any) -> None:
        if target.is_alive:
            target.stages.on_peer(sender, message)

    def add_runner(
        self, runner: fakes.LabRunner, service: str, slots: int = 4
    ) -> None:
        """Put a runner into the network and every host's catalog."""
        self.network.runners[runner.address] = runner
        entry = {
            'service': service,
            'address': runner.address,
            'domain': runner.domain,
            'state': 'live',
            'born': 1,
            'slots': slots,
        }
        item = model.StoredObject(
            f'runner/{runner.name}', 1, json.dumps(entry)
        )
        for host in self.hosts:
            host.catalog.apply(item)

    def add_scripted(
        self, service: str, count: int
    ) -> list[fakes.ScriptedRunner]:
        """Add runners that answer by script."""
        runners = []
        for index in range(count):
            runner = fakes.ScriptedRunner(
                self.clock,
                f'{service}-{index}',
                f'10.0.0.{len(self.network.runners) + 1}:80',
                DOMAINS[index % len(DOMAINS)],
            )
            self.add_runner(runner, service)
            runners.append(runner)
        return runners

    def add_stage_runners(
        self, service: str, limits: relay.BatchLimits, count: int
    ) -> list[fakes.LabStageRunner]:
        """Add runners that make pieces."""
        runners = []
        for index in range(count):
            runner = fakes.LabStageRunner(
                self.clock,
                f'{service}-{index}',
                f'10.0.0.{len(self.network.runners) + 1}:80',
                DOMAINS[index % len(DOMAINS)],
                limits,
            )
            self.add_runner(runner, service, slots=1)
            runners.append(runner)
        return runners

    def configure(self, configuration: relay.RelayConfiguration) -> None:
        """Put a configuration in force on every host."""
        for host in self.hosts:
            host.catalog.configuration = configuration

    def submit(
        self, host: LabHost, route: relay.Route, facts: edge.RequestMetadata
    ) -> fakes.LabExchange:
        """Let a caller send a request to a host."""
        configuration = host.catalog.configuration
        assert configuration is not None
        request = edge.HttpRequest(b'POST', b'/job/1', (), b'body')
        exchange = fakes.LabExchange(self.clock, request)
        bound: Any = exchange
        handler = edge.RequestHandler(
            host.context,
            bound,
            facts,
            route,
            None,
            configuration,
            host.open.discard,
        )
        host.open.add(handler)
        handler.start()
        return exchange

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self.clock.advance(STEP_S)
