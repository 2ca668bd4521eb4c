"""News that each host tells a few others for some rounds."""

import math
from typing import Generic
from typing import TypeVar

import msgspec

SPREAD_INTERVAL_S = 0.2
SPREAD_FANOUT = 2
EXTRA_ROUNDS = 3
MAX_TOLD = 50

Key = TypeVar('Key')


class _Rumour(msgspec.Struct):
    observed_at: float
    rounds_left: int


class Rumours(Generic[Key]):
    """What one host still tells others; host_count sets for how long."""

    def __init__(self) -> None:
        """Start as the only host, with nothing to tell."""
        self.host_count = 1
        self.rumours: dict[Key, _Rumour] = {}
        self.next_spread_at = 0.0

    def add(self, key: Key, observed_at: float, now: float) -> None:
        """Tell something from now on."""
        rounds = math.ceil(math.log2(self.host_count + 1)) + EXTRA_ROUNDS
        self.rumours[key] = _Rumour(observed_at, rounds)
        self.next_spread_at = min(self.next_spread_at, now)

    def take(self, now: float) -> list[tuple[Key, float]]:
        """Return what to tell some other hosts now, with its age in s."""
        if not self.rumours or now < self.next_spread_at:
            return []
        self.next_spread_at = now + SPREAD_INTERVAL_S
        told = list(self.rumours.items())[:MAX_TOLD]
        for key, rumour in told:
            rumour.rounds_left -= 1
            if rumour.rounds_left <= 0:
                del self.rumours[key]
        return [(key, now - rumour.observed_at) for key, rumour in told]
