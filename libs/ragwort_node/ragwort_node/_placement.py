"""Keeping runners loaded or parked, under a lease per service.

The record of what is parked is a configuration object, so that every
node stops using a runner before it is unloaded. Orders state what is
wanted, not steps, and are repeated until the runner's report shows it.
"""

import json
import random

import ragwort_model as model
from ragwort_node import _effects
import ragwort_policy as policy
import ragwort_state as state

POLL_S = 2.0
SETTLE_S = 12.0
REPORT_MAX_POLLS = 2.5
MAX_POLLS_PER_S = 10.0
PLACEMENT_OP = 'placement:'

PlacementEffect = (
    model.StoreCall | model.ReadLoad | model.SendOrder | _effects.Decision
)


class PlacementKeeper:
    """Placement of one service, while this node holds its lease."""

    def __init__(
        self,
        service: str,
        host: str,
        replica: state.Replica[state.Catalog],
        rng: random.Random,
    ) -> None:
        """Start without the lease."""
        self.service = service
        self.replica = replica
        self.lease = state.Lease(service, host, rng)
        self.history = policy.PlacementHistory()
        self.reports: dict[str, tuple[model.LoadReport, float]] = {}
        self.recalling: set[str] = set()
        self.next_poll = 0.0
        self.poll_interval_s = POLL_S
        self.open_op: str | None = None
        self.operations = 0

    @property
    def object_name(self) -> str:
        """Return the name of the placement object."""
        return f'{state.CONFIG_PREFIX}placement/{self.service}'

    def runners(self) -> list[model.Runner]:
        """Return the live runners of the service, sorted by name."""
        known = self.replica.catalog.runners_by_service.get(self.service, {})
        return [
            known[name]
            for name in sorted(known)
            if known[name].state == model.HostState.LIVE
        ]

    def tick(
        self, now: float, wall: float, wanted: bool, shortfall: float
    ) -> list[PlacementEffect]:
        """Renew the lease and, while it holds, look after the runners."""
        effects: list[PlacementEffect] = []
        effects += self.lease.tick(now, wanted)
        if not self.lease.may_order(now, checks_fencing=True):
            self.reports.clear()
            self.recalling.clear()
            return effects
        if now < self.next_poll:
            return effects
        self.poll_interval_s = max(
            POLL_S, len(self.runners()) / MAX_POLLS_PER_S
        )
        self.next_poll = now + self.poll_interval_s
        effects += self._repair(now, wall)
        effects += self._plan(now, shortfall)
        effects += [model.ReadLoad(runner) for runner in self.runners()]
        return effects

    def on_load(self, event: model.LoadResult, now: float) -> None:
        """Take a runner's report."""
        if event.report is None:
            self.reports.pop(event.runner, None)
        else:
            self.reports[event.runner] = (event.report, now)

    def _report(self, name: str, now: float) -> model.LoadReport | None:
        found = self.reports.get(name)
        max_age_s = REPORT_MAX_POLLS * self.poll_interval_s
        if found is None or now - found[1] > max_age_s:
            return None
        return found[0]

    def _repair(self, now: float, wall: float) -> list[PlacementEffect]:
        """Order what differs between the wanted and the reported state."""
        effects: list[PlacementEffect] = []
        standby = self.replica.catalog.standby.get(self.service, frozenset())
        for runner in self.runners():
            report = self._report(runner.name, now)
            if report is None:
                continue
            parked = runner.name in standby
            wanted = not parked or runner.name in self.recalling
            if wanted and not report.loaded:
                effects += self._order(
                    runner, model.DesiredState.LOADED, now, wall
                )
            elif not wanted and report.loaded and self._is_idle(report, now):
                effects += self._order(
                    runner, model.DesiredState.UNLOADED, now, wall
                )
        return effects

    def _is_idle(self, report: model.LoadReport, now: float) -> bool:
        """Tell whether all nodes have had time to stop using a runner."""
        adopted_at = self.replica.adopted_at.get(self.object_name, now)
        settled = now - adopted_at >= SETTLE_S
        return settled and not report.running and not report.queued

    def _order(
        self,
        runner: model.Runner,
        wanted: model.DesiredState,
        now: float,
        wall: float,
    ) -> list[PlacementEffect]:
        if not self.lease.may_order(now, runner.checks_fencing):
            return []
        order = model.RunnerOrder(
            self.lease.fencing, wanted, wall + state.ORDER_EXPIRY_S
        )
        decision = _effects.Decision(
            now,
            _effects.DecisionKind.PLACEMENT,
            runner.name,
            f'order-{wanted}',
            detail=f'{self.service}, fencing {order.fencing}',
        )
        return [decision, model.SendOrder(runner, order)]

    def _plan(self, now: float, shortfall: float) -> list[PlacementEffect]:
        standby = self.replica.catalog.standby.get(self.service, frozenset())
        loads: list[policy.RunnerLoad] = []
        for runner in self.runners():
            report = self._report(runner.name, now)
            if report is None or report.draining:
                continue
            if runner.name in self.recalling and report.loaded:
                return self._write(standby - {runner.name}, now)
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
        if self.recalling or self.open_op is not None:
            return []
        decision = policy.plan_placement(loads, shortfall, self.history, now)
        if decision is None:
            return []
        logged = _effects.Decision(
            now,
            _effects.DecisionKind.PLACEMENT,
            self.service,
            decision.rule,
            decision.runner,
            f'{decision.step}, use {decision.utilisation:.2f}',
        )
        if decision.step == policy.PlacementStep.RECALL:
            self.recalling.add(decision.runner)
            return [logged]
        return [logged, *self._write(standby | {decision.runner}, now)]

    def _write(
        self, standby: frozenset[str], now: float
    ) -> list[PlacementEffect]:
        """Record what is parked, on top of the version last seen."""
        if self.open_op is not None:
            return []
        self.operations += 1
        self.open_op = f'{PLACEMENT_OP}{self.service}#{self.operations}'
        known = self.replica.objects.get(self.object_name)
        exists = known is not None and known.value is not None
        content = {
            'name': self.service,
            'standby': sorted(standby),
            'fencing': self.lease.fencing,
        }
        self.recalling &= standby
        return [
            model.StoreCall(
                self.open_op,
                model.StoreVerb.PUT,
                self.object_name,
                json.dumps(content, sort_keys=True),
                known.version if known is not None and exists else 0,
            )
        ]

    def result(self, result: model.StoreResult, now: float) -> None:
        """Take the end of a lease or placement call.

        Whatever a placement write came to, the object is seen again
        through the watch, and the next round goes on from there.
        """
        if result.op == self.open_op:
            self.open_op = None
        else:
            self.lease.on_store_result(result, now)


def service_of(op: str) -> str | None:
    """Return the service that a store call of a keeper is for."""
    for prefix in (PLACEMENT_OP, state.LEASE_OP):
        if op.startswith(prefix):
            return op.removeprefix(prefix).partition('#')[0]
    return None
