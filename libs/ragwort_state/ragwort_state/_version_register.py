"""Software versions that each service had, kept in the store.

Hosts remember which versions served; what all hosts forget when all of them
end at once is read from here. A host reads at most once in an era of the
store, and only when it has to know. One host writes when the versions of a
service change, and reads before it writes, as an answer to a write does not
tell the object's new revision.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
import random

import msgspec

import ragwort_model as model
from ragwort_state import _era
from ragwort_state import _stored_json

VERSIONS_PREFIX = 'stream-versions/'
VERSIONS_OP = 'versions:'
LIST_OP = VERSIONS_OP + 'list'
WRITE_OP = VERSIONS_OP + 'write'
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 5.0
# A version is written as ended once it was absent for so long, since a runner
# that restarts is back within this time.
END_DELAY_S = 10.0
# A version seen so much later than the store says was there again. It is more
# than clocks differ by, which moves what a host has read.
RESEEN_MS = 10_000


class ServiceVersions(msgspec.Struct, frozen=True):
    """Versions that a service had since a time of day, in seconds.

    last_seen tells when each was last there, None while it is.
    """

    since: float
    last_seen: dict[str, float | None]


class _Entry(msgspec.Struct, frozen=True, rename='camel'):
    """The content of an object; era is that of the store it was written to."""

    era: _stored_json.Int64
    since_ms: _stored_json.TimeMs
    versions: dict[str, _stored_json.TimeMs | None]


class _Stored(msgspec.Struct):
    """An object as read or written last; entry is None if it is damaged.

    version is None once this host has written, until it reads again.
    """

    version: int | None
    entry: _Entry | None


class VersionRegister:
    """Reads versions when asked to, and writes changes if it is to."""

    def __init__(
        self, store_era: _era.StoreEra, rng: random.Random, now: float
    ) -> None:
        """Start with nothing read."""
        self.store_era = store_era
        self.rng = rng
        # Era in which the objects were read last, None if never.
        self.read_era: int | None = None
        self.read_at = -math.inf
        self.is_read_due = False
        self.was_writer = False
        self.stored: dict[str, _Stored] = {}
        self.pending: tuple[str, str, _Entry | None] | None = None
        self.next_call_at = now
        self.backoff_s = MIN_BACKOFF_S

    def request_read(self) -> None:
        """Let the next call be a list, unless one is open."""
        self.is_read_due = not self.is_reading

    @property
    def is_reading(self) -> bool:
        """Tell whether a list is open."""
        return self.pending is not None and self.pending[0] == LIST_OP

    def may_read(self, now: float, max_age_s: float = math.inf) -> bool:
        """Tell whether a read can tell more than one of that age did."""
        is_outdated = self.read_era != self.store_era.current
        if not is_outdated and now < self.read_at + max_age_s:
            return False
        return self.pending is not None or now >= self.next_call_at

    def tick(
        self,
        now: float,
        wall: float,
        known: Mapping[str, ServiceVersions],
        is_writer: bool,
    ) -> list[model.StoreCall]:
        """Return the store call due now, if any."""
        if is_writer and not self.was_writer:
            # Another host may have written since this one read.
            self.read_era = None
        self.was_writer = is_writer
        if self.pending is not None or now < self.next_call_at:
            return []
        is_outdated = self.read_era != self.store_era.current
        if self.is_read_due or (is_writer and known and is_outdated):
            return [self._list()]
        if not is_writer:
            return []
        for service, versions in known.items():
            entry = self._entry_due(service, versions, wall)
            if entry is not None:
                return [self._write(service, entry)]
        return []

    def _list(self) -> model.StoreCall:
        self.pending = (LIST_OP, '', None)
        self.is_read_due = False
        return model.StoreCall(LIST_OP, model.StoreVerb.LIST, VERSIONS_PREFIX)

    def _write(self, service: str, entry: _Entry) -> model.StoreCall:
        stored = self.stored.get(service)
        if stored is not None and stored.version is None:
            return self._list()
        self.pending = (WRITE_OP, service, entry)
        return model.StoreCall(
            WRITE_OP,
            model.StoreVerb.PUT,
            VERSIONS_PREFIX + service,
            msgspec.json.encode(entry).decode(),
            0 if stored is None or stored.version is None else stored.version,
        )

    def _trusted(self, service: str) -> _Entry | None:
        """Return what the store says of a service, unless it may lack some.

        An entry of an earlier era is from a copy that lost later writes.
        """
        stored = self.stored.get(service)
        if stored is None or stored.entry is None:
            return None
        is_current = stored.entry.era == self.store_era.current
        return stored.entry if is_current else None

    def _entry_due(
        self, service: str, known: ServiceVersions, wall: float
    ) -> _Entry | None:
        """Return what to write of a service, None if the store has it."""
        if not known.last_seen:
            return None
        old = self._trusted(service)
        before = old.versions if old is not None else {}
        versions = {
            version: _last_ms(before, version, last, wall)
            for version, last in known.last_seen.items()
        }
        if old is not None and not _is_changed(before, versions):
            return None
        since_ms = math.ceil(known.since * 1000)
        if old is not None:
            since_ms = min(since_ms, old.since_ms)
        return _Entry(self.store_era.current, since_ms, versions)

    def on_store_result(
        self, result: model.StoreResult, now: float
    ) -> dict[str, ServiceVersions] | None:
        """Handle a result; return what a list says, None if it is none."""
        if self.pending is None or self.pending[0] != result.op:
            return None
        (op, service, entry), self.pending = self.pending, None
        # A store may know no kind of which there are no objects.
        is_empty = result.status == model.StoreStatus.NOT_FOUND
        is_done = result.status == model.StoreStatus.OK
        if not is_done and not (op == LIST_OP and is_empty):
            if op == WRITE_OP:
                # It may have taken effect, or another host's write did.
                self.read_era = None
            self.next_call_at = now + self.backoff_s * self.rng.uniform(0.5, 1)
            self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)
            return None
        self.backoff_s = MIN_BACKOFF_S
        if op == WRITE_OP:
            self.stored[service] = _Stored(None, entry)
            return None
        self.read_era, self.read_at = result.era, now
        self.stored = _read(result.objects)
        return self._trusted_versions(self.stored)

    def _trusted_versions(
        self, services: Iterable[str]
    ) -> dict[str, ServiceVersions]:
        found = {service: self._trusted(service) for service in services}
        return {
            service: ServiceVersions(
                entry.since_ms / 1000,
                {
                    version: None if last_ms is None else last_ms / 1000
                    for version, last_ms in entry.versions.items()
                },
            )
            for service, entry in found.items()
            if entry is not None
        }


def _last_ms(
    before: Mapping[str, int | None],
    version: str,
    last: float | None,
    wall: float,
) -> int | None:
    """Return when a version was last there, None while it counts as there."""
    known_ms = before.get(version)
    if last is None:
        return None
    if known_ms is not None and last * 1000 <= known_ms + RESEEN_MS:
        return known_ms
    if version in before and wall < last + END_DELAY_S:
        return None
    return math.ceil(last * 1000)


def _is_changed(
    before: Mapping[str, int | None], versions: Mapping[str, int | None]
) -> bool:
    """Tell whether a version began or ended; old ones go with a change."""
    has_ended = any(
        last_ms is None and version not in versions
        for version, last_ms in before.items()
    )
    return has_ended or any(
        version not in before or before[version] != last_ms
        for version, last_ms in versions.items()
    )


def _read(objects: Iterable[model.StoredObject]) -> dict[str, _Stored]:
    """Return the objects of a list by service."""
    return {
        item.name.removeprefix(VERSIONS_PREFIX): _Stored(
            item.version, _decode(item)
        )
        for item in objects
        if item.value is not None
    }


def _decode(item: model.StoredObject) -> _Entry | None:
    """Return an object's content, None if it is damaged."""
    try:
        entry = msgspec.json.decode(item.value or '', type=_Entry)
    except _stored_json.ERRORS:
        return None
    is_sound = bool(entry.versions) and entry.since_ms > 0
    return entry if is_sound else None
