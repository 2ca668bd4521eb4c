"""Codec of the answer stream to callers, one JSON line per record."""

import msgspec

import ragwort_model as model
from ragwort_wire import _decoding


class AcceptedRecord(msgspec.Struct, tag='accepted', tag_field='type'):
    """The request was accepted by host."""

    key: str
    host: str


class ChunkRecord(msgspec.Struct, tag='chunk', tag_field='type'):
    """Chunk seq of the answer."""

    seq: _decoding.Count
    data: str


class HeartbeatRecord(msgspec.Struct, tag='heartbeat', tag_field='type'):
    """Keep-alive record."""


class EndRecord(
    msgspec.Struct, tag='end', tag_field='type', omit_defaults=True
):
    """Outcome, number of chunks and digest of all of them."""

    key: str
    outcome: str
    count: _decoding.Count
    digest: str
    reason: str = ''
    retry_after_s: _decoding.Number | None = None


StreamRecord = AcceptedRecord | ChunkRecord | HeartbeatRecord | EndRecord

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(StreamRecord)


def encode_event(event: model.CallerEvent) -> bytes:
    """Encode an event as JSON without a line end."""
    return _ENCODER.encode(_to_record(event))


def decode_event(line: bytes | str) -> model.CallerEvent:
    """Decode one line; raise WireError if it is damaged."""
    try:
        return _to_event(_DECODER.decode(line))
    except _decoding.ERRORS as error:
        raise model.WireError(f'damaged stream record: {error}') from None


def _to_record(event: model.CallerEvent) -> StreamRecord:
    match event:
        case model.Chunk():
            return ChunkRecord(event.seq, event.data)
        case model.Accepted():
            return AcceptedRecord(event.key, event.host)
        case model.Heartbeat():
            return HeartbeatRecord()
        case model.End():
            return EndRecord(
                event.key,
                event.outcome.value,
                event.count,
                event.digest,
                event.reason,
                event.retry_after_s,
            )


def _to_event(record: StreamRecord) -> model.CallerEvent:
    match record:
        case ChunkRecord():
            return model.Chunk(record.seq, record.data)
        case AcceptedRecord():
            return model.Accepted(record.key, record.host)
        case HeartbeatRecord():
            return model.Heartbeat()
        case EndRecord():
            return model.End(
                record.key,
                model.Outcome(record.outcome),
                record.count,
                record.digest,
                record.reason,
                record.retry_after_s,
            )
