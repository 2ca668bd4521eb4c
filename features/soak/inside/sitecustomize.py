"""Misleads a host process from inside, as its files say.

Python imports this module by its name at its start; the soak puts its
folder on a host's path. A process can't set the real clock, and a host
listens on the address that its peers know, so that no proxy fits in between.
"""

import errno
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
_cut_file = pathlib.Path(os.environ['SOAK_CUT_FILE'])
_store_end = os.environ['SOAK_STORE']
# Interval at which the file about silence is read.
_LOOK_S = 0.05

_real_time = time.time
_real_send = socket.socket.send
_real_recv = socket.socket.recv
_real_connect = socket.socket.connect_ex
# Runners listen on this number, as does the store.
_RUNNERS_IP = '127.0.0.1'


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


class _Cut:
    """What becomes of connections to runners, as a file says.

    The file holds the manner and an address that answers nothing, or nothing
    while the runners are in reach.
    """

    def __init__(self) -> None:
        self.manner = ''
        self.dead_end = ''
        self.read_at = 0.0
        # Connections to runners, and whether the cut has ended each.
        self.runners: weakref.WeakKeyDictionary[Any, bool] = (
            weakref.WeakKeyDictionary()
        )

    def _read(self) -> None:
        now = time.monotonic()
        if now < self.read_at + _LOOK_S:
            return
        self.read_at = now
        try:
            text = _cut_file.read_text()
        except OSError:
            text = ''
        self.manner, _, self.dead_end = text.partition(' ')

    def connect(self, connection: socket.socket, address: Any) -> int:
        """Connect to a runner, or not."""
        self._read()
        if self.manner in ('reset', 'refuse'):
            return errno.ECONNREFUSED
        if self.manner == 'hang':
            name, _, port = self.dead_end.partition(':')
            return _real_connect(connection, (name, int(port)))
        self.runners[connection] = False
        return _real_connect(connection, address)

    def check(self, connection: socket.socket) -> None:
        """Raise what a receiver meets on a connection that is cut."""
        if connection not in self.runners:
            return
        self._read()
        if self.manner in ('reset', 'hang'):
            self.runners[connection] = True
        if not self.runners[connection]:
            return
        if self.manner == 'hang':
            raise BlockingIOError
        raise ConnectionResetError(errno.ECONNRESET, 'cut off')


_cut = _Cut()


def _connect(self: socket.socket, address: Any) -> int:
    """Open a connection; the way to runners may be cut."""
    is_runner = address[0] == _RUNNERS_IP and (
        f'{address[0]}:{address[1]}' != _store_end
    )
    if is_runner:
        return _cut.connect(self, address)
    return _real_connect(self, address)


def _send(self: socket.socket, data: Any, *flags: int) -> int:
    """Send bytes, or lose them."""
    if _silence.covers(self):
        return len(data)
    return _real_send(self, data, *flags)


def _recv(self: socket.socket, size: int, *flags: int) -> bytes:
    """Receive bytes, or lose them; an end is always noticed."""
    data = _real_recv(self, size, *flags)
    _cut.check(self)
    if data and _silence.covers(self):
        raise BlockingIOError
    return data


time.time = _stepped_time
patched: Any = socket.socket
patched.send = _send
patched.recv = _recv
patched.connect_ex = _connect
