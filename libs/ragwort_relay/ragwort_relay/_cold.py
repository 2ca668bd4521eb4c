"""Cold runners: few requests a second for some seconds, from all hosts.

A runner is cold for some seconds after its start and may become cold again.
While it is, only a few hosts send to it, each an equal part and evenly
spaced. docs/design/cold-runners.md shows that the bound on the requests of
one second holds whichever hosts are in reach of each other.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

import msgspec

import ragwort_model as model
from ragwort_relay import _fleet
from ragwort_relay import _routes

# Hosts that send to a cold runner, so that the loss of one leaves another. One
# host alone, the owner, sends to a stage runner.
HOLDERS = 2
# Groups of hosts that are out of reach of each other and may each elect
# holders: each sees at least half of all hosts.
GROUPS = 2
# Lowest rate of all holders: where the bound leaves no room for more, the
# answers still show when the runner is warm.
MIN_RATE_PER_S = 0.1
# Age of a host up to which the entries that it reads may be old ones, and so
# their remaining times; a host reads all entries within it.
LISTING_S = 3.0
# Difference of two reports of a cold time's end that is no news: the time
# that answers take.
SAME_END_S = 0.5
# Interval at which a host tells others what answers said.
SPREAD_INTERVAL_S = 1.0
# 30 records of some 70 bytes to two hosts are 4.2 KB, within 5 KB/s.
MAX_SPREAD_RUNNERS = 30

Holders = Callable[[_fleet.FleetRunner, int], Collection[str]]
FindSpec = Callable[[str], _routes.ServiceSpec | None]


class ColdBound(msgspec.Struct, frozen=True):
    """Bound on the requests that reach a cold runner in one second.

    It is overage times the service's cold rate, and slack.
    """

    overage: float
    slack: float

    def rate_per_s(self, cold_per_s: float, holders: int) -> float:
        """Return the rate of all holders together in one group of hosts.

        In one second a holder sends one request more than its part of the
        rate at most, and there may be twice as many holders.
        """
        bound = self.overage * cold_per_s + self.slack
        rate_per_s = min(cold_per_s, bound / GROUPS - holders)
        return max(rate_per_s, MIN_RATE_PER_S)


class ColdChange(msgspec.Struct, frozen=True):
    """A runner became cold for this host, or warm if left_s is 0."""

    runner: str
    left_s: float
    source: str


class _Record(msgspec.Struct):
    """What was last reported of one incarnation of a runner.

    is_ended tells that an answer said so. next_send_at is None while this
    host is no holder.
    """

    started_ms: int
    until: float
    observed_at: float
    source: str
    is_ended: bool = False
    next_send_at: float | None = None

    @property
    def is_told(self) -> bool:
        """Tell whether other hosts may not know it from the store."""
        return self.source in ('answer', 'peer')


class ColdRunners:
    """The cold runners known to one host, and its own part of each.

    bound is None where the function is off.
    """

    def __init__(self, find_spec: FindSpec, fleet: _fleet.Fleet) -> None:
        """Start without cold runners, as the only host."""
        self.find_spec = find_spec
        self.fleet = fleet
        self.bound: ColdBound | None = None
        self.self_name = ''
        self.holders: Holders = lambda runner, most: [self.self_name]
        self.records: dict[str, _Record] = {}
        self.changes: list[ColdChange] = []
        self.next_spread_at = 0.0
        self.listed_at = 0.0

    def _spec(self, runner: _fleet.FleetRunner) -> _routes.ServiceSpec | None:
        """Return a runner's service if its cold runners are limited."""
        if self.bound is None:
            return None
        spec = self.find_spec(runner.entry.runner.service)
        return None if spec is None or spec.cold_per_s <= 0.0 else spec

    # Reports.

    def on_entry(
        self,
        runner: _fleet.FleetRunner,
        before: _fleet.RunnerEntry | None,
        now: float,
        wall: float,
    ) -> None:
        """Record what a runner's entry says; before is the last one of it.

        An entry that did not change may be old, as may all entries that a
        host reads as it starts; a start that was just now counts always.
        """
        spec, entry = self._spec(runner), runner.entry
        if spec is None:
            return
        age_s = wall - entry.started_ms / 1000.0
        is_near = abs(age_s) < spec.cold_start_s
        is_start = before is None or before.started_ms != entry.started_ms
        left_s = entry.cold_remaining_s or 0.0
        is_listing = now < self.listed_at + LISTING_S
        if before is not None and not is_start:
            is_same = before.cold_remaining_s == entry.cold_remaining_s
            left_s = 0.0 if is_same else left_s
        elif is_listing and entry.started_ms and not is_near:
            left_s = 0.0
        if is_start and is_near:
            left_s = max(left_s, spec.cold_start_s - max(age_s, 0.0))
        if left_s > 0.0:
            self._begin(runner, spec, left_s, now, 'entry')

    def on_answer(
        self,
        runner: _fleet.FleetRunner,
        remaining_s: float | None,
        sent_at: float,
        now: float,
    ) -> None:
        """Record the cold time that a runner's answer names, if any.

        0 ends it, unless the request was sent before the cold time was
        reported: the answer may have begun before.
        """
        spec = self._spec(runner)
        if spec is None or remaining_s is None:
            return
        if remaining_s > 0.0:
            self._begin(runner, spec, remaining_s, now, 'answer')
            return
        known = self._find(runner)
        if known is None or known.is_ended or sent_at < known.observed_at:
            return
        self._put(runner.name, self._ended(known, now, 'answer'), now)

    def on_domain_returned(self, domain: str, now: float) -> None:
        """Begin a cold time for the runners of a domain that gets work."""
        for runner in self.fleet.runners.values():
            spec = self._spec(runner)
            is_there = runner.entry.runner.failure_domain == domain
            if spec is not None and is_there:
                self._begin(runner, spec, spec.cold_start_s, now, 'evacuation')

    def _begin(
        self,
        runner: _fleet.FleetRunner,
        spec: _routes.ServiceSpec,
        left_s: float,
        now: float,
        source: str,
    ) -> None:
        until = now + min(left_s, spec.cold_start_s)
        record = _Record(runner.entry.started_ms, until, now, source)
        if not self.is_cold(runner, now) and (
            self.self_name in self._holders(runner)
        ):
            # No holder has sent before.
            record.next_send_at = now
        self._put(runner.name, record, now)

    def _ended(self, known: _Record, at: float, source: str) -> _Record:
        return _Record(known.started_ms, at, at, source, is_ended=True)

    def _put(self, name: str, latest: _Record, now: float) -> bool:
        """Replace what is known of a runner; return whether it is news."""
        known = self.records.get(name)
        was_cold = known is not None and now < known.until
        if (
            known is not None
            and was_cold
            and known.started_ms == latest.started_ms
        ):
            latest.next_send_at = known.next_send_at
        self.records[name] = latest
        is_cold = now < latest.until
        is_news = is_cold != was_cold or (
            known is not None
            and is_cold
            and abs(latest.until - known.until) > SAME_END_S
        )
        if is_cold != was_cold:
            left_s = max(latest.until - now, 0.0)
            self.changes.append(ColdChange(name, left_s, latest.source))
        if is_news and latest.is_told:
            self.next_spread_at = 0.0
        return is_news

    def _find(self, runner: _fleet.FleetRunner) -> _Record | None:
        known = self.records.get(runner.name)
        if known is None or known.started_ms != runner.entry.started_ms:
            return None
        return known

    def remove_expired(self, now: float) -> None:
        """Forget cold times that are over, and reports that are old."""
        for name, record in list(self.records.items()):
            runner = self.fleet.runners.get(name)
            spec = None if runner is None else self._spec(runner)
            kept_s = 0.0 if spec is None else spec.cold_start_s
            if record.is_ended and now < record.observed_at + kept_s:
                continue
            if record.is_ended or now >= record.until:
                del self.records[name]
                if not record.is_ended:
                    self.changes.append(ColdChange(name, 0.0, 'time'))

    def take_changes(self) -> list[ColdChange]:
        """Return the changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    # Sends.

    def left_s(self, runner: _fleet.FleetRunner, now: float) -> float:
        """Return how long a runner will still be cold."""
        if not self.records:
            return 0.0
        known = self._find(runner)
        if known is None or now >= known.until or self._spec(runner) is None:
            return 0.0
        return known.until - now

    def is_cold(self, runner: _fleet.FleetRunner, now: float) -> bool:
        """Tell whether few requests go to a runner."""
        return self.left_s(runner, now) > 0.0

    def cold_count(self, now: float) -> int:
        """Return how many known runners are cold."""
        found = [self.fleet.runners.get(name) for name in self.records]
        return sum(r is not None and self.is_cold(r, now) for r in found)

    def wait_s(self, runner: _fleet.FleetRunner, now: float) -> float | None:
        """Return the time until this host may send to a runner.

        None means that only other hosts do so while it is cold.
        """
        left_s = self.left_s(runner, now)
        if not left_s:
            return 0.0
        record = self.records[runner.name]
        senders = self._holders(runner)
        if self.self_name not in senders:
            record.next_send_at = None
            return None
        if record.next_send_at is None:
            # The holder before may have sent just now.
            record.next_send_at = now + self._interval_s(runner, senders)
        return min(max(record.next_send_at - now, 0.0), left_s)

    def senders(
        self, runner: _fleet.FleetRunner, now: float
    ) -> Collection[str]:
        """Return the hosts that alone send to a runner, none if it is warm."""
        return self._holders(runner) if self.is_cold(runner, now) else ()

    def _holders(self, runner: _fleet.FleetRunner) -> Collection[str]:
        return self.holders(runner, self._max_holders(runner))

    def _max_holders(self, runner: _fleet.FleetRunner) -> int:
        spec = self._spec(runner)
        is_stage = spec is not None and spec.batch_limits is not None
        return 1 if is_stage else HOLDERS

    def _interval_s(
        self, runner: _fleet.FleetRunner, senders: Collection[str]
    ) -> float:
        """Return the time between two requests of one holder."""
        spec, bound = self._spec(runner), self.bound
        if spec is None or bound is None:
            return 0.0
        rate_per_s = bound.rate_per_s(
            spec.cold_per_s, self._max_holders(runner)
        )
        return max(len(senders), 1) / rate_per_s

    def on_send(self, runner: _fleet.FleetRunner, now: float) -> None:
        """Record a request to a runner."""
        if self.is_cold(runner, now):
            interval_s = self._interval_s(runner, self._holders(runner))
            self.records[runner.name].next_send_at = now + interval_s

    # Other hosts.

    def to_spread(self, now: float) -> list[model.ColdRunner]:
        """Return what to tell other hosts now, the latest first."""
        if not self.records or now < self.next_spread_at:
            return []
        self.next_spread_at = now + SPREAD_INTERVAL_S
        told = [
            model.ColdRunner(
                name,
                record.started_ms,
                0.0 if record.is_ended else record.until - now,
                now - record.observed_at,
            )
            for name, record in self.records.items()
            if record.is_told and (record.is_ended or now < record.until)
        ]
        return sorted(told, key=lambda item: item.age_s)[:MAX_SPREAD_RUNNERS]

    def merge(self, told: Iterable[model.ColdRunner], now: float) -> None:
        """Take over what another host knows better."""
        for item in told:
            runner = self.fleet.runners.get(item.runner)
            spec = None if runner is None else self._spec(runner)
            if runner is None or spec is None:
                continue
            if runner.entry.started_ms != item.started_ms:
                continue
            self._merge_one(runner, spec, item, now)

    def _merge_one(
        self,
        runner: _fleet.FleetRunner,
        spec: _routes.ServiceSpec,
        item: model.ColdRunner,
        now: float,
    ) -> None:
        observed_at = now - max(item.age_s, 0.0)
        known = self._find(runner)
        if known is not None and observed_at <= known.observed_at:
            return
        is_ended = item.left_s <= 0.0
        until = observed_at
        if not is_ended:
            until = min(now + item.left_s, observed_at + spec.cold_start_s)
        record = _Record(item.started_ms, until, observed_at, 'peer', is_ended)
        if is_ended and now >= observed_at + spec.cold_start_s:
            return
        self._put(runner.name, record, now)
