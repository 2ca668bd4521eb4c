"""Requests under faults in virtual time, and the promises they must keep."""

import dataclasses
import itertools
import random

from features.steps import relay_decision_steps
import ragwort_edge as edge
import ragwort_lab as lab
import ragwort_relay as relay

KINDS: dict[str, dict[str, object]] = {
    'once': {'kind': relay.CallKind.ONCE, 'attempts': 1},
    'repeatable': {'kind': relay.CallKind.REPEATABLE, 'attempts': 2},
    'stream': {'kind': relay.CallKind.STREAM, 'attempts': 1},
    'resumable': {
        'kind': relay.CallKind.STREAM,
        'attempts': 2,
        'is_resumable': True,
    },
}
STEPS = (
    'ok',
    'error',
    'full',
    'refused',
    'reset',
    'foreign',
    'silent',
    'cut:0',
    'cut:3',
    'leave',
    'pause:2',
    'brittle:3',
    'late:1',
    'stale:421',
    'stale:503',
)
NOTICES = ('leave', 'pause:2', 'brittle:3')
RUNNERS = 3
EVENTS = 5
ROUTE_S = 3.0
# Sends over those that ran: runners that turned a call away.
MAX_SENDS = 6
LATE_S = 0.5
# Time after which a host has read an answer and what it says of the runner.
NOTICE_S = 0.1
# Requests in a pause that are allowed, and from when on they count.
MOST_IN_PAUSE = 2
PAUSE_NOTICE_S = 0.5
LEAVE_SHARE = 0.15


@dataclasses.dataclass(slots=True)
class Played:
    """One request, its answer, and when its caller left."""

    name: str
    kind: str
    route: relay.Route
    exchange: lab.LabExchange
    left_at: float | None = None


def play_one(step: str, kind: str, everywhere: bool) -> list[str]:
    """Return the promises broken when a fault meets one request."""
    world, runners = _world(1)
    for runner in runners if everywhere else runners[:1]:
        runner.script = [step] * (9 if everywhere else 1)
    played = [_submit(world, 'r1', kind)]
    world.run(ROUTE_S + 1.0)
    broken = _broken(world, runners, played) + _leave_case(step, kind)
    return broken + (_notice_case(step, kind) if step in NOTICES else [])


def _notice_case(step: str, kind: str) -> list[str]:
    """Return what is broken by requests after what runners said."""
    world, runners = _world(3)
    for runner in runners:
        # A runner goes on being brittle; the other notices are given once.
        runner.script = [step] * (20 if step.startswith('brittle') else 1)
    played = []
    for number in range(20):
        played.append(_submit(world, f'r{number}', kind))
        world.run(NOTICE_S)
    world.run(ROUTE_S + 1.0)
    return _broken(world, runners, played)


def _leave_case(step: str, kind: str) -> list[str]:
    """Return what is broken when the caller leaves in the middle."""
    world, runners = _world(2)
    runners[0].script = [step]
    played = _submit(world, 'r1', kind)
    world.run(0.005)
    _leave(world, played)
    world.run(ROUTE_S + 1.0)
    return _broken(world, runners, [played])


def play_many(count: int, seed: int) -> list[str]:
    """Return the promises broken by many requests under all faults."""
    rng = random.Random(seed)
    world, runners = _world(seed)
    for runner in runners:
        runner.script = [
            rng.choice(STEPS) if rng.random() < 0.4 else f'events:{EVENTS}'
            for _ in range(count)
        ]
    played = []
    for number in range(count):
        kind = rng.choice(sorted(KINDS))
        one = _submit(world, f'r{number}', kind)
        played.append(one)
        world.run(rng.uniform(0.0, 0.04))
        if rng.random() < LEAVE_SHARE:
            _leave(world, one)
    world.run(2 * ROUTE_S)
    broken = _broken(world, runners, played)
    if world.hosts[0].open:
        broken.append('a request has not ended')
    return broken


def play_all() -> tuple[int, list[str]]:
    """Play every fault with every kind; return the count and the broken."""
    cases = list(itertools.product(STEPS, KINDS, (False, True)))
    broken = [
        f'{step} {kind} everywhere={everywhere}: {text}'
        for step, kind, everywhere in cases
        for text in play_one(step, kind, everywhere)
    ]
    return len(cases), broken


def _world(seed: int) -> tuple[lab.RelayWorld, list[lab.ScriptedRunner]]:
    world = lab.RelayWorld(1, seed)
    runners = world.add_scripted('main', RUNNERS)
    for runner in runners:
        runner.events = EVENTS
    world.configure(relay_decision_steps.make_configuration([]))
    return world, runners


def _submit(world: lab.RelayWorld, name: str, kind: str) -> Played:
    route = relay_decision_steps.make_route(timeout_s=ROUTE_S, **KINDS[kind])
    facts = edge.RequestMetadata(name, ROUTE_S)
    exchange = world.submit(world.hosts[0], route, facts)
    return Played(name, kind, route, exchange)


def _leave(world: lab.RelayWorld, played: Played) -> None:
    if not played.exchange.is_over:
        played.left_at = world.clock.seconds()
        played.exchange.leave()


def _broken(
    world: lab.RelayWorld,
    runners: list[lab.ScriptedRunner],
    played: list[Played],
) -> list[str]:
    arrivals = [a for runner in runners for a in runner.arrivals]
    return _unheeded(runners) + [
        f'{one.name} ({one.kind}): {text}'
        for one in played
        for text in _broken_by(
            one, [a for a in arrivals if a.told['id'] == one.name]
        )
    ]


def _unheeded(runners: list[lab.ScriptedRunner]) -> list[str]:
    """Return what runners got though they had asked for nothing."""
    found = []
    for runner in runners:
        times = [arrival.at for arrival in runner.arrivals]
        left_at = runner.left_at
        late = [t for t in times if left_at and t > left_at + NOTICE_S]
        if late:
            found.append(f'{runner.name} leaves and got {len(late)} requests')
        if runner.falls:
            found.append(f'{runner.name} fell over {len(runner.falls)} times')
        for told_at, until in runner.pauses:
            early = [t for t in times if told_at + PAUSE_NOTICE_S < t < until]
            if len(early) > MOST_IN_PAUSE:
                found.append(f'{runner.name} got {len(early)} in its pause')
    return found


def _broken_by(one: Played, arrivals: list[lab.Arrival]) -> list[str]:
    exchange = one.exchange
    ran = [arrival for arrival in arrivals if arrival.ran]
    found = []
    if not one.route.may_repeat and len(ran) > 1:
        found.append(f'ran {len(ran)} times')
    if len(ran) > one.route.attempts or len(arrivals) > MAX_SENDS:
        found.append(f'{len(arrivals)} sends, {len(ran)} ran')
    if exchange.status == 503 and ran:
        found.append('refused though it ran')
    if exchange.body == b'not yours':
        found.append("another request's answer")
    found += _broken_stream(one)
    if one.left_at is None:
        if exchange.ended_at is None or exchange.ended_at > _end(one):
            found.append('no final answer in time')
        return found
    for arrival in arrivals:
        if arrival.at > one.left_at + LATE_S:
            found.append('sent after its caller left')
        if arrival.closed_at is None and one.exchange.status is None:
            continue
        if arrival.closed_at and arrival.closed_at > one.left_at + LATE_S:
            found.append('worked on after its caller left')
    return found


def _end(one: Played) -> float:
    """Return when the final answer is due at the latest."""
    return one.exchange.started_at + ROUTE_S + LATE_S


def _broken_stream(one: Played) -> list[str]:
    exchange = one.exchange
    if not exchange.body.startswith(b'id:'):
        return []
    numbers = [
        int(line[4:])
        for line in exchange.body.splitlines()
        if line.startswith(b'id: ')
    ]
    found = []
    if numbers != list(range(1, len(numbers) + 1)):
        found.append(f'events {numbers}')
    if not exchange.body.endswith(b'\n\n'):
        found.append('half an event')
    if exchange.is_whole and numbers[-1] != EVENTS:
        found.append(f'whole after event {numbers[-1]}')
    return found
