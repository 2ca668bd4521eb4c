"""HTTP messages as the relay's rim hands them on."""

import dataclasses

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that concern one connection only.
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


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request; header names are in lower case."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole response."""

    status: int
    headers: Headers = ()
    body: bytes = b''

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header given in lower case."""
    for known, value in headers:
        if known == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Return the headers without those for one connection only."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b'connection'
        for token in value.split(b',')
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in named
    )
