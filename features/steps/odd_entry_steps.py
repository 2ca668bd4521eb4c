"""Steps of odd entries and numbers that other programs wrote."""

import json
import math
import random
import re
import time
from typing import Any

from behave import given
from behave import then
from behave import when
import msgspec
import structlog
from twisted.internet import defer
from twisted.internet import task
from twisted.internet import testing as proto_helpers
from twisted.python import failure
from twisted.web import client

from features.steps import platform_steps
from features.steps import platform_store_steps
from features.steps import relay_decision_steps
import ragwort_client as caller
import ragwort_edge as edge
import ragwort_lab as lab
import ragwort_membership as membership
import ragwort_model as model
import ragwort_platform as platform
import ragwort_relay as relay
import ragwort_state as state
import ragwort_wire as wire

# Stands for content that the JSON encoder can't write.
PLACE = '"@"'
BRACKETS = {'arrays': ('[', ']'), 'objects': ('{"a":', '}')}
WRITE = model.StoreCall('op', model.StoreVerb.PUT, 'servers/a', '{}')
EFFECTS = {
    'list': platform_store_steps.LIST,
    'watch': platform_store_steps.WATCH,
}


def nested(depth: int, kind: str = 'arrays') -> str:
    """Return JSON that is nested some levels deep."""
    opening, closing = BRACKETS[kind]
    return f'{opening * depth}0{closing * depth}'


def number_text(text: str) -> str:
    """Return JSON for a value of a table, such as 400 digits."""
    count, _, unit = text.partition(' ')
    if unit == 'digits':
        return '9' * int(count)
    return nested(int(count)) if unit == 'arrays' else text


def entry(name: str, revision: Any, specification: Any) -> dict[str, Any]:
    """Return an entry as the store sends it."""
    return {
        'metadata': {'name': name, 'revision': revision, 'created': 1},
        'specification': specification,
    }


def answer_with(call: str, entries: list[Any], revision: Any = 20) -> str:
    """Return the store's answer that brings entries."""
    if call == 'watch':
        events = [{'object': item} for item in entries]
        return json.dumps({'events': events, 'storeRevision': revision})
    return json.dumps({'items': entries, 'storeRevision': revision})


def call_store(
    context: Any,
    effect: model.StoreCall,
    body: str | bytes,
    headers: Any = (),
) -> None:
    """Make one store call and keep its results and log lines."""
    world = lab.RelayWorld(hosts=1)
    if isinstance(body, str):
        body = body.encode()
    server = RawStore(world.clock, body, headers)
    world.network.runners[platform_steps.STORE] = server
    context.results = []
    context.lines = []
    network: Any = world.network
    store = platform.ObjectStore(
        network,
        platform_steps.STORE,
        recording_logger(context.lines),
        context.results.append,
    )
    started_at = time.monotonic()
    store.call(effect)
    world.run(30.0)
    context.taken_s = time.monotonic() - started_at


class RawStore(platform_store_steps.StoreServer):
    """Answers each call with the same bytes and headers."""

    def __init__(self, clock: Any, body: bytes, headers: Any) -> None:
        """Answer with a body."""
        super().__init__(clock)
        self.body = body
        self.headers = headers

    def serve(self, request: Any, open_call: Any) -> None:
        """Answer one call."""
        open_call.respond(200, self.headers, self.body)


def recording_logger(lines: list[dict[str, Any]]) -> Any:
    """Return a logger that adds its lines to a list."""

    def record(_: Any, level: str, line: Any) -> Any:
        lines.append({'level': level, **line})
        raise structlog.DropEvent

    return structlog.wrap_logger(structlog.ReturnLogger(), processors=[record])


@when('a {call} brings an entry of {depth:d} nested {kind} between two others')
def bring_deep_entry(context: Any, call: str, depth: int, kind: str) -> None:
    """Answer a call with sound entries and a deep one."""
    server = platform_steps.SERVER
    entries = [
        entry('a', 3, server),
        entry('b', 4, {**server, 'extra': '@'}),
        entry('c', 5, server),
    ]
    body = answer_with(call, entries).replace(PLACE, nested(depth, kind))
    call_store(context, EFFECTS[call], body)


@then('the call has one result with all three entries within 5 s')
def check_entries(context: Any) -> None:
    """Compare the result's entries."""
    (result,) = context.results
    assert result.status == model.StoreStatus.OK, result.status
    assert result.revision == 20, result.revision
    found = [(item.name, item.version) for item in result.objects]
    assert found == [('servers/a', 3), ('servers/b', 4), ('servers/c', 5)]
    assert context.taken_s < 5.0, context.taken_s


@then('the entry can be read without its deep value')
def check_deep_entry(context: Any) -> None:
    """Decode all entries."""
    dialect = platform.PlatformDialect()
    for item in context.results[0].objects:
        runner = dialect.decode_runner(item.name, item.value)
        assert runner.slots == platform_steps.SERVER['slots'], runner


ODD_TEXTS = {
    'half a surrogate pair': b'a \\ud83d',
    'the other half': b'\\udc80 b',
    'an unknown escape': b'a \\x b',
    'bytes that are no UTF-8': b'a \xff\xfe b',
    'a control character': b'a \x01 b',
}
# Entries of a page, one of them odd.
PAGE = 4


@when('a {call} brings an entry whose {place} has {odd}, at each position')
def bring_odd_text(context: Any, call: str, place: str, odd: str) -> None:
    """Answer a call with sound entries and one with an odd text."""
    context.calls = []
    for position in range(PAGE):
        entries = [
            entry(f'e{n}', n + 3, platform_steps.SERVER) for n in range(PAGE)
        ]
        odd_one = entries[position]
        if place == 'name':
            odd_one['metadata']['name'] = '@'
        elif place == 'key':
            odd_one['specification'] = {'@': 1}
        else:
            odd_one['specification'] = {'note': '@'}
        body = answer_with(call, entries).encode()
        body = body.replace(PLACE.encode(), b'"%s"' % ODD_TEXTS[odd])
        call_store(context, EFFECTS[call], body)
        context.calls.append((position, list(context.results)))


@then('each call has one result with all sound entries')
def check_sound_entries(context: Any) -> None:
    """Look for the other entries, which name runners."""
    dialect = platform.PlatformDialect()
    for position, (result,) in context.calls:
        assert result.status == model.StoreStatus.OK, result.status
        found = {item.name: item for item in result.objects}
        for number in range(PAGE):
            if number != position:
                item = found[f'servers/e{number}']
                dialect.decode_runner(item.name, item.value)


@when('the first of two pages of a list has odd entries alone')
def list_odd_page(context: Any) -> None:
    """Send a page without a sound entry, then one with one."""
    odd = [entry(f'a{n}', 'odd', {}) for n in range(2)]
    sound = [entry('b', 4, platform_steps.SERVER)]
    platform_store_steps.call_store(
        context,
        EFFECTS['list'],
        {'items': odd, 'hasMore': True, 'storeRevision': 20},
        {'items': sound, 'storeRevision': 20},
    )


@then('the call has the sound entry of the second page')
def check_second_page(context: Any) -> None:
    """Look at the result and at where the second page began."""
    names = [item.name for item in context.result.objects]
    assert names == ['servers/b'], names
    assert context.store.targets[1].endswith(b'after=a1')


@when('the store answers a write with {depth:d} nested arrays')
def answer_write(context: Any, depth: int) -> None:
    """Write an object."""
    body = json.dumps(entry('a', 4, '@')).replace(PLACE, nested(depth))
    call_store(context, WRITE, body)


@then('the call has one result, ok with its revision')
def check_write(context: Any) -> None:
    """Compare the result of a write."""
    (result,) = context.results
    assert result.status == model.StoreStatus.OK, result
    assert result.revision == 4, result


@when('a store call raises an unforeseen error')
def raise_error(context: Any) -> None:
    """Write text that can't be encoded."""
    effect = model.StoreCall('op', model.StoreVerb.PUT, 'servers/a', '\ud800')
    call_store(context, effect, '{}')


@then('the call has one result, unavailable, and the error is logged')
def check_error(context: Any) -> None:
    """Look at the result and the log."""
    (result,) = context.results
    assert result.status == model.StoreStatus.UNAVAILABLE, result
    errors = [line for line in context.lines if line['level'] == 'error']
    assert len(errors) == 1, context.lines
    assert 'UnicodeEncodeError' in errors[0]['detail'], errors


@when('a {call} brings an entry of revision {revision} between two others')
def bring_odd_revision(context: Any, call: str, revision: str) -> None:
    """Answer a call with sound entries and one of an odd revision."""
    entries = [
        entry('a', 3, platform_steps.SERVER),
        entry('b', '@', platform_steps.SERVER),
        entry('c', 5, platform_steps.SERVER),
    ]
    body = answer_with(call, entries).replace(PLACE, number_text(revision))
    call_store(context, EFFECTS[call], body)


@then('the call has one result with the two others')
def check_others(context: Any) -> None:
    """Compare the result's entries and the log."""
    (result,) = context.results
    assert result.status == model.StoreStatus.OK, result.status
    found = [(item.name, item.version) for item in result.objects]
    assert found == [('servers/a', 3), ('servers/c', 5)], found
    events = [line['event'] for line in context.lines]
    assert events == ['invalid-stored-object'], context.lines


@when('a {call} finds the store at revision {revision}')
def find_store_revision(context: Any, call: str, revision: str) -> None:
    """Answer a call with an odd revision of the store."""
    entries = [entry('a', 3, platform_steps.SERVER)]
    body = answer_with(call, entries, '@')
    body = body.replace(PLACE, number_text(revision))
    call_store(context, EFFECTS[call], body)
    (context.result,) = context.results


@when('a write is answered with revision {revision}')
def answer_write_revision(context: Any, revision: str) -> None:
    """Write an object."""
    body = json.dumps(entry('a', '@', {}))
    call_store(context, WRITE, body.replace(PLACE, number_text(revision)))


@then('the call has one result, ok with revision {revision:d}')
def check_written_revision(context: Any, revision: int) -> None:
    """Compare the result of a write."""
    (result,) = context.results
    assert result.status == model.StoreStatus.OK, result
    assert result.revision == revision, result


@when('a list comes from a store of era {era}')
def list_era(context: Any, era: str) -> None:
    """List entries of a store with an era."""
    body = answer_with('list', [entry('a', 3, platform_steps.SERVER)])
    headers = ((b'store-era', number_text(era).encode()),)
    call_store(context, EFFECTS['list'], body, headers)


@then('the call has one result, ok of era {era:d}')
def check_era(context: Any, era: int) -> None:
    """Compare the era of the result and of its entry."""
    (result,) = context.results
    assert result.status == model.StoreStatus.OK, result
    assert result.era == era, result.era
    (item,) = result.objects
    assert model.era_of(item.version) == era, item
    assert item.version < 1 << 63, item


@when('the runners of a list are sound but for one whose {field} is {value}')
def list_odd_runner(context: Any, field: str, value: str) -> None:
    """Apply a list to a catalog."""
    server = platform_steps.SERVER
    contents = {
        'servers/a': json.dumps(server),
        'servers/b': odd_value({**server, field: '@'}, value),
        'servers/c': json.dumps(server),
    }
    context.catalog = catalog = new_catalog()
    for name, content in contents.items():
        catalog.apply(model.StoredObject(name, 1, content))


def new_catalog() -> relay.RelayCatalog:
    """Return a catalog with the example configuration."""
    return platform_steps.catalog_with(
        json.dumps(platform_steps.CONFIGURATION)
    )


def odd_value(content: Any, value: str) -> str:
    """Return JSON with a value of a table in its place."""
    return json.dumps(content).replace(PLACE, number_text(value))


@then('the others are known, and the entry has a problem in plain words')
def check_odd_runner(context: Any) -> None:
    """Compare the runners and the problems."""
    catalog = context.catalog
    assert list(catalog.fleet.runners) == ['servers/a', 'servers/c']
    assert list(catalog.problems) == ['servers/b'], catalog.problems
    assert 'unexpected' not in catalog.problems['servers/b']


@when("a runner's remaining cold time is {value}")
def read_cold_time(context: Any, value: str) -> None:
    """Apply an entry with a cold time."""
    context.catalog = catalog = new_catalog()
    server = {**platform_steps.SERVER, 'coldRemainingMs': '@'}
    content = odd_value(server, value)
    catalog.apply(model.StoredObject('servers/a', 1, content))


@then('the runner is known with the cold time {read}')
def check_cold_time(context: Any, read: str) -> None:
    """Compare the entry."""
    catalog = context.catalog
    assert not catalog.problems, catalog.problems
    cold_s = catalog.fleet.runners['servers/a'].entry.cold_remaining_s
    expected = None if read == 'none' else float(read)
    assert cold_s == expected, cold_s


@when('the configuration gets {value} at {place}')
def change_configuration(context: Any, value: str, place: str) -> None:
    """Apply a valid configuration, then one with an odd number."""
    context.catalog = new_catalog()
    content = json.loads(json.dumps(platform_steps.CONFIGURATION))
    *path, last = (int(k) if k.isdigit() else k for k in place.split('/'))
    holder = content
    for key in path:
        holder = holder[key]
    holder[last] = '@'
    item = model.StoredObject('config/main', 2, odd_value(content, value))
    context.catalog.apply(item)
    problem = context.catalog.problems.get('config/main', '')
    assert 'unexpected' not in problem, problem


@when('the engine of a service is {content}')
def set_engine(context: Any, content: str) -> None:
    """Apply a configuration with an engine object."""
    text = odd_text(content)
    configuration = json.loads(json.dumps(platform_steps.CONFIGURATION))
    configuration['services'][0]['engine'] = '@'
    value = json.dumps(configuration).replace(PLACE, text)
    context.catalog = platform_steps.catalog_with(value)


@when("a runner's answer for three pieces has {item} as the second")
def answer_odd_piece(context: Any, item: str) -> None:
    """Read an answer."""
    text = re.sub(
        r'\d+ (digits|arrays)', lambda match: number_text(match[0]), item
    )
    items = [{'handle': 'a/1'}, '@', {'handle': 'b/1'}]
    body = json.dumps({'items': items}).replace(PLACE, text)
    response = edge.HttpResponse(200, (), body.encode())
    dialect = platform.PlatformDialect()
    context.pieces = dialect.read_stage_reply(response, 3)


@then('the first and the third have their handles, the second is {result}')
def check_odd_piece(context: Any, result: str) -> None:
    """Compare the results."""
    first, second, third = context.pieces
    assert (first.handle, third.handle) == ('a/1', 'b/1')
    assert second.result == edge.PieceResult[result.upper()], second
    assert (second.handle is None) == (result == 'error'), second


REPLY_FORMS = {
    'stage reply': (
        {'items': '@'},
        lambda response: platform.PlatformDialect().read_stage_reply(
            response, 1
        ),
    ),
    'report': (
        {'freeMb': '@'},
        platform.PlatformDialect().read_free_storage,
    ),
}


@when("a runner's {message} has {value}")
def read_odd_reply(context: Any, message: str, value: str) -> None:
    """Read an answer, letting the typed error pass."""
    content, read = REPLY_FORMS[message]
    body = odd_value(content, value).encode()
    context.error = None
    try:
        read(edge.HttpResponse(200, (), body))
    except model.WireError as error:
        context.error = error


@then('the dialect raises the typed error')
def check_typed_error(context: Any) -> None:
    """Look for the error."""
    assert context.error is not None


@then('the address {address} is refused in plain words')
def check_address(context: Any, address: str) -> None:
    """Parse an address; digits of the table stand for a port."""
    if address.startswith('@'):
        text = '10.0.1.1:' + number_text(address.strip('@'))
    else:
        text = json.loads(address)
    sound = '10.0.1.1:65535'
    assert model.parse_address(sound) == sound
    problem = ''
    try:
        model.parse_address(text)
    except ValueError as error:
        problem = str(error)
    assert problem.startswith(repr(text)), problem


LOAD = {
    'running': 1,
    'queued': 0,
    'slots': 4,
    'age_s': 0.0,
    'draining': False,
    'state_version': 1,
}
OBJECT = {'name': 'config/x', 'version': 1, 'value': '{}'}
ADDRESS = {'host': 'h', 'address': '10.0.1.1:80', 'failure_domain': 'n'}
# A sound content of each message of nodes, and its decoder.
NODE_MESSAGES: dict[str, tuple[Any, Any]] = {
    'call': (
        {
            'attempt': 'a',
            'service': 's',
            'input': 'x',
            'deadline_ms': 4000,
            'priority': 1,
            'resume_from': 0,
        },
        wire.decode_call,
    ),
    'result': (
        {'type': 'chunk', 'attempt': 'a', 'seq': 1, 'data': 'x'},
        wire.decode_result,
    ),
    'end of result': (
        {
            'type': 'end',
            'attempt': 'a',
            'count': 1,
            'digest': 'd',
            'busy_s': 0.1,
            'load': LOAD,
        },
        wire.decode_result,
    ),
    'order': (
        {'fencing': 1, 'wanted': 'loaded', 'expires_wall': 1.7e9},
        wire.decode_order,
    ),
    'load': (LOAD, wire.decode_load),
    'event': ({'type': 'chunk', 'seq': 1, 'data': 'x'}, wire.decode_event),
    'end': (
        {
            'type': 'end',
            'key': 'k',
            'outcome': 'completed',
            'count': 1,
            'digest': 'd',
            'retry_after_s': 1.0,
        },
        wire.decode_event,
    ),
    'write': (
        {'value': '{}', 'expected_version': 1, 'expected_era': 1},
        wire.decode_write,
    ),
    'address list': (
        {'addresses': [ADDRESS], 'ttl_s': 5.0, 'version': 1},
        wire.decode_addresses,
    ),
    'store result': (
        {'objects': [OBJECT], 'revision': 7, 'era': 1},
        lambda body: wire.decode_store_result('op', 200, body),
    ),
}


@when('a node reads a {message} whose {field} is {value}')
def read_node_message(
    context: Any, message: str, field: str, value: str
) -> None:
    """Decode a sound message, then the same with one odd field."""
    content, decode = NODE_MESSAGES[message]
    context.sound = decode(json.dumps(content).encode())
    odd = json.loads(json.dumps(content))
    holder = odd['objects'][0] if field == 'version' else odd
    assert field == 'extra' or field in holder, field
    holder[field] = '@'
    context.error = context.decoded = None
    try:
        context.decoded = decode(odd_value(odd, value).encode())
    except model.WireError as error:
        context.error = error


@then('it gets the typed error')
def check_node_error(context: Any) -> None:
    """Look for the error."""
    assert context.error is not None, context.decoded


@then('it reads it as unavailable')
def check_unavailable(context: Any) -> None:
    """Compare the status."""
    assert context.sound.status == model.StoreStatus.OK
    found = context.decoded.status
    assert found == model.StoreStatus.UNAVAILABLE, context.decoded


HOST = model.EntryHost('h', '10.0.0.1:81', '10.0.0.1:84', 'north', 'here')


def list_hosts(objects: list[model.StoredObject]) -> Any:
    """Return the peers that a registry reads."""
    registry = state.HostRegistry(
        HOST, state.StoreEra(), random.Random(1), 0.0, is_registered=True
    )
    (call,) = registry.tick(0.0, True, False, [])
    return registry.on_store_result(listed(call, objects), 0.1)


def list_suspects(objects: list[model.StoredObject]) -> Any:
    """Return the refused parts that a register reads."""
    register = state.SuspectRegister(state.StoreEra(), random.Random(1), 0.0)
    (call,) = register.tick(0.0, [], False)
    return register.on_store_result(listed(call, objects), 0.1)


def list_versions(objects: list[model.StoredObject]) -> Any:
    """Return the versions of services that a register reads."""
    register = state.VersionRegister(state.StoreEra(), random.Random(1), 0.0)
    register.request_read()
    (call,) = register.tick(0.0, 0.0, {}, False)
    return register.on_store_result(listed(call, objects), 0.1)


def list_streams(objects: list[model.StoredObject]) -> Any:
    """Return the streams that a register reads."""
    register = state.StreamRegister(state.StoreEra(), random.Random(1), 0.0)
    register.is_read_due = True
    (call,) = register.tick(0.0, {})
    return register.on_store_result(listed(call, objects), 0.1)


def listed(
    call: model.StoreCall, objects: list[model.StoredObject]
) -> model.StoreResult:
    """Return the result of a list."""
    assert call.verb == model.StoreVerb.LIST, call
    return model.StoreResult(call.op, model.StoreStatus.OK, tuple(objects), 9)


SOUND_STREAM = ['a', 'w', 's', 'v', 1700000000000]
# Name and content of a sound entry, its reader and what it gives.
STORED_KINDS: dict[str, tuple[str, Any, Any, Any]] = {
    'hosts': (
        'entry-hosts/h2',
        {'peers': '10.0.0.2:84'},
        list_hosts,
        ['10.0.0.2:84'],
    ),
    'refused parts': (
        'refused-parts/x',
        {'service': 'main', 'part': 'b'},
        list_suspects,
        {('main', 'b')},
    ),
    'stream versions': (
        'stream-versions/main',
        {'era': 0, 'sinceMs': 5000, 'versions': {'v1': None}},
        list_versions,
        {'main': state.ServiceVersions(5.0, {'v1': None})},
    ),
    'streams': (
        'stream-origins/2',
        [SOUND_STREAM],
        list_streams,
        [state.StoredOrigin(*SOUND_STREAM)],
    ),
}


def odd_text(text: str) -> str:
    """Return JSON with the values that stand between two at signs."""
    return re.sub('@([^@]+)@', lambda match: number_text(match[1]), text)


def read_list(context: Any, kind: str, name: str, value: str) -> None:
    """Let a reader handle a list of an odd and a sound entry."""
    sound_name, content, read, _ = STORED_KINDS[kind]
    context.found = read(
        [
            model.StoredObject(name, 3, value),
            model.StoredObject(sound_name, 4, json.dumps(content)),
        ]
    )


@when('the store lists {kind} with the odd entry {text} and a sound one')
def list_odd_entry(context: Any, kind: str, text: str) -> None:
    """Read a list."""
    folder = STORED_KINDS[kind][0].partition('/')[0]
    read_list(context, kind, f'{folder}/1', odd_text(text))


@when('the store lists a group with an odd stream and a sound one')
def list_odd_stream(context: Any) -> None:
    """Read a list whose sound stream stands beside an odd one."""
    odd = json.dumps(['a', 'w', 's', 'v', '@'])
    odd = odd.replace(PLACE, number_text('400 digits'))
    group = f'[{odd},{json.dumps(SOUND_STREAM)}]'
    item = model.StoredObject('stream-origins/1', 3, group)
    context.found = list_streams([item])


@when('the store lists a group of streams whose name has {count:d} digits')
def list_odd_name(context: Any, count: int) -> None:
    """Read a list."""
    read_list(context, 'streams', f'stream-origins/{"9" * count}', '[]')


@then('the sound entry of {kind} is read')
def check_sound_entry(context: Any, kind: str) -> None:
    """Compare what was read."""
    assert context.found == STORED_KINDS[kind][3], context.found


@then('a bucket with {depth:d} nested arrays reads as damaged')
def check_deep_bucket(context: Any, depth: int) -> None:
    """Decode a bucket of claims."""
    try:
        state.decode_claims(f'[["k", "w", "d", "h", "n", {nested(depth)}]]')
    except model.WireError:
        return
    raise AssertionError('a damaged bucket was read')


@then('a lease with {depth:d} nested arrays reads as damaged')
def check_deep_lease(context: Any, depth: int) -> None:
    """Let a host read a lease; it waits until the lease is over."""
    lease = state.Lease('placing', 'h', random.Random(1), state.StoreEra())
    (call,) = lease.tick(0.0, True)
    value = f'{{"holder": "other", "x": {nested(depth)}}}'
    item = model.StoredObject(call.name, 5, value)
    result = model.StoreResult(call.op, model.StoreStatus.OK, (item,), 5)
    lease.on_store_result(result, 0.1)
    assert lease.seen_version == 5, lease
    assert lease.phase == state.LeasePhase.FOLLOWING, lease


PLACE_NAME = 'odd-item'
BIG = 2**63


def member(name: str, **changes: Any) -> model.MemberUpdate:
    """Return what a peer says of a host."""
    update = model.MemberUpdate(
        name,
        1,
        model.MemberStatus.ALIVE,
        '10.0.0.2:81',
        '10.0.0.2:84',
        'north',
        'here',
        True,
    )
    return msgspec.structs.replace(update, **changes)


# A message with items, and an item with a name and a start.
PEER_MESSAGES: dict[str, tuple[Any, Any]] = {
    'leaving runners': (
        model.RunnersLeaving,
        lambda name, start: model.LeavingRunner(name, start, 0.1),
    ),
    'cold runners': (
        model.ColdRunners,
        lambda name, start: model.ColdRunner(name, start, 1.0, 0.1),
    ),
    'limits': (
        model.RunnerLimits,
        lambda name, start: model.RunnerLimit(name, start, 2.0, 0.1),
    ),
    'crashes': (
        lambda items: model.CrashNews(items, []),
        lambda name, start: model.SuspectCrash(
            'main', 'part', False, name, start, 0.1, 0.2
        ),
    ),
    'streams': (
        model.StreamsBegan,
        lambda name, _: model.StreamBegan(name, 'w', 'main', 'v1', 8.0),
    ),
    'members': (
        lambda items: model.MemberSync(items, False),
        lambda name, start: member(name, incarnation=start),
    ),
}


def frame_with(context: Any, message: str, name: str, start: int) -> bytes:
    """Return a frame with an odd item, and keep what its peer should read."""
    new_message, new_item = PEER_MESSAGES[message]
    sound = [new_item('a', 1), new_item('b', 2)]
    context.expected = new_message(sound)
    odd = new_item(name, start)
    items = [sound[0], odd, sound[1]]
    return wire.encode_peer('10.0.0.1:84', new_message(items))


@when('a host sends {message} with an item of odd {what} between two others')
def send_odd_item(context: Any, message: str, what: str) -> None:
    """Encode and decode a message."""
    name, start = ('\ud800', 1) if what == 'name' else ('odd', BIG)
    data = frame_with(context, message, name, start)
    context.read = wire.decode_peer(data)


@when("a peer's frame of {message} has an item with {defect} between others")
def read_odd_item(context: Any, message: str, defect: str) -> None:
    """Spoil one item of a frame and decode it."""
    data = frame_with(context, message, PLACE_NAME, 1)
    place = data.index(PLACE_NAME.encode())
    if defect == 'an odd status':
        # The status follows the name and the incarnation.
        before = b'\x08\x00\x03\x00\x00\x00'
        place = data.index(before, place) + len(before)
        spoiled = data[:place] + b'\x09' + data[place + 1 :]
    else:
        spoiled = data[:place] + b'\xe9' + data[place + 1 :]
    context.read = wire.decode_peer(spoiled)


@then('its peer reads the two others')
def check_peer_items(context: Any) -> None:
    """Compare the message."""
    assert context.read.message == context.expected, context.read


ODD_CRASH = {'age_s': math.nan, 'ran_s': 1e300, 'started_ms': -1, 'runner': ''}


@when('a peer tells of three crashes, the second with an odd {field}')
def tell_odd_crash(context: Any, field: str) -> None:
    """Let a host hear of crashes under one part."""
    crash = model.SuspectCrash('main', 'part', False, 'a', 1, 0.1, 0.2)
    odd = msgspec.structs.replace(crash, **{field: ODD_CRASH[field]})
    last = msgspec.structs.replace(crash, runner='b')
    context.host = lab.RelayWorld(hosts=1).hosts[0]
    news = model.CrashNews([crash, odd, last], [])
    context.host.context.crashes.on_told(news)


@then('the host has evidence of the two others')
def check_evidence(context: Any) -> None:
    """Look at the evidence."""
    (record,) = context.host.catalog.crash_evidence.records.values()
    assert set(record.crashes) == {('a', 1), ('b', 1)}, record


STAGE_LIMITS = relay.BatchLimits(8, 0.15, 0.016, 1e9, 4.0)
OTHER_HOST = 'host-1'


@given('a host that owns a stage service')
def own_stage(context: Any) -> None:
    """Create two hosts, the first of which owns the service."""
    context.world = world = lab.RelayWorld(hosts=2)
    world.add_stage_runners('first', STAGE_LIMITS, 2)
    route = relay_decision_steps.make_route(
        stages=(relay.StageSpec('first', (), 1000.0),)
    )
    world.configure(
        relay_decision_steps.make_configuration([route], first=STAGE_LIMITS)
    )
    # The lab's runners read another form; the platform's is written as well.
    dialect: Any = world.hosts[0].context.dialect
    write_lab_request = dialect.stage_request

    def write_request(batch: relay.BatchCall, now: float) -> Any:
        platform.PlatformDialect().stage_request(batch, now)
        return write_lab_request(batch, now)

    dialect.stage_request = write_request


@when('it is asked for a group whose {field} is {value}, then for another')
def ask_odd_group(context: Any, field: str, value: str) -> None:
    """Send an odd and a sound group at once, as they share calls."""
    world = context.world
    for name, changes in (('odd', {field: float(value)}), ('sound', {})):
        work = [model.StageWork(f'request-{name}', 0, 0, 'key', [])]
        ask = model.StageAsk(name, 'first', work, 1.0, 3.0, 0, 1000.0, '', [])
        ask = msgspec.structs.replace(ask, **changes)
        data = wire.encode_peer(OTHER_HOST, ask)
        frame = wire.decode_peer(data)
        world.hosts[0].stages.on_peer(OTHER_HOST, frame.message)
    world.run(2.0)


@then('the other group is made')
def check_other_group(context: Any) -> None:
    """Look for its outcomes."""
    outcomes = [
        outcome
        for message in context.world.messages
        if isinstance(message, model.StageReply) and message.group == 'sound'
        for outcome in message.outcomes
    ]
    assert outcomes, context.world.messages
    assert all(outcome.handle for outcome in outcomes), outcomes


@when('it is told of queueing times whose {field} is nan, then of others')
def tell_odd_waits(context: Any, field: str) -> None:
    """Send replies with queueing times of a service."""
    sound = model.ServiceWait('first', [0.1], 0.2, 0.0, 0.1)
    odd = msgspec.structs.replace(sound, **{field: math.nan})
    service = context.world.hosts[0].stages
    for wait in (odd, sound):
        reply = model.StageReply('g', 'first', [], [wait])
        service.on_peer(OTHER_HOST, reply)
        if wait is odd:
            assert 'first' not in service.waits.by_service


@then('the other queueing times are known')
def check_waits(context: Any) -> None:
    """Compare the queueing times."""
    wait = context.world.hosts[0].stages.waits.by_service['first']
    expected = ((0.1,), 0.2, 0.1)
    assert (wait.waits_s, wait.late_wait_s, wait.call_s) == expected, wait


class StubResponse:
    """A response whose body comes at once."""

    # A refusal without a key counts on a connection of its own alone.
    is_first = True

    def __init__(self, code: int, body: bytes) -> None:
        """Answer with a status code and a body."""
        self.code = code
        self.length = len(body)
        self.body = body

    def deliverBody(self, reader: Any) -> None:  # noqa: N802
        """Deliver the body and its end."""
        reader.makeConnection(proto_helpers.StringTransport())
        reader.dataReceived(self.body)
        reader.connectionLost(failure.Failure(client.ResponseDone()))


class StubHttpClient:
    """Answers requests for addresses with a list, others with a refusal."""

    def __init__(self, addresses: str, refusal: str = '') -> None:
        """Answer with two texts."""
        self.addresses = addresses
        self.refusal = refusal

    def request(
        self, method: bytes, url: str, body: bytes = b'', fresh: bool = False
    ) -> Any:
        """Answer a request."""
        if '/v1/addresses' in url:
            response = StubResponse(200, self.addresses.encode())
        else:
            response = StubResponse(400, self.refusal.encode())
        return defer.succeed(response)


def new_caller(items: list[Any], odd: str, refusal: str = '') -> Any:
    """Return a caller's client that reads a list with an odd item."""
    content = {'addresses': items, 'ttl_s': 5.0, 'version': 1}
    body = json.dumps(content).replace(PLACE, odd_text(odd))
    found = caller.Client(task.Clock(), ['10.0.0.9:80'])
    stub: Any = StubHttpClient(body, refusal)
    found.http_client = stub
    return found


def entry_host(number: int) -> dict[str, str]:
    """Return an item of an address list."""
    return {**ADDRESS, 'address': f'10.0.1.{number}:80'}


@when("a caller's client reads an address list with {item}")
def read_address_list(context: Any, item: str) -> None:
    """Let a client read a list."""
    items = [entry_host(1), '@', entry_host(2)]
    context.caller = new_caller(items, item)
    context.caller.refresh()


@then('it goes by the two other addresses')
def check_address_list(context: Any) -> None:
    """Compare the addresses."""
    found = context.caller.addresses
    assert found == ['10.0.1.1:80', '10.0.1.2:80'], found


@when("a caller's request is refused with {body}")
def refuse_request(context: Any, body: str) -> None:
    """Send a request."""
    found = new_caller([entry_host(1)], '', odd_text(body))
    done = found.send('tide-question', 'school', 'x', 4.0)
    context.ends = []
    done.addBoth(context.ends.append)


@then("the caller's answer is not run")
def check_refused(context: Any) -> None:
    """Compare the answer."""
    (answer,) = context.ends
    assert getattr(answer, 'outcome', None) == model.Outcome.NOT_RUN, answer


@given('a host that knows no other')
def start_member(context: Any) -> None:
    """Create the members that a host knows."""
    context.members = membership.Membership(
        HOST, (), random.Random(1), 0.0, 0.0
    )


@when('a peer tells it of two hosts, the first with {field} {value}')
def tell_odd_member(context: Any, field: str, value: str) -> None:
    """Merge an odd and a sound record."""
    number = int(value) if field == 'incarnation' else float(value)
    odd = member('odd', peer_address='10.0.0.3:84', **{field: number})
    context.members.merge([odd, member('sound')], 0.1)


@then('it knows the second one alone')
def check_members(context: Any) -> None:
    """Compare the members."""
    assert set(context.members.members) == {'h', 'sound'}


@when('a peer tells it of itself with incarnation {incarnation:d}')
def tell_of_itself(context: Any, incarnation: int) -> None:
    """Merge a record of the host itself."""
    own = context.members.own
    update = msgspec.structs.replace(own, incarnation=incarnation)
    context.members.merge([update], 0.1)


@then('its own record can still be told to others')
def check_own_record(context: Any) -> None:
    """Encode the own record."""
    sync = model.MemberSync([context.members.own], False)
    frame = wire.decode_peer(wire.encode_peer('10.0.0.1:84', sync))
    assert frame.message == sync, frame.message


@when('host 0 sends to a peer of an odd address, then to host 1')
def send_to_odd_address(context: Any) -> None:
    """Send two messages at once, over connections as hosts have them."""
    first, second = context.world.hosts[:2]
    carried = first.peers

    class Peers:
        """Splits each address as real connections do."""

        def send(self, effect: model.SendPeerMessage, now: float) -> int:
            model.split_address(effect.address)
            return int(carried.send(effect, now))

        def close_idle(self, now: float) -> None:
            carried.close_idle(now)

    first.peers = Peers()
    context.got = []
    second.crashes.on_told = context.got.append
    news = model.CrashNews([], [model.ClearedSuspect('main', 'part', 0.1)])
    addresses = ('odd', second.members.own.peer_address)
    first._send_all(model.SendPeerMessage(a, news) for a in addresses)
    context.world.run(1.0)


@then('host 1 gets the message and host 0 has counted the error')
def check_sent(context: Any) -> None:
    """Look at the message and the counter."""
    assert context.got, context.got
    text = context.world.hosts[0].metrics.text().decode()
    assert 'ragwort_unexpected_errors_total{part="send"}' in text


@when('it is to free the result {handle}, then one of a runner')
def free_odd_handle(context: Any, handle: str) -> None:
    """Free both at once, and note the handles that runners are told."""
    world = context.world
    context.freed = []
    dialect: Any = world.hosts[0].context.dialect
    write_release = dialect.release_request

    def write(address: str, handles: Any, runner: Any) -> Any:
        context.freed.append((address, list(handles)))
        return write_release(address, handles, runner)

    dialect.release_request = write
    network: Any = world.network
    open_call = network.open

    def open_checked(address: str, *arguments: Any) -> Any:
        model.split_address(address)
        return open_call(address, *arguments)

    # Splits addresses as real connections do.
    network.open = open_checked
    context.address = next(iter(world.network.runners))
    handles = [handle, f'{context.address}/1']
    world.hosts[0].stages.release('first', handles)
    context.error = None
    try:
        world.run(1.0)
    except ValueError as error:
        context.error = error


@then('the runner is asked to free its result')
def check_freed(context: Any) -> None:
    """Compare the calls."""
    expected = (context.address, [f'{context.address}/1'])
    assert expected in context.freed, (context.freed, context.error)
