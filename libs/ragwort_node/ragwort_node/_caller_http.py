"""HTTP interface for callers and operators."""

from collections.abc import Callable
import itertools
from typing import Any
from typing import Protocol

import msgspec
from twisted.internet import error
from twisted.python import failure
from twisted.web import http
from twisted.web import resource
from twisted.web import server

import ragwort_model as model
from ragwort_node import _core
from ragwort_node import _effects
from ragwort_node import _status
import ragwort_wire as wire

STATUS_BY_REFUSAL = {
    _effects.RefusalKind.INVALID: 400,
    _effects.RefusalKind.UNKNOWN_NAME: 404,
    _effects.RefusalKind.UNKNOWN_KEY: 404,
    _effects.RefusalKind.KEY_REUSED: 409,
    _effects.RefusalKind.KEY_EXPIRED: 410,
    _effects.RefusalKind.OVERLOADED: 429,
    _effects.RefusalKind.TOO_LATE: 429,
    _effects.RefusalKind.NOT_READY: 503,
    _effects.RefusalKind.DRAINING: 503,
    _effects.RefusalKind.STORE_DOWN: 503,
    _effects.RefusalKind.CLOCK_SKEW: 503,
}
TITLE_BY_STATUS = {
    400: 'Invalid request',
    404: 'Not found',
    409: 'Key reused',
    410: 'Key expired',
    413: 'Body too large',
    429: 'Too much work',
    500: 'Internal error',
    503: 'Not available',
}
VERSION_HEADER = b'ragwort-directory-version'


class NodeService(Protocol):
    """Interface of the daemon that the HTTP resources use."""

    core: _core.NodeCore
    max_body: int

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return the time of day in seconds."""

    def perform(self, effects: list[_effects.Effect]) -> None:
        """Carry out effects."""

    def open_stream(self, stream: 'CallerStream') -> None:
        """Register the stream that receives its subscriber's events."""

    def close_stream(self, subscriber: str) -> None:
        """Remove a subscriber whose answer has ended or connection closed."""

    def count(self, name: str) -> None:
        """Add one to a counter."""

    def on_error(self, trace: str) -> None:
        """Log and count an error that nobody expected."""


def problem_body(
    code: int,
    detail: str,
    outcome: str = '',
    key: str = '',
    retry_after_s: float | None = None,
) -> bytes:
    """Return a problem document."""
    title = TITLE_BY_STATUS.get(code, 'Problem')
    return wire.encode_json(
        wire.Problem(
            title,
            code,
            detail,
            outcome=outcome,
            key=key,
            retry_after_s=retry_after_s,
        )
    )


def send_problem(request: server.Request, code: int, body: bytes) -> bytes:
    """Set status and type of a problem and return its body."""
    request.setResponseCode(code)
    request.setHeader(b'content-type', wire.PROBLEM_TYPE.encode())
    return body


class CallerRequest(server.Request):
    """A request whose body size is checked while it arrives.

    If its handling raises, it is answered with a problem document.
    """

    max_body = 1024 * 1024
    received = 0
    on_error: Callable[[str], None]

    def processingFailed(  # noqa: N802
        self, reason: failure.Failure
    ) -> failure.Failure:
        """Answer with a problem, or break off an answer that has begun."""
        type(self).on_error(reason.getTraceback())
        if self.channel is None or self.finished:
            return reason
        if self.startedWriting:
            self.channel.transport.abortConnection()
            return reason
        # Some of the work may go on: no promise that nothing has run.
        body = problem_body(500, 'unexpected error', model.Outcome.UNKNOWN)
        self.setHeader(b'content-length', str(len(body)).encode())
        self.write(send_problem(self, 500, body))
        self.finish()
        return reason

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body whose content-length exceeds the limit."""
        if length is not None and length > self.max_body:
            self._refuse_body()
            return
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Refuse a body once it exceeds the limit."""
        self.received += len(data)
        if self.received > self.max_body:
            self._refuse_body()
            return
        super().handleContentChunk(data)

    def _refuse_body(self) -> None:
        body = problem_body(
            413, f'the body is over {self.max_body} bytes', 'not_run'
        )
        head = (
            'HTTP/1.1 413 Body too large\r\nconnection: close\r\n'
            f'content-type: {wire.PROBLEM_TYPE}\r\n'
            f'content-length: {len(body)}\r\n\r\n'
        )
        # Closing the connection discards the rest of the body.
        self.content = None
        self.channel.transport.write(head.encode() + body)
        self.channel.transport.loseConnection()


class CallerStream:
    """A caller's answer, sent as a stream of records or as one document.

    buffered is set if the answer is kept until its end and sent at once.
    """

    counter = itertools.count(1)

    def __init__(
        self, service: NodeService, request: server.Request, buffered: bool
    ) -> None:
        """Bind to an open HTTP request."""
        self.service = service
        self.request = request
        self.buffered = buffered
        self.subscriber = f'caller-{next(self.counter)}'
        self.unsent_lines: list[bytes] = []
        self.chunks: list[str] = []
        self.started = False
        self.ended = False
        request.notifyFinish().addErrback(self._on_disconnect)

    def _on_disconnect(self, reason: failure.Failure) -> None:
        reason.trap(error.ConnectionDone, error.ConnectionLost)
        if not self.ended:
            self.ended = True
            self.service.count('caller.disconnected')
        self.service.close_stream(self.subscriber)

    def on_event(self, event: model.CallerEvent) -> None:
        """Store an event until the next flush."""
        if self.ended:
            return
        if not self.buffered:
            self.unsent_lines.append(wire.encode_event(event))
        elif isinstance(event, model.Chunk):
            self.chunks.append(event.data)
        if isinstance(event, model.End):
            self._end(event)

    def flush(self) -> None:
        """Write the events received since the last flush."""
        if not self.unsent_lines or self.ended:
            return
        if not self.started:
            self.started = True
            kind = wire.STREAM_TYPE.encode()
            self.request.setHeader(b'content-type', kind)
        self.unsent_lines.append(b'')
        self.request.write(b'\n'.join(self.unsent_lines))
        self.unsent_lines.clear()

    def _end(self, end: model.End) -> None:
        self.flush()
        self.ended = True
        self.service.close_stream(self.subscriber)
        if self.buffered:
            self.request.write(self._answer_document(end))
        self.request.finish()

    def _answer_document(self, end: model.End) -> bytes:
        if end.outcome != model.Outcome.COMPLETED:
            body = problem_body(
                503, end.reason, end.outcome, end.key, end.retry_after_s
            )
            return send_problem(self.request, 503, body)
        self.request.setHeader(b'content-type', b'application/json')
        answer = wire.AnswerRecord(
            end.key,
            end.outcome,
            ''.join(self.chunks),
            end.count,
            end.digest,
            end.reason,
        )
        return wire.encode_json(answer)

    def abandon(self) -> None:
        """Send nothing more, as an error ends the answer."""
        self.ended = True
        self.service.close_stream(self.subscriber)

    def refuse(self, effect: _effects.RefuseCaller) -> None:
        """Answer with a problem document instead of a stream."""
        if self.ended:
            return
        self.ended = True
        self.service.close_stream(self.subscriber)
        if effect.retry_after_s is not None:
            seconds = max(1, round(effect.retry_after_s))
            self.request.setHeader(b'retry-after', str(seconds).encode())
        code = STATUS_BY_REFUSAL[effect.kind]
        body = problem_body(
            code,
            effect.detail,
            model.Outcome.NOT_RUN,
            effect.key,
            effect.retry_after_s,
        )
        self.request.write(send_problem(self.request, code, body))
        self.request.finish()


def _query_argument(
    request: server.Request, name: str, default: str = ''
) -> str:
    values = request.args.get(name.encode(), [])
    return values[0].decode(errors='replace') if values else default


def _wants_document(request: server.Request) -> bool:
    accept = request.getHeader(b'accept') or b''
    return b'application/json' in accept


class _NodeResource(resource.Resource):
    """Base resource; adds the directory version to each response."""

    isLeaf = True  # noqa: N815

    def __init__(self, service: NodeService) -> None:
        super().__init__()
        self.service = service

    def render(self, request: server.Request) -> Any:
        core = self.service.core
        version = str(core.control.members.version).encode()
        request.setHeader(VERSION_HEADER, version)
        if core.state in (
            _status.NodeState.DRAINING,
            _status.NodeState.REFUSING,
        ):
            request.setHeader(b'connection', b'close')
        return super().render(request)


class AddressesResource(_NodeResource):
    """GET /v1/addresses."""

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Return entry addresses, the caller's failure domain first."""
        domain = _query_argument(request, 'failure_domain')
        caller = _query_argument(
            request, 'caller', request.getClientAddress().host
        )
        core = self.service.core
        entries = [
            wire.EntryAddressRecord(m.name, m.caller_address, m.failure_domain)
            for m in core.addresses(domain, caller)
        ]
        record = wire.AddressesRecord(
            entries,
            core.options.address_ttl_s,
            core.control.members.version,
        )
        request.setHeader(b'content-type', b'application/json')
        return wire.encode_json(record)


class RequestsResource(_NodeResource):
    """POST /v1/requests, GET /v1/requests/KEY and its explanation."""

    def render_POST(self, request: server.Request) -> Any:  # noqa: N802
        """Submit a request and send its answer."""
        content = request.content.read()
        try:
            parsed = wire.parse_request(content)
        except model.InvalidInputError as problem:
            self.service.count('refused.invalid')
            key = wire.find_request_key(content)
            body = problem_body(400, str(problem), model.Outcome.NOT_RUN, key)
            return send_problem(request, 400, body)
        service = self.service
        return self._open(
            CallerStream(service, request, _wants_document(request)),
            lambda subscriber: service.core.submit(
                parsed, subscriber, service.now(), service.wall()
            ),
        )

    def _open(
        self,
        stream: CallerStream,
        ask: Callable[[str], list[_effects.Effect]],
    ) -> Any:
        """Let the core serve a stream; forget it if that raises."""
        self.service.open_stream(stream)
        try:
            self.service.perform(ask(stream.subscriber))
        except Exception:
            # A node that drains would wait for its end for ever.
            stream.abandon()
            raise
        return server.NOT_DONE_YET

    def render_GET(self, request: server.Request) -> Any:  # noqa: N802
        """Resume an answer stream, or explain a request."""
        parts = [part.decode(errors='replace') for part in request.postpath]
        if len(parts) == 2 and parts[1] == 'explain':
            return self._explain(request, parts[0])
        if len(parts) != 1:
            body = problem_body(404, 'write /v1/requests/KEY')
            return send_problem(request, 404, body)
        try:
            from_seq = int(_query_argument(request, 'from_seq', '0'))
        except ValueError:
            from_seq = -1
        if from_seq < 0:
            detail = 'from_seq: write a number from 0 up'
            body = problem_body(400, detail, key=parts[0])
            return send_problem(request, 400, body)
        service = self.service
        host = _query_argument(request, 'host', service.core.name)
        return self._open(
            CallerStream(service, request, False),
            lambda subscriber: service.core.follow(
                parts[0], host, from_seq, subscriber, service.now()
            ),
        )

    def _explain(self, request: server.Request, key: str) -> bytes:
        decisions = self.service.core.explain(key)
        if decisions is None:
            detail = f'this node does not know the key {key!r}'
            body = problem_body(404, detail, key=key)
            return send_problem(request, 404, body)
        request.setHeader(b'content-type', b'application/json')
        return msgspec.json.encode(decisions)


class StatusResource(_NodeResource):
    """GET /v1/status."""

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Return the status of the node."""
        status = self.service.core.status(self.service.now())
        request.setHeader(b'content-type', b'application/json')
        return msgspec.json.encode(status)


class NotFoundResource(_NodeResource):
    """Any other path."""

    def render(self, request: server.Request) -> bytes:
        """Return a problem document."""
        detail = 'see docs/interfaces for what can be asked'
        return send_problem(request, 404, problem_body(404, detail))


class _PathResource(resource.Resource):
    """An inner path; unknown children are answered by 404."""

    def __init__(self, service: NodeService) -> None:
        super().__init__()
        self.service = service

    def getChild(self, path: bytes, request: Any) -> Any:  # noqa: N802
        return NotFoundResource(self.service)


def _resources(service: NodeService) -> resource.Resource:
    root = _PathResource(service)
    version = _PathResource(service)
    root.putChild(b'v1', version)
    version.putChild(b'addresses', AddressesResource(service))
    version.putChild(b'requests', RequestsResource(service))
    version.putChild(b'status', StatusResource(service))
    return root


def caller_site(service: NodeService, idle_s: float) -> server.Site:
    """Return the site that serves callers and operators."""
    site = server.Site(_resources(service), timeout=idle_s)
    site.noisy = False
    site.displayTracebacks = False
    request_class = type(
        'LimitedRequest',
        (CallerRequest,),
        {
            'max_body': service.max_body,
            'on_error': staticmethod(service.on_error),
        },
    )
    site.requestFactory = request_class
    site.log = _no_access_log
    return site


def _no_access_log(request: http.Request) -> None:
    """Write no access log, since decisions are logged."""
