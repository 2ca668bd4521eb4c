"""Sound runners that fall silent for a while and go on where they were."""

from collections.abc import Callable
import random
import signal

from features.soak import faults
from features.soak import runners
from features.soak import system

SILENCE = 'silent-runners'
SILENT_S = (0.5, 1.8)
# Time between two silences of a runner, in which it ends what it has. So one
# request meets one silence of a runner.
GO_ON_S = 0.5
# Moments at which runners fall silent, for each second of a run.
PER_S = 1.0
# Runners that fall silent at a moment; the first of them at once, the others
# up to this time later, so that silences overlap and come in series.
MOST_SILENT = 5
LATER_S = 1.0
# Share of the moments at which all runners of a service fall silent one after
# the other, so that a request that is sent again meets the next silence.
WAVE_SHARE = 0.6
WAVE_SERVICES = ('engine', 'engine', 'plain', 'stage-a', 'stage-b')
WAVE_SILENT_S = (1.1, 1.8)
WAVE_INTERVAL_S = (0.5, 1.1)
MOST_IN_WAVE = 3

Beside = Callable[[system.SoakSystem, random.Random], None]
# What may happen in the middle of a silence, by name.
BESIDE: dict[str, Beside] = {}
BESIDE_S = 0.3


def beside(name: str) -> Callable[[Beside], Beside]:
    """Register what may happen in the middle of a silence."""

    def register(change: Beside) -> Beside:
        BESIDE[name] = change
        return change

    return register


@beside('reload')
def _reload(whole: system.SoakSystem, rng: random.Random) -> None:
    for host in faults.settled(whole, rng):
        host.send(signal.SIGHUP)


@beside('leave')
def _leave(whole: system.SoakSystem, rng: random.Random) -> None:
    for host in faults.settled(whole, rng):
        faults.leave(whole, host)


@beside('configuration')
def _configure(whole: system.SoakSystem, rng: random.Random) -> None:
    whole.write_configuration()


def _silence(whole: system.SoakSystem, rng: random.Random) -> faults.Begun:
    """Let some sound runners fall silent, or all of a service in turn."""
    sound = [r for r in whole.runners if r.is_sound and _may_be_silent(r)]
    later_s = 0.0
    if rng.random() < WAVE_SHARE:
        service = rng.choice(WAVE_SERVICES)
        chosen = [r for r in sound if r.service == service]
        rng.shuffle(chosen)
        for runner in chosen[:MOST_IN_WAVE]:
            _silence_later(runner, later_s, rng.uniform(*WAVE_SILENT_S))
            later_s += rng.uniform(*WAVE_INTERVAL_S)
    else:
        count = min(rng.randint(1, MOST_SILENT), len(sound))
        for runner in rng.sample(sound, count):
            _silence_later(runner, later_s, rng.uniform(*SILENT_S))
            later_s = rng.uniform(0.0, LATER_S)
    longest_s = MOST_IN_WAVE * max(WAVE_INTERVAL_S) + max(SILENT_S)
    return faults.Begun('none', lambda: None, longest_s)


def _may_be_silent(runner: runners.RunnerStandIn) -> bool:
    now: float = runner.reactor.seconds()
    return now >= runner.silent_until + GO_ON_S


def _silence_later(
    runner: runners.RunnerStandIn, later_s: float, for_s: float
) -> None:
    """Let a runner fall silent then unless it has just been."""

    def fall_silent() -> None:
        if _may_be_silent(runner):
            runner.fall_silent(for_s)

    runner.reactor.callLater(later_s, fall_silent)


def _silence_beside(change: Beside) -> faults.Begin:
    """Return silences in the middle of which something else happens."""

    def begin(whole: system.SoakSystem, rng: random.Random) -> faults.Begun:
        begun = _silence(whole, rng)
        whole.reactor.callLater(BESIDE_S, change, whole, rng)
        return begun

    return begin


faults.EXTRA_FAULTS[SILENCE] = _silence
for _name, _change in BESIDE.items():
    faults.EXTRA_FAULTS[f'{SILENCE}-{_name}'] = _silence_beside(_change)


def draw_silences(rng: random.Random, length_s: float) -> list[faults.Planned]:
    """Return moments of silence, some of them beside other changes."""
    names = [f'{SILENCE}-{name}' for name in BESIDE]
    names += [SILENCE] * max(round(length_s * PER_S) - len(names), 0)
    return [
        faults.Planned(name, rng.uniform(0.0, length_s - 1.0), BESIDE_S)
        for name in names
    ]
