"""TCP between hosts on a virtual clock, whose connections may go silent."""

from collections.abc import Callable
import random
from typing import Any

from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

from features.support import transports

LINK_S = 0.002


class PairedTransport(transports.QuietTransport):
    """One end of a connection."""

    def __init__(self, connection: 'Connection', is_caller: bool) -> None:
        """Belong to a connection, as the end that opened it or not."""
        super().__init__()
        self.connection = connection
        self.is_caller = is_caller

    def write(self, data: bytes) -> None:
        """Send bytes to the other end."""
        self.connection.carry(data, to_caller=not self.is_caller)

    def loseConnection(self) -> None:  # noqa: N802
        """Close both ends."""
        self.connection.close(error.ConnectionDone())

    def abortConnection(self) -> None:  # noqa: N802
        """Close both ends at once."""
        self.connection.close(error.ConnectionAborted())


class Connection:
    """A connection between two hosts; bytes on a silent one are lost."""

    def __init__(
        self, net: 'PeerNetwork', caller: Any, listener: Any, ends: set[str]
    ) -> None:
        """Connect two protocols."""
        self.net = net
        self.protocols = {True: caller, False: listener}
        self.ends = ends
        self.is_silent = False
        self.is_open = True
        for is_caller, end in self.protocols.items():
            end.makeConnection(PairedTransport(self, is_caller))

    def carry(self, data: bytes, to_caller: bool) -> None:
        """Deliver bytes after the time of the link."""
        arriving = self.net.carry(self, data, to_caller)
        if arriving and not self.is_silent and self.is_open:
            clock = self.net.clock
            clock.callLater(LINK_S, self._deliver, arriving, to_caller)

    def _deliver(self, data: bytes, to_caller: bool) -> None:
        if self.is_open and not self.is_silent:
            self.protocols[to_caller].dataReceived(data)

    def close(self, reason: Exception) -> None:
        """Close an open connection; on a silent one only the caller hears."""
        if not self.is_open:
            return
        self.is_open = False
        self.net.connections.remove(self)
        for is_caller, end in self.protocols.items():
            if is_caller or not self.is_silent:
                end.connectionLost(failure.Failure(reason))


Carry = Callable[[Connection, bytes, bool], bytes | None]


class PeerNetwork:
    """Carries the connections between hosts."""

    def __init__(self, clock: Any) -> None:
        """Start without connections."""
        self.clock = clock
        self.listeners: dict[str, Any] = {}
        self.connections: list[Connection] = []
        self.opened = 0
        # Returns what arrives of some bytes, None if nothing does.
        self.carry: Carry = lambda connection, data, to_caller: data
        self.is_reachable: Callable[[str, str], bool] = lambda one, other: True

    def reactor_of(self, address: str) -> 'HostReactor':
        """Return the reactor through which a host opens connections."""
        return HostReactor(self, address)

    def silence(self, hosts_share: float, rng: random.Random) -> None:
        """Let half of the connections of a share of the hosts go silent."""
        hosts = sorted(self.listeners)
        chosen = set(rng.sample(hosts, round(hosts_share * len(hosts))))
        for connection in self.connections:
            for _ in connection.ends & chosen:
                connection.is_silent |= rng.random() < 0.5


class HostReactor:
    """The reactor of one host, as far as connections to peers need it."""

    def __init__(self, net: PeerNetwork, address: str) -> None:
        """Open connections from an address."""
        self.net = net
        self.address = address

    def seconds(self) -> float:
        """Return the virtual time."""
        return float(self.net.clock.seconds())

    def callLater(  # noqa: N802
        self, delay_s: float, function: Any, *arguments: Any
    ) -> Any:
        """Call a function later."""
        return self.net.clock.callLater(delay_s, function, *arguments)

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: protocol.ClientFactory,
        timeout: float = 1.0,
    ) -> Any:
        """Open a connection to another host, or fail to."""
        connector = Connector(self.net, self.address, factory)
        connector.open(f'{host}:{port}', timeout)
        return connector


class Connector:
    """An attempt to open a connection."""

    def __init__(self, net: PeerNetwork, address: str, factory: Any) -> None:
        """Connect from an address for a factory."""
        self.net = net
        self.address = address
        self.factory = factory
        self.timer: Any = None

    def open(self, target: str, timeout_s: float) -> None:
        """Connect after a round trip, or fail after a time."""
        clock = self.net.clock
        listener = self.net.listeners.get(target)
        if listener is None or not self.net.is_reachable(self.address, target):
            self.timer = clock.callLater(timeout_s, self._fail)
        else:
            self.timer = clock.callLater(
                2 * LINK_S, self._connect, target, listener
            )

    def _connect(self, target: str, listener: Any) -> None:
        self.net.opened += 1
        self.net.connections.append(
            Connection(
                self.net,
                self.factory.buildProtocol(None),
                listener.buildProtocol(None),
                {self.address, target},
            )
        )

    def _fail(self) -> None:
        reason = failure.Failure(error.TimeoutError())
        self.factory.clientConnectionFailed(self, reason)

    def disconnect(self) -> None:
        """Give the attempt up."""
        if self.timer.active():
            self.timer.cancel()
            self._fail()
