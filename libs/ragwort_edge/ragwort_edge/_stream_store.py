"""Origins of streams, recorded in the store while versions are mixed.

For each group of streams one host is told of those that begin and writes
them. A host that has started lately reads them when a caller takes up a
stream of which no host knows: all hosts may have lost power together.
"""

from collections.abc import Callable
import random
import time
from typing import Any

from twisted.internet import defer

import ragwort_membership as membership
import ragwort_model as model
import ragwort_relay as relay
import ragwort_state as state

RECORDER_ROLE = 'stream-recorder'
# Longest wait of a request for a read. The answer to a list takes some ms.
READ_TIMEOUT_S = 1.0


class StreamStore:
    """Writes the streams that this host records, and reads those of all."""

    def __init__(
        self,
        reactor: Any,
        origins: relay.StreamOrigins,
        members: membership.Membership,
        store_era: state.StoreEra,
        rng: random.Random,
        logger: Any,
        call_store: Callable[[model.StoreCall], None],
    ) -> None:
        """Call the store through call_store."""
        self.reactor = reactor
        self.origins = origins
        self.members = members
        self.logger = logger
        self.call_store = call_store
        self.register = state.StreamRegister(store_era, rng, reactor.seconds())
        self.wall_clock: Callable[[], float] = time.time
        # Streams that this host records, by group; the latest come last.
        self.groups: dict[int, dict[relay.StreamKey, None]] = {}
        self.dirty: set[int] = set()
        self.readers: list[defer.Deferred[None]] = []

    def recorder(self, first_attempt: str) -> str | None:
        """Return the address of a stream's recorder, None for this host."""
        name = self._recorder_of(state.group_of(first_attempt))
        if name == self.members.self_name:
            return None
        return self.members.members[name].update.peer_address

    def _recorder_of(self, group: int) -> str:
        [name] = membership.role_holders(
            self.members, f'{RECORDER_ROLE}/{group}', 1, None
        )
        return name

    def record(self, key: relay.StreamKey) -> None:
        """Note a stream to be written, if this host records its group."""
        group = state.group_of(key.first_attempt)
        if self._recorder_of(group) != self.members.self_name:
            return
        self.groups.setdefault(group, {})[key] = None
        self.dirty.add(group)

    def tick(self, now: float) -> None:
        """Make the store call that is due."""
        if not self.dirty and not self.register.is_read_due:
            return
        due = {
            group: self._streams(group, now)
            for group in self.register.due_groups(self.dirty, now)
        }
        for call in self.register.tick(now, due):
            if call.verb == model.StoreVerb.PUT:
                self.dirty.discard(next(iter(due)))
                self.logger.info(
                    'stream-origins-write',
                    object=call.name,
                    size=len(call.value or ''),
                )
            self.call_store(call)

    def _streams(self, group: int, now: float) -> list[state.StoredOrigin]:
        """Return what this host knows of a group; forget what has expired."""
        wall = self.wall_clock()
        found = []
        for key in list(self.groups.get(group, ())):
            told = self.origins.to_tell(key, now)
            if told is None:
                del self.groups[group][key]
                continue
            found.append(
                state.StoredOrigin(
                    told.first_attempt,
                    told.workspace,
                    told.service_name,
                    told.software_version,
                    int((wall + told.ttl_s) * 1000),
                )
            )
        return found

    def read(self) -> 'defer.Deferred[None]':
        """Read the streams, unless that was tried lately; tell the end."""
        now = self.reactor.seconds()
        done: defer.Deferred[None] = defer.Deferred()
        if not self.register.may_read(now):
            done.callback(None)
            return done
        self.readers.append(done)
        self.register.is_read_due = not self.register.is_reading
        timer = self.reactor.callLater(READ_TIMEOUT_S, self._end, done)
        done.addCallback(lambda _: timer.active() and timer.cancel())
        self.tick(now)
        return done

    def _end(self, done: 'defer.Deferred[None]') -> None:
        if done in self.readers:
            self.readers.remove(done)
            done.callback(None)

    def on_store_result(self, result: model.StoreResult, now: float) -> None:
        """Take over the streams that a list holds."""
        was_reading = self.register.is_reading
        found = self.register.on_store_result(result, now)
        if found is not None:
            for stored in found:
                self._adopt(stored, now)
            self.logger.info('stream-origins-read', streams=len(found))
        elif result.status != model.StoreStatus.OK:
            # What could not be written is due again.
            self.dirty |= self.groups.keys()
        self.tick(now)
        if was_reading:
            for done in list(self.readers):
                self._end(done)

    def _adopt(self, stored: state.StoredOrigin, now: float) -> None:
        """Record a stream that another incarnation of the hosts began."""
        ttl_s = stored.expires_ms / 1000 - self.wall_clock()
        if ttl_s <= 0.0:
            return
        key = relay.StreamKey(stored.workspace, stored.first_attempt)
        origin = relay.StreamOrigin(stored.service, stored.software_version)
        self.origins.record(key, origin, ttl_s, now, is_own=False)
        group = state.group_of(key.first_attempt)
        if self._recorder_of(group) == self.members.self_name:
            self.groups.setdefault(group, {})[key] = None
