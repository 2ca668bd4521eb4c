"""Callers read their answers slowly."""

import asyncio
import collections
import os
import pathlib
import signal
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import stands  # noqa: E402

TROUBLE = os.environ.get('TROUBLE') != '0'
# The route's timeout and the callers' deadline.
DEADLINE_MS = 15000
CALLERS = 8
ROUNDS = 2
# The round whose requests are sent right behind a SIGHUP.
HUP_ROUND = 1


class Kind:
    """How a caller reads: so many bytes, then a pause, until all are there.

    buffer_bytes is the size asked for its receive buffer, None for the
    system's own.
    """

    def __init__(self, name, answer_bytes, read_bytes, pause_s, buffer_bytes):
        self.name = name
        self.answer_bytes = answer_bytes
        self.read_bytes = read_bytes
        self.pause_s = pause_s
        self.buffer_bytes = buffer_bytes


KINDS = (
    # 32 KB/s with the system's buffers.
    Kind('large', 300_000, 16 * 1024, 0.5, None),
    # The largest plain answer of the sheets, read by a caller with a small
    # window at 512 bytes a second.
    Kind('small', 4800, 512, 1.0, 2048),
)


class Desk(stands.Runner):
    """Answers with as many bytes as the path asks for."""

    def __init__(self, *more, **named):
        super().__init__(*more, **named)
        self.runs = collections.Counter()

    async def run(self, method, target, headers, reader, writer):
        await stands.read_body(reader, headers)
        request_id = headers['request-id']
        self.runs[request_id] += 1
        self.record.note(f'runner {self.identifier}: runs {request_id}')
        size = int(target.rsplit('/', 1)[1])
        await stands.answer(
            writer,
            200,
            [
                *self.plain_headers(headers),
                ('Response-Seal', f'seal-{request_id}'),
            ],
            b'a' * size,
        )
        self.record.note(f'runner {self.identifier}: answered {request_id}')


class Caller:
    """Sends unsafe requests, one after the other, on a kept connection."""

    def __init__(self, record, host, kind, number):
        self.record = record
        self.host = host
        self.kind = kind
        self.name = f'{kind.name}-{host.name}-{number}'
        self.sock = None
        self.buffer = b''
        # Requests on a kept connection that ended without a whole answer.
        self.unanswered = []
        self.answered = 0

    async def begin(self, index):
        """Connect and send a short request, so that the next one is one of a
        kept connection."""
        self.sock = socket.socket()
        self.sock.setblocking(False)
        if self.kind.buffer_bytes is not None:
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.kind.buffer_bytes
            )
        await asyncio.get_running_loop().sock_connect(
            self.sock, (self.host.ip, self.host.ports['front'])
        )
        self.buffer = b''
        await self._ask(f'{self.name}-{index}-first', 100, False)

    async def go_on(self, index):
        """Send the request whose answer is read slowly."""
        await self._ask(
            f'{self.name}-{index}-slow', self.kind.answer_bytes, TROUBLE
        )
        self.sock.close()

    async def _ask(self, request_id, size, is_slow):
        loop = asyncio.get_running_loop()
        started, got = time.monotonic(), 0
        try:
            await loop.sock_sendall(
                self.sock,
                stands.head_bytes(
                    f'POST /ticket/{size} HTTP/1.1',
                    [
                        ('Host', 'shop.example'),
                        ('Request-Id', request_id),
                        ('Authorization', 'Bearer key-1'),
                        ('Deadline-Milliseconds', DEADLINE_MS),
                        ('Content-Length', 0),
                    ],
                ),
            )
            while b'\r\n\r\n' not in self.buffer:
                await self._read(is_slow)
            head, _, self.buffer = self.buffer.partition(b'\r\n\r\n')
            status = int(head.split(b' ')[1])
            while len(self.buffer) < size and status == 200:
                await self._read(is_slow)
            got, self.buffer = len(self.buffer), b''
            self.answered += 1
            problem = f'{status}, whole'
        except OSError as error:
            got = len(self.buffer)
            problem = f'no whole answer: {type(error).__name__}'
            if is_slow:
                self.unanswered.append(request_id)
        took_s = time.monotonic() - started
        self.record.note(
            f'client: {request_id}: {problem}, {got} of {size} bytes in '
            f'{took_s:.1f} s'
        )

    async def _read(self, is_slow):
        if is_slow:
            await asyncio.sleep(self.kind.pause_s)
        data = await asyncio.get_running_loop().sock_recv(
            self.sock, self.kind.read_bytes
        )
        if not data:
            raise ConnectionResetError('closed')
        self.buffer += data


async def play(record, workdir, started):
    store = stands.Store(record)
    await store.start()
    ticket = stands.route(
        'ticket', '/ticket/', 'unsafe', 'desk', DEADLINE_MS, 400
    )
    await store.put(
        'config', 'main', stands.configuration(7, [ticket], [{'name': 'desk'}])
    )
    desks = [
        Desk(store, record, 'desk', zone, slots=64)
        for zone in ('north', 'east', 'south')
    ]
    for desk in desks:
        await desk.start()
    hosts = stands.make_hosts(workdir, 2, store)
    for host in hosts:
        host.start()
        started.append(host)
    if not await stands.await_ready(hosts):
        return None
    callers = [
        Caller(record, host, kind, number)
        for host in hosts
        for kind in KINDS
        for number in range(CALLERS // 2)
    ]
    for index in range(ROUNDS):
        await asyncio.gather(*(caller.begin(index) for caller in callers))
        if index == HUP_ROUND:
            # Planned work; the settings are the same.
            record.note('platform: SIGHUP to all hosts')
            for host in hosts:
                host.send(signal.SIGHUP)
            await asyncio.sleep(0.2)
        await asyncio.gather(*(caller.go_on(index) for caller in callers))
    ran = collections.Counter()
    for desk in desks:
        ran += desk.runs
    lost = [r for c in callers for r in c.unanswered if ran[r]]
    for kind in KINDS:
        count = sum(r.startswith(kind.name) for r in lost)
        record.note(f'{kind.name}: {count} ran and got no whole answer')
    hup = sum(f'-{HUP_ROUND}-slow' in r for r in lost)
    record.note(f'of these sent within 2 s of a SIGHUP: {hup}')
    twice = [r for r, count in ran.items() if count > 1]
    record.note(f'requests that ran: {len(ran)}, more than once: {twice}')
    if not sum(caller.answered for caller in callers):
        return None
    return len(lost) <= 3 and not hup


if __name__ == '__main__':
    sys.exit(stands.run_case(FOLDER, play))
