"""Running the reactor for one command."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.python import failure

import ragwort_peers as peers


def run_command(action: Callable[[Any], 'defer.Deferred[Any]']) -> Any:
    """Run the reactor until action's Deferred fires; return its result.

    An error of the action is raised here.
    """
    reactor = peers.monotonic_reactor()
    outcome: list[Any] = []

    def begin() -> None:
        started = defer.maybeDeferred(action, reactor)
        started.addBoth(finish)

    def finish(result: Any) -> None:
        outcome.append(result)
        reactor.callLater(0, reactor.stop)

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=True)
    if not outcome:
        raise KeyboardInterrupt
    if isinstance(outcome[0], failure.Failure):
        outcome[0].raiseException()
    return outcome[0]
