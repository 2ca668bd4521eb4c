"""Structured logs on standard output that never block and stay bounded."""

import os
import sys
import time
from typing import Any

import structlog

# Lines a second that are written on average and at once; what is over is
# counted and the count written with the next line.
LINES_PER_S = 150.0
LINE_BURST = 400.0
MAX_LINE_BYTES = 2048


class BoundedOutput:
    """Write lines to a descriptor within a rate, or drop and count them."""

    def __init__(self, descriptor: int) -> None:
        """Make writes to the descriptor return at once."""
        self.descriptor = descriptor
        self.tokens = LINE_BURST
        self.filled_at = time.monotonic()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Write one line."""
        now = time.monotonic()
        grown = (now - self.filled_at) * LINES_PER_S
        self.tokens = min(self.tokens + grown, LINE_BURST)
        self.filled_at = now
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
        except BlockingIOError:
            self.dropped += 1

    debug = info = warning = error = critical = msg


def configure_logs(node: str) -> Any:
    """Return a logger of JSON lines that bear the node's name."""
    output = BoundedOutput(sys.stdout.fileno())
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
