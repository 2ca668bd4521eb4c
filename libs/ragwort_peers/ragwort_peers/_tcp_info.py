"""What the kernel tells of a TCP connection."""

import socket
import struct
from typing import Any

import msgspec

# Offsets in the kernel's struct tcp_info, alike on all architectures.
PROBES_OFFSET = 3
UNACKED_OFFSET = 24
LAST_ACK_OFFSET = 56
ACKED_OFFSET = 120
NOTSENT_OFFSET = 144
INFO_BYTES = 148


class TcpInfo(msgspec.Struct, frozen=True):
    """State of what a connection has to send.

    unacked counts segments in flight, probes those probes of a closed window
    that wait for an answer, notsent_bytes what has not been sent once and
    acked_bytes all that the peer has taken. last_ack_s is the age of the
    latest segment that confirmed something.
    """

    unacked: int
    probes: int
    notsent_bytes: int
    acked_bytes: int
    last_ack_s: float

    @property
    def is_all_confirmed(self) -> bool:
        """Tell whether the peer has confirmed everything."""
        return not self.unacked and not self.notsent_bytes

    @property
    def awaits_answer(self) -> bool:
        """Tell whether something was sent that the peer has to confirm."""
        return bool(self.unacked or self.probes)


def read_tcp_info(handle: Any) -> TcpInfo | None:
    """Return the state of a socket, None if the kernel does not tell it."""
    try:
        data = handle.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES
        )
    except OSError:
        return None
    if len(data) < INFO_BYTES or not data[0]:
        return None
    (unacked,) = struct.unpack_from('=I', data, UNACKED_OFFSET)
    (last_ack_ms,) = struct.unpack_from('=I', data, LAST_ACK_OFFSET)
    (notsent_bytes,) = struct.unpack_from('=I', data, NOTSENT_OFFSET)
    (acked_bytes,) = struct.unpack_from('=Q', data, ACKED_OFFSET)
    return TcpInfo(
        unacked,
        data[PROBES_OFFSET],
        notsent_bytes,
        acked_bytes,
        last_ack_ms / 1000.0,
    )
