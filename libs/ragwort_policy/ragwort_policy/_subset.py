"""Choice of the runners of a service that a node uses.

Nodes and runners are hashed onto one ring per failure domain. A node uses
the next runners clockwise, and a runner is used by the next nodes clockwise.
So every runner is used, and a join or loss affects only neighbours.
"""

import bisect
from collections.abc import Iterable

import ragwort_model as model

RUNNERS_PER_NODE = 16
NODES_PER_RUNNER = 3


def choose_subset(
    node: str,
    nodes: Iterable[str],
    runners: Iterable[model.Runner],
    size: int = RUNNERS_PER_NODE,
) -> list[model.Runner]:
    """Return the runners that a node uses: all of them if there are few."""
    known = sorted(runners, key=lambda runner: runner.name)
    if len(known) <= size:
        return known
    by_domain: dict[str, list[model.Runner]] = {}
    for runner in known:
        by_domain.setdefault(runner.failure_domain, []).append(runner)
    per_domain = max(1, size // len(by_domain))
    positions = {name: model.stable_hash('ring', name) for name in nodes}
    positions.setdefault(node, model.stable_hash('ring', node))
    chosen: list[model.Runner] = []
    for domain in sorted(by_domain):
        chosen += _choose_from_ring(
            node, positions, by_domain[domain], per_domain
        )
    return chosen


def _choose_from_ring(
    node: str,
    positions: dict[str, int],
    runners: list[model.Runner],
    count: int,
) -> list[model.Runner]:
    ring = sorted(
        (model.stable_hash('ring', runner.name), runner.name)
        for runner in runners
    )
    node_ring = sorted(
        (position, name) for name, position in positions.items()
    )
    own_index = node_ring.index((positions[node], node))
    start = bisect.bisect(ring, (positions[node], node))
    names = {
        ring[(start + step) % len(ring)][1]
        for step in range(min(count, len(ring)))
    }
    # Runners between the node NODES_PER_RUNNER positions back and this one.
    first = node_ring[(own_index - NODES_PER_RUNNER) % len(node_ring)]
    use_all = len(node_ring) <= NODES_PER_RUNNER
    for position, name in ring:
        if use_all or _is_between(position, first[0], positions[node]):
            names.add(name)
    return [runner for runner in runners if runner.name in names]


def _is_between(position: int, low: int, high: int) -> bool:
    if low < high:
        return low < position <= high
    return position > low or position <= high
