"""The ragwortworks command."""

from ragwort_cli._logs import LogLine
from ragwort_cli._logs import request_lines
from ragwort_cli._main import main

__all__ = [
    'LogLine',
    'main',
    'request_lines',
]
