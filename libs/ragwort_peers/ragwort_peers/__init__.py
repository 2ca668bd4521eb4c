"""Framed thrift over TCP between the system's own hosts."""

from ragwort_peers._peer_links import IncomingFactory
from ragwort_peers._peer_links import PeerLinks
from ragwort_peers._steady_clock import steady_reactor

__all__ = [
    'IncomingFactory',
    'PeerLinks',
    'steady_reactor',
]
