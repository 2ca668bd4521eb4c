"""Framed thrift over TCP between the system's own hosts."""

from ragwort_peers._peer_links import IncomingFactory
from ragwort_peers._peer_links import PeerLinks

__all__ = [
    'IncomingFactory',
    'PeerLinks',
]
