"""HTTP client connections to IP numbers, pooled or one by one."""

from ragwort_http._client import HttpClient
from ragwort_http._client import LineReader
from ragwort_http._client import NOT_CONNECTED

__all__ = [
    'HttpClient',
    'LineReader',
    'NOT_CONNECTED',
]
