"""Where requests with stages were lost, from the logs of hosts."""

import collections
from collections.abc import Iterable
import dataclasses
import datetime
import statistics
from typing import Any

ANSWERED = 'answered'
ERROR_QUANTILES = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """How requests of a route ended that were decided on alike.

    took_s and forecast_s are means in seconds; forecast_s is None for
    requests without stages.
    """

    route: str
    admission: str
    outcome: str
    reason: str
    count: int
    took_s: float
    forecast_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Calibration:
    """Forecasts against the times of first events, for one route.

    Times are in seconds; error_p10_s and error_p90_s are quantiles of the
    first event's time less its forecast, None with fewer than two answers.
    """

    route: str
    admitted: int
    answered: int
    forecast_s: float
    first_s: float
    error_p10_s: float | None
    error_p90_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceWindow:
    """What one stage service did in a window that begins at start_s.

    waiting and free_mb are means over the calls: the pieces left in the
    queue, and the free storage of the call's runner.
    """

    service: str
    start_s: float
    runners: int
    calls: int
    pieces_per_call: float
    waiting: float
    late_pieces: int
    free_mb: float
    failures: dict[str, int]


def decisions(records: Iterable[dict[str, Any]]) -> list[Decision]:
    """Return the decisions on requests, the most frequent first."""
    groups: dict[tuple[str, str, str, str], list[dict[str, Any]]] = (
        collections.defaultdict(list)
    )
    for record in records:
        if record.get('event') == 'request':
            key = (
                str(record.get('route', '-')),
                str(record.get('admission', '-')),
                str(record.get('outcome', '-')),
                str(record.get('reason', '-')),
            )
            groups[key].append(record)
    found = [
        Decision(
            *key,
            len(group),
            statistics.mean(float(r.get('took_s', 0.0)) for r in group),
            _mean(r['forecast_s'] for r in group if 'forecast_s' in r),
        )
        for key, group in groups.items()
    ]
    return sorted(found, key=lambda decision: -decision.count)


def calibrations(records: Iterable[dict[str, Any]]) -> list[Calibration]:
    """Return forecasts against outcomes of what was admitted, by route."""
    groups: dict[str, list[dict[str, Any]]] = collections.defaultdict(list)
    for record in records:
        is_request = record.get('event') == 'request'
        if is_request and record.get('admission') == 'admit':
            groups[str(record.get('route'))].append(record)
    found: list[Calibration] = []
    for route, group in sorted(groups.items()):
        served = [r for r in group if 'first_s' in r]
        errors = [r['first_s'] - r['forecast_s'] for r in served]
        deciles = (
            statistics.quantiles(errors, n=ERROR_QUANTILES)
            if len(errors) > 1
            else [None, None]
        )
        found.append(
            Calibration(
                route,
                len(group),
                sum(r.get('outcome') == ANSWERED for r in group),
                _mean(r['forecast_s'] for r in group) or 0.0,
                _mean(r['first_s'] for r in served) or 0.0,
                deciles[0],
                deciles[-1],
            )
        )
    return found


def service_windows(
    records: Iterable[dict[str, Any]], window_s: float
) -> list[ServiceWindow]:
    """Return what each stage service did, window by window."""
    known = [r for r in records if 'timestamp' in r]
    times = {id(r): _seconds(r['timestamp']) for r in known}
    start = min(times.values(), default=0.0)
    calls: dict[tuple[str, int], list[dict[str, Any]]] = (
        collections.defaultdict(list)
    )
    failures: dict[tuple[str, int], collections.Counter[str]] = (
        collections.defaultdict(collections.Counter)
    )
    for record in known:
        window = int((times[id(record)] - start) / window_s)
        key = (str(record.get('service')), window)
        if record.get('event') == 'stage-call':
            calls[key].append(record)
        elif record.get('event') == 'piece-failed':
            failures[key][str(record.get('result'))] += 1
    return [
        ServiceWindow(
            service,
            window * window_s,
            len({r['runner'] for r in group}),
            len(group),
            statistics.mean(r['pieces'] for r in group),
            statistics.mean(r['waiting'] for r in group),
            sum(r['late'] for r in group),
            (_mean(r.get('free_bytes', 0) for r in group) or 0.0) / 1e6,
            dict(failures[service, window]),
        )
        for (service, window), group in sorted(calls.items())
    ]


def _mean(values: Iterable[float]) -> float | None:
    known = list(values)
    return statistics.mean(known) if known else None


def _seconds(timestamp: str) -> float:
    return datetime.datetime.fromisoformat(timestamp).timestamp()
