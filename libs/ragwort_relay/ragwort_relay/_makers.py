"""Which start of a runner the results at its address belong to.

A result ends with the process that made it, and the next start of that runner
may give its handle to a result of another request. What a process tells of
itself on its own connection is first hand and goes before its entry in the
store, which may come late, from an older copy or from a process that has
ended. What follows from entries alone is worked out anew from those that are
listed, so that it ends with them, and other hosts are never told of it.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib

import msgspec

from ragwort_relay import _fleet

# Results, and starts whose entries are gone, are forgotten after this time.
ENDED_MEMORY_S = 120.0
MS_PER_S = 1000


class _Start(msgspec.Struct):
    """What is known of one start of a process at an address.

    version is that of the first entry which told it, born_ms when it began by
    its own clock; both are 0 if not known. names are the runners' names under
    which it is listed, last_at is when it was last heard of. is_replaced tells
    whether its entry has given way to that of another start, ended_at is when
    its end was told at first hand.
    """

    last_at: float
    version: int = 0
    born_ms: int = 0
    names: set[str] = msgspec.field(default_factory=set)
    is_replaced: bool = False
    ended_at: float | None = None

    def is_followed_by(self, other: '_Start') -> bool:
        """Tell whether another start at this address began later.

        A late write misleads the order of the entries, a clock that was set
        back that of the starts. A listed start ends only if both say so, and
        not while its own runner's entry is doubtful.
        """
        if self.names & other.names:
            return False
        signs = []
        if self.version and other.version:
            signs.append(other.version > self.version)
        if self.born_ms and other.born_ms:
            signs.append(other.born_ms > self.born_ms)
        if not signs:
            return True
        return all(signs) if self.names else any(signs)


class _Place(msgspec.Struct):
    """The starts of processes at one address.

    told is the start that was told last at first hand, 0 if there is none;
    is_vouched tells whether the connection that told it is open here, is_down
    whether connections are refused.
    """

    starts: dict[int, _Start] = msgspec.field(default_factory=dict)
    told: int = 0
    is_vouched: bool = False
    is_down: bool = False

    def current(self) -> int:
        """Return the start that is believed to be there, 0 if none is."""
        if self.told:
            return self.told
        alive = [
            (bool(start.names), start.born_ms, start.version, number)
            for number, start in self.starts.items()
            if start.ended_at is None and not start.is_replaced
        ]
        return max(alive)[-1] if alive else 0

    def has_ended(self, number: int) -> bool:
        """Tell whether a start is over."""
        if self.is_vouched:
            return number != self.told
        if self.is_down and number == self.current():
            return True
        start = self.starts.get(number)
        if start is None or number == self.told:
            return False
        if start.ended_at is not None or start.is_replaced:
            return True
        return self.is_outdated(start)

    def is_outdated(self, start: _Start) -> bool:
        """Tell whether a listed start began later than this one."""
        return any(
            start.is_followed_by(other)
            for other in self.starts.values()
            if other is not start and other.names and other.ended_at is None
        )

    def ended(self) -> set[int]:
        """Return the known starts that are over."""
        return {number for number in self.starts if self.has_ended(number)}


class MakerStarts:
    """The starts of runners at each address, as RunnerEntry.start.

    A start of 0 is one that is not known.
    """

    def __init__(self) -> None:
        """Start without any."""
        self.places: dict[str, _Place] = {}
        # The address and start of each of a runner's entries, by its name.
        self.listings: dict[str, set[tuple[str, int]]] = {}
        # Counts the changes after which has_ended may answer otherwise.
        self.change_count = 0
        # Called with an address where a start is over, or another process has
        # come.
        self.on_ended: Callable[[str], None] = lambda address: None
        # Called with an address whose entry contradicts what its process told.
        self.on_doubt: Callable[[str], None] = lambda address: None

    @contextlib.contextmanager
    def _changing(self, address: str) -> Iterator[_Place]:
        """Change what is known of an address; tell of starts that end."""
        place = self.places.setdefault(address, _Place())
        told_before = place.told, place.is_vouched
        was_down, ended_before = place.is_down, place.ended()
        yield place
        ended = place.ended()
        has_successor = was_down and not place.is_down
        if (place.told, place.is_vouched) != told_before or (
            ended != ended_before
        ):
            self.change_count += 1
        if ended - ended_before or (ended and has_successor):
            self.on_ended(address)

    def on_entries(
        self, runner: _fleet.FleetRunner, version: int, now: float
    ) -> None:
        """Record a runner's entry, and the doubtful one beside it.

        version is that of the entry that came last.
        """
        listed = {(e.runner.address, e.start): e for e in runner.entries}
        before = self.listings.get(runner.name, set())
        self.listings[runner.name] = set(listed)
        starts = {start for _, start in listed}
        for listing in before - listed.keys():
            is_replaced = listing[1] not in starts
            self._unlist(runner.name, listing, now, is_replaced)
        for (address, _), entry in listed.items():
            if (address, entry.start) in before:
                continue
            if self._list(runner.name, entry, version, now):
                self.on_doubt(address)

    def _list(
        self, name: str, entry: _fleet.RunnerEntry, version: int, now: float
    ) -> bool:
        """List a start; return whether it contradicts the process there.

        A connection may outlive its process for a while at this end, so that
        a start which was not heard of before is believed until on_told.
        """
        with self._changing(entry.runner.address) as place:
            is_new = entry.start not in place.starts
            start = place.starts.setdefault(entry.start, _Start(now))
            start.version = start.version or version
            start.born_ms = entry.started_ms
            start.names.add(name)
            start.is_replaced = False
            if not is_new:
                return False
            place.is_down = False
            told = place.starts.get(place.told)
            if told is None or not told.is_followed_by(start):
                return False
            was_vouched, place.is_vouched = place.is_vouched, False
            place.told = 0
        return was_vouched

    def on_gone(self, name: str, now: float) -> None:
        """Record that a runner's entry was removed; it may be back."""
        for listing in self.listings.pop(name, ()):
            self._unlist(name, listing, now, is_replaced=False)

    def _unlist(
        self,
        name: str,
        listing: tuple[str, int],
        now: float,
        is_replaced: bool,
    ) -> None:
        address, number = listing
        with self._changing(address) as place:
            start = place.starts[number]
            start.names.discard(name)
            start.last_at = now
            start.is_replaced = is_replaced and not start.names

    def on_told(self, address: str, started_ms: int, now: float) -> bool:
        """Record a start that the process at an address tells of itself.

        It tells so on a connection that stays open until on_closed. Return
        whether an earlier start is over by that.
        """
        with self._changing(address) as place:
            before = place.current()
            self._tell(place, started_ms, now)
            for number, start in place.starts.items():
                if number != started_ms and start.ended_at is None:
                    start.ended_at = now
            place.is_vouched = True
            place.is_down = False
        return before not in (0, started_ms)

    def _tell(self, place: _Place, started_ms: int, now: float) -> None:
        start = place.starts.setdefault(started_ms, _Start(now))
        start.ended_at = None
        start.is_replaced = False
        start.born_ms = start.born_ms or max(started_ms, 0)
        start.last_at = now
        place.told = started_ms

    def on_lost(self, address: str, now: float) -> bool:
        """Record that any process may be at an address now.

        One that tells no start has ended, or its connection alone. Return
        whether a start is over by that.
        """
        with self._changing(address) as place:
            before = place.current()
            if before:
                place.starts[before].ended_at = now
            self._tell(place, -1 - int(now * MS_PER_S), now)
        return bool(before)

    def on_down(self, address: str) -> None:
        """Record that no process is at an address, until on_up or a start."""
        with self._changing(address) as place:
            place.is_down = place.is_down or not place.is_vouched

    def on_up(self, address: str) -> None:
        """Record that a process may be at an address."""
        if address in self.places:
            self.places[address].is_down = False

    def on_closed(self, address: str) -> None:
        """Record that a process' connection has ended, maybe with it."""
        if address in self.places:
            self.places[address].is_vouched = False

    def on_news(
        self,
        address: str,
        started_ms: int,
        ended: Iterable[int],
        now: float,
    ) -> None:
        """Record what the process at an address told another host.

        ended are the starts that are over.
        """
        with self._changing(address) as place:
            if place.is_vouched:
                return
            for number in ended:
                start = place.starts.setdefault(number, _Start(now))
                start.ended_at = start.last_at = now
                if place.told == number:
                    place.told = 0
            known = place.starts.get(started_ms, _Start(now))
            known.born_ms = known.born_ms or max(started_ms, 0)
            if started_ms and not place.is_outdated(known):
                self._tell(place, started_ms, now)

    def start_at(self, address: str) -> int:
        """Return the start that is believed to be at an address now."""
        place = self.places.get(address)
        return place.current() if place is not None else 0

    def told_at(self, address: str) -> tuple[int, list[int], bool]:
        """Return what is known at first hand of an address.

        It is the start that is there, 0 if that is not known, those that are
        over, and whether connections are refused.
        """
        place = self.places.get(address, _Place())
        ended = [
            number
            for number, start in place.starts.items()
            if start.ended_at is not None
        ]
        return place.told, ended, place.is_down

    def has_ended(self, address: str, started_ms: int) -> bool:
        """Tell whether the process that made results at a start has ended."""
        place = self.places.get(address)
        if not started_ms or place is None:
            return False
        return place.has_ended(started_ms)

    def has_successor(self, address: str, started_ms: int) -> bool:
        """Tell whether another process may be there by now.

        Its results may bear the handles of those that a start made.
        """
        place = self.places.get(address)
        if place is None or place.is_down:
            return False
        return self.has_ended(address, started_ms)

    def forget(self, now: float, readable_since: float) -> None:
        """Forget old starts, and doubts that the entries have ended.

        The store has told all changes since readable_since. By then the entry
        of an ended process would have expired, and a process at work would
        have written its own.
        """
        for address, place in list(self.places.items()):
            for number, start in list(place.starts.items()):
                if start.names or (place.is_vouched and number == place.told):
                    start.last_at = now
                elif now >= start.last_at + ENDED_MEMORY_S:
                    del place.starts[number]
            if place.told not in place.starts:
                place.told = 0
            settled_at = now - _fleet.ENTRY_DOUBT_S
            if settled_at >= readable_since:
                self._settle(address, place, settled_at)
            if not place.starts and not place.is_down:
                del self.places[address]

    def _settle(self, address: str, place: _Place, settled_at: float) -> None:
        """Believe entries that have been listed, or not, since a time."""
        has_listed = any(start.names for start in place.starts.values())
        for number, start in place.starts.items():
            is_told = number == place.told
            if start.names:
                ended_at = start.ended_at
                if ended_at is not None and ended_at <= settled_at:
                    with self._changing(address):
                        start.ended_at = None
            elif not has_listed or start.last_at > settled_at:
                continue
            elif not start.is_replaced and (start.born_ms or not is_told):
                with self._changing(address):
                    start.is_replaced = True
                    place.told = 0 if is_told else place.told
