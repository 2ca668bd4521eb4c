"""Framed Thrift messages over TCP between hosts."""

from ragwort_peers._monotonic_reactor import monotonic_reactor
from ragwort_peers._peer_connections import IncomingPeerFactory
from ragwort_peers._peer_connections import PeerConnections

__all__ = [
    'IncomingPeerFactory',
    'monotonic_reactor',
    'PeerConnections',
]
