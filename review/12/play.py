"""A late heartbeat of an ended process meets a host that has started since:
the host passes over what the new process writes."""

import asyncio
import contextlib
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-3'))
import standins  # noqa: E402

EVENTS = 40
EVENT_S = 0.1
CALLERS = 60
LAST_BEAT_S = 0.1
DOWN_S = 0.8
# From the heartbeat whose answer is lost until it is carried out.
LATE_S = 5.9
# From the end of a host's process until it starts again.
RESTART_S = 1.0
MOST_MIXED = 2

ROUTES = [
    {
        'name': 'guide',
        'host': standins.SITE,
        'pathPrefix': '/guide/',
        'kind': 'streaming',
        'timeoutMs': 15000,
        'targetLatencyMs': 1500,
        'priority': 2,
        'service': 'brain',
        'attempts': 2,
        'stages': [],
        'public': False,
        'stickySessions': True,
        'resumeStreams': True,
        'targetGapMs': 400,
    }
]
SERVICES = [
    {'name': 'brain', 'healthPath': '/health', 'connectionLimit': 370}
]


async def ask(record, host, name, seen):
    """Send a stream's request; note the versions that its events show."""
    ip, _, port = host.address('front').partition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        lines = [
            f'POST /guide/{name} HTTP/1.1',
            f'Host: {standins.SITE}',
            f'Request-Id: {name}',
            'Authorization: Bearer key-1',
            'Model: m',
            'Token-Counts: 1460,80',
            f'Prompt-Prefix: 5c1e07a2:800,{abs(hash(name)) % 2**32:x}:250',
            'Deadline-Milliseconds: 15000',
            f'Events: {EVENTS}',
            f'Gap-Ms: {EVENT_S * 1000:.0f}',
            'Needs-Inputs: 0',
            'Content-Length: 0',
        ]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        head = await standins.read_head(reader)
        if head is None or ' 200 ' not in head[0]:
            return head[0] if head else 'closed'
        text = b''
        while True:
            line = await reader.readuntil(b'\r\n')
            size = int(line.split(b';')[0], 16)
            text += await reader.readexactly(size)
            await reader.readexactly(2)
            events = text.decode().split('\n\n')[:-1]
            seen[name] = [event.rpartition(' ')[2] for event in events]
            if not size:
                return f'whole, {len(events)} events'
    except (ConnectionError, asyncio.IncompleteReadError):
        return 'broken off'
    finally:
        writer.close()


async def caller(record, hosts, number, seen, is_over):
    await asyncio.sleep(number * EVENTS * EVENT_S / CALLERS)
    count = 0
    while not is_over.is_set():
        count += 1
        name = f'{number:02x}-{count:04x}'
        host = hosts[(number + count) % len(hosts)]
        with contextlib.suppress(OSError):
            ended = await ask(record, host, name, seen)
            record.say(f'client: {name} at {host.name} ends: {ended}')
        await asyncio.sleep(0.2)


async def replace(record, runner):
    """End a runner and start it again as v2, under its identifier."""
    await asyncio.sleep(LAST_BEAT_S)
    runner.crash()
    await asyncio.sleep(DOWN_S)
    runner.version = 'v2'
    await runner.start()


async def play(record, trouble):
    with standins.deployment() as (folder, ended):
        store = standins.Store()
        await store.server.listen()
        store.put('config', 'main', standins.configuration(ROUTES, SERVICES))
        brains = [
            standins.ModelRunner(store, record, f'i-b{n}', 'brain', slots=64)
            for n in (1, 2, 3)
        ]
        for brain in brains:
            await brain.start()
        hosts = [standins.Host(folder, n, store) for n in (1, 2, 3)]
        ended += hosts
        for host in hosts:
            host.write_settings([h.address('control') for h in hosts])
            host.start()
        for host in hosts:
            await host.until_ready()
        seen, is_over = {}, asyncio.Event()
        callers = [
            asyncio.ensure_future(caller(record, hosts, n, seen, is_over))
            for n in range(CALLERS)
        ]
        await asyncio.sleep(8.0)
        stopped = hosts[0]
        record.say(f'{stopped.name} gets SIGTERM')
        stopped.process.send_signal(signal.SIGTERM)
        while stopped.process.poll() is None:
            await asyncio.sleep(0.05)
        record.say(f'{stopped.name} has ended')
        beat = brains[0].entry()

        async def carry_out():
            await asyncio.sleep(LATE_S)
            record.say(
                f'the store carries out the last heartbeat of i-b1 of before: '
                f'{beat["version"]}, born {beat["born"]}'
            )
            store.put('servers', 'i-b1', beat)

        async def start_host():
            await asyncio.sleep(RESTART_S)
            stopped.start()
            await stopped.until_ready()
            record.say(f'{stopped.name} is ready again')

        if trouble:
            record.say('the answer to a heartbeat of i-b1 is lost')
            late = asyncio.ensure_future(carry_out())
        restart = asyncio.ensure_future(start_host())
        await replace(record, brains[0])
        await restart
        await asyncio.sleep(8.0)
        if trouble:
            await late
        await replace(record, brains[1])
        await asyncio.sleep(2.0)
        await replace(record, brains[2])
        await asyncio.sleep(4.0)
        is_over.set()
        await asyncio.wait(callers, timeout=8.0)
        mixed = {n: v for n, v in seen.items() if len(set(v)) > 1}
        whole = sum(len(v) == EVENTS for v in seen.values())
        for name, versions in mixed.items():
            record.say(f'mixed: {name}: {" ".join(versions)}')
        record.say(
            f'{whole} whole streams; {len(mixed)} hold events of two '
            f'versions, {MOST_MIXED} are allowed'
        )
        if whole < 50:
            raise RuntimeError('too few streams')
        return len(mixed) > MOST_MIXED


standins.run(play, HERE)
