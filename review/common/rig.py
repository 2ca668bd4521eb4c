"""A small deployment on loopback: hosts, and stand-ins for all around them.

The hosts are the project's own program, started as deploy/system.toml does.
The store, the runners and the clients are stand-ins that follow the users'
pages: what a page does not tell, they do as sound ones would.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

from common import http

ROOT = pathlib.Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / 'deploy' / 'host.yaml.template'
SITE = 'review.example'
KEY = 'key-of-the-review'
HEARTBEAT_S = 1.2
GRACE_S = 8.0
METRICS_PORT = 9464
HELD, BROKEN, NOT_RUN = 0, 1, 2
numbers = itertools.count(1)


class CannotRunError(Exception):
    """Raise when a case can't be played to its end."""


class Record:
    """What was sent, answered and run, with the time of each."""

    def __init__(self, path):
        self.path = path
        self.began_at = time.monotonic()
        self.lines = []

    def add(self, text):
        """Add a line."""
        at = time.monotonic() - self.began_at
        self.lines.append(f'{at:8.3f} {text}')
        self.path.write_text('\n'.join(self.lines) + '\n')


# The store.


class Store:
    """The platform's store: objects by kind and name, with watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.server = None
        self.address = ''
        self.is_down = False

    def go_down(self):
        """Answer 503 from now on, to open watches too: nothing is done."""
        self.is_down = True
        self.record.add('the store is down: it answers all calls with 503')
        self._wake()

    def come_back(self):
        """Serve again."""
        self.is_down = False
        self.record.add('the store is back')

    async def start(self):
        """Listen on a free port."""
        self.server = await http.serve('127.0.0.1', self.answer)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def put(self, kind, name, specification):
        """Write an object and wake the watches.

        A runner's entry changes when more than its sequence changes.
        """
        known = self.objects.get((kind, name))
        if known is not None and _same(known['specification'], specification):
            return
        self.revision += 1
        item = {
            'metadata': {'name': name, 'revision': self.revision},
            'specification': specification,
        }
        created = known['metadata']['created'] if known else self.revision
        item['metadata']['created'] = created
        self.objects[kind, name] = item
        self._note(kind, item, False)

    async def remove(self, kind, name):
        """Remove an object and wake the watches."""
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._note(kind, item, True)

    def _note(self, kind, item, deleted):
        event = {'object': item, 'deleted': deleted}
        self.history.append((self.revision, kind, event))
        self._wake()

    def _wake(self):
        """Let all open watches look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, message, writer):
        """Answer one call of a host."""
        method, target, _ = message.first.split(' ')
        path, _, query = target.partition('?')
        parts = path.removeprefix('/api/objects/').split('/')
        kind = parts[0]
        name = urllib.parse.unquote(parts[1]) if len(parts) > 1 else ''
        argument = dict(urllib.parse.parse_qsl(query))
        if method == 'GET' and 'watch' in argument:
            status, body = await self._watch(kind, argument)
        elif method == 'GET':
            status, body = self._read(kind, name)
        else:
            body = json.loads(message.body) if message.body else {}
            status, body = await self._write(method, kind, name, body)
        if self.is_down:
            status, body = 503, {}
        headers = [('Content-Type', 'application/json'), ('Store-Era', 1)]
        data = json.dumps(body).encode()
        writer.write(http.response(status, headers, data))
        await writer.drain()

    def _read(self, kind, name):
        if name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        items = [i for (k, _), i in sorted(self.objects.items()) if k == kind]
        return 200, {
            'items': items,
            'storeRevision': self.revision,
            'hasMore': False,
        }

    async def _watch(self, kind, argument):
        since = int(argument['watch'])
        until = time.monotonic() + int(argument.get('waitMs', 0)) / 1000
        while not self.is_down:
            events = [
                event
                for revision, of, event in self.history
                if of == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {
                    'events': events,
                    'storeRevision': self.revision,
                }
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        return 503, {}

    async def _write(self, method, kind, name, body):
        if self.is_down:
            return 503, {}
        metadata = body.get('metadata', {})
        name = name or metadata.get('name', '')
        item = self.objects.get((kind, name))
        expected = metadata.get('revision')
        if method == 'POST' and item is not None:
            return 409, item
        if method != 'POST' and item is None:
            return 404, {}
        if expected is not None and expected != item['metadata']['revision']:
            return 409, item
        if method == 'DELETE':
            await self.remove(kind, name)
            return 200, {}
        await self.put(kind, name, body.get('specification'))
        return 200, self.objects[kind, name]


def _same(old, new):
    """Tell whether two contents differ in no more than a sequence."""
    if not isinstance(old, dict) or not isinstance(new, dict):
        return old == new
    return old | {'sequence': 0} == new | {'sequence': 0}


# The runners.


class Runner:
    """A runner of one service, with slots, that registers in the store.

    plan(message) returns how long a request takes, in seconds, and for a
    stream the number of its events.
    """

    def __init__(self, store, record, service, zone, plan, slots=8,
                 queue=24, version='v1'):
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.plan = plan
        self.slots = slots
        self.queue = queue
        self.waiting = 0
        self.places = asyncio.Semaphore(slots)
        self.identifier = f'i-{random.getrandbits(32):08x}'
        self.state = 'ready'
        self.version = version
        self.connections = set()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.address = ''
        self.server = None
        self.running = 0
        self.ran = []
        self.arrivals = []
        # When the store took the word that this runner leaves.
        self.left_at = None
        self.beat = None

    async def start(self):
        """Listen, register and keep the entry alive."""
        self.server = await http.serve('127.0.0.1', self.answer)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        await self.register()
        self.beat = asyncio.ensure_future(self._keep_alive())

    async def leave(self, serves_on_s):
        """Say draining, serve on for a while, and be gone."""
        self.state = 'draining'
        await self.register()
        self.left_at = time.monotonic()
        self.record.add(f'the store takes that runner {self.identifier} is '
                        'draining')
        await asyncio.sleep(serves_on_s)
        self.beat.cancel()
        await self.store.remove('servers', self.identifier)
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.record.add(f'runner {self.identifier} is gone')

    async def restart(self, version, down_s):
        """End, and start again in place under the same identifier."""
        port = int(self.address.rpartition(':')[2])
        self.record.add(f'runner {self.identifier} ({self.version}) ends')
        self.beat.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        self.version = version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await http.serve('127.0.0.1', self.answer, port)
        self.record.add(f'runner {self.identifier} is back, as {version}')
        await self.register()
        self.beat = asyncio.ensure_future(self._keep_alive())

    async def register(self):
        """Write the entry, if the store takes it."""
        if self.store.is_down:
            return
        self.sequence += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        await self.store.put('servers', self.identifier, entry)

    async def _keep_alive(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    def headers(self, message, seal=True):
        """Return the headers of an answer to a request."""
        found = [('Server-Load', f'{self.running},{self.waiting},{self.slots}')]
        if message.get('request-id'):
            found.append(('Request-Id', message.get('request-id')))
        if seal:
            found.append(('Response-Seal', f'{random.getrandbits(48):x}'))
        return found

    async def answer(self, message, writer):
        """Run one request, or say that it is not run."""
        self.connections.add(writer)
        try:
            return await self._answer(message, writer)
        finally:
            self.connections.discard(writer)

    async def _answer(self, message, writer):
        method, target, _ = message.first.split(' ')
        if target == '/health':
            headers = [('Instance-Id', self.identifier)]
            writer.write(http.response(200, headers))
            return None
        if target == '/api/report':
            report = {'waiting': 0, 'busy': False, 'running': self.running}
            data = json.dumps(report).encode()
            headers = [('Content-Type', 'application/json')]
            writer.write(http.response(200, headers, data))
            return None
        not_run = [*self.headers(message, False), ('Not-Executed', '1')]
        expected = message.get('expected-instance', self.identifier)
        if expected != self.identifier:
            writer.write(http.response(421, not_run))
            return None
        if not message.get('request-id'):
            writer.write(http.response(400, not_run))
            return None
        if self.running >= self.slots and self.waiting >= self.queue:
            writer.write(http.response(503, not_run))
            return None
        self.waiting += 1
        try:
            await self.places.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await self._run(method, target, message, writer)
        finally:
            self.running -= 1
            self.places.release()

    async def _run(self, method, target, message, writer):
        request_id = message.get('request-id')
        self.ran.append((request_id, method, target, message.body))
        self.arrivals.append((request_id, time.monotonic()))
        self.record.add(
            f'runner {self.service} {self.identifier} ({self.version}) begins '
            f'{method} {target} id {request_id} '
            f'body of {len(message.body)} bytes, '
            f'tenant {message.get("tenant")}'
        )
        end = 'is cut off by its caller'
        try:
            work_s, events = self.plan(message)
            if events:
                await self._stream(message, writer, work_s, events)
            else:
                await asyncio.sleep(work_s)
                body = answer_body(request_id, target, message.body)
                headers = self.headers(message)
                writer.write(http.response(200, headers, body))
                await writer.drain()
            end = 'ends'
        finally:
            self.record.add(f'runner {self.service} {end} {request_id}')

    async def _stream(self, message, writer, work_s, events):
        headers = [
            *self.headers(message),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]
        writer.write(http.head(200, headers))
        first = int(message.get('last-event-id') or 0) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(work_s / events)
            event = event_text(
                message.get('request-id'), number, self.version)
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()


def answer_body(request_id, target, body):
    """Return what a runner answers to a request."""
    return f'answer to {request_id} {target} {len(body)}'.encode()


def event_text(request_id, number, version):
    """Return one event of a stream, which shows the software version."""
    return f'id: {number}\ndata: {request_id} {number} {version}\n\n'.encode()


# The operator's configuration.


def route(name, prefix, kind, service, timeout_ms, **more):
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': SITE,
        'pathPrefix': prefix,
        'kind': kind,
        'service': service,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': more.pop('target_ms', 1500),
        'attempts': 1 if kind == 'unsafe' else 2,
        'priority': 0,
        **more,
    }


def configuration(version, routes, services=(), **limits):
    """Return a whole configuration."""
    named = {r['service'] for r in routes}
    return {
        'version': version,
        'routes': routes,
        'services': [{'name': n, 'healthPath': '/health'} for n in named]
        + list(services),
        'tenants': [{'name': 'tenant-a', 'accessKeys': [KEY]}],
        'limits': {
            'headerBytes': 16384,
            'bodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        }
        | limits,
    }


# The hosts.


def free_base():
    """Return the start of loopback numbers that nobody serves on."""
    for _ in range(50):
        base = f'127.{random.randint(2, 250)}.{random.randint(1, 250)}'
        with socket.socket() as probe:
            try:
                probe.bind((f'{base}.1', METRICS_PORT))
            except OSError:
                continue
            return base
    raise CannotRunError('no free loopback number')


def free_ports(ip_number, count):
    """Return ports of a loopback number that are free."""
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(count):
            one = stack.enter_context(socket.socket())
            one.bind((ip_number, 0))
            found.append(one.getsockname()[1])
        return found


def render(template, values):
    """Fill a template in, as the platform does."""

    def section(match):
        return match[2] if match[1] in values else ''

    text = re.sub(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, template,
                  flags=re.DOTALL)

    def value(match):
        name, _, form = match[1].partition('|')
        found = values.get(name, '')
        return json.dumps(found) if form else str(found)

    return re.sub(r'\{\{([\w.|]+)\}\}', value, text)


class Host:
    """One host process."""

    def __init__(self, folder, base, index, ports, seeds, zones, store):
        self.name = f'front-{index}'
        self.zone = zones[index % len(zones)]
        self.ip_number = f'{base}.{index + 1}'
        self.ports = ports
        self.folder = folder
        self.process = None
        self.peak_mb = 0.0
        self.settings = folder / f'{self.name}.conf'
        front, ready, directory, control, inner = ports
        values = {
            'node': self.name,
            'zone': self.zone,
            'region': 'here',
            'zones': {zone: 'here' for zone in zones},
            'listen.front': self.address(front),
            'listen.ready': self.address(ready),
            'listen.directory': self.address(directory),
            'listen.control': self.address(control),
            'ipAddress': self.ip_number,
            'internalPorts.0': inner,
            'seeds': seeds,
            'platform.address': store.address,
            'bounds.graceS': int(GRACE_S),
            'bounds.retryBudgetRatio': 0.2,
            'bounds.retryBudgetSlack': 56,
            'bounds.budgetWindowS': 10,
            'limits.cpuShare': 0.537,
            'limits.cores': 2,
            'limits.linkMbps': 1000.0,
            'limits.memoryMb': 300,
            'contracts': [
                'base', 'drain', 'config', 'cost', 'retry', 'recover',
                'engine', 'stream', 'tenants', 'platform', 'stages',
            ],
        }
        self.settings.write_text(render(TEMPLATE.read_text(), values))

    def address(self, port):
        """Return an address of this host."""
        return f'{self.ip_number}:{port}'

    @property
    def front(self):
        """Return where clients connect."""
        return self.ip_number, self.ports[0]

    async def start(self):
        """Start the program as the deploy file does."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        } | {
            'RAGWORTWORKS_SETTINGS': str(self.settings),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
        }
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3', 'platform/serve.py', cwd=ROOT, env=environment,
                stdout=log, stderr=log,
            )

    def send(self, number):
        """Send a signal to this process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def memory_mb(self):
        """Return the resident memory now, in MB of 1,000,000 bytes."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            path = pathlib.Path(f'/proc/{self.process.pid}/status')
            status = path.read_text()
        except OSError:
            return 0.0
        found = re.search(r'VmRSS:\s+(\d+) kB', status)
        now = int(found[1]) * 1024 / 1e6 if found else 0.0
        self.peak_mb = max(self.peak_mb, now)
        return now

    async def is_ready(self):
        """Tell whether the host answers 200 at its address for that."""
        with contextlib.suppress(OSError, http.Closed, asyncio.TimeoutError):
            answer = await asyncio.wait_for(
                call(
                    (self.ip_number, self.ports[1]),
                    b'GET /api/readiness HTTP/1.1\r\nHost: a\r\n'
                    b'Connection: close\r\n\r\n',
                ),
                1.0,
            )
            return ' 200 ' in answer.first
        return False

    async def end(self):
        """End the process for good."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


async def call(address, data):
    """Send bytes on a new connection and return one whole answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        message = await http.read_head(reader)
        if message is None:
            raise http.Closed('no answer')
        await http.read_body(reader, message)
        return message
    finally:
        writer.close()


class Rig:
    """The whole deployment of one case."""

    def __init__(self, folder, hosts, zones):
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder / 'record.txt')
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store(self.record)
        self.runners = []
        self.host_count = hosts
        self.zones = zones
        self.hosts = []

    async def start(self, config, runners, ready_s=40.0):
        """Start everything; return when all hosts are ready."""
        if not (ROOT / 'target' / 'deps' / 'ragwort_platform').is_dir():
            raise CannotRunError('run bash deploy/build first')
        await self.store.start()
        await self.store.put('config', 'main', config)
        for service, count, plan, slots in runners:
            for index in range(count):
                zone = self.zones[index % len(self.zones)]
                await self.add_runner(service, zone, plan, slots)
        base = free_base()
        ports = free_ports(f'{base}.1', 5)
        seeds = [
            f'{base}.{n + 1}:{ports[3]}' for n in range(min(3, self.host_count))
        ]
        for index in range(self.host_count):
            host = Host(
                self.temporary, base, index, ports, seeds, self.zones,
                self.store,
            )
            self.hosts.append(host)
            await host.start()
        until = time.monotonic() + ready_s
        for host in self.hosts:
            while not await host.is_ready():
                if host.process.returncode is not None:
                    raise CannotRunError(f'{host.name} has ended: '
                                         + self.log(host)[-800:])
                if time.monotonic() > until:
                    raise CannotRunError(f'{host.name} is not ready')
                await asyncio.sleep(0.2)
        await asyncio.sleep(1.5)
        self.record.add(f'{len(self.hosts)} hosts are ready')

    async def add_runner(self, service, zone, plan, slots):
        """Start a runner, which registers."""
        runner = Runner(
            self.store, self.record, service, zone, plan, slots)
        await runner.start()
        self.runners.append(runner)
        return runner

    def log(self, host):
        """Return what a host has logged."""
        path = self.temporary / f'{host.name}.log'
        return path.read_text(errors='replace') if path.exists() else ''

    def ran(self, request_id):
        """Return how often runners began a request."""
        return sum(
            one[0] == request_id
            for runner in self.runners
            for one in runner.ran
        )

    async def stop(self):
        """End all that was started."""
        for host in self.hosts:
            await host.end()
        for runner in self.runners:
            if runner.beat is not None:
                runner.beat.cancel()
            if runner.server is not None:
                runner.server.close()
        if self.store.server is not None:
            self.store.server.close()
        if 'KEEP_LOGS' not in os.environ:
            shutil.rmtree(self.temporary, ignore_errors=True)


def request(method, target, body=b'', request_id=None, deadline_ms=15000,
            **headers):
    """Return an id, the head and the body of a client's request."""
    request_id = request_id or f'{random.getrandbits(48):012x}{next(numbers)}'
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Host: {SITE}',
        f'Request-Id: {request_id}',
        f'Authorization: Bearer {KEY}',
        f'Deadline-Milliseconds: {deadline_ms}',
    ]
    lines += [f'{n.replace("_", "-")}: {v}' for n, v in headers.items()]
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return request_id, ('\r\n'.join(lines) + '\r\n\r\n').encode(), body


def main(folder, play, hosts=3, zones=('north', 'east', 'south'),
         limit_s=115.0):
    """Play a case and exit with 0 (held), 1 (broken) or 2 (can't run).

    play(rig, is_disturbed) returns the breaches that it has seen.
    """
    is_disturbed = os.environ.get('TROUBLE', '1') != '0'

    async def run():
        rig = Rig(folder, hosts, zones)
        try:
            found = await asyncio.wait_for(play(rig, is_disturbed), limit_s)
            for breach in found:
                rig.record.add(f'BROKEN {breach}')
            if not found:
                rig.record.add('the rule held')
            return BROKEN if found else HELD
        except (CannotRunError, asyncio.TimeoutError, OSError) as error:
            rig.record.add(f'the case could not run: {error!r}')
            return NOT_RUN
        finally:
            await rig.stop()

    try:
        code = asyncio.run(run())
    except Exception as error:  # A fault of the case is no breach.
        print(f'the case could not run: {error!r}', file=sys.stderr)
        code = NOT_RUN
    print((pathlib.Path(folder) / 'record.txt').read_text().splitlines()[-1])
    sys.exit(code)
