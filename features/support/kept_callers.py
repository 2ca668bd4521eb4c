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
        found: list[Answer] = []
        rest = self.transport.value()
        while rest:
            reader = h11.Connection(h11.CLIENT)
            head = h11.Request(
                method='GET', target='/', headers=[('host', 'one.example')]
            )
            reader.send(head)
            reader.send(h11.EndOfMessage())
            reader.receive_data(rest)
            rest = b''
            while not found or not found[-1].is_whole or not rest:
                event = reader.next_event()
                if isinstance(event, h11.Response):
                    headers = {
                        bytes(n).decode(): bytes(v).decode()
                        for n, v in event.headers
                    }
                    found.append(Answer(event.status_code, headers))
                elif isinstance(event, h11.Data):
                    found[-1].body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    found[-1].is_whole = True
                    rest = bytes(reader.trailing_data[0])
                    break
                else:
                    break
        return found


def request_bytes(target: str, body: bytes, **facts: Any) -> bytes:
    """Return a request with a length."""
    facts = {'access_key': 'k1'} | facts
    head = (
        f'POST {target} HTTP/1.1\r\nhost: one.example\r\n'
        f'facts: {json.dumps(facts)}\r\ncontent-length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
