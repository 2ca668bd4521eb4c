"""Stage calls over HTTP."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.python import failure
from twisted.web import client
from twisted.web import iweb

import ragwort_http as http
import ragwort_model as model
import ragwort_wire as wire

REPORT_TIMEOUT_S = 1.0

RunnerEvent = (
    model.StageChunk
    | model.StageHeartbeat
    | model.StageEnd
    | model.StageFailed
)


class _OpenCall:
    """One call between its request and its end record."""

    def __init__(
        self, attempt: model.AttemptId, on_event: Callable[[RunnerEvent], None]
    ) -> None:
        self.attempt = attempt
        self.on_event = on_event
        self.sent: defer.Deferred[iweb.IResponse] | None = None
        self.reader: http.LineReader | None = None
        self.over = False

    def fail(self, kind: model.CallFailure, detail: str) -> None:
        if not self.over:
            self.over = True
            self.on_event(model.StageFailed(self.attempt, kind, detail))

    def on_response(self, response: iweb.IResponse) -> None:
        if response.code != 200:
            kind = model.CallFailure.PROTOCOL
            self.fail(kind, f'status {response.code}')
        self.reader = http.LineReader(self.on_line, self.on_body_end)
        response.deliverBody(self.reader)

    def on_line(self, line: bytes) -> None:
        if self.over:
            return
        try:
            record = wire.decode_result(line)
        except model.WireError as error:
            self.fail(model.CallFailure.PROTOCOL, str(error))
            return
        event = wire.to_stage_event(self.attempt, record)
        self.over = isinstance(event, model.StageFailed) or (
            isinstance(event, model.StageEnd)
            and event.echoed_attempt == str(self.attempt)
        )
        self.on_event(event)

    def on_body_end(self) -> None:
        self.fail(model.CallFailure.LOST, 'the reply broke off')

    def on_error(self, reason: failure.Failure) -> None:
        if reason.check(*http.CONNECT_ERRORS):
            kind = model.CallFailure.UNREACHABLE
        else:
            kind = model.CallFailure.LOST
        self.fail(kind, reason.getErrorMessage() or reason.type.__name__)

    def cancel(self) -> None:
        self.over = True
        if self.reader is not None:
            self.reader.stop()
        elif self.sent is not None:
            self.sent.cancel()


class RunnerClient:
    """Carry out CallRunner, CancelCall, ReadLoad and SendOrder."""

    def __init__(
        self,
        reactor: Any,
        connections: http.HttpClient,
        on_event: Callable[[RunnerEvent], None],
        on_load: Callable[[model.LoadResult], None],
    ) -> None:
        """Report events of all calls to on_event, reports to on_load."""
        self.reactor = reactor
        self.connections = connections
        self.on_load = on_load
        self.on_event = on_event
        self.calls: dict[str, _OpenCall] = {}

    def call(self, effect: model.CallRunner) -> None:
        """Send a call."""
        attempt = effect.call.attempt
        opened = _OpenCall(attempt, self._take)
        self.calls[str(attempt)] = opened
        url = f'http://{effect.runner.address}/v1/calls'
        body = wire.encode_call(effect.call)
        sent = self.connections.request(b'POST', url, body, effect.fresh)
        opened.sent = sent
        sent.addCallbacks(opened.on_response, opened.on_error)

    def _take(self, event: RunnerEvent) -> None:
        opened = self.calls.get(str(event.attempt))
        if opened is not None and opened.over:
            del self.calls[str(event.attempt)]
        self.on_event(event)

    def cancel(self, effect: model.CancelCall) -> None:
        """Close the connection of a call, which tells its runner."""
        opened = self.calls.pop(str(effect.attempt), None)
        if opened is not None:
            opened.cancel()

    def read_load(self, effect: model.ReadLoad) -> None:
        """Ask a runner for its load report."""
        name = effect.runner.name
        url = f'http://{effect.runner.address}/v1/load'
        answered = self._load(url)
        answered.addTimeout(REPORT_TIMEOUT_S, self.reactor)
        answered.addErrback(lambda _: None)
        answered.addCallback(
            lambda report: self.on_load(model.LoadResult(name, report))
        )

    @defer.inlineCallbacks
    def _load(self, url: str) -> Any:
        response = yield self.connections.request(b'GET', url)
        content = yield client.readBody(response)
        return wire.decode_load(content)

    def send_order(self, effect: model.SendOrder) -> None:
        """Send an order; whether it was obeyed is read back."""
        url = f'http://{effect.runner.address}/v1/orders'
        body = wire.encode_order(effect.order)
        answered = self.connections.request(b'POST', url, body, fresh=True)
        answered.addCallback(client.readBody)
        answered.addTimeout(REPORT_TIMEOUT_S, self.reactor)
        answered.addErrback(lambda _: None)
