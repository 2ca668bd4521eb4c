"""Steps of decisions on evacuations, without a network."""

from typing import Any

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features.steps import platform_steps
from features.steps import relay_decision_steps
from ragwort_lab import _relay_fakes as fakes
import ragwort_model as model
import ragwort_platform as platform
import ragwort_relay as relay

NOW = 10.0
BOUND_S = 5.0


@given('evacuations with a bound of {bound_s:g} s')
def start(context: Any, bound_s: float) -> None:
    """Start without evacuations."""
    context.evacuations = relay.Evacuations(bound_s)


@given('evacuations without a bound')
def start_disabled(context: Any) -> None:
    """Start as in a deployment without evacuations."""
    context.evacuations = relay.Evacuations()


@when('these versions of the object of "{domain}" are applied: {text}')
def apply(context: Any, domain: str, text: str) -> None:
    """Apply "TIME: ERA.REVISION CONTENT", the content - for a deletion."""
    for item in text.split(', '):
        at, version, content = item.split(' ')
        era, revision = version.split('.')
        context.evacuations.expire(float(at[:-1]))
        context.evacuations.update(
            domain,
            model.make_version(int(era), int(revision)),
            content != '-',
            float(at[:-1]),
        )


@then('at {at:g} s "{domain}" {verb} evacuated')
def check_state(context: Any, at: float, domain: str, verb: str) -> None:
    """Compare before and after a tick."""
    evacuations = context.evacuations
    assert evacuations.is_evacuated(domain, at) == (verb == 'is')
    evacuations.expire(at)
    assert evacuations.is_evacuated(domain, at) == (verb == 'is')
    context.domain = domain


@then('the end of its evacuation is {end}')
def check_end(context: Any, end: str) -> None:
    """Compare the time of the end."""
    expected = None if end == 'none' else float(end)
    assert context.evacuations.ended_at(context.domain) == expected


@then(
    'the changes are a start at version {first:d} and an end at version'
    ' {last:d} after {age_s:g} s'
)
def check_changes(context: Any, first: int, last: int, age_s: float) -> None:
    """Take the changes, which are then gone."""
    change = relay.EvacuationChange
    assert context.evacuations.take_changes() == [
        change('north', True, first, 0.0),
        change('north', False, last, age_s),
    ]
    assert context.evacuations.take_changes() == []


@given('a catalog with a runner in "north" and one in "east"')
def make_catalog(context: Any) -> None:
    """Create a catalog that honours evacuations."""
    catalog = relay.RelayCatalog(fakes.LabDialect())
    catalog.evacuations = relay.Evacuations(BOUND_S)
    catalog.evacuations.is_known = True
    catalog.now = NOW
    for index, domain in enumerate(('north', 'east')):
        text = relay_decision_steps.entry_text(
            domain=domain, address=f'10.0.0.{index}:80'
        )
        name = f'runner/{domain}'
        catalog.apply(model.StoredObject(name, index + 1, text))
    context.catalog = catalog


@when('its evacuations have yet to be read')
def forget(context: Any) -> None:
    """Return to the state of a host that has just started."""
    context.catalog.evacuations.is_known = False


@when('"{domain}" is evacuated')
def evacuate(context: Any, domain: str) -> None:
    """Apply the object."""
    item = model.StoredObject(f'evacuations/{domain}', 9, '{')
    context.catalog.apply(item)


@when('the entry of the runner in "{domain}" is missing after an outage')
def lose_entry(context: Any, domain: str) -> None:
    """Remove the entry right after the store has returned."""
    catalog = context.catalog
    catalog.fleet.on_store_recovered(NOW)
    catalog.apply(model.StoredObject(f'runner/{domain}', 12, None))
    assert catalog.fleet.runners[f'runner/{domain}'].unconfirmed_until


@then('it offers no runner')
def check_none(context: Any) -> None:
    """Look at the usable runners."""
    assert context.catalog.usable('main', NOW) == []
    assert context.catalog.sendable('main', NOW) == []


@then('it offers the runner in "{domain}" alone')
def check_offer(context: Any, domain: str) -> None:
    """Look at the usable runners."""
    for found in (
        context.catalog.usable('main', NOW),
        context.catalog.sendable('main', NOW),
        context.catalog.live_runners('main', NOW),
    ):
        assert [runner.name for runner in found] == [f'runner/{domain}']


@then('the pause of the runner in "{domain}" alone counts')
def check_pause(context: Any, domain: str) -> None:
    """Let the runner ask for a pause, which the others don't end."""
    catalog = context.catalog
    runner = catalog.fleet.runners[f'runner/{domain}']
    catalog.pauses.on_answer(runner, 2.0, NOW)
    assert catalog.pause_s('main', NOW) == 2.0


@then('the runner in "{domain}" takes no chores and no releases')
def check_chores(context: Any, domain: str) -> None:
    """Ask for both."""
    runner = context.catalog.fleet.runners[f'runner/{domain}']
    assert not context.catalog.takes_chores(runner, NOW)
    assert not context.catalog.takes_release(runner.address, NOW)


@then('a release to an unknown runner is skipped')
def check_unknown(context: Any) -> None:
    """Ask for an address without a runner, also once nothing is evacuated."""
    assert not context.catalog.takes_release('10.9.9.9:80', NOW)
    item = model.StoredObject('evacuations/north', 10, None)
    context.catalog.apply(item)
    assert context.catalog.takes_release('10.9.9.9:80', NOW)
    evacuate(context, 'north')


@then('failed connections to "{domain}" alone do not make the service lost')
def check_lost(context: Any, domain: str) -> None:
    """Let two connections fail."""
    catalog = context.catalog
    item = model.StoredObject(f'evacuations/{domain}', 11, '{}')
    catalog.apply(item)
    runner = catalog.fleet.runners[f'runner/{domain}']
    catalog.reach.on_unreachable(runner, 1.0)
    assert not catalog.is_lost('main')
    assert not catalog.is_unreachable('main')


@then('the service is evacuated and not lost')
def check_evacuated(context: Any) -> None:
    """Look at the service after all connections failed."""
    catalog = context.catalog
    for runner in catalog.fleet.runners.values():
        catalog.reach.on_unreachable(runner, 1.0)
    assert catalog.is_service_evacuated('main', NOW)
    assert not catalog.is_lost('main')
    assert not catalog.is_left_to_others('main', NOW)
    assert catalog.pause_s('main', NOW) == 0.0
    assert not catalog.is_service_evacuated('other', NOW)


@when('the settings template is filled in {whether} the time for evacuations')
def fill_template(context: Any, whether: str) -> None:
    """Read the settings that follow from the template."""
    changes = {'bounds.evacuationMs': '5000'} if whether == 'with' else {}
    content = platform_steps.template_settings(**changes)
    context.settings = platform.parse_settings(content, 'host.yaml')


@then('the host watches evacuations: {answer}')
def check_options(context: Any, answer: str) -> None:
    """Compare the options."""
    options = platform.host_options(context.settings)
    is_on = answer == 'yes'
    assert ('evacuations/' in options.prefixes) == is_on
    assert options.evacuation_bound_s == (BOUND_S if is_on else None)


@when('the platform\'s object "{name}" is read')
def read_name(context: Any, name: str) -> None:
    """Ask the platform's dialect."""
    context.found = platform.PlatformDialect().evacuated_domain(name)


use_step_matcher('re')


@then('it evacuates "(?P<domain>.*)"')
def check_domain(context: Any, domain: str) -> None:
    """Compare the domain, empty for none."""
    assert context.found == (domain or None), context.found


use_step_matcher('parse')
