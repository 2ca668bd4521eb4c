"""The process's reactor on the steady clock."""

import time
from typing import Any


def monotonic_reactor() -> Any:
    """Return the reactor with its timers on the steady clock.

    Twisted goes by the time of day: a step back would hold up all timers
    for as long, and a step forward would end them at once. To be called
    before the first timer is set.
    """
    from twisted.internet import reactor

    loop: Any = reactor
    loop.seconds = time.monotonic
    return loop
