"""Refusing at once what can't be served, with a time to come back.

Answers long overload: work that could only fail is turned away before it
takes room from work that can be in time.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
import random

from ragwort_relay import _prompts
from ragwort_relay import _routes
from ragwort_relay import _stages

# Share of the time left that the forecast may take: forecasts are short
# of what comes in while a request is under way.
FORECAST_SHARE = 0.9
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 4.0
# Usual time from a main call's send to its first event, and what each
# token of the prompt adds to it.
FIRST_EVENT_S = 0.1
FIRST_EVENT_S_PER_TOKEN = 1.0 / 40_000.0


class Verdict(enum.StrEnum):
    """What admission decided."""

    ADMIT = 'admit'
    ADMIT_LATE = 'admit_late'
    TOO_LATE = 'too_late'


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """Expected time of a request, and the queueing time within it."""

    total_s: float
    queue_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The decision on one request; retry_after_s is set for refusals."""

    verdict: Verdict
    forecast: Forecast
    remaining_s: float
    retry_after_s: float = 0.0


def first_event_s(prompt: Sequence[_prompts.PromptPart]) -> float:
    """Return the usual time from the main call to its first event."""
    tokens = sum(part.tokens for part in prompt)
    return FIRST_EVENT_S + tokens * FIRST_EVENT_S_PER_TOKEN


def typical_stage_s(
    run: _stages.StageRun, services: Mapping[str, _routes.ServiceSpec]
) -> list[float]:
    """Return the usual time of each stage's last call, in seconds."""
    found: list[float] = []
    for index, spec in enumerate(run.stages):
        service = services.get(spec.service)
        limits = service.batch_limits if service else None
        count = min(run.pieces[index], limits.max_pieces) if limits else 0
        found.append(limits.duration_s(count) if limits else 0.0)
    return found


def forecast(
    run: _stages.StageRun,
    work_s: Sequence[float],
    waits_s: Sequence[float],
    first_s: float,
) -> Forecast:
    """Return the time along the longest path through the stages.

    work_s and waits_s are the time of each stage and of the queue before
    it; first_s is what the main call will take to its first event.
    """
    both = [a + b for a, b in zip(work_s, waits_s, strict=True)]
    total_s = run.critical_path_s(both)
    return Forecast(total_s + first_s, total_s - run.critical_path_s(work_s))


def admit(
    timely: Forecast,
    expected: Forecast,
    target_s: float,
    remaining_s: float,
    rng: random.Random,
) -> Admission:
    """Decide on a request with remaining_s seconds to its deadline.

    What can meet its target, target_s from now, goes before what can only
    be late: timely is the forecast for that, expected the one behind all
    that waits.
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
    """Return when to come back, spread so that callers don't all return."""
    base = min(max(queue_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return base * rng.uniform(0.7, 1.3)


def time_after_stage_s(
    run: _stages.StageRun, stage: int, stage_s: Sequence[float]
) -> float:
    """Return the seconds of work that follow a stage before the call."""
    followers = [
        index
        for index, spec in enumerate(run.stages)
        if stage in spec.after and run.pieces[index]
    ]
    return max(
        (
            stage_s[index] + time_after_stage_s(run, index, stage_s)
            for index in followers
        ),
        default=0.0,
    )
