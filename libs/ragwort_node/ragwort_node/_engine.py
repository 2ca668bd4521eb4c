"""Life cycle of requests: stages, attempts, retries, hedges, outcomes."""

import random

import ragwort_model as model
from ragwort_node import _accounting
from ragwort_node import _dispatcher
from ragwort_node import _effects
from ragwort_node import _execution
from ragwort_node import _subscribers
from ragwort_node import _timers
import ragwort_policy as policy

MAX_ATTEMPTS_PER_STAGE = 4
# Time without a sign after which an attempt is replaced, if another one can be
# made; a sound runner may be silent for a second. Else the time to look again.
PROGRESS_TIMEOUT_S = 1.5
PROGRESS_LOOK_S = 0.25
RESUME_RETENTION_S = 30.0
CALL_PRIORITY = 5
HEDGE_PRIORITY = 2
TOO_LATE_RETRY_AFTER_S = 1.0
BUDGET_EXEMPT_FAILURES = frozenset(
    {model.CallFailure.REFUSED, model.CallFailure.UNREACHABLE}
)


class Engine:
    """Run executions stage by stage."""

    def __init__(
        self,
        dispatcher: _dispatcher.Dispatcher,
        rng: random.Random,
        effects: list[_effects.Effect],
    ) -> None:
        """Start without requests; append to effects."""
        self.dispatcher = dispatcher
        self.rng = rng
        self.effects = effects
        self.timers = _timers.Timers()
        self.executions: dict[str, _execution.Execution] = {}
        self.active: dict[str, _execution.Execution] = {}
        self.accounting = _accounting.Accounting(dispatcher, effects)
        self.subscribers = _subscribers.Subscribers(effects)

    def add(self, execution: _execution.Execution) -> None:
        """Add an execution and the timer of its deadline."""
        self.executions[execution.key] = execution
        self.active[execution.key] = execution
        self.timers.add(
            execution.deadline_at,
            _timers.TimerKind.DEADLINE,
            execution.key,
        )

    def shorten(self, until: float) -> None:
        """End all active executions by a time at the latest."""
        for execution in self.active.values():
            if execution.deadline_at > until:
                execution.deadline_at = until
                self.timers.add(
                    until, _timers.TimerKind.DEADLINE, execution.key
                )

    def start_stage(self, execution: _execution.Execution, now: float) -> None:
        """Queue the current stage."""
        execution.phase = _execution.Phase.QUEUED
        execution.stage_started_at = now
        execution.stage_attempt_count = 0
        execution.failed_runners.clear()
        execution.streaming_attempt = ''
        execution.reconnect_runner = ''
        self._enqueue(execution, now)

    def _enqueue(self, execution: _execution.Execution, now: float) -> None:
        self.dispatcher.enqueue(execution, now)
        self.dispatch_queued(execution.service.name, now)

    def dispatch_queued(self, service: str, now: float) -> None:
        """Dispatch queued calls of a service while runners have room."""
        while self.dispatcher.queue(service).size:
            if not self._has_free_runner(service, now):
                return
            call = self.dispatcher.pop(service, now)
            if call is None:
                return
            execution = self.active.get(call.ident)
            if execution is None or execution.service.name != service:
                continue
            if policy.is_too_late(call, now):
                self._end_too_late(execution, now)
                continue
            choice = self.dispatcher.choose(execution, now)
            if choice is None:
                self.dispatcher.enqueue(execution, now)
                return
            self._dispatch(execution, choice, now)

    def _end_too_late(
        self, execution: _execution.Execution, now: float
    ) -> None:
        """End a queued request that can no longer meet its deadline."""
        outcome = execution.failure_outcome()
        reason = f'too late to start stage {execution.service.name}'
        self.finish(execution, outcome, reason, now, TOO_LATE_RETRY_AFTER_S)

    def _has_free_runner(self, service: str, now: float) -> bool:
        return any(
            policy.may_probe(state, now)
            or (state.has_capacity(now) and not policy.is_ejected(state, now))
            for state in self.dispatcher.runners_in_service(service, now)
        )

    def _dispatch(
        self,
        execution: _execution.Execution,
        choice: _dispatcher.RunnerChoice,
        now: float,
        is_hedge: bool = False,
    ) -> None:
        state = choice.state
        service = execution.service
        fresh = not service.idempotent or (
            execution.reconnect_runner == state.runner.name
        )
        execution.reconnect_runner = ''
        execution.phase = _execution.Phase.RUNNING
        execution.dispatched = True
        execution.in_doubt = execution.in_doubt or not service.idempotent
        attempt = self._new_attempt(execution, choice, fresh, is_hedge, now)
        state.on_dispatch()
        state.probing = state.probing or choice.is_probe
        if not execution.stage_attempt_count:
            self.dispatcher.retry_budget(service.name).on_call()
            self.dispatcher.hedge_budget(service.name).on_call()
        execution.stage_attempt_count += 1
        self._log_decision(execution, choice.decision)
        self.effects.append(_effects.Count(f'dispatch.{service.name}'))
        call = self._stage_call(execution, attempt, now)
        self.effects.append(model.CallRunner(state.runner, call, fresh))
        if service.idempotent:
            due = now + PROGRESS_TIMEOUT_S
            self._add_timer(due, _timers.TimerKind.PROGRESS, attempt)
            self._plan_hedge(execution, attempt, now)

    def _new_attempt(
        self,
        execution: _execution.Execution,
        choice: _dispatcher.RunnerChoice,
        fresh: bool,
        is_hedge: bool,
        now: float,
    ) -> _execution.Attempt:
        execution.total_attempt_count += 1
        ident = model.AttemptId(
            execution.key,
            execution.stage_index,
            execution.total_attempt_count,
            model.new_nonce(self.rng),
        )
        attempt = _execution.Attempt(
            ident,
            choice.state,
            now,
            now,
            fresh,
            is_hedge,
            choice.is_probe,
            len(execution.delivered_chunks),
            choice.state.runner.software_version,
        )
        execution.open_attempts[str(ident)] = attempt
        return attempt

    def _add_timer(
        self,
        due: float,
        kind: _timers.TimerKind,
        attempt: _execution.Attempt,
    ) -> None:
        key = attempt.ident.request_key
        self.timers.add(due, kind, key, str(attempt.ident))

    def _stage_call(
        self,
        execution: _execution.Execution,
        attempt: _execution.Attempt,
        now: float,
    ) -> model.StageCall:
        remaining_s = execution.deadline_at - now
        return model.StageCall(
            attempt.ident,
            execution.service.name,
            execution.stage_input,
            remaining_s,
            HEDGE_PRIORITY if attempt.is_hedge else CALL_PRIORITY,
            attempt.resume_from,
            ''.join(execution.delivered_chunks),
        )

    def _plan_hedge(
        self,
        execution: _execution.Execution,
        attempt: _execution.Attempt,
        now: float,
    ) -> None:
        """Set a hedge timer if the class of work is below its target."""
        class_of_work = execution.class_of_work
        attainment = self.dispatcher.attainment
        if attempt.is_hedge or execution.delivered_chunks:
            return
        if not attainment.shortfall(
            class_of_work.target, class_of_work.name, now
        ):
            return
        histogram = self.dispatcher.latencies.find(
            execution.service.name, class_of_work.name, now
        )
        if histogram is None:
            return
        due = now + histogram.quantile(policy.HEDGE_QUANTILE)
        if due < execution.deadline_at:
            self._add_timer(due, _timers.TimerKind.HEDGE, attempt)

    def _log_decision(
        self, execution: _execution.Execution, decision: _effects.Decision
    ) -> None:
        execution.record_decision(decision)
        self.effects.append(decision)

    def _log_new_decision(
        self,
        execution: _execution.Execution,
        kind: _effects.DecisionKind,
        rule: str,
        now: float,
        chosen: str = '',
        detail: str = '',
    ) -> None:
        decision = _effects.Decision(
            now, kind, execution.key, rule, chosen, detail
        )
        self._log_decision(execution, decision)

    def _find_attempt(
        self, ident: model.AttemptId
    ) -> tuple[_execution.Execution, _execution.Attempt] | None:
        execution = self.active.get(ident.request_key)
        if execution is None:
            return None
        attempt = execution.open_attempts.get(str(ident))
        return None if attempt is None else (execution, attempt)

    def _match_attempt(
        self, event: model.StageChunk | model.StageEnd
    ) -> tuple[_execution.Execution, _execution.Attempt] | None:
        """Return the open attempt of a record; count records without one."""
        if event.echoed_attempt != str(event.attempt):
            self.effects.append(_effects.Count('reply.crossed'))
            return None
        found = self._find_attempt(event.attempt)
        if found is None:
            self.effects.append(_effects.Count('reply.late'))
        return found

    def on_chunk(self, event: model.StageChunk, now: float) -> None:
        """Accept a chunk if it is the next one of an open attempt."""
        found = self._match_attempt(event)
        if found is None:
            return
        execution, attempt = found
        match attempt.accept_chunk(event.seq, event.data):
            case _execution.ChunkVerdict.REPEATED:
                self.effects.append(_effects.Count('reply.repeated'))
            case _execution.ChunkVerdict.GAP:
                self.effects.append(_effects.Count('reply.gap'))
                self._abort_attempt(
                    execution, attempt, 'gap in the chunks', now
                )
            case _execution.ChunkVerdict.ACCEPTED:
                attempt.last_progress_at = now
                if execution.streams_chunks:
                    self._stream_chunk(execution, attempt, event, now)

    def _stream_chunk(
        self,
        execution: _execution.Execution,
        attempt: _execution.Attempt,
        event: model.StageChunk,
        now: float,
    ) -> None:
        """Send a chunk to the callers; the first attempt to have one wins."""
        ident = str(attempt.ident)
        if not execution.streaming_attempt:
            execution.streaming_attempt = ident
            self._cancel_other_attempts(execution, attempt, now)
        if execution.streaming_attempt == ident:
            execution.stream_version = attempt.software_version
            execution.delivered_chunks.append(event.data)
            self.subscribers.notify(
                execution, model.Chunk(event.seq, event.data), now
            )

    def on_heartbeat(self, event: model.StageHeartbeat, now: float) -> None:
        """Note that a runner still works on an attempt."""
        if event.echoed_attempt != str(event.attempt):
            self.effects.append(_effects.Count('reply.crossed'))
            return
        found = self._find_attempt(event.attempt)
        if found is not None:
            found[1].last_progress_at = now

    def on_end(self, event: model.StageEnd, now: float) -> None:
        """Accept a stage result if it is complete."""
        found = self._match_attempt(event)
        if found is None:
            return
        execution, attempt = found
        if not execution.is_result_complete(attempt, event):
            self.effects.append(_effects.Count('reply.truncated'))
            self._abort_attempt(execution, attempt, 'result not whole', now)
            return
        del execution.open_attempts[str(attempt.ident)]
        self.accounting.on_result(execution, attempt, event, now)
        self._cancel_other_attempts(execution, attempt, now)
        self._finish_stage(execution, attempt, now)
        self.dispatch_queued(attempt.state.runner.service, now)

    def _cancel_other_attempts(
        self,
        execution: _execution.Execution,
        keep: _execution.Attempt,
        now: float,
    ) -> None:
        for attempt in list(execution.open_attempts.values()):
            if attempt is not keep:
                self._cancel_attempt(execution, attempt, now)

    def _cancel_attempt(
        self,
        execution: _execution.Execution,
        attempt: _execution.Attempt,
        now: float,
    ) -> None:
        """Cancel an attempt without counting a failure; record its cost."""
        del execution.open_attempts[str(attempt.ident)]
        state = attempt.state
        state.on_cancel()
        if attempt.is_probe:
            self.accounting.on_probe_end(attempt, False, 0.0, now)
        self.accounting.on_wasted_attempt(execution, attempt, now)
        self.effects.append(model.CancelCall(attempt.ident))
        self.dispatch_queued(state.runner.service, now)

    def _finish_stage(
        self,
        execution: _execution.Execution,
        attempt: _execution.Attempt,
        now: float,
    ) -> None:
        if not execution.service.idempotent:
            execution.in_doubt = False
            execution.side_effect_done = True
        if execution.is_last_stage:
            if not execution.streams_chunks:
                self._deliver_result(execution, attempt.chunks, now)
            self.finish(execution, model.Outcome.COMPLETED, '', now)
            return
        execution.stage_input = ''.join(attempt.chunks)
        execution.stage_index += 1
        self.start_stage(execution, now)

    def _deliver_result(
        self,
        execution: _execution.Execution,
        chunks: list[str],
        now: float,
    ) -> None:
        for seq, data in enumerate(chunks):
            execution.delivered_chunks.append(data)
            self.subscribers.notify(execution, model.Chunk(seq, data), now)

    def _abort_attempt(
        self,
        execution: _execution.Execution,
        attempt: _execution.Attempt,
        detail: str,
        now: float,
    ) -> None:
        """Cancel an attempt whose reply is invalid and count it as failed."""
        self.effects.append(model.CancelCall(attempt.ident))
        failure = model.CallFailure.PROTOCOL
        self._fail_attempt(execution, attempt, failure, detail, now)

    def on_failed(self, event: model.StageFailed, now: float) -> None:
        """Handle the failure of an attempt."""
        found = self._find_attempt(event.attempt)
        if found is None:
            self.effects.append(_effects.Count('reply.late'))
            return
        execution, attempt = found
        if event.report is not None:
            attempt.state.on_report(event.report, now)
        self._fail_attempt(
            execution, attempt, event.failure, event.detail, now
        )

    def _fail_attempt(
        self,
        execution: _execution.Execution,
        attempt: _execution.Attempt,
        failure: model.CallFailure,
        detail: str,
        now: float,
    ) -> None:
        del execution.open_attempts[str(attempt.ident)]
        if execution.streaming_attempt == str(attempt.ident):
            execution.streaming_attempt = ''
        state = attempt.state
        service = execution.service
        self.effects.append(
            _effects.Count(f'failure.{service.name}.{failure}')
        )
        if self._suspects_connection(attempt, failure):
            state.on_cancel()
            execution.reconnect_runner = state.runner.name
        else:
            state.on_failure(failure, now)
            execution.failed_runners.add(state.runner.name)
            self.accounting.eject_if_outlier(state, now)
        if attempt.is_probe:
            self.accounting.on_probe_end(attempt, False, 0.0, now)
        if failure not in model.NOT_RUN_FAILURES:
            self.accounting.on_wasted_attempt(execution, attempt, now)
        elif not service.idempotent:
            execution.in_doubt = False
        if not execution.open_attempts:
            self._retry_or_end(execution, failure, detail, now)
        self.dispatch_queued(service.name, now)

    def _suspects_connection(
        self, attempt: _execution.Attempt, failure: model.CallFailure
    ) -> bool:
        """Tell whether a retry over a fresh connection should come first."""
        suspect = failure in (
            model.CallFailure.LOST,
            model.CallFailure.SILENT,
        )
        return suspect and not attempt.fresh_connection

    def _retry_or_end(
        self,
        execution: _execution.Execution,
        failure: model.CallFailure,
        detail: str,
        now: float,
    ) -> None:
        obstacle = self._retry_obstacle(execution, failure, now)
        name = execution.service.name
        reason = f'{name}: {failure}'
        if detail:
            reason += f' ({detail})'
        if obstacle:
            outcome = execution.failure_outcome()
            self.finish(execution, outcome, f'{reason}; {obstacle}', now)
            return
        self._log_new_decision(
            execution,
            _effects.DecisionKind.RETRY,
            'retry',
            now,
            execution.reconnect_runner,
            reason,
        )
        self.effects.append(_effects.Count(f'retry.{name}'))
        execution.phase = _execution.Phase.QUEUED
        self._enqueue(execution, now)

    def _retry_obstacle(
        self,
        execution: _execution.Execution,
        failure: model.CallFailure,
        now: float,
    ) -> str:
        """Return why a stage may not be retried, empty if it may."""
        service = execution.service
        limit = self._retry_limit(execution, now)
        if limit:
            return limit
        # These failures put no load on a runner, so a retry does not
        # amplify load either.
        if failure in BUDGET_EXEMPT_FAILURES:
            return ''
        if not self.dispatcher.retry_budget(service.name).take():
            return 'the retry budget is used up'
        return ''

    def _retry_limit(self, execution: _execution.Execution, now: float) -> str:
        """Return why no budget allows a retry, empty if one may."""
        if execution.in_doubt:
            return 'it may have run and may not be repeated'
        if execution.stage_attempt_count >= MAX_ATTEMPTS_PER_STAGE:
            return f'{execution.stage_attempt_count} tries'
        estimate = self.dispatcher.estimate(execution, now)
        if (
            estimate.has_enough_samples
            and estimate.probability < policy.MIN_PROBABILITY
        ):
            return 'too little time is left'
        return ''

    def on_timer(
        self, kind: _timers.TimerKind, key: str, ident: str, now: float
    ) -> None:
        """Handle a due timer; ident is empty or names an attempt."""
        if kind == _timers.TimerKind.RETENTION:
            self.executions.pop(key, None)
            return
        execution = self.active.get(key)
        if execution is None:
            return
        if kind == _timers.TimerKind.DEADLINE:
            outcome = execution.failure_outcome()
            stage = execution.service.name
            reason = f'deadline passed at stage {stage}'
            if execution.is_cut_short:
                reason = f'the node left at stage {stage}'
            self.finish(execution, outcome, reason, now)
            return
        attempt = execution.open_attempts.get(ident)
        if attempt is None:
            return
        if kind == _timers.TimerKind.PROGRESS:
            self._check_progress(execution, attempt, now)
        else:
            self._hedge(execution, attempt, now)

    def _check_progress(
        self,
        execution: _execution.Execution,
        attempt: _execution.Attempt,
        now: float,
    ) -> None:
        due = attempt.last_progress_at + PROGRESS_TIMEOUT_S
        if now < due:
            self._add_timer(due, _timers.TimerKind.PROGRESS, attempt)
            return
        failure = model.CallFailure.SILENT
        if not self._may_replace(execution, attempt, failure, now):
            due = now + PROGRESS_LOOK_S
            self._add_timer(due, _timers.TimerKind.PROGRESS, attempt)
            return
        self.effects.append(model.CancelCall(attempt.ident))
        detail = f'no sign for {PROGRESS_TIMEOUT_S:.1f} s'
        self._fail_attempt(execution, attempt, failure, detail, now)

    def _may_replace(
        self,
        execution: _execution.Execution,
        attempt: _execution.Attempt,
        failure: model.CallFailure,
        now: float,
    ) -> bool:
        """Tell whether another attempt can be made at once.

        Silence is no reason to give up an attempt for none.
        """
        if len(execution.open_attempts) > 1:
            return False
        if self._retry_limit(execution, now):
            return False
        if not self.dispatcher.retry_budget(execution.service.name).has_token:
            return False
        if self._suspects_connection(attempt, failure):
            return True
        exclude = frozenset({attempt.state.runner.name})
        return self.dispatcher.choose(execution, now, exclude) is not None

    def _hedge(
        self,
        execution: _execution.Execution,
        attempt: _execution.Attempt,
        now: float,
    ) -> None:
        service = execution.service
        if attempt.chunks or len(execution.open_attempts) > 1:
            return
        exclude = frozenset({attempt.state.runner.name})
        choice = self.dispatcher.choose(execution, now, exclude)
        if choice is None or choice.is_probe:
            return
        if not self.dispatcher.hedge_budget(service.name).take():
            return
        chosen = choice.state.runner.name
        kind = _effects.DecisionKind.HEDGE
        self._log_new_decision(execution, kind, 'slow-attempt', now, chosen)
        self._dispatch(execution, choice, now, is_hedge=True)

    def finish(
        self,
        execution: _execution.Execution,
        outcome: model.Outcome,
        reason: str,
        now: float,
        retry_after_s: float | None = None,
    ) -> None:
        """End a request, cancel its attempts and notify its callers."""
        self.active.pop(execution.key, None)
        for attempt in list(execution.open_attempts.values()):
            self._cancel_attempt(execution, attempt, now)
        if execution.phase == _execution.Phase.QUEUED:
            workspace = execution.request.workspace
            queue = self.dispatcher.queue(execution.service.name)
            queue.remove(execution.key, workspace)
        execution.phase = _execution.Phase.ENDED
        kind = _effects.DecisionKind.OUTCOME
        self._log_new_decision(execution, kind, outcome, now, detail=reason)
        execution.end = model.End(
            execution.key,
            outcome,
            len(execution.delivered_chunks),
            model.content_digest(execution.delivered_chunks),
            reason,
            retry_after_s,
        )
        self.subscribers.notify(execution, execution.end, now)
        self.accounting.on_outcome(execution, outcome, now)
        retained_until = now + RESUME_RETENTION_S
        self.timers.add(
            retained_until, _timers.TimerKind.RETENTION, execution.key
        )
