"""Which hosts send to cold runners, and what hosts tell each other of them."""

from collections.abc import Callable
from collections.abc import Iterable
import math
import random
import time
from typing import Any

from ragwort_edge import _metrics
import ragwort_membership as membership
import ragwort_model as model
import ragwort_relay as relay

HOLDER_ROLE = 'cold-holder'
# Time after which another host stands in for a holder that was lost. Hosts
# that lose all others have heard nothing for CONTACT_S by then.
STAND_IN_S = 10.0
# Time for which a lost host counts among all hosts, as in the membership.
KNOWN_S = 3600.0
# A host has asked its seeds three times for all hosts within this time.
MIN_AGE_S = 3.0
# In CONTACT_S a host hears from ten others on average, those that it probes
# and those that probe it. In a tenth of a fleet it hears from one.
CONTACT_S = 5.0
MIN_CONTACTS = 4
# Interval at which times that pass may change which hosts count.
UPDATE_INTERVAL_S = 0.5


class HostView:
    """The hosts among which holders are chosen, as one host knows them.

    A lost host keeps its place for a while, and for as long as this host may
    be in the smaller part of a fleet, so that no part elects others.
    """

    def __init__(self, members: membership.Membership, now: float) -> None:
        """Start with no host but this one."""
        self.members = members
        self.started_at = now
        self.seen: set[str] = set()
        self.lost_at: dict[str, float] = {}
        self.heard_at: dict[str, float] = {}
        self.version = -1
        self.next_update_at = now
        self.names: list[str] = []
        self.has_settled = False

    def on_frame(self, sender: str, now: float) -> None:
        """Record that a message of another host came."""
        self.heard_at[sender] = now

    def update(self, now: float) -> None:
        """Compute the names anew if there is reason to."""
        is_changed = self.version != self.members.version
        if not is_changed and now < self.next_update_at:
            return
        self.next_update_at = now + UPDATE_INTERVAL_S
        live = {update.name for update in self.members.live()}
        if is_changed:
            self.version = self.members.version
            self._note_losses(live, now)
        for name, at in list(self.lost_at.items()):
            if now >= at + KNOWN_S:
                del self.lost_at[name]
        self.has_settled = self.has_settled or self._is_settled(now)
        self.names = self._candidates(live, now)

    def _note_losses(self, live: set[str], now: float) -> None:
        for name in self.seen - live:
            member = self.members.members.get(name)
            has_left = member is not None and (
                member.update.status == model.MemberStatus.LEFT
            )
            if not has_left:
                self.lost_at.setdefault(name, now)
        for name in live:
            self.lost_at.pop(name, None)
        self.seen = live

    def _is_settled(self, now: float) -> bool:
        """Tell whether this host has learned of the others since its start."""
        if now < self.started_at + MIN_AGE_S:
            return False
        seeds = set(self.members.seeds)
        found = {u.peer_address for u in self.members.live()} & seeds
        own = int(self.members.is_seed)
        return 2 * (len(found) + own) >= len(seeds) + own

    def _candidates(self, live: set[str], now: float) -> list[str]:
        if not self.has_settled:
            return []
        names = set(live)
        may_replace = self._is_in_half(live) and self._has_contact(live, now)
        for name, at in self.lost_at.items():
            if not may_replace or now < at + STAND_IN_S:
                names.add(name)
        records = self.members.members
        accepting = {
            n for n in names if n not in records or _is_candidate(records[n])
        }
        return sorted(accepting or names)

    def _is_in_half(self, live: set[str]) -> bool:
        return len(live) >= len(self.lost_at)

    def _has_contact(self, live: set[str], now: float) -> bool:
        """Tell whether about half of the hosts, or more, are in reach."""
        for sender, at in list(self.heard_at.items()):
            if now >= at + CONTACT_S:
                del self.heard_at[sender]
        return len(self.heard_at) >= min(len(live) - 1, MIN_CONTACTS)


def _is_candidate(member: membership.Member) -> bool:
    """Tell whether a host takes requests, or did when it was lost."""
    return member.update.accepting


class ColdSharing:
    """Divides cold runners among hosts and tells other hosts of them."""

    def __init__(
        self,
        catalog: relay.RelayCatalog,
        members: membership.Membership,
        rng: random.Random,
        metrics: _metrics.Metrics,
        logger: Any,
        now: float,
    ) -> None:
        """Choose the holders of the catalog's cold runners."""
        self.catalog = catalog
        self.members = members
        self.rng = rng
        self.metrics = metrics
        self.logger = logger
        self.wall: Callable[[], float] = time.time
        self.view = HostView(members, now)
        self.holder_cache: dict[tuple[str, int], list[str]] = {}
        self.cached_names: list[str] = []
        catalog.cold.listed_at = now
        catalog.cold.self_name = members.self_name
        catalog.cold.holders = self.holders

    @property
    def is_on(self) -> bool:
        """Tell whether the settings bound what cold runners get."""
        return self.catalog.cold.bound is not None

    def on_frame(self, sender: str, now: float) -> None:
        """Record that a message of another host came."""
        if self.is_on:
            self.view.on_frame(sender, now)

    def holders(self, runner: relay.FleetRunner, most: int) -> list[str]:
        """Return the hosts that send to a cold runner.

        Calls to a stage runner come from the owner of its service, so that
        the role is that of the owner.
        """
        names = self.view.names
        if names is not self.cached_names:
            self.cached_names = names
            self.holder_cache.clear()
        service = runner.entry.runner.service
        spec = self.catalog.find_spec(service)
        is_stage = spec is not None and spec.batch_limits is not None
        role = f'{HOLDER_ROLE}/{runner.name}'
        if is_stage:
            role = f'stage/{service}'
        found = self.holder_cache.get((role, most))
        if found is None:
            if is_stage:
                found = membership.preferred_owners(
                    self.members, names, role, most
                )
            else:
                found = model.select_by_rendezvous(role, names, most)
            self.holder_cache[role, most] = found
        return found

    def tick(self, now: float) -> list[model.SendPeerMessage]:
        """Forget what is over; return what to tell some other hosts."""
        if not self.is_on:
            return []
        cold = self.catalog.cold
        self.catalog.wall_offset_s = self.wall() - now
        self.view.update(now)
        cold.remove_expired(now)
        self._log_changes()
        self.metrics.cold_runners.set(cold.cold_count(now))
        told = cold.to_spread(now)
        if not told:
            return []
        peer_addresses = self.members.peer_addresses()
        count = min(relay.SPREAD_FANOUT, len(peer_addresses))
        return [
            model.SendPeerMessage(address, model.ColdRunners(told))
            for address in self.rng.sample(peer_addresses, count)
        ]

    def _log_changes(self) -> None:
        for change in self.catalog.cold.take_changes():
            self.logger.info(
                'runner-cold' if change.left_s else 'runner-warm',
                runner=change.runner,
                left_s=round(change.left_s, 3),
                source=change.source,
            )

    def on_told(self, told: Iterable[model.ColdRunner], now: float) -> None:
        """Record what another host knows; skip damaged items."""
        sound = []
        for item in told:
            if math.isfinite(item.left_s) and math.isfinite(item.age_s):
                sound.append(item)
            else:
                self.logger.warning('invalid-cold-runner', runner=repr(item))
        self.catalog.cold.merge(sound, now)
