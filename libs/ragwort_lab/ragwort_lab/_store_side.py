"""Calls of nodes to the platform."""

import functools
import typing

import ragwort_fakes as fakes
from ragwort_lab import _world_parts
import ragwort_model as model

if typing.TYPE_CHECKING:
    from ragwort_lab import _world


class StoreSide:
    """Calls of nodes to the platform."""

    def __init__(self, world: '_world.World') -> None:
        """Belong to a world."""
        self.world = world
        self.watchers: dict[str, tuple[str, int]] = {}

    def call(
        self, name: str, slot: _world_parts.NodeSlot, call: model.StoreCall
    ) -> None:
        slow = fakes.PlatformFault.SLOW in self.world.platform.faults
        delay_s = (
            _world_parts.STORE_SLOW_S if slow else _world_parts.STORE_DELAY_S
        )
        epoch = slot.epoch
        answered = [False]

        def arrive() -> None:
            token = f'{name}/{epoch}/{call.op}'
            result = self.world.platform.call(token, call, self.world.now)
            if result is None:
                self.watchers[token] = (name, epoch)
            else:
                self.world.after(delay_s, lambda: reply(result))

        def reply(result: model.StoreResult) -> None:
            if not answered[0]:
                answered[0] = True
                self._store_reply(name, epoch, result)

        def time_out() -> None:
            unavailable = model.StoreStatus.UNAVAILABLE
            reply(model.StoreResult(call.op, unavailable))

        self.world.after(delay_s, arrive)
        if not call.wait_s:
            self.world.after(_world_parts.STORE_TIMEOUT_S, time_out)

    def _store_reply(
        self, name: str, epoch: int, result: model.StoreResult
    ) -> None:
        self.world.on_node(
            name, epoch, lambda s: s.core.on_store(result, self.world.clock(s))
        )

    def tick(self) -> None:
        for answer in self.world.platform.tick(self.world.now):
            name, epoch = self.watchers.pop(answer.caller)
            reply = functools.partial(
                self._store_reply, name, epoch, answer.result
            )
            self.world.after(_world_parts.STORE_DELAY_S, reply)
        self.world.after(_world_parts.PLATFORM_TICK_S, self.tick)
