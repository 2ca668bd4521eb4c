"""Attainment and cost per class of work against its target."""

import dataclasses

import ragwort_model as model

HALF_LIFE_S = 60.0
MIN_REQUESTS = 20.0
MIN_REQUESTS_TO_PREFER_COST = 5.0
MAX_ERROR_BUDGET_USE = 0.5
COST_MARGIN = 0.9


@dataclasses.dataclass(slots=True)
class ClassRecord:
    """Decayed counts and costs of the ended requests of one class.

    stage_costs sums all work by service, wasted_costs the part whose
    results were not used. Both and the totals do not decay.
    """

    updated_at: float
    ended: float = 0.0
    attained: float = 0.0
    cost: float = 0.0
    completed: float = 0.0
    stage_costs: dict[str, float] = dataclasses.field(default_factory=dict)
    wasted_costs: dict[str, float] = dataclasses.field(default_factory=dict)
    total_ended: int = 0
    total_attained: int = 0

    def decay(self, now: float) -> None:
        """Decay the counts and the cost to the present time."""
        factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
        self.updated_at = now
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
    """Track attainment and cost of the requests of this node."""

    def __init__(self) -> None:
        """Start without records."""
        self.records: dict[str, ClassRecord] = {}

    def record(self, class_of_work: str, now: float) -> ClassRecord:
        """Return the record of a class, decayed to now."""
        record = self.records.setdefault(class_of_work, ClassRecord(now))
        record.decay(now)
        return record

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
        """Add the cost of a stage call, in cost units."""
        record = self.record(class_of_work, now)
        record.cost += cost
        costs = record.stage_costs
        costs[service] = costs.get(service, 0.0) + cost
        if wasted:
            wasted_costs = record.wasted_costs
            wasted_costs[service] = wasted_costs.get(service, 0.0) + cost

    def shortfall(self, target: model.Target, name: str, now: float) -> float:
        """Return how far a class is below its target, 0 to 1."""
        record = self.record(name, now)
        if record.ended < MIN_REQUESTS:
            return 0.0
        return max(0.0, target.attainment - record.attainment)

    def may_prefer_cost(
        self, target: model.Target, name: str, now: float
    ) -> bool:
        """Tell whether routing may prefer low cost to speed.

        Only for a class whose cost is near or over its target while its
        misses use at most half of its error budget.
        """
        record = self.record(name, now)
        if record.ended < MIN_REQUESTS_TO_PREFER_COST:
            return False
        if record.cost_per_request < COST_MARGIN * target.cost:
            return False
        error_budget = 1.0 - target.attainment
        return 1.0 - record.attainment <= MAX_ERROR_BUDGET_USE * error_budget
