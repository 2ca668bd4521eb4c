"""What a node reports of itself."""

import dataclasses
import enum

import ragwort_model as model
import ragwort_policy as policy


class NodeState(enum.StrEnum):
    """What a node does with new requests."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'
    REFUSING = 'refusing'


@dataclasses.dataclass(frozen=True, slots=True)
class ClassStatus:
    """Attainment and cost of one class of work against its target."""

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
    """A runner as this node sees it."""

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
    """What a node reports of itself."""

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


def class_status(
    work: model.ClassOfWork, record: policy.ClassRecord
) -> ClassStatus:
    """Return a class of work's record beside its target."""
    return ClassStatus(
        work.name,
        work.target,
        record.attainment,
        record.cost_per_request,
        record.total_ended,
        record.total_attained,
        dict(record.stage_costs),
        dict(record.wasted_costs),
    )


def runner_status(
    known: policy.RunnerState, draining: bool, now: float
) -> RunnerStatus:
    """Return what a node knows of a runner."""
    return RunnerStatus(
        known.runner.name,
        known.runner.service,
        known.inflight,
        known.limit,
        known.busy_s,
        known.failure_share,
        policy.is_ejected(known, now),
        draining,
    )
