"""Timers of a node core."""

import enum
import heapq
import itertools


class TimerKind(enum.IntEnum):
    """What is due."""

    DEADLINE = 0
    PROGRESS = 1
    HEDGE = 2
    FORGET = 3


class Timers:
    """Heap of due times; owners drop timers that no longer matter."""

    def __init__(self) -> None:
        """Start empty."""
        self.heap: list[tuple[float, int, TimerKind, str, str]] = []
        self.counter = itertools.count()

    def add(
        self, due: float, kind: TimerKind, key: str, attempt: str = ''
    ) -> None:
        """Add a timer for a request and, where it applies, an attempt."""
        entry = (due, next(self.counter), kind, key, attempt)
        heapq.heappush(self.heap, entry)

    def next_due(self) -> float | None:
        """Return when the earliest timer is due."""
        return self.heap[0][0] if self.heap else None

    def pop_due(self, now: float) -> tuple[TimerKind, str, str] | None:
        """Take out one timer that is due."""
        if not self.heap or self.heap[0][0] > now:
            return None
        _, _, kind, key, attempt = heapq.heappop(self.heap)
        return kind, key, attempt
