"""Codecs of messages to peers, callers, runners and the platform."""

from typing import TYPE_CHECKING

import ragwort_model as model
from ragwort_wire._peer_codec import decode_peer
from ragwort_wire._peer_codec import decode_receipt
from ragwort_wire._peer_codec import encode_peer
from ragwort_wire._peer_codec import encode_receipt
from ragwort_wire._peer_codec import MAX_FRAME_BYTES
from ragwort_wire._peer_codec import PeerFrame
from ragwort_wire._peer_codec import RECEIPT_BYTES
from ragwort_wire._peer_codec import WIRE_VERSION

if TYPE_CHECKING:
    from ragwort_wire._caller_http import AddressesRecord
    from ragwort_wire._caller_http import AnswerRecord
    from ragwort_wire._caller_http import decode_addresses
    from ragwort_wire._caller_http import decode_problem
    from ragwort_wire._caller_http import encode_json
    from ragwort_wire._caller_http import EntryAddressRecord
    from ragwort_wire._caller_http import find_request_key
    from ragwort_wire._caller_http import parse_request
    from ragwort_wire._caller_http import Problem
    from ragwort_wire._caller_http import PROBLEM_TYPE
    from ragwort_wire._caller_http import RequestBody
    from ragwort_wire._caller_http import RequestRecord
    from ragwort_wire._caller_http import STREAM_TYPE
    from ragwort_wire._platform_http import decode_store_result
    from ragwort_wire._platform_http import decode_write
    from ragwort_wire._platform_http import encode_store_result
    from ragwort_wire._platform_http import encode_write
    from ragwort_wire._platform_http import HTTP_CODE_BY_STATUS
    from ragwort_wire._platform_http import HTTP_SERVICE_UNAVAILABLE
    from ragwort_wire._platform_http import WriteRecord
    from ragwort_wire._runner_http import CallRecord
    from ragwort_wire._runner_http import decode_call
    from ragwort_wire._runner_http import decode_load
    from ragwort_wire._runner_http import decode_order
    from ragwort_wire._runner_http import decode_result
    from ragwort_wire._runner_http import encode_call
    from ragwort_wire._runner_http import encode_order
    from ragwort_wire._runner_http import encode_result
    from ragwort_wire._runner_http import LoadRecord
    from ragwort_wire._runner_http import OrderRecord
    from ragwort_wire._runner_http import ResultChunk
    from ragwort_wire._runner_http import ResultEnd
    from ragwort_wire._runner_http import ResultError
    from ragwort_wire._runner_http import ResultHeartbeat
    from ragwort_wire._runner_http import ResultRecord
    from ragwort_wire._runner_http import ResultRefused
    from ragwort_wire._runner_http import to_stage_event
    from ragwort_wire._stream import decode_event
    from ragwort_wire._stream import encode_event

__all__ = [
    'AddressesRecord',
    'AnswerRecord',
    'CallRecord',
    'decode_addresses',
    'decode_call',
    'decode_event',
    'decode_load',
    'decode_order',
    'decode_peer',
    'decode_problem',
    'decode_receipt',
    'decode_result',
    'decode_store_result',
    'decode_write',
    'encode_call',
    'encode_event',
    'encode_json',
    'encode_order',
    'encode_peer',
    'encode_receipt',
    'encode_result',
    'encode_store_result',
    'encode_write',
    'EntryAddressRecord',
    'find_request_key',
    'HTTP_CODE_BY_STATUS',
    'HTTP_SERVICE_UNAVAILABLE',
    'LoadRecord',
    'MAX_FRAME_BYTES',
    'OrderRecord',
    'parse_request',
    'PeerFrame',
    'Problem',
    'PROBLEM_TYPE',
    'RECEIPT_BYTES',
    'RequestBody',
    'RequestRecord',
    'ResultChunk',
    'ResultEnd',
    'ResultError',
    'ResultHeartbeat',
    'ResultRecord',
    'ResultRefused',
    'STREAM_TYPE',
    'to_stage_event',
    'WIRE_VERSION',
    'WriteRecord',
]

if not TYPE_CHECKING:
    __getattr__ = model.late_names(
        __name__,
        __all__,
        ('_caller_http', '_platform_http', '_runner_http', '_stream'),
    )
