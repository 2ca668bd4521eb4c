"""Running the reactor for one command."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.python import failure

import ragwort_peers as peers


def run_command(action: Callable[[Any], 'defer.Deferred[Any]']) -> Any:
    """Run the reactor until action's Deferred fires; return its result.

    An error of the action is raised again.
    """
    reactor = peers.monotonic_reactor()
    results: list[Any] = []

    def start_action() -> None:
        started = defer.maybeDeferred(action, reactor)
        started.addBoth(finish)

    def finish(result: Any) -> None:
        results.append(result)
        reactor.callLater(0, reactor.stop)

    reactor.callWhenRunning(start_action)
    reactor.run(installSignalHandlers=True)
    if not results:
        raise KeyboardInterrupt
    if isinstance(results[0], failure.Failure):
        results[0].raiseException()
    return results[0]
