"""Commands of the lab."""

from collections.abc import Callable
import multiprocessing
import statistics
import time

from ragwort_lab import _bench_report
from ragwort_lab import _capacity
from ragwort_lab import _invariants
from ragwort_lab import _known_red
from ragwort_lab import _matrix
from ragwort_lab import _mutations
from ragwort_lab import _prompt_bench
from ragwort_lab import _relay_bench
from ragwort_lab import _stage_bench

COMMANDS: dict[str, Callable[[list[str]], int]] = {}


def command(
    name: str,
) -> Callable[[Callable[[list[str]], int]], Callable[[list[str]], int]]:
    """Register a command under a name."""

    def register(
        function: Callable[[list[str]], int],
    ) -> Callable[[list[str]], int]:
        COMMANDS[name] = function
        return function

    return register


def main(arguments: list[str]) -> int:
    """Run the command named first."""
    if not arguments or arguments[0] not in COMMANDS:
        print(f'write one of: {", ".join(sorted(COMMANDS))}')
        return 2
    return COMMANDS[arguments[0]](arguments[1:])


@command('matrix-self-test')
def run_self_test(arguments: list[str]) -> int:
    """Check that each invariant catches a deliberately broken system."""
    missed = 0
    for name in _mutations.MUTATIONS:
        caught = _mutations.is_caught(name)
        missed += not caught
        print(f'{name}: {"caught" if caught else "MISSED"}')
    unproved = set(_invariants.INVARIANTS) - set(_mutations.MUTATIONS)
    for name in sorted(unproved):
        print(f'{name}: no broken variant')
    print(f'caught {len(_mutations.MUTATIONS) - missed} missed {missed}')
    return 1 if missed or unproved else 0


@command('capacity')
def run_capacity(arguments: list[str]) -> int:
    """Print the slopes of docs/CAPACITY.md; a missed limit is shown."""
    _capacity.report()
    return 0


@command('bench')
def run_bench(arguments: list[str]) -> int:
    """Print the policy's figures and the relay's; missed aims are shown."""
    _bench_report.report(arguments)
    return _relay_bench.report()


@command('stages')
def run_stages(arguments: list[str]) -> int:
    """Print the load patterns on a stage service, rule by rule."""
    _stage_bench.stage_report()
    return 0


@command('prompts')
def run_prompts(arguments: list[str]) -> int:
    """Print the load patterns of shared prompts, rule by rule."""
    _prompt_bench.prompt_report()
    return 0


@command('relay')
def run_relay(arguments: list[str]) -> int:
    """Print the relay's figures alone."""
    return _relay_bench.report()


@command('matrix')
def run_matrix(arguments: list[str]) -> int:
    """Run all single cases and the sampled pairs."""
    cases = [
        *_matrix.single_cases(),
        *_matrix.pair_cases(),
        *_matrix.restore_pair_cases(),
        *_matrix.REGRESSIONS,
    ]
    if arguments:
        cases = [case for case in cases if arguments[0] in case.name]
    started_at = time.perf_counter()
    with multiprocessing.Pool() as pool:
        results = pool.map(_matrix.run_case, cases, chunksize=4)
    return _report(results, time.perf_counter() - started_at)


def _report(results: list[_matrix.CaseResult], duration_s: float) -> int:
    known = _known_red.load_known_red()
    new_count = red_count = 0
    for result in results:
        if not result.violations:
            continue
        red = result.case.name in known
        red_count += red
        new_count += not red
        label = 'known red' if red else 'VIOLATION'
        print(f'{label} {result.case.name}')
        for line in result.violations[:5]:
            print(f'    {line}')
    recoveries = [r.recovery_s for r in results]
    unstruck = sorted({r.case.step for r in results if not r.struck})
    print(f'steps never reached: {", ".join(unstruck) or "none"}')
    if recoveries:
        print(
            'recovery after the heal: '
            f'median {statistics.median(recoveries):.2f} s, '
            f'largest {max(recoveries):.2f} s'
        )
    print(f'took {duration_s:.1f} s')
    print(f'cases {len(results)} violations {new_count} known-red {red_count}')
    return 1 if new_count or not results else 0
