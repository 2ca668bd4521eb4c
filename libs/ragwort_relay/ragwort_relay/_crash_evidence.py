"""Parts of prompts that crash runners ("query of death").

Load pattern: requests with one part in common crash each runner that begins
to answer them; repeats and new requests carry the part to the next runner. A
runner's crash speaks against all parts of the prompts that it was to answer
and had not begun to. An answer that began clears the parts of its prompt,
wherever it began: popular parts are cleared at once, and only one that never
led to an answer stays under suspicion. Hosts tell each other of crashes and
of parts that are cleared, and each judges by what it knows.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

import ragwort_model as model
from ragwort_relay import _fleet
from ragwort_relay import _rumours
from ragwort_relay import _sharing

# Crashes at different moments after which a part is kept from runners.
MIN_CRASHES = 3
# Crashes within this time count once: a failure domain may go down as a whole.
MOMENT_S = 0.3
# Time from a broken call to the proof that its runner has ended.
BREAK_TTL_S = 6.0
# A part that is not asked for is forgotten after this time.
EVIDENCE_TTL_S = 3600.0
MAX_CLEARED = 8192
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
    """The crashes under a part, by incarnation, and its last use."""

    used_at: float
    crashes: dict[Incarnation, float] = dataclasses.field(default_factory=dict)

    def moments(self) -> int:
        """Return how many crashes there were, those at once counted once."""
        count, last_at = 0, float('-inf')
        for at in sorted(self.crashes.values()):
            if at > last_at + MOMENT_S:
                count += 1
                last_at = at
        return count

    @property
    def is_refused(self) -> bool:
        """Tell whether the part is kept from runners."""
        return self.moments() >= MIN_CRASHES


class CrashEvidence:
    """What one host knows of parts of prompts and crashes."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.cleared: collections.OrderedDict[PartKey, None] = (
            collections.OrderedDict()
        )
        self.records: collections.OrderedDict[PartKey, _Record] = (
            collections.OrderedDict()
        )
        self.breaks: dict[Incarnation, list[_Break]] = {}
        self.ended: collections.OrderedDict[Incarnation, float] = (
            collections.OrderedDict()
        )
        self.crash_rumours: _rumours.Rumours[tuple[PartKey, Incarnation]] = (
            _rumours.Rumours()
        )
        self.cleared_rumours: _rumours.Rumours[PartKey] = _rumours.Rumours()

    def set_host_count(self, count: int) -> None:
        """Set how many hosts there are to tell."""
        self.crash_rumours.host_count = count
        self.cleared_rumours.host_count = count

    def suspects(
        self, service: str, prompt: Sequence[_sharing.PromptPart]
    ) -> list[str]:
        """Return the parts of a prompt that may crash runners.

        The first part is that of all requests of a route, the last one the
        request's own: neither is ever a suspect.
        """
        return [
            part.part_id
            for part in prompt[1:-1]
            if (service, part.part_id) not in self.cleared
        ]

    def on_began(
        self, service: str, prompt: Sequence[_sharing.PromptPart], now: float
    ) -> list[str]:
        """Clear the parts of an answer that began; return former suspects."""
        return [
            part.part_id
            for part in prompt
            if self._clear((service, part.part_id), now)
        ]

    def _clear(self, key: PartKey, now: float) -> bool:
        self.cleared[key] = None
        self.cleared.move_to_end(key)
        while len(self.cleared) > MAX_CLEARED:
            self.cleared.popitem(last=False)
        if self.records.pop(key, None) is None:
            return False
        self.cleared_rumours.add(key, now, now)
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
        service = runner.entry.runner.service
        parts = self.suspects(service, prompt)
        if not parts:
            return []
        incarnation = (runner.name, runner.entry.started_ms)
        self._drop_old_breaks(now)
        found = self.breaks.setdefault(incarnation, [])
        found.append(_Break(service, parts, now))
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
        while len(self.ended) > MAX_ENDED:
            self.ended.popitem(last=False)
        crashes = [
            self._crash((broken.service, part), incarnation, broken.at, now)
            for broken in self.breaks.pop(incarnation, [])
            if now < broken.at + BREAK_TTL_S
            for part in broken.parts
        ]
        return [crash for crash in crashes if crash is not None]

    def _crash(
        self, key: PartKey, incarnation: Incarnation, at: float, now: float
    ) -> model.PartCrash | None:
        """Add evidence; return it if it is news."""
        if key in self.cleared:
            self.cleared_rumours.add(key, now, now)
            return None
        record = self.records.setdefault(key, _Record(now))
        self.records.move_to_end(key)
        if incarnation in record.crashes:
            return None
        if len(record.crashes) >= MAX_CRASHES_PER_PART:
            return None
        record.crashes[incarnation] = at
        record.used_at = now
        while len(self.records) > MAX_RECORDS:
            self._drop_record()
        self.crash_rumours.add((key, incarnation), at, now)
        return _told(key, incarnation, now - at)

    def _drop_record(self) -> None:
        """Drop the oldest record, one with little evidence if there is any."""
        for key, record in self.records.items():
            if not record.is_refused:
                del self.records[key]
                return
        self.records.popitem(last=False)

    def refused_part(
        self,
        service: str,
        prompt: Sequence[_sharing.PromptPart],
        now: float,
    ) -> str | None:
        """Return a part that keeps a prompt from runners, None if none."""
        for part in prompt[1:-1]:
            record = self.records.get((service, part.part_id))
            if record is None:
                continue
            if now >= record.used_at + EVIDENCE_TTL_S:
                del self.records[service, part.part_id]
            elif record.is_refused:
                record.used_at = now
                return part.part_id
        return None

    def refused_count(self) -> int:
        """Return how many parts are kept from runners."""
        return sum(record.is_refused for record in self.records.values())

    def merge(
        self, told: model.PartEvidence, now: float
    ) -> list[model.PartCrash]:
        """Take over what another host knows; return the crashes it adds."""
        for item in told.cleared:
            self._clear((item.service_name, item.part), now)
        crashes = [
            self._crash(
                (item.service_name, item.part),
                (item.runner, item.started_ms),
                now - item.age_s,
                now,
            )
            for item in told.crashes
        ]
        return [crash for crash in crashes if crash is not None]

    def to_spread(self, now: float) -> model.PartEvidence:
        """Return what to tell some other hosts now."""
        return model.PartEvidence(
            [
                _told(key, incarnation, age_s)
                for (key, incarnation), age_s in self.crash_rumours.take(now)
            ],
            [
                model.ClearedPart(*key)
                for key, _ in self.cleared_rumours.take(now)
            ],
        )

    def for_new_host(self, now: float) -> model.PartEvidence:
        """Return the evidence against the parts that are refused."""
        crashes = [
            _told(key, incarnation, now - at)
            for key, record in self.records.items()
            if record.is_refused
            for incarnation, at in record.crashes.items()
        ]
        return model.PartEvidence(crashes[: 4 * _rumours.MAX_TOLD], [])


def _told(
    key: PartKey, incarnation: Incarnation, age_s: float
) -> model.PartCrash:
    return model.PartCrash(*key, *incarnation, age_s)


def is_sound_evidence(told: model.PartEvidence) -> bool:
    """Tell whether evidence from another host has the form of evidence."""
    crashes: Iterable[model.PartCrash] = told.crashes
    return all(
        item.part
        and item.runner
        and item.started_ms > 0
        and 0.0 <= item.age_s < EVIDENCE_TTL_S
        for item in crashes
    )
