"""Schemas of the YAML settings files of all daemons."""

import pathlib
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic
import yaml

from ragwort_model import _documents
from ragwort_model import _domain
from ragwort_model import _errors
from ragwort_model import _types


class Settings(pydantic.BaseModel):
    """Base of all settings; rejects unknown keys."""

    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, validate_default=True
    )


class LimitSettings(Settings):
    """Limits on what one node accepts from callers."""

    max_body: _types.Size = '1MiB'  # type: ignore[assignment]
    max_open_requests: int = pydantic.Field(default=2000, gt=0)
    max_queued_per_workspace: int = pydantic.Field(default=256, gt=0)
    idle_connection: _types.Duration = '60s'  # type: ignore[assignment]


class NodeSettings(Settings):
    """An entry host: its listening addresses and its seed peers."""

    kind: Literal['node']
    name: _documents.Name
    region: _documents.Name
    failure_domain: _documents.Name
    callers: _types.Address
    peers: _types.Address
    platform: _types.Address
    seeds: list[_types.Address] = pydantic.Field(default_factory=list)
    statsd: _types.Address | None = None
    address_ttl: _types.Duration = '5s'  # type: ignore[assignment]
    claim_retention: _types.Duration = '10m'  # type: ignore[assignment]
    clock_skew: _types.Duration = '5s'  # type: ignore[assignment]
    strategy: str = 'ragwort'
    drain_timeout: _types.Duration | None = None
    limits: LimitSettings = LimitSettings()

    @pydantic.model_validator(mode='after')
    def _check_addresses(self) -> 'NodeSettings':
        if self.callers == self.peers:
            raise ValueError(
                f'callers and peers are both {self.peers}; '
                'give each its own port'
            )
        if len(set(self.seeds)) != len(self.seeds):
            raise ValueError('seeds: duplicate address; remove one')
        return self


class PlatformSettings(Settings):
    """A fake of the platform's object API."""

    kind: Literal['platform']
    name: _documents.Name
    listen: _types.Address
    reads_per_s: float = pydantic.Field(default=2000, gt=0)
    writes_per_s: float = pydantic.Field(default=300, gt=0)
    host_list_lag: _types.Duration = '500ms'  # type: ignore[assignment]
    objects: dict[str, dict[str, Any]] = pydantic.Field(default_factory=dict)


class RunnerSettings(Settings):
    """A fake of a model engine or plain service."""

    kind: Literal['runner']
    name: _documents.Name
    service: _documents.Name
    service_kind: _domain.ServiceKind
    listen: _types.Address
    failure_domain: _documents.Name
    slots: int = pydantic.Field(default=8, gt=0)
    service_time: _types.Duration = '20ms'  # type: ignore[assignment]
    chunk_interval: _types.Duration = '2ms'  # type: ignore[assignment]
    chunks: int = pydantic.Field(default=12, gt=0)
    cost_rate: float = pydantic.Field(default=1.0, ge=0)
    checks_fencing: bool = True
    drain_timeout: _types.Duration = '30s'  # type: ignore[assignment]


AnySettings = Annotated[
    NodeSettings | PlatformSettings | RunnerSettings,
    pydantic.Field(discriminator='kind'),
]
_ADAPTER: pydantic.TypeAdapter[
    NodeSettings | PlatformSettings | RunnerSettings
] = pydantic.TypeAdapter(AnySettings)


DaemonSettings = NodeSettings | PlatformSettings | RunnerSettings


def parse_settings(text: str, source: str) -> list[DaemonSettings]:
    """Return the validated settings of all documents of a YAML text.

    Raises SettingsError that names the source and the key and says how to
    correct it.
    """
    try:
        documents = list(yaml.safe_load_all(text))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        message = ' '.join(str(error).split())
        raise _errors.SettingsError(f'{source}: not YAML: {message}') from None
    found = [_parse_document(data, source) for data in documents]
    if not found:
        raise _errors.SettingsError(f'{source}: the file is empty')
    _check_distinct(found, source)
    return found


def _parse_document(data: Any, source: str) -> DaemonSettings:
    if not isinstance(data, dict):
        raise _errors.SettingsError(
            f'{source}: expected a mapping with a key such as kind: node'
        )
    name = data.get('name')
    location = f'{source}: {name}' if isinstance(name, str) else source
    try:
        return _ADAPTER.validate_python(data)
    except pydantic.ValidationError as error:
        raise _errors.SettingsError(
            f'{location}: {_describe_error(error)}'
        ) from None


def _check_distinct(found: list[DaemonSettings], source: str) -> None:
    """Raise SettingsError for duplicate names or addresses in a file."""
    users: dict[str, str] = {}
    for settings in found:
        values = [('name', settings.name)]
        if isinstance(settings, NodeSettings):
            values.append(('callers', settings.callers))
            values.append(('peers', settings.peers))
        else:
            values.append(('listen', settings.listen))
        for key, value in values:
            if value in users:
                raise _errors.SettingsError(
                    f'{source}: {settings.name}: {key}: {value} is already '
                    f'used by {users[value]}; choose another'
                )
            users[value] = settings.name


def load_settings(path: pathlib.Path) -> list[DaemonSettings]:
    """Return the validated settings of a file; raise SettingsError."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise _errors.SettingsError(f'{path}: {error}') from None
    return parse_settings(text, str(path))


def select_settings(
    found: list[DaemonSettings], kind: str, name: str | None, source: str
) -> DaemonSettings:
    """Return the only settings of a kind, by name if there are several."""
    matching = [
        settings
        for settings in found
        if settings.kind == kind and name in (None, settings.name)
    ]
    if len(matching) == 1:
        return matching[0]
    if not matching:
        description = f'{kind} named {name!r}' if name else kind
        raise _errors.SettingsError(f'{source}: no settings for {description}')
    names = ', '.join(settings.name for settings in matching)
    raise _errors.SettingsError(
        f'{source}: several settings match; choose one with --name: {names}'
    )


def _describe_error(error: pydantic.ValidationError) -> str:
    first = error.errors()[0]
    kinds = ('node', 'platform', 'runner')
    parts = [str(part) for part in first['loc'] if part not in kinds]
    path = '.'.join(parts) or 'settings'
    if first['type'] == 'extra_forbidden':
        return f'{path}: unknown key; remove it or correct its name'
    if first['type'] == 'missing':
        return f'{path}: missing; add this key'
    if first['type'].startswith('union_tag'):
        return 'kind: must be one of node, platform, runner'
    return f'{path}: {first["msg"].removeprefix("Value error, ")}'
