"""Which entry addresses callers should use."""

from ragwort_membership import _membership
import ragwort_model as model


def entry_addresses(
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


def elected(
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
        known = model.rendezvous(role, names, count)
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

    None stands for this node.
    """
    return [
        None
        if name == members.self_name
        else members.members[name].update.peer_address
        for name in _holders(members, key, count, None)
    ]


def owner_address(members: _membership.Membership, key: str) -> str | None:
    """Return the peer address of a key's owner, None if this node is it."""
    owners = owner_addresses(members, key, 1)
    return owners[0] if owners else None
