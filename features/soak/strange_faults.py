"""Faults that let runners answer with what belongs to another request."""

import random

from features.soak import faults
from features.soak import strange_answers
from features.soak import system

REPEATED_REFUSALS = 'repeated-refusals'
BROKEN_RESUMPTIONS = 'broken-resumptions'
FOR_S = (2.0, 4.0)
MOMENTS = 4
SERVICES = ('plain', 'engine')


def _repeat_refusals(
    whole: system.SoakSystem, rng: random.Random
) -> faults.Begun:
    """Let some runners send earlier refusals once more."""
    found = [r for r in whole.runners if r.service in SERVICES]
    chosen = rng.sample(found, rng.randint(1, min(3, len(found))))
    for runner in chosen:
        runner.repeats = rng.choice(
            (strange_answers.Repeats.INSTEAD, strange_answers.Repeats.AFTER)
        )

    def end() -> None:
        for runner in chosen:
            runner.repeats = strange_answers.Repeats.NEVER

    return faults.Begun('none', end)


def _break_resumptions(
    whole: system.SoakSystem, rng: random.Random
) -> faults.Begun:
    """Cut streams in an event and answer their resumptions wrongly."""
    chosen = [r for r in whole.runners if r.service == 'engine']
    for runner in chosen:
        runner.resumed = rng.choice(sorted(strange_answers.RESUMED))

    def end() -> None:
        for runner in chosen:
            runner.resumed = ''

    return faults.Begun('none', end)


faults.EXTRA_FAULTS[REPEATED_REFUSALS] = _repeat_refusals
faults.EXTRA_FAULTS[BROKEN_RESUMPTIONS] = _break_resumptions


def draw_strange(
    name: str, rng: random.Random, length_s: float
) -> list[faults.Planned]:
    """Return times, in series or overlapping, with one of the faults."""
    return [
        faults.Planned(
            name,
            rng.uniform(0.0, length_s - min(FOR_S)),
            rng.uniform(*FOR_S),
        )
        for _ in range(MOMENTS)
    ]
