"""Requests that one host hands to another, on a virtual clock."""

from collections.abc import Callable
from typing import Any

import ragwort_edge as edge
from ragwort_lab import _relay_fakes as fakes


class HopExchange(fakes.LabExchange):
    """A request as the host gets it that serves it for another."""

    def __init__(
        self, clock: Any, request: edge.HttpRequest, call: fakes.LabCall
    ) -> None:
        """Answer on a call of the other host."""
        super().__init__(clock, request)
        self.at = clock.seconds()
        self.call = call
        call.on_close = self.leave

    @property
    def is_declined(self) -> bool:
        """Tell whether the host did not take the request."""
        return any(n == b'ragwort-declined' for n, _ in self.headers)

    def start(self, status: int, headers: edge.Headers) -> None:
        """Send status and headers."""
        super().start(status, headers)
        # As the hosts' server does.
        framed = (*headers, (b'transfer-encoding', b'chunked'))
        self.call.send('on_head', edge.HttpResponse(status, framed))

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        super().write(data)
        if data:
            self.call.send('on_data', data)

    def respond(self, response: edge.HttpResponse) -> None:
        """Send a whole answer."""
        if not self.is_over:
            self.start(response.status, response.headers)
            self.write(response.body)
            self.finish()

    def finish(self) -> None:
        """End a whole answer."""
        if not self.is_over:
            self.call.send('on_end', ends=True)
        super().finish()

    def abort(self) -> None:
        """End an answer that is not whole."""
        if not self.is_over:
            self.call.fail(edge.CallErrorKind.CLOSED)
        super().abort()


class HopPort(fakes.LabRunner):
    """Where a host takes requests of other hosts."""

    def __init__(
        self,
        clock: Any,
        address: str,
        serve_exchange: Callable[[Any], None],
        hops: list[HopExchange],
    ) -> None:
        """Serve with a host; note the requests in hops."""
        super().__init__(clock, address, address, '')
        self.serve_exchange = serve_exchange
        self.hops = hops
        self.exchanges: list[HopExchange] = []

    def serve(
        self, request: edge.HttpRequest, open_call: fakes.LabCall
    ) -> None:
        """Take a request that has arrived."""
        exchange = HopExchange(self.clock, request, open_call)
        self.hops.append(exchange)
        self.exchanges.append(exchange)
        self.serve_exchange(exchange)

    def freeze(self) -> None:
        """Take requests and answer none, also of those under way."""
        self.serve_exchange = lambda exchange: None
        for exchange in self.exchanges:
            exchange.call.is_muted = True

    def stop(self) -> None:
        """Break all open calls, as a process does that is killed."""
        for exchange in self.exchanges:
            exchange.abort()
