"""Registry of entry hosts in the store, for hosts without a live seed.

Load pattern: all hosts of a large fleet start at once. Each registers; if
each also listed the others, the calls would grow with the square of the
fleet, as a list comes page by page. A host that has met others hears of the
rest from them. Only one of those that know each other looks for strangers.
"""

import json
import math
import random

import msgspec

import ragwort_model as model
from ragwort_state import _era

HOSTS_PREFIX = 'entry-hosts/'
HOSTS_OP = 'hosts:'
REGISTER_OP = HOSTS_OP + 'register'
LIST_OP = HOSTS_OP + 'list'
REMOVE_OP = HOSTS_OP + 'remove'
# Interval between lists while a host knows no other live host, and between
# those of the host that looks for strangers.
ISOLATED_LIST_INTERVAL_S = 3.0
STRANGER_LIST_INTERVAL_S = 6.0
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 5.0
# Time over which hosts spread their entries after the store was restored.
REWRITE_SPREAD_S = 2.0


class HostRegistry(msgspec.Struct):
    """Register this host once; list the others while it is isolated.

    A store that returns as an older copy may lack the entry, so that the
    host registers again in each era.
    """

    host: model.EntryHost
    store_era: _era.StoreEra
    rng: random.Random
    next_call_at: float
    is_registered: bool = False
    is_pending: bool = False
    backoff_s: float = MIN_BACKOFF_S
    removed: set[str] = msgspec.field(default_factory=set)
    era: int = 0
    next_look_at: float = -math.inf

    def tick(
        self,
        now: float,
        is_isolated: bool,
        is_elected: bool,
        departed: list[str],
    ) -> list[model.StoreCall]:
        """Return the store call due now, if any.

        is_elected tells whether this host looks for strangers. departed names
        hosts to remove, which have been down for too long to return; only one
        host at a time passes any.
        """
        if self.era < self.store_era.current:
            self._enter_era(now)
        if self.is_pending or now < self.next_call_at:
            return []
        if not self.is_registered:
            self.is_pending = True
            value = json.dumps({'peers': self.host.peer_address})
            return [self._call(REGISTER_OP, model.StoreVerb.PUT, value)]
        if is_isolated or (is_elected and now >= self.next_look_at):
            self.is_pending = True
            self.next_look_at = now + STRANGER_LIST_INTERVAL_S
            return [
                model.StoreCall(LIST_OP, model.StoreVerb.LIST, HOSTS_PREFIX)
            ]
        for name in departed:
            if name not in self.removed:
                self.removed.add(name)
                self.is_pending = True
                return [
                    model.StoreCall(
                        REMOVE_OP, model.StoreVerb.DELETE, HOSTS_PREFIX + name
                    )
                ]
        return []

    def _enter_era(self, now: float) -> None:
        """Plan to write again what the store may have lost."""
        self.era = self.store_era.current
        self.removed.clear()
        if self.is_registered:
            self.is_registered = False
            self.next_call_at = now + self.rng.uniform(0, REWRITE_SPREAD_S)

    def _call(
        self, op: str, verb: model.StoreVerb, value: str
    ) -> model.StoreCall:
        name = HOSTS_PREFIX + self.host.name
        return model.StoreCall(op, verb, name, value)

    def on_store_result(
        self, result: model.StoreResult, now: float
    ) -> list[str]:
        """Handle a result and return the peer addresses that it lists."""
        self.is_pending = False
        # A restarted host finds its own entry already there.
        expected = (
            model.StoreStatus.OK,
            model.StoreStatus.CONFLICT,
            model.StoreStatus.NOT_FOUND,
        )
        if result.status not in expected:
            self.next_call_at = now + self.backoff_s * self.rng.uniform(
                0.5, 1.0
            )
            self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)
            return []
        self.backoff_s = MIN_BACKOFF_S
        self.next_call_at = now
        if result.op == REGISTER_OP:
            self.is_registered = result.era == self.store_era.current
        if result.op != LIST_OP:
            return []
        self.next_call_at = now + ISOLATED_LIST_INTERVAL_S * self.rng.uniform(
            0.75, 1.25
        )
        found = [_peer_address(item) for item in result.objects]
        return [address for address in found if address is not None]


def _peer_address(item: model.StoredObject) -> str | None:
    """Return the address in an entry, None if it can't be parsed."""
    try:
        return model.parse_address(json.loads(item.value or '')['peers'])
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
