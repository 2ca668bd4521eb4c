"""Which nodes callers are still sent to while others depart.

A node is believed alive until a probe of it fails and word of that arrives.
After the loss of many nodes at once that takes over ten seconds: most probes
fail, so that probing slows down, and there is much to pass on. Directories
must not name a departed node for longer than MAX_NAMED_S.
"""

import collections

import ragwort_model as model

# The users' bound: stableWindowMs, 4 s, and 3 s.
MAX_NAMED_S = 7.0
# Time for which a node heard of directly counts as alive, once many depart.
# A node hears from two others a second, so that some are always left.
HEARD_S = 5.0
# Departures in DEPARTURE_WINDOW_S from which on only nodes heard of directly
# are named: word of fewer ones spreads in time. 20 of 60 nodes that were
# killed at once were named for up to 12.9 s without this.
MANY_DEPARTURES = 3
DEPARTURE_WINDOW_S = 20.0
# Peers that are told at once of a node that is suspected or leaves, the
# shortest interval of telling, and the nodes in one message. Word of one node
# took up to 5 s among 330 nodes with probes alone.
TELL_FANOUT = 4
TELL_INTERVAL_S = 0.3
MAX_TOLD = 8


class Departures:
    """Departures of other nodes that this node hears of."""

    def __init__(self) -> None:
        """Start with none."""
        self.heard_at: dict[str, float] = {}
        self.departed_at: collections.deque[float] = collections.deque()
        self.untold: dict[str, None] = {}
        self.next_tell_at = 0.0

    def on_heard(self, address: str, now: float) -> None:
        """Record a message from the node with a peer address."""
        self.heard_at[address] = now

    def on_record(
        self,
        update: model.MemberUpdate,
        known: model.MemberUpdate | None,
        now: float,
    ) -> None:
        """Record what is news in a node's record."""
        was_there = known is not None and _is_there(known)
        if not was_there or _is_there(update):
            return
        self.untold[update.name] = None
        if update.status != model.MemberStatus.ALIVE:
            self.departed_at.append(now)

    def may_be_named(self, update: model.MemberUpdate, now: float) -> bool:
        """Tell whether callers may be sent to a node believed alive."""
        departed = self.departed_at
        while departed and departed[0] <= now - DEPARTURE_WINDOW_S:
            departed.popleft()
        if len(departed) < MANY_DEPARTURES:
            return True
        heard_at = self.heard_at.get(update.peer_address)
        return heard_at is not None and now - heard_at < HEARD_S

    def take_untold(self, now: float) -> list[str]:
        """Return the names of departed nodes to tell peers of now."""
        if not self.untold or now < self.next_tell_at:
            return []
        self.next_tell_at = now + TELL_INTERVAL_S
        names = list(self.untold)[:MAX_TOLD]
        for name in names:
            del self.untold[name]
        return names

    def forget(self, address: str) -> None:
        """Forget a node that is no member any more."""
        self.heard_at.pop(address, None)


def _is_there(update: model.MemberUpdate) -> bool:
    return update.accepting and update.status == model.MemberStatus.ALIVE
