"""Choosing a model runner by what it has cached of a prompt and its load.

Answers hot sessions and long prompts: a session's calls go where its
prompt parts lie, but no runner gets clearly more than its share of work.
"""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

import ragwort_model as model
from ragwort_relay import _fleet

# Usual prefill time of a prompt token; only its ratio to CALL_S matters.
PREFILL_S_PER_TOKEN = 1.0 / 75_000.0
# Time that each call running at a runner adds to a new one.
CALL_S = 0.0015
# Prompts of so many parts end in one that only the request itself has.
OWN_PART_FROM = 3
# Parts remembered per runner; about what a runner's memory holds.
MAX_PARTS = 512
# Cost of fetching a byte of stage results from another failure domain.
REMOTE_S_PER_BYTE = 2.7e-9
# Cost of a plain call to another failure domain.
REMOTE_CALL_S = 0.004


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt: its id and its length in tokens."""

    part_id: str
    tokens: int


class PromptCacheIndex:
    """Which prompt parts each runner likely keeps."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self.parts: dict[str, collections.OrderedDict[str, None]] = {}

    def record(self, runner: str, prompt: Sequence[PromptPart]) -> None:
        """Remember that a runner has read a prompt."""
        kept = self.parts.setdefault(runner, collections.OrderedDict())
        for part in prompt:
            kept[part.part_id] = None
            kept.move_to_end(part.part_id)
        while len(kept) > MAX_PARTS:
            kept.popitem(last=False)

    def remove(self, runner: str) -> None:
        """Forget a runner that is gone or started anew."""
        self.parts.pop(runner, None)

    def uncached_tokens(
        self, runner: str, prompt: Sequence[PromptPart]
    ) -> int:
        """Return the tokens that a runner has to read anew."""
        kept: Mapping[str, None] = self.parts.get(runner, {})
        total = sum(part.tokens for part in prompt)
        for part in prompt:
            if part.part_id not in kept:
                break
            total -= part.tokens
        return total


def _session_parts(prompt: Sequence[PromptPart]) -> Sequence[PromptPart]:
    """Return the parts that other requests of the session share.

    The last of three and more parts is the request's own.
    """
    return prompt[:-1] if len(prompt) >= OWN_PART_FROM else prompt


def choose_by_prompt_cache(
    runners: Sequence[_fleet.FleetRunner],
    prompt: Sequence[PromptPart],
    prompt_cache: PromptCacheIndex,
    input_bytes: Mapping[str, float],
    now: float,
) -> tuple[_fleet.FleetRunner, dict[str, float]]:
    """Return the runner expected to begin first, and all estimates.

    input_bytes is the size of the results to fetch, by failure domain.
    A session that no runner is known to hold goes where all hosts would
    send it, by rendezvous over its part of the prompt.
    """
    shared = _session_parts(prompt)
    home = None
    if shared:
        names = [runner.name for runner in runners]
        home = model.select_by_rendezvous(shared[-1].part_id, names)[0]
    own_tokens = sum(part.tokens for part in prompt[len(shared) :])
    estimates: dict[str, float] = {}
    for runner in runners:
        missing = prompt_cache.uncached_tokens(runner.name, prompt)
        if runner.name == home:
            # Other hosts send the session there.
            missing = min(missing, own_tokens)
        running = runner.state.occupancy(now)
        estimates[runner.name] = (
            missing * PREFILL_S_PER_TOKEN
            + running * CALL_S
            + runner.state.failure_share
            + REMOTE_S_PER_BYTE
            * sum(
                size
                for domain, size in input_bytes.items()
                if domain != runner.entry.runner.failure_domain
            )
        )
    best = min(runners, key=lambda r: (estimates[r.name], r.name))
    return best, estimates


def choose_by_load(
    runners: Sequence[_fleet.FleetRunner], failure_domain: str, now: float
) -> tuple[_fleet.FleetRunner, dict[str, float]]:
    """Return the runner with the least expected time, near ones first."""
    estimates: dict[str, float] = {}
    for runner in runners:
        state = runner.state
        busy_s = state.busy_s or 0.05
        crowding = max(1.0, (state.occupancy(now) + 1) / runner.entry.slots)
        is_remote = runner.entry.runner.failure_domain != failure_domain
        estimates[runner.name] = (
            busy_s * crowding
            + state.failure_share * busy_s
            + REMOTE_CALL_S * is_remote
        )
    best = min(runners, key=lambda r: (estimates[r.name], r.name))
    return best, estimates
