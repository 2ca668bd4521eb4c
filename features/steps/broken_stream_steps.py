"""Steps of streams that broke off and whose next runner answers otherwise."""

from collections.abc import Callable
from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import host_hops
from features.support import relay_hosts
import ragwort_edge as edge
import ragwort_lab as lab
from ragwort_lab import _relay_fakes as fakes
import ragwort_relay as relay

EVENTS = 6
# The last event before the stream breaks off.
BEGUN = 3
ROUTE_S = 8.0
AFTER_S = 4.0
ERROR_TEXT = b'{"error": "no room"}'
FRAMES: dict[str, edge.Headers] = {
    'a length': ((b'content-length', b'0'),),
    'chunks': ((b'transfer-encoding', b'chunked'),),
    'its connection': (),
}

Body = Callable[[bytes], bytes]
BODIES: dict[str, Body] = {}
LINE_ENDS = {'LF': b'\n', 'CRLF': b'\r\n'}


def body(name: str) -> Callable[[Body], Body]:
    """Register what a runner sends behind its last sound event."""

    def register(make: Body) -> Body:
        BODIES[name] = make
        return make

    return register


def event(number: int, end: bytes = b'\n') -> bytes:
    """Return an event of the stream."""
    lines = (b'id: %d' % number, b'data: e%d' % number, b'', b'')
    return end.join(lines)


def head(end: bytes) -> bytes:
    """Return the head of another answer."""
    lines = (
        b'HTTP/1.1 500 Internal Server Error',
        b'content-type: application/json',
        b'content-length: 20',
        b'',
        b'',
    )
    return end.join(lines)


@body('a whole head')
def whole_head(end: bytes) -> bytes:
    """Return an answer at the boundary of an event."""
    return head(end) + ERROR_TEXT


@body('a whole head and a blank line')
def head_and_blank(end: bytes) -> bytes:
    """Return an answer whose text looks like the end of an event."""
    return head(end) + ERROR_TEXT + end + end


@body('a whole head behind half an id')
def head_in_id(end: bytes) -> bytes:
    """Return an answer in the middle of a line."""
    return b'id: ' + head(end) + ERROR_TEXT


@body('a whole head behind an id')
def head_behind_id(end: bytes) -> bytes:
    """Return an answer where the data should be."""
    return b'id: 4' + end + head(end) + ERROR_TEXT


@body('a whole head behind half a line of data')
def head_in_data(end: bytes) -> bytes:
    """Return an answer whose first line becomes a part of the data."""
    return b'id: 4' + end + b'data: e' + head(end) + ERROR_TEXT


@body('a whole head and events of its own')
def head_and_events(end: bytes) -> bytes:
    """Return the head of a stream without its blank line."""
    lines = (b'HTTP/1.1 200 OK', b'content-type: text/event-stream', b'')
    return end.join(lines) + event(4, end) + event(5, end)


@body('an error text')
def error_text(end: bytes) -> bytes:
    """Return the text alone."""
    return ERROR_TEXT


@body('an error text and a blank line')
def text_and_blank(end: bytes) -> bytes:
    """Return the text like an event."""
    return ERROR_TEXT + end + end


@body('an event without an id')
def no_id(end: bytes) -> bytes:
    """Return an error as an event."""
    return b'event: error' + end + b'data: no room' + end + end


@body('an id that is no number')
def no_number(end: bytes) -> bytes:
    """Return an event of another numbering."""
    return b'id: 4a' + end + b'data: e4' + end + end


@body('an id of 5000 digits')
def long_id(end: bytes) -> bytes:
    """Return an id that is too long to convert."""
    return b'id: ' + b'4' * 5000 + end + b'data: e4' + end + end


@body('two ids in one event')
def two_ids(end: bytes) -> bytes:
    """Return a cut event that another one follows."""
    return b'id: 4' + end + event(5, end)


@body('an event that is not the next')
def jump(end: bytes) -> bytes:
    """Return an event behind a missing one."""
    return event(5, end) + event(6, end)


@body('the next event and one that is not the next')
def late_jump(end: bytes) -> bytes:
    """Return a sound event and a jump in one part."""
    return event(4, end) + event(6, end)


@body('nothing')
def nothing(end: bytes) -> bytes:
    """Return no event."""
    return b''


@body('a comment alone')
def comment(end: bytes) -> bytes:
    """Return a comment, which is no event."""
    return b': still here' + end + end


@body('the events that the caller has')
def repeated(end: bytes) -> bytes:
    """Return the stream's beginning again."""
    return b''.join(event(n, end) for n in range(1, BEGUN + 1))


SOUND = (
    b'id: 1\ndata: a\n\n',
    b'id:2\ndata:b\n\n',
    b'id: 3\r\nevent: word\r\ndata: c\r\n\r\n',
    b'part: 7\nid: 4\ndata: d\n\n',
    b'data: e\nid: 5\nretry: 10\ndata\n\n',
    b': a comment\nid: 6\ndata: HTTP/1.1 500\n: another\n\n',
)


@then('events pass in all forms that runners send')
def check_sound(context: Any) -> None:
    """Read sound events, and comments among them."""
    splitter = relay.EventSplitter()
    note = b': a comment\n\n'
    found = list(splitter.feed(note.join(SOUND)))
    assert b''.join(e.data for e in found) == note.join(SOUND), found
    ids = [e.event_id for e in found]
    assert ids == [1, None, 2, None, 3, None, 4, None, 5, None, 6], ids


@then('events 7 and 8 begin a fresh stream')
def check_any_number(context: Any) -> None:
    """Offer them where nothing is known, and where they leave a gap."""
    offered = [relay.StreamEvent(b'', number) for number in (7, 8)]
    fresh = relay.StreamProgress(None)
    assert all(fresh.accept(event) for event in offered)
    try:
        relay.StreamProgress(5).accept(offered[0])
    except ValueError:
        return
    raise AssertionError('a gap passed')


@given('whole hosts whose runners stream {count:d} events')
def start(context: Any, count: int) -> None:
    """Start two hosts and two runners; all runners share one script."""
    assert count == EVENTS
    context.world = world = relay_hosts.HostWorld(2)
    context.script = []
    context.end = b'\n'
    for runner in world.runners:
        runner.events = EVENTS
        runner.bodies = _bodies(context)
    world.run(1.0)


def _bodies(context: Any) -> dict[str, Callable[[int], bytes]]:
    """Return what the runners may send: a beginning, then the rest."""

    def bind(make: Body) -> Callable[[int], bytes]:
        def stream(last: int) -> bytes:
            first = range(last + 1, BEGUN + 1)
            begun = b''.join(event(n, context.end) for n in first)
            return begun + make(context.end)

        return stream

    return {name: bind(make) for name, make in BODIES.items()}


@given('the line ends are {name}')
def set_line_ends(context: Any, name: str) -> None:
    """Let the runners' bodies have other line ends."""
    context.end = LINE_ENDS[name]


@given('runners\' answers end with {frame}')
def set_frame(context: Any, frame: str) -> None:
    """Let the heads of the runners' answers name their framing."""
    for runner in context.world.runners:
        runner.extra_headers = FRAMES[frame]


def _set_script(context: Any, script: list[str]) -> None:
    """Let the runners do these steps in order, whichever is asked."""
    context.script[:] = script
    for runner in context.world.runners:
        runner.script = context.script


def _ask(context: Any, facts: dict[str, Any]) -> Any:
    facts = {'access_key': 'k1', 'deadline_s': ROUTE_S} | facts
    asked = context.world.submit(0, '/stream/1', facts)
    context.world.run(AFTER_S)
    return asked


def _cut_off(context: Any) -> None:
    """Let host 0 hand its requests to host 1."""
    world = context.world
    world.ways[0].cut_off(lab.CutManner.REFUSE)
    for number in range(4):
        facts = {'request_id': f'before-{number}', 'access_key': 'k1'}
        world.submit(0, f'/safe/{number}', facts)
        world.run(0.2)
    world.run(1.0)
    world.hops.clear()


def _in_host(context: Any, step: str) -> list[Any]:
    _set_script(context, [step])
    return [_ask(context, {'request_id': 'r1'})]


def _in_host_next(context: Any, step: str) -> list[Any]:
    _set_script(context, [f'cut:{BEGUN}', step])
    return [_ask(context, {'request_id': 'r1'})]


def _through_hop(context: Any, step: str) -> list[Any]:
    _cut_off(context)
    asked = _in_host(context, step)
    assert context.world.hops
    return asked


def _through_hop_next(context: Any, step: str) -> list[Any]:
    _cut_off(context)
    asked = _in_host_next(context, step)
    assert context.world.hops
    return asked


def _taken_up(context: Any, *steps: str) -> list[Any]:
    """Break a stream off, and let its caller come back."""
    _set_script(context, [f'cut:{BEGUN}', 'reset'])
    began = _ask(context, {'request_id': 'began'})
    assert not began.is_whole
    _set_script(context, list(steps))
    again = {
        'request_id': 'again',
        'last_event': BEGUN,
        'first_attempt': 'began',
    }
    return [began, _ask(context, again)]


WAYS = {
    'begins': _in_host,
    'goes on': _in_host_next,
    'begins at another host': _through_hop,
    'goes on at another host': _through_hop_next,
    'is taken up by its caller': _taken_up,
}


@when('a stream {way} and its runner sends {what} behind event 3')
def send_body(context: Any, way: str, what: str) -> None:
    """Let a stream end otherwise than its runner meant."""
    context.asked = WAYS[way](context, f'bytes:{what}')


@when('a stream {way} and its next runner answers {step}')
def send_answer(context: Any, way: str, step: str) -> None:
    """Let the runner that is to go on answer something else."""
    context.asked = WAYS[way](context, step)


@when('a stream is taken up by its caller and all runners answer {step}')
def answer_all(context: Any, step: str) -> None:
    """Let every runner answer something else than the rest."""
    context.asked = _taken_up(context, *[step] * 9)


@when('a stream is handed over and ends with its connection behind event 3')
def end_hop(context: Any) -> None:
    """Let the other host's process end in the middle of a stream."""
    _cut_off(context)
    data = b''.join(event(n) for n in range(1, BEGUN + 1))

    def serve(exchange: host_hops.HopExchange) -> None:
        head = edge.HttpResponse(200, fakes.EVENT_STREAM)
        exchange.call.send('on_head', head)
        exchange.call.send('on_data', data)
        exchange.call.send('on_end', ends=True)

    for port in context.world.network.hosts.values():
        port.serve_exchange = serve
    context.asked = [_ask(context, {'request_id': 'r1'})]


def _held(context: Any) -> bytes:
    """Return what the caller took for its stream, without comments."""
    held = b''.join(
        asked.body for asked in context.asked if asked.status == 200
    )
    return held.replace(comment(context.end), b'')


def _whole(context: Any) -> bytes:
    return b''.join(event(n) for n in range(1, EVENTS + 1))


@then('for its caller the stream {ends}')
def check_stream(context: Any, ends: str) -> None:
    """Look at the caller's events and at how its last answer ended."""
    held = _held(context).replace(b'\r\n', b'\n')
    whole = _whole(context)
    last = context.asked[-1]
    assert last.is_over
    assert whole.startswith(held), held
    assert not held or held.endswith(b'\n\n'), held
    if ends == 'is whole':
        assert held == whole, held
        assert last.is_whole
    elif ends == 'is reset':
        assert held != whole, held
        assert last.status == 200, last.status
        assert not last.is_whole
    elif ends == 'ends where its caller is':
        assert held == b''.join(event(n) for n in range(1, BEGUN + 1)), held
        assert last.is_whole
    else:
        status = int(ends.removeprefix('is answered '))
        assert last.status == status, (last.status, last.body)
        assert last.is_whole
