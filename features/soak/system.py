"""A whole system under the soak: hosts, store, runners and callers."""

import itertools
import json
import pathlib
import random
import signal
from typing import Any

from twisted.internet import defer

from features.soak import clients
from features.soak import hosts
from features.soak import ledger
from features.soak import proxy
from features.soak import runners
from features.soak import store
import ragwort_edge as edge

ZONES = ('north', 'east', 'south')
SERVICES = {'plain': 3, 'engine': 3, 'stage-a': 2, 'stage-b': 2}
VERSIONS = (('v1', 'v2'), ('v2', 'v1'))
STANDING_KEYS = ('key-0', 'key-1')
ADDRESS_POLL_S = 1.0
ASK_TIMEOUT_S = 1.0
# Time that callers pass over a host that failed them.
AVOID_S = 1.0
KEY_CHANGE_S = (2.0, 4.0)
LOOK_S = 0.1
PIECES = {
    'batch': runners.BATCH,
    'callMs': runners.CALL_S * 1000,
    'itemMs': runners.PIECE_S * 1000,
    'headroomMb': 100.0,
    'handleS': 4.0,
}


def _route(
    name: str,
    prefix: str,
    kind: str,
    service: str,
    timeout_s: float = clients.DEADLINE_S,
) -> dict[str, Any]:
    return {
        'name': name,
        'host': clients.SITE,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': timeout_s * 1000,
        'targetLatencyMs': 800,
        'attempts': 1 if kind == 'unsafe' else 2,
        'service': service,
        'resumeStreams': kind == 'streaming',
    }


STAGES = [
    {'service': 'stage-a', 'after': [], 'bytes': 3000000},
    {'service': 'stage-b', 'after': [0], 'bytes': 60000},
    {'service': 'stage-a', 'after': [1], 'bytes': 6000},
]
ROUTES = [
    _route('safe', '/safe/', 'safe', 'plain'),
    _route('once', '/once/', 'unsafe', 'plain'),
    _route('stream', '/stream/', 'streaming', 'engine'),
    _route('staged', '/stream/staged/', 'streaming', 'engine')
    | {'stages': STAGES},
]
LATE_ROUTES = [
    _route(name, prefix, kind, service, clients.LATE_DEADLINE_S)
    for name, prefix, kind, service in (
        ('late-safe', '/safe/late/', 'safe', 'plain'),
        ('late-once', '/once/late/', 'unsafe', 'plain'),
        ('late-stream', '/stream/late/', 'streaming', 'engine'),
    )
]
OUTLASTING_ROUTES = [
    LATE_ROUTES[-1],
    _route(
        'outlasting',
        '/stream/outlasting/',
        'streaming',
        'engine',
        clients.LATE_DEADLINE_S,
    ),
]
SLOW_ROUTES = [
    _route(name, f'/once/{name}/', 'unsafe', 'plain', clients.SLOW_DEADLINE_S)
    for name in clients.SLOW_KINDS
]
# Callers of the late routes for each host, and of the others in all: all of
# them share a few runners.
LATE_CALLERS_PER_HOST = 2
MAX_CALLERS_OF_KIND = 4


class SoakSystem:
    """Everything of one run; the records are what was seen of it."""

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        folder: pathlib.Path,
        base: str,
        host_count: int,
        caller_count: int,
        has_versions: bool = False,
        has_deadly: bool = False,
        has_same: bool = False,
        has_late: bool = False,
        has_outlasting: bool = False,
        has_slow: bool = False,
    ) -> None:
        """Create all parts; base is the start of the hosts' IP numbers.

        With has_versions the engine's runners are of two software versions,
        in turn at each start, and callers take broken streams up. has_late
        adds callers with long requests, one after the other, has_outlasting
        some whose streams grow as their host leaves, has_slow some with large
        bodies, of which callers and runners read a part, stop, and read on.
        """
        self.reactor = reactor
        self.rng = rng
        self.records = ledger.Ledger()
        self.dead_end = proxy.DeadEnd()
        self.store = store.StoreStandIn(reactor)
        self.version = 0
        self.configuration: dict[str, Any] = {}
        self.routes = list(ROUTES)
        for routes, is_wanted in (
            (LATE_ROUTES, has_late),
            (OUTLASTING_ROUTES, has_outlasting),
            (SLOW_ROUTES, has_slow),
        ):
            if is_wanted:
                self.routes += [r for r in routes if r not in self.routes]
        self.keys = set(STANDING_KEYS)
        self.key_numbers = iter(range(10_000))
        self.write_configuration()
        self.runners = [
            runners.RunnerStandIn(
                reactor,
                self.store,
                self.records,
                service,
                ZONES[index % len(ZONES)],
                VERSIONS[index % 2]
                if has_versions and service == 'engine'
                else ('',),
            )
            for service, count in SERVICES.items()
            for index in range(count)
        ]
        seeds = [
            f'{base}.{n + 1}:{hosts.PORTS["control"]}'
            for n in range(min(3, host_count))
        ]
        self.hosts = [
            hosts.HostProcess(
                reactor,
                folder,
                index,
                base,
                ZONES[index % len(ZONES)],
                seeds,
                self.store.address,
            )
            for index in range(host_count)
        ]
        self.records.starts = {h.name: h.starts for h in self.hosts}
        self.by_front = {h.address('front'): h for h in self.hosts}
        self.listed: list[hosts.HostProcess] = []
        self.avoided: dict[str, float] = {}
        self.client = edge.HttpClient(reactor)
        self.callers = [
            clients.Caller(
                reactor,
                random.Random(rng.random()),
                self.records,
                self._choose_host,
                self._choose_key,
                index % 2 == 0,
                has_versions,
                has_deadly,
                has_same,
            )
            for index in range(caller_count)
        ]
        if has_late:
            self.callers += [
                clients.LateCaller(
                    reactor,
                    random.Random(f'late/{rng.random()}'),
                    self.records,
                    self._choose_host,
                    self._choose_key,
                    True,
                )
                for _ in range(LATE_CALLERS_PER_HOST * host_count)
            ]
        if has_outlasting:
            self.callers += self._callers_of(clients.OutlastingCaller)
        if has_slow:
            self.callers += self._callers_of(clients.SlowCaller)
            for host in self.hosts:
                host.front.reads_answers_slowly = True
            for runner in self.runners:
                runner.proxy.reads_requests_slowly = True
        self.is_stopped = False
        # Processes that are known to have ended.
        self.ended: set[int] = set()
        # Domains that the operator evacuates.
        self.evacuated: set[str] = set()

    def _callers_of(self, kind: type[clients.Caller]) -> list[clients.Caller]:
        """Return callers of a kind that keep their connections."""
        return [
            kind(
                self.reactor,
                random.Random(f'{kind.__name__}/{self.rng.random()}'),
                self.records,
                self._choose_host,
                self._choose_key,
                True,
            )
            for _ in range(min(len(self.hosts), MAX_CALLERS_OF_KIND))
        ]

    # The operator.

    def write_configuration(self) -> None:
        """Write the configuration with the keys of now."""
        self.version += 1
        services: list[dict[str, Any]] = [
            {'name': name} | ({'pieces': PIECES} if 'stage' in name else {})
            for name in SERVICES
        ]
        configuration: dict[str, Any] = {
            'version': self.version,
            'routes': self.routes,
            'services': services,
            'limits': {
                'headerBytes': 16384,
                'bodyBytes': 4194304,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
            'tenants': [{'name': 'soak', 'accessKeys': sorted(self.keys)}],
        }
        self.configuration = configuration
        self.store.put('config', 'main', configuration)

    def rewrite_store(self) -> None:
        """Write again what the operator and the runners wrote before."""
        if self.is_stopped:
            return
        self.store.put('config', 'main', self.configuration)
        for kind, name in list(self.store.objects):
            if kind == 'evacuations' and name not in self.evacuated:
                self.store.remove(kind, name)
        for zone in self.evacuated:
            self.store.put('evacuations', zone, {})
        live = {r.identifier for r in self.runners if r.is_up}
        for runner in self.runners:
            if runner.is_up:
                runner.register()
        for kind, name in list(self.store.objects):
            if kind == runners.KIND and name not in live:
                self.reactor.callLater(
                    runners.LAPSE_S, self._remove_dead_entry, name
                )

    def _remove_dead_entry(self, name: str) -> None:
        if name not in {r.identifier for r in self.runners if r.is_up}:
            self.store.remove(runners.KIND, name)

    def change_keys(self) -> None:
        """Give or take a key, now and then; the standing keys stay."""
        if self.is_stopped:
            return
        given = sorted(self.keys - set(STANDING_KEYS))
        if len(given) > 1 and self.rng.random() < 0.5:
            key = self.rng.choice(given)
            self.keys.discard(key)
        else:
            key = f'given-{next(self.key_numbers)}'
            self.keys.add(key)
        self.write_configuration()
        now = self.reactor.seconds()
        change = ledger.KeyChange(key, key in self.keys, now)
        self.records.key_changes.append(change)
        self.reactor.callLater(
            self.rng.uniform(*KEY_CHANGE_S), self.change_keys
        )

    # What callers go by.

    def _choose_host(self) -> hosts.HostProcess | None:
        now = self.reactor.seconds()
        good = [h for h in self.listed if self.avoided.get(h.name, 0) < now]
        if not good:
            return None
        wanted = {host for host, _ in self.records.unserved}
        chosen = self.rng.choice([h for h in good if h.name in wanted] or good)
        if not chosen.is_running:
            self.avoided[chosen.name] = now + AVOID_S
        return chosen

    def _choose_key(self) -> str:
        changes = self.records.key_changes
        if changes and self.rng.random() < 0.3:
            return self.rng.choice(changes).key
        return self.rng.choice(STANDING_KEYS)

    async def _ask_addresses(self) -> None:
        """Ask up to three hosts for addresses and keep the first answer."""
        asked = self.rng.sample(self.hosts, min(3, len(self.hosts)))
        for host in asked:
            request = edge.HttpRequest(
                b'GET',
                f'/api/resolution?name={clients.SITE}&zone=north'.encode(),
                ((b'host', host.ip_number.encode()),),
            )
            try:
                response = await edge.fetch(
                    self.client,
                    host.address('directory'),
                    request,
                    ASK_TIMEOUT_S,
                )
                addresses = json.loads(response.body)['addresses']
            except (edge.CallError, ValueError, KeyError):
                continue
            self.listed = [
                self.by_front[a] for a in addresses if a in self.by_front
            ]
            return

    def _look(self) -> None:
        """Note which runners are not sound and which hosts have ended."""
        if self.is_stopped:
            return
        for runner in self.runners:
            if not runner.is_sound:
                runner.note_unsound()
        for host in self.hosts:
            self._look_at(host)
        self.reactor.callLater(LOOK_S, self._look)

    def _look_at(self, host: hosts.HostProcess) -> None:
        if host.process is None or host.is_leaving or host.is_running:
            return
        code = host.process.returncode
        now = self.reactor.seconds()
        if code == -signal.SIGKILL or host.process.pid in self.ended:
            return
        self.ended.add(host.process.pid)
        gone = ledger.HostExit(host.name, now, now, code)
        self.records.crashes.append(gone)

    def _poll_addresses(self) -> None:
        if self.is_stopped:
            return
        done = defer.Deferred.fromCoroutine(self._ask_addresses())
        done.addBoth(
            lambda _: self.reactor.callLater(
                ADDRESS_POLL_S, self._poll_addresses
            )
        )

    # Start and end.

    def start(self) -> None:
        """Start all hosts and callers."""
        for host in self.hosts:
            host.start()
        self._poll_addresses()
        self._look()
        for caller in self.callers:
            caller.start()

    def unserved_since(self, since: float) -> list[tuple[str, str]]:
        """Return hosts and kinds without a good answer asked for since."""
        served = {
            (one.host, one.kind)
            for one in self.records.outcomes
            if one.status == 200
            and one.problem is None
            and one.asked_at >= since
        }
        wanted = itertools.product(
            (host.name for host in self.hosts), clients.KINDS
        )
        return [pair for pair in wanted if pair not in served]

    def stop(self) -> None:
        """End callers, hosts and stand-ins."""
        self.is_stopped = True
        for caller in self.callers:
            caller.stop()
        for host in self.hosts:
            host.end()
        for runner in self.runners:
            runner.proxy.close()
            if runner.port is not None:
                runner.port.stopListening()
        self.store.port.stopListening()
        self.dead_end.close()
