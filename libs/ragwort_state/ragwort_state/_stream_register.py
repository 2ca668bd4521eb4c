"""Origins of streams, kept in the store while versions are mixed.

Two hosts remember what began a stream; what all hosts forget when all of them
end at once is read from here. Streams fall into groups. One host records a
group: it writes what it was told since, the less often the more that is. A
host reads when it has to know what none remembers, once in an era of the
store.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import random
import re

import msgspec

import ragwort_model as model
from ragwort_state import _era
from ragwort_state import _stored_json

STREAMS_PREFIX = 'stream-origins/'
STREAMS_OP = 'streams:'
LIST_OP = STREAMS_OP + 'list'
WRITE_OP = STREAMS_OP + 'write'
# Groups of streams, each an object of its own: 16 hold 8,000 streams a second
# for 8 s, 60 bytes each, within the size of an object.
GROUPS = 16
GROUP_PATTERN = re.compile(r'[0-9]{1,9}')
# Streams that began since the last write are lost with all hosts: at least
# half of those taken up have to go on, and many last for a few seconds.
MIN_INTERVAL_S = 0.5
# Bytes a second that the writes of a group take at most in the mean.
WRITE_BYTES_PER_S = 64_000
# Latest streams of a group that are written.
MAX_STREAMS = 8_000
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 5.0


class StoredOrigin(msgspec.Struct, frozen=True, array_like=True):
    """What began a stream; expires_ms is a time of day."""

    first_attempt: str
    workspace: str
    service: str
    software_version: str
    expires_ms: _stored_json.TimeMs


Groups = Mapping[int, list[StoredOrigin]]


def group_of(first_attempt: str) -> int:
    """Return the group of a stream."""
    return model.stable_hash('stream-group', first_attempt) % GROUPS


class StreamRegister:
    """Reads all groups when asked to, and writes those it is to record."""

    def __init__(
        self, store_era: _era.StoreEra, rng: random.Random, now: float
    ) -> None:
        """Start with nothing read."""
        self.store_era = store_era
        self.rng = rng
        # Era in which the objects were read last, None if never.
        self.read_era: int | None = None
        self.is_read_due = False
        # Versions of the objects, None where a write told no new one.
        self.stored: dict[int, int | None] = {}
        self.pending: tuple[str, int] | None = None
        # When a group may be written again.
        self.next_write_at: dict[int, float] = {}
        self.next_call_at = now
        self.backoff_s = MIN_BACKOFF_S

    @property
    def is_reading(self) -> bool:
        """Tell whether a list is open."""
        return self.pending is not None and self.pending[0] == LIST_OP

    def may_read(self, now: float) -> bool:
        """Tell whether a read can tell more than this host has read."""
        if self.read_era == self.store_era.current:
            return False
        return self.pending is not None or now >= self.next_call_at

    def due_groups(self, dirty: Iterable[int], now: float) -> list[int]:
        """Return the groups with news that may be written now."""
        return [
            group
            for group in sorted(dirty)
            if now >= self.next_write_at.get(group, 0.0)
        ]

    def tick(self, now: float, due: Groups) -> list[model.StoreCall]:
        """Return the store call due now, if any; due holds what to write."""
        if self.pending is not None or now < self.next_call_at:
            return []
        if not self.is_read_due and not due:
            return []
        group = next(iter(due), 0)
        is_unread = self.read_era != self.store_era.current
        if self.is_read_due or is_unread or self.stored.get(group, 0) is None:
            self.is_read_due = False
            self.pending = (LIST_OP, 0)
            return [
                model.StoreCall(LIST_OP, model.StoreVerb.LIST, STREAMS_PREFIX)
            ]
        self.pending = (WRITE_OP, group)
        value = msgspec.json.encode(due[group][-MAX_STREAMS:]).decode()
        self.next_write_at[group] = now + max(
            len(value) / WRITE_BYTES_PER_S, MIN_INTERVAL_S
        )
        return [
            model.StoreCall(
                WRITE_OP,
                model.StoreVerb.PUT,
                f'{STREAMS_PREFIX}{group}',
                value,
                self.stored.get(group) or 0,
            )
        ]

    def on_store_result(
        self, result: model.StoreResult, now: float
    ) -> list[StoredOrigin] | None:
        """Handle a result; return what a list says, None if it is none."""
        if self.pending is None or self.pending[0] != result.op:
            return None
        (op, group), self.pending = self.pending, None
        if result.status != model.StoreStatus.OK:
            # Another host has written, or the write may have taken effect.
            self.read_era = None if op == WRITE_OP else self.read_era
            self.next_call_at = now + self.backoff_s * self.rng.uniform(0.5, 1)
            self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)
            return None
        self.backoff_s = MIN_BACKOFF_S
        if op == WRITE_OP:
            is_told = model.revision_of(result.revision) > 0
            self.stored[group] = result.revision if is_told else None
            return None
        self.read_era = result.era
        self.stored = {}
        found: list[StoredOrigin] = []
        for item in result.objects:
            name = item.name.removeprefix(STREAMS_PREFIX)
            if item.value is not None and GROUP_PATTERN.fullmatch(name):
                self.stored[int(name)] = item.version
                found += _decode(item.value)
        return found


def _decode(value: str) -> list[StoredOrigin]:
    """Return the streams of an object that can be read."""
    try:
        return msgspec.json.decode(value, type=list[StoredOrigin])
    except _stored_json.ERRORS:
        return _decode_each(value)


def _decode_each(value: str) -> list[StoredOrigin]:
    """Return the sound ones of an object's streams, none if it is no list."""
    found: list[StoredOrigin] = []
    try:
        items = msgspec.json.decode(value, type=list[msgspec.Raw])
    except _stored_json.ERRORS:
        return found
    for item in items:
        try:
            found.append(msgspec.json.decode(item, type=StoredOrigin))
        except _stored_json.ERRORS:
            continue
    return found
