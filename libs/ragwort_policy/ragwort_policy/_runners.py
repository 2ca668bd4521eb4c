"""State that a node keeps of each runner it may call."""

import math

import msgspec

import ragwort_model as model

REPORT_DECAY_S = 1.0
QUEUE_FACTOR = 2.0
AVERAGE_WEIGHT = 0.1
DEFAULT_SLOTS = 4
DEFAULT_BUSY_S = 0.05
INITIAL_LIMIT = 8.0
MAX_LIMIT = 512.0
MIN_LIMIT = 1.0
LIMIT_DECREASE = 0.8
MIN_DECREASE_INTERVAL_S = 0.2
REMOTE_PENALTY_S = 0.002
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0


class RunnerState(msgspec.Struct):
    """Calls of this node to one runner, its last report and its statistics.

    busy_s is the decayed mean time that the runner works on a call;
    latency_s the mean time that this node waits for it. failure_share is
    the decayed share of calls that failed through the runner's fault.
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
    limit_decreased_at: float = -math.inf
    ejected_until: float = 0.0
    ejections: int = 0
    probing: bool = False
    backoff_until: float = -math.inf
    backoff_s: float = MIN_BACKOFF_S

    @property
    def slots(self) -> int:
        """Return how many calls the runner works on at once."""
        return self.report.slots if self.report else DEFAULT_SLOTS

    def has_capacity(self, now: float) -> bool:
        """Tell whether one more call would start at the runner soon.

        Beyond its slots a runner gets only enough calls to stay busy until
        the next one arrives. The rest waits at the node, which orders calls
        by fairness and slack.
        """
        if self.inflight >= int(self.limit) or now < self.backoff_until:
            return False
        # A node without a call there would not learn of free slots.
        if not self.inflight:
            return True
        return self.occupancy(now) < self.slots * QUEUE_FACTOR

    def occupancy(self, now: float) -> float:
        """Return the calls at the runner, including other nodes' calls.

        Calls of other nodes are estimated from the last report and decay
        with its age. Calls of this node are exact.
        """
        if self.report is None:
            return float(self.inflight)
        reported = self.report.running + self.report.queued
        others = max(0, reported - self.inflight_at_report)
        age_s = now - self.reported_at + self.report.age_s
        return self.inflight + others * math.exp(-age_s / REPORT_DECAY_S)

    def expected_s(self, now: float, typical_s: float) -> float:
        """Return the expected time of one more call, in seconds.

        typical_s is used while this runner has no results.
        """
        busy_s = self.busy_s if self.results else typical_s
        load_factor = (self.occupancy(now) + 1.0) / max(self.slots, 1)
        return busy_s * max(1.0, load_factor)

    def call_cost(self, typical_s: float) -> float:
        """Return the expected cost of one call, in cost units."""
        busy_s = self.busy_s if self.results else typical_s
        return busy_s * self.runner.cost_rate

    def on_dispatch(self) -> None:
        """Count a sent call."""
        self.inflight += 1

    def on_report(self, report: model.LoadReport, now: float) -> None:
        """Store a load report; the first one raises the limit to its slots."""
        if self.report is None:
            self.limit = max(self.limit, float(report.slots))
        self.report = report
        self.reported_at = now
        self.inflight_at_report = self.inflight

    def on_result(self, busy_s: float, latency_s: float, now: float) -> None:
        """Record a complete result."""
        self.inflight -= 1
        self.results += 1
        self.backoff_s = MIN_BACKOFF_S
        weight = max(AVERAGE_WEIGHT, 1.0 / self.results)
        self.busy_s += weight * (busy_s - self.busy_s)
        self.latency_s += weight * (latency_s - self.latency_s)
        self._update_failure_share(0.0)
        self._adapt_limit(busy_s, latency_s, now)

    def on_failure(self, failure: model.CallFailure, now: float) -> None:
        """Record a failed call; an overload lowers the limit instead."""
        self.inflight -= 1
        if failure == model.CallFailure.OVERLOADED:
            self._decrease_limit(now)
        elif failure != model.CallFailure.REFUSED:
            self._update_failure_share(1.0)
        if failure == model.CallFailure.UNREACHABLE:
            self._back_off(now)

    def _back_off(self, now: float) -> None:
        """Back off exponentially from a runner that refuses connections.

        It looks idle and would otherwise attract every new call. Unlike
        ejections, this needs no limit on the share of runners: the calls
        that wait instead would have failed.
        """
        self.backoff_until = now + self.backoff_s
        self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)

    def on_cancel(self) -> None:
        """Count a cancelled call, which is not the runner's fault."""
        self.inflight -= 1

    def _update_failure_share(self, failed: float) -> None:
        self.calls += 1
        weight = max(AVERAGE_WEIGHT, 1.0 / (self.calls + 1))
        self.failure_share += weight * (failed - self.failure_share)

    def _adapt_limit(
        self, busy_s: float, latency_s: float, now: float
    ) -> None:
        """Raise the limit unless calls queue at the runner; then lower it."""
        if latency_s > 2.0 * max(busy_s, 0.005) + REMOTE_PENALTY_S:
            self._decrease_limit(now)
        elif self.inflight + 1 >= self.limit / 2:
            self.limit = min(self.limit + 1.0 / self.limit, MAX_LIMIT)

    def _decrease_limit(self, now: float) -> None:
        if now - self.limit_decreased_at < MIN_DECREASE_INTERVAL_S:
            return
        self.limit_decreased_at = now
        self.limit = max(self.limit * LIMIT_DECREASE, MIN_LIMIT)
