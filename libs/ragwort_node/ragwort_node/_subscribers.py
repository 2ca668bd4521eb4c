"""Callers that follow a request, and the events sent to them."""

from collections.abc import Iterable

import ragwort_model as model
from ragwort_node import _effects
from ragwort_node import _execution

HEARTBEAT_S = 1.0


class Subscribers:
    """Send the events of requests to their callers, as effects."""

    def __init__(self, effects: list[_effects.Effect]) -> None:
        """Append to effects; the first heartbeat is due at once."""
        self.effects = effects
        self.next_heartbeat = 0.0

    def attach(
        self,
        execution: _execution.Execution,
        subscriber: str,
        from_seq: int,
        host: str,
    ) -> None:
        """Replay the chunks from from_seq on, then send later events."""
        accepted = model.Accepted(execution.key, host)
        self.effects.append(model.AnswerCaller(subscriber, accepted))
        for seq in range(from_seq, len(execution.delivered_chunks)):
            chunk = model.Chunk(seq, execution.delivered_chunks[seq])
            self.effects.append(model.AnswerCaller(subscriber, chunk))
        if execution.end is not None:
            self.effects.append(model.AnswerCaller(subscriber, execution.end))
        else:
            execution.subscribers[subscriber] = from_seq

    def detach(
        self,
        executions: Iterable[_execution.Execution],
        subscriber: str,
    ) -> None:
        """Remove a subscriber; its request runs on so it can be resumed."""
        for execution in executions:
            execution.subscribers.pop(subscriber, None)

    def notify(
        self,
        execution: _execution.Execution,
        event: model.CallerEvent,
        now: float,
    ) -> None:
        """Send an event to all subscribers of a request."""
        execution.last_event_at = now
        for subscriber in execution.subscribers:
            self.effects.append(model.AnswerCaller(subscriber, event))

    def send_heartbeats(
        self, executions: Iterable[_execution.Execution], now: float
    ) -> None:
        """Send a heartbeat for requests without a recent event."""
        if now < self.next_heartbeat:
            return
        self.next_heartbeat = now + HEARTBEAT_S
        for execution in executions:
            if now - execution.last_event_at >= HEARTBEAT_S:
                self.notify(execution, model.Heartbeat(), now)
