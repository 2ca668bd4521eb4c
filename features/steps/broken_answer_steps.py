"""Steps of answers from nodes that break off, as the callers' library sees."""

import json
from typing import Any

from behave import given
from behave import then
from behave import when
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.python import failure
from twisted.web import client as web_client

from features.support import transports
import ragwort_client
import ragwort_model as model
import ragwort_wire as wire

KEY = 'key-1'
CHUNKS = ('a', 'b', 'c')
BEGUN = 2
HEAD = b'HTTP/1.1 500 Internal Server Error\ncontent-length: 2\n\n'
PROBLEM = json.dumps({'title': 'Problem', 'detail': 'no room'}).encode()
CUT_PROBLEM = PROBLEM[:-4]
ADDRESSES = json.dumps(
    {
        'addresses': [
            {
                'host': f'host-{n}',
                'address': f'10.0.0.{n}:80',
                'failure_domain': 'north',
            }
            for n in (1, 2)
        ],
        'ttl_s': 60.0,
        'version': 1,
    }
).encode()


def lines(*events: model.CallerEvent) -> bytes:
    """Return the records of some events."""
    return b''.join(wire.encode_event(event) + b'\n' for event in events)


def end_of(
    key: str, outcome: model.Outcome, chunks: tuple[str, ...]
) -> model.End:
    """Return the end of an answer of some chunks."""
    digest = model.content_digest(chunks)
    return model.End(key, outcome, len(chunks), digest)


FOREIGN = model.Chunk(BEGUN, 'foreign')
COMPLETED = model.Outcome.COMPLETED
BEGINNING = lines(
    model.Accepted(KEY, 'host-1'), model.Chunk(0, 'a'), model.Chunk(1, 'b')
)
REST = lines(
    model.Accepted(KEY, 'host-1'),
    model.Chunk(2, 'c'),
    end_of(KEY, COMPLETED, CHUNKS),
)
BROKEN = {
    'nothing': b'',
    'half a chunk': lines(FOREIGN)[:-4],
    'a whole head': HEAD + PROBLEM + b'\n',
    'a problem document': PROBLEM + b'\n',
    'a whole head and a foreign chunk': HEAD + lines(FOREIGN),
    "another key's records": lines(
        model.Accepted('key-2', 'host-2'),
        FOREIGN,
        end_of('key-2', COMPLETED, ('a', 'b', 'foreign')),
    ),
    "another key's end": lines(
        end_of('key-2', model.Outcome.FAILED, CHUNKS[:BEGUN])
    ),
    'an end that counts too few chunks': lines(
        end_of(KEY, COMPLETED, CHUNKS[:1])
    ),
}


class BodyResponse:
    """A response whose body comes at once and whose connection then ends."""

    def __init__(
        self,
        code: int,
        body: bytes,
        reason: type[Exception] = web_client.ResponseDone,
    ) -> None:
        """Answer with a status and a body; reason says how it ends."""
        self.code = code
        self.body = body
        self.reason = reason

    def deliverBody(self, reader: Any) -> None:  # noqa: N802
        """Hand the body to a reader."""
        reader.makeConnection(transports.QuietTransport())
        reader.dataReceived(self.body)
        reader.connectionLost(failure.Failure(self.reason()))


class ScriptedHosts:
    """Answers a caller's requests in turn; the last answer repeats."""

    def __init__(self, responses: list[tuple[int, bytes]]) -> None:
        """Keep the answers."""
        self.responses = responses

    def request(
        self, method: bytes, url: str, body: bytes = b'', fresh: bool = False
    ) -> 'defer.Deferred[Any]':
        """Answer a request."""
        if '/v1/addresses' in url:
            whole = BodyResponse(200, ADDRESSES, web_client.ResponseDone)
            return defer.succeed(whole)
        code, content = self.responses[0]
        reason = web_client.ResponseDone
        if content == CUT_PROBLEM:
            reason = error.ConnectionLost
        if len(self.responses) > 1:
            self.responses.pop(0)
        return defer.succeed(BodyResponse(code, content, reason))


@given('a caller whose stream breaks off with {what}')
def begin(context: Any, what: str) -> None:
    """Let the first answer break off."""
    context.responses = [(200, BEGINNING + BROKEN[what])]


@given('a caller whose first refusal breaks off')
def cut_refusal(context: Any) -> None:
    """Let the first answer be a refusal that is not whole."""
    context.responses = [(503, CUT_PROBLEM)]


@given('whose next host sends a whole answer')
def send_whole(context: Any) -> None:
    """Let the next answer bring everything."""
    context.responses.append((200, BEGINNING + REST))


@given('whose next host sends the rest')
def send_rest(context: Any) -> None:
    """Let the next answer bring the rest."""
    context.responses.append((200, REST))


@given('whose next host sends the rest and a foreign chunk')
def send_more(context: Any) -> None:
    """Let a chunk follow the end in the same read."""
    behind = lines(model.Chunk(len(CHUNKS), 'foreign'))
    context.responses.append((200, REST + behind))


@given('whose next hosts answer {status:d}')
def send_error(context: Any, status: int) -> None:
    """Let all further answers be errors."""
    context.responses.append((status, PROBLEM))


@when('it sends its request')
def send(context: Any) -> None:
    """Send it and let all retries happen."""
    clock = task.Clock()
    client = ragwort_client.Client(clock, ['10.0.0.1:80'])
    hosts: Any = ScriptedHosts(context.responses)
    client.http_client = hosts
    context.heard = []
    context.answers = []
    sent = client.send(
        'question',
        'school',
        'text',
        5.0,
        KEY,
        lambda seq, data: context.heard.append(data),
    )
    sent.addCallback(context.answers.append)
    for _ in range(50):
        clock.advance(0.1)


@then('its answer is completed and holds all chunks once')
def check_whole(context: Any) -> None:
    """Look at the answer and at what was passed on as it came."""
    (answer,) = context.answers
    assert answer.chunks == CHUNKS, answer
    assert answer.outcome == COMPLETED, answer
    assert tuple(context.heard) == CHUNKS, context.heard


@then("its answer's outcome is unknown and it holds the first chunks")
def check_unknown(context: Any) -> None:
    """Look at the answer."""
    (answer,) = context.answers
    assert answer.outcome == model.Outcome.UNKNOWN, answer
    assert answer.chunks == CHUNKS[:BEGUN], answer
