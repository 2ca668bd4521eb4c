"""Output of results as text tables, Markdown or JSON."""

from collections.abc import Sequence
import enum
import json
from typing import Any

import typer


class OutputFormat(enum.StrEnum):
    """Format in which a command prints its data."""

    TEXT = 'text'
    JSON = 'json'


def print_json(data: Any) -> None:
    """Print data as JSON with stable key order."""
    typer.echo(json.dumps(data, indent=2, sort_keys=True))


def print_table(
    headings: Sequence[str], rows: Sequence[Sequence[object]]
) -> None:
    """Print rows in columns as wide as their widest cell."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(line[index]) for line in [list(headings), *cells])
        for index in range(len(headings))
    ]
    for line in [list(headings), *cells]:
        padded = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        typer.echo('  '.join(padded).rstrip())


def print_markdown(
    headings: Sequence[str], rows: Sequence[Sequence[object]]
) -> None:
    """Print rows as a Markdown table."""
    typer.echo('| ' + ' | '.join(headings) + ' |')
    typer.echo('|---' * len(headings) + '|')
    for row in rows:
        typer.echo('| ' + ' | '.join(str(cell) for cell in row) + ' |')


def format_number(value: float | None, digits: int = 3) -> str:
    """Return a number as text, or a dash for None."""
    return '-' if value is None else f'{value:.{digits}f}'
