"""An entry host: its sockets, timers and the state shared by hosts."""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import random
import time
import traceback
from typing import Any

import msgspec
from twisted.internet import tcp

from ragwort_edge import _body
from ragwort_edge import _client
from ragwort_edge import _cold_runners
from ragwort_edge import _context
from ragwort_edge import _crash_watch
from ragwort_edge import _dialect
from ragwort_edge import _evacuation_watch
from ragwort_edge import _guard
from ragwort_edge import _hand_over
from ragwort_edge import _last_resort
from ragwort_edge import _messages
from ragwort_edge import _metrics
from ragwort_edge import _reach_probe
from ragwort_edge import _request_handler
from ragwort_edge import _runner_limits
from ragwort_edge import _runner_replies
from ragwort_edge import _server
from ragwort_edge import _stage_service
from ragwort_edge import _stream_origins
from ragwort_edge import _stream_store
from ragwort_edge import _version_store
import ragwort_membership as membership
import ragwort_model as model
import ragwort_peers as peers
import ragwort_relay as relay
import ragwort_state as state

TICK_S = 0.1
# Longest delay between retries of store calls.
MAX_STORE_BACKOFF_S = 1.2
# Largest fleet in which every host watches the store itself, so that the
# loss of a host delays no other.
MAX_ALL_WATCH_HOSTS = 12
# Hosts that watch in larger fleets. A third of all hosts may lose the store
# silently at once; the chance that all watchers are among them is 1 in 36,000.
WATCHER_COUNT = 10
# Interval at which one watcher after the other opens its watch anew. With the
# time after which a watch is overdue, it stays below the 2 s in which a change
# has to be in force.
WATCH_RENEWAL_S = 1.0
STORE_WATCHER_ROLE = 'store-watcher'
HOST_REGISTRY_ROLE = 'host-registry'
BRITTLE_ROLE = 'brittle-runner'
# Answers to a read that tell nothing of what the store holds.
UNREADABLE_STATUSES = (
    model.StoreStatus.UNAVAILABLE,
    model.StoreStatus.RATE_LIMITED,
)
# Time after which the entry of a host that is down is deleted.
HOST_EXPIRY_S = 60.0
# Delay between join attempts of a host that knows no other: until it joins,
# it batches stage work by itself.
JOIN_INTERVAL_S = 0.25
# Time to wait for the store before serving with state from peers alone.
STORE_SYNC_TIMEOUT_S = 2.0
LISTEN_BACKLOG = 512
ADDRESS_TTL_S = 2.0
# Longest time for which callers use an address that they have cached.
MAX_ADDRESS_AGE_S = 3.0 * ADDRESS_TTL_S
# Time without a request after which a leaving host closes a connection. Its
# caller may send the next request right behind an answer.
LEAVE_IDLE_S = 0.5
MAX_ADDRESSES = 64
NOT_READY_RETRY_S = 0.5
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503


class Store:
    """Executes store calls; a callback takes the results."""

    def call(self, effect: model.StoreCall) -> None:
        """Execute a call."""
        raise NotImplementedError


class HostOptions(msgspec.Struct, frozen=True):
    """Options of a host, read from its settings.

    Addresses are IP numbers with ports. grace_s is the time limit for
    leaving; prefixes name the kinds of objects to watch. evacuation_bound_s is
    the time in which an evacuation has to be in force, None if the deployment
    has none; runner_models tells to choose the runners of all services by what
    was learned of them; cold bounds what a cold runner gets in a second, None
    for no bound.
    """

    host: model.EntryHost
    ready_address: str
    directory_address: str
    metrics_address: str | None
    seeds: tuple[str, ...]
    prefixes: tuple[str, ...]
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    evacuation_bound_s: float | None = None
    runner_models: bool = False
    # Region of each failure domain.
    region_of: dict[str, str] = {}
    memory_mb: float | None = None
    cold: relay.ColdBound | None = None

    @property
    def all_regions(self) -> dict[str, str]:
        """Return the region of each failure domain, the host's own too."""
        return {self.host.failure_domain: self.host.region} | self.region_of


StoreFactory = Callable[[Callable[[model.StoreResult], None]], Store]


class RelayHost:
    """The relay process of an entry host."""

    def __init__(
        self,
        reactor: Any,
        options: HostOptions,
        dialect: _dialect.Dialect,
        store_factory: StoreFactory,
        directory: Callable[['RelayHost', _messages.HttpRequest], Any],
        logger: Any,
        rng: random.Random | None = None,
    ) -> None:
        """Create all parts; start() opens the sockets.

        rng is seeded by the system if it is None.
        """
        self.reactor = reactor
        self.options = options
        self.dialect = dialect
        self.directory = directory
        self.logger = logger
        self.rng = rng or random.Random(random.SystemRandom().getrandbits(64))
        now = reactor.seconds()
        self.started_at = now
        self.catalog = relay.RelayCatalog(dialect)
        self.catalog.region_of = options.all_regions
        self.replica = state.Replica(self.catalog)
        self.store_era = state.StoreEra()
        self.gossip = state.Gossip(self.replica, self.rng, now)
        self.watchers = {
            prefix: state.Watcher(
                self.replica,
                self.store_era,
                self.rng,
                now,
                prefix,
                MAX_STORE_BACKOFF_S,
                WATCH_RENEWAL_S,
            )
            for prefix in options.prefixes
        }
        self.members = membership.Membership(
            options.host,
            options.seeds,
            self.rng,
            now,
            time.time(),
            JOIN_INTERVAL_S,
            is_bounded=True,
        )
        self.registry = state.HostRegistry(
            options.host, self.store_era, self.rng, now
        )
        self.parts = state.SuspectRegister(self.store_era, self.rng, now)
        self.peers = peers.PeerConnections(reactor, options.host.peer_address)
        self.peers.on_silent = self._on_silent_peer
        self.store = store_factory(self._on_store)
        self.metrics = _metrics.Metrics()
        self.guard = _guard.Guard(reactor, self.metrics, logger)
        self.last_resort = _last_resort.LastResort(self.guard, dialect)
        self.evacuations = _evacuation_watch.EvacuationWatch(
            self.catalog, options.evacuation_bound_s, self.metrics, logger
        )
        self.evacuations.is_read = lambda: (
            self.replica.synced
            or all(watcher.has_listed for watcher in self.watchers.values())
        )
        self.held = _body.HeldBytes(_body.held_limit(options.memory_mb))
        self.client = _client.HttpClient(reactor, self.held)
        self.client.report = self._on_http_error
        self.budget = relay.RetryBudget(
            options.retry_ratio, options.retry_slack, options.retry_window_s
        )
        self.stages = _stage_service.StageService(
            reactor,
            self.client,
            dialect,
            self.catalog,
            self.budget,
            self.metrics,
            logger,
            options.host.name,
            self._send_peer,
            self._stage_owner_candidates,
        )
        self.stages.on_inputs_ended = self._on_inputs_ended
        self.limit_sharing = _runner_limits.LimitSharing(
            self.catalog,
            self.members,
            self.stages,
            self.rng,
            self.metrics,
            logger,
        )
        self.catalog.cold.bound = options.cold
        self.cold_sharing = _cold_runners.ColdSharing(
            self.catalog, self.members, self.rng, self.metrics, logger, now
        )
        self.departure_sharing = _runner_replies.DepartureSharing(
            self.catalog.departure_news, self.members, self.rng, logger
        )
        self.catalog.stream_origins.started_at = now
        self.version_store = _version_store.VersionStore(
            reactor,
            self.catalog,
            self.members,
            self.store_era,
            self.rng,
            logger,
            lambda call: self.store.call(call),
        )
        self.origins = _stream_origins.OriginService(
            reactor,
            self.catalog,
            self.metrics,
            logger,
            self.rng,
            self._send_peer,
            lambda attempt, count: _stream_origins.stream_homes(
                self.members, attempt, count
            ),
            self.version_store,
            _stream_store.StreamStore(
                reactor,
                self.catalog.stream_origins,
                self.members,
                self.store_era,
                self.rng,
                logger,
                lambda call: self.store.call(call),
            ),
            lambda: _stream_origins.random_witnesses(self.members, self.rng),
        )
        self.crashes = _crash_watch.CrashWatch(
            reactor,
            self.client,
            self.catalog.crash_evidence,
            self.catalog.reach,
            self.parts,
            self.rng,
            self.metrics,
            logger,
        )
        self.context = _context.RelayContext(
            reactor,
            self.rng,
            self.client,
            dialect,
            self.catalog,
            self.budget,
            self.stages,
            self.origins,
            self.crashes,
            self.metrics,
            logger,
            options.host.failure_domain,
            self.last_resort,
            _hand_over.HandOver(
                reactor, self.client, self.members, self.rng, self.metrics
            ),
        )
        self.catalog.runner_models.is_forced = options.runner_models
        self.catalog.brittle.self_name = options.host.name
        self.catalog.brittle.holders = self._brittle_holders
        self.reach_probe = _reach_probe.ReachProbe(
            reactor, self.client, self.catalog, self.rng, logger
        )
        self.open_requests: set[_request_handler.RequestHandler] = set()
        self.caller_site = _server.Site(
            reactor,
            self._limits,
            self._on_request,
            self._on_invalid_request,
            self.held,
        )
        self.hop_site = _server.Site(
            reactor,
            self._hop_limits,
            self._on_handed,
            self._on_invalid_request,
            self.held,
        )
        for site in (self.caller_site, self.hop_site):
            site.on_slow_reader = self._on_slow_reader
            site.on_error = self._on_http_error
        self.ports: list[Any] = []
        self.caller_port: Any = None
        self.grace_s = options.grace_s
        self.was_ready = False
        self.is_stopped = False
        self.on_stopped: Callable[[], None] = lambda: None

    # Start and stop.

    def start(self) -> None:
        """Open the sockets and start the periodic tick."""
        options = self.options
        self.caller_port = self._listen(
            options.host.caller_address, self.caller_site
        )
        handlers = [
            ('ready', options.ready_address, self._on_ready),
            ('directory', options.directory_address, self._on_directory),
        ]
        if options.metrics_address:
            handlers.append(
                ('metrics', options.metrics_address, self._on_metrics)
            )
        for part, address, handler in handlers:
            site = _server.Site(
                self.reactor,
                relay.CallerLimits,
                self._guarded(part, handler),
                self._on_invalid_request,
            )
            site.on_error = self._on_http_error
            self._listen(address, site)
        if options.host.hand_over_address:
            self._listen(options.host.hand_over_address, self.hop_site)
        factory = peers.IncomingPeerFactory(
            self._on_frame, self._on_invalid_frame
        )
        self._listen(options.host.peer_address, factory)
        self.logger.info('start', address=options.host.caller_address)
        self._tick()

    def _guarded(
        self, part: str, handler: Callable[[_server.Exchange], None]
    ) -> Callable[[_server.Exchange], None]:
        """Return a handler that answers 503 if another one raises."""
        return lambda exchange: self.last_resort.serve(
            part, exchange, handler, self.last_resort.refusal
        )

    def _listen(self, address: str, factory: Any) -> Any:
        host, port = model.split_address(address)
        listening = self.reactor.listenTCP(
            port, factory, backlog=LISTEN_BACKLOG, interface=host
        )
        self.ports.append(listening)
        return listening

    def reload(self, options: HostOptions) -> None:
        """Apply the options that can change at run time."""
        budget = self.budget
        budget.ratio = options.retry_ratio
        budget.slack = options.retry_slack
        self.catalog.runner_models.is_forced = options.runner_models
        self.catalog.cold.bound = options.cold
        self.members.seeds = [
            seed
            for seed in options.seeds
            if seed != self.options.host.peer_address
        ]
        self.catalog.region_of = options.all_regions
        self.grace_s = options.grace_s
        self.parts.read_again()
        self.logger.info('reload', seeds=list(options.seeds))

    @property
    def leaving_at(self) -> float | None:
        """Return when the host was told to leave, None if it was not."""
        drain = self.context.drain
        return None if drain is None else drain.started_at

    def leave(self, told_at: float | None = None) -> None:
        """Announce the leave, finish what the time allows, then stop.

        told_at is when the process was told to, None for now.
        """
        if self.context.drain is not None:
            return
        now = self.reactor.seconds()
        drain = relay.Drain(
            now if told_at is None else told_at,
            self.grace_s,
            MAX_ADDRESS_AGE_S,
        )
        self.context.drain = drain
        self.caller_site.is_closing = self.hop_site.is_closing = True
        self.logger.info(
            'leaving',
            open=len(self.open_requests),
            age_s=round(now - drain.started_at, 3),
            grace_s=drain.grace_s,
        )
        for handler in list(self.open_requests):
            handler.on_leaving(drain)
        self.members.set_accepting(False, now)
        for message in self.members.announce(time.time()):
            self._send_peer(message)
        self.stages.local_owner.leave()
        self.origins.hand_over(now)

    def _continue_leaving(self, now: float) -> None:
        drain = self.context.drain
        if drain is None or now < drain.accept_until:
            return
        self._stop_accepting()
        is_due = now >= drain.answers_due_at
        for site in (self.caller_site, self.hop_site):
            if is_due:
                site.refuse_incomplete()
            site.close_idle(now, 0.0 if is_due else LEAVE_IDLE_S)
        if is_due:
            self.stages.local_owner.give_back_all()
        if self._has_finished or now >= drain.stop_at:
            self._stop(now)

    def _stop_accepting(self) -> None:
        """Take the connections that wait, then close the port."""
        port, self.caller_port = self.caller_port, None
        if port is None:
            return
        if isinstance(port, tcp.Port):
            # Those left in the backlog would be reset.
            port.doRead()
        port.stopListening()

    @property
    def _has_finished(self) -> bool:
        """Tell whether all requests are answered and the answers are out.

        A connection is closed once all that was written to it has gone out.
        """
        if self.caller_site.connections or self.hop_site.connections:
            return False
        return not self.open_requests and self.stages.is_idle

    def _stop(self, now: float) -> None:
        self.is_stopped = True
        self.logger.info('stop', open=len(self.open_requests))
        for handler in list(self.open_requests):
            handler.end_overdue()
        for message in self.members.leave(now, time.time()):
            self._send_peer(message)
        self.reactor.callLater(TICK_S, self.on_stopped)

    # State shared by hosts.

    @property
    def is_ready(self) -> bool:
        """Tell whether the host is ready for new requests."""
        return self.context.drain is None and self.has_synced_state

    @property
    def has_synced_state(self) -> bool:
        """Tell whether the configuration and the runners are known."""
        if self.catalog.configuration is None:
            return False
        is_listed = all(w.has_listed for w in self.watchers.values())
        if is_listed and self.parts.has_listed:
            return True
        age_s = self.reactor.seconds() - self.started_at
        return self.replica.synced and age_s >= STORE_SYNC_TIMEOUT_S

    def _tick(self) -> None:
        now, wall = self.reactor.seconds(), time.time()
        self.catalog.now = now
        parts: dict[str, Callable[[], object]] = {
            'fleet': lambda: self._expire_runners(now),
            'makers': lambda: self.stages.forget_makers(now),
            'stream-origins': lambda: self.origins.tick(now),
            'members': lambda: self._send_all(self.members.tick(now, wall)),
            'gossip': self._send_gossip,
            'limits': lambda: self._send_all(self.limit_sharing.messages(now)),
            'cold': lambda: self._send_all(self.cold_sharing.tick(now)),
            'departures': lambda: self._send_all(
                self.departure_sharing.messages(now)
            ),
            'crash-news': lambda: self._send_all(
                self.crashes.messages(self.members, now)
            ),
            'reach': lambda: self.reach_probe.tick(now),
            'crashes': lambda: self.crashes.tick(now),
            'watch': lambda: self._watch(now),
            'evacuations': lambda: self.evacuations.tick(now),
            'registry': lambda: self._register(now),
            'suspects': lambda: self._store_suspects(now),
            'host-count': lambda: self._share_host_count(now),
            'peers': lambda: self.peers.close_idle(now),
            'readiness': lambda: self._update_readiness(now),
            'changes': self._log_member_changes,
            'leaving': lambda: self._continue_leaving(now),
        }
        for name, part in parts.items():
            self.guard.run(name, part)
        if not self.is_stopped:
            self.reactor.callLater(TICK_S, self._tick)

    def _store_suspects(self, now: float) -> None:
        for call in self.crashes.store_calls(self.members, now):
            self.store.call(call)

    def _share_host_count(self, now: float) -> None:
        """Tell all who divide something among the hosts how many there are."""
        host_count = len(self.members.live())
        self.budget.on_host_count(host_count, now)
        self.catalog.prompt_sharing.hosts = host_count
        self.catalog.brittle.host_count = host_count
        self.catalog.departure_news.rumours.host_count = host_count
        self.catalog.crash_evidence.set_host_count(host_count)

    def _log_member_changes(self) -> None:
        for change in self.members.take_changes():
            update = change.update
            self.logger.info(
                'member-changed',
                member=update.name,
                status=update.status.name,
                accepting=update.accepting,
            )

    def _update_readiness(self, now: float) -> None:
        if self.is_ready == self.was_ready:
            return
        self.was_ready = self.is_ready
        self.logger.info('readiness', ready=self.is_ready)
        self.members.set_accepting(self.is_ready, now)
        for message in self.members.announce(time.time()):
            self._send_peer(message)

    def _watch_turn(self) -> state.WatchTurn | None:
        """Return this host's turn among the watchers, None if it is none."""
        host, role = self.options.host, STORE_WATCHER_ROLE
        if len(self.members.live()) <= MAX_ALL_WATCH_HOSTS:
            watchers = membership.role_holders(
                self.members, role, MAX_ALL_WATCH_HOSTS, None
            )
            return state.WatchTurn.of(host.name, watchers)
        watchers = membership.role_holders(
            self.members, role, WATCHER_COUNT, host.region
        )
        if host.name not in watchers:
            return None
        return state.WatchTurn.of(host.name, watchers)

    def _watch(self, now: float) -> None:
        turn = self._watch_turn()
        for prefix, watcher in self.watchers.items():
            overdue_count = watcher.overdue_count
            for call in watcher.tick(now, turn):
                prefixed = msgspec.structs.replace(
                    call, op=f'{prefix}{call.op}'
                )
                self.store.call(prefixed)
            if watcher.overdue_count != overdue_count:
                self.metrics.overdue_watches.inc()
                self.logger.warning('watch-overdue', objects=prefix)

    def _register(self, now: float) -> None:
        """Maintain this host's entry; read the others' if alone."""
        is_alone = len(self.members.live()) == 1
        expired: list[str] = []
        is_elected = membership.is_elected(
            self.members, HOST_REGISTRY_ROLE, 1, None
        )
        if is_elected:
            expired = self.members.departed_for(HOST_EXPIRY_S, now)
        for call in self.registry.tick(now, is_alone, is_elected, expired):
            self.store.call(call)

    def _observe_era(self, era: int, source: str, now: float) -> None:
        """Record the store's era; in a later one, wait for lost entries."""
        earlier = self.store_era.current
        if not self.store_era.observe(era, now):
            return
        self.metrics.store_era.set(era)
        self.catalog.fleet.on_store_recovered(now)
        self.logger.warning(
            'store-era', earlier=earlier, era=era, source=source
        )

    def _on_registry(self, result: model.StoreResult, now: float) -> None:
        was_registered = self.registry.is_registered
        found = self.registry.on_store_result(result, now)
        if self.registry.is_registered and not was_registered:
            is_new = result.status == model.StoreStatus.OK
            self.version_store.is_new_host = is_new
            self.logger.info(
                'host-registered', status=result.status, era=result.era
            )
        own = self.options.host.peer_address
        known = set(self.members.seeds) | {own}
        self.members.seeds += [a for a in found if a not in known]

    def _on_store(self, result: model.StoreResult) -> None:
        self.guard.run('store', lambda: self._on_store_result(result))

    def _on_store_result(self, result: model.StoreResult) -> None:
        now = self.reactor.seconds()
        self.catalog.now = now
        self._observe_era(result.era, 'store', now)
        if result.op.startswith(state.HOSTS_OP):
            self._on_registry(result, now)
            return
        if result.op.startswith(state.SUSPECTS_OP):
            self.crashes.on_store_result(result, now)
            return
        if result.op.startswith((state.VERSIONS_OP, state.STREAMS_OP)):
            self.origins.on_store_result(result, now)
            return
        for prefix, watcher in self.watchers.items():
            if not result.op.startswith(prefix):
                continue
            was_unreachable = watcher.is_store_unavailable
            unprefixed = msgspec.structs.replace(
                result, op=result.op.removeprefix(prefix)
            )
            has_entries = self.catalog.decoder.is_runner(prefix)
            if was_unreachable and result.status == model.StoreStatus.OK:
                self.catalog.fleet.on_store_recovered(now, has_entries)
                self.logger.info('store-reachable', objects=prefix)
            self._on_adopted(watcher.on_store_result(unprefixed, now), prefix)
            if has_entries and result.status in UNREADABLE_STATUSES:
                self.catalog.fleet.on_store_lost()
            if watcher.is_store_unavailable and not was_unreachable:
                self.logger.warning(
                    'store-unreachable', objects=prefix, status=result.status
                )
            self._watch(now)

    def _on_adopted(
        self, objects: list[model.StoredObject], source: str
    ) -> None:
        self.evacuations.update(source, self.reactor.seconds())
        if not objects:
            return
        if len(objects) <= state.MAX_RUMOURED_OBJECTS:
            self.gossip.add_rumours(
                objects, len(self.members.peer_addresses())
            )
            self._send_gossip()
        configuration = self.catalog.configuration
        for item in objects:
            self.logger.info(
                'object-adopted',
                object=item.name,
                version=model.format_version(item.version),
                deleted=item.value is None,
                size=len(item.value or ''),
                source=source,
                problem=self.catalog.problems.get(item.name),
                in_force=configuration.version if configuration else None,
            )
            self._log_doubt(item.name)
        self.origins.share_newly_mixed(self.reactor.seconds())
        for service in list(self.stages.local_owner.batchers):
            self.stages.local_owner.schedule_dispatch(service, 0.0)

    def _log_doubt(self, runner: str) -> None:
        doubt = self.catalog.fleet.doubtful.get(runner)
        if doubt is None:
            return
        known = self.catalog.fleet.runners.get(runner)
        self.logger.info(
            'entry-doubted',
            runner=runner,
            started_ms=doubt.entry.started_ms,
            state=doubt.entry.runner.state,
            known_started_ms=known.entry.started_ms if known else None,
            known_state=known.entry.runner.state if known else None,
            stands_s=doubt.stands_s,
        )

    def _expire_runners(self, now: float) -> None:
        for entry in self.catalog.expire_runners(now):
            self.logger.info(
                'entry-believed',
                runner=entry.runner.name,
                started_ms=entry.started_ms,
                state=entry.runner.state,
            )

    def _send_gossip(self) -> None:
        now = self.reactor.seconds()
        self._send_all(self.gossip.tick(now, self.members.peer_addresses()))

    def _send_all(self, messages: Iterable[model.SendPeerMessage]) -> None:
        for message in messages:
            # One that can't be sent, as to an odd address, stops no other.
            self.guard.run('send', functools.partial(self._send_peer, message))

    def _send_peer(self, effect: model.SendPeerMessage) -> None:
        sent_bytes = self.peers.send(effect, self.reactor.seconds())
        kind = type(effect.message).__name__
        self.metrics.peer_bytes.labels(kind).inc(sent_bytes)

    def _brittle_holders(
        self, runner: relay.FleetRunner, count: int
    ) -> list[str]:
        """Return the hosts that send to a runner, as far as in reach.

        The next ones in order stand in for those that are cut off, so that
        each host which sends is among the first that reach the runner.
        """
        assert self.context.hand_over is not None
        service = runner.entry.runner.service
        cut_off = self.context.hand_over.helpers.cut_off(
            service, self.reactor.seconds()
        )
        role = f'{BRITTLE_ROLE}/{runner.name}'
        holders = membership.role_holders(
            self.members, role, count + len(cut_off), None
        )
        return [name for name in holders if name not in cut_off][:count]

    def _stage_owner_candidates(self, service: str) -> list[str | None]:
        return membership.owner_addresses(
            self.members,
            f'stage/{service}',
            _stage_service.OWNER_CANDIDATES,
        )

    def _on_inputs_ended(self) -> None:
        for handler in list(self.open_requests):
            self.guard.run('inputs', handler.on_makers_ended)

    def _on_silent_peer(
        self, address: str, frame_count: int, age_s: float
    ) -> None:
        """Record that a connection was replaced as it does not deliver."""
        self.metrics.silent_peer_connections.inc()
        self.logger.warning(
            'peer-connection-silent',
            peer=address,
            unconfirmed=frame_count,
            age_s=round(age_s, 3),
        )

    def _on_invalid_frame(self, detail: str) -> None:
        self.logger.warning('invalid-peer-frame', detail=detail)

    def _on_frame(self, frame: Any) -> None:
        now, wall = self.reactor.seconds(), time.time()
        self.catalog.now = now
        sender, message = frame.sender, frame.message
        self.members.departures.on_heard(sender, now)
        self.cold_sharing.on_frame(sender, now)
        self.guard.run(
            type(message).__name__,
            lambda: self._send_all(
                self._on_message(sender, message, now, wall)
            ),
        )

    def _on_message(
        self, sender: str, message: model.PeerMessage, now: float, wall: float
    ) -> list[model.SendPeerMessage]:
        """Dispatch a peer's message; return the messages to send."""
        members, gossip = self.members, self.gossip
        match message:
            case model.Ping():
                return members.on_ping(sender, message, now, wall)
            case model.Ack():
                return members.on_ack(sender, message, now, wall)
            case model.IndirectPing():
                return members.on_indirect(sender, message, now, wall)
            case model.MemberSync():
                told = members.on_sync(sender, message, now)
                if message.reply:
                    told += self.crashes.for_new_host(sender)
                return told
            case model.StateDigest():
                return gossip.on_digest(sender, message)
            case model.StateVersions():
                return gossip.on_versions(sender, message, now)
            case model.StateWant():
                return gossip.on_want(sender, message)
            case model.StatePush():
                era = state.latest_era(message.objects)
                self._observe_era(era, sender, now)
                count = len(members.peer_addresses())
                self._on_adopted(gossip.on_push(message, now, count), 'peer')
            case model.CrashNews():
                self.crashes.on_told(message)
            case model.ColdRunners():
                self.cold_sharing.on_told(message.runners, now)
            case model.RunnersLeaving():
                self.departure_sharing.on_told(message.runners, now)
            case model.RunnerLimits():
                self.limit_sharing.on_told(message.limits, now)
            case (
                model.StreamsBegan()
                | model.StreamQuestion()
                | model.StreamAnswer()
            ):
                self.origins.on_peer(sender, message)
            case _:
                self.stages.on_peer(sender, message)
        return []

    # Requests.

    def _limits(self) -> relay.CallerLimits:
        configuration = self.catalog.configuration
        return configuration.limits if configuration else relay.CallerLimits()

    def _on_invalid_request(self, status: int) -> None:
        self.metrics.rejected.labels(status).inc()
        self.logger.info('request-invalid', status=status)

    def _on_http_error(self) -> None:
        self.guard.report('http', traceback.format_exc())

    def _on_slow_reader(self, reason: str) -> None:
        self.metrics.slow_readers.inc()
        self.logger.warning('slow-reader-aborted', reason=reason)

    def _hop_limits(self) -> relay.CallerLimits:
        limits = self._limits()
        size = limits.header_bytes + _hand_over.MAX_HOP_HEADER_BYTES
        return msgspec.structs.replace(limits, header_bytes=size)

    def _on_handed(self, exchange: _server.Exchange) -> None:
        """Serve a request for another host, or decline it."""
        self.last_resort.serve(
            'hop',
            exchange,
            self._serve_handed,
            lambda: _hand_over.decline(_last_resort.INTERNAL_ERROR),
        )

    def _serve_handed(self, exchange: _server.Exchange) -> None:
        try:
            hop, exchange.request = _hand_over.read_hop(exchange.request)
        except model.InvalidInputError as error:
            reason: str | None = str(error)
        else:
            reason = self._reason_to_decline(hop)
        if reason is not None:
            self._decline(exchange, reason)
            return
        self._serve(exchange, hop)

    def _reason_to_decline(self, hop: _hand_over.Hop) -> str | None:
        """Return why this host serves nothing for another, None if it may."""
        configuration = self.catalog.configuration
        if not self.members.is_alive(hop.host):
            return 'not from a member'
        if configuration is None or not self.is_ready:
            return 'not ready'
        if configuration.version < hop.version:
            return 'older configuration'
        return None

    def _on_request(self, exchange: _server.Exchange) -> None:
        self.last_resort.serve(
            'request',
            exchange,
            lambda exchange: self._serve(exchange, None),
            self.last_resort.refusal,
        )

    def _serve(
        self, exchange: _server.Exchange, hop: _hand_over.Hop | None
    ) -> None:
        """Route a request of a caller, or one that another host handed on."""
        configuration = self.catalog.configuration
        if configuration is None or not self.has_synced_state:
            self._reject(exchange, HTTP_UNAVAILABLE, 'no configuration yet')
            return
        request = exchange.request
        try:
            metadata = self.dialect.read_request(request)
        except model.InvalidInputError as error:
            self._reject(exchange, HTTP_BAD_REQUEST, str(error))
            return
        if hop is not None:
            left_s = min(hop.left_s, metadata.deadline_s or hop.left_s)
            metadata = msgspec.structs.replace(metadata, deadline_s=left_s)
        host = (request.header(b'host') or b'').decode('latin-1').lower()
        name = host.rpartition(':')[0] if ':' in host else host
        route = configuration.find_route(name, request.path)
        if route is None:
            self._deny(
                exchange, HTTP_NOT_FOUND, 'no such route', metadata, hop
            )
            return
        workspace = None
        if configuration.workspaces and not route.is_public:
            key = metadata.access_key or ''
            workspace = configuration.workspaces_by_key.get(key)
            if workspace is None:
                self._deny(
                    exchange, HTTP_UNAUTHORIZED, 'unknown key', metadata, hop
                )
                return
        handler = _request_handler.RequestHandler(
            self.context,
            exchange,
            metadata,
            route,
            workspace,
            configuration,
            self.open_requests.discard,
            hop,
        )
        self.open_requests.add(handler)
        handler.start()

    def _deny(
        self,
        exchange: _server.Exchange,
        status: int,
        reason: str,
        metadata: _dialect.RequestMetadata,
        hop: _hand_over.Hop | None,
    ) -> None:
        """Deny a request, or decline one that another host has admitted.

        What it asks for was there when it came, and has been taken since.
        """
        if hop is None:
            self._reject(exchange, status, reason, metadata)
        else:
            self._decline(exchange, reason)

    def _decline(self, exchange: _server.Exchange, reason: str) -> None:
        self.logger.info('hop-declined', reason=reason)
        exchange.respond(_hand_over.decline(reason))

    def _reject(
        self,
        exchange: _server.Exchange,
        status: int,
        reason: str,
        metadata: _dialect.RequestMetadata | None = None,
    ) -> None:
        configuration = self.catalog.configuration
        self.metrics.rejected.labels(status).inc()
        self.logger.info(
            'request-rejected',
            request=metadata.request_id if metadata else None,
            status=status,
            reason=reason,
            version=configuration.version if configuration else None,
        )
        retry_s = NOT_READY_RETRY_S if status == HTTP_UNAVAILABLE else None
        exchange.respond(self.dialect.error_response(status, retry_s, reason))

    def _on_ready(self, exchange: _server.Exchange) -> None:
        status = HTTP_OK if self.is_ready else HTTP_UNAVAILABLE
        exchange.respond(_messages.HttpResponse(status))

    def _on_directory(self, exchange: _server.Exchange) -> None:
        exchange.respond(self.directory(self, exchange.request))

    def _on_metrics(self, exchange: _server.Exchange) -> None:
        headers = ((b'content-type', b'text/plain; version=0.0.4'),)
        exchange.respond(
            _messages.HttpResponse(HTTP_OK, headers, self.metrics.text())
        )

    def addresses(
        self,
        failure_domain: str,
        caller: str,
        name: str = '',
        region: str = '',
    ) -> list[str]:
        """Return the addresses for callers to choose from at random.

        name is the host name that the caller will ask for, region where it
        is; the region of its failure domain stands for one it doesn't tell.
        """
        regions = relay.entry_regions(
            self.catalog.configuration,
            name.lower(),
            region or self.catalog.region_of.get(failure_domain, ''),
        )
        found = membership.entry_members(
            self.members,
            failure_domain,
            caller,
            regions,
            self.reactor.seconds(),
        )
        if not found:
            found = self.members.live()
        return membership.weighted_addresses(found, MAX_ADDRESSES)
