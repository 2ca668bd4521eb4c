"""Limits of runners, as their answers and other hosts tell them."""

from collections.abc import Iterable
import math
from typing import Any

from ragwort_edge import _dialect
import ragwort_model as model
import ragwort_relay as relay


def on_reply(
    catalog: relay.RelayCatalog,
    logger: Any,
    runner: relay.FleetRunner,
    reply: _dialect.RunnerReply,
    is_whole: bool,
    sent_at: float,
    now: float,
) -> None:
    """Record the limit that a runner's answer names, or its end.

    An answer that may be damaged ends no limit; one that another runner at
    the same address gave says nothing.
    """
    if reply.is_misdirected:
        return
    rate_per_s = reply.limit_per_s
    if rate_per_s is None and not (is_whole or reply.is_not_run):
        return
    if catalog.rate_limits.on_answer(runner, rate_per_s, sent_at, now):
        logger.info(
            'runner-limit',
            runner=runner.name,
            rate_per_s=rate_per_s,
            source='answer',
            age_s=0.0,
        )


def on_told(
    catalog: relay.RelayCatalog,
    logger: Any,
    told: Iterable[model.RunnerLimit],
    now: float,
) -> None:
    """Record what another host knows of limits; skip damaged ones."""
    sound = []
    for item in told:
        if _is_sound(item):
            sound.append(item)
        else:
            logger.warning('invalid-runner-limit', limit=repr(item))
    for item in catalog.rate_limits.merge(sound, now):
        logger.info(
            'runner-limit',
            runner=item.runner,
            rate_per_s=item.rate_per_s,
            source='peer',
            age_s=round(item.age_s, 3),
        )


def _is_sound(item: model.RunnerLimit) -> bool:
    rate_per_s = item.rate_per_s or 0.0
    return 0.0 <= rate_per_s < math.inf and math.isfinite(item.age_s)
