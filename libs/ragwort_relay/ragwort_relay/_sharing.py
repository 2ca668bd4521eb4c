"""Which parts of a class's prompts come again, learned from its requests.

Load pattern: many requests whose prompts begin with the same parts and end
with one of their own, spread over hosts that each see few of them. A part
that comes again is worth sending to the runner that has read it; one that
does not is worth nothing there, and its requests should follow the load.
"""

import collections
from collections.abc import Sequence

import msgspec

# Part ids remembered of each class, the latest first.
MAX_PARTS = 4096
# Prompts whose lengths show where those of a class differ.
RECENT_PROMPTS = 512
# Weight of what is assumed before anything was seen, in requests.
PRIOR_REQUESTS = 4.0
# Share of parts assumed to come again somewhere. The last of several parts
# belongs to its request; an only part is worth a home until it is known.
PRIOR_SHARE = 0.9
PRIOR_LAST_SHARE = 0.1
PRIOR_ONLY_SHARE = 0.6
# Requests after which older ones count half.
HALVING_REQUESTS = 200.0
# Prompts of all classes in which the share of each part is counted.
SHARE_PROMPTS = 256
# Parts that come again less often than this give a prompt no home.
MIN_HOME_SHARE = 0.25


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt; tokens is its length."""

    part_id: str
    tokens: int


class Home(msgspec.Struct, frozen=True):
    """Where a prompt belongs, and what is likely kept there.

    key is the same on all hosts for prompts that share their parts up to
    it; cached_tokens is how many tokens of the prompt a runner has likely
    cached that got the earlier prompts with this key; request_share is the
    share of all prompts that have this key.
    """

    key: str
    cached_tokens: float
    request_share: float = 0.0


class _Recurrence(msgspec.Struct):
    """How often a part at one place of the prompt had come before."""

    seen: float = 0.0
    again: float = 0.0

    def add(self, is_again: bool) -> None:
        if self.seen >= HALVING_REQUESTS:
            self.seen /= 2
            self.again /= 2
        self.seen += 1
        self.again += is_again

    def share(self, prior: float, hosts: int) -> float:
        """Return the share of parts that come again at any of the hosts.

        Each host sees an equal part of the requests: a part has come before
        unless it has at none of them.
        """
        missed = (1 - prior) ** (1 / hosts)
        rate = (self.again + PRIOR_REQUESTS * (1 - missed)) / (
            self.seen + PRIOR_REQUESTS
        )
        return float(1 - (1 - rate) ** hosts)


class _ClassSharing:
    """What this host has seen of the prompts of one class of work."""

    def __init__(self) -> None:
        self.places: list[_Recurrence] = []
        self.known: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.lengths: collections.deque[int] = collections.deque(
            maxlen=RECENT_PROMPTS
        )

    def record(self, prompt: Sequence[PromptPart]) -> None:
        self.lengths.append(len(prompt))
        while len(self.places) < len(prompt):
            self.places.append(_Recurrence())
        for place, part in zip(self.places, prompt, strict=False):
            place.add(part.part_id in self.known)
            self.known[part.part_id] = None
            self.known.move_to_end(part.part_id)
        while len(self.known) > MAX_PARTS:
            self.known.popitem(last=False)

    def common_length(self, length: int) -> int:
        """Return how many parts a home may depend on.

        Where lengths differ, the last part of the shortest prompts is where
        sessions begin to grow.
        """
        shortest = min(self.lengths, default=length)
        if max(self.lengths, default=length) == shortest:
            return shortest
        return max(shortest - 1, 1)

    def shares(self, length: int, hosts: int) -> list[float]:
        """Return the share of parts that come again, place by place."""
        places = [*self.places, *[_Recurrence()] * length]
        return [
            places[index].share(_prior_share(index, length), hosts)
            for index in range(length)
        ]


def _prior_share(index: int, length: int) -> float:
    """Return the share assumed for a place of a prompt of some length."""
    if length == 1:
        return PRIOR_ONLY_SHARE
    return PRIOR_LAST_SHARE if index == length - 1 else PRIOR_SHARE


class PromptSharing:
    """Learns the shared parts of prompts for each class of work."""

    def __init__(self) -> None:
        """Start with nothing seen; hosts is how many hosts share the load."""
        self.hosts = 1
        self.part_counts: collections.Counter[str] = collections.Counter()
        self.recent: collections.deque[tuple[str, ...]] = collections.deque()
        self.classes: dict[str, _ClassSharing] = {}

    def record(self, class_of_work: str, prompt: Sequence[PromptPart]) -> None:
        """Learn from a prompt, empty if the class has none."""
        if not prompt:
            return
        known = self.classes.setdefault(class_of_work, _ClassSharing())
        known.record(prompt)
        parts = tuple(part.part_id for part in prompt)
        self.recent.append(parts)
        self.part_counts.update(parts)
        if len(self.recent) > SHARE_PROMPTS:
            for part_id in self.recent.popleft():
                self._uncount(part_id)

    def _uncount(self, part_id: str) -> None:
        self.part_counts[part_id] -= 1
        if not self.part_counts[part_id]:
            del self.part_counts[part_id]

    def request_share(self, part_id: str) -> float:
        """Return the share of recent prompts that have a part.

        A part seen once may be a rare one, hence one prompt counts nothing.
        """
        seen = max(self.part_counts[part_id] - 1, 0)
        return seen / (len(self.recent) + PRIOR_REQUESTS)

    def home(
        self, class_of_work: str, prompt: Sequence[PromptPart]
    ) -> Home | None:
        """Return where a prompt belongs, None if its parts never recur.

        The key is the last shared part that all prompts of the class have:
        what longer ones add is the growth of a session, which stays with
        its beginning.
        """
        known = self.classes.get(class_of_work, _ClassSharing())
        common = known.common_length(len(prompt))
        shares = known.shares(len(prompt), self.hosts)
        key: str | None = None
        cached_tokens = 0.0
        for index, (part, share) in enumerate(
            zip(prompt, shares, strict=True)
        ):
            if share < MIN_HOME_SHARE:
                break
            if index < common:
                key = part.part_id
            cached_tokens += share * part.tokens
        if key is None:
            return None
        return Home(key, cached_tokens, self.request_share(key))
