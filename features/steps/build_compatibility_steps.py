"""Steps on what hosts of an earlier build write and read."""

import json
import pathlib
import random
import types
import typing
from typing import Any

from behave import given
from behave import then
from behave import when
import msgspec
from twisted.internet import defer
from twisted.internet import task

from features.support import relay_hosts
import ragwort_edge as edge
from ragwort_edge import _hand_over
from ragwort_edge import _messages
import ragwort_lab as lab
import ragwort_model as model
import ragwort_relay as relay
import ragwort_state as state
import ragwort_wire as wire
from ragwort_wire import _peer_codec
from ragwort_wire import _peer_structs

DATA = pathlib.Path(__file__).parent.parent / 'data'
HOST = model.EntryHost(
    'host-1',
    '10.0.0.1:81',
    '10.0.0.1:84',
    'north',
    'here',
    1.0,
    '10.0.0.1:85',
)


@given('what build "{commit}" writes and reads')
def load(context: Any, commit: str) -> None:
    """Read the file that the build's own code wrote."""
    text = (DATA / f'build-{commit}.json').read_text()
    context.build = json.loads(text)


@then('it has a frame of each of its message types')
def check_all_types(context: Any) -> None:
    """Compare the frames with the fields of its envelope."""
    framed = {frame['type'] for frame in context.build['frames']}
    envelope = context.build['structs']['Envelope'].values()
    expected = {inner for _, kind, inner in envelope if kind == 12}
    assert framed == expected, framed ^ expected


def is_within(expected: Any, found: Any) -> bool:
    """Tell whether found has all that is expected, maybe with more fields."""
    if isinstance(expected, dict):
        return all(is_within(v, found[k]) for k, v in expected.items())
    if isinstance(expected, list):
        pairs = zip(expected, found, strict=True)
        return all(is_within(one, other) for one, other in pairs)
    return bool(expected == found)


@then('each frame decodes to the values that were encoded')
def check_frames(context: Any) -> None:
    """Decode them."""
    for frame in context.build['frames']:
        decoded = wire.decode_peer(bytes.fromhex(frame['hex']))
        assert decoded.sender == context.build['sender'], frame['type']
        assert type(decoded.message).__name__ == frame['type']
        found = msgspec.to_builtins(decoded.message)
        assert is_within(frame['fields'], found), (frame['fields'], found)


@then('its receipt of a frame is read')
def check_receipt(context: Any) -> None:
    """Decode it, and encode the same."""
    receipt = bytes.fromhex(context.build['receipt'])
    assert wire.decode_receipt(receipt) == 7
    assert wire.encode_receipt(7) == receipt


def current_fields(name: str) -> dict[str, list[Any]]:
    """Return number, type and inner type of each field of a structure."""
    spec = getattr(_peer_structs, name).thrift_spec
    return {
        field[1]: [number, field[0], inner_type(field)]
        for number, field in spec.items()
    }


def inner_type(field: tuple[Any, ...]) -> Any:
    """Return the type of a list's items or of a structure, None if scalar."""
    return type_name(field[2]) if len(field) > 3 else None


def type_name(inner: Any) -> Any:
    """Return an inner type as the files hold it."""
    if isinstance(inner, tuple):
        return [inner[0], type_name(inner[1])]
    return inner if isinstance(inner, int) else inner.__name__


@then('each of its fields keeps its number and type')
def check_fields(context: Any) -> None:
    """Compare the definitions."""
    for name, fields in context.build['structs'].items():
        now = current_fields(name)
        numbers = [number for number, _, _ in now.values()]
        assert len(set(numbers)) == len(numbers), name
        for field, spec in fields.items():
            assert now.get(field) == spec, (name, field, spec, now.get(field))


@then('no value that it requires may be missing')
def check_required(context: Any) -> None:
    """Look for fields that may be None now and were not."""
    nullable = context.build['nullable']
    for name, fields in context.build['structs'].items():
        message_type = getattr(model, name, None)
        if message_type is None:
            continue
        hints = typing.get_type_hints(message_type)
        for field in fields:
            is_union = typing.get_origin(hints[field]) is types.UnionType
            assert not is_union or field in nullable[name], (name, field)


@then('fields that are new have types that it can skip')
def check_new_fields(context: Any) -> None:
    """Look at all types, also of structures that are new."""
    readable = set(context.build['readable_types'])
    for name in dir(_peer_structs):
        if hasattr(getattr(_peer_structs, name), 'thrift_spec'):
            for field, spec in current_fields(name).items():
                found = wire_types(spec[1:])
                assert found <= readable, (name, field, found)


def wire_types(spec: Any) -> set[int]:
    """Return the thrift types of a field and of what it holds."""
    if isinstance(spec, int):
        return {spec}
    if not isinstance(spec, list):
        return set()
    return {kind for part in spec for kind in wire_types(part)}


@then('enumerations have only the values that it knows')
def check_enumerations(context: Any) -> None:
    """Compare the values: it can't read others."""
    for name, values in context.build['enums'].items():
        now = [int(value) for value in getattr(model, name)]
        assert now == values, (name, now)


@then('frames are no longer than it accepts')
def check_length(context: Any) -> None:
    """Compare the limits and the version of the envelope."""
    most = context.build['max_frame_bytes']
    assert most >= _peer_codec.MAX_FRAME_BYTES
    assert _peer_codec.WIRE_VERSION >= context.build['wire_version']


def to_headers(pairs: list[list[str]]) -> edge.Headers:
    """Return headers as requests hold them."""
    return tuple((n.encode(), v.encode()) for n, v in pairs)


@then("its hop is read and leaves nothing in the caller's request")
def check_hop(context: Any) -> None:
    """Read what it sends."""
    headers = to_headers(context.build['hop_request'])
    hop, request = _hand_over.read_hop(
        edge.HttpRequest(b'POST', b'/x', headers)
    )
    assert hop == _hand_over.Hop('host-1', 1.5, 12), hop
    assert request.headers == ((b'host', b'a'),), request.headers


@then("this build's hop has all of its headers in the same form")
def check_own_hop(context: Any) -> None:
    """Compare what both send for the same hop, and the size at the most."""
    expected = to_headers(context.build['hop_request'])
    request = edge.HttpRequest(b'POST', b'/x', ((b'host', b'a'),))
    for is_cut_off in (False, True):
        hop = _hand_over.Hop('host-1', 1.5, 12, is_cut_off)
        sent = _hand_over._hop_request(request, hop).headers
        assert set(expected) <= set(sent), sent
        added = [pair for pair in sent if pair not in request.headers]
        assert all(n.startswith(_messages.HOP_PREFIX) for n, _ in added)
        size = sum(len(name) + len(value) + 4 for name, value in added)
        assert size <= context.build['hop_header_bytes'], size


@then("its answer that declines is recognized, and so is this build's")
def check_declined(context: Any) -> None:
    """Compare what both answer."""
    status, headers = context.build['hop_declined']
    exchange = lab.LabExchange(
        task.Clock(), edge.HttpRequest(b'POST', b'/x', ())
    )
    call = _hand_over.HopCall(exchange.clock, exchange)
    call.on_head(edge.HttpResponse(status, to_headers(headers)))
    assert call.declined == 'not ready'
    assert not call.is_helper_cut_off
    own = _hand_over.decline('not ready', is_cut_off=True)
    assert own.status == status
    assert set(to_headers(headers)) <= set(own.headers), own.headers


@then('its entry of a host is read, and this build writes the same')
def check_host_entry(context: Any) -> None:
    """List the entry; compare the first write."""
    name, value = context.build['registry_entry']
    registry = state.HostRegistry(
        HOST, state.StoreEra(), random.Random(1), 0.0
    )
    (call,) = registry.tick(0.0, False, False, [])
    assert (call.name, json.loads(call.value or '')) == (
        name,
        json.loads(value),
    ), call
    done = model.StoreResult(call.op, model.StoreStatus.OK)
    registry.on_store_result(done, 0.0)
    (listed,) = registry.tick(0.0, True, False, [])
    item = model.StoredObject(name, 1, value)
    result = model.StoreResult(listed.op, model.StoreStatus.OK, (item,), 1)
    assert registry.on_store_result(result, 0.0) == [HOST.peer_address]


@then('its entry of a refused part is read, and this build writes the same')
def check_suspect_entry(context: Any) -> None:
    """Compare the first write; list the entry."""
    name, value = context.build['suspect_entry']
    register = state.SuspectRegister(state.StoreEra(), random.Random(1), 0.0)
    (listed,) = register.tick(0.0, (), True)
    empty = model.StoreResult(listed.op, model.StoreStatus.OK)
    register.on_store_result(empty, 0.0)
    (call,) = register.tick(0.0, [('main', 'part-1')], True)
    assert (call.name, json.loads(call.value or '')) == (
        name,
        json.loads(value),
    ), call
    other = state.SuspectRegister(state.StoreEra(), random.Random(1), 0.0)
    other.tick(0.0, (), False)
    item = model.StoredObject(name, 1, value)
    result = model.StoreResult(listed.op, model.StoreStatus.OK, (item,), 1)
    assert other.on_store_result(result, 0.0) == {('main', 'part-1')}


@given('a host of this build that has just started')
def start_young(context: Any) -> None:
    """Restart one of two hosts, before the store holds any versions."""
    context.world = relay_hosts.HostWorld(2, run_s=2.0)
    host = context.world.hosts[0]
    context.service = host.origins
    context.service.homes = lambda attempt, count: ['10.0.1.1:84']
    context.world.hosts[1].origins.on_peer = lambda sender, message: None
    way: Any = host.store
    way.is_away = True


@when('a host of build "{commit}" that started {age:d} s ago answers it')
def answer(context: Any, commit: str, age: int) -> None:
    """Answer a question with a frame that lacks the later field."""
    world, origins = context.world, context.service
    store = origins.version_store
    update = store.members.members['host-1'].update
    store.wall_clock = lambda: update.incarnation + float(age)
    context.found = None
    key = relay.StreamKey('school', 'a1')
    done = defer.Deferred.fromCoroutine(origins.find(key, "main"))
    done.addCallback(lambda found: setattr(context, 'found', found))
    (name,) = origins.questions
    told = model.StreamAnswer(name, None, [model.SeenVersion('', 0.1)])
    origins.on_peer('10.0.1.1:84', told)
    world.run(1.0)


@then('the only version is {what}')
def check_found(context: Any, what: str) -> None:
    """Look at what the host takes the stream's version to be."""
    origin, source = context.found
    if what == 'taken':
        assert source == 'only-version', context.found
        assert origin == relay.StreamOrigin('main', ''), origin
    else:
        assert origin is None, origin
