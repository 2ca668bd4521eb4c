"""Real host processes of the system, each with a loopback number."""

import json
import os
import pathlib
import signal
import subprocess
import sys
from typing import Any

import yaml

from features.soak import proxy
from features.support import templates

ROOT = pathlib.Path(__file__).parents[2]
TEMPLATE = ROOT / 'deploy' / 'host.yaml.template'
INSIDE_FOLDER = pathlib.Path(__file__).parent / 'inside'
PORTS = {'front': 18081, 'ready': 18082, 'directory': 18083, 'control': 18084}
HAND_OVER_PORT = 18085
GRACE_S = 8
RETRY_RATIO = 0.2
RETRY_SLACK = 50
RETRY_WINDOW_S = 10
EVACUATION_MS = 5000


class HostProcess:
    """One host; its callers come through a proxy."""

    def __init__(
        self,
        reactor: Any,
        folder: pathlib.Path,
        index: int,
        base: str,
        zone: str,
        seeds: list[str],
        store_address: str,
    ) -> None:
        """Write the settings; nothing runs yet."""
        self.name = f'host-{index}'
        self.ip_number = f'{base}.{index + 1}'
        self.zone = zone
        self.folder = folder
        self.clock_file = folder / f'{self.name}.clock'
        self.silence_file = folder / f'{self.name}.silence'
        self.cut_file = folder / f'{self.name}.cut'
        self.silence_orders = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.reactor = reactor
        self.starts: list[float] = []
        self.is_paused = False
        self.is_leaving = False
        self.store = proxy.FaultProxy(reactor, store_address)
        self.front = proxy.FaultProxy(reactor, self.address('front'))
        self._write_settings(seeds)

    def address(self, role: str) -> str:
        """Return the address on which a role is served."""
        return f'{self.ip_number}:{PORTS[role]}'

    def _write_settings(self, seeds: list[str]) -> None:
        values = {
            'node': self.name,
            'zone': self.zone,
            'region': 'here',
            'ipAddress': self.ip_number,
            'internalPorts.0': str(HAND_OVER_PORT),
            'seeds|json': json.dumps(seeds),
            'platform.address': self.store.address,
            'bounds.graceS': str(GRACE_S),
            'bounds.retryBudgetRatio': str(RETRY_RATIO),
            'bounds.retryBudgetSlack': str(RETRY_SLACK),
            'bounds.budgetWindowS': str(RETRY_WINDOW_S),
            'bounds.evacuationMs': str(EVACUATION_MS),
            'limits.cpuShare': '1.0',
            'limits.cores': '1',
            'limits.linkMbps': '1000.0',
            'limits.memoryMb': '200',
            'zones|json': json.dumps({self.zone: 'here'}),
            'contracts|json': json.dumps([]),
        }
        values |= {f'listen.{role}': self.address(role) for role in PORTS}
        text = templates.render(TEMPLATE.read_text(), values)
        yaml.safe_load(text)
        self.settings.write_text(text)

    @property
    def settings(self) -> pathlib.Path:
        """Return the path of the settings file."""
        return self.folder / f'{self.name}.yaml'

    def start(self) -> None:
        """Start the program as the deploy file does."""
        environment = os.environ | {
            'RAGWORTWORKS_SETTINGS': str(self.settings),
            'SOAK_CLOCK_FILE': str(self.clock_file),
            'SOAK_SILENCE_FILE': str(self.silence_file),
            'SOAK_PEER_PORT': str(PORTS['control']),
            'SOAK_CUT_FILE': str(self.cut_file),
            'SOAK_STORE': self.store.address,
            'PYTHONPATH': f'{ROOT / "platform"}:{INSIDE_FOLDER}',
        }
        self.is_paused = self.is_leaving = False
        self.starts.append(self.reactor.seconds())
        log = (self.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            [sys.executable, str(ROOT / 'platform' / 'serve.py')],
            stdout=log,
            stderr=log,
            env=environment,
        )
        log.close()

    @property
    def is_running(self) -> bool:
        """Tell whether the process lives."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: int) -> None:
        """Send a signal to this process alone."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    def pause(self) -> None:
        """Stop the process until it is resumed."""
        self.is_paused = True
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Go on after a pause."""
        self.is_paused = False
        self.send(signal.SIGCONT)

    def step_clock(self, seconds: float) -> None:
        """Step the time of day that the process sees."""
        self.clock_file.write_text(str(seconds))

    def silence_peers(self, share: float, is_cut: bool = False) -> None:
        """Silence a share of the open connections to other hosts for good.

        While the host is cut off, all connections are silenced.
        """
        self.silence_orders += 1
        mode = 'cut' if is_cut else 'open'
        text = f'{self.silence_orders} {share} {mode}'
        temporary = self.silence_file.with_suffix('.new')
        temporary.write_text(text)
        temporary.replace(self.silence_file)

    def cut_off(self, manner: str, dead_end: str) -> None:
        """Cut the host off from all runners; an empty manner heals that."""
        text = f'{manner} {dead_end}' if manner else ''
        temporary = self.cut_file.with_suffix('.new')
        temporary.write_text(text)
        temporary.replace(self.cut_file)

    def end(self) -> None:
        """End the process for good and reap it."""
        if self.process is not None:
            self.resume()
            self.process.kill()
            self.process.wait()
        self.store.close()
        self.front.close()
