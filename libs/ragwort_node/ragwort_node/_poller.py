"""Asking idle runners for their load, so that leaving ones are noticed.

Each runner is watched by the node that owns it on a consistent-hash ring
with several points per node; a call's reply counts as an answer, too.
What a node learns of a leaving runner goes to the others by gossip.
"""

import bisect

import ragwort_model as model
from ragwort_node import _control

POLL_INTERVAL_S = 1.8
POINTS_PER_NODE = 16


class RunnerPoller:
    """Decide which runners this node asks, and when."""

    def __init__(self, control: _control.ControlPlane, host: str) -> None:
        """Start with nothing heard."""
        self.control = control
        self.host = host
        self.heard_at: dict[str, float] = {}
        self.assigned: list[str] = []
        self.generation = (-1, -1)

    def on_heard(self, runner: str, now: float) -> None:
        """Note that a runner has just reported its state."""
        if runner in self.heard_at:
            self.heard_at[runner] = now

    def tick(self, now: float) -> list[model.ReadLoad]:
        """Return the runners to ask now."""
        self._refresh()
        runners = self.control.catalog.runners
        due: list[model.ReadLoad] = []
        for name in self.assigned:
            heard_at = self.heard_at.get(name)
            if heard_at is None or now - heard_at >= POLL_INTERVAL_S:
                self.heard_at[name] = now
                due.append(model.ReadLoad(runners[name]))
        return due

    def _refresh(self) -> None:
        """Assign runners anew once nodes or runners have changed."""
        catalog = self.control.catalog
        members = self.control.members
        generation = (catalog.generation, members.version)
        if generation == self.generation:
            return
        self.generation = generation
        names = [update.name for update in members.live()]
        ring = sorted(
            (model.stable_hash('poll', name, str(point)), name)
            for name in names
            for point in range(POINTS_PER_NODE)
        )
        places = [place for place, _ in ring]
        self.assigned = [
            runner
            for runner in sorted(catalog.runners)
            if _owner(ring, places, runner) == self.host
        ]
        known = set(self.assigned)
        self.heard_at = {
            n: at for n, at in self.heard_at.items() if n in known
        }


def _owner(ring: list[tuple[int, str]], places: list[int], runner: str) -> str:
    place = model.stable_hash('poll', runner)
    return ring[bisect.bisect(places, place) % len(ring)][1]
