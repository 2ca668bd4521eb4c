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
import math

import ragwort_model as model
from ragwort_relay import _fleet
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
        self.parts: dict[str, collections.OrderedDict[str, None]] = {}

    def record(
        self, runner: str, prompt: Sequence[_sharing.PromptPart]
    ) -> None:
        """Record that a runner has processed a prompt."""
        cached = self.parts.setdefault(runner, collections.OrderedDict())
        for part in prompt:
            cached[part.part_id] = None
            cached.move_to_end(part.part_id)
        while len(cached) > MAX_PARTS:
            cached.popitem(last=False)

    def remove(self, runner: str) -> None:
        """Remove a runner that is gone or restarted."""
        self.parts.pop(runner, None)

    def uncached_tokens(
        self, runner: str, prompt: Sequence[_sharing.PromptPart]
    ) -> int:
        """Return the tokens of a prompt that a runner must prefill."""
        cached: Mapping[str, None] = self.parts.get(runner, {})
        total = sum(part.tokens for part in prompt)
        for part in prompt:
            if part.part_id not in cached:
                break
            total -= part.tokens
        return total


def choose_by_prompt_cache(
    runners: Sequence[_fleet.FleetRunner],
    prompt: Sequence[_sharing.PromptPart],
    home: _sharing.Home | None,
    prompt_cache: PromptCacheIndex,
    input_bytes: Mapping[str, float],
    request_id: str,
    hosts: int,
    now: float,
) -> tuple[_fleet.FleetRunner, dict[str, float]]:
    """Return the runner expected to start first, and all estimates.

    input_bytes is the size of the results to fetch, by failure domain; hosts
    is how many hosts choose among these runners.
    Rendezvous hashing over the key of the prompt's home gives each session
    a home runner, on which all hosts agree without communication.
    """
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
            + REMOTE_S_PER_BYTE
            * sum(
                size
                for domain, size in input_bytes.items()
                if domain != runner.entry.runner.failure_domain
            )
        )
        load_s = runner.state.occupancy(now) * LOAD_S_PER_CALL
        estimates[runner.name] = costs[runner.name] + load_s
    compared_names = set(_compared(costs, request_id, hosts))
    compared = [r for r in runners if r.name in compared_names]
    tie_key = request_id
    if len(prompt) >= MIN_SESSION_PARTS:
        # Equal runners still get the whole of a session each.
        tie_key = prompt[-2].part_id
    return _least(compared, estimates, tie_key), estimates


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
) -> tuple[_fleet.FleetRunner, dict[str, float]]:
    """Return the runner with the least expected time, and all estimates."""
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
