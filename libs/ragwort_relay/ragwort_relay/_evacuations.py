"""Failure domains to whose runners an operator lets nothing more be sent.

Load pattern: a domain is about to lose power or is to be serviced. The
operator writes one object for it and deletes the object when it is over; only
the object's name counts.
"""

import msgspec

import ragwort_model as model

# The rest of an object's name is the failure domain.
EVACUATION_PREFIX = 'evacuations/'


class Evacuation(msgspec.Struct):
    """The evacuation of a failure domain.

    version is that of the stored object that was applied last; began_at is
    when this host first applied one. held_until is set while the object is
    missing only because the store returned as an older copy.
    """

    domain: str
    version: int
    began_at: float
    held_until: float | None = None


class EvacuationChange(msgspec.Struct, frozen=True):
    """The start or the end of an evacuation.

    age_s is how long this host had known of it; version is that of the
    object, or of its deletion.
    """

    domain: str
    is_active: bool
    version: int
    age_s: float


class Evacuations:
    """The evacuations in force, as the stored objects tell.

    bound_s is the time in which an evacuation has to be in force after the
    operator's write, None if this deployment has no evacuations. An operator
    whose write the store lost has as long to write it again.
    """

    def __init__(self, bound_s: float | None = None) -> None:
        """Start without evacuations.

        is_known is False while the stored objects have yet to be read; no
        runner may be used until then.
        """
        self.bound_s = bound_s
        self.is_known = bound_s is None
        self.active: dict[str, Evacuation] = {}
        self.ends: dict[str, float] = {}
        self.changes: list[EvacuationChange] = []

    def update(
        self, domain: str, version: int, is_stored: bool, now: float
    ) -> None:
        """Apply a newer version of a domain's object, or its deletion."""
        if self.bound_s is None:
            return
        known = self.active.get(domain)
        if is_stored:
            self._start(domain, version, now)
        elif known is not None and known.held_until is None:
            if model.era_of(version) > model.era_of(known.version):
                known.held_until = now + self.bound_s
            else:
                self._end(known, version, now, now)

    def _start(self, domain: str, version: int, now: float) -> None:
        known = self.active.get(domain)
        if known is not None:
            known.version = version
            known.held_until = None
            return
        self.active[domain] = Evacuation(domain, version, now)
        self.ends.pop(domain, None)
        self.changes.append(EvacuationChange(domain, True, version, 0.0))

    def _end(
        self, known: Evacuation, version: int, ended_at: float, now: float
    ) -> None:
        del self.active[known.domain]
        self.ends[known.domain] = ended_at
        age_s = now - known.began_at
        self.changes.append(
            EvacuationChange(known.domain, False, version, age_s)
        )

    def expire(self, now: float) -> None:
        """End the evacuations that nobody has written again in time."""
        for known in list(self.active.values()):
            if known.held_until is not None and now >= known.held_until:
                self._end(known, known.version, known.held_until, now)

    def is_evacuated(self, domain: str, now: float) -> bool:
        """Tell whether nothing may be sent to the domain's runners."""
        known = self.active.get(domain)
        if known is None:
            return False
        return known.held_until is None or now < known.held_until

    def ended_at(self, domain: str) -> float | None:
        """Return when a domain's last evacuation ended.

        None means that it has none that ended, or that one is in force.
        """
        return self.ends.get(domain)

    def take_changes(self) -> list[EvacuationChange]:
        """Return the starts and ends since the last call."""
        changes, self.changes = self.changes, []
        return changes
