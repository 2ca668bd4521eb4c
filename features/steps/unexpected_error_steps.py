"""Steps of errors that nobody expected."""

import json
from typing import Any
from unittest import mock

from behave import then
from behave import when

from features.support import relay_hosts
import ragwort_model as model

PARTS = {
    'limits': ('limit_sharing', 'messages'),
    'departures': ('departure_sharing', 'messages'),
    'crash-news': ('crashes', 'messages'),
    'reach': ('reach_probe', 'tick'),
    'registry': ('registry', 'tick'),
    'peers': ('peers', 'close_idle'),
}
POISON = 'runner/poison'


def fail(*arguments: Any, **named: Any) -> None:
    """Raise what no caller expects."""
    raise ZeroDivisionError('of the test')


class FailingDecoder(relay_hosts.Decoder):
    """Fails on one object as no decoder should."""

    def decode_runner(self, name: str, value: str) -> Any:
        """Decode all runners but one."""
        if name == POISON:
            fail()
        return super().decode_runner(name, value)


def watch_logs(context: Any) -> None:
    """Keep the errors that host 0 logs."""
    context.errors = []
    host = context.world.hosts[0]

    def note(event: str, **fields: Any) -> None:
        context.errors.append((event, fields))

    host.guard.logger = mock.Mock(error=note)


@when('the {part} of host 0 fails each time')
def break_part(context: Any, part: str) -> None:
    """Replace a part's function by one that raises."""
    watch_logs(context)
    owner, name = PARTS[part]
    host = context.world.hosts[0]
    if owner == 'registry':
        host.registry = mock.Mock(tick=fail)
    else:
        setattr(getattr(host, owner), name, fail)
    context.world.run(1.0)


@when('each host is sent a message that it can\'t handle, again and again')
def send_poison(context: Any) -> None:
    """Let the handling of a kind of message fail, and send such messages."""
    watch_logs(context)
    world = context.world
    for host in world.hosts:
        host.crashes.on_told = fail
    for _ in range(20):
        for host in world.hosts:
            for address in host.members.peer_addresses():
                news = model.CrashNews([], [])
                host._send_peer(model.SendPeerMessage(address, news))
        world.run(0.1)


@then('a change of the configuration is in force on all hosts within 2 s')
def check_change(context: Any) -> None:
    """Write a configuration and look at all hosts."""
    version = context.world.keep_keys(['k1', 'k3']).version
    context.world.run(2.0)
    found = context.world.versions_in_force()
    assert set(found) == {model.revision_of(version)}, (found, version)


@then('host 0 still counts as alive on all hosts {seconds:g} s later')
def check_alive(context: Any, seconds: float) -> None:
    """Give the others time to suspect it."""
    context.world.run(seconds)
    believed = [h.members.is_alive('host-0') for h in context.world.hosts]
    assert all(believed), believed


@then('host 0 has logged and counted the error of its "{part}"')
def check_logged(context: Any, part: str) -> None:
    """Look for the log line and the counter; few lines tell of many errors."""
    [first, *rest] = [
        fields
        for event, fields in context.errors
        if event == 'unexpected-error' and fields['part'] == part
    ]
    assert 'ZeroDivisionError' in first['detail']
    assert len(rest) <= 2, len(rest)
    text = context.world.hosts[0].metrics.text().decode()
    assert f'ragwort_unexpected_errors_total{{part="{part}"}}' in text


@when('the store gets an object on which the decoder fails, then a runner')
def write_poison(context: Any) -> None:
    """Write both at once, as a list or a watch would bring them."""
    world = context.world
    for host in world.hosts:
        host.catalog.decoder = FailingDecoder()
    world.objects.put(POISON, json.dumps({}))
    world._add_runner('late', '10.0.9.9:80')
    world.run(2.0)


@then('all hosts know the runner')
def check_runner(context: Any) -> None:
    """Look at what the hosts read."""
    known = [
        'runner/late' in host.catalog.fleet.runners
        for host in context.world.hosts
    ]
    assert all(known), known


@then('all hosts tell of a problem with the object')
def check_problem(context: Any) -> None:
    """Look at the problems."""
    for host in context.world.hosts:
        assert 'unexpected' in host.catalog.problems[POISON]
