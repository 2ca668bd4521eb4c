"""Steps of the thin path."""

import json
from typing import Any

from behave import then
from behave import when

from features.support import calls
from features.support import processes


@when('a caller asks "{node}" for addresses')
def ask_addresses(context: Any, node: str) -> None:
    """Ask a node for entry addresses."""
    address = context.system.nodes[node]
    _, body = processes.call_http(f'http://{address}/v1/addresses')
    context.addresses = json.loads(body)['addresses']


@when('it sends a request of class "{name}"')
def send_request(context: Any, name: str) -> None:
    """Send a request to the first address."""
    body = calls.request_body(name, f'question about {name}')
    address = context.addresses[0]['address']
    context.exchange = calls.exchange(address, body)


@then('it gets the whole answer to its own request')
def check_answer(context: Any) -> None:
    """Check the answer against what the stand-ins must say."""
    calls.check_whole(context.exchange)


@then('the node has logged its routing decisions')
def check_log(context: Any) -> None:
    """Look for the routing lines of the request."""
    host = context.exchange.records[0]['host']
    lines = [
        json.loads(line) for line in context.system.log(host).splitlines()
    ]
    routing = [
        line
        for line in lines
        if line['event'] == 'routing'
        and line['subject'] == context.exchange.key
    ]
    assert len(routing) >= 2, routing
    assert all(line['chosen'] and line['rule'] for line in routing), routing


@then('it is told of {count:d} entry hosts')
def check_addresses(context: Any, count: int) -> None:
    """Check how many hosts are listed."""
    assert len({e['host'] for e in context.addresses}) == count
