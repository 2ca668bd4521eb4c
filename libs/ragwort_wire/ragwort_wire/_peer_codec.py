"""Thrift codec of the messages between nodes."""

from collections.abc import Callable
import dataclasses
import enum
import functools
import pathlib
import re
import types
import typing
from typing import Any

import thriftpy2
from thriftpy2 import protocol
from thriftpy2.transport.memory import cymemory

import ragwort_model as model
from ragwort_wire import _frame_check

WIRE_VERSION = 1
MAX_FRAME_BYTES = 4 * 1024 * 1024

_new_protocol: Any = protocol.TCyBinaryProtocol
_IDL: Any = thriftpy2.load(
    str(pathlib.Path(__file__).with_name('peer.thrift')),
    module_name='ragwort_peer_thrift',
)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerFrame:
    """A decoded message with the sender's name."""

    sender: str
    message: model.PeerMessage


@functools.cache
def _field_name(message_type: type) -> str:
    return re.sub(r'(?<!^)(?=[A-Z])', '_', message_type.__name__).lower()


_MESSAGE_TYPES: dict[str, type] = {
    _field_name(kind): kind for kind in typing.get_args(model.PeerMessage)
}


def encode_peer(sender: str, message: model.PeerMessage) -> bytes:
    """Return one frame's bytes, without the length prefix."""
    kind = typing.cast(type, type(message))
    envelope = _IDL.Envelope(version=WIRE_VERSION, sender=sender)
    setattr(envelope, _field_name(kind), _to_thrift(kind)(message))
    buffer = cymemory.TCyMemoryBuffer()
    _new_protocol(buffer).write_struct(envelope)
    return bytes(buffer.getvalue())


def decode_peer(data: bytes) -> PeerFrame:
    """Return the message of one frame; raise WireError if it is not one."""
    if len(data) > MAX_FRAME_BYTES:
        raise model.WireError(f'frame of {len(data)} bytes is too long')
    _frame_check.check_frame(data)
    envelope = _IDL.Envelope()
    try:
        buffer = cymemory.TCyMemoryBuffer(data)
        _new_protocol(buffer).read_struct(envelope)
        return _frame(envelope)
    except model.WireError:
        raise
    # The generated reader raises many unrelated types on damaged bytes.
    except Exception as error:
        raise model.WireError(f'damaged frame: {error!r}') from None


def _frame(envelope: Any) -> PeerFrame:
    if envelope.version is None or envelope.version < 1:
        raise model.WireError('frame without a version')
    if not envelope.sender:
        raise model.WireError('frame without a sender')
    for name, kind in _MESSAGE_TYPES.items():
        struct = getattr(envelope, name)
        if struct is not None:
            return PeerFrame(envelope.sender, _from_thrift(kind)(struct))
    raise model.WireError('frame of an unknown kind')


Converter = Callable[[Any], Any]


def _same(value: Any) -> Any:
    return value


@functools.cache
def _to_thrift(kind: Any) -> Converter:
    """Return the function that turns a value of a type into thrift's."""
    origin = typing.get_origin(kind)
    if origin is types.UnionType:
        return _optional(_to_thrift(typing.get_args(kind)[0]))
    if origin is list:
        inner = _to_thrift(typing.get_args(kind)[0])
        if inner is _same:
            return _same
        return lambda value: [inner(item) for item in value]
    if dataclasses.is_dataclass(kind):
        return _struct_writer(typing.cast(type, kind))
    if issubclass(kind, enum.IntEnum):
        return int
    return _same


def _optional(inner: Converter) -> Converter:
    return lambda value: None if value is None else inner(value)


def _struct_writer(kind: type) -> Converter:
    struct_type = getattr(_IDL, kind.__name__)
    fields = [
        (name, _to_thrift(hint))
        for name, hint in typing.get_type_hints(kind).items()
    ]

    def convert(value: Any) -> Any:
        struct = struct_type()
        for name, inner in fields:
            setattr(struct, name, inner(getattr(value, name)))
        return struct

    return convert


@functools.cache
def _from_thrift(kind: Any) -> Converter:
    """Return the function that checks and converts a thrift value."""
    origin = typing.get_origin(kind)
    if origin is types.UnionType:
        return _optional(_from_thrift(typing.get_args(kind)[0]))
    if origin is list:
        inner = _from_thrift(typing.get_args(kind)[0])
        return lambda value: [inner(item) for item in _present(value)]
    if dataclasses.is_dataclass(kind):
        return _struct_reader(typing.cast(type, kind))
    if issubclass(kind, enum.IntEnum):
        return lambda value: kind(_present(value))
    return _scalar_reader(kind)


def _present(value: Any) -> Any:
    if value is None:
        raise model.WireError('a required field is missing')
    return value


def _struct_reader(kind: type) -> Converter:
    fields = [
        (name, _from_thrift(hint))
        for name, hint in typing.get_type_hints(kind).items()
    ]

    def convert(struct: Any) -> Any:
        _present(struct)
        return kind(*[inner(getattr(struct, name)) for name, inner in fields])

    return convert


def _scalar_reader(kind: type) -> Converter:
    def convert(value: Any) -> Any:
        # Text that is not UTF-8 comes out of the library as bytes.
        if type(value) is not kind:
            raise model.WireError(f'expected {kind.__name__}, got {value!r}')
        return value

    return convert
