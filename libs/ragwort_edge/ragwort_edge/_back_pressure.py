"""Pauses of a runner's answer while its caller does not read."""

from collections.abc import Callable
from typing import Any

# Longest time for which nothing of an answer is read: a runner cuts off what
# stays unread for some seconds. What comes between pauses waits in the
# host's account.
MAX_PAUSE_S = 1.0


class BackPressure:
    """Pauses one call while the caller of its exchange is behind."""

    def __init__(
        self,
        reactor: Any,
        exchange: Any,
        on_pause: Callable[[bool], None] = lambda is_paused: None,
    ) -> None:
        """Follow an exchange; tell on_pause when the call pauses."""
        self.reactor = reactor
        self.exchange = exchange
        self.on_pause = on_pause
        self.call: Any = None
        self.timer: Any = None
        self.is_behind = False
        self.follow()

    def follow(self) -> None:
        """Be the one that the exchange tells, in place of any other."""
        self.is_behind = self.exchange.is_behind
        self.exchange.on_pause = self._on_exchange

    @property
    def is_paused(self) -> bool:
        """Tell whether the call is not read right now."""
        return self.timer is not None

    def _on_exchange(self, is_behind: bool) -> None:
        self.is_behind = is_behind
        if is_behind:
            self.on_data()
        else:
            self._resume()

    def on_data(self) -> None:
        """Pause again after each part, while the caller is behind."""
        if self.is_behind and self.timer is None and self.call is not None:
            self.timer = self.reactor.callLater(MAX_PAUSE_S, self._resume)
            self.call.pause()
            self.on_pause(True)

    def _resume(self) -> None:
        if self.timer is None:
            return
        if self.timer.active():
            self.timer.cancel()
        self.timer = None
        self.call.resume()
        self.on_pause(False)

    def stop(self) -> None:
        """Pause no more; the call is over."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        self.call = None
