"""Steps of fleets whose hosts differ in processor and link."""

import collections
import random
from typing import Any

from behave import given
from behave import then
from behave import when
import msgspec

import ragwort_membership as membership
import ragwort_model as model

MOST = 64
DOMAINS = ('north', 'east', 'south', 'west')


def host_update(index: int, capacity: float) -> model.MemberUpdate:
    """Return the record of a host that takes callers."""
    return model.MemberUpdate(
        f'host-{index}',
        1,
        model.MemberStatus.ALIVE,
        f'10.0.0.{index}:81',
        f'10.0.0.{index}:84',
        DOMAINS[index % len(DOMAINS)],
        'here',
        True,
        capacity,
    )


def membership_of(capacities: list[float]) -> membership.Membership:
    """Return what the first host knows of all."""
    host = model.EntryHost(
        'host-0', '10.0.0.0:81', '10.0.0.0:84', 'north', 'here', capacities[0]
    )
    members = membership.Membership(host, (), random.Random(1), 0.0, 0.0)
    members.merge([host_update(i, c) for i, c in enumerate(capacities)], 0.0)
    members.set_accepting(True, 0.0)
    return members


@given(
    '{strong:d} hosts of {cores:g} cores and {link:g} Mbit/s '
    'and {weak:d} of {less:g} cores and {slow:g} Mbit/s'
)
def set_hosts(
    context: Any,
    strong: int,
    cores: float,
    link: float,
    weak: int,
    less: float,
    slow: float,
) -> None:
    """Create strong hosts, then weak ones."""
    context.strong = {f'10.0.0.{index}' for index in range(strong)}
    context.capacities = [membership.host_capacity(cores, link)] * strong
    context.capacities += [membership.host_capacity(less, slow)] * weak
    context.members = membership_of(context.capacities)


@given('all hosts are equal')
def set_equal(context: Any) -> None:
    """Give all hosts the same capacity."""
    context.members = membership_of([1.0] * len(context.capacities))


@when('{count:d} callers ask for addresses')
def ask_addresses(context: Any, count: int) -> None:
    """Keep the answer for each caller."""
    context.answers = [
        membership.weighted_addresses(
            membership.entry_members(
                context.members, DOMAINS[index % len(DOMAINS)], str(index)
            ),
            MOST,
        )
        for index in range(count)
    ]


@then('each gets {count:d} addresses')
def check_count(context: Any, count: int) -> None:
    """Compare the length of each answer."""
    assert {len(answer) for answer in context.answers} == {count}


@then(
    'strong hosts get {factor:d} times the callers of weak ones, '
    'give or take a quarter'
)
def check_share(context: Any, factor: int) -> None:
    """Compare the mean listings of strong and weak hosts."""
    listed = collections.Counter(
        address.rpartition(':')[0] in context.strong
        for answer in context.answers
        for address in answer
    )
    strong = len(context.strong)
    weak = len(context.capacities) - strong
    ratio = (listed[True] / strong) / (listed[False] / weak)
    assert 0.75 * factor <= ratio <= 1.25 * factor, ratio


@then('every host has callers')
def check_every(context: Any) -> None:
    """Look for each host in the answers."""
    listed = {address for answer in context.answers for address in answer}
    assert len(listed) == len(context.capacities)


def owners_of(context: Any, service: int, count: int) -> list[bool]:
    """Return which of a service's owners are strong, best first."""
    own = context.members.own.peer_address
    owners = membership.owner_addresses(
        context.members, f'stage/{service}', count
    )
    return [
        (owner or own).rpartition(':')[0] in context.strong for owner in owners
    ]


@then('the first {count:d} owners of {services:d} services are strong hosts')
def check_strong_owners(context: Any, count: int, services: int) -> None:
    """Look at each service's owners."""
    for service in range(services):
        assert owners_of(context, service, count) == [True] * count


@when('all strong hosts but one are lost')
def lose_strong(context: Any) -> None:
    """Mark the strong hosts dead, but for this one."""
    for index in range(1, len(context.strong)):
        update = host_update(index, context.capacities[index])
        dead = msgspec.structs.replace(update, status=model.MemberStatus.DEAD)
        context.members.merge([dead], 1.0)


@then('the first owner of {services:d} services is the strong host')
def check_first_owner(context: Any, services: int) -> None:
    """Look at each service's first owner."""
    context.services = services
    for service in range(services):
        assert owners_of(context, service, 3)[0]


@then('the others are weak hosts')
def check_other_owners(context: Any) -> None:
    """Look at the owners behind the first."""
    for service in range(context.services):
        assert owners_of(context, service, 3)[1:] == [False, False]
