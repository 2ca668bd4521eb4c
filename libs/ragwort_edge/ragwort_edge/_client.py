"""HTTP/1.1 client that opens a new connection for each call.

A response can't belong to another call, the connection is never stale, and
closing it cancels the call.
"""

from collections.abc import Callable
import enum
from typing import Any

import h11
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from twisted.python import log
from zope.interface import implementer

from ragwort_edge import _body
from ragwort_edge import _heads
from ragwort_edge import _messages
import ragwort_model as model
import ragwort_peers as peers

CONNECT_TIMEOUT_S = 0.4
MAX_HEADER_BYTES = 64 * 1024
# Interim responses before the final one.
MAX_INTERIM_HEADS = 8
# Each part of a body costs time to parse, however small: beyond some of them,
# their mean size must not be below this.
MAX_SMALL_PARTS = 2000
MIN_MEAN_PART_BYTES = 16


class CallErrorKind(enum.StrEnum):
    """Why a call ended without a complete response."""

    NOT_CONNECTED = 'not_connected'
    CLOSED = 'closed'
    DAMAGED = 'damaged'
    CANCELLED = 'cancelled'


class AddressState(enum.StrEnum):
    """What a new connection to an address met."""

    OPEN = 'open'
    REFUSED = 'refused'
    SILENT = 'silent'


class CallError(model.RagwortError):
    """Raise when a call ends without a complete response."""

    def __init__(
        self, kind: CallErrorKind, detail: str, is_refused: bool = False
    ) -> None:
        """Build the message from kind and detail.

        is_refused tells whether nobody listens at the address.
        """
        super().__init__(f'{kind}: {detail}')
        self.kind = kind
        self.is_refused = is_refused


class _ConnectionCheck(protocol.ClientFactory):
    """Opens a connection, sends nothing and closes it."""

    noisy = False

    def __init__(self, done: 'defer.Deferred[AddressState]') -> None:
        self.done = done

    def buildProtocol(self, addr: Any) -> protocol.Protocol:  # noqa: N802
        checked = protocol.Protocol()
        checked.connectionMade = lambda: self._close(checked)
        return checked

    def _close(self, checked: protocol.Protocol) -> None:
        assert checked.transport is not None
        checked.transport.loseConnection()
        self.done.callback(AddressState.OPEN)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: failure.Failure
    ) -> None:
        is_refused = reason.check(error.ConnectionRefusedError) is not None
        self.done.callback(
            AddressState.REFUSED if is_refused else AddressState.SILENT
        )


class ResponseReader:
    """Callbacks for the parts of a response."""

    def on_head(self, response: _messages.HttpResponse) -> None:
        """Handle the status and headers."""

    def on_data(self, data: bytes) -> None:
        """Handle a part of the body."""

    def on_end(self) -> None:
        """Handle the end of a complete response."""

    def on_error(self, call_error: CallError) -> None:
        """Handle a failed call; no callback follows."""

    def on_closed(self) -> None:
        """Handle the end of a connection that was kept behind on_end."""


@implementer(interfaces.IPushProducer)
class _CallProtocol(protocol.Protocol):
    """One request and its response.

    The request counts towards the host's account until an answer begins: its
    reader may read slowly. Its transport asks it to pause while much of the
    request is unsent.
    """

    def __init__(
        self,
        request: _messages.HttpRequest,
        reader: ResponseReader,
        held: _body.HeldBytes,
        monitor: peers.SendMonitor,
        report: Callable[[], None] = log.err,
        keeps_open: bool = False,
    ) -> None:
        self.held = held
        self.monitor = monitor
        self.report = report
        self.keeps_open = keeps_open
        # Set while the connection is kept behind the response.
        self.is_kept = False
        self.size = 0
        self.request = request
        self.reader = reader
        self.connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self.is_over = False
        self.interim_heads = 0
        self.part_count = 0
        self.body_bytes = 0
        self.is_unsent = False

    def connectionMade(self) -> None:  # noqa: N802
        """Send the whole request."""
        try:
            self._send()
        # The reader would wait for ever for an answer to nothing.
        except Exception:
            self.report()
            self._fail(CallErrorKind.DAMAGED, 'request can\'t be sent')

    def _send(self) -> None:
        peers.set_socket_options(self.transport)
        request = self.request
        headers = list(request.headers)
        if request.body or request.method in (b'POST', b'PUT', b'PATCH'):
            length = str(len(request.body)).encode()
            headers.append((b'content-length', length))
        data = self.connection.send(
            h11.Request(
                method=request.method, target=request.target, headers=headers
            )
        )
        if request.body:
            data += self.connection.send(h11.Data(data=request.body))
        data += self.connection.send(h11.EndOfMessage())
        self.transport.registerProducer(self, True)
        self.transport.write(data)
        self.monitor.on_write(self.transport)
        self.size = len(data)
        self.held.add(self, self.size)

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that a part of the request is yet to be sent."""
        self.is_unsent = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the request has been sent whole."""
        self.is_unsent = False

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: connectionLost follows."""

    def give_up(self, reason: str) -> None:
        """Break the call off, for want of room for its request."""
        self._let_go()
        if not self.is_over:
            self._fail(CallErrorKind.CLOSED, reason)

    def _let_go(self) -> None:
        self.held.remove(self)
        self.size = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed received bytes to the parser."""
        if not self.is_over:
            self._feed(data)
        elif self.is_kept:
            # Nothing was asked for.
            self.transport.abortConnection()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """End a response that the close delimits, or fail the call."""
        self._let_go()
        self.monitor.forget(self.transport)
        if self.is_kept:
            self.is_kept = False
            self.reader.on_closed()
        if self.is_over:
            return
        if reason.check(error.ConnectionDone):
            self._feed(b'')
        if not self.is_over:
            self._fail(CallErrorKind.CLOSED, reason.getErrorMessage())

    def _feed(self, data: bytes) -> None:
        try:
            self.connection.receive_data(data)
            while not self.is_over and self._next_event():
                pass
        except h11.RemoteProtocolError as protocol_error:
            is_closed = not data
            kind = CallErrorKind.CLOSED if is_closed else CallErrorKind.DAMAGED
            self._fail(kind, str(protocol_error))
        # A reader that fails still has to hear that the call is over.
        except Exception:
            self.report()
            self._fail(CallErrorKind.DAMAGED, 'answer can\'t be handled')

    def _next_event(self) -> bool:
        event = self.connection.next_event()
        if event in (h11.NEED_DATA, h11.PAUSED):
            return False
        if isinstance(event, h11.InformationalResponse):
            self._count_interim_head()
        elif isinstance(event, h11.Response):
            if event.status_code > _heads.MAX_STATUS:
                detail = f'status {event.status_code}'
                self._fail(CallErrorKind.DAMAGED, detail)
                return True
            self._let_go()
            headers = tuple((bytes(n), bytes(v)) for n, v in event.headers)
            self.reader.on_head(
                _messages.HttpResponse(event.status_code, headers)
            )
        elif isinstance(event, h11.Data):
            self._count_part(len(event.data))
            if not self.is_over:
                self.reader.on_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._finish()
            self.reader.on_end()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(CallErrorKind.CLOSED, 'closed without a response')
        return True

    def _count_interim_head(self) -> None:
        self.interim_heads += 1
        if self.interim_heads > MAX_INTERIM_HEADS:
            detail = f'over {MAX_INTERIM_HEADS} interim responses'
            self._fail(CallErrorKind.DAMAGED, detail)

    def _count_part(self, size: int) -> None:
        self.part_count += 1
        self.body_bytes += size
        least = self.part_count * MIN_MEAN_PART_BYTES
        if self.part_count > MAX_SMALL_PARTS and self.body_bytes < least:
            detail = f'body in {self.part_count} parts'
            self._fail(CallErrorKind.DAMAGED, detail)

    def _finish(self) -> None:
        self.is_over = True
        if self.transport is None:
            return
        if self.is_unsent:
            # The runner must not get the rest of a request that it has
            # refused: it may be sent to another one now.
            self.transport.abortConnection()
            return
        self.transport.unregisterProducer()
        self.is_kept = self.keeps_open
        if not self.is_kept:
            self.transport.loseConnection()

    def _fail(self, kind: CallErrorKind, detail: str) -> None:
        self.is_over = True
        if self.transport is not None:
            self.transport.abortConnection()
        try:
            self.reader.on_error(CallError(kind, detail))
        except Exception:
            self.report()


class _CallFactory(protocol.ClientFactory):
    noisy = False

    def __init__(
        self,
        request: _messages.HttpRequest,
        reader: ResponseReader,
        held: _body.HeldBytes,
        monitor: peers.SendMonitor,
        report: Callable[[], None],
        keeps_open: bool = False,
    ) -> None:
        self.keeps_open = keeps_open
        self.request = request
        self.reader = reader
        self.held = held
        self.monitor = monitor
        self.report = report
        self.call_protocol: _CallProtocol | None = None
        self.is_cancelled = False

    def buildProtocol(  # noqa: N802
        self, addr: Any
    ) -> _CallProtocol | None:
        if self.is_cancelled:
            # The call counts as not sent; None closes the connection.
            return None
        self.call_protocol = _CallProtocol(
            self.request,
            self.reader,
            self.held,
            self.monitor,
            self.report,
            self.keeps_open,
        )
        return self.call_protocol

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: failure.Failure
    ) -> None:
        if not self.is_cancelled:
            self.is_cancelled = True
            self.reader.on_error(
                CallError(
                    CallErrorKind.NOT_CONNECTED,
                    reason.getErrorMessage(),
                    reason.check(error.ConnectionRefusedError) is not None,
                )
            )


class OpenCall:
    """A call in progress."""

    def __init__(self, factory: _CallFactory, connector: Any) -> None:
        """Keep the factory and connector to cancel the call with."""
        self.factory = factory
        self.connector = connector

    @property
    def was_sent(self) -> bool:
        """Tell whether any bytes of the request may have been sent."""
        return self.factory.call_protocol is not None

    def pause(self) -> None:
        """Read no more for now."""
        self._produce('pauseProducing')

    def resume(self) -> None:
        """Read on."""
        self._produce('resumeProducing')

    def _produce(self, name: str) -> None:
        call_protocol = self.factory.call_protocol
        if call_protocol is None or call_protocol.is_over:
            return
        if call_protocol.transport is not None:
            getattr(call_protocol.transport, name)()

    def cancel(self) -> None:
        """Close the connection; the reader gets no more callbacks."""
        self.factory.is_cancelled = True
        call_protocol = self.factory.call_protocol
        if call_protocol is None:
            self.connector.disconnect()
        elif not call_protocol.is_over or call_protocol.is_kept:
            call_protocol.is_over = True
            call_protocol.is_kept = False
            if call_protocol.transport is not None:
                call_protocol.transport.abortConnection()


class HttpClient:
    """Opens one connection per call."""

    def __init__(
        self, reactor: Any, held: _body.HeldBytes | None = None
    ) -> None:
        """Connect through a reactor; count what is held in an account."""
        self.reactor = reactor
        self.held = held or _body.HeldBytes()
        self.monitor = peers.SendMonitor(reactor)
        # Called while an unexpected error is handled.
        self.report: Callable[[], None] = log.err

    def open(
        self,
        address: str,
        request: _messages.HttpRequest,
        reader: ResponseReader,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        keeps_open: bool = False,
    ) -> OpenCall:
        """Send a request to an IP number and port.

        With keeps_open the connection stays open behind a whole response,
        until either side closes it.
        """
        factory = _CallFactory(
            request,
            reader,
            self.held,
            self.monitor,
            self.report,
            keeps_open,
        )
        host, port = model.split_address(address)
        connector = self.reactor.connectTCP(
            host, port, factory, connect_timeout_s
        )
        return OpenCall(factory, connector)

    def check(self, address: str) -> 'defer.Deferred[AddressState]':
        """Open a connection to an address and close it again."""
        done: defer.Deferred[AddressState] = defer.Deferred()
        host, port = model.split_address(address)
        self.reactor.connectTCP(
            host, port, _ConnectionCheck(done), CONNECT_TIMEOUT_S
        )
        return done


class _ResponseCollector(ResponseReader):
    """Collect a complete response."""

    def __init__(
        self,
        done: 'defer.Deferred[_messages.HttpResponse]',
        held: _body.HeldBytes,
        max_body_bytes: int,
    ) -> None:
        self.done = done
        self.head: _messages.HttpResponse | None = None
        self.body = _body.BodyBuffer(held, max_body_bytes, self._on_too_large)
        self.call: OpenCall | None = None

    def _on_too_large(self, reason: str) -> None:
        if self.call is not None:
            self.call.cancel()
        self.on_error(CallError(CallErrorKind.DAMAGED, reason))

    def on_head(self, response: _messages.HttpResponse) -> None:
        self.head = response

    def on_data(self, data: bytes) -> None:
        self.body.add(data)

    def on_end(self) -> None:
        assert self.head is not None
        self.done.callback(
            _messages.HttpResponse(
                self.head.status, self.head.headers, self.body.take()
            )
        )

    def on_error(self, call_error: CallError) -> None:
        self.body.drop()
        self.done.errback(call_error)


def fetch(
    client: HttpClient,
    address: str,
    request: _messages.HttpRequest,
    timeout_s: float,
    max_body_bytes: int = _body.MAX_ANSWER_BYTES,
) -> 'defer.Deferred[_messages.HttpResponse]':
    """Return the complete response; fail with CallError.

    Cancelling the Deferred or reaching timeout_s closes the connection, and
    so does a body of over max_body_bytes.
    """

    def cancel(_: 'defer.Deferred[_messages.HttpResponse]') -> None:
        call.cancel()
        collector.body.drop()
        kind = CallErrorKind.CANCELLED
        if not call.was_sent:
            kind = CallErrorKind.NOT_CONNECTED
        done.errback(CallError(kind, f'no response in {timeout_s:.3f} s'))

    done: defer.Deferred[_messages.HttpResponse] = defer.Deferred(cancel)
    collector = _ResponseCollector(done, client.held, max_body_bytes)
    call = client.open(address, request, collector)
    collector.call = call
    timer = client.reactor.callLater(max(timeout_s, 0.0), done.cancel)

    def stop_timer(result: Any) -> Any:
        if timer.active():
            timer.cancel()
        return result

    done.addBoth(stop_timer)
    return done
