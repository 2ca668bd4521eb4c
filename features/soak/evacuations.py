"""Evacuation of a failure domain while other faults come and go."""

import random

from features.soak import faults
from features.soak import hosts
from features.soak import store
from features.soak import system

EVACUATION = 'domain-evacuated'
# Longest time before the evacuation, and how long that goes on.
START_S = 2.0
LENGTH_S = (11.0, 14.0)
# Slack of the bound for this machine.
SLACK_S = 1.5
LOOK_S = 0.1


def _evacuate(whole: system.SoakSystem, rng: random.Random) -> faults.Begun:
    """Evacuate a domain; its runners note what comes once that is in force.

    The bound counts while the store is sound.
    """
    zone = rng.choice(sorted({runner.zone for runner in whole.runners}))
    evacuated = [r for r in whole.runners if r.zone == zone]
    whole.store.put('evacuations', zone, {})
    whole.evacuated.add(zone)
    bound_s = hosts.EVACUATION_MS / 1000 + SLACK_S
    is_over = False

    def look(sound_s: float) -> None:
        if is_over or whole.is_stopped:
            return
        if whole.store.mode == store.StoreMode.OK:
            sound_s += LOOK_S
        if sound_s >= bound_s:
            for runner in evacuated:
                runner.is_evacuated = True
            return
        whole.reactor.callLater(LOOK_S, look, sound_s)

    def end() -> None:
        nonlocal is_over
        is_over = True
        for runner in evacuated:
            runner.is_evacuated = False
        whole.evacuated.discard(zone)
        whole.store.remove('evacuations', zone)

    look(0.0)
    return faults.Begun('none', end)


faults.EXTRA_FAULTS[EVACUATION] = _evacuate


def draw_evacuation(rng: random.Random) -> list[faults.Planned]:
    """Return one evacuation early in a run."""
    at = rng.uniform(0.5, START_S)
    return [faults.Planned(EVACUATION, at, rng.uniform(*LENGTH_S))]
