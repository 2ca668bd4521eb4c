"""Budgets that bound retries and hedges."""

import dataclasses

RETRY_RATIO = 0.2
RETRY_BURST = 10.0
HEDGE_RATIO = 0.05
HEDGE_BURST = 3.0
HEDGE_QUANTILE = 0.95


@dataclasses.dataclass(slots=True)
class Budget:
    """Token bucket that fills by a share of ordinary work.

    When everything fails, extra calls are bounded by ratio times the
    ordinary calls, so that retries never feed an overload.
    """

    ratio: float
    burst: float
    tokens: float

    def on_call(self) -> None:
        """Add the share of one ordinary call."""
        self.tokens = min(self.tokens + self.ratio, self.burst)

    def take(self) -> bool:
        """Take one token if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def retry_budget() -> Budget:
    """Return a full budget for retries."""
    return Budget(RETRY_RATIO, RETRY_BURST, RETRY_BURST)


def hedge_budget() -> Budget:
    """Return a full budget for hedges."""
    return Budget(HEDGE_RATIO, HEDGE_BURST, HEDGE_BURST)
