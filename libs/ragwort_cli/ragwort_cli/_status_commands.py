"""Commands that show nodes, attainment and decisions."""

from typing import Annotated
from typing import Any

from twisted.internet import defer
import typer

from ragwort_cli import _explain
from ragwort_cli import _loop
from ragwort_cli import _operator
from ragwort_cli import _options
from ragwort_cli import _output
import ragwort_model as model


def show_addresses(
    node: _options.NodeOption,
    failure_domain: Annotated[
        str, typer.Option(help='The caller\'s failure domain.')
    ] = '',
    output: _options.OutputOption = _options.TEXT,
) -> None:
    """Print the entry addresses that a caller should use, best first."""
    nodes = [_options.parse_address(address) for address in node]
    path = f'/v1/addresses?failure_domain={failure_domain}'
    answer = _loop.run_command(
        lambda reactor: _operator.fetch_json(reactor, nodes[0], path)
    )
    if output == _output.OutputFormat.JSON:
        _output.print_json(answer)
        return
    rows = [
        [entry['host'], entry['address'], entry['failure_domain']]
        for entry in answer['addresses']
    ]
    _output.print_table(('host', 'address', 'failure domain'), rows)


def show_status(
    node: _options.NodeOption, output: _options.OutputOption = _options.TEXT
) -> None:
    """Print nodes, versions in force, attainment and missed targets."""
    nodes = [_options.parse_address(address) for address in node]
    statuses = _loop.run_command(
        lambda reactor: _operator.fetch_from_all(
            reactor, nodes, lambda: '/v1/status'
        )
    )
    if output == _output.OutputFormat.JSON:
        _output.print_json(statuses)
        return
    _print_nodes(statuses)
    _print_versions(statuses)
    _print_classes(statuses)
    for line in _explain.missed_targets(statuses):
        typer.echo(f'target missed: {line}')


def _print_nodes(statuses: list[dict[str, Any]]) -> None:
    rows = [
        [
            status['name'],
            status.get('state', 'no answer'),
            len(status.get('members', [])),
            status.get('open_requests', '-'),
            status.get('store_era', '-'),
            status.get('not_ready') or status.get('error') or '',
        ]
        for status in statuses
    ]
    headings = (
        'node',
        'state',
        'known nodes',
        'open requests',
        'store era',
        'detail',
    )
    _output.print_table(headings, rows)
    typer.echo('')


def _print_versions(statuses: list[dict[str, Any]]) -> None:
    """Print the newest version, and the objects that differ by node."""
    versions_per_node = [s['in_force'] for s in statuses if 'in_force' in s]
    names = sorted(
        {name for in_force in versions_per_node for name in in_force}
    )
    differing = [
        name
        for name in names
        if len({in_force.get(name) for in_force in versions_per_node}) > 1
    ]
    newest = max(
        (max(in_force.values(), default=0) for in_force in versions_per_node),
        default=0,
    )
    typer.echo(
        f'{len(names)} configuration objects, newest version {newest}; '
        f'{len(differing)} not yet the same on all nodes'
    )
    for name in differing:
        versions = ', '.join(
            f'{s["name"]} {s["in_force"].get(name, "-")}'
            for s in statuses
            if 'in_force' in s
        )
        typer.echo(f'  {name}: {versions}')
    for status in statuses:
        for name, problem in status.get('problems', {}).items():
            typer.echo(f'  {status["name"]}: {name} not applied: {problem}')
    typer.echo('')


def _print_classes(statuses: list[dict[str, Any]]) -> None:
    totals: dict[str, list[float]] = {}
    targets: dict[str, dict[str, float]] = {}
    for status in statuses:
        for item in status.get('classes', []):
            row = totals.setdefault(item['name'], [0, 0, 0.0])
            row[0] += item['ended']
            row[1] += item['attained']
            row[2] += sum(item['stage_costs'].values())
            targets[item['name']] = item['target']
    rows = []
    for name, (ended, attained, cost) in sorted(totals.items()):
        share = attained / ended if ended else None
        per_request = cost / attained if attained else None
        target = targets[name]
        rows.append(
            [
                name,
                int(ended),
                _output.format_number(share),
                target['attainment'],
                _output.format_number(per_request, 4),
                target['cost'],
            ]
        )
    headings = (
        'class',
        'ended',
        'attained',
        'target',
        'cost per request',
        'cost target',
    )
    _output.print_table(headings, rows)


def explain(
    key: Annotated[str, typer.Argument(help='Key of the request.')],
    node: _options.NodeOption,
    output: _options.OutputOption = _options.TEXT,
) -> None:
    """Print and explain every decision on a request, in order."""
    nodes = [_options.parse_address(address) for address in node]

    @defer.inlineCallbacks
    def fetch_decisions(reactor: Any) -> Any:
        entries = yield _operator.fetch_entry_addresses(reactor, nodes)
        path = f'/v1/requests/{key}/explain'
        for address in [entry['address'] for entry in entries]:
            try:
                response = yield _operator.fetch_json(reactor, address, path)
            except model.RequestError:
                continue
            return response
        raise model.RequestError(f'no node knows the key {key}')

    decisions = _loop.run_command(fetch_decisions)
    if output == _output.OutputFormat.JSON:
        _output.print_json(decisions)
        return
    for line in _explain.explain_lines(decisions):
        typer.echo(line)
