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
