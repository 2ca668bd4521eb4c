"""Nodes, runners and a platform in one process and in virtual time.

Messages wait in one queue that can delay, drop and hold them. There is
no model of hosts or networks beyond that.
"""

from collections.abc import Callable
import heapq
import itertools
import random
import time
from typing import Any

import ragwort_fakes as fakes
from ragwort_lab import _callers
from ragwort_lab import _runner_side
from ragwort_lab import _store_side
from ragwort_lab import _trace
from ragwort_lab import _world_parts
import ragwort_model as model
import ragwort_node as node
import ragwort_state as state
import ragwort_wire as wire

EffectHook = Callable[[str, node.Effect], None]


class World:
    """Carry effects from one object to the next in virtual time."""

    def __init__(
        self,
        seed: int,
        shape: _world_parts.WorldShape | None = None,
        runners: dict[str, fakes.RunnerShape] | None = None,
        objects: fakes.Objects | None = None,
        costs: dict[str, float] | None = None,
    ) -> None:
        """Create everything; nothing runs before run_until."""
        self.seed = seed
        self.shape = shape = shape or _world_parts.WorldShape()
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
        self.pauses: list[tuple[str, float]] = []
        self.resumed_at: dict[str, float] = {}
        self.settled = False
        self.callers = _callers.Callers(self)
        self.runner_side = _runner_side.RunnerSide(self)
        self.store_side = _store_side.StoreSide(self)
        self.node_time_s = 0.0
        self.stored_since: dict[str, tuple[int, float]] = {}
        self.revisions: list[tuple[float, int]] = [(0.0, 0)]
        shapes = runners or default_runners(shape)
        self.runners = {
            name: _world_parts.RunnerSlot(
                fakes.RunnerCore(name, s, random.Random(f'{seed}/{name}'))
            )
            for name, s in shapes.items()
        }
        self._load_platform(objects, costs or {})
        self.nodes: dict[str, _world_parts.NodeSlot] = {}
        self.names_by_address: dict[str, str] = {}
        for index in range(shape.node_count):
            self._add_node(index)
        self.at(0.0, self.store_side.tick)
        self.at(_world_parts.CHECK_S, self._check_versions)

    def _load_platform(
        self, objects: fakes.Objects | None, costs: dict[str, float]
    ) -> None:
        runners: fakes.Objects = {}
        for index, (name, slot) in enumerate(self.runners.items()):
            runners[name] = {
                'service': slot.core.shape.service,
                'address': f'127.0.0.1:{index + 1}',
                'failure_domain': _world_parts.DOMAINS[
                    index % len(_world_parts.DOMAINS)
                ],
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
        text = _world_parts.document_text(fakes.with_name(name, content))
        return self.platform.put(state.CONFIG_PREFIX + name, text)

    def _add_node(self, index: int) -> None:
        name = f'node-{index + 1}'
        region = f'region-{index % self.shape.regions + 1}'
        host = model.EntryHost(
            name,
            f'127.1.{index // 250}.{index % 250 + 1}:80',
            f'127.2.{index // 250}.{index % 250 + 1}:90',
            _world_parts.DOMAINS[index % len(_world_parts.DOMAINS)],
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
        self.nodes[name] = _world_parts.NodeSlot(options, core, clock_offset)
        self.at(self.rng.uniform(0.0, 0.1), lambda: self._tick_node(name))

    def _new_core(
        self, options: node.NodeOptions, clock_offset: float, epoch: int
    ) -> node.NodeCore:
        rng = random.Random(f'{self.seed}/{options.host.name}/{epoch}')
        return node.NodeCore(
            options, rng, self.now + clock_offset, self.wall()
        )

    def revision_at(self, at: float) -> int:
        """Return the store's revision as of a time, in whole checks."""
        return [revision for seen, revision in self.revisions if seen <= at][
            -1
        ]

    def wall(self) -> float:
        """Return the true time of day in seconds."""
        return _world_parts.WALL_START + self.now

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

    def on_node(
        self,
        name: str,
        epoch: int,
        event: Callable[[_world_parts.NodeSlot], Any],
    ) -> None:
        """Hand an event to a node, later if it is paused."""
        slot = self.nodes[name]
        if not slot.alive or slot.epoch != epoch:
            return
        if slot.paused:
            slot.held.append(lambda: self.on_node(name, epoch, event))
            return
        began_at = time.perf_counter()
        effects = event(slot)
        self.node_time_s += time.perf_counter() - began_at
        self._perform(name, slot, effects)
        self._arm_node(name, slot)

    def _arm_node(self, name: str, slot: _world_parts.NodeSlot) -> None:
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
        if (slot.draining and slot.alive) and (
            slot.core.is_drained() or slot.core.is_drain_over(self.clock(slot))
        ):
            self._exit_node(name, slot)

    def clock(self, slot: _world_parts.NodeSlot) -> float:
        """Return a node's monotonic time."""
        return self.now + slot.clock_offset

    def day(self, slot: _world_parts.NodeSlot) -> float:
        """Return a node's time of day."""
        return self.wall() + slot.wall_offset

    def kill(self, name: str) -> None:
        """End a node at once."""
        slot = self.nodes[name]
        slot.alive = False
        slot.held.clear()
        self.platform.drop_watches(name)
        for submission in self.trace.submissions:
            current = submission.host == name and (
                submission.epoch == slot.epoch
            )
            if current and submission.told_at is None:
                submission.broken = True
        for runner in self.runners.values():
            for call in list(runner.calls.values()):
                if call.node == name:
                    self.runner_side.cancel(runner, str(call.attempt))

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
        return (
            resumed_at is not None
            and 0 <= at - resumed_at < _world_parts.RESUME_GRACE_S
        )

    def drain(self, name: str) -> None:
        """Ask a node to leave, as SIGTERM does."""
        slot = self.nodes[name]
        slot.draining = True
        self.on_node(
            name,
            slot.epoch,
            lambda s: s.core.begin_drain(self.clock(s), self.day(s)),
        )

    def _exit_node(self, name: str, slot: _world_parts.NodeSlot) -> None:
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

    def _perform(
        self,
        name: str,
        slot: _world_parts.NodeSlot,
        effects: list[node.Effect],
    ) -> None:
        for effect in effects:
            for hook in self.hooks:
                hook(name, effect)
            match effect:
                case model.SendPeerMessage():
                    self._send_peer(name, effect)
                case model.CallRunner():
                    self.runner_side.call(name, slot, effect)
                case model.CancelCall():
                    self.runner_side.cancel_later(effect)
                case model.StoreCall():
                    self.store_side.call(name, slot, effect)
                case model.ReadLoad():
                    self.runner_side.read_load(name, slot, effect)
                case model.SendOrder():
                    self.runner_side.send_order(name, effect)
                case model.AnswerCaller():
                    self.callers.answer(effect)
                case node.RefuseCaller():
                    self.callers.refuse(effect)
                case node.Decision():
                    self.trace.decisions.append((name, effect))
                case node.Count():
                    self.trace.count(effect.name, effect.value)

    def _send_peer(self, name: str, effect: model.SendPeerMessage) -> None:
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
        delay_s = _world_parts.PEER_DELAY_S * self.rng.uniform(0.5, 1.5)
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

    def _check_versions(self) -> None:
        self.revisions.append((self.now, self.platform.revision))
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
        self.after(_world_parts.CHECK_S, self._check_versions)


def default_runners(
    shape: _world_parts.WorldShape,
) -> dict[str, fakes.RunnerShape]:
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
