"""Errors of one part of a host that must not stop the others.

A damaged message or a fault of one part would else end the tick that keeps
membership, watches and readiness going, or the connection on which a peer
then sends the same message again.
"""

from collections.abc import Callable
import contextlib
import math
import traceback
from typing import Any

from ragwort_edge import _metrics

# Interval between log lines about one part; the counter has all errors.
LOG_INTERVAL_S = 10.0
MAX_TRACE_CHARACTERS = 1500


class Guard:
    """Runs parts of a host; logs and counts what they raise."""

    def __init__(
        self, reactor: Any, metrics: _metrics.Metrics, logger: Any
    ) -> None:
        """Start with no error."""
        self.reactor = reactor
        self.metrics = metrics
        self.logger = logger
        self.logged_at: dict[str, float] = {}

    def run(self, part: str, call: Callable[[], object]) -> bool:
        """Call a part; its errors go to the log and the metrics.

        Return whether it raised nothing.
        """
        try:
            call()
        # Whatever is wrong with one part is no reason to stop the others.
        except Exception:
            self.report(part, traceback.format_exc())
            return False
        return True

    def report(self, part: str, trace: str) -> None:
        """Log and count an error of a part."""
        self.metrics.unexpected_errors.labels(part).inc()
        now = self.reactor.seconds()
        if now < self.logged_at.get(part, -math.inf) + LOG_INTERVAL_S:
            return
        self.logged_at[part] = now
        detail = trace[-MAX_TRACE_CHARACTERS:]
        # The error may be that of the log.
        with contextlib.suppress(Exception):
            self.logger.error('unexpected-error', part=part, detail=detail)
