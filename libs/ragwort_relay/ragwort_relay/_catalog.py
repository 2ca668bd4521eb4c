"""Configuration and runners as a relay host last read them."""

from collections.abc import Sequence
from typing import Protocol

import ragwort_model as model
from ragwort_relay import _brittle
from ragwort_relay import _cold
from ragwort_relay import _crash_evidence
from ragwort_relay import _departures
from ragwort_relay import _evacuations
from ragwort_relay import _fleet
from ragwort_relay import _homes
from ragwort_relay import _limits
from ragwort_relay import _makers
from ragwort_relay import _origins
from ragwort_relay import _pauses
from ragwort_relay import _prompts
from ragwort_relay import _reach
from ragwort_relay import _routes
from ragwort_relay import _runner_model
from ragwort_relay import _sharing


class ObjectDecoder(Protocol):
    """Decodes stored objects into the project's types.

    The decode methods raise ConfigurationError for invalid content.
    """

    def is_configuration(self, name: str) -> bool:
        """Tell whether an object holds the configuration."""

    def is_runner(self, name: str) -> bool:
        """Tell whether an object is a runner's entry."""

    def evacuated_domain(self, name: str) -> str | None:
        """Return the failure domain that an object evacuates.

        None means that the object is no evacuation.
        """

    def decode_configuration(self, value: str) -> _routes.RelayConfiguration:
        """Return the decoded configuration."""

    def decode_runner(self, name: str, value: str) -> _fleet.RunnerEntry:
        """Return the decoded entry of a runner."""


class RelayCatalog:
    """The last valid configuration and the runners in the store.

    An invalid configuration leaves the last valid one in force; an invalid
    entry removes its runner. A store that returns as an older copy holds an
    earlier configuration until the operator writes the latest one again;
    callers were already answered by the latest one, which stays in force.
    """

    def __init__(self, decoder: ObjectDecoder) -> None:
        """Start without configuration and runners."""
        self.decoder = decoder
        self.configuration: _routes.RelayConfiguration | None = None
        self.fleet = _fleet.Fleet()
        self.makers = _makers.MakerStarts()
        self.departure_news = _departures.DepartureNews(self.fleet)
        self.rate_limits = _limits.RateLimits()
        self.rate_limits.is_listed = self.fleet.runners.__contains__
        self.pauses = _pauses.Pauses()
        self.evacuations = _evacuations.Evacuations()
        self.reach = _reach.Reach()
        self.brittle = _brittle.BrittleRunners()
        self.cold = _cold.ColdRunners(self.find_spec, self.fleet)
        self.crash_evidence = _crash_evidence.CrashEvidence()
        self.stream_origins = _origins.StreamOrigins()
        self.prompt_cache = _prompts.PromptCacheIndex()
        self.prompt_sharing = _sharing.PromptSharing()
        self.runner_models = _runner_model.RunnerModels()
        self.problems: dict[str, str] = {}
        self.now = 0.0
        # Region of each failure domain, from the host's settings.
        self.region_of: dict[str, str] = {}
        # Wall-clock time minus that of now.
        self.wall_offset_s = 0.0

    def find_spec(self, service: str) -> _routes.ServiceSpec | None:
        """Return what the configuration says of a service."""
        configuration = self.configuration
        return configuration.services.get(service) if configuration else None

    def usable(
        self,
        service: str,
        now: float,
        origin: _origins.StreamOrigin | None = None,
        homes: _homes.Homes = _homes.ANYWHERE,
    ) -> list[_fleet.FleetRunner]:
        """Return a service's usable runners that a request may reach.

        A stream goes on where its origin fits; homes bind any request.
        Runners of evacuated domains, or of any domain while the evacuations
        are unknown, are not usable.
        """
        if not self.evacuations.is_known:
            return []
        is_evacuated = self.is_evacuated if self.evacuations.active else None
        return [
            runner
            for runner in self.fleet.usable(service, now, homes, is_evacuated)
            if origin is None or origin.may_continue_at(runner)
        ]

    def is_evacuated(self, runner: _fleet.FleetRunner, now: float) -> bool:
        """Tell whether a runner's failure domain is evacuated."""
        domain = runner.entry.runner.failure_domain
        return self.evacuations.is_evacuated(domain, now)

    def live_runners(
        self, service: str, now: float
    ) -> list[_fleet.FleetRunner]:
        """Return a service's live runners outside evacuated domains."""
        live = self.fleet.live_runners(service)
        if not self.evacuations.active:
            return live
        return [r for r in live if not self.is_evacuated(r, now)]

    def is_service_evacuated(self, service: str, now: float) -> bool:
        """Tell whether all live runners are in evacuated domains.

        Asked for each request, so that it ends at the first other runner.
        """
        if not self.evacuations.active:
            return False
        has_live = False
        for runner in self.fleet.runners.values():
            if not runner.is_live_of(service):
                continue
            if not self.is_evacuated(runner, now):
                return False
            has_live = True
        return has_live

    def sendable(
        self,
        service: str,
        now: float,
        origin: _origins.StreamOrigin | None = None,
        homes: _homes.Homes = _homes.ANYWHERE,
    ) -> list[_fleet.FleetRunner]:
        """Return the usable runners that take a request from this host now."""
        return [
            runner
            for runner in self.usable(service, now, origin, homes)
            if self._wait_s(runner, now) == 0.0
        ]

    def _wait_s(self, runner: _fleet.FleetRunner, now: float) -> float | None:
        """Return the time until this host may send to a runner.

        None means that other hosts hold its limit, or send to it alone while
        it is brittle or cold.
        """
        limit_s = self.rate_limits.wait_s(runner, now)
        cold_s = self.cold.wait_s(runner, now)
        if limit_s is None or cold_s is None:
            return None
        if self._is_held_elsewhere(runner, now):
            return None
        return max(
            limit_s,
            cold_s,
            self.pauses.left_s(runner, now),
            self.brittle.wait_s(runner, now),
        )

    def _is_held_elsewhere(
        self, runner: _fleet.FleetRunner, now: float
    ) -> bool:
        """Tell whether other hosts alone send to a brittle or cold runner.

        One host alone gives work to the runners of a stage service.
        """
        spec = self.find_spec(runner.entry.runner.service)
        if spec is not None and spec.batch_limits is not None:
            return False
        return self.brittle.is_held_elsewhere(runner) or (
            self.cold.wait_s(runner, now) is None
        )

    def is_left_to_others(
        self,
        service: str,
        now: float,
        homes: _homes.Homes = _homes.ANYWHERE,
    ) -> bool:
        """Tell whether only other hosts send to a service's runners."""
        usable = self.usable(service, now, homes=homes)
        return bool(usable) and all(
            self._is_held_elsewhere(runner, now) for runner in usable
        )

    def senders(
        self,
        service: str,
        now: float,
        homes: _homes.Homes = _homes.ANYWHERE,
    ) -> set[str]:
        """Return the hosts that alone send to brittle or cold runners."""
        return {
            host
            for runner in self.usable(service, now, homes=homes)
            for host in (
                *(self.brittle.senders(runner) or ()),
                *self.cold.senders(runner, now),
            )
        }

    def cold_left_s(
        self,
        service: str,
        now: float,
        origin: _origins.StreamOrigin | None = None,
        homes: _homes.Homes = _homes.ANYWHERE,
    ) -> float:
        """Return the time until a usable runner is warm, 0 if one is."""
        if not self.cold.records:
            return 0.0
        usable = self.usable(service, now, origin, homes)
        return min((self.cold.left_s(r, now) for r in usable), default=0.0)

    def is_withheld(
        self,
        service: str,
        now: float,
        origin: _origins.StreamOrigin | None = None,
        homes: _homes.Homes = _homes.ANYWHERE,
    ) -> bool:
        """Tell whether a cold runner takes no request from this host now."""
        return bool(self.cold.records) and any(
            self.cold.wait_s(runner, now) != 0.0
            for runner in self.usable(service, now, origin, homes)
        )

    def warm_of(
        self, runners: Sequence[_fleet.FleetRunner], now: float
    ) -> Sequence[_fleet.FleetRunner]:
        """Return the runners that are not cold, all of them if none is."""
        warm = [r for r in runners if not self.cold.is_cold(r, now)]
        return warm or runners

    def on_send(self, runner: _fleet.FleetRunner, now: float) -> None:
        """Record that this host sends a request to a runner."""
        self.rate_limits.on_send(runner, now)
        self.brittle.on_send(runner, now)
        self.cold.on_send(runner, now)

    def pause_s(
        self,
        service: str,
        now: float,
        homes: _homes.Homes = _homes.ANYWHERE,
    ) -> float:
        """Return the time until the first usable runner's pause is over."""
        return min(
            (
                self.pauses.left_s(runner, now)
                for runner in self.usable(service, now, homes=homes)
            ),
            default=0.0,
        )

    def send_wait_s(
        self,
        service: str,
        now: float,
        origin: _origins.StreamOrigin | None = None,
        homes: _homes.Homes = _homes.ANYWHERE,
    ) -> float | None:
        """Return the time until this host may send to a usable runner.

        None means that there is no such runner.
        """
        waits_s = [
            self._wait_s(runner, now)
            for runner in self.usable(service, now, origin, homes)
        ]
        return min((s for s in waits_s if s is not None), default=None)

    def has_sendable(
        self,
        service: str,
        now: float,
        origin: _origins.StreamOrigin | None = None,
        homes: _homes.Homes = _homes.ANYWHERE,
    ) -> bool:
        """Tell whether this host sends to any of the usable runners.

        It does not if other hosts hold the limits of all of them.
        """
        usable = self.usable(service, now, origin, homes)
        wait_s = self.send_wait_s(service, now, origin, homes)
        return not usable or wait_s is not None

    def has_home_runner(self, service: str, homes: _homes.Homes) -> bool:
        """Tell whether a runner of a service is in a request's homes."""
        return any(
            homes.admits(runner.entry.runner.failure_domain)
            for runner in self.fleet.live_runners(service)
        )

    def is_lost(self, service: str) -> bool:
        """Tell whether this host reaches no runner of a service.

        All of the runners may as well have ended.
        """
        live = self.live_runners(service, self.now)
        return self.reach.is_lost(service, live)

    def is_unreachable(self, service: str) -> bool:
        """Tell whether a service is lost and each live runner was tried."""
        live = self.live_runners(service, self.now)
        return bool(live) and all(self.reach.has_failed(r) for r in live)

    def limited_count(self, now: float) -> int:
        """Return how many runners name a limit."""
        found = [self.fleet.runners.get(n) for n in self.rate_limits.limits]
        return sum(
            runner is not None and self.rate_limits.is_limited(runner, now)
            for runner in found
        )

    def runner_at(self, address: str) -> _fleet.FleetRunner | None:
        """Return the runner that is believed to be at an address."""
        current = self.makers.start_at(address)
        return max(
            (r for r in self.fleet.runners.values() if r.address == address),
            key=lambda r: (r.entry.start == current, r.entry.started_ms),
            default=None,
        )

    def takes_release(self, address: str, now: float) -> bool:
        """Tell whether results at an address are to be freed by a call.

        A runner whose entry is gone may be in any domain.
        """
        runner = self.runner_at(address)
        if runner is None:
            return not self.evacuations.active
        return self.takes_chores(runner, now)

    def takes_chores(self, runner: _fleet.FleetRunner, now: float) -> bool:
        """Tell whether a runner gets requests that are no work for callers.

        One that leaves, names a limit, is cold, asked for a pause or is in an
        evacuated domain gets none.
        """
        if runner.entry.runner.state == model.HostState.LEAVING:
            return False
        if self.is_evacuated(runner, now):
            return False
        if self.pauses.left_s(runner, now) > 0.0:
            return False
        if self.cold.is_cold(runner, now):
            return False
        return not self.rate_limits.is_limited(runner, now)

    def apply(self, item: model.StoredObject) -> None:
        """Apply a newer version of a stored object."""
        try:
            domain = self.decoder.evacuated_domain(item.name)
            if domain is None:
                self._apply(item)
            else:
                is_stored = item.value is not None
                self.evacuations.update(
                    domain, item.version, is_stored, self.now
                )
        # A decoder that fails on one object must not hide those after it.
        except Exception as error:
            is_expected = isinstance(error, model.ConfigurationError)
            problem = str(error) if is_expected else f'unexpected {error!r}'
            self.problems[item.name] = problem
            if self.decoder.is_runner(item.name):
                self.fleet.update(item.name, None, self.now, item.version)
        else:
            self.problems.pop(item.name, None)

    def _apply(self, item: model.StoredObject) -> None:
        if self.decoder.is_runner(item.name):
            entry = None
            if item.value is not None:
                entry = self.decoder.decode_runner(item.name, item.value)
            self._update_runner(item.name, entry, item.version)
        elif self.decoder.is_configuration(item.name):
            if item.value is not None:
                self._apply_configuration(
                    self.decoder.decode_configuration(item.value)
                )

    def _update_runner(
        self,
        name: str,
        entry: _fleet.RunnerEntry | None,
        version: int,
        is_believed: bool = False,
    ) -> None:
        before = self.fleet.runners.get(name)
        # A later entry of the same start replaces the one of before.
        entry_before = before.entry if before is not None else None
        self.fleet.update(name, entry, self.now, version, is_believed)
        known = self.fleet.runners.get(name)
        if before is not None and before is not known:
            # Its entry is gone, or that of a later start.
            incarnation = (before.name, before.entry.started_ms)
            self.crash_evidence.on_ended(incarnation, self.now)
            self._forget_model(before)
        if known is not None and known is not before:
            self.reach.on_started(known)
        if known is not None:
            self.makers.on_entries(known, version, self.now)
            self.stream_origins.observe([known], self.now)
            self.cold.on_entry(
                known,
                entry_before,
                self.now,
                self.now + self.wall_offset_s,
            )
        else:
            self.makers.on_gone(name, self.now)
            self.prompt_cache.remove(name)

    def expire_runners(self, now: float) -> list[_fleet.RunnerEntry]:
        """Remove runners that are gone.

        Return the doubtful entries that have come to count.
        """
        self.fleet.remove_expired(now)
        for name in self.makers.listings.keys() - self.fleet.runners.keys():
            self.makers.on_gone(name, now)
        believed = self.fleet.take_believed(now)
        for entry, version in believed:
            self._update_runner(entry.runner.name, entry, version, True)
        return [entry for entry, _ in believed]

    def forget_makers(self, now: float) -> None:
        """Forget starts of runners that are gone by now."""
        self.makers.forget(now, self.fleet.readable_since)

    def _forget_model(self, runner: _fleet.FleetRunner) -> None:
        """Forget what an incarnation that ended held and how fast it was."""
        models = self.runner_models
        models.remove(runner.name)
        if models.is_on(runner.entry.runner.service):
            self.prompt_cache.remove(runner.name)

    def on_load(
        self, runner: _fleet.FleetRunner, load: model.LoadReport, now: float
    ) -> None:
        """Record the load that a runner has told in an answer."""
        runner.state.on_report(load, now)
        self.runner_models.on_report(runner)
        models = self.models_for(runner.entry.runner.service)
        limit = models.free_tokens(runner, now) if models else None
        if limit is not None:
            # Running calls take the memory of parts.
            self.prompt_cache.trim(runner.name, limit)

    def on_prompt_sent(
        self,
        runner: _fleet.FleetRunner,
        prompt: Sequence[_sharing.PromptPart],
        now: float,
    ) -> None:
        """Record that a runner will hold the parts of a prompt."""
        models = self.models_for(runner.entry.runner.service)
        limit = models.free_tokens(runner, now) if models else None
        self.prompt_cache.record(runner.name, prompt, limit)

    def models_for(self, service: str) -> _runner_model.RunnerModels | None:
        """Return the models of a service's runners, None if they are off."""
        models = self.runner_models
        return models if models.is_on(service) else None

    def _apply_configuration(
        self, configuration: _routes.RelayConfiguration
    ) -> None:
        current = self.configuration
        if current is not None and configuration.version < current.version:
            raise model.ConfigurationError(
                f'version {configuration.version} is older than '
                f'{current.version}, which stays in force'
            )
        self.configuration = configuration
        self.runner_models.engines = {
            name: spec.engine
            for name, spec in configuration.services.items()
            if spec.engine is not None
        }
        if current is None:
            # Runners that were read before are cold as their services say.
            for runner in self.fleet.runners.values():
                self.cold.on_entry(
                    runner, None, self.now, self.now + self.wall_offset_s
                )
        self.stream_origins.on_configuration(configuration.longest_stream_s)
