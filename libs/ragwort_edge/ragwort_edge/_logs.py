"""Non-blocking, rate-limited structured logs on standard output."""

import os
import sys
import time
from typing import Any

import structlog

# Refill rate and size of the token bucket that limits log lines; dropped
# lines are counted and the count is written before the next line.
LINES_PER_S = 150.0
MAX_BURST_LINES = 400.0
MAX_LINE_BYTES = 2048


class RateLimitedOutput:
    """Write lines to a descriptor at a limited rate; drop the rest."""

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        self.descriptor = descriptor
        self.tokens = MAX_BURST_LINES
        self.refilled_at = time.monotonic()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Write one line."""
        now = time.monotonic()
        refill = (now - self.refilled_at) * LINES_PER_S
        self.tokens = min(self.tokens + refill, MAX_BURST_LINES)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.dropped += 1
            return
        self.tokens -= 1.0
        line = message.encode()[: MAX_LINE_BYTES - 1] + b'\n'
        if self.dropped:
            line = (
                b'{"event":"log-dropped","lines":%d}\n' % self.dropped + line
            )
        try:
            os.write(self.descriptor, line)
            self.dropped = 0
        except OSError:
            # The pipe is full or has no reader, or the disk is full. Requests
            # go on without a log.
            self.dropped += 1

    debug = info = warning = error = critical = msg


def configure_logs(node: str) -> Any:
    """Return a logger of JSON lines with the node's name."""
    output = RateLimitedOutput(sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.BoundLogger,
        logger_factory=lambda *_: output,
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger().bind(node=node)
