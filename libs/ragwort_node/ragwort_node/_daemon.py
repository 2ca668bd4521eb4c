"""The node daemon: sockets, timers and signals around the core."""

import random
import signal
import time
from typing import Any

import structlog
from twisted.internet import defer

import ragwort_http as http
import ragwort_model as model
from ragwort_node import _caller_http
from ragwort_node import _core
from ragwort_node import _effects
from ragwort_node import _logs
from ragwort_node import _metrics
from ragwort_node import _options
from ragwort_node import _runner_client
from ragwort_node import _status
from ragwort_node import _store_client
import ragwort_peers as peers
import ragwort_wire as wire

FLUSH_DELAY_S = 0.002
METRICS_INTERVAL_S = 1.0
MIN_TICK_DELAY_S = 0.001
LEAVE_FLUSH_S = 0.2
MAX_TRACE_CHARACTERS = 1500


class NodeDaemon:
    """Pass events of sockets to the core and carry out its effects."""

    def __init__(self, reactor: Any, settings: model.NodeSettings) -> None:
        """Create the core and its clients without listening."""
        self.reactor = reactor
        self.settings = settings
        self.max_body = settings.limits.max_body
        self.logger = structlog.get_logger().bind(node=settings.name)
        self.metrics = _metrics.Metrics(settings.statsd)
        self.core = _core.NodeCore(
            _options.options_from_settings(settings),
            random.Random(random.SystemRandom().getrandbits(64)),
            self.now(),
            self.wall(),
        )
        self.http = http.HttpClient(reactor)
        self.runners = _runner_client.RunnerClient(
            reactor, self.http, self._on_runner, self._on_load
        )
        self.store = _store_client.StoreClient(
            reactor, self.http, settings.platform, self._on_store
        )
        self.peers = peers.PeerConnections(reactor, settings.peers)
        self.peers.on_silent = self._on_silent_peer
        self.streams: dict[str, _caller_http.CallerStream] = {}
        self.unflushed_streams: dict[str, _caller_http.CallerStream] = {}
        self.flush_call: Any = None
        self.tick_call: Any = None
        self.ports: list[Any] = []
        self.next_metrics_flush = 0.0
        self.stopped: defer.Deferred[None] = defer.Deferred()

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the time of day in seconds."""
        return time.time()

    def start(self) -> None:
        """Start to listen and to tick."""
        host, port = model.split_address(self.settings.callers)
        site = _caller_http.caller_site(
            self, self.settings.limits.idle_connection
        )
        self.ports.append(
            self.reactor.listenTCP(port, site, backlog=512, interface=host)
        )
        host, port = model.split_address(self.settings.peers)
        factory = peers.IncomingPeerFactory(
            self._on_frame, self._on_invalid_frame
        )
        self.ports.append(
            self.reactor.listenTCP(port, factory, interface=host)
        )
        self._tick()

    def handle_signals(self) -> None:
        """Drain on the first SIGTERM or SIGINT, stop on the second."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)

    def _on_signal(self, number: int, frame: Any) -> None:
        self.reactor.callFromThread(self.drain)

    def drain(self) -> None:
        """Start to drain; a second call stops at once."""
        states = (_status.NodeState.DRAINING, _status.NodeState.REFUSING)
        if self.core.state in states:
            self._stop()
            return
        self.perform(self.core.begin_drain(self.now(), self.wall()))

    def _tick(self) -> None:
        now = self.now()
        self.perform(self.core.tick(now, self.wall()))
        if now >= self.next_metrics_flush:
            self.next_metrics_flush = now + METRICS_INTERVAL_S
            self._flush_metrics(now)
        if self.core.is_drain_over(now) or (
            self.core.is_drained() and not self.streams
        ):
            self._leave()
            return
        delay_s = max(self.core.next_due() - self.now(), MIN_TICK_DELAY_S)
        self.tick_call = self.reactor.callLater(delay_s, self._tick)

    def _flush_metrics(self, now: float) -> None:
        self.peers.close_idle(now)
        gauges = {
            'open_requests': float(len(self.core.engine.active)),
            'store_era': float(self.core.control.store_era.current),
            'claims_rewritten': float(
                self.core.control.ledger.rewritten_count
            ),
            'members': float(len(self.core.control.members.live())),
        }
        self.metrics.flush(gauges)

    def _leave(self) -> None:
        """Announce the departure and stop after the messages are sent."""
        self.perform(self.core.leave(self.now(), self.wall()))
        self.reactor.callLater(LEAVE_FLUSH_S, self._stop)

    def _stop(self) -> None:
        if self.tick_call is not None and self.tick_call.active():
            self.tick_call.cancel()
        for port in self.ports:
            port.stopListening()
        self.ports.clear()
        self.peers.close()
        if not self.stopped.called:
            self.stopped.callback(None)

    def perform(self, effects: list[_effects.Effect]) -> None:
        """Carry out effects in order."""
        for effect in effects:
            match effect:
                case model.AnswerCaller():
                    self._deliver_event(effect)
                case model.CallRunner():
                    self.runners.call(effect)
                case model.CancelCall():
                    self.runners.cancel(effect)
                case model.SendPeerMessage():
                    self.peers.send(effect, self.now())
                case model.StoreCall():
                    self.store.call(effect)
                case model.SendOrder():
                    self.runners.send_order(effect)
                case model.ReadLoad():
                    self.runners.read_load(effect)
                case _effects.Decision():
                    _logs.log_decision(self.logger, effect)
                case _effects.Count():
                    self.metrics.count(effect.name, effect.value)
                case _effects.Timing():
                    self.metrics.timing(effect.name, effect.duration_s)
                case _effects.RefuseCaller():
                    stream = self.streams.get(effect.subscriber)
                    if stream is not None:
                        stream.refuse(effect)

    def _deliver_event(self, effect: model.AnswerCaller) -> None:
        stream = self.streams.get(effect.subscriber)
        if stream is None:
            return
        stream.on_event(effect.event)
        self.unflushed_streams[effect.subscriber] = stream
        if self.flush_call is None:
            # Events that a stream gets within this delay share one write.
            self.flush_call = self.reactor.callLater(
                FLUSH_DELAY_S, self._flush_streams
            )

    def _flush_streams(self) -> None:
        self.flush_call = None
        streams = list(self.unflushed_streams.values())
        self.unflushed_streams.clear()
        for stream in streams:
            stream.flush()

    def open_stream(self, stream: _caller_http.CallerStream) -> None:
        """Register the stream that receives its subscriber's events."""
        self.streams[stream.subscriber] = stream

    def close_stream(self, subscriber: str) -> None:
        """Remove a subscriber whose answer has ended or connection closed."""
        if self.streams.pop(subscriber, None) is not None:
            self.perform(self.core.detach(subscriber))

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self.metrics.count(name)

    def on_error(self, trace: str) -> None:
        """Log and count an error that nobody expected."""
        self.metrics.count('caller.unexpected_error')
        detail = trace[-MAX_TRACE_CHARACTERS:]
        self.logger.error('unexpected-error', part='http', detail=detail)

    def _on_runner(self, event: _runner_client.RunnerEvent) -> None:
        self.perform(self.core.on_runner(event, self.now()))

    def _on_load(self, event: model.LoadResult) -> None:
        self.perform(self.core.on_load(event, self.now()))

    def _on_store(self, result: model.StoreResult) -> None:
        self.perform(self.core.on_store(result, self.now()))

    def _on_frame(self, frame: wire.PeerFrame) -> None:
        effects = self.core.on_peer(
            frame.sender, frame.message, self.now(), self.wall()
        )
        self.perform(effects)

    def _on_silent_peer(
        self, address: str, frame_count: int, age_s: float
    ) -> None:
        self.metrics.count('peer.silent')
        self.logger.warning(
            'peer-connection-silent',
            peer=address,
            unconfirmed=frame_count,
            age_s=round(age_s, 3),
        )

    def _on_invalid_frame(self, detail: str) -> None:
        self.metrics.count('peer.damaged')
        self.logger.warning('invalid-peer-frame', detail=detail)
