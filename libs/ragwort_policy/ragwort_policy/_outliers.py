"""Ejection of runners that perform worse than their peers, and probes."""

from collections.abc import Sequence
import dataclasses
import enum
import statistics

from ragwort_policy import _runners

MIN_CALLS = 5
MAX_FAILURE_SHARE = 0.4
MAX_SLOWNESS = 3.0
MAX_EJECTED_SHARE = 0.34
PANIC_SHARE = 0.5
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
PROBE_INTERVAL_S = 1.0


class EjectionReason(enum.StrEnum):
    """Why a runner was ejected."""

    FAILING = 'failing'
    SLOW = 'slow'


@dataclasses.dataclass(frozen=True, slots=True)
class Ejection:
    """Decision to send a runner nothing but probes until a time."""

    runner: str
    reason: EjectionReason
    until: float
    failure_share: float
    busy_s: float
    peers_busy_s: float


def is_ejected(state: _runners.RunnerState, now: float) -> bool:
    """Tell whether a runner is out of rotation.

    It stays out after its ejection time until a probe succeeds; probes are
    sent one at a time.
    """
    return state.ejected_until > 0.0


def may_probe(state: _runners.RunnerState, now: float) -> bool:
    """Tell whether an ejected runner may get a request as a probe."""
    return (
        state.ejected_until > 0.0
        and now >= state.ejected_until
        and not state.probing
        and state.inflight == 0
    )


def detect_outlier(
    state: _runners.RunnerState,
    peers: Sequence[_runners.RunnerState],
    now: float,
) -> Ejection | None:
    """Decide whether to eject a runner from the peers of its service.

    peers includes the runner. If most of them look bad, the fault is more
    likely at this node or in the network, and no runner is ejected.
    """
    if is_ejected(state, now) or state.calls < MIN_CALLS:
        return None
    outliers = [
        peer for peer in peers if _outlier_reason(peer, peers) is not None
    ]
    if len(outliers) > PANIC_SHARE * len(peers):
        return None
    ejected = sum(is_ejected(peer, now) for peer in peers)
    if ejected + 1 > max(1.0, MAX_EJECTED_SHARE * len(peers)):
        return None
    reason = _outlier_reason(state, peers)
    if reason is None or len(peers) < 2:
        return None
    duration_s = FIRST_EJECTION_S * 2.0**state.ejections
    return Ejection(
        state.runner.name,
        reason,
        now + min(duration_s, MAX_EJECTION_S),
        state.failure_share,
        state.busy_s,
        _peers_busy_s(state, peers),
    )


def _outlier_reason(
    state: _runners.RunnerState, peers: Sequence[_runners.RunnerState]
) -> EjectionReason | None:
    if state.calls < MIN_CALLS:
        return None
    if state.failure_share > MAX_FAILURE_SHARE:
        return EjectionReason.FAILING
    typical_s = _peers_busy_s(state, peers)
    if typical_s and state.busy_s > MAX_SLOWNESS * typical_s:
        return EjectionReason.SLOW
    return None


def _peers_busy_s(
    state: _runners.RunnerState, peers: Sequence[_runners.RunnerState]
) -> float:
    times = [p.busy_s for p in peers if p is not state and p.results]
    return statistics.median(times) if times else 0.0


def eject(state: _runners.RunnerState, ejection: Ejection) -> None:
    """Apply an ejection to a runner's state."""
    state.ejected_until = ejection.until
    state.ejections += 1
    state.probing = False


def on_probe_result(
    state: _runners.RunnerState,
    ok: bool,
    busy_s: float,
    peers: Sequence[_runners.RunnerState],
    now: float,
) -> bool:
    """Apply a probe's result; return True if the runner is back in use."""
    state.probing = False
    typical_s = _peers_busy_s(state, peers)
    is_slow = typical_s > 0.0 and busy_s > MAX_SLOWNESS * typical_s
    if not ok or is_slow:
        state.ejections += 1
        duration_s = FIRST_EJECTION_S * 2.0**state.ejections
        state.ejected_until = now + min(duration_s, MAX_EJECTION_S)
        return False
    state.ejected_until = 0.0
    state.ejections = max(0, state.ejections - 1)
    state.calls = 0
    state.results = 1
    state.failure_share = 0.0
    state.busy_s = busy_s
    state.limit = _runners.MIN_LIMIT + 1.0
    return True
