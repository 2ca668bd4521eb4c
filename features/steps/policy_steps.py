"""Steps of the policy under load and faults."""

from typing import Any

from behave import then
from behave import when

import ragwort_lab as lab

MEAN_STAGES = 3.45
RETRY_SHARE = 0.2


@when('the policy bench runs "{scenario}" with seed {seed:d}')
def run_scenario(context: Any, scenario: str, seed: int) -> None:
    """Run one scenario under the full policy."""
    context.figures = lab.run(lab.Run(scenario, lab.OURS, seed))


@then('at least {share:f} of all requests are attained')
def check_attainment(context: Any, share: float) -> None:
    """Check the attainment of all classes together."""
    assert context.figures.attainment >= share, context.figures


@then('each small workspace attains at least {share:f}')
def check_smallest(context: Any, share: float) -> None:
    """Check the workspace with the lowest attainment."""
    assert context.figures.smallest >= share, context.figures


@then('dispatches stay within the stages plus a fifth')
def check_tries(context: Any) -> None:
    """Check the dispatches per request against the retry budget."""
    bound = MEAN_STAGES * (1.0 + RETRY_SHARE)
    assert 0 < context.figures.tries <= bound, context.figures
