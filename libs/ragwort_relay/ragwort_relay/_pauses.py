"""Pauses that runners ask one host for.

A runner that turns a request away may say for how long it wants nothing more
from the host that sent it. Other hosts are not concerned.
"""

from ragwort_relay import _fleet

# Longest pause that is kept: a damaged answer takes no runner out for good.
MAX_PAUSE_S = 60.0


class Pauses:
    """The pauses that this host keeps, by incarnation of a runner."""

    def __init__(self) -> None:
        """Start without pauses."""
        self.ends: dict[tuple[str, int], float] = {}

    def on_answer(
        self, runner: _fleet.FleetRunner, pause_s: float, now: float
    ) -> bool:
        """Record a pause; return whether it ends later than was known."""
        for key, end in list(self.ends.items()):
            if end <= now:
                del self.ends[key]
        key = _key(runner)
        end = now + min(pause_s, MAX_PAUSE_S)
        if end <= self.ends.get(key, now):
            return False
        self.ends[key] = end
        return True

    def left_s(self, runner: _fleet.FleetRunner, now: float) -> float:
        """Return the time until a runner takes requests again, in seconds."""
        return max(self.ends.get(_key(runner), now) - now, 0.0)


def _key(runner: _fleet.FleetRunner) -> tuple[str, int]:
    return runner.name, runner.entry.started_ms
