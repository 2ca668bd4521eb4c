"""Verdict on a run of all scenarios, given the known failures."""

from collections.abc import Iterable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Scenarios by outcome; known_red failed as KNOWN-RED.txt says."""

    passed: list[str]
    failed: list[str]
    known_red: list[str]

    @property
    def is_green(self) -> bool:
        """Tell whether something ran and nothing failed unexpectedly."""
        return bool(self.passed) and not self.failed

    @property
    def closing_line(self) -> str:
        """Return the line that CI reads."""
        return f'{len(self.passed)} passed, {len(self.failed)} failed'


def known_red_name(scenario_name: str) -> str:
    """Return a scenario's name as KNOWN-RED.txt has it, without spaces."""
    return '-'.join(scenario_name.split())


def judge(outcomes: Iterable[tuple[str, bool]], known: set[str]) -> Verdict:
    """Sort scenarios, given by name and success, by outcome.

    A listed scenario that passes counts as failed: its entry is out of date.
    """
    verdict = Verdict([], [], [])
    for name, has_passed in outcomes:
        is_known = known_red_name(name) in known
        if is_known and not has_passed:
            verdict.known_red.append(name)
        elif has_passed and not is_known:
            verdict.passed.append(name)
        else:
            verdict.failed.append(name)
    return verdict
