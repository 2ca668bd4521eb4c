"""Leases whose fencing numbers are versions of the store."""

import dataclasses
import enum
import math
import random

import msgspec

import ragwort_model as model
from ragwort_state import _era
from ragwort_state import _stored_json

LEASE_PREFIX = 'leases/'
LEASE_OP = 'lease:'
LEASE_DURATION_S = 10.0
RENEW_AFTER_S = 3.0
SAFETY_MARGIN_S = 1.0
ORDER_EXPIRY_S = 2.0
RETRY_S = 1.0


class LeasePhase(enum.StrEnum):
    """Whether a node holds a lease, as far as it knows."""

    FOLLOWING = 'following'
    HOLDING = 'holding'


class _LeaseRecord(msgspec.Struct):
    holder: str
    nonce: str
    fencing: _stored_json.Int64


@dataclasses.dataclass(slots=True)
class Lease:
    """One lease as seen by one node.

    The fencing number is the store's version at acquisition. A holder
    counts its validity from before the write was sent; other nodes count
    expiry from the last change of version that they saw. Each uses its
    own monotonic clock, so steps of the wall clock do not matter.

    In a new era of the store the lease may be lost or be that of an earlier
    holder: a holder that hears of it gives no more orders, and nobody takes
    the lease before a holder that has not heard of it has lost it by time.
    """

    name: str
    host: str
    rng: random.Random
    store_era: _era.StoreEra
    phase: LeasePhase = LeasePhase.FOLLOWING
    fencing: int = 0
    valid_until: float = 0.0
    orders_allowed_at: float = 0.0
    holder: str = ''
    seen_version: int = -1
    seen_at: float = 0.0
    pending_op: str | None = None
    next_call_at: float = 0.0
    nonce: str = ''
    sent_at: float = 0.0
    op_count: int = 0
    era: int = 0

    def may_order(self, now: float, checks_fencing: bool) -> bool:
        """Tell whether an order may be sent now.

        Runners that do not check fencing numbers get no order until all
        orders of an earlier holder have expired.
        """
        if self.phase != LeasePhase.HOLDING:
            return False
        if self.era < self.store_era.current:
            return False
        if now + SAFETY_MARGIN_S >= self.valid_until:
            return False
        return checks_fencing or now >= self.orders_allowed_at

    def tick(self, now: float, wanted: bool) -> list[model.StoreCall]:
        """Return the read or write due now."""
        if self.era < self.store_era.current:
            self._enter_era()
        if self.phase == LeasePhase.HOLDING and now >= self.valid_until:
            self._lose()
        if self.pending_op is not None or now < self.next_call_at:
            return []
        if self.phase == LeasePhase.FOLLOWING and not wanted:
            return []
        if self.seen_version < 0:
            return [self._read()]
        if self.phase == LeasePhase.HOLDING:
            return [self._write(now, self.fencing)]
        if now < self.seen_at + LEASE_DURATION_S:
            return [self._read()]
        return [self._write(now, 0)]

    def _enter_era(self) -> None:
        """Drop what was read or held in an earlier era."""
        self.era = self.store_era.current
        self.pending_op = None
        self._lose()

    def _new_op(self, kind: str) -> str:
        self.op_count += 1
        self.pending_op = f'{LEASE_OP}{self.name}#{kind}{self.op_count}'
        return self.pending_op

    def _read(self) -> model.StoreCall:
        return model.StoreCall(
            self._new_op('r'), model.StoreVerb.GET, LEASE_PREFIX + self.name
        )

    def _write(self, now: float, fencing: int) -> model.StoreCall:
        self.nonce = model.new_nonce(self.rng)
        self.sent_at = now
        record = _LeaseRecord(self.host, self.nonce, fencing)
        return model.StoreCall(
            self._new_op('w'),
            model.StoreVerb.PUT,
            LEASE_PREFIX + self.name,
            msgspec.json.encode(record).decode(),
            self.seen_version,
        )

    def on_store_result(self, result: model.StoreResult, now: float) -> None:
        """Handle the result of a read or write."""
        if result.op != self.pending_op:
            return
        if self.era < self.store_era.current:
            self._enter_era()
            return
        is_write = result.op.partition('#')[2].startswith('w')
        self.pending_op = None
        self.next_call_at = now + RETRY_S
        if result.era != self.era and result.status == model.StoreStatus.OK:
            self.seen_version = -1
        elif is_write and result.status == model.StoreStatus.OK:
            fencing = self.fencing or result.revision
            self._hold(fencing, result.revision, now)
        elif result.status == model.StoreStatus.NOT_FOUND:
            self._observe(0, '', now)
            # In a later era the lease may be missing because it was lost.
            since = self.store_era.seen_at if self.era else -math.inf
            self.seen_at = max(now - LEASE_DURATION_S, since)
        elif result.status == model.StoreStatus.OK and result.objects:
            self._apply_record(result.objects[0], now)
        elif result.status == model.StoreStatus.CONFLICT:
            # Written by another holder, or by us with the answer lost.
            self.seen_version = -1
            self.next_call_at = now
        elif is_write:
            # Reading it back shows whether the write took effect.
            self.seen_version = -1

    def _apply_record(self, stored: model.StoredObject, now: float) -> None:
        try:
            record = msgspec.json.decode(stored.value or '', type=_LeaseRecord)
        except _stored_json.ERRORS:
            record = _LeaseRecord('', '', 0)
        if record.nonce and record.nonce == self.nonce:
            self._hold(record.fencing or stored.version, stored.version, now)
        else:
            self._observe(stored.version, record.holder, now)

    def _hold(self, fencing: int, version: int, now: float) -> None:
        """Hold the lease by a write that is known to have taken effect."""
        if self.phase != LeasePhase.HOLDING:
            self.phase = LeasePhase.HOLDING
            self.orders_allowed_at = now + LEASE_DURATION_S + ORDER_EXPIRY_S
        self.fencing = fencing
        self.holder = self.host
        self.seen_version = version
        self.seen_at = now
        self.valid_until = self.sent_at + LEASE_DURATION_S
        self.next_call_at = now + RENEW_AFTER_S

    def _observe(self, version: int, holder: str, now: float) -> None:
        if version != self.seen_version:
            if self.phase == LeasePhase.HOLDING:
                self._lose()
            self.seen_version = version
            self.seen_at = now
        self.holder = holder

    def _lose(self) -> None:
        self.phase = LeasePhase.FOLLOWING
        self.fencing = 0
        self.nonce = ''
        self.seen_version = -1
