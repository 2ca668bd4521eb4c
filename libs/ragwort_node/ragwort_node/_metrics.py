"""Counters, timings and gauges, sent to statsd once a second."""

import collections

import statsd

import ragwort_model as model

PREFIX = 'ragwort'


class Metrics:
    """Collect metrics; without an address nothing is sent."""

    def __init__(self, address: str | None) -> None:
        """Open the statsd client."""
        self.counts: collections.Counter[str] = collections.Counter()
        self.pending_counts: collections.Counter[str] = collections.Counter()
        self.timings: list[tuple[str, float]] = []
        self.client = None
        if address is not None:
            host, port = model.split_address(address)
            self.client = statsd.StatsClient(host, port, prefix=PREFIX)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += value
        self.pending_counts[name] += value

    def timing(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds."""
        if self.client is not None:
            self.timings.append((name, duration_s))

    def flush(self, gauges: dict[str, float]) -> None:
        """Send the collected metrics and the gauges in few datagrams."""
        if self.client is not None:
            with self.client.pipeline() as pipeline:
                for name, value in self.pending_counts.items():
                    pipeline.incr(name, value)
                for name, duration_s in self.timings:
                    pipeline.timing(name, duration_s * 1000.0)
                for name, level in gauges.items():
                    pipeline.gauge(name, level)
        self.pending_counts.clear()
        self.timings.clear()
