"""Options and arguments that several commands share."""

from typing import Annotated

import typer

from ragwort_cli import _output
import ragwort_model as model

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
        help='Address of an entry node; may be given several times.',
    ),
]
OutputOption = Annotated[
    _output.OutputFormat,
    typer.Option('--output', help='Output format.'),
]
TEXT = _output.OutputFormat.TEXT


def parse_address(address: str) -> str:
    """Return a valid address; raise InvalidInputError."""
    try:
        return model.parse_address(address)
    except ValueError as error:
        raise model.InvalidInputError(str(error)) from None


def parse_duration(text: str) -> float:
    """Return a duration in seconds; raise InvalidInputError."""
    try:
        return model.parse_duration(text)
    except ValueError as error:
        raise model.InvalidInputError(str(error)) from None
