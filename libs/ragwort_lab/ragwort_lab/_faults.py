"""Faults that can strike a world, in a registry.

A fault takes the world and the victim's names and returns what heals it.
"""

from collections.abc import Callable
import dataclasses

import ragwort_fakes as fakes
from ragwort_lab import _world
import ragwort_state as state

Heal = Callable[[], None]

ORDER_DELAY_S = 30.0
# Age of the copy from which the store returns, and how long it is away.
RESTORE_AGE_S = 2.0
RESTORE_GAP_S = 0.3
# Time until the operator has written again what the copy lacks.
REWRITE_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Victim:
    """The node and runner that the struck step belongs to."""

    node: str
    runner: str


Fault = Callable[[_world.World, Victim], Heal]

FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault under a name."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


def _nothing() -> None:
    """Heal nothing."""


def _runner_fault(
    kind: fakes.RunnerFault, value: float = 1.0
) -> Callable[[_world.World, Victim], Heal]:
    def strike(world: _world.World, victim: Victim) -> Heal:
        core = world.runners[victim.runner].core
        core.set_fault(kind, value)
        return lambda: core.set_fault(kind, 0.0)

    return strike


def _platform_fault(
    kind: fakes.PlatformFault,
) -> Callable[[_world.World, Victim], Heal]:
    def strike(world: _world.World, victim: Victim) -> Heal:
        world.platform.set_fault(kind, True)
        return lambda: world.platform.set_fault(kind, False)

    return strike


FAULTS['runner-slow'] = _runner_fault(fakes.RunnerFault.SLOW, 10.0)
FAULTS['runner-fails'] = _runner_fault(fakes.RunnerFault.FAIL)
FAULTS['runner-refuses'] = _runner_fault(fakes.RunnerFault.REFUSE)
FAULTS['runner-hangs'] = _runner_fault(fakes.RunnerFault.HANG)
FAULTS['silent-connection'] = _runner_fault(
    fakes.RunnerFault.SILENT_CONNECTION
)
FAULTS['crossed-reply'] = _runner_fault(fakes.RunnerFault.CROSS)
FAULTS['repeated-chunk'] = _runner_fault(fakes.RunnerFault.REPEAT)
FAULTS['lost-chunk'] = _runner_fault(fakes.RunnerFault.LOSE_CHUNK, 0.3)
FAULTS['reordered-chunk'] = _runner_fault(fakes.RunnerFault.REORDER, 0.5)
FAULTS['truncated-answer'] = _runner_fault(fakes.RunnerFault.TRUNCATE)
FAULTS['late-reply'] = _runner_fault(fakes.RunnerFault.LATE)
FAULTS['runner-breaks-off'] = _runner_fault(fakes.RunnerFault.DIE_MIDWAY, 0.3)
FAULTS['store-down'] = _platform_fault(fakes.PlatformFault.DOWN)
FAULTS['store-slow'] = _platform_fault(fakes.PlatformFault.SLOW)
FAULTS['store-answer-lost'] = _platform_fault(fakes.PlatformFault.LOSE_ANSWER)
FAULTS['store-conflict'] = _platform_fault(fakes.PlatformFault.CONFLICT)
FAULTS['stale-watch'] = _platform_fault(fakes.PlatformFault.STALE_WATCH)
FAULTS['stale-list'] = _platform_fault(fakes.PlatformFault.STALE_LIST)


@fault('runner-dies')
def kill_runner(world: _world.World, victim: Victim) -> Heal:
    """End the runner; it comes back later."""
    world.runner_side.kill(victim.runner)
    return lambda: world.runner_side.revive(victim.runner)


@fault('runner-leaves')
def drain_runner(world: _world.World, victim: Victim) -> Heal:
    """Let the runner leave for good."""
    world.runner_side.drain(victim.runner)
    return _nothing


@fault('node-dies')
def kill_node(world: _world.World, victim: Victim) -> Heal:
    """End the node; its host starts it anew."""
    world.kill(victim.node)
    return lambda: world.restart(victim.node)


@fault('node-paused')
def pause_node(world: _world.World, victim: Victim) -> Heal:
    """Stop the node for a while."""
    world.pause(victim.node)
    return lambda: world.resume(victim.node)


@fault('node-drains')
def drain_node(world: _world.World, victim: Victim) -> Heal:
    """Let the node leave and its host start it anew afterwards."""
    world.drain(victim.node)

    def heal() -> None:
        if world.nodes[victim.node].alive:
            world.after(1.0, heal)
        else:
            world.restart(victim.node)

    return heal


def _other(world: _world.World, victim: Victim) -> str:
    names = sorted(world.nodes)
    return names[(names.index(victim.node) + 1) % len(names)]


@fault('peer-dies')
def kill_peer(world: _world.World, victim: Victim) -> Heal:
    """End another node, which may own the shard of the claim."""
    other = _other(world, victim)
    world.kill(other)
    return lambda: world.restart(other)


@fault('peers-paused')
def pause_peers(world: _world.World, victim: Victim) -> Heal:
    """Stop all other nodes, every shard's owner among them."""
    others = [name for name in world.live_nodes() if name != victim.node]
    for name in others:
        world.pause(name)

    def heal() -> None:
        for name in others:
            world.resume(name)

    return heal


@fault('link-cut-one-way')
def cut_link(world: _world.World, victim: Victim) -> Heal:
    """Drop what the node sends to its peers; it still hears them."""
    pairs = {(victim.node, n) for n in world.nodes if n != victim.node}
    world.cut |= pairs

    def heal() -> None:
        world.cut -= pairs

    return heal


@fault('node-isolated')
def isolate_node(world: _world.World, victim: Victim) -> Heal:
    """Cut the node off from its peers, both ways."""
    others = [n for n in world.nodes if n != victim.node]
    pairs = {(victim.node, n) for n in others}
    pairs |= {(n, victim.node) for n in others}
    world.cut |= pairs

    def heal() -> None:
        world.cut -= pairs

    return heal


@fault('split')
def split_nodes(world: _world.World, victim: Victim) -> Heal:
    """Part the nodes into two halves that do not hear each other."""
    names = sorted(world.nodes)
    left, right = names[::2], names[1::2]
    pairs = {(a, b) for a in left for b in right}
    pairs |= {(b, a) for a, b in pairs}
    world.cut |= pairs

    def heal() -> None:
        world.cut -= pairs

    return heal


@fault('silent-peer-links')
def silence_links(world: _world.World, victim: Victim) -> Heal:
    """Let all open links of the node go silent; new ones work."""
    world.silent_links |= {
        (victim.node, n) for n in world.nodes if n != victim.node
    }
    return _nothing


@fault('peer-loss')
def lose_messages(world: _world.World, victim: Victim) -> Heal:
    """Lose three in ten messages between nodes."""
    world.loss = 0.3

    def heal() -> None:
        world.loss = 0.0

    return heal


@fault('clock-ahead')
def advance_clock(world: _world.World, victim: Victim) -> Heal:
    """Step the node's time of day ahead by a minute."""
    return _step_clock(world, victim, 60.0)


@fault('clock-behind')
def set_back_clock(world: _world.World, victim: Victim) -> Heal:
    """Step the node's time of day back by twenty minutes."""
    return _step_clock(world, victim, -1200.0)


def _step_clock(world: _world.World, victim: Victim, step_s: float) -> Heal:
    slot = world.nodes[victim.node]
    slot.wall_offset += step_s

    def heal() -> None:
        slot.wall_offset -= step_s

    return heal


@fault('all-restart')
def restart_all(world: _world.World, victim: Victim) -> Heal:
    """End all nodes at once; their hosts start them anew together."""
    for name in world.nodes:
        world.kill(name)

    def heal() -> None:
        for name in world.nodes:
            world.restart(name)

    return heal


@fault('hosts-and-store-down')
def restart_without_store(world: _world.World, victim: Victim) -> Heal:
    """Restart the node while the store is down."""
    world.platform.set_fault(fakes.PlatformFault.DOWN, True)
    world.kill(victim.node)
    world.after(0.5, lambda: world.restart(victim.node))
    return lambda: world.platform.set_fault(fakes.PlatformFault.DOWN, False)


@fault('orders-delayed')
def delay_orders(world: _world.World, victim: Victim) -> Heal:
    """Let the node's orders to runners arrive very late."""
    world.runner_side.order_delays[victim.node] = ORDER_DELAY_S

    def heal() -> None:
        world.runner_side.order_delays.pop(victim.node, None)

    return heal


@fault('store-restored')
def restore_store(world: _world.World, victim: Victim) -> Heal:
    """Let the store go for a moment and return as an older copy."""
    platform = world.platform
    platform.set_fault(fakes.PlatformFault.DOWN, True)
    latest = {
        name: item.value
        for name, item in platform.objects.items()
        if name.startswith(state.CONFIG_PREFIX)
    }

    def come_back() -> None:
        platform.set_fault(fakes.PlatformFault.DOWN, False)
        platform.restore(world.revision_at(world.now - RESTORE_AGE_S))
        world.after(REWRITE_DELAY_S, write_again)

    def write_again() -> None:
        for name, value in latest.items():
            held = platform.objects.get(name)
            if held is None or held.value != value:
                platform.put(name, value)

    world.after(RESTORE_GAP_S, come_back)
    return _nothing
