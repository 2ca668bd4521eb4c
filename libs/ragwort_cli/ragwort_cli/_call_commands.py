"""Commands that send single requests or a load."""

import pathlib
from typing import Annotated
from typing import Any

from twisted.internet import defer
import typer

from ragwort_cli import _demo
from ragwort_cli import _load
from ragwort_cli import _loop
from ragwort_cli import _options
from ragwort_cli import _output
from ragwort_cli import _plot
import ragwort_client as caller
import ragwort_model as model

EXIT_NOT_COMPLETED = 3


def send_request(
    class_of_work: str,
    workspace: str,
    text: Annotated[str, typer.Argument(help='Input of the request.')],
    node: _options.NodeOption,
    deadline: Annotated[
        str, typer.Option(help='Time allowed, such as 8s.')
    ] = '8s',
    key: Annotated[
        str | None, typer.Option(help='A UUIDv7; generated if not given.')
    ] = None,
    output: _options.OutputOption = _options.TEXT,
) -> None:
    """Send a request and print its answer as it arrives."""
    nodes = [_options.parse_address(address) for address in node]
    deadline_s = _options.parse_duration(deadline)
    streaming = output == _output.OutputFormat.TEXT

    def on_chunk(seq: int, data: str) -> None:
        if streaming:
            typer.echo(data, nl=False)

    def send(reactor: Any) -> 'defer.Deferred[caller.Answer]':
        client = caller.Client(reactor, nodes)
        sent: defer.Deferred[caller.Answer] = client.send(
            class_of_work, workspace, text, deadline_s, key, on_chunk
        )
        return sent

    answer = _loop.run_command(send)
    _print_answer(answer, streaming)
    if answer.outcome != model.Outcome.COMPLETED:
        raise typer.Exit(EXIT_NOT_COMPLETED)


def _print_answer(answer: caller.Answer, streaming: bool) -> None:
    if not streaming:
        _output.print_json(
            {
                'key': answer.key,
                'outcome': answer.outcome.value,
                'answer': ''.join(answer.chunks),
                'reason': answer.reason,
                'host': answer.host,
                'duration_ms': round(answer.duration_s * 1000, 1),
            }
        )
        return
    typer.echo('')
    suffix = f': {answer.reason}' if answer.reason else ''
    typer.echo(
        f'{answer.outcome}{suffix} ({answer.duration_s * 1000:.0f} ms, '
        f'key {answer.key})',
        err=True,
    )


def run_load(
    node: _options.NodeOption,
    rate: Annotated[float, typer.Option(help='Arrivals per second.')] = 20.0,
    duration: Annotated[str, typer.Option(help='Such as 10s.')] = '10s',
    burst: Annotated[
        float, typer.Option(help='Rate factor during 1 s of every 5 s.')
    ] = 1.0,
    mix: Annotated[
        list[str] | None,
        typer.Option(help='CLASS=SHARE; may be given several times.'),
    ] = None,
    workspace: Annotated[
        list[str] | None, typer.Option(help='Workspaces to send as.')
    ] = None,
    deadline: Annotated[
        str, typer.Option(help='Time allowed, such as 8s.')
    ] = '8s',
    seed: Annotated[int, typer.Option(help='Seed of the arrivals.')] = 1,
    json_form: Annotated[
        bool, typer.Option('--json', help='Print JSON.')
    ] = False,
    plot: Annotated[
        pathlib.Path | None, typer.Option(help='Write a PNG of latencies.')
    ] = None,
) -> None:
    """Send open-loop load and report attainment and latency by class."""
    nodes = [_options.parse_address(address) for address in node]
    if rate <= 0 or burst <= 0:
        raise model.InvalidInputError('--rate and --burst must be above 0')
    plan = _load.LoadPlan(
        _load_classes(
            mix or [],
            tuple(workspace or []),
            _options.parse_duration(deadline),
        ),
        rate,
        _options.parse_duration(duration),
        burst,
        seed,
    )

    def run(reactor: Any) -> 'defer.Deferred[list[_load.ClassResult]]':
        clients = [
            caller.Client(reactor, nodes, name=f'load-{i}') for i in range(4)
        ]
        return _load.LoadRun(reactor, clients, plan).run()

    results = _loop.run_command(run)
    if plot is not None:
        _plot.plot_latencies(results, plot)
    if json_form:
        _output.print_json([result.summary() for result in results])
        return
    print_results(results)


def _load_classes(
    mix: list[str], workspaces: tuple[str, ...], deadline_s: float
) -> tuple[_load.LoadClass, ...]:
    if not mix:
        return _demo.demo_plan(1.0, 1.0).classes
    classes: list[_load.LoadClass] = []
    for item in mix:
        name, _, share = item.partition('=')
        try:
            weight = float(share or '1')
        except ValueError:
            weight = -1.0
        if not weight > 0:
            raise model.InvalidInputError(
                f'--mix {item!r}: expected CLASS=SHARE with a share above 0'
            )
        if not workspaces:
            raise model.InvalidInputError(
                '--mix needs at least one --workspace'
            )
        classes.append(_load.LoadClass(name, weight, deadline_s, workspaces))
    return tuple(classes)


def print_results(results: list[_load.ClassResult]) -> None:
    """Print the results of a load run as a table."""
    rows = []
    for result in results:
        summary = result.summary()
        outcomes = ', '.join(
            f'{count} {name}' for name, count in summary['outcomes'].items()
        )
        rows.append(
            [
                result.name,
                summary['requests'],
                f'{result.attainment:.3f}',
                f'{summary["p50_ms"]:.0f}',
                f'{summary["p95_ms"]:.0f}',
                f'{summary["p99_ms"]:.0f}',
                outcomes,
            ]
        )
    headings = (
        'class',
        'requests',
        'attained',
        'p50 ms',
        'p95 ms',
        'p99 ms',
        'outcomes',
    )
    _output.print_table(headings, rows)
