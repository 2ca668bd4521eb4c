"""Placement of runners, loaded or on standby, under a lease per service.

The list of standby runners is a configuration object, so that every node
stops using a runner before it is unloaded. Orders state the desired state,
not a step towards it, and are repeated until the runner reports it.
"""

import json
import random

import ragwort_model as model
from ragwort_node import _effects
import ragwort_policy as policy
import ragwort_state as state

MIN_POLL_INTERVAL_S = 2.0
SETTLE_DELAY_S = 12.0
REPORT_MAX_AGE_POLLS = 2.5
MAX_POLLS_PER_S = 10.0
PLACEMENT_OP = 'placement:'

PlacementEffect = (
    model.StoreCall | model.ReadLoad | model.SendOrder | _effects.Decision
)


class PlacementController:
    """Control the placement of one service while its lease is held."""

    def __init__(
        self,
        service: str,
        host: str,
        replica: state.Replica[state.Catalog],
        store_era: state.StoreEra,
        rng: random.Random,
    ) -> None:
        """Start without the lease."""
        self.service = service
        self.replica = replica
        self.lease = state.Lease(service, host, rng, store_era)
        self.history = policy.PlacementHistory()
        self.reports: dict[str, tuple[model.LoadReport, float]] = {}
        self.recalling: set[str] = set()
        self.next_poll = 0.0
        self.poll_interval_s = MIN_POLL_INTERVAL_S
        self.pending_op: str | None = None
        self.operation_count = 0

    @property
    def object_name(self) -> str:
        """Return the name of the stored placement object."""
        return f'{state.CONFIG_PREFIX}placement/{self.service}'

    def live_runners(self) -> list[model.Runner]:
        """Return the live runners of the service, sorted by name."""
        runners = self.replica.catalog.runners_by_service.get(self.service, {})
        return [
            runners[name]
            for name in sorted(runners)
            if runners[name].state == model.HostState.LIVE
        ]

    def tick(
        self, now: float, wall: float, elected: bool, shortfall: float
    ) -> list[PlacementEffect]:
        """Renew the lease; while it is held, poll and place the runners."""
        effects: list[PlacementEffect] = []
        effects += self.lease.tick(now, elected)
        if not self.lease.may_order(now, checks_fencing=True):
            self.reports.clear()
            self.recalling.clear()
            return effects
        if now < self.next_poll:
            return effects
        self.poll_interval_s = max(
            MIN_POLL_INTERVAL_S, len(self.live_runners()) / MAX_POLLS_PER_S
        )
        self.next_poll = now + self.poll_interval_s
        effects += self._reconcile(now, wall)
        effects += self._plan_placement(now, shortfall)
        effects += [model.ReadLoad(runner) for runner in self.live_runners()]
        return effects

    def on_load(self, event: model.LoadResult, now: float) -> None:
        """Store a runner's report; drop the old one if it did not answer."""
        if event.report is None:
            self.reports.pop(event.runner, None)
        else:
            self.reports[event.runner] = (event.report, now)

    def _recent_report(self, name: str, now: float) -> model.LoadReport | None:
        found = self.reports.get(name)
        max_age_s = REPORT_MAX_AGE_POLLS * self.poll_interval_s
        if found is None or now - found[1] > max_age_s:
            return None
        return found[0]

    def _reconcile(self, now: float, wall: float) -> list[PlacementEffect]:
        """Send orders to the runners that are not in their desired state."""
        effects: list[PlacementEffect] = []
        standby = self.replica.catalog.standby.get(self.service, frozenset())
        for runner in self.live_runners():
            report = self._recent_report(runner.name, now)
            if report is None:
                continue
            is_standby = runner.name in standby
            should_load = not is_standby or runner.name in self.recalling
            if should_load and not report.loaded:
                effects += self._send_order(
                    runner, model.DesiredState.LOADED, now, wall
                )
            elif (
                not should_load
                and report.loaded
                and self._may_unload(report, now)
            ):
                effects += self._send_order(
                    runner, model.DesiredState.UNLOADED, now, wall
                )
        return effects

    def _may_unload(self, report: model.LoadReport, now: float) -> bool:
        """Tell whether a runner is idle and every node had time to drop it."""
        adopted_at = self.replica.adopted_at.get(self.object_name, now)
        settled = now - adopted_at >= SETTLE_DELAY_S
        return settled and not report.running and not report.queued

    def _send_order(
        self,
        runner: model.Runner,
        desired: model.DesiredState,
        now: float,
        wall: float,
    ) -> list[PlacementEffect]:
        if not self.lease.may_order(now, runner.checks_fencing):
            return []
        order = model.RunnerOrder(
            self.lease.fencing, desired, wall + state.ORDER_EXPIRY_S
        )
        decision = _effects.Decision(
            now,
            _effects.DecisionKind.PLACEMENT,
            runner.name,
            f'order-{desired}',
            detail=f'{self.service}, fencing {order.fencing}',
        )
        return [decision, model.SendOrder(runner, order)]

    def _plan_placement(
        self, now: float, shortfall: float
    ) -> list[PlacementEffect]:
        standby = self.replica.catalog.standby.get(self.service, frozenset())
        loads: list[policy.RunnerLoad] = []
        for runner in self.live_runners():
            report = self._recent_report(runner.name, now)
            if report is None or report.draining:
                continue
            if runner.name in self.recalling and report.loaded:
                return self._write_standby(standby - {runner.name}, now)
            loads.append(
                policy.RunnerLoad(
                    runner.name,
                    runner.failure_domain,
                    runner.cost_rate,
                    report.running,
                    report.queued,
                    report.slots,
                    runner.name in standby,
                )
            )
        if self.recalling or self.pending_op is not None:
            return []
        decision = policy.plan_placement(loads, shortfall, self.history, now)
        if decision is None:
            return []
        log_entry = _effects.Decision(
            now,
            _effects.DecisionKind.PLACEMENT,
            self.service,
            decision.rule,
            decision.runner,
            f'{decision.step}, use {decision.utilisation:.2f}',
        )
        if decision.step == policy.PlacementStep.RECALL:
            self.recalling.add(decision.runner)
            return [log_entry]
        return [
            log_entry,
            *self._write_standby(standby | {decision.runner}, now),
        ]

    def _write_standby(
        self, standby: frozenset[str], now: float
    ) -> list[PlacementEffect]:
        """Write the standby list, conditional on the version last seen."""
        if self.pending_op is not None:
            return []
        self.operation_count += 1
        self.pending_op = (
            f'{PLACEMENT_OP}{self.service}#{self.operation_count}'
        )
        stored = self.replica.objects.get(self.object_name)
        exists = stored is not None and stored.value is not None
        content = {
            'name': self.service,
            'standby': sorted(standby),
            'fencing': self.lease.fencing,
        }
        self.recalling &= standby
        return [
            model.StoreCall(
                self.pending_op,
                model.StoreVerb.PUT,
                self.object_name,
                json.dumps(content, sort_keys=True),
                stored.version if stored is not None and exists else 0,
            )
        ]

    def on_store_result(self, result: model.StoreResult, now: float) -> None:
        """Handle the result of a lease or placement call.

        The outcome of a placement write is ignored: the watch delivers the
        object as stored, and the next poll starts from there.
        """
        if result.op == self.pending_op:
            self.pending_op = None
        else:
            self.lease.on_store_result(result, now)


def service_of_op(op: str) -> str | None:
    """Return the service of a placement or lease call, None for others."""
    for prefix in (PLACEMENT_OP, state.LEASE_OP):
        if op.startswith(prefix):
            return op.removeprefix(prefix).partition('#')[0]
    return None
