"""Queue of stage calls: fair between workspaces, most urgent first."""

import dataclasses

SHORTFALL_BONUS_S = 2.0


@dataclasses.dataclass(slots=True)
class QueuedCall:
    """A stage call waiting for a runner.

    latest_start is when it must start to have a chance; cost_s its
    expected work in seconds.
    """

    ident: str
    workspace: str
    class_of_work: str
    latest_start: float
    enqueued_at: float
    cost_s: float


def is_too_late(call: QueuedCall, now: float) -> bool:
    """Tell whether a call can no longer be in time."""
    return now > call.latest_start


class FairQueue:
    """Start-time fair queuing over workspaces.

    A workspace advances its own virtual time by the work it takes, and
    the one that is furthest behind goes next; within a workspace the call
    with the least slack goes first, classes below target a little sooner.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.calls: dict[str, dict[str, QueuedCall]] = {}
        self.tags: dict[str, float] = {}
        self.virtual_time = 0.0
        self.size = 0
        self.work_s = 0.0

    def push(self, call: QueuedCall) -> None:
        """Add a call."""
        waiting = self.calls.setdefault(call.workspace, {})
        if not waiting:
            tag = self.tags.get(call.workspace, 0.0)
            self.tags[call.workspace] = max(tag, self.virtual_time)
        waiting[call.ident] = call
        self.size += 1
        self.work_s += call.cost_s

    def queued(self, workspace: str) -> int:
        """Return how many calls of a workspace wait."""
        return len(self.calls.get(workspace, ()))

    def work_ahead_s(self, workspace: str) -> float:
        """Return the work that goes before a new call of a workspace.

        Other workspaces take turns with it, so that the queue of a large
        one does not count in full.
        """
        if not self.size:
            return 0.0
        typical_s = self.work_s / self.size
        turns = (self.queued(workspace) + 1) * max(1, len(self.calls))
        return min(self.work_s, turns * typical_s)

    def remove(self, ident: str, workspace: str) -> QueuedCall | None:
        """Take out a call that waits no longer."""
        waiting = self.calls.get(workspace)
        if waiting is None or ident not in waiting:
            return None
        call = waiting.pop(ident)
        self._shrink(call, waiting)
        return call

    def pop(self, shortfalls: dict[str, float]) -> QueuedCall | None:
        """Take out the next call; shortfalls is by class of work."""
        if not self.size:
            return None
        workspace = min(self.calls, key=lambda name: (self.tags[name], name))
        waiting = self.calls[workspace]

        def urgency(call: QueuedCall) -> tuple[float, float]:
            bonus = SHORTFALL_BONUS_S * shortfalls.get(call.class_of_work, 0)
            return call.latest_start - bonus, call.enqueued_at

        call = min(waiting.values(), key=urgency)
        del waiting[call.ident]
        self.virtual_time = self.tags[workspace]
        self.tags[workspace] += call.cost_s
        self._shrink(call, waiting)
        return call

    def _shrink(
        self, call: QueuedCall, waiting: dict[str, QueuedCall]
    ) -> None:
        self.size -= 1
        self.work_s = max(0.0, self.work_s - call.cost_s)
        if not waiting:
            del self.calls[call.workspace]
        if not self.size:
            # An idle queue owes nobody; old tags would only grow in number.
            self.tags.clear()
            self.virtual_time = 0.0
