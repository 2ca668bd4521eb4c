"""Steps of which process is believed to be at a runner's address."""

import json
from typing import Any

from behave import given
from behave import then
from behave import when
import structlog

from ragwort_edge import _maker_news
import ragwort_lab as lab
import ragwort_model as model
import ragwort_relay as relay

OTHER_HOST = 'other'


def entry_of(
    runner: str,
    born: int,
    number: int,
    address: str = '10.0.0.1:80',
    **fields: Any,
) -> model.StoredObject:
    """Return a version of a runner's entry in the lab's form."""
    values = {
        'service': 'main',
        'address': address,
        'domain': 'north',
        'state': 'live',
        'born': born,
        'slots': 4,
    }
    text = json.dumps(values | fields)
    return model.StoredObject(f'runner/{runner}', number, text)


@given('a host without entries')
def set_host(context: Any) -> None:
    """Create a host's catalog and what it tells other hosts."""
    context.catalog = lab.RelayWorld(hosts=1).hosts[0].catalog
    context.catalog.now = 100.0
    context.sent = []
    context.news = _maker_news.MakerNews(
        None,
        context.catalog.makers,
        lambda effect: context.sent.append(effect.message),
        structlog.wrap_logger(structlog.ReturnLogger()),
    )


@when('it reads the entries {order}')
def read_entries(context: Any, order: str) -> None:
    """Apply the entries of the table."""
    rows = list(context.table)
    if order.startswith('in reverse'):
        rows.reverse()
    for row in rows:
        context.catalog.apply(
            entry_of(
                row['runner'],
                int(row['born']),
                int(row['version']),
                row['address'],
            )
        )


@when('the entry of "{runner}" is removed')
def remove_entry(context: Any, runner: str) -> None:
    """Let it expire."""
    context.catalog.apply(model.StoredObject(f'runner/{runner}', 90, None))


@when('the process at {address} tells start {start:d}')
def tell(context: Any, address: str, start: int) -> None:
    """Let it tell its start on a connection."""
    catalog = context.catalog
    catalog.makers.on_told(address, start, catalog.now)


@when('another host tells that start {start:d} at {address} is over')
def hear(context: Any, start: int, address: str) -> None:
    """Let a host whose connection to it broke tell so."""
    catalog = context.catalog
    message = model.RunnerStarts([model.RunnerStart(address, 0, [start])])
    context.news.on_told(OTHER_HOST, message, catalog.now)


@when("the store can't be read")
def lose_store(context: Any) -> None:
    """Let an outage of the store begin."""
    context.catalog.fleet.on_store_lost()


@when('the store can be read')
def keep_store(context: Any) -> None:
    """Let nothing happen."""


@when('{s:g} s pass for the host')
def wait(context: Any, s: float) -> None:
    """Let the host do what is due."""
    catalog = context.catalog
    catalog.now += s
    catalog.expire_runners(catalog.now)
    catalog.forget_makers(catalog.now)


@then(
    'at {address} results of start {start:d} are in use and those of {over:d}'
    ' are over'
)
def check_one(context: Any, address: str, start: int, over: int) -> None:
    """Look at both starts."""
    makers = context.catalog.makers
    assert not makers.has_ended(address, start)
    assert makers.has_ended(address, over)
    assert makers.start_at(address) == start, makers.start_at(address)


@then('at {address} results of starts {one:d} and {other:d} are in use')
def check_both(context: Any, address: str, one: int, other: int) -> None:
    """Look at both starts."""
    makers = context.catalog.makers
    assert not makers.has_ended(address, one)
    assert not makers.has_ended(address, other)


@then('at {address} results of start {start:d} are {state}')
def check_state(context: Any, address: str, start: int, state: str) -> None:
    """Look at one start."""
    has_ended = context.catalog.makers.has_ended(address, start)
    assert has_ended == (state == 'over'), has_ended


@then('it tells other hosts of no start that is over')
def check_untold(context: Any) -> None:
    """Look at what is sent."""
    context.news.tell(OTHER_HOST, ['10.0.0.1:80'])
    told = [start for sent in context.sent for start in sent.starts]
    assert not any(start.ended for start in told), told


@then(
    'it tells other hosts that start {start:d} is there and that {one:d} and'
    ' {other:d} are over'
)
def check_told(context: Any, start: int, one: int, other: int) -> None:
    """Look at what is sent."""
    context.news.tell(OTHER_HOST, ['10.0.0.1:80'])
    told = context.sent[-1].starts[0]
    assert told.started_ms == start, told
    assert sorted(told.ended) == sorted((one, other)), told


def _runner(context: Any) -> relay.FleetRunner:
    found = context.catalog.fleet.runners['runner/a']
    assert isinstance(found, relay.FleetRunner)
    return found


@when('it reads an entry born {born:d} of version "{version}"')
@when('it reads an entry born {born:d} of version "{version}" at {place}')
def read_entry(
    context: Any, born: int, version: str, place: str | None = None
) -> None:
    """Apply the next version of the runner's entry."""
    context.entry_count = getattr(context, 'entry_count', 0) + 1
    address = '10.0.0.1:80' if place is None else '10.0.0.2:80'
    context.catalog.apply(
        entry_of('a', born, context.entry_count, address, version=version)
    )


@when('its address refuses a connection')
def refuse(context: Any) -> None:
    """Let the host fail to connect."""
    context.catalog.reach.on_unreachable(_runner(context), context.catalog.now)


@when('the store can be read again')
def recover_store(context: Any) -> None:
    """Let the outage end."""
    context.catalog.fleet.on_store_recovered(context.catalog.now)


@when('another runner of its service is listed')
def add_other(context: Any) -> None:
    """Apply its entry."""
    context.catalog.apply(entry_of('b', 3, 99, '10.0.0.9:80', version='v2'))


def _goes_on(context: Any, version: str) -> bool:
    origin = relay.StreamOrigin('main', version)
    return origin.may_continue_at(_runner(context))


@then('the runner is one of "{version}", where streams of "{stream}" go on')
def check_certain(context: Any, version: str, stream: str) -> None:
    """Look at the runner."""
    known = _runner(context).entry.runner
    assert known.software_version == version, known
    assert _goes_on(context, stream)


@then(
    'the runner is one of "{version}", where no stream of "{one}" or "{other}"'
    ' goes on'
)
def check_uncertain(context: Any, version: str, one: str, other: str) -> None:
    """Look at the runner."""
    known = _runner(context).entry.runner
    assert known.software_version == version, known
    assert not _goes_on(context, one)
    assert not _goes_on(context, other)


@then('new requests go to the runner')
def check_used(context: Any) -> None:
    """Look at the usable runners."""
    usable = context.catalog.fleet.usable('main', context.catalog.now)
    assert _runner(context) in usable


@then('no new requests go to the runner')
def check_spared(context: Any) -> None:
    """Look at the usable runners."""
    usable = context.catalog.fleet.usable('main', context.catalog.now)
    assert usable and _runner(context) not in usable


@when('it reads an entry born {born:d} that says {report}')
def read_state(context: Any, born: int, report: str) -> None:
    """Apply the next version of the runner's entry, or its removal."""
    context.entry_count = getattr(context, 'entry_count', 0) + 1
    state = {'ready': 'live', 'draining': 'leaving'}.get(report)
    item = model.StoredObject('runner/a', context.entry_count, None)
    if state is not None:
        item = entry_of('a', born, context.entry_count, state=state)
    context.catalog.apply(item)


@when('the runner says in an answer that it leaves')
def say_leaving(context: Any) -> None:
    """Let an answer bear that notice."""
    catalog = context.catalog
    catalog.departure_news.on_answer(_runner(context), catalog.now)


def _usable(context: Any) -> list[relay.FleetRunner]:
    catalog = context.catalog
    usable: list[relay.FleetRunner] = catalog.usable('main', catalog.now)
    return usable


@then('no request goes to it')
def check_unused(context: Any) -> None:
    """Look at the usable runners."""
    assert not _usable(context)


@then('requests go to it')
def check_served(context: Any) -> None:
    """Look at the usable runners."""
    assert [runner.name for runner in _usable(context)] == ['runner/a']


@when('the connection to {address} is left')
def leave_connection(context: Any, address: str) -> None:
    """Let the host need it no more."""
    context.catalog.makers.on_closed(address)


@when('the runner names a limit of {rate:g} requests a second')
def name_limit(context: Any, rate: float) -> None:
    """Let an answer bear it."""
    catalog, now = context.catalog, context.catalog.now
    catalog.rate_limits.on_answer(_runner(context), rate, now, now)


@when('the runner answers without a limit')
def end_limit(context: Any) -> None:
    """Let an answer end it."""
    catalog, now = context.catalog, context.catalog.now
    catalog.rate_limits.on_answer(_runner(context), None, now, now)


@when('another host tells that start {start:d} of the runner named a limit')
def hear_limit(context: Any, start: int) -> None:
    """Merge what a host tells of a second ago."""
    catalog = context.catalog
    told = model.RunnerLimit('runner/a', start, 0.5, 1.0)
    catalog.rate_limits.merge([told], catalog.now)


@then('the runner is limited')
def check_limited(context: Any) -> None:
    """Look at what is told, and ask."""
    limits, now = context.catalog.rate_limits, context.catalog.now
    limits.to_spread(now)
    assert limits.is_limited(_runner(context), now)


@then('the runner is not limited')
def check_unlimited(context: Any) -> None:
    """Ask."""
    limits, now = context.catalog.rate_limits, context.catalog.now
    assert not limits.is_limited(_runner(context), now)
