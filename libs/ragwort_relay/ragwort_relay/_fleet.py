"""Runners as their entries and this host's own calls show them."""

import dataclasses

import ragwort_model as model
import ragwort_policy as policy

# How long a runner whose entry vanished right after an outage of the
# store may still be alive: living runners are listed again by then.
RETURN_GRACE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerEntry:
    """A runner's entry in the store.

    started_ms is the wall-clock start of this incarnation in milliseconds;
    slots is how many calls it works on at once.
    """

    runner: model.Runner
    started_ms: int
    slots: int


@dataclasses.dataclass(slots=True)
class FleetRunner:
    """An entry with what this host learned of the runner.

    unconfirmed_until is set while the entry is missing after an outage;
    slowness is the decayed ratio of work time to the usual time.
    """

    entry: RunnerEntry
    state: policy.RunnerState
    unconfirmed_until: float | None = None
    is_misdirected: bool = False
    slowness: float = 1.0

    @property
    def name(self) -> str:
        """Return the runner's name."""
        return self.entry.runner.name

    @property
    def address(self) -> str:
        """Return the runner's IP number and port."""
        return self.entry.runner.address

    def is_usable(self, now: float) -> bool:
        """Tell whether new work may go to the runner."""
        if self.entry.runner.state == model.HostState.LEAVING:
            return False
        return not self.is_misdirected and now >= self.state.backoff_until


class Fleet:
    """All runners, by service."""

    def __init__(self) -> None:
        """Start without runners."""
        self.runners: dict[str, FleetRunner] = {}
        self.store_recovered_at: float | None = None

    def on_store_recovered(self, now: float) -> None:
        """Note that the store answers again after an outage."""
        self.store_recovered_at = now

    def update(self, name: str, entry: RunnerEntry | None, now: float) -> None:
        """Take an entry, or None where it was removed."""
        known = self.runners.get(name)
        if entry is None:
            if known is not None:
                self._remove(known, now)
            return
        if known is None or known.entry.started_ms != entry.started_ms:
            state = policy.RunnerState(entry.runner)
            self.runners[name] = FleetRunner(entry, state)
            return
        if known.address != entry.runner.address:
            known.is_misdirected = False
        known.entry = entry
        known.state.runner = entry.runner
        known.unconfirmed_until = None

    def _remove(self, known: FleetRunner, now: float) -> None:
        back = self.store_recovered_at
        if back is not None and now < back + RETURN_GRACE_S:
            known.unconfirmed_until = back + RETURN_GRACE_S
            return
        del self.runners[known.name]

    def remove_expired(self, now: float) -> None:
        """Forget runners whose entries did not come back in time."""
        for runner in list(self.runners.values()):
            until = runner.unconfirmed_until
            if until is not None and now >= until:
                del self.runners[runner.name]

    def usable(self, service: str, now: float) -> list[FleetRunner]:
        """Return a service's runners that may get work, sound ones first."""
        found = [
            runner
            for runner in self.runners.values()
            if runner.entry.runner.service == service and runner.is_usable(now)
        ]
        sound = [r for r in found if r.unconfirmed_until is None]
        return sound or found

    def live_runners(self, service: str) -> list[FleetRunner]:
        """Return all runners of a service that are not leaving."""
        return [
            runner
            for runner in self.runners.values()
            if runner.entry.runner.service == service
            and runner.entry.runner.state == model.HostState.LIVE
        ]
