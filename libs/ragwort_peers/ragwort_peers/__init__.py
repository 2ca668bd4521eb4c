"""Framed Thrift messages over TCP between hosts."""

from ragwort_peers._incoming_peer import IncomingPeerFactory
from ragwort_peers._monotonic_reactor import monotonic_reactor
from ragwort_peers._peer_connections import PeerConnections
from ragwort_peers._socket_options import set_socket_options

__all__ = [
    'IncomingPeerFactory',
    'monotonic_reactor',
    'PeerConnections',
    'set_socket_options',
]
