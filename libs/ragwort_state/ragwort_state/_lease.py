"""Leases with fencing numbers on the store's versions."""

import dataclasses
import enum
import random

import msgspec

import ragwort_model as model

LEASE_PREFIX = 'leases/'
LEASE_OP = 'lease:'
LEASE_DURATION_S = 10.0
RENEW_AFTER_S = 3.0
SAFETY_MARGIN_S = 1.0
ORDER_EXPIRY_S = 2.0
RETRY_S = 1.0


class LeasePhase(enum.StrEnum):
    """What a node knows of its hold on a lease."""

    FOLLOWING = 'following'
    HOLDING = 'holding'


class _LeaseRecord(msgspec.Struct):
    holder: str
    nonce: str
    fencing: int


@dataclasses.dataclass(slots=True)
class Lease:
    """One lease as seen by one node.

    The fencing number is the store's version at acquisition. A holder
    counts its validity from before the write was sent; others count
    expiry from when they last saw the version change. Both use their own
    monotonic clock, so clock steps do not matter.
    """

    name: str
    host: str
    rng: random.Random
    phase: LeasePhase = LeasePhase.FOLLOWING
    fencing: int = 0
    valid_until: float = 0.0
    order_from: float = 0.0
    holder: str = ''
    seen_version: int = -1
    seen_at: float = 0.0
    pending_op: str | None = None
    next_at: float = 0.0
    nonce: str = ''
    sent_at: float = 0.0
    operations: int = 0

    def may_order(self, now: float, checks_fencing: bool) -> bool:
        """Tell whether an order may be sent at this moment.

        Runners that ignore fencing numbers get no order before every
        order of an earlier holder has expired.
        """
        if self.phase != LeasePhase.HOLDING:
            return False
        if now + SAFETY_MARGIN_S >= self.valid_until:
            return False
        return checks_fencing or now >= self.order_from

    def tick(self, now: float, wanted: bool) -> list[model.StoreCall]:
        """Return the read or write due now."""
        if self.phase == LeasePhase.HOLDING and now >= self.valid_until:
            self._lose()
        if self.pending_op is not None or now < self.next_at:
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

    def _op(self, verb: str) -> str:
        self.operations += 1
        self.pending_op = f'{LEASE_OP}{self.name}#{verb}{self.operations}'
        return self.pending_op

    def _read(self) -> model.StoreCall:
        return model.StoreCall(
            self._op('r'), model.StoreVerb.GET, LEASE_PREFIX + self.name
        )

    def _write(self, now: float, fencing: int) -> model.StoreCall:
        self.nonce = model.new_nonce(self.rng)
        self.sent_at = now
        record = _LeaseRecord(self.host, self.nonce, fencing)
        return model.StoreCall(
            self._op('w'),
            model.StoreVerb.PUT,
            LEASE_PREFIX + self.name,
            msgspec.json.encode(record).decode(),
            self.seen_version,
        )

    def on_store_result(self, result: model.StoreResult, now: float) -> None:
        """Take the end of a read or write."""
        if result.op != self.pending_op:
            return
        writing = result.op.partition('#')[2].startswith('w')
        self.pending_op = None
        self.next_at = now + RETRY_S
        if writing and result.status == model.StoreStatus.OK:
            fencing = self.fencing or result.revision
            self._hold(fencing, result.revision, now)
        elif result.status == model.StoreStatus.NOT_FOUND:
            self._see(0, '', now)
            self.seen_at = now - LEASE_DURATION_S
        elif result.status == model.StoreStatus.OK and result.objects:
            self._read_record(result.objects[0], now)
        elif result.status == model.StoreStatus.CONFLICT:
            # Another holder, or a write of ours whose answer was lost.
            self.seen_version = -1
            self.next_at = now
        elif writing:
            # Whether the write took effect shows when it is read back.
            self.seen_version = -1

    def _read_record(self, stored: model.StoredObject, now: float) -> None:
        try:
            record = msgspec.json.decode(stored.value or '', type=_LeaseRecord)
        except (msgspec.MsgspecError, ValueError):
            record = _LeaseRecord('', '', 0)
        if record.nonce and record.nonce == self.nonce:
            self._hold(record.fencing or stored.version, stored.version, now)
        else:
            self._see(stored.version, record.holder, now)

    def _hold(self, fencing: int, version: int, now: float) -> None:
        """Hold from a write that certainly took effect."""
        if self.phase != LeasePhase.HOLDING:
            self.phase = LeasePhase.HOLDING
            self.order_from = now + LEASE_DURATION_S + ORDER_EXPIRY_S
        self.fencing = fencing
        self.holder = self.host
        self.seen_version = version
        self.seen_at = now
        self.valid_until = self.sent_at + LEASE_DURATION_S
        self.next_at = now + RENEW_AFTER_S

    def _see(self, version: int, holder: str, now: float) -> None:
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
