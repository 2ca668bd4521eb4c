"""Queueing times of stage services, as this host last heard of them."""

import bisect
from collections.abc import Iterable
import dataclasses

# Times until a group is due for which queueing times are told, in seconds:
# what is due sooner goes first, so that each waits for a part of the queue.
DUE_POINTS_S = (0.25, 0.5, 1.0, 2.0, 4.0)
# Age after which word of a queue is no longer used.
MAX_AGE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class QueueWait:
    """Queueing times of a service in seconds, and when they were so.

    What can be timely waits as waits_s says for each of DUE_POINTS_S; what
    can only be late waits late_wait_s.
    """

    waits_s: tuple[float, ...]
    late_wait_s: float
    measured_at: float


class QueueWaits:
    """What this host knows of queues, its own among them."""

    def __init__(self) -> None:
        """Start without any word."""
        self.by_service: dict[str, QueueWait] = {}

    def update(self, service: str, word: QueueWait) -> None:
        """Take word of a service unless there is newer one."""
        known = self.by_service.get(service)
        if known is None or word.measured_at >= known.measured_at:
            self.by_service[service] = word

    def recent(self, now: float) -> dict[str, QueueWait]:
        """Return what is not too old to be used."""
        return {
            service: word
            for service, word in self.by_service.items()
            if now - word.measured_at < MAX_AGE_S
        }

    def wait_s(self, service: str, due_s: float, now: float) -> float:
        """Return the queueing time for what is due in so many seconds."""
        word = self.by_service.get(service)
        if word is None or not word.waits_s:
            return 0.0
        point = bisect.bisect_left(DUE_POINTS_S, due_s)
        wait_s = word.waits_s[min(point, len(word.waits_s) - 1)]
        return _left_s(word, wait_s, now)

    def late_wait_s(self, service: str, now: float) -> float:
        """Return the queueing time for what can only be late."""
        word = self.by_service.get(service)
        return _left_s(word, word.late_wait_s, now) if word else 0.0

    def max_late_wait_s(self, services: Iterable[str], now: float) -> float:
        """Return the longest queueing time of some services."""
        return max((self.late_wait_s(s, now) for s in services), default=0.0)


def _left_s(word: QueueWait, wait_s: float, now: float) -> float:
    age_s = now - word.measured_at
    return max(wait_s - age_s, 0.0) if age_s < MAX_AGE_S else 0.0
