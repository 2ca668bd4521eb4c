"""Latency statistics: decayed histograms with logarithmic bins."""

import math

MIN_LATENCY_S = 0.0005
BIN_RATIO = 1.15
BIN_COUNT = 96
HALF_LIFE_S = 30.0
MAX_SCALE = 1e12
MIN_SAMPLES = 10.0


class DecayedHistogram:
    """Histogram of latencies whose weights halve every HALF_LIFE_S."""

    def __init__(self, now: float) -> None:
        """Start without samples; now is the landmark of the forward decay."""
        self.bins = [0.0] * BIN_COUNT
        self.landmark = now
        self.weight = 0.0
        self.weighted_sum = 0.0
        self.weighted_squares = 0.0

    def _scale(self, now: float) -> float:
        return float(2.0 ** ((now - self.landmark) / HALF_LIFE_S))

    def add(self, latency_s: float, now: float) -> None:
        """Add a latency in seconds."""
        scale = self._scale(now)
        if scale > MAX_SCALE:
            self._rebase(now, scale)
            scale = 1.0
        self.bins[_bin_of(latency_s)] += scale
        self.weight += scale
        self.weighted_sum += scale * latency_s
        self.weighted_squares += scale * latency_s * latency_s

    def _rebase(self, now: float, scale: float) -> None:
        self.bins = [value / scale for value in self.bins]
        self.weight /= scale
        self.weighted_sum /= scale
        self.weighted_squares /= scale
        self.landmark = now

    def samples(self, now: float) -> float:
        """Return the decayed number of samples."""
        return self.weight / self._scale(now)

    def mean(self) -> float:
        """Return the mean in seconds, 0 without samples."""
        return self.weighted_sum / self.weight if self.weight else 0.0

    def variance(self) -> float:
        """Return the variance in seconds squared."""
        if not self.weight:
            return 0.0
        mean = self.mean()
        return max(0.0, self.weighted_squares / self.weight - mean * mean)

    def quantile(self, share: float) -> float:
        """Return the latency that a share of the samples does not exceed."""
        target_weight = share * self.weight
        cumulative = 0.0
        for index, value in enumerate(self.bins):
            cumulative += value
            if value and cumulative >= target_weight:
                return _upper_edge(index)
        return 0.0


def _bin_of(latency_s: float) -> int:
    if latency_s <= MIN_LATENCY_S:
        return 0
    index = int(math.log(latency_s / MIN_LATENCY_S) / math.log(BIN_RATIO)) + 1
    return min(index, BIN_COUNT - 1)


def _upper_edge(index: int) -> float:
    return float(MIN_LATENCY_S * BIN_RATIO**index)


class LatencyModel:
    """Stage latencies by service and class of work, seen by this node."""

    def __init__(self) -> None:
        """Start without samples."""
        self.by_stage: dict[tuple[str, str], DecayedHistogram] = {}
        self.by_service: dict[str, DecayedHistogram] = {}

    def add(
        self, service: str, class_of_work: str, latency_s: float, now: float
    ) -> None:
        """Add the latency of one stage."""
        for histogram in (
            self.by_stage.setdefault(
                (service, class_of_work), DecayedHistogram(now)
            ),
            self.by_service.setdefault(service, DecayedHistogram(now)),
        ):
            histogram.add(latency_s, now)

    def find(
        self, service: str, class_of_work: str, now: float
    ) -> DecayedHistogram | None:
        """Return the most specific histogram with enough samples."""
        for histogram in (
            self.by_stage.get((service, class_of_work)),
            self.by_service.get(service),
        ):
            if histogram and histogram.samples(now) >= MIN_SAMPLES:
                return histogram
        return None
