"""Requests that reached a runner, against the limit that it names."""

from collections.abc import Iterable

# A runner takes this many times its limit in a window, and some requests.
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_WINDOW_S = 4.0


def allowed_in_window(rate_per_s: float) -> float:
    """Return how many requests a limited runner may get in a window."""
    return LIMIT_FACTOR * rate_per_s * LIMIT_WINDOW_S + LIMIT_SLACK


def most_in_window(times: Iterable[float]) -> int:
    """Return the most arrivals in any window, which ends with one."""
    known = list(times)
    return max(
        sum(end - LIMIT_WINDOW_S < at <= end for at in known) for end in known
    )
