"""Runners that fall over when they turn many requests away.

Load pattern: a runner in trouble takes fewer requests than usual, and each
one that it turns away brings it nearer to its end. All hosts send to it, and
none knows what the others do. So only as many hosts send to a brittle runner
as it can turn requests away in a second. Each of them keeps few requests there
at a time, its share of the runner's places at most, sends one after the other,
and leaves the runner alone for over a second after one that was turned away.
"""

from collections.abc import Callable
from collections.abc import Collection
import math

import msgspec

from ragwort_relay import _fleet

# Time without requests after one that was turned away: a runner counts them
# for a second.
PAUSE_S = 1.25
# Time between requests of a host, in which it hears that one is turned away.
GAP_S = 0.01
# Time until a host looks again for a place at a runner.
PLACE_WAIT_S = 0.1
# Answers in a row after which a host keeps one more request at a runner.
ANSWERS_TO_GROW = 8

Incarnation = tuple[str, int]


class _Care(msgspec.Struct):
    """How a host treats one brittle runner.

    most is how many requests it keeps there at a time; answers counts those
    since that changed.
    """

    rejects_per_s: float
    most: int
    answers: int = 0
    paused_until: float = -math.inf


class BrittleRunners:
    """The runners that said that they are brittle, as one host knows them."""

    def __init__(self) -> None:
        """Start with none.

        holders returns the hosts, so many at most, that send to a runner;
        host_count is how many hosts there are.
        """
        self.host_count = 1
        self.self_name = ''
        self.holders: Callable[[_fleet.FleetRunner, int], Collection[str]] = (
            lambda runner, count: [self.self_name]
        )
        self.cares: dict[Incarnation, _Care] = {}
        # What the last brittle runner of each service said. One that starts
        # is taken for brittle as well until it answers.
        self.services: dict[str, float] = {}

    def on_answer(
        self,
        runner: _fleet.FleetRunner,
        rejects_per_s: float | None,
        is_reject: bool,
        now: float,
    ) -> bool:
        """Record what an answer says; return whether its service was sound.

        None for rejects_per_s ends the care for a runner.
        """
        key = _key(runner)
        known = self.cares.get(key)
        service = runner.entry.runner.service
        if rejects_per_s is None:
            self.cares.pop(key, None)
            self.services.pop(service, None)
            return False
        is_news = service not in self.services
        self.services[service] = rejects_per_s
        if known is None:
            known = self._take_care(runner, rejects_per_s)
        known.rejects_per_s = rejects_per_s
        if is_reject:
            self._on_reject(known, now)
        else:
            self._on_taken(known, runner)
        return is_news

    def _take_care(
        self, runner: _fleet.FleetRunner, rejects_per_s: float
    ) -> _Care:
        key = _key(runner)
        care = _Care(rejects_per_s, self._share(runner, rejects_per_s))
        self.cares[key] = care
        self._forget_other_starts(key)
        return care

    def _holder_count(self, rejects_per_s: float) -> int:
        """Return how many hosts send to a runner."""
        return max(min(math.floor(rejects_per_s), self.host_count), 1)

    def _share(self, runner: _fleet.FleetRunner, rejects_per_s: float) -> int:
        holders = self.holders(runner, self._holder_count(rejects_per_s))
        return max(runner.entry.slots // max(len(holders), 1), 1)

    def _forget_other_starts(self, key: Incarnation) -> None:
        name, started_ms = key
        for known in list(self.cares):
            if known[0] == name and known[1] != started_ms:
                del self.cares[known]

    def _on_reject(self, care: _Care, now: float) -> None:
        care.most = max(care.most // 2, 1)
        care.answers = 0
        care.paused_until = now + PAUSE_S

    def _on_taken(self, care: _Care, runner: _fleet.FleetRunner) -> None:
        care.answers += 1
        if care.answers >= ANSWERS_TO_GROW:
            care.answers = 0
            most = self._share(runner, care.rejects_per_s)
            care.most = min(care.most + 1, most)

    def is_brittle(self, runner: _fleet.FleetRunner) -> bool:
        """Tell whether a runner said so in its last answer."""
        return _key(runner) in self.cares

    def _care_for(self, runner: _fleet.FleetRunner) -> _Care | None:
        care = self.cares.get(_key(runner))
        rejects_per_s = self.services.get(runner.entry.runner.service)
        if care is None and rejects_per_s is not None:
            care = self._take_care(runner, rejects_per_s)
        return care

    def on_send(self, runner: _fleet.FleetRunner, now: float) -> None:
        """Record that this host sends a request to a runner."""
        care = self.cares.get(_key(runner))
        if care is not None:
            care.paused_until = max(care.paused_until, now + GAP_S)

    def is_held_elsewhere(self, runner: _fleet.FleetRunner) -> bool:
        """Tell whether only other hosts send to a runner."""
        senders = self.senders(runner)
        return senders is not None and self.self_name not in senders

    def senders(self, runner: _fleet.FleetRunner) -> Collection[str] | None:
        """Return the hosts that send to a runner, None for all of them."""
        care = self._care_for(runner)
        if care is None:
            return None
        return self.holders(runner, self._holder_count(care.rejects_per_s))

    def wait_s(self, runner: _fleet.FleetRunner, now: float) -> float:
        """Return the time until this host may send to a runner."""
        care = self._care_for(runner)
        if care is None:
            return 0.0
        if now < care.paused_until:
            return care.paused_until - now
        return PLACE_WAIT_S if runner.state.inflight >= care.most else 0.0


def _key(runner: _fleet.FleetRunner) -> Incarnation:
    return runner.name, runner.entry.started_ms
