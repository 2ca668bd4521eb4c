"""HTTP server of the fake runner."""

import itertools
import json
import random
import signal
import time
from typing import Any

from twisted.internet import defer
from twisted.web import resource
from twisted.web import server

from ragwort_fakes import _platform_http
from ragwort_fakes import _runner
import ragwort_model as model
import ragwort_wire as wire

IDLE_CHECK_INTERVAL_S = 0.05
MIN_TIMER_DELAY_S = 0.0005


class RunnerServer:
    """Serve stage calls and orders, and a control endpoint for tests."""

    def __init__(self, reactor: Any, settings: model.RunnerSettings) -> None:
        """Create the core from settings."""
        self.reactor = reactor
        self.settings = settings
        shape = _runner.RunnerShape(
            settings.service,
            settings.service_kind,
            settings.slots,
            settings.service_time,
            settings.chunk_interval,
            settings.chunks,
            checks_fencing=settings.checks_fencing,
        )
        seed = model.stable_hash(settings.name)
        self.core = _runner.RunnerCore(
            settings.name, shape, random.Random(seed)
        )
        self.connections: dict[int, str] = {}
        self.pending: dict[str, tuple[server.Request, bytes]] = {}
        self.connection_ids = itertools.count(1)
        self.timer: Any = None
        self.port: Any = None
        self.drain_deadline = 0.0
        self.stopped: defer.Deferred[None] = defer.Deferred()

    def start(self) -> Any:
        """Listen and return the port."""
        host, port = model.split_address(self.settings.listen)
        site = _platform_http.create_unlogged_site(_Root(self))
        self.port = self.reactor.listenTCP(
            port, site, backlog=512, interface=host
        )
        return self.port

    def handle_signals(self) -> None:
        """Drain on SIGTERM and SIGINT."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, self._on_signal)

    def _on_signal(self, signal_number: int, frame: Any) -> None:
        self.reactor.callFromThread(self.drain)

    def drain(self) -> None:
        """Refuse new calls, finish accepted ones, then stop."""
        if self.core.draining:
            self._stop()
            return
        self.core.drain(time.time())
        self.drain_deadline = time.monotonic() + self.settings.drain_timeout
        self._check_idle()

    def _check_idle(self) -> None:
        idle = not self.core.running and not self.core.queued
        timed_out = time.monotonic() >= self.drain_deadline
        if timed_out or (idle and self._has_refused_long_enough()):
            self._stop()
            return
        self.reactor.callLater(IDLE_CHECK_INTERVAL_S, self._check_idle)

    def _has_refused_long_enough(self) -> bool:
        """Refuse for half the drain timeout, so that nodes see the drain."""
        remaining_s = self.drain_deadline - time.monotonic()
        return remaining_s < self.settings.drain_timeout / 2

    def _stop(self) -> None:
        if not self.stopped.called:
            self.port.stopListening()
            self.stopped.callback(None)

    def connection_name(self, request: server.Request) -> str:
        """Return a name for the connection that a request came on."""
        channel_id = id(request.channel)
        name = self.connections.get(channel_id)
        if name is None:
            name = f'connection-{next(self.connection_ids)}'
            self.connections[channel_id] = name
        return name

    def submit(self, request: server.Request) -> Any:
        """Submit the call of an HTTP request."""
        try:
            record = wire.decode_call(request.content.read())
        except model.WireError as error:
            request.setResponseCode(400)
            return str(error).encode()
        request.setHeader(b'content-type', wire.STREAM_TYPE.encode())
        connection = self.connection_name(request)
        self.pending[record.attempt] = (request, b'')
        request.notifyFinish().addErrback(
            lambda _: self._on_disconnect(record.attempt, request)
        )
        now = time.monotonic()
        self.send(self.core.submit(record, connection, now))
        self._reset_timer()
        return server.NOT_DONE_YET

    def _on_disconnect(self, attempt: str, request: server.Request) -> None:
        self.connections.pop(id(request.channel), None)
        if self.pending.pop(attempt, None) is not None:
            self.send(self.core.cancel(attempt, time.monotonic()))
            self._reset_timer()

    def _reset_timer(self) -> None:
        due = self.core.next_due()
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if due is not None:
            delay_s = max(due - time.monotonic(), MIN_TIMER_DELAY_S)
            self.timer = self.reactor.callLater(delay_s, self._tick)

    def _tick(self) -> None:
        self.send(self.core.tick(time.monotonic()))
        self._reset_timer()

    def send(self, replies: list[_runner.RunnerReply]) -> None:
        """Write replies, with all lines of a call in one write."""
        lines: dict[str, list[bytes]] = {}
        for reply in replies:
            if reply.aborts_connection:
                self._abort_connection(reply.attempt)
            elif reply.record is not None:
                line = wire.encode_result(reply.record)
                lines.setdefault(reply.attempt, []).append(line)
        for attempt, parts in lines.items():
            self._write(attempt, b''.join(parts))

    def _abort_connection(self, attempt: str) -> None:
        entry = self.pending.pop(attempt, None)
        if entry is not None:
            entry[0].channel.abortConnection()

    def _write(self, attempt: str, data: bytes) -> None:
        entry = self.pending.get(attempt)
        if entry is None:
            return
        request = entry[0]
        request.write(data)
        if attempt not in self.core.queued and (
            attempt not in self.core.running
        ):
            del self.pending[attempt]
            request.finish()


class _Root(resource.Resource):
    def __init__(self, runner: RunnerServer) -> None:
        super().__init__()
        version = resource.Resource()
        self.putChild(b'v1', version)
        version.putChild(b'calls', _Calls(runner))
        version.putChild(b'orders', _Orders(runner))
        version.putChild(b'load', _Load(runner))
        self.putChild(b'control', _Control(runner))


class _RunnerLeaf(resource.Resource):
    isLeaf = True  # noqa: N815

    def __init__(self, runner: RunnerServer) -> None:
        super().__init__()
        self.runner = runner


class _Calls(_RunnerLeaf):
    """POST of a stage call; the answer is a stream of result lines."""

    def render_POST(self, request: server.Request) -> Any:  # noqa: N802
        return self.runner.submit(request)


class _Load(_RunnerLeaf):
    """GET of the load report."""

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        record = self.runner.core.load(time.monotonic())
        return wire.encode_json(record)


class _Orders(_RunnerLeaf):
    """POST of a placement order; 409 if its fencing token is too old."""

    def render_POST(self, request: server.Request) -> bytes:  # noqa: N802
        try:
            order = wire.decode_order(request.content.read())
        except model.WireError as error:
            request.setResponseCode(400)
            return str(error).encode()
        core = self.runner.core
        if not core.apply_order(order, time.monotonic(), time.time()):
            request.setResponseCode(409)
            return b'{"error": "fencing number or expiry too old"}'
        return b'{}'


class _Control(_RunnerLeaf):
    """POST {"fault": NAME, "value": SHARE} or {"drain": BOOL}."""

    def render_POST(self, request: server.Request) -> bytes:  # noqa: N802
        body = json.loads(request.content.read())
        core = self.runner.core
        if 'drain' in body:
            change = core.drain if body['drain'] else core.undrain
            change(time.time())
        else:
            fault = _runner.RunnerFault(body['fault'])
            core.set_fault(fault, float(body['value']))
        return b'{}'

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        core = self.runner.core
        record = {
            'executed': core.executed,
            'busy_s': core.busy_s,
            'draining': core.draining,
        }
        return json.dumps(record).encode()
