"""Configuration replica, claim ledger and leases over the store."""

from typing import TYPE_CHECKING

import ragwort_model as model
from ragwort_state._era import latest_era
from ragwort_state._era import StoreEra
from ragwort_state._gossip import Gossip
from ragwort_state._gossip import MAX_RUMOUR_BYTES
from ragwort_state._gossip import MAX_RUMOURED_OBJECTS
from ragwort_state._registry import HostRegistry
from ragwort_state._registry import HOSTS_OP
from ragwort_state._registry import HOSTS_PREFIX
from ragwort_state._replica import CONFIG_PREFIX
from ragwort_state._replica import Replica
from ragwort_state._stream_register import group_of
from ragwort_state._stream_register import StoredOrigin
from ragwort_state._stream_register import StreamRegister
from ragwort_state._stream_register import STREAMS_OP
from ragwort_state._stream_register import STREAMS_PREFIX
from ragwort_state._suspect_register import SuspectRegister
from ragwort_state._suspect_register import SUSPECTS_OP
from ragwort_state._version_register import ServiceVersions
from ragwort_state._version_register import VersionRegister
from ragwort_state._version_register import VERSIONS_OP
from ragwort_state._version_register import VERSIONS_PREFIX
from ragwort_state._watcher import LIST_OP
from ragwort_state._watcher import WATCH_OP
from ragwort_state._watcher import Watcher
from ragwort_state._watcher import WatchTurn

if TYPE_CHECKING:
    from ragwort_state._catalog import Catalog
    from ragwort_state._catalog import drain_status_object
    from ragwort_state._catalog import DRAIN_STATUS_PREFIX
    from ragwort_state._catalog import ObjectProblem
    from ragwort_state._lease import Lease
    from ragwort_state._lease import LEASE_DURATION_S
    from ragwort_state._lease import LEASE_OP
    from ragwort_state._lease import LEASE_PREFIX
    from ragwort_state._lease import LeasePhase
    from ragwort_state._lease import ORDER_EXPIRY_S
    from ragwort_state._ledger import bucket_name
    from ragwort_state._ledger import BUCKET_SPAN_S
    from ragwort_state._ledger import ClaimResolved
    from ragwort_state._ledger import CLAIMS_PREFIX
    from ragwort_state._ledger import decode_claims
    from ragwort_state._ledger import Janitor
    from ragwort_state._ledger import JANITOR_OP
    from ragwort_state._ledger import Ledger
    from ragwort_state._ledger import LEDGER_OP
    from ragwort_state._ledger import LedgerEffect
    from ragwort_state._ledger import SHARD_COUNT
    from ragwort_state._ledger import shard_of
    from ragwort_state._targets import apply_change
    from ragwort_state._targets import is_applied
    from ragwort_state._targets import parse_target
    from ragwort_state._targets import TARGET_FIELDS
    from ragwort_state._targets import TargetChange

__all__ = [
    'apply_change',
    'bucket_name',
    'BUCKET_SPAN_S',
    'Catalog',
    'ClaimResolved',
    'CLAIMS_PREFIX',
    'CONFIG_PREFIX',
    'decode_claims',
    'drain_status_object',
    'DRAIN_STATUS_PREFIX',
    'Gossip',
    'group_of',
    'HostRegistry',
    'HOSTS_OP',
    'HOSTS_PREFIX',
    'is_applied',
    'Janitor',
    'JANITOR_OP',
    'latest_era',
    'Lease',
    'LEASE_DURATION_S',
    'LEASE_OP',
    'LEASE_PREFIX',
    'LeasePhase',
    'Ledger',
    'LEDGER_OP',
    'LedgerEffect',
    'LIST_OP',
    'MAX_RUMOUR_BYTES',
    'MAX_RUMOURED_OBJECTS',
    'ObjectProblem',
    'ORDER_EXPIRY_S',
    'parse_target',
    'Replica',
    'ServiceVersions',
    'SHARD_COUNT',
    'shard_of',
    'StoredOrigin',
    'StoreEra',
    'StreamRegister',
    'STREAMS_OP',
    'STREAMS_PREFIX',
    'SuspectRegister',
    'SUSPECTS_OP',
    'TARGET_FIELDS',
    'TargetChange',
    'VersionRegister',
    'VERSIONS_OP',
    'VERSIONS_PREFIX',
    'WATCH_OP',
    'Watcher',
    'WatchTurn',
]

if not TYPE_CHECKING:
    __getattr__ = model.late_names(
        __name__,
        __all__,
        (
            '_catalog',
            '_lease',
            '_ledger',
            '_targets',
        ),
    )
