"""Retry budget of a service, shared by all hosts without talking."""

import collections

# Part of the allowance that is used: arrivals are counted at the runners,
# so a window there may hold a little more than the same window here.
SAFETY = 0.75


class WindowCounter:
    """Count events within a sliding window of seconds."""

    def __init__(self, window_s: float) -> None:
        """Start with nothing counted."""
        self.window_s = window_s
        self.times: collections.deque[float] = collections.deque()

    def add(self, now: float, count: int = 1) -> None:
        """Count events at the present time."""
        self.times.extend([now] * count)

    def total(self, now: float) -> int:
        """Return how many events the window holds."""
        while self.times and self.times[0] <= now - self.window_s:
            self.times.popleft()
        return len(self.times)


class RetryBudget:
    """Bound the repeats of calls to each service.

    All hosts together may repeat ratio times the requests plus slack in
    any window. Each host uses its own requests' part and an equal part of
    the slack, so that no two hosts can spend the same allowance.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Start with full budgets."""
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.requests: dict[str, WindowCounter] = {}
        self.repeats: dict[str, WindowCounter] = {}
        self.host_counts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def on_host_count(self, count: int, now: float) -> None:
        """Note how many hosts live; the most in a window share the slack."""
        counts = self.host_counts
        if counts and counts[-1][1] == count:
            return
        counts.append((now, count))
        while len(counts) > 1 and counts[1][0] <= now - self.window_s:
            counts.popleft()

    def on_request(self, service: str, now: float, count: int = 1) -> None:
        """Count first sends of requests to a service."""
        self._counter(self.requests, service).add(now, count)

    def take(self, service: str, now: float, count: int = 1) -> bool:
        """Take repeats from the budget if it holds them."""
        repeats = self._counter(self.repeats, service)
        if repeats.total(now) + count > self.allowance(service, now):
            return False
        repeats.add(now, count)
        return True

    def allowance(self, service: str, now: float) -> float:
        """Return the repeats that this host may make in a window."""
        requests = self._counter(self.requests, service).total(now)
        hosts = max((count for _, count in self.host_counts), default=1)
        return SAFETY * (self.ratio * requests + self.slack / max(hosts, 1))

    def _counter(
        self, counters: dict[str, WindowCounter], service: str
    ) -> WindowCounter:
        if service not in counters:
            counters[service] = WindowCounter(self.window_s)
        return counters[service]
