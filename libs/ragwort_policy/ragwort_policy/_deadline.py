"""Stage budgets of a deadline and the probability of meeting it."""

import dataclasses
import math

from ragwort_policy import _latency

BUDGET_QUANTILE = 0.9
DEFAULT_STAGE_S = 0.1
MIN_PROBABILITY = 0.05
MIN_DEVIATION_S = 0.001
UPPER_BOUND_DEVIATIONS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class FinishEstimate:
    """Expected time to finish and the probability of meeting the deadline.

    Without has_enough_samples nothing may be refused by the estimate.
    """

    mean_s: float
    deviation_s: float
    probability: float
    has_enough_samples: bool

    @property
    def upper_bound_s(self) -> float:
        """Return a time that most such requests do not exceed."""
        return self.mean_s + UPPER_BOUND_DEVIATIONS * self.deviation_s


def stage_budget_s(
    latencies: _latency.LatencyModel,
    class_of_work: str,
    stages: tuple[str, ...],
    remaining_s: float,
    now: float,
) -> float:
    """Return the part of the remaining time for the first of stages.

    The time is split in proportion to latency quantiles. The split is
    repeated at each stage, so that later stages get unused time.
    """
    quantiles = [
        _quantile(latencies, service, class_of_work, now) for service in stages
    ]
    return remaining_s * quantiles[0] / sum(quantiles)


def _quantile(
    latencies: _latency.LatencyModel,
    service: str,
    class_of_work: str,
    now: float,
) -> float:
    histogram = latencies.find(service, class_of_work, now)
    if histogram is None:
        return DEFAULT_STAGE_S
    return max(histogram.quantile(BUDGET_QUANTILE), MIN_DEVIATION_S)


def estimate_finish(
    latencies: _latency.LatencyModel,
    class_of_work: str,
    stages: tuple[str, ...],
    queue_wait_s: float,
    remaining_s: float,
    now: float,
) -> FinishEstimate:
    """Estimate the time to finish all stages after queue_wait_s of waiting.

    Stage times are assumed independent and their sum normally distributed.
    """
    mean_s = queue_wait_s
    variance = 0.0
    has_enough_samples = True
    for service in stages:
        histogram = latencies.find(service, class_of_work, now)
        if histogram is None:
            has_enough_samples = False
            continue
        mean_s += histogram.mean()
        variance += histogram.variance()
    deviation_s = max(math.sqrt(variance), MIN_DEVIATION_S)
    score = (remaining_s - mean_s) / deviation_s
    probability = 0.5 * math.erfc(-score / math.sqrt(2.0))
    return FinishEstimate(mean_s, deviation_s, probability, has_enough_samples)
