"""Slopes of memory, decisions and claim writes."""

import dataclasses
import gc
import heapq
import itertools
import random
import time
import tracemalloc
from typing import Any

import ragwort_fakes as fakes
from ragwort_lab import _scale_bench
import ragwort_model as model
import ragwort_node as node
import ragwort_policy as policy
import ragwort_state as state

RUNNER_COUNTS = (5, 50, 500, 5900)
OBJECT_COUNTS = (1000, 3000, 7000)
MEMBER_COUNTS = (40, 110, 330)
REQUEST_COUNTS = (250, 500, 1000)
CLAIM_RATES = (100, 200, 400, 800)
LEDGER_NODES = (4, 16)
DECISIONS = 2000
CLAIM_S = 20.0
TICK_S = 0.1
STORE_S = 0.003
FAR_FUTURE_S = 1000.0
SERVICES = 27
DOMAINS = 12
WALL = 1_800_000_000.0


def fleet_objects(runners: int) -> fakes.Objects:
    """Return a configuration with the given number of runners."""
    objects: fakes.Objects = {}
    for index in range(SERVICES):
        objects[f'service/model-{index:02d}'] = {'kind': 'generator'}
    for index in range(runners):
        objects |= _scale_bench.sample_runner(index, SERVICES, DOMAINS)
    return objects


def one_service_objects(runners: int) -> fakes.Objects:
    """Return a configuration whose runners all offer one service."""
    objects: fakes.Objects = {'service/model-00': {'kind': 'generator'}}
    for index in range(runners):
        objects |= _scale_bench.sample_runner(index, 1, DOMAINS)
    return objects


def new_core(nodes: int = 1) -> node.NodeCore:
    """Return a node that knows the given number of nodes, itself included."""
    host = model.EntryHost('node-0', '10.1.0.1:80', '10.2.0.1:90', 'd', 'r')
    core = node.NodeCore(node.NodeOptions(host), random.Random(1), 0.0, WALL)
    updates = [
        model.MemberUpdate(
            f'node-{index}',
            1,
            model.MemberStatus.ALIVE,
            f'10.1.{index // 250}.{index % 250}:80',
            f'10.2.{index // 250}.{index % 250}:90',
            f'domain-{index % DOMAINS:02d}',
            f'region-{index % 4}',
            True,
        )
        for index in range(1, nodes)
    ]
    core.control.members.merge(updates, 0.0)
    return core


def memory_of(build: Any) -> float:
    """Return the bytes that stay allocated by what build returns."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def object_memory(count: int) -> float:
    """Return the bytes of a replica of count objects."""
    objects = _scale_bench.stored_objects(fleet_objects(count - SERVICES))

    def build() -> state.Replica[state.Catalog]:
        replica = state.Replica(state.Catalog())
        replica.merge(
            [
                model.StoredObject(o.name, o.version, str(o.value) + ' ')
                for o in objects
            ],
            0.0,
        )
        return replica

    return memory_of(build)


def member_memory(count: int) -> float:
    """Return the bytes of a node that knows count nodes."""
    return memory_of(lambda: new_core(count))


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionFigures:
    """Time of one routing decision, and of a random choice, in seconds."""

    runners: int
    ours_s: float
    random_s: float
    refresh_s: float


def measure_decision(runners: int) -> DecisionFigures:
    """Time decisions among the runners of one service."""
    core = new_core(330)
    objects = one_service_objects(runners)
    core.control.replica.merge(_scale_bench.stored_objects(objects), 0.0)
    dispatcher = core.dispatcher
    began_at = time.perf_counter()
    states = dispatcher.runner_subset('model-00', 0.0)
    refresh_s = time.perf_counter() - began_at
    rng = random.Random(1)
    for known in states:
        known.results = 1
        known.busy_s = rng.uniform(0.01, 0.1)
    context = policy.RoutingContext(0.0, rng, 'domain-00', 1.0, 0.05)
    ours = policy.find_strategy('ragwort')
    plain = policy.find_strategy('random')

    def timed(strategy: policy.Strategy) -> float:
        start = time.perf_counter()
        for _ in range(DECISIONS):
            strategy(dispatcher.runners_in_service('model-00', 0.0), context)
        return (time.perf_counter() - start) / DECISIONS

    return DecisionFigures(runners, timed(ours), timed(plain), refresh_s)


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerFigures:
    """Store calls of the claim ledger per second, and how claims fared."""

    nodes: int
    rate: int
    writes_per_s: float
    reads_per_s: float
    granted: int
    asked: int
    median_s: float
    largest_object: int


class LedgerRun:
    """Ledgers of several nodes on one store, in virtual time."""

    def __init__(self, nodes: int, rate: int, seed: int = 1) -> None:
        """Create the ledgers; shard s belongs to node s modulo nodes."""
        self.nodes = nodes
        self.rate = rate
        self.rng = random.Random(seed)
        self.platform = fakes.PlatformCore(1e9, 1e9)
        self.ledgers = [
            state.Ledger(random.Random(f'{seed}/{i}'), state.StoreEra())
            for i in range(nodes)
        ]
        self.queue: list[tuple[float, int, Any]] = []
        self.counter = itertools.count()
        self.began: dict[str, float] = {}
        self.times: list[float] = []
        self.largest = 0

    def at(self, due: float, action: Any) -> None:
        """Do something at a time."""
        heapq.heappush(self.queue, (due, next(self.counter), action))

    def run(self) -> LedgerFigures:
        """Carry out CLAIM_S seconds of claims."""
        at = 0.0
        while at < CLAIM_S:
            at += self.rng.expovariate(self.rate)
            self.at(at, self._claim)
        for index in range(self.nodes):
            self.at(0.0, lambda now, i=index: self._tick(now, i))
        while self.queue and self.queue[0][0] < CLAIM_S + 2.0:
            due, _, action = heapq.heappop(self.queue)
            action(due)
        self.times.sort()
        return LedgerFigures(
            self.nodes,
            self.rate,
            self.platform.write_count / CLAIM_S,
            self.platform.read_count / CLAIM_S,
            len(self.times),
            len(self.began),
            self.times[len(self.times) // 2],
            self.largest,
        )

    def _tick(self, now: float, index: int) -> None:
        self._take(now, index, self.ledgers[index].tick(now))
        self.at(now + TICK_S, lambda later: self._tick(later, index))

    def _claim(self, now: float) -> None:
        key = model.request_key_at(WALL + now, self.rng)
        index = self.rng.randrange(self.nodes)
        workspace = f'workspace-{self.rng.randrange(740)}'
        claim = model.Claim(
            key, workspace, '0' * 32, f'node-{index}', key[-8:]
        )
        self.began[key] = now
        owner = state.shard_of(workspace, key) % self.nodes
        address = None if owner == index else str(owner)
        ledger = self.ledgers[index]
        effects = ledger.claim(claim, address, now, now + FAR_FUTURE_S)
        self._take(now, index, list(effects))

    def _take(self, now: float, index: int, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, model.StoreCall):
                self.largest = max(self.largest, len(effect.value or ''))
                self._call(now, index, effect)
            elif isinstance(effect, model.SendPeerMessage):
                self._send(now, index, effect)
            elif effect.status == model.ClaimStatus.GRANTED:
                self.times.append(now - self.began[effect.claim.key])

    def _call(self, now: float, index: int, call: model.StoreCall) -> None:
        result = self.platform.call(str(index), call, now)
        assert result is not None
        ledger = self.ledgers[index]
        self.at(
            now + STORE_S,
            lambda later: self._take(
                later, index, list(ledger.on_store_result(result, later))
            ),
        )

    def _send(
        self, now: float, index: int, effect: model.SendPeerMessage
    ) -> None:
        target = int(effect.address.removeprefix('node-'))
        ledger = self.ledgers[target]
        message = effect.message

        def arrive(later: float) -> None:
            if isinstance(message, model.ClaimForward):
                sender = f'node-{index}'
                effects = ledger.on_forward(sender, message, later)
            else:
                assert isinstance(message, model.ClaimReply)
                effects = ledger.on_reply(message)
            self._take(later, target, list(effects))

        self.at(now + TICK_S / 100, arrive)
