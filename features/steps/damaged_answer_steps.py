"""Steps of answers that are early, damaged or cut."""

from typing import Any

from behave import then
from behave import when

from features.support import damaged_answers


@when(
    'a server with a real socket answers {body} with {answer}, then {ending}'
)
def answer(context: Any, body: str, answer: str, ending: str) -> None:
    """Look up how the call ended; all are played once."""
    context.end = damaged_answers.play_all()[answer, ending, body]


@then('the call to it gets "{end}"')
def check_end(context: Any, end: str) -> None:
    """Compare the status and body, or the kind of error."""
    assert context.end == end, context.end
