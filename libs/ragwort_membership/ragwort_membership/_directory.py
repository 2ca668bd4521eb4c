"""Which entry addresses callers should use, and which hosts hold roles."""

from collections.abc import Sequence

from ragwort_membership import _membership
import ragwort_model as model

# Link of a host that one core keeps busy: each request crosses it a few
# times with some 10 KB in about 2 ms of a core.
LINK_MBPS_PER_CORE = 100.0
# Part of the strongest host's capacity that suffices to gather the work of
# all hosts.
OWNER_CAPACITY_SHARE = 0.5


def host_capacity(cores: float, link_mbps: float) -> float:
    """Return how much work a host can carry, in cores with links to match."""
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


def entry_members(
    members: _membership.Membership, failure_domain: str, caller: str
) -> list[model.MemberUpdate]:
    """Return accepting live nodes, the caller's failure domain first.

    Within a failure domain the order follows a hash of the caller, so
    that callers spread over the nodes.
    """
    accepting = [m for m in members.live() if m.accepting]

    def rank(update: model.MemberUpdate) -> tuple[bool, int]:
        elsewhere = update.failure_domain != failure_domain
        return elsewhere, model.stable_hash(caller, update.name)

    return sorted(accepting, key=rank)


def weighted_addresses(
    updates: Sequence[model.MemberUpdate], most: int
) -> list[str]:
    """Return caller addresses, stronger hosts more often, at most so many.

    Callers pick addresses at random, so that a host listed twice gets
    twice the callers. Hosts whose part is below one entry fill the rest
    in the order given.
    """
    largest = max((update.capacity for update in updates), default=0.0)
    if all(update.capacity == largest for update in updates):
        return [update.caller_address for update in updates[:most]]
    total = sum(update.capacity for update in updates)
    parts = [most * update.capacity / total for update in updates]
    counts = [int(part) for part in parts]
    order = sorted(range(len(updates)), key=lambda i: counts[i] - parts[i])
    for index in order[: most - sum(counts)]:
        counts[index] += 1
    return [
        update.caller_address
        for update, count in zip(updates, counts, strict=True)
        for _ in range(count)
    ]


def is_elected(
    members: _membership.Membership, role: str, count: int, region: str | None
) -> bool:
    """Tell whether this node holds a role among the live nodes.

    Nodes that take requests go before those that start or leave. Views
    differ for a while after a change, so a role may be held by more or
    fewer nodes than count; every role must bear that.
    """
    return members.self_name in _holders(members, role, count, region)


def _holders(
    members: _membership.Membership, role: str, count: int, region: str | None
) -> list[str]:
    members.refresh_caches()
    known = members.role_cache.get((role, count, region))
    if known is None:
        names = _role_names(members, region)
        known = model.select_by_rendezvous(role, names, count)
        members.role_cache[role, count, region] = known
    return known


def _role_names(
    members: _membership.Membership, region: str | None
) -> list[str]:
    live = members.live(region)
    accepting = [update.name for update in live if update.accepting]
    return accepting or [update.name for update in live]


def owner_addresses(
    members: _membership.Membership, key: str, count: int
) -> list[str | None]:
    """Return the peer addresses of a key's owners, best first.

    Owners are chosen among the strong hosts while there are any, since
    the work of all hosts meets there. None stands for this node.
    """
    return [
        None
        if name == members.self_name
        else members.members[name].update.peer_address
        for name in _owners(members, key, count)
    ]


def _owners(
    members: _membership.Membership, key: str, count: int
) -> list[str]:
    members.refresh_caches()
    known = members.owner_cache.get((key, count))
    if known is None:
        names = _role_names(members, None)
        capacity = {n: members.members[n].update.capacity for n in names}
        least = OWNER_CAPACITY_SHARE * max(capacity.values(), default=0.0)
        strong = [name for name in names if capacity[name] >= least]
        weak = [name for name in names if capacity[name] < least]
        known = model.select_by_rendezvous(key, strong, count)
        known += model.select_by_rendezvous(key, weak, count - len(known))
        members.owner_cache[key, count] = known
    return known


def owner_address(members: _membership.Membership, key: str) -> str | None:
    """Return the peer address of a key's owner, None if this node is it."""
    owners = owner_addresses(members, key, 1)
    return owners[0] if owners else None
