"""Slopes of the control plane over the number of nodes."""

import dataclasses
import json
import statistics
from typing import Any

import ragwort_fakes as fakes
from ragwort_lab import _world
from ragwort_lab import _world_parts
import ragwort_model as model
import ragwort_state as state

SIZES = (8, 40, 110, 330)
REGIONS = 4
SETTLE_S = 12.0
COLD_LIMIT_S = 90.0
COLD_SIZES = (8, 40, 110)
STEADY_S = 20.0
STEP_S = 0.05
WAIT_S = 30.0
LOSS = 0.1
RUNNERS_PER_SERVICE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ControlFigures:
    """Steady state of one node that serves no requests, per second."""

    nodes: int
    bytes_per_s: float
    messages_per_s: float
    core_s: float
    store_reads_per_s: float
    store_writes_per_s: float
    watches: int


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadFigures:
    """Seconds until a change was in force on every node."""

    nodes: int
    plain_s: float
    watcher_dead_s: float
    loss_s: float


def scale_world(nodes: int, seed: int = 1) -> _world.World:
    """Return a world of idle nodes in four regions, settled.

    The nodes know each other from the start: a fleet grows over weeks,
    and the start of all at once is measured by itself.
    """
    shape = _world_parts.WorldShape(
        nodes,
        RUNNERS_PER_SERVICE,
        regions=REGIONS,
        count_bytes=True,
    )
    world = _world.World(seed, shape)
    views = [slot.core.control.members for slot in world.nodes.values()]
    for view in views:
        view.set_accepting(True, 0.0)
    records = [view.own for view in views]
    for view in views:
        view.merge(records, 0.0)
        view.pending_updates.clear()
    world.run_until(SETTLE_S)
    return world


def cold_start_s(nodes: int, seed: int = 1) -> float:
    """Return how long nodes that start together take to all be known."""
    shape = _world_parts.WorldShape(
        nodes, RUNNERS_PER_SERVICE, regions=REGIONS
    )
    world = _world.World(seed, shape)
    while world.now < COLD_LIMIT_S:
        world.run_for(STEP_S * 10)
        listed = [
            len(slot.core.addresses('', '')) for slot in world.nodes.values()
        ]
        if min(listed) == nodes:
            return world.now
    return float('inf')


def measure_control(nodes: int) -> ControlFigures:
    """Measure a settled system without requests."""
    world = scale_world(nodes)
    for tally in (world.peer_bytes, world.peer_messages):
        tally.clear()
    reads = world.platform.read_count
    writes = world.platform.write_count
    world.node_time_s = 0.0
    world.run_for(STEADY_S)
    total = nodes * STEADY_S
    return ControlFigures(
        nodes,
        sum(world.peer_bytes.values()) / total,
        sum(world.peer_messages.values()) / total,
        world.node_time_s / total,
        (world.platform.read_count - reads) / STEADY_S,
        (world.platform.write_count - writes) / STEADY_S,
        len(world.platform.watches),
    )


def measure_spread(nodes: int) -> SpreadFigures:
    """Measure how long a change takes, alone and under faults."""
    return SpreadFigures(
        nodes,
        spread_s(scale_world(nodes)),
        spread_s(without_watchers(scale_world(nodes))),
        spread_s(with_loss(scale_world(nodes))),
    )


def without_watchers(world: _world.World) -> _world.World:
    """Kill the watchers at the moment of the change, one node stays."""
    for name, slot in world.nodes.items():
        watching = slot.core.control.watcher.pending_op is not None
        if watching and len(world.live_nodes()) > 1:
            world.kill(name)
    return world


def with_loss(world: _world.World) -> _world.World:
    """Lose one message in ten between nodes."""
    world.loss = LOSS
    return world


def with_lost_watches(world: _world.World) -> _world.World:
    """Lose the answers to all open watches at the moment of the change."""
    world.platform.lose_watches()
    return world


def spread_s(world: _world.World) -> float:
    """Change a target; return when all living nodes have it in force."""
    name = 'class/tide-question'
    pipeline, attainment, deadline_s, _ = fakes.HOULE_CLASSES['tide-question']
    content: dict[str, Any] = {
        'pipeline': pipeline,
        'target': {
            'attainment': attainment,
            'deadline_s': deadline_s,
            'cost': 7.0,
        },
    }
    version = world.put_object(name, content)
    began_at = world.now
    while world.now - began_at < WAIT_S:
        world.run_for(STEP_S)
        versions = [
            world.nodes[host].core.control.catalog.in_force.get(name, 0)
            for host in world.live_nodes()
        ]
        if min(versions) >= version:
            return world.now - began_at
    return float('inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """Straight line through measured points, and its largest miss."""

    base: float
    slope: float
    worst_error: float

    def at(self, size: float) -> float:
        """Return the line's value."""
        return self.base + self.slope * size


def fit_line(sizes: list[float], values: list[float]) -> Fit:
    """Fit a line by least squares; the error is relative."""
    slope, base = statistics.linear_regression(sizes, values)
    errors = [
        abs(base + slope * size - value) / max(abs(value), 1e-12)
        for size, value in zip(sizes, values, strict=True)
    ]
    return Fit(base, slope, max(errors))


def sample_runner(index: int, services: int, domains: int) -> fakes.Objects:
    """Return the configuration object of one runner of a large fleet."""
    name = f'runner-{index:05d}'
    content = {
        'service': f'model-{index % services:02d}',
        'address': f'10.{index // 62500}.{index // 250 % 250}.{index % 250}'
        ':8000',
        'failure_domain': f'domain-{index % domains:02d}',
        'cost_rate': 1.0,
    }
    return {f'runner/{name}': content}


def stored_objects(objects: fakes.Objects) -> list[model.StoredObject]:
    """Return configuration objects as a store would hand them out."""
    return [
        model.StoredObject(
            state.CONFIG_PREFIX + name,
            index + 1,
            json.dumps(fakes.with_name(name, content), sort_keys=True),
        )
        for index, (name, content) in enumerate(objects.items())
    ]
