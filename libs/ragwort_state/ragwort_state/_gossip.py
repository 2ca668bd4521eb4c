"""Dissemination of replica changes: rumours and digest-based repair."""

from collections.abc import Iterable
import math
import random
from typing import Any

import ragwort_model as model
from ragwort_state import _replica

RUMOUR_INTERVAL_S = 0.1
RUMOUR_FANOUT = 2
EXTRA_ROUNDS = 3
DIGEST_INTERVAL_S = 2.0
MAX_PUSH_BYTES = 64 * 1024
PER_OBJECT_BYTES = 64
MAX_RUMOURED_OBJECTS = 50


class Gossip:
    """Spread adopted objects to other nodes.

    Fresh objects go to a few random peers for a number of rounds that
    grows with the logarithm of the fleet; whatever rumours miss is found
    by comparing digests with one random peer at a time.
    """

    def __init__(
        self, replica: _replica.Replica[Any], rng: random.Random, now: float
    ) -> None:
        """Bind to a replica; the first digest goes out at once."""
        self.replica = replica
        self.rng = rng
        self.hot: dict[str, int] = {}
        self.next_rumour = now
        self.next_digest = now

    def add_rumours(
        self, objects: Iterable[model.StoredObject], peer_count: int
    ) -> None:
        """Make rumours of newly adopted objects."""
        rounds = math.ceil(math.log2(peer_count + 1)) + EXTRA_ROUNDS
        for item in objects:
            self.hot[item.name] = rounds

    def tick(
        self, now: float, peers: list[str]
    ) -> list[model.SendPeerMessage]:
        """Return the messages due now, for peers by address."""
        messages: list[model.SendPeerMessage] = []
        if not peers:
            return messages
        if self.hot and now >= self.next_rumour:
            self.next_rumour = now + RUMOUR_INTERVAL_S
            messages += self._rumours(peers)
        if now >= self.next_digest:
            jitter = self.rng.uniform(0.75, 1.25)
            self.next_digest = now + DIGEST_INTERVAL_S * jitter
            digest = model.StateDigest(self.replica.root(), [])
            messages.append(
                model.SendPeerMessage(self.rng.choice(peers), digest)
            )
        return messages

    def _rumours(self, peers: list[str]) -> list[model.SendPeerMessage]:
        names = list(self.hot)
        objects = [self.replica.objects[n] for n in names if self._known(n)]
        for name in names:
            self.hot[name] -= 1
            if self.hot[name] <= 0:
                del self.hot[name]
        targets = self.rng.sample(peers, min(RUMOUR_FANOUT, len(peers)))
        return [
            model.SendPeerMessage(target, push)
            for target in targets
            for push in _pushes(objects, synced=False)
        ]

    def _known(self, name: str) -> bool:
        return name in self.replica.objects

    def on_digest(
        self, sender: str, digest: model.StateDigest
    ) -> list[model.SendPeerMessage]:
        """Answer a digest: bucket hashes first, then their versions."""
        replica = self.replica
        if digest.root == replica.root():
            if replica.synced:
                return [
                    model.SendPeerMessage(sender, model.StatePush([], True))
                ]
            return []
        if not digest.buckets:
            mine = model.StateDigest(replica.root(), list(replica.hashes))
            return [model.SendPeerMessage(sender, mine)]
        buckets = replica.differing_buckets(digest.buckets)
        versions = model.StateVersions(buckets, replica.versions(buckets))
        return [model.SendPeerMessage(sender, versions)]

    def on_versions(
        self, sender: str, message: model.StateVersions
    ) -> list[model.SendPeerMessage]:
        """Push what the sender lacks and ask for what it has newer."""
        theirs = {item.name: item.version for item in message.versions}
        buckets = [
            b for b in message.buckets if 0 <= b < _replica.BUCKET_COUNT
        ]
        mine = self.replica.versions(buckets)
        newer = [
            self.replica.objects[item.name]
            for item in mine
            if theirs.get(item.name, -1) < item.version
        ]
        want = [name for name, v in theirs.items() if self._lacks(name, v)]
        replies = [
            model.SendPeerMessage(sender, push)
            for push in _pushes(newer, synced=self.replica.synced)
        ]
        if want:
            replies.append(
                model.SendPeerMessage(sender, model.StateWant(want))
            )
        return replies

    def _lacks(self, name: str, version: int) -> bool:
        known = self.replica.objects.get(name)
        return known is None or known.version < version

    def on_want(
        self, sender: str, message: model.StateWant
    ) -> list[model.SendPeerMessage]:
        """Push the objects asked for."""
        objects = [
            self.replica.objects[name]
            for name in message.names
            if self._known(name)
        ]
        pushes = _pushes(objects, synced=self.replica.synced)
        return [model.SendPeerMessage(sender, push) for push in pushes]

    def on_push(
        self, message: model.StatePush, now: float, peer_count: int
    ) -> list[model.StoredObject]:
        """Merge pushed objects and return those adopted."""
        adopted = self.replica.merge(message.objects, now)
        if message.synced:
            self.replica.synced = True
        # A large transfer is repair, not news: rumouring it would flood.
        if len(adopted) <= MAX_RUMOURED_OBJECTS:
            self.add_rumours(adopted, peer_count)
        return adopted


def _pushes(
    objects: list[model.StoredObject], synced: bool
) -> list[model.StatePush]:
    """Cut objects into messages of bounded size; the last one is synced."""
    pushes: list[model.StatePush] = []
    batch: list[model.StoredObject] = []
    size = 0
    for item in objects:
        size += len(item.value or '') + len(item.name) + PER_OBJECT_BYTES
        if batch and size > MAX_PUSH_BYTES:
            pushes.append(model.StatePush(batch, False))
            batch, size = [], 0
        batch.append(item)
    if batch or synced:
        pushes.append(model.StatePush(batch, synced))
    return pushes
