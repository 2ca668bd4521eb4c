"""Open-loop load: arrivals that do not wait for answers."""

from collections.abc import Sequence
import dataclasses
import random
from typing import Any

from hdrh import histogram
from twisted.internet import defer

import ragwort_client as caller
import ragwort_model as model

MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 3
BURST_LENGTH_S = 1.0
BURST_PERIOD_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadClass:
    """One class of work in the mix; share is its weight in the arrivals."""

    name: str
    share: float
    deadline_s: float
    workspaces: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """Arrivals per second over a duration; bursts multiply the rate."""

    classes: tuple[LoadClass, ...]
    rate: float
    duration_s: float
    burst_factor: float = 1.0
    seed: int = 1


class ClassResult:
    """Outcomes and latencies of one class of work."""

    def __init__(self, name: str) -> None:
        """Start without answers."""
        self.name = name
        self.outcomes: dict[str, int] = {}
        self.in_time = 0
        self.latency_ms = histogram.HdrHistogram(
            1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
        )
        self.first_chunk_ms = histogram.HdrHistogram(
            1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
        )

    def add(self, answer: caller.Answer, deadline_s: float) -> None:
        """Count one answer."""
        name = answer.outcome.value
        self.outcomes[name] = self.outcomes.get(name, 0) + 1
        if answer.outcome != model.Outcome.COMPLETED:
            return
        self.in_time += answer.duration_s <= deadline_s
        self.latency_ms.record_value(max(1, int(answer.duration_s * 1000)))
        if answer.first_chunk_s is not None:
            first_ms = max(1, int(answer.first_chunk_s * 1000))
            self.first_chunk_ms.record_value(first_ms)

    @property
    def total(self) -> int:
        """Return the number of answers."""
        return sum(self.outcomes.values())

    @property
    def attainment(self) -> float:
        """Return the share completed in time."""
        return self.in_time / self.total if self.total else 0.0

    def summary(self) -> dict[str, Any]:
        """Return the values of a report; times in milliseconds."""
        return {
            'class': self.name,
            'requests': self.total,
            'outcomes': dict(sorted(self.outcomes.items())),
            'attainment': round(self.attainment, 4),
            'p50_ms': self.latency_ms.get_value_at_percentile(50),
            'p95_ms': self.latency_ms.get_value_at_percentile(95),
            'p99_ms': self.latency_ms.get_value_at_percentile(99),
            'first_chunk_p95_ms': self.first_chunk_ms.get_value_at_percentile(
                95
            ),
        }


def arrival_times(plan: LoadPlan, rng: random.Random) -> list[float]:
    """Return Poisson arrival times in seconds, bursts included."""
    times: list[float] = []
    at = 0.0
    while True:
        in_burst = at % BURST_PERIOD_S < BURST_LENGTH_S
        rate = plan.rate * (plan.burst_factor if in_burst else 1.0)
        at += rng.expovariate(rate)
        if at >= plan.duration_s:
            return times
        times.append(at)


class LoadRun:
    """Send a plan's requests and collect their answers."""

    def __init__(
        self, reactor: Any, clients: Sequence[caller.Client], plan: LoadPlan
    ) -> None:
        """Prepare a run whose requests use the clients in rotation."""
        self.reactor = reactor
        self.clients = clients
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.results = {c.name: ClassResult(c.name) for c in plan.classes}

    def run(self) -> 'defer.Deferred[list[ClassResult]]':
        """Fire with the results once every request has its answer."""
        pending = [
            self._send_at(at, index)
            for index, at in enumerate(arrival_times(self.plan, self.rng))
        ]
        done: defer.Deferred[Any] = defer.DeferredList(
            pending, fireOnOneErrback=True, consumeErrors=True
        )
        return done.addCallback(lambda _: list(self.results.values()))

    def _send_at(self, at: float, index: int) -> 'defer.Deferred[None]':
        shares = [c.share for c in self.plan.classes]
        load_class = self.rng.choices(self.plan.classes, shares)[0]
        workspace = self.rng.choice(load_class.workspaces)
        client = self.clients[index % len(self.clients)]
        answered: defer.Deferred[None] = defer.Deferred()

        def send() -> None:
            sent = client.send(
                load_class.name,
                workspace,
                f'question {index}',
                load_class.deadline_s,
            )
            sent.addCallback(self._on_answer, load_class)
            sent.addCallbacks(answered.callback, answered.errback)

        self.reactor.callLater(at, send)
        return answered

    def _on_answer(self, answer: caller.Answer, load_class: LoadClass) -> None:
        self.results[load_class.name].add(answer, load_class.deadline_s)
