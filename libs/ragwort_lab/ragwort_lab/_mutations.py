"""Deliberately broken variants, one for each invariant.

A check that cannot fail proves nothing: each variant must make its
invariant report a violation.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
from typing import Any
from unittest import mock

from ragwort_lab import _invariants
from ragwort_lab import _matrix
import ragwort_membership as membership
import ragwort_model as model
import ragwort_node as node
from ragwort_node import _core
from ragwort_node import _dispatcher
from ragwort_node import _engine
from ragwort_node import _execution
from ragwort_node import _timers
import ragwort_state as state


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """A case, and how to break the system while it runs."""

    case: _matrix.Case
    break_it: Callable[[], contextlib.AbstractContextManager[Any]]


MUTATIONS: dict[str, Mutation] = {}


def mutation(
    invariant: str, faults: tuple[str, ...], step: str
) -> Callable[[Callable[[], Iterator[None]]], Callable[[], Iterator[None]]]:
    """Register a broken variant for an invariant."""

    def register(
        function: Callable[[], Iterator[None]],
    ) -> Callable[[], Iterator[None]]:
        case = _matrix.Case(faults, step, 1)
        broken = contextlib.contextmanager(function)
        MUTATIONS[invariant] = Mutation(case, broken)
        return function

    return register


def is_caught(invariant: str) -> bool:
    """Run a broken variant and tell whether its invariant noticed."""
    chosen = MUTATIONS[invariant]
    with chosen.break_it():
        run = _matrix.CaseRun(chosen.case)
        run.run()
        return bool(_invariants.INVARIANTS[invariant](run.world))


def _accept_any_chunk(
    attempt: _execution.Attempt, seq: int, data: str
) -> _execution.ChunkVerdict:
    attempt.chunks.append(data)
    return _execution.ChunkVerdict.ACCEPTED


@mutation('whole-answer', ('repeated-chunk',), 'dispatch:generator')
def accept_repeated_chunks() -> Iterator[None]:
    """Take every chunk, and believe any end record."""
    with (
        mock.patch.object(
            _execution.Attempt, 'accept_chunk', _accept_any_chunk
        ),
        mock.patch.object(
            _execution.Execution, 'is_result_complete', lambda *_: True
        ),
    ):
        yield


@mutation('one-end', ('runner-hangs',), 'dispatch:registrar')
def forget_deadlines() -> Iterator[None]:
    """Let no deadline end a request."""
    kind = _timers.TimerKind
    original = _engine.Engine.on_timer

    def on_timer(
        engine: _engine.Engine, timer: Any, key: str, ident: str, now: float
    ) -> None:
        if timer != kind.DEADLINE:
            original(engine, timer, key, ident, now)

    with mock.patch.object(_engine.Engine, 'on_timer', on_timer):
        yield


@contextlib.contextmanager
def _grant_everything() -> Iterator[None]:
    original = _core.NodeCore._on_claim_resolved

    def on_claim(
        core: _core.NodeCore, resolved: state.ClaimResolved, now: float
    ) -> None:
        granted = dataclasses.replace(
            resolved, status=model.ClaimStatus.GRANTED
        )
        original(core, granted, now)

    with mock.patch.object(_core.NodeCore, '_on_claim_resolved', on_claim):
        yield


@mutation('at-most-once', ('store-conflict',), 'claim')
def ignore_standing_claims() -> Iterator[None]:
    """Dispatch whatever the ledger says."""
    with _grant_everything():
        yield


@mutation('one-dispatch-of-a-claim', ('store-conflict',), 'claim')
def dispatch_twice() -> Iterator[None]:
    """Dispatch whatever the ledger says."""
    with _grant_everything():
        yield


@mutation('not-run', ('runner-fails',), 'dispatch:registrar')
def always_say_not_run() -> Iterator[None]:
    """Report every failure as not run."""
    with mock.patch.object(
        _execution.Execution,
        'failure_outcome',
        lambda _: model.Outcome.NOT_RUN,
    ):
        yield


@mutation('failed-is-clean', ('runner-fails',), 'dispatch:registrar')
def always_say_failed() -> Iterator[None]:
    """Report every failure as clean."""
    with mock.patch.object(
        _execution.Execution,
        'failure_outcome',
        lambda _: model.Outcome.FAILED,
    ):
        yield


@mutation('leaving-runner', ('runner-leaves',), 'dispatch:encoder')
def ignore_leaving() -> Iterator[None]:
    """Send to runners whatever they say of themselves."""
    with mock.patch.object(
        _dispatcher.Dispatcher,
        'runners_in_service',
        _dispatcher.Dispatcher.runner_subset,
    ):
        yield


def _adopt_anything(
    replica: state.Replica[state.Catalog], item: model.StoredObject, now: float
) -> bool:
    known = replica.objects.get(item.name)
    if known is not None and known.version == item.version:
        return False
    replica.objects[item.name] = item
    replica.adopted_at[item.name] = now
    replica.catalog.apply(item)
    return True


@mutation('versions-never-fall', ('stale-watch', 'stale-list'), 'admission')
def adopt_older_versions() -> Iterator[None]:
    """Take whatever was read last, however old it is."""
    with mock.patch.object(state.Replica, '_adopt', _adopt_anything):
        yield


@mutation('drain-cuts-nothing', ('node-drains',), 'dispatch:generator')
def leave_at_once() -> Iterator[None]:
    """Leave without finishing what was taken."""
    draining = node.NodeState.DRAINING
    with mock.patch.object(
        _core.NodeCore, 'is_drained', lambda core: core.state == draining
    ):
        yield


@mutation('in-force-everywhere', ('peer-loss',), 'configuration')
def tell_nobody() -> Iterator[None]:
    """Keep what the watchers read to themselves."""
    with (
        mock.patch.object(state.Gossip, 'tick', lambda *_: []),
        mock.patch.object(membership, 'is_elected', lambda *_: False),
    ):
        yield


@mutation('fenced-orders', ('orders-delayed', 'node-paused'), 'order')
def let_orders_live() -> Iterator[None]:
    """Give orders no expiry, so that a late one is still obeyed."""
    with mock.patch.object(state, 'ORDER_EXPIRY_S', 1000.0):
        yield
