"""Steps of the connections between two hosts."""

from typing import Any

from behave import given
from behave import then
from behave import when
from twisted.internet import task

from features.support import peer_links
import ragwort_model as model
import ragwort_peers as peers
import ragwort_wire as wire

OWN = '10.0.0.1:84'
PEER = '10.0.1.1:84'
STEP_S = 0.01
# Time for a message to arrive, with the opening of its connection.
ARRIVAL_S = 0.05


class Pair:
    """A host, its peer and what has arrived there, with the times."""

    def __init__(self) -> None:
        """Connect nothing yet."""
        self.clock = task.Clock()
        self.network = peer_links.PeerNetwork(self.clock)
        self.network.listeners[PEER] = peers.IncomingPeerFactory(
            self._on_frame, self._on_error
        )
        self.peers = peers.PeerConnections(self.network.reactor_of(OWN), OWN)
        self.peers.on_silent = self._on_silent
        self.sent_at: dict[int, float] = {}
        self.arrived: list[tuple[int, float]] = []
        self.errors: list[str] = []
        self.silent = 0

    def _on_frame(self, frame: wire.PeerFrame) -> None:
        assert isinstance(frame.message, model.Ack)
        self.arrived.append((frame.message.sequence, self.clock.seconds()))

    def _on_error(self, detail: str) -> None:
        self.errors.append(detail)

    def _on_silent(self, address: str, frame_count: int, age_s: float) -> None:
        assert address == PEER
        assert frame_count > 0
        self.silent += 1

    def send(self) -> None:
        """Send one message."""
        now = self.clock.seconds()
        number = len(self.sent_at)
        self.sent_at[number] = now
        ack = model.Ack(number, 0.0, [])
        self.peers.send(model.SendPeerMessage(PEER, ack), now)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    @property
    def numbers(self) -> list[int]:
        """Return the messages as they arrived."""
        return [number for number, _ in self.arrived]


class _ReceiptFilter:
    """Drops what a peer sends back on connections."""

    def __init__(self, network: peer_links.PeerNetwork) -> None:
        self.carry = network.carry
        network.carry = self

    def __call__(
        self, connection: Any, data: bytes, to_caller: bool
    ) -> bytes | None:
        return None if to_caller else data


@given('a host that sends messages to a peer')
def make_pair(context: Any) -> None:
    """Start without connections."""
    context.pair = Pair()


@given('the peer sends no receipts')
@when('the peer sends no receipts any more')
def drop_receipts(context: Any) -> None:
    """Lose all that the peer sends back."""
    _ReceiptFilter(context.pair.network)


@when('a message is sent and arrives')
def send_one(context: Any) -> None:
    """Open the connection."""
    context.pair.send()
    context.pair.run(ARRIVAL_S)
    assert context.pair.numbers == [0]


@when('its connection falls silent')
def fall_silent(context: Any) -> None:
    """Lose what the open connection carries."""
    (connection,) = context.pair.network.connections
    connection.is_silent = True


@when('{count:d} messages are sent')
def send_some(context: Any, count: int) -> None:
    """Send them at once."""
    for _ in range(count):
        context.pair.send()


@when('{count:d} messages are sent while the connection is reset')
def send_and_reset(context: Any, count: int) -> None:
    """Reset the connection before the messages arrive."""
    send_some(context, count)
    (connection,) = context.pair.network.connections
    connection.close(ConnectionResetError())


@when('{count:d} messages are sent in {seconds:g} s')
def send_evenly(context: Any, count: int, seconds: float) -> None:
    """Send them at an even rate."""
    for _ in range(count):
        context.pair.send()
        context.pair.run(seconds / count)
    context.pair.run(ARRIVAL_S)


@when('{seconds:g} s of silence pass')
def wait(context: Any, seconds: float) -> None:
    """Send nothing."""
    context.pair.run(seconds)


@when(
    'every connection falls silent for {seconds:g} s while {count:d} messages'
    ' are sent'
)
def silence_all(context: Any, seconds: float, count: int) -> None:
    """Lose what any connection carries, then heal the path."""
    pair = context.pair
    whole = pair.network.carry
    pair.network.carry = lambda connection, data, to_caller: None
    send_evenly(context, count, seconds)
    pair.network.carry = whole
    pair.run(10.0)


@when('a message is damaged on its way and {count:d} others follow')
def damage_one(context: Any, count: int) -> None:
    """Spoil one message, whenever it is sent, and send others."""
    pair = context.pair
    number = len(pair.sent_at)
    spoiled = wire.encode_peer(OWN, model.Ack(number, 0.0, []), False, 2)

    def spoil(connection: Any, data: bytes, to_caller: bool) -> bytes:
        return data.replace(spoiled, b'\xff' * len(spoiled))

    pair.network.carry = spoil
    pair.send()
    pair.run(ARRIVAL_S)
    send_some(context, count)
    context.others = list(range(number + 1, number + 1 + count))


@when('a message of a later version is sent and {count:d} others follow')
def send_unknown(context: Any, count: int) -> None:
    """Turn one message into one of a type with an unknown number."""
    pair = context.pair
    number = len(pair.sent_at)
    known = wire.encode_peer(OWN, model.Ack(number, 0.0, []), False, 2)
    # The field of the message in the envelope: type struct, number 11.
    unknown = known.replace(b'\x0c\x00\x0b', b'\x0c\x7f\x0b')
    assert known != unknown

    def replace(connection: Any, data: bytes, to_caller: bool) -> bytes:
        return data.replace(known, unknown)

    pair.network.carry = replace
    pair.send()
    send_some(context, count)
    context.others = list(range(number + 1, number + 1 + count))


@when('{count:d} messages of 1 MB are sent to a peer that is away')
def send_large(context: Any, count: int) -> None:
    """Send what can't be delivered."""
    pair = context.pair
    pair.network.listeners.clear()
    push = model.StatePush([model.StoredObject('a', 1, 'x' * 10**6)], False)
    for _ in range(count):
        pair.peers.send(
            model.SendPeerMessage(PEER, push), pair.clock.seconds()
        )


@then('all messages have arrived in order within {seconds:g} s')
def check_all(context: Any, seconds: float) -> None:
    """Compare what arrived first with what was sent."""
    context.pair.run(seconds)
    arrived = list(dict.fromkeys(context.pair.numbers))
    assert arrived == sorted(context.pair.sent_at), arrived


@then('each message has arrived once')
def check_once(context: Any) -> None:
    """Compare all that arrived with what was sent."""
    assert context.pair.numbers == sorted(context.pair.sent_at)


@then('no message was missed')
def check_complete(context: Any) -> None:
    """Compare what arrived, maybe twice, with what was sent."""
    context.pair.run(ARRIVAL_S)
    assert set(context.pair.numbers) == set(context.pair.sent_at)


@then('the others have arrived within {seconds:g} s')
def check_others(context: Any, seconds: float) -> None:
    """Look for the messages after the odd one."""
    context.pair.run(seconds)
    assert context.pair.errors
    arrived = dict.fromkeys(n for n in context.pair.numbers if n)
    assert list(arrived) == context.others, context.pair.numbers


@then('no message arrives that is older than {seconds:g} s')
def check_age(context: Any, seconds: float) -> None:
    """Compare the times of sending and arrival."""
    pair = context.pair
    ages_s = [at - pair.sent_at[number] for number, at in pair.arrived]
    assert max(ages_s) <= seconds, max(ages_s)


@then('the host has noticed {count:d} silent connection')
def check_noticed(context: Any, count: int) -> None:
    """Compare the count."""
    assert context.pair.silent == count, context.pair.silent


@then('{count:d} connection was opened')
def check_opened(context: Any, count: int) -> None:
    """Compare the count."""
    assert context.pair.network.opened == count, context.pair.network.opened


@then('at most {count:d} connections were opened')
def check_opened_most(context: Any, count: int) -> None:
    """Compare the count with a bound."""
    assert context.pair.network.opened <= count, context.pair.network.opened


@then('at most {size:d} MB wait')
def check_waiting(context: Any, size: int) -> None:
    """Add up what is kept to be sent."""
    (connection,) = context.pair.peers.connections.values()
    frames = connection.unconfirmed.frames
    assert sum(len(f.data) for f in frames) <= size * 10**6
