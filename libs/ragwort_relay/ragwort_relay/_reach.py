"""Which services' runners this host reaches.

Load pattern: a host is cut off from all runners, or from those of a service,
while callers and other hosts reach it. One runner that takes no connection
has ended; two in a row, with no answer of the service in between, may as well
be the host's own fault, which it can't tell apart by itself.
"""

from collections.abc import Sequence
import math

from ragwort_relay import _fleet

# Runners that took no connection, one after the other, before a service
# counts as lost.
MIN_LOST_RUNNERS = 2

Incarnation = tuple[str, int]


class Reach:
    """What this host saw of its connections to runners."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.answered_at = -math.inf
        # Runners that took no connection since an answer of their service.
        self.failed: dict[str, set[Incarnation]] = {}

    def on_answer(self, runner: _fleet.FleetRunner, now: float) -> None:
        """Record that a runner of a service answered."""
        self.answered_at = now
        self.failed.pop(runner.entry.runner.service, None)

    def on_connected(self, service: str) -> None:
        """Record that a runner of a service took a connection."""
        self.failed.pop(service, None)

    def on_started(self, runner: _fleet.FleetRunner) -> None:
        """Give a service another chance when one of its runners starts."""
        self.failed.pop(runner.entry.runner.service, None)

    def on_unreachable(self, runner: _fleet.FleetRunner) -> None:
        """Record that a runner took no connection."""
        failed = self.failed.setdefault(runner.entry.runner.service, set())
        failed.add((runner.name, runner.entry.started_ms))

    def has_failed(self, runner: _fleet.FleetRunner) -> bool:
        """Tell whether a runner took no connection lately."""
        failed = self.failed.get(runner.entry.runner.service, ())
        return (runner.name, runner.entry.started_ms) in failed

    def is_lost(
        self, service: str, live: Sequence[_fleet.FleetRunner]
    ) -> bool:
        """Tell whether the service, with these runners, is out of reach."""
        failed = self.failed.get(service)
        if not failed or not live:
            return False
        count = sum(self.has_failed(runner) for runner in live)
        return count >= min(MIN_LOST_RUNNERS, len(live))
