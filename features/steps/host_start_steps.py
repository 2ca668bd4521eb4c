"""Steps of the start of a host's process."""

import collections
import importlib
import json
import os
import pathlib
import subprocess
import sys
from typing import Any

from behave import then
from behave import when

from features.support import relay_hosts
import ragwort_model as model
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
# Share of the hosts that have to agree.
MOST = 0.9
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


@when('{count:d} hosts start at once')
def start_hosts(context: Any, count: int) -> None:
    """Start whole hosts on one virtual clock; they run for no time yet."""
    context.world = relay_hosts.HostWorld(count, run_s=0.0)


def count_agreed(world: relay_hosts.HostWorld) -> int:
    """Return how many hosts are ready, know most others and one owner."""
    owners = [stage_owner(host) for host in world.hosts]
    common, _ = collections.Counter(owners).most_common(1)[0]
    return sum(
        host.is_ready
        and len(host.members.live()) >= MOST * len(world.hosts)
        and owner == common
        for host, owner in zip(world.hosts, owners, strict=True)
    )


def stage_owner(host: Any) -> str:
    """Return the address of the host that a host takes for the owner."""
    [owner, *_] = host._stage_owner_candidates('prep')
    return owner or host.options.host.peer_address


@then(
    'within {seconds:g} s 9 of 10 of them know 9 of 10, are ready and agree on'
    ' the owner of stage work'
)
def check_agreed(context: Any, seconds: float) -> None:
    """Let the time pass and count."""
    world = context.world
    world.run(seconds)
    agreed = count_agreed(world)
    assert agreed >= MOST * len(world.hosts), agreed


@then('within {seconds:g} s all know all')
def check_all_known(context: Any, seconds: float) -> None:
    """Let the rest of the time pass and count."""
    world = context.world
    world.run(seconds - world.clock.seconds())
    known = [len(host.members.live()) for host in world.hosts]
    assert min(known) == len(world.hosts), sorted(known)[:5]


@then('fewer than 1 host in 5 has listed the others in the store')
def check_lists(context: Any) -> None:
    """Count the calls."""
    calls = context.world.objects.calls_of
    listed = calls[model.StoreVerb.LIST, 'entry-hosts']
    assert listed * 5 < len(context.world.hosts), listed
