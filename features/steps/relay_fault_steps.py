"""Steps of promises under faults, and of fuzzed input."""

from collections.abc import Callable
import contextlib
import json
from typing import Any
from unittest import mock

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from features.steps import platform_steps
from features.support import relay_promises
import ragwort_edge as edge
from ragwort_edge import _request_handler
from ragwort_edge import _stream
import ragwort_model as model
import ragwort_platform as platform
from ragwort_platform import _store
import ragwort_relay as relay
from ragwort_relay import _brittle

EXAMPLES = 300


def finish_broken(reader: _stream.StreamReader, problem: Any) -> None:
    """End a broken stream as if it were whole."""
    reader._set_timer(None)
    reader._finish(relay.SendResult.DONE, '')


def resume_at_start(progress: relay.StreamProgress, event: Any) -> bool:
    """Let every event pass, whatever came before."""
    progress.forwarded += 1
    return True


BROKEN: dict[str, Any] = {
    'calls that run once sent again': lambda: mock.patch.object(
        relay.Attempts, 'may_send_again', lambda *_: True
    ),
    'refusals of calls that ran': lambda: mock.patch.object(
        _request_handler, 'HTTP_BAD_GATEWAY', 503
    ),
    'broken streams ended as whole': lambda: mock.patch.object(
        _stream.StreamReader, 'on_error', finish_broken
    ),
    'streams resumed from their beginning': lambda: mock.patch.object(
        relay.StreamProgress, 'accept', resume_at_start
    ),
    'requests to runners that leave': lambda: mock.patch.object(
        relay.Fleet, 'on_leaving', lambda *_: False
    ),
    'requests to runners in a pause': lambda: mock.patch.object(
        relay.Pauses, 'left_s', lambda *_: 0.0
    ),
    'requests to brittle runners without room': lambda: mock.patch.object(
        _brittle.BrittleRunners, 'wait_s', lambda *_: 0.0
    ),
    'calls that go on without their caller': lambda: mock.patch.object(
        _request_handler.RequestHandler, '_on_disconnect', lambda *_: None
    ),
}
CASES = 'each fault meets each kind of request, on the first or every runner'


@when(CASES)
def play_cases(context: Any) -> None:
    """Play every case."""
    context.count, context.broken = relay_promises.play_all()


@when(CASES + ', with {fault}')
def play_broken(context: Any, fault: str) -> None:
    """Play every case under a broken variant."""
    with BROKEN[fault]():
        context.count, context.broken = relay_promises.play_all()


@when(
    '{count:d} requests of all kinds meet runners that fail at random, '
    'seed {seed:d}'
)
def play_many(context: Any, count: int, seed: int) -> None:
    """Play many requests."""
    context.broken = relay_promises.play_many(count, seed)


@then('no promise is broken and at least {count:d} cases were played')
def check_cases(context: Any, count: int) -> None:
    """Look for broken promises."""
    assert context.broken == [], context.broken[:5]
    assert context.count >= count


@then('no promise is broken and every request has ended')
def check_many(context: Any) -> None:
    """Look for broken promises."""
    assert context.broken == [], context.broken[:5]


@then('a promise is broken')
def check_noticed(context: Any) -> None:
    """Look for the break."""
    assert context.broken


def _mutated(example: Any) -> strategies.SearchStrategy[bytes]:
    """Return JSON with values replaced, and damaged bytes."""
    values = strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats()
        | strategies.text(max_size=5),
        lambda inner: (
            strategies.lists(inner, max_size=2)
            | strategies.dictionaries(
                strategies.sampled_from(sorted(example)), inner, max_size=2
            )
        ),
        max_leaves=4,
    )
    changed = strategies.dictionaries(
        strategies.sampled_from(sorted(example)), values, max_size=3
    ).map(lambda change: json.dumps(example | change).encode())
    cut = strategies.integers(0, 400).map(
        lambda at: json.dumps(example).encode()[:at]
    )
    return changed | cut | strategies.binary(max_size=60)


def read_configuration(data: bytes) -> None:
    """Read a configuration."""
    dialect = platform.PlatformDialect()
    dialect.decode_configuration(data.decode('utf-8', 'replace'))


def read_runner(data: bytes) -> None:
    """Read a runner's entry."""
    dialect = platform.PlatformDialect()
    dialect.decode_runner('servers/a', data.decode('utf-8', 'replace'))


def read_request(data: bytes) -> None:
    """Read headers with damaged values."""
    names = (
        b'request-id deadline-milliseconds authorization last-event-id '
        b'prompt-prefix pieces piece-key'
    ).split()
    headers = tuple((name, data) for name in names)
    platform.PlatformDialect().read_request(
        edge.HttpRequest(b'GET', b'/', headers)
    )


def read_stage_reply(data: bytes) -> None:
    """Read a stage reply."""
    response = edge.HttpResponse(200, (), data)
    platform.PlatformDialect().read_stage_reply(response, 1)


def read_store(data: bytes) -> None:
    """Read a page and a watch's answer."""
    for kind in (_store._Page, _store._Events):
        with contextlib.suppress(model.StoreError):
            _store._decode(_store._Answer(data, 0), kind)
    _store._decode(_store._Answer(data, 0), _store._Page)


READERS: dict[str, tuple[Callable[[bytes], None], dict[str, Any]]] = {
    'configuration': (read_configuration, platform_steps.CONFIGURATION),
    'runner entry': (read_runner, platform_steps.SERVER),
    'request': (read_request, {'a': 1}),
    'stage reply': (read_stage_reply, {'items': [{'handle': 'a/1'}]}),
    'store answer': (
        read_store,
        {'items': [], 'events': [], 'storeRevision': 3, 'hasMore': False},
    ),
}


@then('any {name} is read or refused with a typed error')
def fuzz(context: Any, name: str) -> None:
    """Read damaged input."""
    reader, example = READERS[name]

    @hypothesis.settings(
        max_examples=EXAMPLES, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(_mutated(example))
    def hold(data: bytes) -> None:
        with contextlib.suppress(model.RagwortError):
            reader(data)

    hold()
    reader(json.dumps(example).encode() if name != 'request' else b'7')
