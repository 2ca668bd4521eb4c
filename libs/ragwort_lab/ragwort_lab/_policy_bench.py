"""The policy bench: scenarios against policies, in virtual time."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import random
import statistics
from typing import Any
from unittest import mock

import ragwort_fakes as fakes
from ragwort_lab import _trace
from ragwort_lab import _workload
from ragwort_lab import _world
from ragwort_lab import _world_parts
import ragwort_model as model
from ragwort_node import _dispatcher
from ragwort_node import _engine
import ragwort_policy as policy

SEEDS = (1, 2, 3)
DRAIN_S = 4.0
NODE_COUNT = 4
RECOVERY_WINDOW_S = 1.0
TARGET = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A workload, and what goes wrong while it runs."""

    name: str
    workload: _workload.Workload = _workload.Workload()  # noqa: B008
    disturb: Callable[[_world.World], None] = lambda world: None
    report_lag_s: float = 0.1
    cached_prefixes: int = 0


FAULT_FROM_S = _workload.WARM_UP_S + 8.0
FAULT_UNTIL_S = _workload.WARM_UP_S + 16.0


def _runner_fault(
    runners: tuple[str, ...], kind: fakes.RunnerFault, value: float
) -> Callable[[_world.World], None]:
    def disturb(world: _world.World) -> None:
        def set_all(level: float) -> None:
            for name in runners:
                world.runners[name].core.set_fault(kind, level)

        world.at(FAULT_FROM_S, lambda: set_all(value))
        world.at(FAULT_UNTIL_S, lambda: set_all(0.0))

    return disturb


def _lose_domain(world: _world.World) -> None:
    """Lose the node and all runners of one failure domain."""
    domain = 'fd-1'
    names = [
        runner.name
        for runner in _configured_runners(world)
        if runner.failure_domain == domain
    ]

    def lose() -> None:
        world.kill('node-1')
        for name in names:
            world.runner_side.kill(name)

    def regain() -> None:
        world.restart('node-1')
        for name in names:
            world.runner_side.revive(name)

    world.at(FAULT_FROM_S, lose)
    world.at(FAULT_UNTIL_S, regain)


def _configured_runners(world: _world.World) -> list[model.Runner]:
    slot = world.nodes['node-2']
    return list(slot.core.control.catalog.runners.values())


def _store_down(world: _world.World) -> None:
    fault = fakes.PlatformFault.DOWN
    world.at(FAULT_FROM_S, lambda: world.platform.set_fault(fault, True))
    world.at(FAULT_UNTIL_S, lambda: world.platform.set_fault(fault, False))


GENERATORS = tuple(
    f'generator-{i + 1}' for i in range(_workload.SERVICES['generator'][2])
)
SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        Scenario('steady'),
        Scenario('burst', _workload.Workload(burst=5.0)),
        Scenario(
            'slow-runner',
            disturb=_runner_fault(
                ('generator-3', 'retriever-2'), fakes.RunnerFault.SLOW, 10.0
            ),
        ),
        Scenario(
            'failing-runner',
            disturb=_runner_fault(
                ('generator-3', 'encoder-2'), fakes.RunnerFault.FAIL, 1.0
            ),
        ),
        Scenario('domain-lost', disturb=_lose_domain),
        Scenario('report-lag', report_lag_s=10.0),
        Scenario(
            'retry-storm',
            disturb=_runner_fault(GENERATORS, fakes.RunnerFault.FAIL, 1.0),
        ),
        Scenario(
            'heavy-tenant',
            _workload.Workload(rate=260.0, duration_s=12.0, tenant_share=0.8),
        ),
        Scenario(
            'cache-pressure',
            _workload.Workload(rate=90.0, prefixes=400),
            cached_prefixes=60,
        ),
        Scenario('store-down', disturb=_store_down),
        Scenario(
            'campbell-steady',
            _workload.Workload(cost_target=_workload.CAMPBELL_COST),
        ),
        Scenario(
            'campbell-burst',
            _workload.Workload(burst=3.0, cost_target=_workload.CAMPBELL_COST),
        ),
    )
}


@contextlib.contextmanager
def _replaced(*patches: Any) -> Iterator[None]:
    with contextlib.ExitStack() as stack:
        for patch in patches:
            stack.enter_context(patch)
        yield


def _no_ejection() -> Any:
    return mock.patch.object(policy, 'detect_outlier', lambda *_: None)


def _no_hedges() -> Any:
    return mock.patch.object(_engine.Engine, '_plan_hedge', lambda *_: None)


def _no_admission() -> Any:
    return mock.patch.object(policy, 'MIN_PROBABILITY', -1.0)


def _no_economy() -> Any:
    return mock.patch.object(
        policy.AttainmentTracker, 'may_prefer_cost', lambda *_: False
    )


class _ArrivalQueue(policy.FairQueue):
    """Queue in order of arrival, blind to workspaces and slack."""

    def push(self, call: policy.QueuedCall) -> None:
        call.workspace = ''
        call.latest_start = call.enqueued_at
        super().push(call)

    def remove(self, ident: str, workspace: str) -> policy.QueuedCall | None:
        return super().remove(ident, '')


def _no_fairness() -> Any:
    return mock.patch.object(policy, 'FairQueue', _ArrivalQueue)


def _no_retry_budget() -> Any:
    return mock.patch.object(policy.Budget, 'take', lambda _: True)


def _no_affinity() -> Any:
    return mock.patch.object(_dispatcher, 'AFFINITY_PREFIX_CHARS', 0)


def _fixed_limits() -> Any:
    return mock.patch.object(
        policy.RunnerState, '_adapt_limit', lambda *_: None
    )


def _no_giving_up() -> Any:
    def enqueue_forever(call: policy.QueuedCall, now: float) -> bool:
        return False

    return mock.patch.object(policy, 'is_too_late', enqueue_forever)


def _no_avoidance() -> Any:
    return mock.patch.object(policy.RunnerState, '_back_off', lambda *_: None)


def _no_placement() -> Any:
    return mock.patch.object(policy, 'plan_placement', lambda *_: None)


@dataclasses.dataclass(frozen=True, slots=True)
class Variant:
    """A routing strategy, and the parts of the policy left out."""

    name: str
    strategy: str = 'ragwort'
    without: tuple[Callable[[], Any], ...] = ()


PLAIN = (
    _no_ejection,
    _no_hedges,
    _no_admission,
    _no_economy,
    _no_fairness,
    _no_placement,
    _no_giving_up,
    _no_avoidance,
)
BASELINES = (
    Variant('round-robin', 'round-robin', PLAIN),
    Variant('random', 'random', PLAIN),
    Variant('least-outstanding', 'least-outstanding', PLAIN),
)
OURS = Variant('ragwort')
ABLATIONS = (
    Variant('no-ejection', without=(_no_ejection,)),
    Variant('no-hedges', without=(_no_hedges,)),
    Variant('no-admission', without=(_no_admission,)),
    Variant('no-economy', without=(_no_economy,)),
    Variant('no-fairness', without=(_no_fairness,)),
    Variant('no-retry-budget', without=(_no_retry_budget,)),
    Variant('no-affinity', without=(_no_affinity,)),
    Variant('fixed-limits', without=(_fixed_limits,)),
    Variant('no-placement', without=(_no_placement,)),
    Variant('no-giving-up', without=(_no_giving_up,)),
    Variant('no-avoidance', without=(_no_avoidance,)),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """What one run came to.

    cost is per attained request in cost units; wasted is the share of
    the cost whose result nobody used; smallest is the lowest attainment of
    those workspaces that send less than the average; tries is dispatches
    per request.
    """

    attainment: float
    by_class: dict[str, float]
    p99_s: float
    cost: float
    cost_by_stage: dict[str, float]
    wasted: float
    smallest: float
    tries: float
    recovery_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One scenario under one variant with one seed."""

    scenario: str
    variant: Variant
    seed: int


def run(job: Run) -> Figures:
    """Carry out one run."""
    scenario = SCENARIOS[job.scenario]
    with _replaced(*(leave_out() for leave_out in job.variant.without)):
        return _run(scenario, job)


def _run(scenario: Scenario, job: Run) -> Figures:
    runners = _workload.bench_runners(
        scenario.report_lag_s, scenario.cached_prefixes
    )
    costs = _workload.bench_costs(runners)
    workload = scenario.workload
    world = _world.World(
        job.seed,
        _world_parts.WorldShape(NODE_COUNT, strategy=job.variant.strategy),
        runners,
        _workload.bench_objects(workload),
        costs,
    )
    world.run_until(_workload.WARM_UP_S)
    scenario.disturb(world)
    rng = random.Random(f'workload/{job.seed}')
    sent = _workload.send_all(world, workload, rng)
    world.run_for(workload.duration_s + DRAIN_S)
    return _figures(world, sent, costs)


def _attained(
    arrival: _workload.Arrival, submission: _trace.Submission
) -> bool:
    if submission.outcome != model.Outcome.COMPLETED:
        return False
    deadline_s = _workload.CLASSES[arrival.class_of_work][2]
    return (submission.told_at or 0.0) - submission.at <= deadline_s


def _figures(
    world: _world.World,
    sent: list[tuple[_workload.Arrival, _trace.Submission]],
    costs: dict[str, float],
) -> Figures:
    attained = [_attained(arrival, s) for arrival, s in sent]
    by_class: dict[str, list[bool]] = {}
    by_workspace: dict[str, list[bool]] = {}
    for (arrival, _), good in zip(sent, attained, strict=True):
        by_class.setdefault(arrival.class_of_work, []).append(good)
        by_workspace.setdefault(arrival.workspace, []).append(good)
    times = sorted(
        (s.told_at or 0.0) - s.at
        for _, s in sent
        if s.outcome == model.Outcome.COMPLETED
    )
    by_stage: dict[str, float] = {}
    for name, slot in world.runners.items():
        service = slot.core.shape.service
        cost = slot.core.busy_s * costs[name]
        by_stage[service] = by_stage.get(service, 0.0) + cost
    total = sum(by_stage.values())
    count = max(1, sum(attained))
    return Figures(
        sum(attained) / len(sent),
        {n: statistics.mean(v) for n, v in sorted(by_class.items())},
        times[int(0.99 * (len(times) - 1))] if times else 0.0,
        total / count,
        {n: cost / count for n, cost in sorted(by_stage.items())},
        _wasted(world, total),
        _smallest(by_workspace),
        len(world.trace.dispatches) / len(sent),
        _recovery_s(sent, attained),
    )


def _smallest(by_workspace: dict[str, list[bool]]) -> float:
    """Return the lowest attainment of those that send little."""
    share = sum(map(len, by_workspace.values())) / len(by_workspace)
    small = [v for v in by_workspace.values() if len(v) <= share]
    return min(statistics.mean(v) for v in small)


def _wasted(world: _world.World, total: float) -> float:
    """Return the share of all cost that brought no accepted result."""
    used = 0.0
    for slot in world.nodes.values():
        records = slot.core.dispatcher.attainment.records
        for record in records.values():
            used += sum(record.stage_costs.values())
            used -= sum(record.wasted_costs.values())
    return max(0.0, 1.0 - used / total) if total else 0.0


def _recovery_s(
    sent: list[tuple[_workload.Arrival, _trace.Submission]],
    attained: list[bool],
) -> float:
    """Return how long after the fault attainment stays below target."""
    end = FAULT_UNTIL_S
    worst = 0.0
    start = end
    last = max(s.at for _, s in sent)
    while start < last:
        window = [
            good
            for (_, s), good in zip(sent, attained, strict=True)
            if start <= s.at < start + RECOVERY_WINDOW_S
        ]
        if window and statistics.mean(window) < TARGET:
            worst = start + RECOVERY_WINDOW_S - end
        start += RECOVERY_WINDOW_S
    return worst
