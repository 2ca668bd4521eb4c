"""Steps of the table of losses."""

import json
import pathlib
import shutil
import tempfile
from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import evidence_steps

PNG_MAGIC = b'\x89PNG'


def _request(second: int, **fields: Any) -> dict[str, Any]:
    return {
        'event': 'request',
        'route': 'guide',
        'timestamp': f'2026-01-01T00:00:{second:02d}Z',
        **fields,
    }


def _call(second: int, pieces: int, waiting: int) -> dict[str, Any]:
    return {
        'event': 'stage-call',
        'service': 'portal',
        'runner': f'runner-{second % 2}',
        'pieces': pieces,
        'waiting': waiting,
        'late': 1,
        'free_bytes': 2_000_000,
        'timestamp': f'2026-01-01T00:00:{second:02d}Z',
    }


@given('the logs of two hosts with lost requests')
def write_logs(context: Any) -> None:
    """Write answered, late and refused requests and calls of a service."""
    folder = pathlib.Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, folder)
    admitted = {'admission': 'admit', 'forecast_s': 1.0}
    refused = {'outcome': 'refused', 'reason': 'stage 2: late'}
    hosts = {
        'a': [
            _request(
                1, outcome='answered', first_s=1.5, took_s=2.0, **admitted
            ),
            _request(
                2, outcome='answered', first_s=2.5, took_s=3.0, **admitted
            ),
            _call(1, 4, 10),
            _call(2, 2, 30),
        ],
        'b': [
            _request(3, took_s=4.0, **refused, **admitted),
            _request(4, took_s=6.0, **refused, **admitted),
            _call(6, 3, 0),
            {**_call(1, 0, 0), 'event': 'piece-failed', 'result': 'room'},
        ],
    }
    context.logs = []
    for host, records in hosts.items():
        lines = ['not JSON', *(f'1.0 {host} {json.dumps(r)}' for r in records)]
        path = folder / f'{host}.log'
        path.write_text('\n'.join(lines))
        context.logs.append(path)
    context.plot = folder / 'losses.png'


@when('the command lists the losses with a plot')
def list_losses(context: Any) -> None:
    """Run the command for data and for the picture."""
    logs = list(map(str, context.logs))
    context.done = evidence_steps.command(
        'lab', 'losses', *logs, '--output', 'json', '--plot', str(context.plot)
    )
    assert context.done.returncode == 0, context.done.stderr


@then('they name the decision, the forecast\'s error and the busy service')
def check_tables(context: Any) -> None:
    """Compare the three tables."""
    tables = json.loads(context.done.stdout)
    lost = [d for d in tables['decisions'] if d['outcome'] == 'refused']
    assert [(d['reason'], d['count'], d['took_s']) for d in lost] == [
        ('stage 2: late', 2, 5.0)
    ]
    (calibration,) = tables['calibration']
    assert (calibration['admitted'], calibration['answered']) == (4, 2)
    assert calibration['first_s'] - calibration['forecast_s'] == 1.0
    first, second = tables['services']
    assert (first['calls'], first['pieces_per_call']) == (2, 3.0)
    assert (first['waiting'], first['failures']) == (20.0, {'room': 1})
    assert (second['start_s'], second['waiting']) == (4.0, 0.0)


@then('the plot is a picture')
def check_plot(context: Any) -> None:
    """Look at the first bytes of the file."""
    assert context.plot.read_bytes().startswith(PNG_MAGIC)


@when('the command lists the losses of a missing file')
def list_missing(context: Any) -> None:
    """Run the command on a file that does not exist."""
    context.done = evidence_steps.command('lab', 'losses', 'no-such.log')


@then("it says in one line that the file can't be read")
def check_missing(context: Any) -> None:
    """Look at the exit code and the error."""
    evidence_steps.check_failure(context, 'no-such.log')
