"""Options of a node core, independent of the settings file."""

import dataclasses

import ragwort_model as model


@dataclasses.dataclass(frozen=True, slots=True)
class NodeOptions:
    """Identity and limits of a node; times in seconds.

    drain_timeout_s is when a leaving node ends what is open, None for never.
    """

    host: model.EntryHost
    seeds: tuple[str, ...] = ()
    address_ttl_s: float = 5.0
    claim_retention_s: float = 600.0
    clock_skew_s: float = 5.0
    strategy: str = 'ragwort'
    max_open_requests: int = 2000
    max_queued_per_workspace: int = 256
    drain_timeout_s: float | None = None


def options_from_settings(settings: model.NodeSettings) -> NodeOptions:
    """Return the options given by a settings file."""
    host = model.EntryHost(
        settings.name,
        settings.callers,
        settings.peers,
        settings.failure_domain,
        settings.region,
    )
    return NodeOptions(
        host,
        tuple(settings.seeds),
        settings.address_ttl,
        settings.claim_retention,
        settings.clock_skew,
        settings.strategy,
        settings.limits.max_open_requests,
        settings.limits.max_queued_per_workspace,
        settings.drain_timeout,
    )
