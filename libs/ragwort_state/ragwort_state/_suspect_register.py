"""Parts of prompts that crash runners, kept in the store.

Hosts tell each other of them; what all hosts forget when all of them end at
once is read from here at the start. Each host reads once; one host writes,
and reads again in a new era of the store, which may have lost some.
"""

from collections.abc import Collection
import json
import random

import ragwort_model as model
from ragwort_state import _era

SUSPECTS_PREFIX = 'refused-parts/'
SUSPECTS_OP = 'parts:'
LIST_OP = SUSPECTS_OP + 'list'
WRITE_OP = SUSPECTS_OP + 'write'
REMOVE_OP = SUSPECTS_OP + 'remove'
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 5.0

# Service and part.
SuspectKey = tuple[str, str]


class SuspectRegister:
    """Reads the parts at the start, and writes new ones if it is to."""

    def __init__(
        self, store_era: _era.StoreEra, rng: random.Random, now: float
    ) -> None:
        """Start with nothing read."""
        self.store_era = store_era
        self.rng = rng
        self.era = store_era.current
        self.has_listed = False
        # Set until this host has read the parts in the present era.
        self.is_outdated = False
        # Set while the parts that are not in the store are to be dropped.
        self.is_reread = False
        self.stored: set[SuspectKey] = set()
        self.pending: tuple[str, SuspectKey | None] | None = None
        self.next_call_at = now
        self.backoff_s = MIN_BACKOFF_S

    def read_again(self) -> None:
        """Read the parts once more, as an operator may have removed some."""
        self.has_listed = False
        self.is_reread = True

    def tick(
        self, now: float, refused: Collection[SuspectKey], is_writer: bool
    ) -> list[model.StoreCall]:
        """Return the store call due now, if any."""
        if self.era < self.store_era.current:
            self.era = self.store_era.current
            self.is_outdated = True
        if self.pending is not None or now < self.next_call_at:
            return []
        if not self.has_listed or (is_writer and self.is_outdated):
            self.pending = (LIST_OP, None)
            return [
                model.StoreCall(LIST_OP, model.StoreVerb.LIST, SUSPECTS_PREFIX)
            ]
        if not is_writer:
            return []
        for key in refused:
            if key not in self.stored:
                self.pending = (WRITE_OP, key)
                value = json.dumps({'service': key[0], 'part': key[1]})
                return [self._call(WRITE_OP, model.StoreVerb.PUT, key, value)]
        for key in self.stored:
            if key not in refused:
                self.pending = (REMOVE_OP, key)
                return [self._call(REMOVE_OP, model.StoreVerb.DELETE, key)]
        return []

    def _call(
        self,
        op: str,
        verb: model.StoreVerb,
        key: SuspectKey,
        value: str | None = None,
    ) -> model.StoreCall:
        name = SUSPECTS_PREFIX + model.content_digest([key[0], '/', key[1]])
        return model.StoreCall(op, verb, name, value)

    def on_store_result(
        self, result: model.StoreResult, now: float
    ) -> set[SuspectKey] | None:
        """Handle a result; return the parts that a list holds."""
        if self.pending is None or self.pending[0] != result.op:
            return None
        (op, key), self.pending = self.pending, None
        expected = (
            model.StoreStatus.OK,
            model.StoreStatus.CONFLICT,
            model.StoreStatus.NOT_FOUND,
        )
        if result.status not in expected:
            self.next_call_at = now + self.backoff_s * self.rng.uniform(0.5, 1)
            self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)
            return None
        self.backoff_s = MIN_BACKOFF_S
        if op == WRITE_OP and key is not None:
            self.stored.add(key)
        elif op == REMOVE_OP and key is not None:
            self.stored.discard(key)
        if op != LIST_OP:
            return None
        self.has_listed = True
        self.is_outdated = result.era < self.store_era.current
        found = {_key(item) for item in result.objects} - {None}
        self.stored = {key for key in found if key is not None}
        return set(self.stored)


def _key(item: model.StoredObject) -> SuspectKey | None:
    """Return the service and the part of an entry, None if it is damaged."""
    try:
        fields = json.loads(item.value or '')
        service, part = fields['service'], fields['part']
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    if isinstance(service, str) and isinstance(part, str) and part:
        return service, part
    return None
