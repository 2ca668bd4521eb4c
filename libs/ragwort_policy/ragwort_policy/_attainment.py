"""Attainment and cost per class of work against its target."""

import dataclasses

import ragwort_model as model

HALF_LIFE_S = 60.0
MIN_REQUESTS = 20.0
MIN_REQUESTS_TO_ECONOMISE = 5.0
COMFORT_SHARE = 0.5
COST_MARGIN = 0.9


@dataclasses.dataclass(slots=True)
class ClassRecord:
    """Decayed counts of ended requests of one class, and their cost.

    stage_costs counts all work by service, wasted_costs the part whose
    result nobody used.
    """

    at: float
    ended: float = 0.0
    attained: float = 0.0
    cost: float = 0.0
    completed: float = 0.0
    stage_costs: dict[str, float] = dataclasses.field(default_factory=dict)
    wasted_costs: dict[str, float] = dataclasses.field(default_factory=dict)
    total_ended: int = 0
    total_attained: int = 0

    def fade(self, now: float) -> None:
        """Let older counts weigh less."""
        factor = 0.5 ** ((now - self.at) / HALF_LIFE_S)
        self.at = now
        self.ended *= factor
        self.attained *= factor
        self.cost *= factor
        self.completed *= factor

    @property
    def attainment(self) -> float:
        """Return the share of ended requests that met the target."""
        return self.attained / self.ended if self.ended else 1.0

    @property
    def cost_per_request(self) -> float:
        """Return the cost per completed request, in cost units."""
        return self.cost / self.completed if self.completed else 0.0


class AttainmentTracker:
    """Follow attainment and cost as this node sees them."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: dict[str, ClassRecord] = {}

    def record(self, class_of_work: str, now: float) -> ClassRecord:
        """Return the record of a class, faded to now."""
        found = self.records.setdefault(class_of_work, ClassRecord(now))
        found.fade(now)
        return found

    def on_end(
        self, class_of_work: str, completed: bool, in_time: bool, now: float
    ) -> None:
        """Count an ended request."""
        record = self.record(class_of_work, now)
        attained = completed and in_time
        record.ended += 1.0
        record.attained += attained
        record.completed += completed
        record.total_ended += 1
        record.total_attained += attained

    def on_cost(
        self,
        class_of_work: str,
        service: str,
        cost: float,
        wasted: bool,
        now: float,
    ) -> None:
        """Count what a stage call cost, in cost units."""
        record = self.record(class_of_work, now)
        record.cost += cost
        costs = record.stage_costs
        costs[service] = costs.get(service, 0.0) + cost
        if wasted:
            lost = record.wasted_costs
            lost[service] = lost.get(service, 0.0) + cost

    def shortfall(self, target: model.Target, name: str, now: float) -> float:
        """Return how far a class is below its target, 0 to 1."""
        record = self.record(name, now)
        if record.ended < MIN_REQUESTS:
            return 0.0
        return max(0.0, target.attainment - record.attainment)

    def may_prefer_cost(
        self, target: model.Target, name: str, now: float
    ) -> bool:
        """Tell whether cost may now weigh more than speed.

        Only for a class whose cost is near or over its target while its
        misses use up less than half of what the target allows.
        """
        record = self.record(name, now)
        if record.ended < MIN_REQUESTS_TO_ECONOMISE:
            return False
        if record.cost_per_request < COST_MARGIN * target.cost:
            return False
        allowed = 1.0 - target.attainment
        return 1.0 - record.attainment <= COMFORT_SHARE * allowed
