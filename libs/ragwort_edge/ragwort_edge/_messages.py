"""HTTP requests and responses, and the headers to forward."""

import msgspec

Headers = tuple[tuple[bytes, bytes], ...]

# Prefix of the headers that hosts add for each other. One in a runner's answer
# could pass for a host's word that a request has not run.
HOP_PREFIX = b'ragwort-'
# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    }
)


class HttpRequest(msgspec.Struct, frozen=True):
    """A complete request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b''

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.split(b'?', 1)[0].decode('ascii', 'replace')


class HttpResponse(msgspec.Struct, frozen=True):
    """A complete response."""

    status: int
    headers: Headers = ()
    body: bytes = b''

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; name is in lower case."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def is_framed(response: HttpResponse) -> bool:
    """Tell whether a response has a length or chunks.

    One without ends with its connection, for whatever reason that closes.
    """
    return (
        response.header(b'content-length') is not None
        or response.header(b'transfer-encoding') is not None
    )


def end_to_end(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop ones."""
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name == b'connection'
        for token in value.split(b',')
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP
        and name not in connection_options
        and not name.startswith(HOP_PREFIX)
    )
