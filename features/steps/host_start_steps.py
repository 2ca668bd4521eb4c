"""Steps of the start of a host's process."""

import importlib
import json
import os
import pathlib
import subprocess
import sys
from typing import Any

from behave import then
from behave import when

from ragwort_wire import _struct_generator

# Modules of each library that only other processes use.
LATE_MODULES = {
    'ragwort_model': ('_documents', '_settings', '_types'),
    'ragwort_wire': (
        '_caller_http',
        '_platform_http',
        '_runner_http',
        '_stream',
        '_struct_generator',
    ),
    'ragwort_state': ('_catalog', '_lease', '_ledger', '_targets'),
    'ragwort_policy': ('_fair_queue', '_latency', '_placement', '_routing'),
    'ragwort_platform': ('_deploy_check',),
}
IMPORT = (
    'import json, ragwort_platform, sys; print(json.dumps([*sys.modules]))'
)


@when('a host is imported in a new process')
def import_host(context: Any) -> None:
    """Import the start script's library and list what came with it."""
    found = subprocess.run(
        [sys.executable, '-c', IMPORT],
        env=os.environ | {'PYTHONPATH': 'platform'},
        capture_output=True,
        check=True,
    )
    context.modules = set(json.loads(found.stdout))


@then('it has not imported "{name}"')
def check_not_imported(context: Any, name: str) -> None:
    """Look for a library, or for the late modules of one of ours."""
    late = LATE_MODULES.get(name)
    unwanted = {f'{name}.{m}' for m in late} if late else {name}
    assert not unwanted & context.modules, unwanted & context.modules


@then('all public names of all libraries can be imported')
def check_names(context: Any) -> None:
    """Look each name up."""
    for path in sorted(pathlib.Path('libs').glob('*/ragwort_*')):
        library = importlib.import_module(path.name)
        for name in getattr(library, '__all__', ()):
            assert getattr(library, name) is not None or name, name


@then('the generator writes the structures that are committed')
def check_structs(context: Any) -> None:
    """Compare the file with the generator's text."""
    committed = _struct_generator.STRUCTS_PATH.read_text()
    assert committed == _struct_generator.structs_source()


@when('a name that doesn\'t exist is asked of a library')
def ask_unknown(context: Any) -> None:
    """Ask for it."""
    library = importlib.import_module('ragwort_wire')
    try:
        library.no_such_name
    except AttributeError as error:
        context.error = str(error)


@then('the error names the library and the name')
def check_error(context: Any) -> None:
    """Look at the text."""
    assert 'ragwort_wire' in context.error, context.error
    assert 'no_such_name' in context.error, context.error
