"""Runners listed in the store, with this host's statistics of them."""

import dataclasses

import ragwort_model as model
import ragwort_policy as policy

# After an outage of the store, live runners register again within this time;
# until then a missing entry does not mean that its runner is gone.
REREGISTRATION_GRACE_S = 2.0


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
    """A runner's entry and what this host learned of the runner.

    unconfirmed_until is set while the entry is missing after an outage;
    slowness is the decayed ratio of work time to the typical time.
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
        """Return the runner's IP address and port."""
        return self.entry.runner.address

    def is_usable(self, now: float) -> bool:
        """Tell whether new work may go to the runner."""
        if self.entry.runner.state == model.HostState.LEAVING:
            return False
        return not self.is_misdirected and now >= self.state.backoff_until


class Fleet:
    """All known runners."""

    def __init__(self) -> None:
        """Start without runners."""
        self.runners: dict[str, FleetRunner] = {}
        self.store_recovered_at: float | None = None

    def on_store_recovered(self, now: float) -> None:
        """Record the end of an outage of the store."""
        self.store_recovered_at = now

    def update(self, name: str, entry: RunnerEntry | None, now: float) -> None:
        """Store a runner's entry, None if it was removed."""
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
        recovered_at = self.store_recovered_at
        if (
            recovered_at is not None
            and now < recovered_at + REREGISTRATION_GRACE_S
        ):
            known.unconfirmed_until = recovered_at + REREGISTRATION_GRACE_S
            return
        del self.runners[known.name]

    def remove_expired(self, now: float) -> None:
        """Remove runners that did not register again in time."""
        for runner in list(self.runners.values()):
            until = runner.unconfirmed_until
            if until is not None and now >= until:
                del self.runners[runner.name]

    def usable(self, service: str, now: float) -> list[FleetRunner]:
        """Return a service's usable runners, only confirmed ones if any."""
        found = [
            runner
            for runner in self.runners.values()
            if runner.entry.runner.service == service and runner.is_usable(now)
        ]
        confirmed = [r for r in found if r.unconfirmed_until is None]
        return confirmed or found

    def live_runners(self, service: str) -> list[FleetRunner]:
        """Return all runners of a service that are not leaving."""
        return [
            runner
            for runner in self.runners.values()
            if runner.entry.runner.service == service
            and runner.entry.runner.state == model.HostState.LIVE
        ]
