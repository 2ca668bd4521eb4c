"""Report of the policy bench: table, JSON and verdicts."""

import dataclasses
import json
import multiprocessing
import pathlib
import statistics

from ragwort_lab import _policy_bench

REPORT_PATH = pathlib.Path('reports/policy.json')
OVERLOADS = ('burst', 'slow-runner', 'failing-runner', 'domain-lost')
CAMPBELL = ('campbell-steady', 'campbell-burst')
COST_SAVING = 0.20
CAMPBELL_TARGET = 0.95
FIELDS = ('attainment', 'p99_s', 'cost', 'wasted', 'smallest', 'tries')

Table = dict[str, dict[str, list[_policy_bench.Figures]]]


def report(arguments: list[str]) -> int:
    """Run all scenarios, print the figures and which aims are missed."""
    variants = [_policy_bench.OURS, *_policy_bench.BASELINES]
    if 'ablation' in arguments:
        variants += _policy_bench.ABLATIONS
    jobs = [
        _policy_bench.Run(scenario, variant, seed)
        for scenario in _policy_bench.SCENARIOS
        for variant in variants
        for seed in _policy_bench.SEEDS
    ]
    with multiprocessing.Pool() as pool:
        figures = pool.map(_policy_bench.run, jobs, chunksize=1)
    table: Table = {}
    for job, figure in zip(jobs, figures, strict=True):
        by_variant = table.setdefault(job.scenario, {})
        by_variant.setdefault(job.variant.name, []).append(figure)
    _print(table)
    _write(table)
    return _verdicts(table)


def median(items: list[_policy_bench.Figures], field: str) -> float:
    """Return a field's median over the seeds."""
    return float(statistics.median(getattr(item, field) for item in items))


def _spread(items: list[_policy_bench.Figures], field: str) -> float:
    values = [getattr(item, field) for item in items]
    return float(max(values) - min(values))


def _print(table: Table) -> None:
    print(
        f'{"scenario":16} {"policy":18} attained (spread)   p99 s   cost '
        'wasted  small  tries'
    )
    for scenario, by_variant in table.items():
        for variant, items in by_variant.items():
            values = [median(items, field) for field in FIELDS]
            attainment, p99_s, cost, wasted, smallest, tries = values
            spread = _spread(items, 'attainment')
            print(
                f'{scenario:16} {variant:18} {attainment:8.4f} ({spread:.4f})'
                f'  {p99_s:6.3f} {cost:6.4f} {wasted:6.3f}  {smallest:5.3f}'
                f'  {tries:5.2f}'
            )


def _write(table: Table) -> None:
    REPORT_PATH.parent.mkdir(exist_ok=True)
    data = {
        scenario: {
            variant: [dataclasses.asdict(item) for item in items]
            for variant, items in by_variant.items()
        }
        for scenario, by_variant in table.items()
    }
    REPORT_PATH.write_text(json.dumps(data, indent=1, sort_keys=True))
    print(f'written to {REPORT_PATH}')


def _verdicts(table: Table) -> int:
    """Print each aim and whether it is met; return how many are missed."""
    missed = 0
    for scenario, by_variant in table.items():
        ours = median(by_variant['ragwort'], 'attainment')
        baselines = [v.name for v in _policy_bench.BASELINES]
        best = max(
            baselines, key=lambda n: median(by_variant[n], 'attainment')
        )
        other = median(by_variant[best], 'attainment')
        if scenario in CAMPBELL:
            cost = median(by_variant['ragwort'], 'cost')
            saving = 1.0 - cost / median(by_variant[best], 'cost')
            met = ours >= CAMPBELL_TARGET and saving >= COST_SAVING
            text = f'saves {saving:.1%} against {best}, attains {ours:.4f}'
        elif scenario in OVERLOADS:
            met = ours > other
            text = f'{ours:.4f} above {other:.4f} of {best}'
        else:
            met = ours >= other
            text = f'{ours:.4f} no worse than {other:.4f} of {best}'
        missed += not met
        print(f'{"met   " if met else "MISSED"} {scenario}: {text}')
    print(f'aims missed: {missed} of {len(table)}')
    return missed
