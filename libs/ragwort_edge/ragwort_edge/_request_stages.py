"""Execution of the stages of one request."""

import collections
from collections.abc import Callable
import math
from typing import Any

import msgspec
from twisted.internet import defer

from ragwort_edge import _context
from ragwort_edge import _dialect
from ragwort_edge import _stage_service
import ragwort_model as model
import ragwort_relay as relay

# Smallest transfer between failure domains that is worth a wait to avoid.
MIN_LOCALITY_BYTES = 500_000
# Large results are produced as late as possible: the slack that is kept, and
# the shortest and longest delay until the next check.
START_DELAY_MARGIN_S = 0.05
MIN_START_DELAY_S = 0.01
MAX_START_DELAY_S = 0.1
# Attempts at all stages when results are lost with their runners.
MAX_ATTEMPTS = 2
INPUT_GONE = str(_dialect.PieceResult.INPUT_GONE)


class ResultsGoneError(model.RagwortError):
    """Raise when results were lost before the next stage read them."""


class RequestTimes(msgspec.Struct, frozen=True):
    """Arrival, target, deadline and rank of a request.

    Times are in seconds of the host's clock; rank 0 goes first. A caller
    that has got no event by deadline_at leaves.
    """

    started_at: float
    target_at: float
    deadline_at: float
    rank: int


class RequestStages:
    """Runs the stages of one request."""

    def __init__(
        self,
        context: _context.RelayContext,
        metadata: _dialect.RequestMetadata,
        route: relay.Route,
        configuration: relay.RelayConfiguration,
        times: RequestTimes,
        likely_domain: Callable[[], str],
        homes: relay.Homes = relay.ANYWHERE,
    ) -> None:
        """Start with no stage run.

        likely_domain returns the failure domain where the main call will
        likely run.
        """
        self.context = context
        self.metadata = metadata
        self.route = route
        self.configuration = configuration
        self.times = times
        self.likely_domain = likely_domain
        self.homes = homes
        self.run: relay.StageRun | None = None
        self.is_late = False
        self.pending: dict[int, Any] = {}
        self.inputs: tuple[str, ...] = ()

    def new_run(self) -> relay.StageRun:
        """Return a run with no results; raise InvalidInputError."""
        try:
            return relay.StageRun(
                self.metadata.request_id,
                self.route.stages,
                self.metadata.pieces,
                self.metadata.piece_key,
            )
        except ValueError as error:
            raise model.InvalidInputError(str(error)) from None

    def admit(self) -> relay.Admission:
        """Decide whether the request can finish by its deadline."""
        now = self.context.reactor.seconds()
        self.context.stages.refresh_waits(
            {spec.service for spec in self.route.stages}
        )
        run = self.new_run()
        admission = relay.admit(
            self._forecast(run, self._timely_waits_s(run)),
            self._forecast(run, self._late_waits_s()),
            self.times.target_at - now,
            self.times.deadline_at - now,
            self.context.rng,
        )
        self.is_late = admission.verdict == relay.Verdict.ADMIT_LATE
        return admission

    def _forecast(
        self, run: relay.StageRun, waits_s: list[float]
    ) -> relay.Forecast:
        return relay.forecast(
            run, self._typical_s(run), waits_s, self._first_event_s
        )

    @property
    def _first_event_s(self) -> float:
        return relay.first_event_s(self.metadata.prompt)

    def _typical_s(self, run: relay.StageRun) -> list[float]:
        now = self.context.reactor.seconds()
        waits = self.context.stages.waits
        return relay.typical_stage_s(
            run,
            self.configuration.services,
            lambda service: waits.call_s(service, now),
        )

    def _timely_waits_s(self, run: relay.StageRun) -> list[float]:
        """Return the queueing time before each stage of a timely request.

        The less slack a request has, the sooner it is due and the less of
        each queue goes before it.
        """
        now = self.context.reactor.seconds()
        typical_s = self._typical_s(run)
        left_s = self.times.target_at - now - self._first_event_s
        slack_s = left_s - run.critical_path_s(typical_s)
        slack_s += relay.SLACK_PER_RANK_S * self.times.rank
        return [
            self.context.stages.waits.wait_s(
                spec.service, slack_s + work_s, now
            )
            for spec, work_s in zip(self.route.stages, typical_s, strict=True)
        ]

    def _late_waits_s(self) -> list[float]:
        """Return the queueing time before each stage of a late request."""
        now = self.context.reactor.seconds()
        waits = self.context.stages.waits
        return [
            waits.late_wait_s(spec.service, now) for spec in self.route.stages
        ]

    async def execute(self) -> None:
        """Run all stages; raise RefusedError if that fails."""
        for _ in range(MAX_ATTEMPTS):
            self.release_all()
            try:
                await self._execute_once(self.new_run())
            except ResultsGoneError:
                continue
            if not self.has_outlived_inputs:
                return
        raise self.context.refusal('results vanished with their runners')

    @property
    def has_outlived_inputs(self) -> bool:
        """Tell whether a maker of the main call's inputs has started again.

        It may give the handles of before to results of other requests.
        """
        run, owner = self.run, self.context.stages.local_owner
        return run is not None and any(
            owner.has_outlived(handle, started_ms)
            for handle, started_ms in zip(
                self.inputs, run.starts_of(self.inputs), strict=True
            )
        )

    @property
    def may_be_replaced(self) -> bool:
        """Tell whether other results may bear the handles of the inputs."""
        run, owner = self.run, self.context.stages.local_owner
        return run is not None and any(
            owner.has_successor(handle, started_ms)
            for handle, started_ms in zip(
                self.inputs, run.starts_of(self.inputs), strict=True
            )
        )

    async def _execute_once(self, run: relay.StageRun) -> None:
        self.run = run
        if not run.is_done:
            done: defer.Deferred[None] = defer.Deferred()
            self._start_ready(run, done)
            await done
        self.inputs = tuple(run.main_call_inputs())

    def _start_ready(
        self, run: relay.StageRun, done: 'defer.Deferred[None]'
    ) -> None:
        if run is not self.run or done.called:
            return
        for stage in run.ready():
            delay_s = self._start_delay_s(run, stage)
            if delay_s > 0:
                self.context.reactor.callLater(
                    min(delay_s, MAX_START_DELAY_S),
                    self._start_ready,
                    run,
                    done,
                )
                continue
            run.start(stage, self.context.reactor.seconds())
            group = self._piece_group(run, stage)
            submitted = self.context.stages.submit(
                self.route.stages[stage].service, group
            )
            self.pending[stage] = submitted
            submitted.addCallback(self._on_stage_outcomes, run, stage, done)
            submitted.addErrback(self._on_stage_error, done)

    def _start_delay_s(self, run: relay.StageRun, stage: int) -> float:
        """Return how long to delay a stage with large results.

        They take storage at their runner until the main call reads them,
        which it can only do once all stages are complete.
        """
        spec = self.route.stages[stage]
        if spec.result_bytes * run.pieces[stage] < MIN_LOCALITY_BYTES:
            return 0.0
        now = self.context.reactor.seconds()
        is_late = self.is_late or now > self.times.target_at
        waits_s = (
            self._late_waits_s() if is_late else self._timely_waits_s(run)
        )
        expected_s = _add_pairwise(self._typical_s(run), waits_s)
        slack_s = run.slack_s(stage, expected_s, now) - START_DELAY_MARGIN_S
        return slack_s if slack_s >= MIN_START_DELAY_S else 0.0

    def _on_stage_error(
        self, failure: Any, done: 'defer.Deferred[None]'
    ) -> None:
        if not failure.check(defer.CancelledError) and not done.called:
            done.errback(failure)

    def _stage_times(
        self, run: relay.StageRun, stage: int
    ) -> tuple[float, float]:
        """Return when a stage has to end for the target and the deadline."""
        typical_s = self._typical_s(run)
        with_waits_s = _add_pairwise(typical_s, self._timely_waits_s(run))
        first_s = self._first_event_s
        target_s = relay.time_after_stage_s(run, stage, with_waits_s) + first_s
        deadline_s = relay.time_after_stage_s(run, stage, typical_s) + first_s
        return (
            self.times.target_at - target_s,
            self.times.deadline_at - deadline_s,
        )

    def _piece_group(
        self, run: relay.StageRun, stage: int
    ) -> relay.PieceGroup:
        target_at, deadline_at = self._stage_times(run, stage)
        return relay.PieceGroup(
            '',
            run.work(stage),
            target_at,
            deadline_at,
            self.times.rank,
            self.route.stages[stage].result_bytes,
            self._preferred_domain(run, stage),
            next_services=tuple(
                spec.service
                for spec in self.route.stages
                if stage in spec.after
            ),
            domains=self.homes.domains(),
            inputs_expire_at=run.inputs_expire_at(stage),
        )

    def _preferred_domain(self, run: relay.StageRun, stage: int) -> str:
        """Return the failure domain of a stage's inputs or readers.

        Return '' if too few bytes would cross domains to be worth a wait.
        """
        spec = self.route.stages[stage]
        sizes: collections.Counter[str] = collections.Counter()
        for input_stage in spec.after:
            size = self.route.stages[input_stage].result_bytes
            for handle in run.results(input_stage):
                domain = self.context.failure_domain_of(handle)
                sizes[domain] += int(size * run.pieces[stage])
        if stage not in run.stages_with_dependents:
            amount = int(spec.result_bytes * run.pieces[stage])
            sizes[self.likely_domain()] += amount
        largest = sizes.most_common(1)
        if not largest or largest[0][1] < MIN_LOCALITY_BYTES:
            return ''
        return largest[0][0]

    def _on_stage_outcomes(
        self,
        outcomes: _stage_service.Outcomes,
        run: relay.StageRun,
        stage: int,
        done: 'defer.Deferred[None]',
    ) -> None:
        self.pending.pop(stage, None)
        failure_reasons = [
            o.reason for o in outcomes.values() if o.handle is None
        ]
        expires_at = self._results_expire_at(stage)
        for outcome in outcomes.values():
            if outcome.handle is not None:
                run.add_result(
                    stage,
                    outcome.piece,
                    outcome.handle,
                    outcome.started_ms,
                    expires_at,
                )
        if done.called:
            return
        if failure_reasons:
            done.errback(self._stage_error(stage, failure_reasons))
            return
        for input_stage in self.route.stages[stage].after:
            if run.is_consumed(input_stage):
                self._release(run, input_stage)
        if run.is_done:
            done.callback(None)
        else:
            self._start_ready(run, done)

    def _results_expire_at(self, stage: int) -> float:
        """Return when results of a stage that came now are gone."""
        service = self.route.stages[stage].service
        spec = self.configuration.services.get(service)
        if spec is None or spec.batch_limits is None:
            return math.inf
        ttl_s = spec.batch_limits.result_ttl_s
        return float(self.context.reactor.seconds() + ttl_s)

    def _stage_error(
        self, stage: int, reasons: list[str | None]
    ) -> model.RagwortError:
        if INPUT_GONE in reasons:
            return ResultsGoneError(f'stage {stage}')
        wait_s = self.context.stages.waits.late_wait_s(
            self.route.stages[stage].service, self.context.reactor.seconds()
        )
        return self.context.refusal(f'stage {stage}: {reasons[0]}', wait_s)

    def input_bytes(self) -> dict[str, float]:
        """Return the bytes that the main call reads, by failure domain."""
        amounts: dict[str, float] = {}
        run = self.run
        if run is None:
            return amounts
        for stage in range(len(run)):
            if stage in run.stages_with_dependents:
                continue
            size = self.route.stages[stage].result_bytes
            for handle in run.results(stage):
                domain = self.context.failure_domain_of(handle)
                amounts[domain] = amounts.get(domain, 0.0) + size
        return amounts

    def _release(self, run: relay.StageRun, stage: int) -> None:
        service, handles = self.route.stages[stage].service, run.results(stage)
        self.context.stages.release(service, handles, run.starts_of(handles))

    def release_all(self) -> None:
        """Cancel pending groups and free all results still held."""
        for pending in list(self.pending.values()):
            pending.cancel()
        self.pending.clear()
        run, self.run = self.run, None
        if run is None:
            return
        for stage in range(len(run)):
            if not run.is_consumed(stage):
                self._release(run, stage)


def _add_pairwise(first: list[float], second: list[float]) -> list[float]:
    return [a + b for a, b in zip(first, second, strict=True)]
