"""Which start of a runner the results at its address belong to.

A result ends with the process that made it, and the next start of that runner
may give its handle to a result of another request. A runner's entry in the
store may come late or tell of an earlier process, and clocks are set back:
what a process says of itself goes first, and starts are never put in order.
"""

from collections.abc import Callable
from collections.abc import Iterable

# Results, and entries of ended processes, are gone after this time.
ENDED_MEMORY_S = 120.0
MS_PER_S = 1000


class MakerStarts:
    """The starts of runners at each address, as RunnerEntry.start.

    A start of 0 is one that is not known.
    """

    def __init__(self) -> None:
        """Start without any."""
        self.current: dict[str, int] = {}
        # When the last entry of an address was removed.
        self.gone: dict[str, float] = {}
        # Starts that are over, and when this host heard of it, by address.
        self.ended: dict[str, dict[int, float]] = {}
        # Addresses whose process told its start on a connection that is open.
        self.vouched: set[str] = set()
        # Addresses that refuse connections since the last one to them broke.
        self.down: set[str] = set()
        # Counts the changes after which has_ended may answer otherwise.
        self.change_count = 0
        # Called with an address where a start is over.
        self.on_ended: Callable[[str], None] = lambda address: None
        # Called with an address whose entry contradicts what its process told.
        self.on_doubt: Callable[[str], None] = lambda address: None

    def on_entry(self, address: str, started_ms: int, now: float) -> None:
        """Record a start from an entry in the store.

        A connection may outlive its process for a while at this end, so that
        a start which was not heard of before is believed until on_told.
        """
        self.gone.pop(address, None)
        ended = self.ended.get(address, {})
        if started_ms in ended:
            # Remembered for as long as it is told.
            ended[started_ms] = now
            return
        is_ended = self._replace(address, started_ms, now)
        if is_ended and address in self.vouched:
            self.vouched.discard(address)
            self.on_doubt(address)

    def on_gone(self, address: str, now: float) -> None:
        """Record that the entry of an address was removed; it may be back."""
        self.gone[address] = now

    def on_told(self, address: str, started_ms: int, now: float) -> bool:
        """Record a start that the process at an address tells of itself.

        It tells so on a connection that stays open until on_closed. Return
        whether an earlier start is over by that.
        """
        self.ended.get(address, {}).pop(started_ms, None)
        self.down.discard(address)
        if address not in self.vouched:
            self.vouched.add(address)
            self.change_count += 1
        return self._replace(address, started_ms, now)

    def on_lost(self, address: str, now: float) -> bool:
        """Record that any process may be at an address now.

        One that tells no start has ended, or its connection alone. Return
        whether a start is over by that.
        """
        return self._replace(address, -1 - int(now * MS_PER_S), now)

    def on_down(self, address: str) -> None:
        """Record that no process is at an address, until on_up or a start."""
        if address in self.down or address in self.vouched:
            return
        self.down.add(address)
        self.change_count += 1
        self.on_ended(address)

    def on_up(self, address: str) -> None:
        """Record that a process may be at an address."""
        self.down.discard(address)

    def on_closed(self, address: str) -> None:
        """Record that a process' connection has ended, maybe with it."""
        self.vouched.discard(address)

    def on_news(
        self,
        address: str,
        started_ms: int,
        ended: Iterable[int],
        now: float,
    ) -> None:
        """Record what another host heard from the process at an address.

        ended are the starts that are over.
        """
        if address in self.vouched:
            return
        self.ended.get(address, {}).pop(started_ms, None)
        self._replace(address, started_ms, now)
        for start in ended:
            self._end(address, start, now)

    def _replace(self, address: str, started_ms: int, now: float) -> bool:
        known_ms = self.current.get(address, 0)
        if started_ms == known_ms or not started_ms:
            return False
        self.down.discard(address)
        self.current[address] = started_ms
        return self._end(address, known_ms, now)

    def _end(self, address: str, started_ms: int, now: float) -> bool:
        ended = self.ended.setdefault(address, {})
        if not started_ms or started_ms in ended:
            return False
        ended[started_ms] = now
        self.change_count += 1
        self.on_ended(address)
        return True

    def start_at(self, address: str) -> int:
        """Return the start that is believed to be at an address now."""
        return self.current.get(address, 0)

    def ended_at(self, address: str) -> list[int]:
        """Return the starts at an address that are over."""
        return list(self.ended.get(address, ()))

    def has_ended(self, address: str, started_ms: int) -> bool:
        """Tell whether the process that made results at a start has ended."""
        if not started_ms:
            return False
        if address in self.vouched:
            return started_ms != self.current.get(address)
        if address in self.down and started_ms == self.start_at(address):
            return True
        return started_ms in self.ended.get(address, ())

    def forget(self, now: float) -> None:
        """Forget starts that ended, or whose entries went, long ago."""
        for address, at in list(self.gone.items()):
            if now >= at + ENDED_MEMORY_S:
                del self.gone[address]
                self.current.pop(address, None)
        for address, starts in list(self.ended.items()):
            kept = {
                started_ms: at
                for started_ms, at in starts.items()
                if now < at + ENDED_MEMORY_S
            }
            if kept:
                self.ended[address] = kept
            else:
                del self.ended[address]
