"""Era of the store, which rises when the store returns as an older copy.

Load pattern: a store that was away comes back without its last seconds.
Whatever was read or written in an earlier era may be gone, and revisions
are given out again, so that each part that keeps a version compares the era
it last handled with the latest one.
"""

from collections.abc import Iterable

import msgspec

import ragwort_model as model


class StoreEra(msgspec.Struct):
    """The latest era of the store, heard of from the store or from a peer.

    seen_at is when this host first heard of it, in monotonic seconds; the
    era itself may have begun earlier. wall_offset_s is the time of day less
    the monotonic time; who keeps it up to date corrects a step of the clock.
    """

    current: int = 0
    seen_at: float = 0.0
    wall_offset_s: float = 0.0

    @property
    def seen_wall(self) -> float:
        """Return the time of day at which the era was first heard of."""
        return self.seen_at + self.wall_offset_s

    def observe(self, era: int, now: float) -> bool:
        """Record an era; return whether it is a later one."""
        if era <= self.current:
            return False
        self.current = era
        self.seen_at = now
        return True


def latest_era(objects: Iterable[model.StoredObject]) -> int:
    """Return the latest era among the versions of objects, 0 without any."""
    return max((model.era_of(item.version) for item in objects), default=0)
