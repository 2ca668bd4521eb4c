"""What a runner stand-in tells hosts in its answers, and who minds it."""

import random
from typing import Any

from features.soak import ledger
import ragwort_edge as edge

# Time for which a leaving runner goes on serving.
LEAVING_S = 7.0
PAUSE_S = (1.0, 4.0)


class Notices:
    """Notices of one runner, and the first answer with them for each host."""

    def __init__(self, records: ledger.Ledger) -> None:
        """Tell nothing yet."""
        self.records = records
        self.is_leaving = False
        self.pause_until = 0.0
        self.left: dict[str, ledger.NoticedArrivals] = {}
        self.paused: dict[str, ledger.NoticedArrivals] = {}

    def leave(self) -> None:
        """Say in all answers from now on that the runner leaves."""
        self.is_leaving = True

    def pause(self, now: float, rng: random.Random) -> None:
        """Turn all requests away for a while."""
        self.pause_until = now + rng.uniform(*PAUSE_S)
        self.paused = {}

    def headers(self, now: float) -> edge.Headers:
        """Return the headers of an answer."""
        found: edge.Headers = ()
        if self.is_leaving:
            found += ((b'server-leaving', b'1'),)
        if now < self.pause_until:
            left_s = self.pause_until - now
            found += ((b'retry-after', b'%.3f' % left_s),)
        return found

    def on_arrival(self, runner: Any, request_id: str, now: float) -> None:
        """Note a main call that is answered with a notice, or came after."""
        host = self.records.asked_hosts.get(request_id)
        if host is None:
            return
        if self.is_leaving:
            self._note('leaving', runner, host, now, float('inf'), self.left)
        if now < self.pause_until:
            until = self.pause_until
            self._note('pause', runner, host, now, until, self.paused)

    def _note(
        self,
        kind: str,
        runner: Any,
        host: str,
        now: float,
        until: float,
        known: dict[str, ledger.NoticedArrivals],
    ) -> None:
        found = known.get(host)
        starts = self.records.starts.get(host, ())
        # A host that has started since knows nothing of what was told before.
        if found is not None and not any(at > found.told_at for at in starts):
            found.times.append(now)
            return
        known[host] = ledger.NoticedArrivals(
            kind, runner.identifier, host, now, until
        )
        self.records.noticed.append(known[host])
