"""Parsers of durations, sizes and addresses in settings files."""

import re
from typing import Any

_DURATION_PATTERN = re.compile(r'^(\d+(?:\.\d+)?)(ms|s|m|h)$')
_SECONDS_PER_UNIT = {'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0}
_SIZE_PATTERN = re.compile(r'^(\d+)(B|KiB|MiB)$')
_BYTES_PER_UNIT = {'B': 1, 'KiB': 1024, 'MiB': 1024 * 1024}
# For fullmatch, as $ lets a line end follow; \d takes digits of any alphabet.
_ADDRESS_PATTERN = re.compile(
    r'([0-9]{1,3})\.([0-9]{1,3})\.([0-9]{1,3})\.([0-9]{1,3}):([0-9]{1,5})'
)
MAX_PORT = 65535


def parse_duration(value: Any) -> float:
    """Return the seconds in a text such as 250ms or 8s."""
    if isinstance(value, str) and (match := _DURATION_PATTERN.match(value)):
        return float(match[1]) * _SECONDS_PER_UNIT[match[2]]
    raise ValueError(f'{value!r} has no unit; write it like 250ms, 8s or 5m')


def parse_size(value: Any) -> int:
    """Return the bytes in a text such as 64KiB."""
    if isinstance(value, str) and (match := _SIZE_PATTERN.match(value)):
        return int(match[1]) * _BYTES_PER_UNIT[match[2]]
    raise ValueError(f'{value!r} has no unit; write it like 64KiB or 1MiB')


def parse_address(value: Any) -> str:
    """Return value if it is an IPv4 address with a port."""
    if not isinstance(value, str) or not (
        match := _ADDRESS_PATTERN.fullmatch(value)
    ):
        raise ValueError(
            f'{value!r} is not an IPv4 address with a port; '
            'write it like 127.0.0.1:8101'
        )
    if any(int(part) > 255 for part in match.groups()[:4]):
        raise ValueError(
            f'{value!r}: each part of an IPv4 address is 0 to 255'
        )
    if not 0 < int(match[5]) <= MAX_PORT:
        raise ValueError(f'{value!r}: use a port from 1 to {MAX_PORT}')
    return value


def split_address(address: str) -> tuple[str, int]:
    """Return the IPv4 address and the port of an address."""
    host, _, port = address.rpartition(':')
    return host, int(port)
