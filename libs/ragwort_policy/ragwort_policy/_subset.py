"""Which runners of a service a node uses.

Nodes and runners lie on one ring per failure domain. A node takes the
next runners clockwise and a runner is taken by the next nodes clockwise,
so that no runner is left out, and a join or loss moves only neighbours.
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
    """Return the runners that node uses; all if there are few."""
    known = sorted(runners, key=lambda runner: runner.name)
    if len(known) <= size:
        return known
    by_domain: dict[str, list[model.Runner]] = {}
    for runner in known:
        by_domain.setdefault(runner.failure_domain, []).append(runner)
    share = max(1, size // len(by_domain))
    positions = {name: model.stable_hash('ring', name) for name in nodes}
    positions.setdefault(node, model.stable_hash('ring', node))
    chosen: list[model.Runner] = []
    for domain in sorted(by_domain):
        chosen += _from_ring(node, positions, by_domain[domain], share)
    return chosen


def _from_ring(
    node: str,
    positions: dict[str, int],
    runners: list[model.Runner],
    share: int,
) -> list[model.Runner]:
    ring = sorted(
        (model.stable_hash('ring', runner.name), runner.name)
        for runner in runners
    )
    node_ring = sorted((place, name) for name, place in positions.items())
    own = node_ring.index((positions[node], node))
    start = bisect.bisect(ring, (positions[node], node))
    names = {
        ring[(start + step) % len(ring)][1]
        for step in range(min(share, len(ring)))
    }
    # Runners between the node that many places back and this one.
    back = node_ring[(own - NODES_PER_RUNNER) % len(node_ring)]
    everything = len(node_ring) <= NODES_PER_RUNNER
    for place, name in ring:
        if everything or _is_between(place, back[0], positions[node]):
            names.add(name)
    return [runner for runner in runners if runner.name in names]


def _is_between(place: int, low: int, high: int) -> bool:
    if low < high:
        return low < place <= high
    return place > low or place <= high
