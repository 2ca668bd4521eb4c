"""Steps of the model checks."""

from typing import Any

from behave import then
from behave import when

from features.support import broken
from features.support import machines


@then('no sequence of events breaks the "{name}"')
def check_object(context: Any, name: str) -> None:
    """Search for a counterexample."""
    machines.check_machine(name)


@when('the "{name}" is broken on purpose')
def break_object(context: Any, name: str) -> None:
    """Run the model check on a broken variant."""
    context.caught = broken.is_caught(name)


@then('its model check finds a counterexample')
def check_counterexample(context: Any) -> None:
    """Fail if nothing was found."""
    assert context.caught
