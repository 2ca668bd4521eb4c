"""Broken protocol objects that the model checks must catch."""

from collections.abc import Iterator
import contextlib
import dataclasses
import math
from typing import Any
from unittest import mock

from features.support import machines
import ragwort_membership as membership
import ragwort_model as model
import ragwort_relay as relay
import ragwort_state as state


@contextlib.contextmanager
def _grant_taken_keys() -> Iterator[None]:
    original = state.Ledger._resolve

    def resolve(ledger: Any, bucket: Any, now: float) -> Any:
        taken, granted = model.ClaimStatus.TAKEN, model.ClaimStatus.GRANTED
        return [
            dataclasses.replace(effect, status=granted)
            if getattr(effect, 'status', None) == taken
            else effect
            for effect in original(ledger, bucket, now)
        ]

    with mock.patch.object(state.Ledger, '_resolve', resolve):
        yield


@contextlib.contextmanager
def _trust_lost_writes() -> Iterator[None]:
    """Take a lease write whose answer was lost for a hold."""
    original = state.Lease.on_store_result

    def on_store_result(
        lease: Any, found: model.StoreResult, now: float
    ) -> None:
        writing = '#w' in found.op
        if writing and found.status == model.StoreStatus.UNAVAILABLE:
            found = model.StoreResult(
                found.op, model.StoreStatus.OK, (), lease.seen_version + 1
            )
        original(lease, found, now)

    with mock.patch.object(state.Lease, 'on_store_result', on_store_result):
        yield


@contextlib.contextmanager
def _adopt_repeated_pushes() -> Iterator[None]:
    """Adopt whatever is pushed, older versions included."""

    def merge(replica: Any, objects: Any, now: float) -> Any:
        for item in objects:
            replica.objects[item.name] = item
            replica.adopted_at[item.name] = now
        return list(objects)

    with mock.patch.object(state.Replica, 'merge', merge):
        yield


@contextlib.contextmanager
def _never_refute() -> Iterator[None]:
    """Let a node put up with being called dead."""
    with mock.patch.object(membership.Membership, '_refute', lambda *_: None):
        yield


@contextlib.contextmanager
def _ignore_eras() -> Iterator[None]:
    """Take versions of a restored store for those of the one before."""
    with mock.patch.object(state.StoreEra, 'observe', lambda *_: False):
        yield


@contextlib.contextmanager
def _trust_claims_across_eras() -> Iterator[None]:
    """Grant keys from before a restore, whose claims may be lost."""
    with mock.patch.object(state.Ledger, '_may_be_lost', lambda *_: False):
        yield


@contextlib.contextmanager
def _take_lost_lease_at_once() -> Iterator[None]:
    """Let a host take a lost lease while its holder counts on it."""
    original = state.StoreEra.observe

    def observe(store_era: state.StoreEra, era: int, now: float) -> bool:
        return original(store_era, era, -math.inf)

    with mock.patch.object(state.StoreEra, 'observe', observe):
        yield


@contextlib.contextmanager
def _believe_any_entry() -> Iterator[None]:
    """Take each entry that comes for that of the process at work."""
    with mock.patch.object(relay.Fleet, '_is_doubtful', lambda *_: False):
        yield


BROKEN = {
    'starts of runners': _believe_any_entry,
    'watcher of a restored store': _ignore_eras,
    'claim ledger of a restored store': _trust_claims_across_eras,
    'lease of a restored store': _take_lost_lease_at_once,
    'claim ledger': _grant_taken_keys,
    'lease': _trust_lost_writes,
    'configuration replica': _adopt_repeated_pushes,
    'membership': _never_refute,
}


def is_caught(name: str) -> bool:
    """Tell whether the model check fails on the broken object."""
    with BROKEN[name]():
        try:
            machines.check_machine(name)
        except (AssertionError, ExceptionGroup):
            return True
    return False
