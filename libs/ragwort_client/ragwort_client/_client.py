"""Client of ragwortworks: address cache, failover, stream assembly."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import time
from typing import Any

from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import iweb

import ragwort_http as http
import ragwort_model as model
import ragwort_wire as wire

INACTIVITY_TIMEOUT_S = 3.0
DEADLINE_MARGIN_S = 2.0
MAX_ATTEMPTS = 6
RETRY_DELAY_S = 0.2


OnChunk = Callable[[int, str], None]


def _ignore_chunk(seq: int, data: str) -> None:
    """Do nothing with a chunk."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Result of a request; chunks is complete if outcome is completed.

    first_chunk_s and duration_s are seconds since the first attempt.
    """

    key: str
    outcome: model.Outcome
    chunks: tuple[str, ...]
    reason: str
    host: str
    first_chunk_s: float | None
    duration_s: float
    attempts: int


@dataclasses.dataclass(slots=True)
class _Progress:
    """State of one answer across all its connections."""

    key: str
    started_at: float
    give_up_at: float
    chunks: list[str] = dataclasses.field(default_factory=list)
    host: str = ''
    first_chunk_s: float | None = None
    end: model.End | None = None
    refusal: wire.Problem | None = None
    attempts: int = 0
    # Of all connections.
    received_bytes: int = 0
    # Set once a refusal could belong to an earlier request on a kept
    # connection.
    needs_fresh: bool = False
    # Set once a try may have been accepted; a later refusal by another host
    # says nothing of it.
    may_run: bool = False

    @property
    def is_too_large(self) -> bool:
        """Tell whether more came than any answer has."""
        return self.received_bytes > http.MAX_STREAM_BYTES

    def restart(self) -> None:
        """Discard the answer, since the host that ran the request is gone.

        Another run may produce a different answer, so that no chunk of the
        first may be kept.
        """
        self.host = ''
        self.chunks.clear()
        self.end = None
        self.refusal = None


class _StreamReader(protocol.Protocol):
    """Apply the records of one connection to the progress."""

    def __init__(
        self,
        reactor: Any,
        progress: _Progress,
        on_chunk: OnChunk,
    ) -> None:
        self.reactor = reactor
        self.progress = progress
        self.on_chunk = on_chunk
        self.buffer = b''
        # Set once the stream has named this request; chunks don't.
        self.is_named = False
        self.done: defer.Deferred[None] = defer.Deferred()
        self.inactivity_timer = reactor.callLater(
            INACTIVITY_TIMEOUT_S, self._close
        )
        # A host in trouble may send a few bytes now and then for ever.
        self.end_timer = reactor.callLater(
            max(progress.give_up_at - time.monotonic(), 0.0), self._close
        )

    def _close(self) -> None:
        self.transport.loseConnection()
        self._finish()

    def _finish(self) -> None:
        for timer in (self.inactivity_timer, self.end_timer):
            if timer.active():
                timer.cancel()
        if not self.done.called:
            self.done.callback(None)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.done.called:
            return
        self.inactivity_timer.reset(INACTIVITY_TIMEOUT_S)
        self.progress.received_bytes += len(data)
        *lines, self.buffer = (self.buffer + data).split(b'\n')
        for line in lines:
            if self.done.called:
                return
            self._on_line(line)
        if (
            len(self.buffer) > http.MAX_LINE_BYTES
            or self.progress.is_too_large
        ):
            self._close()

    def _on_line(self, line: bytes) -> None:
        try:
            event = wire.decode_event(line)
        except model.WireError:
            self._close()
            return
        if self._is_foreign(event):
            # A faulty host repeats the stream of an earlier request.
            self.progress.needs_fresh = True
            self._close()
            return
        match event:
            case model.Accepted():
                self.is_named = True
                self.progress.host = event.host
            case model.Chunk():
                self._on_chunk(event)
            case model.End():
                self._on_end(event)

    def _is_foreign(self, event: model.CallerEvent) -> bool:
        """Tell whether a record may be of another request's stream."""
        if isinstance(event, model.Chunk):
            return not self.is_named
        if isinstance(event, model.Accepted | model.End):
            return event.key != self.progress.key
        return False

    def _on_chunk(self, event: model.Chunk) -> None:
        progress = self.progress
        if event.seq > len(progress.chunks):
            # Chunks are missing: close this connection and resume at the gap.
            self._close()
            return
        if event.seq < len(progress.chunks):
            return
        if progress.first_chunk_s is None:
            progress.first_chunk_s = time.monotonic() - progress.started_at
        progress.chunks.append(event.data)
        self.on_chunk(event.seq, event.data)

    def _on_end(self, event: model.End) -> None:
        progress = self.progress
        completed = event.outcome == model.Outcome.COMPLETED
        digest = model.content_digest(progress.chunks)
        is_complete = (event.count, event.digest) == (
            len(progress.chunks),
            digest,
        )
        if is_complete or not completed:
            progress.end = event
        self._finish()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self._finish()


class Client:
    """Client that sends requests to the entry hosts of a system."""

    def __init__(
        self,
        reactor: Any,
        bootstrap: Sequence[str],
        failure_domain: str = '',
        name: str = 'client',
    ) -> None:
        """bootstrap holds some known entry addresses."""
        self.reactor = reactor
        self.bootstrap = list(bootstrap)
        self.failure_domain = failure_domain
        self.name = name
        self.addresses: list[str] = []
        self.expires_at = 0.0
        self.http_client = http.HttpClient(reactor)

    def close(self) -> Any:
        """Close idle connections."""
        return self.http_client.close()

    @defer.inlineCallbacks
    def refresh(self) -> Any:
        """Fetch the entry addresses from any known entry host."""
        known = self.addresses + [
            a for a in self.bootstrap if a not in self.addresses
        ]
        for address in known:
            url = (
                f'http://{address}/v1/addresses'
                f'?failure_domain={self.failure_domain}&caller={self.name}'
            )
            try:
                response = yield self._get(url)
                body = yield self._read_body(response)
                record = wire.decode_addresses(body)
            except Exception:  # noqa: B902
                continue
            if record.addresses:
                self.addresses = [e.address for e in record.addresses]
                self.expires_at = time.monotonic() + record.ttl_s
                return
        if not self.addresses:
            addresses = ', '.join(known)
            raise model.RequestError(f'no entry host responded at {addresses}')

    def _get(
        self, url: str, fresh: bool = False
    ) -> 'defer.Deferred[iweb.IResponse]':
        sent = self.http_client.request(b'GET', url, fresh=fresh)
        sent.addTimeout(INACTIVITY_TIMEOUT_S, self.reactor)
        return sent

    def _read_body(self, response: iweb.IResponse) -> 'defer.Deferred[bytes]':
        body = http.read_body(response)
        body.addTimeout(INACTIVITY_TIMEOUT_S, self.reactor)
        return body

    @defer.inlineCallbacks
    def send(
        self,
        class_of_work: str,
        workspace: str,
        text: str,
        deadline_s: float,
        key: str | None = None,
        on_chunk: OnChunk = _ignore_chunk,
    ) -> Any:
        """Send a request and return its Answer.

        The same key is sent again after a failure, which is safe: the
        system follows the first run or answers that its outcome is unknown.
        on_chunk gets seq and data; seq 0 again begins a new answer.
        """
        key = key or model.new_request_key()
        started_at = time.monotonic()
        give_up_at = started_at + deadline_s + DEADLINE_MARGIN_S
        progress = _Progress(key, started_at, give_up_at)
        body = wire.encode_json(
            wire.RequestRecord(
                class_of_work,
                workspace,
                key,
                max(1, int(deadline_s * 1000)),
                text,
            )
        )
        while progress.end is None and progress.attempts < MAX_ATTEMPTS:
            if time.monotonic() >= give_up_at or progress.is_too_large:
                break
            if progress.attempts:
                yield self._wait_before_retry()
            yield self._attempt(progress, body, on_chunk)
            if _is_final_refusal(progress.refusal):
                break
        return _to_answer(progress)

    def _wait_before_retry(self) -> 'defer.Deferred[None]':
        waited: defer.Deferred[None] = defer.Deferred()
        self.reactor.callLater(RETRY_DELAY_S, waited.callback, None)
        return waited

    @defer.inlineCallbacks
    def _attempt(
        self,
        progress: _Progress,
        body: bytes,
        on_chunk: OnChunk,
    ) -> Any:
        """Send or resume once; store the result in progress."""
        if time.monotonic() >= self.expires_at or progress.attempts:
            yield self.refresh()
        address = self.addresses[progress.attempts % len(self.addresses)]
        progress.attempts += 1
        progress.refusal = None
        try:
            response = yield self._send_or_resume(address, progress, body)
        except http.CONNECT_ERRORS:
            self.expires_at = 0.0
            return
        except Exception:  # noqa: B902
            progress.may_run = True
            self.expires_at = 0.0
            return
        if response.code != 200:
            self.expires_at = 0.0
            try:
                content = yield self._read_body(response)
            except Exception:  # noqa: B902
                progress.may_run = True
                return
            problem = wire.decode_problem(response.code, content)
            is_first = http.is_first_answer(response)
            if problem.key != progress.key and (problem.key or not is_first):
                # It may be an earlier request's, and this one may run.
                progress.needs_fresh = True
                progress.may_run = True
                return
            progress.refusal = problem
            if response.code == 404 and progress.host:
                progress.restart()
            return
        progress.may_run = True
        resumed = bool(progress.host)
        reader = _StreamReader(self.reactor, progress, on_chunk)
        response.deliverBody(reader)
        yield reader.done
        outcome_unknown = (
            progress.end and progress.end.outcome == model.Outcome.UNKNOWN
        )
        if resumed and outcome_unknown:
            # Submitting the key again is safe and returns a known outcome.
            progress.restart()

    def _send_or_resume(
        self, address: str, progress: _Progress, body: bytes
    ) -> 'defer.Deferred[iweb.IResponse]':
        if progress.host:
            return self._get(
                f'http://{address}/v1/requests/{progress.key}'
                f'?from_seq={len(progress.chunks)}&host={progress.host}',
                progress.needs_fresh,
            )
        url = f'http://{address}/v1/requests'
        sent = self.http_client.request(
            b'POST', url, body, progress.needs_fresh
        )
        sent.addTimeout(INACTIVITY_TIMEOUT_S, self.reactor)
        return sent


def _is_final_refusal(refusal: wire.Problem | None) -> bool:
    """Return whether every other node would refuse the request too."""
    if refusal is None:
        return False
    return refusal.status not in (429, 503)


def _to_answer(progress: _Progress) -> Answer:
    outcome = model.Outcome.UNKNOWN
    reason = 'no entry host gave an answer in time'
    if progress.end is not None:
        outcome, reason = progress.end.outcome, progress.end.reason
    elif progress.refusal is not None:
        if not progress.may_run:
            outcome = model.Outcome.NOT_RUN
        reason = progress.refusal.detail
    return Answer(
        progress.key,
        outcome,
        tuple(progress.chunks),
        reason,
        progress.host,
        progress.first_chunk_s,
        time.monotonic() - progress.started_at,
        progress.attempts,
    )
