"""Runners that fall over when they turn many requests away.

Load pattern: a runner in trouble takes fewer requests than usual, and each
one that it turns away brings it nearer to its end. All hosts send to it, and
none knows what the others do. Each host therefore keeps few requests there at
a time, its share of the runner's places at most, and after one that was turned
away it leaves the runner alone for so long that all hosts together stay below
what the runner can turn away.
"""

import dataclasses

from ragwort_relay import _fleet

# Share of what a runner can turn away that all hosts together use.
REJECT_SHARE = 0.5
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 10.0
# Time until a host looks again for a place at a runner.
PLACE_WAIT_S = 0.1
# Answers in a row after which a host keeps one more request at a runner.
ANSWERS_TO_GROW = 8

Incarnation = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Care:
    """How a host treats one brittle runner.

    most is how many requests it keeps there at a time; answers counts those
    since that changed.
    """

    rejects_per_s: float
    most: int
    answers: int = 0
    paused_until: float = 0.0


class BrittleRunners:
    """The runners that said that they are brittle, as one host knows them."""

    def __init__(self) -> None:
        """Start with none; host_count is how many hosts send to runners."""
        self.host_count = 1
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
        care = _Care(rejects_per_s, self._share(runner))
        self.cares[key] = care
        self._forget_earlier_starts(key)
        return care

    def _share(self, runner: _fleet.FleetRunner) -> int:
        return max(runner.entry.slots // max(self.host_count, 1), 1)

    def _forget_earlier_starts(self, key: Incarnation) -> None:
        name, started_ms = key
        for known in list(self.cares):
            if known[0] == name and known[1] < started_ms:
                del self.cares[known]

    def _on_reject(self, care: _Care, now: float) -> None:
        care.most = max(care.most // 2, 1)
        care.answers = 0
        rate_per_s = REJECT_SHARE * max(care.rejects_per_s, 0.1)
        pause_s = self.host_count / rate_per_s
        care.paused_until = now + min(max(pause_s, MIN_PAUSE_S), MAX_PAUSE_S)

    def _on_taken(self, care: _Care, runner: _fleet.FleetRunner) -> None:
        care.answers += 1
        if care.answers >= ANSWERS_TO_GROW:
            care.answers = 0
            care.most = min(care.most + 1, self._share(runner))

    def is_brittle(self, runner: _fleet.FleetRunner) -> bool:
        """Tell whether a runner said so in its last answer."""
        return _key(runner) in self.cares

    def wait_s(self, runner: _fleet.FleetRunner, now: float) -> float:
        """Return the time until this host may send to a runner."""
        care = self.cares.get(_key(runner))
        if care is None:
            rejects_per_s = self.services.get(runner.entry.runner.service)
            if rejects_per_s is None:
                return 0.0
            care = self._take_care(runner, rejects_per_s)
        if now < care.paused_until:
            return care.paused_until - now
        return PLACE_WAIT_S if runner.state.inflight >= care.most else 0.0


def _key(runner: _fleet.FleetRunner) -> Incarnation:
    return runner.name, runner.entry.started_ms
