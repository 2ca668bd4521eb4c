"""Model checks of hosts whose store returns as an older copy."""

import random

from hypothesis import stateful
from hypothesis import strategies

from features.support import adversary
import ragwort_fakes as fakes
import ragwort_model as model
import ragwort_state as state

HOSTS = adversary.HOSTS
WALL = adversary.WALL
NAMES = ('x', 'y', 'z')
# Rounds without faults after which all hosts hold what the store holds.
SETTLE_ROUNDS = 80


class WatcherMachine(stateful.RuleBasedStateMachine):
    """Hosts list and watch; calls and messages cross restores."""

    def __init__(self) -> None:
        """Create three watching hosts on one store."""
        super().__init__()
        self.now = 0.0
        self.platform = fakes.PlatformCore(1e9, 1e9)
        self.eras = {h: state.StoreEra() for h in HOSTS}
        self.replicas = {h: state.Replica(state.Catalog()) for h in HOSTS}
        self.watchers = {
            h: state.Watcher(
                self.replicas[h], self.eras[h], random.Random(h), 0.0
            )
            for h in HOSTS
        }
        self.calls: list[tuple[str, model.StoreCall]] = []
        self.results: list[tuple[str, model.StoreResult]] = []
        self.partitioned: set[str] = set()
        self.high: dict[tuple[str, str], int] = {}

    @stateful.rule(
        name=strategies.sampled_from(NAMES), delete=strategies.booleans()
    )
    def write(self, name: str, delete: bool) -> None:
        """The operator writes an object or removes it."""
        item = f'config/workspace/{name}'
        if not delete:
            self.platform.put(item, f'{{"name": "{name}"}}')
        elif item in self.platform.objects:
            self.platform.put(item, None)

    @stateful.rule(back=strategies.integers(0, 5))
    def restore(self, back: int) -> None:
        """The store returns as an older copy."""
        self.platform.restore(self.platform.revision - back)

    @stateful.rule(step_s=strategies.sampled_from((0.1, 1.0, 5.0)))
    def tick(self, step_s: float) -> None:
        """Time goes on, and every host does what is due."""
        self.now += step_s
        for host, watcher in self.watchers.items():
            for call in watcher.tick(self.now, state.WatchTurn()):
                self.calls.append((host, call))
        for answer in self.platform.tick(self.now):
            self.results.append((answer.caller, answer.result))

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(
        pick=strategies.integers(0, 99),
        fate=strategies.sampled_from(('answer', 'lose', 'cut')),
    )
    def carry_out(self, pick: int, fate: str) -> None:
        """The store gets a call, or not; its answer may be lost."""
        host, call = self.calls.pop(pick % len(self.calls))
        result: model.StoreResult | None = model.StoreResult(
            call.op, model.StoreStatus.UNAVAILABLE
        )
        if fate != 'cut' and host not in self.partitioned:
            answer = self.platform.call(host, call, self.now)
            result = answer if fate == 'answer' else result
        if result is not None:
            self.results.append((host, result))

    @stateful.precondition(lambda self: self.results)
    @stateful.rule(pick=strategies.integers(0, 99))
    def answer(self, pick: int) -> None:
        """Any answer reaches its host, late or out of order."""
        host, result = self.results.pop(pick % len(self.results))
        self.eras[host].observe(result.era, self.now)
        self.watchers[host].on_store_result(result, self.now)

    @stateful.rule(
        sender=strategies.sampled_from(HOSTS),
        receiver=strategies.sampled_from(HOSTS),
        name=strategies.sampled_from(NAMES),
    )
    def push(self, sender: str, receiver: str, name: str) -> None:
        """A host tells another of an object, old or new."""
        item = self.replicas[sender].objects.get(f'config/workspace/{name}')
        if item is None:
            return
        era = state.latest_era([item])
        self.eras[receiver].observe(era, self.now)
        self.replicas[receiver].merge([item], self.now)

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def cut(self, host: str) -> None:
        """A host loses its way to the store."""
        self.partitioned.add(host)

    @stateful.rule()
    def heal(self) -> None:
        """All hosts reach the store again."""
        self.partitioned.clear()

    @stateful.invariant()
    def versions_never_fall(self) -> None:
        """Each host's versions only grow, across eras too."""
        for host, replica in self.replicas.items():
            for name, item in replica.objects.items():
                assert item.version >= self.high.get((host, name), 0)
                self.high[host, name] = item.version

    def teardown(self) -> None:
        """Without further faults every host holds just what the store has."""
        self.heal()
        # The store's history still lacks nothing of the last changes.
        self.platform.put('config/workspace/last', '{"name": "last"}')
        for _ in range(SETTLE_ROUNDS):
            self.tick(1.0)
            while self.calls:
                self.carry_out(0, 'answer')
            while self.results:
                self.answer(0)
        stored = {n: i.value for n, i in self.platform.objects.items()}
        for host, replica in self.replicas.items():
            held = {
                name: item.value
                for name, item in replica.objects.items()
                if item.value is not None
            }
            assert held == stored, (host, held, stored)


class RestoredLedgerMachine(adversary.LedgerMachine):
    """Ledgers race for keys while the store loses their claims."""

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def claim_alone(self, host: str) -> None:
        """One host claims the first key and is served to the end."""
        self.claim(host, 0, None)
        for _ in range(4):
            self.serve()

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def crash_and_restore(self, host: str) -> None:
        """A host forgets everything, and the store its last writes."""
        self.restart(host)
        self.restore(2)

    @stateful.rule(back=strategies.integers(0, 4))
    def restore(self, back: int) -> None:
        """The store returns as an older copy."""
        self.platform.restore(self.platform.revision - back)

    @stateful.rule(source=strategies.sampled_from(HOSTS))
    def tell_era(self, source: str) -> None:
        """All hosts hear of the era that one of them knows."""
        for era in self.eras.values():
            era.observe(self.eras[source].current, self.now)

    @stateful.rule(index=strategies.integers(0, 2))
    def renew_key(self, index: int) -> None:
        """Callers take a new key."""
        wall = WALL + self.now
        self.keys[index] = model.request_key_at(wall, self.rng)


class RestoredLeaseMachine(adversary.LeaseMachine):
    """Hosts race for a lease while the store loses it."""

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def hold_alone(self, host: str) -> None:
        """One host wants the lease and is served, others stand still."""
        for _ in range(3):
            self.wait(1.1)
            self.tick(host, True)
            self.serve(False)

    @stateful.rule(back=strategies.integers(0, 4))
    def restore(self, back: int) -> None:
        """The store returns as an older copy."""
        self.platform.restore(self.platform.revision - back)
