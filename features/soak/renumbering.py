"""Stage runners that start again under their names and count results anew."""

import random

from features.soak import clients
from features.soak import faults
from features.soak import store
from features.soak import system

RESTARTS = 'renumbered-starts'
# Times at which stage runners begin to start again, for each second of a run.
PER_S = 0.35
FOR_S = (2.0, 5.0)
DOWN_S = (0.05, 0.2, 0.8)
UP_S = (0.3, 1.5)
# How the store answers meanwhile.
STORE_MODES = (
    store.StoreMode.OK,
    store.StoreMode.SILENT,
    store.StoreMode.SILENT,
    store.StoreMode.BUSY,
    store.StoreMode.SLOW,
    store.StoreMode.LOST_ANSWERS,
)
SERVICES = ('stage-a', 'stage-b')
# The second stage is slow enough for pieces to wait for it.
SLOW_SERVICE = 'stage-b'
PACE = 4.0
CLOCK_STEP_MS = -100_000


def prepare(whole: system.SoakSystem) -> None:
    """Let stage runners number their results from 1 at each start.

    Every second one has a clock that is set back, every third one tells its
    start in its entry alone.
    """
    found = [r for r in whole.runners if r.service in SERVICES]
    for index, runner in enumerate(found):
        runner.renumbers = True
        runner.clock_step_ms = CLOCK_STEP_MS if index % 2 else 0
        runner.tells_start = index % 3 != 0
        if runner.service == SLOW_SERVICE:
            runner.pace = PACE
    callers = [
        clients.StagedCaller.like(caller)
        for caller in whole.callers
        if type(caller) is clients.Caller
    ]
    whole.callers += callers


def _restart_in_series(
    whole: system.SoakSystem, rng: random.Random
) -> faults.Begun:
    """Let a stage runner start again and again, maybe without the store."""
    chosen = rng.choice([r for r in whole.runners if r.renumbers])
    mode = rng.choice(STORE_MODES)
    down_s = rng.choice(DOWN_S)
    over: list[bool] = []

    def end() -> None:
        if whole.is_stopped or over:
            return
        if chosen.is_up:
            chosen.crash()
        whole.reactor.callLater(down_s, begin)

    def begin() -> None:
        if whole.is_stopped:
            return
        chosen.start_if_down()
        whole.reactor.callLater(rng.uniform(*UP_S), end)

    def undo() -> None:
        over.append(True)
        if mode != store.StoreMode.OK:
            whole.store.set_mode(store.StoreMode.OK)

    if mode != store.StoreMode.OK:
        whole.store.set_mode(mode)
    end()
    return faults.Begun('none', undo, max(UP_S))


faults.EXTRA_FAULTS[RESTARTS] = _restart_in_series


def draw_restarts(rng: random.Random, length_s: float) -> list[faults.Planned]:
    """Return times of starts in series, which may overlap."""
    return [
        faults.Planned(
            RESTARTS, rng.uniform(0.0, length_s - 1.0), rng.uniform(*FOR_S)
        )
        for _ in range(round(length_s * PER_S))
    ]
