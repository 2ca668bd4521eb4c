"""Answer streams that this node forwards from the host that runs them."""

import dataclasses

import ragwort_model as model
from ragwort_node import _effects
import ragwort_wire as wire

SILENCE_S = 2.5
MAX_REASKS = 3


@dataclasses.dataclass(slots=True)
class Relay:
    """A subscriber here, and the stream it follows there."""

    token: str
    key: str
    host: str
    address: str
    subscriber: str
    body_digest: str
    next_seq: int
    expires_at: float
    last_event_at: float
    accepted: bool
    reasks: int = 0


class RelayTable:
    """Follow remote streams on behalf of local subscribers."""

    def __init__(self, host: str, effects: list[_effects.Effect]) -> None:
        """Collect effects in out."""
        self.host = host
        self.effects = effects
        self.relays: dict[str, Relay] = {}
        self.count = 0

    def open(
        self,
        key: str,
        host: str,
        address: str,
        subscriber: str,
        from_seq: int,
        body_digest: str,
        now: float,
        expires_at: float,
        accepted: bool,
    ) -> None:
        """Ask host for a stream; accepted tells what the caller knows."""
        self.count += 1
        relay = Relay(
            f'{self.host}/{self.count}',
            key,
            host,
            address,
            subscriber,
            body_digest,
            from_seq,
            expires_at,
            now,
            accepted,
        )
        self.relays[relay.token] = relay
        self._ask(relay, False)

    def _ask(self, relay: Relay, fresh: bool) -> None:
        message = model.Follow(
            relay.key, relay.token, relay.next_seq, relay.body_digest
        )
        self.effects.append(
            model.SendPeerMessage(relay.address, message, fresh)
        )

    def on_event(self, message: model.FollowEvent, now: float) -> None:
        """Pass an event on if it is the next one of its stream."""
        relay = self.relays.get(message.token)
        if relay is None:
            return
        event = wire.decode_event(message.event)
        relay.last_event_at = now
        relay.reasks = 0
        if isinstance(event, model.Accepted) and relay.accepted:
            return
        if isinstance(event, model.Accepted):
            relay.accepted = True
        if isinstance(event, model.Chunk):
            if event.seq < relay.next_seq:
                return
            if event.seq > relay.next_seq:
                self._ask(relay, False)
                return
            relay.next_seq += 1
        if isinstance(event, model.End):
            whole = event.count <= relay.next_seq
            if not whole:
                self._ask(relay, False)
                return
            del self.relays[relay.token]
        self.effects.append(model.AnswerCaller(relay.subscriber, event))

    def tick(self, now: float, live: frozenset[str]) -> None:
        """Ask again after silence; end streams whose host is gone."""
        for relay in list(self.relays.values()):
            if relay.host not in live:
                self._give_up(relay, f'host {relay.host} is gone')
            elif now >= relay.expires_at:
                self._give_up(relay, 'deadline passed')
            elif now - relay.last_event_at >= SILENCE_S:
                relay.last_event_at = now
                relay.reasks += 1
                if relay.reasks > MAX_REASKS:
                    self._give_up(relay, f'host {relay.host} is silent')
                else:
                    self._ask(relay, True)

    def _give_up(self, relay: Relay, reason: str) -> None:
        del self.relays[relay.token]
        end = model.End(
            relay.key, model.Outcome.UNKNOWN, relay.next_seq, '', reason
        )
        self.effects.append(model.AnswerCaller(relay.subscriber, end))

    def detach(self, subscriber: str) -> None:
        """Forget the relays of a subscriber that is gone."""
        for token, relay in list(self.relays.items()):
            if relay.subscriber == subscriber:
                del self.relays[token]
