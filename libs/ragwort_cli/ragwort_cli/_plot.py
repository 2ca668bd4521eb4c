"""Plot of a load run."""

import pathlib

from ragwort_cli import _load

PERCENTILES = (1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9)


def plot_latencies(
    results: list[_load.ClassResult], path: pathlib.Path
) -> None:
    """Write latency against percentile for each class as a PNG."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for result in results:
        values = [
            result.latency.get_value_at_percentile(p) for p in PERCENTILES
        ]
        axes.plot([str(p) for p in PERCENTILES], values, label=result.name)
    axes.set_xlabel('percentile')
    axes.set_ylabel('latency (ms)')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
