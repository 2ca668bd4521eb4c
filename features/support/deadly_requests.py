"""A plain request that crashes each runner, and callers that repeat it."""

import dataclasses

from features.support import deadly_parts
from ragwort_lab import _relay_fakes as fakes

DEADLY = 'same-again'
# A caller repeats a request that may be repeated once, after a failure.
CALLER_TRIES = 2
RETRY_S = 0.05
STEP_S = 0.05


@dataclasses.dataclass(slots=True)
class Asked:
    """A caller's request and the answers that it got so far."""

    path: str
    at: float
    exchanges: list[fakes.LabExchange]

    @property
    def is_deadly(self) -> bool:
        """Tell whether it crashes runners."""
        return self.path.endswith(DEADLY)

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
        if route != 'stream':
            for runner in self.crash.world.runners:
                runner.events = 0

    def set_deadly(self) -> None:
        """Let all runners crash on the request."""
        target = f'/{self.route}/{DEADLY}'.encode()
        for runner in self.crash.world.runners:
            runner.deadly_targets = frozenset([target])

    def send(self, name: str) -> None:
        """Let a caller send a request to a random host."""
        now = self.crash.clock.seconds()
        asked = Asked(f'/{self.route}/{name}', now, [])
        self.asked.append(asked)
        self._try(asked)

    def _try(self, asked: Asked) -> None:
        number = next(self.crash.numbers)
        hosts = self.crash.world.hosts
        facts = {
            'request_id': f'q{number:05d}',
            'access_key': 'k1',
            'deadline_s': 4.0,
        }
        index = self.crash.rng.randrange(len(hosts))
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
