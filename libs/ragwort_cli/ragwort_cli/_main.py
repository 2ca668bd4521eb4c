"""The ragwortworks command."""

import pathlib
import sys
from typing import Annotated
from typing import Any

import structlog
from twisted.internet import defer
import typer

from ragwort_cli import _call_commands
from ragwort_cli import _demo
from ragwort_cli import _evacuation_commands
from ragwort_cli import _evidence_commands
from ragwort_cli import _lab_commands
from ragwort_cli import _loop
from ragwort_cli import _output
from ragwort_cli import _status_commands
from ragwort_cli import _target_commands
import ragwort_fakes as fakes
import ragwort_model as model
import ragwort_node as node

EXIT_FAILED = 1
EXIT_INVALID = 2

app = typer.Typer(
    help=(
        'Serve and operate multi-stage model pipelines. Exit codes: '
        '0 success, 1 failure, 2 invalid input, 3 request not completed.'
    ),
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)

app.add_typer(_target_commands.target_app, name='target', no_args_is_help=True)
app.add_typer(_target_commands.class_app, name='class', no_args_is_help=True)
app.add_typer(
    _target_commands.settings_app, name='settings', no_args_is_help=True
)
app.add_typer(
    _evacuation_commands.evacuation_app,
    name='evacuation',
    no_args_is_help=True,
)
app.command('addresses')(_status_commands.show_addresses)
app.command('status')(_status_commands.show_status)
app.command('explain')(_status_commands.explain)
app.command('request')(_call_commands.send_request)
app.command('load')(_call_commands.run_load)
app.command('follow')(_evidence_commands.follow)
app.add_typer(
    _evidence_commands.journal_app, name='journal', no_args_is_help=True
)
app.add_typer(_lab_commands.lab_app, name='lab', no_args_is_help=True)

SettingsOption = Annotated[
    pathlib.Path,
    typer.Option('--settings', help='YAML file that holds the settings.'),
]
NameOption = Annotated[
    str | None,
    typer.Option(
        '--name', help='Name of the settings to use, if the file has several.'
    ),
]
OutputOption = Annotated[
    _output.OutputFormat,
    typer.Option('--output', help='Output format.'),
]


def _load_settings(
    path: pathlib.Path, kind: str, name: str | None
) -> model.DaemonSettings:
    settings = model.load_settings(path)
    return model.select_settings(settings, kind, name, str(path))


@app.command('node')
def run_node(settings: SettingsOption, name: NameOption = None) -> None:
    """Run an entry node until SIGTERM, which drains it."""
    chosen = _load_settings(settings, 'node', name)
    assert isinstance(chosen, model.NodeSettings)
    node.configure_logs()

    def run(reactor: Any) -> 'defer.Deferred[None]':
        daemon = node.NodeDaemon(reactor, chosen)
        daemon.start()
        daemon.handle_signals()
        return daemon.stopped

    _loop.run_command(run)


@app.command('platform')
def run_platform(settings: SettingsOption, name: NameOption = None) -> None:
    """Run a fake of the platform's object API."""
    chosen = _load_settings(settings, 'platform', name)
    assert isinstance(chosen, model.PlatformSettings)

    def run(reactor: Any) -> 'defer.Deferred[None]':
        fakes.PlatformServer(reactor, chosen).start()
        return defer.Deferred()

    _loop.run_command(run)


@app.command('runner')
def run_runner(settings: SettingsOption, name: NameOption = None) -> None:
    """Run a fake runner until SIGTERM, which drains it."""
    chosen = _load_settings(settings, 'runner', name)
    assert isinstance(chosen, model.RunnerSettings)

    def run(reactor: Any) -> 'defer.Deferred[None]':
        server = fakes.RunnerServer(reactor, chosen)
        server.start()
        server.handle_signals()
        return server.stopped

    _loop.run_command(run)


@app.command()
def demo(
    keep: Annotated[
        bool,
        typer.Option('--keep', help='Keep running and print curl commands.'),
    ] = False,
    verbose: Annotated[
        bool, typer.Option('--verbose', help='Show the decision log.')
    ] = False,
    output: OutputOption = _output.OutputFormat.TEXT,
) -> None:
    """Run a complete system on loopback and show its attainment."""
    node.configure_logs()
    if not verbose:
        silence_logs()
    _loop.run_command(lambda reactor: _demo.run_demo(reactor, keep, output))


def silence_logs() -> None:
    """Drop log lines below the warning level."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(30)
    )


def main() -> None:
    """Run the command line; print an error as one line."""
    try:
        code = app(standalone_mode=False)
    except model.InvalidInputError as error:
        _exit_with_error(str(error), EXIT_INVALID)
    except model.RagwortError as error:
        _exit_with_error(str(error), EXIT_FAILED)
    except (KeyboardInterrupt, typer.Abort):
        sys.exit(EXIT_FAILED)
    except OSError as error:
        _exit_with_error(str(error), EXIT_FAILED)
    except Exception as error:
        # Usage errors of the command line format their own message.
        if not hasattr(error, 'format_message'):
            raise
        _exit_with_error(error.format_message(), EXIT_INVALID)
    else:
        sys.exit(code or 0)


def _exit_with_error(message: str, code: int) -> None:
    typer.echo(f'ragwortworks: {message}', err=True)
    sys.exit(code)
