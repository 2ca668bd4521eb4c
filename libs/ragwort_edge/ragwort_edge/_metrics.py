"""Prometheus counters and latency histograms."""

import prometheus_client as prometheus

LATENCY_BUCKETS_S = (
    0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.9, 1.5, 2.2, 3.0, 5.0, 8.0, 15.0,
)  # fmt: skip
TOKEN_BUCKETS = (0, 100, 300, 1000, 3000, 6000, 10_000, 30_000)


class Metrics:
    """Metrics of one host, in a registry of its own."""

    def __init__(self) -> None:
        """Create all counters and histograms."""
        self.registry = prometheus.CollectorRegistry()
        self.answers = prometheus.Counter(
            'ragwort_answers',
            'Requests ended, by route and outcome',
            ['route', 'outcome'],
            registry=self.registry,
        )
        self.cut_answers = prometheus.Counter(
            'ragwort_cut_answers',
            'Answers broken off after their first byte, by route',
            ['route'],
            registry=self.registry,
        )
        self.silences = prometheus.Counter(
            'ragwort_runner_silences',
            'Sends whose runner was silent, by service and what was awaited',
            ['service', 'awaited'],
            registry=self.registry,
        )
        self.sends = prometheus.Counter(
            'ragwort_sends',
            'Calls sent to runners, by service and result',
            ['service', 'result'],
            registry=self.registry,
        )
        self.pieces = prometheus.Counter(
            'ragwort_pieces',
            'Pieces of stages, by service and result',
            ['service', 'result'],
            registry=self.registry,
        )
        self.rejected = prometheus.Counter(
            'ragwort_rejected',
            'Requests that could not be read, by status',
            ['status'],
            registry=self.registry,
        )
        self.slow_readers = prometheus.Counter(
            'ragwort_slow_readers',
            'Connections reset as too much waited for them',
            registry=self.registry,
        )
        self.latency = prometheus.Histogram(
            'ragwort_answer_seconds',
            'Time from a request to the first part of its answer',
            ['route'],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.held_prompts = prometheus.Counter(
            'ragwort_held_prompts',
            'Prompts begun, by whether a runner that holds a part got them',
            ['service', 'outcome'],
            registry=self.registry,
        )
        self.tokens_read_again = prometheus.Histogram(
            'ragwort_tokens_read_again',
            'Tokens of a prompt read that some runner held or had held',
            ['service'],
            buckets=TOKEN_BUCKETS,
            registry=self.registry,
        )
        self.peer_bytes = prometheus.Counter(
            'ragwort_peer_bytes',
            'Bytes of messages to other hosts, by kind of message',
            ['message'],
            registry=self.registry,
        )
        self.limited_runners = prometheus.Gauge(
            'ragwort_limited_runners',
            'Runners that name a limit of requests a second',
            registry=self.registry,
        )
        self.evacuated_domains = prometheus.Gauge(
            'ragwort_evacuated_domains',
            'Evacuated failure domains that have runners',
            registry=self.registry,
        )
        self.evacuation_refusals = prometheus.Counter(
            'ragwort_evacuation_refusals',
            'Requests refused as a service has no runner left, by service',
            ['service'],
            registry=self.registry,
        )
        self.evacuated_pieces = prometheus.Counter(
            'ragwort_evacuated_pieces',
            'Queued pieces failed as no runner was left, by service',
            ['service'],
            registry=self.registry,
        )
        self.cold_runners = prometheus.Gauge(
            'ragwort_cold_runners',
            'Runners that are cold, as far as this host knows',
            registry=self.registry,
        )
        self.withheld = prometheus.Counter(
            'ragwort_withheld_from_cold',
            'Requests sent elsewhere or refused as runners are cold',
            ['service', 'result'],
            registry=self.registry,
        )
        self.take_ups = prometheus.Counter(
            'ragwort_stream_take_ups',
            'Streams taken up, by how their software version was known',
            ['source'],
            registry=self.registry,
        )
        self.refused_suspects = prometheus.Gauge(
            'ragwort_refused_suspects',
            'Requests and parts of prompts that are kept from runners',
            registry=self.registry,
        )
        self.hops = prometheus.Counter(
            'ragwort_hops',
            'Requests handed to other hosts, by service and result',
            ['service', 'result'],
            registry=self.registry,
        )
        self.silent_peer_connections = prometheus.Counter(
            'ragwort_silent_peer_connections',
            'Connections to hosts replaced since receipts were overdue',
            registry=self.registry,
        )
        self.overdue_watches = prometheus.Counter(
            'ragwort_overdue_watches',
            'Watches of the store given up without an answer',
            registry=self.registry,
        )
        self.unexpected_errors = prometheus.Counter(
            'ragwort_unexpected_errors',
            'Errors of parts of the host, which the others outlive',
            ['part'],
            registry=self.registry,
        )
        self.store_era = prometheus.Gauge(
            'ragwort_store_era',
            "Latest era of the store, which rises when it loses writes",
            registry=self.registry,
        )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus.generate_latest(self.registry)
