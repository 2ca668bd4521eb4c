"""Configuration of a relay host: routes, services, workspaces, limits."""

import dataclasses
import enum
import functools
import math

import msgspec

import ragwort_model as model


class CallKind(enum.StrEnum):
    """Whether a call may be repeated.

    REPEATABLE calls may run more than once, ONCE calls at most once. A
    STREAM runs at most once, unless its route allows it to be resumed
    after its last event.
    """

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    STREAM = 'stream'


class StageSpec(msgspec.Struct, frozen=True):
    """A stage of a route: its service and the stages it depends on."""

    service: str
    after: tuple[int, ...]
    result_bytes: float


class ServiceShare(msgspec.Struct, frozen=True):
    """A service that takes a share of a route's calls."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A class of work, which callers address by host and path prefix.

    Callers of a stream leave if no event comes for patience_s seconds.
    home_regions are those that may run its requests, None for any.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    timeout_s: float
    target_s: float
    priority: int
    attempts: int
    shares: tuple[ServiceShare, ...]
    stages: tuple[StageSpec, ...] = ()
    is_public: bool = False
    is_resumable: bool = False
    max_gap_s: float = 0.0
    patience_s: float = math.inf
    home_regions: frozenset[str] | None = None

    @property
    def may_repeat(self) -> bool:
        """Tell whether a call that may have run can be sent again."""
        if self.kind == CallKind.STREAM:
            return self.is_resumable
        return self.kind == CallKind.REPEATABLE

    def service_for(self, request_id: str) -> str:
        """Return the service for a request, chosen by hash and weights."""
        total = sum(share.weight for share in self.shares)
        point = model.stable_hash(self.name, request_id) / 2.0**64 * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


class BatchLimits(msgspec.Struct, frozen=True):
    """Limits and costs of a stage service's calls, for each runner.

    A call takes call_overhead_s plus per_piece_s for each piece. A runner
    keeps at most storage_bytes of results, each for result_ttl_s.
    """

    max_pieces: int
    call_overhead_s: float
    per_piece_s: float
    storage_bytes: float
    result_ttl_s: float

    def duration_s(self, pieces: int) -> float:
        """Return the typical time of a call with some number of pieces."""
        return self.call_overhead_s + pieces * self.per_piece_s


class EngineSpec(msgspec.Struct, frozen=True):
    """Memory of each engine of a service, in tokens, and its places."""

    cache_tokens: int
    slots: int | None = None


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service; batch_limits is set if it runs stages, engine for models.

    Its runners are cold for cold_start_s after a start and sustain cold_per_s
    requests a second meanwhile; 0 means that they have no such limit.
    """

    name: str
    batch_limits: BatchLimits | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineSpec | None = None


class Workspace(msgspec.Struct, frozen=True):
    """A workspace and its access keys; its priority overrides a route's.

    home_regions are those that may run its requests, None for any.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None
    home_regions: frozenset[str] | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size and timing of callers' requests."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class RelayConfiguration:
    """One version of all routes, services, workspaces and limits."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    workspaces: tuple[Workspace, ...]
    limits: CallerLimits

    @functools.cached_property
    def routes_by_host(self) -> dict[str, list[Route]]:
        """Return each host's routes, the longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        return by_host

    @functools.cached_property
    def workspaces_by_key(self) -> dict[str, Workspace]:
        """Return the workspace of each access key."""
        return {key: w for w in self.workspaces for key in w.keys}

    @functools.cached_property
    def longest_stream_s(self) -> float:
        """Return the longest timeout of a route that streams."""
        return max(
            (r.timeout_s for r in self.routes if r.kind == CallKind.STREAM),
            default=0.0,
        )

    @functools.cached_property
    def streaming_services(self) -> frozenset[str]:
        """Return the services of routes that stream."""
        return frozenset(
            share.service
            for route in self.routes
            if route.kind == CallKind.STREAM
            for share in route.shares
        )

    @functools.cached_property
    def downstream_services(self) -> dict[str, frozenset[str]]:
        """Return the stage services that read each service's results."""
        downstream: dict[str, set[str]] = {}
        for route in self.routes:
            for spec in route.stages:
                for needed in spec.after:
                    upstream = route.stages[needed].service
                    downstream.setdefault(upstream, set()).add(spec.service)
        return {name: frozenset(found) for name, found in downstream.items()}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
