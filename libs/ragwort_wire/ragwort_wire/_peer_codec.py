"""Thrift codec of the messages between nodes."""

import dataclasses
import enum
import pathlib
import re
import types
import typing
from typing import Any

import thriftpy2
from thriftpy2 import protocol
from thriftpy2.transport.memory import cymemory

import ragwort_model as model

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


def _field_name(message_type: type) -> str:
    return re.sub(r'(?<!^)(?=[A-Z])', '_', message_type.__name__).lower()


_MESSAGE_TYPES: dict[str, type] = {
    _field_name(kind): kind for kind in typing.get_args(model.PeerMessage)
}


def encode_peer(sender: str, message: model.PeerMessage) -> bytes:
    """Return one frame's bytes, without the length prefix."""
    envelope = _IDL.Envelope(version=WIRE_VERSION, sender=sender)
    setattr(envelope, _field_name(type(message)), _to_thrift(message))
    buffer = cymemory.TCyMemoryBuffer()
    _new_protocol(buffer).write_struct(envelope)
    return bytes(buffer.getvalue())


def decode_peer(data: bytes) -> PeerFrame:
    """Return the message of one frame; raise WireError if it is not one."""
    if len(data) > MAX_FRAME_BYTES:
        raise model.WireError(f'frame of {len(data)} bytes is too long')
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
            return PeerFrame(envelope.sender, _from_thrift(struct, kind))
    raise model.WireError('frame of an unknown kind')


def _to_thrift(value: Any) -> Any:
    if isinstance(value, enum.IntEnum):
        return int(value)
    if isinstance(value, list):
        return [_to_thrift(item) for item in value]
    if not dataclasses.is_dataclass(value):
        return value
    struct = getattr(_IDL, type(value).__name__)()
    for name in _hints(type(value)):
        setattr(struct, name, _to_thrift(getattr(value, name)))
    return struct


_HINTS: dict[type, dict[str, Any]] = {}


def _hints(kind: type) -> dict[str, Any]:
    known = _HINTS.get(kind)
    if known is None:
        known = _HINTS[kind] = typing.get_type_hints(kind)
    return known


def _from_thrift(value: Any, kind: Any) -> Any:
    origin = typing.get_origin(kind)
    if origin is types.UnionType:
        if value is None:
            return None
        return _from_thrift(value, typing.get_args(kind)[0])
    if value is None:
        raise model.WireError('a required field is missing')
    if origin is list:
        inner = typing.get_args(kind)[0]
        return [_from_thrift(item, inner) for item in value]
    if dataclasses.is_dataclass(kind):
        fields = {
            name: _from_thrift(getattr(value, name), hint)
            for name, hint in _hints(typing.cast(type, kind)).items()
        }
        return typing.cast(Any, kind)(**fields)
    if isinstance(kind, type) and issubclass(kind, enum.IntEnum):
        return kind(value)
    if not isinstance(value, kind):
        raise model.WireError(f'expected {kind.__name__}, got {value!r}')
    return value
