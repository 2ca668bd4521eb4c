"""HTTP client for IPv4 addresses, with pooled or new connections."""

from ragwort_http._client import BodyTooLargeError
from ragwort_http._client import CONNECT_ERRORS
from ragwort_http._client import HttpClient
from ragwort_http._client import is_first_answer
from ragwort_http._client import LineReader
from ragwort_http._client import MAX_LINE_BYTES
from ragwort_http._client import MAX_REPORT_BYTES
from ragwort_http._client import MAX_STREAM_BYTES
from ragwort_http._client import read_body

__all__ = [
    'BodyTooLargeError',
    'CONNECT_ERRORS',
    'HttpClient',
    'is_first_answer',
    'LineReader',
    'MAX_LINE_BYTES',
    'MAX_REPORT_BYTES',
    'MAX_STREAM_BYTES',
    'read_body',
]
