"""Routes, services and workspaces that a relay host serves by."""

import dataclasses
import enum
import functools

import ragwort_model as model


class CallKind(enum.StrEnum):
    """What may be repeated of a call.

    REPEATABLE calls may run more than once, ONCE calls at most once. A
    STREAM may be resumed behind its last event where its route says so and
    runs at most once otherwise.
    """

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class StageSpec:
    """A stage of a route: its service and the stages it needs results of."""

    service: str
    after: tuple[int, ...]
    result_bytes: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that takes a share of a route's calls."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A class of work as callers address it: by host and path prefix."""

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

    @property
    def may_repeat(self) -> bool:
        """Tell whether a call that may have run can be sent again."""
        if self.kind == CallKind.STREAM:
            return self.is_resumable
        return self.kind == CallKind.REPEATABLE

    def service_for(self, request_id: str) -> str:
        """Return the service for a request, in proportion to the weights."""
        total = sum(share.weight for share in self.shares)
        point = model.stable_hash(self.name, request_id) / 2.0**64 * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class BatchLimits:
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
        """Return the usual time of a call with so many pieces."""
        return self.call_overhead_s + pieces * self.per_piece_s


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service; batch is set if it works on stages."""

    name: str
    batch_limits: BatchLimits | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace with its access keys; its rank overrides the route's."""

    name: str
    keys: frozenset[str]
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take or stay idle."""

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
    def downstream_services(self) -> dict[str, frozenset[str]]:
        """Return the stage services that read each service's results."""
        following: dict[str, set[str]] = {}
        for route in self.routes:
            for spec in route.stages:
                for needed in spec.after:
                    before = route.stages[needed].service
                    following.setdefault(before, set()).add(spec.service)
        return {name: frozenset(found) for name, found in following.items()}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
