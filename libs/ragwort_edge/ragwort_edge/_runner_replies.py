"""What runners say of themselves in any of their answers."""

from collections.abc import Iterable
import math
import random
from typing import Any

from ragwort_edge import _dialect
import ragwort_membership as membership
import ragwort_model as model
import ragwort_relay as relay


def on_reply(
    catalog: relay.RelayCatalog,
    logger: Any,
    runner: relay.FleetRunner,
    reply: _dialect.RunnerReply,
    is_whole: bool,
    sent_at: float,
    now: float,
) -> None:
    """Record what a runner's answer says of itself.

    Every reader of an answer calls this. An answer that another runner at
    the same address gave, or one to another request, says nothing but that
    runners are in reach.
    """
    catalog.reach.on_answer(runner, now)
    if reply.is_misdirected or reply.is_foreign:
        return
    if reply.is_leaving and catalog.departure_news.on_answer(runner, now):
        logger.info(
            'runner-leaving', runner=runner.name, source='answer', age_s=0.0
        )
    if reply.pause_s is not None and catalog.pauses.on_answer(
        runner, reply.pause_s, now
    ):
        logger.info(
            'runner-pause',
            runner=runner.name,
            asked_s=reply.pause_s,
            kept_s=round(catalog.pauses.left_s(runner, now), 3),
        )
    _on_brittleness(catalog, logger, runner, reply, is_whole, now)
    catalog.cold.on_answer(runner, reply.cold_s, sent_at, now)
    rate_per_s = reply.limit_per_s
    if rate_per_s is None and not (is_whole or reply.is_not_run):
        # An answer that may be damaged ends no limit.
        return
    if catalog.rate_limits.on_answer(runner, rate_per_s, sent_at, now):
        logger.info(
            'runner-limit',
            runner=runner.name,
            rate_per_s=rate_per_s,
            source='answer',
            age_s=0.0,
        )


def _on_brittleness(
    catalog: relay.RelayCatalog,
    logger: Any,
    runner: relay.FleetRunner,
    reply: _dialect.RunnerReply,
    is_whole: bool,
    now: float,
) -> None:
    """Record whether the runner falls over when it turns much away."""
    rejects_per_s = reply.rejects_per_s
    if rejects_per_s is None and not (is_whole or reply.is_not_run):
        # An answer that may be damaged ends no care.
        return
    if catalog.brittle.on_answer(runner, rejects_per_s, reply.is_full, now):
        logger.info(
            'runner-brittle', runner=runner.name, rejects_per_s=rejects_per_s
        )


class DepartureSharing:
    """Tells other hosts which runners said that they leave."""

    def __init__(
        self,
        news: relay.DepartureNews,
        members: membership.Membership,
        rng: random.Random,
        logger: Any,
    ) -> None:
        """Tell random live members."""
        self.news = news
        self.members = members
        self.rng = rng
        self.logger = logger

    def messages(self, now: float) -> list[model.SendPeerMessage]:
        """Return what to tell some other hosts, if it is time to."""
        told = self.news.to_spread(now)
        if not told:
            return []
        peer_addresses = self.members.peer_addresses()
        count = min(relay.SPREAD_FANOUT, len(peer_addresses))
        return [
            model.SendPeerMessage(address, model.RunnersLeaving(told))
            for address in self.rng.sample(peer_addresses, count)
        ]

    def on_told(self, told: Iterable[model.LeavingRunner], now: float) -> None:
        """Record what another host knows; skip damaged items."""
        sound = []
        for item in told:
            if item.started_ms >= 0 and math.isfinite(item.age_s):
                sound.append(item)
            else:
                self.logger.warning(
                    'invalid-leaving-runner', runner=repr(item)
                )
        for item in self.news.merge(sound, now):
            self.logger.info(
                'runner-leaving',
                runner=item.runner,
                source='peer',
                age_s=round(item.age_s, 3),
            )
