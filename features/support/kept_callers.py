"""Callers that keep a connection to a host for several requests."""

import dataclasses
import json
from typing import Any

import h11
from twisted.internet import error
from twisted.python import failure

from features.support import relay_hosts
from features.support import transports


@dataclasses.dataclass
class Answer:
    """One answer as far as it has come."""

    status: int
    headers: dict[str, str]
    body: bytes = b''
    is_whole: bool = False

    @property
    def is_last(self) -> bool:
        """Tell whether the host closes the connection behind it."""
        return self.headers.get('connection') == 'close'


class KeptTransport(transports.QuietTransport):
    """A connection that notes when and how the host ends it."""

    def __init__(self, clock: Any, protocol: Any) -> None:
        """Carry bytes for a protocol of a host."""
        super().__init__()
        self.clock = clock
        self.end = protocol
        self.closed_at: float | None = None
        self.is_reset = False

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection in order."""
        self._end(error.ConnectionDone())

    def abortConnection(self) -> None:  # noqa: N802
        """Reset the connection."""
        self.is_reset = self.closed_at is None
        self._end(error.ConnectionAborted())

    def _end(self, reason: Exception) -> None:
        if self.closed_at is None:
            self.closed_at = self.clock.seconds()
            lost = failure.Failure(reason)
            self.clock.callLater(0.0, self.end.connectionLost, lost)


class KeptCaller:
    """A caller with one connection to a host."""

    def __init__(self, world: relay_hosts.HostWorld, index: int) -> None:
        """Connect to a host, which must listen."""
        host = world.hosts[index]
        if host.caller_port is None or index in world.stopped:
            raise ConnectionRefusedError
        self.protocol = host.caller_site.buildProtocol(None)
        self.transport = KeptTransport(world.clock, self.protocol)
        self.protocol.makeConnection(self.transport)

    @property
    def is_closed(self) -> bool:
        """Tell whether the host has closed the connection."""
        return self.transport.closed_at is not None

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closed."""
        if not self.is_closed:
            self.protocol.dataReceived(data)

    def send(self, target: str, **facts: Any) -> None:
        """Send a whole request."""
        self.write(request_bytes(target, b'body', **facts))

    def answers(self) -> list[Answer]:
        """Return what has come so far."""
        return read_answers(self.transport.value())


def read_answers(data: bytes) -> list[Answer]:
    """Return the answers on a connection, the last one as far as it came."""
    found: list[Answer] = []
    while data:
        reader = h11.Connection(h11.CLIENT)
        reader.send(
            h11.Request(
                method='GET', target='/', headers=[('host', 'one.example')]
            )
        )
        reader.send(h11.EndOfMessage())
        reader.receive_data(data)
        answer, data = _read_answer(reader)
        if answer is not None:
            found.append(answer)
    return found


def _read_answer(reader: h11.Connection) -> tuple[Answer | None, bytes]:
    """Return one answer and the bytes behind it."""
    answer: Answer | None = None
    while True:
        event = reader.next_event()
        if isinstance(event, h11.Response):
            headers = {
                bytes(n).decode(): bytes(v).decode() for n, v in event.headers
            }
            answer = Answer(event.status_code, headers)
        elif answer is not None and isinstance(event, h11.Data):
            answer.body += bytes(event.data)
        elif answer is not None and isinstance(event, h11.EndOfMessage):
            answer.is_whole = True
            return answer, bytes(reader.trailing_data[0])
        else:
            return answer, b''


def request_bytes(target: str, body: bytes, **facts: Any) -> bytes:
    """Return a request with a length."""
    facts = {'access_key': 'k1'} | facts
    head = (
        f'POST {target} HTTP/1.1\r\nhost: one.example\r\n'
        f'facts: {json.dumps(facts)}\r\ncontent-length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
