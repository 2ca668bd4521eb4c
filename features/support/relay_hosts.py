"""Whole relay hosts on one virtual clock, with a store under control."""

import collections
from collections.abc import Callable
import itertools
import json
import math
import random
from typing import Any

import structlog
from twisted.internet.testing import MemoryReactorClock

from features.steps import relay_decision_steps
from features.support import host_hops
from features.support import peer_links
import ragwort_edge as edge
import ragwort_lab as lab
from ragwort_lab import _relay_fakes as fakes
import ragwort_model as model
import ragwort_peers as peers
import ragwort_relay as relay
import ragwort_wire as wire

PREP_LIMITS = relay.BatchLimits(8, 0.05, 0.005, 1e6, 5.0)
DOMAINS = ('north', 'east', 'south')
LINK_S = 0.002
STEP_S = 0.01
# Time of day at which a world starts.
START_WALL_S = 1_700_000_000.0
# Time that a client of the store waits for an answer beyond a watch's wait.
WATCH_MARGIN_S = 2.0


class Decoder(fakes.LabDialect):
    """Reads configurations that list the keys in force."""

    def decode_configuration(self, value: str) -> relay.RelayConfiguration:
        """Return routes of all kinds, one public, and two workspaces."""
        prep = relay.StageSpec('prep', (), 1000.0)
        fields = json.loads(value)
        homes = _homes(fields, 'homes')

        def make(path_prefix: str, **values: Any) -> relay.Route:
            return relay_decision_steps.make_route(
                name=path_prefix.strip('/'),
                path_prefix=path_prefix,
                home_regions=homes,
                **values,
            )

        once = {'kind': relay.CallKind.ONCE, 'attempts': 1}
        stream = {'kind': relay.CallKind.STREAM, 'is_resumable': True}
        return relay.RelayConfiguration(
            fields['version'],
            (
                make(path_prefix='/job/', **once),
                make(path_prefix='/open/', is_public=True, **once),
                make(path_prefix='/stream/', timeout_s=8.0, **stream),
                make(path_prefix='/safe/'),
                make(
                    path_prefix='/staged/',
                    timeout_s=8.0,
                    stages=(prep,),
                    **stream,
                ),
                *(
                    make(path_prefix=prefix, timeout_s=timeout_s, **stream)
                    for prefix, timeout_s in fields.get('streams', {}).items()
                ),
            ),
            {
                'prep': relay.ServiceSpec(
                    'prep', PREP_LIMITS, *fields.get('cold_prep', ())
                ),
                'main': relay.ServiceSpec(
                    'main', None, *fields.get('cold_main', ())
                ),
            },
            (
                relay.Workspace(
                    'school',
                    frozenset(fields['keys']),
                    home_regions=_homes(fields, 'workspace_homes'),
                ),
                relay.Workspace('museum', frozenset(['k2'])),
            ),
            relay.CallerLimits(fields.get('header_bytes', 16 * 1024)),
        )


def _homes(fields: dict[str, Any], name: str) -> frozenset[str] | None:
    return frozenset(fields[name]) if name in fields else None


class FakeStore(edge.Store):
    """One host's way to the store, which may turn it away."""

    def __init__(
        self,
        objects: 'StoreObjects',
        on_result: Callable[[model.StoreResult], None],
    ) -> None:
        """Answer from the shared objects."""
        self.objects = objects
        self.on_result = on_result
        self.is_away = objects.is_away
        self.is_silent = False
        self.watch: model.StoreCall | None = None
        objects.ways.append(self)
        self.carry: Callable[[int, Callable[[], None]], None] = (
            lambda size, then: then()
        )
        self.open: list[model.StoreCall] = []

    def call(self, effect: model.StoreCall) -> None:
        """Answer at once, or when something changes."""
        self.objects.calls += 1
        kind = effect.name.partition('/')[0]
        self.objects.calls_of[effect.verb, kind] += 1
        clock = self.objects.clock
        if self.is_silent:
            return
        if self.is_away:
            failed = model.StoreResult(
                effect.op, model.StoreStatus.UNAVAILABLE
            )
            clock.callLater(LINK_S, self.on_result, failed)
        elif kind in self.objects.failing:
            self._end(effect, self.objects.failing[kind])
        elif effect.verb == model.StoreVerb.PUT:
            status = self.objects.status_of_put(effect)
            version = 0
            if status == model.StoreStatus.OK:
                version = self.objects.put(
                    effect.name, effect.value or ''
                ).version
            self._end(effect, status, version)
        elif effect.verb == model.StoreVerb.DELETE:
            self.objects.items.pop(effect.name, None)
            self._end(effect, model.StoreStatus.OK)
        elif effect.verb == model.StoreVerb.WATCH and (
            model.revision_of(effect.since) > self.objects.revision
        ):
            self._end(effect, model.StoreStatus.GONE)
        elif effect.verb == model.StoreVerb.LIST:
            clock.callLater(LINK_S, self._answer, effect, 0)
        elif effect.wait_s == 0:
            clock.callLater(LINK_S, self._answer, effect, effect.since)
        else:
            self.open.append(effect)
            clock.callLater(effect.wait_s, self._end_wait, effect)
            self.notify()

    def _end(
        self,
        effect: model.StoreCall,
        status: model.StoreStatus,
        version: int = 0,
    ) -> None:
        """Answer with a status, and the version written or the era."""
        version = version or model.make_version(self.objects.era, 0)
        done = model.StoreResult(effect.op, status, (), version)
        self.objects.clock.callLater(LINK_S, self.on_result, done)

    def _end_wait(self, effect: model.StoreCall) -> None:
        if effect in self.open and not self.is_silent:
            self.open.remove(effect)
            self._answer(effect, effect.since)

    def break_watches(self) -> None:
        """End the open watches without an answer."""
        broken, self.open = self.open, []
        for effect in broken:
            failed = model.StoreResult(
                effect.op, model.StoreStatus.UNAVAILABLE
            )
            self.objects.clock.callLater(LINK_S, self.on_result, failed)

    def lose_watches(self) -> None:
        """Lose the answers to the open watches; their clients time out."""
        lost, self.open = self.open, []
        for effect in lost:
            failed = model.StoreResult(
                effect.op, model.StoreStatus.UNAVAILABLE
            )
            self.objects.clock.callLater(
                effect.wait_s + WATCH_MARGIN_S, self.on_result, failed
            )

    def notify(self) -> None:
        """Answer the open watches that have something to hear."""
        if self.is_silent:
            return
        for effect in list(self.open):
            if self.is_away:
                self.open.remove(effect)
                self.call(effect)
            elif self.objects.changed(effect.name, effect.since):
                self.open.remove(effect)
                self.objects.clock.callLater(
                    LINK_S, self._answer, effect, effect.since
                )

    def _answer(self, effect: model.StoreCall, since: int) -> None:
        result = model.StoreResult(
            effect.op,
            model.StoreStatus.OK,
            tuple(self.objects.changed(effect.name, since)),
            model.make_version(self.objects.era, self.objects.revision),
        )
        size = sum(len(item.value or '') for item in result.objects)
        self.carry(size, lambda: self.on_result(result))


class StoreObjects:
    """What the store holds."""

    def __init__(self, clock: Any, is_away: bool) -> None:
        """Start empty."""
        self.clock = clock
        self.is_away = is_away
        self.revision = 0
        self.era = 0
        self.calls = 0
        # How calls for a kind of object end that find nothing.
        self.failing: dict[str, model.StoreStatus] = {}
        # Calls by verb and kind of object.
        self.calls_of: collections.Counter[tuple[model.StoreVerb, str]] = (
            collections.Counter()
        )
        self.items: dict[str, model.StoredObject] = {}
        # Deletions, which watches tell and lists don't.
        self.deleted: dict[str, model.StoredObject] = {}
        self.ways: list[FakeStore] = []

    def put(self, name: str, value: str) -> model.StoredObject:
        """Write an object."""
        self.revision += 1
        version = model.make_version(self.era, self.revision)
        item = model.StoredObject(name, version, value)
        self.items[name] = item
        self.deleted.pop(name, None)
        for way in self.ways:
            way.notify()
        return item

    def status_of_put(self, effect: model.StoreCall) -> model.StoreStatus:
        """Return how a write ends, which names the version it replaces."""
        found = self.items.get(effect.name)
        if effect.expected_version and found is None:
            return model.StoreStatus.NOT_FOUND
        version = found.version if found else 0
        if version != effect.expected_version:
            return model.StoreStatus.CONFLICT
        return model.StoreStatus.OK

    def delete(self, name: str) -> None:
        """Delete an object."""
        self.items.pop(name)
        self.revision += 1
        version = model.make_version(self.era, self.revision)
        self.deleted[name] = model.StoredObject(name, version, None)
        for way in self.ways:
            way.notify()

    def copy(self) -> tuple[int, dict[str, model.StoredObject]]:
        """Return a copy to which the store can be restored."""
        return self.revision, dict(self.items)

    def restore(self, copy: tuple[int, dict[str, model.StoredObject]]) -> None:
        """Return to a copy in a new era; the waiting watches break off."""
        self.era += 1
        self.deleted.clear()
        self.revision, items = copy
        self.items = {
            name: model.StoredObject(
                name,
                model.make_version(self.era, model.revision_of(item.version)),
                item.value,
            )
            for name, item in items.items()
        }
        for way in self.ways:
            way.break_watches()

    def changed(self, prefix: str, since: int) -> list[model.StoredObject]:
        """Return the objects below prefix with a revision above since's.

        As in the real store, that is so whatever era since is from.
        """
        floor = model.revision_of(since)
        items = self.items | (self.deleted if floor else {})
        return [
            item
            for name, item in items.items()
            if name.startswith(prefix)
            and model.revision_of(item.version) > floor
        ]


class FakeLinks:
    """A host's link, which carries what it sends and gets in turn."""

    def __init__(self, world: 'HostWorld', address: str) -> None:
        """Send for one host."""
        self.world = world
        self.address = address
        self.free_at = 0.0

    def carry(self, size: int, then: Callable[[], None]) -> None:
        """Go on once the link has carried so many bytes."""
        now = self.world.clock.seconds()
        carry_s = size / self.world.link_bytes_per_s
        self.free_at = max(self.free_at, now) + carry_s
        self.world.clock.callLater(self.free_at - now + LINK_S, then)

    def send(self, effect: model.SendPeerMessage, now: float) -> int:
        """Deliver a message once both links have carried it."""
        data = wire.encode_peer(
            self.address, effect.message, effect.is_compressed
        )
        frame = wire.decode_peer(data)
        self.carry(
            len(data),
            lambda: self.world.deliver(effect.address, frame, len(data)),
        )
        return len(data)

    def close_idle(self, now: float) -> None:
        """Keep all links."""


def sample_routes(size_bytes: int, rng: random.Random) -> list[dict[str, Any]]:
    """Return as many routes, with names of their own, as fit in a size."""
    routes: list[dict[str, Any]] = []
    size = 0
    while size < size_bytes:
        words = [f'{rng.getrandbits(36):x}' for _ in range(4)]
        routes.append(
            {
                'name': f'r-{words[0]}',
                'host': f'{words[1]}.example',
                'pathPrefix': f'/{words[2]}/',
                'service': words[3],
                'kind': 'safe',
                'timeoutMs': 4000,
                'targetLatencyMs': 300,
                'priority': 2,
                'attempts': 2,
            }
        )
        size += len(json.dumps(routes[-1])) + len(', ')
    return routes


class HostWorld:
    """Some hosts, their runners and their store.

    cold bounds what cold runners get; settings are further fields of the
    configuration.
    """

    cold: relay.ColdBound | None = None
    settings: dict[str, Any] = {}
    grace_s = 8.0
    header_bytes = 16 * 1024

    def __init__(
        self,
        count: int,
        is_away: bool = False,
        seeds: tuple[str, ...] = ('10.0.0.1:84', '10.0.1.1:84'),
        link_bytes_per_s: float = math.inf,
        has_connections: bool = False,
        run_s: float = 6.0,
        evacuation_bound_s: float | None = None,
        region_of: dict[str, str] | None = None,
    ) -> None:
        """Start hosts whose store answers or not; run for some time.

        With has_connections they reach each other over connections, which
        may go silent; else messages are always delivered. region_of names
        the region of each failure domain; all are in one without it.
        """
        self.seeds = seeds
        self.evacuation_bound_s = evacuation_bound_s
        self.region_of = region_of or {}
        self.link_bytes_per_s = link_bytes_per_s
        self.clock = MemoryReactorClock()
        self.peer_network: peer_links.PeerNetwork | None = None
        if has_connections:
            self.peer_network = peer_links.PeerNetwork(self.clock)
        self.network = fakes.LabNetwork(self.clock)
        # Each host's way into the network.
        self.ways: list[fakes.LabNetwork] = []
        # Requests that hosts handed to each other.
        self.hops: list[host_hops.HopExchange] = []
        self.objects = StoreObjects(self.clock, is_away)
        self.runners: list[lab.ScriptedRunner] = []
        self.runner_numbers = itertools.count(1)
        self.stopped: dict[int, float] = {}
        # Copies of the store to which it may be restored.
        self.copies: list[tuple[int, dict[str, model.StoredObject]]] = []
        # How far each host's time of day is ahead when it starts.
        self.clock_offsets_s: dict[int, float] = {}
        for index, name in enumerate('ab'):
            self._add_runner(name, f'10.0.9.{index + 1}:80')
        self.keep_keys(['k1'])
        self.hosts = [self._host(index) for index in range(count)]
        for host in self.hosts:
            host.start()
        self.run(run_s)

    def _add_runner(self, name: str, address: str) -> None:
        runner = lab.ScriptedRunner(self.clock, name, address, 'north')
        self.network.runners[address] = runner
        self.runners.append(runner)
        self.set_runner(runner, 'live')

    def set_runner(
        self,
        runner: fakes.LabRunner,
        state: str,
        born: int = 0,
        service: str = 'main',
        cold_s: float | None = None,
    ) -> None:
        """Write a runner's entry; born is 0 where it names no start."""
        text = relay_decision_steps.entry_text(
            service=service,
            domain=runner.domain,
            address=runner.address,
            state=state,
            version=getattr(runner, 'version', ''),
            born=born,
            cold_s=cold_s,
        )
        self.objects.put(f'runner/{runner.name}', text)

    def keep_keys(
        self, keys: list[str], size_bytes: int = 0, **homes: list[str]
    ) -> model.StoredObject:
        """Write a configuration with these keys, padded to a size.

        homes are the home regions of all routes, workspace_homes those of
        the first workspace.
        """
        version = self.objects.revision + 1
        padding = sample_routes(size_bytes, random.Random(version))
        text = json.dumps(
            {
                'version': version,
                'keys': keys,
                'padding': padding,
                'header_bytes': self.header_bytes,
            }
            | homes
            | self.settings
        )
        return self.objects.put('config/main', text)

    def versions_in_force(self) -> list[int]:
        """Return the configuration's version on each host."""
        configurations = [host.catalog.configuration for host in self.hosts]
        return [found.version if found else 0 for found in configurations]

    def _host(self, index: int) -> edge.RelayHost:
        base = f'10.0.{index}.1'
        entry = model.EntryHost(
            f'host-{index}',
            f'{base}:81',
            f'{base}:84',
            DOMAINS[index % len(DOMAINS)],
            self.region_of.get(DOMAINS[index % len(DOMAINS)], 'here'),
            1.0,
            f'{base}:85',
        )
        prefixes = ['config/', 'runner/']
        if self.evacuation_bound_s is not None:
            prefixes.append('evacuations/')
        options = edge.HostOptions(
            entry,
            f'{base}:82',
            f'{base}:83',
            None,
            self.seeds,
            tuple(prefixes),
            self.grace_s,
            0.2,
            50.0,
            10.0,
            evacuation_bound_s=self.evacuation_bound_s,
            region_of=self.region_of,
            cold=self.cold,
        )
        logger = structlog.wrap_logger(structlog.ReturnLogger())
        host = edge.RelayHost(
            self.clock,
            options,
            Decoder(),
            lambda on_result: FakeStore(self.objects, on_result),
            lambda host, request: edge.HttpResponse(200),
            logger,
            random.Random(index),
        )
        version_store = host.version_store
        offset_s = self.clock_offsets_s.get(index, 0.0)
        version_store.wall_clock = lambda: (
            START_WALL_S + self.clock.seconds() + offset_s
        )
        client: Any = self.network.view()
        if index < len(self.ways):
            self.ways[index] = client
        else:
            self.ways.append(client)
        host.client = host.context.client = host.crashes.client = client
        host.stages.local_owner.client = client
        host.reach_probe.client = client
        assert host.context.hand_over is not None
        host.context.hand_over.client = client
        self.network.hosts[f'{base}:85'] = host_hops.HopPort(
            self.clock, f'{base}:85', host._on_handed, self.hops
        )
        links: Any = FakeLinks(self, entry.peer_address)
        host.peers = links
        if self.peer_network is not None:
            host.peers = self._connected(host, entry.peer_address)
        if self.link_bytes_per_s != math.inf:
            way: Any = host.store
            way.carry = links.carry

        def note_stop() -> None:
            self.stopped[index] = self.clock.seconds()

        host.on_stopped = note_stop
        return host

    def _connected(
        self, host: edge.RelayHost, address: str
    ) -> peers.PeerConnections:
        """Return a host's connections to peers; let it accept theirs."""
        assert self.peer_network is not None
        self.peer_network.listeners[address] = peers.IncomingPeerFactory(
            host._on_frame, host._on_invalid_frame
        )
        reactor = self.peer_network.reactor_of(address)
        return peers.PeerConnections(reactor, address)

    def restart(self, index: int) -> None:
        """Replace a host by a new process that knows nothing."""
        self.cut_power(self.hosts[index])
        self.hosts[index] = self._host(index)
        self.hosts[index].start()

    def cut_power(self, host: edge.RelayHost) -> None:
        """Let a host send nothing more to its peers or the store."""
        links: Any = FakeLinks(self, 'nowhere')
        links.send = lambda effect, now: 0
        host.peers = links
        way: Any = host.store
        way.is_silent = True
        host.is_stopped = True

    def kill(self, index: int) -> None:
        """End a host's process; all of its connections break."""
        self.stop_for_good(index)
        for call in self.ways[index].runner_calls:
            call.cancel()
        address = self.hosts[index].options.host.hand_over_address
        port = self.network.hosts.pop(address)
        assert isinstance(port, host_hops.HopPort)
        port.stop()

    def freeze(self, index: int) -> None:
        """Let a host's process answer nothing; its connections stay."""
        self.stop_for_good(index)
        address = self.hosts[index].options.host.hand_over_address
        port = self.network.hosts[address]
        assert isinstance(port, host_hops.HopPort)
        port.freeze()

    def hand(self, index: int, changed: dict[str, str]) -> Any:
        """Hand a request to a host as another one does; return the hop."""
        hop = {'host': 'host-0', 'left-ms': '2000', 'version': '1'} | changed
        key = hop.pop('key', 'k1')
        headers = tuple(
            (f'ragwort-{name}'.encode(), value.encode())
            for name, value in hop.items()
        )
        facts = json.dumps({'request_id': 'h1', 'access_key': key})
        request = edge.HttpRequest(
            b'GET',
            b'/safe/handed',
            (
                (b'host', b'one.example'),
                (b'facts', facts.encode()),
                *headers,
            ),
        )
        address = self.hosts[index].options.host.hand_over_address
        self.ways[0].open(address, request, edge.ResponseReader())
        self.run(0.01)
        return self.hops[-1]

    def stop_for_good(self, index: int) -> None:
        """Let a host lose power and never return."""
        links: Any = FakeLinks(self, 'nowhere')
        links.send = lambda effect, now: 0
        self.hosts[index].peers = links
        self.stopped[index] = self.clock.seconds()

    def is_cut(self, sender: str, index: int) -> bool:
        """Tell whether nothing passes from an address to a host."""
        return False

    def deliver(self, address: str, frame: Any, size: int) -> None:
        """Hand a frame to the host at an address, over its link."""
        for index, host in enumerate(self.hosts):
            is_there = host.options.host.peer_address == address
            if self.is_cut(frame.sender, index):
                continue
            if is_there and index not in self.stopped:
                self._carry_to(index, size, lambda: host._on_frame(frame))
                return

    def _carry_to(
        self, index: int, size: int, then: Callable[[], None]
    ) -> None:
        """Go on once a host's link has carried what comes to it."""
        if self.link_bytes_per_s == math.inf:
            then()
        else:
            links: Any = self.hosts[index].peers
            links.carry(size, then)

    def remove_runner(self, name: str) -> None:
        """Remove a runner's entry, which hosts read with their next list."""
        self.objects.items.pop(f'runner/{name}')
        gone = model.StoredObject(
            f'runner/{name}',
            model.make_version(self.objects.era, self.objects.revision + 1),
            None,
        )
        self.objects.revision += 1
        for host in self.hosts:
            host._on_adopted(
                host.replica.merge([gone], self.clock.seconds()), 'test'
            )

    def turn_away(self, index: int) -> None:
        """Let the store answer nothing to one host."""
        way = self.objects.ways[index]
        way.is_away = True
        way.notify()

    def let_in(self, index: int) -> None:
        """Let the store answer a host again."""
        self.objects.ways[index].is_away = False

    def ask(self, index: int, path: str, key: str) -> fakes.LabExchange:
        """Let a caller send a request to a host."""
        return self.submit(
            index, path, {'request_id': 'r1', 'access_key': key}
        )

    def ask_stream(
        self, index: int, facts: dict[str, Any]
    ) -> fakes.LabExchange:
        """Let a caller send a stream request to a host."""
        return self.submit(index, f'/stream/{facts["request_id"]}', facts)

    def submit(
        self, index: int, path: str, facts: dict[str, Any]
    ) -> fakes.LabExchange:
        """Let a caller send a request with these facts to a host."""
        request = edge.HttpRequest(
            b'POST',
            path.encode(),
            (
                (b'host', b'one.example:80'),
                (b'facts', json.dumps(facts).encode()),
            ),
        )
        exchange = fakes.LabExchange(self.clock, request)
        bound: Any = exchange
        self.hosts[index]._on_request(bound)
        return exchange

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self.clock.advance(STEP_S)


class SteadyCallers:
    """Callers that ask the hosts in turn, at an even rate."""

    def __init__(self, world: HostWorld, per_s: float) -> None:
        """Prepare to ask per_s times a second."""
        self.world = world
        self.gap_s = 1.0 / per_s
        self.exchanges: list[fakes.LabExchange] = []

    def run(self, seconds: float) -> None:
        """Ask for some seconds."""
        for _ in range(round(seconds / self.gap_s)):
            index = len(self.exchanges) % len(self.world.hosts)
            self.exchanges.append(
                self.world.ask(index, f'/job/{len(self.exchanges)}', 'k1')
            )
            self.world.run(self.gap_s)
