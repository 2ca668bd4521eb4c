"""Peers with real sockets and small buffers that read as they are told.

The system's end is served by a reactor of its own, in real time; each peer
has a thread. A peer that is dead takes no segment any more: its socket drops
all that comes, so that nothing is confirmed.
"""

from collections.abc import Callable
import ctypes
import dataclasses
import enum
import functools
import socket
import struct
import threading
import time
from typing import Any

from twisted.internet import epollreactor

import ragwort_edge as edge
import ragwort_relay as relay

BUFFER_BYTES = 4096
# Classic BPF: return 0, which drops a segment. Needs no privileges.
SO_ATTACH_FILTER = 26
BPF_RETURN = 0x06
IDLE_S = 4.0
CALL_S = 14.0
# When answers begin, and time until a peer's window has closed.
ANSWER_S = 0.5
FILL_S = 1.0
# For how long a peer stops.
PAUSE_S = 6.0
# Longest play.
PLAY_S = 25.0
PART_BYTES = 8192
PART_S = 0.1


class _FilterCode(ctypes.Structure):
    _fields_ = (
        ('code', ctypes.c_uint16),
        ('if_true', ctypes.c_uint8),
        ('if_false', ctypes.c_uint8),
        ('value', ctypes.c_uint32),
    )


def swallow(sock: socket.socket) -> None:
    """Drop everything that comes to a socket from now on."""
    code = _FilterCode(BPF_RETURN, 0, 0, 0)
    program = struct.pack('HxxxxxxP', 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


class Reading(enum.StrEnum):
    """How a peer reads."""

    AT_ONCE = 'reads at once'
    SLOWLY = 'reads a little every half second'
    PAUSES = 'stops for 6 s'
    DEAD_IN_FLIGHT = 'dies with bytes in flight'
    DEAD_CLOSED = 'dies with a closed window'
    NEVER = 'never reads'


DEAD = (Reading.DEAD_IN_FLIGHT, Reading.DEAD_CLOSED)


@dataclasses.dataclass
class Result:
    """What became of one connection.

    received are the bytes that the peer read; ended_s is when the system's
    end was gone, from the start of the play.
    """

    received: bytes = b''
    is_reset: bool = False
    is_whole: bool = False
    ended_s: float | None = None
    whole_s: float = 0.0
    died_s: float = 0.0
    # Of a caller's end of its connection.
    port: int | None = None


def _has_body(size: int) -> Callable[[bytes], bool]:
    return lambda data: len(data.partition(b'\r\n\r\n')[2]) >= size


def _is_whole_stream(data: bytes) -> bool:
    return data.endswith(b'0\r\n\r\n')


class Play:
    """All connections of one play."""

    def __init__(self, held: edge.HeldBytes | None = None) -> None:
        """Serve on loopback; a reactor runs until all is over.

        held is the account of what waits for callers.
        """
        self.reactor: Any = epollreactor.EPollReactor()
        self.site = edge.Site(
            self.reactor,
            lambda: relay.CallerLimits(idle_timeout_s=IDLE_S),
            self._on_exchange,
            lambda status: None,
            held,
        )
        self.port = self.reactor.listenTCP(
            0, self.site, interface='127.0.0.1', backlog=512
        )
        self.client = edge.HttpClient(self.reactor)
        self.started_at = time.monotonic()
        self.results: dict[tuple[str, str], Result] = {}
        self.threads: list[threading.Thread] = []
        self.sockets: list[socket.socket] = []
        self.waiting: set[tuple[str, str]] = set()
        self.held_bytes = 0

    @property
    def age_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self.started_at

    def run(self) -> None:
        """Play until all connections are over."""
        self.reactor.callLater(0.1, self._look)
        self.reactor.run(installSignalHandlers=False)
        for sock in self.sockets:
            sock.close()
        for thread in self.threads:
            thread.join(PLAY_S)

    def _look(self) -> None:
        """Note which connections of callers are gone."""
        self.held_bytes = max(self.held_bytes, self.site.held.total)
        ports = {
            connection.transport.getPeer().port
            for connection in self.site.connections
        }
        for key, result in self.results.items():
            is_gone = result.port is not None and result.port not in ports
            if is_gone and result.ended_s is None:
                result.ended_s = self.age_s
        is_over = not self.waiting and not ports
        if self.age_s > PLAY_S or (is_over and not self._alive()):
            self.reactor.stop()
            return
        self.reactor.callLater(0.1, self._look)

    def _alive(self) -> bool:
        return any(thread.is_alive() for thread in self.threads)

    def _spawn(self, target: Callable[..., None], *arguments: Any) -> None:
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        self.threads.append(thread)
        self.reactor.callLater(0.0, thread.start)

    def _read(
        self,
        sock: socket.socket,
        reading: Reading,
        is_whole: Callable[[bytes], bool],
        result: Result,
    ) -> None:
        """Read until the message is whole, or the end."""
        if reading in (Reading.PAUSES, Reading.DEAD_CLOSED):
            time.sleep(PAUSE_S if reading == Reading.PAUSES else FILL_S)
        if reading in DEAD:
            swallow(sock)
            result.died_s = self.age_s
        if reading in (*DEAD, Reading.NEVER):
            return
        try:
            while not is_whole(result.received):
                data = sock.recv(BUFFER_BYTES)
                if not data:
                    return
                result.received += data
                if reading == Reading.SLOWLY:
                    time.sleep(0.5)
        except OSError:
            result.is_reset = True
            return
        result.is_whole = True
        result.whole_s = self.age_s

    # Callers.

    def add_caller(self, what: str, reading: Reading, target: str) -> None:
        """Add a caller that sends one request."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self.sockets.append(sock)
        result = self.results[what, reading] = Result()
        self._spawn(self._call, sock, reading, target, result)

    def _call(
        self,
        sock: socket.socket,
        reading: Reading,
        target: str,
        result: Result,
    ) -> None:
        sock.connect(('127.0.0.1', self.port.getHost().port))
        result.port = sock.getsockname()[1]
        sock.sendall(
            f'GET {target} HTTP/1.1\r\nhost: one.example\r\n\r\n'.encode()
        )
        if reading == Reading.DEAD_IN_FLIGHT:
            time.sleep(0.2)
        is_whole = _is_whole_stream
        if 'stream' not in target:
            is_whole = _has_body(int(target.rsplit('/', 1)[1]))
        self._read(sock, reading, is_whole, result)

    def _on_exchange(self, exchange: edge.Exchange) -> None:
        _, kind, size = exchange.request.target.decode().split('/')
        # Whoever dies early has done so by then.
        self.reactor.callLater(
            ANSWER_S, self._answer, exchange, kind, int(size)
        )

    def _answer(self, exchange: edge.Exchange, kind: str, size: int) -> None:
        if kind == 'stream':
            exchange.start(200, ((b'content-type', b'text/event-stream'),))
            self._write_on(exchange, size)
            return
        headers = ((b'connection', b'close'),) if kind == 'closing' else ()
        exchange.respond(edge.HttpResponse(200, headers, b'a' * size))

    def _write_on(self, exchange: edge.Exchange, left: int) -> None:
        if not left:
            exchange.finish()
            return
        exchange.write(b'a' * PART_BYTES)
        self.reactor.callLater(PART_S, self._write_on, exchange, left - 1)

    # Runners.

    def add_runner(self, what: str, reading: Reading, size: int) -> None:
        """Add a runner that is sent a request with a body of some bytes."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        listener.bind(('127.0.0.1', 0))
        listener.listen(1)
        self.sockets.append(listener)
        result = self.results[what, reading] = Result()
        self.waiting.add((what, reading))
        self._spawn(self._serve, listener, reading, size, result)
        request = edge.HttpRequest(
            b'POST', b'/', ((b'host', b'one'),), b'a' * size
        )
        done = edge.fetch(
            self.client,
            f'127.0.0.1:{listener.getsockname()[1]}',
            request,
            CALL_S,
        )

        def on_end(outcome: Any) -> None:
            result.ended_s = self.age_s
            self.waiting.discard((what, reading))

        done.addBoth(on_end)

    def _serve(
        self,
        listener: socket.socket,
        reading: Reading,
        size: int,
        result: Result,
    ) -> None:
        sock, _ = listener.accept()
        self.sockets.append(sock)
        self._read(sock, reading, _has_body(size), result)
        if result.is_whole:
            sock.sendall(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')


# Targets of callers: for those that read a little at a time, and for others.
ANSWERS = {
    'a plain answer': ('/plain/60000', '/plain/200000'),
    'an answer that fits the kernel': ('/plain/4800', '/plain/4800'),
    'an answer that closes': ('/closing/4800', '/closing/4800'),
    'a stream': ('/stream/6', '/stream/100'),
}
REQUEST = 'a long request'
REQUEST_BYTES = (60_000, 2_000_000)


@functools.cache
def play_all() -> Play:
    """Play each kind of connection with each kind of peer, at once."""
    play = Play()
    for reading in Reading:
        which = 0 if reading == Reading.SLOWLY else 1
        for what, targets in ANSWERS.items():
            play.add_caller(what, reading, targets[which])
        play.add_runner(REQUEST, reading, REQUEST_BYTES[which])
    play.run()
    return play


def play_crowd(slow: int, size: int, quick: int, limit: int) -> Play:
    """Play slow callers of large answers, with quick callers beside them."""
    play = Play(edge.HeldBytes(limit))
    for number in range(slow):
        play.add_caller(f'slow-{number}', Reading.PAUSES, f'/plain/{size}')
    for number in range(quick):
        play.add_caller(f'quick-{number}', Reading.AT_ONCE, '/plain/100')
    play.run()
    return play
