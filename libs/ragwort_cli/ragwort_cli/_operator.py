"""What operators do: look at and change targets, look at nodes."""

from collections.abc import Callable
import datetime
import getpass
import json
from typing import Any
import uuid

from twisted.internet import defer
from twisted.web import client

import ragwort_http as http
import ragwort_model as model
import ragwort_node as node
import ragwort_state as state

MAX_TRIES = 12
PAUSE_S = 0.3
TIMEOUT_S = 5.0


class StoreSession:
    """Calls to the platform's object API, one after the other."""

    def __init__(self, reactor: Any, platform: str) -> None:
        """Bind to the platform's address."""
        self.reactor = reactor
        self.waiting: dict[str, defer.Deferred[model.StoreResult]] = {}
        self.client = node.StoreClient(
            reactor, http.HttpClient(reactor), platform, self._on_result
        )

    def _on_result(self, result: model.StoreResult) -> None:
        self.waiting.pop(result.op).callback(result)

    def call(
        self, call: model.StoreCall
    ) -> 'defer.Deferred[model.StoreResult]':
        """Send a call and fire with its result."""
        answered: defer.Deferred[model.StoreResult] = defer.Deferred()
        self.waiting[call.op] = answered
        self.client.call(call)
        return answered

    def get(self, name: str) -> 'defer.Deferred[model.StoreResult]':
        """Read an object."""
        return self.call(_call(model.StoreVerb.GET, name))

    def list(self, prefix: str) -> 'defer.Deferred[model.StoreResult]':
        """Read all objects whose names begin with prefix."""
        return self.call(_call(model.StoreVerb.LIST, prefix))

    def put(
        self, name: str, value: str, version: int
    ) -> 'defer.Deferred[model.StoreResult]':
        """Write an object if it still has the expected version."""
        return self.call(_call(model.StoreVerb.PUT, name, value, version))


def _call(
    verb: model.StoreVerb,
    name: str,
    value: str | None = None,
    version: int = 0,
) -> model.StoreCall:
    return model.StoreCall(uuid.uuid4().hex, verb, name, value, version)


def class_name(name: str) -> str:
    """Return the object name of a class of work."""
    return f'{state.CONFIG_PREFIX}class/{name}'


def pause(reactor: Any) -> 'defer.Deferred[None]':
    """Fire after a short while."""
    passed: defer.Deferred[None] = defer.Deferred()
    reactor.callLater(PAUSE_S, passed.callback, None)
    return passed


@defer.inlineCallbacks
def read_class(session: StoreSession, name: str) -> Any:
    """Return the stored class of work, trying while the store is down."""
    for _ in range(MAX_TRIES):
        result = yield session.get(class_name(name))
        if result.status == model.StoreStatus.OK:
            return result.objects[0]
        if result.status == model.StoreStatus.NOT_FOUND:
            raise model.ConfigurationError(f'no class of work {name!r}')
        yield pause(session.reactor)
    raise model.StoreUnavailableError('the platform\'s store does not answer')


@defer.inlineCallbacks
def read_classes(session: StoreSession) -> Any:
    """Return the contents of all classes of work."""
    result = yield session.list(class_name(''))
    if result.status != model.StoreStatus.OK:
        raise model.StoreUnavailableError(
            f'the platform\'s store answers {result.status}'
        )
    return [json.loads(item.value) for item in result.objects]


@defer.inlineCallbacks
def set_target(
    reactor: Any, platform: str, name: str, wanted: dict[str, float]
) -> Any:
    """Change fields of a target; return the version that holds them.

    Raises TargetConflictError if another operator changed the same field
    meanwhile. A lost answer is resolved by reading the object again.
    """
    session = StoreSession(reactor, platform)
    stored = yield read_class(session, name)
    change = state.TargetChange(
        name,
        getpass.getuser(),
        uuid.uuid4().hex,
        datetime.datetime.now(datetime.UTC).isoformat(timespec='seconds'),
        state.parse_target(stored.value),
        wanted,
    )
    for _ in range(MAX_TRIES):
        if state.is_applied(change, stored.value):
            return stored.version
        merged = state.apply_change(change, stored.value)
        result = yield session.put(class_name(name), merged, stored.version)
        if result.status == model.StoreStatus.OK:
            return result.revision
        yield pause(reactor)
        stored = yield read_class(session, name)
    raise model.StoreUnavailableError(
        'the change could not be confirmed; look at the target before '
        'trying again'
    )


@defer.inlineCallbacks
def create_class(
    reactor: Any,
    platform: str,
    name: str,
    pipeline: str,
    target: dict[str, float],
) -> Any:
    """Create a class of work and return its version."""
    content = {
        'name': name,
        'pipeline': pipeline,
        'target': target,
        'changed_by': getpass.getuser(),
    }
    text = json.dumps(content, sort_keys=True)
    model.parse_document(f'class/{name}', text)
    session = StoreSession(reactor, platform)
    known = yield session.get(f'{state.CONFIG_PREFIX}pipeline/{pipeline}')
    if known.status == model.StoreStatus.NOT_FOUND:
        raise model.ConfigurationError(f'no pipeline {pipeline!r}')
    result = yield session.put(class_name(name), text, 0)
    if result.status == model.StoreStatus.CONFLICT:
        raise model.ConfigurationError(f'class of work {name!r} exists')
    if result.status != model.StoreStatus.OK:
        raise model.StoreUnavailableError(
            f'the platform\'s store answers {result.status}; look whether '
            'the class exists before trying again'
        )
    return result.revision


@defer.inlineCallbacks
def fetch_json(reactor: Any, address: str, path: str) -> Any:
    """Return what a node answers to a GET, as decoded JSON."""
    connections = http.HttpClient(reactor)
    url = f'http://{address}{path}'
    asked = connections.request(b'GET', url, fresh=True)
    asked.addTimeout(TIMEOUT_S, reactor)
    try:
        response = yield asked
        body = yield client.readBody(response)
    except Exception as error:
        raise model.RequestError(
            f'{address} does not answer: {error or type(error).__name__}'
        ) from None
    decoded = json.loads(body)
    if response.code != 200:
        raise model.RequestError(f'{address}: {decoded.get("detail")}')
    return decoded


@defer.inlineCallbacks
def fetch_from_all(
    reactor: Any, nodes: list[str], path: Callable[[], str]
) -> Any:
    """Return the answers of all nodes that the first living one lists."""
    entries = yield fetch_entries(reactor, nodes)
    answers: list[Any] = []
    for entry in entries:
        try:
            answer = yield fetch_json(reactor, entry['address'], path())
        except model.RequestError as error:
            answer = {'name': entry['host'], 'error': str(error)}
        answers.append(answer)
    return answers


@defer.inlineCallbacks
def fetch_entries(reactor: Any, nodes: list[str]) -> Any:
    """Return the entry addresses that the first living node lists."""
    problem: Exception = model.RequestError('give --node ADDRESS')
    for address in nodes:
        try:
            answer = yield fetch_json(reactor, address, '/v1/addresses')
            return answer['addresses']
        except model.RequestError as error:
            problem = error
    raise problem
