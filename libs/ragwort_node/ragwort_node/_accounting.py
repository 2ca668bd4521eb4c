"""What results, probes and outcomes tell of runners and classes of work."""

import ragwort_model as model
from ragwort_node import _dispatcher
from ragwort_node import _effects
from ragwort_node import _execution
import ragwort_policy as policy


class Accounting:
    """Keep the figures that later decisions go by."""

    def __init__(
        self, dispatcher: _dispatcher.Dispatcher, out: list[_effects.Effect]
    ) -> None:
        """Write to the dispatcher's figures; out collects the effects."""
        self.dispatcher = dispatcher
        self.out = out

    def on_result(
        self,
        execution: _execution.Execution,
        attempt: _execution.Attempt,
        event: model.StageEnd,
        now: float,
    ) -> None:
        """Take a whole result into the figures of its runner."""
        state = attempt.state
        service = execution.service.name
        latency_s = now - attempt.started_at
        state.on_result(event.busy_s, latency_s, now)
        state.on_report(event.report, now)
        work = execution.class_of_work.name
        self.dispatcher.latencies.add(service, work, latency_s, now)
        cost = event.busy_s * state.runner.cost_rate
        self.dispatcher.attainment.on_cost(work, service, cost, False, now)
        self.out.append(_effects.Timing(f'stage.{service}', latency_s))
        if attempt.is_probe:
            self.on_probe_end(attempt, True, event.busy_s, now)
        else:
            self.judge(state, now)

    def on_probe_end(
        self,
        attempt: _execution.Attempt,
        ok: bool,
        busy_s: float,
        now: float,
    ) -> None:
        """Judge a runner by a probe of it."""
        state = attempt.state
        peers = self.dispatcher.runners_in_service(state.runner.service, now)
        back = policy.on_probe_result(state, ok, busy_s, peers, now)
        decision = _effects.Decision(
            now,
            _effects.DecisionKind.EJECTION,
            state.runner.name,
            'back-in-service' if back else 'still-out',
            estimate_s=max(0.0, state.ejected_until - now),
        )
        self.out.append(decision)

    def judge(self, state: policy.RunnerState, now: float) -> None:
        """Take a runner out of service if it does worse than its peers."""
        decision = self.dispatcher.judge(state, now)
        if decision is not None:
            self.out.append(decision)

    def on_waste(
        self,
        execution: _execution.Execution,
        attempt: _execution.Attempt,
        now: float,
    ) -> None:
        """Estimate the cost of a call whose result is not used.

        It worked at most since it was sent.
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
        """Take a request's end into the attainment of its class."""
        work = execution.class_of_work
        elapsed_s = now - execution.started_at
        completed = outcome == model.Outcome.COMPLETED
        in_time = elapsed_s <= work.target.deadline_s
        attainment = self.dispatcher.attainment
        attainment.on_end(work.name, completed, in_time, now)
        self.out.append(_effects.Count(f'outcome.{work.name}.{outcome}'))
        self.out.append(_effects.Timing(f'request.{work.name}', elapsed_s))
