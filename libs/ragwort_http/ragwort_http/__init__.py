"""HTTP client connections to IP numbers, pooled or one by one."""

from ragwort_http._client import CONNECT_ERRORS
from ragwort_http._client import HttpClient
from ragwort_http._client import LineReader

__all__ = [
    'CONNECT_ERRORS',
    'HttpClient',
    'LineReader',
]
