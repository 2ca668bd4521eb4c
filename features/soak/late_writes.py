"""Heartbeats that the store carries out late, beside what runners do then."""

from collections.abc import Callable
import random
import signal

from features.soak import faults
from features.soak import runners
from features.soak import system

LATE_WRITES = 'late-writes'
# Runners whose heartbeat is carried out late, for each second of a run.
PER_S = 0.5
LATE_S = (1.0, 6.0)
HEARTBEAT_S = 1.2
DOWN_S = (0.2, 0.8)
# A runner that drains goes on for so long behind the late write.
DRAIN_ON_S = 2.0
# Time between its report and the late write.
REPORTED_S = (0.3, 4.5)
# Time between the start of a host and the late write.
STARTED_S = (0.3, 2.5)

Beside = Callable[
    [system.SoakSystem, runners.RunnerStandIn, float, random.Random], None
]
# What happens before a heartbeat of before is carried out, by name.
BESIDE: dict[str, Beside] = {}


def beside(name: str) -> Callable[[Beside], Beside]:
    """Register what happens beside a late write."""

    def register(change: Beside) -> Beside:
        BESIDE[name] = change
        return change

    return register


@beside('drain')
def _drain(
    whole: system.SoakSystem,
    runner: runners.RunnerStandIn,
    late_s: float,
    rng: random.Random,
) -> None:
    """Let the runner report in the store alone that it leaves."""
    delay_s = max(late_s - rng.uniform(*REPORTED_S), 0.0)
    lasts_s = max(late_s + DRAIN_ON_S - delay_s, runners.DRAIN_S)

    def report() -> None:
        if not whole.is_stopped:
            runner.report_leaving(lasts_s)

    def start_again() -> None:
        if not whole.is_stopped:
            runner.start_if_down()

    whole.reactor.callLater(delay_s, report)
    whole.reactor.callLater(delay_s + lasts_s + 0.2, start_again)


@beside('restart')
def _restart(
    whole: system.SoakSystem,
    runner: runners.RunnerStandIn,
    late_s: float,
    rng: random.Random,
) -> None:
    """Let the runner start again, at once or as the write is due."""
    down_s = rng.uniform(*DOWN_S)
    delay_s = rng.choice((0.1, max(late_s - down_s - 0.3, 0.1)))

    def end() -> None:
        if not whole.is_stopped:
            runner.crash()
            whole.reactor.callLater(down_s, begin)

    def begin() -> None:
        if not whole.is_stopped:
            runner.start_if_down()

    whole.reactor.callLater(delay_s, end)


def _start_host(
    whole: system.SoakSystem, late_s: float, rng: random.Random
) -> None:
    """Let a host start anew shortly before the late write."""
    found = faults.settled(whole, rng)
    if not found:
        return
    host = found[0]
    host.send(signal.SIGKILL)
    delay_s = max(late_s - rng.uniform(*STARTED_S), 0.2)

    def start() -> None:
        if not host.is_running and not whole.is_stopped:
            host.start()

    whole.reactor.callLater(delay_s, start)


def prepare(whole: system.SoakSystem) -> None:
    """Let all runners beat; every second one keeps its name at a restart."""
    for index, runner in enumerate(whole.runners):
        runner.renumbers = runner.renumbers or index % 2 == 0
        runner.beat_s = HEARTBEAT_S
        runner.beat()


def _write_late(whole: system.SoakSystem, rng: random.Random) -> faults.Begun:
    """Carry a runner's heartbeat out late, beside what is drawn."""
    ready = [r for r in whole.runners if r.is_up and not r.is_draining]
    late_s = rng.uniform(*LATE_S)
    change = BESIDE[rng.choice(sorted(BESIDE))]
    has_host = rng.random() < 0.4
    if not ready:
        return faults.Begun('none', lambda: None)
    runner = rng.choice(ready)
    identifier, entry = runner.identifier, runner.entry()

    def carry_out() -> None:
        if not whole.is_stopped:
            whole.store.put(runners.KIND, identifier, entry)
            runner.lapse_later(identifier, entry['born'])

    whole.reactor.callLater(late_s, carry_out)
    change(whole, runner, late_s, rng)
    if has_host:
        _start_host(whole, late_s, rng)
    return faults.Begun('none', lambda: None, late_s + DRAIN_ON_S + 1.0)


faults.EXTRA_FAULTS[LATE_WRITES] = _write_late


def draw_late_writes(
    rng: random.Random, length_s: float
) -> list[faults.Planned]:
    """Return times of heartbeats that are carried out late."""
    return [
        faults.Planned(LATE_WRITES, rng.uniform(0.0, length_s - 1.0), 0.1)
        for _ in range(round(length_s * PER_S))
    ]
