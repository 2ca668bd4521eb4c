"""Operator actions: read and change targets, query nodes."""

from collections.abc import Callable
import datetime
import getpass
import json
from typing import Any
from typing import Protocol
import uuid

from twisted.internet import defer

import ragwort_http as http
import ragwort_model as model
import ragwort_node as node
import ragwort_state as state

MAX_ATTEMPTS = 12
RETRY_DELAY_S = 0.3
REQUEST_TIMEOUT_S = 5.0


class StoreCaller(Protocol):
    """Carries out store calls; a callback takes the results."""

    def call(self, call: model.StoreCall, /) -> None:
        """Start a call."""


OnResult = Callable[[model.StoreResult], None]
# Opens the store at an address, on a reactor.
OpenStore = Callable[[Any, str, OnResult], StoreCaller]


def open_own_store(
    reactor: Any, platform: str, on_result: OnResult
) -> StoreCaller:
    """Return a client of the object API of ragwortworks itself."""
    return node.StoreClient(
        reactor, http.HttpClient(reactor), platform, on_result
    )


class StoreSession:
    """Sequential calls to the platform's object API."""

    def __init__(
        self,
        reactor: Any,
        platform: str,
        open_store: OpenStore = open_own_store,
    ) -> None:
        """Create a store client for the platform's address."""
        self.reactor = reactor
        self.pending: dict[str, defer.Deferred[model.StoreResult]] = {}
        self.client = open_store(reactor, platform, self._on_result)

    def _on_result(self, result: model.StoreResult) -> None:
        self.pending.pop(result.op).callback(result)

    def call(
        self, call: model.StoreCall
    ) -> 'defer.Deferred[model.StoreResult]':
        """Send a call and fire with its result."""
        finished: defer.Deferred[model.StoreResult] = defer.Deferred()
        self.pending[call.op] = finished
        self.client.call(call)
        return finished

    def get(self, name: str) -> 'defer.Deferred[model.StoreResult]':
        """Read an object."""
        return self.call(_store_call(model.StoreVerb.GET, name))

    def list(self, prefix: str) -> 'defer.Deferred[model.StoreResult]':
        """Read all objects whose names begin with prefix."""
        return self.call(_store_call(model.StoreVerb.LIST, prefix))

    def put(
        self, name: str, value: str, version: int
    ) -> 'defer.Deferred[model.StoreResult]':
        """Write an object if it still has the expected version."""
        return self.call(
            _store_call(model.StoreVerb.PUT, name, value, version)
        )

    def delete(self, name: str) -> 'defer.Deferred[model.StoreResult]':
        """Delete an object."""
        return self.call(_store_call(model.StoreVerb.DELETE, name))


def _store_call(
    verb: model.StoreVerb,
    name: str,
    value: str | None = None,
    version: int = 0,
) -> model.StoreCall:
    return model.StoreCall(uuid.uuid4().hex, verb, name, value, version)


def class_object_name(name: str) -> str:
    """Return the object name of a class of work."""
    return f'{state.CONFIG_PREFIX}class/{name}'


def wait_to_retry(reactor: Any) -> 'defer.Deferred[None]':
    """Fire after the delay between attempts."""
    elapsed: defer.Deferred[None] = defer.Deferred()
    reactor.callLater(RETRY_DELAY_S, elapsed.callback, None)
    return elapsed


@defer.inlineCallbacks
def read_class(session: StoreSession, name: str) -> Any:
    """Return the stored class of work; retry while the store is down."""
    for _ in range(MAX_ATTEMPTS):
        result = yield session.get(class_object_name(name))
        if result.status == model.StoreStatus.OK:
            return result.objects[0]
        if result.status == model.StoreStatus.NOT_FOUND:
            raise model.ConfigurationError(f'no class of work {name!r}')
        yield wait_to_retry(session.reactor)
    raise model.StoreUnavailableError('the platform\'s store does not answer')


@defer.inlineCallbacks
def read_classes(session: StoreSession) -> Any:
    """Return the contents of all classes of work."""
    result = yield session.list(class_object_name(''))
    if result.status != model.StoreStatus.OK:
        raise model.StoreUnavailableError(
            f'the platform\'s store answered {result.status}'
        )
    return [json.loads(item.value) for item in result.objects]


@defer.inlineCallbacks
def set_target(
    reactor: Any, platform: str, name: str, new_fields: dict[str, float]
) -> Any:
    """Change fields of a target; return the version that holds them.

    Raises TargetConflictError if another operator changed the same field
    meanwhile. A lost response is resolved by reading the object again.
    """
    session = StoreSession(reactor, platform)
    stored = yield read_class(session, name)
    change = state.TargetChange(
        name,
        getpass.getuser(),
        uuid.uuid4().hex,
        datetime.datetime.now(datetime.UTC).isoformat(timespec='seconds'),
        state.parse_target(stored.value),
        new_fields,
    )
    for _ in range(MAX_ATTEMPTS):
        if state.is_applied(change, stored.value):
            return stored.version
        merged = state.apply_change(change, stored.value)
        result = yield session.put(
            class_object_name(name), merged, stored.version
        )
        if result.status == model.StoreStatus.OK:
            return result.revision
        yield wait_to_retry(reactor)
        stored = yield read_class(session, name)
    raise model.StoreUnavailableError(
        'the change could not be confirmed; check the target before retrying'
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
    pipeline_result = yield session.get(
        f'{state.CONFIG_PREFIX}pipeline/{pipeline}'
    )
    if pipeline_result.status == model.StoreStatus.NOT_FOUND:
        raise model.ConfigurationError(f'no pipeline {pipeline!r}')
    result = yield session.put(class_object_name(name), text, 0)
    if result.status == model.StoreStatus.CONFLICT:
        raise model.ConfigurationError(
            f'class of work {name!r} already exists'
        )
    if result.status != model.StoreStatus.OK:
        raise model.StoreUnavailableError(
            f'the platform\'s store answered {result.status}; check whether '
            'the class exists before retrying'
        )
    return result.revision


@defer.inlineCallbacks
def fetch_json(reactor: Any, address: str, path: str) -> Any:
    """Return a node's decoded JSON response to a GET."""
    http_client = http.HttpClient(reactor)
    url = f'http://{address}{path}'
    sent = http_client.request(b'GET', url, fresh=True)
    sent.addTimeout(REQUEST_TIMEOUT_S, reactor)
    try:
        response = yield sent
        body = yield http.read_body(response)
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
    """Return the responses of all nodes that the first live node lists."""
    entries = yield fetch_entry_addresses(reactor, nodes)
    answers: list[Any] = []
    for entry in entries:
        try:
            answer = yield fetch_json(reactor, entry['address'], path())
        except model.RequestError as error:
            answer = {'name': entry['host'], 'error': str(error)}
        answers.append(answer)
    return answers


@defer.inlineCallbacks
def fetch_entry_addresses(reactor: Any, nodes: list[str]) -> Any:
    """Return the entry addresses that the first live node lists."""
    last_error: Exception = model.RequestError(
        'no node given; use --node ADDRESS'
    )
    for address in nodes:
        try:
            answer = yield fetch_json(reactor, address, '/v1/addresses')
            return answer['addresses']
        except model.RequestError as error:
            last_error = error
    raise last_error
