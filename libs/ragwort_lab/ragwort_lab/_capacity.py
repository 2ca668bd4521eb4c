"""The capacity command: measured slopes, worked out at the full size."""

from collections.abc import Sequence
import multiprocessing

from ragwort_lab import _scale_bench
from ragwort_lab import _state_bench

FULL_NODES = 330
FULL_OBJECTS = 7_000
BYTES_LIMIT = 5_000.0
CORE_LIMIT = 0.016
MEMORY_LIMIT = 32e6
IN_FORCE_LIMIT_S = 11.0
WRITES_LIMIT = 300.0


def report() -> int:
    """Print all figures; return how many limits are missed."""
    with multiprocessing.Pool(7) as pool:
        control = pool.map_async(
            _scale_bench.measure_control, _scale_bench.SIZES, 1
        )
        spread = pool.map_async(
            _scale_bench.measure_spread, _scale_bench.SIZES, 1
        )
        cold = pool.map_async(
            _scale_bench.cold_start_s, _scale_bench.COLD_SIZES, 1
        )
        missed = _report_control(control.get())
        missed += _report_spread(spread.get())
        _report_cold_start(cold.get())
    missed += _report_ledger()
    _report_decisions()
    missed += _report_memory()
    print(f'limits missed: {missed}')
    return missed


def _verdict(value: float, limit: float) -> str:
    return 'within' if value <= limit else 'MISSED'


def _report_control(figures: Sequence[_scale_bench.ControlFigures]) -> int:
    print('control plane of an idle node, by number of nodes')
    print('nodes  bytes/s  messages/s  core s/s  store reads/s  writes/s')
    for item in figures:
        print(
            f'{item.nodes:5d}  {item.bytes_per_s:7.0f}  '
            f'{item.messages_per_s:10.2f}  {item.core_s:8.5f}  '
            f'{item.store_reads_per_s:13.2f}  {item.store_writes_per_s:8.2f}'
        )
    sizes = [float(item.nodes) for item in figures]
    missed = 0
    for name, values, limit in (
        ('bytes/s', [i.bytes_per_s for i in figures], BYTES_LIMIT),
        ('core s/s', [i.core_s for i in figures], CORE_LIMIT),
    ):
        fit = _scale_bench.fit_line(sizes, values)
        verdict = _verdict(values[-1], limit)
        missed += verdict == 'MISSED'
        print(
            f'{name}: {fit.base:.5g} + {fit.slope:.5g} per node, '
            f'worst error {fit.worst_error:.0%}; at {figures[-1].nodes} '
            f'measured {values[-1]:.5g}, limit {limit:g}: {verdict}'
        )
    return missed


def _report_spread(figures: Sequence[_scale_bench.SpreadFigures]) -> int:
    print('seconds until a change is in force on every node')
    print('nodes  plain  all watchers dead  10% loss')
    missed = 0
    for item in figures:
        print(
            f'{item.nodes:5d}  {item.plain_s:5.2f}  '
            f'{item.watcher_dead_s:17.2f}  {item.loss_s:8.2f}'
        )
        worst = max(item.plain_s, item.watcher_dead_s, item.loss_s)
        missed += worst > IN_FORCE_LIMIT_S
    print(f'limit {IN_FORCE_LIMIT_S:g} s: {"MISSED" if missed else "within"}')
    return missed


def _report_cold_start(times: Sequence[float]) -> None:
    print('seconds until nodes that start together are all listed by all')
    for nodes, time_s in zip(_scale_bench.COLD_SIZES, times, strict=True):
        print(f'{nodes:5d}  {time_s:5.1f}')


def _report_ledger() -> int:
    print('claim ledger, by nodes and claims per second')
    print('nodes  claims/s  writes/s  reads/s  granted  median s  largest B')
    missed = 0
    for nodes in _state_bench.LEDGER_NODES:
        for rate in _state_bench.CLAIM_RATES:
            item = _state_bench.LedgerRun(nodes, rate).run()
            print(
                f'{nodes:5d}  {rate:8d}  {item.writes_per_s:8.1f}  '
                f'{item.reads_per_s:7.1f}  '
                f'{item.granted / item.asked:7.1%}  '
                f'{item.median_s:8.3f}  {item.largest_object:9d}'
            )
            missed += item.writes_per_s > WRITES_LIMIT
    return missed


def _report_decisions() -> None:
    print('routing decision, by runners of the service')
    print('runners  ours us  random us  ratio  new subset ms')
    for count in _state_bench.RUNNER_COUNTS:
        item = _state_bench.measure_decision(count)
        print(
            f'{count:7d}  {item.ours_s * 1e6:7.1f}  '
            f'{item.random_s * 1e6:9.1f}  {item.ours_s / item.random_s:5.2f}  '
            f'{item.refresh_s * 1e3:13.2f}'
        )


def _report_memory() -> int:
    print('memory of a node, by what it knows')
    total = 0.0
    for name, counts, measure, full in (
        (
            'object',
            _state_bench.OBJECT_COUNTS,
            _state_bench.object_memory,
            FULL_OBJECTS,
        ),
        (
            'node',
            _state_bench.MEMBER_COUNTS,
            _state_bench.member_memory,
            FULL_NODES,
        ),
    ):
        values = [measure(count) for count in counts]
        fit = _scale_bench.fit_line([float(c) for c in counts], values)
        total += fit.at(full)
        print(
            f'{fit.slope:8.0f} B per {name}, worst error '
            f'{fit.worst_error:.0%}; at {full}: {fit.at(full) / 1e6:.2f} MB'
        )
    verdict = _verdict(total, MEMORY_LIMIT)
    print(f'together {total / 1e6:.2f} MB, limit 32 MB: {verdict}')
    return int(verdict == 'MISSED')
