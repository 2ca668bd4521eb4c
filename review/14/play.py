"""A host starts while the entries of the makers' ended processes and of their
next starts are both listed."""

import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-3'))
import standins  # noqa: E402

# The store's silence, and when the makers end within it and for how long.
SILENT_S = 4.5
CRASH_S = 0.5
DOWN_S = 0.8
# From the begin of the silence until a host is killed; it is back 0.5 s later.
KILL_S = 4.1
KILL_DOWN_S = 0.5
# Three heartbeats of silence; the store counts none while it is away.
LAPSE_S = 3.6
WATCHED_S = 60.0
STAGES = ('roster', 'shelf')
# Identifiers of the makers' starts, as drawn.
NAMES = {
    'roster': (('i-8e60', 'i-c5f3'), ('i-07e9', 'i-236a')),
    'shelf': (('i-b417', 'i-f431'), ('i-48aa', 'i-5d6e')),
}


def route(name, prefix, kind, service, **options):
    return {
        'name': name,
        'host': standins.SITE,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': 8000,
        'targetLatencyMs': 1600,
        'priority': 0,
        'service': service,
        'attempts': 2,
        'stages': [],
        'public': False,
    } | options


ROUTES = [
    route('receipt', '/receipt/', 'safe', 'desk'),
    route(
        'diagnosis',
        '/diagnosis/',
        'streaming',
        'brain',
        stickySessions=True,
        resumeStreams=True,
        targetGapMs=400,
        stages=[
            {'service': 'roster', 'after': [], 'bytes': 8000},
            {'service': 'shelf', 'after': [0], 'bytes': 6000},
        ],
    ),
]
PIECES = {
    'slots': 1,
    'queue': 2,
    'batch': 4,
    'callMs': 150.0,
    'itemMs': 32.0,
    'headroomMb': 18.0,
    'handleS': 4.0,
    'linkMbps': 10000,
}
SERVICES = [
    {'name': name, 'healthPath': '/health', 'connectionLimit': 370}
    | ({'pieces': PIECES} if name in STAGES else {})
    for name in ('brain', 'desk', *STAGES)
]


class Store(standins.Store):
    """A store that is silent for a while; its answers of then are lost."""

    def __init__(self):
        super().__init__()
        self.is_silent = False
        self.outages = 0
        self.back = asyncio.Event()

    async def _on_call(self, request, reader, writer):
        outages = self.outages
        if not self.is_silent:
            if await super()._on_call(request, reader, writer):
                return True
        if self.is_silent or outages != self.outages:
            await self.back.wait()
            writer.transport.abort()
        return False

    async def _watch(self, writer, kind, asked):
        outages = self.outages
        held = Held()
        await super()._watch(held, kind, asked)
        if not self.is_silent and outages == self.outages:
            writer.write(held.data)

    def go(self):
        self.is_silent = True
        self.outages += 1
        self.back.clear()

    def come_back(self):
        self.is_silent = False
        self.back.set()


class Held:
    """Keeps an answer that may be lost."""

    data = b''

    def write(self, data):
        self.data += data


async def ask(record, host, name, kind, counts):
    ip, _, port = host.address('front').partition(':')
    headers = {
        'Request-Id': name,
        'Authorization': 'Bearer key-1',
        'Deadline-Milliseconds': '8000',
    }
    method, body = 'GET', b''
    if kind == 'diagnosis':
        method, body = 'POST', b'x' * 4700
        headers |= {
            'Model': 'm',
            'Token-Counts': '1460,80',
            'Prompt-Prefix': f'5c1e07a2:800,{abs(hash(name)) % 2**32:x}:250',
            'Pieces': '1,2',
            'Piece-Key': f'k{name}',
        }
    status = 'no answer'
    try:
        status, _, _ = await asyncio.wait_for(
            standins.call(ip, int(port), method, f'/{kind}/{name}', headers,
                          body),
            8.0,
        )
    except (OSError, asyncio.TimeoutError):
        pass
    record.say(f'client gets {status} for {name} at {host.name}')
    counts.setdefault(kind, []).append(status == 200)


def owner_of(hosts, service):
    """Return the host that gave work to a service's runners last."""
    found = {}
    for host in hosts:
        log = (host.folder / f'{host.name}.log').read_text().splitlines()
        for line in log:
            if '"stage-call"' in line and f'"service": "{service}"' in line:
                found[json.loads(line)['timestamp']] = host
    return found[max(found)]


async def play(record, trouble):
    with standins.deployment() as (folder, ended):
        store = Store()
        await store.server.listen()
        store.put('config', 'main', standins.configuration(ROUTES, SERVICES))
        brain = standins.ModelRunner(store, record, 'i-b1', 'brain', slots=64)
        brain.gap_s = 0.05
        desk = standins.PlainRunner(store, record, 'i-d1', 'desk', slots=6)
        makers = {
            stage: [
                standins.StageRunner(store, record, name, stage)
                for name in NAMES[stage][0]
            ]
            for stage in STAGES
        }
        every = [m for stage in STAGES for m in makers[stage]]
        for runner in (brain, desk, *every):
            await runner.start()
        by_address = {m.address: m for m in every}
        for runner in (brain, *every):
            runner.by_address = by_address
        hosts = [standins.Host(folder, n, store) for n in (1, 2, 3)]
        ended += hosts
        for host in hosts:
            host.write_settings([h.address('control') for h in hosts])
            host.start()
        for host in hosts:
            await host.until_ready()
        counts, tasks = {}, []
        is_over = asyncio.Event()

        async def clients():
            number = 0
            while not is_over.is_set():
                number += 1
                for kind in ('receipt', 'diagnosis'):
                    host = hosts[number % 3]
                    if host.process.poll() is None:
                        name = f'{kind[0]}-{number}'
                        tasks.append(
                            asyncio.ensure_future(
                                ask(record, host, name, kind, counts)
                            )
                        )
                await asyncio.sleep(0.25)

        sender = asyncio.ensure_future(clients())
        await asyncio.sleep(4.0)
        owner = owner_of(hosts, 'shelf')
        record.say(f'{owner.name} gives work to the runners of shelf')
        if trouble:
            began = record.now()
            store.go()
            record.say('the store is silent')

            async def until(seconds):
                await asyncio.sleep(began + seconds - record.now())

            await until(CRASH_S)
            olds = [m.name for m in every]
            for maker in every:
                maker.crash()
            await until(CRASH_S + DOWN_S)
            for stage in STAGES:
                for maker, name in zip(makers[stage], NAMES[stage][1]):
                    maker.name = name
                    # Its entry is written once the store is back.
                    maker.register = lambda: None
                    await maker.start()
            await until(KILL_S)
            owner.process.kill()
            owner.process.wait()
            record.say(f'{owner.name} is killed')
            await until(SILENT_S)
            store.come_back()
            record.say('the store is back; the makers register')
            for maker in every:
                del maker.register
                maker.register()
            await until(KILL_S + KILL_DOWN_S)
            owner.start()
            record.say(f'{owner.name} starts')

            async def lapse():
                await until(SILENT_S + LAPSE_S - CRASH_S)
                for name in olds:
                    store.remove('servers', name)
                record.say('the entries of the ended processes lapse')

            asyncio.ensure_future(lapse())
        await asyncio.sleep(WATCHED_S)
        is_over.set()
        await sender
        await asyncio.gather(*tasks, return_exceptions=True)
        served = {k: sum(v) / len(v) for k, v in counts.items()}
        total = sum(sum(v) for v in counts.values())
        share = total / sum(len(v) for v in counts.values())
        for kind, part in served.items():
            record.say(f'{kind}: {part:.2f} served, of all {share:.2f}')
        last = counts['diagnosis'][-120:]
        record.say(f'of the last {len(last)} diagnoses {sum(last)} served')
        return served['diagnosis'] < 0.25 * share


standins.run(play, HERE)
