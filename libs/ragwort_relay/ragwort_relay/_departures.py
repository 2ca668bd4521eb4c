"""Runners that said themselves that they leave, told from host to host.

A runner's own answer is newer than its entry in the store, which may come
late, from an older copy or from another writer. A host that hears of it tells
a few others at random for some rounds, and so does each that it is news to.
"""

from collections.abc import Iterable

import ragwort_model as model
from ragwort_relay import _fleet
from ragwort_relay import _rumours

# An older message says nothing that is not known otherwise.
MAX_AGE_S = 60.0


class DepartureNews:
    """What one host heard of leaving runners and still tells others."""

    def __init__(self, fleet: _fleet.Fleet) -> None:
        """Record departures in a fleet; start with nothing to tell."""
        self.fleet = fleet
        self.rumours: _rumours.Rumours[tuple[str, int]] = _rumours.Rumours()

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
        self, name: str, started_ms: int, observed_at: float, now: float
    ) -> bool:
        if not self.fleet.on_leaving(name, started_ms, now):
            return False
        self.rumours.add((name, started_ms), observed_at, now)
        return True

    def to_spread(self, now: float) -> list[model.LeavingRunner]:
        """Return what to tell some other hosts now."""
        return [
            model.LeavingRunner(name, started_ms, age_s)
            for (name, started_ms), age_s in self.rumours.take(now)
        ]
