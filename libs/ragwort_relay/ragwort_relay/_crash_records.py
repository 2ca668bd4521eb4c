"""What is recorded of one suspect: its answers and the crashes under it."""

import collections
import math

import msgspec

SuspectKey = tuple[str, str]
Incarnation = tuple[str, int]


class AnswerTimes:
    """When answers to the latest suspects began, up to a number of them."""

    def __init__(self, most: int) -> None:
        """Remember so many suspects."""
        self.most = most
        self.times: collections.OrderedDict[SuspectKey, float] = (
            collections.OrderedDict()
        )

    def add(self, key: SuspectKey, at: float) -> None:
        """Record an answer."""
        self.times[key] = max(at, self.get(key))
        self.times.move_to_end(key)
        if len(self.times) > self.most:
            self.times.popitem(last=False)

    def get(self, key: SuspectKey) -> float:
        """Return the time of the latest answer; minus infinity for none."""
        return self.times.get(key, -math.inf)


class Crash(msgspec.Struct, frozen=True):
    """When the call was sent under which a runner ended, and broke."""

    sent_at: float
    at: float


class CrashRecord(msgspec.Struct):
    """The crashes under a suspect since an answer began, and its last use."""

    used_at: float
    is_first: bool = False
    is_refused: bool = False
    crashes: dict[Incarnation, Crash] = msgspec.field(default_factory=dict)

    def in_turn(self, gap_s: float = 0.0) -> int:
        """Return how many crashes came one after the other.

        The call under each of them was sent when the one before had crashed
        its runner: runners that end together count once.
        """
        count, last_at = 0, -math.inf
        for crash in sorted(self.crashes.values(), key=lambda c: c.at):
            if crash.sent_at >= last_at and crash.at > last_at + gap_s:
                count += 1
                last_at = crash.at
        return count
