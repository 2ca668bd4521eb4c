"""Codec between nodes and runners: calls, result lines, orders."""

import msgspec

import ragwort_model as model


class CallRecord(msgspec.Struct):
    """Body of POST /v1/calls; deadline_ms is the remaining time."""

    attempt: str
    service: str
    input: str
    deadline_ms: int
    priority: int
    resume_from: int = 0
    prior: str = ''


class LoadRecord(msgspec.Struct):
    """Load report of a runner."""

    running: int
    queued: int
    slots: int
    age_s: float
    draining: bool
    state_version: int
    loaded: bool = True


class OrderRecord(msgspec.Struct):
    """Body of POST /v1/orders."""

    fencing: int
    wanted: str
    expires_wall: float


class ResultChunk(msgspec.Struct, tag='chunk', tag_field='type'):
    """Chunk seq of a stage result."""

    attempt: str
    seq: int
    data: str


class ResultHeartbeat(msgspec.Struct, tag='heartbeat', tag_field='type'):
    """Keep-alive record of a call that is queued or running."""

    attempt: str


class ResultEnd(msgspec.Struct, tag='end', tag_field='type'):
    """End of a stage result."""

    attempt: str
    count: int
    digest: str
    busy_s: float
    load: LoadRecord


class ResultRefused(msgspec.Struct, tag='refused', tag_field='type'):
    """The call was not run: overloaded or draining."""

    attempt: str
    reason: str
    load: LoadRecord


class ResultError(msgspec.Struct, tag='error', tag_field='type'):
    """The call was run and failed."""

    attempt: str
    reason: str


ResultRecord = (
    ResultChunk | ResultHeartbeat | ResultEnd | ResultRefused | ResultError
)

_ENCODER = msgspec.json.Encoder()
_RESULTS = msgspec.json.Decoder(ResultRecord)
_CALLS = msgspec.json.Decoder(CallRecord)


def encode_call(call: model.StageCall) -> bytes:
    """Encode a call as a request body."""
    return _ENCODER.encode(
        CallRecord(
            str(call.attempt),
            call.service,
            call.input,
            int(call.deadline_s * 1000),
            call.priority,
            call.resume_from,
            call.prior,
        )
    )


def decode_call(body: bytes) -> CallRecord:
    """Decode a call; raise WireError if it is damaged."""
    try:
        return _CALLS.decode(body)
    except (msgspec.MsgspecError, ValueError) as error:
        raise model.WireError(f'damaged call: {error}') from None


def encode_result(record: ResultRecord) -> bytes:
    """Encode a result record as one line with its line end."""
    return _ENCODER.encode(record) + b'\n'


def decode_result(line: bytes) -> ResultRecord:
    """Decode one line of a result; raise WireError if it is damaged."""
    try:
        return _RESULTS.decode(line)
    except (msgspec.MsgspecError, ValueError) as error:
        raise model.WireError(f'damaged result line: {error}') from None


def encode_order(order: model.RunnerOrder) -> bytes:
    """Encode an order as a request body."""
    return _ENCODER.encode(
        OrderRecord(order.fencing, order.desired.value, order.expires_wall)
    )


def decode_order(body: bytes) -> model.RunnerOrder:
    """Decode an order; raise WireError if it is damaged."""
    try:
        record = msgspec.json.decode(body, type=OrderRecord)
        desired = model.DesiredState(record.wanted)
    except (msgspec.MsgspecError, ValueError) as error:
        raise model.WireError(f'damaged order: {error}') from None
    return model.RunnerOrder(record.fencing, desired, record.expires_wall)


def decode_load(body: bytes) -> model.LoadReport:
    """Decode a load report; raise WireError if it is damaged."""
    try:
        return to_load_report(msgspec.json.decode(body, type=LoadRecord))
    except (msgspec.MsgspecError, ValueError) as error:
        raise model.WireError(f'damaged load report: {error}') from None


def to_load_report(record: LoadRecord) -> model.LoadReport:
    """Return the load report that a record holds."""
    return model.LoadReport(
        record.running,
        record.queued,
        record.slots,
        record.age_s,
        record.draining,
        record.state_version,
        record.loaded,
    )


def to_stage_event(
    attempt: model.AttemptId, record: ResultRecord
) -> (
    model.StageChunk
    | model.StageHeartbeat
    | model.StageEnd
    | model.StageFailed
):
    """Return the event for a result record of the given attempt's call."""
    match record:
        case ResultChunk():
            return model.StageChunk(
                attempt, record.attempt, record.seq, record.data
            )
        case ResultHeartbeat():
            return model.StageHeartbeat(attempt)
        case ResultEnd():
            return model.StageEnd(
                attempt,
                record.attempt,
                record.count,
                record.digest,
                record.busy_s,
                to_load_report(record.load),
            )
        case ResultRefused():
            return _to_refusal_event(attempt, record)
        case ResultError():
            return _to_error_event(attempt, record)


def _to_error_event(
    attempt: model.AttemptId, record: ResultError
) -> model.StageFailed:
    if record.attempt != str(attempt):
        return model.StageFailed(
            attempt, model.CallFailure.PROTOCOL, 'error of another call'
        )
    return model.StageFailed(attempt, model.CallFailure.FAILED, record.reason)


def _to_refusal_event(
    attempt: model.AttemptId, record: ResultRefused
) -> model.StageFailed:
    # A refusal proves that a call was not run only if it names that call.
    if record.attempt != str(attempt):
        return model.StageFailed(
            attempt, model.CallFailure.PROTOCOL, 'refusal of another call'
        )
    draining = record.load.draining
    failure = (
        model.CallFailure.REFUSED if draining else model.CallFailure.OVERLOADED
    )
    return model.StageFailed(
        attempt, failure, record.reason, to_load_report(record.load)
    )
