"""Budgets that limit retries and hedges."""

import dataclasses

RETRY_RATIO = 0.2
RETRY_BURST = 10.0
HEDGE_RATIO = 0.05
HEDGE_BURST = 3.0
HEDGE_QUANTILE = 0.95


@dataclasses.dataclass(slots=True)
class Budget:
    """Token bucket that is filled by ordinary calls.

    Even if every call fails, extra calls stay below ratio times the
    ordinary ones plus the burst, so that retries don't amplify an overload.
    """

    ratio: float
    burst: float
    tokens: float

    def on_call(self) -> None:
        """Add the tokens of one ordinary call."""
        self.tokens = min(self.tokens + self.ratio, self.burst)

    @property
    def has_token(self) -> bool:
        """Tell whether take would get a token."""
        return self.tokens >= 1.0

    def take(self) -> bool:
        """Take one token if there is one."""
        if not self.has_token:
            return False
        self.tokens -= 1.0
        return True


def retry_budget() -> Budget:
    """Return a full budget for retries."""
    return Budget(RETRY_RATIO, RETRY_BURST, RETRY_BURST)


def hedge_budget() -> Budget:
    """Return a full budget for hedges."""
    return Budget(HEDGE_RATIO, HEDGE_BURST, HEDGE_BURST)
