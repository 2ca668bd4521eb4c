"""Evidence of what crashes runners, from calls and peers."""

from collections.abc import Iterable
import random
from typing import Any

import msgspec

from ragwort_edge import _client
from ragwort_edge import _metrics
import ragwort_membership as membership
import ragwort_model as model
import ragwort_relay as relay
import ragwort_state as state

SUSPECT_WRITER_ROLE = 'suspect-writer'


class _Refusal(msgspec.Struct, frozen=True):
    """A runner that broke a call and then refused connections."""

    runner: relay.FleetRunner
    at: float


class CrashWatch:
    """Learns from broken calls and from other hosts, and tells them."""

    def __init__(
        self,
        reactor: Any,
        client: _client.HttpClient,
        evidence: relay.CrashEvidence,
        reach: relay.Reach,
        register: state.SuspectRegister,
        rng: random.Random,
        metrics: _metrics.Metrics,
        logger: Any,
    ) -> None:
        """Add to a host's evidence."""
        self.reactor = reactor
        self.client = client
        self.evidence = evidence
        self.reach = reach
        self.unproved: dict[tuple[str, int], _Refusal] = {}
        self.register = register
        self.rng = rng
        self.metrics = metrics
        self.logger = logger

    def on_began(self, service: str, suspects: relay.Suspects) -> None:
        """Clear the suspects of a request whose answer began."""
        now = self.reactor.seconds()
        for name in self.evidence.on_began(service, suspects, now):
            self.logger.info('suspect-cleared', service=service, suspect=name)

    def on_silent(
        self,
        runner: relay.FleetRunner,
        suspects: relay.Suspects,
        sent_at: float,
        request_id: str,
    ) -> None:
        """Record a call without an answer; its runner may have ended.

        Only the runner's entry will tell.
        """
        now = self.reactor.seconds()
        news = self.evidence.on_broken(runner, suspects, sent_at, now)
        self._log(news, request_id)

    async def has_crashed(
        self,
        runner: relay.FleetRunner,
        suspects: relay.Suspects,
        sent_at: float,
        request_id: str,
    ) -> bool:
        """Tell whether a call broke as its runner refuses connections.

        Such a runner has ended, unless this host has lost all of them.
        """
        incarnation = (runner.name, runner.entry.started_ms)
        address = runner.address
        now = self.reactor.seconds()
        news = self.evidence.on_broken(runner, suspects, sent_at, now)
        self._log(news, request_id)
        if incarnation in self.evidence.ended:
            return True
        state = await self.client.check(address)
        if state != _client.AddressState.REFUSED:
            return False
        self.unproved.setdefault(incarnation, _Refusal(runner, now))
        return True

    def tick(self, now: float) -> None:
        """Look again at runners that refused, once another one answers."""
        for incarnation, refusal in list(self.unproved.items()):
            if now >= refusal.at + relay.BREAK_TTL_S:
                del self.unproved[incarnation]
            elif self.reach.answered_at > refusal.at:
                del self.unproved[incarnation]
                checked = self.client.check(refusal.runner.address)
                checked.addCallback(self._on_checked, incarnation)

    def _on_checked(
        self, state: _client.AddressState, incarnation: tuple[str, int]
    ) -> None:
        if state == _client.AddressState.REFUSED:
            now = self.reactor.seconds()
            self._log(self.evidence.on_ended(incarnation, now), None)

    def _log(
        self, crashes: Iterable[model.SuspectCrash], request_id: str | None
    ) -> None:
        for crash in crashes:
            record = self.evidence.records.get(
                (crash.service_name, crash.suspect)
            )
            self.logger.warning(
                'suspect-crash',
                service=crash.service_name,
                suspect=crash.suspect,
                runner=crash.runner,
                age_s=round(crash.age_s, 3),
                crashes=record.in_turn() if record else 0,
                request=request_id,
                source='peer' if request_id is None else 'call',
            )
        self.metrics.refused_suspects.set(len(self.evidence.refused()))

    def messages(
        self, members: membership.Membership, now: float
    ) -> list[model.SendPeerMessage]:
        """Return what to tell some other hosts, if it is time to."""
        told = self.evidence.to_spread(now)
        if not told.crashes and not told.cleared:
            return []
        peer_addresses = members.peer_addresses()
        count = min(relay.SPREAD_FANOUT, len(peer_addresses))
        return [
            model.SendPeerMessage(address, told)
            for address in self.rng.sample(peer_addresses, count)
        ]

    def on_told(self, told: model.CrashNews) -> None:
        """Take over what another host knows; skip damaged items."""
        sound = relay.sound_news(told)
        if sound != told:
            self.logger.warning('invalid-crash-news', told=repr(told)[:500])
        self._log(self.evidence.merge(sound, self.reactor.seconds()), None)

    def store_calls(
        self, members: membership.Membership, now: float
    ) -> list[model.StoreCall]:
        """Return the call that reads or writes refused suspects, if any."""
        is_writer = membership.is_elected(
            members, SUSPECT_WRITER_ROLE, 1, None
        )
        return self.register.tick(now, self.evidence.refused(), is_writer)

    def on_store_result(self, result: model.StoreResult, now: float) -> None:
        """Refuse the suspects that the store holds."""
        stored = self.register.on_store_result(result, now)
        if stored is None:
            return
        if self.register.is_reread:
            self.register.is_reread = False
            self.evidence.forget_all_but(stored)
        self.evidence.on_stored(stored, now)
        self.logger.info('refused-suspects-read', count=len(stored))

    def for_new_host(self, address: str) -> list[model.SendPeerMessage]:
        """Return what a host needs to know that has just started."""
        told = self.evidence.for_new_host(self.reactor.seconds())
        if not told.crashes:
            return []
        return [model.SendPeerMessage(address, told)]
