"""Commands that run experiments in virtual time."""

import dataclasses
import pathlib
from typing import Annotated
from typing import Any

import typer

from ragwort_cli import _logs
from ragwort_cli import _losses
from ragwort_cli import _options
from ragwort_cli import _output
from ragwort_cli import _plot
import ragwort_lab as lab

lab_app = typer.Typer(help='Run experiments in virtual time.')
HEADINGS = (
    'rule',
    'asked',
    'in target',
    'made',
    'pieces per call',
    'turned away',
    'no room',
    'in target by size',
    'by failure domain',
)


@lab_app.callback()
def lab_group() -> None:
    """Run experiments in virtual time."""


@lab_app.command('replay')
def replay(
    file: Annotated[
        pathlib.Path, typer.Argument(help='YAML file of the experiment.')
    ],
    output: _options.OutputOption = _options.TEXT,
    plot: Annotated[
        pathlib.Path | None, typer.Option(help='Write a PNG of all rules.')
    ] = None,
) -> None:
    """Replay a load of stage work under each rule and print the results."""
    experiment = lab.read_experiment(file)
    results = lab.play_experiment(experiment)
    if output == _output.OutputFormat.JSON:
        _output.print_json([_result_record(result) for result in results])
    else:
        _output.print_table(
            HEADINGS, [_result_row(result) for result in results]
        )
    if plot is not None:
        _plot.plot_rules(experiment.name, results, plot)


@lab_app.command('losses')
def losses(
    logs: Annotated[
        list[pathlib.Path], typer.Argument(help='Logs of relay hosts.')
    ],
    window_s: Annotated[
        float, typer.Option('--window', min=0.1, help='Seconds of a window.')
    ] = 4.0,
    output: _options.OutputOption = _options.TEXT,
    plot: Annotated[
        pathlib.Path | None, typer.Option(help='Write a PNG of the queues.')
    ] = None,
) -> None:
    """Print which decisions lost requests, and what stage services did."""
    records = [r for path in logs for r in _logs.read_records(path)]
    windows = _losses.service_windows(records, window_s)
    tables: dict[str, list[Any]] = {
        'decisions': _losses.decisions(records),
        'calibration': _losses.calibrations(records),
        'services': windows,
    }
    if output == _output.OutputFormat.JSON:
        _output.print_json(
            {
                name: [dataclasses.asdict(row) for row in rows]
                for name, rows in tables.items()
            }
        )
    else:
        for name, rows in tables.items():
            typer.echo(f'{name}:')
            _print_rows(rows)
    if plot is not None:
        _plot.plot_services(windows, plot)


def _print_rows(rows: list[Any]) -> None:
    """Print data classes of one kind as a table."""
    if not rows:
        typer.echo('none')
        return
    headings = [field.name for field in dataclasses.fields(rows[0])]
    _output.print_table(
        headings,
        [
            [_format_loss(getattr(row, name)) for name in headings]
            for row in rows
        ],
    )


def _format_loss(value: object) -> str:
    if isinstance(value, dict):
        return ' '.join(f'{k}:{count}' for k, count in value.items()) or '-'
    if isinstance(value, float):
        return f'{value:.2f}'
    return '-' if value is None else str(value)


def _result_record(result: lab.RuleFigures) -> dict[str, object]:
    figures = result.figures
    return {
        'rule': result.rule,
        'asked': figures.asked,
        'in_target': figures.share_in_target,
        'made': figures.made / max(figures.asked, 1),
        'pieces_per_call': figures.pieces_per_call,
        'turned_away': figures.turned_away,
        'no_room': figures.no_room,
        'in_target_by_size': figures.share_by(lab.SIZE),
        'in_target_by_failure_domain': figures.share_by(lab.DOMAIN),
    }


def _result_row(result: lab.RuleFigures) -> list[object]:
    return [
        _format_cell(value) if isinstance(value, dict | float) else value
        for value in _result_record(result).values()
    ]


def _format_cell(value: object) -> str:
    if isinstance(value, dict):
        return ' '.join(f'{k}:{share:.2f}' for k, share in value.items())
    return f'{value:.3f}'
