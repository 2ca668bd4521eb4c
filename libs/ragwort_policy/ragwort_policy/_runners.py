"""What a node knows of each runner it may call."""

import dataclasses
import math

import ragwort_model as model

REPORT_DECAY_S = 1.0
QUEUE_FACTOR = 2.0
AVERAGE_WEIGHT = 0.1
UNKNOWN_SLOTS = 4
DEFAULT_BUSY_S = 0.05
INITIAL_LIMIT = 8.0
MAX_LIMIT = 512.0
MIN_LIMIT = 1.0
LIMIT_DECREASE = 0.8
LIMIT_PAUSE_S = 0.2
REMOTE_PENALTY_S = 0.002
FIRST_AVOIDANCE_S = 0.25
MAX_AVOIDANCE_S = 4.0


@dataclasses.dataclass(slots=True)
class RunnerState:
    """Own calls, last report and learned times of one runner.

    busy_s is the decayed mean time that the runner works on a call;
    latency_s that which this node waits for it. failure_share is the
    decayed share of calls that failed by the runner's fault.
    """

    runner: model.Runner
    inflight: int = 0
    report: model.LoadReport | None = None
    reported_at: float = 0.0
    inflight_at_report: int = 0
    busy_s: float = 0.0
    latency_s: float = 0.0
    results: int = 0
    failure_share: float = 0.0
    calls: int = 0
    limit: float = INITIAL_LIMIT
    limit_cut_at: float = -math.inf
    ejected_until: float = 0.0
    ejections: int = 0
    probing: bool = False
    backoff_until: float = -math.inf
    backoff_s: float = FIRST_AVOIDANCE_S

    @property
    def slots(self) -> int:
        """Return how many calls the runner works on at once."""
        return self.report.slots if self.report else UNKNOWN_SLOTS

    def has_capacity(self, now: float) -> bool:
        """Tell whether one more call would start at the runner soon.

        Beyond its slots a runner gets only what keeps it busy until the
        next call arrives; the rest waits here, where fairness and slack
        decide what goes first.
        """
        if self.inflight >= int(self.limit) or now < self.backoff_until:
            return False
        # Without a call of its own a node would hear of no free slot.
        if not self.inflight:
            return True
        return self.occupancy(now) < self.slots * QUEUE_FACTOR

    def occupancy(self, now: float) -> float:
        """Return the calls at the runner, other nodes' included.

        Others' share is what the last report showed beyond our own calls;
        it fades with the report's age. Our own calls are always exact.
        """
        if self.report is None:
            return float(self.inflight)
        seen = self.report.running + self.report.queued
        others = max(0, seen - self.inflight_at_report)
        age_s = now - self.reported_at + self.report.age_s
        return self.inflight + others * math.exp(-age_s / REPORT_DECAY_S)

    def expected_s(self, now: float, typical_s: float) -> float:
        """Return the expected time of one more call, in seconds.

        typical_s stands in while nothing was learned of this runner.
        """
        busy_s = self.busy_s if self.results else typical_s
        crowding = (self.occupancy(now) + 1.0) / max(self.slots, 1)
        return busy_s * max(1.0, crowding)

    def call_cost(self, typical_s: float) -> float:
        """Return the expected cost of one call, in cost units."""
        busy_s = self.busy_s if self.results else typical_s
        return busy_s * self.runner.cost_rate

    def on_dispatch(self) -> None:
        """Count a call sent."""
        self.inflight += 1

    def on_report(self, report: model.LoadReport, now: float) -> None:
        """Take a load report; the first one tells the runner's size."""
        if self.report is None:
            self.limit = max(self.limit, float(report.slots))
        self.report = report
        self.reported_at = now
        self.inflight_at_report = self.inflight

    def on_result(self, busy_s: float, latency_s: float, now: float) -> None:
        """Count a whole result."""
        self.inflight -= 1
        self.results += 1
        self.backoff_s = FIRST_AVOIDANCE_S
        weight = max(AVERAGE_WEIGHT, 1.0 / self.results)
        self.busy_s += weight * (busy_s - self.busy_s)
        self.latency_s += weight * (latency_s - self.latency_s)
        self._count(0.0)
        self._adapt_limit(busy_s, latency_s, now)

    def on_failure(self, failure: model.CallFailure, now: float) -> None:
        """Count a failed call; overload cuts the limit instead."""
        self.inflight -= 1
        if failure == model.CallFailure.OVERLOADED:
            self._cut_limit(now)
        elif failure != model.CallFailure.REFUSED:
            self._count(1.0)
        if failure == model.CallFailure.UNREACHABLE:
            self._back_off(now)

    def _back_off(self, now: float) -> None:
        """Pass a runner over for a while that takes no connection.

        It looks idle and would otherwise draw every call first. Unlike an
        ejection this needs no share of runners to stay: whatever waits
        here would have failed there.
        """
        self.backoff_until = now + self.backoff_s
        self.backoff_s = min(2 * self.backoff_s, MAX_AVOIDANCE_S)

    def on_cancel(self) -> None:
        """Count a call that was cancelled without blame."""
        self.inflight -= 1

    def _count(self, failed: float) -> None:
        self.calls += 1
        weight = max(AVERAGE_WEIGHT, 1.0 / (self.calls + 1))
        self.failure_share += weight * (failed - self.failure_share)

    def _adapt_limit(
        self, busy_s: float, latency_s: float, now: float
    ) -> None:
        """Grow while calls hardly queue at the runner, else shrink."""
        if latency_s > 2.0 * max(busy_s, 0.005) + REMOTE_PENALTY_S:
            self._cut_limit(now)
        elif self.inflight + 1 >= self.limit / 2:
            self.limit = min(self.limit + 1.0 / self.limit, MAX_LIMIT)

    def _cut_limit(self, now: float) -> None:
        if now - self.limit_cut_at < LIMIT_PAUSE_S:
            return
        self.limit_cut_at = now
        self.limit = max(self.limit * LIMIT_DECREASE, MIN_LIMIT)
