"""One send of a request to a runner, and how it ended."""

from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from ragwort_edge import _client
from ragwort_edge import _messages
import ragwort_relay as relay

if TYPE_CHECKING:
    from ragwort_edge import _request_handler


class SendOutcome(msgspec.Struct):
    """Outcome of one send to a runner.

    is_closed_early tells that the connection closed before any of the answer
    proper had come, is_silent that it is open and another runner is asked,
    is_given_up that this host closed it through no fault of the runner.
    """

    result: relay.SendResult
    response: _messages.HttpResponse | None = None
    detail: str = ''
    is_input_gone: bool = False
    is_closed_early: bool = False
    is_silent: bool = False
    is_given_up: bool = False


class SendOwner(Protocol):
    """What a send tells whoever opened it."""

    @property
    def has_other(self) -> bool:
        """Tell whether a silent send is open beside the leading one."""

    def on_silent(self, send: 'Send') -> None:
        """Decide what becomes of a send whose runner is silent."""

    def on_answer(self, send: 'Send') -> None:
        """Note that a send brings a part of the answer."""

    def on_end(self, send: 'Send') -> None:
        """Note the outcome of a send that nobody waits for."""


class Send:
    """One send, which may be silent for a while and then go on."""

    def __init__(
        self,
        handler: '_request_handler.RequestHandler',
        runner: relay.FleetRunner,
        owner: SendOwner,
    ) -> None:
        """Prepare to send handler's request to runner."""
        self.handler = handler
        self.context = handler.context
        self.runner = runner
        self.owner = owner
        self.opened_at: float = self.context.reactor.seconds()
        # When the request was sent, or the latest part of the answer came.
        self.heard_at = self.opened_at
        # What heard_at was when the latest silence was logged.
        self.silence_logged_at: float | None = None
        # Since when the runner has answered no connection at all.
        self.unreachable_at: float | None = None
        # Set once the request's attempts include this send.
        self.is_counted = False
        self.timer: Any = None
        self.ended: SendOutcome | None = None
        self.waiter: defer.Deferred[SendOutcome] | None = None

    @property
    def was_sent(self) -> bool:
        """Tell whether any bytes of the request may have been sent."""
        raise NotImplementedError

    @property
    def has_begun(self) -> bool:
        """Tell whether a part of the answer has come."""
        return False

    @property
    def awaited(self) -> str:
        """Return what the runner is to send next, for the log."""
        return 'answer'

    def open(self, request: _messages.HttpRequest) -> None:
        """Send the request."""
        raise NotImplementedError

    def stop(self) -> None:
        """Close the connection and read no more."""
        raise NotImplementedError

    def go_on(self) -> None:
        """Prepare to be the only send again."""

    def lost(self, detail: str, is_silent: bool = False) -> SendOutcome:
        """Return the outcome of a send that may have run."""
        result = relay.SendResult.LOST
        if self.has_begun:
            result = relay.SendResult.BROKEN
        return SendOutcome(result, detail=detail, is_silent=is_silent)

    def outcome(self) -> 'defer.Deferred[SendOutcome]':
        """Return how the send ends; only the latest call gets it."""
        waiter: defer.Deferred[SendOutcome] = defer.Deferred()
        if self.ended is not None:
            waiter.callback(self.ended)
        else:
            self.waiter = waiter
        return waiter

    def expect(self, delay_s: float) -> None:
        """Take the runner for silent if nothing comes for so long."""
        self._set_timer(delay_s)

    def _set_timer(self, delay_s: float | None) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        if delay_s is not None:
            self.timer = self.context.reactor.callLater(
                delay_s, self.owner.on_silent, self
            )

    def pass_on(self, outcome: SendOutcome) -> None:
        """Tell whoever waits of an outcome, final or not."""
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.called:
            waiter.callback(outcome)

    def end(self, outcome: SendOutcome) -> None:
        """Keep the final outcome, and tell it."""
        if self.ended is not None:
            return
        self._set_timer(None)
        self.ended = outcome
        if self.waiter is None or self.waiter.called:
            self.owner.on_end(self)
        else:
            self.pass_on(outcome)


class PlainSend(Send):
    """A send whose answer is read whole."""

    def __init__(
        self,
        handler: '_request_handler.RequestHandler',
        runner: relay.FleetRunner,
        owner: SendOwner,
    ) -> None:
        """Prepare to send handler's request to runner."""
        super().__init__(handler, runner, owner)
        self.call: defer.Deferred[Any] | None = None
        self.is_stopped = False
        self.is_unsent = False

    @property
    def was_sent(self) -> bool:
        """Tell whether any bytes may have been sent; known at the end."""
        return self.call is not None and not self.is_unsent

    def open(self, request: _messages.HttpRequest) -> None:
        """Send the request; the handler ends it at its deadline."""
        if self.handler.route.may_repeat:
            self.expect(self.handler.send_timeout_s())
        self.call = _client.fetch(
            self.context.client,
            self.runner.address,
            request,
            self.handler.left_s() + _client.CONNECT_TIMEOUT_S,
        )
        self.call.addCallbacks(self._on_response, self._on_error)
        self.call.addErrback(self._on_unexpected_error)

    def stop(self) -> None:
        """Close the connection and read no more."""
        self._set_timer(None)
        self.is_stopped = True
        if self.call is not None:
            self.call.cancel()

    def _on_response(self, response: _messages.HttpResponse) -> None:
        took_s = self.context.reactor.seconds() - self.opened_at
        self.end(self.handler.classify_response(self.runner, response, took_s))

    def _on_error(self, failure: Any) -> None:
        error = failure.trap(_client.CallError) and failure.value
        is_unsent = error.kind == _client.CallErrorKind.NOT_CONNECTED
        self.is_unsent = is_unsent
        if self.is_stopped:
            return
        lost = relay.SendResult.LOST
        self.end(
            SendOutcome(
                relay.SendResult.NOT_SENT if is_unsent else lost,
                detail=str(error),
                is_closed_early=error.kind == _client.CallErrorKind.CLOSED,
            )
        )

    def _on_unexpected_error(self, failure: Any) -> None:
        """Count an answer that can't be handled as lost."""
        self.context.logger.error(
            'unhandled-error', detail=failure.getTraceback()[-1500:]
        )
        self.end(SendOutcome(relay.SendResult.LOST, detail='internal error'))
