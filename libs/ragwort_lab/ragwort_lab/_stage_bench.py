"""Load patterns on one stage service, each against an earlier rule.

Sizes follow a stage of today's deployments: large results, room for seven
of them, a call that costs 150 ms before its first piece.
"""

import collections
from collections.abc import Iterable
import dataclasses
import enum

from ragwort_lab import _relay_world
import ragwort_model as model
import ragwort_relay as relay

SERVICE = 'portal'
SIZE = 'size'
DOMAIN = 'failure domain'
# Counts by kind of mark and its value.
Tally = collections.Counter[tuple[str, str]]
# Time after the last deadline until the figures are taken.
AFTER_S = 1.0


class StageRule(enum.StrEnum):
    """Rules by which stage work waits, the earliest first."""

    EACH_HOST = 'each host'
    BY_DUE_TIME = 'by due time'
    TIMELY_FIRST = 'timely first'


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPhase:
    """Requests a second for so many seconds."""

    rate: float
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StagePattern:
    """A load on one stage service, and the service itself.

    pieces are drawn for each request; hold_s is how long a result is kept
    until it was read.
    """

    name: str
    load: tuple[LoadPhase, ...]
    limits: relay.BatchLimits = relay.BatchLimits(4, 0.150, 0.032, 22e6, 4.0)
    runners: int = 4
    hosts: int = 6
    result_bytes: float = 3e6
    target_s: float = 0.7
    deadline_s: float = 5.0
    hold_s: float = 0.25
    pieces: tuple[int, ...] = (1, 2, 2, 3, 4)

    @property
    def length_s(self) -> float:
        """Return how long requests come in."""
        return sum(phase.for_s for phase in self.load)

    def rate_at(self, at: float) -> float:
        """Return the requests a second at a time from the start."""
        for phase in self.load:
            at -= phase.for_s
            if at < 0:
                return phase.rate
        return self.load[-1].rate


@dataclasses.dataclass(slots=True)
class StageFigures:
    """What became of the groups that requests asked for."""

    asked: int = 0
    in_target: int = 0
    made: int = 0
    calls: int = 0
    pieces: int = 0
    turned_away: int = 0
    no_room: int = 0
    asked_by: Tally = dataclasses.field(default_factory=collections.Counter)
    in_target_by: Tally = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def share_in_target(self) -> float:
        """Return the share made within the target."""
        return self.in_target / max(self.asked, 1)

    def share_by(self, kind: str) -> dict[str, float]:
        """Return the shares in target by size or failure domain."""
        return {
            value: self.in_target_by[known, value] / asked
            for (known, value), asked in sorted(self.asked_by.items())
            if known == kind
        }

    @property
    def pieces_per_call(self) -> float:
        """Return how full calls were."""
        return self.pieces / max(self.calls, 1)


PATTERNS = {
    pattern.name: pattern
    for pattern in (
        StagePattern('calm', (LoadPhase(12.0, 15.0),)),
        StagePattern(
            'burst',
            (
                LoadPhase(10.0, 4.0),
                LoadPhase(22.0, 5.0),
                LoadPhase(10.0, 6.0),
            ),
        ),
        StagePattern(
            'long-overload',
            (
                LoadPhase(10.0, 3.0),
                LoadPhase(30.0, 10.0),
                LoadPhase(10.0, 3.0),
            ),
        ),
    )
}


def _by_due_time(limits: relay.BatchLimits) -> relay.ChooseTimely:
    """Return the earlier rule: all groups whose targets have not passed."""

    def choose(
        queue: Iterable[relay.QueuedPiece],
        throughput: relay.Throughput,
        now: float,
    ) -> set[str]:
        least_s = limits.duration_s(1)
        return {
            piece.group.group_id
            for piece in queue
            if now + least_s <= piece.group.target_at
        }

    return choose


def run_stage_pattern(
    name: str, rule: StageRule = StageRule.TIMELY_FIRST, seed: int = 1
) -> StageFigures:
    """Play a pattern known by its name under a rule."""
    return play_stage_pattern(PATTERNS[name], rule, seed)


def play_stage_pattern(
    pattern: StagePattern, rule: StageRule, seed: int
) -> StageFigures:
    """Play a pattern under a rule."""
    world = _relay_world.RelayWorld(pattern.hosts, seed)
    runners = world.add_stage_runners(SERVICE, pattern.limits, pattern.runners)
    spec = relay.ServiceSpec(SERVICE, pattern.limits)
    world.configure(
        relay.RelayConfiguration(
            1, (), {SERVICE: spec}, (), relay.CallerLimits()
        )
    )
    if rule == StageRule.EACH_HOST:
        world.owners = lambda service: []
    if rule != StageRule.TIMELY_FIRST:
        for host in world.hosts:
            host.stages.local_owner.choose_timely = _by_due_time(
                pattern.limits
            )
    figures = StageFigures()
    at = 0.0
    index = 0
    while at < pattern.length_s:
        at += world.rng.expovariate(pattern.rate_at(at))
        index += 1
        world.clock.callLater(at, _ask, world, pattern, figures, index)
    world.run(pattern.length_s + pattern.deadline_s + AFTER_S)
    figures.calls = sum(runner.calls for runner in runners)
    figures.pieces = sum(len(runner.made) for runner in runners)
    figures.turned_away = sum(runner.turned_away for runner in runners)
    figures.no_room = sum(runner.no_room for runner in runners)
    return figures


def _ask(
    world: _relay_world.RelayWorld,
    pattern: StagePattern,
    figures: StageFigures,
    index: int,
) -> None:
    now = world.clock.seconds()
    host = world.hosts[index % len(world.hosts)]
    count = world.rng.choice(pattern.pieces)
    work = [
        relay.PieceWork(f'r{index}', 0, piece, 'key', ())
        for piece in range(count)
    ]
    group = relay.PieceGroup(
        '',
        work,
        now + pattern.target_s,
        now + pattern.deadline_s,
        0,
        pattern.result_bytes,
        world.rng.choice(_relay_world.DOMAINS),
    )
    marks = [(SIZE, str(count)), (DOMAIN, group.failure_domain)]
    figures.asked += 1
    figures.asked_by.update(marks)

    def on_made(outcomes: dict[int, model.PieceOutcome]) -> None:
        handles = [o.handle for o in outcomes.values() if o.handle]
        if len(handles) == count:
            figures.made += 1
            if world.clock.seconds() <= now + pattern.target_s:
                figures.in_target += 1
                figures.in_target_by.update(marks)
        world.clock.callLater(
            pattern.hold_s, host.stages.release, SERVICE, handles
        )

    host.stages.submit(SERVICE, group).addCallback(on_made)


def stage_report() -> None:
    """Print a row per pattern and rule."""
    print('pattern        rule          in target  made  pieces/call  full')
    for name in PATTERNS:
        for rule in StageRule:
            figures = run_stage_pattern(name, rule)
            print(
                f'{name:14} {rule:12} {figures.share_in_target:10.3f} '
                f'{figures.made / figures.asked:5.3f} '
                f'{figures.pieces_per_call:12.2f} {figures.turned_away:5}'
            )
