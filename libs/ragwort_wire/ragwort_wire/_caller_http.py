"""Messages between callers and nodes other than the answer stream."""

from typing import Annotated

import msgspec
import pydantic

import ragwort_model as model

MAX_INPUT_CHARS = 512 * 1024
MIN_DEADLINE_MS = 1
MAX_DEADLINE_MS = int(model.MAX_DEADLINE_S * 1000)
PROBLEM_TYPE = 'application/problem+json'
STREAM_TYPE = 'application/x-ndjson'


class RequestBody(pydantic.BaseModel):
    """Body of POST /v1/requests."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True)

    class_of_work: model.Name
    workspace: model.Name
    key: str = pydantic.Field(max_length=64)
    deadline_ms: Annotated[
        int, pydantic.Field(ge=MIN_DEADLINE_MS, le=MAX_DEADLINE_MS)
    ]
    input: str = pydantic.Field(max_length=MAX_INPUT_CHARS)


class RequestRecord(msgspec.Struct):
    """Body of POST /v1/requests as a caller writes it."""

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


class EntryAddressRecord(msgspec.Struct):
    """One entry address."""

    host: str
    address: str
    failure_domain: str


class AddressesRecord(msgspec.Struct):
    """Answer of GET /v1/addresses, best first; ttl_s is how long to use it."""

    addresses: list[EntryAddressRecord]
    ttl_s: float
    version: int


class AnswerRecord(msgspec.Struct, omit_defaults=True):
    """Whole answer for callers that do not stream."""

    key: str
    outcome: str
    answer: str
    count: int
    digest: str
    reason: str = ''


def parse_request(body: bytes) -> model.Request:
    """Return the validated request; raise InvalidInputError."""
    try:
        parsed = RequestBody.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise model.InvalidInputError(model.describe_problem(error)) from None
    model.request_key_time(parsed.key)
    digest = model.content_digest(
        f'{part}\x00'
        for part in (parsed.class_of_work, parsed.workspace, parsed.input)
    )
    return model.Request(
        parsed.key,
        parsed.class_of_work,
        parsed.workspace,
        parsed.deadline_ms / 1000,
        parsed.input,
        digest,
    )


def encode_json(value: msgspec.Struct) -> bytes:
    """Return a message as JSON."""
    return msgspec.json.encode(value)


def decode_addresses(body: bytes) -> AddressesRecord:
    """Return an address answer; raise WireError if it is not one."""
    try:
        return msgspec.json.decode(body, type=AddressesRecord)
    except (msgspec.MsgspecError, ValueError) as error:
        raise model.WireError(f'damaged address answer: {error}') from None
