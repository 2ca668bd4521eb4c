"""Storage of results at the runners of a stage service.

Load pattern: all hosts restart at once, or an owner dies: its results fill
the runners' storage until they expire, and nobody else knows of them. A new
owner that counts on empty storage gets its first calls back without results.
"""

from collections.abc import Iterable
import math

import msgspec

from ragwort_relay import _routes

# Below this size runners report free storage too coarsely to rely on it.
MIN_REPORTED_STORAGE_BYTES = 8e6
# Share of the storage that may hold an earlier owner's results at first.
UNKNOWN_SHARE = 0.5


class _StoredResult(msgspec.Struct, frozen=True):
    """A result at a runner, and when it expires."""

    runner: str
    size: float
    expires_at: float


class _ForeignResults(msgspec.Struct, frozen=True):
    """Results at a runner that this host did not order, as of a time."""

    size: float
    measured_at: float

    def size_at(self, now: float, ttl_s: float) -> float:
        """Return the size that is left while the results expire."""
        age_s = now - self.measured_at
        return self.size * max(1.0 - age_s / ttl_s, 0.0) if ttl_s else 0.0


class ResultStorage:
    """What each runner stores, as far as this host knows."""

    def __init__(
        self, limits: _routes.BatchLimits, owned_since: float = -math.inf
    ) -> None:
        """Start without results.

        owned_since is when this host began to send calls; whoever did so
        before may have left results at the runners.
        """
        self.limits = limits
        self.owned_since = owned_since
        self.used_bytes: dict[str, float] = {}
        self.results: dict[str, _StoredResult] = {}
        self.foreign: dict[str, _ForeignResults] = {}

    def free_bytes(self, runner: str, now: float) -> float:
        """Return the storage of a runner that is likely free."""
        used = self.used_bytes.get(runner, 0.0)
        return (
            self.limits.storage_bytes - used - self.foreign_bytes(runner, now)
        )

    def foreign_bytes(self, runner: str, now: float) -> float:
        """Return the storage that results of other hosts likely take."""
        foreign = self.foreign.get(runner) or _ForeignResults(
            UNKNOWN_SHARE * self.limits.storage_bytes, self.owned_since
        )
        return foreign.size_at(now, self.limits.result_ttl_s)

    def occupy(self, runner: str, size: float) -> None:
        """Count storage as taken, or as free if size is negative."""
        used = self.used_bytes.get(runner, 0.0) + size
        self.used_bytes[runner] = max(used, 0.0)

    def store(self, handle: str, runner: str, size: float, now: float) -> None:
        """Record a result, whose storage is counted already.

        One of an earlier start with this handle is gone.
        """
        self.release([handle])
        expires_at = now + self.limits.result_ttl_s
        self.results[handle] = _StoredResult(runner, size, expires_at)

    def holds_results(self, runner: str) -> bool:
        """Tell whether results at a runner are neither read nor expired."""
        return any(r.runner == runner for r in self.results.values())

    def release(self, handles: Iterable[str]) -> None:
        """Count the storage of released results as free."""
        for handle in handles:
            result = self.results.pop(handle, None)
            if result is not None:
                self.occupy(result.runner, -result.size)

    def release_all_of(self, runner: str) -> None:
        """Count the storage of all results of an ended runner as free."""
        self.release(
            [h for h, r in self.results.items() if r.runner == runner]
        )

    def expire(self, now: float) -> None:
        """Release the results whose time is over."""
        self.release(
            [
                handle
                for handle, result in self.results.items()
                if now >= result.expires_at
            ]
        )

    def on_full(self, runner: str, now: float) -> None:
        """Record that a runner had no room for a result.

        What this host does not count is then taken by others.
        """
        self._set_free(runner, 0.0, now)

    def on_report(self, runner: str, free_bytes: float, now: float) -> None:
        """Record the free storage that a runner reports."""
        self._set_free(runner, free_bytes, now)

    def _set_free(self, runner: str, free_bytes: float, now: float) -> None:
        used = self.used_bytes.get(runner, 0.0)
        foreign = max(self.limits.storage_bytes - free_bytes - used, 0.0)
        self.foreign[runner] = _ForeignResults(foreign, now)

    def may_hold_foreign(self, runner: str, now: float) -> bool:
        """Tell whether a runner's report may show results of other hosts."""
        if self.limits.storage_bytes < MIN_REPORTED_STORAGE_BYTES:
            return False
        return self.foreign_bytes(runner, now) > 0.0
