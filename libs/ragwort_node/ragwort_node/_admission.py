"""Admission control: whether a request is accepted or refused."""

import dataclasses

import ragwort_model as model
from ragwort_node import _control
from ragwort_node import _dispatcher
from ragwort_node import _effects
from ragwort_node import _execution
from ragwort_node import _options
import ragwort_policy as policy

BUSY_RETRY_AFTER_S = 1.0
OUTAGE_RETRY_AFTER_S = 2.0
MAX_KEY_LEAD_S = 30.0
# Chance of ending in time that a request needs on a node that leaves.
MIN_DRAIN_PROBABILITY = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused, and after how long to retry."""

    kind: _effects.RefusalKind
    detail: str
    retry_after_s: float | None = None


LEAVING = Refusal(
    _effects.RefusalKind.DRAINING,
    'this node is leaving; ask for addresses again',
    0.0,
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPlan:
    """Class of work of a request, and the services of its pipeline."""

    class_of_work: model.ClassOfWork
    services: tuple[model.Service, ...]

    @property
    def needs_claim(self) -> bool:
        """Tell whether any stage is non-idempotent."""
        return any(not service.idempotent for service in self.services)


def resolve_plan(
    control: _control.ControlPlane, request: model.Request
) -> RequestPlan | Refusal:
    """Look up the names in a request in the configuration in force."""
    catalog = control.catalog
    class_of_work = catalog.classes.get(request.class_of_work)
    if class_of_work is None:
        return _unknown_name(f'class of work {request.class_of_work!r}')
    if request.workspace not in catalog.workspaces:
        return _unknown_name(f'workspace {request.workspace!r}')
    pipeline = catalog.pipelines.get(class_of_work.pipeline)
    if pipeline is None:
        return _unknown_name(
            f'pipeline {class_of_work.pipeline!r} '
            f'of class {class_of_work.name!r}'
        )
    services: list[model.Service] = []
    for name in pipeline.stages:
        service = catalog.services.get(name)
        if service is None:
            return _unknown_name(
                f'service {name!r} of pipeline {pipeline.name!r}'
            )
        services.append(service)
    return RequestPlan(class_of_work, tuple(services))


def _unknown_name(what: str) -> Refusal:
    return Refusal(
        _effects.RefusalKind.UNKNOWN_NAME, f'{what} is not configured'
    )


def check_key(
    options: _options.NodeOptions, key: str, wall: float
) -> Refusal | None:
    """Refuse a key outside the time for which claims can be checked."""
    age_s = wall - model.request_key_time(key)
    if age_s > options.claim_retention_s:
        return Refusal(
            _effects.RefusalKind.KEY_EXPIRED,
            f'the request key is {age_s:.0f} s old; '
            f'keys are kept for {options.claim_retention_s:.0f} s',
        )
    if age_s < -(options.clock_skew_s + MAX_KEY_LEAD_S):
        return Refusal(
            _effects.RefusalKind.INVALID,
            f'the request key lies {-age_s:.0f} s in the future',
        )
    return None


def check_claimable(
    control: _control.ControlPlane,
    options: _options.NodeOptions,
    plan: RequestPlan,
    now: float,
) -> Refusal | None:
    """Refuse non-idempotent work while it cannot be claimed safely."""
    if not plan.needs_claim:
        return None
    offset_s = control.members.clock_offset()
    if abs(offset_s) > options.clock_skew_s:
        return Refusal(
            _effects.RefusalKind.CLOCK_SKEW,
            f'this node\'s clock is {-offset_s:+.1f} s off its peers\'',
            BUSY_RETRY_AFTER_S,
        )
    if control.ledger.is_store_unavailable(now):
        return Refusal(
            _effects.RefusalKind.STORE_DOWN,
            'the platform\'s store does not answer; work that may not be '
            'repeated waits until it does',
            OUTAGE_RETRY_AFTER_S,
        )
    return None


def check_drain(
    dispatcher: _dispatcher.Dispatcher,
    execution: _execution.Execution,
    drain: policy.Drain | None,
    now: float,
) -> Refusal | None:
    """Refuse a request that might outlast a leaving node.

    Its estimate is enough unless it comes late and may run only once.
    """
    if drain is None or not execution.is_cut_short:
        return None
    may_repeat = all(service.idempotent for service in execution.services)
    if not drain.may_estimate(execution.started_at, may_repeat):
        return LEAVING
    estimate = dispatcher.estimate(execution, now)
    is_likely = (
        estimate.has_enough_samples
        and estimate.probability >= MIN_DRAIN_PROBABILITY
    )
    return None if is_likely else LEAVING


def check_capacity(
    dispatcher: _dispatcher.Dispatcher,
    options: _options.NodeOptions,
    execution: _execution.Execution,
    open_requests: int,
    now: float,
) -> Refusal | None:
    """Refuse work over the queue limits or bound to miss its deadline."""
    overloaded = _effects.RefusalKind.OVERLOADED
    if open_requests >= options.max_open_requests:
        detail = f'{open_requests} requests are open on this node'
        return Refusal(overloaded, detail, BUSY_RETRY_AFTER_S)
    first = execution.service.name
    queued = dispatcher.queue(first).queued(execution.request.workspace)
    if queued >= options.max_queued_per_workspace:
        detail = f'{queued} requests of this workspace wait already'
        return Refusal(overloaded, detail, BUSY_RETRY_AFTER_S)
    for service in execution.services:
        if not dispatcher.runners_in_service(service.name, now):
            detail = f'no runner of service {service.name!r} is in service'
            return Refusal(overloaded, detail, BUSY_RETRY_AFTER_S)
    estimate = dispatcher.estimate(execution, now)
    if (
        estimate.has_enough_samples
        and estimate.probability < policy.MIN_PROBABILITY
    ):
        wait_s = dispatcher.total_queue_wait_s(execution, now)
        return Refusal(
            _effects.RefusalKind.TOO_LATE,
            f'it would take {estimate.mean_s:.2f} s of the '
            f'{execution.deadline_at - now:.2f} s allowed',
            max(wait_s, BUSY_RETRY_AFTER_S),
        )
    return None
