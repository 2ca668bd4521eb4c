"""Requests, and parts of prompts, that crash runners ("query of death").

Load pattern: one request comes again and again, or requests with one part in
common do, and each crashes the runner that begins to answer it; repeats and
new requests carry it to the next runner. A runner's crash speaks against all
suspects that it was to answer and had not begun to: the requests themselves
and the parts of their prompts. An answer that begins, anywhere, clears its
suspects of the crashes before it: sound ones are cleared again and again. The
part with the most crashes explains them, and they speak against no other
suspect any more. Hosts tell each other of crashes and of suspects that are
cleared, and each judges by what it knows.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import math
from typing import Any

import msgspec

import ragwort_model as model
from ragwort_relay import _crash_records
from ragwort_relay import _fleet
from ragwort_relay import _rumours
from ragwort_relay import _suspects

# Crashes after which a suspect is kept from runners. The first part is in many
# prompts, and so in many that crashed for another one; so is a request that
# has been answered and comes again often.
MIN_CRASHES = 3
MIN_CRASHES_COMMON = 5
# Crashes within this time count once for a suspect that has been answered: a
# failure domain may go down as a whole, and takes some time to.
MOMENT_S = 0.3
# Time from a broken call to the proof that its runner has ended.
BREAK_TTL_S = 6.0
# A suspect that is not asked for is forgotten after this time.
EVIDENCE_TTL_S = 3600.0
MAX_ANSWERED_PARTS = 8192
MAX_ANSWERED_REQUESTS = 8192
MAX_RECORDS = 512
MAX_CRASHES_PER_SUSPECT = 16
MAX_ENDED = 512

SuspectKey = _crash_records.SuspectKey
Incarnation = _crash_records.Incarnation


class _Break(msgspec.Struct):
    """A call that broke before its answer began."""

    service: str
    suspects: _suspects.Suspects
    sent_at: float
    at: float


class CrashEvidence:
    """What one host knows of suspects and crashes."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.answered_parts = _crash_records.AnswerTimes(MAX_ANSWERED_PARTS)
        self.answered_requests = _crash_records.AnswerTimes(
            MAX_ANSWERED_REQUESTS
        )
        self.records: collections.OrderedDict[
            SuspectKey, _crash_records.CrashRecord
        ] = collections.OrderedDict()
        self.breaks: dict[Incarnation, list[_Break]] = {}
        self.ended: collections.OrderedDict[Incarnation, float] = (
            collections.OrderedDict()
        )
        # Crashes that a refused part explains.
        self.explained: collections.OrderedDict[Incarnation, None] = (
            collections.OrderedDict()
        )
        self.crash_rumours: _rumours.Rumours[
            tuple[SuspectKey, bool, Incarnation, float]
        ] = _rumours.Rumours()
        self.cleared_rumours: _rumours.Rumours[SuspectKey] = _rumours.Rumours()

    def set_host_count(self, count: int) -> None:
        """Set how many hosts there are to tell."""
        self.crash_rumours.host_count = count
        self.cleared_rumours.host_count = count

    def _answered(self, key: SuspectKey) -> _crash_records.AnswerTimes:
        if _suspects.is_request(key[1]):
            return self.answered_requests
        return self.answered_parts

    def answered_at(self, key: SuspectKey) -> float:
        """Return when the latest answer began; minus infinity for none."""
        return self._answered(key).get(key)

    def on_began(
        self, service: str, suspects: _suspects.Suspects, now: float
    ) -> list[str]:
        """Clear the suspects of an answer; return those with crashes."""
        return [
            name
            for name in (*suspects.parts, suspects.request)
            if self._clear((service, name), now, now)
        ]

    def _clear(self, key: SuspectKey, began_at: float, now: float) -> bool:
        """Drop the crashes before an answer; tell whether there were any."""
        self._answered(key).add(key, began_at)
        record = self.records.get(key)
        if record is None:
            return False
        for incarnation, crash in list(record.crashes.items()):
            if crash.at <= began_at:
                del record.crashes[incarnation]
        if record.crashes:
            return False
        del self.records[key]
        self.cleared_rumours.add(key, began_at, now)
        return True

    def on_broken(
        self,
        runner: _fleet.FleetRunner,
        suspects: _suspects.Suspects,
        sent_at: float,
        now: float,
    ) -> list[model.SuspectCrash]:
        """Record a call that broke, or got no answer, before one began.

        Return the news if the runner is known to have ended. One that leaves
        may end with calls; that says nothing of them.
        """
        if runner.entry.runner.state == model.HostState.LEAVING:
            return []
        incarnation = (runner.name, runner.entry.started_ms)
        self._drop_old_breaks(now)
        found = self.breaks.setdefault(incarnation, [])
        service = runner.entry.runner.service
        found.append(_Break(service, suspects, sent_at, now))
        ended_at = self.ended.get(incarnation)
        if ended_at is not None and now < ended_at + BREAK_TTL_S:
            return self.on_ended(incarnation, now)
        return []

    def _drop_old_breaks(self, now: float) -> None:
        for incarnation, found in list(self.breaks.items()):
            if found[-1].at + BREAK_TTL_S <= now:
                del self.breaks[incarnation]

    def on_ended(
        self, incarnation: Incarnation, now: float
    ) -> list[model.SuspectCrash]:
        """Record the end of a runner's incarnation; return the news."""
        self.ended.setdefault(incarnation, now)
        _keep_latest(self.ended, MAX_ENDED)
        news: list[model.SuspectCrash] = []
        for broken in self.breaks.pop(incarnation, []):
            if now >= broken.at + BREAK_TTL_S:
                continue
            crash = _crash_records.Crash(broken.sent_at, broken.at)
            for name in broken.suspects.names():
                key = (broken.service, name)
                is_first = broken.suspects.is_first_part(name)
                news += self._crash(key, is_first, incarnation, crash, now)
        self._judge(now)
        return news

    def _crash(
        self,
        key: SuspectKey,
        is_first: bool,
        incarnation: Incarnation,
        crash: _crash_records.Crash,
        now: float,
    ) -> Iterator[model.SuspectCrash]:
        """Add evidence; yield it if it is news."""
        if incarnation in self.explained:
            return
        answered_at = self.answered_at(key)
        if crash.at <= answered_at:
            self.cleared_rumours.add(key, answered_at, now)
            return
        record = self.records.setdefault(
            key, _crash_records.CrashRecord(now, is_first)
        )
        self.records.move_to_end(key)
        if incarnation in record.crashes:
            return
        if len(record.crashes) >= MAX_CRASHES_PER_SUSPECT:
            return
        record.crashes[incarnation] = crash
        record.used_at = now
        while len(self.records) > MAX_RECORDS:
            self._drop_record()
        self._tell(key, record, incarnation, now)
        yield _told(key, record, incarnation, now)

    def _tell(
        self,
        key: SuspectKey,
        record: _crash_records.CrashRecord,
        incarnation: Incarnation,
        now: float,
    ) -> None:
        crash = record.crashes[incarnation]
        told = (key, record.is_first, incarnation, crash.at - crash.sent_at)
        self.crash_rumours.add(told, crash.at, now)

    def _drop_record(self) -> None:
        """Drop the oldest record, one that is not refused if there is any."""
        for key, record in self.records.items():
            if not record.is_refused:
                del self.records[key]
                return
        self.records.popitem(last=False)

    def _is_convincing(
        self, key: SuspectKey, record: _crash_records.CrashRecord
    ) -> bool:
        """Tell whether there are enough crashes to refuse a suspect."""
        is_request = _suspects.is_request(key[1])
        if self.answered_at(key) > -math.inf or record.is_first:
            is_common = is_request or record.is_first
            least = MIN_CRASHES_COMMON if is_common else MIN_CRASHES
            return record.in_turn(MOMENT_S) >= least
        if record.in_turn() >= MIN_CRASHES:
            return True
        # Copies of what was never answered may crash runners at once.
        least = MIN_CRASHES if is_request else MIN_CRASHES_COMMON
        return len(record.crashes) >= least

    def _judge(self, now: float) -> None:
        """Refuse requests with enough crashes, then parts, one by one."""
        while requests := self._convincing(are_requests=True):
            self._refuse(max(requests, key=self._likelihood), now)
        while parts := self._convincing(are_requests=False):
            key = max(parts, key=self._likelihood)
            self._refuse(key, now)
            self._drop_explained(key)

    def _convincing(self, are_requests: bool) -> list[SuspectKey]:
        """Return the suspects of a kind that are to be refused."""
        return [
            key
            for key, record in self.records.items()
            if not record.is_refused
            and _suspects.is_request(key[1]) == are_requests
            and self._is_convincing(key, record)
            and not self._is_explained(key, record)
        ]

    def _is_explained(
        self, key: SuspectKey, record: _crash_records.CrashRecord
    ) -> bool:
        """Tell whether a refused request was in all crashes of a suspect.

        If the suspect is a request as well, the refused one must have been in
        more crashes: two requests that shared all can't be told apart.
        """
        is_request = _suspects.is_request(key[1])
        return any(
            record.crashes.keys() <= other.crashes.keys()
            and not (is_request and len(record.crashes) == len(other.crashes))
            for (_, name), other in self.records.items()
            if other.is_refused and _suspects.is_request(name)
        )

    def _likelihood(
        self, key: SuspectKey
    ) -> tuple[int, int, float, SuspectKey]:
        """Order suspects by how many crashes they would explain."""
        record = self.records[key]
        return (
            record.in_turn(),
            len(record.crashes),
            -self.answered_at(key),
            key,
        )

    def _refuse(self, key: SuspectKey, now: float) -> None:
        record = self.records[key]
        record.is_refused = True
        for incarnation in record.crashes:
            # Hosts that started since may lack some of the evidence.
            self._tell(key, record, incarnation, now)

    def _drop_explained(self, culprit: SuspectKey) -> None:
        """Hold the crashes under a refused part against no other suspect."""
        explained = self.records[culprit].crashes
        for incarnation in explained:
            self.explained[incarnation] = None
        _keep_latest(self.explained, MAX_ENDED)
        for key, record in list(self.records.items()):
            if key == culprit or record.is_refused:
                continue
            for incarnation in explained:
                record.crashes.pop(incarnation, None)
            if not record.crashes:
                del self.records[key]

    def is_doubtful(self, service: str, suspects: _suspects.Suspects) -> bool:
        """Tell whether a request should not be repeated after a crash.

        That is so if a suspect has crashed another runner before, or never
        led to an answer.
        """
        for name in suspects.names():
            key = (service, name)
            record = self.records.get(key)
            if self.answered_at(key) == -math.inf:
                return True
            if record is not None and record.in_turn() > 1:
                return True
        return False

    def refused_suspect(
        self, service: str, suspects: _suspects.Suspects, now: float
    ) -> str | None:
        """Return a suspect that keeps a request from runners, or None."""
        for name in suspects.names():
            record = self.records.get((service, name))
            if record is None:
                continue
            if now >= record.used_at + EVIDENCE_TTL_S:
                del self.records[service, name]
            elif record.is_refused:
                record.used_at = now
                return name
        return None

    def refused(self) -> list[SuspectKey]:
        """Return the services and suspects that are kept from runners."""
        return [k for k, record in self.records.items() if record.is_refused]

    def on_stored(self, stored: Iterable[SuspectKey], now: float) -> None:
        """Refuse the suspects that the store holds."""
        for key in stored:
            if self.answered_at(key) > -math.inf:
                continue
            record = self.records.setdefault(
                key, _crash_records.CrashRecord(now)
            )
            record.is_refused = True

    def forget_all_but(self, stored: Iterable[SuspectKey]) -> None:
        """Forget the refused suspects that an operator has removed."""
        keys = set(stored)
        for key in self.refused():
            if key not in keys:
                del self.records[key]

    def merge(
        self, told: model.CrashNews, now: float
    ) -> list[model.SuspectCrash]:
        """Take over what another host knows; return the crashes it adds."""
        for item in told.cleared:
            key = (item.service_name, item.suspect)
            self._clear(key, now - item.age_s, now)
        news: list[model.SuspectCrash] = []
        for crash in told.crashes:
            at = now - crash.age_s
            news += self._crash(
                (crash.service_name, crash.suspect),
                crash.is_first,
                (crash.runner, crash.started_ms),
                _crash_records.Crash(at - crash.ran_s, at),
                now,
            )
        self._judge(now)
        return news

    def to_spread(self, now: float) -> model.CrashNews:
        """Return what to tell some other hosts now."""
        return model.CrashNews(
            [
                model.SuspectCrash(*key, is_first, *incarnation, age_s, ran_s)
                for (key, is_first, incarnation, ran_s), age_s in (
                    self.crash_rumours.take(now)
                )
            ],
            [
                model.ClearedSuspect(*key, age_s)
                for key, age_s in self.cleared_rumours.take(now)
            ],
        )

    def for_new_host(self, now: float) -> model.CrashNews:
        """Return the evidence, that on refused suspects first."""
        crashes = [
            _told(key, record, incarnation, now)
            for key, record in sorted(
                self.records.items(), key=lambda item: not item[1].is_refused
            )
            for incarnation in record.crashes
        ]
        return model.CrashNews(crashes[: 4 * _rumours.MAX_TOLD], [])


def _told(
    key: SuspectKey,
    record: _crash_records.CrashRecord,
    incarnation: Incarnation,
    now: float,
) -> model.SuspectCrash:
    crash = record.crashes[incarnation]
    return model.SuspectCrash(
        *key,
        record.is_first,
        *incarnation,
        now - crash.at,
        crash.at - crash.sent_at,
    )


def _keep_latest(
    known: 'collections.OrderedDict[Any, Any]', most: int
) -> None:
    while len(known) > most:
        known.popitem(last=False)


def sound_news(told: model.CrashNews) -> model.CrashNews:
    """Return the items of another host's news that may be evidence."""
    return model.CrashNews(
        [
            item
            for item in told.crashes
            if item.suspect
            and item.runner
            and item.started_ms >= 0
            and 0.0 <= item.age_s < EVIDENCE_TTL_S
            and 0.0 <= item.ran_s < EVIDENCE_TTL_S
        ],
        [i for i in told.cleared if 0.0 <= i.age_s < EVIDENCE_TTL_S],
    )
