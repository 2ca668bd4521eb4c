"""Runners listed in the store, with this host's statistics of them."""

from collections.abc import Callable
import math

import msgspec

import ragwort_model as model
import ragwort_policy as policy
from ragwort_relay import _homes

# After an outage of the store, live runners register again within this time;
# until then a missing entry does not mean that its runner is gone.
REREGISTRATION_GRACE_S = 2.0
# Runners that leave or are gone are remembered for this long, so that an
# older copy of the store does not bring them back.
DEPARTURE_MEMORY_S = 120.0
# An entry that contradicts what is known of a runner counts once it has stood
# for this time, in which the process at work would have written its own again
# and the entry of an ended one would have expired.
ENTRY_DOUBT_S = 5.0
# The same for an entry that takes back a report of leaving. Several heartbeats
# in a row may be lost, and requests would be lost with the runner.
RETURN_DOUBT_S = 30.0


class RunnerEntry(msgspec.Struct, frozen=True):
    """A runner's entry in the store.

    started_ms is the wall-clock start of this incarnation in milliseconds, 0
    if it does not say; slots is how many calls it works on at once;
    cold_remaining_s is how long it was still cold when the entry was written,
    None if it does not say.
    """

    runner: model.Runner
    started_ms: int
    slots: int
    cold_remaining_s: float | None = None

    @property
    def start(self) -> int:
        """Return a number that no other start of a runner has.

        Runners that don't say when they started have a new name each time.
        """
        name_hash = model.stable_hash(self.runner.name) >> 1
        return self.started_ms or ~name_hash


class FleetRunner(msgspec.Struct):
    """A runner's entry and what this host learned of the runner.

    era is that of the store which told the entry; unconfirmed_until is set
    while the entry is missing after an outage; rival is the entry that the
    store holds in its place while that is doubtful; slowness is the decayed
    ratio of work time to the typical time; unreachable_at is when it last took
    no connection.
    """

    entry: RunnerEntry
    state: policy.RunnerState
    era: int = 0
    unconfirmed_until: float | None = None
    is_misdirected: bool = False
    slowness: float = 1.0
    rival: RunnerEntry | None = None
    unreachable_at: float = -math.inf

    @property
    def name(self) -> str:
        """Return the runner's name."""
        return self.entry.runner.name

    @property
    def address(self) -> str:
        """Return the runner's IP address and port."""
        return self.entry.runner.address

    def is_live_of(self, service: str) -> bool:
        """Tell whether the runner is one of a service and does not leave."""
        runner = self.entry.runner
        return (
            runner.service == service and runner.state == model.HostState.LIVE
        )

    @property
    def entries(self) -> list[RunnerEntry]:
        """Return the entries of the processes that may be there."""
        return [self.entry] if self.rival is None else [self.entry, self.rival]

    @property
    def is_certain(self) -> bool:
        """Tell whether its state and its software version are known."""
        if self.unconfirmed_until is not None:
            return False
        known, rival = self.entry.runner, self.rival
        return rival is None or (
            rival.runner.state == model.HostState.LIVE
            and rival.runner.software_version == known.software_version
        )

    def is_usable(self, now: float) -> bool:
        """Tell whether new work may go to the runner."""
        if self.entry.runner.state == model.HostState.LEAVING:
            return False
        return not self.is_misdirected and now >= self.state.backoff_until


class _Departure(msgspec.Struct):
    """A runner's incarnation that leaves or whose entry was removed.

    is_leaving tells whether the runner itself said that it leaves, is_final
    whether it did so in an answer, which no entry takes back. era is that of
    the store which told it.
    """

    era: int
    at: float
    is_leaving: bool
    is_final: bool = False


class _Doubt(msgspec.Struct):
    """A version of a runner's entry that contradicts what is known.

    since is when the first such entry of its start came, stands_s how long it
    has to stand to count.
    """

    entry: RunnerEntry
    version: int
    since: float
    stands_s: float = ENTRY_DOUBT_S


class Fleet:
    """All known runners.

    A runner's entry is not always that of the process at work: a write of an
    ended process may be carried out late, and a store that returns as an older
    copy holds earlier entries. A process at work writes its own entry again
    with the next heartbeat. So an entry that only such a write explains is
    doubtful, and counts if nothing replaces it for ENTRY_DOUBT_S.
    """

    def __init__(self) -> None:
        """Start without runners."""
        self.runners: dict[str, FleetRunner] = {}
        # By name and start.
        self.departures: dict[tuple[str, int], _Departure] = {}
        # Starts that were known before, and until when, by name.
        self.former: dict[str, dict[int, float]] = {}
        # What the store holds of a runner while that is doubtful; nothing may
        # be written that says so again.
        self.doubtful: dict[str, _Doubt] = {}
        self.store_recovered_at: float | None = None
        # Since when the store has told each change.
        self.readable_since = 0.0

    def on_store_lost(self) -> None:
        """Record that the entries can't be read."""
        self.readable_since = math.inf

    def on_store_recovered(self, now: float, has_entries: bool = True) -> None:
        """Record the end of an outage of the store.

        has_entries tells whether the entries themselves can be read again.
        """
        self.store_recovered_at = now
        if has_entries:
            self.readable_since = now

    def update(
        self,
        name: str,
        entry: RunnerEntry | None,
        now: float,
        version: int = 0,
        is_believed: bool = False,
    ) -> None:
        """Store a version of a runner's entry, None if it was removed.

        is_believed tells that an entry which was doubtful counts now.
        """
        era = model.era_of(version)
        known = self.runners.get(name)
        doubt = self.doubtful.pop(name, None)
        if known is not None:
            known.rival = None
        if entry is None:
            if known is not None:
                self._remove(known, now, era)
            return
        if not is_believed and self._is_doubtful(known, entry, era):
            since = now
            if doubt is not None and doubt.entry.start == entry.start:
                since = doubt.since
            self._doubt(entry, version, since)
            return
        if entry.runner.state == model.HostState.LEAVING:
            self._record_departure(entry, now, era, is_leaving=True)
        else:
            entry = self._without_return(entry)
        if known is None or known.entry.started_ms != entry.started_ms:
            if known is not None:
                self._add_former(known, now)
            state = policy.RunnerState(entry.runner)
            self.runners[name] = FleetRunner(entry, state, era)
            return
        known.era = max(known.era, era)
        if known.address != entry.runner.address:
            known.is_misdirected = False
        self._set_entry(known, entry)
        known.unconfirmed_until = None

    def _doubt(self, entry: RunnerEntry, version: int, since: float) -> None:
        name, era = entry.runner.name, model.era_of(version)
        doubt = self.doubtful[name] = _Doubt(entry, version, since)
        if name in self.runners:
            self.runners[name].rival = entry
        departure = self.departures.get(_key(entry))
        if departure is None or entry.runner.state != model.HostState.LIVE:
            return
        is_restored = departure.era != era
        if departure.is_leaving:
            # Nobody has to write what an older copy of the store holds.
            doubt.stands_s = (
                DEPARTURE_MEMORY_S if is_restored else RETURN_DOUBT_S
            )
        else:
            # The next entry is the runner's own.
            departure.era = era

    def _is_doubtful(
        self, known: FleetRunner | None, entry: RunnerEntry, era: int
    ) -> bool:
        """Tell whether an entry may be one of before.

        A start that was replaced or leaves does not come back, but the clock
        of a runner may have been set back, and another writer may have said
        that it leaves.
        """
        if self._is_doubtful_return(entry, era):
            return True
        if known is None or known.entry.started_ms == entry.started_ms:
            return False
        return (
            entry.started_ms < known.entry.started_ms
            or entry.started_ms in self.former.get(known.name, ())
        )

    def _add_former(self, known: FleetRunner, now: float) -> None:
        if known.entry.started_ms:
            former = self.former.setdefault(known.name, {})
            former[known.entry.started_ms] = now

    def _is_doubtful_return(self, entry: RunnerEntry, era: int) -> bool:
        """Tell whether an entry of a start that left may be one of before.

        A runner whose entry had expired registers again.
        """
        departure = self.departures.get(_key(entry))
        if departure is None or departure.is_final:
            return False
        is_live = entry.runner.state == model.HostState.LIVE
        return is_live and (departure.is_leaving or departure.era != era)

    def _without_return(self, entry: RunnerEntry) -> RunnerEntry:
        """Return an entry as leaving if its start has said so in an answer."""
        departure = self.departures.get(_key(entry))
        if departure is not None and departure.is_final:
            return _as_leaving(entry)
        self.departures.pop(_key(entry), None)
        return entry

    def on_leaving(self, name: str, started_ms: int, now: float) -> bool:
        """Record that a runner's incarnation said in an answer that it leaves.

        Return whether that is news.
        """
        departure = self.departures.get((name, started_ms))
        if departure is not None and departure.is_final:
            return False
        era = departure.era if departure is not None else 0
        self.departures[name, started_ms] = _Departure(
            era, now, is_leaving=True, is_final=True
        )
        known = self.runners.get(name)
        if known is not None and known.entry.started_ms == started_ms:
            self._set_entry(known, _as_leaving(known.entry))
        return True

    def _record_departure(
        self, entry: RunnerEntry, now: float, era: int, is_leaving: bool
    ) -> None:
        known = self.departures.get(_key(entry))
        is_final = False
        if known is not None:
            is_leaving = is_leaving or known.is_leaving
            is_final = known.is_final
        self.departures[_key(entry)] = _Departure(
            era, now, is_leaving, is_final
        )

    def _remove(self, known: FleetRunner, now: float, era: int) -> None:
        recovered_at = self.store_recovered_at
        if (
            recovered_at is not None
            and now < recovered_at + REREGISTRATION_GRACE_S
        ):
            known.unconfirmed_until = recovered_at + REREGISTRATION_GRACE_S
            return
        self._record_departure(known.entry, now, era, is_leaving=False)
        self._add_former(known, now)
        del self.runners[known.name]

    def take_believed(self, now: float) -> list[tuple[RunnerEntry, int]]:
        """Remove and return the doubtful entries that count now.

        Each comes with its version.
        """
        found = []
        for name, doubt in list(self.doubtful.items()):
            known = self.runners.get(name)
            since = max(doubt.since, self.readable_since)
            if now >= since + doubt.stands_s or (
                _is_gone(known, doubt)
                and _key(doubt.entry) not in self.departures
            ):
                found.append((doubt.entry, doubt.version))
                del self.doubtful[name]
        return found

    def remove_expired(self, now: float) -> None:
        """Remove runners that did not register again in time."""
        for runner in list(self.runners.values()):
            until = runner.unconfirmed_until
            if until is not None and now >= until:
                self._add_former(runner, now)
                del self.runners[runner.name]
        for key, departure in list(self.departures.items()):
            is_recent = now < departure.at + DEPARTURE_MEMORY_S
            if not is_recent and not self._is_listed(*key):
                del self.departures[key]
        for name, starts in list(self.former.items()):
            kept = {
                started_ms: at
                for started_ms, at in starts.items()
                if now < at + DEPARTURE_MEMORY_S
            }
            if kept:
                self.former[name] = kept
            else:
                del self.former[name]

    def _is_listed(self, name: str, started_ms: int) -> bool:
        """Tell whether the store holds an entry of a runner's start."""
        known = self.runners.get(name)
        return known is not None and any(
            entry.started_ms == started_ms for entry in known.entries
        )

    def _set_entry(self, known: FleetRunner, entry: RunnerEntry) -> None:
        known.entry = entry
        known.state.runner = entry.runner

    def usable(
        self,
        service: str,
        now: float,
        homes: _homes.Homes = _homes.ANYWHERE,
        is_evacuated: Callable[[FleetRunner, float], bool] | None = None,
    ) -> list[FleetRunner]:
        """Return a service's usable runners, only certain ones if any.

        Runners outside of the homes or in evacuated domains don't count as
        certain ones either.
        """
        found = [
            runner
            for runner in self.runners.values()
            if runner.entry.runner.service == service
            and runner.is_usable(now)
            and homes.admits(runner.entry.runner.failure_domain)
            and not (is_evacuated and is_evacuated(runner, now))
        ]
        return [r for r in found if r.is_certain] or found

    def services(self) -> set[str]:
        """Return the services that have runners."""
        return {r.entry.runner.service for r in self.runners.values()}

    def end_backoffs(self, service: str, now: float) -> None:
        """Use a service's runners again that were left alone for a time."""
        for runner in self.live_runners(service):
            state = runner.state
            state.backoff_until = min(state.backoff_until, now)

    def live_runners(self, service: str) -> list[FleetRunner]:
        """Return all runners of a service that are not leaving."""
        return [r for r in self.runners.values() if r.is_live_of(service)]


def _key(entry: RunnerEntry) -> tuple[str, int]:
    return entry.runner.name, entry.started_ms


def _as_leaving(entry: RunnerEntry) -> RunnerEntry:
    runner = msgspec.structs.replace(
        entry.runner, state=model.HostState.LEAVING
    )
    return msgspec.structs.replace(entry, runner=runner)


def _is_gone(known: FleetRunner | None, doubt: _Doubt) -> bool:
    """Tell whether the start that a doubtful entry contradicts has ended."""
    if known is None:
        return True
    is_elsewhere = known.address != doubt.entry.runner.address
    return is_elsewhere and known.unreachable_at >= doubt.since
