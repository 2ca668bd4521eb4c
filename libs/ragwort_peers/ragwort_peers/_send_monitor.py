"""Telling peers that read slowly from dead ones while bytes wait for them.

The user timeout ends a connection whose peer confirms nothing, but also one
whose peer confirms every probe and keeps its window closed. It is moved on
while the peer confirms something; whether the peer is dead is decided here.
"""

import enum
import math
from typing import Any

from ragwort_peers import _socket_options
from ragwort_peers import _tcp_info

CHECK_S = 0.5
# Bytes that are confirmed sooner are not asked for.
MIN_AGE_S = 1.0
# The user timeout is kept this far ahead. The kernel probes a closed window
# at least as often.
AHEAD_S = _socket_options.USER_TIMEOUT_MS / 1000.0
# Time without any answer after which a peer is dead: longer than AHEAD_S, so
# that one lost probe is followed by another.
DEAD_S = 4.0
MIN_UNANSWERED_PROBES = 2


class Verdict(enum.Enum):
    """What becomes of a connection."""

    CONFIRMED = 'confirmed'
    WAIT = 'wait'
    MOVE_ON = 'move on'
    DEAD = 'dead'


class SendState:
    """What is known of the bytes that wait on one connection."""

    def __init__(self, now: float) -> None:
        """Begin with bytes written at a time in seconds."""
        self.pending_since = now
        self.awaited_since = math.inf
        # Known from the first check on.
        self.acked_bytes: int | None = None
        # When the peer was last seen to have taken a part.
        self.progress_at = now
        # How far the user timeout is ahead of now once it is moved on.
        self.ahead_s = AHEAD_S
        self.is_moved = False

    def check(self, info: _tcp_info.TcpInfo | None, now: float) -> Verdict:
        """Return what becomes of the connection.

        Without info the kernel's own timeout decides.
        """
        if info is None or info.is_all_confirmed:
            return Verdict.CONFIRMED
        if self.acked_bytes not in (None, info.acked_bytes):
            self.progress_at = now
        self.acked_bytes = info.acked_bytes
        if not info.awaits_answer:
            self.awaited_since = math.inf
        else:
            self.awaited_since = min(self.awaited_since, now)
        is_asked_twice = info.unacked or info.probes >= MIN_UNANSWERED_PROBES
        silent_s = min(now - self.awaited_since, info.last_ack_s)
        if is_asked_twice and silent_s >= DEAD_S:
            return Verdict.DEAD
        has_answered = info.last_ack_s < now - self.pending_since
        return Verdict.MOVE_ON if has_answered else Verdict.WAIT

    def user_timeout_ms(self, now: float) -> int:
        """Return the user timeout that lets the connection go on.

        The kernel counts from when the window closed, at the earliest from
        when the bytes were written, and not anew if a part of them is taken.
        """
        return math.ceil((now - self.pending_since + self.ahead_s) * 1000)


class SendMonitor:
    """Watches the connections that have something to send."""

    def __init__(self, reactor: Any) -> None:
        """Ask the kernel at intervals of a reactor's clock."""
        self.reactor = reactor
        self.states: dict[Any, SendState] = {}
        self.timer: Any = None

    def on_write(self, transport: Any) -> None:
        """Watch a transport until its peer has confirmed all bytes."""
        if transport in self.states:
            return
        self.states[transport] = SendState(self.reactor.seconds())
        if self.timer is None:
            self.timer = self.reactor.callLater(CHECK_S, self._check_all)

    def has_progress(self, transport: Any, since: float) -> bool:
        """Tell whether a peer has taken a part of what still waits for it."""
        state = self.states.get(transport)
        return state is not None and state.progress_at > since

    def linger(self, transport: Any, seconds: float) -> None:
        """Let the kernel go on for a while once the transport is closed.

        A peer that reads on gets what is unsent by then. One that reads
        nothing in all that time does not.
        """
        now = self.reactor.seconds()
        state = self.states.get(transport) or SendState(now)
        state.ahead_s = seconds
        _socket_options.set_user_timeout(transport, state.user_timeout_ms(now))

    def forget(self, transport: Any) -> None:
        """Watch a transport no more, as its connection is gone."""
        self.states.pop(transport, None)

    def _check_all(self) -> None:
        self.timer = None
        if self.states:
            self.timer = self.reactor.callLater(CHECK_S, self._check_all)
        now = self.reactor.seconds()
        for transport, state in list(self.states.items()):
            if now >= state.pending_since + MIN_AGE_S:
                self._check(transport, state, now)

    def _check(self, transport: Any, state: SendState, now: float) -> None:
        info = _tcp_info.read_tcp_info(transport.getHandle())
        verdict = state.check(info, now)
        if verdict == Verdict.CONFIRMED:
            self.forget(transport)
            if state.is_moved:
                _socket_options.set_user_timeout(
                    transport, _socket_options.USER_TIMEOUT_MS
                )
        elif verdict == Verdict.MOVE_ON:
            state.is_moved = True
            _socket_options.set_user_timeout(
                transport, state.user_timeout_ms(now)
            )
        elif verdict == Verdict.DEAD:
            self.forget(transport)
            transport.abortConnection()
