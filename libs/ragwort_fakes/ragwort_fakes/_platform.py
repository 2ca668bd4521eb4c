"""Fake of the platform's object API, without sockets."""

import dataclasses
import enum

import msgspec

import ragwort_model as model

HISTORY_LIMIT = 10_000
BURST_S = 1.0
STALE_LAG_REVISIONS = 25


class PlatformFault(enum.StrEnum):
    """Faults that can be injected into the fake platform."""

    DOWN = 'down'
    LOSE_ANSWER = 'lose_answer'
    STALE_LIST = 'stale_list'
    STALE_WATCH = 'stale_watch'
    CONFLICT = 'conflict'
    SLOW = 'slow'


@dataclasses.dataclass(slots=True)
class _TokenBucket:
    """Token bucket of one published rate, in calls per second."""

    rate: float
    tokens: float
    updated_at: float = 0.0

    def try_take(self, now: float) -> bool:
        elapsed_s = max(0.0, now - self.updated_at)
        capacity = self.rate * BURST_S
        self.tokens = min(self.tokens + elapsed_s * self.rate, capacity)
        self.updated_at = now
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
    """Result of a watch that has ended, with its caller."""

    caller: str
    result: model.StoreResult


class PlatformCore:
    """Versioned objects with conditional updates and watches."""

    def __init__(self, reads_per_s: float, writes_per_s: float) -> None:
        """Start without objects and with full token buckets."""
        self.objects: dict[str, model.StoredObject] = {}
        self.history: list[model.StoredObject] = []
        self.compacted_revision = 0
        self.era = 0
        self.revision = 0
        self.watches: list[_Watch] = []
        self.faults: set[PlatformFault] = set()
        self.read_bucket = _TokenBucket(reads_per_s, reads_per_s)
        self.write_bucket = _TokenBucket(writes_per_s, writes_per_s)
        self.read_count = 0
        self.write_count = 0
        self.limited_count = 0
        self.stale_objects: dict[str, model.StoredObject] = {}
        self.stale_revision = 0
        self.pending_host_changes: list[tuple[float, str, str | None]] = []

    def set_fault(self, fault: PlatformFault, active: bool) -> None:
        """Switch a fault on or off."""
        if not active:
            self.faults.discard(fault)
            return
        self.faults.add(fault)
        if fault == PlatformFault.STALE_LIST:
            self.stale_revision = max(0, self.revision - STALE_LAG_REVISIONS)
            self.stale_objects = self._objects_at(self.stale_revision)

    def _objects_at(self, revision: int) -> dict[str, model.StoredObject]:
        """Return the objects as of an earlier revision."""
        objects: dict[str, model.StoredObject] = {}
        for item in self.history:
            if model.revision_of(item.version) <= revision:
                objects[item.name] = item
        return {n: i for n, i in objects.items() if i.value is not None}

    def restore(self, revision: int) -> None:
        """Return to the copy of an earlier revision, in a new era.

        Later revisions are lost and given out again; waiting watches end.
        """
        self.revision = max(min(revision, self.revision), 0)
        self.era += 1
        self.history = [
            self._in_era(item)
            for item in self.history
            if model.revision_of(item.version) <= self.revision
        ]
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.objects = self._objects_at(self.revision)
        self.stale_objects = dict(self.objects)
        self.stale_revision = self.revision
        for watch in self.watches:
            watch.expires_at = 0.0

    def _in_era(self, item: model.StoredObject) -> model.StoredObject:
        revision = model.revision_of(item.version)
        version = model.make_version(self.era, revision)
        return msgspec.structs.replace(item, version=version)

    def put(self, name: str, value: str | None) -> int:
        """Set an object from outside the API and return its version."""
        self.revision += 1
        version = model.make_version(self.era, self.revision)
        item = model.StoredObject(name, version, value)
        if value is None:
            self.objects.pop(name, None)
        else:
            self.objects[name] = item
        self.history.append(item)
        if len(self.history) > HISTORY_LIMIT:
            dropped = self.history[: HISTORY_LIMIT // 2]
            del self.history[: HISTORY_LIMIT // 2]
            self.compacted_revision = model.revision_of(dropped[-1].version)
        return version

    def set_host(
        self, name: str, value: str | None, now: float, lag_s: float
    ) -> None:
        """Change an entry of the host list, visible after lag_s."""
        self.pending_host_changes.append((now + lag_s, name, value))

    def call(
        self, caller: str, call: model.StoreCall, now: float
    ) -> model.StoreResult | None:
        """Execute a call; return None for a watch that stays open."""
        is_write = call.verb in (model.StoreVerb.PUT, model.StoreVerb.DELETE)
        if PlatformFault.DOWN in self.faults:
            return _unavailable(call)
        if not (self.write_bucket if is_write else self.read_bucket).try_take(
            now
        ):
            self.limited_count += 1
            return self._status(call, model.StoreStatus.RATE_LIMITED)
        if is_write:
            self.write_count += 1
        else:
            self.read_count += 1
        result = self._execute(caller, call, now)
        if is_write and PlatformFault.LOSE_ANSWER in self.faults:
            return _unavailable(call)
        return result

    def _execute(
        self, caller: str, call: model.StoreCall, now: float
    ) -> model.StoreResult | None:
        match call.verb:
            case model.StoreVerb.GET:
                found = self.objects.get(call.name)
                if found is None:
                    return self._status(call, model.StoreStatus.NOT_FOUND)
                return self._ok(call, (found,))
            case model.StoreVerb.PUT:
                return self._conditional_put(call)
            case model.StoreVerb.DELETE:
                if call.name not in self.objects:
                    return self._status(call, model.StoreStatus.NOT_FOUND)
                self.put(call.name, None)
                return self._ok(call, ())
            case model.StoreVerb.LIST:
                return self._list(call)
            case model.StoreVerb.WATCH:
                return self._watch(caller, call, now)

    def _conditional_put(self, call: model.StoreCall) -> model.StoreResult:
        found = self.objects.get(call.name)
        version = found.version if found else 0
        inject_conflict = PlatformFault.CONFLICT in self.faults
        if inject_conflict and found is not None:
            # Simulates a concurrent write of the same content.
            self.put(call.name, found.value)
            return self._status(call, model.StoreStatus.CONFLICT)
        if version != call.expected_version:
            return self._status(call, model.StoreStatus.CONFLICT)
        self.put(call.name, call.value)
        return self._ok(call, ())

    def _list(self, call: model.StoreCall) -> model.StoreResult:
        source, revision = self.objects, self.revision
        if PlatformFault.STALE_LIST in self.faults:
            source, revision = self.stale_objects, self.stale_revision
        objects = tuple(
            item
            for name, item in sorted(source.items())
            if name.startswith(call.name)
        )
        return model.StoreResult(
            call.op,
            model.StoreStatus.OK,
            objects,
            model.make_version(self.era, revision),
        )

    def _watch(
        self, caller: str, call: model.StoreCall, now: float
    ) -> model.StoreResult | None:
        stale = PlatformFault.STALE_WATCH in self.faults
        since = model.revision_of(call.since)
        if stale or not self.compacted_revision <= since <= self.revision:
            return self._status(call, model.StoreStatus.GONE)
        changes = self._changes(call)
        if changes or call.wait_s <= 0:
            return self._ok(call, changes)
        watch = _Watch(caller, call, now + call.wait_s)
        self.watches.append(watch)
        return None

    def _changes(
        self, call: model.StoreCall
    ) -> tuple[model.StoredObject, ...]:
        latest: dict[str, model.StoredObject] = {}
        for item in reversed(self.history):
            revision = model.revision_of(item.version)
            if revision <= model.revision_of(call.since):
                break
            if item.name.startswith(call.name):
                latest.setdefault(item.name, item)
        return tuple(sorted(latest.values(), key=lambda item: item.version))

    def _ok(
        self, call: model.StoreCall, objects: tuple[model.StoredObject, ...]
    ) -> model.StoreResult:
        return model.StoreResult(
            call.op,
            model.StoreStatus.OK,
            objects,
            model.make_version(self.era, self.revision),
        )

    def _status(
        self, call: model.StoreCall, status: model.StoreStatus
    ) -> model.StoreResult:
        """Return an answer that tells nothing but a status and the era."""
        era_start = model.make_version(self.era, 0)
        return model.StoreResult(call.op, status, (), era_start)

    def tick(self, now: float) -> list[WatchAnswer]:
        """Apply due host changes and return the watches that end."""
        for due, name, value in [
            change for change in self.pending_host_changes if change[0] <= now
        ]:
            self.pending_host_changes.remove((due, name, value))
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
            return _unavailable(watch.call)
        if PlatformFault.STALE_WATCH in self.faults:
            return self._status(watch.call, model.StoreStatus.GONE)
        changes = self._changes(watch.call)
        if changes or now >= watch.expires_at:
            return self._ok(watch.call, changes)
        return None

    def lose_watches(self) -> None:
        """Answer the open watches never: their connections are dead."""
        self.watches.clear()

    def drop_watches(self, caller: str) -> None:
        """Drop the watches of a caller that has disconnected."""
        self.watches = [w for w in self.watches if w.caller != caller]


def _unavailable(call: model.StoreCall) -> model.StoreResult:
    """Return the result of a call that got no answer."""
    return model.StoreResult(call.op, model.StoreStatus.UNAVAILABLE)
