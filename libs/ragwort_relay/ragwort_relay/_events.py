"""Splitting a stream of server-sent events into complete events."""

import re

import msgspec

MAX_EVENT_BYTES = 1024 * 1024
_LONGEST_TERMINATOR = b'\r\n\r\n'
_TERMINATOR = re.compile(rb'\n\n|\r\n\r\n')


class StreamEvent(msgspec.Struct, frozen=True):
    """The bytes of one complete event; event_id is None if it has no id."""

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

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events completed by data.

        Raise ValueError if an event is too large.
        """
        # A terminator may have begun in what came before.
        search_from = max(len(self.buffer) - len(_LONGEST_TERMINATOR) + 1, 0)
        self.buffer += data
        events: list[StreamEvent] = []
        start = 0
        for match in _TERMINATOR.finditer(self.buffer, search_from):
            chunk = bytes(self.buffer[start : match.end()])
            events.append(StreamEvent(chunk, _event_id(chunk)))
            start = match.end()
        del self.buffer[:start]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise ValueError(f'event of over {MAX_EVENT_BYTES} bytes')
        return events


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(b'id:'):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None


class StreamProgress:
    """Track the last event forwarded to the caller; drop repeated ones."""

    def __init__(self, last_event_id: int | None) -> None:
        """Start after the last event that the caller has, if any."""
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
            if event.event_id > self.last_event_id + 1 and self.forwarded:
                raise ValueError(
                    f'event {event.event_id} follows {self.last_event_id}'
                )
        self.last_event_id = event.event_id
        self.forwarded += 1
        return True
