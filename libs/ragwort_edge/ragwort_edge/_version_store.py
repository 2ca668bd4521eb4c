"""Software versions of services, read from the store and written there.

A host that started lately reads them when it has to know which version began
a stream and no other host remembers; the elected host writes the changes.
"""

from collections.abc import Callable
import math
import random
import time
from typing import Any

from twisted.internet import defer

import ragwort_membership as membership
import ragwort_model as model
import ragwort_relay as relay
import ragwort_state as state

WRITER_ROLE = 'stream-version-writer'
# A host writes once it has been elected for this long: at a start of all
# hosts each is alone for a moment.
WRITER_DELAY_S = 3.0
# Longest wait of a request for a read. The answer to a list takes some ms;
# one call to the store is given up after 1.5 s.
READ_TIMEOUT_S = 1.0
# Time of day at which hosts may differ: added to the age of what another host
# wrote, so that it counts for longer.
MAX_CLOCK_SKEW_S = 5.0
# A version counts as there for so long after it was seen. Hosts look at all
# runners each second, and to look at 5,900 in each tick would take 1 % of a
# core.
PRESENT_S = 1.5
# Hosts that were started together differ in their starts by less than this:
# one attempt to join and the time of a process to start, on a busy machine.
START_SPREAD_S = 10.0


class VersionStore:
    """Adds what the store knows to a host's versions, and writes those."""

    def __init__(
        self,
        reactor: Any,
        catalog: relay.RelayCatalog,
        members: membership.Membership,
        store_era: state.StoreEra,
        rng: random.Random,
        logger: Any,
        call_store: Callable[[model.StoreCall], None],
    ) -> None:
        """Call the store through call_store."""
        self.reactor = reactor
        self.catalog = catalog
        self.origins = catalog.stream_origins
        self.members = members
        self.logger = logger
        self.call_store = call_store
        self.register = state.VersionRegister(
            store_era, rng, reactor.seconds()
        )
        self.wall_clock: Callable[[], float] = time.time
        self.elected_at: float | None = None
        # Set if the store had no entry of this host when it registered.
        self.is_new_host = False
        # Set if no host had run before those that are there now.
        self.is_first_fleet = False
        self.readers: list[defer.Deferred[None]] = []
        self.has_tried = False

    def tick(self, now: float) -> None:
        """Make the store call that is due."""
        is_writer = self._is_writer(now)
        if not is_writer and not self.register.is_read_due:
            self.register.was_writer = False
            return
        wall = self.wall_clock()
        known = self._known(now, wall) if is_writer else {}
        for call in self.register.tick(now, wall, known, is_writer):
            if call.verb == model.StoreVerb.PUT:
                self.logger.info(
                    'stream-versions-write',
                    object=call.name,
                    value=call.value,
                )
            self.call_store(call)

    def _is_writer(self, now: float) -> bool:
        if not membership.is_elected(self.members, WRITER_ROLE, 1, None):
            self.elected_at = None
            return False
        if self.elected_at is None:
            self.elected_at = now
        return now >= self.elected_at + WRITER_DELAY_S

    def _known(
        self, now: float, wall: float
    ) -> dict[str, state.ServiceVersions]:
        """Return what this host knows of services that stream."""
        configuration = self.catalog.configuration
        if configuration is None:
            return {}
        # Before the first hosts there were no streams.
        before_s = 0.0
        if self.is_first_fleet:
            before_s = self.origins.memory_s + 2 * MAX_CLOCK_SKEW_S
        return {
            service: state.ServiceVersions(
                wall - (now - self.origins.known_since(service)) - before_s,
                {
                    version: None
                    if now < at + PRESENT_S
                    else wall - (now - at)
                    for version, at in self.origins.versions(
                        service, now
                    ).items()
                },
            )
            for service in sorted(configuration.streaming_services)
        }

    def read(self, max_age_s: float = math.inf) -> 'defer.Deferred[None]':
        """Read the versions, unless that was tried lately; tell the end.

        What was read lately stands for so long.
        """
        now = self.reactor.seconds()
        done: defer.Deferred[None] = defer.Deferred()
        if not self.register.may_read(now, max_age_s):
            done.callback(None)
            return done
        self.has_tried = True
        self.readers.append(done)
        self.register.request_read()
        timer = self.reactor.callLater(READ_TIMEOUT_S, self._end, done)
        done.addCallback(lambda _: timer.active() and timer.cancel())
        self.tick(now)
        return done

    def has_read_since(self, at: float) -> bool:
        """Tell whether the store has told the versions since a time."""
        return self.register.read_at >= at

    @property
    def has_failed(self) -> bool:
        """Tell whether a read was tried and none has succeeded."""
        return self.has_tried and self.register.read_era is None

    def _end(self, done: 'defer.Deferred[None]') -> None:
        if done in self.readers:
            self.readers.remove(done)
            done.callback(None)

    def has_run_for(self, address: str, seconds: float) -> bool:
        """Tell whether another host has run for so long.

        Its incarnation begins at its start's time of day, in seconds.
        """
        name = self.members.by_address.get(address)
        member = None if name is None else self.members.members.get(name)
        if member is None:
            return False
        age_s = self.wall_clock() - member.update.incarnation
        return age_s >= seconds + MAX_CLOCK_SKEW_S

    def on_store_result(self, result: model.StoreResult, now: float) -> None:
        """Take over the versions that a list holds."""
        found = self.register.on_store_result(result, now)
        if found is not None:
            self.is_first_fleet = self._is_first_fleet()
            for service, versions in found.items():
                self._adopt(service, versions, now)
            self.logger.info('stream-versions-read', services=sorted(found))
        self.tick(now)
        if not self.register.is_read_due and not self.register.is_reading:
            for done in list(self.readers):
                self._end(done)

    def _is_first_fleet(self) -> bool:
        """Tell whether no host ran before those that are there now.

        A store in a later era may have lost the entries of earlier hosts.
        """
        if self.register.stored or not self.is_new_host:
            return False
        members = self.members.members
        own = members[self.members.self_name].update.incarnation
        earliest = min(m.update.incarnation for m in members.values())
        is_first_era = self.register.store_era.current == 0
        return is_first_era and own <= earliest + START_SPREAD_S

    def _adopt(
        self, service: str, stored: state.ServiceVersions, now: float
    ) -> None:
        """Add versions from the store, as if seen some seconds later.

        Of one that counts as there this host may know better that it ended.
        """
        wall = self.wall_clock()
        known = self.origins.versions(service, now)
        for version, last in stored.last_seen.items():
            if last is None and version in known:
                continue
            age_s = 0.0 if last is None else wall - last - MAX_CLOCK_SKEW_S
            self.origins.observe_version(
                service, version, now - max(age_s, 0.0), now
            )
        age_s = wall - stored.since - MAX_CLOCK_SKEW_S
        self.origins.extend_knowledge(service, now - age_s)
