"""Parts of prompts that crash runners ("query of death").

Load pattern: requests with one part in common crash each runner that begins
to answer them; repeats and new requests carry the part to the next runner. A
runner's crash speaks against all parts of the prompts that it was to answer
and had not begun to. An answer that begins, anywhere, clears the parts of its
prompt of the crashes before it: sound parts are cleared again and again. The
part with the most crashes explains them, and they speak against no other part
any more. Hosts tell each other of crashes and of parts that are cleared, and
each judges by what it knows.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import math
from typing import Any

import ragwort_model as model
from ragwort_relay import _fleet
from ragwort_relay import _rumours
from ragwort_relay import _sharing

# Crashes at different moments after which a part is kept from runners. The
# first part is in many prompts, and so in many that crashed for another one.
MIN_CRASHES = 3
MIN_CRASHES_FIRST_PART = 5
# Crashes within this time count once: a failure domain may go down as a whole.
MOMENT_S = 0.3
# Time from a broken call to the proof that its runner has ended.
BREAK_TTL_S = 6.0
# A part that is not asked for is forgotten after this time.
EVIDENCE_TTL_S = 3600.0
MAX_BEGAN = 8192
MAX_RECORDS = 512
MAX_CRASHES_PER_PART = 16
MAX_ENDED = 512

PartKey = tuple[str, str]
Incarnation = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Break:
    """A call that broke before its answer began."""

    service: str
    parts: list[str]
    at: float


@dataclasses.dataclass(slots=True)
class _Record:
    """The crashes under a part since an answer began, and its last use."""

    used_at: float
    is_first: bool = False
    is_refused: bool = False
    crashes: dict[Incarnation, float] = dataclasses.field(default_factory=dict)

    def moments(self) -> int:
        """Return how many crashes there were, those at once counted once."""
        count, last_at = 0, -math.inf
        for at in sorted(self.crashes.values()):
            if at > last_at + MOMENT_S:
                count += 1
                last_at = at
        return count

    @property
    def is_convincing(self) -> bool:
        """Tell whether there are enough crashes to refuse the part."""
        least = MIN_CRASHES_FIRST_PART if self.is_first else MIN_CRASHES
        return self.moments() >= least


class CrashEvidence:
    """What one host knows of parts of prompts and crashes."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.began_at: collections.OrderedDict[PartKey, float] = (
            collections.OrderedDict()
        )
        self.records: collections.OrderedDict[PartKey, _Record] = (
            collections.OrderedDict()
        )
        self.breaks: dict[Incarnation, list[_Break]] = {}
        self.ended: collections.OrderedDict[Incarnation, float] = (
            collections.OrderedDict()
        )
        # Crashes that a refused part explains.
        self.explained: collections.OrderedDict[Incarnation, None] = (
            collections.OrderedDict()
        )
        self.crash_rumours: _rumours.Rumours[
            tuple[PartKey, bool, Incarnation]
        ] = _rumours.Rumours()
        self.cleared_rumours: _rumours.Rumours[PartKey] = _rumours.Rumours()

    def set_host_count(self, count: int) -> None:
        """Set how many hosts there are to tell."""
        self.crash_rumours.host_count = count
        self.cleared_rumours.host_count = count

    def on_began(
        self, service: str, prompt: Sequence[_sharing.PromptPart], now: float
    ) -> list[str]:
        """Clear the parts of an answer that began; return former suspects."""
        return [
            part.part_id
            for part in prompt
            if self._clear((service, part.part_id), now, now)
        ]

    def _clear(self, key: PartKey, began_at: float, now: float) -> bool:
        """Drop the crashes before an answer; tell whether there were any."""
        self.began_at[key] = max(began_at, self.began_at.get(key, -math.inf))
        self.began_at.move_to_end(key)
        _keep_latest(self.began_at, MAX_BEGAN)
        record = self.records.get(key)
        if record is None:
            return False
        for incarnation, at in list(record.crashes.items()):
            if at <= began_at:
                del record.crashes[incarnation]
        if record.crashes:
            return False
        del self.records[key]
        self.cleared_rumours.add(key, began_at, now)
        return True

    def on_broken(
        self,
        runner: _fleet.FleetRunner,
        prompt: Sequence[_sharing.PromptPart],
        now: float,
    ) -> list[model.PartCrash]:
        """Record a call that broke before its answer began.

        Return the news if the runner is known to have ended. One that leaves
        may end with calls; that says nothing of them.
        """
        if runner.entry.runner.state == model.HostState.LEAVING:
            return []
        # The last part is the request's own.
        parts = [part.part_id for part in prompt[:-1]]
        if not parts:
            return []
        incarnation = (runner.name, runner.entry.started_ms)
        self._drop_old_breaks(now)
        found = self.breaks.setdefault(incarnation, [])
        found.append(_Break(runner.entry.runner.service, parts, now))
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
    ) -> list[model.PartCrash]:
        """Record the end of a runner's incarnation; return the news."""
        self.ended.setdefault(incarnation, now)
        _keep_latest(self.ended, MAX_ENDED)
        news: list[model.PartCrash] = []
        for broken in self.breaks.pop(incarnation, []):
            if now >= broken.at + BREAK_TTL_S:
                continue
            for index, part in enumerate(broken.parts):
                key = (broken.service, part)
                news += self._crash(
                    key, index == 0, incarnation, broken.at, now
                )
        self._judge(now)
        return news

    def _crash(
        self,
        key: PartKey,
        is_first: bool,
        incarnation: Incarnation,
        at: float,
        now: float,
    ) -> Iterator[model.PartCrash]:
        """Add evidence; yield it if it is news."""
        if incarnation in self.explained:
            return
        began_at = self.began_at.get(key, -math.inf)
        if at <= began_at:
            self.cleared_rumours.add(key, began_at, now)
            return
        record = self.records.setdefault(key, _Record(now, is_first))
        self.records.move_to_end(key)
        if incarnation in record.crashes:
            return
        if len(record.crashes) >= MAX_CRASHES_PER_PART:
            return
        record.crashes[incarnation] = at
        record.used_at = now
        while len(self.records) > MAX_RECORDS:
            self._drop_record()
        self.crash_rumours.add((key, is_first, incarnation), at, now)
        yield _told(key, record, incarnation, now - at)

    def _drop_record(self) -> None:
        """Drop the oldest record, one that is not refused if there is any."""
        for key, record in self.records.items():
            if not record.is_refused:
                del self.records[key]
                return
        self.records.popitem(last=False)

    def _judge(self, now: float) -> None:
        """Refuse the parts that explain the most crashes, one by one."""
        while True:
            likely = [
                (record.moments(), -self.began_at.get(key, -math.inf), key)
                for key, record in self.records.items()
                if not record.is_refused and record.is_convincing
            ]
            if not likely:
                return
            key = max(likely)[2]
            record = self.records[key]
            record.is_refused = True
            for incarnation, at in record.crashes.items():
                self.explained[incarnation] = None
                # Hosts that started since may lack some of the evidence.
                told = (key, record.is_first, incarnation)
                self.crash_rumours.add(told, at, now)
            _keep_latest(self.explained, MAX_ENDED)
            self._drop_explained(key)

    def _drop_explained(self, culprit: PartKey) -> None:
        for key, record in list(self.records.items()):
            if key == culprit or record.is_refused:
                continue
            for incarnation in self.records[culprit].crashes:
                record.crashes.pop(incarnation, None)
            if not record.crashes:
                del self.records[key]

    def is_doubtful(
        self, service: str, prompt: Sequence[_sharing.PromptPart]
    ) -> bool:
        """Tell whether a request should not be repeated after a crash.

        That is so if a part has crashed two runners, or one and never led to
        an answer.
        """
        for part in prompt[:-1]:
            key = (service, part.part_id)
            record = self.records.get(key)
            if record is None:
                continue
            if record.moments() > 1 or key not in self.began_at:
                return True
        return False

    def refused_part(
        self,
        service: str,
        prompt: Sequence[_sharing.PromptPart],
        now: float,
    ) -> str | None:
        """Return a part that keeps a prompt from runners, None if none."""
        for part in prompt[:-1]:
            record = self.records.get((service, part.part_id))
            if record is None:
                continue
            if now >= record.used_at + EVIDENCE_TTL_S:
                del self.records[service, part.part_id]
            elif record.is_refused:
                record.used_at = now
                return part.part_id
        return None

    def refused(self) -> list[PartKey]:
        """Return the services and parts that are kept from runners."""
        return [k for k, record in self.records.items() if record.is_refused]

    def on_stored(self, stored: Iterable[PartKey], now: float) -> None:
        """Refuse the parts that the store holds."""
        for key in set(stored) - self.began_at.keys():
            record = self.records.setdefault(key, _Record(now))
            record.is_refused = True

    def forget_all_but(self, stored: Iterable[PartKey]) -> None:
        """Forget the refused parts that an operator has removed."""
        keys = set(stored)
        for key in self.refused():
            if key not in keys:
                del self.records[key]

    def merge(
        self, told: model.PartEvidence, now: float
    ) -> list[model.PartCrash]:
        """Take over what another host knows; return the crashes it adds."""
        for item in told.cleared:
            key = (item.service_name, item.part)
            self._clear(key, now - item.age_s, now)
        news = [
            crash
            for item in told.crashes
            for crash in self._crash(
                (item.service_name, item.part),
                item.is_first,
                (item.runner, item.started_ms),
                now - item.age_s,
                now,
            )
        ]
        self._judge(now)
        return news

    def to_spread(self, now: float) -> model.PartEvidence:
        """Return what to tell some other hosts now."""
        return model.PartEvidence(
            [
                model.PartCrash(*key, is_first, *incarnation, age_s)
                for (key, is_first, incarnation), age_s in (
                    self.crash_rumours.take(now)
                )
            ],
            [
                model.ClearedPart(*key, age_s)
                for key, age_s in self.cleared_rumours.take(now)
            ],
        )

    def for_new_host(self, now: float) -> model.PartEvidence:
        """Return the evidence, that on refused parts first."""
        crashes = [
            _told(key, record, incarnation, now - at)
            for key, record in sorted(
                self.records.items(), key=lambda item: not item[1].is_refused
            )
            for incarnation, at in record.crashes.items()
        ]
        return model.PartEvidence(crashes[: 4 * _rumours.MAX_TOLD], [])


def _told(
    key: PartKey, record: _Record, incarnation: Incarnation, age_s: float
) -> model.PartCrash:
    return model.PartCrash(*key, record.is_first, *incarnation, age_s)


def _keep_latest(
    known: 'collections.OrderedDict[Any, Any]', most: int
) -> None:
    while len(known) > most:
        known.popitem(last=False)


def is_sound_evidence(told: model.PartEvidence) -> bool:
    """Tell whether evidence from another host has the form of evidence."""
    return all(
        item.part
        and item.runner
        and item.started_ms >= 0
        and 0.0 <= item.age_s < EVIDENCE_TTL_S
        for item in told.crashes
    ) and all(0.0 <= item.age_s < EVIDENCE_TTL_S for item in told.cleared)
