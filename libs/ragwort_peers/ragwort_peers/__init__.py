"""Framed Thrift messages over TCP between hosts."""

from ragwort_peers._incoming_peer import IncomingPeerFactory
from ragwort_peers._monotonic_reactor import monotonic_reactor
from ragwort_peers._peer_connections import PeerConnections
from ragwort_peers._send_monitor import SendMonitor
from ragwort_peers._send_monitor import SendState
from ragwort_peers._send_monitor import Verdict
from ragwort_peers._socket_options import set_socket_options
from ragwort_peers._tcp_info import read_tcp_info
from ragwort_peers._tcp_info import TcpInfo

__all__ = [
    'IncomingPeerFactory',
    'monotonic_reactor',
    'PeerConnections',
    'read_tcp_info',
    'SendMonitor',
    'SendState',
    'set_socket_options',
    'TcpInfo',
    'Verdict',
]
