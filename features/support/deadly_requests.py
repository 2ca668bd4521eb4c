"""A plain request that crashes each runner, and callers that repeat it."""

import dataclasses
from typing import Any

from features.support import deadly_parts
from features.support import relay_hosts
import ragwort_lab as lab
from ragwort_lab import _relay_fakes as fakes

DEADLY = 'same-again'
# A caller repeats a request that may be repeated once, after a failure.
CALLER_TRIES = 2
RETRY_S = 0.05
STREAMS = ('stream', 'staged')
STAGE_RUNNERS = 3


@dataclasses.dataclass(slots=True)
class Asked:
    """A caller's request and the answers that it got so far."""

    path: str
    at: float
    exchanges: list[fakes.LabExchange]
    # Indexes of the hosts that were asked, in turn.
    hosts: list[int] = dataclasses.field(default_factory=list)

    @property
    def is_deadly(self) -> bool:
        """Tell whether it crashes runners."""
        return self.path.endswith(DEADLY)

    @property
    def is_first_try_served(self) -> bool:
        """Tell whether the first answer is a whole one of a runner."""
        first = self.exchanges[0]
        return first.status == 200 and first.is_whole

    @property
    def is_served(self) -> bool:
        """Tell whether one of the answers is a runner's."""
        return any(one.status == 200 for one in self.exchanges)


class RequestWorld:
    """Hosts, runners that crash and come back, and callers of one route."""

    def __init__(
        self, hosts: int, runner_count: int, seed: int, route: str
    ) -> None:
        """Start all; nothing is deadly yet."""
        self.crash = deadly_parts.CrashWorld(hosts, runner_count, seed)
        self.route = route
        self.asked: list[Asked] = []
        # Hosts that callers don't ask.
        self.avoided: set[int] = set()
        if route not in STREAMS:
            for runner in self.crash.world.runners:
                runner.events = 0
        if route == 'staged':
            self._add_stage_runners()

    def _add_stage_runners(self) -> None:
        world = self.crash.world
        for number in range(1, STAGE_RUNNERS + 1):
            runner = lab.LabStageRunner(
                self.crash.clock,
                f'prep-{number}',
                f'10.0.7.{number}:80',
                relay_hosts.DOMAINS[number % len(relay_hosts.DOMAINS)],
                relay_hosts.PREP_LIMITS,
            )
            world.network.runners[runner.address] = runner
            world.set_runner(runner, 'live', service='prep')
        world.run(1.0)

    def set_deadly(self) -> None:
        """Let all runners crash on the request."""
        target = f'/{self.route}/{DEADLY}'.encode()
        for runner in self.crash.world.runners:
            runner.deadly_targets = frozenset([target])

    def send(self, name: str, index: int | None = None) -> Asked:
        """Let a caller send a request to a host, a random one for None."""
        now = self.crash.clock.seconds()
        asked = Asked(f'/{self.route}/{name}', now, [])
        self.asked.append(asked)
        self._try(asked, index)
        return asked

    def _try(self, asked: Asked, index: int | None = None) -> None:
        number = next(self.crash.numbers)
        facts: dict[str, Any] = {
            'request_id': f'q{number:05d}',
            'access_key': 'k1',
            'deadline_s': 4.0,
        }
        if self.route == 'staged':
            facts |= {'pieces': (2,), 'piece_key': f'q{number:05d}'}
        if index is None:
            up = set(range(len(self.crash.world.hosts))) - self.avoided
            index = self.crash.rng.choice(sorted(up))
        asked.hosts.append(index)
        asked.exchanges.append(
            self.crash.world.submit(index, asked.path, facts)
        )
        if len(asked.exchanges) < CALLER_TRIES:
            self.crash.clock.callLater(RETRY_S, self._look, asked)

    def _look(self, asked: Asked) -> None:
        """Repeat a request that has failed and may be repeated."""
        last = asked.exchanges[-1]
        if not last.is_over:
            self.crash.clock.callLater(RETRY_S, self._look, asked)
        elif last.status in (502, 504) and self.route != 'job':
            self._try(asked)

    def run(self, seconds: float, per_s: float, deadly_share: float) -> None:
        """Send at an even rate; a share is the request that crashes."""
        for number in range(round(seconds * per_s)):
            is_deadly = self.crash.rng.random() < deadly_share
            self.send(
                DEADLY if is_deadly else f'own-{number}-{len(self.asked)}'
            )
            self.crash.world.run(1.0 / per_s)

    def deadly_arrivals(self) -> list[float]:
        """Return when the deadly request reached runners."""
        return sorted(
            arrival.at
            for runner in self.crash.world.runners
            for arrival in runner.arrivals
            if arrival.request.target.endswith(DEADLY.encode())
        )

    def share_served(self, since: float, until: float) -> float:
        """Return the share of the sound requests that were served."""
        sound = [
            one
            for one in self.asked
            if since <= one.at < until and not one.is_deadly
        ]
        assert len(sound) >= 20, len(sound)
        return sum(one.is_served for one in sound) / len(sound)
