"""Choice of the runners of a service to keep in use.

Idle runners are parked one at a time, the most expensive first, and recalled
as soon as they are needed. Separate thresholds and a minimum duration of low
utilisation keep placement from following short changes of load.
"""

from collections.abc import Sequence
import dataclasses
import enum

LOW_UTILISATION = 0.3
HIGH_UTILISATION = 0.7
MAX_UTILISATION_AFTER_PARKING = 0.5
LOW_UTILISATION_HOLD_S = 10.0
MIN_CHANGE_INTERVAL_S = 5.0
MIN_RUNNERS = 2


class PlacementStep(enum.StrEnum):
    """Change to one runner."""

    PARK = 'park'
    RECALL = 'recall'


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerLoad:
    """Load of a runner; standby says that it is parked."""

    name: str
    failure_domain: str
    cost_rate: float
    running: int
    queued: int
    slots: int
    standby: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementDecision:
    """A change to one runner and the utilisation that led to it."""

    step: PlacementStep
    runner: str
    utilisation: float
    rule: str


@dataclasses.dataclass(slots=True)
class PlacementHistory:
    """State for the hysteresis of one service; times in seconds."""

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
    target; runners are never parked while there is one.
    """
    active = [load for load in loads if not load.standby]
    standby = [load for load in loads if load.standby]
    slots = sum(load.slots for load in active)
    work = sum(load.running + load.queued for load in active)
    utilisation = work / slots if slots else 1.0
    if utilisation >= LOW_UTILISATION or shortfall > 0.0:
        history.low_since = None
    elif history.low_since is None:
        history.low_since = now
    if standby and (utilisation > HIGH_UTILISATION or shortfall > 0.0):
        cheapest = min(standby, key=lambda load: (load.cost_rate, load.name))
        rule = 'target-missed' if shortfall > 0.0 else 'use-high'
        history.changed_at = now
        return PlacementDecision(
            PlacementStep.RECALL, cheapest.name, utilisation, rule
        )
    if now - history.changed_at < MIN_CHANGE_INTERVAL_S:
        return None
    if (
        history.low_since is None
        or now - history.low_since < LOW_UTILISATION_HOLD_S
    ):
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
    """Park the most expensive runner if the rest can carry the work.

    The rest must span two failure domains if the active runners do.
    """
    if len(active) <= MIN_RUNNERS:
        return None
    for load in sorted(active, key=lambda x: (-x.cost_rate, x.name)):
        rest = [other for other in active if other is not load]
        domains = {other.failure_domain for other in rest}
        slots_left = slots - load.slots
        if len(domains) < min(2, len({x.failure_domain for x in active})):
            continue
        if slots_left and work / slots_left <= MAX_UTILISATION_AFTER_PARKING:
            history.changed_at = now
            return PlacementDecision(
                PlacementStep.PARK, load.name, utilisation, 'use-low'
            )
    return None
