"""Misleads a host process from inside, as its files say.

Python imports this module by its name at its start; the soak puts its
folder on a host's path. A process can't set the real clock, and a host
listens on the address that its peers know, so that no proxy fits in between.
"""

import os
import pathlib
import random
import socket
import time
from typing import Any
import weakref

_clock_file = pathlib.Path(os.environ['SOAK_CLOCK_FILE'])
_silence_file = pathlib.Path(os.environ['SOAK_SILENCE_FILE'])
_peer_port = int(os.environ['SOAK_PEER_PORT'])
# Interval at which the file about silence is read.
_LOOK_S = 0.05

_real_time = time.time
_real_send = socket.socket.send
_real_recv = socket.socket.recv


def _stepped_time() -> float:
    """Return the time of day, stepped by what a file says in seconds."""
    try:
        return _real_time() + float(_clock_file.read_text())
    except (OSError, ValueError):
        return _real_time()


class _Silence:
    """Which connections to other hosts deliver nothing any more.

    The file holds the number of the last order, the share of the open
    connections that it silences for good, and whether the host is cut off.
    """

    def __init__(self) -> None:
        self.order = 0
        self.share = 0.0
        self.is_cut = False
        self.read_at = 0.0
        # The last order that each connection to a host has heard of, None
        # for any other connection and -1 for a silent one.
        self.heard: weakref.WeakKeyDictionary[Any, int | None] = (
            weakref.WeakKeyDictionary()
        )

    def _read(self) -> None:
        now = time.monotonic()
        if now < self.read_at + _LOOK_S:
            return
        self.read_at = now
        try:
            order, share, is_cut = _silence_file.read_text().split()
        except (OSError, ValueError):
            return
        self.order, self.share = int(order), float(share)
        self.is_cut = is_cut == 'cut'

    def covers(self, connection: socket.socket) -> bool:
        """Tell whether a connection delivers nothing."""
        self._read()
        if connection not in self.heard:
            self.heard[connection] = self._first_order(connection)
        heard = self.heard[connection]
        if heard is None:
            return False
        if self.is_cut:
            heard = -1
        elif 0 <= heard < self.order:
            heard = -1 if random.random() < self.share else self.order
        self.heard[connection] = heard
        return heard == -1

    def _first_order(self, connection: socket.socket) -> int | None:
        try:
            ends = (connection.getsockname(), connection.getpeername())
        except OSError:
            return None
        is_peer = any(end[1:2] == (_peer_port,) for end in ends)
        return self.order if is_peer else None


_silence = _Silence()


def _send(self: socket.socket, data: Any, *flags: int) -> int:
    """Send bytes, or lose them."""
    if _silence.covers(self):
        return len(data)
    return _real_send(self, data, *flags)


def _recv(self: socket.socket, size: int, *flags: int) -> bytes:
    """Receive bytes, or lose them; an end is always noticed."""
    data = _real_recv(self, size, *flags)
    if data and _silence.covers(self):
        raise BlockingIOError
    return data


time.time = _stepped_time
patched: Any = socket.socket
patched.send = _send
patched.recv = _recv
