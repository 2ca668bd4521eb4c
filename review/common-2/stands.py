"""Stand-ins of the platform for the cases of the second review.

Standard library only. The store, the runners and the callers live in the
process of the case; the hosts are the project's own program, started with the
command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
# Three heartbeat intervals of silence.
LAPSE_S = 3.6
STORE_ANSWER_S = 0.004


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = (pathlib.Path(folder) / 'record.txt').open('w')
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.file.write(f'{self.now():8.3f} {text}\n')

    def close(self):
        self.file.close()


# HTTP/1.1, as much as the stand-ins need.


async def read_head(reader):
    """Return the first line and the headers in lower case, None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunk(reader):
    """Return one chunk of a body, empty at its end."""
    size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
    data = await reader.readexactly(size)
    await reader.readuntil(b'\r\n')
    return data


async def read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b''.join(parts)
    return await reader.readexactly(int(headers.get('content-length', '0')))


def head_bytes(first, headers):
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


async def answer(writer, status, headers, body=b''):
    headers = [*headers, ('Content-Length', len(body))]
    writer.write(head_bytes(f'HTTP/1.1 {status} X', headers) + body)
    await writer.drain()


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
        )
    writer.transport.abort()


_given = set()


def free_port(ip='127.0.0.1'):
    """Return a port that is free, another one each time."""
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            found = ip, probe.getsockname()[1]
        if found not in _given:
            _given.add(found)
            return found[1]


class Store:
    """The platform's store: objects with revisions, lists and watches.

    While it is silent, nothing is answered and nothing is written, whoever
    calls.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.era = 1
        self.floor = 100
        self.objects = {}
        self.history = []
        self.is_silent = False
        self.changed = asyncio.Condition()
        self.address = f'127.0.0.1:{free_port()}'
        self.server = None

    async def start(self):
        host, port = self.address.split(':')
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def put(self, kind, name, specification):
        """Write an object; return False while the store is silent."""
        if self.is_silent:
            return False
        known = self.objects.get((kind, name))
        if known is not None and known[1] == specification:
            return True
        self.revision += 1
        self.objects[kind, name] = self.revision, specification
        await self._note(kind, name, specification, False)
        return True

    async def remove(self, kind, name):
        if self.is_silent or (kind, name) not in self.objects:
            return
        _, specification = self.objects.pop((kind, name))
        self.revision += 1
        await self._note(kind, name, specification, True)

    async def _note(self, kind, name, specification, is_deleted):
        self.history.append(
            (self.revision, kind, name, specification, is_deleted)
        )
        async with self.changed:
            self.changed.notify_all()

    async def fall_silent(self):
        self.is_silent = True
        self.record.note('store: silent')

    async def speak(self):
        self.is_silent = False
        self.record.note('store: back')
        async with self.changed:
            self.changed.notify_all()

    def _object(self, name, revision, specification):
        return {
            'metadata': {
                'name': name,
                'revision': revision,
                'finalizers': [],
                'deleting': False,
            },
            'specification': specification,
            'status': None,
        }

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                await asyncio.sleep(STORE_ANSWER_S)
                if self.is_silent:
                    # A connection on which an answer is lost is dead.
                    await reader.read()
                    break
                found = await self._call(head[0], body)
                if found is None:
                    await reader.read()
                    break
                await self._answer(writer, *found)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            pass
        finally:
            writer.close()

    async def _answer(self, writer, status, content):
        headers = [('Content-Type', 'application/json')]
        headers.append(('Store-Era', self.era))
        await answer(writer, status, headers, json.dumps(content).encode())

    async def _call(self, first, body):
        method, target, _ = first.split(' ')
        path, _, query = target.partition('?')
        kind, _, name = path.removeprefix('/api/objects/').partition('/')
        name = urllib.parse.unquote(name)
        wanted = dict(urllib.parse.parse_qsl(query))
        if method == 'GET' and 'watch' in wanted:
            wait_s = int(wanted.get('waitMs', '0')) / 1000
            return await self._watch(kind, int(wanted['watch']), wait_s)
        if method == 'GET' and name:
            found = self.objects.get((kind, name))
            if found is None:
                return 404, {}
            return 200, self._object(name, *found)
        if method == 'GET':
            items = [
                self._object(known, *found)
                for (k, known), found in sorted(
                    self.objects.items(), key=lambda item: item[0]
                )
                if k == kind
            ]
            return 200, {
                'items': items,
                'hasMore': False,
                'storeRevision': self.revision,
            }
        return await self._write(method, kind, name, wanted, body)

    async def _write(self, method, kind, name, wanted, body):
        content = json.loads(body) if body else {}
        metadata = content.get('metadata', {})
        name = name or metadata.get('name', '')
        known = self.objects.get((kind, name))
        revision = metadata.get('revision') or wanted.get('revision')
        if method == 'POST' and known is not None:
            return 409, self._object(name, *known)
        if method in ('PUT', 'DELETE') and known is None:
            return 404, {}
        if revision and known is not None and int(revision) != known[0]:
            return 409, self._object(name, *known)
        if method == 'DELETE':
            await self.remove(kind, name)
            return 200, self._object(name, *known)
        await self.put(kind, name, content.get('specification'))
        status = 201 if method == 'POST' else 200
        return status, self._object(name, *self.objects[kind, name])

    async def _watch(self, kind, since, wait_s):
        if not self.floor <= since <= self.revision:
            return 410, {}
        ends_at = time.monotonic() + wait_s
        while not self.is_silent:
            events = [
                {
                    'object': self._object(name, revision, specification),
                    'deleted': is_deleted,
                }
                for revision, k, name, specification, is_deleted in (
                    self.history
                )
                if k == kind and revision > since
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {
                    'events': events,
                    'storeRevision': self.revision,
                }
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left_s)
                except asyncio.TimeoutError:
                    pass
        return None


class Runner:
    """A runner; subclasses say what it does with a request.

    It registers before it serves, if the store takes it, and goes on trying
    with each heartbeat. Its identifier stays over a restart.
    """

    numbers = iter(range(1, 1_000_000))
    # Between two heartbeats; a write that changes nothing is none.
    beat_s = HEARTBEAT_S / 4

    def __init__(self, store, record, service, zone, slots=8, version='1'):
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.version = version
        self.identifier = f'i-{next(self.numbers):06x}'
        self.address = f'127.0.0.1:{free_port()}'
        self.born = 0
        self.is_up = False
        self.state = 'ready'
        self.running = 0
        self.server = None
        self.writers = set()
        self.tasks = []

    async def start(self):
        self.born = int(time.time() * 1000)
        self.is_up = True
        self.running = 0
        self.record.note(
            f'runner {self.identifier}: starts, version {self.version}, '
            f'born {self.born}'
        )
        await self.register()
        host, port = self.address.split(':')
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.tasks.append(asyncio.create_task(self._beat(self.born)))

    async def register(self):
        return await self.store.put(
            'servers',
            self.identifier,
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': self.version,
                'slots': self.slots,
                'state': self.state,
                'coldRemainingMs': 0,
                'sequence': 0,
                'born': self.born,
            },
        )

    async def _beat(self, born):
        while self.is_up and self.born == born:
            await self.register()
            await asyncio.sleep(self.beat_s)

    async def crash(self):
        """End at once: connections are reset, new ones refused."""
        self.record.note(f'runner {self.identifier}: crashes')
        born, self.is_up = self.born, False
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()
        self.tasks.append(asyncio.create_task(self._lapse(born)))

    async def _lapse(self, born):
        await asyncio.sleep(LAPSE_S)
        if self.born == born:
            await self.store.remove('servers', self.identifier)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                await self._on_request(first, headers, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def plain_headers(self, headers):
        return [
            ('Request-Id', headers.get('request-id', '')),
            ('Server-Load', f'{self.running},0,{self.slots}'),
        ]

    async def _on_request(self, first, headers, reader, writer):
        method, target, _ = first.split(' ')
        if target == '/api/report' or target == '/health':
            body = json.dumps(
                {
                    'stage': 'both',
                    'models': [],
                    'busy': False,
                    'sequence': 0,
                    'waiting': 0,
                    'running': self.running,
                    'freeMb': 100,
                    'born': self.born,
                }
            ).encode()
            extra = [('Instance-Id', self.identifier)]
            await answer(writer, 200, extra, body)
            return
        expected = headers.get('expected-instance', self.identifier)
        if expected != self.identifier:
            body = await read_body(reader, headers)
            await answer(
                writer,
                421,
                [*self.plain_headers(headers), ('Not-Executed', '1')],
            )
            return
        if not headers.get('request-id'):
            await read_body(reader, headers)
            await answer(writer, 400, [('Not-Executed', '1')])
            return
        self.running += 1
        try:
            await self.run(method, target, headers, reader, writer)
        finally:
            self.running -= 1

    async def run(self, method, target, headers, reader, writer):
        raise NotImplementedError


class Host:
    """A host process, started as the deploy file does."""

    def __init__(self, folder, name, ip, seeds, store, ports, **settings):
        self.name = name
        self.ip = ip
        self.ports = ports
        self.process = None
        self.folder = folder
        values = {
            'name': name,
            'failure_domain': settings.get('zone', 'north'),
            'region': 'here',
            'regions': {
                'north': 'here', 'east': 'here', 'south': 'here'
            },
            'callers': f'{ip}:{ports["front"]}',
            'readiness': f'{ip}:{ports["ready"]}',
            'directory': f'{ip}:{ports["directory"]}',
            'peers': f'{ip}:{ports["control"]}',
            'hand_over': f'{ip}:{ports["hand_over"]}',
            'seeds': seeds,
            'store': store,
            'grace_s': 8,
            'retries': {'ratio': 0.2, 'slack': 52, 'window_s': 10},
            'limits': {
                'core_share': 0.537,
                'core_speed': 2,
                'link_mbps': 1000.0,
                'memory_mb': 300,
            },
            'contracts': [
                'base', 'drain', 'config', 'cost', 'retry', 'recover',
                'engine', 'stream', 'tenants', 'platform', 'stages',
            ],
        }
        self.settings = pathlib.Path(folder) / f'{name}.yaml'
        # JSON is YAML.
        self.settings.write_text(json.dumps(values, indent=1))

    @property
    def front(self):
        return f'{self.ip}:{self.ports["front"]}'

    def start(self):
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['RAGWORTWORKS_SETTINGS'] = str(self.settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        log = (pathlib.Path(self.folder) / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            ['python3', 'platform/serve.py'],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env=environment,
        )
        log.close()

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.is_running:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None:
            if self.is_running:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()

    async def is_ready(self):
        """Ask as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ports['ready']
            )
        except OSError:
            return False
        try:
            writer.write(
                head_bytes('GET /api/readiness HTTP/1.1', [('Host', self.ip)])
            )
            head = await asyncio.wait_for(read_head(reader), 1.0)
            return head is not None and head[0].split(' ')[1] == '200'
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()


def make_hosts(folder, count, store):
    """Return hosts with loopback numbers and ports that are free."""
    pid = os.getpid()
    base = f'127.{pid % 200 + 20}.{pid // 200 % 250}'
    names = ('front', 'ready', 'directory', 'control', 'hand_over')
    places = []
    for index in range(count):
        ip = f'{base}.{index + 1}'
        places.append((ip, {name: free_port(ip) for name in names}))
    seeds = [f'{ip}:{ports["control"]}' for ip, ports in places[:3]]
    zones = ('north', 'east', 'south')
    return [
        Host(
            folder, f'front-{index}', ip, seeds, store.address, ports,
            zone=zones[index % 3],
        )
        for index, (ip, ports) in enumerate(places)
    ]


async def await_ready(hosts, within_s=30.0):
    """Return whether all hosts are ready in time."""
    ends_at = time.monotonic() + within_s
    while time.monotonic() < ends_at:
        if all([await host.is_ready() for host in hosts]):
            return True
        await asyncio.sleep(0.2)
    return False


def route(name, prefix, kind, service, timeout_ms, target_ms, **more):
    return {
        'name': name,
        'host': 'shop.example',
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': target_ms,
        'priority': 0,
        'attempts': 1 if kind == 'unsafe' else 2,
        'service': service,
        **more,
    }


def configuration(version, routes, services):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'headerBytes': 16384,
            'bodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'shop', 'accessKeys': ['key-1']}],
    }


def run_case(folder, play):
    """Play a case and return its exit status; end all that it started.

    play(record, workdir, hosts_started) returns True if the rule held, False
    if it was broken and None if the case could not run.
    """
    record = Record(folder)
    started = []
    held = None
    with tempfile.TemporaryDirectory(prefix='review-') as workdir:
        try:
            held = asyncio.run(
                asyncio.wait_for(play(record, workdir, started), 115.0)
            )
        except asyncio.TimeoutError:
            record.note('case: did not end in time')
        except Exception as error:  # noqa: BLE001
            record.note(f'case: could not run: {error!r}')
        finally:
            for host in started:
                host.end()
            if os.environ.get('KEEP_LOGS'):
                for path in pathlib.Path(workdir).glob('*.log'):
                    target = pathlib.Path(os.environ['KEEP_LOGS'])
                    (target / path.name).write_bytes(path.read_bytes())
    word = {True: 'held', False: 'broken', None: 'could not run'}[held]
    record.note(f'result: {word}')
    record.close()
    print(word)
    return {True: 0, False: 1, None: 2}[held]
