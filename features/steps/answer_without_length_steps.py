"""Steps of answers that have neither a length nor chunks."""

from typing import Any

from behave import then
from behave import when
from twisted.internet import error
from twisted.python import failure
from twisted.web import http as web_http

from features.steps import endless_answer_steps
from features.steps import relay_decision_steps
import ragwort_edge as edge
import ragwort_http as http
import ragwort_lab as lab
from ragwort_lab import _relay_fakes as fakes
import ragwort_model as model
import ragwort_relay as relay
import ragwort_wire as wire

ROUTE_S = 4.0
STREAMS = {
    'behind its last event': b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
    b'id: 3\ndata: c\n\n',
    'inside an event': b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda',
    'behind a field': b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n',
    'before its first event': b'',
}
LOAD = (
    b'{"running": 1, "queued": 2, "slots": 3, "age_s": 0.5, "draining": false,'
    b' "state_version": 1}'
)
OBJECTS = b'{"objects": [], "revision": 7}'


@when('a server sends a body of no stated length that {what}')
def answer_call(context: Any, what: str) -> None:
    """Feed a call of the relay and end its connection."""
    connection, context.ends = endless_answer_steps.CallWorld().fetch()
    connection.dataReceived(endless_answer_steps.HEAD + b'\r\nabc')
    reason: Exception = error.ConnectionDone()
    if what == 'is reset in its middle':
        reason = error.ConnectionLost()
    connection.connectionLost(failure.Failure(reason))


@then("the relay's call returns the body")
def check_body(context: Any) -> None:
    """Look at the end of the call."""
    assert context.ends[0].body == b'abc', context.ends


@then("the relay's call breaks off")
def check_closed(context: Any) -> None:
    """Look at the end of the call."""
    assert context.ends[0].value.kind == edge.CallErrorKind.CLOSED


class ShortRunner(fakes.LabRunner):
    """Streams some bytes and ends as if the connection had closed."""

    data = b''

    def serve(self, request: edge.HttpRequest, open_call: Any) -> None:
        """Answer without a length."""
        headers = (*fakes.EVENT_STREAM, (b'echo', b'request-1'))
        open_call.send('on_head', edge.HttpResponse(200, headers))
        if self.data:
            open_call.send('on_data', self.data)
        open_call.send('on_end', ends=True)


@when('a runner streams without a length and ends {where}')
def stream(context: Any, where: str) -> None:
    """Send a stream request that is not resumed."""
    world = lab.RelayWorld(hosts=1)
    runner = ShortRunner(world.clock, 'short', '10.0.0.1:80', 'north')
    runner.data = STREAMS[where]
    world.add_runner(runner, 'main')
    world.configure(relay_decision_steps.make_configuration([]))
    route = relay_decision_steps.make_route(
        timeout_s=ROUTE_S, kind=relay.CallKind.STREAM, attempts=1
    )
    facts = edge.RequestMetadata('request-1', ROUTE_S)
    context.exchange = world.submit(world.hosts[0], route, facts)
    world.run(1.0)


@then('the caller gets {count:d} events and {end}')
def check_stream(context: Any, count: int, end: str) -> None:
    """Look at what the caller got."""
    exchange = context.exchange
    assert exchange.body.count(b'data: ') == count, exchange.body
    is_whole = exchange.is_whole and exchange.status == 200
    assert is_whole == (end == 'a whole answer'), exchange.status


@when(
    "a server sends a node's {reader} an answer of no stated length that is"
    ' {what}'
)
def answer_node(context: Any, reader: str, what: str) -> None:
    """Hand the body to the nodes' reader and end its connection."""
    response: Any = endless_answer_steps.BodyResponse()
    body = OBJECTS if reader == 'store call' else LOAD
    context.reader, context.ends = reader, []
    http.read_body(response).addBoth(context.ends.append)
    response.reader.dataReceived(body if what == 'whole' else body[:-5])
    response.reader.connectionLost(
        failure.Failure(web_http.PotentialDataLoss())
    )


@then('the node reads {meaning}')
def check_node(context: Any, meaning: str) -> None:
    """Decode what was read as the node does."""
    (body,) = context.ends
    if context.reader == 'store call':
        result = wire.decode_store_result('op', 200, body)
        is_read = result.status == model.StoreStatus.OK
    else:
        try:
            is_read = wire.decode_load(body).slots == 3
        except model.WireError:
            is_read = False
    assert is_read == (meaning == 'the answer'), body
