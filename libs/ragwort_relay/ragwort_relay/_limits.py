"""Rate limits that runners name, kept by all hosts together.

A runner names how many requests a second it takes from all hosts. Each limit
has some holders among the hosts, more for a higher limit; only they send to
the runner, each an equal part and evenly spaced. In any window of w seconds
the runner so gets at most limit * w requests and one for each holder,
without a message for each of them. Hosts tell each other the limits that
they know, so that one that does not send learns when a limit ends.
"""

from collections.abc import Callable
from collections.abc import Iterable

import msgspec

import ragwort_model as model
from ragwort_relay import _fleet

# Time for which hosts tell each other a limit that no answer has named again.
LIMIT_TTL_S = 30.0
# Time for which hosts tell each other that a limit has ended.
ENDED_TTL_S = 10.0
# Lowest rate at which requests go to a limited runner: only its answers show
# when the limit ends.
MIN_RATE_PER_S = 0.1
# Interval at which a host tells others the limits that it knows.
SPREAD_INTERVAL_S = 1.0
MAX_SPREAD_LIMITS = 50

# Returns how many hosts send to a limited runner if this is one of them, else
# 0; at most the given number.
CountHolders = Callable[[_fleet.FleetRunner, int], int]


class _Limit(msgspec.Struct):
    """The limit of one incarnation of a runner; rate_per_s None if it ended.

    observed_at is when the runner's answer reached a host. next_send_at is
    None while this host is no holder.
    """

    started_ms: int
    rate_per_s: float | None
    observed_at: float
    next_send_at: float | None = None

    @property
    def max_holders(self) -> int:
        """Return how many hosts send to the runner if there are as many."""
        return 1 + int(self.rate_per_s or 0.0)

    def interval_s(self, holders: int) -> float:
        """Return the time between two requests of one of the holders."""
        return holders / max(self.rate_per_s or 0.0, MIN_RATE_PER_S)

    def is_told(self, now: float) -> bool:
        """Tell whether hosts still tell each other of this record."""
        ttl_s = ENDED_TTL_S if self.rate_per_s is None else LIMIT_TTL_S
        return now < self.observed_at + ttl_s


class RateLimits:
    """The limits known to one host, and its own part of each."""

    def __init__(self) -> None:
        """Start without limits, as the only holder of each."""
        self.limits: dict[str, _Limit] = {}
        self.count_holders: CountHolders = lambda runner, most: 1
        # Tells whether a runner is listed.
        self.is_listed: Callable[[str], bool] = lambda name: False
        self.next_spread_at = 0.0

    def on_answer(
        self,
        runner: _fleet.FleetRunner,
        rate_per_s: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record what a runner's answer says; return whether it is news.

        rate_per_s is None if the answer names no limit. An answer to a
        request sent before the limit was named does not end it.
        """
        known = self._find(runner)
        if rate_per_s is None and (
            known is None or sent_at < known.observed_at
        ):
            return False
        return self._update(
            runner.name,
            _Limit(runner.entry.started_ms, rate_per_s, now),
        )

    def _find(self, runner: _fleet.FleetRunner) -> _Limit | None:
        known = self.limits.get(runner.name)
        if known is None or known.started_ms != runner.entry.started_ms:
            return None
        return known

    def _update(self, name: str, latest: _Limit) -> bool:
        known = self.limits.get(name)
        is_same = known is not None and (
            (known.started_ms, known.rate_per_s)
            == (latest.started_ms, latest.rate_per_s)
        )
        if known is not None and is_same:
            known.observed_at = max(known.observed_at, latest.observed_at)
            return False
        if known is not None and known.started_ms == latest.started_ms:
            latest.next_send_at = known.next_send_at
        self.limits[name] = latest
        self.next_spread_at = 0.0
        return True

    def is_limited(self, runner: _fleet.FleetRunner, now: float) -> bool:
        """Tell whether a runner names a limit."""
        return self._limit_in_force(runner, now) is not None

    def _limit_in_force(
        self, runner: _fleet.FleetRunner, now: float
    ) -> _Limit | None:
        known = self._find(runner)
        if known is None or known.rate_per_s is None:
            return None
        return known

    def wait_s(self, runner: _fleet.FleetRunner, now: float) -> float | None:
        """Return the time until this host may send to a runner.

        None means that other hosts hold its limit.
        """
        limit = self._limit_in_force(runner, now)
        if limit is None:
            return 0.0
        holders = self.count_holders(runner, limit.max_holders)
        if not holders:
            limit.next_send_at = None
            return None
        if limit.next_send_at is None:
            # The holder before may have sent just now.
            limit.next_send_at = now + limit.interval_s(holders)
        return max(limit.next_send_at - now, 0.0)

    def on_send(self, runner: _fleet.FleetRunner, now: float) -> None:
        """Record a request to a runner."""
        limit = self._limit_in_force(runner, now)
        if limit is not None:
            holders = self.count_holders(runner, limit.max_holders)
            limit.next_send_at = now + limit.interval_s(max(holders, 1))

    def to_spread(self, now: float) -> list[model.RunnerLimit]:
        """Return the limits to tell other hosts now, the latest first."""
        for name, limit in list(self.limits.items()):
            # An answer alone ends a limit.
            is_kept = limit.rate_per_s is not None and self.is_listed(name)
            if not limit.is_told(now) and not is_kept:
                del self.limits[name]
        if not self.limits or now < self.next_spread_at:
            return []
        self.next_spread_at = now + SPREAD_INTERVAL_S
        told = [
            model.RunnerLimit(
                name,
                limit.started_ms,
                limit.rate_per_s,
                now - limit.observed_at,
            )
            for name, limit in self.limits.items()
            if limit.is_told(now)
        ]
        return sorted(told, key=lambda item: item.age_s)[:MAX_SPREAD_LIMITS]

    def merge(
        self, told: Iterable[model.RunnerLimit], now: float
    ) -> list[model.RunnerLimit]:
        """Take over what another host knows better; return what is news."""
        news = []
        for item in told:
            age_s = max(item.age_s, 0.0)
            latest = _Limit(item.started_ms, item.rate_per_s, now - age_s)
            known = self.limits.get(item.runner)
            is_newer = known is None or (
                latest.observed_at > known.observed_at
            )
            if not is_newer or not latest.is_told(now):
                continue
            if self._update(item.runner, latest):
                news.append(item)
        return news
