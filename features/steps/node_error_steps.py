"""Steps of errors that nobody expected on a node."""

import json
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when
from twisted.internet import address
from twisted.internet import task

from features.support import calls
from features.support import transports
import ragwort_model as model
from ragwort_node import _caller_http

PARTS = {
    'admission': 'submit',
    'taking up': 'follow',
    'explanation': 'explain',
    'addresses': 'addresses',
    'status': 'status',
    'detaching': 'submit',
    'effects': '',
    'directory': '',
}
REQUESTS = {
    'serve a request': b'POST /v1/requests',
    'take up an answer': b'GET /v1/requests/key',
    'explain a request': b'GET /v1/requests/key/explain',
    'list its addresses': b'GET /v1/addresses?caller=c',
    'tell its status': b'GET /v1/status',
}


class RaisingNode:
    """Stands in for a node's daemon."""

    max_body = 100_000

    def __init__(self, part: str) -> None:
        """Let a part raise."""
        self.core = mock.MagicMock()
        self.core.control.members.version = 7
        self.core.options.address_ttl_s = 2.0
        self.part = part
        if PARTS.get(part):
            getattr(self.core, PARTS[part]).side_effect = ZeroDivisionError
        if part == 'directory':
            del self.core.control
        self.streams: dict[str, _caller_http.CallerStream] = {}
        self.counts: list[str] = []
        self.errors: list[str] = []

    def now(self) -> float:
        """Return monotonic seconds."""
        return 0.0

    def wall(self) -> float:
        """Return the time of day in seconds."""
        return 0.0

    def perform(self, effects: Any) -> None:
        """Raise, if that is the part."""
        if self.part == 'begun':
            [stream] = self.streams.values()
            stream.on_event(model.Chunk(1, 'text'))
            stream.flush()
        if self.part in ('effects', 'begun'):
            raise ZeroDivisionError

    def open_stream(self, stream: _caller_http.CallerStream) -> None:
        """Register a stream."""
        self.streams[stream.subscriber] = stream

    def close_stream(self, subscriber: str) -> None:
        """Remove a stream."""
        if self.streams.pop(subscriber, None) and self.part == 'detaching':
            raise ZeroDivisionError

    def count(self, name: str) -> None:
        """Count something."""
        self.counts.append(name)

    def on_error(self, trace: str) -> None:
        """Note an error."""
        self.errors.append(trace)


@given('a node whose "{part}" raises')
def start(context: Any, part: str) -> None:
    """Make a node of which a part raises."""
    context.node = RaisingNode(part)


@given('a node whose "effects" raise after the first event')
def start_begun(context: Any) -> None:
    """Make a node that fails within an answer."""
    context.node = RaisingNode('begun')


@when('the node is asked to {what} over a connection')
def ask(context: Any, what: str) -> None:
    """Send a request to the node's site."""
    site = _caller_http.caller_site(context.node, 10.0)
    site.reactor = task.Clock()
    served = site.buildProtocol(address.IPv4Address('TCP', '10.0.0.9', 9))
    context.transport = transports.QuietTransport()
    served.makeConnection(context.transport)
    body = json.dumps(calls.request_body('tide-question', 'high tide'))
    if not REQUESTS[what].startswith(b'POST'):
        body = ''
    served.dataReceived(
        REQUESTS[what]
        + b' HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n' % len(body)
        + body.encode()
    )


@then('it answers {status:d} with a problem document that is no promise')
def check_problem(context: Any, status: int) -> None:
    """Look at what was written."""
    head, _, body = context.transport.value().partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 %d ' % status), head
    assert b'application/problem+json' in head.lower(), head
    problem = json.loads(body)
    assert problem['status'] == status
    assert problem.get('outcome') != 'not_run', problem


@then('the connection is closed without the end of the answer')
def check_cut(context: Any) -> None:
    """Look at what was written."""
    written = context.transport.value()
    assert b'text' in written, written
    assert not written.endswith(b'0\r\n\r\n'), written
    assert context.transport.disconnected


@then('the node has counted the error and waits for no answer')
def check_counted(context: Any) -> None:
    """Look at the counter, and at what a node that drains waits for."""
    assert len(context.node.errors) == 1, context.node.errors
    expected = ZeroDivisionError, AttributeError
    assert any(e.__name__ in context.node.errors[0] for e in expected), (
        context.node.errors
    )
    assert not context.node.streams, context.node.streams
