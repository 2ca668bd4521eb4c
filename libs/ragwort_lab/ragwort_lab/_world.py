"""Nodes, runners and a platform in one process and in virtual time.

Messages wait in one queue that can delay, drop and hold them. There is
no model of hosts or networks beyond that.
"""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import json
import random
from typing import Any

import ragwort_fakes as fakes
from ragwort_lab import _trace
import ragwort_model as model
import ragwort_node as node
import ragwort_state as state
import ragwort_wire as wire

PEER_DELAY_S = 0.001
RUNNER_DELAY_S = 0.0005
STORE_DELAY_S = 0.003
STORE_SLOW_S = 0.8
STORE_TIMEOUT_S = 2.0
PLATFORM_TICK_S = 0.02
CHECK_S = 0.25
RESUME_GRACE_S = 3.0
HOST_LIST_LAG_S = 3.0
WALL_START = 1_800_000_000.0
DOMAINS = ('fd-1', 'fd-2', 'fd-3', 'fd-4')

EffectHook = Callable[[str, node.Effect], None]


@dataclasses.dataclass(slots=True)
class NodeSlot:
    """A host on which a node runs, or is dead or paused.

    clock_offset keeps the monotonic clocks of nodes apart; wall_offset
    is how far the time of day is off.
    """

    options: node.NodeOptions
    core: node.NodeCore
    clock_offset: float
    epoch: int = 0
    alive: bool = True
    paused: bool = False
    held: list[Callable[[], None]] = dataclasses.field(default_factory=list)
    wall_offset: float = 0.0
    timer_at: float = -1.0
    draining: bool = False
    high_versions: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class RunnerSlot:
    """A runner, dead or alive, and its connections."""

    core: fakes.RunnerCore
    alive: bool = True
    timer_at: float = -1.0
    calls: dict[str, 'OpenCall'] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class OpenCall:
    """A call between a node and a runner."""

    node: str
    epoch: int
    attempt: model.AttemptId
    connection: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorldShape:
    """Size of a world and the speed of its services."""

    node_count: int = 4
    runners_per_service: int = 3
    regions: int = 1
    service_s: float = 0.02
    deviation: float = 0.0
    strategy: str = 'ragwort'
    slots: int = 8
    report_lag_s: float = 0.0
    address_ttl_s: float = 2.0
    workspaces: tuple[str, ...] = tuple(
        [*fakes.HOULE_WORKSPACES, *fakes.CAMPBELL_WORKSPACES]
    )
    count_bytes: bool = False


class World:
    """Carry effects from one object to the next in virtual time."""

    def __init__(
        self,
        seed: int,
        shape: WorldShape = WorldShape(),  # noqa: B008
        runners: dict[str, fakes.RunnerShape] | None = None,
        objects: fakes.Objects | None = None,
        costs: dict[str, float] | None = None,
    ) -> None:
        """Create everything; nothing runs before run_until."""
        self.seed = seed
        self.shape = shape
        self.rng = random.Random(seed)
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.counter = itertools.count()
        self.trace = _trace.Trace()
        self.platform = fakes.PlatformCore(2000.0, 300.0)
        self.hooks: list[EffectHook] = []
        self.cut: set[tuple[str, str]] = set()
        self.silent_links: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.deaf_callers: set[str] = set()
        self.peer_bytes: dict[str, int] = {}
        self.peer_messages: dict[str, int] = {}
        self.connections: dict[tuple[str, str], int] = {}
        self.subscribers: dict[str, _trace.Submission] = {}
        self.watchers: dict[str, tuple[str, int]] = {}
        self.pauses: list[tuple[str, float]] = []
        self.resumed_at: dict[str, float] = {}
        self.settled = False
        self.stored_since: dict[str, tuple[int, float]] = {}
        self.order_delays: dict[str, float] = {}
        shapes = runners or default_runners(shape)
        self.runners = {
            name: RunnerSlot(
                fakes.RunnerCore(name, s, random.Random(f'{seed}/{name}'))
            )
            for name, s in shapes.items()
        }
        self._load_platform(objects, costs or {})
        self.nodes: dict[str, NodeSlot] = {}
        self.names_by_address: dict[str, str] = {}
        for index in range(shape.node_count):
            self._add_node(index)
        self.at(0.0, self._tick_platform)
        self.at(CHECK_S, self._check_versions)

    def _load_platform(
        self, objects: fakes.Objects | None, costs: dict[str, float]
    ) -> None:
        runners: fakes.Objects = {}
        for index, (name, slot) in enumerate(self.runners.items()):
            runners[name] = {
                'service': slot.core.shape.service,
                'address': f'127.0.0.1:{index + 1}',
                'failure_domain': DOMAINS[index % len(DOMAINS)],
                'cost_rate': costs.get(name, 1.0),
                'checks_fencing': slot.core.shape.checks_fencing,
            }
        if objects is None:
            classes = {**fakes.HOULE_CLASSES, **fakes.CAMPBELL_CLASSES}
            objects = fakes.sample_objects(
                classes, list(self.shape.workspaces), {}
            )
        for name, content in objects.items():
            self.put_object(name, content)
        for name, content in runners.items():
            self.put_object(f'runner/{name}', content)

    def put_object(self, name: str, content: dict[str, Any]) -> int:
        """Set a configuration object and return its version."""
        text = model_text(fakes.named(name, content))
        return self.platform.put(state.CONFIG_PREFIX + name, text)

    def _add_node(self, index: int) -> None:
        name = f'node-{index + 1}'
        region = f'region-{index % self.shape.regions + 1}'
        host = model.EntryHost(
            name,
            f'127.1.{index // 250}.{index % 250 + 1}:80',
            f'127.2.{index // 250}.{index % 250 + 1}:90',
            DOMAINS[index % len(DOMAINS)],
            region,
        )
        self.names_by_address[host.peer_address] = name
        seeds = tuple(
            f'127.2.{i // 250}.{i % 250 + 1}:90'
            for i in range(min(4, self.shape.node_count))
        )
        options = node.NodeOptions(
            host,
            seeds,
            address_ttl_s=self.shape.address_ttl_s,
            strategy=self.shape.strategy,
        )
        clock_offset = 1000.0 * (index + 1)
        core = self._new_core(options, clock_offset, 0)
        self.nodes[name] = NodeSlot(options, core, clock_offset)
        self.at(self.rng.uniform(0.0, 0.1), lambda: self._tick_node(name))

    def _new_core(
        self, options: node.NodeOptions, clock_offset: float, epoch: int
    ) -> node.NodeCore:
        rng = random.Random(f'{self.seed}/{options.host.name}/{epoch}')
        return node.NodeCore(
            options, rng, self.now + clock_offset, self.wall()
        )

    def wall(self) -> float:
        """Return the true time of day in seconds."""
        return WALL_START + self.now

    def at(self, due: float, action: Callable[[], None]) -> None:
        """Do something at a time, in seconds since the start."""
        heapq.heappush(self.queue, (due, next(self.counter), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something after a delay."""
        self.at(self.now + delay_s, action)

    def run_until(self, end: float) -> None:
        """Carry out everything that is due before end."""
        while self.queue and self.queue[0][0] <= end:
            due, _, action = heapq.heappop(self.queue)
            self.now = due
            action()
        self.now = end

    def run_for(self, duration_s: float) -> None:
        """Carry out everything that is due within a duration."""
        self.run_until(self.now + duration_s)

    # Nodes

    def on_node(
        self, name: str, epoch: int, event: Callable[[NodeSlot], Any]
    ) -> None:
        """Hand an event to a node, later if it is paused."""
        slot = self.nodes[name]
        if not slot.alive or slot.epoch != epoch:
            return
        if slot.paused:
            slot.held.append(lambda: self.on_node(name, epoch, event))
            return
        effects = event(slot)
        self._perform(name, slot, effects)
        self._arm_node(name, slot)

    def _arm_node(self, name: str, slot: NodeSlot) -> None:
        due = max(slot.core.next_due() - slot.clock_offset, self.now)
        if slot.timer_at <= self.now or due < slot.timer_at:
            slot.timer_at = due
            self.at(due, lambda: self._tick_node(name))

    def _tick_node(self, name: str) -> None:
        slot = self.nodes[name]
        slot.timer_at = -1.0
        epoch = slot.epoch
        self.on_node(
            name, epoch, lambda s: s.core.tick(self.clock(s), self.day(s))
        )
        if slot.draining and slot.alive and slot.core.is_drained():
            self._exit_node(name, slot)

    def clock(self, slot: NodeSlot) -> float:
        """Return a node's monotonic time."""
        return self.now + slot.clock_offset

    def day(self, slot: NodeSlot) -> float:
        """Return a node's time of day."""
        return self.wall() + slot.wall_offset

    def kill(self, name: str) -> None:
        """End a node at once."""
        slot = self.nodes[name]
        slot.alive = False
        slot.held.clear()
        self.platform.forget(name)
        for submission in self.trace.submissions:
            current = submission.host == name and (
                submission.epoch == slot.epoch
            )
            if current and submission.told_at is None:
                submission.broken = True
        for runner in self.runners.values():
            for call in list(runner.calls.values()):
                if call.node == name:
                    self._cancel(runner, str(call.attempt))

    def restart(self, name: str) -> None:
        """Start a dead node anew on the same host, knowing nothing."""
        slot = self.nodes[name]
        if slot.alive:
            return
        slot.epoch += 1
        slot.alive = True
        slot.paused = False
        slot.draining = False
        slot.held.clear()
        slot.core = self._new_core(slot.options, slot.clock_offset, slot.epoch)
        slot.timer_at = -1.0
        self.after(0.0, lambda: self._tick_node(name))

    def pause(self, name: str) -> None:
        """Stop a node as SIGSTOP does; what reaches it is held."""
        self.nodes[name].paused = True
        self.pauses.append((name, self.now))

    def resume(self, name: str) -> None:
        """Let a paused node go on."""
        slot = self.nodes[name]
        slot.paused = False
        self.resumed_at[name] = self.now
        held, slot.held = slot.held, []
        for action in held:
            self.after(0.0, action)
        self.after(0.0, lambda: self._tick_node(name))

    def was_paused_lately(self, name: str, at: float) -> bool:
        """Tell whether a node was stopped within the leaving bound."""
        resumed_at = self.resumed_at.get(name)
        return resumed_at is not None and 0 <= at - resumed_at < RESUME_GRACE_S

    def drain(self, name: str) -> None:
        """Ask a node to leave, as SIGTERM does."""
        slot = self.nodes[name]
        slot.draining = True
        self.on_node(
            name,
            slot.epoch,
            lambda s: s.core.begin_drain(self.clock(s), self.day(s)),
        )

    def _exit_node(self, name: str, slot: NodeSlot) -> None:
        for submission in self.trace.submissions:
            current = submission.host == name and (
                submission.epoch == slot.epoch
            )
            if current and submission.told_at is None:
                self.trace.cut_by_drain.append(submission.key)
        effects = slot.core.leave(self.clock(slot), self.day(slot))
        self._perform(name, slot, effects)
        slot.alive = False

    def live_nodes(self) -> list[str]:
        """Return the names of nodes that run."""
        return [n for n, s in self.nodes.items() if s.alive and not s.paused]

    # Effects

    def _perform(
        self, name: str, slot: NodeSlot, effects: list[node.Effect]
    ) -> None:
        for effect in effects:
            for hook in self.hooks:
                hook(name, effect)
            match effect:
                case model.SendPeer():
                    self._send_peer(name, effect)
                case model.CallRunner():
                    self._call_runner(name, slot, effect)
                case model.CancelCall():
                    self._cancel_later(effect)
                case model.StoreCall():
                    self._call_store(name, slot, effect)
                case model.ReadLoad():
                    self._read_load(name, slot, effect)
                case model.SendOrder():
                    self._send_order(name, effect)
                case model.AnswerCaller():
                    self._answer(effect)
                case node.RefuseCaller():
                    self._refuse(effect)
                case node.Decision():
                    self.trace.decisions.append((name, effect))
                case node.Count():
                    self.trace.count(effect.name, effect.value)

    def _send_peer(self, name: str, effect: model.SendPeer) -> None:
        target = self.names_by_address.get(effect.address)
        if target is None:
            return
        sender = self.nodes[name].options.host.peer_address
        if self.shape.count_bytes:
            size = len(wire.encode_peer(sender, effect.message)) + 4
            self.peer_bytes[name] = self.peer_bytes.get(name, 0) + size
        self.peer_messages[name] = self.peer_messages.get(name, 0) + 1
        if effect.fresh:
            self.silent_links.discard((name, target))
        lost = (name, target) in self.cut or (
            (name, target) in self.silent_links
        )
        if lost or (self.loss and self.rng.random() < self.loss):
            return
        delay_s = PEER_DELAY_S * self.rng.uniform(0.5, 1.5)
        message = effect.message
        epoch = self.nodes[target].epoch
        self.after(
            delay_s,
            lambda: self.on_node(
                target,
                epoch,
                lambda s: s.core.on_peer(
                    sender, message, self.clock(s), self.day(s)
                ),
            ),
        )

    def _call_runner(
        self, name: str, slot: NodeSlot, effect: model.CallRunner
    ) -> None:
        attempt = effect.call.attempt
        runner = effect.runner.name
        pair = (name, runner)
        if effect.fresh:
            self.connections[pair] = self.connections.get(pair, 0) + 1
        connection = f'{name}>{runner}#{self.connections.get(pair, 0)}'
        self.trace.dispatches.append(
            _trace.Dispatch(
                self.now,
                name,
                slot.epoch,
                attempt.request_key,
                effect.call.service,
                runner,
                str(attempt),
            )
        )
        record = wire.decode_call(wire.encode_call(effect.call))
        opened = OpenCall(name, slot.epoch, attempt, connection)
        self.after(
            RUNNER_DELAY_S, lambda: self._arrive(runner, opened, record)
        )

    def _arrive(
        self, runner: str, opened: OpenCall, record: wire.CallRecord
    ) -> None:
        slot = self.runners[runner]
        if not slot.alive:
            self._fail_call(opened, model.CallFailure.UNREACHABLE)
            return
        self.trace.arrivals.append(
            _trace.Arrival(self.now, opened.node, runner)
        )
        slot.calls[record.attempt] = opened
        replies = slot.core.submit(record, opened.connection, self.now)
        self._send_replies(runner, replies)

    def _fail_call(self, opened: OpenCall, failure: model.CallFailure) -> None:
        event = model.StageFailed(opened.attempt, failure, failure.value)
        self._to_node(opened, event)

    def _to_node(
        self,
        opened: OpenCall,
        event: model.StageChunk
        | model.StageAlive
        | model.StageEnd
        | model.StageFailed,
    ) -> None:
        self.after(
            RUNNER_DELAY_S,
            lambda: self.on_node(
                opened.node,
                opened.epoch,
                lambda s: s.core.on_runner(event, self.clock(s)),
            ),
        )

    def _send_replies(
        self, runner: str, replies: list[fakes.RunnerReply]
    ) -> None:
        slot = self.runners[runner]
        for reply in replies:
            opened = slot.calls.get(reply.attempt)
            if opened is None:
                continue
            if reply.broken:
                self._fail_call(opened, model.CallFailure.LOST)
                continue
            assert reply.record is not None
            event = wire.result_event(opened.attempt, reply.record)
            self._to_node(opened, event)
        self._arm_runner(runner, slot)

    def _arm_runner(self, name: str, slot: RunnerSlot) -> None:
        due = slot.core.next_due()
        if due is None:
            return
        if slot.timer_at <= self.now or due < slot.timer_at:
            slot.timer_at = due
            self.at(due, lambda: self._tick_runner(name))

    def _tick_runner(self, name: str) -> None:
        slot = self.runners[name]
        slot.timer_at = -1.0
        if slot.alive:
            self._send_replies(name, slot.core.tick(self.now))

    def _cancel_later(self, effect: model.CancelCall) -> None:
        attempt = str(effect.attempt)
        for runner in self.runners.values():
            opened = runner.calls.get(attempt)
            if opened is None:
                continue
            pair = (opened.node, runner.core.name)
            # Closing the call closes its connection; the next is new.
            self.connections[pair] = self.connections.get(pair, 0) + 1
            cancel = functools.partial(self._cancel, runner, attempt)
            self.after(RUNNER_DELAY_S, cancel)
            return

    def _cancel(self, runner: RunnerSlot, attempt: str) -> None:
        if runner.alive:
            replies = runner.core.cancel(attempt, self.now)
            self._send_replies(runner.core.name, replies)

    def _read_load(
        self, name: str, slot: NodeSlot, effect: model.ReadLoad
    ) -> None:
        runner = self.runners[effect.runner.name]
        report = None
        if runner.alive:
            record = runner.core.load(self.now)
            report = wire.decode_load(wire.encode_json(record))
        event = model.LoadRead(effect.runner.name, report)
        epoch = slot.epoch
        self.after(
            2 * RUNNER_DELAY_S,
            lambda: self.on_node(
                name, epoch, lambda s: s.core.on_load(event, self.clock(s))
            ),
        )

    def _send_order(self, name: str, effect: model.SendOrder) -> None:
        self.after(RUNNER_DELAY_S, lambda: self._arrive_order(name, effect))

    def _arrive_order(self, name: str, effect: model.SendOrder) -> None:
        delay_s = self.order_delays.get(name)
        if delay_s is not None:
            self.after(delay_s, lambda: self._obey(effect))
        else:
            self._obey(effect)

    def _obey(self, effect: model.SendOrder) -> None:
        runner = self.runners[effect.runner.name]
        if not runner.alive:
            return
        core = runner.core
        highest = max((o.fencing for o in core.orders), default=0)
        obeyed = core.order(effect.order, self.now, self.wall())
        if obeyed and effect.order.fencing < highest:
            self.trace.order_violations.append(
                f'{effect.runner.name} obeyed fencing '
                f'{effect.order.fencing} after {highest}'
            )

    def kill_runner(self, name: str) -> None:
        """End a runner at once; its open calls break off."""
        slot = self.runners[name]
        slot.alive = False
        for opened in slot.calls.values():
            self._fail_call(opened, model.CallFailure.LOST)
        slot.calls.clear()
        slot.core.waiting.clear()
        slot.core.running.clear()

    def revive_runner(self, name: str) -> None:
        """Start a dead runner anew."""
        slot = self.runners[name]
        slot.alive = True
        if name in self.trace.drained_runners:
            # A process that was started anew does not leave.
            del self.trace.drained_runners[name]
            slot.core.undrain(self.now)

    def drain_runner(self, name: str) -> None:
        """Let a runner refuse new calls and finish those it has."""
        self.trace.drained_runners[name] = self.now
        self.runners[name].core.drain(self.now)
        item = f'{state.CONFIG_PREFIX}runner/{name}'
        content = json.loads(self.platform.objects[item].value or '')
        content['state'] = model.HostState.LEAVING
        self.platform.set_host(
            item, model_text(content), self.now, HOST_LIST_LAG_S
        )

    # Platform

    def _call_store(
        self, name: str, slot: NodeSlot, call: model.StoreCall
    ) -> None:
        slow = fakes.PlatformFault.SLOW in self.platform.faults
        delay_s = STORE_SLOW_S if slow else STORE_DELAY_S
        epoch = slot.epoch
        answered = [False]

        def arrive() -> None:
            token = f'{name}/{epoch}/{call.op}'
            result = self.platform.call(token, call, self.now)
            if result is None:
                self.watchers[token] = (name, epoch)
            else:
                self.after(delay_s, lambda: reply(result))

        def reply(result: model.StoreResult) -> None:
            if not answered[0]:
                answered[0] = True
                self._store_reply(name, epoch, result)

        def time_out() -> None:
            unavailable = model.StoreStatus.UNAVAILABLE
            reply(model.StoreResult(call.op, unavailable))

        self.after(delay_s, arrive)
        if not call.wait_s:
            self.after(STORE_TIMEOUT_S, time_out)

    def _store_reply(
        self, name: str, epoch: int, result: model.StoreResult
    ) -> None:
        self.on_node(
            name, epoch, lambda s: s.core.on_store(result, self.clock(s))
        )

    def _tick_platform(self) -> None:
        for answer in self.platform.tick(self.now):
            name, epoch = self.watchers.pop(answer.caller)
            reply = functools.partial(
                self._store_reply, name, epoch, answer.result
            )
            self.after(STORE_DELAY_S, reply)
        self.after(PLATFORM_TICK_S, self._tick_platform)

    # Callers

    def submit(
        self,
        name: str,
        class_of_work: str,
        text: str,
        workspace: str = 'app',
        key: str | None = None,
        deadline_s: float | None = None,
    ) -> _trace.Submission:
        """Send a request to a node and return where its answer lands."""
        classes = {**fakes.HOULE_CLASSES, **fakes.CAMPBELL_CLASSES}
        if deadline_s is None:
            deadline_s = classes[class_of_work][2]
        if key is None:
            key = model.request_key_at(self.wall(), self.rng)
        submission = self._new_submission(
            name, key, class_of_work, text, deadline_s
        )
        body = wire.encode_json(
            wire.CallerBody(
                class_of_work,
                workspace,
                key,
                max(1, int(deadline_s * 1000)),
                text,
            )
        )
        request = wire.parse_request(body)
        subscriber = self._subscribe(submission)
        self._deliver(
            submission,
            lambda s: s.core.submit(
                request, subscriber, self.clock(s), self.day(s)
            ),
        )
        return submission

    def resume_stream(
        self, name: str, submission: _trace.Submission
    ) -> _trace.Submission:
        """Ask a node for the rest of a stream that broke off."""
        resumed = self._new_submission(
            name,
            submission.key,
            submission.class_of_work,
            submission.text,
            submission.deadline_s,
        )
        resumed.resumed = True
        resumed.from_seq = len(submission.chunks)
        subscriber = self._subscribe(resumed)
        host = submission.accepted_host
        self._deliver(
            resumed,
            lambda s: s.core.follow(
                resumed.key,
                host,
                resumed.from_seq,
                subscriber,
                self.clock(s),
            ),
        )
        return resumed

    def _new_submission(
        self,
        name: str,
        key: str,
        class_of_work: str,
        text: str,
        deadline_s: float,
    ) -> _trace.Submission:
        submission = _trace.Submission(
            key,
            class_of_work,
            text,
            name,
            self.nodes[name].epoch,
            self.now,
            deadline_s,
        )
        self.trace.submissions.append(submission)
        return submission

    def _subscribe(self, submission: _trace.Submission) -> str:
        subscriber = f'caller-{len(self.subscribers) + 1}'
        self.subscribers[subscriber] = submission
        return subscriber

    def _deliver(
        self,
        submission: _trace.Submission,
        event: Callable[[NodeSlot], Any],
    ) -> None:
        slot = self.nodes[submission.host]
        if not slot.alive:
            submission.broken = True
            return
        self.on_node(submission.host, slot.epoch, event)

    def _answer(self, effect: model.AnswerCaller) -> None:
        submission = self.subscribers[effect.subscriber]
        if submission.broken:
            return
        if submission.told_at is not None:
            submission.after_end += 1
            return
        match effect.event:
            case model.Accepted():
                submission.accepted_host = effect.event.host
            case model.Chunk():
                event = effect.event
                submission.chunks.append((event.seq, event.data))
            case model.End():
                submission.end = effect.event
                submission.told_at = self.now

    def _refuse(self, effect: node.RefuseCaller) -> None:
        submission = self.subscribers[effect.subscriber]
        if submission.told_at is not None:
            submission.after_end += 1
        submission.refusal = effect
        submission.told_at = self.now

    # Checks that must look all the time

    def _check_versions(self) -> None:
        for stored, held in self.platform.objects.items():
            seen = self.stored_since.get(stored)
            if seen is None or seen[0] != held.version:
                self.stored_since[stored] = (held.version, self.now)
        for name, slot in self.nodes.items():
            if not slot.alive or slot.core.state == node.NodeState.STARTING:
                continue
            in_force = slot.core.control.catalog.in_force
            for item, version in slot.high_versions.items():
                if in_force.get(item, 0) < version:
                    self.trace.version_falls.append(
                        f'{name}: {item} fell from {version} to '
                        f'{in_force.get(item, 0)} at {self.now:.2f}'
                    )
            slot.high_versions = dict(in_force)
        self.after(CHECK_S, self._check_versions)


def model_text(content: dict[str, Any]) -> str:
    """Return a document as the JSON that the platform keeps."""
    return json.dumps(content, sort_keys=True)


def default_runners(shape: WorldShape) -> dict[str, fakes.RunnerShape]:
    """Return equal runners of each sample service."""
    shapes: dict[str, fakes.RunnerShape] = {}
    for service, content in fakes.SERVICES.items():
        for index in range(shape.runners_per_service):
            shapes[f'{service}-{index + 1}'] = fakes.RunnerShape(
                service,
                model.ServiceKind(content['kind']),
                shape.slots,
                shape.service_s,
                deviation=shape.deviation,
                report_lag_s=shape.report_lag_s,
                checks_fencing=index % 2 == 1,
            )
    return shapes
