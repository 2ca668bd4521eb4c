"""Telling other hosts which runners with results in use have started again.

One host gives work to the runners of a stage service; those that asked for it
hold the results, and so do the hosts that they ask for the next stage.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import ragwort_model as model
import ragwort_relay as relay

# Of one message.
MAX_STARTS = 256
MAX_ENDED = 256
# Time for which another host's word counts that a runner is down. That host
# may be cut off from it, and others give it work.
DOWN_MEMORY_S = 1.0


class MakerNews:
    """Who holds results of which runners, and what to tell them."""

    def __init__(
        self,
        reactor: Any,
        makers: relay.MakerStarts,
        send_peer: Callable[[model.SendPeerMessage], None],
        logger: Any,
    ) -> None:
        """Start without holders."""
        self.reactor = reactor
        self.makers = makers
        self.send_peer = send_peer
        self.logger = logger
        # Until when hosts may hold results, by address of their makers.
        self.holders: dict[str, dict[str, float]] = {}

    def on_delivered(self, host: str, address: str, until: float) -> None:
        """Record that a host got results, which live until a time."""
        self.holders.setdefault(address, {})[host] = until

    def tell_holders(self, address: str, now: float) -> None:
        """Tell the hosts that may hold results of ended starts."""
        for host, until in self.holders.get(address, {}).items():
            if now < until:
                self.tell(host, [address])

    def tell(self, host: str, addresses: Iterable[str]) -> None:
        """Tell a host what is known at first hand of some addresses."""
        starts = []
        for address in addresses:
            told, ended, is_down = self.makers.told_at(address)
            if told or ended or is_down:
                starts.append(
                    model.RunnerStart(
                        address, told, ended[-MAX_ENDED:], is_down
                    )
                )
        if starts:
            message = model.RunnerStarts(starts[:MAX_STARTS])
            self.send_peer(model.SendPeerMessage(host, message))

    def forget(self, now: float) -> None:
        """Forget holders whose results have expired."""
        for address, hosts in list(self.holders.items()):
            kept = {h: until for h, until in hosts.items() if now < until}
            if kept:
                self.holders[address] = kept
            else:
                del self.holders[address]

    def on_told(
        self, sender: str, message: model.RunnerStarts, now: float
    ) -> None:
        """Record what another host knows; skip damaged items."""
        for told in message.starts[:MAX_STARTS]:
            if len(told.ended) > MAX_ENDED:
                self.logger.warning('invalid-runner-start', told=repr(told))
                continue
            before = self.makers.change_count
            if not told.is_down:
                self.makers.on_up(told.address)
            self.makers.on_news(told.address, told.started_ms, told.ended, now)
            if told.is_down:
                self.makers.on_down(told.address)
                self.reactor.callLater(
                    DOWN_MEMORY_S, self.makers.on_up, told.address
                )
            if self.makers.change_count != before:
                self.logger.info(
                    'runner-started-again',
                    runner=told.address,
                    started_ms=told.started_ms,
                    is_down=told.is_down,
                    source=sender,
                )
