"""Status that a node reports to operators."""

import dataclasses
import enum

import ragwort_model as model
import ragwort_policy as policy


class NodeState(enum.StrEnum):
    """State of a node, which decides what it does with new requests."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'
    REFUSING = 'refusing'


@dataclasses.dataclass(frozen=True, slots=True)
class ClassStatus:
    """Attainment and cost of a class of work, beside its target."""

    name: str
    target: model.Target
    attainment: float
    cost_per_request: float
    ended: int
    attained: int
    stage_costs: dict[str, float]
    wasted_costs: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerStatus:
    """Statistics that this node holds of a runner."""

    name: str
    service: str
    inflight: int
    limit: float
    busy_s: float
    failure_share: float
    ejected: bool
    draining: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStatus:
    """Status of a node; not_ready is the reason, empty if ready."""

    name: str
    state: NodeState
    not_ready: str
    members: list[model.MemberUpdate]
    in_force: dict[str, int]
    in_force_since_s: dict[str, float]
    problems: dict[str, str]
    classes: list[ClassStatus]
    runners: list[RunnerStatus]
    open_requests: int
    store_era: int


def class_status(
    class_of_work: model.ClassOfWork, record: policy.ClassRecord
) -> ClassStatus:
    """Return the status of a class of work."""
    return ClassStatus(
        class_of_work.name,
        class_of_work.target,
        record.attainment,
        record.cost_per_request,
        record.total_ended,
        record.total_attained,
        dict(record.stage_costs),
        dict(record.wasted_costs),
    )


def runner_status(
    runner_state: policy.RunnerState, draining: bool, now: float
) -> RunnerStatus:
    """Return the status of a runner."""
    return RunnerStatus(
        runner_state.runner.name,
        runner_state.runner.service,
        runner_state.inflight,
        runner_state.limit,
        runner_state.busy_s,
        runner_state.failure_share,
        policy.is_ejected(runner_state, now),
        draining,
    )
