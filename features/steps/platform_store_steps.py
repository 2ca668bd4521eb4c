"""Steps of the adapter's client of the platform's store."""

import json
import random
from typing import Any

from behave import then
from behave import when
import msgspec
from twisted.internet import task

from features.steps import platform_steps
import ragwort_edge as edge
import ragwort_lab as lab
import ragwort_model as model
import ragwort_platform as platform
import ragwort_state as state

STORE = platform_steps.STORE


class StoreServer(lab.LabRunner):
    """Answers store calls by a list of responses."""

    def __init__(self, clock: task.Clock, *answers: Any) -> None:
        """Answer in turn; None stays silent."""
        super().__init__(clock, 'store', STORE, 'north')
        self.answers = list(answers)
        self.targets: list[bytes] = []
        self.requests: list[edge.HttpRequest] = []

    def serve(self, request: edge.HttpRequest, open_call: Any) -> None:
        """Answer one call."""
        self.targets.append(request.target)
        self.requests.append(request)
        answer = self.answers.pop(0)
        if isinstance(answer, tuple):
            status, headers, body = answer
            open_call.respond(status, headers, json.dumps(body).encode())
        elif isinstance(answer, int):
            open_call.respond(answer)
        elif isinstance(answer, bytes):
            open_call.respond(200, (), answer)
        elif answer is not None:
            open_call.respond(200, (), json.dumps(answer).encode())


def call_store(context: Any, effect: model.StoreCall, *answers: Any) -> None:
    """Make one call to a store with answers."""
    world = lab.RelayWorld(hosts=1)
    context.store = StoreServer(world.clock, *answers)
    world.network.runners[STORE] = context.store
    context.results = []
    network: Any = world.network
    logger = world.hosts[0].context.logger
    store = platform.ObjectStore(
        network, STORE, logger, context.results.append
    )
    store.call(effect)
    world.run(30.0)
    (context.result,) = context.results


def stored(name: str, revision: int) -> dict[str, Any]:
    """Return an object as the store sends it."""
    return {
        'metadata': {'name': name, 'revision': revision, 'created': 1},
        'specification': {'value': revision},
        'status': None,
    }


# Between the two pages of a list, of revisions 8 and 9.
CHANGED_AT_REVISION = 9
LIST = model.StoreCall('op', model.StoreVerb.LIST, 'servers/')
WATCH = model.StoreCall(
    'op', model.StoreVerb.WATCH, 'servers/', since=9, wait_s=20.0
)


@when('the store lists runners on two pages')
def list_pages(context: Any) -> None:
    """List."""
    first = {'items': [stored('a', 3)], 'hasMore': True, 'storeRevision': 8}
    second = {'items': [stored('b', 4)], 'hasMore': False, 'storeRevision': 9}
    call_store(context, LIST, first, second)


@then('all of them come back with the revision of the first page')
def check_list(context: Any) -> None:
    """Compare the result."""
    result = context.result
    assert [o.name for o in result.objects] == ['servers/a', 'servers/b']
    assert [o.version for o in result.objects] == [3, 4]
    assert result.revision == 8
    assert context.store.targets[1].endswith(b'?after=a')


@when('a runner of the first page leaves before the second is read')
def change_between_pages(context: Any) -> None:
    """Let a watcher read the list, and note the watch that follows."""
    replica = state.Replica(state.Catalog())
    watcher = state.Watcher(
        replica, state.StoreEra(), random.Random(1), 0.0, 'servers/'
    )
    (listing,) = watcher.tick(0.0, state.WatchTurn())
    list_pages(context)
    result = msgspec.structs.replace(context.result, op=listing.op)
    watcher.on_store_result(result, 0.1)
    (context.watch,) = watcher.tick(1.0, state.WatchTurn())


@then('the watch behind the list brings that it leaves')
def check_change_heard(context: Any) -> None:
    """Ask which of the store's changes the watch begins behind."""
    changes = [stored('a', CHANGED_AT_REVISION)]
    heard = [
        change
        for change in changes
        if change['metadata']['revision'] > context.watch.since
    ]
    assert heard == changes, context.watch


@when('a watch brings a change, a deletion and a return')
def watch_events(context: Any) -> None:
    """Watch."""
    events = [
        {'object': stored('changed', 10), 'deleted': False},
        {'object': stored('deleted', 5), 'deleted': True},
        {'object': stored('returned', 6), 'deleted': True},
        {'object': stored('returned', 12), 'deleted': False},
    ]
    call_store(context, WATCH, {'events': events, 'storeRevision': 12})


@then('the changed and the returned object have their values')
def check_changed(context: Any) -> None:
    """Compare two objects."""
    found = {o.name: o for o in context.result.objects}
    assert found['servers/changed'].version == 10
    assert json.loads(found['servers/returned'].value) == {'value': 12}


@then("a deleted one has none and the store's revision")
def check_deleted(context: Any) -> None:
    """Compare the deletion."""
    found = {o.name: o for o in context.result.objects}
    assert found['servers/deleted'].value is None
    assert found['servers/deleted'].version == 12


CHANGES = {
    'create': (model.StoreVerb.PUT, 0),
    'replace': (model.StoreVerb.PUT, 7),
    'remove': (model.StoreVerb.DELETE, 0),
}


@when('the project wants to {change} an object and the store says {answer:d}')
def change_object(context: Any, change: str, answer: int) -> None:
    """Make one change."""
    verb, version = CHANGES[change]
    name = 'entry-hosts/h-1'
    effect = model.StoreCall('op', verb, name, '{"a":1}', version)
    call_store(context, effect, answer)


@then('it was asked by "{call}" and the call ends as {status}')
def check_change(context: Any, call: str, status: str) -> None:
    """Compare the request and the result."""
    (request,) = context.store.requests
    assert f'{request.method.decode()} {request.target.decode()}' == call
    if request.body:
        body = json.loads(request.body)
        assert body['metadata']['name'] == 'h-1'
        assert body['specification'] == {'a': 1}
        expected = 7 if request.method == b'PUT' else None
        assert body['metadata'].get('revision') == expected
    assert context.result.status == status, context.result


@when('the store answers a watch with {answer}')
def watch_answer(context: Any, answer: str) -> None:
    """Watch a store in trouble."""
    answers: dict[str, Any] = {'nothing': None, 'unreadable text': b'{"ev'}
    value = answers[answer] if answer in answers else int(answer)
    call_store(context, WATCH, value)


@then('the call ends as {status}')
def check_status(context: Any, status: str) -> None:
    """Compare the status of a store call, or of an HTTP call."""
    if hasattr(context, 'recorder'):
        assert context.recorder.ends == [status], context.recorder.ends
        if status == 'whole':
            assert context.recorder.body == b'abc', context.recorder.body
    else:
        assert context.result.status == status, context.result
