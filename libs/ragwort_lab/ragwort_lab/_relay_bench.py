"""Cost of relaying, against a bare relay of the same bytes.

The stand-ins, the relay under test and the callers are three processes,
so that the relay's own processor time can be read.
"""

import dataclasses
import http.client
import json
import logging
import multiprocessing
import resource
import socket
import statistics
import threading
import time
from typing import Any

import structlog
from twisted.internet import protocol
from twisted.internet import reactor as default_reactor

import ragwort_fakes as fakes
import ragwort_model as model
import ragwort_node as node
import ragwort_wire as wire

STREAMS = 128
CHUNKS = 400
CHUNK_MS = 10
LATENCY_REQUESTS = 200
READY_TIMEOUT_S = 15.0
WORKSPACE = 'bench'
GENERATE = 'generate'
LOOKUP = 'lookup'
LOOKUP_STAGES = ('encoder', 'retriever', 'reranker')


@dataclasses.dataclass(frozen=True, slots=True)
class RelayFigures:
    """Processor time of a relay and the chunks that passed through it."""

    chunks: int
    core_s: float
    wall_s: float

    @property
    def core_us_per_chunk(self) -> float:
        """Return microseconds of processor time for one chunk."""
        return self.core_s / self.chunks * 1e6

    @property
    def chunks_per_core_s(self) -> float:
        """Return how many chunks a second one core could carry."""
        return self.chunks / self.core_s


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """Addresses of everything in one run."""

    platform: str
    runners: dict[str, str]
    callers: str
    peers: str
    bare: str


def free_layout() -> Layout:
    """Return loopback addresses that nothing listens on now."""
    names = [GENERATE, *LOOKUP_STAGES]
    sockets = [socket.socket() for _ in range(len(names) + 4)]
    for item in sockets:
        item.bind(('127.0.0.1', 0))
    addresses = [f'127.0.0.1:{s.getsockname()[1]}' for s in sockets]
    for item in sockets:
        item.close()
    runners = {name: addresses.pop() for name in names}
    return Layout(addresses[0], runners, *addresses[1:4])


def _objects(layout: Layout) -> fakes.Objects:
    objects: fakes.Objects = {f'workspace/{WORKSPACE}': {}}
    stages = {GENERATE: [GENERATE], LOOKUP: list(LOOKUP_STAGES)}
    for name, services in stages.items():
        target = {'attainment': 0.9, 'deadline_s': 60.0, 'cost': 1000.0}
        objects[f'pipeline/{name}'] = {'stages': services}
        objects[f'class/{name}'] = {'pipeline': name, 'target': target}
    for name, address in layout.runners.items():
        kind = 'generator' if name == GENERATE else name
        streams = name == GENERATE
        objects[f'service/{name}'] = {'kind': kind, 'streams': streams}
        objects[f'runner/{name}-1'] = {
            'service': name,
            'address': address,
            'failure_domain': 'fd-1',
        }
    return objects


def _serve_stand_ins(layout: Layout) -> None:
    """Run the platform and the runners; never returns."""
    reactor: Any = default_reactor
    platform = model.PlatformSettings(
        kind='platform',
        name='platform',
        listen=layout.platform,
        objects=_objects(layout),
    )
    fakes.PlatformServer(reactor, platform).start()
    for name, address in layout.runners.items():
        kind = 'generator' if name == GENERATE else name
        settings = model.RunnerSettings.model_validate(
            {
                'kind': 'runner',
                'name': f'{name}-1',
                'service': name,
                'service_kind': kind,
                'listen': address,
                'failure_domain': 'fd-1',
                'slots': 4 * STREAMS,
                'service_time': '1ms',
                'chunks': CHUNKS,
                'chunk_interval': f'{CHUNK_MS}ms',
            }
        )
        fakes.RunnerServer(reactor, settings).start()
    reactor.run(installSignalHandlers=False)


def _report_core_time(pipe: Any) -> None:
    """Answer each message on pipe with this process's core seconds."""
    while True:
        pipe.recv()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        pipe.send(usage.ru_utime + usage.ru_stime)


def _serve_node(layout: Layout, pipe: Any) -> None:
    """Run a node; never returns."""
    logging.disable(logging.CRITICAL)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    settings = model.NodeSettings.model_validate(
        {
            'kind': 'node',
            'name': 'node-1',
            'region': 'r-1',
            'failure_domain': 'fd-1',
            'callers': layout.callers,
            'peers': layout.peers,
            'platform': layout.platform,
        }
    )
    reactor: Any = default_reactor
    node.NodeDaemon(reactor, settings).start()
    reporter = threading.Thread(
        target=_report_core_time, args=(pipe,), daemon=True
    )
    reporter.start()
    reactor.run(installSignalHandlers=False)


class _BareOut(protocol.Protocol):
    """The side towards the runner."""

    def __init__(self, other: '_BareIn') -> None:
        self.other = other

    def connectionMade(self) -> None:  # noqa: N802
        self.other.out = self
        self.transport.write(b''.join(self.other.early))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.other.transport.write(data)


class _BareIn(protocol.Protocol):
    """The side towards the caller; copies bytes and reads none."""

    target = ('127.0.0.1', 0)

    def __init__(self) -> None:
        self.out: _BareOut | None = None
        self.early: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        reactor: Any = default_reactor
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda addr: _BareOut(self)
        reactor.connectTCP(*self.target, factory)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.out is None:
            self.early.append(data)
        else:
            self.out.transport.write(data)


def _serve_bare(layout: Layout, pipe: Any) -> None:
    """Run a relay that copies bytes; never returns."""
    reactor: Any = default_reactor
    _BareIn.target = model.split_address(layout.runners[GENERATE])
    factory = protocol.Factory.forProtocol(_BareIn)
    factory.noisy = False
    host, port = model.split_address(layout.bare)
    reactor.listenTCP(port, factory, backlog=512, interface=host)
    reporter = threading.Thread(
        target=_report_core_time, args=(pipe,), daemon=True
    )
    reporter.start()
    reactor.run(installSignalHandlers=False)


def _post(address: str, path: str, body: bytes) -> list[bytes]:
    """Post a body and return the lines of the answer."""
    host, port = model.split_address(address)
    link = http.client.HTTPConnection(host, port, timeout=60)
    link.request('POST', path, body)
    lines = link.getresponse().read().splitlines()
    link.close()
    return lines


def _caller_body(class_of_work: str, text: str) -> bytes:
    return wire.encode_json(
        wire.RequestRecord(
            class_of_work, WORKSPACE, model.new_request_key(), 60_000, text
        )
    )


def _call_body(service: str, text: str) -> bytes:
    attempt = model.AttemptId(text, 0, 1, 'n')
    return wire.encode_call(model.StageCall(attempt, service, text, 60.0, 5))


def _count_chunks(lines: list[bytes]) -> int:
    return sum(b'"chunk"' in line for line in lines)


def _stream_all(address: str, path: str, bodies: list[bytes]) -> int:
    """Read all streams at once and return the number of chunks."""
    counts = [0] * len(bodies)

    def read(index: int) -> None:
        counts[index] = _count_chunks(_post(address, path, bodies[index]))

    threads = [
        threading.Thread(target=read, args=(i,)) for i in range(len(bodies))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(counts)


def _core_s(pipe: Any) -> float:
    pipe.send(None)
    return float(pipe.recv())


def _measure(
    pipe: Any, address: str, path: str, bodies: list[bytes]
) -> RelayFigures:
    core_s = _core_s(pipe)
    began_at = time.perf_counter()
    chunks = _stream_all(address, path, bodies)
    wall_s = time.perf_counter() - began_at
    return RelayFigures(chunks, _core_s(pipe) - core_s, wall_s)


def _wait_ready(layout: Layout) -> None:
    give_up_at = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < give_up_at:
        try:
            host, port = model.split_address(layout.callers)
            link = http.client.HTTPConnection(host, port, timeout=1)
            link.request('GET', '/v1/status')
            if json.loads(link.getresponse().read())['state'] == 'serving':
                return
        except (OSError, ValueError):
            pass
        time.sleep(0.1)
    raise model.RagwortError('the node did not become ready')


def _latencies(call: Any) -> list[float]:
    times: list[float] = []
    for index in range(LATENCY_REQUESTS):
        began_at = time.perf_counter()
        call(index)
        times.append(time.perf_counter() - began_at)
    return sorted(times)


def _direct(layout: Layout, index: int) -> None:
    for service in LOOKUP_STAGES:
        body = _call_body(service, f'lookup {index}')
        _post(layout.runners[service], '/v1/calls', body)


def _percentiles(times: list[float]) -> tuple[float, float]:
    return statistics.median(times), times[int(0.99 * (len(times) - 1))]


def report() -> int:
    """Print the figures of node and bare relay."""
    layout = free_layout()
    context = multiprocessing.get_context('spawn')
    node_pipe, node_end = context.Pipe()
    bare_pipe, bare_end = context.Pipe()
    started = [
        context.Process(target=_serve_stand_ins, args=(layout,)),
        context.Process(target=_serve_node, args=(layout, node_end)),
        context.Process(target=_serve_bare, args=(layout, bare_end)),
    ]
    for process in started:
        process.start()
    try:
        _wait_ready(layout)
        _report_relay(layout, node_pipe, bare_pipe)
        _report_latency(layout)
    finally:
        for process in started:
            process.kill()
    return 0


def _report_relay(layout: Layout, node_pipe: Any, bare_pipe: Any) -> None:
    bodies = [_caller_body(GENERATE, f'warm {i}') for i in range(4)]
    _stream_all(layout.callers, '/v1/requests', bodies)
    bodies = [_caller_body(GENERATE, f'text {i}') for i in range(STREAMS)]
    ours = _measure(node_pipe, layout.callers, '/v1/requests', bodies)
    bodies = [_call_body(GENERATE, f'text {i}') for i in range(STREAMS)]
    bare = _measure(bare_pipe, layout.bare, '/v1/calls', bodies)
    print(f'relay of {STREAMS} streams, a chunk every {CHUNK_MS} ms each')
    print('relay  chunks  core us per chunk  chunks a core could carry per s')
    for name, item in (('node', ours), ('bare', bare)):
        print(
            f'{name:5}  {item.chunks:6d}  {item.core_us_per_chunk:17.1f}  '
            f'{item.chunks_per_core_s:12.0f}'
        )
    ratio = ours.core_us_per_chunk / bare.core_us_per_chunk
    print(f'node to bare relay: {ratio:.2f}')


def _report_latency(layout: Layout) -> None:
    direct = _percentiles(_latencies(lambda i: _direct(layout, i)))
    through = _percentiles(
        _latencies(
            lambda i: _post(
                layout.callers,
                '/v1/requests',
                _caller_body(LOOKUP, f'lookup {i}'),
            )
        )
    )
    print('three stages one after the other, median and 99th in ms')
    print(f'direct  {direct[0] * 1e3:6.2f}  {direct[1] * 1e3:6.2f}')
    print(f'node    {through[0] * 1e3:6.2f}  {through[1] * 1e3:6.2f}')
    added = (through[0] - direct[0]) * 1e3
    print(f'added by the node: {added:.2f} ms in the median')
