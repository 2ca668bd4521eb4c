"""Steps of the learned sharing of prompts."""

from typing import Any

from behave import then
from behave import when

from ragwort_lab import _prompt_bench
import ragwort_relay as relay
from ragwort_relay import _sharing

MAX_READ_AGAIN = 0.1


@when('600 prompts of "{pattern}" are played on {hosts:d} hosts')
def play(context: Any, pattern: str, hosts: int) -> None:
    """Play a pattern under both rules."""
    context.figures = {
        rule: _prompt_bench.PromptReplay(pattern, rule, hosts).run()
        for rule in _prompt_bench.PromptRule
    }


@then('at most a tenth of the tokens are of shared parts read again')
def check_read_again(context: Any) -> None:
    """Compare with the aim."""
    figures = context.figures[_prompt_bench.PromptRule.LEARNED]
    assert figures.read_again <= MAX_READ_AGAIN, figures


@then('the busiest engine has at most {factor:g} times the mean')
def check_balance(context: Any, factor: float) -> None:
    """Compare the engines."""
    figures = context.figures[_prompt_bench.PromptRule.LEARNED]
    assert figures.busiest <= factor, figures


@then('fewer shared parts are read again than by the count of parts')
def check_gain(context: Any) -> None:
    """Compare the rules."""
    learned = context.figures[_prompt_bench.PromptRule.LEARNED]
    earlier = context.figures[_prompt_bench.PromptRule.BY_COUNT]
    assert learned.read_again < earlier.read_again, context.figures


@when('{count:d} prompts of own parts only were seen')
def see_own(context: Any, count: int) -> None:
    """Learn from prompts without shared parts."""
    context.sharing = relay.PromptSharing()
    for number in range(count):
        parts = [relay.PromptPart(f'{number}-{i}', 900) for i in range(3)]
        context.sharing.record('class', parts)


@then('a prompt of the class has no home, and its memory is bounded')
def check_no_home(context: Any) -> None:
    """Ask for a home, and see many more prompts."""
    prompt = [relay.PromptPart(f'new-{i}', 900) for i in range(3)]
    assert context.sharing.home('class', prompt) is None
    for number in range(_sharing.MAX_PARTS):
        parts = [relay.PromptPart(f'more-{number}-{i}', 9) for i in range(3)]
        context.sharing.record('class', parts)
    known = context.sharing.classes['class']
    assert len(known.known) == _sharing.MAX_PARTS
    assert len(known.lengths) == _sharing.RECENT_PROMPTS


@when("a session's prompts grow by a part each time")
def grow(context: Any) -> None:
    """Play ten sessions of ten turns and note one session's homes."""
    sharing = relay.PromptSharing()
    context.homes = set()
    for turn in range(10):
        for session in range(10):
            prompt = [
                relay.PromptPart('rules', 500),
                relay.PromptPart(f's-{session}', 3000),
                *(
                    relay.PromptPart(f't-{session}-{index}', 700)
                    for index in range(turn + 1)
                ),
            ]
            sharing.record('class', prompt)
            home = sharing.home('class', prompt)
            if session == 3:
                assert home is not None
                context.homes.add(home.key)


@then('its home stays the same')
def check_same(context: Any) -> None:
    """Compare the homes."""
    assert context.homes == {'s-3'}, context.homes
