"""Log lines of one request, from the logs of several hosts."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
import pathlib
from typing import Any

import ragwort_model as model

# Fields of every line that are not printed as name=value pairs.
COMMON_FIELDS = frozenset({'node', 'event', 'level', 'timestamp', 'request'})


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line of a request."""

    timestamp: str
    host: str
    event: str
    fields: dict[str, Any]

    def to_text(self) -> str:
        """Return the line as printed by follow."""
        fields = ' '.join(
            f'{name}={_format_value(value)}'
            for name, value in self.fields.items()
        )
        return f'{self.timestamp}  {self.host}  {self.event}  {fields}'


def _format_value(value: Any) -> str:
    if isinstance(value, dict):
        return ','.join(f'{k}:{v}' for k, v in value.items())
    return str(value)


def request_lines(
    paths: Iterable[pathlib.Path], request_id: str
) -> list[LogLine]:
    """Return the log lines of a request, in order of time.

    Text before the JSON of a line, such as a collector's prefix, is
    ignored. Raise InvalidInputError for a file that can't be read.
    """
    lines = [
        line for path in paths for line in _matching_lines(path, request_id)
    ]
    return sorted(lines, key=lambda line: line.timestamp)


def read_records(
    path: pathlib.Path, substring: str = '{'
) -> Iterator[dict[str, Any]]:
    """Return the records of a log whose lines hold a substring.

    Lines without JSON are left out. Raise InvalidInputError for a file that
    can't be read.
    """
    try:
        text = path.read_text(errors='replace')
    except OSError as error:
        raise model.InvalidInputError(f'{path}: {error.strerror}') from None
    for line in text.splitlines():
        if substring not in line or '{' not in line:
            continue
        try:
            record = json.loads(line[line.index('{') :])
        except ValueError:
            continue
        if isinstance(record, dict):
            yield record


def _matching_lines(path: pathlib.Path, request_id: str) -> Iterator[LogLine]:
    for record in read_records(path, request_id):
        if record.get('request') == request_id:
            yield LogLine(
                str(record.get('timestamp', '')),
                str(record.get('node', '')),
                str(record.get('event', '')),
                {k: v for k, v in record.items() if k not in COMMON_FIELDS},
            )
