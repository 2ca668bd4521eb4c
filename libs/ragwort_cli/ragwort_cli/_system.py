"""A complete system on loopback in one process, for demo and load."""

from collections.abc import Sequence
import random
import socket
from typing import Any

from twisted.internet import defer

import ragwort_fakes as fakes
import ragwort_model as model
import ragwort_node as node

NODE_COUNT = 3
RUNNERS_PER_SERVICE = 4
FAILURE_DOMAINS = ('fd-1', 'fd-2', 'fd-3', 'fd-4')
SERVICE_TIMES_MS = {
    'encoder': 8,
    'retriever': 15,
    'reranker': 12,
    'generator': 40,
    'registrar': 10,
}
READY_CHECK_INTERVAL_S = 0.05
READY_TIMEOUT_S = 15.0


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses whose ports are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for listener in sockets:
            listener.bind(('127.0.0.1', 0))
        return [f'127.0.0.1:{s.getsockname()[1]}' for s in sockets]
    finally:
        for listener in sockets:
            listener.close()


class LocalSystem:
    """Fake platform, fake runners of five services, and entry nodes."""

    def __init__(self, reactor: Any, node_count: int = NODE_COUNT) -> None:
        """Create all servers without starting them."""
        self.reactor = reactor
        runner_count = RUNNERS_PER_SERVICE * len(fakes.SERVICES)
        addresses = free_addresses(1 + runner_count + 2 * node_count)
        self.platform_address = addresses.pop()
        self.runners = self._create_runners(addresses)
        self.platform = fakes.PlatformServer(
            reactor, self._platform_settings()
        )
        self.nodes = self._create_nodes(addresses, node_count)

    def _create_runners(
        self, addresses: list[str]
    ) -> list[fakes.RunnerServer]:
        rng = random.Random(1)
        servers: list[fakes.RunnerServer] = []
        for service, content in fakes.SERVICES.items():
            for index in range(RUNNERS_PER_SERVICE):
                time_factor = rng.uniform(0.8, 1.2)
                settings = model.RunnerSettings.model_validate(
                    {
                        'kind': 'runner',
                        'name': f'{service}-{index + 1}',
                        'service': service,
                        'service_kind': content['kind'],
                        'listen': addresses.pop(),
                        'failure_domain': FAILURE_DOMAINS[
                            index % len(FAILURE_DOMAINS)
                        ],
                        'service_time': (
                            f'{SERVICE_TIMES_MS[service] * time_factor:.1f}ms'
                        ),
                        'cost_rate': 1.0 if index % 2 else 0.6,
                    }
                )
                servers.append(fakes.RunnerServer(self.reactor, settings))
        return servers

    def _platform_settings(self) -> model.PlatformSettings:
        runners: fakes.Objects = {
            server.settings.name: {
                'service': server.settings.service,
                'address': server.settings.listen,
                'failure_domain': server.settings.failure_domain,
                'cost_rate': server.settings.cost_rate,
            }
            for server in self.runners
        }
        objects = fakes.sample_objects(
            {**fakes.HOULE_CLASSES, **fakes.CAMPBELL_CLASSES},
            [*fakes.HOULE_WORKSPACES, *fakes.CAMPBELL_WORKSPACES],
            runners,
        )
        return model.PlatformSettings.model_validate(
            {
                'kind': 'platform',
                'name': 'platform',
                'listen': self.platform_address,
                'objects': objects,
            }
        )

    def _create_nodes(
        self, addresses: list[str], count: int
    ) -> list[node.NodeDaemon]:
        callers = [addresses.pop() for _ in range(count)]
        peers = [addresses.pop() for _ in range(count)]
        return [
            node.NodeDaemon(
                self.reactor,
                model.NodeSettings.model_validate(
                    {
                        'kind': 'node',
                        'name': f'node-{index + 1}',
                        'region': 'local',
                        'failure_domain': FAILURE_DOMAINS[index],
                        'callers': callers[index],
                        'peers': peers[index],
                        'platform': self.platform_address,
                        'seeds': peers,
                    }
                ),
            )
            for index in range(count)
        ]

    @property
    def entry_addresses(self) -> list[str]:
        """Return the addresses on which the nodes serve callers."""
        return [daemon.settings.callers for daemon in self.nodes]

    def start(self) -> 'defer.Deferred[None]':
        """Start all servers; fire once every node is serving."""
        self.platform.start()
        for runner in self.runners:
            runner.start()
        for daemon in self.nodes:
            daemon.start()
        ready: defer.Deferred[None] = defer.Deferred()
        ready_deadline = self.reactor.seconds() + READY_TIMEOUT_S
        self._check_ready(ready, ready_deadline)
        return ready

    def _check_ready(
        self, ready: 'defer.Deferred[None]', ready_deadline: float
    ) -> None:
        states = [daemon.core.state for daemon in self.nodes]
        members = [len(daemon.core.addresses('', '')) for daemon in self.nodes]
        serving = all(s == node.NodeState.SERVING for s in states)
        if serving and min(members) == len(self.nodes):
            ready.callback(None)
        elif self.reactor.seconds() >= ready_deadline:
            error = model.RagwortError(
                f'nodes are not ready in time, states: {states}'
            )
            ready.errback(error)
        else:
            self.reactor.callLater(
                READY_CHECK_INTERVAL_S,
                self._check_ready,
                ready,
                ready_deadline,
            )


def sample_class_targets() -> dict[str, model.Target]:
    """Return the targets of the sample classes of work."""
    classes = {**fakes.HOULE_CLASSES, **fakes.CAMPBELL_CLASSES}
    return {
        name: model.Target(attainment, deadline_s, cost)
        for name, (_, attainment, deadline_s, cost) in classes.items()
    }


def workspace_for(class_of_work: str, index: int) -> str:
    """Return a workspace that uses a sample class of work."""
    names: Sequence[str] = fakes.CAMPBELL_WORKSPACES
    if class_of_work in fakes.HOULE_CLASSES:
        names = fakes.HOULE_WORKSPACES
    return names[index % len(names)]
