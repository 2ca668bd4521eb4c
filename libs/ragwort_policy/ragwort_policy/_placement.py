"""Which runners of a service to keep in use.

Idle capacity is let go one runner at a time, the most expensive first,
and regained at the first sign of want. The two thresholds lie apart, and
a low load must last, so that placement does not follow every wave.
"""

from collections.abc import Sequence
import dataclasses
import enum

LOW_USE = 0.3
HIGH_USE = 0.7
USE_AFTER_PARKING = 0.5
LOW_HOLD_S = 10.0
CHANGE_GAP_S = 5.0
MIN_RUNNERS = 2


class PlacementStep(enum.StrEnum):
    """What to do with one runner."""

    PARK = 'park'
    RECALL = 'recall'


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerLoad:
    """A runner's load and whether it is in use."""

    name: str
    failure_domain: str
    cost_rate: float
    running: int
    queued: int
    slots: int
    standby: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementDecision:
    """A change to one runner, with the use that led to it."""

    step: PlacementStep
    runner: str
    utilisation: float
    rule: str


@dataclasses.dataclass(slots=True)
class PlacementHistory:
    """What hysteresis needs to remember; times in seconds."""

    low_since: float | None = None
    changed_at: float = float('-inf')


def plan_placement(
    loads: Sequence[RunnerLoad],
    shortfall: float,
    history: PlacementHistory,
    now: float,
) -> PlacementDecision | None:
    """Decide on at most one change for a service.

    shortfall is how far any class that uses the service is below its
    target; with one, capacity is only ever regained.
    """
    active = [load for load in loads if not load.standby]
    standby = [load for load in loads if load.standby]
    slots = sum(load.slots for load in active)
    work = sum(load.running + load.queued for load in active)
    utilisation = work / slots if slots else 1.0
    if utilisation >= LOW_USE or shortfall > 0.0:
        history.low_since = None
    elif history.low_since is None:
        history.low_since = now
    if standby and (utilisation > HIGH_USE or shortfall > 0.0):
        cheapest = min(standby, key=lambda load: (load.cost_rate, load.name))
        rule = 'target-missed' if shortfall > 0.0 else 'use-high'
        history.changed_at = now
        return PlacementDecision(
            PlacementStep.RECALL, cheapest.name, utilisation, rule
        )
    if now - history.changed_at < CHANGE_GAP_S:
        return None
    if history.low_since is None or now - history.low_since < LOW_HOLD_S:
        return None
    return _park(active, work, slots, utilisation, history, now)


def _park(
    active: list[RunnerLoad],
    work: int,
    slots: int,
    utilisation: float,
    history: PlacementHistory,
    now: float,
) -> PlacementDecision | None:
    """Let the most expensive runner go if the rest can carry the work."""
    if len(active) <= MIN_RUNNERS:
        return None
    for load in sorted(active, key=lambda x: (-x.cost_rate, x.name)):
        rest = [other for other in active if other is not load]
        domains = {other.failure_domain for other in rest}
        left = slots - load.slots
        if len(domains) < min(2, len({x.failure_domain for x in active})):
            continue
        if left and work / left <= USE_AFTER_PARKING:
            history.changed_at = now
            return PlacementDecision(
                PlacementStep.PARK, load.name, utilisation, 'use-low'
            )
    return None
