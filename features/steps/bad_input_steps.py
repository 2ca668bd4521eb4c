"""Steps of bad input."""

import json
import random
import socket
import time
from typing import Any
import zlib

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from features.support import calls
from features.support import processes
import ragwort_model as model
import ragwort_wire as wire

YEAR_MS = 365 * 24 * 3600 * 1000
EXAMPLES = 300
DAMAGED_FRAMES = 5000


def bad_body(what: str) -> bytes:
    """Return the body that a row of the table names."""
    body = calls.request_body('tide-question', 'high tide')
    rng = random.Random(1)
    changes: dict[str, dict[str, Any]] = {
        'an unknown field': {'priority': 9},
        'a wrong type': {'deadline_ms': '4000'},
        'a deadline of zero': {'deadline_ms': 0},
        'a deadline of a year': {'deadline_ms': YEAR_MS},
        'a key that is no UUIDv7': {'key': 'abc'},
        'an oversized body': {'input': 'x' * 2_000_000},
        'an unknown class': {'class_of_work': 'lottery'},
        'an unknown workspace': {'workspace': 'nobody'},
        'a key from an hour ago': {
            'key': model.request_key_at(time.time() - 3600, rng)
        },
    }
    if what == 'malformed JSON':
        return b'{"class_of_work": '
    return json.dumps(body | changes[what]).encode()


def post_raw(address: str, body: bytes) -> tuple[int, bytes]:
    """Post bytes and return status and content."""
    host, port = model.split_address(address)
    head = (
        f'POST /v1/requests HTTP/1.1\r\nHost: x\r\n'
        f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
    )
    with socket.create_connection((host, port), timeout=10) as link:
        try:
            link.sendall(head.encode() + body)
        except OSError:
            pass
        data = b''
        try:
            while part := link.recv(65536):
                data += part
        except OSError:
            pass
    head_bytes, _, content = data.partition(b'\r\n\r\n')
    return int(head_bytes.split()[1]), content


@when('a caller posts {what}')
def post_bad_body(context: Any, what: str) -> None:
    """Post a bad body to the first node."""
    address = context.system.nodes['node-1']
    context.answer = post_raw(address, bad_body(what))


@then('it gets status {status:d} and a problem document that says not_run')
def check_problem(context: Any, status: int) -> None:
    """Check the problem document."""
    code, content = context.answer
    assert code == status, (code, content)
    text = content[content.index(b'{') : content.rindex(b'}') + 1]
    problem = json.loads(text)
    assert problem['status'] == status and problem['detail'], problem
    assert problem['outcome'] == 'not_run', problem


@when('a caller uses one key for two bodies')
def reuse_key(context: Any) -> None:
    """Send two repair tickets under one key, to two nodes."""
    key = model.new_request_key()
    first = calls.request_body('repair-ticket', 'first', key)
    second = calls.request_body('repair-ticket', 'second', key)
    nodes = context.system.nodes
    context.first = calls.exchange(nodes['node-1'], first)
    context.second = calls.exchange(nodes['node-1'], second)
    context.elsewhere = calls.exchange(nodes['node-2'], second)


@then('the second gets status 409 and nothing of it is run')
def check_reuse(context: Any) -> None:
    """The first is whole; the second is refused on both nodes."""
    calls.check_whole(context.first)
    assert context.second.status == 409, context.second
    assert context.second.outcome == 'not_run'
    assert context.elsewhere.outcome == 'not_run', context.elsewhere
    ran = context.system.executed('registrar')
    assert ran.count(context.first.key) == 1


@when('random bytes reach the callers\' and the peers\' ports')
def send_garbage(context: Any) -> None:
    """Send seeded garbage to both ports of a node."""
    rng = random.Random(7)
    system = context.system
    for address in (system.nodes['node-1'], system.peers['node-1']):
        for _ in range(20):
            host, port = model.split_address(address)
            with socket.create_connection((host, port), timeout=5) as link:
                link.sendall(rng.randbytes(rng.randrange(1, 5000)))
    oversized = (200_000_000).to_bytes(4, 'big') + b'x'
    host, port = model.split_address(system.peers['node-1'])
    with socket.create_connection((host, port), timeout=5) as link:
        link.sendall(oversized)
        assert link.recv(10) == b''


@then('the node still answers requests')
def check_alive(context: Any) -> None:
    """Send an ordinary request."""
    body = calls.request_body('parts-lookup', 'a fuse')
    calls.check_whole(calls.exchange(context.system.nodes['node-1'], body))
    status, _ = processes.call_http(
        f'http://{context.system.nodes["node-1"]}/nothing'
    )
    assert status == 404


def expect_typed_error(parse: Any, data: bytes) -> None:
    """Parse bytes, letting the typed error pass."""
    try:
        parse(data)
    except model.InvalidInputError:
        pass


PARSERS = (
    wire.parse_request,
    wire.decode_peer,
    wire.decode_event,
    wire.decode_result,
    wire.decode_call,
    wire.decode_order,
    wire.decode_load,
    wire.decode_write,
    wire.decode_addresses,
)


def compressed_frame() -> tuple[model.StatePush, bytes]:
    """Return a message of some size and its compressed frame."""
    items = [
        model.StoredObject(f'config/{index}', index, 'value ' * 9)
        for index in range(50)
    ]
    push = model.StatePush(items, False)
    return push, wire.encode_peer('a:1', push, is_compressed=True)


@then('a compressed frame is shorter and holds the same message')
def check_compressed(context: Any) -> None:
    """Compare with the plain frame."""
    push, data = compressed_frame()
    plain = wire.encode_peer('a:1', push)
    assert len(data) < len(plain) / 2, (len(data), len(plain))
    assert wire.decode_peer(data) == wire.decode_peer(plain)


@then('a compressed frame that {defect} raises the typed error')
def check_bad_compressed(context: Any, defect: str) -> None:
    """Damage a frame in one way and read it."""
    _, data = compressed_frame()
    longest = b'\x00' * (wire.MAX_FRAME_BYTES + 1)
    frames = {
        'is cut short': data[:-1],
        'has bytes behind it': data + b'\x00',
        'is damaged': data[:20] + b'\xff\xff' + data[22:],
        'is far too long': zlib.compress(longest, 1),
    }
    try:
        wire.decode_peer(frames[defect])
    except model.WireError:
        return
    raise AssertionError(f'a frame that {defect} was read')


@then('no damaged frame keeps a node busy')
def check_damaged_frames(context: Any) -> None:
    """Damage frames in many places; sizes must never be believed."""
    rng = random.Random(1)
    base = wire.encode_peer('a:1', model.StateWant(['x', 'y']))
    for _ in range(DAMAGED_FRAMES):
        damaged = bytearray(base)
        for _ in range(3):
            damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        expect_typed_error(wire.decode_peer, bytes(damaged))
    huge_list = base.replace(b'\x0b\x00\x00\x00\x02', b'\x0e\x7f\xff\xff\xff')
    assert huge_list != base
    try:
        wire.decode_peer(huge_list)
    except model.WireError:
        return
    raise AssertionError('a list of 2**31 elements was believed')


@then('no bytes make a parser raise anything but its typed error')
def fuzz_parsers(context: Any) -> None:
    """Feed random and damaged bytes to every parser."""
    sound = [
        json.dumps(calls.request_body('tide-question', 'x')).encode(),
        wire.encode_peer('a:1', model.StateWant(['x', 'y'])),
        compressed_frame()[1],
        wire.encode_event(model.Chunk(1, 'x')),
    ]

    @hypothesis.settings(
        max_examples=EXAMPLES, deadline=None, derandomize=True
    )
    @hypothesis.given(
        strategies.sampled_from(sound),
        strategies.binary(max_size=64),
        strategies.integers(0, 200),
    )
    def check(base: bytes, patch: bytes, place: int) -> None:
        damaged = base[:place] + patch + base[place + len(patch) :]
        for parse in PARSERS:
            expect_typed_error(parse, patch)
            expect_typed_error(parse, damaged)

    check()
