"""Retry budget of a service, split among hosts without coordination."""

import collections

# Share of the allowance that is used. Runners count repeats on arrival, and
# a window there may hold a little more of them than the same window here.
ALLOWANCE_SHARE = 0.75


class WindowCounter:
    """Count events within a sliding window of seconds."""

    def __init__(self, window_s: float) -> None:
        """Start without events."""
        self.window_s = window_s
        self.times: collections.deque[float] = collections.deque()

    def add(self, now: float, count: int = 1) -> None:
        """Count events at a time."""
        self.times.extend([now] * count)

    def total(self, now: float) -> int:
        """Return the number of events in the window."""
        while self.times and self.times[0] <= now - self.window_s:
            self.times.popleft()
        return len(self.times)


class RetryBudget:
    """Limit on the repeated calls to each service.

    All hosts together may repeat ratio times the requests plus slack in
    any window. Each host spends the ratio of its own requests and an equal
    share of the slack, so that no two hosts spend the same allowance.
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
        """Record the live hosts; the window's maximum splits the slack."""
        counts = self.host_counts
        if counts and counts[-1][1] == count:
            return
        counts.append((now, count))
        while len(counts) > 1 and counts[1][0] <= now - self.window_s:
            counts.popleft()

    def on_request(self, service: str, now: float, count: int = 1) -> None:
        """Count requests to a service, without their repeats."""
        self._counter(self.requests, service).add(now, count)

    def take(self, service: str, now: float, count: int = 1) -> bool:
        """Spend the budget for some repeats; return False if it is short."""
        if not self.has_room(service, now, count):
            return False
        self._counter(self.repeats, service).add(now, count)
        return True

    def has_room(self, service: str, now: float, count: int = 1) -> bool:
        """Tell whether take would spend the budget."""
        repeats = self._counter(self.repeats, service).total(now)
        return repeats + count <= self.allowance(service, now)

    def allowance(self, service: str, now: float) -> float:
        """Return the number of repeats this host may send in a window."""
        requests = self._counter(self.requests, service).total(now)
        hosts = max((count for _, count in self.host_counts), default=1)
        return ALLOWANCE_SHARE * (
            self.ratio * requests + self.slack / max(hosts, 1)
        )

    def _counter(
        self, counters: dict[str, WindowCounter], service: str
    ) -> WindowCounter:
        if service not in counters:
            counters[service] = WindowCounter(self.window_s)
        return counters[service]
