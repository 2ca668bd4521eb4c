"""Recursive linear regression with a prior, for few noisy samples."""

from collections.abc import Sequence

# Relative deviation of a sample from its expectation. Machines that are 2.5
# times slower for 15 % of the time deviate by 0.5; a known pace explains
# most of that.
NOISE = 0.35
# A sample further off than this, relative to what was expected, is clipped:
# a single stalled call must not move the coefficients.
MAX_DEVIATION = 1.5
# Weight of all earlier samples when a new one comes; 0.995 remembers about
# 200 samples, 3 minutes of a host with one request a second.
RETENTION = 0.995


class PriorRegression:
    """Coefficients of a linear model, pulled toward those expected."""

    def __init__(
        self, coefficients: Sequence[float], deviations: Sequence[float]
    ) -> None:
        """Start at the prior; deviations are its standard deviations."""
        size = len(coefficients)
        self.coefficients = list(coefficients)
        self.prior_variances = [deviation**2 for deviation in deviations]
        self.covariance = [
            [self.prior_variances[i] if i == j else 0.0 for j in range(size)]
            for i in range(size)
        ]

    def expect(self, features: Sequence[float]) -> float:
        """Return the expected value for some features."""
        return sum(
            c * f for c, f in zip(self.coefficients, features, strict=True)
        )

    def learn(self, features: Sequence[float], value: float) -> None:
        """Update the coefficients with a sample, none below zero.

        The noise of a time grows with the time, hence samples are weighted
        relative to what was expected.
        """
        expected = self.expect(features)
        if expected <= 0.0:
            return
        row = [feature / expected for feature in features]
        deviation = min(max(value / expected - 1.0, -1.0), MAX_DEVIATION)
        self._forget()
        gains = [
            sum(c * f for c, f in zip(line, row, strict=True))
            for line in self.covariance
        ]
        variance = NOISE**2 + sum(
            g * f for g, f in zip(gains, row, strict=True)
        )
        for i, gain in enumerate(gains):
            self.coefficients[i] = max(
                self.coefficients[i] + gain * deviation / variance, 0.0
            )
            for j, other in enumerate(gains):
                self.covariance[i][j] -= gain * other / variance

    def _forget(self) -> None:
        """Let older samples count less, down to the prior's certainty."""
        size = len(self.prior_variances)
        if any(
            self.covariance[i][i] / RETENTION > self.prior_variances[i]
            for i in range(size)
        ):
            return
        for line in self.covariance:
            for j in range(size):
                line[j] /= RETENTION
