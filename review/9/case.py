"""Callers send bodies within the limits, and hosts outgrow their memory."""

import asyncio
import collections
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import stands  # noqa: E402

TROUBLE = os.environ.get('TROUBLE') != '0'
MEMORY_MB = 300
BODY_BYTES = 4194304
USUAL_BODY_BYTES = 18000
PART_BYTES = 64 * 1024
# Callers of each host: those with a long body, and those with short requests
# on connections that they keep.
LONG_CALLERS = 52
SHORT_CALLERS = 6
WORK_S = 0.3
BURST_S = 30.0
RESTART_S = 0.5
UPLOAD_S = 2.0


class Desk(stands.Runner):
    """Works on each request for a while and answers it."""

    def __init__(self, *more, **named):
        super().__init__(*more, **named)
        self.runs = collections.Counter()

    async def run(self, method, target, headers, reader, writer):
        body = await stands.read_body(reader, headers)
        request_id = headers['request-id']
        self.runs[request_id] += 1
        self.record.note(
            f'runner {self.identifier}: runs {request_id} ({len(body)} bytes)'
        )
        await asyncio.sleep(WORK_S)
        await stands.answer(
            writer,
            200,
            [
                *self.plain_headers(headers),
                ('Response-Seal', f'seal-{request_id}'),
            ],
            f'{request_id} {len(body)}'.encode(),
        )


def request_head(request_id, length):
    return stands.head_bytes(
        f'POST /ticket/{request_id} HTTP/1.1',
        [
            ('Host', 'shop.example'),
            ('Request-Id', request_id),
            ('Authorization', 'Bearer key-1'),
            ('Deadline-Milliseconds', 10000),
            ('Content-Length', length),
        ],
    )


class Case:
    def __init__(self, record):
        self.record = record
        self.is_over = False
        self.is_burst = False
        self.statuses = collections.Counter()
        # Requests on kept connections that ended without an answer.
        self.unanswered = []
        self.kills = collections.Counter()
        self.peaks = collections.Counter()

    async def send_short(self, host, number):
        """Send unsafe requests, one after the other, on one connection."""
        count = 0
        while not self.is_over:
            try:
                reader, writer = await asyncio.open_connection(
                    host.ip, host.ports['front']
                )
            except OSError:
                await asyncio.sleep(0.2)
                continue
            while not self.is_over:
                count += 1
                request_id = f'short-{host.name}-{number}-{count}'
                status = await self._ask_short(reader, writer, request_id)
                self.statuses[f'short {status}'] += 1
                self.record.note(f'client: {request_id}: {status}')
                if status is None:
                    self.unanswered.append((host.name, request_id, count))
                    break
                await asyncio.sleep(0.05 if status == 200 else 0.5)
            writer.close()

    async def _ask_short(self, reader, writer, request_id):
        try:
            body = b'x' * 600
            writer.write(request_head(request_id, len(body)) + body)
            head = await stands.read_head(reader)
            if head is None:
                return None
            await stands.read_body(reader, head[1])
            return int(head[0].split(' ')[1])
        except (OSError, asyncio.IncompleteReadError):
            return None

    async def send_long(self, host, number, rng):
        """Send requests with a body, each on a connection of its own."""
        count = 0
        while not self.is_over:
            if not self.is_burst:
                await asyncio.sleep(0.1)
                continue
            count += 1
            request_id = f'long-{host.name}-{number}-{count}'
            length = BODY_BYTES if TROUBLE else USUAL_BODY_BYTES
            status = await self._ask_long(host, request_id, length)
            self.statuses[f'long {status}'] += 1
            self.record.note(f'client: {request_id}: {status}')
            await asyncio.sleep(rng.uniform(0.5, 1.0))

    async def _ask_long(self, host, request_id, length):
        writer = None
        try:
            reader, writer = await asyncio.open_connection(
                host.ip, host.ports['front']
            )
            writer.write(request_head(request_id, length))
            parts = -(-length // PART_BYTES)
            for index in range(parts):
                size = min(PART_BYTES, length - index * PART_BYTES)
                writer.write(b'x' * size)
                await writer.drain()
                await asyncio.sleep(UPLOAD_S / parts)
            head = await stands.read_head(reader)
            return None if head is None else int(head[0].split(' ')[1])
        except OSError:
            return None
        finally:
            if writer is not None:
                writer.close()

    async def watch_memory(self, host):
        """Kill a process over its memory, as the platform does, and start it
        again after a short delay."""
        while not self.is_over:
            resident_mb = memory_mb(host)
            if resident_mb > self.peaks[host.name]:
                self.peaks[host.name] = resident_mb
            if resident_mb > MEMORY_MB:
                self.kills[host.name] += 1
                self.record.note(
                    f'platform: {host.name} has {resident_mb:.0f} MB and is '
                    f'killed'
                )
                host.end()
                await asyncio.sleep(RESTART_S)
                host.start()
            await asyncio.sleep(0.02)


def memory_mb(host):
    try:
        status = pathlib.Path(f'/proc/{host.process.pid}/status').read_text()
    except OSError:
        return 0.0
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * 1024 / 1e6
    return 0.0


async def play(record, workdir, started):
    store = stands.Store(record)
    await store.start()
    ticket = stands.route('ticket', '/ticket/', 'unsafe', 'desk', 10000, 1000)
    await store.put(
        'config', 'main', stands.configuration(7, [ticket], [{'name': 'desk'}])
    )
    desks = [
        Desk(store, record, 'desk', zone, slots=64)
        for zone in ('north', 'east', 'south', 'north')
    ]
    for desk in desks:
        await desk.start()
    hosts = stands.make_hosts(workdir, 2, store)
    for host in hosts:
        host.start()
        started.append(host)
    if not await stands.await_ready(hosts):
        return None
    case = Case(record)
    tasks = []
    for host in hosts:
        tasks.append(case.watch_memory(host))
        tasks += [case.send_short(host, n) for n in range(SHORT_CALLERS)]
        tasks += [
            case.send_long(host, n, random.Random(n))
            for n in range(LONG_CALLERS)
        ]
    tasks = [asyncio.create_task(task) for task in tasks]
    await asyncio.sleep(2.0)
    case.is_burst = True
    await asyncio.sleep(BURST_S)
    case.is_burst = False
    case.is_over = True
    await asyncio.wait(tasks, timeout=12.0)
    ran = collections.Counter()
    for desk in desks:
        ran += desk.runs
    lost = [r for _, r, count in case.unanswered if ran[r] and count > 1]
    record.note(f'statuses: {dict(case.statuses)}')
    record.note(f'most memory, MB: {dict(case.peaks)}')
    record.note(f'killed over {MEMORY_MB} MB: {dict(case.kills)}')
    record.note(
        f'requests of kept connections that ran and got no answer: '
        f'{len(lost)}: {" ".join(lost)}'
    )
    if case.statuses['short 200'] < 50:
        return None
    return len(lost) <= 3


if __name__ == '__main__':
    sys.exit(stands.run_case(FOLDER, play))
