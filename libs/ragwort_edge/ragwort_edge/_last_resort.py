"""Ends for requests whose handling raises what nobody expected."""

from collections.abc import Callable

from ragwort_edge import _dialect
from ragwort_edge import _guard
from ragwort_edge import _messages
from ragwort_edge import _server

INTERNAL_ERROR = 'internal error'
# Names of the parts in the log and the metrics.
ANSWER_PART = 'answer'
RESET_PART = 'reset'
RETRY_AFTER_S = 1.0
HTTP_UNAVAILABLE = 503


class LastResort:
    """Answers requests, or breaks their answers off, whatever raises."""

    def __init__(self, guard: _guard.Guard, dialect: _dialect.Dialect) -> None:
        """Log and count errors with guard; dialect makes the answers."""
        self.guard = guard
        self.dialect = dialect

    def run(self, part: str, call: Callable[[], object]) -> bool:
        """Call a part, as Guard.run does."""
        return self.guard.run(part, call)

    def report(self, part: str, detail: str) -> None:
        """Log and count an error of a part."""
        self.guard.report(part, detail)

    def serve(
        self,
        part: str,
        exchange: _server.Exchange,
        handle: Callable[[_server.Exchange], object],
        response: Callable[[], _messages.HttpResponse],
    ) -> None:
        """Let handle serve a request; send response if it raises."""
        if not self.guard.run(part, lambda: handle(exchange)):
            self.end(exchange, response)

    def end(
        self,
        exchange: _server.Exchange,
        response: Callable[[], _messages.HttpResponse],
    ) -> None:
        """Send response, or reset the connection if that can't be sent."""
        if not exchange.is_over and not exchange.is_started:
            self.guard.run(ANSWER_PART, lambda: exchange.respond(response()))
        if not exchange.is_over:
            self.guard.run(RESET_PART, exchange.abort)

    def error_response(self, status: int) -> _messages.HttpResponse:
        """Return an error in the dialect, a bare one if that raises."""
        is_refusal = status == HTTP_UNAVAILABLE
        retry_s = RETRY_AFTER_S if is_refusal else None
        found: list[_messages.HttpResponse] = []
        self.guard.run(
            ANSWER_PART,
            lambda: found.append(
                self.dialect.error_response(status, retry_s, INTERNAL_ERROR)
            ),
        )
        if found:
            return found[0]
        headers: _messages.Headers = ()
        if is_refusal:
            headers = ((b'retry-after', b'%.2f' % RETRY_AFTER_S),)
        return _messages.HttpResponse(status, headers)

    def refusal(self) -> _messages.HttpResponse:
        """Return the answer to a request of which nothing has run."""
        return self.error_response(HTTP_UNAVAILABLE)
