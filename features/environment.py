"""Hooks and shared fixtures of behave."""

from collections.abc import Iterator
import pathlib
import sys
import tempfile
from typing import Any

from behave import fixture
from behave import use_fixture

from features.support import processes

# The adapter's folder is no package: it would hide Python's own platform.
sys.path.insert(0, str(pathlib.Path('platform').resolve()))


@fixture
def process_system(context: Any) -> Iterator[processes.ProcessSystem]:
    """Run a system of separate processes for one feature."""
    with tempfile.TemporaryDirectory() as folder:
        context.system = processes.ProcessSystem(pathlib.Path(folder))
        try:
            context.system.start_all()
            yield context.system
        finally:
            context.system.stop()


def before_feature(context: Any, feature: Any) -> None:
    """Start what a feature's tags ask for."""
    if 'processes' in feature.tags:
        use_fixture(process_system, context)
