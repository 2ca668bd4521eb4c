"""Steps of the fault matrix."""

from collections.abc import Sequence
import multiprocessing
import pathlib
import re
from typing import Any

from behave import then
from behave import when

import ragwort_lab as lab

PAIR_COUNT = 60


def run_cases(cases: Sequence[lab.Case]) -> list[lab.CaseResult]:
    """Run cases on all processors; the order of results is the cases'."""
    with multiprocessing.Pool() as pool:
        return pool.map(lab.run_case, cases, chunksize=1)


@when('"{fault}" strikes at each step of a request')
def strike_each_step(context: Any, fault: str) -> None:
    """Run one fault at all steps."""
    cases = [case for case in lab.single_cases() if case.faults == (fault,)]
    assert len(cases) == len(lab.STEPS)
    context.results = run_cases(cases)


@when('sampled pairs of faults strike at sampled steps')
def strike_pairs(context: Any) -> None:
    """Run sampled pairs and the kept cases."""
    context.results = run_cases(
        [*lab.pair_cases(PAIR_COUNT), *lab.REGRESSIONS]
    )


@when('the store is restored while each other fault strikes')
def strike_restores(context: Any) -> None:
    """Run the restore in a pair with every other fault."""
    context.results = run_cases(lab.restore_pair_cases())


@then('no invariant is violated but where KNOWN-RED.txt says so')
def check_results(context: Any) -> None:
    """Fail on a violation that is not known."""
    known = lab.load_known_red(pathlib.Path.cwd())
    new = [
        (result.case.name, result.violations[:3])
        for result in context.results
        if result.violations and result.case.name not in known
    ]
    unstruck = [r.case.name for r in context.results if not r.struck]
    assert not new, new
    assert not unstruck, unstruck


@then('the tables name every fault')
def check_tables(context: Any) -> None:
    """Compare the feature's rows with the registry."""
    text = pathlib.Path(context.feature.filename).read_text()
    rows = set(re.findall(r'^\s*\| ([a-z-]+)\s+\|$', text, re.MULTILINE))
    missing = set(lab.FAULTS) - rows
    assert not missing, missing


@when('the system is broken on purpose for "{invariant}"')
def break_system(context: Any, invariant: str) -> None:
    """Run the broken variant."""
    context.caught = lab.is_caught(invariant)


@then('that invariant reports a violation')
def check_caught(context: Any) -> None:
    """Fail if the check did not notice."""
    assert context.caught


@then('no invariant is without one')
def check_variants(context: Any) -> None:
    """Compare the registries."""
    assert set(lab.MUTATIONS) == set(lab.INVARIANTS)
