"""The reactor with timers on the monotonic clock."""

import time
from typing import Any


def monotonic_reactor() -> Any:
    """Return the reactor with its timers on the monotonic clock.

    Twisted uses the wall clock: a step back would delay all timers by as
    much, and a step forward would fire them at once. Must be called
    before the first timer is set.
    """
    from twisted.internet import reactor

    loop: Any = reactor
    loop.seconds = time.monotonic
    return loop
