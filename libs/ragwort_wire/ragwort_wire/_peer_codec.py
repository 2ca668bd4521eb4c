"""Thrift codec of peer messages."""

from collections.abc import Callable
import dataclasses
import enum
import functools
import re
import struct
import types
import typing
from typing import Any
import zlib

import msgspec
from thriftpy2 import protocol
from thriftpy2.transport.memory import cymemory

import ragwort_model as model
from ragwort_wire import _frame_check
from ragwort_wire import _peer_structs

WIRE_VERSION = 1
MAX_FRAME_BYTES = 4 * 1024 * 1024
# The fastest level: configurations shrink to about a seventh.
COMPRESSION_LEVEL = 1
# No envelope begins so: its first byte is the type of a thrift field.
ZLIB_FIRST_BYTE = b'\x78'

# Items of lists that say nothing of each other: one that can't be written or
# read costs none of the others.
INDEPENDENT_TYPES = frozenset(
    {
        model.ClearedSuspect,
        model.ColdRunner,
        model.LeavingRunner,
        model.MemberUpdate,
        model.RunnerLimit,
        model.RunnerStart,
        model.StreamBegan,
        model.SuspectCrash,
    }
)

_RECEIPT = struct.Struct('>q')
RECEIPT_BYTES = _RECEIPT.size

_new_protocol: Any = protocol.TCyBinaryProtocol


@dataclasses.dataclass(frozen=True, slots=True)
class PeerFrame:
    """A decoded message and the name of its sender.

    number is 0 if the sender expects no receipt.
    """

    sender: str
    message: model.PeerMessage
    number: int = 0


@functools.cache
def _field_name(message_type: type) -> str:
    return re.sub(r'(?<!^)(?=[A-Z])', '_', message_type.__name__).lower()


_MESSAGE_TYPES: dict[str, type] = {
    _field_name(value_type): value_type
    for value_type in typing.get_args(model.PeerMessage)
}


def encode_peer(
    sender: str,
    message: model.PeerMessage,
    is_compressed: bool = False,
    number: int = 0,
) -> bytes:
    """Encode a message as one frame, without the length prefix.

    Only peers that say so can read a compressed frame. A frame with a number
    asks for a receipt. Independent items that the frame can't hold are left
    out.
    """
    value_type = typing.cast(type, type(message))
    envelope = _peer_structs.Envelope(
        version=WIRE_VERSION, sender=sender, number=number
    )
    record = _to_thrift(value_type)(message)
    setattr(envelope, _field_name(value_type), record)
    try:
        data = _write(envelope)
    except Exception:
        _remove_unwritable_items(value_type, record)
        data = _write(envelope)
    return zlib.compress(data, COMPRESSION_LEVEL) if is_compressed else data


def _write(record: Any) -> bytes:
    buffer = cymemory.TCyMemoryBuffer()
    _new_protocol(buffer).write_struct(record)
    return bytes(buffer.getvalue())


def _remove_unwritable_items(value_type: type, record: Any) -> None:
    for name, hint in typing.get_type_hints(value_type).items():
        if _is_independent_list(hint):
            items = getattr(record, name)
            setattr(record, name, [i for i in items if _is_writable(i)])


def _is_independent_list(hint: Any) -> bool:
    if typing.get_origin(hint) is not list:
        return False
    return typing.get_args(hint)[0] in INDEPENDENT_TYPES


def _is_writable(record: Any) -> bool:
    try:
        _write(record)
    # The library raises unrelated exception types for numbers that are too
    # large and for texts that are not Unicode.
    except Exception:
        return False
    return True


def decode_peer(data: bytes) -> PeerFrame:
    """Decode one frame; raise WireError if it is damaged."""
    if len(data) > MAX_FRAME_BYTES:
        raise model.WireError(f'frame of {len(data)} bytes is too long')
    if data[:1] == ZLIB_FIRST_BYTE:
        data = _decompress(data)
    _frame_check.check_frame(data)
    envelope = _peer_structs.Envelope()
    try:
        buffer = cymemory.TCyMemoryBuffer(data)
        _new_protocol(buffer).read_struct(envelope)
        return _to_frame(envelope)
    except model.WireError:
        raise
    # The library raises many unrelated exception types on damaged bytes.
    except Exception as error:
        raise model.WireError(f'damaged frame: {error!r}') from None


def encode_receipt(number: int) -> bytes:
    """Encode the receipt for all frames up to a number."""
    return _RECEIPT.pack(number)


def decode_receipt(data: bytes) -> int:
    """Return the number in a receipt; raise WireError if it is damaged."""
    if len(data) != RECEIPT_BYTES:
        raise model.WireError(f'receipt of {len(data)} bytes')
    number: int = _RECEIPT.unpack(data)[0]
    return number


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        frame = decompressor.decompress(data, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise model.WireError(f'damaged frame: {error}') from None
    if not decompressor.eof or decompressor.unused_data:
        raise model.WireError('compressed frame is cut short or too long')
    return frame


def _to_frame(envelope: Any) -> PeerFrame:
    if envelope.version is None or envelope.version < 1:
        raise model.WireError('frame has no valid version')
    if not envelope.sender:
        raise model.WireError('frame has no sender')
    for name, value_type in _MESSAGE_TYPES.items():
        value = getattr(envelope, name)
        if value is not None:
            message = _from_thrift(value_type)(value)
            return PeerFrame(envelope.sender, message, envelope.number or 0)
    raise model.UnknownMessageError(envelope.number or 0)


Converter = Callable[[Any], Any]


def _identity(value: Any) -> Any:
    return value


@functools.cache
def _to_thrift(value_type: Any) -> Converter:
    """Return the function that converts a value of value_type to thrift."""
    origin = typing.get_origin(value_type)
    if origin is types.UnionType:
        return _optional(_to_thrift(typing.get_args(value_type)[0]))
    if origin is list:
        convert_inner = _to_thrift(typing.get_args(value_type)[0])
        if convert_inner is _identity:
            return _identity
        return lambda value: [convert_inner(item) for item in value]
    if isinstance(value_type, msgspec.StructMeta):
        return _struct_writer(typing.cast(type, value_type))
    if issubclass(value_type, enum.IntEnum):
        return int
    return _identity


def _optional(convert_inner: Converter) -> Converter:
    return lambda value: None if value is None else convert_inner(value)


def _struct_writer(value_type: type) -> Converter:
    struct_type = getattr(_peer_structs, value_type.__name__)
    fields = [
        (name, _to_thrift(hint))
        for name, hint in typing.get_type_hints(value_type).items()
    ]

    def convert(value: Any) -> Any:
        record = struct_type()
        for name, convert_inner in fields:
            setattr(record, name, convert_inner(getattr(value, name)))
        return record

    return convert


@functools.cache
def _from_thrift(value_type: Any) -> Converter:
    """Return the function that validates and converts a thrift value."""
    origin = typing.get_origin(value_type)
    if origin is types.UnionType:
        return _optional(_from_thrift(typing.get_args(value_type)[0]))
    if origin is list:
        convert_inner = _from_thrift(typing.get_args(value_type)[0])
        if _is_independent_list(value_type):
            return _independent_reader(convert_inner)
        return lambda value: [convert_inner(item) for item in _require(value)]
    if isinstance(value_type, msgspec.StructMeta):
        return _struct_reader(typing.cast(type, value_type))
    if issubclass(value_type, enum.IntEnum):
        return lambda value: value_type(_require(value))
    return _scalar_reader(value_type)


def _independent_reader(convert_inner: Converter) -> Converter:
    """Return the function that converts the valid items of a list."""

    def convert(value: Any) -> Any:
        found = []
        for item in _require(value):
            try:
                found.append(convert_inner(item))
            except (model.WireError, ValueError):
                continue
        return found

    return convert


def _require(value: Any) -> Any:
    if value is None:
        raise model.WireError('a required field is missing')
    return value


def _struct_reader(value_type: type) -> Converter:
    fields = [
        (name, _from_thrift(hint))
        for name, hint in typing.get_type_hints(value_type).items()
    ]

    def convert(record: Any) -> Any:
        _require(record)
        return value_type(
            *[
                convert_inner(getattr(record, name))
                for name, convert_inner in fields
            ]
        )

    return convert


def _scalar_reader(value_type: type) -> Converter:
    def convert(value: Any) -> Any:
        # The library returns text that is not UTF-8 as bytes.
        if type(value) is not value_type:
            raise model.WireError(
                f'expected {value_type.__name__}, got {value!r}'
            )
        return value

    return convert
