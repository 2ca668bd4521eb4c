"""Runners that said themselves that they leave, told from host to host.

A runner's own answer is newer than its entry in the store, which may come
late, from an older copy or from another writer. A host that hears of it tells
a few others at random for some rounds, and so does each that it is news to.
"""

from collections.abc import Iterable
import dataclasses
import math

import ragwort_model as model
from ragwort_relay import _fleet

SPREAD_INTERVAL_S = 0.2
SPREAD_FANOUT = 2
EXTRA_ROUNDS = 3
MAX_TOLD = 50
# An older message says nothing that is not known otherwise.
MAX_AGE_S = 60.0


@dataclasses.dataclass(slots=True)
class _Rumour:
    observed_at: float
    rounds_left: int


class DepartureNews:
    """What one host heard of leaving runners and still tells others."""

    def __init__(self, fleet: _fleet.Fleet) -> None:
        """Record departures in a fleet, as the only host at first."""
        self.fleet = fleet
        self.host_count = 1
        self.rumours: dict[tuple[str, int], _Rumour] = {}
        self.next_spread_at = 0.0

    def on_answer(self, runner: _fleet.FleetRunner, now: float) -> bool:
        """Record that a runner's answer says so; return whether it is news.

        It holds for the incarnation that was called.
        """
        return self._record(runner.name, runner.entry.started_ms, now, now)

    def merge(
        self, told: Iterable[model.LeavingRunner], now: float
    ) -> list[model.LeavingRunner]:
        """Take over what another host tells; return what is news."""
        return [
            item
            for item in told
            if item.age_s < MAX_AGE_S
            and self._record(
                item.runner,
                item.started_ms,
                now - max(item.age_s, 0.0),
                now,
            )
        ]

    def _record(
        self,
        name: str,
        started_ms: int,
        observed_at: float,
        now: float,
    ) -> bool:
        if not self.fleet.on_leaving(name, started_ms, now):
            return False
        rounds = math.ceil(math.log2(self.host_count + 1)) + EXTRA_ROUNDS
        self.rumours[name, started_ms] = _Rumour(observed_at, rounds)
        self.next_spread_at = now
        return True

    def to_spread(self, now: float) -> list[model.LeavingRunner]:
        """Return what to tell some other hosts now."""
        if not self.rumours or now < self.next_spread_at:
            return []
        self.next_spread_at = now + SPREAD_INTERVAL_S
        told = []
        for (name, started_ms), rumour in list(self.rumours.items())[
            :MAX_TOLD
        ]:
            age_s = now - rumour.observed_at
            told.append(model.LeavingRunner(name, started_ms, age_s))
            rumour.rounds_left -= 1
            if rumour.rounds_left <= 0:
                del self.rumours[name, started_ms]
        return told
