"""Answer streams that run on other hosts and are forwarded to callers."""

import dataclasses

import ragwort_model as model
from ragwort_node import _effects
import ragwort_wire as wire

SILENCE_TIMEOUT_S = 2.5
MAX_FOLLOW_RETRIES = 3


@dataclasses.dataclass(slots=True)
class FollowedStream:
    """A local subscriber and the remote stream that it follows.

    last_activity_at is when the last event came or Follow was repeated;
    retries counts the repetitions since the last event.
    """

    token: str
    key: str
    host: str
    peer_address: str
    subscriber: str
    body_digest: str
    next_seq: int
    expires_at: float
    last_activity_at: float
    accepted_sent: bool
    retries: int = 0


class StreamFollower:
    """Follow remote streams on behalf of local subscribers."""

    def __init__(self, host: str, effects: list[_effects.Effect]) -> None:
        """Append to effects; host is this node's name."""
        self.host = host
        self.effects = effects
        self.streams: dict[str, FollowedStream] = {}
        self.token_count = 0

    def follow(
        self,
        key: str,
        host: str,
        peer_address: str,
        subscriber: str,
        from_seq: int,
        body_digest: str,
        now: float,
        expires_at: float,
        accepted_sent: bool,
    ) -> None:
        """Ask host for a stream on behalf of a subscriber.

        accepted_sent tells that the caller has had its Accepted event.
        """
        self.token_count += 1
        stream = FollowedStream(
            f'{self.host}/{self.token_count}',
            key,
            host,
            peer_address,
            subscriber,
            body_digest,
            from_seq,
            expires_at,
            now,
            accepted_sent,
        )
        self.streams[stream.token] = stream
        self._send_follow(stream, False)

    def _send_follow(self, stream: FollowedStream, fresh: bool) -> None:
        message = model.Follow(
            stream.key, stream.token, stream.next_seq, stream.body_digest
        )
        self.effects.append(
            model.SendPeerMessage(stream.peer_address, message, fresh)
        )

    def on_event(self, message: model.FollowEvent, now: float) -> None:
        """Forward an event if it is the next one of its stream."""
        stream = self.streams.get(message.token)
        if stream is None:
            return
        event = wire.decode_event(message.event)
        stream.last_activity_at = now
        stream.retries = 0
        if isinstance(event, model.Accepted) and stream.accepted_sent:
            return
        if isinstance(event, model.Accepted):
            stream.accepted_sent = True
        if isinstance(event, model.Chunk):
            if event.seq < stream.next_seq:
                return
            if event.seq > stream.next_seq:
                self._send_follow(stream, False)
                return
            stream.next_seq += 1
        if isinstance(event, model.End):
            is_complete = event.count <= stream.next_seq
            if not is_complete:
                self._send_follow(stream, False)
                return
            del self.streams[stream.token]
        self.effects.append(model.AnswerCaller(stream.subscriber, event))

    def tick(self, now: float, live: frozenset[str]) -> None:
        """Repeat Follow after silence; end streams whose host is not alive."""
        for stream in list(self.streams.values()):
            if stream.host not in live:
                self._end_unknown(stream, f'host {stream.host} is gone')
            elif now >= stream.expires_at:
                self._end_unknown(stream, 'deadline passed')
            elif now - stream.last_activity_at >= SILENCE_TIMEOUT_S:
                stream.last_activity_at = now
                stream.retries += 1
                if stream.retries > MAX_FOLLOW_RETRIES:
                    self._end_unknown(stream, f'host {stream.host} is silent')
                else:
                    self._send_follow(stream, True)

    def _end_unknown(self, stream: FollowedStream, reason: str) -> None:
        del self.streams[stream.token]
        end = model.End(
            stream.key, model.Outcome.UNKNOWN, stream.next_seq, '', reason
        )
        self.effects.append(model.AnswerCaller(stream.subscriber, end))

    def detach(self, subscriber: str) -> None:
        """Stop following on behalf of a disconnected subscriber."""
        for token, stream in list(self.streams.items()):
            if stream.subscriber == subscriber:
                del self.streams[token]
