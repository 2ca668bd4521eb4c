"""Check of a thrift frame before the codec library reads it.

The library's reader believes the sizes that a frame announces: a damaged
list of two thousand million elements keeps it busy for minutes. Here every
size is held against the bytes that are left, and nothing is built.
"""

import struct

import ragwort_model as model

MAX_DEPTH = 16
STOP = 0
STRING = 11
STRUCT = 12
MAP = 13
SET = 14
LIST = 15
# Bytes of the values of fixed size, by thrift type.
FIXED_BYTES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
# Fewest bytes that a value of the other types takes.
LEAST_BYTES = {STRING: 4, STRUCT: 1, MAP: 6, SET: 5, LIST: 5}
_SIZE = struct.Struct('>i')


def check_frame(data: bytes) -> None:
    """Raise WireError unless data is one well-formed thrift struct."""
    end = _skip_struct(data, 0, 0)
    if end != len(data):
        raise model.WireError('bytes are left over after the frame')


def _fail() -> model.WireError:
    return model.WireError('damaged frame')


def _skip_struct(data: bytes, at: int, depth: int) -> int:
    if depth > MAX_DEPTH:
        raise _fail()
    while True:
        if at >= len(data):
            raise _fail()
        kind = data[at]
        if kind == STOP:
            return at + 1
        # One byte of type and two of field number.
        at = _skip_value(data, at + 3, kind, depth)


def _skip_value(data: bytes, at: int, kind: int, depth: int) -> int:
    fixed = FIXED_BYTES.get(kind)
    if fixed is not None:
        return _within(data, at + fixed)
    if kind == STRING:
        return _within(data, at + 4 + _size(data, at))
    if kind == STRUCT:
        return _skip_struct(data, at, depth + 1)
    if kind in (LIST, SET):
        return _skip_list(data, at, depth)
    raise _fail()


def _skip_list(data: bytes, at: int, depth: int) -> int:
    _within(data, at + 5)
    kind = data[at]
    count = _size(data, at + 1)
    at += 5
    fixed = FIXED_BYTES.get(kind)
    if fixed is not None:
        return _within(data, at + fixed * count)
    if kind not in LEAST_BYTES:
        raise _fail()
    _within(data, at + LEAST_BYTES[kind] * count)
    for _ in range(count):
        at = _skip_value(data, at, kind, depth + 1)
    return at


def _size(data: bytes, at: int) -> int:
    _within(data, at + 4)
    size: int = _SIZE.unpack_from(data, at)[0]
    if size < 0:
        raise _fail()
    return size


def _within(data: bytes, end: int) -> int:
    if end > len(data):
        raise _fail()
    return end
