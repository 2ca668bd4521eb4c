"""Stand-in of the platform's object API, without sockets."""

import dataclasses
import enum

import ragwort_model as model

HISTORY_LIMIT = 10_000
BURST_S = 1.0
STALE_REVISIONS = 25


class PlatformFault(enum.StrEnum):
    """Ways in which the stand-in platform can be told to misbehave."""

    DOWN = 'down'
    LOSE_ANSWER = 'lose_answer'
    STALE_LIST = 'stale_list'
    STALE_WATCH = 'stale_watch'
    CONFLICT = 'conflict'
    SLOW = 'slow'


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Token bucket of one published rate, in calls per second."""

    rate: float
    tokens: float
    at: float = 0.0

    def take(self, now: float) -> bool:
        passed_s = max(0.0, now - self.at)
        limit = self.rate * BURST_S
        self.tokens = min(self.tokens + passed_s * self.rate, limit)
        self.at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclasses.dataclass(slots=True)
class _Watch:
    caller: str
    call: model.StoreCall
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class WatchAnswer:
    """A watch that has ended, and the caller it belongs to."""

    caller: str
    result: model.StoreResult


class PlatformCore:
    """Versioned objects with conditional updates and watches."""

    def __init__(self, reads_per_s: float, writes_per_s: float) -> None:
        """Start empty, with full allowances."""
        self.objects: dict[str, model.StoredObject] = {}
        self.history: list[model.StoredObject] = []
        self.compacted = 0
        self.revision = 0
        self.watches: list[_Watch] = []
        self.faults: set[PlatformFault] = set()
        self.reads = _Bucket(reads_per_s, reads_per_s)
        self.writes = _Bucket(writes_per_s, writes_per_s)
        self.read_count = 0
        self.write_count = 0
        self.limited_count = 0
        self.stale: dict[str, model.StoredObject] = {}
        self.stale_revision = 0
        self.pending_hosts: list[tuple[float, str, str | None]] = []

    def set_fault(self, fault: PlatformFault, active: bool) -> None:
        """Switch a fault on or off."""
        if not active:
            self.faults.discard(fault)
            return
        self.faults.add(fault)
        if fault == PlatformFault.STALE_LIST:
            self.stale_revision = max(0, self.revision - STALE_REVISIONS)
            self.stale = self._as_of(self.stale_revision)

    def _as_of(self, revision: int) -> dict[str, model.StoredObject]:
        """Return the objects as they stood at an earlier revision."""
        objects: dict[str, model.StoredObject] = {}
        for item in self.history:
            if item.version <= revision:
                objects[item.name] = item
        return {n: i for n, i in objects.items() if i.value is not None}

    def put(self, name: str, value: str | None) -> int:
        """Set an object from outside the API and return its version."""
        self.revision += 1
        item = model.StoredObject(name, self.revision, value)
        if value is None:
            self.objects.pop(name, None)
        else:
            self.objects[name] = item
        self.history.append(item)
        if len(self.history) > HISTORY_LIMIT:
            dropped = self.history[: HISTORY_LIMIT // 2]
            del self.history[: HISTORY_LIMIT // 2]
            self.compacted = dropped[-1].version
        return self.revision

    def set_host(
        self, name: str, value: str | None, now: float, lag_s: float
    ) -> None:
        """Change the host list, which shows it after a lag."""
        self.pending_hosts.append((now + lag_s, name, value))

    def call(
        self, caller: str, call: model.StoreCall, now: float
    ) -> model.StoreResult | None:
        """Carry out a call; None means that a watch stays open."""
        writing = call.verb in (model.StoreVerb.PUT, model.StoreVerb.DELETE)
        if PlatformFault.DOWN in self.faults:
            return _status(call, model.StoreStatus.UNAVAILABLE)
        if not (self.writes if writing else self.reads).take(now):
            self.limited_count += 1
            return _status(call, model.StoreStatus.RATE_LIMITED)
        if writing:
            self.write_count += 1
        else:
            self.read_count += 1
        result = self._carry_out(caller, call, now)
        if writing and PlatformFault.LOSE_ANSWER in self.faults:
            return _status(call, model.StoreStatus.UNAVAILABLE)
        return result

    def _carry_out(
        self, caller: str, call: model.StoreCall, now: float
    ) -> model.StoreResult | None:
        match call.verb:
            case model.StoreVerb.GET:
                found = self.objects.get(call.name)
                if found is None:
                    return _status(call, model.StoreStatus.NOT_FOUND)
                return self._ok(call, (found,))
            case model.StoreVerb.PUT:
                return self._write(call)
            case model.StoreVerb.DELETE:
                if call.name not in self.objects:
                    return _status(call, model.StoreStatus.NOT_FOUND)
                self.put(call.name, None)
                return self._ok(call, ())
            case model.StoreVerb.LIST:
                return self._list(call)
            case model.StoreVerb.WATCH:
                return self._watch(caller, call, now)

    def _write(self, call: model.StoreCall) -> model.StoreResult:
        found = self.objects.get(call.name)
        version = found.version if found else 0
        lost_race = PlatformFault.CONFLICT in self.faults
        if lost_race and found is not None:
            # Somebody else's write with the same content comes first.
            self.put(call.name, found.value)
            return _status(call, model.StoreStatus.CONFLICT)
        if version != call.expected_version:
            return _status(call, model.StoreStatus.CONFLICT)
        self.put(call.name, call.value)
        return self._ok(call, ())

    def _list(self, call: model.StoreCall) -> model.StoreResult:
        source, revision = self.objects, self.revision
        if PlatformFault.STALE_LIST in self.faults:
            source, revision = self.stale, self.stale_revision
        objects = tuple(
            item
            for name, item in sorted(source.items())
            if name.startswith(call.name)
        )
        return model.StoreResult(
            call.op, model.StoreStatus.OK, objects, revision
        )

    def _watch(
        self, caller: str, call: model.StoreCall, now: float
    ) -> model.StoreResult | None:
        stale = PlatformFault.STALE_WATCH in self.faults
        if stale or call.since < self.compacted or call.since > self.revision:
            return _status(call, model.StoreStatus.GONE)
        changed = self._changes(call)
        if changed or call.wait_s <= 0:
            return self._ok(call, changed)
        watch = _Watch(caller, call, now + call.wait_s)
        self.watches.append(watch)
        return None

    def _changes(
        self, call: model.StoreCall
    ) -> tuple[model.StoredObject, ...]:
        latest: dict[str, model.StoredObject] = {}
        for item in reversed(self.history):
            if item.version <= call.since:
                break
            if item.name.startswith(call.name):
                latest.setdefault(item.name, item)
        return tuple(sorted(latest.values(), key=lambda item: item.version))

    def _ok(
        self, call: model.StoreCall, objects: tuple[model.StoredObject, ...]
    ) -> model.StoreResult:
        return model.StoreResult(
            call.op, model.StoreStatus.OK, objects, self.revision
        )

    def tick(self, now: float) -> list[WatchAnswer]:
        """Return the watches that have something to say or are over."""
        for due, name, value in [h for h in self.pending_hosts if h[0] <= now]:
            self.pending_hosts.remove((due, name, value))
            self.put(name, value)
        answers: list[WatchAnswer] = []
        for watch in list(self.watches):
            result = self._watch_result(watch, now)
            if result is not None:
                self.watches.remove(watch)
                answers.append(WatchAnswer(watch.caller, result))
        return answers

    def _watch_result(
        self, watch: _Watch, now: float
    ) -> model.StoreResult | None:
        if PlatformFault.DOWN in self.faults:
            return _status(watch.call, model.StoreStatus.UNAVAILABLE)
        if PlatformFault.STALE_WATCH in self.faults:
            return _status(watch.call, model.StoreStatus.GONE)
        changed = self._changes(watch.call)
        if changed or now >= watch.expires_at:
            return self._ok(watch.call, changed)
        return None

    def drop_watches(self, caller: str) -> None:
        """Drop the watches of a caller that is gone."""
        self.watches = [w for w in self.watches if w.caller != caller]


def _status(
    call: model.StoreCall, status: model.StoreStatus
) -> model.StoreResult:
    return model.StoreResult(call.op, status)
