"""Commands for operators and callers."""

import json
import pathlib
from typing import Annotated
from typing import Any

from twisted.internet import defer
import typer

from ragwort_cli import _demo
from ragwort_cli import _explain
from ragwort_cli import _load
from ragwort_cli import _loop
from ragwort_cli import _operator
from ragwort_cli import _output
from ragwort_cli import _plot
import ragwort_client as caller
import ragwort_model as model

EXIT_NOT_COMPLETED = 3

PlatformOption = Annotated[
    str,
    typer.Option(
        '--platform',
        envvar='RAGWORT_PLATFORM',
        help='Address of the platform\'s object API.',
    ),
]
NodeOption = Annotated[
    list[str],
    typer.Option(
        '--node',
        envvar='RAGWORT_NODES',
        help='Address of any entry node; may be given several times.',
    ),
]
OutputOption = Annotated[
    _output.OutputForm,
    typer.Option('--output', help='How to print the data.'),
]
TEXT = _output.OutputForm.TEXT

target_app = typer.Typer(help='Look at and change targets.')
class_app = typer.Typer(help='Look at and create classes of work.')
settings_app = typer.Typer(help='Check settings files.')


def _checked(address: str) -> str:
    try:
        return model.parse_address(address)
    except ValueError as error:
        raise model.InvalidInputError(str(error)) from None


def _target_rows(contents: list[dict[str, Any]]) -> list[list[object]]:
    return [
        [
            item['name'],
            item['pipeline'],
            item['target']['attainment'],
            f'{item["target"]["deadline_s"]} s',
            item['target']['cost'],
            item.get('changed_by') or '-',
        ]
        for item in contents
    ]


TARGET_HEADINGS = (
    'class',
    'pipeline',
    'attainment',
    'deadline',
    'cost',
    'changed by',
)


@target_app.command('list')
def list_targets(
    platform: PlatformOption, output: OutputOption = TEXT
) -> None:
    """Print the target of every class of work."""
    address = _checked(platform)
    contents = _loop.run_command(
        lambda reactor: _operator.read_classes(
            _operator.StoreSession(reactor, address)
        )
    )
    if output == _output.OutputForm.JSON:
        _output.print_json(contents)
        return
    _output.print_table(TARGET_HEADINGS, _target_rows(contents))


def _read_one(platform: str, name: str) -> dict[str, Any]:
    address = _checked(platform)
    stored = _loop.run_command(
        lambda reactor: _operator.read_class(
            _operator.StoreSession(reactor, address), name
        )
    )
    content: dict[str, Any] = json.loads(stored.value)
    return content | {'version': stored.version}


@target_app.command('get')
def get_target(
    name: str, platform: PlatformOption, output: OutputOption = TEXT
) -> None:
    """Print one target."""
    content = _read_one(platform, name)
    if output == _output.OutputForm.JSON:
        _output.print_json(content)
        return
    _output.print_table(TARGET_HEADINGS, _target_rows([content]))


@target_app.command('history')
def show_history(
    name: str, platform: PlatformOption, output: OutputOption = TEXT
) -> None:
    """Print a class's present and earlier targets, newest first."""
    content = _read_one(platform, name)
    records = [content, *content.get('history', [])]
    if output == _output.OutputForm.JSON:
        _output.print_json(records)
        return
    rows = [
        [
            record.get('changed_at') or '-',
            record.get('changed_by') or '-',
            record['target']['attainment'],
            f'{record["target"]["deadline_s"]} s',
            record['target']['cost'],
        ]
        for record in records
    ]
    headings = ('since', 'set by', 'attainment', 'deadline', 'cost')
    _output.print_table(headings, rows)


@target_app.command('set')
def set_target(
    name: str,
    platform: PlatformOption,
    attainment: Annotated[
        float | None,
        typer.Option(help='Share of requests to complete in time, 0 to 1.'),
    ] = None,
    deadline: Annotated[
        str | None, typer.Option(help='Time allowed, such as 800ms or 8s.')
    ] = None,
    cost: Annotated[
        float | None, typer.Option(help='Most to spend per request, units.')
    ] = None,
    output: OutputOption = TEXT,
) -> None:
    """Change a target; fields that are not given stay as they are."""
    wanted: dict[str, float] = {}
    if attainment is not None:
        wanted['attainment'] = attainment
    if deadline is not None:
        wanted['deadline_s'] = _duration(deadline)
    if cost is not None:
        wanted['cost'] = cost
    if not wanted:
        raise model.InvalidInputError(
            'give at least one of --attainment, --deadline, --cost'
        )
    address = _checked(platform)
    version = _loop.run_command(
        lambda reactor: _operator.set_target(reactor, address, name, wanted)
    )
    _print_version(name, 'accepted', version, output)


def _print_version(
    name: str, verb: str, version: int, output: _output.OutputForm
) -> None:
    if output == _output.OutputForm.JSON:
        _output.print_json({'class': name, 'version': version})
        return
    typer.echo(f'{name}: {verb} as version {version}')


def _duration(text: str) -> float:
    try:
        return model.parse_duration(text)
    except ValueError as error:
        raise model.InvalidInputError(str(error)) from None


@class_app.command('list')
def list_classes(
    platform: PlatformOption, output: OutputOption = TEXT
) -> None:
    """Print all classes of work."""
    list_targets(platform, output)


@class_app.command('create')
def create_class(
    name: str,
    platform: PlatformOption,
    pipeline: Annotated[str, typer.Option(help='Name of its pipeline.')],
    attainment: Annotated[float, typer.Option(help='Share, 0 to 1.')],
    deadline: Annotated[str, typer.Option(help='Such as 800ms or 8s.')],
    cost: Annotated[float, typer.Option(help='Units per request.')],
    output: OutputOption = TEXT,
) -> None:
    """Create a class of work with its target."""
    target = {
        'attainment': attainment,
        'deadline_s': _duration(deadline),
        'cost': cost,
    }
    address = _checked(platform)
    version = _loop.run_command(
        lambda reactor: _operator.create_class(
            reactor, address, name, pipeline, target
        )
    )
    _print_version(name, 'created', version, output)


@settings_app.command('check')
def check_settings(path: pathlib.Path, output: OutputOption = TEXT) -> None:
    """Check a settings file and list what it describes."""
    described = model.load_settings(path)
    if output == _output.OutputForm.JSON:
        _output.print_json([s.model_dump(mode='json') for s in described])
        return
    for found in described:
        typer.echo(f'{path}: {found.kind} {found.name}: valid')


def show_addresses(
    node: NodeOption,
    failure_domain: Annotated[
        str, typer.Option(help='The caller\'s failure domain.')
    ] = '',
    output: OutputOption = TEXT,
) -> None:
    """Print the entry addresses that a caller should use, best first."""
    nodes = [_checked(address) for address in node]
    path = f'/v1/addresses?failure_domain={failure_domain}'
    answer = _loop.run_command(
        lambda reactor: _operator.fetch_json(reactor, nodes[0], path)
    )
    if output == _output.OutputForm.JSON:
        _output.print_json(answer)
        return
    rows = [
        [e['host'], e['address'], e['failure_domain']]
        for e in answer['addresses']
    ]
    _output.print_table(('host', 'address', 'failure domain'), rows)


def show_status(node: NodeOption, output: OutputOption = TEXT) -> None:
    """Print nodes, versions in force, attainment and runners."""
    nodes = [_checked(address) for address in node]
    statuses = _loop.run_command(
        lambda reactor: _operator.fetch_from_all(
            reactor, nodes, lambda: '/v1/status'
        )
    )
    if output == _output.OutputForm.JSON:
        _output.print_json(statuses)
        return
    _print_nodes(statuses)
    _print_versions(statuses)
    _print_classes(statuses)
    for line in _explain.missed_targets(statuses):
        typer.echo(f'target missed: {line}')


def _print_nodes(statuses: list[dict[str, Any]]) -> None:
    rows = [
        [
            status['name'],
            status.get('state', 'no answer'),
            len(status.get('members', [])),
            status.get('open_requests', '-'),
            status.get('not_ready') or status.get('error') or '',
        ]
        for status in statuses
    ]
    headings = ('node', 'state', 'sees nodes', 'open requests', 'remark')
    _output.print_table(headings, rows)
    typer.echo('')


def _print_versions(statuses: list[dict[str, Any]]) -> None:
    """Print each object's versions, and where nodes differ."""
    views = [s['in_force'] for s in statuses if 'in_force' in s]
    names = sorted({name for view in views for name in view})
    differing = [
        name for name in names if len({view.get(name) for view in views}) > 1
    ]
    newest = max((max(view.values(), default=0) for view in views), default=0)
    typer.echo(
        f'{len(names)} configuration objects, newest version {newest}; '
        f'{len(differing)} not yet the same on all nodes'
    )
    for name in differing:
        versions = ', '.join(
            f'{s["name"]} {s["in_force"].get(name, "-")}'
            for s in statuses
            if 'in_force' in s
        )
        typer.echo(f'  {name}: {versions}')
    for status in statuses:
        for name, problem in status.get('problems', {}).items():
            typer.echo(f'  {status["name"]}: {name} kept back: {problem}')
    typer.echo('')


def _print_classes(statuses: list[dict[str, Any]]) -> None:
    totals: dict[str, list[float]] = {}
    targets: dict[str, dict[str, float]] = {}
    for status in statuses:
        for item in status.get('classes', []):
            row = totals.setdefault(item['name'], [0, 0, 0.0])
            row[0] += item['ended']
            row[1] += item['attained']
            row[2] += sum(item['stage_costs'].values())
            targets[item['name']] = item['target']
    rows = []
    for name, (ended, attained, cost) in sorted(totals.items()):
        share = attained / ended if ended else None
        per_request = cost / attained if attained else None
        target = targets[name]
        rows.append(
            [
                name,
                int(ended),
                _output.number(share),
                target['attainment'],
                _output.number(per_request, 4),
                target['cost'],
            ]
        )
    headings = (
        'class',
        'ended',
        'attained',
        'target',
        'cost each',
        'cost target',
    )
    _output.print_table(headings, rows)


def explain(
    key: Annotated[str, typer.Argument(help='Key of the request.')],
    node: NodeOption,
    output: OutputOption = TEXT,
) -> None:
    """Print every decision on a request, in order, in plain words."""
    nodes = [_checked(address) for address in node]

    @defer.inlineCallbacks
    def search(reactor: Any) -> Any:
        entries = yield _operator.fetch_entries(reactor, nodes)
        path = f'/v1/requests/{key}/explain'
        for address in [e['address'] for e in entries]:
            try:
                found = yield _operator.fetch_json(reactor, address, path)
            except model.RequestError:
                continue
            return found
        raise model.RequestError(f'no node knows the key {key}')

    decisions = _loop.run_command(search)
    if output == _output.OutputForm.JSON:
        _output.print_json(decisions)
        return
    for line in _explain.explain_lines(decisions):
        typer.echo(line)


def send_request(
    class_of_work: str,
    workspace: str,
    text: Annotated[str, typer.Argument(help='Input of the request.')],
    node: NodeOption,
    deadline: Annotated[str, typer.Option(help='Such as 8s.')] = '8s',
    key: Annotated[
        str | None, typer.Option(help='A UUIDv7; made if not given.')
    ] = None,
    output: OutputOption = TEXT,
) -> None:
    """Send a request and print its answer as it comes."""
    nodes = [_checked(address) for address in node]
    seconds = _duration(deadline)
    streaming = output == _output.OutputForm.TEXT

    def on_chunk(seq: int, data: str) -> None:
        if streaming:
            typer.echo(data, nl=False)

    def send(reactor: Any) -> 'defer.Deferred[caller.Answer]':
        client = caller.Client(reactor, nodes)
        sent: defer.Deferred[caller.Answer] = client.send(
            class_of_work, workspace, text, seconds, key, on_chunk
        )
        return sent

    answer = _loop.run_command(send)
    _print_answer(answer, streaming)
    if answer.outcome != model.Outcome.COMPLETED:
        raise typer.Exit(EXIT_NOT_COMPLETED)


def _print_answer(answer: caller.Answer, streaming: bool) -> None:
    if not streaming:
        _output.print_json(
            {
                'key': answer.key,
                'outcome': answer.outcome.value,
                'answer': ''.join(answer.chunks),
                'reason': answer.reason,
                'host': answer.host,
                'duration_ms': round(answer.duration_s * 1000, 1),
            }
        )
        return
    typer.echo('')
    remark = f': {answer.reason}' if answer.reason else ''
    typer.echo(
        f'{answer.outcome}{remark} ({answer.duration_s * 1000:.0f} ms, '
        f'key {answer.key})',
        err=True,
    )


def run_load(
    node: NodeOption,
    rate: Annotated[float, typer.Option(help='Arrivals per second.')] = 20.0,
    duration: Annotated[str, typer.Option(help='Such as 10s.')] = '10s',
    burst: Annotated[
        float, typer.Option(help='Rate factor in 1 s of every 5 s.')
    ] = 1.0,
    mix: Annotated[
        list[str] | None,
        typer.Option(help='CLASS=SHARE; several make a mix.'),
    ] = None,
    workspace: Annotated[
        list[str] | None, typer.Option(help='Workspaces to send as.')
    ] = None,
    deadline: Annotated[str, typer.Option(help='Such as 8s.')] = '8s',
    seed: Annotated[int, typer.Option(help='Seed of the arrivals.')] = 1,
    json_form: Annotated[
        bool, typer.Option('--json', help='Print JSON.')
    ] = False,
    plot: Annotated[
        pathlib.Path | None, typer.Option(help='Write a PNG of latencies.')
    ] = None,
) -> None:
    """Send open-loop load and report attainment and latency by class."""
    nodes = [_checked(address) for address in node]
    if rate <= 0 or burst <= 0:
        raise model.InvalidInputError('--rate and --burst must be above 0')
    plan = _load.LoadPlan(
        _load_classes(mix or [], tuple(workspace or []), _duration(deadline)),
        rate,
        _duration(duration),
        burst,
        seed,
    )

    def run(reactor: Any) -> 'defer.Deferred[list[_load.ClassResult]]':
        clients = [
            caller.Client(reactor, nodes, name=f'load-{i}') for i in range(4)
        ]
        return _load.LoadRun(reactor, clients, plan).run()

    results = _loop.run_command(run)
    if plot is not None:
        _plot.plot_latencies(results, plot)
    if json_form:
        _output.print_json([result.summary() for result in results])
        return
    print_load(results)


def _load_classes(
    mix: list[str], workspaces: tuple[str, ...], deadline_s: float
) -> tuple[_load.LoadClass, ...]:
    if not mix:
        return _demo.demo_plan(1.0, 1.0).classes
    classes: list[_load.LoadClass] = []
    for item in mix:
        name, _, share = item.partition('=')
        try:
            number = float(share or '1')
        except ValueError:
            number = -1.0
        if not number > 0:
            raise model.InvalidInputError(
                f'--mix {item!r}: write CLASS=SHARE with a share above 0'
            )
        if not workspaces:
            raise model.InvalidInputError('give --workspace with --mix')
        classes.append(_load.LoadClass(name, number, deadline_s, workspaces))
    return tuple(classes)


def print_load(results: list[_load.ClassResult]) -> None:
    """Print the figures of a load run as a table."""
    rows = []
    for result in results:
        summary = result.summary()
        outcomes = ', '.join(
            f'{count} {name}' for name, count in summary['outcomes'].items()
        )
        rows.append(
            [
                result.name,
                summary['requests'],
                f'{result.attainment:.3f}',
                f'{summary["p50_ms"]:.0f}',
                f'{summary["p95_ms"]:.0f}',
                f'{summary["p99_ms"]:.0f}',
                outcomes,
            ]
        )
    headings = (
        'class',
        'requests',
        'attained',
        'p50 ms',
        'p95 ms',
        'p99 ms',
        'outcomes',
    )
    _output.print_table(headings, rows)
