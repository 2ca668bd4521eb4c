"""Choice of a runner for a stage call.

Strategies are functions that the decorator strategy registers by name. Each
returns a decision with its reason as data.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random

import ragwort_model as model
from ragwort_policy import _runners

SAMPLE_SIZE = 6
BUDGET_SAFETY = 0.7
AFFINITY_LOAD_FACTOR = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingContext:
    """Input of a strategy besides the runners.

    budget_s is the time this stage may take; typical_s the typical time of
    the service; prefer_cost says that cost matters more than speed now;
    turn counts the decisions for the service.
    """

    now: float
    rng: random.Random
    failure_domain: str
    budget_s: float
    typical_s: float
    prefer_cost: bool = False
    affinity_key: str | None = None
    turn: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A runner with the estimates that a strategy compared."""

    runner: str
    expected_s: float
    cost: float
    inflight: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingDecision:
    """The chosen runner, the rule that chose it, and the candidates."""

    state: _runners.RunnerState
    rule: str
    candidates: tuple[Candidate, ...]


Strategy = Callable[
    [Sequence[_runners.RunnerState], RoutingContext], RoutingDecision
]

STRATEGIES: dict[str, Strategy] = {}


def strategy(name: str) -> Callable[[Strategy], Strategy]:
    """Register a strategy under its name in settings."""

    def register(function: Strategy) -> Strategy:
        STRATEGIES[name] = function
        return function

    return register


def find_strategy(name: str) -> Strategy:
    """Return a registered strategy; raise SettingsError if unknown."""
    found = STRATEGIES.get(name)
    if found is None:
        known = ', '.join(sorted(STRATEGIES))
        raise model.SettingsError(
            f'strategy: {name!r} is unknown; write one of {known}'
        )
    return found


@strategy('random')
def choose_random(
    runners: Sequence[_runners.RunnerState], context: RoutingContext
) -> RoutingDecision:
    """Choose a runner at random."""
    return RoutingDecision(context.rng.choice(runners), 'random', ())


@strategy('round-robin')
def choose_round_robin(
    runners: Sequence[_runners.RunnerState], context: RoutingContext
) -> RoutingDecision:
    """Choose each runner in turn."""
    chosen = runners[context.turn % len(runners)]
    return RoutingDecision(chosen, 'round-robin', ())


@strategy('least-outstanding')
def choose_least_outstanding(
    runners: Sequence[_runners.RunnerState], context: RoutingContext
) -> RoutingDecision:
    """Choose a runner with the fewest calls of this node in flight."""
    fewest = min(state.inflight for state in runners)
    least_loaded = [state for state in runners if state.inflight == fewest]
    chosen = context.rng.choice(least_loaded)
    return RoutingDecision(chosen, 'least-outstanding', ())


@strategy('ragwort')
def choose_by_estimate(
    runners: Sequence[_runners.RunnerState], context: RoutingContext
) -> RoutingDecision:
    """Choose from a random sample by expected time, or by cost if allowed.

    Sampling keeps nodes with the same stale reports from all choosing the
    same runner, and limits the work per decision.
    """
    preferred = _affinity_choice(runners, context)
    if preferred is not None:
        candidate = _estimate(preferred, context)
        return RoutingDecision(preferred, 'cache-affinity', (candidate,))
    sample = list(runners)
    if len(sample) > SAMPLE_SIZE:
        sample = context.rng.sample(sample, SAMPLE_SIZE)
    else:
        context.rng.shuffle(sample)
    pairs = [(_estimate(state, context), state) for state in sample]
    candidates = tuple(candidate for candidate, _ in pairs)
    if context.prefer_cost:
        limit_s = context.budget_s * BUDGET_SAFETY
        timely = [pair for pair in pairs if pair[0].expected_s <= limit_s]
        if timely:
            best = min(timely, key=lambda p: (p[0].cost, p[0].expected_s))
            return RoutingDecision(best[1], 'cheapest-in-time', candidates)
    best = min(pairs, key=lambda pair: pair[0].expected_s)
    return RoutingDecision(best[1], 'fastest', candidates)


def _estimate(
    state: _runners.RunnerState, context: RoutingContext
) -> Candidate:
    expected_s = state.expected_s(context.now, context.typical_s)
    if state.runner.failure_domain != context.failure_domain:
        expected_s += _runners.REMOTE_PENALTY_S
    return Candidate(
        state.runner.name,
        expected_s,
        state.call_cost(context.typical_s),
        state.inflight,
    )


def _affinity_choice(
    runners: Sequence[_runners.RunnerState], context: RoutingContext
) -> _runners.RunnerState | None:
    """Return the runner that likely has the prompt prefix cached, if any.

    A runner with clearly more calls than the average is passed over, since
    waiting costs more than the cache saves.
    """
    if context.affinity_key is None or context.prefer_cost:
        return None
    by_name = {state.runner.name: state for state in runners}
    average = sum(state.inflight for state in runners) / len(runners)
    names = model.select_by_rendezvous(context.affinity_key, by_name, 2)
    for name in names:
        state = by_name[name]
        is_full = state.occupancy(context.now) + 1 > state.slots
        if state.inflight <= AFFINITY_LOAD_FACTOR * average + 1:
            if not is_full:
                return state
    return None
