"""Log lines of one request, from the logs of several hosts."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
import pathlib
from typing import Any

import ragwort_model as model

# Fields that each line bears and that a story of a request need not repeat.
COMMON = frozenset({'node', 'event', 'level', 'timestamp', 'request'})


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line about a request."""

    timestamp: str
    host: str
    event: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Return the line in words."""
        told = ' '.join(
            f'{name}={_short(value)}' for name, value in self.fields.items()
        )
        return f'{self.timestamp}  {self.host}  {self.event}  {told}'


def _short(value: Any) -> str:
    if isinstance(value, dict):
        return ','.join(f'{k}:{v}' for k, v in value.items())
    return str(value)


def request_lines(
    paths: Iterable[pathlib.Path], request_id: str
) -> list[LogLine]:
    """Return the lines about a request, in order of time.

    What stands before the JSON of a line, such as a collector's prefix, is
    passed over. Raise InvalidInputError for a file that can't be read.
    """
    found = [line for path in paths for line in _lines(path, request_id)]
    return sorted(found, key=lambda line: line.timestamp)


def _lines(path: pathlib.Path, request_id: str) -> Iterator[LogLine]:
    try:
        text = path.read_text(errors='replace')
    except OSError as error:
        raise model.InvalidInputError(f'{path}: {error.strerror}') from None
    for line in text.splitlines():
        if request_id not in line or '{' not in line:
            continue
        try:
            content = json.loads(line[line.index('{') :])
        except ValueError:
            continue
        if content.get('request') == request_id:
            yield LogLine(
                str(content.get('timestamp', '')),
                str(content.get('node', '')),
                str(content.get('event', '')),
                {k: v for k, v in content.items() if k not in COMMON},
            )
