"""Which software version of a service began each stream.

What runners of two software versions stream does not fit together, and
runners don't check it. A stream is bound to a version by its first event and
may go on only there. Nothing has to be known of a stream while a service has
had one version for longer than callers take streams up.
"""

from collections.abc import Iterable
import math

import msgspec

import ragwort_model as model
from ragwort_relay import _fleet

# Time for which a version that no runner has any more is remembered, unless
# streams last longer.
MIN_VERSION_MEMORY_S = 30.0
# Callers take a stream up within their deadline, which the route's timeout
# may end early.
MEMORY_PER_TIMEOUT = 2.0
MAX_RECORD_TTL_S = 600.0
MAX_RECORDS = 20_000
MAX_ID_CHARACTERS = 200


class StreamOrigin(msgspec.Struct, frozen=True):
    """The service and software version that began a stream."""

    service: str
    software_version: str

    def may_continue_at(self, runner: _fleet.FleetRunner) -> bool:
        """Tell whether a runner's events fit behind the stream's."""
        return all(
            (entry.runner.service, entry.runner.software_version)
            == (self.service, self.software_version)
            for entry in runner.entries
        )


class StreamKey(msgspec.Struct, frozen=True):
    """Name of a stream: the attempt that began it, within its workspace."""

    workspace: str
    first_attempt: str


class _Record(msgspec.Struct, frozen=True):
    origin: StreamOrigin
    expires_at: float
    is_own: bool


class StreamOrigins:
    """Origins of streams, and the versions of each service, at one host."""

    def __init__(self) -> None:
        """Start without streams; started_at is when the host did."""
        self.started_at = 0.0
        self.memory_s = MIN_VERSION_MEMORY_S
        self.records: dict[StreamKey, _Record] = {}
        self.seen_at: dict[str, dict[str, float]] = {}
        self.newly_mixed: set[str] = set()
        # From when on all versions of a service are known, if others told.
        self.told_since: dict[str, float] = {}

    # Versions of a service.

    def on_configuration(self, longest_stream_s: float) -> None:
        """Remember versions for as long as callers may take streams up."""
        self.memory_s = max(
            MIN_VERSION_MEMORY_S, MEMORY_PER_TIMEOUT * longest_stream_s
        )

    def observe_version(
        self, service: str, software_version: str, at: float, now: float
    ) -> None:
        """Record that a service had a software version at a time."""
        seen_at = self.seen_at.setdefault(service, {})
        was_mixed = self.is_mixed(service, now)
        seen_at[software_version] = max(at, seen_at.get(software_version, at))
        if not was_mixed and self.is_mixed(service, now):
            self.newly_mixed.add(service)

    def observe(
        self, runners: Iterable[_fleet.FleetRunner], now: float
    ) -> None:
        """Record the versions of runners that are there now."""
        for found in runners:
            for entry in found.entries:
                runner = entry.runner
                self.observe_version(
                    runner.service, runner.software_version, now, now
                )

    def versions(self, service: str, now: float) -> dict[str, float]:
        """Return the versions of the last time, and when each was there."""
        seen_at = self.seen_at.get(service, {})
        return {
            version: at
            for version, at in seen_at.items()
            if now < at + self.memory_s
        }

    def is_mixed(self, service: str, now: float) -> bool:
        """Tell whether streams of two versions may be around."""
        return len(self.versions(service, now)) > 1

    def sole_version(self, service: str, now: float) -> str | None:
        """Return the only version that this host knows of, if there is one."""
        versions = self.versions(service, now)
        return next(iter(versions)) if len(versions) == 1 else None

    def known_since(self, service: str) -> float:
        """Return from when on this host knows all versions of a service."""
        return min(self.started_at, self.told_since.get(service, math.inf))

    def extend_knowledge(self, service: str, since: float) -> None:
        """Record that the versions told cover the time from since on."""
        self.told_since[service] = min(since, self.known_since(service))

    def remembers_all_versions(self, service: str, now: float) -> bool:
        """Tell whether all versions are known for as long as streams last."""
        return now >= self.known_since(service) + self.memory_s

    # Streams.

    def record(
        self,
        key: StreamKey,
        origin: StreamOrigin,
        ttl_s: float,
        now: float,
        is_own: bool,
    ) -> None:
        """Record what began a stream; the first record of it stands."""
        if len(key.first_attempt) > MAX_ID_CHARACTERS:
            return
        known = self.find(key, now)
        if known is not None and known != origin:
            return
        before = self.records.pop(key, None)
        is_own = is_own or (before is not None and before.is_own)
        expires_at = now + min(ttl_s, MAX_RECORD_TTL_S)
        self.records[key] = _Record(origin, expires_at, is_own)
        while len(self.records) > MAX_RECORDS:
            del self.records[next(iter(self.records))]

    def find(self, key: StreamKey, now: float) -> StreamOrigin | None:
        """Return what began a stream, None if this host does not know."""
        record = self.records.get(key)
        if record is None or now >= record.expires_at:
            return None
        return record.origin

    def remove_expired(self, now: float) -> None:
        """Forget streams that no caller takes up any more."""
        for key, record in list(self.records.items()):
            if now >= record.expires_at:
                del self.records[key]

    def to_tell(self, key: StreamKey, now: float) -> model.StreamBegan | None:
        """Return what to tell another host of a stream, None if unknown."""
        record = self.records.get(key)
        if record is None or now >= record.expires_at:
            return None
        return model.StreamBegan(
            key.first_attempt,
            key.workspace,
            record.origin.service,
            record.origin.software_version,
            record.expires_at - now,
        )

    def on_told(self, told: model.StreamBegan, now: float) -> StreamOrigin:
        """Record and return what another host knows of a stream."""
        key = StreamKey(told.workspace, told.first_attempt)
        origin = StreamOrigin(told.service_name, told.software_version)
        self.record(key, origin, told.ttl_s, now, is_own=False)
        return origin

    def to_share(
        self, services: Iterable[str], now: float, only_own: bool
    ) -> list[model.StreamBegan]:
        """Return what other hosts should know of some services' streams."""
        wanted = set(services)
        told = [
            self.to_tell(key, now)
            for key, record in self.records.items()
            if record.origin.service in wanted
            and (record.is_own or not only_own)
        ]
        return [stream for stream in told if stream is not None]
