"""HTTP client for IPv4 addresses, with pooled or new connections."""

from ragwort_http._client import CONNECT_ERRORS
from ragwort_http._client import HttpClient
from ragwort_http._client import LineReader

__all__ = [
    'CONNECT_ERRORS',
    'HttpClient',
    'LineReader',
]
