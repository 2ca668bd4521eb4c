"""Faults from outside, by name, and plans of them drawn from a seed."""

import collections
from collections.abc import Callable
import dataclasses
import math
import random
import signal

from features.soak import hosts
from features.soak import ledger
from features.soak import notices
from features.soak import proxy
from features.soak import runners
from features.soak import store
from features.soak import system

# Time for a host that was started to be ready again.
START_S = 4.0
CLOCK_STEP_S = 30.0
FLAP_S = 0.7
# Time after which an address may go to a runner of another service.
REUSE_S = 2.2
# How old the copy is from which the store returns, how long it is away, and
# when the operator and the runners have written again.
RESTORE_AGE_S = (1.0, 6.0)
RESTORE_GAP_S = (0.3, 1.2)
REWRITE_S = (0.3, 1.5)
RESTORE = 'store-restored'
LIMIT = 'runner-limit'
BROKEN_STREAMS = 'broken-streams'
BREAKS = 12
SILENT_PEERS = 'silent-peers'
QUIET_LEAVE = 'runner-leaves-quietly'
PAUSE = 'runner-pause'
BRITTLE = 'brittle-runners'
BRITTLE_S = (7.0, 10.0)
BRITTLE_SERVICES = ('plain', 'engine')
STRANDED = 'hosts-without-runners'
STRANDED_S = (6.0, 9.0)
STRANDING_MANNERS = ('hang', 'reset', 'refuse')
CUT_PEERS = 'cut-peers'
# Shares of the hosts, and of their connections to others, that fall silent.
SILENT_HOSTS = (0.4, 1.0)
SILENT_SHARE = (0.3, 0.9)
CUT_S = (1.0, 4.0)
# Requests a second that a runner takes while it names a limit, and for how
# long it does.
LIMITS_PER_S = (0.5, 1.0, 2.0, 4.0)
LIMITED_S = (6.0, 10.0)

Undo = Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """A fault under way: whom callers may find disturbed, and its end."""

    target: str
    undo: Undo
    after_s: float = 0.0


Begin = Callable[[system.SoakSystem, random.Random], Begun]
FAULTS: dict[str, Begin] = {}
# Faults that are drawn apart from the others of a seed.
EXTRA_FAULTS: dict[str, Begin] = {}


def fault(name: str) -> Callable[[Begin], Begin]:
    """Register a fault under a name."""

    def register(begin: Begin) -> Begin:
        FAULTS[name] = begin
        return begin

    return register


def _host(whole: system.SoakSystem, rng: random.Random) -> hosts.HostProcess:
    steady = [
        host
        for host in whole.hosts
        if host.is_running and not host.is_paused and not host.is_leaving
    ]
    return rng.choice(steady or whole.hosts)


def settled(
    whole: system.SoakSystem, rng: random.Random
) -> list[hosts.HostProcess]:
    """Return one host that has been up for a while, if there is one.

    A signal ends an interpreter that has not run the first line of its script.
    """
    since = whole.reactor.seconds() - START_S
    found = [
        host
        for host in whole.hosts
        if host.is_running
        and not host.is_paused
        and not host.is_leaving
        and host.starts[-1] < since
    ]
    return [rng.choice(found)] if found else []


def _some_runners(
    whole: system.SoakSystem, rng: random.Random
) -> list[runners.RunnerStandIn]:
    """Return one runner of each of one or two services, or all of one."""
    services = rng.sample(sorted(system.SERVICES), rng.choice((1, 2)))
    by_service = {
        name: [r for r in whole.runners if r.service == name]
        for name in services
    }
    if rng.random() < 0.2:
        return by_service[services[0]]
    return [rng.choice(found) for found in by_service.values() if found]


@fault('host-kill')
def kill_host(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Kill a host and start it again at the end."""
    host = _host(whole, rng)
    host.send(signal.SIGKILL)
    return Begun(host.name, lambda: _restart(host), START_S)


def _restart(host: hosts.HostProcess) -> None:
    if not host.is_running:
        host.start()


@fault('all-hosts-kill')
def kill_hosts(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Kill all hosts at once."""
    for host in whole.hosts:
        host.send(signal.SIGKILL)

    def restart() -> None:
        for host in whole.hosts:
            _restart(host)

    return Begun('all', restart, START_S)


@fault('host-pause')
def pause_host(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Stop a host for a while; its connections stay open."""
    host = _host(whole, rng)
    host.pause()
    return Begun(host.name, host.resume, 1.0)


@fault('host-term')
def end_host(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Tell a host to leave; it starts again once it has gone."""
    leave(whole, _host(whole, rng))
    return Begun('none', lambda: None)


def leave(whole: system.SoakSystem, host: hosts.HostProcess) -> None:
    """Tell a host to leave, note its end and start it again."""
    host.is_leaving = True
    gone = ledger.HostExit(host.name, whole.reactor.seconds(), None, None)
    host.send(signal.SIGTERM)
    process = host.process
    assert process is not None

    def look() -> None:
        if whole.is_stopped:
            return
        if process.poll() is None:
            whole.reactor.callLater(0.1, look)
            return
        gone.gone_at = whole.reactor.seconds()
        gone.code = process.returncode
        if gone.code != -signal.SIGKILL:
            whole.records.exits.append(gone)
        host.start()

    look()


@fault('host-reload')
def reload_host(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Have a host read its settings anew."""
    host = _host(whole, rng)
    host.send(signal.SIGHUP)
    return Begun('none', lambda: None)


@fault('clock-step')
def step_clock(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Step the time of day on some hosts, and back."""
    chosen = rng.sample(whole.hosts, max(len(whole.hosts) // 3, 1))
    step_s = rng.choice((-CLOCK_STEP_S, CLOCK_STEP_S))
    for host in chosen:
        host.step_clock(step_s)

    def step_back() -> None:
        for host in chosen:
            host.step_clock(0.0)

    return Begun('none', step_back)


def _register_proxy_faults() -> None:
    modes = [m for m in proxy.ProxyMode if m != proxy.ProxyMode.PASS]
    for mode in modes:
        FAULTS[f'callers-{mode}'] = _callers_fault(mode)
        FAULTS[f'host-store-{mode}'] = _host_store_fault(mode)
        FAULTS[f'runner-path-{mode}'] = _runner_path_fault(mode)


def _callers_fault(mode: proxy.ProxyMode) -> Begin:
    """Return a fault on the path between callers and one host."""

    def begin(whole: system.SoakSystem, rng: random.Random) -> Begun:
        host = _host(whole, rng)
        host.front.set_mode(mode)
        return Begun(
            host.name, lambda: host.front.set_mode(proxy.ProxyMode.PASS)
        )

    return begin


def _host_store_fault(mode: proxy.ProxyMode) -> Begin:
    """Return a fault on the path between one host and the store."""

    def begin(whole: system.SoakSystem, rng: random.Random) -> Begun:
        host = _host(whole, rng)
        host.store.set_mode(mode)
        return Begun('none', lambda: host.store.set_mode(proxy.ProxyMode.PASS))

    return begin


def _runner_path_fault(mode: proxy.ProxyMode) -> Begin:
    """Return a fault on the paths to some runners."""

    def begin(whole: system.SoakSystem, rng: random.Random) -> Begun:
        chosen = _some_runners(whole, rng)
        for runner in chosen:
            runner.proxy.set_mode(mode)

        def heal() -> None:
            for runner in chosen:
                runner.proxy.set_mode(proxy.ProxyMode.PASS)

        return Begun('none', heal)

    return begin


def _register_store_faults() -> None:
    for mode in store.StoreMode:
        if mode != store.StoreMode.OK:
            FAULTS[f'store-{mode}'] = _store_fault(mode)


def _store_fault(mode: store.StoreMode) -> Begin:
    """Return a fault of the whole store."""

    def begin(whole: system.SoakSystem, rng: random.Random) -> Begun:
        whole.store.set_mode(mode)
        return Begun('none', lambda: whole.store.set_mode(store.StoreMode.OK))

    return begin


@fault('store-compact')
def compact_store(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Drop the store's history while watches wait."""
    whole.store.compact()
    return Begun('none', lambda: None)


def _restore_store(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Let the store go and return from an older copy, then be rewritten."""
    age_s = rng.uniform(*RESTORE_AGE_S)
    whole.store.set_mode(store.StoreMode.RESET)

    def come_back() -> None:
        whole.store.restore(age_s)
        whole.store.set_mode(store.StoreMode.OK)
        whole.reactor.callLater(rng.uniform(*REWRITE_S), whole.rewrite_store)

    return Begun('none', come_back, REWRITE_S[1])


def _register_runner_faults() -> None:
    for mode in runners.RunnerMode:
        if mode != runners.RunnerMode.OK:
            FAULTS[f'runner-{mode}'] = _runner_fault(mode)


def _runner_fault(mode: runners.RunnerMode) -> Begin:
    """Return a fault of some runners themselves."""

    def begin(whole: system.SoakSystem, rng: random.Random) -> Begun:
        chosen = _some_runners(whole, rng)
        for runner in chosen:
            runner.mode = mode

        def heal() -> None:
            for runner in chosen:
                runner.mode = runners.RunnerMode.OK

        return Begun('none', heal)

    return begin


@fault('runner-crash')
def crash_runners(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Crash runners; each starts as a new one at the end."""
    chosen = [r for r in _some_runners(whole, rng) if r.is_up]
    for runner in chosen:
        runner.crash()

    def restart() -> None:
        for runner in chosen:
            if not runner.is_up:
                runner.start()

    return Begun('none', restart)


@fault('runner-drain')
def drain_runners(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Have runners leave in order, and come back as new ones."""
    chosen = _some_runners(whole, rng)
    for runner in chosen:
        runner.drain()

    def restart() -> None:
        whole.reactor.callLater(runners.DRAIN_S + 0.2, start_all)

    def start_all() -> None:
        for runner in chosen:
            if not runner.is_up and not whole.is_stopped:
                runner.start()

    return Begun('none', restart, runners.DRAIN_S)


@fault('runner-flap')
def flap_runners(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Have runners go down and come up by turns."""
    chosen = [r for r in _some_runners(whole, rng) if r.is_up]
    over: list[bool] = []

    def turn() -> None:
        if whole.is_stopped:
            return
        for runner in chosen:
            if not runner.is_up:
                runner.start()
            elif not over:
                runner.crash()
        if not over:
            whole.reactor.callLater(FLAP_S, turn)

    turn()
    return Begun('none', lambda: over.append(True), 2 * FLAP_S)


@fault('address-reuse')
def reuse_address(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Give a dead runner's address to a runner of another service."""
    count = collections.Counter(r.service for r in whole.runners)
    # A service without any runner could not be served again.
    chosen = [
        runner
        for runner in _some_runners(whole, rng)
        if runner.is_up and count[runner.service] > 1
    ]
    for runner in chosen[:1]:
        own = runner.service
        runner.crash()
        others = [name for name in system.SERVICES if name != own]
        runner.service = rng.choice(sorted(others))
        # Names are not used again by other services.
        runner.identifier = ''
        whole.reactor.callLater(REUSE_S, _start_if_down, whole, runner)
    return Begun('none', lambda: None, REUSE_S)


def _start_if_down(
    whole: system.SoakSystem, runner: runners.RunnerStandIn
) -> None:
    if not runner.is_up and not whole.is_stopped:
        runner.start()


_register_proxy_faults()
_register_store_faults()
_register_runner_faults()


@dataclasses.dataclass(frozen=True, slots=True)
class Planned:
    """A fault of a plan; times in seconds from the start of traffic."""

    name: str
    at: float
    for_s: float


def _limit_runners(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Have some runners name a limit, until the end or their restart."""
    rate_per_s = rng.choice(LIMITS_PER_S)
    chosen = _some_runners(whole, rng)
    for runner in chosen:
        runner.name_limit(rate_per_s)

    def end() -> None:
        for runner in chosen:
            runner.name_limit(None)

    return Begun('none', end)


def _break_streams(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Reset half of the ways to hosts, or half of those to the engine."""
    fronts = [host.front for host in whole.hosts]
    engines = [r.proxy for r in whole.runners if r.service == 'engine']
    ways = rng.choice((fronts, engines))
    for way in rng.sample(ways, (len(ways) + 1) // 2):
        mode = way.mode
        way.set_mode(proxy.ProxyMode.RESET)
        # Another fault may hold the way; it goes on.
        way.mode = mode
    return Begun('all', lambda: None)


def _silence_peers(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Let connections between hosts fall silent for good."""
    count = round(rng.uniform(*SILENT_HOSTS) * len(whole.hosts))
    share = rng.uniform(*SILENT_SHARE)
    for host in rng.sample(whole.hosts, max(count, 1)):
        host.silence_peers(share)
    return Begun('none', lambda: None)


def _cut_peers(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Cut some hosts off from all others for a while."""
    chosen = rng.sample(whole.hosts, max(len(whole.hosts) // 4, 1))
    now = whole.reactor.seconds()
    cuts = [
        ledger.Disturbance(CUT_PEERS, host.name, now, math.inf)
        for host in chosen
    ]
    whole.records.cuts += cuts
    for host in chosen:
        host.silence_peers(1.0, is_cut=True)

    def heal() -> None:
        for host, cut in zip(chosen, cuts, strict=True):
            host.silence_peers(0.0)
            cut.until = whole.reactor.seconds()

    return Begun('none', heal)


def _make_brittle(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Let a service's runners be brittle, and take few requests later."""
    service = rng.choice(BRITTLE_SERVICES)
    chosen = [r for r in whole.runners if r.service == service]
    rejects_per_s = rng.choice((2, 3, 5))
    for runner in chosen:
        runner.set_brittle(rejects_per_s, runners.SLOTS)

    def shrink() -> None:
        for runner in chosen:
            if runner.brittle_per_s is not None:
                runner.set_brittle(rejects_per_s, rng.choice((1, 2)))

    whole.reactor.callLater(runners.LIMIT_NOTICE_S, shrink)

    def end() -> None:
        for runner in chosen:
            runner.set_brittle(None, runners.SLOTS)

    return Begun('none', end)


def _strand_hosts(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Let some hosts, but not all, lose all runners for a while."""
    count = rng.randint(1, max(len(whole.hosts) - 1, 1))
    chosen = rng.sample(whole.hosts, count)
    manner = rng.choice(STRANDING_MANNERS)
    now = whole.reactor.seconds()
    found = [
        ledger.Disturbance(STRANDED, host.name, now, math.inf)
        for host in chosen
    ]
    whole.records.strandings += found
    for host in chosen:
        host.cut_off(manner, whole.dead_end.address)

    def heal() -> None:
        for host, stranding in zip(chosen, found, strict=True):
            host.cut_off('', '')
            stranding.until = whole.reactor.seconds()

    return Begun('none', heal)


def _leave_quietly(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Have a runner say in its answers alone that it leaves."""
    runner = rng.choice([r for r in whole.runners if r.is_up] or whole.runners)
    runner.leave_quietly()

    def restart() -> None:
        whole.reactor.callLater(REUSE_S, _start_if_down, whole, runner)

    return Begun('none', restart, REUSE_S)


def _pause_runners(whole: system.SoakSystem, rng: random.Random) -> Begun:
    """Have some runners ask for a pause."""
    now = whole.reactor.seconds()
    for runner in _some_runners(whole, rng):
        runner.notices.pause(now, rng)
    return Begun('none', lambda: None)


EXTRA_FAULTS[BROKEN_STREAMS] = _break_streams
EXTRA_FAULTS[QUIET_LEAVE] = _leave_quietly
EXTRA_FAULTS[PAUSE] = _pause_runners
EXTRA_FAULTS[SILENT_PEERS] = _silence_peers
EXTRA_FAULTS[CUT_PEERS] = _cut_peers
EXTRA_FAULTS[STRANDED] = _strand_hosts
EXTRA_FAULTS[BRITTLE] = _make_brittle
EXTRA_FAULTS[RESTORE] = _restore_store
EXTRA_FAULTS[LIMIT] = _limit_runners


def draw_restores(rng: random.Random, length_s: float) -> list[Planned]:
    """Return one restore of the store, or two close together."""
    at = rng.uniform(1.0, length_s / 2)
    plan = [Planned(RESTORE, at, rng.uniform(*RESTORE_GAP_S))]
    if rng.random() < 0.4:
        again_at = at + rng.uniform(2.0, 4.0)
        plan.append(Planned(RESTORE, again_at, rng.uniform(*RESTORE_GAP_S)))
    return plan


def draw_limits(rng: random.Random, length_s: float) -> list[Planned]:
    """Return one or two limits that overlap."""
    starts = [
        rng.uniform(0.0, length_s / 3) for _ in range(rng.choice((1, 2)))
    ]
    return [Planned(LIMIT, at, rng.uniform(*LIMITED_S)) for at in starts]


def draw_breaks(rng: random.Random, length_s: float) -> list[Planned]:
    """Return moments at which streams break."""
    return [
        Planned(BROKEN_STREAMS, rng.uniform(0.0, length_s), 0.1)
        for _ in range(BREAKS)
    ]


def draw_severed(rng: random.Random, length_s: float) -> list[Planned]:
    """Return moments at which hosts stop hearing each other."""
    silences = [
        Planned(SILENT_PEERS, rng.uniform(0.0, length_s), 0.1)
        for _ in range(rng.choice((2, 3, 4)))
    ]
    cut_at = rng.uniform(0.0, length_s - max(CUT_S))
    return [*silences, Planned(CUT_PEERS, cut_at, rng.uniform(*CUT_S))]


def draw_brittle(rng: random.Random, length_s: float) -> list[Planned]:
    """Return a time in which a service's runners are brittle."""
    at = rng.uniform(0.0, max(length_s - max(BRITTLE_S), 0.0))
    return [Planned(BRITTLE, at, rng.uniform(*BRITTLE_S))]


def draw_strandings(rng: random.Random, length_s: float) -> list[Planned]:
    """Return a moment at which hosts lose all runners."""
    at = rng.uniform(0.0, max(length_s - max(STRANDED_S), 0.0))
    return [Planned(STRANDED, at, rng.uniform(*STRANDED_S))]


def draw_notices(rng: random.Random, length_s: float) -> list[Planned]:
    """Return runners that leave quietly and such that ask for pauses."""
    leaves = [
        Planned(QUIET_LEAVE, rng.uniform(0.0, length_s), notices.LEAVING_S)
        for _ in range(2)
    ]
    pauses = [
        Planned(PAUSE, rng.uniform(0.0, length_s), notices.PAUSE_S[1])
        for _ in range(rng.choice((2, 3)))
    ]
    return [*leaves, *pauses]


def draw_plan(rng: random.Random, length_s: float) -> list[Planned]:
    """Return faults in series, or overlapping, as the seed has it."""
    overlap = rng.random() < 0.6
    names = sorted(FAULTS)
    plan: list[Planned] = []
    at = 0.5
    while at < length_s - 1.0:
        for_s = min(rng.uniform(1.0, 4.0), length_s - at)
        plan.append(Planned(rng.choice(names), at, for_s))
        at += rng.uniform(0.3, 1.5) if overlap else for_s + 0.5
    return plan
