"""Plays plans of faults on a system and reports which promises broke."""

import collections
import dataclasses
import os
import pathlib
import random
import shutil
import tempfile
import time
from typing import Any

from features.soak import evacuations
from features.soak import faults
from features.soak import late_writes
from features.soak import leaving
from features.soak import ledger
from features.soak import odd_entries
from features.soak import promises
from features.soak import renumbering
from features.soak import silences
from features.soak import strange_faults
from features.soak import system
import ragwort_peers as peers

FAULTS_S = 14.0
# Time until every host serves, and what each further host adds to it.
READY_S = 25.0
READY_S_PER_HOST = 1.0
LOOK_S = 0.2
# Faults that leave callers of one host or all without answers.
NOBODY = 'none'


@dataclasses.dataclass(frozen=True, slots=True)
class SoakOptions:
    """What to play; faults_s is how long faults go on.

    has_restores adds returns of the store from an older copy, has_limits
    runners that name a limit; both are drawn apart so that the other faults
    of a seed stay the same. With has_versions runners of two software
    versions stream, and callers take broken streams up. has_severed lets
    connections between hosts fall silent. With has_notices runners leave
    or ask for pauses in their answers alone. With has_deadly a part of a
    prompt crashes runners, with has_same a request that comes again and again
    does. With has_stranded hosts lose all runners for a while, with
    has_brittle runners fall over when they turn many requests away, with
    has_evacuation a failure domain is evacuated. With has_silences sound
    runners fall silent for a while, with has_odd another writer puts odd
    entries among those of the runners, with has_repeats runners send earlier
    refusals once more, with has_errors runners answer resumptions of broken
    streams with something else. With has_late hosts leave in series while
    callers send long requests, one after the other, on connections that they
    keep; with has_outlasting some streams become much longer as their host
    leaves. With has_slow callers and runners stop reading in the middle of
    large bodies. With has_renumbered stage runners start again under their
    names and number their results anew, mostly while the store is away. With
    has_late_writes the store carries heartbeats out late, beside runners that
    drain or start again and hosts that start.
    """

    seed: int
    hosts: int = 4
    callers: int = 12
    faults_s: float = FAULTS_S
    has_restores: bool = False
    has_limits: bool = False
    has_versions: bool = False
    has_severed: bool = False
    has_notices: bool = False
    has_deadly: bool = False
    has_same: bool = False
    has_stranded: bool = False
    has_brittle: bool = False
    has_evacuation: bool = False
    has_silences: bool = False
    has_odd: bool = False
    has_repeats: bool = False
    has_errors: bool = False
    has_late: bool = False
    has_outlasting: bool = False
    has_slow: bool = False
    has_renumbered: bool = False
    has_late_writes: bool = False


@dataclasses.dataclass(slots=True)
class SoakResult:
    """What a run showed."""

    seed: int
    faults: collections.Counter[str]
    statuses: collections.Counter[str]
    broken: list[str]
    recovery_s: float | None
    folder: pathlib.Path | None
    records: ledger.Ledger

    def line(self) -> str:
        """Return the run in one line."""
        statuses = ' '.join(
            f'{k}:{v}' for k, v in sorted(self.statuses.items())
        )
        verdict = f'{len(self.broken)} broken' if self.broken else 'kept'
        recovery = f'{self.recovery_s:.1f}' if self.recovery_s else '-'
        return (
            f'seed {self.seed}: {verdict}, {self.faults.total()} faults, '
            f'{self.statuses.total()} requests ({statuses}), '
            f'{len(promises.at_silent_runners(self.records))} at silent '
            f'runners alone, recovery {recovery} s; '
            f'{" ".join(sorted(self.faults))}'
        )


class _Run:
    """One run on the reactor."""

    def __init__(
        self, reactor: Any, options: SoakOptions, folder: pathlib.Path
    ) -> None:
        self.reactor = reactor
        self.options = options
        self.rng = random.Random(options.seed)
        self.extra_rng = random.Random(f'extra/{options.seed}')
        base = f'127.{os.getpid() % 200 + 20}.{options.seed % 250}'
        self.system = system.SoakSystem(
            reactor,
            self.rng,
            folder,
            base,
            options.hosts,
            options.callers,
            options.has_versions,
            options.has_deadly,
            options.has_same,
            options.has_late,
            options.has_outlasting,
            options.has_slow,
        )
        self.plan = faults.draw_plan(self.rng, options.faults_s)
        if options.has_restores:
            self.plan += faults.draw_restores(self.extra_rng, options.faults_s)
        if options.has_limits:
            self.plan += faults.draw_limits(self.extra_rng, options.faults_s)
        if options.has_versions:
            self.plan += faults.draw_breaks(self.extra_rng, options.faults_s)
        if options.has_notices:
            self.plan += faults.draw_notices(self.extra_rng, options.faults_s)
        if options.has_severed:
            self.plan += faults.draw_severed(self.extra_rng, options.faults_s)
        if options.has_brittle:
            self.plan += faults.draw_brittle(self.extra_rng, options.faults_s)
        if options.has_evacuation:
            self.plan += evacuations.draw_evacuation(self.extra_rng)
        if options.has_stranded:
            self.plan += faults.draw_strandings(
                self.extra_rng, options.faults_s
            )
        if options.has_silences:
            self.plan += silences.draw_silences(
                self.extra_rng, options.faults_s
            )
        if options.has_odd:
            self.plan += odd_entries.draw_odd_entries(
                self.extra_rng, options.faults_s
            )
        if options.has_late or options.has_outlasting:
            self.plan += leaving.draw_leaving(self.extra_rng, options.faults_s)
        if options.has_renumbered:
            renumbering.prepare(self.system)
            self.plan += renumbering.draw_restarts(
                self.extra_rng, options.faults_s
            )
        if options.has_late_writes:
            late_writes.prepare(self.system)
            self.plan += late_writes.draw_late_writes(
                self.extra_rng, options.faults_s
            )
        for is_wanted, name in (
            (options.has_repeats, strange_faults.REPEATED_REFUSALS),
            (options.has_errors, strange_faults.BROKEN_RESUMPTIONS),
        ):
            if is_wanted:
                self.plan += strange_faults.draw_strange(
                    name, self.extra_rng, options.faults_s
                )
        self.open_faults = 0
        self.begun: collections.Counter[str] = collections.Counter()
        self.give_up_at = 0.0

    def start(self) -> None:
        self.system.start()
        ready_s = READY_S + READY_S_PER_HOST * self.options.hosts
        self.give_up_at = self.reactor.seconds() + ready_s
        self._await_service()

    def _await_service(self) -> None:
        now = self.reactor.seconds()
        unserved = self.system.unserved_since(0.0)
        self.system.records.unserved = unserved
        if not unserved:
            self._play()
        elif now >= self.give_up_at:
            self.reactor.stop()
        else:
            self.reactor.callLater(LOOK_S, self._await_service)

    def _play(self) -> None:
        self.system.change_keys()
        for planned in self.plan:
            self.reactor.callLater(planned.at, self._begin, planned)
        self.reactor.callLater(self.options.faults_s, self._await_quiet)

    def _begin(self, planned: faults.Planned) -> None:
        extra = faults.EXTRA_FAULTS.get(planned.name)
        if extra is not None:
            begun = extra(self.system, self.extra_rng)
        else:
            begun = faults.FAULTS[planned.name](self.system, self.rng)
        now = self.reactor.seconds()
        self.begun[planned.name] += 1
        if begun.target != NOBODY:
            until = now + planned.for_s + begun.after_s
            self.system.records.disturbances.append(
                ledger.Disturbance(planned.name, begun.target, now, until)
            )
        self.open_faults += 1
        self.reactor.callLater(planned.for_s, self._end, begun)

    def _end(self, begun: faults.Begun) -> None:
        begun.undo()
        self.reactor.callLater(begun.after_s, self._close)

    def _close(self) -> None:
        self.open_faults -= 1

    def _await_quiet(self) -> None:
        leaving = any(h.is_leaving and h.is_running for h in self.system.hosts)
        if self.open_faults or leaving:
            self.reactor.callLater(LOOK_S, self._await_quiet)
            return
        self.system.records.quiet_at = self.reactor.seconds()
        self._await_recovery()

    def _await_recovery(self) -> None:
        records = self.system.records
        now = self.reactor.seconds()
        records.unserved = self.system.unserved_since(records.quiet_at)
        if not records.unserved:
            records.recovered_at = now
            self._stop()
        elif now >= records.quiet_at + promises.RECOVERY_S:
            self._stop()
        else:
            self.reactor.callLater(LOOK_S, self._await_recovery)

    def _stop(self) -> None:
        # The reactor cuts connections as it stops, which is no host's doing.
        for caller in self.system.callers:
            caller.stop()
        self.reactor.stop()


def play(options: SoakOptions) -> SoakResult:
    """Play one seed in this process; logs are kept if a promise broke."""
    loop = peers.monotonic_reactor()
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{options.seed}-'))
    run = _Run(loop, options, folder)
    loop.callWhenRunning(run.start)
    try:
        loop.run()
    finally:
        run.system.stop()
    records = run.system.records
    broken = promises.broken_promises(records)
    if not broken:
        shutil.rmtree(folder)
    recovery_s = None
    if records.recovered_at is not None:
        recovery_s = records.recovered_at - records.quiet_at
    statuses = collections.Counter(
        str(one.status if one.problem is None else one.problem.split(':')[0])
        for one in records.outcomes
    )
    return SoakResult(
        options.seed,
        run.begun,
        statuses,
        broken,
        recovery_s,
        folder if broken else None,
        records,
    )


def fresh_seed() -> int:
    """Return a seed that was not played before."""
    return time.time_ns() % 1_000_000_000
