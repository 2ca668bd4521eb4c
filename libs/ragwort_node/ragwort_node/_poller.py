"""Polling of idle runners for their load, to notice draining ones.

Each runner is polled by the node that owns it on a consistent-hash ring
with several points per node; the reply to a call counts as a poll, too.
The news of a draining runner reaches the other nodes by gossip.
"""

import bisect

import ragwort_model as model
from ragwort_node import _control

POLL_INTERVAL_S = 1.8
POINTS_PER_NODE = 16


class RunnerPoller:
    """Decide which runners this node polls, and when."""

    def __init__(self, control: _control.ControlPlane, host: str) -> None:
        """Start without assigned runners."""
        self.control = control
        self.host = host
        self.last_contact_at: dict[str, float] = {}
        self.assigned: list[str] = []
        self.generation = (-1, -1)

    def on_contact(self, runner: str, now: float) -> None:
        """Note that an assigned runner has just reported its state."""
        if runner in self.last_contact_at:
            self.last_contact_at[runner] = now

    def tick(self, now: float) -> list[model.ReadLoad]:
        """Return the load reads that are due."""
        self._reassign()
        runners = self.control.catalog.runners
        due: list[model.ReadLoad] = []
        for name in self.assigned:
            last_contact_at = self.last_contact_at.get(name)
            if (
                last_contact_at is None
                or now - last_contact_at >= POLL_INTERVAL_S
            ):
                self.last_contact_at[name] = now
                due.append(model.ReadLoad(runners[name]))
        return due

    def _reassign(self) -> None:
        """Assign the runners again after nodes or runners have changed."""
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
        ring_positions = [position for position, _ in ring]
        self.assigned = [
            runner
            for runner in sorted(catalog.runners)
            if _owner(ring, ring_positions, runner) == self.host
        ]
        assigned = set(self.assigned)
        self.last_contact_at = {
            n: at for n, at in self.last_contact_at.items() if n in assigned
        }


def _owner(
    ring: list[tuple[int, str]], ring_positions: list[int], runner: str
) -> str:
    position = model.stable_hash('poll', runner)
    return ring[bisect.bisect(ring_positions, position) % len(ring)][1]
