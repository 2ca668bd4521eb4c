"""Options of TCP connections."""

import socket
from typing import Any

# A dead peer or network path is detected after about 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
USER_TIMEOUT_MS = 3000


def set_socket_options(transport: Any) -> None:
    """Disable Nagle's algorithm and detect dead peers in seconds."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for option, value in options:
        handle.setsockopt(socket.IPPROTO_TCP, option, value)


def set_user_timeout(transport: Any, timeout_ms: int) -> None:
    """Set for how long sent bytes may go unconfirmed, or a window closed."""
    transport.getHandle().setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
    )
