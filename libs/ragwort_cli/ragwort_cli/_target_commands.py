"""Commands on targets, classes of work and settings."""

import json
import pathlib
from typing import Annotated
from typing import Any

import typer

from ragwort_cli import _loop
from ragwort_cli import _operator
from ragwort_cli import _options
from ragwort_cli import _output
import ragwort_model as model

target_app = typer.Typer(help='Show and change targets.')
class_app = typer.Typer(help='Show and create classes of work.')
settings_app = typer.Typer(help='Check settings files.')


def _target_rows(classes: list[dict[str, Any]]) -> list[list[object]]:
    return [
        [
            item['name'],
            item['pipeline'],
            item['target']['attainment'],
            f'{item["target"]["deadline_s"]} s',
            item['target']['cost'],
            item.get('changed_by') or '-',
        ]
        for item in classes
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
    platform: _options.PlatformOption,
    output: _options.OutputOption = _options.TEXT,
) -> None:
    """Print the target of every class of work."""
    address = _options.parse_address(platform)
    classes = _loop.run_command(
        lambda reactor: _operator.read_classes(
            _operator.StoreSession(reactor, address)
        )
    )
    if output == _output.OutputFormat.JSON:
        _output.print_json(classes)
        return
    _output.print_table(TARGET_HEADINGS, _target_rows(classes))


def _read_target(platform: str, name: str) -> dict[str, Any]:
    address = _options.parse_address(platform)
    stored = _loop.run_command(
        lambda reactor: _operator.read_class(
            _operator.StoreSession(reactor, address), name
        )
    )
    content: dict[str, Any] = json.loads(stored.value)
    return content | {'version': stored.version}


@target_app.command('get')
def get_target(
    name: str,
    platform: _options.PlatformOption,
    output: _options.OutputOption = _options.TEXT,
) -> None:
    """Print one target."""
    content = _read_target(platform, name)
    if output == _output.OutputFormat.JSON:
        _output.print_json(content)
        return
    _output.print_table(TARGET_HEADINGS, _target_rows([content]))


@target_app.command('history')
def show_history(
    name: str,
    platform: _options.PlatformOption,
    output: _options.OutputOption = _options.TEXT,
) -> None:
    """Print the current and earlier targets of a class, newest first."""
    content = _read_target(platform, name)
    records = [content, *content.get('history', [])]
    if output == _output.OutputFormat.JSON:
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
    platform: _options.PlatformOption,
    attainment: Annotated[
        float | None,
        typer.Option(help='Share of requests to complete in time, 0 to 1.'),
    ] = None,
    deadline: Annotated[
        str | None, typer.Option(help='Time allowed, such as 800ms or 8s.')
    ] = None,
    cost: Annotated[
        float | None, typer.Option(help='Maximum cost per request, in units.')
    ] = None,
    output: _options.OutputOption = _options.TEXT,
) -> None:
    """Change a target; fields that are not given keep their values."""
    new_fields: dict[str, float] = {}
    if attainment is not None:
        new_fields['attainment'] = attainment
    if deadline is not None:
        new_fields['deadline_s'] = _options.parse_duration(deadline)
    if cost is not None:
        new_fields['cost'] = cost
    if not new_fields:
        raise model.InvalidInputError(
            'give at least one of --attainment, --deadline, --cost'
        )
    address = _options.parse_address(platform)
    version = _loop.run_command(
        lambda reactor: _operator.set_target(
            reactor, address, name, new_fields
        )
    )
    _print_version(name, 'accepted', version, output)


def _print_version(
    name: str, verb: str, version: int, output: _output.OutputFormat
) -> None:
    if output == _output.OutputFormat.JSON:
        _output.print_json({'class': name, 'version': version})
        return
    typer.echo(f'{name}: {verb} as version {version}')


@class_app.command('list')
def list_classes(
    platform: _options.PlatformOption,
    output: _options.OutputOption = _options.TEXT,
) -> None:
    """Print all classes of work."""
    list_targets(platform, output)


@class_app.command('create')
def create_class(
    name: str,
    platform: _options.PlatformOption,
    pipeline: Annotated[str, typer.Option(help='Name of its pipeline.')],
    attainment: Annotated[
        float,
        typer.Option(help='Share of requests to complete in time, 0 to 1.'),
    ],
    deadline: Annotated[
        str, typer.Option(help='Time allowed, such as 800ms or 8s.')
    ],
    cost: Annotated[
        float, typer.Option(help='Maximum cost per request, in units.')
    ],
    output: _options.OutputOption = _options.TEXT,
) -> None:
    """Create a class of work with its target."""
    target = {
        'attainment': attainment,
        'deadline_s': _options.parse_duration(deadline),
        'cost': cost,
    }
    address = _options.parse_address(platform)
    version = _loop.run_command(
        lambda reactor: _operator.create_class(
            reactor, address, name, pipeline, target
        )
    )
    _print_version(name, 'created', version, output)


@settings_app.command('check')
def check_settings(
    path: pathlib.Path, output: _options.OutputOption = _options.TEXT
) -> None:
    """Check a settings file and list what it describes."""
    settings = model.load_settings(path)
    if output == _output.OutputFormat.JSON:
        _output.print_json([s.model_dump(mode='json') for s in settings])
        return
    for entry in settings:
        typer.echo(f'{path}: {entry.kind} {entry.name}: valid')
