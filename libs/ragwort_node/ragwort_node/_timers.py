"""Timers of a node's requests and attempts."""

import enum
import heapq
import itertools


class TimerKind(enum.IntEnum):
    """Kind of a timer: what is done when it is due."""

    DEADLINE = 0
    PROGRESS = 1
    HEDGE = 2
    RETENTION = 3


class Timers:
    """Heap of timers; outdated ones are not cancelled but ignored when due."""

    def __init__(self) -> None:
        """Start empty."""
        self.heap: list[tuple[float, int, TimerKind, str, str]] = []
        self.counter = itertools.count()

    def add(
        self, due: float, kind: TimerKind, key: str, attempt: str = ''
    ) -> None:
        """Add a timer for a request or one of its attempts."""
        entry = (due, next(self.counter), kind, key, attempt)
        heapq.heappush(self.heap, entry)

    def next_due(self) -> float | None:
        """Return the due time of the earliest timer, None if there is none."""
        return self.heap[0][0] if self.heap else None

    def pop_due(self, now: float) -> tuple[TimerKind, str, str] | None:
        """Remove and return one due timer, None if there is none."""
        if not self.heap or self.heap[0][0] > now:
            return None
        _, _, kind, key, attempt = heapq.heappop(self.heap)
        return kind, key, attempt
