"""Validation of a thrift frame before the codec library reads it.

The library trusts the sizes declared in a frame: a damaged list size of
two thousand million keeps it busy for minutes. This check compares every
size with the remaining bytes and builds no objects.
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
# Size in bytes of values of fixed size, by thrift type.
FIXED_BYTES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
# Minimum size in bytes of values of the other types.
MIN_BYTES = {STRING: 4, STRUCT: 1, MAP: 6, SET: 5, LIST: 5}
_SIZE_STRUCT = struct.Struct('>i')


def check_frame(data: bytes) -> None:
    """Raise WireError unless data is one well-formed thrift struct."""
    end = _skip_struct(data, 0, 0)
    if end != len(data):
        raise model.WireError('trailing bytes after the frame')


def _damaged_frame() -> model.WireError:
    return model.WireError('damaged frame')


def _skip_struct(data: bytes, offset: int, depth: int) -> int:
    if depth > MAX_DEPTH:
        raise _damaged_frame()
    while True:
        if offset >= len(data):
            raise _damaged_frame()
        value_type = data[offset]
        if value_type == STOP:
            return offset + 1
        # The field header is one byte of type and two of field number.
        offset = _skip_value(data, offset + 3, value_type, depth)


def _skip_value(data: bytes, offset: int, value_type: int, depth: int) -> int:
    fixed_bytes = FIXED_BYTES.get(value_type)
    if fixed_bytes is not None:
        return _check_end(data, offset + fixed_bytes)
    if value_type == STRING:
        return _check_end(data, offset + 4 + _read_size(data, offset))
    if value_type == STRUCT:
        return _skip_struct(data, offset, depth + 1)
    if value_type in (LIST, SET):
        return _skip_list(data, offset, depth)
    raise _damaged_frame()


def _skip_list(data: bytes, offset: int, depth: int) -> int:
    _check_end(data, offset + 5)
    value_type = data[offset]
    count = _read_size(data, offset + 1)
    offset += 5
    fixed_bytes = FIXED_BYTES.get(value_type)
    if fixed_bytes is not None:
        return _check_end(data, offset + fixed_bytes * count)
    if value_type not in MIN_BYTES:
        raise _damaged_frame()
    _check_end(data, offset + MIN_BYTES[value_type] * count)
    for _ in range(count):
        offset = _skip_value(data, offset, value_type, depth + 1)
    return offset


def _read_size(data: bytes, offset: int) -> int:
    _check_end(data, offset + 4)
    size: int = _SIZE_STRUCT.unpack_from(data, offset)[0]
    if size < 0:
        raise _damaged_frame()
    return size


def _check_end(data: bytes, end: int) -> int:
    if end > len(data):
        raise _damaged_frame()
    return end
