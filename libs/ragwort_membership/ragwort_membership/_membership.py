"""Failure detection between nodes by probing, suspicion and incarnations.

The protocol is SWIM (Das, Gupta, Motivala, 2002) with the local health
multiplier of Lifeguard (Dadgar, Phillips, Currey, 2018): a node whose own
probes fail doubts itself before it doubts its peers.
"""

from collections.abc import Iterable
import dataclasses
import math
import random
import statistics

import ragwort_model as model

PROBE_INTERVAL_S = 1.0
FRESH_AFTER_S = 0.25
INDIRECT_AFTER_S = 0.5
PROBE_TIMEOUT_S = 1.0
INDIRECT_PROBES = 3
SUSPICION_S = 3.0
MAX_HEALTH_PENALTY = 4
MAX_UPDATES = 8
RETRANSMIT_FACTOR = 3
URGENT_PEERS = 8
DEAD_PROBE_INTERVAL_S = 5.0
MIN_SYNC_S = 1.0
SYNC_S_PER_MEMBER = 0.04
JOIN_INTERVAL_S = 1.0
REJOIN_INTERVAL_S = 5.0
FORGET_S = 3600.0
CLOCK_SAMPLES = 16


@dataclasses.dataclass(slots=True)
class Member:
    """A node as this node knows it; since is when its status changed."""

    update: model.MemberUpdate
    since: float

    @property
    def is_alive(self) -> bool:
        """Tell whether the node is neither suspected nor gone."""
        return self.update.status == model.MemberStatus.ALIVE


@dataclasses.dataclass(slots=True)
class _Probe:
    sequence: int
    target: str
    started_at: float
    fresh_sent: bool = False
    indirect_sent: bool = False


@dataclasses.dataclass(slots=True)
class _Relay:
    """A probe made for another node, whose address is in origin."""

    origin: str
    sequence: int
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """Event: the status or record of a member changed."""

    update: model.MemberUpdate


class Membership:
    """The live nodes as one node sees them."""

    def __init__(
        self,
        host: model.EntryHost,
        seeds: Iterable[str],
        rng: random.Random,
        now: float,
        wall: float,
        join_interval_s: float = JOIN_INTERVAL_S,
    ) -> None:
        """Start with only this node, not yet accepting requests.

        Wall time seeds the incarnation. A node that knows no other
        contacts a seed every join_interval_s.
        """
        self.join_interval_s = join_interval_s
        self.rng = rng
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
        )
        self.members: dict[str, Member] = {host.name: Member(own, now)}
        self.by_address: dict[str, str] = {host.peer_address: host.name}
        self.pending_updates: dict[str, int] = {}
        self.probe: _Probe | None = None
        self.relays: dict[int, _Relay] = {}
        self.order: list[str] = []
        self.sequence = 0
        self.health_penalty = 0
        self.next_probe = now + rng.uniform(0, PROBE_INTERVAL_S)
        self.next_dead_probe = now + DEAD_PROBE_INTERVAL_S
        self.next_sync = now
        self.next_join = now
        self.changes: list[MemberChanged] = []
        self.version = 0
        self.cache_version = -1
        self.view_version = -1
        self.view_hash = 0
        self.live_cache: dict[str | None, list[model.MemberUpdate]] = {}
        self.role_cache: dict[tuple[str, int, str | None], list[str]] = {}
        self.owner_cache: dict[tuple[str, int], list[str]] = {}
        self.offsets: dict[str, float] = {}
        self._queue(host.name)

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
        """Drop what was derived from an earlier version of the list."""
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
        """Return the nodes that are dead or left for so long."""
        return [
            name
            for name, member in sorted(self.members.items())
            if member.update.status >= model.MemberStatus.DEAD
            and now - member.since >= seconds
        ]

    def is_alive(self, name: str) -> bool:
        """Tell whether the named node is known and not suspected."""
        member = self.members.get(name)
        return member is not None and member.is_alive

    def clock_offset(self) -> float:
        """Return the median of peers' wall clocks minus ours, seconds."""
        if not self.offsets:
            return 0.0
        return statistics.median(self.offsets.values())

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
        """Announce that this node goes, and return the farewells."""
        self._replace_own(
            now,
            incarnation=self.own.incarnation + 1,
            status=model.MemberStatus.LEFT,
            accepting=False,
        )
        return self.announce(wall)

    def announce(self, wall: float) -> list[model.SendPeerMessage]:
        """Return immediate messages that carry this node's new record."""
        peers = self.peer_addresses()
        targets = self.rng.sample(peers, min(URGENT_PEERS, len(peers)))
        return [self._ping(address, wall) for address in targets]

    def _replace_own(
        self,
        now: float,
        incarnation: int,
        accepting: bool | None = None,
        status: model.MemberStatus | None = None,
    ) -> None:
        own = self.own
        update = dataclasses.replace(
            own,
            incarnation=incarnation,
            accepting=own.accepting if accepting is None else accepting,
            status=own.status if status is None else status,
        )
        self._store(update, now)

    def _store(self, update: model.MemberUpdate, now: float) -> None:
        self.members[update.name] = Member(update, now)
        self.by_address[update.peer_address] = update.name
        self.version += 1
        self.changes.append(MemberChanged(update))
        self._queue(update.name)

    def _queue(self, name: str) -> None:
        size = len(self.members)
        rounds = RETRANSMIT_FACTOR * math.ceil(math.log10(size + 1))
        self.pending_updates[name] = rounds

    def _take_updates(self) -> list[model.MemberUpdate]:
        """Return the least often sent updates, a bounded number."""
        names = sorted(
            self.pending_updates, key=lambda n: (-self.pending_updates[n], n)
        )
        chosen = names[:MAX_UPDATES]
        for name in chosen:
            self.pending_updates[name] -= 1
            if self.pending_updates[name] <= 0:
                del self.pending_updates[name]
        return [self.members[n].update for n in chosen if n in self.members]

    def _ping(
        self, address: str, wall: float, fresh: bool = False, sequence: int = 0
    ) -> model.SendPeerMessage:
        if not sequence:
            self.sequence += 1
            sequence = self.sequence
        updates = self._take_updates()
        message = model.Ping(sequence, wall, self.view(), updates)
        return model.SendPeerMessage(address, message, fresh)

    def view(self) -> int:
        """Return a hash over the nodes not known to be gone.

        Piggybacked updates may all be lost, above all when many nodes
        join at once; unequal hashes show that and lead to an exchange.
        """
        if self.view_version != self.version:
            self.view_version = self.version
            self.view_hash = 0
            for member in self.members.values():
                self.view_hash ^= _view_part(member.update)
        return self.view_hash

    def tick(self, now: float, wall: float) -> list[model.SendPeerMessage]:
        """Return the messages due now."""
        messages = self._join(now)
        messages += self._advance_probe(now, wall)
        if self.probe is None and now >= self.next_probe:
            messages += self._start_probe(now, wall)
        if now >= self.next_dead_probe:
            messages += self._probe_dead(now, wall)
        self._expire(now)
        return messages

    def _join(self, now: float) -> list[model.SendPeerMessage]:
        """Contact a seed that is not among the live nodes.

        Nodes that start together may each find another seed first; without
        this their groups would never hear of each other.
        """
        if now < self.next_join:
            return []
        live = {update.peer_address for update in self.live()}
        missing = [seed for seed in self.seeds if seed not in live]
        alone = len(live) == 1
        pause_s = self.join_interval_s if alone else REJOIN_INTERVAL_S
        self.next_join = now + pause_s * self.rng.uniform(0.75, 1.25)
        if not missing:
            return []
        message = model.MemberSync(self._records(), True)
        return [model.SendPeerMessage(self.rng.choice(missing), message, True)]

    def _records(self) -> list[model.MemberUpdate]:
        return [self.members[name].update for name in sorted(self.members)]

    def _start_probe(
        self, now: float, wall: float
    ) -> list[model.SendPeerMessage]:
        self.next_probe = now + PROBE_INTERVAL_S
        target = self._next_target()
        if target is None:
            return []
        self.sequence += 1
        self.probe = _Probe(self.sequence, target, now)
        return [self._ping(target, wall, sequence=self.sequence)]

    def _next_target(self) -> str | None:
        """Return the next address of a shuffled round over all members."""
        while True:
            if not self.order:
                self.order = self._probe_round()
                if not self.order:
                    return None
            name = self.order.pop()
            member = self.members.get(name)
            if member is not None and self._is_probed(member):
                return member.update.peer_address

    def _is_probed(self, member: Member) -> bool:
        status = member.update.status
        return (
            member.update.name != self.self_name
            and status <= model.MemberStatus.SUSPECT
        )

    def _probe_round(self) -> list[str]:
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
            return self._indirect(probe)
        if waited >= FRESH_AFTER_S and not probe.fresh_sent:
            # The connection may be at fault, not the node behind it.
            probe.fresh_sent = True
            return [self._ping(probe.target, wall, True, probe.sequence)]
        return []

    def _indirect(self, probe: _Probe) -> list[model.SendPeerMessage]:
        others = [a for a in self.peer_addresses() if a != probe.target]
        count = min(INDIRECT_PROBES, len(others))
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
        self._store(
            dataclasses.replace(
                member.update, status=model.MemberStatus.SUSPECT
            ),
            now,
        )

    def _suspicion_s(self) -> float:
        return SUSPICION_S * max(1.0, math.log10(len(self.members)))

    def _expire(self, now: float) -> None:
        """Declare suspects dead in time and forget what is long gone."""
        for name, member in list(self.members.items()):
            age = now - member.since
            status = member.update.status
            if status == model.MemberStatus.SUSPECT:
                if age >= self._suspicion_s():
                    dead = dataclasses.replace(
                        member.update, status=model.MemberStatus.DEAD
                    )
                    self._store(dead, now)
            elif status >= model.MemberStatus.DEAD and age >= FORGET_S:
                del self.members[name]
                self.version += 1
                self.pending_updates.pop(name, None)
                self.offsets.pop(name, None)
        for sequence, relay in list(self.relays.items()):
            if now >= relay.expires_at:
                del self.relays[sequence]

    def _probe_dead(
        self, now: float, wall: float
    ) -> list[model.SendPeerMessage]:
        """Probe one dead node now and then, so that a healed split shows."""
        jitter = self.rng.uniform(0.75, 1.25)
        self.next_dead_probe = now + DEAD_PROBE_INTERVAL_S * jitter
        dead = [
            member.update
            for _, member in sorted(self.members.items())
            if member.update.status == model.MemberStatus.DEAD
        ]
        if not dead:
            return []
        update = self.rng.choice(dead)
        self.sequence += 1
        message = model.Ping(self.sequence, wall, self.view(), [update])
        return [model.SendPeerMessage(update.peer_address, message, True)]

    def on_ping(
        self, sender: str, message: model.Ping, now: float, wall: float
    ) -> list[model.SendPeerMessage]:
        """Answer a probe."""
        self._note_clock(sender, message.wall, wall)
        self.merge(message.updates, now)
        ack = model.Ack(message.sequence, wall, self._take_updates())
        replies = [model.SendPeerMessage(sender, ack)]
        return replies + self._reconcile(sender, message.view, now)

    def _reconcile(
        self, sender: str, view: int, now: float
    ) -> list[model.SendPeerMessage]:
        """Exchange full lists, now and then, with a node that sees others.

        The pause grows with the list, so that the bytes per second stay
        bounded while nodes come and go.
        """
        if view == self.view() or now < self.next_sync:
            return []
        pause_s = max(MIN_SYNC_S, len(self.members) * SYNC_S_PER_MEMBER)
        self.next_sync = now + pause_s * self.rng.uniform(0.75, 1.25)
        return [
            model.SendPeerMessage(
                sender, model.MemberSync(self._records(), True)
            )
        ]

    def on_ack(
        self, sender: str, message: model.Ack, now: float, wall: float
    ) -> list[model.SendPeerMessage]:
        """Take the answer to a probe of ours or one made for a peer."""
        self._note_clock(sender, message.wall, wall)
        self.merge(message.updates, now)
        relay = self.relays.pop(message.sequence, None)
        if relay is not None:
            ack = model.Ack(relay.sequence, wall, self._take_updates())
            return [model.SendPeerMessage(relay.origin, ack)]
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
        self.relays[self.sequence] = _Relay(
            sender, message.sequence, now + PROBE_TIMEOUT_S
        )
        return [self._ping(message.target, wall, True, self.sequence)]

    def on_sync(
        self, sender: str, message: model.MemberSync, now: float
    ) -> list[model.SendPeerMessage]:
        """Merge a full list and answer with ours if asked."""
        # What came in a full list spreads by full lists; as rumours, the
        # start of a large fleet would go on for minutes.
        rumours = dict(self.pending_updates)
        self.merge(message.members, now)
        own = self.pending_updates.get(self.self_name)
        self.pending_updates = rumours
        if own is not None:
            self.pending_updates[self.self_name] = own
        if not message.reply:
            return []
        return [
            model.SendPeerMessage(
                sender, model.MemberSync(self._records(), False)
            )
        ]

    def _note_clock(self, sender: str, theirs: float, ours: float) -> None:
        name = self.by_address.get(sender)
        if name is None:
            return
        self.offsets.pop(name, None)
        self.offsets[name] = theirs - ours
        while len(self.offsets) > CLOCK_SAMPLES:
            del self.offsets[next(iter(self.offsets))]

    def merge(self, updates: list[model.MemberUpdate], now: float) -> None:
        """Adopt what is newer, and refute what is said against us."""
        for update in updates:
            if update.name == self.self_name:
                self._refute(update, now)
                continue
            known = self.members.get(update.name)
            gone = update.status >= model.MemberStatus.DEAD
            if known is None and gone:
                # Nothing is lost by never having known it.
                continue
            if known is None or _is_newer(update, known.update):
                self._store(update, now)

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


def _is_newer(update: model.MemberUpdate, known: model.MemberUpdate) -> bool:
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return update.status > known.status


def _view_part(update: model.MemberUpdate) -> int:
    if update.status >= model.MemberStatus.DEAD:
        return 0
    text = f'{update.incarnation}/{update.status}'
    return model.stable_hash(update.name, text) >> 1
