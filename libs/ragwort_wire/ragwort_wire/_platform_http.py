"""Codec of the platform's object API."""

import msgspec

import ragwort_model as model
from ragwort_wire import _decoding


class ObjectRecord(msgspec.Struct):
    """An object; value is null after deletion."""

    name: str
    version: _decoding.Revision
    value: str | None = None


class WriteRecord(msgspec.Struct):
    """Body of PUT /v1/objects/NAME; the era is that of expected_version."""

    value: str
    expected_version: _decoding.Revision
    expected_era: _decoding.Era = 0


class ObjectsRecord(msgspec.Struct):
    """Response with objects and the revision they were read at.

    Versions and the revision are those of one era of the store.
    """

    objects: list[ObjectRecord]
    revision: _decoding.Revision
    era: _decoding.Era = 0


_STATUS_BY_HTTP_CODE = {
    200: model.StoreStatus.OK,
    404: model.StoreStatus.NOT_FOUND,
    409: model.StoreStatus.CONFLICT,
    410: model.StoreStatus.GONE,
    429: model.StoreStatus.RATE_LIMITED,
}
HTTP_CODE_BY_STATUS = {
    status: code for code, status in _STATUS_BY_HTTP_CODE.items()
}
HTTP_SERVICE_UNAVAILABLE = 503


def encode_store_result(result: model.StoreResult) -> bytes:
    """Encode the response body of a store call."""
    return msgspec.json.encode(
        ObjectsRecord(
            [
                ObjectRecord(o.name, model.revision_of(o.version), o.value)
                for o in result.objects
            ],
            model.revision_of(result.revision),
            result.era,
        )
    )


def decode_store_result(op: str, code: int, body: bytes) -> model.StoreResult:
    """Decode the response to call op; UNAVAILABLE if it is damaged."""
    status = _STATUS_BY_HTTP_CODE.get(code, model.StoreStatus.UNAVAILABLE)
    if status == model.StoreStatus.UNAVAILABLE:
        return model.StoreResult(op, status)
    try:
        record = msgspec.json.decode(body, type=ObjectsRecord)
    except _decoding.ERRORS:
        return model.StoreResult(op, model.StoreStatus.UNAVAILABLE)
    era = record.era
    objects = tuple(
        model.StoredObject(o.name, model.make_version(era, o.version), o.value)
        for o in record.objects
    )
    revision = model.make_version(era, record.revision)
    return model.StoreResult(op, status, objects, revision)


def encode_write(call: model.StoreCall) -> bytes:
    """Encode the request body of a conditional write."""
    return msgspec.json.encode(
        WriteRecord(
            call.value or '',
            model.revision_of(call.expected_version),
            model.era_of(call.expected_version),
        )
    )


def decode_write(body: bytes) -> WriteRecord:
    """Decode a conditional write; raise WireError if it is damaged."""
    try:
        return msgspec.json.decode(body, type=WriteRecord)
    except _decoding.ERRORS as error:
        raise model.WireError(f'damaged write: {error}') from None
