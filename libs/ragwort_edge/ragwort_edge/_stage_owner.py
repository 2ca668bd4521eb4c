"""Batching the pieces of all hosts into calls to stage runners."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import itertools
import math
from typing import Any

import msgspec
from twisted.internet import defer

from ragwort_edge import _body
from ragwort_edge import _client
from ragwort_edge import _dialect
from ragwort_edge import _maker_news
from ragwort_edge import _maker_watch
from ragwort_edge import _messages
from ragwort_edge import _metrics
from ragwort_edge import _runner_replies
import ragwort_model as model
import ragwort_relay as relay

RELEASE_DELAY_S = 0.015
RELEASE_TIMEOUT_S = 1.0
# Largest part of a stage reply for one piece: a handle or a reason.
MAX_PIECE_REPLY_BYTES = 4096
# Interval of checks of a runner's storage; results live for seconds.
STORAGE_CHECK_INTERVAL_S = 0.4
MAX_SENDS_PER_PIECE = 3
# Finished groups whose outcomes are kept to answer a repeated StageAsk.
MAX_FINISHED_GROUPS = 256
# Time to avoid a runner that rejected or lost a call.
AVOID_RUNNER_S = 0.15
# Interval of looking for another runner for the pieces of a silent one.
LOOK_AGAIN_S = 0.25
# Interval of dispatches while pieces stay queued.
DISPATCH_INTERVAL_S = 0.05
# Above any real time or size that another host tells; calls round them to
# integers.
MAX_TOLD_NUMBER = 1e12

OnGivenBack = Callable[[str], bool]
OnOutcomes = Callable[[str, list[model.PieceOutcome]], None]


class _OwnedGroup(msgspec.Struct):
    """A group queued here, its origin and its outcomes so far."""

    service: str
    origin: str | None
    pieces_left: int
    outcomes: list[model.PieceOutcome] = msgspec.field(default_factory=list)


class StageOwner:
    """Batches pieces, calls runners and tracks their result storage."""

    def __init__(
        self,
        reactor: Any,
        client: _client.HttpClient,
        dialect: _dialect.Dialect,
        catalog: relay.RelayCatalog,
        budget: relay.RetryBudget,
        metrics: _metrics.Metrics,
        logger: Any,
        waits: relay.QueueWaits,
        send_peer: Callable[[model.SendPeerMessage], None],
        on_outcomes: OnOutcomes,
        on_given_back: OnGivenBack,
    ) -> None:
        """Pass the outcomes of this host's own groups to on_outcomes.

        on_given_back finds another owner for such a group, if there is one.
        """
        self.reactor = reactor
        self.client = client
        self.dialect = dialect
        self.catalog = catalog
        self.budget = budget
        self.metrics = metrics
        self.logger = logger
        self.waits = waits
        self.choose_timely: relay.ChooseTimely = relay.timely_groups
        self.send_peer = send_peer
        self.on_outcomes = on_outcomes
        self.on_given_back = on_given_back
        self.makers = catalog.makers
        self.maker_news = _maker_news.MakerNews(
            reactor, catalog.makers, send_peer, logger
        )
        self.maker_watch = _maker_watch.MakerWatch(
            reactor,
            client,
            dialect,
            catalog,
            logger,
            self._has_results,
            self._read_notices,
        )
        catalog.makers.on_ended = self._on_maker_ended
        # Addresses of runners that have started again, to be acted upon.
        self.ended_makers: set[str] = set()
        # Called with the addresses of such runners.
        self.on_ended_makers: Callable[[list[str]], None] = lambda ended: None
        self.owned: dict[str, _OwnedGroup] = {}
        self.finished: collections.OrderedDict[str, _OwnedGroup] = (
            collections.OrderedDict()
        )
        self.batchers: dict[str, relay.Batcher] = {}
        # Handles to free by address, each with the start of its maker.
        self.releases: dict[str, list[tuple[str, int]]] = {}
        # The makers' count of changes when a queue was last searched for
        # pieces whose inputs are gone with their makers, by service.
        self.searched_at_change: dict[str, int] = {}
        self.release_timer: Any = None
        self.storage_check_due: dict[str, float] = {}
        self.dispatch_timers: dict[str, Any] = {}
        # Set once this host takes no work of others any more.
        self.is_leaving = False

    def update_wait(self, service: str) -> None:
        """Update the known queueing times of a service's local queue."""
        batcher = self._batcher(service)
        if batcher is not None:
            now = self.reactor.seconds()
            runners, pause_s = self._working(service, now)
            wait = batcher.queue_wait(runners, now + pause_s)
            self.waits.update(service, wait.delayed(pause_s, now))

    def _working(
        self, service: str, now: float
    ) -> tuple[list[relay.FleetRunner], float]:
        """Return the runners not paused and 0.0, or all and their pause."""
        usable = self.catalog.usable(service, now)
        pauses = self.catalog.pauses
        working = [r for r in usable if pauses.left_s(r, now) == 0.0]
        return working or usable, self.catalog.pause_s(service, now)

    def _known_waits(self, service: str) -> list[model.ServiceWait]:
        self.update_wait(service)
        now = self.reactor.seconds()
        return [
            model.ServiceWait(
                name,
                list(wait.waits_s),
                wait.late_wait_s,
                now - wait.measured_at,
                wait.call_s,
            )
            for name, wait in self.waits.recent(now).items()
        ]

    def on_ask(self, sender: str, message: model.StageAsk) -> None:
        """Acknowledge another host's group; queue it if it is new.

        A group with damaged times is left to the host that asks.
        """
        now = self.reactor.seconds()
        if not _is_sound_ask(message):
            self.logger.warning('invalid-stage-ask', group=message.group)
            return
        if message.group not in self.owned and (
            self.catalog.is_lost(message.service_name)
            or (self.is_leaving and message.group not in self.finished)
        ):
            self._decline(sender, message.group, message.service_name)
            return
        waits = self._known_waits(message.service_name)
        taken = model.StageTaken(message.group, waits)
        self.send_peer(model.SendPeerMessage(sender, taken))
        if message.group in self.owned:
            return
        finished = self.finished.get(message.group)
        if finished is not None:
            # The StageAsk crossed the StageReply, or the reply was lost.
            self._reply(message.group, finished, finished.outcomes)
            return
        starts = dict(zip(message.makers, message.maker_starts, strict=False))
        group = relay.PieceGroup(
            message.group,
            [
                relay.PieceWork(
                    w.request_id,
                    w.stage,
                    w.piece,
                    w.key,
                    tuple(w.inputs),
                    tuple(
                        self._start_of(handle, starts) for handle in w.inputs
                    ),
                )
                for w in message.work
            ],
            now + message.target_s,
            now + message.deadline_s,
            message.rank,
            message.result_bytes,
            message.failure_domain,
            next_services=tuple(message.next_services),
            domains=(
                None
                if message.allowed_domains is None
                else frozenset(message.allowed_domains)
            ),
            inputs_expire_at=(
                math.inf
                if message.inputs_left_s is None
                else now + message.inputs_left_s
            ),
        )
        self.enqueue(message.service_name, group, sender)

    def _start_of(self, handle: str, starts: dict[str, int]) -> int:
        """Return the start of a result's maker, as told or as known here."""
        address = self.dialect.handle_address(handle)
        return starts.get(address, 0) or self.makers.start_at(address)

    def _decline(self, sender: str, group: str, service: str) -> None:
        declined = model.StageDeclined(group, service)
        self.send_peer(model.SendPeerMessage(sender, declined))

    def leave(self) -> None:
        """Let other hosts own what no runner has got, and all new work."""
        self.is_leaving = True
        for batcher in list(self.batchers.values()):
            groups = [piece.group for piece in batcher.queue]
            self._give_back(g.group_id for g in groups if not g.sends)

    def give_back_all(self) -> None:
        """Let other hosts own all groups, as this host ends."""
        self._give_back(list(self.owned))

    def _give_back(self, group_ids: Iterable[str]) -> None:
        """Let other hosts own groups, as far as there are any."""
        for group_id in dict.fromkeys(group_ids):
            owned = self.owned.get(group_id)
            if owned is None:
                continue
            if owned.origin is not None:
                self._decline(owned.origin, group_id, owned.service)
            elif not self.on_given_back(group_id):
                continue
            del self.owned[group_id]
            batcher = self._batcher(owned.service)
            if batcher is not None:
                batcher.drop(group_id)

    def _give_back_service(self, service: str) -> None:
        """Let other hosts own the groups of a service out of reach."""
        self._give_back(
            [
                group_id
                for group_id, owned in self.owned.items()
                if owned.service == service
            ]
        )

    def on_drop(self, message: model.StageDrop) -> None:
        """Drop a cancelled group."""
        self.owned.pop(message.group, None)
        batcher = self._batcher(message.service_name)
        if batcher is not None:
            batcher.drop(message.group)

    def on_release(self, message: model.StageRelease) -> None:
        """Free results at their runners."""
        known = itertools.chain(message.starts, itertools.repeat(0))
        self.queue_release(zip(message.handles, known, strict=False))

    def _batcher(self, service: str) -> relay.Batcher | None:
        configuration = self.catalog.configuration
        spec = configuration.services.get(service) if configuration else None
        if spec is None or spec.batch_limits is None:
            return self.batchers.get(service)
        known = self.batchers.get(service)
        if known is None:
            known = relay.Batcher(
                spec.batch_limits, self.choose_timely, self.reactor.seconds()
            )
            self.batchers[service] = known
        known.set_limits(spec.batch_limits)
        return known

    def enqueue(
        self, service: str, group: relay.PieceGroup, origin: str | None
    ) -> None:
        """Queue a group; its outcomes go to origin, None for this host."""
        batcher = self._batcher(service)
        self.owned[group.group_id] = _OwnedGroup(
            service, origin, len(group.work)
        )
        if batcher is None:
            self._fail_pieces(group, [w.piece for w in group.work], 'error')
            return
        if group.domains is not None and not any(
            group.admits(runner.entry.runner.failure_domain)
            for runner in self.catalog.fleet.live_runners(service)
        ):
            self._fail_pieces(
                group, [w.piece for w in group.work], 'no runner at home'
            )
            return
        # Repeats are counted by the piece, too.
        self.budget.on_request(
            service, self.reactor.seconds(), len(group.work)
        )
        batcher.add(group)
        self.searched_at_change.pop(service, None)
        self.schedule_dispatch(service, 0.0)

    def schedule_dispatch(self, service: str, delay_s: float) -> None:
        """Send queued pieces of a service to runners after a delay."""
        timer = self.dispatch_timers.get(service)
        if timer is not None and timer.active():
            if timer.getTime() <= self.reactor.seconds() + delay_s:
                return
            timer.cancel()
        self.dispatch_timers[service] = self.reactor.callLater(
            delay_s, self._dispatch, service
        )

    def _check_storage(self, batcher: relay.Batcher, runners: Any) -> None:
        """Query free storage of runners that may hold foreign results."""
        now = self.reactor.seconds()
        for runner in runners:
            due = self.storage_check_due.get(runner.name, -math.inf)
            if not self.catalog.takes_chores(runner, now) or (
                self.catalog.brittle.is_brittle(runner)
            ):
                # The requests that it takes are kept for work.
                continue
            if now < due or not batcher.storage.may_hold_foreign(
                runner.name, now
            ):
                continue
            self.storage_check_due[runner.name] = (
                now + STORAGE_CHECK_INTERVAL_S
            )
            request = self.dialect.storage_request(runner)
            done = _client.fetch(
                self.client,
                runner.address,
                request,
                STORAGE_CHECK_INTERVAL_S,
                _body.MAX_REPORT_BYTES,
            )
            done.addCallback(self._on_storage, batcher, runner, now)
            done.addErrback(self._on_storage_error, runner)

    def _on_storage(
        self,
        response: _messages.HttpResponse,
        batcher: relay.Batcher,
        runner: relay.FleetRunner,
        sent_at: float,
    ) -> None:
        now = self.reactor.seconds()
        self._read_notices(response, runner, sent_at)
        free_bytes = self.dialect.read_free_storage(response)
        batcher.storage.on_report(runner.name, free_bytes, now)
        foreign = batcher.storage.foreign_bytes(runner.name, now)
        if foreign:
            self.logger.info(
                'foreign-results',
                runner=runner.name,
                free_bytes=int(free_bytes),
                foreign_bytes=int(foreign),
            )

    def _read_notices(
        self,
        response: _messages.HttpResponse,
        runner: relay.FleetRunner,
        sent_at: float,
    ) -> _dialect.RunnerReply:
        """Record what a runner's answer says of itself."""
        reply = self.dialect.read_reply(response, '')
        _runner_replies.on_reply(
            self.catalog,
            self.logger,
            runner,
            reply,
            response.status == 200,
            sent_at,
            self.reactor.seconds(),
        )
        return reply

    def _on_storage_error(
        self, failure: Any, runner: relay.FleetRunner
    ) -> None:
        failure.trap(_client.CallError, model.WireError)
        self.logger.info(
            'storage-check-failed',
            runner=runner.name,
            detail=failure.getErrorMessage(),
        )

    def _dispatch(self, service: str) -> None:
        batcher = self._batcher(service)
        if batcher is None:
            return
        now = self.reactor.seconds()
        if self.catalog.is_service_evacuated(service, now):
            self._fail_evacuated(service, batcher)
            return
        self._fail_outlived(service, batcher)
        self._fail_gone(batcher.remove_without_inputs(now))
        runners, pause_s = self._working(service, now)
        for piece in batcher.remove_too_late(runners, now + pause_s):
            self._fail_pieces(piece.group, [piece.work.piece], 'late')
        if batcher.queue:
            self._check_storage(batcher, runners)
        queued_s = self._downstream_queues_s(service, now)
        sendable = self.catalog.sendable(service, now)
        for call in batcher.next_calls(sendable, now, queued_s):
            self._send_call(service, batcher, call)
        if batcher.queue:
            self.schedule_dispatch(service, DISPATCH_INTERVAL_S)

    def _fail_outlived(self, service: str, batcher: relay.Batcher) -> None:
        """Fail queued pieces with inputs whose maker has started again.

        Its new start may give their handles to results of other requests.
        """
        change_count = self.makers.change_count
        if self.searched_at_change.get(service) == change_count:
            return
        self.searched_at_change[service] = change_count
        queue, batcher.queue = batcher.queue, []
        gone: list[relay.QueuedPiece] = []
        for piece in queue:
            is_gone = self._is_outlived(piece.work)
            (gone if is_gone else batcher.queue).append(piece)
        self._fail_gone(gone)

    def _fail_gone(self, pieces: list[relay.QueuedPiece]) -> None:
        for piece in pieces:
            self._fail_pieces(
                piece.group,
                [piece.work.piece],
                str(_dialect.PieceResult.INPUT_GONE),
            )

    def _is_outlived(self, work: relay.PieceWork) -> bool:
        return any(
            self.has_outlived(handle, started_ms)
            for handle, started_ms in zip(
                work.inputs, work.input_starts, strict=False
            )
        )

    def has_outlived(self, handle: str, started_ms: int) -> bool:
        """Tell whether the runner that made a result has started again."""
        address = self.dialect.handle_address(handle)
        return self.makers.has_ended(address, started_ms)

    def has_successor(self, handle: str, started_ms: int) -> bool:
        """Tell whether a result's handle may be another result's by now."""
        address = self.dialect.handle_address(handle)
        return self.makers.has_successor(address, started_ms)

    def _has_results(self, runner: relay.FleetRunner) -> bool:
        """Tell whether results of a runner are in use or being made."""
        return any(
            batcher.storage.holds_results(runner.name)
            or any(
                c.runner.name == runner.name for c in batcher.calls.values()
            )
            for batcher in self.batchers.values()
        )

    def _on_maker_ended(self, address: str) -> None:
        """Act upon the end of a start once the event at hand is handled."""
        if not self.ended_makers:
            self.reactor.callLater(0.0, self._act_on_ended_makers)
        self.ended_makers.add(address)

    def _act_on_ended_makers(self) -> None:
        """Fail what needs results of ended starts; tell who holds some."""
        now = self.reactor.seconds()
        addresses, self.ended_makers = sorted(self.ended_makers), set()
        for address in addresses:
            self.maker_news.tell_holders(address, now)
            runner = self.catalog.runner_at(address)
            if runner is not None:
                self._free_storage_of(runner.name)
        self.on_ended_makers(addresses)
        for service, batcher in list(self.batchers.items()):
            if batcher.queue:
                self.schedule_dispatch(service, 0.0)

    def _free_storage_of(self, runner: str) -> None:
        for batcher in self.batchers.values():
            batcher.storage.release_all_of(runner)

    def _fail_evacuated(self, service: str, batcher: relay.Batcher) -> None:
        """Fail all queued pieces, as no runner is left to take them."""
        queue, batcher.queue = batcher.queue, []
        for piece in queue:
            self._fail_pieces(piece.group, [piece.work.piece], 'evacuated')
        if queue:
            self.metrics.evacuated_pieces.labels(service).inc(len(queue))
            self.logger.info(
                'pieces-evacuated', service=service, pieces=len(queue)
            )

    def _downstream_queues_s(
        self, service: str, now: float
    ) -> dict[str, float]:
        """Return the queueing times of services that read the results."""
        configuration = self.catalog.configuration
        if configuration is None:
            return {}
        downstream = configuration.downstream_services.get(service, ())
        return {name: self.waits.late_wait_s(name, now) for name in downstream}

    def _send_call(
        self, service: str, batcher: relay.Batcher, call: relay.BatchCall
    ) -> None:
        now = self.reactor.seconds()
        request = self.dialect.stage_request(call, now)
        call.started_ms = self.makers.start_at(call.runner.address)
        self.maker_watch.expect(
            call.runner,
            now + call.timeout_s + batcher.limits.result_ttl_s,
        )
        call.runner.state.on_dispatch()
        self.catalog.on_send(call.runner, now)
        for piece in call.pieces:
            piece.group.sends += 1
        self._log_call(service, batcher, call)
        done = _client.fetch(
            self.client,
            call.runner.address,
            request,
            max(call.timeout_s, call.latest_deadline_at - now),
            _body.MAX_REPORT_BYTES + len(call.pieces) * MAX_PIECE_REPLY_BYTES,
        )
        self.reactor.callLater(
            call.timeout_s, self._on_silent_call, service, call, done
        )
        done.addCallbacks(
            self._on_response,
            self._on_error,
            callbackArgs=(service, batcher, call),
            errbackArgs=(service, batcher, call),
        )
        done.addErrback(self._on_unhandled_error)

    def _on_silent_call(
        self,
        service: str,
        call: relay.BatchCall,
        done: 'defer.Deferred[_messages.HttpResponse]',
    ) -> None:
        """Give a call up if another runner can take its pieces.

        Silence is no reason to give pieces up for none.
        """
        if done.called:
            return
        now = self.reactor.seconds()
        if self._may_replace(service, call, now):
            done.cancel()
            return
        state = call.runner.state
        state.backoff_until = max(state.backoff_until, now + LOOK_AGAIN_S)
        self.reactor.callLater(
            LOOK_AGAIN_S, self._on_silent_call, service, call, done
        )

    def _may_replace(
        self, service: str, call: relay.BatchCall, now: float
    ) -> bool:
        wanted = [p for p in call.pieces if p.group.group_id in self.owned]
        if not wanted:
            return True
        others = [
            runner
            for runner in self.catalog.sendable(service, now)
            if runner is not call.runner
        ]
        return (
            bool(others)
            and all(self._may_resend(piece.group) for piece in wanted)
            and self.budget.has_room(service, now, len(wanted))
        )

    def _may_resend(self, group: relay.PieceGroup) -> bool:
        return group.sends < MAX_SENDS_PER_PIECE * len(group.work)

    def _log_call(
        self, service: str, batcher: relay.Batcher, call: relay.BatchCall
    ) -> None:
        domain = call.runner.entry.runner.failure_domain
        now = self.reactor.seconds()
        self.logger.info(
            'stage-call',
            service=service,
            runner=call.runner.name,
            pieces=len(call.pieces),
            near=sum(p.group.failure_domain == domain for p in call.pieces),
            late=sum(p.group.target_at < now for p in call.pieces),
            waiting=len(batcher.queue),
            timely=len(batcher.timely_due),
            downstream_s={
                name: round(queued_s, 3)
                for name, queued_s in self._downstream_queues_s(
                    service, now
                ).items()
            },
            free_bytes=int(batcher.storage.free_bytes(call.runner.name, now)),
            slowness=round(call.runner.slowness, 2),
        )

    def _on_unhandled_error(self, failure: Any) -> None:
        self.logger.error(
            'unhandled-error', detail=failure.getTraceback()[-1500:]
        )

    def _on_response(
        self,
        response: _messages.HttpResponse,
        service: str,
        batcher: relay.Batcher,
        call: relay.BatchCall,
    ) -> None:
        now = self.reactor.seconds()
        reply = self._read_notices(response, call.runner, call.sent_at)
        state = call.runner.state
        if reply.load is not None:
            state.on_report(reply.load, now)
        if response.status != 200:
            if reply.is_misdirected:
                call.runner.is_misdirected = True
            state.on_failure(model.CallFailure.OVERLOADED, now)
            state.backoff_until = max(
                state.backoff_until, now + AVOID_RUNNER_S
            )
            self._on_failed_call(
                service, batcher, call, f'status {response.status}'
            )
            return
        try:
            results = self.dialect.read_stage_reply(response, len(call.pieces))
        except model.WireError as error:
            state.on_failure(model.CallFailure.PROTOCOL, now)
            self._on_failed_call(service, batcher, call, str(error))
            return
        state.on_result(now - call.sent_at, now - call.sent_at, now)
        batcher.on_answer(call, [r.handle for r in results], now)
        self._on_piece_results(service, batcher, call, results)

    def _on_piece_results(
        self,
        service: str,
        batcher: relay.Batcher,
        call: relay.BatchCall,
        results: Any,
    ) -> None:
        by_group: dict[str, list[model.PieceOutcome]] = {}
        retries: list[relay.QueuedPiece] = []
        unneeded: list[tuple[str, int]] = []
        address = call.runner.address
        started_ms = call.started_ms or self.makers.start_at(address)
        # Either the start before has made the results or the next one.
        is_doubtful = self.makers.has_ended(address, started_ms)
        until = self.reactor.seconds() + batcher.limits.result_ttl_s
        for piece, result in zip(call.pieces, results, strict=True):
            self.metrics.pieces.labels(service, result.result).inc()
            group_id = piece.group.group_id
            if result.result != _dialect.PieceResult.MADE:
                self.logger.info(
                    'piece-failed',
                    request=piece.work.request_id,
                    service=service,
                    stage=piece.work.stage,
                    piece=piece.work.piece,
                    runner=call.runner.name,
                    result=result.result,
                    wanted=group_id in self.owned,
                )
            retryable = (
                _dialect.PieceResult.STORAGE_FULL,
                _dialect.PieceResult.ERROR,
            )
            if group_id not in self.owned:
                if result.handle:
                    unneeded.append((result.handle, started_ms))
            elif result.result in retryable or (result.handle and is_doubtful):
                if result.result == _dialect.PieceResult.STORAGE_FULL:
                    batcher.storage.on_full(
                        call.runner.name, self.reactor.seconds()
                    )
                retries.append(piece)
            else:
                reason = None if result.handle else str(result.result)
                by_group.setdefault(group_id, []).append(
                    model.PieceOutcome(
                        piece.work.piece, result.handle, reason, started_ms
                    )
                )
                origin = self.owned[group_id].origin
                if origin is not None and result.handle:
                    self.maker_news.on_delivered(origin, address, until)
        if unneeded:
            self.queue_release(unneeded)
        for group_id, outcomes in by_group.items():
            self._deliver(group_id, outcomes)
        self._requeue(service, batcher, retries)
        self.schedule_dispatch(service, 0.0)

    def _on_error(
        self,
        failure: Any,
        service: str,
        batcher: relay.Batcher,
        call: relay.BatchCall,
    ) -> None:
        failure.trap(_client.CallError)
        now = self.reactor.seconds()
        error_kind = failure.value.kind
        if error_kind == _client.CallErrorKind.NOT_CONNECTED:
            kind = model.CallFailure.UNREACHABLE
            self.catalog.reach.on_unreachable(call.runner, now)
        elif error_kind == _client.CallErrorKind.CANCELLED:
            kind = model.CallFailure.SILENT
            call.runner.slowness = min(call.runner.slowness * 2, 16.0)
            call.runner.state.backoff_until = now + call.timeout_s
        else:
            kind = model.CallFailure.LOST
            call.runner.state.backoff_until = now + AVOID_RUNNER_S
        call.runner.state.on_failure(kind, now)
        self._on_failed_call(
            service,
            batcher,
            call,
            str(failure.value),
            was_sent=error_kind != _client.CallErrorKind.NOT_CONNECTED,
        )

    def _on_failed_call(
        self,
        service: str,
        batcher: relay.Batcher,
        call: relay.BatchCall,
        reason: str,
        was_sent: bool = True,
    ) -> None:
        batcher.on_failure(call)
        self.logger.info(
            'stage-call-failed',
            service=service,
            runner=call.runner.name,
            pieces=len(call.pieces),
            reason=reason,
        )
        if self.catalog.is_lost(service):
            self._give_back_service(service)
        wanted = [p for p in call.pieces if p.group.group_id in self.owned]
        if was_sent:
            self._requeue(service, batcher, wanted)
        else:
            # No runner has heard of them: this is no repeat.
            for piece in wanted:
                piece.group.sends -= 1
            batcher.queue += wanted
            self.searched_at_change.pop(service, None)
        self.schedule_dispatch(service, 0.0)

    def _requeue(
        self,
        service: str,
        batcher: relay.Batcher,
        pieces: list[relay.QueuedPiece],
    ) -> None:
        now = self.reactor.seconds()
        for piece in pieces:
            group = piece.group
            if self._may_resend(group) and self.budget.take(service, now):
                batcher.queue.append(piece)
                self.searched_at_change.pop(service, None)
            else:
                self._fail_pieces(group, [piece.work.piece], 'error')

    def _fail_pieces(
        self, group: relay.PieceGroup, pieces: list[int], reason: str
    ) -> None:
        outcomes = [model.PieceOutcome(p, None, reason) for p in pieces]
        self._deliver(group.group_id, outcomes)

    def _deliver(
        self, group_id: str, outcomes: list[model.PieceOutcome]
    ) -> None:
        owned = self.owned.get(group_id)
        if owned is None:
            return
        owned.pieces_left -= len(outcomes)
        owned.outcomes += outcomes
        if owned.pieces_left <= 0:
            del self.owned[group_id]
        if owned.origin is None:
            self.on_outcomes(group_id, outcomes)
            return
        if owned.pieces_left <= 0:
            self.finished[group_id] = owned
            while len(self.finished) > MAX_FINISHED_GROUPS:
                self.finished.popitem(last=False)
        self._reply(group_id, owned, outcomes)

    def _reply(
        self,
        group_id: str,
        owned: _OwnedGroup,
        outcomes: list[model.PieceOutcome],
    ) -> None:
        if owned.origin is None:
            return
        waits = self._known_waits(owned.service)
        reply = model.StageReply(group_id, owned.service, outcomes, waits)
        self.send_peer(model.SendPeerMessage(owned.origin, reply))

    def queue_release(self, results: Iterable[tuple[str, int]]) -> None:
        """Free results at their runners, with one call for each runner.

        Each is a handle and the start of its maker, 0 if that is not known.
        """
        for handle, started_ms in results:
            address = self.dialect.handle_address(handle)
            if not _is_address(address):
                self.logger.info('release-skipped', runner=address, results=1)
                continue
            result = handle, started_ms
            self.releases.setdefault(address, []).append(result)
        is_storage_needed = any(g.queue for g in self.batchers.values())
        delay_s = 0.0 if is_storage_needed else RELEASE_DELAY_S
        if self.release_timer is None:
            self.release_timer = self.reactor.callLater(
                delay_s, self._send_releases
            )

    def _send_releases(self) -> None:
        self.release_timer = None
        releases, self.releases = self.releases, {}
        now = self.reactor.seconds()
        for address, results in releases.items():
            # Those of an earlier start are gone, and their handles may be
            # other results' now.
            handles = [h for h, at in results if not self.has_outlived(h, at)]
            if not handles:
                continue
            runner = self.catalog.runner_at(address)
            if not self.catalog.takes_release(address, now):
                # They expire; the requests that it takes are kept for work.
                self.logger.info(
                    'release-skipped', runner=address, results=len(handles)
                )
                continue
            request = self.dialect.release_request(address, handles, runner)
            done = _client.fetch(
                self.client,
                address,
                request,
                RELEASE_TIMEOUT_S,
                _body.MAX_REPORT_BYTES,
            )
            # A result that is not freed expires after a few seconds.
            done.addErrback(self._on_release_error)
            done.addCallback(self._on_released, handles, runner, now)

    def _on_release_error(self, failure: Any) -> None:
        self.logger.info('release-failed', detail=failure.getErrorMessage())

    def _on_released(
        self,
        response: _messages.HttpResponse | None,
        handles: list[str],
        runner: relay.FleetRunner | None,
        sent_at: float,
    ) -> None:
        """Count storage as free only after the runner has freed it."""
        if response is not None and runner is not None:
            self._read_notices(response, runner, sent_at)
        for service, batcher in self.batchers.items():
            batcher.storage.release(handles)
            if batcher.queue:
                self.schedule_dispatch(service, 0.0)


def _is_address(text: str) -> bool:
    """Tell whether a runner's handle begins with an address."""
    try:
        model.parse_address(text)
    except ValueError:
        return False
    return True


def _is_sound_ask(message: model.StageAsk) -> bool:
    """Tell whether the numbers of a group can be used for calls."""
    numbers = (
        message.target_s,
        message.deadline_s,
        message.result_bytes,
        message.inputs_left_s or 0.0,
    )
    return all(abs(number) <= MAX_TOLD_NUMBER for number in numbers)
