"""Checks whether an HTTP server can send a response as it is."""

import re

import h11

from ragwort_edge import _messages
import ragwort_model as model

# RFC 9110, section 15: no status is above.
MAX_STATUS = 599
# Responses with these never have a body.
BODILESS_STATUSES = frozenset({204, 304})
MAX_TEXT_BYTES = 200
_NOT_PRINTABLE = re.compile(rb'[^\x20-\x7e]+')


class UnsendableError(model.RagwortError):
    """Raise when a response can't be sent as it is."""


def head_problem(status: int, headers: _messages.Headers) -> str | None:
    """Return why status and headers can't be sent, None if they can."""
    if status > MAX_STATUS:
        return f'unsendable answer: status {status}'
    try:
        h11.Response(status_code=status, headers=list(headers))
    except h11.LocalProtocolError as error:
        return f'unsendable answer: {error}'
    return None


def response_problem(response: _messages.HttpResponse) -> str | None:
    """Return why a response can't be sent, None if it can."""
    if response.body and response.status in BODILESS_STATUSES:
        return f'unsendable answer: status {response.status} with a body'
    return head_problem(response.status, response.headers)


def header_text(text: str) -> bytes:
    """Return the value of a header that tells a text, cut and escaped."""
    escaped = text.encode('ascii', 'backslashreplace')
    return _NOT_PRINTABLE.sub(b' ', escaped)[:MAX_TEXT_BYTES].strip()
