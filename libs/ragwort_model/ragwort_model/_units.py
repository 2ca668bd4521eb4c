"""Quantities with units as they stand in settings files."""

import re
from typing import Annotated
from typing import Any

import pydantic

_DURATION = re.compile(r'^(\d+(?:\.\d+)?)(ms|s|m|h)$')
_SECONDS = {'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0}
_SIZE = re.compile(r'^(\d+)(B|KiB|MiB)$')
_BYTES = {'B': 1, 'KiB': 1024, 'MiB': 1024 * 1024}
_ADDRESS = re.compile(r'^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d+)$')
MAX_PORT = 65535


def parse_duration(value: Any) -> float:
    """Return seconds for text such as 250ms or 8s."""
    if isinstance(value, str) and (match := _DURATION.match(value)):
        return float(match[1]) * _SECONDS[match[2]]
    raise ValueError(f'{value!r} has no unit; write it like 250ms, 8s or 5m')


def parse_size(value: Any) -> int:
    """Return bytes for text such as 64KiB."""
    if isinstance(value, str) and (match := _SIZE.match(value)):
        return int(match[1]) * _BYTES[match[2]]
    raise ValueError(f'{value!r} has no unit; write it like 64KiB or 1MiB')


def parse_address(value: Any) -> str:
    """Return value if it is an IP number with a port."""
    if not isinstance(value, str) or not (match := _ADDRESS.match(value)):
        raise ValueError(
            f'{value!r} is not an IP number with a port; '
            'write it like 127.0.0.1:8101'
        )
    if any(int(part) > 255 for part in match.groups()[:4]):
        raise ValueError(f'{value!r}: each part of the IP number is 0 to 255')
    if not 0 < int(match[5]) <= MAX_PORT:
        raise ValueError(f'{value!r}: write a port from 1 to {MAX_PORT}')
    return value


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and port of an address."""
    host, _, port = address.rpartition(':')
    return host, int(port)


Duration = Annotated[float, pydantic.BeforeValidator(parse_duration)]
Size = Annotated[int, pydantic.BeforeValidator(parse_size)]
Address = Annotated[str, pydantic.BeforeValidator(parse_address)]
