"""The node as a plain object: events and the time in, effects out."""

import random

import ragwort_membership as membership
import ragwort_model as model
from ragwort_node import _admission
from ragwort_node import _control
from ragwort_node import _dispatcher
from ragwort_node import _effects
from ragwort_node import _engine
from ragwort_node import _execution
from ragwort_node import _options
from ragwort_node import _placement
from ragwort_node import _poller
from ragwort_node import _status
from ragwort_node import _stream_follower
import ragwort_state as state
import ragwort_wire as wire

CLAIM_TIMEOUT_S = 3.0
STORE_RETRY_S = 2.0
RESUME_FOLLOW_S = 60.0
DRAIN_MARGIN_S = 2.0
PLACEMENT_TICK_S = 0.5
PEER_SUBSCRIBER = 'peer|'
MAX_LOGGED_OBJECTS = 20


class NodeCore:
    """One node without sockets, clocks or logs.

    Every method that takes an event returns the effects to carry out.
    now is monotonic time and wall the time of day, both in seconds.
    """

    def __init__(
        self,
        options: _options.NodeOptions,
        rng: random.Random,
        now: float,
        wall: float,
    ) -> None:
        """Create a node that knows nothing yet."""
        self.options = options
        self.rng = rng
        self.effects: list[_effects.Effect] = []
        self.control = _control.ControlPlane(options, rng, now, wall)
        self.dispatcher = _dispatcher.Dispatcher(options, self.control, rng)
        self.engine = _engine.Engine(self.dispatcher, rng, self.effects)
        self.keepers: dict[str, _placement.PlacementKeeper] = {}
        self.poller = _poller.RunnerPoller(self.control, self.name)
        self.stream_follower = _stream_follower.StreamFollower(
            options.host.name, self.effects
        )
        self.state = _status.NodeState.STARTING
        self.accept_until = 0.0
        self.next_tick = now
        self.next_placement = now

    @property
    def name(self) -> str:
        """Return the node's name."""
        return self.options.host.name

    def _flush(self) -> list[_effects.Effect]:
        effects = [self._localise(effect) for effect in self.effects]
        self.effects.clear()
        return effects

    def _localise(self, effect: _effects.Effect) -> _effects.Effect:
        """Turn answers for a following peer into messages to it."""
        if not isinstance(effect, model.AnswerCaller):
            return effect
        if not effect.subscriber.startswith(PEER_SUBSCRIBER):
            return effect
        _, address, token = effect.subscriber.split('|', 2)
        event = wire.encode_event(effect.event).decode()
        return model.SendPeerMessage(address, model.FollowEvent(token, event))

    def next_due(self) -> float:
        """Return when tick must be called next."""
        due = self.engine.timers.next_due()
        return self.next_tick if due is None else min(due, self.next_tick)

    def tick(self, now: float, wall: float) -> list[_effects.Effect]:
        """Do what is due."""
        while (timer := self.engine.timers.pop_due(now)) is not None:
            self.engine.on_timer(*timer, now)
        if now >= self.next_tick:
            self.next_tick = now + _control.TICK_S
            self._run_control(self.control.tick(now, wall), now)
            self.effects += self.poller.tick(now)
            self._tick_placement(now, wall)
            self._note_changes(now)
            self._update_state(now)
            self.engine.subscribers.send_heartbeats(
                self.engine.active.values(), now
            )
            live = frozenset(u.name for u in self.control.members.live())
            self.stream_follower.tick(now, live)
            for service in list(self.dispatcher.queues):
                self.engine.dispatch_queued(service, now)
        return self._flush()

    def _tick_placement(self, now: float, wall: float) -> None:
        """Look after the placement of the services assigned to this node."""
        if self.state == _status.NodeState.STARTING:
            return
        if now < self.next_placement:
            return
        self.next_placement = now + PLACEMENT_TICK_S
        for service in self.control.catalog.services:
            keeper = self.keepers.get(service)
            if keeper is None:
                keeper = _placement.PlacementKeeper(
                    service, self.name, self.control.replica, self.rng
                )
                self.keepers[service] = keeper
            role = f'placement/{service}'
            wanted = membership.is_elected(self.control.members, role, 1, None)
            shortfall = self._shortfall(service, now) if wanted else 0.0
            self.effects += keeper.tick(now, wall, wanted, shortfall)

    def _shortfall(self, service: str, now: float) -> float:
        """Return the largest shortfall of the classes that use a service."""
        catalog = self.control.catalog
        tracker = self.dispatcher.attainment
        shortfalls = [
            tracker.shortfall(work.target, work.name, now)
            for work in catalog.classes.values()
            if work.pipeline in catalog.pipelines
            and service in catalog.pipelines[work.pipeline].stages
        ]
        return max(shortfalls, default=0.0)

    def on_load(
        self, event: model.LoadResult, now: float
    ) -> list[_effects.Effect]:
        """Take a load report that was asked for."""
        runner = self.control.catalog.runners.get(event.runner)
        if runner is None:
            return []
        if event.report is not None:
            self._note_sign(event.runner, event.report, now)
            known = self.dispatcher.runner_states.get(event.runner)
            if known is not None:
                known.on_report(event.report, now)
        keeper = self.keepers.get(runner.service)
        if keeper is not None:
            keeper.on_load(event, now)
        return self._flush()

    def _run_control(
        self, effects: list[_control.ControlEffect], now: float
    ) -> None:
        for effect in effects:
            if isinstance(effect, state.ClaimResolved):
                self._on_claim_resolved(effect, now)
            else:
                self.effects.append(effect)

    def _note_changes(self, now: float) -> None:
        """Log what members and configuration have become."""
        for change in self.control.members.take_changes():
            update = change.update
            decision = _effects.Decision(
                now,
                _effects.DecisionKind.MEMBERSHIP,
                update.name,
                update.status.name.lower(),
                detail=f'incarnation {update.incarnation}, '
                f'accepting {update.accepting}',
            )
            self.effects.append(decision)
        adopted = self.control.take_adopted()
        if adopted:
            self.dispatcher.drop_removed_runners()
        for item in adopted[:MAX_LOGGED_OBJECTS]:
            name = item.name.removeprefix(state.CONFIG_PREFIX)
            problem = self.control.catalog.problems.get(name)
            decision = _effects.Decision(
                now,
                _effects.DecisionKind.CONFIGURATION,
                item.name,
                'kept-last-valid' if problem else 'in-force',
                detail=problem.text if problem else f'version {item.version}',
            )
            self.effects.append(decision)

    def not_ready(self) -> str:
        """Return why the node cannot serve, empty if it can."""
        if not self.control.replica.synced:
            return 'no configuration yet, neither from the store nor a peer'
        if not self.control.catalog.classes:
            return 'the configuration holds no class of work'
        return ''

    def _update_state(self, now: float) -> None:
        if self.state == _status.NodeState.STARTING and not self.not_ready():
            self.state = _status.NodeState.SERVING
            self.control.members.set_accepting(True, now)
            self._log_state(now, 'ready')
        elif (
            self.state == _status.NodeState.DRAINING
            and now >= self.accept_until
        ):
            self.state = _status.NodeState.REFUSING
            self._log_state(now, 'address-ttl-over')

    def _log_state(self, now: float, rule: str) -> None:
        decision = _effects.Decision(
            now, _effects.DecisionKind.DRAIN, self.name, rule, self.state
        )
        self.effects.append(decision)

    def submit(
        self, request: model.Request, subscriber: str, now: float, wall: float
    ) -> list[_effects.Effect]:
        """Take or refuse a request of a caller."""
        known = self.engine.executions.get(request.key)
        if known is not None:
            self._rejoin(known, request, subscriber)
            return self._flush()
        refusal = self._try_admit(request, subscriber, now, wall)
        if refusal is not None:
            self._refuse(request.key, subscriber, refusal, now)
        return self._flush()

    def _rejoin(
        self,
        known: _execution.Execution,
        request: model.Request,
        subscriber: str,
    ) -> None:
        """Let a repeated submission follow the request it repeats."""
        if known.request.digest == request.digest:
            self.engine.subscribers.attach(known, subscriber, 0, self.name)
            return
        refuse = _effects.RefuseCaller(
            subscriber,
            request.key,
            _effects.RefusalKind.KEY_REUSED,
            'the key was used with another body; take a new key',
        )
        self.effects.append(refuse)

    def _try_admit(
        self, request: model.Request, subscriber: str, now: float, wall: float
    ) -> _admission.Refusal | None:
        refusal = self._check_state()
        if refusal is not None:
            return refusal
        plan = _admission.find_plan(self.control, request)
        if isinstance(plan, _admission.Refusal):
            return plan
        refusal = _admission.check_key(
            self.options, request.key, wall
        ) or _admission.check_claimable(self.control, self.options, plan, now)
        if refusal is not None:
            return refusal
        execution = _execution.Execution(
            request,
            plan.class_of_work,
            plan.services,
            now,
            now + request.deadline_s,
            request.input,
            model.new_nonce(self.rng),
            stage_started_at=now,
            last_event_at=now,
        )
        refusal = _admission.check_capacity(
            self.dispatcher,
            self.options,
            execution,
            len(self.engine.active),
            now,
        )
        if refusal is not None:
            return refusal
        self._admit(execution, plan, subscriber, now)
        return None

    def _check_state(self) -> _admission.Refusal | None:
        if self.state == _status.NodeState.STARTING:
            return _admission.Refusal(
                _effects.RefusalKind.NOT_READY,
                self.not_ready() or 'starting',
                _admission.BUSY_RETRY_S,
            )
        if self.state == _status.NodeState.REFUSING:
            return _admission.Refusal(
                _effects.RefusalKind.DRAINING,
                'this node is leaving; ask for addresses again',
                0.0,
            )
        return None

    def _admit(
        self,
        execution: _execution.Execution,
        plan: _admission.Plan,
        subscriber: str,
        now: float,
    ) -> None:
        decision = _effects.Decision(
            now,
            _effects.DecisionKind.ADMISSION,
            execution.key,
            'admitted',
            detail=f'{plan.class_of_work.name} of '
            f'{execution.request.workspace}',
            estimate_s=self.dispatcher.estimate(execution, now).mean_s,
        )
        execution.record_decision(decision)
        self.effects.append(decision)
        self.engine.add(execution)
        self.engine.subscribers.attach(execution, subscriber, 0, self.name)
        if not plan.needs_claim:
            self.engine.start_stage(execution, now)
            return
        execution.phase = _execution.Phase.CLAIMING
        request = execution.request
        claim = model.Claim(
            request.key,
            request.workspace,
            request.digest,
            self.name,
            execution.claim_nonce,
        )
        expires_at = min(execution.deadline_at, now + CLAIM_TIMEOUT_S)
        effects = self.control.begin_claim(claim, now, expires_at)
        self._run_control(effects, now)

    def _refuse(
        self,
        key: str,
        subscriber: str,
        refusal: _admission.Refusal,
        now: float,
    ) -> None:
        decision = _effects.Decision(
            now,
            _effects.DecisionKind.ADMISSION,
            key,
            f'refused-{refusal.kind}',
            detail=refusal.detail,
        )
        self.effects.append(decision)
        self.effects.append(_effects.Count(f'refused.{refusal.kind}'))
        refuse = _effects.RefuseCaller(
            subscriber,
            key,
            refusal.kind,
            refusal.detail,
            refusal.retry_after_s,
        )
        self.effects.append(refuse)

    def _on_claim_resolved(
        self, resolved: state.ClaimResolved, now: float
    ) -> None:
        """Go on, or not, once a claim is settled."""
        execution = self.engine.active.get(resolved.claim.key)
        if execution is None:
            return
        claiming = execution.phase == _execution.Phase.CLAIMING
        if not claiming or execution.claim_nonce != resolved.claim.nonce:
            return
        decision = _effects.Decision(
            now,
            _effects.DecisionKind.CLAIM,
            execution.key,
            resolved.status.name.lower(),
            resolved.standing.host if resolved.standing else '',
        )
        execution.record_decision(decision)
        self.effects.append(decision)
        match resolved.status:
            case model.ClaimStatus.GRANTED:
                self.engine.start_stage(execution, now)
            case model.ClaimStatus.UNRESOLVED:
                self.engine.finish(
                    execution,
                    model.Outcome.NOT_RUN,
                    'the store did not confirm the claim in time',
                    now,
                    STORE_RETRY_S,
                )
            case model.ClaimStatus.TAKEN:
                self._on_taken(execution, resolved.standing, now)

    def _on_taken(
        self,
        execution: _execution.Execution,
        standing: model.Claim | None,
        now: float,
    ) -> None:
        """Follow the request that holds the claim, if it can be found."""
        assert standing is not None
        if standing.body_digest != execution.request.digest:
            reason = 'the key was used with another body; take a new key'
            outcome = model.Outcome.NOT_RUN
            self.engine.finish(execution, outcome, reason, now)
            return
        members = self.control.members
        if standing.host == self.name or not members.is_alive(standing.host):
            reason = f'host {standing.host} took it and no longer knows it'
            outcome = model.Outcome.UNKNOWN
            self.engine.finish(execution, outcome, reason, now)
            return
        self._hand_over(execution, standing.host, now)

    def _hand_over(
        self, execution: _execution.Execution, host: str, now: float
    ) -> None:
        """Let the callers of a never dispatched request follow host."""
        del self.engine.active[execution.key]
        del self.engine.executions[execution.key]
        address = self.control.members.members[host].update.peer_address
        for subscriber in execution.subscribers:
            self.stream_follower.follow(
                execution.key,
                host,
                address,
                subscriber,
                0,
                execution.request.digest,
                now,
                execution.deadline_at,
                accepted_sent=True,
            )

    def follow(
        self, key: str, host: str, from_seq: int, subscriber: str, now: float
    ) -> list[_effects.Effect]:
        """Resume an answer stream that host was said to run."""
        execution = self.engine.executions.get(key)
        members = self.control.members
        if execution is not None:
            self.engine.subscribers.attach(
                execution, subscriber, from_seq, self.name
            )
        elif host != self.name and members.is_alive(host):
            self.stream_follower.follow(
                key,
                host,
                members.members[host].update.peer_address,
                subscriber,
                from_seq,
                '',
                now,
                now + RESUME_FOLLOW_S,
                accepted_sent=False,
            )
        else:
            refuse = _effects.RefuseCaller(
                subscriber,
                key,
                _effects.RefusalKind.UNKNOWN_KEY,
                f'no stream of this key here, nor a live host {host!r}',
            )
            self.effects.append(refuse)
        return self._flush()

    def detach(self, subscriber: str) -> list[_effects.Effect]:
        """Note that a caller's connection is gone."""
        self.engine.subscribers.detach(self.engine.active.values(), subscriber)
        self.stream_follower.detach(subscriber)
        return self._flush()

    def on_runner(
        self,
        event: model.StageChunk
        | model.StageHeartbeat
        | model.StageEnd
        | model.StageFailed,
        now: float,
    ) -> list[_effects.Effect]:
        """Take an event of a stage call."""
        match event:
            case model.StageChunk():
                self.engine.on_chunk(event, now)
            case model.StageHeartbeat():
                self.engine.on_alive(event, now)
            case model.StageEnd():
                self._note_reply(event.attempt, event.report, now)
                self.engine.on_end(event, now)
            case model.StageFailed():
                if event.report is not None:
                    self._note_reply(event.attempt, event.report, now)
                self.engine.on_failed(event, now)
        return self._flush()

    def _note_reply(
        self, ident: model.AttemptId, report: model.LoadReport, now: float
    ) -> None:
        """Take the report that came with the reply to a call."""
        execution = self.engine.active.get(ident.request_key)
        attempt = execution and execution.open_attempts.get(str(ident))
        if attempt:
            self._note_sign(attempt.state.runner.name, report, now)

    def _note_sign(
        self, runner: str, report: model.LoadReport, now: float
    ) -> None:
        """Take a runner's own word on whether it is leaving."""
        self.poller.on_heard(runner, now)
        known = runner in self.control.catalog.draining_runners
        if known != report.draining:
            sign = state.drain_status_object(
                runner, report.draining, report.state_version
            )
            self.control.learn([sign], now)

    def on_peer(
        self, sender: str, message: model.PeerMessage, now: float, wall: float
    ) -> list[_effects.Effect]:
        """Take a message of another node, whose peer address is sender."""
        match message:
            case model.Follow():
                self._on_follow(sender, message)
            case model.FollowEvent():
                self.stream_follower.on_event(message, now)
            case _:
                effects = self.control.on_peer(sender, message, now, wall)
                self._run_control(effects, now)
        return self._flush()

    def _on_follow(self, sender: str, message: model.Follow) -> None:
        subscriber = f'{PEER_SUBSCRIBER}{sender}|{message.token}'
        execution = self.engine.executions.get(message.key)
        if execution is not None:
            seq = max(0, message.from_seq)
            self.engine.subscribers.attach(
                execution, subscriber, seq, self.name
            )
            return
        reason = f'host {self.name} no longer knows this key'
        end = model.End(message.key, model.Outcome.UNKNOWN, 0, '', reason)
        self.effects.append(model.AnswerCaller(subscriber, end))

    def on_store(
        self, result: model.StoreResult, now: float
    ) -> list[_effects.Effect]:
        """Take the end of a store call."""
        service = _placement.service_of(result.op)
        if service is not None:
            if service in self.keepers:
                self.keepers[service].result(result, now)
            return self._flush()
        self._run_control(self.control.on_store_result(result, now), now)
        return self._flush()

    def begin_drain(self, now: float, wall: float) -> list[_effects.Effect]:
        """Stop being listed; go on accepting while old answers are in use."""
        if self.state in (
            _status.NodeState.DRAINING,
            _status.NodeState.REFUSING,
        ):
            return []
        self.state = _status.NodeState.DRAINING
        self.accept_until = now + self.options.address_ttl_s + DRAIN_MARGIN_S
        self.control.members.set_accepting(False, now)
        self.effects += self.control.members.announce(wall)
        self._log_state(now, 'leaving')
        return self._flush()

    def is_drained(self) -> bool:
        """Tell whether nothing is left to finish."""
        return (
            self.state == _status.NodeState.REFUSING
            and not self.engine.active
            and not self.stream_follower.streams
        )

    def leave(self, now: float, wall: float) -> list[_effects.Effect]:
        """Tell the other nodes that this one is gone."""
        self.effects += self.control.members.leave(now, wall)
        return self._flush()

    def addresses(
        self, failure_domain: str, caller: str
    ) -> list[model.MemberUpdate]:
        """Return the entry addresses for a caller, best first."""
        return membership.entry_members(
            self.control.members, failure_domain, caller
        )

    def explain(self, key: str) -> list[_effects.Decision] | None:
        """Return the decisions on a request, None if it is not known."""
        execution = self.engine.executions.get(key)
        return None if execution is None else list(execution.decisions)

    def status(self, now: float) -> _status.NodeStatus:
        """Return what this node reports of itself."""
        catalog = self.control.catalog
        adopted_at = self.control.replica.adopted_at
        prefix = state.CONFIG_PREFIX
        return _status.NodeStatus(
            self.name,
            self.state,
            self.not_ready(),
            self.control.members.live(),
            dict(sorted(catalog.in_force.items())),
            {
                name: now - adopted_at[prefix + name]
                for name in sorted(catalog.in_force)
                if prefix + name in adopted_at
            },
            {name: p.text for name, p in sorted(catalog.problems.items())},
            self._class_statuses(now),
            self._runner_statuses(now),
            len(self.engine.active),
        )

    def _class_statuses(self, now: float) -> list[_status.ClassStatus]:
        classes = self.control.catalog.classes
        attainment = self.dispatcher.attainment
        return [
            _status.class_status(work, attainment.record(name, now))
            for name, work in sorted(classes.items())
        ]

    def _runner_statuses(self, now: float) -> list[_status.RunnerStatus]:
        draining = self.control.catalog.draining_runners
        return [
            _status.runner_status(known, name in draining, now)
            for name, known in sorted(self.dispatcher.runner_states.items())
        ]
