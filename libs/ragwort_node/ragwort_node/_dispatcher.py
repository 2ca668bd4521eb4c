"""Queues of stage calls and the choice of their runners.

The dispatcher decides which queued call is sent next and to which runner;
callers, claims and results are handled elsewhere.
"""

import dataclasses
import random

import ragwort_model as model
from ragwort_node import _control
from ragwort_node import _effects
from ragwort_node import _execution
from ragwort_node import _options
import ragwort_policy as policy

SUBSET_REFRESH_S = 1.0
AFFINITY_PREFIX_CHARS = 256


@dataclasses.dataclass(slots=True)
class _CachedSubset:
    """Subset of a service's runners and when it was chosen.

    generation holds the versions of the configuration and of the member
    list that the subset was chosen from.
    """

    states: list[policy.RunnerState]
    generation: tuple[int, int]
    chosen_at: float


@dataclasses.dataclass(slots=True)
class RunnerChoice:
    """A runner chosen for a call, and the decision to log."""

    state: policy.RunnerState
    decision: _effects.Decision
    is_probe: bool


class Dispatcher:
    """Queues by service, and the state of their runners."""

    def __init__(
        self,
        options: _options.NodeOptions,
        control: _control.ControlPlane,
        rng: random.Random,
    ) -> None:
        """Start with empty queues."""
        self.options = options
        self.control = control
        self.rng = rng
        self.strategy = policy.find_strategy(options.strategy)
        self.queues: dict[str, policy.FairQueue] = {}
        self.runner_states: dict[str, policy.RunnerState] = {}
        self.cached_subsets: dict[str, _CachedSubset] = {}
        self.latencies = policy.LatencyModel()
        self.attainment = policy.AttainmentTracker()
        self.retry_budgets: dict[str, policy.Budget] = {}
        self.hedge_budgets: dict[str, policy.Budget] = {}
        self.round_robin_turns: dict[str, int] = {}

    def queue(self, service: str) -> policy.FairQueue:
        """Return the queue of a service."""
        return self.queues.setdefault(service, policy.FairQueue())

    def retry_budget(self, service: str) -> policy.Budget:
        """Return the retry budget of a service."""
        return self.retry_budgets.setdefault(service, policy.retry_budget())

    def hedge_budget(self, service: str) -> policy.Budget:
        """Return the hedge budget of a service."""
        return self.hedge_budgets.setdefault(service, policy.hedge_budget())

    def runner_subset(
        self, service: str, now: float
    ) -> list[policy.RunnerState]:
        """Return the runners of a service that this node uses.

        A cached subset is chosen again after a change of configuration or
        members, but at most once per SUBSET_REFRESH_S unless it is empty.
        """
        catalog = self.control.catalog
        generation = (catalog.generation, self.control.members.version)
        cached = self.cached_subsets.get(service)
        if cached is not None:
            is_fresh = (
                now - cached.chosen_at < SUBSET_REFRESH_S and cached.states
            )
            if cached.generation == generation or is_fresh:
                return cached.states
        runners = catalog.runners_by_service.get(service, {}).values()
        names = [update.name for update in self.control.members.live()]
        chosen = policy.choose_subset(self.options.host.name, names, runners)
        states = [self._runner_state(runner) for runner in chosen]
        self.cached_subsets[service] = _CachedSubset(states, generation, now)
        return states

    def _runner_state(self, runner: model.Runner) -> policy.RunnerState:
        state = self.runner_states.get(runner.name)
        if state is None or state.runner.address != runner.address:
            state = policy.RunnerState(runner)
            self.runner_states[runner.name] = state
        state.runner = runner
        return state

    def drop_removed_runners(self) -> None:
        """Drop runners that are not configured and have no open call."""
        for name, state in list(self.runner_states.items()):
            if name not in self.control.catalog.runners and not state.inflight:
                del self.runner_states[name]

    def runners_in_service(
        self, service: str, now: float
    ) -> list[policy.RunnerState]:
        """Return the live runners that are neither draining nor standby."""
        catalog = self.control.catalog
        return [
            state
            for state in self.runner_subset(service, now)
            if state.runner.name not in catalog.draining_runners
            and state.runner.name in catalog.runners
            and catalog.runners[state.runner.name].state
            == model.HostState.LIVE
            and not catalog.is_standby(state.runner)
        ]

    def typical_busy_s(self, service: str, now: float) -> float:
        """Return the mean busy time of a service's runners, in seconds."""
        times = [
            s.busy_s for s in self.runner_subset(service, now) if s.results
        ]
        if not times:
            return policy.DEFAULT_BUSY_S
        return sum(times) / len(times)

    def queue_wait_s(self, service: str, workspace: str, now: float) -> float:
        """Return the queue wait of a workspace's next call, in seconds."""
        queue = self.queue(service)
        if not queue.size:
            return 0.0
        total_limit = sum(
            int(s.limit) for s in self.runners_in_service(service, now)
        )
        return queue.work_ahead_s(workspace) / max(total_limit, 1)

    def total_queue_wait_s(
        self, execution: _execution.Execution, now: float
    ) -> float:
        """Return the expected wait in all remaining queues, in seconds."""
        workspace = execution.request.workspace
        return sum(
            self.queue_wait_s(service, workspace, now)
            for service in execution.remaining_services
        )

    def estimate(
        self, execution: _execution.Execution, now: float
    ) -> policy.FinishEstimate:
        """Estimate the chance that an execution meets its deadline."""
        return policy.estimate_finish(
            self.latencies,
            execution.class_of_work.name,
            execution.remaining_services,
            self.total_queue_wait_s(execution, now),
            execution.deadline_at - now,
            now,
        )

    def enqueue(self, execution: _execution.Execution, now: float) -> None:
        """Queue the current stage of an execution."""
        service = execution.service.name
        estimate = policy.estimate_finish(
            self.latencies,
            execution.class_of_work.name,
            execution.remaining_services,
            0.0,
            execution.deadline_at - now,
            now,
        )
        histogram = self.latencies.find(
            service, execution.class_of_work.name, now
        )
        cost_s = histogram.mean() if histogram else policy.DEFAULT_BUSY_S
        call = policy.QueuedCall(
            execution.key,
            execution.request.workspace,
            execution.class_of_work.name,
            execution.deadline_at - estimate.upper_bound_s,
            now,
            cost_s,
        )
        self.queue(service).push(call)

    def pop(self, service: str, now: float) -> policy.QueuedCall | None:
        """Remove and return the next call of a service."""
        queue = self.queue(service)
        shortfalls = {
            name: self.attainment.shortfall(class_of_work.target, name, now)
            for name, class_of_work in self.control.catalog.classes.items()
        }
        return queue.pop(shortfalls)

    def choose(
        self,
        execution: _execution.Execution,
        now: float,
        exclude: frozenset[str] = frozenset(),
    ) -> RunnerChoice | None:
        """Choose a runner for the current stage, None if none has room."""
        service = execution.service
        states = [
            state
            for state in self.runners_in_service(service.name, now)
            if state.runner.name not in exclude
            and execution.may_continue_at(state.runner)
        ]
        probe = self._probe_target(execution, states, now)
        if probe is not None:
            return self._choose_directly(execution, probe, 'probe', now, True)
        reconnect_runner = execution.reconnect_runner
        for state in states:
            if state.runner.name == reconnect_runner:
                rule = 'same-runner-new-connection'
                return self._choose_directly(execution, state, rule, now)
        usable = [
            state
            for state in states
            if state.has_capacity(now) and not policy.is_ejected(state, now)
        ]
        not_failed = [
            state
            for state in usable
            if state.runner.name not in execution.failed_runners
        ]
        if not usable:
            return None
        context = self._routing_context(execution, now)
        routing = self.strategy(not_failed or usable, context)
        decision = _effects.Decision(
            now,
            _effects.DecisionKind.ROUTING,
            execution.key,
            routing.rule,
            routing.state.runner.name,
            f'{service.name} for {execution.class_of_work.name}',
            context.budget_s,
            routing.candidates,
        )
        return RunnerChoice(routing.state, decision, False)

    def _choose_directly(
        self,
        execution: _execution.Execution,
        state: policy.RunnerState,
        rule: str,
        now: float,
        is_probe: bool = False,
    ) -> RunnerChoice:
        decision = _effects.Decision(
            now,
            _effects.DecisionKind.ROUTING,
            execution.key,
            rule,
            state.runner.name,
            f'{execution.service.name} for {execution.class_of_work.name}',
        )
        return RunnerChoice(state, decision, is_probe)

    def _probe_target(
        self,
        execution: _execution.Execution,
        states: list[policy.RunnerState],
        now: float,
    ) -> policy.RunnerState | None:
        """Return an ejected runner that is due for a probe."""
        if not execution.service.idempotent or execution.stage_attempt_count:
            return None
        for state in states:
            if policy.may_probe(state, now):
                return state
        return None

    def _routing_context(
        self, execution: _execution.Execution, now: float
    ) -> policy.RoutingContext:
        service = execution.service
        class_of_work = execution.class_of_work
        turn = self.round_robin_turns.get(service.name, 0)
        self.round_robin_turns[service.name] = turn + 1
        affinity = None
        if service.kind == model.ServiceKind.GENERATOR:
            affinity = execution.stage_input[:AFFINITY_PREFIX_CHARS]
        return policy.RoutingContext(
            now,
            self.rng,
            self.options.host.failure_domain,
            policy.stage_budget_s(
                self.latencies,
                class_of_work.name,
                execution.remaining_services,
                execution.deadline_at - now,
                now,
            ),
            self.typical_busy_s(service.name, now),
            self.attainment.may_prefer_cost(
                class_of_work.target, class_of_work.name, now
            ),
            affinity,
            turn,
        )

    def eject_if_outlier(
        self, state: policy.RunnerState, now: float
    ) -> _effects.Decision | None:
        """Eject a runner if it performs worse than its peers."""
        peers = self.runners_in_service(state.runner.service, now)
        if state not in peers:
            return None
        ejection = policy.detect_outlier(state, peers, now)
        if ejection is None:
            return None
        policy.eject(state, ejection)
        return _effects.Decision(
            now,
            _effects.DecisionKind.EJECTION,
            ejection.runner,
            ejection.reason,
            detail=(
                f'failure share {ejection.failure_share:.2f}, '
                f'busy {ejection.busy_s:.3f} s, '
                f'peers {ejection.peers_busy_s:.3f} s'
            ),
            estimate_s=ejection.until - now,
        )
