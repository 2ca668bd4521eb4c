"""The demo: a complete local system under load, with a summary."""

import json
from typing import Any

from twisted.internet import defer
import typer

from ragwort_cli import _load
from ragwort_cli import _output
from ragwort_cli import _system
import ragwort_client as caller
import ragwort_fakes as fakes
import ragwort_model as model
import ragwort_node as node

ARRIVALS_PER_S = 40.0
DURATION_S = 5.0
CLASS_SHARES = {
    'morning-briefing': 0.15,
    'tide-question': 0.3,
    'safety-notice': 0.1,
    'fault-diagnosis': 0.2,
    'parts-lookup': 0.15,
    'repair-ticket': 0.1,
}


def demo_plan(rate: float, duration_s: float) -> _load.LoadPlan:
    """Return a load plan that mixes all sample classes."""
    targets = _system.sample_class_targets()
    classes = tuple(
        _load.LoadClass(
            name,
            share,
            targets[name].deadline_s,
            tuple(
                fakes.HOULE_WORKSPACES
                if name in fakes.HOULE_CLASSES
                else fakes.CAMPBELL_WORKSPACES
            ),
        )
        for name, share in CLASS_SHARES.items()
    )
    return _load.LoadPlan(classes, rate, duration_s)


@defer.inlineCallbacks
def run_demo(
    reactor: Any, keep: bool, output_format: _output.OutputFormat
) -> Any:
    """Start a system, send every class of work and print the results."""
    system = _system.LocalSystem(reactor)
    yield system.start()
    clients = [
        caller.Client(
            reactor, system.entry_addresses, domain, f'demo-{domain}'
        )
        for domain in _system.FAILURE_DOMAINS
    ]
    if output_format == _output.OutputFormat.TEXT:
        yield _send_one_of_each(clients[0])
    run = _load.LoadRun(
        reactor, clients, demo_plan(ARRIVALS_PER_S, DURATION_S)
    )
    results = yield run.run()
    costs = stage_costs(system.nodes)
    print_report(results, costs, output_format)
    check_results(results, system)
    if keep:
        print_curl(system)
        yield defer.Deferred()


@defer.inlineCallbacks
def _send_one_of_each(client: caller.Client) -> Any:
    typer.echo('One request of each class of work, streamed:')
    targets = _system.sample_class_targets()
    for index, name in enumerate(CLASS_SHARES):
        workspace = _system.workspace_for(name, index)
        answer = yield client.send(
            name, workspace, f'hello {name}', targets[name].deadline_s
        )
        text = ''.join(answer.chunks)
        typer.echo(
            f'  {name}: {answer.outcome} in {answer.duration_s * 1000:.0f} ms'
            f' via {answer.host}, {len(answer.chunks)} chunks: {text[:40]}'
        )
    typer.echo('')


def stage_costs(
    nodes: list[node.NodeDaemon],
) -> dict[str, dict[str, float]]:
    """Return cost by class of work and service, summed over all nodes."""
    totals: dict[str, dict[str, float]] = {}
    for daemon in nodes:
        for status in daemon.core.status(daemon.now()).classes:
            costs = totals.setdefault(status.name, {})
            for service, cost in status.stage_costs.items():
                costs[service] = costs.get(service, 0.0) + cost
    return totals


def print_report(
    results: list[_load.ClassResult],
    costs: dict[str, dict[str, float]],
    output_format: _output.OutputFormat,
) -> None:
    """Print attainment by class and cost by stage."""
    if output_format == _output.OutputFormat.JSON:
        summaries = [result.summary() for result in results]
        _output.print_json({'classes': summaries, 'stage_costs': costs})
        return
    targets = _system.sample_class_targets()
    rows = []
    for result in results:
        summary = result.summary()
        target = targets[result.name].attainment
        rows.append(
            [
                result.name,
                summary['requests'],
                f'{result.attainment:.3f}',
                f'{target:.2f}',
                'yes' if result.attainment >= target else 'NO',
                f'{summary["p50_ms"]:.0f}',
                f'{summary["p99_ms"]:.0f}',
            ]
        )
    typer.echo('Attainment by class of work:')
    _output.print_table(
        ['class', 'requests', 'attained', 'target', 'met', 'p50 ms', 'p99 ms'],
        rows,
    )
    typer.echo('')
    typer.echo('Cost by stage (cost units over the whole run):')
    services = list(fakes.SERVICES)
    _output.print_table(
        ['class', *services],
        [
            [name, *(f'{costs[name].get(s, 0.0):.3f}' for s in services)]
            for name in sorted(costs)
        ],
    )


def check_results(
    results: list[_load.ClassResult], system: _system.LocalSystem
) -> None:
    """Raise RagwortError if a key ran twice or no request was in time."""
    executions: dict[str, int] = {}
    for runner in system.runners:
        if runner.settings.service == 'registrar':
            for key, _, _ in runner.core.executed:
                executions[key] = executions.get(key, 0) + 1
    repeated = [key for key, count in executions.items() if count > 1]
    if repeated:
        raise model.RagwortError(
            f'requests that ran more than once: {repeated}'
        )
    if not sum(result.in_time for result in results):
        raise model.RagwortError('no request was completed in time')


def print_curl(system: _system.LocalSystem) -> None:
    """Print commands that work against the running system."""
    address = system.entry_addresses[0]
    key = model.new_request_key()
    body = {
        'class_of_work': 'tide-question',
        'workspace': 'app',
        'key': key,
        'deadline_ms': 4000,
        'input': 'When is high tide at Hydrobase?',
    }
    typer.echo('')
    typer.echo('The system keeps running; stop it with Ctrl-C. Try:')
    typer.echo(f'  curl -s http://{address}/v1/addresses')
    typer.echo(
        f'  curl -sN http://{address}/v1/requests -d \'{json.dumps(body)}\''
    )
    typer.echo(f'  curl -s http://{address}/v1/requests/{key}/explain')
    typer.echo(f'  curl -s http://{address}/v1/status')
