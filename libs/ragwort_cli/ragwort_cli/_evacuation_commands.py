"""Commands on the evacuation of failure domains."""

from collections.abc import Callable
import importlib
import re
from typing import Annotated
from typing import Any

from twisted.internet import defer
import typer

from ragwort_cli import _loop
from ragwort_cli import _operator
from ragwort_cli import _options
from ragwort_cli import _output
import ragwort_model as model
import ragwort_relay as relay

# The content has no meaning; the platform requires a JSON object.
CONTENT = '{}'
DOMAIN_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*')
FINAL_STATUS = (
    model.StoreStatus.OK,
    model.StoreStatus.CONFLICT,
    model.StoreStatus.NOT_FOUND,
)

evacuation_app = typer.Typer(
    help='Start, end and list evacuations of failure domains.'
)
AdapterOption = Annotated[
    str | None,
    typer.Option(
        '--adapter',
        envvar='RAGWORT_ADAPTER',
        help=(
            'Python module whose open_store(reactor, address, on_result) '
            'speaks the platform\'s protocol; none for the object API of '
            'ragwortworks itself.'
        ),
    ),
]


def _open_store(adapter: str | None) -> _operator.OpenStore:
    """Return what opens a store; raise InvalidInputError."""
    if adapter is None:
        return _operator.open_own_store
    try:
        found: _operator.OpenStore = importlib.import_module(
            adapter
        ).open_store
    except (ImportError, AttributeError, ValueError) as error:
        raise model.InvalidInputError(
            f'adapter {adapter!r}: {error}'
        ) from None
    return found


def _object_name(domain: str) -> str:
    """Return the name of a domain's object; raise InvalidInputError."""
    if not DOMAIN_PATTERN.fullmatch(domain):
        raise model.InvalidInputError(
            f'{domain!r} is no failure domain: letters, digits, ".", "_", "-"'
        )
    return relay.EVACUATION_PREFIX + domain


@defer.inlineCallbacks
def _confirm(
    reactor: Any, send: Callable[[], 'defer.Deferred[model.StoreResult]']
) -> Any:
    """Repeat a call until the store answers it."""
    for _ in range(_operator.MAX_ATTEMPTS):
        result = yield send()
        if result.status in FINAL_STATUS:
            return result
        yield _operator.wait_to_retry(reactor)
    raise model.StoreUnavailableError(
        'the platform\'s store does not answer; the change may have taken '
        'effect'
    )


def _run(
    platform: str,
    adapter: str | None,
    send: Callable[
        [_operator.StoreSession], 'defer.Deferred[model.StoreResult]'
    ],
) -> model.StoreResult:
    """Run one call of the store to its end."""
    address = _options.parse_address(platform)
    open_store = _open_store(adapter)

    def action(reactor: Any) -> 'defer.Deferred[Any]':
        session = _operator.StoreSession(reactor, address, open_store)
        confirmed: defer.Deferred[Any] = _confirm(
            reactor, lambda: send(session)
        )
        return confirmed

    result: model.StoreResult = _loop.run_command(action)
    return result


def _print_state(
    domain: str, is_evacuated: bool, text: str, output: _output.OutputFormat
) -> None:
    if output == _output.OutputFormat.JSON:
        _output.print_json({'domain': domain, 'evacuated': is_evacuated})
        return
    typer.echo(f'{domain}: {text}')


@evacuation_app.command('start')
def start(
    domain: str,
    platform: _options.PlatformOption,
    adapter: AdapterOption = None,
    output: _options.OutputOption = _options.TEXT,
) -> None:
    """Let nothing more be sent to the runners of a failure domain."""
    name = _object_name(domain)
    result = _run(platform, adapter, lambda s: s.put(name, CONTENT, 0))
    if result.status == model.StoreStatus.NOT_FOUND:
        raise model.RequestError('the platform\'s store knows no evacuations')
    _print_state(domain, True, 'evacuation accepted', output)


@evacuation_app.command('end')
def end(
    domain: str,
    platform: _options.PlatformOption,
    adapter: AdapterOption = None,
    output: _options.OutputOption = _options.TEXT,
) -> None:
    """Let the runners of a failure domain be used again."""
    name = _object_name(domain)
    result = _run(platform, adapter, lambda s: s.delete(name))
    if result.status == model.StoreStatus.CONFLICT:
        raise model.RequestError('the object changed meanwhile; try again')
    _print_state(domain, False, 'no evacuation in force', output)


@evacuation_app.command('list')
def list_evacuations(
    platform: _options.PlatformOption,
    adapter: AdapterOption = None,
    output: _options.OutputOption = _options.TEXT,
) -> None:
    """Print the failure domains that are evacuated."""
    result = _run(platform, adapter, lambda s: s.list(relay.EVACUATION_PREFIX))
    found = [
        {
            'domain': item.name.removeprefix(relay.EVACUATION_PREFIX),
            'version': model.format_version(item.version),
        }
        for item in result.objects
    ]
    if output == _output.OutputFormat.JSON:
        _output.print_json(found)
        return
    rows = [[item['domain'], item['version']] for item in found]
    _output.print_table(('domain', 'version'), rows)
