"""Steps of a node's stage calls whose replies hold other records."""

from typing import Any

from behave import then
from behave import when
from twisted.internet import defer
from twisted.internet import task

from features.steps import broken_answer_steps
import ragwort_model as model
from ragwort_node import _runner_client
import ragwort_wire as wire

ATTEMPT = model.AttemptId('key-1', 0, 1, 'nonce')
OTHER = 'key-2/0/1/nonce'
LOAD = wire.LoadRecord(0, 0, 2, 0.1, False, 1)


def chunk(seq: int, attempt: str = str(ATTEMPT)) -> bytes:
    """Return the record of a chunk."""
    return wire.encode_result(wire.ResultChunk(attempt, seq, f'c{seq}'))


def end(attempt: str = str(ATTEMPT)) -> bytes:
    """Return the record of the end of two chunks."""
    digest = model.content_digest(['c0', 'c1'])
    return wire.encode_result(wire.ResultEnd(attempt, 2, digest, 0.1, LOAD))


BEGUN = chunk(0) + chunk(1)
HEAD, PROBLEM = broken_answer_steps.HEAD, broken_answer_steps.PROBLEM
REPLIES = {
    'is whole': (200, BEGUN + end()),
    'is an error of status 500': (500, BEGUN + end()),
    'is a problem document': (200, PROBLEM + b'\n' + BEGUN),
    'breaks off': (200, BEGUN),
    'breaks off within a chunk': (200, BEGUN + chunk(2)[:-5]),
    'goes on with a whole head': (200, BEGUN + HEAD + PROBLEM),
    'goes on with a problem document': (200, BEGUN + PROBLEM + b'\n'),
    'goes on with a head and more chunks': (200, BEGUN + HEAD + chunk(2)),
    "goes on with another call's records": (
        200,
        BEGUN + chunk(2, OTHER) + end(OTHER),
    ),
    "is another call's refusal": (
        200,
        wire.encode_result(wire.ResultRefused(OTHER, 'overloaded', LOAD)),
    ),
    "goes on with another call's refusal": (
        200,
        BEGUN
        + wire.encode_result(wire.ResultRefused(OTHER, 'overloaded', LOAD)),
    ),
    "goes on with another call's error": (
        200,
        BEGUN + wire.encode_result(wire.ResultError(OTHER, 'failed')),
    ),
    "goes on with another call's refusal and its rest": (
        200,
        chunk(0)
        + wire.encode_result(wire.ResultRefused(OTHER, 'overloaded', LOAD))
        + chunk(1)
        + end(),
    ),
    'goes on behind its end': (200, BEGUN + end() + chunk(2)),
}


class OneReply:
    """Answers each request with the same reply."""

    def __init__(self, code: int, body: bytes) -> None:
        """Keep the reply."""
        self.reply = broken_answer_steps.BodyResponse(code, body)

    def request(
        self, method: bytes, url: str, body: bytes, fresh: bool
    ) -> 'defer.Deferred[Any]':
        """Answer a request."""
        return defer.succeed(self.reply)


@when("a node's stage call gets a reply that {reply}")
def call(context: Any, reply: str) -> None:
    """Send one call and keep its events."""
    context.events = []
    http: Any = OneReply(*REPLIES[reply])
    client = _runner_client.RunnerClient(
        task.Clock(), http, context.events.append, lambda load: None
    )
    runner = model.Runner('r1', 'generator', '10.0.0.1:80', 'north')
    stage_call = model.StageCall(ATTEMPT, 'generator', 'text', 5.0, 0)
    client.call(model.CallRunner(runner, stage_call, False))


@then('the node takes {count:d} chunks of it and the call ends as {kind}')
def check(context: Any, count: int, kind: str) -> None:
    """Look at the records that echo the call, and at its one end."""
    own = [
        event
        for event in context.events
        if getattr(event, 'echoed_attempt', str(ATTEMPT)) == str(ATTEMPT)
    ]
    chunks = [e for e in own if isinstance(e, model.StageChunk)]
    assert [e.seq for e in chunks] == list(range(count)), chunks
    ends = [e for e in own if not isinstance(e, model.StageChunk)]
    kinds = [str(getattr(e, 'failure', 'done')) for e in ends]
    assert kinds == [kind], ends
    assert own[-1] is ends[0], own
