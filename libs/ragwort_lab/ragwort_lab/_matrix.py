"""The fault matrix: every fault at every step, and sampled pairs.

A case runs a small system under a little traffic, lets a fault strike
when a chosen request reaches a chosen step, heals it, and then checks all
invariants and that new requests are served again.
"""

from collections.abc import Callable
import dataclasses
import functools
import random

import ragwort_fakes as fakes
from ragwort_lab import _faults
from ragwort_lab import _invariants
from ragwort_lab import _trace
from ragwort_lab import _world
import ragwort_model as model
import ragwort_node as node
import ragwort_state as state

READY_S = 5.0
STRIKE_LIMIT_S = 4.0
FAULT_S = 4.0
LEASE_STRIKE_LIMIT_S = 40.0
LEASE_FAULT_S = 20.0
TAIL_S = 14.0
SETTLE_S = 10.0
PROBE_GAP_S = 0.2
PROBE_TRIES = 3
LAST_PROBES_S = 4.0
TRAFFIC_GAP_S = 0.1
TRAFFIC_COUNT = 60
PAIR_COUNT = 60
# Paired with every other fault in cases of its own.
RESTORE = 'store-restored'
MAX_RESUMES = 4
CLASSES = tuple({**fakes.HOULE_CLASSES, **fakes.CAMPBELL_CLASSES})
TARGET_CLASS = 'safety-notice'
TARGET_NODE = 'node-2'

StepMatcher = Callable[[str, node.Effect], str | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Faults that strike at a step, and the seed of everything else."""

    faults: tuple[str, ...]
    step: str
    seed: int

    @property
    def name(self) -> str:
        """Return the case in one word."""
        return f'{"+".join(self.faults)}@{self.step}#{self.seed}'


@dataclasses.dataclass(frozen=True, slots=True)
class CaseResult:
    """What a case showed.

    recovery_s is the time from the heal to the last failing request.
    """

    case: Case
    struck: bool
    violations: tuple[str, ...]
    recovery_s: float


def _step_matches(step: str, key: str, effect: node.Effect) -> bool:
    """Tell whether an effect is the moment of a step of a request."""
    kind, _, service = step.partition(':')
    match kind:
        case 'admission':
            return (
                isinstance(effect, node.Decision)
                and effect.kind == node.DecisionKind.ADMISSION
                and effect.subject == key
            )
        case 'claim':
            is_write = isinstance(effect, model.StoreCall) and (
                effect.verb == model.StoreVerb.PUT
            )
            is_forward = isinstance(
                effect, model.SendPeerMessage
            ) and isinstance(effect.message, model.ClaimForward)
            return is_write or is_forward
        case 'claimed':
            return (
                isinstance(effect, node.Decision)
                and effect.kind == node.DecisionKind.CLAIM
                and effect.subject == key
            )
        case 'dispatch':
            return (
                isinstance(effect, model.CallRunner)
                and effect.call.attempt.request_key == key
                and effect.call.service == service
            )
        case 'reply':
            return (
                isinstance(effect, node.Timing)
                and effect.name == f'stage.{service}'
            )
        case 'lease':
            return isinstance(
                effect, model.StoreCall
            ) and effect.op.startswith(state.LEASE_OP)
        case 'order':
            return isinstance(effect, model.SendOrder)
        case 'stream':
            return (
                isinstance(effect, model.AnswerCaller)
                and isinstance(effect.event, model.Chunk)
                and effect.event.seq == 3
            )
        case _:
            return False


SERVICES = tuple(fakes.SERVICES)
STEPS = (
    'admission',
    'claim',
    'claimed',
    *(f'dispatch:{service}' for service in SERVICES),
    *(f'reply:{service}' for service in SERVICES),
    'stream',
    'configuration',
    'lease',
    'order',
)
LEASE_STEPS = frozenset({'lease', 'order'})


class CaseRun:
    """One case from start to verdict."""

    def __init__(
        self, case: Case, prepare: Callable[[_world.World], None] | None = None
    ) -> None:
        """Create the world; prepare may break it for the self-test."""
        self.case = case
        self.world = _world.World(case.seed)
        if prepare is not None:
            prepare(self.world)
        self.rng = random.Random(f'case/{case.name}')
        self.struck = False
        self.target_key = ''
        self.resumes: dict[str, int] = {}
        self.healed_at = 0.0
        on_lease = case.step in LEASE_STEPS
        self.fault_s = LEASE_FAULT_S if on_lease else FAULT_S
        self.strike_limit_s = (
            LEASE_STRIKE_LIMIT_S if on_lease else STRIKE_LIMIT_S
        )
        self.probes: list[Probe] = []

    def run(self) -> CaseResult:
        """Carry out the case."""
        world = self.world
        world.run_until(READY_S)
        world.hooks.append(self._watch_step)
        self._plan_traffic()
        self._run_to_strike()
        if not self.struck:
            self._strike('')
        self._plan_probes()
        world.run_for(self.fault_s + TAIL_S + SETTLE_S)
        world.settled = True
        found = _invariants.violations(world)
        recovery_s = self._recovery_s()
        if recovery_s > TAIL_S - LAST_PROBES_S:
            found.append('recovery: requests still fail after the faults')
        return CaseResult(self.case, self.struck, tuple(found), recovery_s)

    def _run_to_strike(self) -> None:
        """Run until the fault has struck, a while at the least."""
        world = self.world
        limit = world.now + self.strike_limit_s
        world.run_for(STRIKE_LIMIT_S)
        while not self.struck and world.now < limit:
            world.run_for(PROBE_GAP_S)

    def _plan_probes(self) -> None:
        """Send requests all the time, to see when service is back."""
        count = int((self.fault_s + TAIL_S) / PROBE_GAP_S)
        for index in range(count):
            probe = Probe(CLASSES[index % len(CLASSES)], f'probe {index}')
            self.probes.append(probe)
            send = functools.partial(self._send_probe, probe)
            self.world.after(index * PROBE_GAP_S, send)

    def _send_probe(self, probe: 'Probe') -> None:
        """Send to an address that the system names, as callers do."""
        live = self.world.live_nodes()
        if not live:
            probe.at = probe.at or self.world.now
            return
        asked = self.world.nodes[self.rng.choice(live)].core
        listed = [m.name for m in asked.addresses('', probe.text)]
        name = listed[probe.tries % len(listed)] if listed else live[0]
        probe.at = probe.at or self.world.now
        probe.tries += 1
        probe.sent = self.world.callers.submit(
            name, probe.class_of_work, probe.text
        )
        self.world.after(PROBE_GAP_S, lambda: self._check_probe(probe))

    def _check_probe(self, probe: 'Probe') -> None:
        sent = probe.sent
        if sent is None or probe.tries >= PROBE_TRIES:
            return
        if sent.broken or sent.outcome == model.Outcome.NOT_RUN:
            self._send_probe(probe)
        elif sent.told_at is None:
            self.world.after(PROBE_GAP_S, lambda: self._check_probe(probe))

    def _recovery_s(self) -> float:
        """Return how long after the heal the last failing probe was sent."""
        failed = [
            probe.at - self.healed_at
            for probe in self.probes
            if not probe.completed and probe.at >= self.healed_at
        ]
        return max(failed, default=0.0)

    def _plan_traffic(self) -> None:
        for index in range(TRAFFIC_COUNT):
            delay_s = index * TRAFFIC_GAP_S
            send = functools.partial(self._send, index)
            self.world.after(delay_s, send)
        self.world.after(0.55, self._send_target)
        self.world.after(0.2, lambda: self._change_target(4.5))
        self.world.after(0.8, self._strike_configuration)

    def _send(self, index: int) -> None:
        name = self.rng.choice(sorted(self.world.nodes))
        chosen = CLASSES[index % len(CLASSES)]
        sent = self.world.callers.submit(name, chosen, f'traffic {index}')
        self._care_for(sent)

    def _send_target(self) -> None:
        """Send the request whose steps are watched, to two nodes at once."""
        self.target_key = model.request_key_at(self.world.wall(), self.rng)
        for name in (TARGET_NODE, 'node-3'):
            sent = self.world.callers.submit(
                name, TARGET_CLASS, 'rip current', key=self.target_key
            )
            self._care_for(sent)

    def _strike_configuration(self) -> None:
        """Change a target, which is the step named configuration."""
        if self.case.step == 'configuration':
            self._strike('')
        self._change_target(5.0)

    def _change_target(self, cost: float) -> None:
        pipeline, attainment, deadline_s, _ = fakes.HOULE_CLASSES[TARGET_CLASS]
        target = {
            'attainment': attainment,
            'deadline_s': deadline_s,
            'cost': cost,
        }
        content = {'pipeline': pipeline, 'target': target}
        self.world.put_object(f'class/{TARGET_CLASS}', content)

    def _care_for(self, sent: _trace.Submission) -> None:
        """Do as the callers' library does when a connection breaks."""
        self.world.after(0.3, lambda: self._check_caller(sent))

    def _check_caller(self, sent: _trace.Submission) -> None:
        world = self.world
        if sent.told_at is not None:
            return
        if not sent.broken:
            self._care_for(sent)
            return
        count = self.resumes.get(sent.key, 0)
        live = world.live_nodes()
        if count >= MAX_RESUMES or not live:
            return
        self.resumes[sent.key] = count + 1
        name = self.rng.choice(live)
        if sent.accepted_host and not sent.resumed:
            self._care_for(world.callers.resume_stream(name, sent))
        else:
            again = world.callers.submit(
                name, sent.class_of_work, sent.text, key=sent.key
            )
            self._care_for(again)

    def _watch_step(self, host: str, effect: node.Effect) -> None:
        if self.struck or not self.target_key:
            return
        if _step_matches(self.case.step, self.target_key, effect):
            runner = ''
            if isinstance(effect, model.CallRunner):
                runner = effect.runner.name
            # The fault strikes just after the effect has been carried out.
            self.struck = True
            self.world.after(0.0, lambda: self._strike(runner, host))

    def _strike(self, runner: str, host: str = TARGET_NODE) -> None:
        self.struck = True
        runner = runner or f'{self._step_service()}-1'
        victim = _faults.Victim(host, runner)
        heals = [
            _faults.FAULTS[name](self.world, victim)
            for name in self.case.faults
        ]
        for heal in heals:
            self.world.after(self.fault_s, heal)
        self.healed_at = self.world.now + self.fault_s

    def _step_service(self) -> str:
        service = self.case.step.partition(':')[2]
        return service or 'generator'


@dataclasses.dataclass(slots=True)
class Probe:
    """A request sent to see whether service is back."""

    class_of_work: str
    text: str
    at: float = 0.0
    tries: int = 0
    sent: _trace.Submission | None = None

    @property
    def completed(self) -> bool:
        """Tell whether it got its answer."""
        sent = self.sent
        return sent is not None and sent.outcome == model.Outcome.COMPLETED


def single_cases(seed: int = 1) -> list[Case]:
    """Return every fault at every step."""
    return [
        Case((name,), step, seed) for name in _faults.FAULTS for step in STEPS
    ]


# Cases that once showed a fault, kept so that it does not come back.
REGRESSIONS = (
    Case(('silent-connection', 'runner-leaves'), 'reply:reranker', 700341),
    Case(('store-slow', 'runner-leaves'), 'reply:registrar', 700089),
    Case(('all-restart', 'runner-leaves'), 'dispatch:encoder', 700688),
    Case(('runner-refuses', 'runner-leaves'), 'reply:registrar', 702411),
    Case(('clock-ahead', 'runner-leaves'), 'admission', 700604),
    Case(('runner-leaves', 'store-conflict'), 'dispatch:generator', 700295),
    Case(('hosts-and-store-down', 'node-dies'), 'configuration', 46),
)


def pair_cases(count: int = PAIR_COUNT, seed: int = 1) -> list[Case]:
    """Return sampled pairs of faults at sampled steps."""
    rng = random.Random(f'pairs/{seed}')
    names = [name for name in _faults.FAULTS if name != RESTORE]
    cases: list[Case] = []
    for index in range(count):
        first, second = rng.sample(names, 2)
        cases.append(Case((first, second), rng.choice(STEPS), seed + index))
    return cases


def restore_pair_cases(seed: int = 1) -> list[Case]:
    """Return the store's restore together with every other fault."""
    rng = random.Random(f'restores/{seed}')
    return [
        Case((RESTORE, name), rng.choice(STEPS), seed + index)
        for index, name in enumerate(_faults.FAULTS)
        if name != RESTORE
    ]


def run_case(case: Case) -> CaseResult:
    """Run one case."""
    return CaseRun(case).run()
