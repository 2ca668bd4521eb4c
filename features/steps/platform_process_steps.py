"""Steps of the process of a host, before it has begun."""

import errno
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

from behave import then
from behave import when

START_S = 30.0
LOOK_S = 0.05
# Ends a host at once; then a module's last object signals its process.
SIGNALLED_AT_END = """
import os, signal, sys
sys.path.insert(0, 'platform')
from unittest import mock
from ragwort_platform import _main

class Last:
    kill, pid = staticmethod(os.kill), os.getpid()
    def __del__(self):
        self.kill(self.pid, signal.{name})

last = Last()
_main._settings = _main.build_host = mock.MagicMock()
_main.peers = mock.MagicMock()
sys.exit(_main.main())
"""


@when('a host that has not read its settings yet gets {name}')
def signal_early(context: Any, name: str) -> None:
    """Signal it while it waits for its settings, which come from a pipe."""
    with tempfile.TemporaryDirectory() as folder:
        pipe = pathlib.Path(folder) / 'settings.yaml'
        os.mkfifo(pipe)
        process = subprocess.Popen(
            [sys.executable, 'platform/serve.py'],
            env=os.environ | {'RAGWORTWORKS_SETTINGS': str(pipe)},
            stderr=subprocess.DEVNULL,
        )
        try:
            writer = _open_once_read(pipe)
            process.send_signal(signal.Signals[name])
            # One that goes on reads settings that are not valid.
            time.sleep(LOOK_S)
            os.close(writer)
            context.status = process.wait(START_S)
        finally:
            process.kill()
            process.wait()


@when('a host that has stopped gets {name} before its process is gone')
def signal_late(context: Any, name: str) -> None:
    """Signal it after the interpreter has restored its own handlers."""
    done = subprocess.run(
        [sys.executable, '-c', SIGNALLED_AT_END.format(name=name)],
        timeout=START_S,
    )
    context.status = done.returncode


def _open_once_read(pipe: pathlib.Path) -> int:
    """Open a pipe for writing once somebody reads it."""
    until = time.monotonic() + START_S
    while True:
        try:
            return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO or time.monotonic() > until:
                raise
            time.sleep(LOOK_S)


@then('it ends with status {status:d}')
def check_status(context: Any, status: int) -> None:
    """Compare the exit status."""
    assert context.status == status, context.status
