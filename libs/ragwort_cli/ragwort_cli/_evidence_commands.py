"""Commands that read the journal of bench runs and host logs."""

import pathlib
from typing import Annotated

import typer

from ragwort_cli import _journal
from ragwort_cli import _logs
from ragwort_cli import _options
from ragwort_cli import _output
from ragwort_cli import _plot
import ragwort_model as model

journal_app = typer.Typer(help='Read the journal of bench runs.')
JournalOption = Annotated[
    pathlib.Path, typer.Option('--journal', help='Directory of the journal.')
]
JOURNAL = pathlib.Path('journal')
COMPARE_HEADINGS = (
    'day',
    'first worth',
    'second worth',
    'change',
    'first served',
    'second served',
    'rules broken',
)


SHOW_HEADINGS = (
    'day',
    'zero',
    'one',
    'worth',
    'credit earned',
    'refused',
    'failed',
    'by class',
    'largest prices',
    'rules broken',
)


@journal_app.command('list')
def list_runs(
    journal: JournalOption = JOURNAL,
    output: _options.OutputOption = _options.TEXT,
) -> None:
    """List all runs with their purpose."""
    entries = _journal.read_journal(journal)
    if output == _output.OutputFormat.JSON:
        _output.print_json(
            [
                {'id': entry.id, 'site': entry.site, 'why': entry.why}
                for entry in entries
            ]
        )
        return
    rows = [
        [
            entry.id,
            entry.at[0],
            entry.cmd,
            entry.site or '-',
            len(entry.days),
            _output.format_number(entry.score),
            entry.why or '-',
        ]
        for entry in entries
    ]
    headings = ('run', 'at', 'command', 'site', 'days', 'score', 'why')
    _output.print_table(headings, rows)


@journal_app.command('show')
def show_run(
    run: str,
    journal: JournalOption = JOURNAL,
    prices: Annotated[
        int, typer.Option(help='How many of the largest prices to print.')
    ] = 3,
    markdown: Annotated[
        bool, typer.Option('--markdown', help='Print a Markdown table.')
    ] = False,
) -> None:
    """Print each day of a run with its worth, classes and prices."""
    entry = _journal.find_entry(_journal.read_journal(journal), run)
    rows = _journal.show_rows(entry, prices)
    if markdown:
        _output.print_markdown(SHOW_HEADINGS, rows)
    else:
        _output.print_table(SHOW_HEADINGS, rows)


@journal_app.command('compare')
def compare_runs(
    first: str,
    second: str,
    journal: JournalOption = JOURNAL,
    plot: Annotated[
        pathlib.Path | None, typer.Option(help='Write a PNG of both runs.')
    ] = None,
) -> None:
    """Compare two runs day by day."""
    entries = _journal.read_journal(journal)
    first_entry = _journal.find_entry(entries, first)
    second_entry = _journal.find_entry(entries, second)
    rows = _journal.compare_rows(first_entry, second_entry)
    if not rows:
        raise model.InvalidInputError(
            f'runs {first} and {second} have no day in common'
        )
    _output.print_table(COMPARE_HEADINGS, rows)
    if plot is not None:
        _plot.plot_runs(first_entry, second_entry, plot)


def follow(
    request: Annotated[str, typer.Argument(help='Id of the request.')],
    logs: Annotated[
        list[pathlib.Path], typer.Argument(help='Log files of hosts.')
    ],
) -> None:
    """Print the log lines of a request from all hosts, in time order."""
    lines = _logs.request_lines(logs, request)
    if not lines:
        raise model.RequestError(f'no log line found for request {request!r}')
    for line in lines:
        typer.echo(line.to_text())
