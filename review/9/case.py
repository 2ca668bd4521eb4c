"""A stream that lasts longer than those before it meets a leaving host."""

import asyncio
import collections
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import stands  # noqa: E402

TROUBLE = os.environ.get('TROUBLE') != '0'
GRACE_S = 8.0
# Within this time behind the signal a request may be cut that its runner is
# still at work on in the last sixth of the grace.
EXCUSED_S = 3.0
EVENT_S = 0.025
# Events of the usual streams, and of the longest.
USUAL_EVENTS = 40
LONGEST_EVENTS = 190
CALLERS = 12
# Before the signal; and how long the streams last that begin then.
BEFORE_S = 1.0
FIRST_S = 5.2


class Engine(stands.Runner):
    """Streams as many events as the path asks for."""

    def __init__(self, *more, **named):
        super().__init__(*more, **named)
        self.begun = {}
        self.ended = {}

    async def run(self, method, target, headers, reader, writer):
        await stands.read_body(reader, headers)
        request_id = headers['request-id']
        events = int(target.rsplit('/', 1)[1])
        self.begun[request_id] = self.record.now()
        self.record.note(
            f'runner {self.identifier}: runs {request_id}, {events} events'
        )
        writer.write(
            stands.head_bytes(
                'HTTP/1.1 200 OK',
                [
                    *self.plain_headers(headers),
                    ('Response-Seal', f'seal-{request_id}'),
                    ('Content-Type', 'text/event-stream'),
                    ('Transfer-Encoding', 'chunked'),
                ],
            )
        )
        for number in range(1, events + 1):
            await asyncio.sleep(EVENT_S)
            if writer.is_closing():
                self.record.note(
                    f'runner {self.identifier}: {request_id} closed at event '
                    f'{number}'
                )
                return
            event = f'id: {number}\ndata: {request_id} {number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.ended[request_id] = self.record.now()


class Connection:
    """A connection that is kept from one request to the next."""

    def __init__(self, record, host):
        self.record = record
        self.host = host
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.host.ip, self.host.ports['front']
        )

    async def ask(self, request_id, route, events):
        """Return the status, whether the stream came whole, whether the
        connection may be kept."""
        body = b'x' * 300
        headers = [
            ('Host', 'shop.example'),
            ('Request-Id', request_id),
            ('Authorization', 'Bearer key-1'),
            ('Deadline-Milliseconds', 15000),
            ('Content-Length', len(body)),
        ]
        self.record.note(f'client: sends {request_id} to {self.host.name}')
        status, got, is_whole, is_kept = None, 0, False, False
        try:
            self.writer.write(
                stands.head_bytes(f'POST /{route}/{events} HTTP/1.1', headers)
                + body
            )
            head = await stands.read_head(self.reader)
            if head is not None:
                status = int(head[0].split(' ')[1])
                is_kept = head[1].get('connection', '').lower() != 'close'
                if status == 200:
                    while part := await stands.read_chunk(self.reader):
                        got += part.count(b'\n\n')
                else:
                    await stands.read_body(self.reader, head[1])
                is_whole = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.record.note(
            f'client: {request_id}: {status}, {got} events, '
            f'{"whole" if is_whole else "no complete answer"}'
        )
        return status, is_whole, is_kept

    def close(self):
        self.writer.close()


async def play(record, workdir, started):
    store = stands.Store(record)
    await store.start()
    # Neither may be resumed: such streams are treated as unsafe.
    routes = [
        stands.route(
            name, f'/{name}/', 'streaming', 'engine', 15000, 1500,
            resumeStreams=False, targetGapMs=400,
        )
        for name in ('diagnosis', 'guide')
    ]
    await store.put(
        'config', 'main', stands.configuration(7, routes, [{'name': 'engine'}])
    )
    engines = [
        Engine(store, record, 'engine', zone, slots=64)
        for zone in ('north', 'east', 'south')
    ]
    for engine in engines:
        await engine.start()
    hosts = stands.make_hosts(workdir, 2, store)
    for host in hosts:
        host.start()
        started.append(host)
    if not await stands.await_ready(hosts):
        return None
    host = hosts[0]
    connections = [Connection(record, host) for _ in range(CALLERS)]
    for connection in connections:
        await connection.open()

    async def usual(number, connection):
        for count in range(4):
            await connection.ask(
                f'usual-{number}-{count}', 'guide', USUAL_EVENTS
            )

    await asyncio.gather(
        *(usual(number, c) for number, c in enumerate(connections))
    )
    lost, late = [], collections.Counter()
    signalled_at = record.now() + BEFORE_S

    async def talk(number, connection):
        # At work when the signal comes, and whole 4.2 s after it.
        _, _, is_kept = await connection.ask(
            f'first-{number}', 'diagnosis', round(FIRST_S / EVENT_S)
        )
        if not is_kept:
            late['closed behind the first'] += 1
            return
        sent_at = record.now()
        request_id = f'next-{number}'
        status, is_whole, _ = await connection.ask(
            request_id, 'guide', LONGEST_EVENTS
        )
        late[f'{status}, {"whole" if is_whole else "cut"}'] += 1
        ran = any(request_id in engine.begun for engine in engines)
        is_late = sent_at > signalled_at + EXCUSED_S
        if ran and is_late and not is_whole:
            lost.append(request_id)

    async def leave():
        await asyncio.sleep(BEFORE_S)
        if TROUBLE:
            record.note(f'platform: SIGTERM to {host.name}')
            host.send(signal.SIGTERM)

    await asyncio.gather(
        leave(), *(talk(number, c) for number, c in enumerate(connections))
    )
    for connection in connections:
        connection.close()
    record.note(f'requests behind the first ones: {dict(late)}')
    record.note(f'ran and got no complete answer: {len(lost)}: {lost}')
    if not any(engine.ended for engine in engines):
        return None
    return not lost


if __name__ == '__main__':
    sys.exit(stands.run_case(FOLDER, play))
