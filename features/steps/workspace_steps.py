"""Steps of the workspace's shape."""

import pathlib
import re
from typing import Any

from behave import then

ORDER = (
    'model',
    'http',
    'policy',
    'state',
    'membership',
    'wire',
    'peers',
    'node',
    'relay',
    'edge',
    'client',
    'fakes',
    'lab',
    'cli',
)
ALLOWED = {
    'model': set(),
    'http': set(),
    'policy': {'model'},
    'state': {'model'},
    'membership': {'model'},
    'wire': {'model'},
    'peers': {'model', 'wire'},
    'node': {
        'model',
        'http',
        'policy',
        'state',
        'membership',
        'wire',
        'peers',
    },
    'relay': {'model', 'policy'},
    'edge': {'model', 'state', 'membership', 'wire', 'peers', 'relay'},
    'client': {'model', 'http', 'wire'},
    'fakes': {'model', 'wire'},
    'lab': {
        'model',
        'policy',
        'state',
        'membership',
        'wire',
        'node',
        'relay',
        'edge',
        'fakes',
    },
    'cli': set(ORDER) - {'cli'},
}
PURE_LIBRARIES = ('model', 'policy', 'state', 'membership', 'relay')
PURE_NODE_MODULES = (
    '_accounting',
    '_admission',
    '_control',
    '_core',
    '_dispatcher',
    '_engine',
    '_execution',
    '_placement',
    '_poller',
    '_status',
    '_stream_follower',
    '_subscribers',
    '_timers',
)
IMPURE = re.compile(
    r'^\s*(?:import|from) (?:twisted|time|socket|structlog)\b', re.MULTILINE
)
PIN = re.compile(r'^[A-Za-z0-9._-]+==[A-Za-z0-9.+!]+$')


def modules(library: str) -> list[pathlib.Path]:
    """Return the modules of a library."""
    folder = pathlib.Path('libs') / f'ragwort_{library}'
    return sorted(folder.glob('ragwort_*/*.py'))


@then('no library imports one that stands above it')
def check_imports(context: Any) -> None:
    """Compare each import with the table."""
    assert {p.name for p in pathlib.Path('libs').iterdir()} == {
        f'ragwort_{name}' for name in ORDER
    }
    for library, allowed in ALLOWED.items():
        for path in modules(library):
            found = set(
                re.findall(
                    r'^\s*(?:import|from) ragwort_(\w+)',
                    path.read_text(),
                    re.MULTILINE,
                )
            )
            extra = found - allowed - {library}
            assert not extra, (path, extra)


@then('the deciding modules import neither twisted nor time nor socket')
def check_pure(context: Any) -> None:
    """Look at the imports of the pure modules."""
    paths = [path for name in PURE_LIBRARIES for path in modules(name)]
    paths += [p for p in modules('node') if p.stem in PURE_NODE_MODULES]
    assert len(paths) > 30
    for path in paths:
        assert not IMPURE.search(path.read_text()), path


@then('the example in "{name}" runs')
def run_example(context: Any, name: str) -> None:
    """Run the python blocks of a page."""
    text = pathlib.Path(name).read_text()
    blocks = re.findall(r'```python\n(.*?)```', text, re.DOTALL)
    assert blocks
    for block in blocks:
        exec(compile(block, name, 'exec'), {})


@then('every line of the lock file is a name with one version')
def check_lock(context: Any) -> None:
    """Check the pins."""
    lines = pathlib.Path('requirements.lock').read_text().splitlines()
    assert lines and all(PIN.match(line) for line in lines), lines
