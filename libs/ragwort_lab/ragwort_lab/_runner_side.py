"""Calls, replies and orders between nodes and runners."""

import functools
import json
import typing

import ragwort_fakes as fakes
from ragwort_lab import _trace
from ragwort_lab import _world_parts
import ragwort_model as model
import ragwort_state as state
import ragwort_wire as wire

if typing.TYPE_CHECKING:
    from ragwort_lab import _world


class RunnerSide:
    """Calls, replies and orders between nodes and runners."""

    def __init__(self, world: '_world.World') -> None:
        """Belong to a world."""
        self.world = world
        self.connections: dict[tuple[str, str], int] = {}
        self.order_delays: dict[str, float] = {}
        # Until when what a runner sends is held back.
        self.silent_until: dict[str, float] = {}

    def silence(self, name: str, for_s: float) -> None:
        """Hold back what a runner sends; it works on meanwhile."""
        self.silent_until[name] = self.world.now + for_s

    def call(
        self, name: str, slot: _world_parts.NodeSlot, effect: model.CallRunner
    ) -> None:
        attempt = effect.call.attempt
        runner = effect.runner.name
        pair = (name, runner)
        if effect.fresh:
            self.connections[pair] = self.connections.get(pair, 0) + 1
        connection = f'{name}>{runner}#{self.connections.get(pair, 0)}'
        self.world.trace.dispatches.append(
            _trace.Dispatch(
                self.world.now,
                name,
                slot.epoch,
                attempt.request_key,
                effect.call.service,
                runner,
                str(attempt),
            )
        )
        record = wire.decode_call(wire.encode_call(effect.call))
        opened = _world_parts.OpenCall(name, slot.epoch, attempt, connection)
        self.world.after(
            _world_parts.RUNNER_DELAY_S,
            lambda: self._arrive(runner, opened, record),
        )

    def _arrive(
        self,
        runner: str,
        opened: _world_parts.OpenCall,
        record: wire.CallRecord,
    ) -> None:
        slot = self.world.runners[runner]
        if not slot.alive:
            self._fail_call(opened, model.CallFailure.UNREACHABLE)
            return
        self.world.trace.arrivals.append(
            _trace.Arrival(self.world.now, opened.node, runner)
        )
        slot.calls[record.attempt] = opened
        replies = slot.core.submit(record, opened.connection, self.world.now)
        self._send_replies(runner, replies)

    def _fail_call(
        self, opened: _world_parts.OpenCall, failure: model.CallFailure
    ) -> None:
        event = model.StageFailed(opened.attempt, failure, failure.value)
        self._to_node(opened, event)

    def _to_node(
        self,
        opened: _world_parts.OpenCall,
        event: model.StageChunk
        | model.StageHeartbeat
        | model.StageEnd
        | model.StageFailed,
        held_s: float = 0.0,
    ) -> None:
        self.world.after(
            held_s + _world_parts.RUNNER_DELAY_S,
            lambda: self.world.on_node(
                opened.node,
                opened.epoch,
                lambda s: s.core.on_runner(event, self.world.clock(s)),
            ),
        )

    def _send_replies(
        self, runner: str, replies: list[fakes.RunnerReply]
    ) -> None:
        slot = self.world.runners[runner]
        held_s = self.silent_until.get(runner, 0.0) - self.world.now
        for reply in replies:
            opened = slot.calls.get(reply.attempt)
            if opened is None:
                continue
            if reply.aborts_connection:
                self._fail_call(opened, model.CallFailure.LOST)
                continue
            assert reply.record is not None
            event = wire.to_stage_event(opened.attempt, reply.record)
            self._to_node(opened, event, max(held_s, 0.0))
        self._arm_runner(runner, slot)

    def _arm_runner(self, name: str, slot: _world_parts.RunnerSlot) -> None:
        due = slot.core.next_due()
        if due is None:
            return
        if slot.timer_at <= self.world.now or due < slot.timer_at:
            slot.timer_at = due
            self.world.at(due, lambda: self._tick_runner(name))

    def _tick_runner(self, name: str) -> None:
        slot = self.world.runners[name]
        slot.timer_at = -1.0
        if slot.alive:
            self._send_replies(name, slot.core.tick(self.world.now))

    def cancel_later(self, effect: model.CancelCall) -> None:
        attempt = str(effect.attempt)
        for runner in self.world.runners.values():
            opened = runner.calls.get(attempt)
            if opened is None:
                continue
            pair = (opened.node, runner.core.name)
            # Closing the call closes its connection; the next is new.
            self.connections[pair] = self.connections.get(pair, 0) + 1
            cancel = functools.partial(self.cancel, runner, attempt)
            self.world.after(_world_parts.RUNNER_DELAY_S, cancel)
            return

    def cancel(self, runner: _world_parts.RunnerSlot, attempt: str) -> None:
        if runner.alive:
            replies = runner.core.cancel(attempt, self.world.now)
            self._send_replies(runner.core.name, replies)

    def read_load(
        self, name: str, slot: _world_parts.NodeSlot, effect: model.ReadLoad
    ) -> None:
        runner = self.world.runners[effect.runner.name]
        report = None
        if runner.alive:
            record = runner.core.load(self.world.now)
            report = wire.decode_load(wire.encode_json(record))
        event = model.LoadResult(effect.runner.name, report)
        epoch = slot.epoch
        self.world.after(
            2 * _world_parts.RUNNER_DELAY_S,
            lambda: self.world.on_node(
                name,
                epoch,
                lambda s: s.core.on_load(event, self.world.clock(s)),
            ),
        )

    def send_order(self, name: str, effect: model.SendOrder) -> None:
        self.world.after(
            _world_parts.RUNNER_DELAY_S,
            lambda: self._arrive_order(name, effect),
        )

    def _arrive_order(self, name: str, effect: model.SendOrder) -> None:
        delay_s = self.order_delays.get(name)
        if delay_s is not None:
            self.world.after(delay_s, lambda: self._obey(effect))
        else:
            self._obey(effect)

    def _obey(self, effect: model.SendOrder) -> None:
        runner = self.world.runners[effect.runner.name]
        if not runner.alive:
            return
        core = runner.core
        highest = max((o.fencing for o in core.orders), default=0)
        obeyed = core.apply_order(
            effect.order, self.world.now, self.world.wall()
        )
        if obeyed and effect.order.fencing < highest:
            self.world.trace.order_violations.append(
                f'{effect.runner.name} obeyed fencing '
                f'{effect.order.fencing} after {highest}'
            )

    def kill(self, name: str) -> None:
        """End a runner at once; its open calls break off."""
        slot = self.world.runners[name]
        slot.alive = False
        for opened in slot.calls.values():
            self._fail_call(opened, model.CallFailure.LOST)
        slot.calls.clear()
        slot.core.queued.clear()
        slot.core.running.clear()

    def revive(self, name: str) -> None:
        """Start a dead runner anew."""
        slot = self.world.runners[name]
        slot.alive = True
        if name in self.world.trace.drained_runners:
            # A process that was started anew does not leave.
            del self.world.trace.drained_runners[name]
            slot.core.undrain(self.world.now)

    def drain(self, name: str) -> None:
        """Let a runner refuse new calls and finish those it has."""
        self.world.trace.drained_runners[name] = self.world.now
        self.world.runners[name].core.drain(self.world.now)
        item = f'{state.CONFIG_PREFIX}runner/{name}'
        content = json.loads(self.world.platform.objects[item].value or '')
        content['state'] = model.HostState.LEAVING
        self.world.platform.set_host(
            item,
            _world_parts.document_text(content),
            self.world.now,
            _world_parts.HOST_LIST_LAG_S,
        )
