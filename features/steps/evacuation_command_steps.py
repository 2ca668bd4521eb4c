"""Steps of the evacuation commands against the platform's store."""

from http import server
import itertools
import json
import subprocess
import threading
from typing import Any
import urllib.request

from behave import given
from behave import then
from behave import when

from features.steps import operator_steps

PATH = '/api/objects/'


class _StoreHandler(server.BaseHTTPRequestHandler):
    """Serves one kind of objects; some answers get lost."""

    def do_POST(self) -> None:
        """Create an object."""
        size = int(self.headers['content-length'])
        body = json.loads(self.rfile.read(size))
        name = f'{self.path.removeprefix(PATH)}/{body["metadata"]["name"]}'
        if self._is_busy():
            return
        objects = self.server.objects
        status = 409 if name in objects else 201
        objects[name] = body['specification']
        self._answer(status, {})

    def do_DELETE(self) -> None:
        """Delete an object."""
        if self._is_busy():
            return
        name = self.path.removeprefix(PATH)
        found = self.server.objects.pop(name, None)
        self._answer(404 if found is None else 200, {})

    def do_GET(self) -> None:
        """List the objects of a kind."""
        if self._is_busy():
            return
        kind = self.path.removeprefix(PATH)
        items = [
            {'metadata': {'name': name.partition('/')[2], 'revision': 7}}
            for name in self.server.objects
            if name.startswith(f'{kind}/')
        ]
        self._answer(200, {'items': items, 'storeRevision': 9})

    def _is_busy(self) -> bool:
        """Answer every other request with 503, if the store is busy."""
        is_busy = self.server.fault.startswith('is busy') and (
            next(self.server.numbers) % 2 == 0
        )
        if is_busy:
            self._answer(503, {})
        return is_busy

    def _answer(self, status: int, body: Any) -> None:
        """Answer, or close the connection in place of it."""
        if self.server.fault.startswith('loses') and (
            next(self.server.numbers) % 2 == 0
        ):
            self.close_connection = True
            return
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header('content-length', str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *arguments: Any) -> None:
        """Write no log."""


@given('a store of the platform that {fault}')
def start_store(context: Any, fault: str) -> None:
    """Serve the store from a thread until the scenario ends."""
    serving = server.ThreadingHTTPServer(('127.0.0.1', 0), _StoreHandler)
    serving.objects, serving.fault = {}, fault
    serving.numbers = itertools.count()
    threading.Thread(target=serving.serve_forever, daemon=True).start()
    context.store = serving
    context.add_cleanup(serving.server_close)
    context.add_cleanup(serving.shutdown)


def _run(context: Any, line: str) -> subprocess.CompletedProcess[str]:
    """Run a command through the adapter."""
    return subprocess.run(
        [
            *operator_steps.COMMAND,
            *line.split(),
            *('--adapter', 'ragwort_platform'),
            *('--platform', f'127.0.0.1:{context.store.server_port}'),
        ],
        env={'PATH': '/usr/bin:/bin', 'PYTHONPATH': 'platform'},
        capture_output=True,
        text=True,
        timeout=operator_steps.TIMEOUT_S,
        check=False,
    )


@when('an operator evacuates "{domain}" through the adapter')
def start(context: Any, domain: str) -> None:
    """Start an evacuation."""
    context.done = _run(context, f'evacuation start {domain}')


@when('an operator ends the evacuation of "{domain}" through the adapter')
def end(context: Any, domain: str) -> None:
    """End an evacuation."""
    context.done = _run(context, f'evacuation end {domain}')


@then('the command ends well and the store holds "{name}"')
def check_held(context: Any, name: str) -> None:
    """Compare exit code and objects."""
    assert context.done.returncode == 0, context.done
    assert list(context.store.objects) == [name], context.store.objects


@then('the command ends well and the store holds nothing')
def check_empty(context: Any) -> None:
    """Compare exit code and objects."""
    assert context.done.returncode == 0, context.done
    assert not context.store.objects, context.store.objects


@then('a list through the adapter names "{domain}"')
def check_list(context: Any, domain: str) -> None:
    """Read the list as JSON."""
    done = _run(context, 'evacuation list --output json')
    assert done.returncode == 0, done
    assert [i['domain'] for i in json.loads(done.stdout)] == [domain]


@then('each command ends well a second time')
def check_repeated(context: Any) -> None:
    """Run each command twice."""
    for verb in ('start', 'start', 'end', 'end'):
        done = _run(context, f'evacuation {verb} north')
        assert done.returncode == 0, done


@then('"{line}" succeeds again')
def check_again(context: Any, line: str) -> None:
    """Repeat a command."""
    done = operator_steps.run_command(context, line)
    assert done.returncode == 0, done


@then('"{line}" shows the line "{start}"')
def check_shown(context: Any, line: str, start: str) -> None:
    """Look for a line of the output."""
    shown = operator_steps.run_command(context, line).stdout.splitlines()
    assert any(found.split()[:1] == [start] for found in shown), shown


@then('"{line}" shows no line "{start}"')
def check_not_shown(context: Any, line: str, start: str) -> None:
    """Look for a line of the output."""
    done = operator_steps.run_command(context, line)
    assert done.returncode == 0, done
    shown = done.stdout.splitlines()
    assert not any(found.split()[:1] == [start] for found in shown), shown


@then('the store holds "{name}"')
def check_store(context: Any, name: str) -> None:
    """Look for an object in the fake platform."""
    url = f'http://{context.system.platform}/v1/objects/{name}'
    with urllib.request.urlopen(url, timeout=5.0) as response:
        assert response.status == 200
