"""Which other host serves a request that this one can't.

Load pattern: some hosts, or most, lose their runners; the others serve the
callers of all. Helpers that decline are left alone for a while, and go behind
all others after that, so that a few helpers among many hosts are found once.
The load is spread by their capacity and by what was handed to each.
"""

import collections
from collections.abc import Sequence
import math
import random

import ragwort_model as model

# Time for which a host that declined is not asked again for the service, and
# for which it is asked only if no other host is left.
DECLINED_S = 1.0
DOUBTED_S = 10.0
# Time for which a host counts as cut off from a service after it said so.
CUT_OFF_S = 2.0
# Hosts that are asked for one request, and while it is likely that none can
# serve it: some have declined, and none has served one for a while.
MAX_ASKED = 3
MAX_ASKED_IN_VAIN = 1
SERVED_S = 5.0
# Hosts compared to choose the less loaded one.
CHOICES = 2


class Helpers:
    """The hosts that take requests from this one."""

    def __init__(self) -> None:
        """Start with no request handed over."""
        self.declined_at: dict[tuple[str, str], float] = {}
        # When a host last said that it reaches no runner of a service.
        self.cut_off_at: dict[tuple[str, str], float] = {}
        self.open_counts: collections.Counter[str] = collections.Counter()
        self.served_at: dict[str, float] = {}

    def may_ask(self, service: str, asked: int, now: float) -> bool:
        """Tell whether one more host is asked for a request."""
        if asked < MAX_ASKED_IN_VAIN:
            return True
        has_served = self.served_at.get(service, -math.inf) > now - SERVED_S
        has_declined = any(
            name == service and now < at + DECLINED_S
            for (_, name), at in self.declined_at.items()
        )
        return asked < MAX_ASKED and (has_served or not has_declined)

    def choose(
        self,
        service: str,
        hosts: Sequence[model.MemberUpdate],
        rng: random.Random,
        now: float,
    ) -> model.MemberUpdate | None:
        """Return a host to ask, None if all have declined lately."""
        ages_s = {
            host.name: now
            - self.declined_at.get((host.name, service), -math.inf)
            for host in hosts
        }
        found = [h for h in hosts if ages_s[h.name] >= DOUBTED_S]
        found = found or [h for h in hosts if ages_s[h.name] >= DECLINED_S]
        if not found:
            return None
        weights = [host.capacity for host in found]
        drawn = rng.choices(found, weights, k=CHOICES)
        return min(drawn, key=self._load)

    def _load(self, host: model.MemberUpdate) -> float:
        return (self.open_counts[host.name] + 1) / host.capacity

    def on_open(self, host: str) -> None:
        """Count a request that is handed to a host."""
        self.open_counts[host] += 1

    def on_end(self, host: str) -> None:
        """Count the end of a request that was handed to a host."""
        self.open_counts[host] -= 1
        if self.open_counts[host] <= 0:
            del self.open_counts[host]

    def on_served(self, host: str, service: str, now: float) -> None:
        """Record that a host has served a request of a service."""
        self.served_at[service] = now
        self.declined_at.pop((host, service), None)

    def on_cut_off(self, host: str, service: str, now: float) -> None:
        """Record that a host reaches no runner of a service."""
        for key, at in list(self.cut_off_at.items()):
            if now >= at + CUT_OFF_S:
                del self.cut_off_at[key]
        self.cut_off_at[host, service] = now

    def cut_off(self, service: str, now: float) -> set[str]:
        """Return the hosts that reach no runner of a service."""
        return {
            host
            for (host, lost), at in self.cut_off_at.items()
            if lost == service and now < at + CUT_OFF_S
        }

    def on_declined(self, host: str, service: str, now: float) -> None:
        """Leave a host alone that serves the service no better."""
        for key, at in list(self.declined_at.items()):
            if now >= at + DOUBTED_S:
                del self.declined_at[key]
        self.declined_at[host, service] = now
