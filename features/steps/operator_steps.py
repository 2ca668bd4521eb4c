"""Steps of the operators' commands and the settings."""

import json
import pathlib
import subprocess
import sys
from typing import Any

from behave import then
from behave import when

from features.support import processes
import ragwort_model as model
import ragwort_state as state

COMMAND = [sys.executable, '-c', 'import ragwort_cli; ragwort_cli.main()']
TIMEOUT_S = 60.0
IN_FORCE_BOUND_S = 11.0
NODE_LINES = {
    'kind': 'kind: node',
    'name': 'name: n-1',
    'region': 'region: r-1',
    'failure_domain': 'failure_domain: fd-1',
    'callers': 'callers: 127.0.0.1:8101',
    'peers': 'peers: 127.0.0.1:9101',
    'platform': 'platform: 127.0.0.1:8000',
}


def environment(context: Any) -> dict[str, str]:
    """Return the environment that names the platform and a node."""
    system = context.system
    return {
        'RAGWORT_PLATFORM': system.platform,
        'RAGWORT_NODES': next(iter(system.nodes.values())),
        'PATH': '/usr/bin:/bin',
        'USER': 'operator',
        'COLUMNS': '120',
    }


def run_command(context: Any, line: str) -> subprocess.CompletedProcess[str]:
    """Run a command line to its end."""
    return subprocess.run(
        [*COMMAND, *line.split()],
        env=environment(context),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


@when('an operator runs "{line}"')
def run_line(context: Any, line: str) -> None:
    """Run a command."""
    context.done = run_command(context, line)


@then('the command succeeds and says "{text}"')
def check_success(context: Any, text: str) -> None:
    """Check exit code and output."""
    assert context.done.returncode == 0, context.done
    assert text in context.done.stdout, context.done.stdout


@then('the command succeeds and prints JSON that holds "{key}"')
def check_json(context: Any, key: str) -> None:
    """Parse the output and look for a key."""
    assert context.done.returncode == 0, context.done
    data = json.loads(context.done.stdout)
    first = data[0] if isinstance(data, list) else data
    assert key in first, first


@then('it ends with exit code {code:d} and one line that says "{text}"')
def check_failure(context: Any, code: int, text: str) -> None:
    """Check exit code and the one line on standard error."""
    assert context.done.returncode == code, context.done
    lines = context.done.stderr.strip().splitlines()
    assert len(lines) == 1 and text in lines[0], lines


@then('every node has the new target in force within 11 s')
def check_in_force(context: Any) -> None:
    """Wait until all nodes show the cost that was set."""

    def in_force() -> bool:
        for name in context.system.nodes:
            for item in context.system.status(name)['classes']:
                if item['name'] == 'parts-lookup':
                    if item['target']['cost'] != 0.04:
                        return False
        return True

    processes.wait_until(in_force, IN_FORCE_BOUND_S)


@then('"{line}" shows the old and the new cost')
def check_history(context: Any, line: str) -> None:
    """Look for both costs in the history."""
    shown = run_command(context, line).stdout
    assert '0.04' in shown and '0.05' in shown, shown


@when('two operators change cost and deadline of "{name}" at once')
def race_fields(context: Any, name: str) -> None:
    """Start two commands together."""
    lines = (
        f'target set {name} --cost 2.5',
        f'target set {name} --deadline 5s',
    )
    running = [
        subprocess.Popen(
            [*COMMAND, *line.split()],
            env=environment(context),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        for line in lines
    ]
    context.name = name
    context.codes = [process.wait(TIMEOUT_S) for process in running]
    for process in running:
        process.communicate()


@then('both commands succeed')
def check_codes(context: Any) -> None:
    """Check both exit codes."""
    assert context.codes == [0, 0], context.codes


@then('the stored target holds both changes')
def check_both(context: Any) -> None:
    """Read the target back."""
    done = run_command(context, f'target get {context.name} --output json')
    target = json.loads(done.stdout)['target']
    assert target['cost'] == 2.5 and target['deadline_s'] == 5.0, target


@when('an operator changes the cost of "{name}" from a stale base')
def change_from_stale_base(context: Any, name: str) -> None:
    """Apply a change whose base another operator has replaced."""
    done = run_command(context, f'target get {name} --output json')
    stored = json.loads(done.stdout)
    stored.pop('version')
    change = state.TargetChange(
        name, 'late', 'op', '', {'cost': 9.0}, {'cost': 1.0}
    )
    try:
        state.apply_change(change, json.dumps(stored))
        context.conflict = ''
    except model.TargetConflictError as error:
        context.conflict = str(error)


@then('it is told of the conflict with both values')
def check_conflict(context: Any) -> None:
    """Look for the base, the present and the wanted value."""
    text = context.conflict
    assert (
        'was 9.0' in text and '2.5' in text and '1.0 was requested' in text
    ), text


@when('an operator sends a request and asks for its explanation')
def request_and_explain(context: Any) -> None:
    """Send a request with a known key and explain it."""
    key = model.new_request_key()
    done = run_command(
        context, f'request fault-diagnosis bench toaster --key {key}'
    )
    assert done.returncode == 0, done
    context.done = run_command(context, f'explain {key}')


@then('every stage\'s runner is named with the reason of its choice')
def check_explanation(context: Any) -> None:
    """Look for a line of each stage."""
    for service in ('encoder', 'retriever', 'reranker', 'generator'):
        assert f'-> {service}-' in context.done.stdout, context.done.stdout
    assert 'Outcome: the whole answer' in context.done.stdout


def refusal(text: str) -> str:
    """Return what settings are refused with, empty if they are valid."""
    try:
        model.parse_settings(text, 'node.yaml')
    except model.SettingsError as error:
        return str(error)
    return ''


@when('settings hold "{line}"')
def check_line(context: Any, line: str) -> None:
    """Replace or add one line of sound settings."""
    lines = NODE_LINES | {line.partition(':')[0]: line}
    assert not refusal('\n'.join(NODE_LINES.values()))
    context.refusal = refusal('\n'.join(lines.values()))


@when('two nodes of one file have the same address')
def check_twice(context: Any) -> None:
    """Check two documents that differ in the name alone."""
    first = '\n'.join(NODE_LINES.values())
    second = '\n'.join((NODE_LINES | {'name': 'name: n-2'}).values())
    context.refusal = refusal(f'{first}\n---\n{second}')


@then('they are refused with "{text}"')
def check_refusal(context: Any, text: str) -> None:
    """Look for the file and the text."""
    assert context.refusal.startswith('node.yaml'), context.refusal
    assert text in context.refusal, context.refusal


@then('the settings of both examples are valid and of the size of today')
def check_examples(context: Any) -> None:
    """Load every file and count what it describes."""
    for name in ('houle-ndar', 'campbell'):
        folder = pathlib.Path('examples') / name
        nodes = model.load_settings(folder / 'nodes.yaml')
        runners = model.load_settings(folder / 'runners.yaml')
        platform = model.load_settings(folder / 'platform.yaml')[0]
        assert 6 <= len(nodes) <= 8
        domains = {node.failure_domain for node in nodes}  # type: ignore
        assert len(domains) == 4
        assert 20 <= len(runners) <= 25
        assert isinstance(platform, model.PlatformSettings)
        names = list(platform.objects)
        workspaces = [n for n in names if n.startswith('workspace/')]
        listed = [n for n in names if n.startswith('runner/')]
        assert len(workspaces) == 5
        assert len(listed) == len(runners)
