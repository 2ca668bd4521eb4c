"""Hosts that leave in series and overlapping, by signals that come again."""

from collections.abc import Callable
import random
import signal

from features.soak import faults
from features.soak import hosts
from features.soak import system

LEAVE = 'host-leaves'
# Hosts that begin to leave, for each second of a run.
PER_S = 0.4
AGAIN_S = (0.1, 3.0)

Beside = Callable[[system.SoakSystem, hosts.HostProcess], None]
# What else comes to a host that leaves, by name.
BESIDE: dict[str, Beside] = {}


def beside(name: str) -> Callable[[Beside], Beside]:
    """Register what else comes to a host that leaves."""

    def register(change: Beside) -> Beside:
        BESIDE[name] = change
        return change

    return register


@beside('signal')
def _signal(whole: system.SoakSystem, host: hosts.HostProcess) -> None:
    host.send(signal.SIGTERM)


@beside('reload')
def _reload(whole: system.SoakSystem, host: hosts.HostProcess) -> None:
    host.send(signal.SIGHUP)


@beside('configuration')
def _configure(whole: system.SoakSystem, host: hosts.HostProcess) -> None:
    whole.write_configuration()


@beside('next')
def _next(whole: system.SoakSystem, host: hosts.HostProcess) -> None:
    """Let one more host leave."""
    for other in faults.settled(whole, random.Random(host.name)):
        faults.leave(whole, other)


def _leave(whole: system.SoakSystem, rng: random.Random) -> faults.Begun:
    """Let a host leave, and something else come meanwhile."""
    change = BESIDE[rng.choice(sorted(BESIDE))]
    for host in faults.settled(whole, rng):
        process = host.process
        if rng.random() < 0.3:
            _reload(whole, host)
        faults.leave(whole, host)

        def come(host: hosts.HostProcess = host) -> None:
            if host.process is process and not whole.is_stopped:
                change(whole, host)

        whole.reactor.callLater(rng.uniform(*AGAIN_S), come)
    return faults.Begun('none', lambda: None)


faults.EXTRA_FAULTS[LEAVE] = _leave


def draw_leaving(rng: random.Random, length_s: float) -> list[faults.Planned]:
    """Return moments at which a host begins to leave."""
    return [
        faults.Planned(LEAVE, rng.uniform(0.0, length_s - 1.0), 0.1)
        for _ in range(round(length_s * PER_S))
    ]
