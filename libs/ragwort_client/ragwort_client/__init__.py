"""Callers' library: address cache, failover and stream assembly."""

from ragwort_client._client import Answer
from ragwort_client._client import Client

__all__ = [
    'Answer',
    'Client',
]
