"""Cutting a stream of server-sent events into whole events."""

import dataclasses

MAX_EVENT_BYTES = 1024 * 1024
_ENDS = (b'\n\n', b'\r\n\r\n')


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """The bytes of one whole event; event_id is None if it has no id."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Collect bytes and return the events that are whole.

    A runner may stop in the middle of an event; what is not whole is never
    handed on.
    """

    def __init__(self) -> None:
        """Start with nothing read."""
        self.buffer = b''

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events completed by data."""
        self.buffer += data
        events: list[StreamEvent] = []
        while (end := _event_end(self.buffer)) > 0:
            chunk, self.buffer = self.buffer[:end], self.buffer[end:]
            events.append(StreamEvent(chunk, _event_number(chunk)))
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise ValueError(f'event of over {MAX_EVENT_BYTES} bytes')
        return events


def _event_end(data: bytes) -> int:
    """Return where the first whole event ends, 0 if there is none."""
    found = [at + len(mark) for mark in _ENDS if (at := data.find(mark)) >= 0]
    return min(found, default=0)


def _event_number(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(b'id:'):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None


class StreamProgress:
    """Remember the last event handed to the caller; drop repeats."""

    def __init__(self, last_event_id: int | None) -> None:
        """Start behind the event that the caller had last, if any."""
        self.last_event_id = last_event_id
        self.forwarded = 0

    def accept(self, event: StreamEvent) -> bool:
        """Tell whether an event is the next one for the caller.

        Raise ValueError if an event is missing before it.
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
