"""Transports without sockets behind them."""

from typing import Any

from twisted.internet.testing import StringTransport


class QuietTransport(StringTransport):
    """A transport without a socket behind it."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Accept the option."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Accept the option."""

    def getHandle(self) -> Any:  # noqa: N802
        """Return something that takes options and tells of none."""

        class Handle:
            def setsockopt(self, *arguments: int) -> None:
                pass

            def getsockopt(self, *arguments: int) -> bytes:
                raise OSError('no socket')

        return Handle()
