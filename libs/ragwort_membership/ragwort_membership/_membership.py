"""Failure detection between nodes by probing, suspicion and incarnations.

The protocol is SWIM (Das, Gupta, Motivala, 2002) with the local health
multiplier of Lifeguard (Dadgar, Phillips, Currey, 2018): a node whose own
probes fail waits longer before it suspects its peers.
"""

import bisect
from collections.abc import Iterable
import math
import random
import statistics

import msgspec

from ragwort_membership import _departed
import ragwort_model as model

PROBE_INTERVAL_S = 1.0
RECONNECT_AFTER_S = 0.25
INDIRECT_AFTER_S = 0.5
PROBE_TIMEOUT_S = 1.0
INDIRECT_PROBE_COUNT = 3
MIN_SUSPICION_S = 3.0
MAX_HEALTH_PENALTY = 4
MAX_PIGGYBACKED_UPDATES = 8
RETRANSMIT_FACTOR = 3
ANNOUNCE_FANOUT = 8
DEAD_PROBE_INTERVAL_S = 5.0
MIN_SYNC_INTERVAL_S = 1.0
SYNC_INTERVAL_PER_MEMBER_S = 0.04
JOIN_INTERVAL_S = 1.0
REJOIN_INTERVAL_S = 5.0
# Ages at which a node asks a seed once more for its list: nodes that start
# together join before the seeds know the rest of them.
ASK_AGAIN_AGES_S = (0.4, 1.0, 2.0)
ASK_SPREAD_STEPS = 1000
FORGET_AFTER_S = 3600.0
MAX_CLOCK_SAMPLES = 16
# Incarnations begin at the time of day in seconds and are sent in 64 bits; a
# node that refutes a record needs room for the next one.
MAX_INCARNATION = 2**62
# Above any host's; sums and quotients of such capacities are finite.
MAX_CAPACITY = 1e12


class Member(msgspec.Struct):
    """Latest record of a node; updated_at is when this node adopted it."""

    update: model.MemberUpdate
    updated_at: float

    @property
    def is_alive(self) -> bool:
        """Tell whether the node is neither suspected, dead nor left."""
        return self.update.status == model.MemberStatus.ALIVE


class _Probe(msgspec.Struct):
    sequence: int
    target: str
    started_at: float
    reconnect_sent: bool = False
    indirect_sent: bool = False


class _IndirectProbe(msgspec.Struct):
    """A probe made for another node, whose address is requester."""

    requester: str
    sequence: int
    expires_at: float


class MemberChanged(msgspec.Struct, frozen=True):
    """Event: the status or record of a member changed."""

    update: model.MemberUpdate


class Membership:
    """One node's view of the nodes and their status."""

    def __init__(
        self,
        host: model.EntryHost,
        seeds: Iterable[str],
        rng: random.Random,
        now: float,
        wall: float,
        join_interval_s: float = JOIN_INTERVAL_S,
        is_bounded: bool = False,
    ) -> None:
        """Start with only this node, not yet accepting requests.

        The incarnation starts at the wall time. A node that knows no
        other live node contacts a seed every join_interval_s. With is_bounded
        it probes the ring of names as well and tells of departures at once,
        for a directory that may name a departed node for a bounded time only.
        """
        self.is_bounded = is_bounded
        self.join_interval_s = join_interval_s
        self.rng = rng
        seeds = list(seeds)
        self.seeds = [s for s in seeds if s != host.peer_address]
        self.self_name = host.name
        own = model.MemberUpdate(
            host.name,
            int(wall),
            model.MemberStatus.ALIVE,
            host.caller_address,
            host.peer_address,
            host.failure_domain,
            host.region,
            False,
            host.capacity,
            host.hand_over_address,
        )
        self.members: dict[str, Member] = {host.name: Member(own, now)}
        self.by_address: dict[str, str] = {host.peer_address: host.name}
        self.pending_updates: dict[str, int] = {}
        self.probe: _Probe | None = None
        self.indirect_probes: dict[int, _IndirectProbe] = {}
        self.probe_order: list[str] = []
        # Whether the last probe was of the next node in the ring of names.
        self.is_ring_turn = False
        self.departures = _departed.Departures()
        self.sequence = 0
        self.health_penalty = 0
        self.next_probe_at = now + rng.uniform(0, PROBE_INTERVAL_S)
        self.next_dead_probe_at = now + DEAD_PROBE_INTERVAL_S
        self.next_sync_at = now
        self.next_join_at = now
        # Each node has its own share of the spread, so that asks don't meet.
        spread = model.stable_hash('ask-again', host.name) % ASK_SPREAD_STEPS
        self.ask_again_at = [
            now + age_s * (0.75 + 0.5 * spread / ASK_SPREAD_STEPS)
            for age_s in ASK_AGAIN_AGES_S
        ]
        self.is_seed = host.peer_address in seeds
        self.changes: list[MemberChanged] = []
        self.version = 0
        self.cache_version = -1
        self.view_hash_version = -1
        self.cached_view_hash = 0
        self.live_cache: dict[str | None, list[model.MemberUpdate]] = {}
        self.role_cache: dict[tuple[str, int, str | None], list[str]] = {}
        self.owner_cache: dict[tuple[str, int], list[str]] = {}
        self.clock_offsets: dict[str, float] = {}
        self._queue_update(host.name)

    @property
    def own(self) -> model.MemberUpdate:
        """Return this node's own record."""
        return self.members[self.self_name].update

    def live(self, region: str | None = None) -> list[model.MemberUpdate]:
        """Return the records of live nodes, sorted by name."""
        self.refresh_caches()
        known = self.live_cache.get(region)
        if known is None:
            known = [
                self.members[name].update
                for name in sorted(self.members)
                if self.members[name].is_alive
                and region in (None, self.members[name].update.region)
            ]
            self.live_cache[region] = known
        return known

    def refresh_caches(self) -> None:
        """Clear caches that were computed for an earlier version."""
        if self.cache_version != self.version:
            self.cache_version = self.version
            self.live_cache.clear()
            self.role_cache.clear()
            self.owner_cache.clear()

    def peer_addresses(self) -> list[str]:
        """Return the peer addresses of the other live nodes."""
        return [
            update.peer_address
            for update in self.live()
            if update.name != self.self_name
        ]

    def departed_for(self, seconds: float, now: float) -> list[str]:
        """Return the names of nodes dead or left for this long."""
        return [
            name
            for name, member in sorted(self.members.items())
            if member.update.status >= model.MemberStatus.DEAD
            and now - member.updated_at >= seconds
        ]

    def is_alive(self, name: str) -> bool:
        """Tell whether the named node is known and not suspected."""
        member = self.members.get(name)
        return member is not None and member.is_alive

    def clock_offset(self) -> float:
        """Return the median of peers' wall clocks minus ours, in seconds."""
        if not self.clock_offsets:
            return 0.0
        return statistics.median(self.clock_offsets.values())

    def set_accepting(self, accepting: bool, now: float) -> None:
        """Announce whether this node takes new requests."""
        if self.own.accepting == accepting:
            return
        self._replace_own(
            now,
            incarnation=self.own.incarnation + 1,
            accepting=accepting,
        )

    def leave(self, now: float, wall: float) -> list[model.SendPeerMessage]:
        """Mark this node as left and return messages that announce it."""
        self._replace_own(
            now,
            incarnation=self.own.incarnation + 1,
            status=model.MemberStatus.LEFT,
            accepting=False,
        )
        return self.announce(wall)

    def announce(self, wall: float) -> list[model.SendPeerMessage]:
        """Return messages that send this node's record to peers at once."""
        peers = self.peer_addresses()
        targets = self.rng.sample(peers, min(ANNOUNCE_FANOUT, len(peers)))
        return [self._ping(address, wall) for address in targets]

    def _replace_own(
        self,
        now: float,
        incarnation: int,
        accepting: bool | None = None,
        status: model.MemberStatus | None = None,
    ) -> None:
        own = self.own
        update = msgspec.structs.replace(
            own,
            incarnation=incarnation,
            accepting=own.accepting if accepting is None else accepting,
            status=own.status if status is None else status,
        )
        self._set_record(update, now)

    def _set_record(self, update: model.MemberUpdate, now: float) -> None:
        known = self.members.get(update.name)
        if known is not None and update.name != self.self_name:
            self.departures.on_record(update, known.update, now)
        self.members[update.name] = Member(update, now)
        self.by_address[update.peer_address] = update.name
        self.version += 1
        self.changes.append(MemberChanged(update))
        self._queue_update(update.name)

    def _queue_update(self, name: str) -> None:
        size = len(self.members)
        rounds = RETRANSMIT_FACTOR * math.ceil(math.log10(size + 1))
        self.pending_updates[name] = rounds

    def _take_updates(self) -> list[model.MemberUpdate]:
        """Return the least often sent updates and count them as sent."""
        names = sorted(
            self.pending_updates, key=lambda n: (-self.pending_updates[n], n)
        )
        chosen = names[:MAX_PIGGYBACKED_UPDATES]
        for name in chosen:
            self.pending_updates[name] -= 1
            if self.pending_updates[name] <= 0:
                del self.pending_updates[name]
        return [self.members[n].update for n in chosen if n in self.members]

    def _ping(
        self,
        address: str,
        wall: float,
        reconnect: bool = False,
        sequence: int = 0,
    ) -> model.SendPeerMessage:
        if not sequence:
            self.sequence += 1
            sequence = self.sequence
        updates = self._take_updates()
        message = model.Ping(sequence, wall, self.get_view_hash(), updates)
        return model.SendPeerMessage(address, message, reconnect)

    def get_view_hash(self) -> int:
        """Return a hash over the nodes not known as dead or left.

        Piggybacked updates may all be lost, most often when many nodes
        join at once; unequal hashes reveal that and trigger a full sync.
        """
        if self.view_hash_version != self.version:
            self.view_hash_version = self.version
            self.cached_view_hash = 0
            for member in self.members.values():
                self.cached_view_hash ^= _record_hash(member.update)
        return self.cached_view_hash

    def tick(self, now: float, wall: float) -> list[model.SendPeerMessage]:
        """Return the messages due now."""
        messages = self._join(now) + self._ask_again(now)
        messages += self._advance_probe(now, wall)
        if self.probe is None and now >= self.next_probe_at:
            messages += self._start_probe(now, wall)
        if now >= self.next_dead_probe_at:
            messages += self._probe_dead(now, wall)
        self._expire(now)
        return messages + self._tell_departures(now, wall)

    def _tell_departures(
        self, now: float, wall: float
    ) -> list[model.SendPeerMessage]:
        """Tell a few peers at once of nodes that depart."""
        if not self.is_bounded:
            return []
        names = self.departures.take_untold(now)
        updates = [self.members[n].update for n in names if n in self.members]
        if not updates:
            return []
        peers = self.peer_addresses()
        count = min(_departed.TELL_FANOUT, len(peers))
        # No probe has number 0: the message asks for no answer.
        message = model.Ack(0, wall, updates)
        return [
            model.SendPeerMessage(address, message)
            for address in self.rng.sample(peers, count)
        ]

    def _join(self, now: float) -> list[model.SendPeerMessage]:
        """Contact a seed that is not among the live nodes.

        Nodes that start together may each find another seed first; without
        this their groups would never hear of each other.
        """
        if now < self.next_join_at:
            return []
        live = {update.peer_address for update in self.live()}
        missing = [seed for seed in self.seeds if seed not in live]
        is_isolated = len(live) == 1
        interval_s = self.join_interval_s if is_isolated else REJOIN_INTERVAL_S
        self.next_join_at = now + interval_s * self.rng.uniform(0.75, 1.25)
        if not missing:
            return []
        message = model.MemberSync(self._records(), True)
        return [model.SendPeerMessage(self.rng.choice(missing), message, True)]

    def _ask_again(self, now: float) -> list[model.SendPeerMessage]:
        """Ask a live seed for its list while the fleet may have just begun.

        Seeds tell each other all they know; other nodes tell themselves.
        """
        if not self.ask_again_at or now < self.ask_again_at[0]:
            return []
        del self.ask_again_at[0]
        live = set(self.peer_addresses())
        asked = [seed for seed in self.seeds if seed in live] or sorted(live)
        if not asked:
            return []
        records = self._records() if self.is_seed else [self.own]
        message = model.MemberSync(records, True)
        left = str(len(self.ask_again_at))
        choice = model.stable_hash(self.self_name, left) % len(asked)
        return [model.SendPeerMessage(asked[choice], message)]

    def _records(self) -> list[model.MemberUpdate]:
        return [self.members[name].update for name in sorted(self.members)]

    def _start_probe(
        self, now: float, wall: float
    ) -> list[model.SendPeerMessage]:
        self.next_probe_at = now + PROBE_INTERVAL_S
        target = self._next_probe_target()
        if target is None:
            return []
        self.sequence += 1
        self.probe = _Probe(self.sequence, target, now)
        return [self._ping(target, wall, sequence=self.sequence)]

    def _next_probe_target(self) -> str | None:
        """Return the next address: of the ring, then of a shuffled round.

        By chance alone, a node of a large fleet may be probed by no other for
        five seconds or more; its predecessor in the ring probes it every two.
        """
        self.is_ring_turn = self.is_bounded and not self.is_ring_turn
        if self.is_ring_turn:
            return self._ring_successor()
        while True:
            if not self.probe_order:
                self.probe_order = self._new_probe_order()
                if not self.probe_order:
                    return None
            name = self.probe_order.pop()
            member = self.members.get(name)
            if member is not None and self._is_probed(member):
                return member.update.peer_address

    def _ring_successor(self) -> str | None:
        """Return the address of the next live node in the ring of names."""
        live = self.live()
        names = [update.name for update in live]
        after = bisect.bisect_right(names, self.self_name)
        found = live[after % len(live)] if live else None
        if found is None or found.name == self.self_name:
            return None
        return found.peer_address

    def _is_probed(self, member: Member) -> bool:
        status = member.update.status
        return (
            member.update.name != self.self_name
            and status <= model.MemberStatus.SUSPECT
        )

    def _new_probe_order(self) -> list[str]:
        names = [
            n for n in sorted(self.members) if self._is_probed(self.members[n])
        ]
        self.rng.shuffle(names)
        return names

    def _advance_probe(
        self, now: float, wall: float
    ) -> list[model.SendPeerMessage]:
        probe = self.probe
        if probe is None:
            return []
        waited = (now - probe.started_at) / (1 + self.health_penalty)
        if waited >= PROBE_TIMEOUT_S:
            self.probe = None
            self.health_penalty = min(
                self.health_penalty + 1, MAX_HEALTH_PENALTY
            )
            self._suspect(probe.target, now)
            return []
        if waited >= INDIRECT_AFTER_S and not probe.indirect_sent:
            probe.indirect_sent = True
            return self._request_indirect_probes(probe)
        if waited >= RECONNECT_AFTER_S and not probe.reconnect_sent:
            # The connection may have failed while the node is alive.
            probe.reconnect_sent = True
            return [self._ping(probe.target, wall, True, probe.sequence)]
        return []

    def _request_indirect_probes(
        self, probe: _Probe
    ) -> list[model.SendPeerMessage]:
        others = [a for a in self.peer_addresses() if a != probe.target]
        count = min(INDIRECT_PROBE_COUNT, len(others))
        return [
            model.SendPeerMessage(
                address,
                model.IndirectPing(
                    probe.sequence, probe.target, self._take_updates()
                ),
            )
            for address in self.rng.sample(others, count)
        ]

    def _suspect(self, address: str, now: float) -> None:
        member = self.members.get(self.by_address.get(address, ''))
        if member is None or not member.is_alive:
            return
        self._set_record(
            msgspec.structs.replace(
                member.update, status=model.MemberStatus.SUSPECT
            ),
            now,
        )

    def _suspicion_timeout_s(self) -> float:
        return MIN_SUSPICION_S * max(1.0, math.log10(len(self.members)))

    def _expire(self, now: float) -> None:
        """Declare overdue suspects dead and delete what has expired."""
        for name, member in list(self.members.items()):
            age = now - member.updated_at
            status = member.update.status
            if status == model.MemberStatus.SUSPECT:
                if age >= self._suspicion_timeout_s():
                    dead = msgspec.structs.replace(
                        member.update, status=model.MemberStatus.DEAD
                    )
                    self._set_record(dead, now)
            elif status >= model.MemberStatus.DEAD and age >= FORGET_AFTER_S:
                del self.members[name]
                self.departures.forget(member.update.peer_address)
                self.version += 1
                self.pending_updates.pop(name, None)
                self.clock_offsets.pop(name, None)
        for sequence, indirect in list(self.indirect_probes.items()):
            if now >= indirect.expires_at:
                del self.indirect_probes[sequence]

    def _probe_dead(
        self, now: float, wall: float
    ) -> list[model.SendPeerMessage]:
        """Probe a random dead node, to notice a healed network partition."""
        jitter = self.rng.uniform(0.75, 1.25)
        self.next_dead_probe_at = now + DEAD_PROBE_INTERVAL_S * jitter
        dead = [
            member.update
            for _, member in sorted(self.members.items())
            if member.update.status == model.MemberStatus.DEAD
        ]
        if not dead:
            return []
        update = self.rng.choice(dead)
        self.sequence += 1
        message = model.Ping(
            self.sequence, wall, self.get_view_hash(), [update]
        )
        return [model.SendPeerMessage(update.peer_address, message, True)]

    def on_ping(
        self, sender: str, message: model.Ping, now: float, wall: float
    ) -> list[model.SendPeerMessage]:
        """Answer a probe."""
        self._record_clock_offset(sender, message.wall, wall)
        self.merge(message.updates, now)
        ack = model.Ack(message.sequence, wall, self._take_updates())
        replies = [model.SendPeerMessage(sender, ack)]
        return replies + self._reconcile(sender, message.view, now)

    def _reconcile(
        self, sender: str, view: int, now: float
    ) -> list[model.SendPeerMessage]:
        """Exchange full lists with a node whose view differs.

        The interval grows with the list, which bounds the bytes per
        second while nodes come and go.
        """
        if view == self.get_view_hash() or now < self.next_sync_at:
            return []
        interval_s = max(
            MIN_SYNC_INTERVAL_S, len(self.members) * SYNC_INTERVAL_PER_MEMBER_S
        )
        self.next_sync_at = now + interval_s * self.rng.uniform(0.75, 1.25)
        return [
            model.SendPeerMessage(
                sender, model.MemberSync(self._records(), True)
            )
        ]

    def on_ack(
        self, sender: str, message: model.Ack, now: float, wall: float
    ) -> list[model.SendPeerMessage]:
        """Handle the answer to a probe of ours or one made for a peer."""
        self._record_clock_offset(sender, message.wall, wall)
        self.merge(message.updates, now)
        indirect = self.indirect_probes.pop(message.sequence, None)
        if indirect is not None:
            ack = model.Ack(indirect.sequence, wall, self._take_updates())
            return [model.SendPeerMessage(indirect.requester, ack)]
        probe = self.probe
        if probe is not None and probe.sequence == message.sequence:
            self.probe = None
            self.health_penalty = max(self.health_penalty - 1, 0)
        return []

    def on_indirect(
        self, sender: str, message: model.IndirectPing, now: float, wall: float
    ) -> list[model.SendPeerMessage]:
        """Probe a target for a peer that cannot reach it."""
        self.merge(message.updates, now)
        self.sequence += 1
        self.indirect_probes[self.sequence] = _IndirectProbe(
            sender, message.sequence, now + PROBE_TIMEOUT_S
        )
        return [self._ping(message.target, wall, True, self.sequence)]

    def on_sync(
        self, sender: str, message: model.MemberSync, now: float
    ) -> list[model.SendPeerMessage]:
        """Merge a full list, and reply with ours if asked."""
        # Records from a full list are not piggybacked as well: in a large
        # fleet that starts at once, sending them all would take minutes.
        pending = dict(self.pending_updates)
        self.merge(message.members, now)
        own_rounds = self.pending_updates.get(self.self_name)
        self.pending_updates = pending
        if own_rounds is not None:
            self.pending_updates[self.self_name] = own_rounds
        if not message.reply:
            return []
        return [
            model.SendPeerMessage(
                sender, model.MemberSync(self._records(), False)
            )
        ]

    def _record_clock_offset(
        self, sender: str, theirs: float, ours: float
    ) -> None:
        name = self.by_address.get(sender)
        if name is None:
            return
        self.clock_offsets.pop(name, None)
        self.clock_offsets[name] = theirs - ours
        while len(self.clock_offsets) > MAX_CLOCK_SAMPLES:
            del self.clock_offsets[next(iter(self.clock_offsets))]

    def merge(self, updates: list[model.MemberUpdate], now: float) -> None:
        """Adopt newer records, and refute false ones about this node.

        Records with damaged numbers are passed over.
        """
        for update in updates:
            if not _is_sound(update):
                continue
            if update.name == self.self_name:
                self._refute(update, now)
                continue
            known = self.members.get(update.name)
            is_departed = update.status >= model.MemberStatus.DEAD
            if known is None and is_departed:
                # An unknown node that is dead or left needs no record.
                continue
            if known is None or _is_newer(update, known.update):
                self._set_record(update, now)

    def _refute(self, update: model.MemberUpdate, now: float) -> None:
        own = self.own
        if own.status == model.MemberStatus.LEFT or update == own:
            return
        if update.incarnation >= own.incarnation:
            self._replace_own(now, incarnation=update.incarnation + 1)

    def take_changes(self) -> list[MemberChanged]:
        """Return the changes since the last call."""
        changes, self.changes = self.changes, []
        return changes


def _is_sound(update: model.MemberUpdate) -> bool:
    """Tell whether a record's numbers can be used and told to others."""
    return (
        0 <= update.incarnation <= MAX_INCARNATION
        and 0.0 < update.capacity <= MAX_CAPACITY
    )


def _is_newer(update: model.MemberUpdate, known: model.MemberUpdate) -> bool:
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return update.status > known.status


def _record_hash(update: model.MemberUpdate) -> int:
    if update.status >= model.MemberStatus.DEAD:
        return 0
    text = f'{update.incarnation}/{update.status}'
    return model.stable_hash(update.name, text) >> 1
