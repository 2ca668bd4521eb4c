"""Stateful model checks with an adversarial store and network."""

import random
from typing import Any

from hypothesis import stateful
from hypothesis import strategies

import ragwort_fakes as fakes
import ragwort_membership as membership
import ragwort_model as model
import ragwort_state as state

WALL = 1_800_000_000.0
HOSTS = ('a', 'b', 'c')


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Several ledgers race for the same keys over a treacherous store."""

    def __init__(self) -> None:
        """Create three ledgers on one store."""
        super().__init__()
        self.now = 0.0
        self.platform = fakes.PlatformCore(1e9, 1e9)
        self.eras = {h: state.StoreEra(wall_offset_s=WALL) for h in HOSTS}
        self.ledgers = {h: self._ledger(h, 0) for h in HOSTS}
        self.calls: list[tuple[str, int, model.StoreCall]] = []
        self.results: list[tuple[str, int, model.StoreResult]] = []
        self.epochs = dict.fromkeys(HOSTS, 0)
        self.granted: dict[str, set[tuple[str, str]]] = {}
        self.count = 0
        self.rng = random.Random(1)
        self.keys = [model.request_key_at(WALL, self.rng) for _ in range(3)]

    def _ledger(self, host: str, epoch: int) -> state.Ledger:
        return state.Ledger(random.Random(f'{host}/{epoch}'), self.eras[host])

    def _take(self, host: str, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, model.StoreCall):
                self.calls.append((host, self.epochs[host], effect))
            elif isinstance(effect, model.SendPeerMessage):
                self._forward(effect)
            elif effect.status == model.ClaimStatus.GRANTED:
                claim = effect.claim
                owners = self.granted.setdefault(claim.key, set())
                owners.add((claim.host, claim.nonce))

    def _forward(self, effect: model.SendPeerMessage) -> None:
        target = effect.address
        message = effect.message
        if isinstance(message, model.ClaimForward):
            sender = message.claim.host
            effects = self.ledgers[target].on_forward(
                sender, message, self.now
            )
            self._take(target, list(effects))
        elif isinstance(message, model.ClaimReply):
            self._take(target, list(self.ledgers[target].on_reply(message)))

    @stateful.rule(
        host=strategies.sampled_from(HOSTS),
        key=strategies.integers(0, 2),
        owner=strategies.sampled_from((*HOSTS, None)),
    )
    def claim(self, host: str, key: int, owner: str | None) -> None:
        """A host claims a key, through another or directly."""
        self.count += 1
        claim = model.Claim(
            self.keys[key], 'w', 'body', host, f'{host}{self.count}'
        )
        target = None if owner == host else owner
        effects = self.ledgers[host].claim(
            claim, target, self.now, self.now + 3.0
        )
        self._take(host, list(effects))

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(pick=strategies.integers(0, 99), lose=strategies.booleans())
    def carry_out(self, pick: int, lose: bool) -> None:
        """The store carries out any waiting call; its answer may be lost."""
        index = pick % len(self.calls)
        host, epoch, call = self.calls.pop(index)
        result = self.platform.call(host, call, self.now)
        assert result is not None
        if lose:
            unavailable = model.StoreStatus.UNAVAILABLE
            result = model.StoreResult(call.op, unavailable)
        self.results.append((host, epoch, result))

    @stateful.rule()
    def serve(self) -> None:
        """The store carries out all calls and answers them in order."""
        while self.calls:
            self.carry_out(0, False)
        while self.results:
            self.answer(0)

    @stateful.precondition(lambda self: self.results)
    @stateful.rule(pick=strategies.integers(0, 99))
    def answer(self, pick: int) -> None:
        """Any waiting result reaches its host, if that still runs."""
        index = pick % len(self.results)
        host, epoch, result = self.results.pop(index)
        if epoch == self.epochs[host]:
            self.eras[host].observe(result.era, self.now)
            self._take(
                host,
                list(self.ledgers[host].on_store_result(result, self.now)),
            )

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(pick=strategies.integers(0, 99))
    def time_out(self, pick: int) -> None:
        """A call seems lost to its host, but may be carried out later."""
        host, epoch, call = self.calls[pick % len(self.calls)]
        if epoch == self.epochs[host]:
            unavailable = model.StoreStatus.UNAVAILABLE
            result = model.StoreResult(call.op, unavailable)
            self._take(
                host,
                list(self.ledgers[host].on_store_result(result, self.now)),
            )

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def restart(self, host: str) -> None:
        """A host forgets everything."""
        self.epochs[host] += 1
        self.eras[host] = state.StoreEra(wall_offset_s=WALL)
        self.ledgers[host] = self._ledger(host, self.epochs[host])

    @stateful.rule(step_s=strategies.sampled_from((0.05, 0.5, 2.0)))
    def tick(self, step_s: float) -> None:
        """Time goes on everywhere."""
        self.now += step_s
        for host in HOSTS:
            self._take(host, list(self.ledgers[host].tick(self.now)))

    @stateful.invariant()
    def one_grant_per_key(self) -> None:
        """No two claims of a key are ever granted."""
        for key, owners in self.granted.items():
            assert len(owners) <= 1, (key, owners)


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Hosts race for a lease with pauses and lost answers."""

    def __init__(self) -> None:
        """Create three hosts' views of one lease."""
        super().__init__()
        self.now = 0.0
        self.platform = fakes.PlatformCore(1e9, 1e9)
        self.eras = {h: state.StoreEra() for h in HOSTS}
        self.leases = {
            h: state.Lease('svc', h, random.Random(h), self.eras[h])
            for h in HOSTS
        }
        self.calls: list[tuple[str, model.StoreCall]] = []
        self.results: list[tuple[str, model.StoreResult]] = []
        self.paused: set[str] = set()

    @stateful.rule(
        host=strategies.sampled_from(HOSTS), wanted=strategies.booleans()
    )
    def tick(self, host: str, wanted: bool) -> None:
        """One host looks at the time."""
        if host not in self.paused:
            for call in self.leases[host].tick(self.now, wanted):
                self.calls.append((host, call))

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(pick=strategies.integers(0, 99), lose=strategies.booleans())
    def carry_out(self, pick: int, lose: bool) -> None:
        """The store carries out a call; its answer may be lost."""
        host, call = self.calls.pop(pick % len(self.calls))
        result = self.platform.call(host, call, self.now)
        assert result is not None
        if lose:
            unavailable = model.StoreStatus.UNAVAILABLE
            result = model.StoreResult(call.op, unavailable)
        self.results.append((host, result))

    @stateful.rule(lose=strategies.booleans())
    def serve(self, lose: bool) -> None:
        """The store carries out all calls; answers may be lost."""
        while self.calls:
            self.carry_out(0, lose)
        for index in reversed(range(len(self.results))):
            self.answer(index)

    @stateful.precondition(lambda self: self.results)
    @stateful.rule(pick=strategies.integers(0, 99))
    def answer(self, pick: int) -> None:
        """A result reaches its host unless that is paused."""
        host, result = self.results[pick % len(self.results)]
        if host not in self.paused:
            self.results.remove((host, result))
            self.eras[host].observe(result.era, self.now)
            self.leases[host].on_store_result(result, self.now)

    @stateful.rule()
    def tick_all(self) -> None:
        """All hosts look at the time, and all want the lease."""
        for host in HOSTS:
            self.tick(host, True)

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def pause(self, host: str) -> None:
        """A host stops."""
        self.paused.add(host)

    @stateful.rule()
    def resume(self) -> None:
        """All hosts go on as if nothing had been."""
        self.paused.clear()

    @stateful.rule(step_s=strategies.sampled_from((0.1, 1.0, 4.0, 11.0)))
    def wait(self, step_s: float) -> None:
        """Time passes."""
        self.now += step_s

    @stateful.invariant()
    def one_holder(self) -> None:
        """At most one host may order at any moment."""
        holders = [
            h for h in HOSTS if self.leases[h].may_order(self.now, True)
        ]
        assert len(holders) <= 1, holders

    @stateful.invariant()
    def fencing_grows(self) -> None:
        """A holder that may order has the highest number of all."""
        numbers = [lease.fencing for lease in self.leases.values()]
        for lease in self.leases.values():
            if lease.may_order(self.now, True):
                assert lease.fencing == max(numbers), numbers


class ReplicaMachine(stateful.RuleBasedStateMachine):
    """Replicas exchange objects in any order, repeatedly and partly."""

    def __init__(self) -> None:
        """Create three replicas and their gossip."""
        super().__init__()
        self.now = 0.0
        self.replicas = {h: state.Replica(state.Catalog()) for h in HOSTS}
        self.gossips = {
            h: state.Gossip(r, random.Random(h), 0.0)
            for h, r in self.replicas.items()
        }
        self.messages: list[tuple[str, str, model.PeerMessage]] = []
        self.version = 0
        self.high: dict[tuple[str, str], int] = {}
        self.truth: dict[str, int] = {}

    @stateful.rule(
        host=strategies.sampled_from(HOSTS),
        name=strategies.sampled_from(('x', 'y', 'z')),
        delete=strategies.booleans(),
        valid=strategies.booleans(),
        size=strategies.sampled_from((0, 2 * state.MAX_RUMOUR_BYTES)),
    )
    def change(
        self, host: str, name: str, delete: bool, valid: bool, size: int
    ) -> None:
        """A host reads a change from the store, valid or not, small or not."""
        self.version += 1
        item = f'config/workspace/{name}'
        value = f'{{"name": "{name}"}}' if valid else '{"name": 3}'
        value += ' ' * size
        stored = model.StoredObject(
            item, self.version, None if delete else value
        )
        self.truth[item] = self.version
        adopted = self.replicas[host].merge([stored], self.now)
        self.gossips[host].add_rumours(adopted, len(HOSTS) - 1)

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def tick(self, host: str) -> None:
        """A host gossips."""
        self.now += 1.0
        peers = [h for h in HOSTS if h != host]
        self._queue(host, self.gossips[host].tick(self.now, peers))

    def _queue(self, sender: str, sent: list[model.SendPeerMessage]) -> None:
        for effect in sent:
            self.messages.append((sender, effect.address, effect.message))

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(
        pick=strategies.integers(0, 99),
        fate=strategies.sampled_from(('deliver', 'repeat', 'lose')),
    )
    def deliver(self, pick: int, fate: str) -> None:
        """A message arrives, arrives and stays, or is lost."""
        index = pick % len(self.messages)
        sender, target, message = self.messages[index]
        if fate != 'repeat':
            del self.messages[index]
        if fate != 'lose':
            self._receive(sender, target, message)

    def _receive(
        self, sender: str, target: str, message: model.PeerMessage
    ) -> None:
        gossip = self.gossips[target]
        match message:
            case model.StateDigest():
                self._queue(target, gossip.on_digest(sender, message))
            case model.StateVersions():
                self._queue(
                    target, gossip.on_versions(sender, message, self.now)
                )
            case model.StateWant():
                self._queue(target, gossip.on_want(sender, message))
            case model.StatePush():
                gossip.on_push(message, self.now, 2)

    @stateful.invariant()
    def versions_never_fall(self) -> None:
        """Each replica's versions only grow."""
        for host, replica in self.replicas.items():
            for name, item in replica.objects.items():
                assert item.version >= self.high.get((host, name), 0)
                self.high[host, name] = item.version

    def teardown(self) -> None:
        """Without further loss all replicas come to hold the same."""
        for _ in range(12):
            for host in HOSTS:
                self.tick(host)
            while self.messages:
                sender, target, message = self.messages.pop(0)
                self._receive(sender, target, message)
        for replica in self.replicas.values():
            held = {n: i.version for n, i in replica.objects.items()}
            assert held == self.truth, (held, self.truth)


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Nodes probe each other over a network that loses and delays."""

    def __init__(self) -> None:
        """Create three nodes that know of each other."""
        super().__init__()
        self.now = 0.0
        self.views: dict[str, membership.Membership] = {}
        self.messages: list[tuple[str, str, model.PeerMessage]] = []
        self.highest: dict[tuple[str, str], int] = {}
        for host in HOSTS:
            entry = model.EntryHost(host, f'{host}:c', host, 'fd', 'r')
            self.views[host] = membership.Membership(
                entry, HOSTS, random.Random(host), 0.0, WALL
            )

    def _queue(self, sender: str, sent: list[model.SendPeerMessage]) -> None:
        for effect in sent:
            self.messages.append((sender, effect.address, effect.message))

    @stateful.rule(
        host=strategies.sampled_from(HOSTS),
        step_s=strategies.sampled_from((0.1, 0.3, 1.0, 4.0)),
    )
    def tick(self, host: str, step_s: float) -> None:
        """A node acts; time has gone on."""
        self.now += step_s
        self._queue(host, self.views[host].tick(self.now, WALL + self.now))

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(pick=strategies.integers(0, 99), lose=strategies.booleans())
    def deliver(self, pick: int, lose: bool) -> None:
        """Any message arrives, or is lost."""
        index = pick % len(self.messages)
        sender, target, message = self.messages.pop(index)
        if not lose:
            self._receive(sender, target, message)

    def _receive(
        self, sender: str, target: str, message: model.PeerMessage
    ) -> None:
        view = self.views[target]
        wall = WALL + self.now
        match message:
            case model.Ping():
                sent = view.on_ping(sender, message, self.now, wall)
            case model.Ack():
                sent = view.on_ack(sender, message, self.now, wall)
            case model.IndirectPing():
                sent = view.on_indirect(sender, message, self.now, wall)
            case model.MemberSync():
                sent = view.on_sync(sender, message, self.now)
            case _:
                sent = []
        self._queue(target, sent)

    @stateful.invariant()
    def incarnations_never_fall(self) -> None:
        """What a node knows of another only becomes newer."""
        for host, view in self.views.items():
            for name, member in view.members.items():
                number = member.update.incarnation
                assert number >= self.highest.get((host, name), 0)
                self.highest[host, name] = number

    @stateful.invariant()
    def self_is_alive(self) -> None:
        """No node believes that it is dead."""
        for view in self.views.values():
            assert view.own.status == model.MemberStatus.ALIVE

    def teardown(self) -> None:
        """On a sound network all nodes find each other again."""
        for _ in range(400):
            self.now += 0.1
            for host in HOSTS:
                sent = self.views[host].tick(self.now, WALL + self.now)
                self._queue(host, sent)
            while self.messages:
                sender, target, message = self.messages.pop(0)
                self._receive(sender, target, message)
        for view in self.views.values():
            assert len(view.live()) == len(HOSTS), view.live()
