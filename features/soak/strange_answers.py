"""Answers of faulty runners that belong to other requests or streams."""

from collections.abc import Callable
import enum
from typing import Any

import ragwort_edge as edge

EVENT_STREAM = (b'content-type', b'text/event-stream')


class Repeats(enum.StrEnum):
    """When a runner sends an earlier refusal once more."""

    NEVER = 'never'
    INSTEAD = 'instead'
    AFTER = 'after'


# A runner answers the resumption of a stream; the text is the next event.
Resumed = Callable[[Any, edge.Exchange, bytes], None]
RESUMED: dict[str, Resumed] = {}


def resumed(name: str) -> Callable[[Resumed], Resumed]:
    """Register an answer to the resumption of a stream."""

    def register(answer: Resumed) -> Resumed:
        RESUMED[name] = answer
        return answer

    return register


def head(line: str, headers: edge.Headers) -> bytes:
    """Return the head of an answer as it is on the wire."""
    lines = [f'HTTP/1.1 {line}'.encode()]
    lines += [name + b': ' + value for name, value in headers]
    return b'\r\n'.join([*lines, b'', b''])


def refusal(status: int, headers: edge.Headers) -> bytes:
    """Return a whole refusal as it is on the wire."""
    return head(f'{status} Refused', (*headers, (b'content-length', b'0')))


def write_raw(exchange: edge.Exchange, data: bytes) -> None:
    """Write bytes as they are behind whatever was written."""
    if exchange.server.queue is not None:
        exchange.server.queue.write(data)


def close(exchange: edge.Exchange) -> None:
    """End the connection in order, wherever the answer is."""
    exchange.is_over = True
    if exchange.server.queue is not None:
        exchange.server.queue.close()


def _own(exchange: edge.Exchange) -> edge.Headers:
    request_id = exchange.request.header(b'request-id') or b''
    return ((b'request-id', request_id), (b'response-seal', b'soak'))


@resumed('sealed error')
def _sealed_error(runner: Any, exchange: edge.Exchange, text: bytes) -> None:
    runner.reply(exchange, 500, (), b'{"error": "no such stream"}')


@resumed('unsealed error')
def _unsealed_error(runner: Any, exchange: edge.Exchange, text: bytes) -> None:
    exchange.respond(edge.HttpResponse(500, (), b'no such stream\n\n'))


@resumed('other content type')
def _other_type(runner: Any, exchange: edge.Exchange, text: bytes) -> None:
    headers = ((b'content-type', b'text/html'),)
    runner.reply(exchange, 200, headers, b'<p>no such stream</p>\n\n')


@resumed('stream without events')
def _no_events(runner: Any, exchange: edge.Exchange, text: bytes) -> None:
    write_raw(exchange, head('200 OK', (*_own(exchange), EVENT_STREAM)))
    close(exchange)


@resumed('head in a stream')
def _head_inside(runner: Any, exchange: edge.Exchange, text: bytes) -> None:
    _write_head_inside(exchange, b'')


@resumed('head behind an event')
def _head_behind(runner: Any, exchange: edge.Exchange, text: bytes) -> None:
    _write_head_inside(exchange, text)


def _write_head_inside(exchange: edge.Exchange, before: bytes) -> None:
    """Write a stream without length that holds the head of an error."""
    outer = head('200 OK', (*_own(exchange), EVENT_STREAM))
    length = (b'content-length', b'16')
    inner = head('500 Internal Server Error', (*_own(exchange), length))
    write_raw(exchange, outer + before + inner + b'no such stream\n\n')
    close(exchange)
