"""Workloads of the policy bench: services, classes, arrivals."""

import dataclasses
import functools
import random

import ragwort_fakes as fakes
from ragwort_lab import _trace
from ragwort_lab import _world
import ragwort_model as model

WARM_UP_S = 6.0
LARGE_SHARE = 0.35
# Service: service time (s), time between chunks (s), runners.
SERVICES: dict[str, tuple[float, float, int]] = {
    'encoder': (0.010, 0.0, 4),
    'retriever': (0.020, 0.0, 5),
    'reranker': (0.015, 0.0, 4),
    'generator': (0.045, 0.004, 8),
    'registrar': (0.010, 0.0, 4),
}
SPEEDS = (0.8, 1.0, 1.25, 1.0, 0.9, 1.1, 1.3, 0.95)
COSTS = (1.4, 1.0, 0.5, 0.7)
SLOTS = 2
DEVIATION = 0.4
# Class of work: pipeline, attainment, deadline (s), share of arrivals.
CLASSES: dict[str, tuple[str, float, float, float]] = {
    'morning-briefing': ('full', 0.99, 1.2, 0.15),
    'tide-question': ('question', 0.95, 0.8, 0.30),
    'safety-notice': ('notice', 0.99, 1.5, 0.10),
    'fault-diagnosis': ('full', 0.95, 1.2, 0.20),
    'parts-lookup': ('lookup', 0.95, 0.4, 0.15),
    'repair-ticket': ('ticket', 0.95, 0.4, 0.10),
}
# Cost targets: generous where attainment weighs more, tight where cost does.
HOULE_COST = 10.0
CAMPBELL_COST = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """What arrives; rates are requests per second, times seconds.

    burst multiplies the rate between burst_from and burst_until.
    prefixes is how many prompt beginnings there are, 0 for all different.
    """

    rate: float = 60.0
    duration_s: float = 24.0
    burst: float = 1.0
    burst_from: float = 8.0
    burst_until: float = 13.0
    workspaces: int = 5
    large_workspaces: int = 2
    tenant_share: float = 0.0
    prefixes: int = 0
    cost_target: float = HOULE_COST


def bench_runners(
    report_lag_s: float, cached_prefixes: int
) -> dict[str, fakes.RunnerShape]:
    """Return runners of unequal speed."""
    shapes: dict[str, fakes.RunnerShape] = {}
    for service, (service_s, chunk_s, count) in SERVICES.items():
        kind = model.ServiceKind(fakes.SERVICES[service]['kind'])
        for index in range(count):
            speed = SPEEDS[index % len(SPEEDS)]
            shapes[f'{service}-{index + 1}'] = fakes.RunnerShape(
                service,
                kind,
                SLOTS,
                service_s * speed,
                chunk_s * speed,
                deviation=DEVIATION,
                report_lag_s=report_lag_s,
                cached_prefixes=cached_prefixes,
            )
    return shapes


def bench_costs(runners: dict[str, fakes.RunnerShape]) -> dict[str, float]:
    """Return cost rates; a runner's number sets its rate."""
    return {
        name: COSTS[(int(name.rpartition('-')[2]) - 1) % len(COSTS)]
        for name in runners
    }


def workspace_names(workload: Workload) -> list[str]:
    """Return the names of the workspaces."""
    return [f'workspace-{i + 1}' for i in range(workload.workspaces)]


def bench_objects(workload: Workload) -> fakes.Objects:
    """Return the configuration of the bench."""
    classes = {
        name: (pipeline, attainment, deadline_s, workload.cost_target)
        for name, (pipeline, attainment, deadline_s, _) in CLASSES.items()
    }
    return fakes.sample_objects(classes, workspace_names(workload), {})


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a workload; at counts from the workload's start."""

    at: float
    class_of_work: str
    workspace: str
    text: str


def arrivals(workload: Workload, rng: random.Random) -> list[Arrival]:
    """Return the arrivals of a workload, open loop."""
    found: list[Arrival] = []
    names = workspace_names(workload)
    weights = _workspace_weights(workload, names)
    shares = [share for _, _, _, share in CLASSES.values()]
    at = 0.0
    while True:
        bursting = workload.burst_from <= at < workload.burst_until
        rate = workload.rate * (workload.burst if bursting else 1.0)
        at += rng.expovariate(rate)
        if at >= workload.duration_s:
            return found
        chosen = rng.choices(list(CLASSES), shares)[0]
        workspace = rng.choices(names, weights)[0]
        text = f'request {len(found)}'
        if workload.prefixes:
            # Zipf-like use of prompt beginnings.
            rank = int(workload.prefixes ** rng.random())
            text = f'{"prefix " * 40}{rank:06d} {text}'
        found.append(Arrival(at, chosen, workspace, text))


def _workspace_weights(workload: Workload, names: list[str]) -> list[float]:
    if workload.tenant_share:
        rest = (1.0 - workload.tenant_share) / (len(names) - 1)
        return [workload.tenant_share] + [rest] * (len(names) - 1)
    large = workload.large_workspaces
    rest = (1.0 - LARGE_SHARE * large) / (len(names) - large)
    return [LARGE_SHARE] * large + [rest] * (len(names) - large)


def send_all(
    world: _world.World, workload: Workload, rng: random.Random
) -> list[tuple[Arrival, _trace.Submission]]:
    """Plan all arrivals of a workload from now on."""
    sent: list[tuple[Arrival, _trace.Submission]] = []

    def send(arrival: Arrival) -> None:
        live = world.live_nodes()
        name = live[rng.randrange(len(live))]
        deadline_s = CLASSES[arrival.class_of_work][2]
        submission = world.callers.submit(
            name,
            arrival.class_of_work,
            arrival.text,
            arrival.workspace,
            deadline_s=deadline_s,
        )
        sent.append((arrival, submission))

    for arrival in arrivals(workload, rng):
        world.after(arrival.at, functools.partial(send, arrival))
    return sent
