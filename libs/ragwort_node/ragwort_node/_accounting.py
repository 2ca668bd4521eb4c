"""Statistics of runners and classes of work, from results and outcomes."""

import ragwort_model as model
from ragwort_node import _dispatcher
from ragwort_node import _effects
from ragwort_node import _execution
import ragwort_policy as policy


class Accounting:
    """Update the statistics that later decisions are based on."""

    def __init__(
        self,
        dispatcher: _dispatcher.Dispatcher,
        effects: list[_effects.Effect],
    ) -> None:
        """Update the dispatcher's statistics and append to effects."""
        self.dispatcher = dispatcher
        self.effects = effects

    def on_result(
        self,
        execution: _execution.Execution,
        attempt: _execution.Attempt,
        event: model.StageEnd,
        now: float,
    ) -> None:
        """Record a complete result for its runner and class of work."""
        state = attempt.state
        service = execution.service.name
        latency_s = now - attempt.started_at
        state.on_result(event.busy_s, latency_s, now)
        state.on_report(event.report, now)
        class_name = execution.class_of_work.name
        self.dispatcher.latencies.add(service, class_name, latency_s, now)
        cost = event.busy_s * state.runner.cost_rate
        self.dispatcher.attainment.on_cost(
            class_name, service, cost, False, now
        )
        self.effects.append(_effects.Timing(f'stage.{service}', latency_s))
        if attempt.is_probe:
            self.on_probe_end(attempt, True, event.busy_s, now)
        else:
            self.eject_if_outlier(state, now)

    def on_probe_end(
        self,
        attempt: _execution.Attempt,
        ok: bool,
        busy_s: float,
        now: float,
    ) -> None:
        """Reinstate a probed runner, or extend its ejection."""
        state = attempt.state
        peers = self.dispatcher.runners_in_service(state.runner.service, now)
        reinstated = policy.on_probe_result(state, ok, busy_s, peers, now)
        decision = _effects.Decision(
            now,
            _effects.DecisionKind.EJECTION,
            state.runner.name,
            'back-in-service' if reinstated else 'still-out',
            estimate_s=max(0.0, state.ejected_until - now),
        )
        self.effects.append(decision)

    def eject_if_outlier(self, state: policy.RunnerState, now: float) -> None:
        """Eject a runner that performs worse than its peers."""
        decision = self.dispatcher.eject_if_outlier(state, now)
        if decision is not None:
            self.effects.append(decision)

    def on_wasted_attempt(
        self,
        execution: _execution.Execution,
        attempt: _execution.Attempt,
        now: float,
    ) -> None:
        """Record the estimated cost of an attempt whose result is unused.

        The runner was busy at most for the time since the dispatch.
        """
        state = attempt.state
        busy_s = min(now - attempt.started_at, state.busy_s or 0.0)
        self.dispatcher.attainment.on_cost(
            execution.class_of_work.name,
            state.runner.service,
            busy_s * state.runner.cost_rate,
            True,
            now,
        )

    def on_outcome(
        self,
        execution: _execution.Execution,
        outcome: model.Outcome,
        now: float,
    ) -> None:
        """Record the end of a request in the attainment of its class."""
        class_of_work = execution.class_of_work
        elapsed_s = now - execution.started_at
        completed = outcome == model.Outcome.COMPLETED
        in_time = elapsed_s <= class_of_work.target.deadline_s
        attainment = self.dispatcher.attainment
        attainment.on_end(class_of_work.name, completed, in_time, now)
        self.effects.append(
            _effects.Count(f'outcome.{class_of_work.name}.{outcome}')
        )
        self.effects.append(
            _effects.Timing(f'request.{class_of_work.name}', elapsed_s)
        )
