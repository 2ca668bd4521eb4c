"""Regions to which a request is bound.

A route and a workspace may each name home regions. Only runners in these
regions may run the request, and only hosts in these regions may be handed its
body.
"""

from collections.abc import Mapping
import dataclasses

from ragwort_relay import _routes


@dataclasses.dataclass(frozen=True)
class Homes:
    """The home regions of one request, None if it is not bound.

    region_of names the region of each failure domain. A domain that it lacks
    is in no home region.
    """

    regions: frozenset[str] | None = None
    region_of: Mapping[str, str] = dataclasses.field(default_factory=dict)

    @property
    def is_bound(self) -> bool:
        """Tell whether only some regions may run the request."""
        return self.regions is not None

    def admits_region(self, region: str) -> bool:
        """Tell whether hosts of a region may be handed the request."""
        return self.regions is None or region in self.regions

    def admits(self, failure_domain: str) -> bool:
        """Tell whether runners of a failure domain may run the request."""
        if self.regions is None:
            return True
        return self.region_of.get(failure_domain) in self.regions

    def domains(self) -> frozenset[str] | None:
        """Return the failure domains that may run it, None for any."""
        if self.regions is None:
            return None
        return frozenset(filter(self.admits, self.region_of))


ANYWHERE = Homes()


def homes_of(
    route: _routes.Route,
    workspace: _routes.Workspace | None,
    region_of: Mapping[str, str],
) -> Homes:
    """Return the homes of a request; those of route and workspace both bind.

    No region may be left, and then no runner.
    """
    found = [route.home_regions]
    if workspace is not None:
        found.append(workspace.home_regions)
    bound = [regions for regions in found if regions is not None]
    if not bound:
        return ANYWHERE
    return Homes(frozenset.intersection(*bound), region_of)


def entry_regions(
    configuration: _routes.RelayConfiguration | None,
    host: str,
    caller_region: str,
) -> list[frozenset[str]]:
    """Return the regions whose hosts callers of a name may be given.

    The first entry with an accepting host decides. The list is empty if
    nothing under the name has homes: then hosts of any region may be given.
    """
    if configuration is None:
        return []
    routes = configuration.routes_by_host.get(host, ())
    homes = {r.home_regions for r in routes} - {None}
    if any(not route.is_public for route in routes):
        homes |= {w.home_regions for w in configuration.workspaces} - {None}
    if not homes:
        return []
    own = [frozenset([caller_region])] if caller_region else []
    return own + [frozenset[str]().union(*(h for h in homes if h))]
