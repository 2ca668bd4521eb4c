"""A model check of what hosts believe of the processes at runners' addresses.

Runners register, beat, drain, end and start again; the store carries writes
out late, goes away and returns as an older copy; hosts start, hear of entries
from each other and hold connections to runners. Once nothing has gone wrong
for a while, each belief has to be right.
"""

import json
from typing import Any

from hypothesis import stateful
from hypothesis import strategies
import msgspec
import structlog
from twisted.internet import task

from ragwort_edge import _maker_news
import ragwort_lab as lab
import ragwort_model as model
import ragwort_relay as relay
import ragwort_state as state

PREFIX = 'runner/'
SERVICE = 'main'
HEARTBEAT_S = 1.2
# An entry expires after three heartbeats of silence.
EXPIRY_S = 3 * HEARTBEAT_S
WATCH_DELAY_S = 0.2
STEP_S = 0.2
MAX_LATE_S = 6.0
# From the last trouble until the next heartbeat has been heard of.
SETTLE_S = HEARTBEAT_S + WATCH_DELAY_S + 2 * STEP_S
# The same for what is settled by an entry that expires or has stood.
DOUBT_S = 5.0 + SETTLE_S
# For so long at least ended starts are remembered.
MEMORY_S = 100.0
CLOCK_STEP_MS = 100_000
FIRST_BORN_MS = 10_000_000
ADDRESSES = ('10.0.0.1:80', '10.0.0.2:80')
VERSIONS = ('v1', 'v2')

hosts = strategies.integers(0, 2)
slots = strategies.integers(0, len(ADDRESSES) - 1)
letters = strategies.sampled_from('abc')
seconds = strategies.sampled_from((0.2, 1.0, 3.0, 8.0))


class Process(msgspec.Struct):
    """A runner's process; tells_start is whether its reports do so."""

    name: str
    address: str
    born: int
    version: str
    tells_start: bool
    next_beat_at: float
    state: str = 'live'
    is_up: bool = True
    is_clock_back: bool = False

    def entry(self) -> str:
        """Return what it writes of itself."""
        return json.dumps(
            {
                'service': SERVICE,
                'address': self.address,
                'domain': 'north',
                'state': self.state,
                'born': self.born,
                'slots': 4,
                'version': self.version,
            }
        )


class Store:
    """Entries with their versions, and who wrote each when."""

    def __init__(self) -> None:
        """Start empty."""
        self.era = 1
        self.revision = 10
        self.entries: dict[str, tuple[int, str]] = {}
        self.beaten_at: dict[str, float] = {}
        self.history: list[tuple[float, model.StoredObject]] = []
        self.late: list[tuple[float, str, str]] = []
        self.is_away = False
        self.copy: tuple[int, dict[str, tuple[int, str]]] = (10, {})

    @property
    def version(self) -> int:
        """Return the version of the last change."""
        return model.make_version(self.era, self.revision)

    def put(self, name: str, value: str | None, now: float) -> None:
        """Write an entry; one that changes nothing is no event."""
        self.beaten_at[name] = now
        known = self.entries.get(name)
        if (known[1] if known else None) == value:
            return
        self.revision += 1
        if value is None:
            del self.entries[name]
        else:
            self.entries[name] = self.version, value
        item = model.StoredObject(name, self.version, value)
        self.history.append((now, item))

    def restore(self, now: float) -> None:
        """Return as the copy, in the next era."""
        self.era += 1
        self.revision, entries = self.copy
        self.entries = {
            name: (self.version, value) for name, (_, value) in entries.items()
        }
        self.beaten_at = dict.fromkeys(self.entries, now)
        self.history.clear()

    def expire(self, now: float) -> None:
        """Remove entries that nobody has written for long."""
        for name in list(self.entries):
            if now >= self.beaten_at[name] + EXPIRY_S:
                self.put(name, None, now)

    def list(self) -> list[model.StoredObject]:
        """Return all entries."""
        return [
            model.StoredObject(name, version, value)
            for name, (version, value) in sorted(self.entries.items())
        ]


class Host:
    """The real classes of one host."""

    def __init__(self, name: str, now: float) -> None:
        """Start with nothing known."""
        self.name = name
        self.started_at = now
        self.catalog = lab.RelayWorld(hosts=1).hosts[0].catalog
        self.replica = state.Replica(self.catalog)
        self.era = 0
        self.read_to = 0
        self.sent: list[Any] = []
        self.clock = task.Clock()
        self.news = _maker_news.MakerNews(
            self.clock,
            self.catalog.makers,
            lambda effect: self.sent.append(effect.message),
            structlog.wrap_logger(structlog.ReturnLogger()),
        )
        # Addresses to which a connection is open, or is opened again.
        self.connected: set[str] = set()
        self.wanted: set[str] = set()
        # Starts of which it took note that they leave.
        self.leaving: set[tuple[str, int]] = set()
        # The starts that it believed to be at each address.
        self.believed: dict[str, set[int]] = {a: set() for a in ADDRESSES}

    def read(self, store: Store, now: float) -> None:
        """Hear what the store tells by now."""
        self.catalog.now = now
        if self.era != store.era:
            if self.era:
                self.catalog.fleet.on_store_recovered(now)
            self.era = store.era
            self.read_to = len(store.history)
            self.replica.merge_list(store.list(), store.version, now, PREFIX)
        while self.read_to < len(store.history):
            at, item = store.history[self.read_to]
            if now < at + WATCH_DELAY_S:
                break
            self.read_to += 1
            self.replica.merge([item], now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        self.catalog.now = now
        self.clock.advance(STEP_S)
        self.catalog.expire_runners(now)
        self.catalog.forget_makers(now)
        for address, believed in self.believed.items():
            believed.add(self.catalog.makers.start_at(address))
        for name, known in self.catalog.fleet.runners.items():
            if known.entry.runner.state == model.HostState.LEAVING:
                self.leaving.add((name, known.entry.started_ms))


class RunnerStartsMachine(stateful.RuleBasedStateMachine):
    """Three hosts, two addresses, one store."""

    def __init__(self) -> None:
        """Start hosts and a process at each address."""
        super().__init__()
        self.now = 1000.0
        self.store = Store()
        self.last_born = FIRST_BORN_MS
        self.hosts = [self._host(n) for n in range(3)]
        self.messages: list[tuple[float, int, str, Any]] = []
        self.troubled_at = self.doubted_at = self.now
        # Whether another writer has put a start down that no process has.
        self.is_foreign = False
        self.processes: dict[int, Process] = {}
        # When starts at each address have ended.
        self.ended: dict[str, dict[int, float]] = {a: {} for a in ADDRESSES}
        for slot in range(len(ADDRESSES)):
            self._start(slot, f'{PREFIX}{slot}a', 'v1', True, False)
        self._run(3.0)

    def _host(self, number: int) -> Host:
        host = Host(f'host-{number}', self.now)
        host.catalog.makers.on_doubt = lambda address: self._ask(host, address)
        return host

    # What runners do.

    def _start(
        self, slot: int, name: str, version: str, tells: bool, is_back: bool
    ) -> None:
        step = -CLOCK_STEP_MS if is_back else CLOCK_STEP_MS
        self.last_born += step + 1
        process = Process(
            name,
            ADDRESSES[slot],
            self.last_born,
            version,
            tells,
            self.now,
            is_clock_back=is_back,
        )
        self.processes[slot] = process
        self.troubled_at = self.now
        if is_back:
            self.doubted_at = self.now
        for host in self.hosts:
            if process.address in host.wanted:
                self._tell_start(host, process)

    def _tell_start(self, host: Host, process: Process) -> None:
        makers, address = host.catalog.makers, process.address
        host.connected.add(address)
        makers.on_up(address)
        if process.tells_start:
            makers.on_told(address, process.born, self.now)
        else:
            makers.on_lost(address, self.now)
            self.doubted_at = self.now

    def _ask(self, host: Host, address: str) -> None:
        """Ask a process anew, as an entry contradicts what it told."""
        process = self._up(ADDRESSES.index(address))
        if address in host.connected and process is not None:
            host.catalog.makers.on_closed(address)
            host.catalog.makers.on_told(address, process.born, self.now)

    def _up(self, slot: int) -> Process | None:
        process = self.processes[slot]
        return process if process.is_up else None

    @stateful.rule(slot=slots)
    def end(self, slot: int) -> None:
        """A process ends without a word; its connections close."""
        process = self._up(slot)
        if process is None:
            return
        process.is_up = False
        self.ended[process.address][process.born] = self.now
        self.troubled_at = self.doubted_at = self.now
        for host in self.hosts:
            if process.address in host.connected:
                host.connected.discard(process.address)
                host.catalog.makers.on_closed(process.address)
                host.catalog.makers.on_down(process.address)

    @stateful.rule(
        slot=slots,
        letter=letters,
        version=strategies.sampled_from(VERSIONS),
        tells=strategies.booleans(),
        is_back=strategies.booleans(),
        down_s=strategies.sampled_from((0.2, 1.0)),
    )
    def start_again(
        self,
        slot: int,
        letter: str,
        version: str,
        tells: bool,
        is_back: bool,
        down_s: float,
    ) -> None:
        """A process starts at an address, under any name."""
        self.end(slot)
        self._run(down_s)
        self._start(slot, f'{PREFIX}{slot}{letter}', version, tells, is_back)

    @stateful.rule(slot=slots)
    def drain(self, slot: int) -> None:
        """A process reports that it leaves, once the store answers."""
        process = self._up(slot)
        if process is None or self.store.is_away:
            return
        process.state = 'leaving'
        self.troubled_at = self.now
        self.store.put(process.name, process.entry(), self.now)

    @stateful.rule(slot=slots)
    def exit(self, slot: int) -> None:
        """A process that has drained exits; it removes its entry."""
        process = self._up(slot)
        if process is None or process.state == 'live' or self.store.is_away:
            return
        self.end(slot)
        self.store.put(process.name, None, self.now)

    @stateful.rule(host=hosts, slot=slots)
    def answer(self, host: int, slot: int) -> None:
        """A process that drains says so in an answer."""
        process = self._up(slot)
        catalog = self.hosts[host].catalog
        if process is None or process.state == 'live':
            return
        known = catalog.fleet.runners.get(process.name)
        if known is not None and known.entry.started_ms == process.born:
            catalog.departure_news.on_answer(known, self.now)

    # What goes wrong.

    @stateful.rule(
        slot=slots,
        late_s=strategies.sampled_from((1.0, 2.5, 4.0, MAX_LATE_S - 0.1)),
    )
    def lose_beat(self, slot: int, late_s: float) -> None:
        """The store carries one write of a process out late."""
        process = self._up(slot)
        if process is not None and not self.store.is_away:
            at = self.now + late_s
            self.store.late.append((at, process.name, process.entry()))
            process.next_beat_at = self.now + HEARTBEAT_S
            self.troubled_at = self.now

    @stateful.rule(
        slot=slots,
        born=strategies.sampled_from((1, 2**53)),
        version=strategies.sampled_from(VERSIONS),
    )
    def write_foreign_start(self, slot: int, born: int, version: str) -> None:
        """Another writer puts an entry with another start down."""
        process = self._up(slot)
        if process is None or self.store.is_away or process.state != 'live':
            return
        foreign = msgspec.structs.replace(process, born=born, version=version)
        self.store.put(process.name, foreign.entry(), self.now)
        self.troubled_at = self.doubted_at = self.now
        self.is_foreign = True

    @stateful.rule(
        slot=slots, text=strategies.sampled_from(('', '{}', '{"born": []}'))
    )
    def write_unreadable(self, slot: int, text: str) -> None:
        """Another writer puts something down that is no entry."""
        process = self._up(slot)
        if process is not None and not self.store.is_away:
            self.store.put(process.name, text, self.now)
            self.troubled_at = self.now

    @stateful.rule(away_s=seconds)
    def lose_store(self, away_s: float) -> None:
        """The store is away for some time."""
        self.store.is_away = True
        for host in self.hosts:
            host.catalog.fleet.on_store_lost()
        self._run(away_s)
        self._return()

    def _return(self) -> None:
        self.store.is_away = False
        self.store.beaten_at = dict.fromkeys(self.store.entries, self.now)
        self.troubled_at = self.doubted_at = self.now
        for host in self.hosts:
            host.catalog.fleet.on_store_recovered(self.now)

    @stateful.rule()
    def copy(self) -> None:
        """A copy of the store is made."""
        self.store.copy = self.store.revision, dict(self.store.entries)

    @stateful.rule()
    def restore(self) -> None:
        """The store returns as the last copy."""
        self.store.restore(self.now)
        self._return()

    @stateful.rule(host=hosts, other=hosts, is_reversed=strategies.booleans())
    def restart_host(self, host: int, other: int, is_reversed: bool) -> None:
        """A host starts; it hears of entries from another one first."""
        self.hosts[host] = self._host(host)
        if other != host:
            self.gossip(other, host, is_reversed)
        self.troubled_at = self.now

    @stateful.rule(host=hosts, other=hosts, is_reversed=strategies.booleans())
    def gossip(self, host: int, other: int, is_reversed: bool) -> None:
        """A host tells another all entries that it knows, in any order."""
        items = list(self.hosts[host].replica.objects.values())
        if is_reversed:
            items.reverse()
        self.hosts[other].catalog.now = self.now
        self.hosts[other].replica.merge(items, self.now)

    # What hosts hear from processes.

    @stateful.rule(host=hosts, slot=slots)
    def connect(self, host: int, slot: int) -> None:
        """A host opens a connection; the process tells its start."""
        process = self._up(slot)
        if process is None:
            return
        watcher = self.hosts[host]
        watcher.wanted.add(process.address)
        if process.address not in watcher.connected and process.tells_start:
            self._tell_start(watcher, process)

    @stateful.rule(host=hosts, slot=slots)
    def break_connection(self, host: int, slot: int) -> None:
        """A connection breaks, and is opened again at once."""
        process = self._up(slot)
        watcher = self.hosts[host]
        if process is None or process.address not in watcher.connected:
            return
        watcher.catalog.makers.on_closed(process.address)
        self._tell_start(watcher, process)

    @stateful.rule(host=hosts, slot=slots)
    def leave_connection(self, host: int, slot: int) -> None:
        """A host needs its connection no more."""
        watcher, address = self.hosts[host], ADDRESSES[slot]
        watcher.wanted.discard(address)
        if address in watcher.connected:
            watcher.connected.discard(address)
            watcher.catalog.makers.on_closed(address)
        watcher.catalog.makers.on_up(address)

    @stateful.rule(
        host=hosts,
        other=hosts,
        slot=slots,
        delay_s=strategies.sampled_from((0.0, 0.4, 2.0)),
    )
    def tell(self, host: int, other: int, slot: int, delay_s: float) -> None:
        """A host tells another what it knows of an address."""
        sender = self.hosts[host]
        sender.sent.clear()
        sender.news.tell(f'host-{other}', [ADDRESSES[slot]])
        for message in sender.sent:
            self.messages.append(
                (self.now + delay_s, other, sender.name, message)
            )

    # Time.

    @stateful.rule(wait_s=seconds)
    def wait(self, wait_s: float) -> None:
        """Time goes on."""
        self._run(wait_s)

    def _run(self, wait_s: float) -> None:
        for _ in range(round(wait_s / STEP_S)):
            self.now += STEP_S
            self._step()

    def _step(self) -> None:
        if not self.store.is_away:
            self._write()
        for due_at, to, sender, message in list(self.messages):
            if self.now >= due_at:
                self.messages.remove((due_at, to, sender, message))
                self.hosts[to].news.on_told(sender, message, self.now)
                self.doubted_at = self.now
        for host in self.hosts:
            if not self.store.is_away:
                host.read(self.store, self.now)
            host.tick(self.now)
        self.check_leaving()
        self.check_versions()
        self.check_starts()

    def _write(self) -> None:
        for write in list(self.store.late):
            at, name, value = write
            if self.now >= at:
                self.store.late.remove(write)
                self.store.put(name, value, self.now)
                self.troubled_at = self.doubted_at = self.now
        for process in self.processes.values():
            if process.is_up and self.now >= process.next_beat_at:
                process.next_beat_at = self.now + HEARTBEAT_S
                self.store.put(process.name, process.entry(), self.now)
        self.store.expire(self.now)

    # What has to hold.

    def _at_work(self) -> list[Process]:
        return [p for p in self.processes.values() if p.is_up]

    def check_leaving(self) -> None:
        """No host uses a start again of which it knows that it leaves."""
        for host in self.hosts:
            used = {
                (runner.name, runner.entry.started_ms)
                for runner in host.catalog.fleet.usable(SERVICE, self.now)
            }
            assert not used & host.leaving, (host.name, used & host.leaving)

    def check_versions(self) -> None:
        """No stream goes on at a runner of another software version."""
        if self.store.is_away or self.now < self.troubled_at + SETTLE_S:
            return
        for process in self._at_work():
            for host in self.hosts:
                known = host.catalog.fleet.runners.get(process.name)
                if known is None:
                    continue
                for version in VERSIONS:
                    if version == process.version:
                        continue
                    origin = relay.StreamOrigin(SERVICE, version)
                    assert not origin.may_continue_at(known), (
                        host.name,
                        process,
                        known,
                    )

    def check_starts(self) -> None:
        """No start at work is over, and none that has ended is used.

        A runner whose state or start was doubtful is known again once that
        has stood or expired.
        """
        if self.store.is_away or self.now < self.troubled_at + SETTLE_S:
            return
        is_settled = self.now >= self.doubted_at + DOUBT_S
        self.is_foreign = self.is_foreign and not is_settled
        for process in self._at_work():
            for host in self.hosts:
                self._check_start(host, process, is_settled)

    def _check_start(
        self, host: Host, process: Process, is_settled: bool
    ) -> None:
        makers, address = host.catalog.makers, process.address
        is_misled = self.is_foreign or process.is_clock_back
        if process.tells_start and (is_settled or not is_misled):
            assert not makers.has_ended(address, process.born), (
                host.name,
                process,
            )
        if address in host.connected and process.tells_start:
            assert makers.start_at(address) == process.born
        if not is_settled:
            return
        known = host.catalog.fleet.runners[process.name]
        assert known.entry.started_ms == process.born, (host.name, process)
        if process.state == 'live':
            assert known.is_usable(self.now), (host.name, process, known)
        if self.now < self.doubted_at + EXPIRY_S + DOUBT_S:
            return
        for other in self.hosts:
            stamp = other.catalog.makers.start_at(address)
            assert not makers.has_ended(address, stamp), (
                host.name,
                other.name,
                stamp,
                process,
            )
        for start, at in self.ended[address].items():
            if start in host.believed[address] and self.now < at + MEMORY_S:
                assert makers.has_ended(address, start), (
                    host.name,
                    start,
                    process,
                )
