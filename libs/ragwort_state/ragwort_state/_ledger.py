"""Claim ledger: at-most-once dispatch on conditional updates alone.

A claim is written by conditional update before the request's first
dispatch, and the dispatch follows only after the claimant's own nonce was
seen in the stored object. Claims are grouped per shard by its owner; two
owners at once are safe, since only the store decides.
"""

import dataclasses
import random

import msgspec

import ragwort_model as model

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
JANITOR_WINDOW_BUCKETS = 40
IDLE_BUCKET_S = 60.0


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


def bucket_name(shard: int, stamp: float) -> str:
    """Return the object name of a shard's bucket for a wall time."""
    return f'{CLAIMS_PREFIX}{shard:02d}/{int(stamp) // BUCKET_SPAN_S}'


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
    except (msgspec.MsgspecError, ValueError) as error:
        raise model.WireError(f'damaged claim bucket: {error}') from None
    return {
        r.key: model.Claim(r.key, r.workspace, r.body_digest, r.host, r.nonce)
        for r in records
    }


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResolved:
    """Result of a claim that this node asked for."""

    claim: model.Claim
    status: model.ClaimStatus
    standing: model.Claim | None


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A claim waiting for its commit; reply_to is a peer or None."""

    claim: model.Claim
    expires_at: float
    reply_to: str | None


@dataclasses.dataclass(slots=True)
class _Bucket:
    name: str
    version: int | None = None
    claims: dict[str, model.Claim] = dataclasses.field(default_factory=dict)
    waiting: list[_Waiter] = dataclasses.field(default_factory=list)
    pending_op: str | None = None
    sent: dict[str, model.Claim] = dataclasses.field(default_factory=dict)
    not_before: float = 0.0
    backoff_s: float = MIN_BACKOFF_S
    used_at: float = 0.0


@dataclasses.dataclass(slots=True)
class _Forward:
    claim: model.Claim
    direct_at: float
    expires_at: float


LedgerEffect = model.StoreCall | model.SendPeerMessage | ClaimResolved


class Ledger:
    """Commit claims for this node and for peers that forward theirs."""

    def __init__(self, rng: random.Random) -> None:
        """Start with nothing cached."""
        self.rng = rng
        self.buckets: dict[str, _Bucket] = {}
        self.forwards: dict[tuple[str, str], _Forward] = {}
        self.operations = 0
        self.outage_seen_at: float | None = None

    def is_store_unavailable(self, now: float) -> bool:
        """Tell whether the store lately failed to answer."""
        seen = self.outage_seen_at
        return seen is not None and now - seen < OUTAGE_MEMORY_S

    def claim(
        self,
        claim: model.Claim,
        owner_address: str | None,
        now: float,
        expires_at: float,
    ) -> list[LedgerEffect]:
        """Begin a claim of this node; owner_address None means self."""
        if owner_address is None:
            return self._enqueue(_Waiter(claim, expires_at, None), now)
        self.forwards[claim.key, claim.nonce] = _Forward(
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
        waiter = _Waiter(message.claim, expires_at, sender)
        return self._enqueue(waiter, now)

    def on_reply(self, message: model.ClaimReply) -> list[LedgerEffect]:
        """Take an owner's answer to a forwarded claim."""
        if message.status == model.ClaimStatus.UNRESOLVED:
            return []
        forward = self.forwards.pop((message.key, message.nonce), None)
        if forward is None:
            return []
        return [ClaimResolved(forward.claim, message.status, message.standing)]

    def tick(self, now: float) -> list[LedgerEffect]:
        """Expire claims, take over from silent owners, commit groups."""
        effects: list[LedgerEffect] = []
        for ident, forward in list(self.forwards.items()):
            if now >= forward.direct_at:
                del self.forwards[ident]
                waiter = _Waiter(forward.claim, forward.expires_at, None)
                effects += self._enqueue(waiter, now)
        for bucket in list(self.buckets.values()):
            effects += self._step(bucket, now)
            idle = now - bucket.used_at > IDLE_BUCKET_S
            if idle and not bucket.waiting and bucket.pending_op is None:
                del self.buckets[bucket.name]
        return effects

    def _enqueue(self, waiter: _Waiter, now: float) -> list[LedgerEffect]:
        claim = waiter.claim
        shard = shard_of(claim.workspace, claim.key)
        name = bucket_name(shard, model.request_key_time(claim.key))
        bucket = self.buckets.setdefault(name, _Bucket(name))
        bucket.waiting.append(waiter)
        bucket.used_at = now
        return self._step(bucket, now)

    def _step(self, bucket: _Bucket, now: float) -> list[LedgerEffect]:
        """Settle what is known, then send the next read or write."""
        effects = self._resolve(bucket, now)
        if not bucket.waiting or bucket.pending_op is not None:
            return effects
        if now < bucket.not_before:
            return effects
        self.operations += 1
        bucket.pending_op = f'{LEDGER_OP}{bucket.name}#{self.operations}'
        effects.append(self._next_call(bucket))
        return effects

    def _next_call(self, bucket: _Bucket) -> model.StoreCall:
        assert bucket.pending_op is not None
        if bucket.version is None:
            return model.StoreCall(
                bucket.pending_op, model.StoreVerb.GET, bucket.name
            )
        bucket.sent = dict(bucket.claims)
        for waiter in bucket.waiting:
            bucket.sent.setdefault(waiter.claim.key, waiter.claim)
        return model.StoreCall(
            bucket.pending_op,
            model.StoreVerb.PUT,
            bucket.name,
            encode_claims(bucket.sent),
            bucket.version,
        )

    def _resolve(self, bucket: _Bucket, now: float) -> list[LedgerEffect]:
        effects: list[LedgerEffect] = []
        waiting: list[_Waiter] = []
        for waiter in bucket.waiting:
            standing = bucket.claims.get(waiter.claim.key)
            if standing is not None:
                granted = standing.nonce == waiter.claim.nonce
                status = (
                    model.ClaimStatus.GRANTED
                    if granted
                    else model.ClaimStatus.TAKEN
                )
                effects.append(_resolution(waiter, status, standing))
            elif now >= waiter.expires_at:
                status = model.ClaimStatus.UNRESOLVED
                effects.append(_resolution(waiter, status, None))
            else:
                waiting.append(waiter)
        bucket.waiting = waiting
        return effects

    def on_store_result(
        self, result: model.StoreResult, now: float
    ) -> list[LedgerEffect]:
        """Take the end of a store call of this ledger."""
        name = result.op.removeprefix(LEDGER_OP).partition('#')[0]
        bucket = self.buckets.get(name)
        if bucket is None or bucket.pending_op != result.op:
            return []
        writing = bucket.version is not None
        bucket.pending_op = None
        self._learn(bucket, result, writing, now)
        return self._step(bucket, now)

    def _learn(
        self,
        bucket: _Bucket,
        result: model.StoreResult,
        writing: bool,
        now: float,
    ) -> None:
        status = result.status
        if status == model.StoreStatus.UNAVAILABLE:
            self.outage_seen_at = now
        elif status != model.StoreStatus.RATE_LIMITED:
            self.outage_seen_at = None
            bucket.backoff_s = MIN_BACKOFF_S
        if status == model.StoreStatus.OK and writing:
            bucket.version = result.revision
            bucket.claims = bucket.sent
            bucket.not_before = now + COMMIT_INTERVAL_S
        elif status == model.StoreStatus.OK and result.objects:
            stored = result.objects[0]
            bucket.claims = decode_claims(stored.value or '[]')
            bucket.version = stored.version
        elif status == model.StoreStatus.NOT_FOUND and not writing:
            bucket.claims = {}
            bucket.version = 0
        else:
            # The stored content is in doubt until it is read again.
            bucket.version = None
            if status != model.StoreStatus.CONFLICT:
                wait = bucket.backoff_s * self.rng.uniform(0.5, 1.0)
                bucket.not_before = now + wait
                bucket.backoff_s = min(2 * bucket.backoff_s, MAX_BACKOFF_S)


def _resolution(
    waiter: _Waiter, status: model.ClaimStatus, standing: model.Claim | None
) -> LedgerEffect:
    claim = waiter.claim
    if waiter.reply_to is None:
        return ClaimResolved(claim, status, standing)
    reply = model.ClaimReply(claim.key, claim.nonce, status, standing)
    return model.SendPeerMessage(waiter.reply_to, reply)


class Janitor:
    """Delete claim buckets that no key inside retention can name.

    Whether a bucket exists is read first: reads are far cheaper to the
    store than writes, and most buckets never come to be.
    """

    def __init__(self, retention_s: float, skew_s: float) -> None:
        """Keep buckets for the retention and twice the clock skew."""
        self.keep_s = retention_s + 2 * skew_s + BUCKET_SPAN_S
        self.next_bucket: int | None = None
        self.next_shard = 0
        self.operations = 0

    def tick(self, wall: float) -> list[model.StoreCall]:
        """Return the next read for the elected janitor to make."""
        last = int(wall - self.keep_s) // BUCKET_SPAN_S - 1
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
        self.operations += 1
        return model.StoreCall(f'{JANITOR_OP}{self.operations}', verb, name)
