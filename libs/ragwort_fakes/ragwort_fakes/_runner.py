"""Fake of a model engine or plain service, without sockets."""

import collections
import dataclasses
import enum
import heapq
import itertools
import math
import random

from ragwort_fakes import _content
import ragwort_model as model
import ragwort_wire as wire

HEARTBEAT_INTERVAL_S = 0.25
MAX_QUEUED_PER_SLOT = 8
FAILURE_DELAY_S = 0.002
CACHED_TIME_SHARE = 0.4
PREFIX_CHARS = 256


class RunnerFault(enum.StrEnum):
    """Faults that can be injected into a fake runner."""

    SLOW = 'slow'
    FAIL = 'fail'
    REFUSE = 'refuse'
    HANG = 'hang'
    SILENT_CONNECTION = 'silent_connection'
    CROSS = 'cross'
    REPEAT = 'repeat'
    LOSE_CHUNK = 'lose_chunk'
    REORDER = 'reorder'
    TRUNCATE = 'truncate'
    LATE = 'late'
    DIE_MIDWAY = 'die_midway'


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerShape:
    """Capacity and speed of a fake runner; times in seconds.

    deviation is the standard deviation of the logarithm of the service
    time; cached_prefixes is how many prompt prefixes its cache holds.
    """

    service: str
    kind: model.ServiceKind
    slots: int = 8
    service_s: float = 0.02
    chunk_s: float = 0.002
    chunks: int = 12
    deviation: float = 0.0
    checks_fencing: bool = True
    report_lag_s: float = 0.0
    cached_prefixes: int = 0
    load_s: float = 1.0


@dataclasses.dataclass(slots=True)
class _Call:
    record: wire.CallRecord
    connection: str
    arrived_at: float
    started_at: float | None = None
    busy_s: float = 0.0
    chunks: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerReply:
    """A record to send on the connection of a call.

    aborts_connection means that the connection is aborted instead.
    """

    connection: str
    attempt: str
    record: wire.ResultRecord | None
    aborts_connection: bool = False


class RunnerCore:
    """Queue, slots, faults and the log of executed calls."""

    def __init__(
        self, name: str, shape: RunnerShape, rng: random.Random
    ) -> None:
        """Start idle and healthy."""
        self.name = name
        self.shape = shape
        self.rng = rng
        self.queued: dict[str, _Call] = {}
        self.running: dict[str, _Call] = {}
        self.events: list[tuple[float, int, str, str]] = []
        self.counter = itertools.count()
        self.faults: dict[RunnerFault, float] = {}
        self.silent_connections: set[str] = set()
        self.draining = False
        self.state_version = 0
        self.executed: list[tuple[str, str, float]] = []
        self.accepted_at: list[float] = []
        self.cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.highest_fencing = 0
        self.orders: list[model.RunnerOrder] = []
        self.loaded_at = -math.inf
        self.busy_s = 0.0
        self.crossing: list[wire.ResultRecord] = []
        self.last_report = wire.LoadRecord(0, 0, shape.slots, 0.0, False, 0)
        self.report_at = -1e9

    def set_fault(self, fault: RunnerFault, value: float) -> None:
        """Set a fault's probability, or the factor of SLOW; 0 clears it."""
        if value:
            self.faults[fault] = value
        else:
            self.faults.pop(fault, None)
        if fault == RunnerFault.SILENT_CONNECTION and not value:
            self.silent_connections.clear()

    def _should_inject(self, fault: RunnerFault) -> bool:
        share = self.faults.get(fault, 0.0)
        return share > 0.0 and self.rng.random() < share

    def drain(self, now: float) -> None:
        """Refuse new calls and finish accepted ones."""
        self.draining = True
        self.state_version = max(self.state_version + 1, int(now * 1000))

    def undrain(self, now: float) -> None:
        """Accept calls again."""
        self.draining = False
        self.state_version = max(self.state_version + 1, int(now * 1000))

    def apply_order(
        self, order: model.RunnerOrder, now: float, wall: float
    ) -> bool:
        """Apply a placement order; return False if it is refused."""
        if wall > order.expires_wall:
            return False
        if self.shape.checks_fencing and order.fencing < self.highest_fencing:
            return False
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        self.orders.append(order)
        if order.desired == model.DesiredState.UNLOADED:
            self.loaded_at = math.inf
        elif math.isinf(self.loaded_at):
            self.loaded_at = now + self.shape.load_s
        return True

    def is_loaded(self, now: float) -> bool:
        """Tell whether the model weights are loaded."""
        return now >= self.loaded_at

    def load(self, now: float) -> wire.LoadRecord:
        """Return a load report that is up to report_lag_s old."""
        if now - self.report_at >= self.shape.report_lag_s:
            self.report_at = now
            self.last_report = wire.LoadRecord(
                len(self.running),
                len(self.queued),
                self.shape.slots,
                0.0,
                self.draining,
                self.state_version,
            )
        report = self.last_report
        return wire.LoadRecord(
            report.running,
            report.queued,
            report.slots,
            now - self.report_at,
            self.draining,
            self.state_version,
            self.is_loaded(now),
        )

    def submit(
        self, record: wire.CallRecord, connection: str, now: float
    ) -> list[RunnerReply]:
        """Accept a call, or refuse it."""
        if connection in self.silent_connections:
            return []
        if self._should_inject(RunnerFault.SILENT_CONNECTION):
            self.silent_connections.add(connection)
            return []
        queue_full = len(self.queued) >= MAX_QUEUED_PER_SLOT * self.shape.slots
        unloaded = not self.is_loaded(now)
        refuses = (
            self.draining
            or self._should_inject(RunnerFault.REFUSE)
            or unloaded
        )
        if refuses or queue_full:
            reason = self._refusal_reason(unloaded)
            refusal = wire.ResultRefused(
                record.attempt, reason, self.load(now)
            )
            return [RunnerReply(connection, record.attempt, refusal)]
        self.accepted_at.append(now)
        call = _Call(record, connection, now)
        self.queued[record.attempt] = call
        self._schedule(now + HEARTBEAT_INTERVAL_S, 'heartbeat', record.attempt)
        return self._start_queued(now)

    def _refusal_reason(self, unloaded: bool) -> str:
        if self.draining:
            return 'draining'
        return 'not loaded' if unloaded else 'queue full'

    def _schedule(self, due: float, kind: str, attempt: str) -> None:
        heapq.heappush(self.events, (due, next(self.counter), kind, attempt))

    def _start_queued(self, now: float) -> list[RunnerReply]:
        while self.queued and len(self.running) < self.shape.slots:
            attempt = max(
                self.queued, key=lambda a: self.queued[a].record.priority
            )
            self._start(attempt, self.queued.pop(attempt), now)
        return []

    def _start(self, attempt: str, call: _Call, now: float) -> None:
        key = attempt.split('/', 1)[0]
        self.executed.append((key, attempt, now))
        self.running[attempt] = call
        call.started_at = now
        text = call.record.input
        call.chunks = _content.stage_chunks(
            self.shape.service, self.shape.kind, text, self.shape.chunks
        )
        if self._should_inject(RunnerFault.HANG):
            return
        if self._should_inject(RunnerFault.FAIL):
            self._schedule(now + FAILURE_DELAY_S, 'fail', attempt)
            return
        factor = self.faults.get(RunnerFault.SLOW, 1.0)
        if self._should_inject(RunnerFault.LATE):
            factor *= 20.0
        first_s = self._service_time_s(text) * factor
        chunk_s = self.shape.chunk_s * factor
        due = now + first_s
        for seq in range(call.record.resume_from, len(call.chunks)):
            self._schedule(due, f'c{seq}', attempt)
            due += chunk_s
        count = max(1, len(call.chunks) - call.record.resume_from)
        call.busy_s = first_s + (count - 1) * chunk_s
        self._schedule(due, 'end', attempt)

    def _service_time_s(self, text: str) -> float:
        service_s = self.shape.service_s
        if self.shape.deviation:
            service_s *= self.rng.lognormvariate(0.0, self.shape.deviation)
        if self.shape.cached_prefixes and self._is_cached(text):
            service_s *= CACHED_TIME_SHARE
        return service_s

    def _is_cached(self, text: str) -> bool:
        prefix = text[:PREFIX_CHARS]
        is_cached = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        while len(self.cache) > self.shape.cached_prefixes:
            self.cache.popitem(last=False)
        return is_cached

    def cancel(self, attempt: str, now: float) -> list[RunnerReply]:
        """Cancel a call if it is queued or running."""
        self.queued.pop(attempt, None)
        call = self.running.pop(attempt, None)
        if call is not None and call.started_at is not None:
            self.busy_s += now - call.started_at
        return self._start_queued(now)

    def next_due(self) -> float | None:
        """Return the time of the next event, or None."""
        return self.events[0][0] if self.events else None

    def tick(self, now: float) -> list[RunnerReply]:
        """Return the replies that are due."""
        replies: list[RunnerReply] = []
        while self.events and self.events[0][0] <= now:
            due, _, kind, attempt = heapq.heappop(self.events)
            replies += self._handle_event(kind, attempt, due)
        return replies

    def _handle_event(
        self, kind: str, attempt: str, now: float
    ) -> list[RunnerReply]:
        if kind == 'heartbeat':
            return self._heartbeat(attempt, now)
        call = self.running.get(attempt)
        if call is None:
            return []
        if call.connection in self.silent_connections:
            return self._finish(attempt, now) if kind == 'end' else []
        if kind == 'end':
            return self._end(attempt, call, now)
        if kind == 'fail':
            record = wire.ResultError(attempt, 'stand-in failure')
            return [
                RunnerReply(call.connection, attempt, record),
                *self._finish(attempt, now),
            ]
        return self._chunk(attempt, call, int(kind[1:]), now)

    def _heartbeat(self, attempt: str, now: float) -> list[RunnerReply]:
        call = self.queued.get(attempt) or self.running.get(attempt)
        if call is None:
            return []
        self._schedule(now + HEARTBEAT_INTERVAL_S, 'heartbeat', attempt)
        if call.connection in self.silent_connections or self._is_hung(
            call, now
        ):
            return []
        record = wire.ResultHeartbeat(attempt)
        return [RunnerReply(call.connection, attempt, record)]

    def _is_hung(self, call: _Call, now: float) -> bool:
        return call.started_at is not None and call.busy_s == 0.0

    def _finish(self, attempt: str, now: float) -> list[RunnerReply]:
        call = self.running.pop(attempt)
        assert call.started_at is not None
        self.busy_s += now - call.started_at
        return self._start_queued(now)

    def _chunk(
        self, attempt: str, call: _Call, seq: int, now: float
    ) -> list[RunnerReply]:
        record = wire.ResultChunk(attempt, seq, call.chunks[seq])
        reply = RunnerReply(call.connection, attempt, record)
        if self._should_inject(RunnerFault.DIE_MIDWAY):
            abort = RunnerReply(
                call.connection, attempt, None, aborts_connection=True
            )
            return [abort, *self._finish(attempt, now)]
        if self._should_inject(RunnerFault.LOSE_CHUNK):
            return []
        if self._should_inject(RunnerFault.CROSS):
            return self._cross(call, reply, attempt)
        if self._should_inject(RunnerFault.REORDER) and seq + 1 < len(
            call.chunks
        ):
            next_chunk = wire.ResultChunk(
                attempt, seq + 1, call.chunks[seq + 1]
            )
            return [RunnerReply(call.connection, attempt, next_chunk), reply]
        if self._should_inject(RunnerFault.REPEAT):
            return [reply, reply]
        return [reply]

    def _cross(
        self, call: _Call, reply: RunnerReply, attempt: str
    ) -> list[RunnerReply]:
        """Return the reply and a copy on the connection of another call."""
        others = [
            (name, other)
            for name, other in self.running.items()
            if name != attempt
        ]
        if not others:
            return [reply]
        name, other = self.rng.choice(others)
        return [RunnerReply(other.connection, name, reply.record), reply]

    def _end(self, attempt: str, call: _Call, now: float) -> list[RunnerReply]:
        started = self._finish(attempt, now)
        if self._should_inject(RunnerFault.TRUNCATE):
            abort = RunnerReply(
                call.connection, attempt, None, aborts_connection=True
            )
            return [abort, *started]
        record = wire.ResultEnd(
            attempt,
            len(call.chunks),
            model.content_digest(call.chunks),
            call.busy_s,
            self.load(now),
        )
        return [RunnerReply(call.connection, attempt, record), *started]
