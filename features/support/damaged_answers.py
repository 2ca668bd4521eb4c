"""Servers with real sockets whose answers are early, damaged or cut.

Each takes one request, reads its head alone, answers and ends as named.
"""

import enum
import functools
import socket
import struct
import threading
import time
from typing import Any

from twisted.internet import epollreactor

import ragwort_edge as edge

BUFFER_BYTES = 4096
HELD_BYTES = 400_000_000
TIMEOUT_S = 3.0
# The answer is read before the end comes.
READ_S = 0.2
BODIES = {'a short request': 10, 'a long upload': 3_000_000}
RESET = struct.pack('ii', 1, 0)


class Ending(enum.StrEnum):
    """How a server ends behind its answer."""

    RESET = 'reset'
    CLOSED = 'closed'
    KEPT = 'kept'


def _head(status: str, *headers: str) -> bytes:
    lines = [f'HTTP/1.1 {status} Text', *headers, '', '']
    return '\r\n'.join(lines).encode()


CHUNKED = 'transfer-encoding: chunked'
CLOSE = 'connection: close'
ANSWERS = {
    '200 of no length': _head('200') + b'abc',
    '200 of no length that closes': _head('200', CLOSE) + b'abc',
    '200 of HTTP/1.0': b'HTTP/1.0 200 OK\r\n\r\nabc',
    '200 with its length': _head('200', 'content-length: 3') + b'abc',
    '200 short of its length': _head('200', 'content-length: 9') + b'abc',
    '200 in chunks': _head('200', CHUNKED) + b'3\r\nabc\r\n0\r\n\r\n',
    '200 in chunks without an end': _head('200', CHUNKED) + b'3\r\nabc\r\n',
    '200 of two lengths': _head(
        '200', *('content-length: %d' % n for n in (3, 4))
    )
    + b'abcd',
    '503': _head('503', 'content-length: 0'),
    '413': _head('413', 'content-length: 0'),
    '101': _head('101', 'upgrade: x', 'connection: upgrade') + b'abc',
    '204 with a body': _head('204', 'content-length: 3') + b'abc',
    '304 with a body': _head('304') + b'abc',
    '100 again and again': _head('100') * 20,
    **{
        status: _head(status, 'content-length: 0')
        for status in ('000', '042', '99', '599', '600', '999', '1000')
    },
}


def _serve(listener: socket.socket, answer: bytes, ending: Ending) -> None:
    try:
        sock, _ = listener.accept()
        sock.recv(BUFFER_BYTES)
        sock.sendall(answer)
        time.sleep(READ_S if ending != Ending.KEPT else TIMEOUT_S)
        if ending == Ending.RESET:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        else:
            sock.shutdown(socket.SHUT_WR)
            time.sleep(READ_S)
        sock.close()
    except OSError:
        # The caller has closed before.
        return


@functools.cache
def play_all() -> dict[tuple[str, str, str], str]:
    """Return what each call makes of each answer, all played at once.

    That is the status and body of a whole answer, else the kind of error.
    """
    reactor: Any = epollreactor.EPollReactor()
    client = edge.HttpClient(reactor, edge.HeldBytes(HELD_BYTES))
    ends: dict[tuple[str, str, str], str] = {}
    cases = [
        (answer, ending, body)
        for answer in ANSWERS
        for ending in Ending
        for body in BODIES
    ]

    def note(outcome: Any, case: tuple[str, str, str]) -> None:
        if isinstance(outcome, edge.HttpResponse):
            ends[case] = f'{outcome.status} {outcome.body.decode()}'.strip()
        else:
            ends[case] = str(outcome.value.kind)
        if len(ends) == len(cases):
            reactor.stop()

    for case in cases:
        answer, ending, body = case
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        listener.bind(('127.0.0.1', 0))
        listener.listen(1)
        threading.Thread(
            target=_serve,
            args=(listener, ANSWERS[answer], ending),
            daemon=True,
        ).start()
        request = edge.HttpRequest(
            b'POST', b'/', ((b'host', b'one'),), b'x' * BODIES[body]
        )
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        done = edge.fetch(client, address, request, TIMEOUT_S)
        done.addBoth(note, case)
    reactor.run(installSignalHandlers=False)
    return ends
