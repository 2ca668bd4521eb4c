"""The ragwortworks command."""

from ragwort_cli._main import main

__all__ = [
    'main',
]
