"""A loopback proxy that misbehaves on demand."""

import enum
import socket
from typing import Any

from twisted.internet import error
from twisted.internet import protocol

# Connections that fill a queue without room, and some to be sure.
QUEUED = 4


class ProxyMode(enum.StrEnum):
    """What a proxy does with connections and their bytes."""

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    SILENT = 'silent'
    ONE_WAY = 'one-way'


DELAY_S = 0.3
# Of a proxy that reads slowly: its buffer, the bytes in a row behind which it
# stops, how long it stops, and how long it then reads on at least.
SLOW_BUFFER_BYTES = 16 * 1024
BURST_BYTES = 32 * 1024
BURST_GAP_S = 0.2
STOP_S = 4.5
READ_ON_S = 10.0


class FaultProxy:
    """Hands bytes on between callers and one target."""

    def __init__(self, reactor: Any, target: str) -> None:
        """Listen on a free loopback port."""
        self.reactor = reactor
        host, _, port = target.partition(':')
        self.target = (host, int(port))
        self.mode = ProxyMode.PASS
        # Set if it stops reading in the middle of long answers of its target,
        # and of long requests to it.
        self.reads_answers_slowly = False
        self.reads_requests_slowly = False
        self.sides: set[_Side] = set()
        self.factory = protocol.Factory.forProtocol(lambda: _Incoming(self))
        self.factory.noisy = False
        self.port: Any = None
        self.number = 0
        self.listen()
        self.address = f'127.0.0.1:{self.number}'

    def listen(self) -> None:
        """Accept connections, always on the same port."""
        if self.port is None:
            self.port = self.reactor.listenTCP(
                self.number, self.factory, interface='127.0.0.1'
            )
            self.number = self.port.getHost().port

    def refuse(self) -> None:
        """Refuse connections, as where nobody listens."""
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()

    def set_mode(self, mode: ProxyMode) -> None:
        """Change what happens from now on; what was held back is lost."""
        was_held = self.mode in (ProxyMode.SILENT, ProxyMode.ONE_WAY)
        self.mode = mode
        if mode == ProxyMode.RESET or was_held:
            for side in list(self.sides):
                side.transport.abortConnection()

    def carry(self, data: bytes, to: '_Side | None', is_answer: bool) -> None:
        """Hand bytes on as the mode says."""
        if to is None or self.mode == ProxyMode.SILENT:
            return
        if self.mode == ProxyMode.ONE_WAY and is_answer:
            return
        if self.mode == ProxyMode.DELAY or to.delayed:
            # Bytes of a connection never overtake those before them.
            to.delayed.append(data)
            self.reactor.callLater(DELAY_S, to.write_delayed)
        else:
            to.transport.write(data)

    def close(self) -> None:
        """Stop listening and cut all connections."""
        self.refuse()
        for side in list(self.sides):
            side.transport.abortConnection()


class _Side(protocol.Protocol):
    """One of the two connections of a pair."""

    is_answer = False

    def __init__(self, proxy: FaultProxy) -> None:
        self.proxy = proxy
        self.other: _Side | None = None
        self.early: list[bytes] = []
        self.delayed: list[bytes] = []
        self.burst_bytes = 0
        self.heard_at = 0.0
        self.stops_from = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        self.proxy.sides.add(self)
        if self._is_slow:
            self.transport.getHandle().setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES
            )

    @property
    def _is_slow(self) -> bool:
        proxy = self.proxy
        if self.is_answer:
            return proxy.reads_answers_slowly
        return proxy.reads_requests_slowly

    def _read_slowly(self, size: int) -> None:
        """Stop for a while in the middle of a long message."""
        now = self.proxy.reactor.seconds()
        if now > self.heard_at + BURST_GAP_S:
            self.burst_bytes = 0
        self.heard_at = now
        self.burst_bytes += size
        if self.burst_bytes < BURST_BYTES or now < self.stops_from:
            return
        self.stops_from = now + STOP_S + READ_ON_S
        self.transport.pauseProducing()
        self.proxy.reactor.callLater(STOP_S, self._read_on)

    def _read_on(self) -> None:
        if self in self.proxy.sides:
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._is_slow:
            self._read_slowly(len(data))
        if self.other is None:
            self.early.append(data)
        else:
            self.proxy.carry(data, self.other, self.is_answer)

    def write_delayed(self) -> None:
        """Write the bytes that were held back first."""
        self.transport.write(self.delayed.pop(0))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.proxy.sides.discard(self)
        other, self.other = self.other, None
        if other is None:
            return
        other.other = None
        if self.proxy.mode == ProxyMode.SILENT:
            return
        if reason is not None and reason.check(error.ConnectionDone):
            other.transport.loseConnection()
        else:
            other.transport.abortConnection()


class _Incoming(_Side):
    """The caller's side; it opens the other one."""

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        proxy = self.proxy
        if proxy.mode == ProxyMode.RESET:
            self.transport.abortConnection()
            return
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda address: _Outgoing(proxy, self)
        factory.clientConnectionFailed = lambda connector, reason: (
            self.transport.abortConnection()
        )
        proxy.reactor.connectTCP(*proxy.target, factory, timeout=2)


class _Outgoing(_Side):
    """The target's side."""

    is_answer = True

    def __init__(self, proxy: FaultProxy, incoming: _Side) -> None:
        super().__init__(proxy)
        self.other = incoming

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        incoming = self.other
        if incoming is None or incoming.transport is None:
            self.transport.abortConnection()
            return
        incoming.other = self
        for data in incoming.early:
            self.proxy.carry(data, self, False)
        incoming.early.clear()


class DeadEnd:
    """An address at which connections hang: its queue is always full."""

    def __init__(self) -> None:
        """Listen, fill the queue and accept nothing."""
        self.listener = socket.socket()
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen(0)
        self.waiting = [socket.socket() for _ in range(QUEUED)]
        for waiting in self.waiting:
            waiting.setblocking(False)
            waiting.connect_ex(self.listener.getsockname())

    @property
    def address(self) -> str:
        """Return the address."""
        name, port = self.listener.getsockname()
        return f'{name}:{port}'

    def close(self) -> None:
        """Close all sockets."""
        for waiting in (*self.waiting, self.listener):
            waiting.close()
