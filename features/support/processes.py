"""A system of separate processes on loopback."""

from collections.abc import Callable
import http.client
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any
import urllib.error
import urllib.request

import yaml

import ragwort_fakes as fakes

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.05
DOMAINS = ('fd-1', 'fd-2', 'fd-3', 'fd-4')


def free_ports(count: int) -> list[int]:
    """Return loopback ports that nothing listens on now."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(('127.0.0.1', 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def call_http(
    url: str, body: Any = None, timeout_s: float = 10.0
) -> tuple[int, bytes]:
    """Return status and content of a request; body is sent as JSON."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except http.client.HTTPException as error:
        raise ConnectionError(f'the answer broke off: {error!r}') from None


def wait_until(condition: Callable[[], bool], timeout_s: float) -> None:
    """Poll until condition holds; fail after timeout_s."""
    give_up_at = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < give_up_at, 'waited in vain'
        time.sleep(POLL_S)


class ProcessSystem:
    """Platform, runners and nodes, each a process by its settings."""

    def __init__(
        self,
        folder: pathlib.Path,
        node_count: int = 3,
        runners_per_service: int = 2,
        address_ttl: str = '1s',
        generator_chunks: int = 12,
        chunk_interval: str = '2ms',
    ) -> None:
        """Write the settings files into folder."""
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        names = [
            f'{service}-{index + 1}'
            for service in fakes.SERVICES
            for index in range(runners_per_service)
        ]
        ports = free_ports(1 + len(names) + 2 * node_count)
        self.platform = f'127.0.0.1:{ports.pop()}'
        self.runners = {name: f'127.0.0.1:{ports.pop()}' for name in names}
        self.nodes = {
            f'node-{i + 1}': f'127.0.0.1:{ports.pop()}'
            for i in range(node_count)
        }
        self.peers = {name: f'127.0.0.1:{ports.pop()}' for name in self.nodes}
        self._write_runners(generator_chunks, chunk_interval)
        self._write_platform()
        self._write_nodes(address_ttl)

    def _write(self, name: str, documents: list[Any]) -> None:
        text = yaml.safe_dump_all(documents, sort_keys=False)
        (self.folder / name).write_text(text)

    def _write_runners(self, chunks: int, interval: str) -> None:
        documents = []
        for name, address in self.runners.items():
            service = name.rpartition('-')[0]
            kind = fakes.SERVICES[service]['kind']
            document = {
                'kind': 'runner',
                'name': name,
                'service': service,
                'service_kind': kind,
                'listen': address,
                'failure_domain': DOMAINS[0],
                'chunks': chunks,
                'chunk_interval': interval,
                'drain_timeout': '10s',
            }
            documents.append(document)
        self._write('runners.yaml', documents)

    def _write_platform(self) -> None:
        runners: fakes.Objects = {
            name: {
                'service': name.rpartition('-')[0],
                'address': address,
                'failure_domain': DOMAINS[0],
            }
            for name, address in self.runners.items()
        }
        classes = {**fakes.HOULE_CLASSES, **fakes.CAMPBELL_CLASSES}
        workspaces = [*fakes.HOULE_WORKSPACES, *fakes.CAMPBELL_WORKSPACES]
        document = {
            'kind': 'platform',
            'name': 'platform',
            'listen': self.platform,
            'objects': fakes.sample_objects(classes, workspaces, runners),
        }
        self._write('platform.yaml', [document])

    def _write_nodes(self, address_ttl: str) -> None:
        documents = []
        for index, (name, callers) in enumerate(self.nodes.items()):
            document = {
                'kind': 'node',
                'name': name,
                'region': 'local',
                'failure_domain': DOMAINS[index % len(DOMAINS)],
                'callers': callers,
                'peers': self.peers[name],
                'platform': self.platform,
                'seeds': list(self.peers.values()),
                'address_ttl': address_ttl,
            }
            documents.append(document)
        self._write('nodes.yaml', documents)

    def start(self, kind: str, name: str) -> None:
        """Start one process."""
        command = [
            sys.executable,
            '-c',
            'import ragwort_cli; ragwort_cli.main()',
            kind,
            '--settings',
            str(self.folder / f'{kind}s.yaml')
            if kind != 'platform'
            else str(self.folder / 'platform.yaml'),
            '--name',
            name,
        ]
        log = (self.folder / f'{name}.log').open('ab')
        with log:
            self.processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def start_all(self) -> None:
        """Start every process and wait until all nodes serve."""
        self.start('platform', 'platform')
        for name in self.runners:
            self.start('runner', name)
        for name in self.nodes:
            self.start('node', name)
        wait_until(self.is_ready, START_TIMEOUT_S)

    def is_ready(self) -> bool:
        """Tell whether every running node lists every running node."""
        names = {n for n in self.nodes if self.is_running(n)}
        return all(self.listed(name) == names for name in names)

    def is_running(self, name: str) -> bool:
        """Tell whether a started process has not ended."""
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    def listed(self, node: str) -> set[str]:
        """Return the nodes that a node names as entry addresses."""
        try:
            url = f'http://{self.nodes[node]}/v1/addresses'
            _, body = call_http(url, timeout_s=1.0)
            entries = json.loads(body)['addresses']
            return {entry['host'] for entry in entries}
        except (OSError, ValueError):
            return set()

    def status(self, node: str) -> Any:
        """Return a node's status."""
        url = f'http://{self.nodes[node]}/v1/status'
        return json.loads(call_http(url)[1])

    def control(self, name: str, body: dict[str, Any]) -> None:
        """Tell a stand-in to misbehave."""
        address = self.runners.get(name, self.platform)
        status, _ = call_http(f'http://{address}/control', body)
        assert status == 200, status

    def executed(self, service: str) -> list[str]:
        """Return the request keys that a service's runners ran."""
        keys: list[str] = []
        for name, address in self.runners.items():
            if name.rpartition('-')[0] == service and self.is_running(name):
                _, body = call_http(f'http://{address}/control')
                keys += [key for key, _, _ in json.loads(body)['executed']]
        return keys

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this system started."""
        self.processes[name].send_signal(number)

    def wait_exit(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for a process to end and return its exit code."""
        return self.processes[name].wait(timeout_s)

    def log(self, name: str) -> str:
        """Return what a process wrote."""
        return (self.folder / f'{name}.log').read_text()

    def stop(self) -> None:
        """End every process that this system started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)
