"""Queueing times of stage services, as last reported to this host."""

import bisect

import msgspec

# Times until a group is due for which queueing times are reported, in
# seconds: groups that are due sooner go first and wait for less of the queue.
DUE_POINTS_S = (0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 6.0)
# Reports older than this are not used.
MAX_AGE_S = 1.0


class QueueWait(msgspec.Struct, frozen=True):
    """Queueing times of a service in seconds, and when they were measured.

    waits_s holds the wait of timely work for each of DUE_POINTS_S;
    late_wait_s is the wait of work that can't meet its target. call_s is how
    long a call takes that begins after the wait: under load it holds the
    pieces of many requests. It is 0.0 if an idle runner takes new work alone.
    """

    waits_s: tuple[float, ...]
    late_wait_s: float
    measured_at: float
    call_s: float = 0.0

    def delayed(self, delay_s: float, now: float) -> 'QueueWait':
        """Return the waits, measured now, if no call starts before a delay."""
        waits_s = self.waits_s
        if delay_s and not waits_s:
            waits_s = (0.0,) * len(DUE_POINTS_S)
        return QueueWait(
            tuple(wait_s + delay_s for wait_s in waits_s),
            self.late_wait_s + delay_s,
            now,
            self.call_s,
        )


class QueueWaits:
    """Latest queueing times of all services, those queued here included."""

    def __init__(self) -> None:
        """Start without queueing times."""
        self.by_service: dict[str, QueueWait] = {}

    def update(self, service: str, wait: QueueWait) -> None:
        """Store the queueing times of a service unless newer ones exist."""
        known = self.by_service.get(service)
        if known is None or wait.measured_at >= known.measured_at:
            self.by_service[service] = wait

    def recent(self, now: float) -> dict[str, QueueWait]:
        """Return the queueing times that are recent enough to be used."""
        return {
            service: wait
            for service, wait in self.by_service.items()
            if now - wait.measured_at < MAX_AGE_S
        }

    def wait_s(self, service: str, due_s: float, now: float) -> float:
        """Return the queueing time of work that is due in due_s seconds."""
        wait = self.by_service.get(service)
        if wait is None or not wait.waits_s:
            return 0.0
        point = bisect.bisect_left(DUE_POINTS_S, due_s)
        wait_s = wait.waits_s[min(point, len(wait.waits_s) - 1)]
        return _remaining_s(wait, wait_s, now)

    def late_wait_s(self, service: str, now: float) -> float:
        """Return the queueing time of work that can't meet its target."""
        wait = self.by_service.get(service)
        return _remaining_s(wait, wait.late_wait_s, now) if wait else 0.0

    def call_s(self, service: str, now: float) -> float:
        """Return how long a call takes under the load there is, or 0.0."""
        wait = self.by_service.get(service)
        if wait is None or now - wait.measured_at >= MAX_AGE_S:
            return 0.0
        return wait.call_s


def _remaining_s(wait: QueueWait, wait_s: float, now: float) -> float:
    age_s = now - wait.measured_at
    return max(wait_s - age_s, 0.0) if age_s < MAX_AGE_S else 0.0
