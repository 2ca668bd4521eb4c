"""Admission control: immediate refusals with a time to retry after.

Under long overload, requests that would miss their deadlines are refused
before they take capacity from those that can meet them.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import random

import msgspec

from ragwort_relay import _routes
from ragwort_relay import _sharing
from ragwort_relay import _stages

# Share of the remaining time that a forecast may take. Forecasts leave out
# the requests that arrive while this one is under way.
FORECAST_SHARE = 0.9
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 4.0
# Typical time from sending a main call to its first event, and what each
# token of the prompt adds to it.
FIRST_EVENT_S = 0.1
FIRST_EVENT_S_PER_TOKEN = 1.0 / 40_000.0


class Verdict(enum.StrEnum):
    """Decision of admission control."""

    ADMIT = 'admit'
    ADMIT_LATE = 'admit_late'
    TOO_LATE = 'too_late'


class Forecast(msgspec.Struct, frozen=True):
    """Expected time of a request and the part of it spent queueing."""

    total_s: float
    queue_s: float


class Admission(msgspec.Struct, frozen=True):
    """Decision on one request; retry_after_s is set for refusals."""

    verdict: Verdict
    forecast: Forecast
    remaining_s: float
    retry_after_s: float = 0.0


def first_event_s(prompt: Sequence[_sharing.PromptPart]) -> float:
    """Return the typical time from the main call to its first event."""
    tokens = sum(part.tokens for part in prompt)
    return FIRST_EVENT_S + tokens * FIRST_EVENT_S_PER_TOKEN


def typical_stage_s(
    run: _stages.StageRun,
    services: Mapping[str, _routes.ServiceSpec],
    call_s: Callable[[str], float] = lambda service: 0.0,
) -> list[float]:
    """Return the typical time of a call of each stage, in seconds.

    call_s returns how long calls to a service take under its present load.
    Load pattern: calls shared with many requests take longer than a request's
    own pieces would; what leaves that out is late by a little in each stage.
    """
    times_s: list[float] = []
    for index, spec in enumerate(run.stages):
        service = services.get(spec.service)
        limits = service.batch_limits if service else None
        count = min(run.pieces[index], limits.max_pieces) if limits else 0
        own_s = limits.duration_s(count) if limits else 0.0
        times_s.append(max(own_s, call_s(spec.service)) if count else own_s)
    return times_s


def forecast(
    run: _stages.StageRun,
    work_s: Sequence[float],
    waits_s: Sequence[float],
    time_to_first_event_s: float,
) -> Forecast:
    """Return the expected time of the critical path and the main call.

    work_s and waits_s are the times of each stage and of the queue before
    it; time_to_first_event_s is what the main call adds.
    """
    stage_s = [a + b for a, b in zip(work_s, waits_s, strict=True)]
    total_s = run.critical_path_s(stage_s)
    return Forecast(
        total_s + time_to_first_event_s, total_s - run.critical_path_s(work_s)
    )


def admit(
    timely: Forecast,
    expected: Forecast,
    target_s: float,
    remaining_s: float,
    rng: random.Random,
) -> Admission:
    """Decide on a request with remaining_s seconds to its deadline.

    Work that can meet its target, target_s from now, goes before late
    work: timely is the forecast for a request that goes before late work,
    expected the one for a request that waits for the whole queue.
    """
    if timely.total_s <= target_s:
        return Admission(Verdict.ADMIT, timely, remaining_s)
    if expected.total_s <= remaining_s * FORECAST_SHARE:
        return Admission(Verdict.ADMIT_LATE, expected, remaining_s)
    excess_s = expected.total_s - remaining_s * FORECAST_SHARE
    return Admission(
        Verdict.TOO_LATE, expected, remaining_s, retry_after_s(excess_s, rng)
    )


def retry_after_s(queue_s: float, rng: random.Random) -> float:
    """Return a time to retry after, with jitter to spread the retries."""
    base_s = min(max(queue_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return base_s * rng.uniform(0.7, 1.3)


def time_after_stage_s(
    run: _stages.StageRun, stage: int, stage_s: Sequence[float]
) -> float:
    """Return the expected seconds from a stage's end to the main call."""
    dependents = [
        index
        for index, spec in enumerate(run.stages)
        if stage in spec.after and run.pieces[index]
    ]
    return max(
        (
            stage_s[index] + time_after_stage_s(run, index, stage_s)
            for index in dependents
        ),
        default=0.0,
    )
