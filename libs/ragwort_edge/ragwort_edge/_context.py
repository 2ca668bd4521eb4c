"""What the calls of one host share."""

import dataclasses
from typing import Any

from ragwort_edge import _client
from ragwort_edge import _dialect
from ragwort_edge import _metrics
from ragwort_edge import _stage_service
import ragwort_model as model
import ragwort_relay as relay

# When to come back if nothing is known of a queue, in the mean.
RETRY_AFTER_S = 0.5


class Refusal(model.RagwortError):
    """Raise to end a request that has not run."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        """Keep when the caller should come back."""
        super().__init__(reason)
        self.retry_after_s = retry_after_s


@dataclasses.dataclass(slots=True)
class RelayContext:
    """The parts of a host that its calls work with."""

    reactor: Any
    rng: Any
    client: _client.HttpClient
    dialect: _dialect.Dialect
    catalog: relay.RelayCatalog
    budget: relay.RetryBudget
    stages: _stage_service.StageService
    metrics: _metrics.Metrics
    logger: Any
    failure_domain: str

    def refusal(self, reason: str) -> Refusal:
        """Return a refusal; callers are told different times."""
        return Refusal(reason, relay.retry_after_s(RETRY_AFTER_S, self.rng))

    def domain_of(self, handle: str) -> str:
        """Return the failure domain where a stage's result lies."""
        address = self.dialect.handle_address(handle)
        for runner in self.catalog.fleet.runners.values():
            if runner.address == address:
                return runner.entry.runner.failure_domain
        return ''
