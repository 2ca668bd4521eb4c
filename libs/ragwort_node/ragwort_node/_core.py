"""The node as a sans-I/O object: events and the time in, effects out."""

import math
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
import ragwort_policy as policy
import ragwort_state as state
import ragwort_wire as wire

CLAIM_TIMEOUT_S = 3.0
STORE_RETRY_AFTER_S = 2.0
RESUMED_STREAM_LIFETIME_S = 60.0
DRAIN_MARGIN_S = 2.0
PLACEMENT_INTERVAL_S = 0.5
PEER_SUBSCRIBER_PREFIX = 'peer|'
MAX_LOGGED_OBJECTS = 20


class NodeCore:
    """State machine of a node, without sockets, clocks or logs.

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
        """Create a starting node without configuration or peers."""
        self.options = options
        self.rng = rng
        self.effects: list[_effects.Effect] = []
        self.control = _control.ControlPlane(options, rng, now, wall)
        self.dispatcher = _dispatcher.Dispatcher(options, self.control, rng)
        self.engine = _engine.Engine(self.dispatcher, rng, self.effects)
        self.placement_controllers: dict[
            str, _placement.PlacementController
        ] = {}
        self.poller = _poller.RunnerPoller(self.control, self.name)
        self.stream_follower = _stream_follower.StreamFollower(
            options.host.name, self.effects
        )
        self.state = _status.NodeState.STARTING
        # Set once the node leaves.
        self.drain: policy.Drain | None = None
        self.next_tick = now
        self.next_placement = now

    @property
    def name(self) -> str:
        """Return the node's name."""
        return self.options.host.name

    def _take_effects(self) -> list[_effects.Effect]:
        effects = [self._address_to_peer(effect) for effect in self.effects]
        self.effects.clear()
        return effects

    def _address_to_peer(self, effect: _effects.Effect) -> _effects.Effect:
        """Turn an answer for a following peer into a message to it."""
        if not isinstance(effect, model.AnswerCaller):
            return effect
        if not effect.subscriber.startswith(PEER_SUBSCRIBER_PREFIX):
            return effect
        _, address, token = effect.subscriber.split('|', 2)
        event = wire.encode_event(effect.event).decode()
        return model.SendPeerMessage(address, model.FollowEvent(token, event))

    def next_due(self) -> float:
        """Return the monotonic time at which tick is due next."""
        due = self.engine.timers.next_due()
        return self.next_tick if due is None else min(due, self.next_tick)

    def tick(self, now: float, wall: float) -> list[_effects.Effect]:
        """Handle due timers and run the periodic work."""
        while (timer := self.engine.timers.pop_due(now)) is not None:
            self.engine.on_timer(*timer, now)
        if now >= self.next_tick:
            self.next_tick = now + _control.TICK_S
            self._apply_control_effects(self.control.tick(now, wall), now)
            self.effects += self.poller.tick(now)
            self._tick_placement(now, wall)
            self._on_changes(now)
            self._update_state(now)
            self.engine.subscribers.send_heartbeats(
                self.engine.active.values(), now
            )
            live = frozenset(u.name for u in self.control.members.live())
            self.stream_follower.tick(now, live)
            for service in list(self.dispatcher.queues):
                self.engine.dispatch_queued(service, now)
        return self._take_effects()

    def _tick_placement(self, now: float, wall: float) -> None:
        """Run the placement controllers of all services."""
        if self.state == _status.NodeState.STARTING:
            return
        if now < self.next_placement:
            return
        self.next_placement = now + PLACEMENT_INTERVAL_S
        for service in self.control.catalog.services:
            controller = self.placement_controllers.get(service)
            if controller is None:
                controller = _placement.PlacementController(
                    service,
                    self.name,
                    self.control.replica,
                    self.control.store_era,
                    self.rng,
                )
                self.placement_controllers[service] = controller
            role = f'placement/{service}'
            elected = membership.is_elected(
                self.control.members, role, 1, None
            )
            shortfall = self._max_shortfall(service, now) if elected else 0.0
            self.effects += controller.tick(now, wall, elected, shortfall)

    def _max_shortfall(self, service: str, now: float) -> float:
        """Return the largest shortfall of the classes that use a service."""
        catalog = self.control.catalog
        tracker = self.dispatcher.attainment
        shortfalls = [
            tracker.shortfall(class_of_work.target, class_of_work.name, now)
            for class_of_work in catalog.classes.values()
            if class_of_work.pipeline in catalog.pipelines
            and service in catalog.pipelines[class_of_work.pipeline].stages
        ]
        return max(shortfalls, default=0.0)

    def on_load(
        self, event: model.LoadResult, now: float
    ) -> list[_effects.Effect]:
        """Handle the result of a load read."""
        runner = self.control.catalog.runners.get(event.runner)
        if runner is None:
            return []
        if event.report is not None:
            self._note_draining(event.runner, event.report, now)
            runner_state = self.dispatcher.runner_states.get(event.runner)
            if runner_state is not None:
                runner_state.on_report(event.report, now)
        controller = self.placement_controllers.get(runner.service)
        if controller is not None:
            controller.on_load(event, now)
        return self._take_effects()

    def _apply_control_effects(
        self, effects: list[_control.ControlEffect], now: float
    ) -> None:
        for effect in effects:
            if isinstance(effect, state.ClaimResolved):
                self._on_claim_resolved(effect, now)
            else:
                self.effects.append(effect)

    def _on_changes(self, now: float) -> None:
        """Log changes of members and configuration; drop removed runners."""
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
        for notice in self.control.take_restore_notices():
            decision = _effects.Decision(
                now,
                _effects.DecisionKind.CONFIGURATION,
                notice.subject,
                notice.rule,
                detail=notice.detail,
            )
            self.effects.append(decision)
        adopted = self.control.take_adopted()
        if adopted:
            self.dispatcher.drop_removed_runners()
        for stored in adopted[:MAX_LOGGED_OBJECTS]:
            name = stored.name.removeprefix(state.CONFIG_PREFIX)
            problem = self.control.catalog.problems.get(name)
            decision = _effects.Decision(
                now,
                _effects.DecisionKind.CONFIGURATION,
                stored.name,
                'kept-last-valid' if problem else 'in-force',
                detail=problem.text
                if problem
                else f'version {model.format_version(stored.version)}',
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
            and self.drain is not None
            and now >= self.drain.accept_until
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
        """Admit or refuse a request of a caller."""
        execution = self.engine.executions.get(request.key)
        if execution is not None:
            self._attach_repeated(execution, request, subscriber)
            return self._take_effects()
        refusal = self._try_admit(request, subscriber, now, wall)
        if refusal is not None:
            self._refuse(request.key, subscriber, refusal, now)
        return self._take_effects()

    def _attach_repeated(
        self,
        execution: _execution.Execution,
        request: model.Request,
        subscriber: str,
    ) -> None:
        """Attach a repeated submission to the request that it repeats."""
        if execution.request.digest == request.digest:
            self.engine.subscribers.attach(execution, subscriber, 0, self.name)
            return
        effect = _effects.RefuseCaller(
            subscriber,
            request.key,
            _effects.RefusalKind.KEY_REUSED,
            'the key was used with another body; take a new key',
        )
        self.effects.append(effect)

    def _try_admit(
        self, request: model.Request, subscriber: str, now: float, wall: float
    ) -> _admission.Refusal | None:
        refusal = self._check_state()
        if refusal is not None:
            return refusal
        plan = _admission.resolve_plan(self.control, request)
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
            min(now + request.deadline_s, self._answers_due_at),
            request.input,
            model.new_nonce(self.rng),
            stage_started_at=now,
            last_event_at=now,
        )
        refusal = _admission.check_drain(
            self.dispatcher, execution, self.drain, now
        ) or _admission.check_capacity(
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

    @property
    def _answers_due_at(self) -> float:
        """Return when a leaving node has answered all requests."""
        return math.inf if self.drain is None else self.drain.answers_due_at

    def _check_state(self) -> _admission.Refusal | None:
        if self.state == _status.NodeState.STARTING:
            return _admission.Refusal(
                _effects.RefusalKind.NOT_READY,
                self.not_ready() or 'starting',
                _admission.BUSY_RETRY_AFTER_S,
            )
        if self.state == _status.NodeState.REFUSING:
            return _admission.LEAVING
        return None

    def _admit(
        self,
        execution: _execution.Execution,
        plan: _admission.RequestPlan,
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
        self._apply_control_effects(effects, now)

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
        effect = _effects.RefuseCaller(
            subscriber,
            key,
            refusal.kind,
            refusal.detail,
            refusal.retry_after_s,
        )
        self.effects.append(effect)

    def _on_claim_resolved(
        self, resolved: state.ClaimResolved, now: float
    ) -> None:
        """Start, end or hand off a request once its claim is resolved."""
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
                    STORE_RETRY_AFTER_S,
                )
            case model.ClaimStatus.TAKEN:
                self._on_claim_taken(execution, resolved.standing, now)
            case model.ClaimStatus.LOST:
                self.engine.finish(
                    execution,
                    model.Outcome.UNKNOWN,
                    'the store lost recent claims, perhaps one of this key',
                    now,
                )

    def _on_claim_taken(
        self,
        execution: _execution.Execution,
        standing: model.Claim | None,
        now: float,
    ) -> None:
        """Follow the request that holds the claim if its host is alive."""
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
        self._follow_claim_holder(execution, standing.host, now)

    def _follow_claim_holder(
        self, execution: _execution.Execution, host: str, now: float
    ) -> None:
        """Drop an undispatched request and let its callers follow host."""
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
        """Resume an answer stream that runs here or on the given host."""
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
                now + RESUMED_STREAM_LIFETIME_S,
                accepted_sent=False,
            )
        else:
            effect = _effects.RefuseCaller(
                subscriber,
                key,
                _effects.RefusalKind.UNKNOWN_KEY,
                f'no stream of this key here, nor a live host {host!r}',
            )
            self.effects.append(effect)
        return self._take_effects()

    def detach(self, subscriber: str) -> list[_effects.Effect]:
        """Remove a subscriber whose connection is closed."""
        self.engine.subscribers.detach(self.engine.active.values(), subscriber)
        self.stream_follower.detach(subscriber)
        return self._take_effects()

    def on_runner(
        self,
        event: model.StageChunk
        | model.StageHeartbeat
        | model.StageEnd
        | model.StageFailed,
        now: float,
    ) -> list[_effects.Effect]:
        """Handle an event of a stage call."""
        match event:
            case model.StageChunk():
                self.engine.on_chunk(event, now)
            case model.StageHeartbeat():
                self.engine.on_heartbeat(event, now)
            case model.StageEnd():
                self._note_call_report(event.attempt, event.report, now)
                self.engine.on_end(event, now)
            case model.StageFailed():
                if event.report is not None:
                    self._note_call_report(event.attempt, event.report, now)
                self.engine.on_failed(event, now)
        return self._take_effects()

    def _note_call_report(
        self, ident: model.AttemptId, report: model.LoadReport, now: float
    ) -> None:
        """Handle the load report that came with the reply to a call."""
        execution = self.engine.active.get(ident.request_key)
        attempt = execution and execution.open_attempts.get(str(ident))
        if attempt:
            self._note_draining(attempt.state.runner.name, report, now)

    def _note_draining(
        self, runner: str, report: model.LoadReport, now: float
    ) -> None:
        """Publish a runner's draining state if it has changed."""
        self.poller.on_contact(runner, now)
        was_draining = runner in self.control.catalog.draining_runners
        if was_draining != report.draining:
            sign = state.drain_status_object(
                runner, report.draining, report.state_version
            )
            self.control.publish([sign], now)

    def on_peer(
        self, sender: str, message: model.PeerMessage, now: float, wall: float
    ) -> list[_effects.Effect]:
        """Handle a message of another node; sender is its peer address."""
        match message:
            case model.Follow():
                self._on_follow(sender, message)
            case model.FollowEvent():
                self.stream_follower.on_event(message, now)
            case _:
                effects = self.control.on_peer(sender, message, now, wall)
                self._apply_control_effects(effects, now)
        return self._take_effects()

    def _on_follow(self, sender: str, message: model.Follow) -> None:
        subscriber = f'{PEER_SUBSCRIBER_PREFIX}{sender}|{message.token}'
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
        """Handle the result of a store call."""
        self.control.observe_era(result.era, 'store', now)
        service = _placement.service_of_op(result.op)
        if service is not None:
            if service in self.placement_controllers:
                self.placement_controllers[service].on_store_result(
                    result, now
                )
            return self._take_effects()
        self._apply_control_effects(
            self.control.on_store_result(result, now), now
        )
        return self._take_effects()

    def begin_drain(self, now: float, wall: float) -> list[_effects.Effect]:
        """Leave the address lists; accept until cached lists expire."""
        if self.state in (
            _status.NodeState.DRAINING,
            _status.NodeState.REFUSING,
        ):
            return []
        self.state = _status.NodeState.DRAINING
        timeout_s = self.options.drain_timeout_s
        self.drain = policy.Drain(
            now,
            math.inf if timeout_s is None else timeout_s,
            self.options.address_ttl_s + DRAIN_MARGIN_S,
        )
        if timeout_s is not None:
            self.engine.shorten(self.drain.answers_due_at)
        self.control.members.set_accepting(False, now)
        self.effects += self.control.members.announce(wall)
        self._log_state(now, 'leaving')
        return self._take_effects()

    def is_drained(self) -> bool:
        """Tell whether all requests and followed streams have ended."""
        return (
            self.state == _status.NodeState.REFUSING
            and not self.engine.active
            and not self.stream_follower.streams
        )

    def is_drain_over(self, now: float) -> bool:
        """Tell whether the node has to stop with whatever is open."""
        return self.drain is not None and now >= self.drain.stop_at

    def leave(self, now: float, wall: float) -> list[_effects.Effect]:
        """Tell the other nodes that this one leaves."""
        self.effects += self.control.members.leave(now, wall)
        return self._take_effects()

    def addresses(
        self, failure_domain: str, caller: str
    ) -> list[model.MemberUpdate]:
        """Return the entry addresses for a caller, in order of preference."""
        return membership.entry_members(
            self.control.members, failure_domain, caller
        )

    def explain(self, key: str) -> list[_effects.Decision] | None:
        """Return the decisions on a request, None if its key is unknown."""
        execution = self.engine.executions.get(key)
        return None if execution is None else list(execution.decisions)

    def status(self, now: float) -> _status.NodeStatus:
        """Return the status of this node."""
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
            self.control.store_era.current,
        )

    def _class_statuses(self, now: float) -> list[_status.ClassStatus]:
        classes = self.control.catalog.classes
        attainment = self.dispatcher.attainment
        return [
            _status.class_status(class_of_work, attainment.record(name, now))
            for name, class_of_work in sorted(classes.items())
        ]

    def _runner_statuses(self, now: float) -> list[_status.RunnerStatus]:
        draining = self.control.catalog.draining_runners
        return [
            _status.runner_status(runner_state, name in draining, now)
            for name, runner_state in sorted(
                self.dispatcher.runner_states.items()
            )
        ]
