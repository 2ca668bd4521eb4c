"""Limits of runners, as their answers and other hosts tell them."""

from collections.abc import Iterable
import math
import random
from typing import Any
from typing import TYPE_CHECKING

from ragwort_edge import _metrics
import ragwort_membership as membership
import ragwort_model as model
import ragwort_relay as relay

if TYPE_CHECKING:
    from ragwort_edge import _stage_service

HOLDER_ROLE = 'limit-holder'


class LimitSharing:
    """Divides the limits of runners among hosts and tells them to others."""

    def __init__(
        self,
        catalog: relay.RelayCatalog,
        members: membership.Membership,
        stages: '_stage_service.StageService',
        rng: random.Random,
        metrics: _metrics.Metrics,
        logger: Any,
    ) -> None:
        """Count the holders of the catalog's limits among the members."""
        self.catalog = catalog
        self.members = members
        self.stages = stages
        self.rng = rng
        self.metrics = metrics
        self.logger = logger
        catalog.rate_limits.count_holders = self.count_holders

    def count_holders(self, runner: relay.FleetRunner, most: int) -> int:
        """Return how many hosts send to a runner, 0 if this one does not.

        Calls to a stage runner come from the owner of its service alone.
        """
        service = runner.entry.runner.service
        configuration = self.catalog.configuration
        spec = configuration.services.get(service) if configuration else None
        if spec is not None and spec.batch_limits is not None:
            return int(self.stages.owns(service))
        role = f'{HOLDER_ROLE}/{runner.name}'
        if not membership.is_elected(self.members, role, most, None):
            return 0
        return min(most, len(self.members.live()))

    def messages(self, now: float) -> list[model.SendPeerMessage]:
        """Return what to tell some other hosts, if it is time to."""
        limits = self.catalog.rate_limits.to_spread(now)
        self.metrics.limited_runners.set(self.catalog.limited_count(now))
        if not limits:
            return []
        peer_addresses = self.members.peer_addresses()
        count = min(relay.SPREAD_FANOUT, len(peer_addresses))
        return [
            model.SendPeerMessage(address, model.RunnerLimits(limits))
            for address in self.rng.sample(peer_addresses, count)
        ]

    def on_told(self, told: Iterable[model.RunnerLimit], now: float) -> None:
        """Record what another host knows of limits; skip damaged ones."""
        sound = []
        for item in told:
            if _is_sound(item):
                sound.append(item)
            else:
                self.logger.warning('invalid-runner-limit', limit=repr(item))
        for item in self.catalog.rate_limits.merge(sound, now):
            self.logger.info(
                'runner-limit',
                runner=item.runner,
                rate_per_s=item.rate_per_s,
                source='peer',
                age_s=round(item.age_s, 3),
            )


def _is_sound(item: model.RunnerLimit) -> bool:
    rate_per_s = item.rate_per_s or 0.0
    return 0.0 <= rate_per_s < math.inf and math.isfinite(item.age_s)
