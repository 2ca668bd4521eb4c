"""Objects shared by the request handlers of one host."""

from collections.abc import Iterable
from typing import Any

import msgspec

from ragwort_edge import _client
from ragwort_edge import _crash_watch
from ragwort_edge import _dialect
from ragwort_edge import _hand_over
from ragwort_edge import _last_resort
from ragwort_edge import _metrics
from ragwort_edge import _stage_service
from ragwort_edge import _stream_origins
import ragwort_model as model
import ragwort_relay as relay

# Mean Retry-After delay of a refusal that is not due to a known queue.
DEFAULT_RETRY_AFTER_S = 0.5
# Least delay until a request is repeated whose service is evacuated. Operators
# end evacuations after minutes; a longer delay would idle runners after it.
EVACUATED_RETRY_S = 1.0
# To come back soon with what crashes runners doesn't help.
REFUSED_SUSPECT_RETRY_S = (30.0, 60.0)
# A leaving host closes the connection, so that callers come back elsewhere.
LEAVING_RETRY_S = 0.0
LEAVING = 'this host is leaving'


class RefusedError(model.RagwortError):
    """Raise to refuse a request that no runner has run."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        """Add the delay after which the caller may retry."""
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class RelayContext(msgspec.Struct):
    """The parts of a host that its request handlers use."""

    reactor: Any
    rng: Any
    client: _client.HttpClient
    dialect: _dialect.Dialect
    catalog: relay.RelayCatalog
    budget: relay.RetryBudget
    stages: _stage_service.StageService
    origins: _stream_origins.OriginService
    crashes: _crash_watch.CrashWatch
    metrics: _metrics.Metrics
    logger: Any
    failure_domain: str
    last_resort: _last_resort.LastResort
    hand_over: _hand_over.HandOver | None = None
    # Set once the host leaves.
    drain: relay.Drain | None = None
    answer_times: relay.AnswerTimes = msgspec.field(
        default_factory=relay.AnswerTimes
    )

    def refusal(
        self, reason: str, wait_s: float | None = None
    ) -> RefusedError:
        """Return an error with a randomised retry delay, at least wait_s."""
        delay_s = relay.retry_after_s(DEFAULT_RETRY_AFTER_S, self.rng)
        return RefusedError(reason, delay_s + (wait_s or 0.0))

    def refuse_evacuated(self, services: Iterable[str]) -> None:
        """Raise RefusedError if a service has no runner left."""
        now = self.reactor.seconds()
        for service in services:
            if self.catalog.is_service_evacuated(service, now):
                self.metrics.evacuation_refusals.labels(service).inc()
                raise self.refusal(
                    f'all runners of {service} are evacuated',
                    EVACUATED_RETRY_S,
                )

    def refuse_deadly(
        self, service: str, suspects: relay.Suspects, request_id: str
    ) -> None:
        """Raise RefusedError if a request or its parts crash runners."""
        now = self.reactor.seconds()
        evidence = self.catalog.crash_evidence
        name = evidence.refused_suspect(service, suspects, now)
        if name is None:
            return
        crashes = evidence.records[service, name].crashes
        self.logger.warning(
            'suspect-refused',
            request=request_id,
            service=service,
            suspect=name,
            runners=[name for name, _ in crashes],
            ages_s=[round(now - crash.at, 1) for crash in crashes.values()],
        )
        raise RefusedError(
            f'{name} crashes runners',
            self.rng.uniform(*REFUSED_SUSPECT_RETRY_S),
        )

    def leaving_refusal(self) -> RefusedError:
        """Return an error for what this host can't finish before it ends."""
        return RefusedError(LEAVING, LEAVING_RETRY_S)

    def failure_domain_of(self, handle: str) -> str:
        """Return the failure domain that stores a result, '' if unknown."""
        address = self.dialect.handle_address(handle)
        runner = self.catalog.runner_at(address)
        return '' if runner is None else runner.entry.runner.failure_domain
