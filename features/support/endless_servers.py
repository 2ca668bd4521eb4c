"""Servers with real sockets that send bytes without end to nodes and callers.

Each play is a process: bodies of requests are sent by the global reactor.
"""

from collections.abc import Iterator
import itertools
import json
import socket
import subprocess
import sys
import threading
import time
from typing import Any

from twisted.internet import defer

import ragwort_client
import ragwort_http as http
import ragwort_model as model
import ragwort_wire as wire

KEY = 'key-1'
DEADLINE_S = 3.0
# Pause between the bytes of a server that is slow for ever.
DRIP_S = 0.3
# Longest play, and the most that a server sends before it gives up.
PLAY_S = 12.0
MAX_SENT_BYTES = 200_000_000
BUFFER_BYTES = 64 * 1024
OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'transfer-encoding: chunked\r\n\r\n'
REFUSED = b'HTTP/1.1 503 Busy\r\ntransfer-encoding: chunked\r\n\r\n'


def _chunked(data: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(data), data)


def _lines() -> Iterator[bytes]:
    yield CHUNKED
    yield _chunked(wire.encode_event(model.Accepted(KEY, 'host-1')) + b'\n')
    for first in itertools.count(0, 50):
        chunks = [model.Chunk(n, 'x' * 1000) for n in range(first, first + 50)]
        yield _chunked(b''.join(wire.encode_event(c) + b'\n' for c in chunks))


def pieces(what: str) -> Iterator[bytes]:
    """Return what a server sends."""
    if what == 'lines':
        return _lines()
    start, again = {
        'a head': (OK, b'x-filler: ' + b'x' * 1000 + b'\r\n'),
        'interim heads': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 50),
        'a line': (CHUNKED, _chunked(b'x' * 50_000)),
        'a line drop by drop': (CHUNKED, _chunked(b'x')),
        'a refusal drop by drop': (REFUSED, _chunked(b'x')),
    }[what]
    return itertools.chain([start], itertools.repeat(again))


class EndlessServer:
    """Sends bytes until the other end closes; tells where it is when asked."""

    def __init__(self, what: str) -> None:
        """Listen on loopback."""
        self.what = what
        self.sent_bytes = 0
        self.listener = socket.socket()
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES
        )
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen(8)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return where the server listens."""
        return f'127.0.0.1:{self.listener.getsockname()[1]}'

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            while data := sock.recv(BUFFER_BYTES):
                if b'/v1/addresses' in data:
                    sock.sendall(self._addresses())
                    continue
                for piece in pieces(self.what):
                    sock.sendall(piece)
                    self.sent_bytes += len(piece)
                    if 'drop by drop' in self.what:
                        time.sleep(DRIP_S)
                    if self.sent_bytes > MAX_SENT_BYTES:
                        return
        except OSError:
            return

    def _addresses(self) -> bytes:
        entry = {
            'host': 'host-1',
            'address': self.address,
            'failure_domain': 'north',
        }
        body = json.dumps(
            {'addresses': [entry], 'ttl_s': 60.0, 'version': 1}
        ).encode()
        return OK + b'content-length: %d\r\n\r\n' % len(body) + body


async def _store_call(reactor: Any, server: EndlessServer) -> None:
    client = http.HttpClient(reactor)
    response = await client.request(b'GET', f'http://{server.address}/')
    await http.read_body(response).addTimeout(DEADLINE_S, reactor)


async def _stage_call(reactor: Any, server: EndlessServer) -> None:
    client = http.HttpClient(reactor)
    url = f'http://{server.address}/v1/calls'
    response = await client.request(b'POST', url, b'{}', fresh=True)
    ended: defer.Deferred[None] = defer.Deferred()
    response.deliverBody(
        http.LineReader(lambda line: None, lambda: ended.callback(None))
    )
    await ended


async def _caller(reactor: Any, server: EndlessServer) -> None:
    client = ragwort_client.Client(reactor, [server.address])
    await client.send('question', 'school', 'text', DEADLINE_S, KEY)


READERS = {
    "node's store call": _store_call,
    "node's stage call": _stage_call,
    'caller of a node': _caller,
}


def play(reader: str, what: str) -> tuple[int, float | None]:
    """Return the bytes that a server sent, and when its reader ended.

    The time is in seconds from the start, None if the reader did not end.
    """
    played = subprocess.run(
        [sys.executable, '-m', 'features.support.endless_servers'],
        input=json.dumps([reader, what]),
        capture_output=True,
        check=True,
        text=True,
    )
    sent_bytes, ended_s = json.loads(played.stdout)
    return sent_bytes, ended_s


def main() -> None:
    """Play what standard input names."""
    from twisted.internet import reactor as global_reactor

    reactor: Any = global_reactor
    reader, what = json.load(sys.stdin)
    server = EndlessServer(what)
    started_at = time.monotonic()
    ended: list[float] = []

    def on_end(_: Any) -> None:
        ended.append(time.monotonic() - started_at)
        reactor.callLater(0.1, reactor.stop)

    def begin() -> None:
        done = defer.Deferred.fromCoroutine(READERS[reader](reactor, server))
        done.addBoth(on_end)

    reactor.callLater(0.0, begin)
    guard = reactor.callLater(PLAY_S, reactor.stop)
    reactor.run()
    if guard.active():
        guard.cancel()
    print(json.dumps([server.sent_bytes, ended[0] if ended else None]))


if __name__ == '__main__':
    main()
