"""Claim ledger: at-most-once dispatch by conditional updates alone.

A claim is written by conditional update before the request's first
dispatch, and the dispatch follows only after the claimant's own nonce was
seen in the stored object. The owner of a shard commits its claims in
groups; two owners at once are safe, since only the store decides.

A store that returns as an older copy has lost the latest claims. The hosts
that know them write them again, before any new claim of the bucket. A claim
of a key from before the new era is not granted: the key may have run, and
the host that knows it may be gone.
"""

import dataclasses
import random

import msgspec

import ragwort_model as model
from ragwort_state import _era
from ragwort_state import _stored_json

SHARD_COUNT = 32
BUCKET_SPAN_S = 15
CLAIMS_PREFIX = 'claims/'
LEDGER_OP = 'ledger:'
JANITOR_OP = 'janitor:'
FORWARD_TIMEOUT_S = 0.4
COMMIT_INTERVAL_S = 0.25
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
OUTAGE_MEMORY_S = 1.0
# Time over which a host spreads its reads after the store was restored.
REWRITE_SPREAD_S = 1.0
JANITOR_WINDOW_BUCKETS = 40
BUCKET_IDLE_TIMEOUT_S = 60.0


class _ClaimRecord(msgspec.Struct, array_like=True):
    key: str
    workspace: str
    body_digest: str
    host: str
    nonce: str


_DECODER = msgspec.json.Decoder(list[_ClaimRecord])


def shard_of(workspace: str, key: str) -> int:
    """Return the shard that holds the claim of a key."""
    return model.stable_hash('claim', workspace, key) % SHARD_COUNT


def bucket_name(shard: int, wall: float) -> str:
    """Return the object name of a shard's bucket for a wall time."""
    return f'{CLAIMS_PREFIX}{shard:02d}/{int(wall) // BUCKET_SPAN_S}'


def encode_claims(claims: dict[str, model.Claim]) -> str:
    """Return the stored form of a bucket."""
    records = [
        _ClaimRecord(c.key, c.workspace, c.body_digest, c.host, c.nonce)
        for c in claims.values()
    ]
    return msgspec.json.encode(records).decode()


def decode_claims(value: str) -> dict[str, model.Claim]:
    """Return the claims of a stored bucket by key; raise WireError."""
    try:
        records = _DECODER.decode(value)
    except _stored_json.ERRORS as error:
        raise model.WireError(f'damaged claim bucket: {error}') from None
    return {
        r.key: model.Claim(r.key, r.workspace, r.body_digest, r.host, r.nonce)
        for r in records
    }


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResolved:
    """Outcome of a claim that this node started."""

    claim: model.Claim
    status: model.ClaimStatus
    standing: model.Claim | None


@dataclasses.dataclass(slots=True)
class _PendingClaim:
    """A claim to commit; reply_to is a peer's address, None for this node."""

    claim: model.Claim
    expires_at: float
    reply_to: str | None


@dataclasses.dataclass(slots=True)
class _ClaimBucket:
    """Claims of a shard and time span, as read in the store's present era.

    lost_claims are those of an earlier era that the store may lack.
    """

    name: str
    version: int | None = None
    claims: dict[str, model.Claim] = dataclasses.field(default_factory=dict)
    lost_claims: dict[str, model.Claim] = dataclasses.field(
        default_factory=dict
    )
    pending_claims: list[_PendingClaim] = dataclasses.field(
        default_factory=list
    )
    pending_op: str | None = None
    sent_claims: dict[str, model.Claim] = dataclasses.field(
        default_factory=dict
    )
    next_call_at: float = 0.0
    backoff_s: float = MIN_BACKOFF_S
    last_used_at: float = 0.0

    def enter_era(self, next_call_at: float) -> None:
        """Keep the claims of an earlier era to write them again."""
        self.lost_claims |= self.claims
        self.claims = {}
        self.version = None
        self.pending_op = None
        if not self.pending_claims:
            self.next_call_at = next_call_at


@dataclasses.dataclass(slots=True)
class _ForwardedClaim:
    claim: model.Claim
    fallback_at: float
    expires_at: float


LedgerEffect = model.StoreCall | model.SendPeerMessage | ClaimResolved


class Ledger:
    """Commit claims for this node and for peers that forward theirs."""

    def __init__(
        self,
        rng: random.Random,
        store_era: _era.StoreEra,
        clock_skew_s: float = 0.0,
    ) -> None:
        """Start with nothing cached.

        clock_skew_s bounds the difference of two hosts' times of day.
        """
        self.rng = rng
        self.store_era = store_era
        self.clock_skew_s = clock_skew_s
        self.era = store_era.current
        self.rewritten_count = 0
        self.buckets: dict[str, _ClaimBucket] = {}
        self.forwarded_claims: dict[tuple[str, str], _ForwardedClaim] = {}
        self.op_count = 0
        self.unavailable_at: float | None = None

    def is_store_unavailable(self, now: float) -> bool:
        """Tell whether the store failed to answer recently."""
        failed_at = self.unavailable_at
        return failed_at is not None and now - failed_at < OUTAGE_MEMORY_S

    def claim(
        self,
        claim: model.Claim,
        owner_address: str | None,
        now: float,
        expires_at: float,
    ) -> list[LedgerEffect]:
        """Start a claim of this node; owner_address None means this node."""
        if owner_address is None:
            return self._enqueue(_PendingClaim(claim, expires_at, None), now)
        self.forwarded_claims[claim.key, claim.nonce] = _ForwardedClaim(
            claim, now + FORWARD_TIMEOUT_S, expires_at
        )
        return [
            model.SendPeerMessage(owner_address, model.ClaimForward(claim))
        ]

    def on_forward(
        self, sender: str, message: model.ClaimForward, now: float
    ) -> list[LedgerEffect]:
        """Commit a claim for a peer."""
        try:
            model.request_key_time(message.claim.key)
        except model.InvalidInputError:
            return []
        expires_at = now + 4 * FORWARD_TIMEOUT_S
        pending = _PendingClaim(message.claim, expires_at, sender)
        return self._enqueue(pending, now)

    def on_reply(self, message: model.ClaimReply) -> list[LedgerEffect]:
        """Handle an owner's answer to a forwarded claim."""
        if message.status == model.ClaimStatus.UNRESOLVED:
            return []
        forward = self.forwarded_claims.pop((message.key, message.nonce), None)
        if forward is None:
            return []
        return [ClaimResolved(forward.claim, message.status, message.standing)]

    def tick(self, now: float) -> list[LedgerEffect]:
        """Expire claims, take back those of silent owners, commit groups."""
        effects: list[LedgerEffect] = []
        if self.era < self.store_era.current:
            self._enter_era(now)
        for claim_id, forward in list(self.forwarded_claims.items()):
            if now >= forward.fallback_at:
                del self.forwarded_claims[claim_id]
                pending = _PendingClaim(
                    forward.claim, forward.expires_at, None
                )
                effects += self._enqueue(pending, now)
        for bucket in list(self.buckets.values()):
            effects += self._advance(bucket, now)
            idle = now - bucket.last_used_at > BUCKET_IDLE_TIMEOUT_S
            if (
                idle
                and not bucket.pending_claims
                and not bucket.lost_claims
                and bucket.pending_op is None
            ):
                del self.buckets[bucket.name]
        return effects

    def _enter_era(self, now: float) -> None:
        """Plan to read all buckets again, spread in time."""
        self.era = self.store_era.current
        for bucket in self.buckets.values():
            bucket.enter_era(now + self.rng.uniform(0, REWRITE_SPREAD_S))

    def _enqueue(
        self, pending: _PendingClaim, now: float
    ) -> list[LedgerEffect]:
        claim = pending.claim
        shard = shard_of(claim.workspace, claim.key)
        name = bucket_name(shard, model.request_key_time(claim.key))
        bucket = self.buckets.setdefault(name, _ClaimBucket(name))
        bucket.pending_claims.append(pending)
        bucket.last_used_at = now
        return self._advance(bucket, now)

    def _advance(self, bucket: _ClaimBucket, now: float) -> list[LedgerEffect]:
        """Resolve claims that are decided, then add the next store call."""
        if self.era < self.store_era.current:
            self._enter_era(now)
        effects = self._resolve(bucket, now)
        if not bucket.pending_claims and not bucket.lost_claims:
            return effects
        if bucket.pending_op is not None:
            return effects
        if now < bucket.next_call_at:
            return effects
        self.op_count += 1
        bucket.pending_op = f'{LEDGER_OP}{bucket.name}#{self.op_count}'
        effects.append(self._next_call(bucket))
        return effects

    def _next_call(self, bucket: _ClaimBucket) -> model.StoreCall:
        assert bucket.pending_op is not None
        if bucket.version is None:
            return model.StoreCall(
                bucket.pending_op, model.StoreVerb.GET, bucket.name
            )
        bucket.sent_claims = bucket.lost_claims | bucket.claims
        for pending in bucket.pending_claims:
            if not self._may_be_lost(pending.claim):
                bucket.sent_claims.setdefault(pending.claim.key, pending.claim)
        return model.StoreCall(
            bucket.pending_op,
            model.StoreVerb.PUT,
            bucket.name,
            encode_claims(bucket.sent_claims),
            bucket.version,
        )

    def _resolve(self, bucket: _ClaimBucket, now: float) -> list[LedgerEffect]:
        effects: list[LedgerEffect] = []
        still_pending: list[_PendingClaim] = []
        for pending in bucket.pending_claims:
            status = self._status(bucket, pending, now)
            if status is None:
                still_pending.append(pending)
            else:
                standing = bucket.claims.get(pending.claim.key)
                effects.append(_resolution(pending, status, standing))
        bucket.pending_claims = still_pending
        return effects

    def _status(
        self, bucket: _ClaimBucket, pending: _PendingClaim, now: float
    ) -> model.ClaimStatus | None:
        """Return the status of a claim, None while it is not decided."""
        claim = pending.claim
        standing = bucket.claims.get(claim.key)
        if standing is not None and standing.nonce != claim.nonce:
            return model.ClaimStatus.TAKEN
        is_read = bucket.version is not None and not bucket.lost_claims
        if is_read and self._may_be_lost(claim):
            return model.ClaimStatus.LOST
        if standing is not None and not self._may_be_lost(claim):
            return model.ClaimStatus.GRANTED
        if now >= pending.expires_at:
            return model.ClaimStatus.UNRESOLVED
        return None

    def _may_be_lost(self, claim: model.Claim) -> bool:
        """Tell whether a key is from before the store's present era."""
        if not self.era:
            return False
        created = model.request_key_time(claim.key)
        return created <= self.store_era.seen_wall + self.clock_skew_s

    def on_store_result(
        self, result: model.StoreResult, now: float
    ) -> list[LedgerEffect]:
        """Handle the result of a store call of this ledger."""
        name = result.op.removeprefix(LEDGER_OP).partition('#')[0]
        bucket = self.buckets.get(name)
        if bucket is None or bucket.pending_op != result.op:
            return []
        if self.era < self.store_era.current:
            self._enter_era(now)
            return self._advance(bucket, now)
        is_write = bucket.version is not None
        bucket.pending_op = None
        self._apply_result(bucket, result, is_write, now)
        return self._advance(bucket, now)

    def _apply_result(
        self,
        bucket: _ClaimBucket,
        result: model.StoreResult,
        is_write: bool,
        now: float,
    ) -> None:
        status = result.status
        if status == model.StoreStatus.UNAVAILABLE:
            self.unavailable_at = now
        elif status != model.StoreStatus.RATE_LIMITED:
            self.unavailable_at = None
            bucket.backoff_s = MIN_BACKOFF_S
        if status == model.StoreStatus.OK and result.era != self.era:
            # Answered in an earlier era, whose effect may be gone.
            bucket.version = None
        elif status == model.StoreStatus.OK and is_write:
            self.rewritten_count += len(bucket.lost_claims)
            bucket.lost_claims = {}
            bucket.version = result.revision
            bucket.claims = bucket.sent_claims
            bucket.next_call_at = now + COMMIT_INTERVAL_S
        elif status == model.StoreStatus.OK and result.objects:
            stored = result.objects[0]
            bucket.claims = decode_claims(stored.value or '[]')
            bucket.version = stored.version
            _drop_found(bucket)
        elif status == model.StoreStatus.NOT_FOUND and not is_write:
            bucket.claims = {}
            bucket.version = 0
        else:
            # The stored content is unknown until it is read again.
            bucket.version = None
            if status != model.StoreStatus.CONFLICT:
                delay_s = bucket.backoff_s * self.rng.uniform(0.5, 1.0)
                bucket.next_call_at = now + delay_s
                bucket.backoff_s = min(2 * bucket.backoff_s, MAX_BACKOFF_S)


def _drop_found(bucket: _ClaimBucket) -> None:
    """Drop lost claims whose keys the store holds after all."""
    for key in bucket.lost_claims.keys() & bucket.claims.keys():
        del bucket.lost_claims[key]


def _resolution(
    pending: _PendingClaim,
    status: model.ClaimStatus,
    standing: model.Claim | None,
) -> LedgerEffect:
    claim = pending.claim
    if pending.reply_to is None:
        return ClaimResolved(claim, status, standing)
    reply = model.ClaimReply(claim.key, claim.nonce, status, standing)
    return model.SendPeerMessage(pending.reply_to, reply)


class Janitor:
    """Delete claim buckets that are too old for any retained key.

    Each bucket is read before it is deleted: reads cost the store far
    less than writes, and most buckets never exist.
    """

    def __init__(self, retention_s: float, skew_s: float) -> None:
        """Keep buckets for the retention and twice the clock skew."""
        self.bucket_retention_s = retention_s + 2 * skew_s + BUCKET_SPAN_S
        self.next_bucket: int | None = None
        self.next_shard = 0
        self.op_count = 0

    def tick(self, wall: float) -> list[model.StoreCall]:
        """Return the next read for the elected janitor to make."""
        last = int(wall - self.bucket_retention_s) // BUCKET_SPAN_S - 1
        if self.next_bucket is None:
            self.next_bucket = last - JANITOR_WINDOW_BUCKETS
        if self.next_bucket > last:
            return []
        name = bucket_name(self.next_shard, self.next_bucket * BUCKET_SPAN_S)
        self.next_shard += 1
        if self.next_shard == SHARD_COUNT:
            self.next_shard = 0
            self.next_bucket += 1
        return [self._call(model.StoreVerb.GET, name)]

    def on_store_result(
        self, result: model.StoreResult
    ) -> list[model.StoreCall]:
        """Return the deletion of a bucket that was found."""
        return [
            self._call(model.StoreVerb.DELETE, item.name)
            for item in result.objects
        ]

    def _call(self, verb: model.StoreVerb, name: str) -> model.StoreCall:
        self.op_count += 1
        return model.StoreCall(f'{JANITOR_OP}{self.op_count}', verb, name)
