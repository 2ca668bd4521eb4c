"""Queue of stage calls, fair between workspaces, least slack first."""

import dataclasses

SHORTFALL_BONUS_S = 2.0


@dataclasses.dataclass(slots=True)
class QueuedCall:
    """A stage call waiting for a runner.

    latest_start is the latest time to start and still meet the deadline;
    work_s is the expected work in seconds.
    """

    ident: str
    workspace: str
    class_of_work: str
    latest_start: float
    enqueued_at: float
    work_s: float


def is_too_late(call: QueuedCall, now: float) -> bool:
    """Tell whether a call can no longer meet its deadline."""
    return now > call.latest_start


class FairQueue:
    """Start-time fair queuing over workspaces.

    Each workspace has a start tag in virtual time, which advances by the
    work of its calls; the lowest tag goes next. Within a workspace the call
    with the least slack goes first, with a bonus for classes below target.
    """

    def __init__(self) -> None:
        """Start with an empty queue."""
        self.calls: dict[str, dict[str, QueuedCall]] = {}
        self.start_tags: dict[str, float] = {}
        self.virtual_time = 0.0
        self.size = 0
        self.work_s = 0.0

    def push(self, call: QueuedCall) -> None:
        """Add a call."""
        waiting = self.calls.setdefault(call.workspace, {})
        if not waiting:
            tag = self.start_tags.get(call.workspace, 0.0)
            self.start_tags[call.workspace] = max(tag, self.virtual_time)
        waiting[call.ident] = call
        self.size += 1
        self.work_s += call.work_s

    def queued(self, workspace: str) -> int:
        """Return the number of queued calls of a workspace."""
        return len(self.calls.get(workspace, ()))

    def work_ahead_s(self, workspace: str) -> float:
        """Return the work ahead of a new call of a workspace, in seconds.

        Workspaces take turns, so that a long queue of another workspace
        does not count in full.
        """
        if not self.size:
            return 0.0
        typical_s = self.work_s / self.size
        turns = (self.queued(workspace) + 1) * max(1, len(self.calls))
        return min(self.work_s, turns * typical_s)

    def remove(self, ident: str, workspace: str) -> QueuedCall | None:
        """Remove and return a call, None if it is not queued."""
        waiting = self.calls.get(workspace)
        if waiting is None or ident not in waiting:
            return None
        call = waiting.pop(ident)
        self._on_removed(call, waiting)
        return call

    def pop(self, shortfalls: dict[str, float]) -> QueuedCall | None:
        """Remove and return the next call; shortfalls is by class of work."""
        if not self.size:
            return None
        workspace = min(
            self.calls, key=lambda name: (self.start_tags[name], name)
        )
        waiting = self.calls[workspace]

        def urgency(call: QueuedCall) -> tuple[float, float]:
            bonus = SHORTFALL_BONUS_S * shortfalls.get(call.class_of_work, 0)
            return call.latest_start - bonus, call.enqueued_at

        call = min(waiting.values(), key=urgency)
        del waiting[call.ident]
        self.virtual_time = self.start_tags[workspace]
        self.start_tags[workspace] += call.work_s
        self._on_removed(call, waiting)
        return call

    def _on_removed(
        self, call: QueuedCall, waiting: dict[str, QueuedCall]
    ) -> None:
        self.size -= 1
        self.work_s = max(0.0, self.work_s - call.work_s)
        if not waiting:
            del self.calls[call.workspace]
        if not self.size:
            # Tags of an empty queue have no effect and would accumulate.
            self.start_tags.clear()
            self.virtual_time = 0.0
