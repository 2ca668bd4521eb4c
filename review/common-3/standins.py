"""Stand-ins of the platform, the runners and the clients, on loopback.

Only the standard library is used. Every stand-in follows the users' pages:
where they are silent, it does what a sound one does.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
SITE = 'cases.example'


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, 'w')
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def say(self, text):
        line = f'{self.now():8.3f} s  {text}'
        print(line, flush=True)
        self.file.write(line + '\n')
        self.file.flush()


class Request:
    """One request as it arrived."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self):
        return self.target.partition('?')[0]

    def get(self, name):
        return self.headers.get(name)


async def read_head(reader):
    """Return the first line and the headers of a message, or None."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def until_closed(reader):
    """Return once the other side has closed or reset the connection."""
    with contextlib.suppress(ConnectionError):
        await reader.read(1)


async def read_body(reader, headers):
    """Return a body with a length or in chunks."""
    if headers.get('transfer-encoding') == 'chunked':
        body = b''
        while True:
            line = await reader.readuntil(b'\r\n')
            size = int(line.split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    length = int(headers.get('content-length', '0'))
    return await reader.readexactly(length) if length else b''


class Server:
    """An HTTP server whose connections can be cut at once."""

    def __init__(self, handle):
        self.handle = handle
        self.host = '127.0.0.1'
        self.port = 0
        self.server = None
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    def crash(self):
        """Close the port and reset all connections, as a process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                method, target, _ = line.split(' ', 2)
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body)
                keep = await self.handle(request, reader, writer)
                await writer.drain()
                if not keep:
                    return
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


def answer(writer, status, headers=(), body=b''):
    """Write a whole answer."""
    lines = [f'HTTP/1.1 {status} Said']
    lines += [f'{name}: {value}' for name, value in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    writer.write('\r\n'.join(lines).encode('latin-1') + body)


def answer_json(writer, status, value, headers=()):
    """Write a whole answer with a JSON body."""
    body = json.dumps(value).encode()
    answer(
        writer, status, (('Content-Type', 'application/json'), *headers), body
    )


class Store:
    """The platform's store: objects, lists and watches."""

    def __init__(self):
        self.server = Server(self._on_call)
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    def put(self, kind, name, specification):
        self.revision += 1
        self.objects[kind, name] = (self.revision, specification)
        self._note(kind, name, specification, False)

    def remove(self, kind, name):
        found = self.objects.pop((kind, name), None)
        if found is not None:
            self.revision += 1
            self._note(kind, name, found[1], True)

    def _note(self, kind, name, specification, deleted):
        item = self._object(name, self.revision, specification)
        self.history.append((self.revision, kind, item, deleted))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    @staticmethod
    def _object(name, revision, specification):
        return {
            'metadata': {
                'name': name,
                'revision': revision,
                'created': revision,
                'finalizers': [],
                'deleting': False,
            },
            'specification': specification,
            'status': None,
        }

    async def _on_call(self, request, reader, writer):
        path, _, query = request.target.partition('?')
        kind, _, name = path.removeprefix('/api/objects/').partition('/')
        name = urllib.parse.unquote(name)
        asked = dict(urllib.parse.parse_qsl(query))
        if request.method == 'GET' and 'watch' in asked:
            await self._watch(writer, kind, asked)
        elif request.method == 'GET' and name:
            found = self.objects.get((kind, name))
            if found is None:
                answer_json(writer, 404, {})
            else:
                answer_json(writer, 200, self._object(name, *found))
        elif request.method == 'GET':
            items = [
                self._object(known, *found)
                for (of, known), found in sorted(self.objects.items())
                if of == kind
            ]
            answer_json(
                writer,
                200,
                {
                    'items': items,
                    'hasMore': False,
                    'storeRevision': self.revision,
                },
            )
        else:
            self._write(request, writer, kind, name)
        return True

    async def _watch(self, writer, kind, asked):
        since = int(asked['watch'])
        until = time.monotonic() + int(asked.get('waitMs', '0')) / 1000
        while True:
            changed = self.changed
            events = [
                {'object': item, 'deleted': deleted}
                for revision, of, item, deleted in self.history
                if of == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)
        answer_json(
            writer, 200, {'events': events, 'storeRevision': self.revision}
        )

    def _write(self, request, writer, kind, name):
        if request.method == 'DELETE':
            status = 200 if (kind, name) in self.objects else 404
            self.remove(kind, name)
            answer_json(writer, status, {})
            return
        body = json.loads(request.body)
        metadata = body['metadata']
        name = name or metadata['name']
        found = self.objects.get((kind, name))
        if request.method == 'POST' and found is not None:
            answer_json(writer, 409, self._object(name, *found))
            return
        if request.method == 'PUT' and found is None:
            answer_json(writer, 404, {})
            return
        wanted = metadata.get('revision')
        if request.method == 'PUT' and wanted and wanted != found[0]:
            answer_json(writer, 409, self._object(name, *found))
            return
        if found is None or found[1] != body['specification']:
            self.put(kind, name, body['specification'])
        answer_json(
            writer, 200, self._object(name, *self.objects[kind, name])
        )


class Runner:
    """What all stand-ins of runners share: an entry, a life, answers."""

    def __init__(self, store, record, name, service, zone='z', slots=1):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.running = 0
        self.waiting = 0
        self.born = 0
        self.sequence = 0
        self.is_up = False
        self.state = 'ready'
        self.version = 'v1'
        self.server = Server(self._on_call)

    @property
    def address(self):
        return self.server.address

    async def start(self):
        """Start the process, with nothing of before, and register."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = self.waiting = 0
        await self.server.listen()
        self.is_up = True
        self.record.say(f'runner {self.name} starts, born {self.born}')
        self.register()
        asyncio.ensure_future(self._beat(self.born))

    async def _beat(self, born):
        while self.is_up and self.born == born:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_up and self.born == born:
                self.sequence += 1
                self._write_if_changed()

    def _write_if_changed(self):
        """Write the entry, which changes with more than its sequence."""
        found = self.store.objects.get(('servers', self.name))
        known = {} if found is None else found[1]
        entry = self.entry()
        if known | {'sequence': 0} != entry | {'sequence': 0}:
            self.register()

    def entry(self):
        return {
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

    def register(self):
        self.store.put('servers', self.name, self.entry())

    def crash(self):
        """End the process without a word."""
        self.is_up = False
        self.server.crash()
        self.record.say(f'runner {self.name} crashes')

    def load(self):
        return ('Server-Load', f'{self.running},{self.waiting},{self.slots}')

    def headers(self, request):
        """Return the headers of an answer that bears the runner's seal."""
        return (
            ('Request-Id', request.get('request-id') or ''),
            ('Response-Seal', f'{self.name}.{self.born}'),
            self.load(),
        )

    def not_run(self, request, writer, status, extra=()):
        answer(
            writer,
            status,
            (
                ('Request-Id', request.get('request-id') or ''),
                ('Not-Executed', '1'),
                ('Instance-Id', self.name),
                self.load(),
                *extra,
            ),
        )

    async def _on_call(self, request, reader, writer):
        expected = request.get('expected-instance')
        if expected not in (None, self.name):
            self.not_run(request, writer, 421)
            return True
        if request.path == '/health':
            answer(writer, 200, (('Instance-Id', self.name), self.load()))
            return True
        if request.path == '/api/report':
            answer_json(writer, 200, self.report())
            return True
        return await self.on_request(request, reader, writer)

    def report(self):
        return {
            'stage': 'both',
            'models': [],
            'busy': False,
            'sequence': self.sequence,
            'waiting': self.waiting,
            'running': self.running,
            'freeMb': 18,
            'born': self.born,
        }


class StageRunner(Runner):
    """A runner of a stage service, which keeps results under handles.

    Its handles count from 1 at each start, as do its other counts.
    """

    call_s = 0.15
    piece_s = 0.032

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.results = {}
        self.numbers = itertools.count(1)
        self.by_address = {}

    async def start(self):
        self.results = {}
        self.numbers = itertools.count(1)
        await super().start()

    async def on_request(self, request, reader, writer):
        if request.path == '/api/stage-free':
            for handle in json.loads(request.body)['handles']:
                self.results.pop(handle, None)
            answer_json(writer, 200, {})
            return True
        if self.running + self.waiting >= self.slots + 2:
            self.not_run(request, writer, 503)
            return True
        born = self.born
        items = json.loads(request.body)['items']
        self.waiting += 1
        while self.running >= self.slots and self.born == born:
            await asyncio.sleep(0.005)
        if self.born != born or not self.is_up:
            return False
        self.waiting -= 1
        self.running += 1
        told = []
        for item in items:
            inputs = item.get('inputs') or []
            bad = fetch(self, self.by_address, item['identifier'], inputs)
            told.append((item, bad))
        await asyncio.sleep(self.call_s + self.piece_s * len(items))
        if self.born != born or not self.is_up:
            return False
        self.running -= 1
        found = []
        for item, bad in told:
            if bad:
                found.append({'reason': 'gone'})
                continue
            handle = f'{self.address}/{next(self.numbers):x}'
            self.results[handle] = item['identifier']
            found.append({'handle': handle})
            self.record.say(
                f'runner {self.name} made {handle} for request '
                f'{item["identifier"]}, stage {item["stage"]} piece '
                f'{item["piece"]}'
            )
        answer_json(writer, 200, {'items': found}, (self.load(),))
        return True


# Results that were read for another request than the one they were made for.
FOREIGN = []


def fetch(reader, by_address, request_id, handles):
    """Read inputs at their makers; return True if one is gone."""
    gone = False
    for handle in handles:
        maker = by_address.get(handle.partition('/')[0])
        made_for = None
        if maker is not None and maker.is_up:
            made_for = maker.results.get(handle)
        if made_for is None:
            gone = True
        elif made_for != request_id:
            FOREIGN.append((request_id, handle, made_for))
        reader.record.say(
            f'runner {reader.name} reads {handle} for request {request_id}: '
            + (f'made for {made_for}' if made_for else 'gone')
        )
    return gone


class ModelRunner(Runner):
    """A model runner with slots and a queue, which streams its answers."""

    def __init__(self, *args, queue=8, events=4, gap_s=0.1, **options):
        super().__init__(*args, **options)
        self.queue = queue
        self.events = events
        self.gap_s = gap_s
        self.by_address = {}
        self.turns = itertools.count()
        self.line = []
        self.on_arrival = lambda request: None

    async def on_request(self, request, reader, writer):
        name = request.get('request-id')
        if self.waiting >= self.queue:
            self.not_run(request, writer, 503)
            return True
        self.record.say(f'request {name} reaches {self.name}')
        self.on_arrival(request)
        closed = asyncio.ensure_future(until_closed(reader))
        self.waiting += 1
        turn = next(self.turns)
        self.line.append(turn)
        while self.running >= self.slots or self.line[0] != turn:
            await asyncio.sleep(0.005)
            if closed.done():
                self.line.remove(turn)
                self.waiting -= 1
                self.record.say(
                    f'request {name} leaves the queue of {self.name}: closed'
                )
                return False
        self.line.remove(turn)
        self.waiting -= 1
        inputs = [i for i in (request.get('inputs') or '').split(',') if i]
        if not inputs and request.get('needs-inputs') != '0':
            closed.cancel()
            self.not_run(request, writer, 400)
            return False
        if fetch(self, self.by_address, name, inputs):
            self.not_run(request, writer, 409)
            closed.cancel()
            return False
        self.running += 1
        self.record.say(f'runner {self.name} runs request {name}')
        try:
            return await self._stream(request, name, writer, closed)
        finally:
            self.running -= 1
            closed.cancel()

    async def _stream(self, request, name, writer, closed):
        events = int(request.get('events') or self.events)
        gap_s = float(request.get('gap-ms') or self.gap_s * 1000) / 1000
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{n}: {v}' for n, v in self.headers(request)]
        lines += ['Transfer-Encoding: chunked', '', '']
        last = int(request.get('last-event-id') or '0')
        for number in range(last + 1, events + 1):
            await asyncio.sleep(gap_s)
            if closed.done():
                self.record.say(f'request {name} closed at {self.name}')
                return False
            data = f'id: {number}\ndata: {name} {number} {self.version}\n\n'
            data = data.encode()
            chunk = b'%x\r\n%s\r\n' % (len(data), data)
            if number == last + 1:
                writer.write('\r\n'.join(lines).encode())
            writer.write(chunk)
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.record.say(f'runner {self.name} ended request {name}')
        return False


class PlainRunner(Runner):
    """A runner of a plain service, which answers after some work."""

    def __init__(self, *args, queue=24, work_s=0.09, **options):
        super().__init__(*args, **options)
        self.queue = queue
        self.work_s = work_s
        self.arrivals = []
        # Headers that it adds to all its answers.
        self.notices = ()

    async def on_request(self, request, reader, writer):
        name = request.get('request-id')
        self.arrivals.append((self.record.now(), name))
        if self.waiting >= self.queue:
            self.record.say(f'request {name} reaches {self.name}: full')
            self.not_run(request, writer, 503, self.notices)
            return True
        self.record.say(f'request {name} reaches {self.name}')
        self.waiting += 1
        while self.running >= self.slots:
            await asyncio.sleep(0.005)
        self.waiting -= 1
        self.running += 1
        born = self.born
        await asyncio.sleep(self.work_s)
        if self.born != born or not self.is_up:
            return False
        self.running -= 1
        answer(
            writer,
            200,
            (*self.headers(request), *self.notices),
            f'{name} {request.target}'.encode().ljust(800, b'.'),
        )
        return True


def free_ports(ip, count):
    """Return ports of a loopback number that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((ip, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Host:
    """One entry host: the program and settings of the deploy file."""

    def __init__(self, folder, number, store, options=None):
        self.folder = pathlib.Path(folder)
        self.name = f'front-{number}'
        self.ip = f'127.77.{os.getpid() % 250 + 1}.{number}'
        roles = ('front', 'ready', 'control', 'directory')
        ports = free_ports(self.ip, len(roles) + 1)
        self.hand_over_port = ports.pop()
        self.ports = dict(zip(roles, ports))
        self.store = store
        self.options = options or {}
        self.process = None

    def address(self, role):
        return f'{self.ip}:{self.ports[role]}'

    def write_settings(self, seeds):
        values = {
            'node': self.name,
            'zone': 'z',
            'region': 'r',
            'ipAddress': self.ip,
            'internalPorts.0': str(self.hand_over_port),
            'seeds': json.dumps(seeds),
            'zones': json.dumps({'z': 'r'}),
            'platform.address': self.store.server.address,
            'bounds.graceS': '8',
            'bounds.retryBudgetRatio': '0.2',
            'bounds.retryBudgetSlack': '56',
            'bounds.budgetWindowS': '10',
            'limits.cpuShare': '0.537',
            'limits.cores': '2',
            'limits.linkMbps': '1000.0',
            'limits.memoryMb': '300',
            'contracts': json.dumps(
                [
                    'base',
                    'drain',
                    'config',
                    'cost',
                    'retry',
                    'recover',
                    'engine',
                    'stream',
                    'tenants',
                    'platform',
                    'stages',
                ]
            ),
        }
        values |= {f'listen.{role}': self.address(role) for role in self.ports}
        values |= self.options
        text = (ROOT / 'deploy' / 'host.yaml.template').read_text()
        text = re.sub(
            r'{{#([^}]+)}}\n?(.*?){{/\1}}\n?',
            lambda m: m[2] if m[1] in values else '',
            text,
            flags=re.DOTALL,
        )
        text = re.sub(
            r'{{([^}#/|]+)(?:\|json)?}}', lambda m: values[m[1]], text
        )
        self.settings = self.folder / f'{self.name}.conf'
        self.settings.write_text(text)

    def start(self):
        log = (self.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            [sys.executable, 'platform/serve.py'],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': os.environ.get('HOME', ''),
                'RAGWORTWORKS_SETTINGS': str(self.settings),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            },
        )
        log.close()

    async def until_ready(self, limit_s=30.0):
        host, _, port = self.address('ready').partition(':')
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                status, _, _ = await asyncio.wait_for(
                    call(host, int(port), 'GET', '/api/readiness', {}), 1.0
                )
                if status == 200:
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{self.name} is not ready')

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


async def call(host, port, method, target, headers, body=b''):
    """Return status, headers and body of one request of its own.

    An answer that ends early is told by a status of 0.
    """
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f'{method} {target} HTTP/1.1']
        told = {'Host': SITE, 'Content-Length': str(len(body))} | headers
        lines += [f'{name}: {value}' for name, value in told.items()]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return 0, {}, b''
        status = int(head[0].split(' ')[1])
        try:
            content = await read_body(reader, head[1])
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, head[1], b''
        return status, head[1], content
    finally:
        writer.close()


def configuration(routes, services, keys=('key-1',)):
    """Return an operator's configuration."""
    return {
        'version': 1,
        'routes': routes,
        'services': services,
        'limits': {
            'headerBytes': 16384,
            'bodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'bozi300', 'accessKeys': list(keys)}],
    }


@contextlib.contextmanager
def deployment():
    """Yield a temporary folder and a list of what is ended in the end."""
    ended = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            yield pathlib.Path(folder), ended
        finally:
            for one in ended:
                one.end()


def run(play, folder):
    """Play a case; exit with 1 if the rule was broken, 2 if it couldn't."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.say(f'trouble: {"yes" if trouble else "no"}')
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, trouble), 110.0))
    # Whatever keeps the case from running.
    except BaseException as error:
        record.say(f'could not run: {error!r}')
        sys.exit(2)
    record.say('RULE BROKEN' if broken else 'rule held')
    sys.exit(1 if broken else 0)
