"""Handling of one request: stages, sends to runners and the response."""

from collections.abc import Callable
from collections.abc import Collection
from typing import Any

from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure

from ragwort_edge import _client
from ragwort_edge import _context
from ragwort_edge import _dialect
from ragwort_edge import _hand_over
from ragwort_edge import _heads
from ragwort_edge import _last_resort
from ragwort_edge import _messages
from ragwort_edge import _placement
from ragwort_edge import _request_hops
from ragwort_edge import _request_stages
from ragwort_edge import _runner_replies
from ragwort_edge import _send_loop
from ragwort_edge import _sends
from ragwort_edge import _server
from ragwort_edge import _stream
import ragwort_model as model
import ragwort_relay as relay

# Time reserved before a deadline or timeout for sending the response.
RESPONSE_MARGIN_S = 0.02
# Time after which another runner is asked beside a silent one, for a call that
# may be repeated: a share of the time left, with a minimum.
SEND_TIMEOUT_SHARE = 0.45
MIN_SEND_TIMEOUT_S = 0.7
# Longest wait for a place at a brittle runner, as a share of the target, and
# the interval of looking for one.
PLACE_WAIT_SHARE = 0.125
PLACE_CHECK_S = 0.01
# Longest wait for a turn at a cold runner, as a share of the target: a holder
# has one each 0.15 s at 17 requests a second, and each 0.33 s at 7.4.
COLD_WAIT_SHARE = 1.0
# Time in which a cancelled request has to end.
CANCEL_S = 1.0
MAX_LOGGED_PARTS = 8
# Name of a request's last steps in the log and the metrics.
REQUEST_END = 'request-end'
HTTP_REDIRECT = 300
HTTP_BAD_REQUEST = 400
HTTP_UNAVAILABLE = 503
HTTP_BAD_GATEWAY = 502
HTTP_GATEWAY_TIMEOUT = 504
# These promise callers that a request has not run and never will. A runner's
# own answer, without word that it has not run, can't make that promise.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class RequestHandler:
    """Handles one request from admission to the end of its response."""

    def __init__(
        self,
        context: _context.RelayContext,
        exchange: _server.Exchange,
        metadata: _dialect.RequestMetadata,
        route: relay.Route,
        workspace: relay.Workspace | None,
        configuration: relay.RelayConfiguration,
        on_end: Callable[['RequestHandler'], None],
        hop: _hand_over.Hop | None = None,
    ) -> None:
        """Prepare to handle a request; start() begins.

        hop is set if another host handed the request over.
        """
        self.context = context
        self.exchange = exchange
        self.metadata = metadata
        self.route = route
        self.workspace = workspace
        self.configuration = configuration
        self.on_end = on_end
        self.hop = hop
        self.started_at = context.reactor.seconds()
        limit_s = route.timeout_s
        if metadata.deadline_s is not None:
            limit_s = min(limit_s, metadata.deadline_s)
        # When the request's own time is over, however long the host stays.
        self.limit_at = self.started_at + limit_s - RESPONSE_MARGIN_S
        self.deadline_at = self.limit_at
        if context.drain is not None:
            self.deadline_at = min(self.limit_at, context.drain.answers_due_at)
        self.attempts = relay.Attempts(route)
        self.running: Any = None
        self.timer: Any = None
        self.is_timed_out = False
        self.is_finished = False
        # Set before the first send to a runner or to another host. After an
        # unexpected error the attempts may lack a send.
        self.has_sent = False
        self.log_fields: dict[str, Any] = {}
        self.service = route.service_for(metadata.request_id)
        self.suspects = relay.suspects_of(
            metadata.prompt,
            workspace.name if workspace else metadata.access_key or '',
            exchange.request.method,
            exchange.request.target,
            exchange.request.body,
        )
        self.stream_key = relay.StreamKey(
            workspace.name if workspace else '', metadata.request_id
        )
        # Set once the caller holds an event, here or from an attempt before.
        self.origin: relay.StreamOrigin | None = None
        self.is_origin_recorded = False
        self.homes = relay.homes_of(
            route, workspace, context.catalog.region_of
        )
        self.stages = _request_stages.RequestStages(
            context,
            metadata,
            route,
            configuration,
            _request_stages.RequestTimes(
                self.started_at,
                self.started_at + route.target_s,
                min(self.deadline_at, self.started_at + route.patience_s),
                self.rank,
            ),
            self._likely_domain,
            self.homes,
        )
        # Cleared if it is unknown which events the caller of a stream holds.
        self.may_resume = True
        # What the caller of a stream holds.
        self.progress = relay.StreamProgress(metadata.last_event)
        self.hops = _request_hops.RequestHops(self)
        self.send_loop: _send_loop.SendLoop | None = None
        self.placement = _placement.Placement(
            context, metadata, route, self.log_fields
        )

    @property
    def rank(self) -> int:
        """Return the rank of the request; 0 goes first."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    def left_s(self) -> float:
        """Return the time until the response is due, in seconds."""
        return float(self.deadline_at - self.context.reactor.seconds())

    def fits(self, span: relay.Span) -> bool:
        """Tell whether what begins now ends before the host does."""
        context, drain = self.context, self.context.drain
        if drain is None:
            return True
        return drain.fits(
            self.limit_at,
            context.answer_times.expected_s(self.route.name, span),
            context.reactor.seconds(),
            drain.may_estimate(self.started_at, self._may_fail_and_repeat),
        )

    @property
    def _may_fail_and_repeat(self) -> bool:
        """Tell whether the caller gets a whole failure and may try again."""
        is_stream = self.route.kind == relay.CallKind.STREAM
        return self.route.may_repeat and not is_stream

    def _refuse_unfinishable(self, span: relay.Span) -> None:
        """Refuse the request if it would be cut as the host ends."""
        if not self.fits(span):
            raise self.context.leaving_refusal()

    def send_timeout_s(self) -> float:
        """Return how long an answer takes before others may be asked."""
        return max(MIN_SEND_TIMEOUT_S, self.left_s() * SEND_TIMEOUT_SHARE)

    def start(self) -> None:
        """Start handling the request.

        If this raises, nothing has been sent and the handler is over.
        """
        try:
            self._prepare()
        except Exception:
            self._finish(None)
            raise
        self.exchange.on_disconnect = self._on_disconnect
        self.running = defer.Deferred.fromCoroutine(self._run())
        self.running.addErrback(self._on_failure)
        self.running.addBoth(self._finish)

    def _prepare(self) -> None:
        self.timer = self.context.reactor.callLater(
            max(self.left_s(), 0.0), self._on_timeout
        )
        self.context.catalog.prompt_sharing.record(
            self.route.name, self.metadata.prompt
        )

    def on_makers_ended(self) -> None:
        """Make inputs again that are gone with their makers."""
        if self.send_loop is not None:
            self.send_loop.on_makers_ended()

    def on_leaving(self, drain: relay.Drain) -> None:
        """Answer before the host ends."""
        if self.is_timed_out or drain.answers_due_at >= self.deadline_at:
            return
        self.deadline_at = drain.answers_due_at
        self.timer.cancel()
        self.timer = self.context.reactor.callLater(
            max(self.left_s(), 0.0), self._on_timeout
        )

    def _on_disconnect(self) -> None:
        self.log_fields['gone'] = True
        self._cancel()

    def _on_timeout(self) -> None:
        self.is_timed_out = True
        self.timer = self.context.reactor.callLater(CANCEL_S, self.end_overdue)
        self._cancel()

    def _cancel(self) -> None:
        self.context.last_resort.run(REQUEST_END, self.running.cancel)

    def end_overdue(self) -> None:
        """End a request that goes on though it was cancelled."""
        self.context.last_resort.report(REQUEST_END, 'cancelled in vain')
        self._finish(None)

    def _finish(self, result: Any) -> None:
        """End the request for good, whatever has raised."""
        if self.is_finished:
            return
        self.is_finished = True
        last_resort = self.context.last_resort
        if isinstance(result, failure.Failure):
            last_resort.report(REQUEST_END, result.getTraceback())
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        last_resort.end(self.exchange, self._last_response)
        last_resort.run(REQUEST_END, self.stages.release_all)
        self.on_end(self)

    def _last_response(self) -> _messages.HttpResponse:
        """Return the answer to a request that has none at its end."""
        last_resort = self.context.last_resort
        if self.has_sent:
            return last_resort.error_response(HTTP_BAD_GATEWAY)
        if self.hop is not None:
            return _hand_over.decline(_last_resort.INTERNAL_ERROR)
        return last_resort.refusal()

    def _on_failure(self, reason: failure.Failure) -> None:
        error = reason.value
        if isinstance(error, _context.RefusedError):
            self._refuse(str(error), error.retry_after_s)
        elif reason.check(defer.CancelledError, _client.CallError):
            self._on_cancelled()
        elif reason.check(model.InvalidInputError):
            self.fail(HTTP_BAD_REQUEST, str(error))
        else:
            detail = reason.getTraceback()[-1500:]
            self.context.logger.error('unhandled-error', detail=detail)
            if self.has_sent:
                self.fail(HTTP_BAD_GATEWAY, _last_resort.INTERNAL_ERROR)
            else:
                self._refuse(
                    _last_resort.INTERNAL_ERROR, _last_resort.RETRY_AFTER_S
                )

    def _on_cancelled(self) -> None:
        if self.log_fields.get('gone'):
            self.log_end('caller-gone')
        elif self.attempts.ran:
            self.fail(HTTP_GATEWAY_TIMEOUT, 'no answer in time')
        else:
            refusal = self._late_refusal(
                self.context.refusal('no runner in time')
            )
            self._refuse(str(refusal), refusal.retry_after_s)

    def _late_refusal(
        self, refusal: _context.RefusedError
    ) -> _context.RefusedError:
        """Return a refusal for want of time, on this host or on any."""
        is_cut_short = self.deadline_at < self.limit_at
        return self.context.leaving_refusal() if is_cut_short else refusal

    def _refuse(self, reason: str, retry_after_s: float) -> None:
        if self.attempts.ran:
            self.fail(HTTP_BAD_GATEWAY, reason)
            return
        if self.hop is not None and (
            self.hops.is_out_of_reach or self.context.drain is not None
        ):
            self.log_end('declined', reason=reason)
            is_cut_off = self.context.catalog.is_lost(self.service)
            self.exchange.respond(_hand_over.decline(reason, is_cut_off))
            return
        self.log_end('refused', reason=reason, retry_after_s=retry_after_s)
        self._respond_error(HTTP_UNAVAILABLE, retry_after_s, reason)

    def fail(self, status: int, reason: str) -> None:
        """Answer with an error, or break an answer that has begun."""
        is_cut = self.exchange.is_started
        self.log_end('failed', status=status, reason=reason, is_cut=is_cut)
        self._respond_error(status, None, reason)

    def _respond_error(
        self, status: int, retry_after_s: float | None, reason: str
    ) -> None:
        if self.exchange.is_started:
            self.context.metrics.cut_answers.labels(self.route.name).inc()
            self.exchange.abort()
            return
        dialect = self.context.dialect
        self.exchange.respond(
            dialect.error_response(status, retry_after_s, reason)
        )

    def log_end(self, outcome: str, **fields: Any) -> None:
        """Log how the request ended."""
        context = self.context
        took_s = context.reactor.seconds() - self.started_at
        context.metrics.answers.labels(self.route.name, outcome).inc()
        if outcome == 'answered':
            context.answer_times.record(
                self.route.name, relay.Span.REQUEST, took_s
            )
        context.logger.info(
            'request',
            request=self.metadata.request_id,
            route=self.route.name,
            outcome=outcome,
            version=self.configuration.version,
            rank=self.rank,
            first_attempt=self.metadata.first_attempt,
            last_event=self.metadata.last_event,
            parts=[p.part_id for p in self.metadata.prompt[:MAX_LOGGED_PARTS]],
            took_s=round(took_s, 3),
            ran=self.attempts.ran,
            turned_away=self.attempts.not_run,
            **self.log_fields,
            **fields,
        )

    # Steps of a request.

    async def _run(self) -> None:
        self._refuse_unfinishable(relay.Span.REQUEST)
        self._refuse_deadly(self.service)
        self._refuse_evacuated()
        if self.hop is not None and self.context.hand_over is not None:
            self.context.hand_over.on_asked(self.hop, self.service)
        if await self.hops.is_served_elsewhere():
            return
        if self.context.catalog.is_unreachable(self.service):
            raise self.context.refusal('no runner in reach')
        if self._is_take_up:
            await self._find_origin()
        service = self.service
        self.log_fields['service'] = service
        self._refuse_deadly(service)
        self._refuse_evacuated()
        self._refuse_homeless()
        if not self.context.catalog.has_sendable(
            service, self.context.reactor.seconds(), self.origin, self.homes
        ):
            raise self._held_elsewhere(service)
        if self.route.stages:
            await self._run_stages()
        self.context.budget.on_request(service, self.context.reactor.seconds())
        is_stream = self.route.kind == relay.CallKind.STREAM
        self.send_loop = _send_loop.SendLoop(
            self, service, _send_loop.OVERLAP_S if is_stream else None
        )
        end = await self.send_loop.run()
        if end is not None:
            self._conclude(end.step, end.outcome)

    def _conclude(
        self, step: relay.NextStep, send: _sends.SendOutcome
    ) -> None:
        """End the caller's answer as the last send allows."""
        if step == relay.NextStep.REFUSE:
            raise self._refusal(send.detail)
        is_done = send.result == relay.SendResult.DONE
        if is_done and send.response is None:
            self.log_end('answered', events=self.progress.forwarded)
            self.exchange.finish()
        elif (
            step == relay.NextStep.DELIVER
            and send.response is not None
            and not self.exchange.is_started
        ):
            self._deliver(send.response)
        else:
            self.fail(HTTP_BAD_GATEWAY, send.detail)

    def _held_elsewhere(self, service: str) -> _context.RefusedError:
        """Return a refusal, for as long as the runners are cold."""
        context, now = self.context, self.context.reactor.seconds()
        if context.catalog.is_withheld(service, now, self.origin, self.homes):
            context.metrics.withheld.labels(service, 'refused').inc()
        wait_s = context.catalog.cold_left_s(
            service, now, self.origin, self.homes
        )
        return context.refusal('other hosts hold the runners\' limits', wait_s)

    @property
    def _is_take_up(self) -> bool:
        """Tell whether the caller holds events of this stream."""
        is_stream = self.route.kind == relay.CallKind.STREAM
        return is_stream and self.metadata.last_event is not None

    async def _find_origin(self) -> None:
        """Bind the request to what began its stream, or refuse it."""
        context, first_attempt = self.context, self.metadata.first_attempt
        key = None
        if first_attempt is not None:
            self.service = self.route.service_for(first_attempt)
            key = relay.StreamKey(self.stream_key.workspace, first_attempt)
            self.stream_key = key
        self.origin, source = await context.origins.find(key, self.service)
        context.metrics.take_ups.labels(source).inc()
        self.log_fields['origin_source'] = source
        if self.origin is None:
            raise context.refusal('the stream\'s software version is unknown')
        self.log_fields['origin_version'] = self.origin.software_version
        self.service = self.origin.service
        if self.service not in {s.service for s in self.route.shares}:
            raise context.refusal('the route has left the stream\'s service')
        if not context.catalog.usable(
            self.service, context.reactor.seconds(), self.origin, self.homes
        ):
            raise context.refusal(
                'no runner of the stream\'s software version'
            )

    async def _run_stages(self) -> None:
        admission = self.stages.admit()
        self.log_fields['forecast_s'] = round(admission.forecast.total_s, 3)
        self.log_fields['queue_s'] = round(admission.forecast.queue_s, 3)
        self.log_fields['admission'] = str(admission.verdict)
        if admission.verdict == relay.Verdict.TOO_LATE:
            raise self._late_refusal(
                _context.RefusedError(
                    'queues are too long', admission.retry_after_s
                )
            )
        now = self.context.reactor.seconds()
        pause_s = self.context.catalog.pause_s(self.service, now, self.homes)
        if pause_s > admission.forecast.total_s:
            raise self._refusal('all runners asked for a pause')
        await self.stages.execute()
        elapsed_s = self.context.reactor.seconds() - self.started_at
        self.log_fields['stages_s'] = round(elapsed_s, 3)

    def _refuse_deadly(self, service: str) -> None:
        self.context.refuse_deadly(
            service, self.suspects, self.metadata.request_id
        )

    def _refuse_evacuated(self) -> None:
        """Refuse the request before its stages if it can't complete."""
        self.context.refuse_evacuated(
            [self.service, *(spec.service for spec in self.route.stages)]
        )

    def _refuse_homeless(self) -> None:
        """Refuse a bound request before its stages if no runner may run it.

        Stage runners that are only left alone for a moment still count: their
        pieces wait for them.
        """
        if not self.homes.is_bound:
            return
        catalog = self.context.catalog
        now = self.context.reactor.seconds()
        stages = {spec.service for spec in self.route.stages}
        if not catalog.usable(
            self.service, now, self.origin, self.homes
        ) or not all(catalog.has_home_runner(s, self.homes) for s in stages):
            raise self.context.refusal('no runner in the home regions')

    def _likely_domain(self) -> str:
        """Return the failure domain where the main call will likely run."""
        runner = self._choose_runner(self.service, set())
        if runner is None:
            # A domain outside the homes would only delay the pieces.
            return '' if self.homes.is_bound else self.context.failure_domain
        return runner.entry.runner.failure_domain

    # Main call.

    def sendable(self, service: str) -> list[relay.FleetRunner]:
        """Return the runners to which the request may be sent now."""
        context = self.context
        found = context.catalog.sendable(
            service, context.reactor.seconds(), self.origin, self.homes
        )
        if context.hand_over is not None and context.catalog.is_lost(service):
            reach = context.catalog.reach
            found = [r for r in found if not reach.has_failed(r)]
        return found

    def _choose_runner(
        self,
        service: str,
        tried: Collection[str],
        excluded: Collection[str] = (),
    ) -> relay.FleetRunner | None:
        sendable = [
            r for r in self.sendable(service) if r.name not in excluded
        ]
        candidates = [r for r in sendable if r.name not in tried] or sendable
        if not candidates:
            return None
        return self.placement.choose(
            candidates,
            self.stages.input_bytes(),
            self.context.reactor.seconds(),
        )

    async def await_place(self, service: str) -> None:
        """Wait a little while runners have no place for this host.

        They are brittle, or all of them are cold.
        """
        context = self.context
        while True:
            now = context.reactor.seconds()
            longest_s, share = relay.PLACE_WAIT_S, PLACE_WAIT_SHARE
            if context.catalog.cold_left_s(
                service, now, self.origin, self.homes
            ):
                share = COLD_WAIT_SHARE
                longest_s = share * self.route.target_s
            if now >= self.started_at + share * self.route.target_s:
                return
            wait_s = context.catalog.send_wait_s(
                service, now, self.origin, self.homes
            )
            if wait_s is None or not 0.0 < wait_s <= longest_s:
                return
            await task.deferLater(
                context.reactor, min(wait_s, PLACE_CHECK_S), lambda: None
            )

    def take_runner(
        self, service: str, tried: set[str], excluded: Collection[str]
    ) -> relay.FleetRunner:
        """Return a runner and mark it tried; raise RefusedError if none.

        Those tried before come last, those excluded never.
        """
        self._refuse_unfinishable(relay.Span.SEND)
        self._refuse_deadly(service)
        runner = self._choose_runner(service, tried, excluded)
        self._count_withheld(service, runner)
        if runner is None:
            self.context.refuse_evacuated([service])
            raise self._refusal('no runner')
        tried.add(runner.name)
        return runner

    def _count_withheld(
        self, service: str, runner: relay.FleetRunner | None
    ) -> None:
        """Count a request that may not go to a cold runner."""
        context, now = self.context, self.context.reactor.seconds()
        if context.catalog.is_withheld(service, now, self.origin, self.homes):
            result = 'refused' if runner is None else 'elsewhere'
            context.metrics.withheld.labels(service, result).inc()

    def new_send(
        self, runner: relay.FleetRunner, owner: _sends.SendOwner
    ) -> _sends.Send:
        """Return a send to a runner that is not open yet."""
        if self.route.kind == relay.CallKind.STREAM:
            return _stream.StreamReader(self, runner, owner)
        return _sends.PlainSend(self, runner, owner)

    def open_send(self, send: _sends.Send) -> None:
        """Send the request; a stream goes on behind what its caller has."""
        self.has_sent = True
        last_event = None
        if self.route.kind == relay.CallKind.STREAM:
            last_event = self.progress.last_event_id
            self.context.catalog.on_prompt_sent(
                send.runner, self.metadata.prompt, send.opened_at
            )
            self.placement.on_send(send.opened_at)
        send.open(self._main_request(send.runner, last_event))

    def _main_request(
        self, runner: relay.FleetRunner, last_event: int | None
    ) -> _messages.HttpRequest:
        workspace = self.workspace.name if self.workspace else None
        return self.context.dialect.main_request(
            _dialect.MainCall(
                self.exchange.request,
                self.metadata,
                workspace,
                runner,
                self.left_s(),
                self.rank,
                self.stages.inputs,
                last_event,
            )
        )

    def record_send(
        self, service: str, send: _sends.Send, outcome: _sends.SendOutcome
    ) -> None:
        """Record the end of a send in metrics, attempts and runner state."""
        now, result = self.context.reactor.seconds(), outcome.result
        runner = send.runner
        if result == relay.SendResult.DONE:
            self.context.answer_times.record(
                self.route.name, relay.Span.SEND, now - send.opened_at
            )
        self.context.metrics.sends.labels(service, result).inc()
        self.attempts.on_end(result, send.is_counted)
        failures = {
            relay.SendResult.NOT_SENT: model.CallFailure.UNREACHABLE,
            relay.SendResult.NOT_RUN: model.CallFailure.OVERLOADED,
            relay.SendResult.FAILED: model.CallFailure.FAILED,
            relay.SendResult.LOST: model.CallFailure.LOST,
            relay.SendResult.BROKEN: model.CallFailure.LOST,
        }
        call_failure = failures.get(result)
        if result == relay.SendResult.NOT_SENT:
            self.context.catalog.reach.on_unreachable(runner, now)
        if call_failure is not None:
            if outcome.is_given_up:
                runner.state.on_cancel()
            else:
                runner.state.on_failure(call_failure, now)
            self.context.logger.info(
                'send-failed',
                request=self.metadata.request_id,
                service=service,
                runner=runner.name,
                software_version=runner.entry.runner.software_version,
                result=result,
                detail=outcome.detail,
            )

    def _refusal(self, reason: str) -> _context.RefusedError:
        """Return a refusal until a runner takes a request again."""
        now = self.context.reactor.seconds()
        wait_s = self.context.catalog.send_wait_s(
            self.service, now, self.origin, self.homes
        )
        return self.context.refusal(reason, wait_s)

    async def has_likely_crashed(
        self, service: str, send: _sends.Send, outcome: _sends.SendOutcome
    ) -> bool:
        """Tell whether the request likely ended its runner, as others."""
        if outcome.is_closed_early and await self.context.crashes.has_crashed(
            send.runner,
            self.suspects,
            send.opened_at,
            self.metadata.request_id,
        ):
            evidence = self.context.catalog.crash_evidence
            return bool(evidence.is_doubtful(service, self.suspects))
        return False

    def log_silence(self, send: _sends.Send, asks_another: bool) -> None:
        """Log and count that a runner with an open connection is silent."""
        runner = send.runner
        service = runner.entry.runner.service
        waited_s = self.context.reactor.seconds() - send.heard_at
        self.context.metrics.silences.labels(service, send.awaited).inc()
        self.context.logger.info(
            'runner-silent',
            request=self.metadata.request_id,
            service=service,
            runner=runner.name,
            awaited=send.awaited,
            waited_s=round(waited_s, 3),
            asks_another=asks_another,
        )

    def note_silence(self, runner: relay.FleetRunner, sent_at: float) -> None:
        """Keep that a runner has not begun; it may have ended."""
        self.context.crashes.on_silent(
            runner, self.suspects, sent_at, self.metadata.request_id
        )

    def next_step(
        self, service: str, send: _sends.SendOutcome
    ) -> relay.NextStep:
        """Return the next step after a send; spend the budget for another."""
        may_resend = self.attempts.may_send_again(send.result, self.left_s())
        now = self.context.reactor.seconds()
        if send.result == relay.SendResult.DONE or not self.may_resume:
            may_resend = False
        if not self.fits(relay.Span.SEND):
            may_resend = False
        if self.origin is not None and not self.context.catalog.usable(
            service, now, self.origin, self.homes
        ):
            may_resend = False
        if may_resend and send.result != relay.SendResult.NOT_SENT:
            may_resend = self.context.budget.take(service, now)
        return relay.next_step(
            send.result, may_resend, bool(self.attempts.ran)
        )

    def classify_response(
        self,
        runner: relay.FleetRunner,
        response: _messages.HttpResponse,
        took_s: float,
    ) -> _sends.SendOutcome:
        """Return the outcome of a send from a complete response."""
        now = self.context.reactor.seconds()
        reply = self.context.dialect.read_reply(
            response, self.metadata.request_id
        )
        if reply.load is not None:
            self.context.catalog.on_load(runner, reply.load, now)
        _runner_replies.on_reply(
            self.context.catalog,
            self.context.logger,
            runner,
            reply,
            reply.is_authentic,
            now - took_s,
            now,
        )
        if reply.is_not_run:
            runner.is_misdirected |= reply.is_misdirected
            return _sends.SendOutcome(
                relay.SendResult.NOT_RUN,
                detail=f'status {response.status}',
                is_input_gone=reply.is_input_gone,
            )
        if not reply.is_authentic:
            return _sends.SendOutcome(
                relay.SendResult.LOST, detail='not the answer'
            )
        if response.status >= 500 or response.status in NOT_RUN_STATUSES:
            return _sends.SendOutcome(
                relay.SendResult.FAILED,
                response,
                detail=f'status {response.status}',
            )
        if self.exchange.is_started or (
            self._is_resumed and response.status < HTTP_REDIRECT
        ):
            # Its caller would take it for the rest of the stream.
            return _sends.SendOutcome(
                relay.SendResult.LOST, detail='no event stream'
            )
        runner.state.on_result(took_s, took_s, now)
        self.placement.on_answer(runner, took_s, now)
        self._clear_suspects()
        return _sends.SendOutcome(relay.SendResult.DONE, response)

    @property
    def _is_resumed(self) -> bool:
        """Tell whether the caller holds events of a stream."""
        is_stream = self.route.kind == relay.CallKind.STREAM
        return is_stream and self.progress.last_event_id is not None

    def _clear_suspects(self) -> None:
        self.context.crashes.on_began(self.service, self.suspects)

    def _deliver(self, response: _messages.HttpResponse) -> None:
        if response.status in NOT_RUN_STATUSES:
            self.fail(HTTP_BAD_GATEWAY, f'runner answered {response.status}')
            return
        answer = _messages.HttpResponse(
            response.status,
            _messages.end_to_end(response.headers),
            response.body,
        )
        problem = _heads.response_problem(answer)
        if problem is not None:
            self.fail(HTTP_BAD_GATEWAY, problem)
            return
        self._observe_latency()
        self.log_end('answered', status=response.status)
        self.exchange.respond(answer)

    def _observe_latency(self) -> None:
        took_s = self.context.reactor.seconds() - self.started_at
        self.context.metrics.latency.labels(self.route.name).observe(took_s)
        self.log_fields['first_s'] = round(took_s, 3)

    def on_first_event(self) -> None:
        """Record the latency and free the stage results."""
        self._observe_latency()
        self.stages.release_all()

    def on_event_from(self, runner: model.Runner) -> None:
        """Bind the stream to what runs on the runner that began it."""
        if self.is_origin_recorded:
            return
        self.is_origin_recorded = True
        self._clear_suspects()
        if self.origin is None:
            self.origin = relay.StreamOrigin(
                runner.service, runner.software_version
            )
        ttl_s = self.metadata.deadline_s or self.route.timeout_s
        self.context.origins.on_began(self.stream_key, self.origin, ttl_s)
