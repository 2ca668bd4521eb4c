"""Forwarding the complete events of a runner's event stream."""

from typing import TYPE_CHECKING

from ragwort_edge import _back_pressure
from ragwort_edge import _body
from ragwort_edge import _client
from ragwort_edge import _heads
from ragwort_edge import _messages
from ragwort_edge import _runner_replies
from ragwort_edge import _sends
import ragwort_relay as relay

if TYPE_CHECKING:
    from ragwort_edge import _request_handler

# Time without an event after which a second runner is asked to go on with a
# stream, as a multiple of the longest gap that meets the target. A sound
# runner may be silent for a second; the caller leaves after its patience.
GAP_TIMEOUT_FACTOR = 4.0
MIN_GAP_TIMEOUT_S = 1.5
GAP_PATIENCE_SHARE = 0.7
# The same for the first event, as a multiple of the target latency.
FIRST_EVENT_TIMEOUT_FACTOR = 2.0
MIN_FIRST_EVENT_TIMEOUT_S = 1.5
EVENT_STREAM = b'text/event-stream'
# Far more than the longest stream of a model.
MAX_STREAM_BYTES = 16_000_000
MAX_STREAM_EVENTS = 100_000


class StreamReader(_sends.Send, _client.ResponseReader):
    """Reads the response to one send of a streaming request."""

    def __init__(
        self,
        handler: '_request_handler.RequestHandler',
        runner: relay.FleetRunner,
        owner: _sends.SendOwner,
    ) -> None:
        """Read runner's response; skip events that the caller has."""
        super().__init__(handler, runner, owner)
        # As of the call: the entry may be that of a new incarnation later.
        self.called = runner.entry.runner
        self.progress = handler.progress
        self.event_parser = relay.EventSplitter()
        self.head: _messages.HttpResponse | None = None
        # Of a response that is no event stream.
        self.body = _body.BodyBuffer(
            self.context.client.held,
            _body.MAX_ANSWER_BYTES,
            self._on_damaged,
        )
        self.stream_bytes = 0
        self.event_count = 0
        # Set once an event has come that is more than comments.
        self.has_numbered = False
        self.is_event_stream = False
        self.open_call: _client.OpenCall | None = None
        self.pressure = _back_pressure.BackPressure(
            self.context.reactor, handler.exchange, self._on_pause
        )

    @property
    def was_sent(self) -> bool:
        """Tell whether any bytes of the request may have been sent."""
        return self.open_call is not None and self.open_call.was_sent

    @property
    def has_begun(self) -> bool:
        """Tell whether an event has come."""
        return self.event_count > 0

    @property
    def awaited(self) -> str:
        """Return what the runner is to send next, for the log."""
        return 'next event' if self.has_begun else 'first event'

    def open(self, request: _messages.HttpRequest) -> None:
        """Send the request."""
        self.open_call = self.context.client.open(
            self.runner.address, request, self
        )
        self.pressure.call = self.open_call
        route = self.handler.route
        if route.may_repeat:
            self.expect(
                max(
                    FIRST_EVENT_TIMEOUT_FACTOR * route.target_s,
                    MIN_FIRST_EVENT_TIMEOUT_S,
                )
            )

    def go_on(self) -> None:
        """Prepare to be the only send again."""
        self.pressure.follow()

    def stop(self) -> None:
        """Close the connection and read no more."""
        self._set_timer(None)
        self.pressure.stop()
        self.body.drop()
        if self.open_call is not None:
            self.open_call.cancel()

    def _on_damaged(self, reason: str) -> None:
        """Give up a response that has no end or no sound form."""
        self.stop()
        is_broken = self.is_event_stream
        result = (
            relay.SendResult.BROKEN if is_broken else relay.SendResult.LOST
        )
        self._finish(result, reason)

    def on_head(self, response: _messages.HttpResponse) -> None:
        """Read the headers; only an event stream is forwarded as it comes."""
        self.head = response
        content_type = response.header(b'content-type') or b''
        reply = self.context.dialect.read_reply(
            response, self.handler.metadata.request_id
        )
        now = self.context.reactor.seconds()
        if reply.load is not None:
            self.context.catalog.on_load(self.runner, reply.load, now)
        _runner_replies.on_reply(
            self.context.catalog,
            self.context.logger,
            self.runner,
            reply,
            reply.is_authentic,
            self.opened_at,
            now,
        )
        self.is_event_stream = (
            response.status == 200
            and reply.is_authentic
            and content_type.startswith(EVENT_STREAM)
        )
        problem = _heads.head_problem(
            response.status, _messages.end_to_end(response.headers)
        )
        if problem is not None:
            self.is_event_stream = False
            self._on_damaged(problem)

    def on_data(self, data: bytes) -> None:
        """Forward the events that are complete."""
        try:
            self._read_events(data)
        except Exception:
            # Events count as forwarded that the caller may lack.
            self.handler.may_resume = False
            raise

    def _read_events(self, data: bytes) -> None:
        if not self.is_event_stream:
            self.body.add(data)
            return
        self.stream_bytes += len(data)
        if self.stream_bytes > MAX_STREAM_BYTES:
            self._on_damaged(f'stream of over {MAX_STREAM_BYTES} bytes')
            return
        events, damage = self._next_events(data)
        if events:
            self._pass_on(events)
        if self.event_count > MAX_STREAM_EVENTS:
            damage = f'stream of over {MAX_STREAM_EVENTS} events'
        if damage:
            self._on_damaged(damage)

    def _next_events(self, data: bytes) -> tuple[list[relay.StreamEvent], str]:
        """Return the events to forward, and what is wrong behind them.

        Those before a damage count as forwarded: another runner is asked to
        go on behind them.
        """
        events: list[relay.StreamEvent] = []
        try:
            for event in self.event_parser.feed(data):
                if self.progress.accept(event):
                    events.append(event)
                    self.has_numbered |= event.event_id is not None
        except ValueError as error:
            return events, str(error)
        return events, ''

    def _pass_on(self, events: list[relay.StreamEvent]) -> None:
        """Forward events, which may be the first ones."""
        if self.owner.has_other and not self.has_numbered:
            # Comments are no answer, and another runner may go on.
            return
        is_first = not self.event_count
        self.event_count += len(events)
        self.heard_at = self.context.reactor.seconds()
        self.owner.on_answer(self)
        self.handler.on_event_from(self.called)
        if is_first:
            self._on_first_event()
        self._forward(b''.join(event.data for event in events))

    def _on_first_event(self) -> None:
        """Free the results that the runner has read; learn from its time."""
        self.handler.stages.release_all()
        now = self.context.reactor.seconds()
        self.handler.placement.on_first_event(
            self.runner, now - self.opened_at, now
        )

    def _forward(self, data: bytes) -> None:
        exchange = self.handler.exchange
        if not exchange.is_started and not exchange.is_over:
            assert self.head is not None
            self.handler.on_first_event()
            exchange.start(
                self.head.status, _messages.end_to_end(self.head.headers)
            )
        exchange.write(data)
        self.pressure.on_data()
        self._await_event()

    def _on_pause(self, is_paused: bool) -> None:
        """Expect no event while this host does not read."""
        if is_paused:
            self._set_timer(None)
        else:
            self._await_event()

    def _await_event(self) -> None:
        route = self.handler.route
        if route.may_repeat and not self.pressure.is_paused:
            usual_s = GAP_TIMEOUT_FACTOR * route.max_gap_s
            self.expect(
                min(
                    max(usual_s, MIN_GAP_TIMEOUT_S),
                    GAP_PATIENCE_SHARE * route.patience_s,
                )
            )

    def on_end(self) -> None:
        """Finish the send at the end of the response."""
        self._set_timer(None)
        self.pressure.stop()
        assert self.head is not None
        took_s = self.context.reactor.seconds() - self.opened_at
        if not self.is_event_stream:
            response = _messages.HttpResponse(
                self.head.status, self.head.headers, self.body.take()
            )
            self.end(
                self.handler.classify_response(self.runner, response, took_s)
            )
            return
        if self.event_parser.buffer.strip():
            self._finish(
                relay.SendResult.BROKEN, 'ends within an event', is_closed=True
            )
            return
        is_sure = _messages.is_framed(self.head) and not self.owner.has_other
        if not self.has_numbered and not is_sure:
            # The runner may have ended before it began. An explicit end is
            # taken for one, as the caller may have all events already, unless
            # the runner that sent those may go on.
            self._finish(
                relay.SendResult.BROKEN,
                'ends without an event',
                is_closed=True,
            )
            return
        if not self.handler.exchange.is_started:
            self._forward(b'')
        self.runner.state.on_result(
            took_s, took_s, self.context.reactor.seconds()
        )
        self.handler.placement.on_call_end(self.runner, took_s)
        self._finish(relay.SendResult.DONE, '')

    def on_error(self, call_error: _client.CallError) -> None:
        """Finish the send after a failed call."""
        self._set_timer(None)
        self.pressure.stop()
        self.body.drop()
        if call_error.kind == _client.CallErrorKind.NOT_CONNECTED:
            self._finish(relay.SendResult.NOT_SENT, str(call_error))
        else:
            is_broken = self.is_event_stream
            self._finish(
                relay.SendResult.BROKEN
                if is_broken
                else relay.SendResult.LOST,
                str(call_error),
                is_closed=call_error.kind == _client.CallErrorKind.CLOSED,
            )

    def _finish(
        self, result: relay.SendResult, detail: str, is_closed: bool = False
    ) -> None:
        self.end(
            _sends.SendOutcome(
                result,
                detail=detail,
                is_closed_early=is_closed and not self.has_begun,
            )
        )
