"""Which services' runners this host reaches.

Load pattern: a host is cut off from all runners, or from those of a service,
while callers and other hosts reach it. One runner that takes no connection
has ended; two in a row, with no answer of the service in between, may as well
be the host's own fault, which it can't tell apart by itself. Where other
runners of the service have just answered, those that take no connection have
ended: a part of a service may crash at one moment.
"""

from collections.abc import Sequence
import math

from ragwort_relay import _fleet

# Runners that took no connection, one after the other, before a service
# counts as lost.
MIN_LOST_RUNNERS = 2
# Time after an answer of a service in which runners that take no connection
# are taken for ended. Runners under load answer more often; a host that loses
# all runners notices it so much later.
ANSWER_MEMORY_S = 0.5

Incarnation = tuple[str, int]


class Reach:
    """What this host saw of its connections to runners."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.answered_at = -math.inf
        # Runners that took no connection since an answer of their service.
        self.failed: dict[str, set[Incarnation]] = {}
        # Those of them that failed while no runner of the service answered.
        self.doubtful: dict[str, set[Incarnation]] = {}
        self.service_answered_at: dict[str, float] = {}

    def on_answer(self, runner: _fleet.FleetRunner, now: float) -> None:
        """Record that a runner of a service answered."""
        self.answered_at = now
        self.on_connected(runner.entry.runner.service, now)

    def on_connected(self, service: str, now: float) -> None:
        """Record that a runner of a service took a connection."""
        self.service_answered_at[service] = now
        self._forget(service)

    def _forget(self, service: str) -> None:
        self.failed.pop(service, None)
        self.doubtful.pop(service, None)

    def on_started(self, runner: _fleet.FleetRunner) -> None:
        """Give a service another chance when one of its runners starts."""
        self._forget(runner.entry.runner.service)

    def on_unreachable(self, runner: _fleet.FleetRunner, now: float) -> None:
        """Record that a runner took no connection."""
        runner.unreachable_at = now
        service = runner.entry.runner.service
        incarnation = (runner.name, runner.entry.started_ms)
        self.failed.setdefault(service, set()).add(incarnation)
        answered_at = self.service_answered_at.get(service, -math.inf)
        if now >= answered_at + ANSWER_MEMORY_S:
            self.doubtful.setdefault(service, set()).add(incarnation)

    def has_failed(self, runner: _fleet.FleetRunner) -> bool:
        """Tell whether a runner took no connection lately."""
        failed = self.failed.get(runner.entry.runner.service, ())
        return (runner.name, runner.entry.started_ms) in failed

    def is_lost(
        self, service: str, live: Sequence[_fleet.FleetRunner]
    ) -> bool:
        """Tell whether the service, with these runners, is out of reach."""
        if not self.failed.get(service) or not live:
            return False
        if all(self.has_failed(runner) for runner in live):
            return True
        doubtful = self.doubtful.get(service, ())
        count = sum((r.name, r.entry.started_ms) in doubtful for r in live)
        return count >= min(MIN_LOST_RUNNERS, len(live))
