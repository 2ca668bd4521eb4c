"""HTTP client for runners: stage calls, load reads and orders."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.python import failure
from twisted.web import iweb

import ragwort_http as http
import ragwort_model as model
import ragwort_wire as wire

REPLY_TIMEOUT_S = 1.0

RunnerEvent = (
    model.StageChunk
    | model.StageHeartbeat
    | model.StageEnd
    | model.StageFailed
)


class _OpenCall:
    """A stage call that has not ended."""

    def __init__(
        self, attempt: model.AttemptId, on_event: Callable[[RunnerEvent], None]
    ) -> None:
        self.attempt = attempt
        self.on_event = on_event
        self.pending_response: defer.Deferred[iweb.IResponse] | None = None
        self.reader: http.LineReader | None = None
        self.ended = False

    def fail(self, kind: model.CallFailure, detail: str) -> None:
        if not self.ended:
            self.ended = True
            self.on_event(model.StageFailed(self.attempt, kind, detail))

    def on_response(self, response: iweb.IResponse) -> None:
        if response.code != 200:
            kind = model.CallFailure.PROTOCOL
            self.fail(kind, f'status {response.code}')
        self.reader = http.LineReader(self.on_line, self.on_body_end)
        response.deliverBody(self.reader)
        if self.ended:
            self.close()

    def on_line(self, line: bytes) -> None:
        if self.ended:
            return
        try:
            record = wire.decode_result(line)
        except model.WireError as error:
            self.fail(model.CallFailure.PROTOCOL, str(error))
            self.close()
            return
        event = wire.to_stage_event(self.attempt, record)
        self.ended = isinstance(event, model.StageFailed) or (
            isinstance(event, model.StageEnd)
            and event.echoed_attempt == str(self.attempt)
        )
        self.on_event(event)
        if (
            isinstance(event, model.StageFailed)
            and event.failure == model.CallFailure.PROTOCOL
        ):
            self.close()

    def close(self) -> None:
        """Close a connection on which the answer may still come."""
        if self.reader is not None:
            self.reader.stop()

    def on_body_end(self) -> None:
        self.fail(model.CallFailure.LOST, 'the reply broke off')

    def on_error(self, reason: failure.Failure) -> None:
        if reason.check(*http.CONNECT_ERRORS):
            kind = model.CallFailure.UNREACHABLE
        else:
            kind = model.CallFailure.LOST
        self.fail(kind, reason.getErrorMessage() or reason.type.__name__)

    def cancel(self) -> None:
        self.ended = True
        if self.reader is not None:
            self.reader.stop()
        elif self.pending_response is not None:
            self.pending_response.cancel()


class RunnerClient:
    """Carry out CallRunner, CancelCall, ReadLoad and SendOrder."""

    def __init__(
        self,
        reactor: Any,
        http_client: http.HttpClient,
        on_event: Callable[[RunnerEvent], None],
        on_load: Callable[[model.LoadResult], None],
    ) -> None:
        """Pass call events to on_event and load results to on_load."""
        self.reactor = reactor
        self.http_client = http_client
        self.on_load = on_load
        self.on_event = on_event
        self.open_calls: dict[str, _OpenCall] = {}

    def call(self, effect: model.CallRunner) -> None:
        """Send a stage call."""
        attempt = effect.call.attempt
        open_call = _OpenCall(attempt, self._on_call_event)
        self.open_calls[str(attempt)] = open_call
        url = f'http://{effect.runner.address}/v1/calls'
        body = wire.encode_call(effect.call)
        pending_response = self.http_client.request(
            b'POST', url, body, effect.fresh
        )
        open_call.pending_response = pending_response
        pending_response.addCallbacks(
            open_call.on_response, open_call.on_error
        )

    def _on_call_event(self, event: RunnerEvent) -> None:
        open_call = self.open_calls.get(str(event.attempt))
        if open_call is not None and open_call.ended:
            del self.open_calls[str(event.attempt)]
        self.on_event(event)

    def cancel(self, effect: model.CancelCall) -> None:
        """Close the connection of a call, which cancels it at the runner."""
        open_call = self.open_calls.pop(str(effect.attempt), None)
        if open_call is not None:
            open_call.cancel()

    def read_load(self, effect: model.ReadLoad) -> None:
        """Request a runner's load report."""
        name = effect.runner.name
        url = f'http://{effect.runner.address}/v1/load'
        pending_reply = self._fetch_load(url)
        pending_reply.addTimeout(REPLY_TIMEOUT_S, self.reactor)
        pending_reply.addErrback(lambda _: None)
        pending_reply.addCallback(
            lambda report: self.on_load(model.LoadResult(name, report))
        )

    @defer.inlineCallbacks
    def _fetch_load(self, url: str) -> Any:
        response = yield self.http_client.request(b'GET', url)
        content = yield http.read_body(response, http.MAX_REPORT_BYTES)
        return wire.decode_load(content)

    def send_order(self, effect: model.SendOrder) -> None:
        """Send an order; its effect shows in the runner's next load report."""
        url = f'http://{effect.runner.address}/v1/orders'
        body = wire.encode_order(effect.order)
        pending_reply = self.http_client.request(
            b'POST', url, body, fresh=True
        )
        pending_reply.addCallback(http.read_body, http.MAX_REPORT_BYTES)
        pending_reply.addTimeout(REPLY_TIMEOUT_S, self.reactor)
        pending_reply.addErrback(lambda _: None)
