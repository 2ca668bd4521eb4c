"""Logs and metrics of evacuations, and when a host has read them."""

from collections.abc import Callable
from typing import Any

from ragwort_edge import _metrics
import ragwort_model as model
import ragwort_relay as relay


class EvacuationWatch:
    """Follows the evacuations of one host's catalog."""

    def __init__(
        self,
        catalog: relay.RelayCatalog,
        bound_s: float | None,
        metrics: _metrics.Metrics,
        logger: Any,
    ) -> None:
        """Let the catalog honour evacuations unless bound_s is None.

        is_read tells whether the store or a peer has told all evacuations.
        """
        self.catalog = catalog
        self.evacuations = relay.Evacuations(bound_s)
        catalog.evacuations = self.evacuations
        self.metrics = metrics
        self.logger = logger
        self.is_read: Callable[[], bool] = lambda: False
        self.without_runners: set[str] = set()

    def update(self, source: str, now: float) -> None:
        """Log what has changed by word of a source."""
        evacuations = self.evacuations
        evacuations.is_known = evacuations.is_known or self.is_read()
        for change in evacuations.take_changes():
            event = (
                'evacuation-start' if change.is_active else 'evacuation-end'
            )
            self.logger.warning(
                event,
                domain=change.domain,
                version=model.format_version(change.version),
                source=source,
                age_s=round(change.age_s, 3),
            )
            if not change.is_active:
                self.catalog.cold.on_domain_returned(change.domain, now)

    def tick(self, now: float) -> None:
        """End what nobody has written again; note unknown domains."""
        self.evacuations.expire(now)
        self.update('expiry', now)
        if not self.evacuations.active and not self.without_runners:
            self.metrics.evacuated_domains.set(0)
            return
        runners = self.catalog.fleet.runners.values()
        domains = {r.entry.runner.failure_domain for r in runners}
        active = self.evacuations.active.keys()
        self.metrics.evacuated_domains.set(len(active & domains))
        unknown = active - domains if self.evacuations.is_known else set()
        for domain in sorted(unknown - self.without_runners):
            self.logger.warning('evacuation-without-runners', domain=domain)
        self.without_runners = set(unknown)
