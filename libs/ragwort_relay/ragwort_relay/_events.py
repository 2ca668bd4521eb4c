"""Splitting a stream of server-sent events into complete events.

Behind a stream that broke off there may be bytes of another answer: a head, an
error's text. They must not pass for events, so that an event is taken only in
the form in which runners send it.
"""

from collections.abc import Iterator
import re

import msgspec

MAX_EVENT_BYTES = 1024 * 1024
_LONGEST_TERMINATOR = b'\r\n\r\n'
_TERMINATOR = re.compile(rb'\n\n|\r\n\r\n')
# Longer numbers come from no counter; int() refuses those of over 4300 digits.
_ID_LINE = re.compile(rb'id:[ \t]*([0-9]{1,18})[ \t]*')
_FIELDS = frozenset({b'data', b'event', b'retry'})
_STATUS_LINE = re.compile(rb'HTTP/[0-9]')
_MAX_SHOWN_BYTES = 40


class StreamEvent(msgspec.Struct, frozen=True):
    """The bytes of one complete event; event_id is None for comments."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Buffer bytes and return complete events.

    A runner may stop in the middle of an event, and an incomplete event
    must not reach the caller.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Yield the events completed by data; iterate to the end.

        Raise ValueError at the first that is damaged or too large.
        """
        # A terminator may have begun in what came before.
        search_from = max(len(self.buffer) - len(_LONGEST_TERMINATOR) + 1, 0)
        self.buffer += data
        start = 0
        for match in _TERMINATOR.finditer(self.buffer, search_from):
            chunk = bytes(self.buffer[start : match.end()])
            start = match.end()
            yield StreamEvent(chunk, _read_id(chunk))
        del self.buffer[:start]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise ValueError(f'event of over {MAX_EVENT_BYTES} bytes')


def _read_id(event: bytes) -> int | None:
    """Return the number of an event, None if it has only comments.

    Raise ValueError if it has a line that runners don't send. Fields of other
    names may come before the number.
    """
    event_id: int | None = None
    has_fields = False
    for line in event.strip(b'\r\n').splitlines():
        if line.startswith(b':'):
            continue
        has_fields = True
        name = line.partition(b':')[0]
        if name == b'id':
            found = _ID_LINE.fullmatch(line)
            if found is None or event_id is not None:
                raise _unknown_line(line)
            event_id = int(found[1])
        elif name not in _FIELDS and (
            not line or event_id is not None or _STATUS_LINE.match(line)
        ):
            raise _unknown_line(line)
    if has_fields and event_id is None:
        raise ValueError('event without an id')
    return event_id


def _unknown_line(line: bytes) -> ValueError:
    return ValueError(f'not a line of an event: {line[:_MAX_SHOWN_BYTES]!r}')


class StreamProgress:
    """Track the last event forwarded to the caller; drop repeated ones."""

    def __init__(self, last_event_id: int | None) -> None:
        """Start after the last event that the caller has, if any.

        Without one, the first event may have any number.
        """
        self.last_event_id = last_event_id
        self.forwarded = 0

    def accept(self, event: StreamEvent) -> bool:
        """Tell whether an event is the next one to forward.

        Raise ValueError if an event before it is missing.
        """
        if event.event_id is None:
            return True
        if self.last_event_id is not None:
            if event.event_id <= self.last_event_id:
                return False
            if event.event_id > self.last_event_id + 1:
                raise ValueError(
                    f'event {event.event_id} follows {self.last_event_id}'
                )
        self.last_event_id = event.event_id
        self.forwarded += 1
        return True
