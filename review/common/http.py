"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio

REASONS = {200: 'OK', 201: 'Created', 404: 'Not Found', 409: 'Conflict',
           410: 'Gone', 421: 'Misdirected Request', 500: 'Error',
           503: 'Service Unavailable'}


class Closed(Exception):
    """Raise when a connection ends before a message is complete."""


class Message:
    """One request or response as it came."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers
        self.body = b''

    def get(self, name, default=None):
        """Return the first value of a header."""
        for known, value in self.headers:
            if known.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Return a message without its body; None at a clean end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise Closed('within a head') from None
    except (ConnectionError, OSError) as error:
        raise Closed(repr(error)) from None
    lines = data.decode('latin-1').split('\r\n')
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers)


async def read_parts(reader, message):
    """Yield the parts of a body; raise Closed if it is cut."""
    try:
        if 'chunked' in (message.get('transfer-encoding') or '').lower():
            while True:
                line = await reader.readuntil(b'\r\n')
                size = int(line.split(b';')[0], 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    return
                yield part[:-2]
        length = message.get('content-length')
        if length is not None and int(length):
            left = int(length)
            while left:
                part = await reader.read(min(left, 65536))
                if not part:
                    raise Closed('within a body')
                left -= len(part)
                yield part
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Closed(repr(error)) from None


async def read_body(reader, message):
    """Read the whole body into the message."""
    parts = [part async for part in read_parts(reader, message)]
    message.body = b''.join(parts)


def head(status, headers):
    """Return the bytes of a response's head."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "-")}']
    lines += [f'{name}: {value}' for name, value in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def response(status, headers, body=b''):
    """Return the bytes of a response with a length."""
    return head(status, [*headers, ('Content-Length', len(body))]) + body


async def serve(host, handler, port=0):
    """Serve requests; handler(message, writer) answers each one.

    The handler is cancelled when the caller's connection closes. It returns
    'close' if the connection is to be closed behind its answer.
    """

    async def on_connection(reader, writer):
        messages = asyncio.Queue()
        work = None

        async def pump():
            try:
                while (message := await read_head(reader)) is not None:
                    await read_body(reader, message)
                    messages.put_nowait(message)
            except Closed:
                pass
            messages.put_nowait(None)
            if work is not None:
                work.cancel()

        pumping = asyncio.ensure_future(pump())
        try:
            while (message := await messages.get()) is not None:
                work = asyncio.ensure_future(handler(message, writer))
                if await work == 'close':
                    return
                work = None
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            pumping.cancel()
            writer.close()

    return await asyncio.start_server(on_connection, host, port, backlog=512)
