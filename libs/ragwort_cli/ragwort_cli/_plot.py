"""Plots of load runs, bench runs and experiments."""

import pathlib

from ragwort_cli import _journal
from ragwort_cli import _load
from ragwort_cli import _losses
import ragwort_lab as lab

PERCENTILES = (1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9)


def plot_latencies(
    results: list[_load.ClassResult], path: pathlib.Path
) -> None:
    """Plot latency against percentile for each class as a PNG."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for result in results:
        values = [
            result.latency_ms.get_value_at_percentile(p) for p in PERCENTILES
        ]
        axes.plot([str(p) for p in PERCENTILES], values, label=result.name)
    axes.set_xlabel('percentile')
    axes.set_ylabel('latency (ms)')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def plot_runs(
    first: _journal.JournalEntry,
    second: _journal.JournalEntry,
    path: pathlib.Path,
) -> None:
    """Plot the worth of each day in two runs as a PNG."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    second_days = {day.name: day for day in second.days}
    names = [day.name for day in first.days if day.name in second_days]
    width = 0.4
    for offset, entry in ((0.0, first), (width, second)):
        days = {day.name: day for day in entry.days}
        positions = [index + offset for index in range(len(names))]
        heights = [days[name].worth or 0.0 for name in names]
        axes.bar(positions, heights, width, label=entry.id)
    axes.set_xticks([i + width / 2 for i in range(len(names))], names)
    axes.set_ylabel('worth')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def plot_rules(
    name: str, results: list[lab.RuleFigures], path: pathlib.Path
) -> None:
    """Plot the share in target by size for each rule as a PNG."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for result in results:
        shares = result.figures.share_by(lab.SIZE)
        axes.plot(list(shares), list(shares.values()), 'o-', label=result.rule)
    axes.set_title(name)
    axes.set_xlabel('pieces of a request')
    axes.set_ylabel('share in target')
    axes.set_ylim(0, 1.02)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def plot_services(
    windows: list[_losses.ServiceWindow], path: pathlib.Path
) -> None:
    """Plot waiting pieces and pieces in a call over time as a PNG."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, (waiting, filled) = pyplot.subplots(2, 1, sharex=True)
    for service in sorted({w.service for w in windows}):
        own = [w for w in windows if w.service == service]
        starts = [w.start_s for w in own]
        waiting.plot(starts, [w.waiting for w in own], label=service)
        filled.plot(starts, [w.pieces_per_call for w in own], label=service)
    waiting.set_ylabel('pieces waiting')
    filled.set_ylabel('pieces in a call')
    filled.set_xlabel('seconds')
    waiting.legend()
    figure.tight_layout()
    figure.savefig(path)
