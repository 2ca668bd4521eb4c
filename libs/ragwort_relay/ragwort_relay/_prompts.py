"""Choice of a model runner by its cached prompt parts and its load.

A session's calls go to the runner that has its prompt cached, unless that
runner's load costs more time than the cache saves. This keeps hot sessions
and long prompts from overloading one runner.

Load pattern: hundreds of hosts that each know little of the runners' load
choose at the same time, also just after a start or as runners come.
"""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import math

import msgspec

import ragwort_model as model
from ragwort_relay import _fleet
from ragwort_relay import _runner_model
from ragwort_relay import _sharing

# Typical prefill time of a token; only its ratio to LOAD_S_PER_CALL matters.
PREFILL_S_PER_TOKEN = 1.0 / 75_000.0
# Time that each running call at a runner adds to a new one.
LOAD_S_PER_CALL = 0.0015
# Parts indexed for each runner, about what its cache holds.
MAX_PARTS = 512
# Time to fetch a byte of stage results from another failure domain.
REMOTE_S_PER_BYTE = 2.7e-9
# Hosts that compare all runners; as many see most of what a runner gets.
KNOWING_HOSTS = 8
# Requests of a part that a home may get, against the mean of all runners; the
# slowest known runner works at 0.6 of the mean speed.
MAX_HOME_LOAD = 0.6
# Runners compared by a host that knows nothing of what others send.
MIN_COMPARED = 2
# Parts of a prompt from which on the last but one may be its session's.
MIN_SESSION_PARTS = 3
# Extra time of a call to another failure domain.
REMOTE_CALL_S = 0.004


class PromptCacheIndex:
    """LRU index of the prompt parts that each runner likely has cached."""

    def __init__(self) -> None:
        """Start with an empty index."""
        self.parts: dict[str, collections.OrderedDict[str, int]] = {}
        self.tokens: collections.Counter[str] = collections.Counter()

    def record(
        self,
        runner: str,
        prompt: Sequence[_sharing.PromptPart],
        limit_tokens: int | None = None,
    ) -> None:
        """Record that a runner has processed a prompt.

        limit_tokens is what it has memory for, None if that is not known.
        """
        cached = self.parts.setdefault(runner, collections.OrderedDict())
        for part in prompt:
            self.tokens[runner] += part.tokens - cached.get(part.part_id, 0)
            cached[part.part_id] = part.tokens
            cached.move_to_end(part.part_id)
        if limit_tokens is not None:
            self.trim(runner, limit_tokens)
            return
        while len(cached) > MAX_PARTS:
            self._evict(runner, cached)

    def trim(self, runner: str, limit_tokens: int) -> None:
        """Remove the oldest parts that a runner has no memory for."""
        cached = self.parts.get(runner)
        while cached and self.tokens[runner] > limit_tokens:
            self._evict(runner, cached)

    def _evict(
        self, runner: str, cached: collections.OrderedDict[str, int]
    ) -> None:
        _, tokens = cached.popitem(last=False)
        self.tokens[runner] -= tokens

    def remove(self, runner: str) -> None:
        """Remove a runner that is gone or restarted."""
        self.parts.pop(runner, None)
        self.tokens.pop(runner, None)

    def uncached_tokens(
        self, runner: str, prompt: Sequence[_sharing.PromptPart]
    ) -> int:
        """Return the tokens of a prompt that a runner must prefill."""
        cached: Mapping[str, int] = self.parts.get(runner, {})
        total = sum(part.tokens for part in prompt)
        for part in prompt:
            if part.part_id not in cached:
                break
            total -= part.tokens
        return total


class PromptView(msgspec.Struct, frozen=True):
    """A prompt and what a host knows of where its parts are held."""

    prompt: Sequence[_sharing.PromptPart]
    home: _sharing.Home | None
    prompt_cache: PromptCacheIndex
    input_bytes: Mapping[str, float]

    @property
    def total_tokens(self) -> int:
        """Return the length of the prompt."""
        return sum(part.tokens for part in self.prompt)

    def held_tokens(
        self,
        runners: Sequence[_fleet.FleetRunner],
        models: _runner_model.RunnerModels,
        now: float,
    ) -> dict[str, float]:
        """Return the tokens of the prompt that each runner likely holds."""
        total = self.total_tokens
        held: dict[str, float] = {
            runner.name: total
            - self.prompt_cache.uncached_tokens(runner.name, self.prompt)
            for runner in runners
        }
        if self.home is None:
            return held
        count = min(self.home_count(len(held)), len(held))
        homes = set(
            model.select_by_rendezvous(self.home.key, list(held), count)
        )
        for runner in runners:
            if runner.name not in homes:
                continue
            free = models.free_tokens(runner, now)
            cached = self.home.cached_tokens
            if free is not None:
                cached = min(cached, free)
            held[runner.name] = max(held[runner.name], cached)
        return held

    def home_count(self, runners: int) -> int:
        """Return how many of some runners are homes of the prompt.

        A host hears too seldom from a hot part's home to see it fill, while
        all hosts together send there. So a part that more requests have than
        one runner should get has several homes.
        """
        if self.home is None:
            return 0
        share = self.home.request_share * runners
        return max(math.ceil(share / MAX_HOME_LOAD), 1)

    def work(
        self,
        runner: _fleet.FleetRunner,
        held: float,
        models: _runner_model.RunnerModels,
    ) -> _runner_model.Work:
        """Return the work at a runner that should hold some tokens.

        Other hosts' calls evict parts unseen, hence only the usual share of
        the tokens is expected to be there.
        """
        share = models.held_share(runner.entry.runner.service)
        return _runner_model.Work(
            self.total_tokens - held * share,
            _transfer_s(runner, self.input_bytes),
        )


class TradeOutcome(enum.StrEnum):
    """Where a prompt went, as to the runner that holds most of it."""

    NO_HOLDER = 'no-holder'
    HOLDER = 'holder'
    LEFT = 'left'
    # Of those that went to a holder: the time shows that it held nothing.
    GONE = 'gone'


class TradeSide(msgspec.Struct, frozen=True):
    """Time saved at a runner by what it holds, and the wait there."""

    runner: str
    saved_s: float
    wait_s: float


class PromptTrade(msgspec.Struct, frozen=True):
    """Both sides of a choice, for the chosen runner and the best holder.

    lost_tokens are those that the holder holds and the chosen one does not;
    sent is what to learn from once the first event comes.
    """

    outcome: TradeOutcome
    chosen: TradeSide
    holder: TradeSide
    lost_tokens: float
    sent: _runner_model.SentWork


def choose_by_prompt_cache(
    runners: Sequence[_fleet.FleetRunner],
    prompt: Sequence[_sharing.PromptPart],
    home: _sharing.Home | None,
    prompt_cache: PromptCacheIndex,
    input_bytes: Mapping[str, float],
    request_id: str,
    hosts: int,
    now: float,
    models: _runner_model.RunnerModels | None = None,
) -> tuple[_fleet.FleetRunner, dict[str, float]]:
    """Return the runner expected to start first, and all estimates.

    input_bytes is the size of the results to fetch, by failure domain; hosts
    is how many hosts choose among these runners; models is None unless they
    are on for the service.
    Rendezvous hashing over the key of the prompt's home gives each session
    a home runner, on which all hosts agree without communication.
    """
    if models is not None:
        view = PromptView(prompt, home, prompt_cache, input_bytes)
        return _choose_by_model(runners, view, request_id, hosts, now, models)
    home_runner = None
    if home is not None:
        names = [runner.name for runner in runners]
        home_runner = model.select_by_rendezvous(home.key, names)[0]
    tokens = sum(part.tokens for part in prompt)
    costs: dict[str, float] = {}
    estimates: dict[str, float] = {}
    for runner in runners:
        uncached: float = prompt_cache.uncached_tokens(runner.name, prompt)
        if home is not None and runner.name == home_runner:
            # Other hosts' calls have likely cached the session there.
            uncached = min(uncached, tokens - home.cached_tokens)
        costs[runner.name] = (
            uncached * PREFILL_S_PER_TOKEN
            + runner.state.failure_share
            + _transfer_s(runner, input_bytes)
        )
        load_s = runner.state.occupancy(now) * LOAD_S_PER_CALL
        estimates[runner.name] = costs[runner.name] + load_s
    compared_names = set(_compared(costs, request_id, hosts))
    compared = [r for r in runners if r.name in compared_names]
    tie_key = _tie_key(prompt, request_id)
    return _least(compared, estimates, tie_key), estimates


def _tie_key(prompt: Sequence[_sharing.PromptPart], request_id: str) -> str:
    """Return by what to choose among equal runners."""
    if len(prompt) >= MIN_SESSION_PARTS:
        # Equal runners still get the whole of a session each.
        return prompt[-2].part_id
    return request_id


def _transfer_s(
    runner: _fleet.FleetRunner, input_bytes: Mapping[str, float]
) -> float:
    """Return the time to fetch results from other failure domains."""
    return REMOTE_S_PER_BYTE * sum(
        size
        for domain, size in input_bytes.items()
        if domain != runner.entry.runner.failure_domain
    )


def _choose_by_model(
    runners: Sequence[_fleet.FleetRunner],
    view: PromptView,
    request_id: str,
    hosts: int,
    now: float,
    models: _runner_model.RunnerModels,
) -> tuple[_fleet.FleetRunner, dict[str, float]]:
    """Return the runner expected to start first, and all estimates.

    Which runners are compared depends on neither load nor speed: hosts that
    all compared the runners known to be fast would overload these.
    """
    held = view.held_tokens(runners, models, now)
    costs: dict[str, float] = {}
    estimates: dict[str, float] = {}
    for runner in runners:
        work = view.work(runner, held[runner.name], models)
        expected = models.expect(runner, work, now)
        # As in the earlier rule, a call that fails costs about a second.
        failure_s = runner.state.failure_share
        service = runner.entry.runner.service
        costs[runner.name] = (
            models.read_s(service, work.tokens or 0.0)
            + failure_s
            + work.transfer_s
        )
        estimates[runner.name] = expected.total_s + failure_s
    names = set(_compared(costs, request_id, hosts))
    compared = [runner for runner in runners if runner.name in names]
    tie_key = _tie_key(view.prompt, request_id)
    return _least(compared, estimates, tie_key), estimates


def prompt_trade(
    chosen: _fleet.FleetRunner,
    runners: Sequence[_fleet.FleetRunner],
    view: PromptView,
    models: _runner_model.RunnerModels,
    now: float,
) -> PromptTrade:
    """Return what was weighed at the chosen runner and at the best holder."""
    held = view.held_tokens(runners, models, now)
    holder = max(runners, key=lambda r: (held[r.name], r is chosen))
    sides = []
    for runner in (chosen, holder):
        work = view.work(runner, held[runner.name], models)
        saved = view.total_tokens - (work.tokens or 0.0)
        saved_s = models.read_s(runner.entry.runner.service, saved)
        sides.append(
            TradeSide(
                runner.name,
                saved_s * models.speed(runner),
                models.expect(runner, work, now).wait_s,
            )
        )
    lost = held[holder.name] - held[chosen.name]
    if held[holder.name] < _runner_model.MIN_TELLING_TOKENS:
        outcome = TradeOutcome.NO_HOLDER
    elif lost <= 0.0:
        outcome = TradeOutcome.HOLDER
    else:
        outcome = TradeOutcome.LEFT
    work = view.work(chosen, held[chosen.name], models)
    sent = _runner_model.SentWork(
        chosen,
        _runner_model.Work(
            view.total_tokens - held[chosen.name], work.transfer_s
        ),
        held[chosen.name],
        models.load(chosen, now),
        models.expect(chosen, work, now).total_s,
    )
    return PromptTrade(outcome, sides[0], sides[1], lost, sent)


def _compared(
    costs: Mapping[str, float], request_id: str, hosts: int
) -> list[str]:
    """Return the runners whose load is compared, other ones each time.

    Many hosts that all take the runner which they last heard to be idle make
    it the busiest. So each compares the fewer the less it can know: some of
    the cheapest ones, by what they would cost without load, and some of all.
    """
    order = model.select_by_rendezvous(request_id, costs, len(costs))
    count = max(MIN_COMPARED, math.ceil(len(order) * KNOWING_HOSTS / hosts))
    limit = min(costs.values()) + LOAD_S_PER_CALL
    cheapest = [name for name in order if costs[name] <= limit]
    return cheapest[:count] + order[:count]


def _least(
    runners: Sequence[_fleet.FleetRunner],
    estimates: Mapping[str, float],
    tie_key: str,
) -> _fleet.FleetRunner:
    """Return the runner with the least estimate, for each key another one.

    Hosts that know as little as each other would all take the same one of
    several that seem equal.
    """
    least = min(estimates[runner.name] for runner in runners)
    equal = {r.name: r for r in runners if estimates[r.name] == least}
    [name] = model.select_by_rendezvous(tie_key, equal)
    return equal[name]


def choose_by_load(
    runners: Sequence[_fleet.FleetRunner],
    failure_domain: str,
    request_id: str,
    now: float,
    models: _runner_model.RunnerModels | None = None,
) -> tuple[_fleet.FleetRunner, dict[str, float]]:
    """Return the runner with the least expected time, and all estimates."""
    if models is not None:
        return _choose_plain_by_model(
            runners, failure_domain, request_id, now, models
        )
    estimates: dict[str, float] = {}
    for runner in runners:
        state = runner.state
        busy_s = state.busy_s or 0.05
        load_factor = max(1.0, (state.occupancy(now) + 1) / runner.entry.slots)
        is_remote = runner.entry.runner.failure_domain != failure_domain
        estimates[runner.name] = (
            busy_s * load_factor
            + state.failure_share * busy_s
            + REMOTE_CALL_S * is_remote
        )
    return _least(runners, estimates, request_id), estimates


def _choose_plain_by_model(
    runners: Sequence[_fleet.FleetRunner],
    failure_domain: str,
    request_id: str,
    now: float,
    models: _runner_model.RunnerModels,
) -> tuple[_fleet.FleetRunner, dict[str, float]]:
    """Return the runner with the least expected time, and all estimates."""
    estimates: dict[str, float] = {}
    for runner in runners:
        is_remote = runner.entry.runner.failure_domain != failure_domain
        work = _runner_model.Work(transfer_s=REMOTE_CALL_S * is_remote)
        expected = models.expect(runner, work, now)
        estimates[runner.name] = (
            expected.total_s + runner.state.failure_share * expected.work_s
        )
    return _least(runners, estimates, request_id), estimates
