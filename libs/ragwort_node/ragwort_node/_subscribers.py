"""Callers that follow a request, and what they are told."""

from collections.abc import Iterable

import ragwort_model as model
from ragwort_node import _effects
from ragwort_node import _execution

HEARTBEAT_S = 1.0


class Subscribers:
    """Tell callers of their requests; out collects the effects."""

    def __init__(self, out: list[_effects.Effect]) -> None:
        """Start with the first heartbeat due at once."""
        self.out = out
        self.next_heartbeat = 0.0

    def attach(
        self,
        execution: _execution.Execution,
        subscriber: str,
        from_seq: int,
        host: str,
    ) -> None:
        """Send a subscriber all chunks from from_seq on, then what comes."""
        accepted = model.Accepted(execution.key, host)
        self.out.append(model.AnswerCaller(subscriber, accepted))
        for seq in range(from_seq, len(execution.delivered_chunks)):
            chunk = model.Chunk(seq, execution.delivered_chunks[seq])
            self.out.append(model.AnswerCaller(subscriber, chunk))
        if execution.end is not None:
            self.out.append(model.AnswerCaller(subscriber, execution.end))
        else:
            execution.subscribers[subscriber] = from_seq

    def detach(
        self,
        executions: Iterable[_execution.Execution],
        subscriber: str,
    ) -> None:
        """Forget a subscriber; its request goes on for a resumption."""
        for execution in executions:
            execution.subscribers.pop(subscriber, None)

    def tell(
        self,
        execution: _execution.Execution,
        event: model.CallerEvent,
        now: float,
    ) -> None:
        """Send an event to all callers that follow a request."""
        execution.last_event_at = now
        for subscriber in execution.subscribers:
            self.out.append(model.AnswerCaller(subscriber, event))

    def heartbeats(
        self, executions: Iterable[_execution.Execution], now: float
    ) -> None:
        """Send a heartbeat to every caller that heard nothing lately."""
        if now < self.next_heartbeat:
            return
        self.next_heartbeat = now + HEARTBEAT_S
        for execution in executions:
            if now - execution.last_event_at >= HEARTBEAT_S:
                self.tell(execution, model.Heartbeat(), now)
