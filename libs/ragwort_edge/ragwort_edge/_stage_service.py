"""Making pieces of stages: at the service's owner, or here without one."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools
import math
from typing import Any

from twisted.internet import defer

from ragwort_edge import _client
from ragwort_edge import _dialect
from ragwort_edge import _messages
from ragwort_edge import _metrics
import ragwort_model as model
import ragwort_relay as relay

# Time for an owner to acknowledge work: a few round trips between
# failure domains, and its loop being busy.
ACKNOWLEDGE_S = 0.12
# Time to pass over an owner that did not acknowledge.
AVOID_OWNER_S = 1.0
# Time after which an owner that brought nothing is asked for a sign.
OWNER_CHECK_S = 0.4
RELEASE_DELAY_S = 0.015
RELEASE_TIMEOUT_S = 1.0
# Pause between questions for a runner's room: results live for seconds.
ROOM_CHECK_S = 0.4
MAX_SENDS = 3
# Groups whose outcomes an owner keeps to answer a second question.
MAX_FINISHED = 256
# Results of which a host remembers who made them.
MAX_MAKERS = 8192
# Hosts that take over a stage service in turn when its owner is silent.
OWNER_CANDIDATES = 3
# How long a runner that turned a call away is passed over.
FULL_PAUSE_S = 0.15
# Age after which an owner's word on its queue is no longer used.
WAIT_MAX_AGE_S = 1.0

Outcomes = dict[int, model.PieceOutcome]


@dataclasses.dataclass(slots=True)
class _Wanted:
    """A group that a request here waits for."""

    group: relay.PieceGroup
    service: str
    done: 'defer.Deferred[Outcomes]'
    asked_at: float
    outcomes: Outcomes = dataclasses.field(default_factory=dict)
    owner: str | None = None
    timer: Any = None


@dataclasses.dataclass(slots=True)
class _Owned:
    """Where the outcomes of a group gathered here go."""

    service: str
    origin: str | None
    left: int
    outcomes: list[model.PieceOutcome] = dataclasses.field(
        default_factory=list
    )


class StageService:
    """Both sides of making pieces: asking, and gathering for all hosts."""

    def __init__(
        self,
        reactor: Any,
        caller: _client.HttpCaller,
        dialect: _dialect.Dialect,
        catalog: relay.RelayCatalog,
        budget: relay.RetryBudget,
        metrics: _metrics.Metrics,
        logger: Any,
        name: str,
        send_peer: Callable[[model.SendPeer], None],
        owners_of: Callable[[str], Sequence[str | None]],
    ) -> None:
        """Bind to what calls runners and peers.

        owners_of returns the peer addresses of the hosts that may own a
        service, best first, None for this host.
        """
        self.reactor = reactor
        self.caller = caller
        self.dialect = dialect
        self.catalog = catalog
        self.budget = budget
        self.metrics = metrics
        self.logger = logger
        self.name = name
        self.send_peer = send_peer
        self.owners_of = owners_of
        self.ids = itertools.count(1)
        self.prefix = f'{name}/{reactor.seconds():.3f}'
        self.wanted: dict[str, _Wanted] = {}
        self.owned: dict[str, _Owned] = {}
        self.received: collections.OrderedDict[str, frozenset[str]] = (
            collections.OrderedDict()
        )
        self.finished: collections.OrderedDict[str, _Owned] = (
            collections.OrderedDict()
        )
        self.gatherers: dict[str, relay.Gatherer] = {}
        self.avoided: dict[str, float] = {}
        self.waits: dict[str, tuple[float, float]] = {}
        self.makers: collections.OrderedDict[str, str | None] = (
            collections.OrderedDict()
        )
        self.releases: dict[str, list[str]] = {}
        self.release_timer: Any = None
        self.room_checks: dict[str, float] = {}
        self.pump_timers: dict[str, Any] = {}

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is gathered or asked for."""
        return not self.owned and not self.wanted

    def wait_s(self, service: str) -> float:
        """Return the queueing time of a service as last heard."""
        gatherer = self.gatherers.get(service)
        if gatherer is not None and self._owner(service) is None:
            return self._wait_here(service)
        wait_s, at = self.waits.get(service, (0.0, 0.0))
        age_s = self.reactor.seconds() - at
        return max(wait_s - age_s, 0.0) if age_s < WAIT_MAX_AGE_S else 0.0

    def _owner(self, service: str) -> str | None:
        """Return the first owner that is not silent, None for this host."""
        for owner in self.owners_of(service):
            if owner is None or not self._is_avoided(owner):
                return owner
        return None

    def _is_avoided(self, owner: str) -> bool:
        return bool(self.avoided.get(owner, 0.0) > self.reactor.seconds())

    def _wait_here(self, service: str) -> float:
        now = self.reactor.seconds()
        runners = self.catalog.fleet.usable(service, now)
        gatherer = self._gatherer(service)
        return gatherer.wait_s(len(runners), now) if gatherer else 0.0

    # The asking side.

    def make(
        self, service: str, group: relay.PieceGroup
    ) -> 'defer.Deferred[Outcomes]':
        """Return the outcome of each piece; cancelling drops the group."""
        group.group_id = f'{self.prefix}/{next(self.ids)}'
        done: defer.Deferred[Outcomes] = defer.Deferred(
            lambda _: self._abandon(group.group_id)
        )
        wanted = _Wanted(group, service, done, self.reactor.seconds())
        self.wanted[group.group_id] = wanted
        owner = self._owner(service)
        if owner is None:
            self._make_here(wanted)
        else:
            self._ask(wanted, owner)
        return done

    def _ask(self, wanted: _Wanted, owner: str) -> None:
        """Send a group to its owner; once more is a check for a sign."""
        group = wanted.group
        now = self.reactor.seconds()
        wanted.owner = owner
        message = model.StageAsk(
            group.group_id,
            wanted.service,
            [
                model.StageWork(
                    w.request_id, w.stage, w.piece, w.key, list(w.inputs)
                )
                for w in group.work
                if w.piece not in wanted.outcomes
            ],
            group.target_at - now,
            group.deadline_at - now,
            group.rank,
            group.result_bytes,
            group.failure_domain,
        )
        self.send_peer(model.SendPeer(owner, message))
        self._set_timer(wanted, ACKNOWLEDGE_S, self._on_silent_owner)

    def on_taken(self, message: model.StageTaken) -> None:
        """Take an owner's word that it has a group."""
        wanted = self.wanted.get(message.group)
        if wanted is None or wanted.owner is None:
            return
        now = self.reactor.seconds()
        self.waits[wanted.service] = (message.wait_s, now)
        self._set_timer(wanted, OWNER_CHECK_S, self._check_owner)

    def _check_owner(self, group_id: str) -> None:
        wanted = self.wanted.get(group_id)
        if wanted is not None and wanted.owner is not None:
            self._ask(wanted, wanted.owner)

    def _set_timer(
        self,
        wanted: _Wanted,
        delay_s: float,
        on_time: Callable[[str], None],
    ) -> None:
        self._stop_timer(wanted)
        wanted.timer = self.reactor.callLater(
            delay_s, on_time, wanted.group.group_id
        )

    def _on_silent_owner(self, group_id: str) -> None:
        wanted = self.wanted.get(group_id)
        if wanted is None or wanted.owner is None:
            return
        owner = wanted.owner
        wanted.timer = None
        self.avoided[owner] = self.reactor.seconds() + AVOID_OWNER_S
        self.logger.warning(
            'stage-owner-silent',
            service=wanted.service,
            owner=owner,
            request=wanted.group.work[0].request_id,
        )
        drop = model.StageDrop(group_id, wanted.service)
        self.send_peer(model.SendPeer(owner, drop, True))
        another = self._owner(wanted.service)
        if another is None:
            self._make_here(wanted)
        else:
            self._ask(wanted, another)

    def _make_here(self, wanted: _Wanted) -> None:
        wanted.owner = None
        group = wanted.group
        group.work = [w for w in group.work if w.piece not in wanted.outcomes]
        self._gather(wanted.service, group, None)

    def on_reply(self, message: model.StageReply) -> None:
        """Take outcomes from an owner."""
        now = self.reactor.seconds()
        self.waits[message.service_name] = (message.wait_s, now)
        self._on_outcomes(message.group, message.outcomes)

    def _on_outcomes(
        self, group_id: str, outcomes: list[model.PieceOutcome]
    ) -> None:
        wanted = self.wanted.get(group_id)
        if wanted is None:
            # An answer that came twice names results that are in use.
            used = self.received.get(group_id, frozenset())
            self._release_unwanted(
                [o for o in outcomes if o.handle not in used]
            )
            return
        for outcome in outcomes:
            wanted.outcomes.setdefault(outcome.piece, outcome)
            if outcome.handle:
                self.makers[outcome.handle] = wanted.owner
        while len(self.makers) > MAX_MAKERS:
            self.makers.popitem(last=False)
        pieces = {work.piece for work in wanted.group.work}
        if pieces <= wanted.outcomes.keys():
            self._stop_timer(wanted)
            self._log_made(wanted)
            del self.wanted[group_id]
            self.received[group_id] = frozenset(
                o.handle for o in wanted.outcomes.values() if o.handle
            )
            while len(self.received) > MAX_FINISHED:
                self.received.popitem(last=False)
            wanted.done.callback(wanted.outcomes)

    def _log_made(self, wanted: _Wanted) -> None:
        group = wanted.group
        waited_s, heard_at = self.waits.get(wanted.service, (0.0, 0.0))
        now = self.reactor.seconds()
        self.logger.info(
            'stage-done',
            request=group.work[0].request_id,
            stage=group.work[0].stage,
            service=wanted.service,
            pieces=len(wanted.outcomes),
            made=sum(o.handle is not None for o in wanted.outcomes.values()),
            owner=wanted.owner or self.name,
            took_s=round(now - wanted.asked_at, 3),
            slack_s=round(group.target_at - now, 3),
            queue_s=round(waited_s, 3),
            queue_age_s=round(now - heard_at, 3) if heard_at else None,
        )

    def _release_unwanted(self, outcomes: list[model.PieceOutcome]) -> None:
        handles = [o.handle for o in outcomes if o.handle]
        if handles:
            self._queue_release(handles)

    def _abandon(self, group_id: str) -> None:
        wanted = self.wanted.pop(group_id, None)
        if wanted is None:
            return
        self._stop_timer(wanted)
        self._release_unwanted(list(wanted.outcomes.values()))
        if wanted.owner is None:
            self.on_drop(model.StageDrop(group_id, wanted.service))
        else:
            drop = model.StageDrop(group_id, wanted.service)
            self.send_peer(model.SendPeer(wanted.owner, drop))

    def _stop_timer(self, wanted: _Wanted) -> None:
        if wanted.timer is not None and wanted.timer.active():
            wanted.timer.cancel()
        wanted.timer = None

    def release(self, service: str, handles: list[str]) -> None:
        """Give results up, through the host that counts their room.

        A host that went silent would never free them.
        """
        by_maker: dict[str | None, list[str]] = {}
        for handle in handles:
            maker = self.makers.pop(handle, None)
            if maker is not None and self._is_avoided(maker):
                maker = None
            by_maker.setdefault(maker, []).append(handle)
        for maker, made in by_maker.items():
            message = model.StageRelease(service, made)
            if maker is None:
                self.on_release(message)
            else:
                self.send_peer(model.SendPeer(maker, message))

    # The gathering side.

    def on_ask(self, sender: str, message: model.StageAsk) -> None:
        """Take a group from another host, or say that it is here."""
        now = self.reactor.seconds()
        wait_s = self._wait_here(message.service_name)
        taken = model.StageTaken(message.group, wait_s)
        self.send_peer(model.SendPeer(sender, taken))
        if message.group in self.owned:
            return
        finished = self.finished.get(message.group)
        if finished is not None:
            # The question crossed the answer, or the answer was lost.
            self._reply(message.group, finished, finished.outcomes)
            return
        group = relay.PieceGroup(
            message.group,
            [
                relay.PieceWork(
                    w.request_id, w.stage, w.piece, w.key, tuple(w.inputs)
                )
                for w in message.work
            ],
            now + message.target_s,
            now + message.deadline_s,
            message.rank,
            message.result_bytes,
            message.failure_domain,
        )
        self._gather(message.service_name, group, sender)

    def on_drop(self, message: model.StageDrop) -> None:
        """Drop a group that nobody wants any more."""
        self.owned.pop(message.group, None)
        gatherer = self._gatherer(message.service_name)
        if gatherer is not None:
            gatherer.drop(message.group)

    def on_release(self, message: model.StageRelease) -> None:
        """Free results at their runners."""
        self._queue_release(message.handles)

    def _gatherer(self, service: str) -> relay.Gatherer | None:
        configuration = self.catalog.configuration
        spec = configuration.services.get(service) if configuration else None
        if spec is None or spec.batch is None:
            return self.gatherers.get(service)
        known = self.gatherers.get(service)
        if known is None:
            known = self.gatherers[service] = relay.Gatherer(spec.batch)
        known.limits = spec.batch
        return known

    def _gather(
        self, service: str, group: relay.PieceGroup, origin: str | None
    ) -> None:
        gatherer = self._gatherer(service)
        self.owned[group.group_id] = _Owned(service, origin, len(group.work))
        if gatherer is None:
            self._settle(group, [w.piece for w in group.work], 'error')
            return
        self.budget.on_request(service, self.reactor.seconds())
        gatherer.add(group)
        self.pump_soon(service, 0.0)

    def pump_soon(self, service: str, delay_s: float) -> None:
        """Form calls of what waits for a service after a delay."""
        timer = self.pump_timers.get(service)
        if timer is not None and timer.active():
            if timer.getTime() <= self.reactor.seconds() + delay_s:
                return
            timer.cancel()
        self.pump_timers[service] = self.reactor.callLater(
            delay_s, self._pump, service
        )

    def _check_room(self, gatherer: relay.Gatherer, runners: Any) -> None:
        """Ask runners for their room where others' results may lie."""
        now = self.reactor.seconds()
        for runner in runners:
            due = self.room_checks.get(runner.name, -math.inf)
            if now < due or not gatherer.is_room_unclear(runner.name, now):
                continue
            self.room_checks[runner.name] = now + ROOM_CHECK_S
            request = self.dialect.room_request(runner.address)
            done = _client.fetch(
                self.caller, runner.address, request, ROOM_CHECK_S
            )
            done.addCallback(self._on_room, gatherer, runner)
            done.addErrback(self._on_room_error, runner)

    def _on_room(
        self,
        response: _messages.HttpResponse,
        gatherer: relay.Gatherer,
        runner: relay.FleetRunner,
    ) -> None:
        free_bytes = self.dialect.read_room(response)
        gatherer.on_room(runner.name, free_bytes)
        foreign = gatherer.foreign_bytes[runner.name]
        if foreign:
            self.logger.info(
                'foreign-results',
                runner=runner.name,
                free_bytes=int(free_bytes),
                foreign_bytes=int(foreign),
            )

    def _on_room_error(self, failure: Any, runner: relay.FleetRunner) -> None:
        failure.trap(_client.CallError, model.WireError)
        self.logger.info(
            'room-unknown',
            runner=runner.name,
            detail=failure.getErrorMessage(),
        )

    def _pump(self, service: str) -> None:
        gatherer = self._gatherer(service)
        if gatherer is None:
            return
        now = self.reactor.seconds()
        runners = self.catalog.fleet.usable(service, now)
        for piece in gatherer.take_hopeless(len(runners), now):
            self._settle(piece.group, [piece.work.piece], 'late')
        if gatherer.queue:
            self._check_room(gatherer, runners)
        for call in gatherer.next_calls(runners, now):
            self._send(service, gatherer, call)
        if gatherer.queue:
            self.pump_soon(service, 0.05)

    def _send(
        self, service: str, gatherer: relay.Gatherer, call: relay.BatchCall
    ) -> None:
        request = self.dialect.stage_request(call, self.reactor.seconds())
        call.runner.state.on_dispatch()
        for piece in call.pieces:
            piece.group.sends += 1
        self._log_call(service, gatherer, call)
        done = _client.fetch(
            self.caller, call.runner.address, request, call.patience_s
        )
        done.addCallbacks(
            self._on_answer,
            self._on_error,
            callbackArgs=(service, gatherer, call),
            errbackArgs=(service, gatherer, call),
        )
        done.addErrback(self._on_defect)

    def _log_call(
        self, service: str, gatherer: relay.Gatherer, call: relay.BatchCall
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
            waiting=len(gatherer.queue),
            used_bytes=int(gatherer.used_bytes.get(call.runner.name, 0)),
            slowness=round(call.runner.slowness, 2),
        )

    def _on_defect(self, failure: Any) -> None:
        self.logger.error('defect', detail=failure.getTraceback()[-1500:])

    def _on_answer(
        self,
        response: _messages.HttpResponse,
        service: str,
        gatherer: relay.Gatherer,
        call: relay.BatchCall,
    ) -> None:
        now = self.reactor.seconds()
        reply = self.dialect.read_reply(response, '')
        state = call.runner.state
        if reply.load is not None:
            state.on_report(reply.load, now)
        if response.status != 200:
            if reply.is_misdirected:
                call.runner.is_misdirected = True
            state.on_failure(model.CallFailure.OVERLOADED, now)
            state.avoid_until = max(state.avoid_until, now + FULL_PAUSE_S)
            self._again(service, gatherer, call, f'status {response.status}')
            return
        try:
            results = self.dialect.read_stage_reply(response, len(call.pieces))
        except model.WireError as error:
            state.on_failure(model.CallFailure.PROTOCOL, now)
            self._again(service, gatherer, call, str(error))
            return
        state.on_result(now - call.sent_at, now - call.sent_at, now)
        gatherer.on_answer(call, [r.handle for r in results], now)
        self._on_results(service, gatherer, call, results)

    def _on_results(
        self,
        service: str,
        gatherer: relay.Gatherer,
        call: relay.BatchCall,
        results: Any,
    ) -> None:
        made: dict[str, list[model.PieceOutcome]] = {}
        again: list[relay.QueuedPiece] = []
        unwanted: list[str] = []
        for piece, result in zip(call.pieces, results, strict=True):
            self.metrics.pieces.labels(service, result.result).inc()
            group_id = piece.group.group_id
            if result.result != _dialect.PieceResult.MADE:
                self.logger.info(
                    'piece-not-made',
                    request=piece.work.request_id,
                    service=service,
                    stage=piece.work.stage,
                    piece=piece.work.piece,
                    runner=call.runner.name,
                    result=result.result,
                    wanted=group_id in self.owned,
                )
            retry = (_dialect.PieceResult.ROOM, _dialect.PieceResult.ERROR)
            if group_id not in self.owned:
                if result.handle:
                    unwanted.append(result.handle)
            elif result.result in retry:
                if result.result == _dialect.PieceResult.ROOM:
                    size = piece.group.result_bytes
                    gatherer.on_no_room(call, size, self.reactor.seconds())
                again.append(piece)
            else:
                reason = None if result.handle else str(result.result)
                made.setdefault(group_id, []).append(
                    model.PieceOutcome(piece.work.piece, result.handle, reason)
                )
        if unwanted:
            self._queue_release(unwanted)
        for group_id, outcomes in made.items():
            self._deliver(group_id, outcomes)
        self._requeue(service, gatherer, again, 'room or error')
        self.pump_soon(service, 0.0)

    def _on_error(
        self,
        failure: Any,
        service: str,
        gatherer: relay.Gatherer,
        call: relay.BatchCall,
    ) -> None:
        failure.trap(_client.CallError)
        now = self.reactor.seconds()
        problem = failure.value.problem
        if problem == _client.CallProblem.NOT_CONNECTED:
            kind = model.CallFailure.UNREACHABLE
        elif problem == _client.CallProblem.CANCELLED:
            kind = model.CallFailure.SILENT
            call.runner.slowness = min(call.runner.slowness * 2, 16.0)
            call.runner.state.avoid_until = now + call.patience_s
        else:
            kind = model.CallFailure.LOST
            call.runner.state.avoid_until = now + FULL_PAUSE_S
        call.runner.state.on_failure(kind, now)
        self._again(service, gatherer, call, str(failure.value))

    def _again(
        self,
        service: str,
        gatherer: relay.Gatherer,
        call: relay.BatchCall,
        reason: str,
    ) -> None:
        gatherer.on_failure(call)
        self.logger.info(
            'stage-call-failed',
            service=service,
            runner=call.runner.name,
            pieces=len(call.pieces),
            reason=reason,
        )
        wanted = [p for p in call.pieces if p.group.group_id in self.owned]
        self._requeue(service, gatherer, wanted, reason)
        self.pump_soon(service, 0.0)

    def _requeue(
        self,
        service: str,
        gatherer: relay.Gatherer,
        pieces: list[relay.QueuedPiece],
        reason: str,
    ) -> None:
        now = self.reactor.seconds()
        for piece in pieces:
            group = piece.group
            within = group.sends < MAX_SENDS * len(group.work)
            if within and self.budget.take(service, now):
                gatherer.queue.append(piece)
            else:
                self._settle(group, [piece.work.piece], 'error')

    def _settle(
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
        owned.left -= len(outcomes)
        owned.outcomes += outcomes
        if owned.left <= 0:
            del self.owned[group_id]
        if owned.origin is None:
            self._on_outcomes(group_id, outcomes)
            return
        if owned.left <= 0:
            self.finished[group_id] = owned
            while len(self.finished) > MAX_FINISHED:
                self.finished.popitem(last=False)
        self._reply(group_id, owned, outcomes)

    def _reply(
        self,
        group_id: str,
        owned: _Owned,
        outcomes: list[model.PieceOutcome],
    ) -> None:
        if owned.origin is None:
            return
        wait_s = self._wait_here(owned.service)
        reply = model.StageReply(group_id, owned.service, outcomes, wait_s)
        self.send_peer(model.SendPeer(owned.origin, reply))

    def _queue_release(self, handles: list[str]) -> None:
        for handle in handles:
            address = self.dialect.handle_address(handle)
            self.releases.setdefault(address, []).append(handle)
        is_awaited = any(g.queue for g in self.gatherers.values())
        delay_s = 0.0 if is_awaited else RELEASE_DELAY_S
        if self.release_timer is None:
            self.release_timer = self.reactor.callLater(
                delay_s, self._send_releases
            )

    def _send_releases(self) -> None:
        self.release_timer = None
        releases, self.releases = self.releases, {}
        for address, handles in releases.items():
            request = self.dialect.release_request(address, handles)
            done = _client.fetch(
                self.caller, address, request, RELEASE_TIMEOUT_S
            )
            # A result that is not freed goes by itself in a few seconds.
            done.addErrback(
                lambda failure: self.logger.info(
                    'release-failed', detail=failure.getErrorMessage()
                )
            )
            done.addCallback(self._on_released, handles)

    def _on_released(self, _: object, handles: list[str]) -> None:
        """Count room as free once its runner has freed it, not before."""
        for service, gatherer in self.gatherers.items():
            gatherer.release(handles)
            if gatherer.queue:
                self.pump_soon(service, 0.0)
