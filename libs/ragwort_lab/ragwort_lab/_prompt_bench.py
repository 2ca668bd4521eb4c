"""Load patterns of prompts that share parts, each against earlier rules.

Hosts that see few requests each choose an engine; an engine reads the parts
that it does not keep. The figures are the tokens of shared parts that were
read again and the busiest engine's share of the work.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
import random

import ragwort_model as model
import ragwort_policy as policy
import ragwort_relay as relay

CLASS = 'digest'
ENGINES = 6
# Tokens that an engine keeps, and how many of a prompt it reads a second.
CACHE_TOKENS = 570_000
TOKENS_PER_S = 50_000.0
# Time in which a call's events are made once its prompt was read.
EVENTS_S = 0.5
RATE_PER_S = 8.0
REQUESTS = 600


class PromptRule(enum.StrEnum):
    """Rules by which a prompt gets a home, the earliest first."""

    BY_COUNT = 'by count of parts'
    LEARNED = 'learned'


MakePrompt = Callable[[random.Random, int], tuple[relay.PromptPart, ...]]
PATTERNS: dict[str, MakePrompt] = {}


def pattern(name: str) -> Callable[[MakePrompt], MakePrompt]:
    """Register a pattern of prompts under a name."""

    def register(make: MakePrompt) -> MakePrompt:
        PATTERNS[name] = make
        return make

    return register


def _own(number: int, tokens: int = 3700) -> relay.PromptPart:
    return relay.PromptPart(f'own-{number}', tokens)


@pattern('one shared part and one of its own')
def shared_and_own(
    rng: random.Random, number: int
) -> tuple[relay.PromptPart, ...]:
    """Return a long shared part and the request's own."""
    shared = relay.PromptPart(f'statement-{rng.randrange(90)}', 13_300)
    return shared, _own(number)


@pattern('two shared parts and one of its own')
def two_shared_and_own(
    rng: random.Random, number: int
) -> tuple[relay.PromptPart, ...]:
    """Return a part of few kinds, one of many, and the request's own."""
    kind = rng.randrange(4)
    return (
        relay.PromptPart(f'style-{kind}', 2500),
        relay.PromptPart(f'artist-{kind}-{rng.randrange(12)}', 3800),
        _own(number, 2900),
    )


@pattern('one part that all share')
def all_shared(
    rng: random.Random, number: int
) -> tuple[relay.PromptPart, ...]:
    """Return one part of a hundred."""
    return (relay.PromptPart(f'notice-{rng.randrange(100)}', 6000),)


@pattern('own parts only')
def own_only(rng: random.Random, number: int) -> tuple[relay.PromptPart, ...]:
    """Return two parts that never come again."""
    return _own(2 * number, 3000), _own(2 * number + 1, 9000)


@pattern('sessions that grow')
def growing_session(
    rng: random.Random, number: int
) -> tuple[relay.PromptPart, ...]:
    """Return a session's parts up to one of its turns."""
    place = number % 40
    life, turn = divmod(number // 40 + place, 12)
    session = f'{place}-{life}'
    return (
        relay.PromptPart('rules', 500),
        relay.PromptPart(f'session-{session}', 3000),
        *(
            relay.PromptPart(f'turn-{session}-{index}', 700)
            for index in range(turn + 1)
        ),
    )


@dataclasses.dataclass(slots=True)
class _Engine:
    """An engine's cache and the work it was given."""

    runner: relay.FleetRunner
    kept: collections.OrderedDict[str, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    read_tokens: int = 0
    read_until: float = 0.0
    ends: list[float] = dataclasses.field(default_factory=list)

    def report_load(self, now: float) -> None:
        """Tell how many calls run, as answers would."""
        self.ends = [end for end in self.ends if end > now]
        self.runner.state.inflight = len(self.ends)

    def read(
        self, prompt: Sequence[relay.PromptPart], now: float
    ) -> list[str]:
        """Read what is not kept; return the parts that were read."""
        missing = 0
        while missing < len(prompt) and prompt[missing].part_id in self.kept:
            missing += 1
        for part in prompt:
            self.kept[part.part_id] = part.tokens
            self.kept.move_to_end(part.part_id)
        while sum(self.kept.values()) > CACHE_TOKENS:
            self.kept.popitem(last=False)
        unread = prompt[missing:]
        tokens = sum(part.tokens for part in unread)
        self.read_tokens += tokens
        self.read_until = max(self.read_until, now) + tokens / TOKENS_PER_S
        self.ends.append(self.read_until + EVENTS_S)
        return [part.part_id for part in unread]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptFigures:
    """What a rule made of a pattern.

    read_again is the tokens read that another request had read before, as
    a share of all tokens asked for; busiest is the busiest engine's tokens
    against the mean.
    """

    read_again: float
    busiest: float


class PromptReplay:
    """One pattern under one rule on some hosts."""

    def __init__(
        self, name: str, rule: PromptRule, hosts: int, seed: int = 1
    ) -> None:
        """Create hosts and engines that know nothing."""
        self.make = PATTERNS[name]
        self.rule = rule
        self.rng = random.Random(seed)
        self.sharing = [relay.PromptSharing() for _ in range(hosts)]
        self.caches = [relay.PromptCacheIndex() for _ in range(hosts)]
        for sharing in self.sharing:
            sharing.hosts = hosts
        self.engines = {
            f'engine-{index}': _new_engine(f'engine-{index}')
            for index in range(ENGINES)
        }

    def run(self) -> PromptFigures:
        """Play all requests in turn."""
        asked = again = 0
        now = 0.0
        known: set[str] = set()
        for number in range(REQUESTS):
            now += self.rng.expovariate(RATE_PER_S)
            prompt = self.make(self.rng, number)
            host = self.rng.randrange(len(self.sharing))
            engine = self._choose(host, prompt, now)
            read = set(engine.read(prompt, now))
            asked += sum(part.tokens for part in prompt)
            again += sum(
                part.tokens
                for part in prompt
                if part.part_id in read and part.part_id in known
            )
            known |= {part.part_id for part in prompt}
        work = [engine.read_tokens for engine in self.engines.values()]
        return PromptFigures(
            again / asked, max(work) * len(work) / max(sum(work), 1)
        )

    def _choose(
        self, host: int, prompt: tuple[relay.PromptPart, ...], now: float
    ) -> _Engine:
        sharing, cache = self.sharing[host], self.caches[host]
        for engine in self.engines.values():
            engine.report_load(now)
        sharing.record(CLASS, prompt)
        home = sharing.home(CLASS, prompt)
        if self.rule == PromptRule.BY_COUNT:
            home = _home_by_count(prompt)
        runners = [engine.runner for engine in self.engines.values()]
        chosen, _ = relay.choose_by_prompt_cache(
            runners,
            prompt,
            home,
            cache,
            {},
            prompt[-1].part_id,
            len(self.sharing),
            now,
        )
        cache.record(chosen.name, prompt)
        return self.engines[chosen.name]


def _new_engine(name: str) -> _Engine:
    runner = model.Runner(name, 'pool', '10.0.0.1:80', 'north')
    entry = relay.RunnerEntry(runner, 0, 64)
    return _Engine(relay.FleetRunner(entry, policy.RunnerState(runner)))


def _home_by_count(prompt: tuple[relay.PromptPart, ...]) -> relay.Home:
    """Return the earlier rule's home: the last part from three parts on."""
    shared = prompt[:-1] if len(prompt) >= 3 else prompt
    tokens = sum(part.tokens for part in shared)
    return relay.Home(shared[-1].part_id, tokens)


def prompt_report(hosts: Sequence[int] = (9, 76)) -> None:
    """Print the figures of all patterns, rules and fleet sizes."""
    print('pattern, hosts, rule: tokens read again, busiest engine / mean')
    for name in PATTERNS:
        for count in hosts:
            for rule in PromptRule:
                figures = PromptReplay(name, rule, count).run()
                print(
                    f'{name}, {count}, {rule}: {figures.read_again:.3f}, '
                    f'{figures.busiest:.2f}'
                )
