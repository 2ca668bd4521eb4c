"""Messages between callers and nodes, except the answer stream."""

from typing import Annotated

import msgspec
import pydantic

import ragwort_model as model
from ragwort_wire import _decoding

MAX_INPUT_CHARS = 512 * 1024
MAX_KEY_CHARS = 64
MIN_DEADLINE_MS = 1
MAX_DEADLINE_MS = int(model.MAX_DEADLINE_S * 1000)
PROBLEM_TYPE = 'application/problem+json'
STREAM_TYPE = 'application/x-ndjson'


class RequestBody(pydantic.BaseModel):
    """Body of POST /v1/requests, validated on receipt."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True)

    class_of_work: model.Name
    workspace: model.Name
    key: str = pydantic.Field(max_length=MAX_KEY_CHARS)
    deadline_ms: Annotated[
        int, pydantic.Field(ge=MIN_DEADLINE_MS, le=MAX_DEADLINE_MS)
    ]
    input: str = pydantic.Field(max_length=MAX_INPUT_CHARS)


class RequestRecord(msgspec.Struct):
    """Body of POST /v1/requests, as sent by a caller."""

    class_of_work: str
    workspace: str
    key: str
    deadline_ms: int
    input: str


class Problem(msgspec.Struct, omit_defaults=True):
    """Problem document of RFC 9457 with the outcome of the request."""

    title: str
    status: int
    detail: str
    type: str = 'about:blank'
    outcome: str = ''
    key: str = ''
    retry_after_s: float | None = None


class _KeyField(msgspec.Struct):
    """The key of a request whose other fields may be wrong."""

    key: str = ''


class _ProblemFields(msgspec.Struct):
    """What callers read of a problem document; older hosts send no key."""

    title: str = ''
    detail: str = ''
    outcome: str = ''
    key: str = ''


class EntryAddressRecord(msgspec.Struct):
    """Address of one entry host."""

    host: str
    address: str
    failure_domain: str


class AddressesRecord(msgspec.Struct):
    """Response of GET /v1/addresses, best first; valid for ttl_s."""

    addresses: list[EntryAddressRecord]
    ttl_s: float
    version: int


class _AddressListRecord(msgspec.Struct):
    """An address response whose items are decoded one by one."""

    addresses: list[msgspec.Raw]
    ttl_s: _decoding.Number
    version: _decoding.Int64


class AnswerRecord(msgspec.Struct, omit_defaults=True):
    """Complete answer for callers that do not stream."""

    key: str
    outcome: str
    answer: str
    count: int
    digest: str
    reason: str = ''


def parse_request(body: bytes) -> model.Request:
    """Return the validated request; raise InvalidInputError."""
    try:
        request_body = RequestBody.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise model.InvalidInputError(model.describe_problem(error)) from None
    model.request_key_time(request_body.key)
    digest = model.content_digest(
        f'{part}\x00'
        for part in (
            request_body.class_of_work,
            request_body.workspace,
            request_body.input,
        )
    )
    return model.Request(
        request_body.key,
        request_body.class_of_work,
        request_body.workspace,
        request_body.deadline_ms / 1000,
        request_body.input,
        digest,
    )


def find_request_key(body: bytes) -> str:
    """Return the key in a body that may be no valid request, or ''."""
    try:
        key = msgspec.json.decode(body, type=_KeyField).key
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return ''
    return key if len(key) <= MAX_KEY_CHARS else ''


def decode_problem(status: int, body: bytes) -> Problem:
    """Decode a problem document; other bodies become its detail."""
    try:
        fields = msgspec.json.decode(body, type=_ProblemFields)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return Problem('Problem', status, body[:200].decode('latin-1'))
    return Problem(
        fields.title,
        status,
        fields.detail,
        outcome=fields.outcome,
        key=fields.key,
    )


def encode_json(value: msgspec.Struct) -> bytes:
    """Encode a message as JSON."""
    return msgspec.json.encode(value)


def decode_addresses(body: bytes) -> AddressesRecord:
    """Decode an address response; raise WireError if it is damaged.

    Items without an address that can be connected to are left out.
    """
    try:
        record = msgspec.json.decode(body, type=_AddressListRecord)
    except _decoding.ERRORS as error:
        raise model.WireError(f'damaged address response: {error}') from None
    return AddressesRecord(
        [e for e in map(_parse_entry, record.addresses) if e is not None],
        record.ttl_s,
        record.version,
    )


def _parse_entry(item: msgspec.Raw) -> EntryAddressRecord | None:
    try:
        entry = msgspec.json.decode(item, type=EntryAddressRecord)
        model.parse_address(entry.address)
    except _decoding.ERRORS:
        return None
    return entry
