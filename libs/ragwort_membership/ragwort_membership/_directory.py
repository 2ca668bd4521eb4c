"""Choice of entry addresses for callers and of hosts for roles."""

from collections.abc import Collection
from collections.abc import Sequence

from ragwort_membership import _membership
import ragwort_model as model

# Bandwidth that one busy core uses: a request takes about 2 ms of a core and
# crosses the host's link a few times with some 10 KB.
LINK_MBPS_PER_CORE = 100.0
# Minimum capacity of a preferred owner, relative to the strongest host: an
# owner gathers the work of all hosts.
MIN_OWNER_CAPACITY_RATIO = 0.5


def host_capacity(cores: float, link_mbps: float) -> float:
    """Return a host's capacity in cores, limited by its link bandwidth."""
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


def entry_members(
    members: _membership.Membership,
    failure_domain: str,
    caller: str,
    regions: Sequence[Collection[str]] = (),
    now: float | None = None,
) -> list[model.MemberUpdate]:
    """Return accepting live nodes, the caller's failure domain first.

    Of the groups of regions only the first with such nodes counts; without
    one, nodes of all regions do. With now, nodes that may have departed
    with many others are left out.

    Nodes of equal rank are ordered by a hash of the caller and the node,
    which spreads callers over the nodes.
    """
    accepting = [m for m in members.live() if m.accepting]
    if now is not None:
        accepting = _not_departed(members, accepting, now)
    for group in regions:
        near = [update for update in accepting if update.region in group]
        if near:
            accepting = near
            break

    def sort_key(update: model.MemberUpdate) -> tuple[bool, int]:
        is_other_domain = update.failure_domain != failure_domain
        return is_other_domain, model.stable_hash(caller, update.name)

    return sorted(accepting, key=sort_key)


def _not_departed(
    members: _membership.Membership,
    accepting: list[model.MemberUpdate],
    now: float,
) -> list[model.MemberUpdate]:
    """Return the nodes that may be named, all if that leaves none."""
    named = [
        update
        for update in accepting
        if update.name == members.self_name
        or members.departures.may_be_named(update, now)
    ]
    return named or accepting


def weighted_addresses(
    updates: Sequence[model.MemberUpdate], limit: int
) -> list[str]:
    """Return up to limit caller addresses, repeated by host capacity.

    Callers pick addresses at random, so that a host listed twice gets
    twice the callers. Shares are rounded down; the entries left go to
    the hosts with the largest remainders, ties in the order given.
    """
    largest = max((update.capacity for update in updates), default=0.0)
    if all(update.capacity == largest for update in updates):
        return [update.caller_address for update in updates[:limit]]
    total = sum(update.capacity for update in updates)
    shares = [limit * update.capacity / total for update in updates]
    counts = [int(share) for share in shares]
    order = sorted(range(len(updates)), key=lambda i: counts[i] - shares[i])
    for index in order[: limit - sum(counts)]:
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

    Starting and leaving nodes are elected only if no node accepts
    requests. Views differ for a while after a change, so a role may have
    more or fewer holders than count; every role must tolerate that.
    """
    return members.self_name in role_holders(members, role, count, region)


def role_holders(
    members: _membership.Membership, role: str, count: int, region: str | None
) -> list[str]:
    """Return the names of the nodes that hold a role, in a fixed order."""
    members.refresh_caches()
    holders = members.role_cache.get((role, count, region))
    if holders is None:
        names = _candidates(members, region)
        holders = model.select_by_rendezvous(role, names, count)
        members.role_cache[role, count, region] = holders
    return holders


def _candidates(
    members: _membership.Membership, region: str | None
) -> list[str]:
    live = members.live(region)
    accepting = [update.name for update in live if update.accepting]
    return accepting or [update.name for update in live]


def owner_addresses(
    members: _membership.Membership, key: str, count: int
) -> list[str | None]:
    """Return the peer addresses of a key's owners, best first.

    Strong hosts are preferred, since an owner gathers the work of all
    hosts. None stands for this node.
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
    owners = members.owner_cache.get((key, count))
    if owners is None:
        names = _candidates(members, None)
        owners = preferred_owners(members, names, key, count)
        members.owner_cache[key, count] = owners
    return owners


def preferred_owners(
    members: _membership.Membership, names: list[str], key: str, count: int
) -> list[str]:
    """Return a key's owners among the named nodes, strong ones first."""
    capacity = {
        name: members.members[name].update.capacity
        for name in names
        if name in members.members
    }
    min_capacity = MIN_OWNER_CAPACITY_RATIO * max(
        capacity.values(), default=0.0
    )
    strong = [name for name in capacity if capacity[name] >= min_capacity]
    weak = [name for name in capacity if capacity[name] < min_capacity]
    owners = model.select_by_rendezvous(key, strong, count)
    owners += model.select_by_rendezvous(key, weak, count - len(owners))
    return owners


def owner_address(members: _membership.Membership, key: str) -> str | None:
    """Return the peer address of a key's owner, None if this node is it."""
    owners = owner_addresses(members, key, 1)
    return owners[0] if owners else None
