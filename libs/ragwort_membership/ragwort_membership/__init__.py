"""Failure detection, membership and the directory of entry addresses."""

from ragwort_membership._directory import entry_members
from ragwort_membership._directory import host_capacity
from ragwort_membership._directory import is_elected
from ragwort_membership._directory import owner_address
from ragwort_membership._directory import owner_addresses
from ragwort_membership._directory import preferred_owners
from ragwort_membership._directory import role_holders
from ragwort_membership._directory import weighted_addresses
from ragwort_membership._membership import Member
from ragwort_membership._membership import MemberChanged
from ragwort_membership._membership import Membership
from ragwort_membership._membership import PROBE_INTERVAL_S

__all__ = [
    'entry_members',
    'host_capacity',
    'is_elected',
    'Member',
    'MemberChanged',
    'Membership',
    'owner_address',
    'owner_addresses',
    'preferred_owners',
    'PROBE_INTERVAL_S',
    'role_holders',
    'weighted_addresses',
]
