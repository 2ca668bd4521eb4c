"""Entry hosts in the store, for hosts whose seeds are all gone."""

import dataclasses
import json
import random

import ragwort_model as model

HOSTS_PREFIX = 'entry-hosts/'
HOSTS_OP = 'hosts:'
REGISTER_OP = HOSTS_OP + 'register'
LIST_OP = HOSTS_OP + 'list'
REMOVE_OP = HOSTS_OP + 'remove'
# Pause between lists of a host that knows no other, and between tries.
ALONE_LIST_S = 3.0
MIN_RETRY_S = 0.5
MAX_RETRY_S = 5.0


@dataclasses.dataclass(slots=True)
class HostRegistry:
    """Write this host down once, and read the others while alone."""

    host: model.EntryHost
    rng: random.Random
    next_at: float
    is_registered: bool = False
    is_pending: bool = False
    has_listed: bool = False
    retry_s: float = MIN_RETRY_S
    removed: set[str] = dataclasses.field(default_factory=set)

    def tick(
        self, now: float, is_alone: bool, gone: list[str]
    ) -> list[model.StoreCall]:
        """Return the store call due now, if any.

        gone names hosts that are down for so long that they won't return;
        one host at a time passes them.
        """
        if self.is_pending or now < self.next_at:
            return []
        if not self.is_registered:
            self.is_pending = True
            value = json.dumps({'peers': self.host.peer_address})
            return [self._call(REGISTER_OP, model.StoreVerb.PUT, value)]
        if is_alone or not self.has_listed:
            self.is_pending = True
            return [
                model.StoreCall(LIST_OP, model.StoreVerb.LIST, HOSTS_PREFIX)
            ]
        for name in gone:
            if name not in self.removed:
                self.removed.add(name)
                self.is_pending = True
                return [
                    model.StoreCall(
                        REMOVE_OP, model.StoreVerb.DELETE, HOSTS_PREFIX + name
                    )
                ]
        return []

    def _call(
        self, op: str, verb: model.StoreVerb, value: str
    ) -> model.StoreCall:
        name = HOSTS_PREFIX + self.host.name
        return model.StoreCall(op, verb, name, value)

    def on_store_result(
        self, result: model.StoreResult, now: float
    ) -> list[str]:
        """Take a call's end; return the peer addresses that it brought."""
        self.is_pending = False
        # A host that starts anew finds its own entry.
        done = (
            model.StoreStatus.OK,
            model.StoreStatus.CONFLICT,
            model.StoreStatus.NOT_FOUND,
        )
        if result.status not in done:
            self.next_at = now + self.retry_s * self.rng.uniform(0.5, 1.0)
            self.retry_s = min(2 * self.retry_s, MAX_RETRY_S)
            return []
        self.retry_s = MIN_RETRY_S
        self.next_at = now
        if result.op == REGISTER_OP:
            self.is_registered = True
        if result.op != LIST_OP:
            return []
        self.has_listed = True
        self.next_at = now + ALONE_LIST_S * self.rng.uniform(0.75, 1.25)
        found = [_peer_address(item) for item in result.objects]
        return [address for address in found if address is not None]


def _peer_address(item: model.StoredObject) -> str | None:
    """Return the address in an entry, None for one that can't be read."""
    try:
        return model.parse_address(json.loads(item.value or '')['peers'])
    except (ValueError, KeyError, TypeError):
        return None
