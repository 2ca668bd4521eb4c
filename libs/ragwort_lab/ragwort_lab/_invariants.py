"""What must hold after any run of a world.

Each invariant is a function in a registry; it returns one line for each
violation that it finds in a trace.
"""

from collections.abc import Callable

import ragwort_fakes as fakes
from ragwort_lab import _trace
from ragwort_lab import _world
import ragwort_model as model
import ragwort_state as state

END_MARGIN_S = 3.0
LEAVING_BOUND_S = 3.0
IN_FORCE_BOUND_S = 11.0
CHUNKS = 12

Invariant = Callable[[_world.World], list[str]]

INVARIANTS: dict[str, Invariant] = {}


def invariant(name: str) -> Callable[[Invariant], Invariant]:
    """Register an invariant under a name."""

    def register(function: Invariant) -> Invariant:
        INVARIANTS[name] = function
        return function

    return register


def violations(world: _world.World) -> list[str]:
    """Return all violations, each with the name of its invariant."""
    return [
        f'{name}: {line}'
        for name, check in INVARIANTS.items()
        for line in check(world)
    ]


def expected_chunks(class_of_work: str, text: str) -> list[str]:
    """Return the one right answer of the stand-ins."""
    classes = {**fakes.HOULE_CLASSES, **fakes.CAMPBELL_CLASSES}
    stages = fakes.PIPELINES[classes[class_of_work][0]]
    services = [
        (name, model.ServiceKind(fakes.SERVICES[name]['kind']))
        for name in stages
    ]
    return fakes.expected_answer(services, text, CHUNKS)


@invariant('whole-answer')
def check_whole(world: _world.World) -> list[str]:
    """A completed answer is the request's own, whole and in order."""
    found: list[str] = []
    for sent in world.trace.submissions:
        wanted = expected_chunks(sent.class_of_work, sent.text)
        expected = list(enumerate(wanted))[sent.from_seq :]
        partial = expected[: len(sent.chunks)]
        if sent.chunks != partial:
            found.append(f'{sent.key} at {sent.host} got wrong chunks')
        elif sent.outcome == model.Outcome.COMPLETED:
            if sent.chunks != expected:
                found.append(f'{sent.key} completed without its whole answer')
            elif sent.end and not _matches(sent.end, wanted):
                found.append(f'{sent.key} ended with a wrong digest')
    return found


def _matches(end: model.End, wanted: list[str]) -> bool:
    digest = model.content_digest(wanted)
    return end.count == len(wanted) and end.digest == digest


@invariant('one-end')
def check_one_end(world: _world.World) -> list[str]:
    """Every request sent to a living node ends once, in time."""
    found: list[str] = []
    for sent in world.trace.submissions:
        if sent.after_end:
            found.append(f'{sent.key} heard more after its end')
        if sent.broken or _was_held(world, sent):
            continue
        limit = sent.at + sent.deadline_s + END_MARGIN_S
        if sent.told_at is None and world.now > limit:
            found.append(f'{sent.key} at {sent.host} never ended')
        elif sent.told_at is not None and sent.told_at > limit:
            late_s = sent.told_at - limit
            found.append(f'{sent.key} ended {late_s:.1f} s too late')
    return found


def _was_held(world: _world.World, sent: _trace.Submission) -> bool:
    """Tell whether the node was stopped, so that it could not answer."""
    return any(
        host == sent.host and begin <= sent.at + sent.deadline_s + END_MARGIN_S
        for host, begin in world.pauses
    )


@invariant('at-most-once')
def check_at_most_once(world: _world.World) -> list[str]:
    """No key runs twice on a service that may not be repeated."""
    counts: dict[tuple[str, str], int] = {}
    for slot in world.runners.values():
        service = slot.core.shape.service
        if fakes.SERVICES[service].get('idempotent', True):
            continue
        for key, _, _ in slot.core.executed:
            counts[service, key] = counts.get((service, key), 0) + 1
    return [
        f'{key} ran {count} times on {service}'
        for (service, key), count in counts.items()
        if count > 1
    ]


@invariant('not-run')
def check_not_run(world: _world.World) -> list[str]:
    """Nothing of a request that was reported not run was dispatched."""
    sent_by: dict[tuple[str, int, str], float] = {}
    anywhere: set[str] = set()
    for call in world.trace.dispatches:
        sent_by.setdefault((call.host, call.epoch, call.key), call.at)
        anywhere.add(call.key)
    counts: dict[str, int] = {}
    for sent in world.trace.submissions:
        counts[sent.key] = counts.get(sent.key, 0) + 1
    found: list[str] = []
    for sent in world.trace.submissions:
        if sent.outcome != model.Outcome.NOT_RUN:
            continue
        here = (sent.host, sent.epoch, sent.key) in sent_by
        alone = counts[sent.key] == 1 and sent.key in anywhere
        if here or alone:
            found.append(f'{sent.key} was dispatched but told not run')
    return found


@invariant('failed-is-clean')
def check_failed(world: _world.World) -> list[str]:
    """A failed request ran nothing that may not be repeated."""
    ran = {
        key
        for slot in world.runners.values()
        if not fakes.SERVICES[slot.core.shape.service].get('idempotent', True)
        for key, _, _ in slot.core.executed
    }
    return [
        f'{sent.key} was told failed but its side effect ran'
        for sent in world.trace.submissions
        if sent.outcome == model.Outcome.FAILED and sent.key in ran
    ]


@invariant('leaving-runner')
def check_leaving(world: _world.World) -> list[str]:
    """A leaving runner is sent no new work after a few seconds."""
    found: list[str] = []
    for call in world.trace.arrivals:
        drained_at = world.trace.drained_runners.get(call.runner)
        if drained_at is None:
            continue
        late_s = call.at - drained_at - LEAVING_BOUND_S
        if late_s > 0 and not world.was_paused_lately(call.host, call.at):
            found.append(
                f'{call.host} sent to {call.runner} '
                f'{late_s + LEAVING_BOUND_S:.2f} s after it began to leave'
            )
    return found


@invariant('versions-never-fall')
def check_versions(world: _world.World) -> list[str]:
    """No node goes back to an older configuration."""
    return list(world.trace.version_falls)


@invariant('drain-cuts-nothing')
def check_drain(world: _world.World) -> list[str]:
    """A node that leaves has ended every request it took."""
    return [f'{key} was cut off' for key in world.trace.cut_by_drain]


@invariant('one-dispatch-of-a-claim')
def check_single_dispatch(world: _world.World) -> list[str]:
    """Of nodes racing for a non-idempotent key, one alone dispatches it."""
    hosts: dict[str, set[tuple[str, int]]] = {}
    for call in world.trace.dispatches:
        if not fakes.SERVICES[call.service].get('idempotent', True):
            hosts.setdefault(call.key, set()).add((call.host, call.epoch))
    return [
        f'{key} was dispatched by {sorted(found)}'
        for key, found in hosts.items()
        if len(found) > 1
    ]


def _stood(world: _world.World, name: str, version: int) -> bool:
    """Tell whether the store held a version for the whole bound."""
    seen = world.stored_since.get(name)
    if seen is None or seen[0] != version:
        return False
    return world.now - seen[1] >= IN_FORCE_BOUND_S


@invariant('in-force-everywhere')
def check_convergence(world: _world.World) -> list[str]:
    """Once faults are over, all nodes hold what the store holds."""
    if not world.settled:
        return []
    prefix = state.CONFIG_PREFIX
    stored = {
        name.removeprefix(prefix): item.version
        for name, item in world.platform.objects.items()
        if name.startswith(prefix) and _stood(world, name, item.version)
    }
    found: list[str] = []
    for name in world.live_nodes():
        in_force = world.nodes[name].core.control.catalog.in_force
        for item, version in stored.items():
            if in_force.get(item, 0) < version:
                found.append(
                    f'{name} has {item} at {in_force.get(item)}, '
                    f'the store at {version}'
                )
    return found[:5]


@invariant('fenced-orders')
def check_orders(world: _world.World) -> list[str]:
    """No runner obeyed an older holder after a newer one."""
    return list(world.trace.order_violations)
