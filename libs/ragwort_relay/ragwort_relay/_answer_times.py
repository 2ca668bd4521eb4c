"""How long the latest answers of each route took."""

import collections
import enum
import math

# Answers that are remembered of each route.
MAX_ANSWERS = 32
# Routes and spans whose answers are remembered; the names of routes change.
MAX_REMEMBERED = 2000
# Allowance for an answer that takes longer than all recent ones.
SLOWDOWN = 1.5


class Span(enum.StrEnum):
    """What the time of an answer spans."""

    REQUEST = 'request'
    SEND = 'send'


class AnswerTimes:
    """Times that the latest whole answers of each route took."""

    def __init__(self) -> None:
        """Start with no answer."""
        self.times_s: collections.OrderedDict[
            tuple[str, Span], collections.deque[float]
        ] = collections.OrderedDict()

    def record(self, route: str, span: Span, took_s: float) -> None:
        """Remember the time of a whole answer, in seconds."""
        key = route, span
        if key not in self.times_s:
            self.times_s[key] = collections.deque(maxlen=MAX_ANSWERS)
        self.times_s[key].append(took_s)
        self.times_s.move_to_end(key)
        while len(self.times_s) > MAX_REMEMBERED:
            self.times_s.popitem(last=False)

    def expected_s(self, route: str, span: Span) -> float:
        """Return a time that most answers keep, inf if none is known."""
        times_s = self.times_s.get((route, span))
        return max(times_s) * SLOWDOWN if times_s else math.inf
