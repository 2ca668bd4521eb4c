"""Steps of following requests and comparing runs."""

import dataclasses
import json
import pathlib
import shutil
import subprocess
import sys
import tempfile
from typing import Any

from behave import given
from behave import then
from behave import when
import yaml

from features import verdict
import ragwort_cli as cli


def command(*arguments: str) -> 'subprocess.CompletedProcess[str]':
    """Run the command line."""
    return subprocess.run(
        [sys.executable, '-c', 'import ragwort_cli; ragwort_cli.main()']
        + list(arguments),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@given('logs of two hosts with a prefix, noise and lines of request "{name}"')
def write_logs(context: Any, name: str) -> None:
    """Write two log files."""
    folder = pathlib.Path(tempfile.mkdtemp())
    context.add_cleanup(lambda: [p.unlink() for p in folder.iterdir()])
    context.logs = []
    for host, times in (('a', (1, 4)), ('b', (2, 3))):
        lines = ['no JSON at all', '{"broken": ']
        for time in times:
            entry = {
                'request': name,
                'node': host,
                'event': f'event-{time}',
                'timestamp': f'2026-01-01T00:00:0{time}Z',
            }
            lines.append(f'12.5 host-{host} {json.dumps(entry)}')
        lines.append(json.dumps({'request': 'other', 'why': name}))
        path = folder / f'{host}.log'
        path.write_text('\n'.join(lines))
        context.logs.append(path)


@when('the logs are searched for "{name}"')
def search_logs(context: Any, name: str) -> None:
    """Search both files."""
    context.found = cli.request_lines(context.logs, name)


@then('its lines of both hosts come in order of time')
def check_lines(context: Any) -> None:
    """Compare events and hosts."""
    events = [line.event for line in context.found]
    assert events == ['event-1', 'event-2', 'event-3', 'event-4'], events
    assert {line.host for line in context.found} == {'a', 'b'}


@when('the command follows "{name}"')
def follow(context: Any, name: str) -> None:
    """Run the command."""
    context.done = command('follow', name, *map(str, context.logs))


@then('it fails with one line that names "{text}"')
def check_failure(context: Any, text: str) -> None:
    """Look at the exit code and the error."""
    assert context.done.returncode != 0
    lines = context.done.stderr.strip().splitlines()
    assert len(lines) == 1, lines
    assert text in lines[0], lines


def run_entry(ident: str, figure: float) -> dict[str, Any]:
    """Return a journal entry with two days."""
    days = [
        {
            'name': name,
            'G': figure,
            'served': 0.9,
            'rules': {},
            'naive': 0.2,
            'top': 0.8,
            'prices': [['machines', 3.0, 0.01], ['links', 7.0, 0.05]],
            'by_class': [0.9, None],
        }
        for name in ('shared', f'only-{ident}')
    ]
    return {
        'id': ident,
        'at': ['2026-01-01T00:00:00Z'],
        'cmd': 'score',
        'why': None,
        'site': None,
        'days': days,
        'coming': 1,
    }


@given('a journal of two runs with one day in common')
def write_journal(context: Any) -> None:
    """Write two entries."""
    folder = pathlib.Path(tempfile.mkdtemp())
    context.add_cleanup(lambda: [p.unlink() for p in folder.iterdir()])
    for ident, figure in (('aaa', 0.5), ('bbb', 0.75)):
        path = folder / f'{ident}.json'
        path.write_text(json.dumps(run_entry(ident, figure)))
    context.journal = folder


@when('the command compares {what}')
def compare(context: Any, what: str) -> None:
    """Run the command."""
    names = ['aaa', 'bbb']
    folder = context.journal
    if what == 'a run not there':
        names = ['aaa', 'zzz']
    elif what == 'a broken entry':
        (folder / 'ccc.json').write_text('{"id": 3}')
    elif what == 'a folder not there':
        folder = folder / 'nowhere'
    context.done = command(
        'journal', 'compare', *names, '--journal', str(folder)
    )


@when('the command shows run "{name}" as Markdown')
def show_run(context: Any, name: str) -> None:
    """Run the command."""
    context.done = command(
        'journal',
        'show',
        name,
        '--markdown',
        '--prices',
        '1',
        '--journal',
        str(context.journal),
    )


@then('each day has a row with worth {worth}, mark {mark} and price "{price}"')
def check_shown(context: Any, worth: str, mark: str, price: str) -> None:
    """Look at the rows below the headings."""
    assert context.done.returncode == 0, context.done.stderr
    rows = context.done.stdout.splitlines()[2:]
    assert len(rows) == 2, rows
    for row in rows:
        cells = [cell.strip() for cell in row.strip('|').split('|')]
        assert cells[2:4] == [mark, worth], cells
        assert cells[7:9] == ['0.90 -', price], cells


@then('the table has that day with both figures and the change')
def check_table(context: Any) -> None:
    """Look at the table."""
    assert context.done.returncode == 0, context.done.stderr
    rows = context.done.stdout.splitlines()
    assert len(rows) == 2, rows
    cells = rows[1].split()
    assert cells[:4] == ['shared', '0.500', '0.750', '+0.250'], cells


@given('an experiment of 2 s with the rules "{first}" and "{second}"')
def set_experiment(context: Any, first: str, second: str) -> None:
    """Describe a small experiment; it is written when it is replayed."""
    context.experiment = {
        'name': 'small',
        'load': [{'rate': 12, 'lasts': '2s'}],
        'rules': [first, second],
    }


def replay_experiment(context: Any, *options: str) -> None:
    """Write the experiment and run the command."""
    path = context.folder / 'experiment.yaml'
    path.write_text(yaml.safe_dump(context.experiment))
    context.done = command('lab', 'replay', str(path), *options)


@when('the command replays it with a plot')
def replay(context: Any) -> None:
    """Ask for JSON and a plot."""
    context.folder = pathlib.Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, context.folder)
    plot = str(context.folder / 'plot.png')
    replay_experiment(context, '--output', 'json', '--plot', plot)


@then('both rules have a row with what was asked and the shares by size')
def check_replay(context: Any) -> None:
    """Look at the records."""
    assert context.done.returncode == 0, context.done.stderr
    rows = json.loads(context.done.stdout)
    assert [row['rule'] for row in rows] == context.experiment['rules']
    for row in rows:
        assert row['asked'] > 10, row
        assert 0.0 < row['in_target'] <= row['made'] <= 1.0, row
        assert set(row['in_target_by_size']) <= set('1234'), row


@then('the plot is there')
def check_plot(context: Any) -> None:
    """Look for the file."""
    data = (context.folder / 'plot.png').read_bytes()
    assert data.startswith(b'\x89PNG'), data[:8]


MISTAKES: dict[str, dict[str, Any]] = {
    'no load': {'load': []},
    'a rate of zero': {'load': [{'rate': 0, 'lasts': '2s'}]},
    'a time of no unit': {'load': [{'rate': 1, 'lasts': 2}]},
    'an unknown rule': {'rules': ['by luck']},
    'an unknown field': {'colour': 'red'},
}


@when('it has {mistake} and the command replays it')
def replay_mistake(context: Any, mistake: str) -> None:
    """Put a mistake in and run the command."""
    context.folder = pathlib.Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, context.folder)
    context.experiment |= MISTAKES[mistake]
    replay_experiment(context)


@when('a scenario {outcome} and is {listed}')
def judge_scenario(context: Any, outcome: str, listed: str) -> None:
    """Judge a run of one scenario."""
    known = {'a-red-one'} if listed == 'listed' else set()
    context.verdict = verdict.judge(
        [('a red one', outcome == 'passes')], known
    )


@then('CI counts it as {expected}')
def check_verdict(context: Any, expected: str) -> None:
    """Look for the scenario in the expected group alone."""
    found = {
        group.replace('_', ' ')
        for group, names in dataclasses.asdict(context.verdict).items()
        if names
    }
    assert found == {expected}, found
    assert context.verdict.is_green == (expected == 'passed')
