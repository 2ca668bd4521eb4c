"""Dissemination of replica changes by rumours and anti-entropy."""

from collections.abc import Iterable
import math
import random
from typing import Any

import ragwort_model as model
from ragwort_state import _replica
from ragwort_state import _wants

RUMOUR_INTERVAL_S = 0.1
RUMOUR_FANOUT = 2
EXTRA_RUMOUR_ROUNDS = 3
DIGEST_INTERVAL_S = 2.0
MAX_PUSH_BYTES = 64 * 1024
OBJECT_OVERHEAD_BYTES = 64
MAX_RUMOURED_OBJECTS = 50
# Bytes of objects in a rumour. A host sends a rumour up to a dozen times to
# each of two peers, which for larger objects would fill a narrow link.
MAX_RUMOUR_BYTES = 4 * 1024


class Gossip:
    """Spread adopted objects to other nodes.

    Newly adopted objects are sent as rumours to a few random peers, for
    a number of rounds that grows with the logarithm of the fleet size.
    Small objects are pushed; of larger ones a rumour tells the versions,
    and a peer that lacks one requests it. What rumours missed is found by
    comparing digests with one random peer at a time.
    """

    def __init__(
        self, replica: _replica.Replica[Any], rng: random.Random, now: float
    ) -> None:
        """Bind to a replica; the first digest goes out at once."""
        self.replica = replica
        self.rng = rng
        self.wants = _wants.Wants()
        self.rounds_left: dict[str, int] = {}
        self.next_rumour_at = now
        self.next_digest_at = now

    def add_rumours(
        self, objects: Iterable[model.StoredObject], peer_count: int
    ) -> None:
        """Queue newly adopted objects as rumours."""
        rounds = math.ceil(math.log2(peer_count + 1)) + EXTRA_RUMOUR_ROUNDS
        for item in objects:
            self.rounds_left[item.name] = rounds

    def tick(
        self, now: float, peers: list[str]
    ) -> list[model.SendPeerMessage]:
        """Return the messages due now, for peers by address."""
        messages: list[model.SendPeerMessage] = []
        if not peers:
            return messages
        messages += [
            model.SendPeerMessage(source, model.StateWant([name], True))
            for source, name in self.wants.due(now, self._lacks)
        ]
        if self.rounds_left and now >= self.next_rumour_at:
            self.next_rumour_at = now + RUMOUR_INTERVAL_S
            messages += self._rumour_messages(peers)
        if now >= self.next_digest_at:
            jitter = self.rng.uniform(0.75, 1.25)
            self.next_digest_at = now + DIGEST_INTERVAL_S * jitter
            digest = model.StateDigest(self.replica.root_hash(), [])
            messages.append(
                model.SendPeerMessage(self.rng.choice(peers), digest)
            )
        return messages

    def _rumour_messages(
        self, peers: list[str]
    ) -> list[model.SendPeerMessage]:
        names = list(self.rounds_left)
        objects = [
            self.replica.objects[n] for n in names if self._has_object(n)
        ]
        for name in names:
            self.rounds_left[name] -= 1
            if self.rounds_left[name] <= 0:
                del self.rounds_left[name]
        receivers = self.rng.sample(peers, min(RUMOUR_FANOUT, len(peers)))
        return [
            model.SendPeerMessage(receiver, rumour)
            for receiver in receivers
            for rumour in _rumours_of(objects)
        ]

    def _has_object(self, name: str) -> bool:
        return name in self.replica.objects

    def on_digest(
        self, sender: str, digest: model.StateDigest
    ) -> list[model.SendPeerMessage]:
        """Answer a digest with bucket hashes, or versions if it has hashes."""
        replica = self.replica
        if digest.root == replica.root_hash():
            if replica.synced:
                return [
                    model.SendPeerMessage(sender, model.StatePush([], True))
                ]
            return []
        if not digest.buckets:
            answer = model.StateDigest(
                replica.root_hash(), list(replica.bucket_hashes)
            )
            return [model.SendPeerMessage(sender, answer)]
        buckets = replica.differing_buckets(digest.buckets)
        versions = model.StateVersions(buckets, replica.versions(buckets))
        return [model.SendPeerMessage(sender, versions)]

    def on_versions(
        self, sender: str, message: model.StateVersions, now: float
    ) -> list[model.SendPeerMessage]:
        """Push objects that the sender lacks and request newer ones."""
        remote_versions = {
            item.name: item.version for item in message.versions
        }
        buckets = [
            b for b in message.buckets if 0 <= b < _replica.BUCKET_COUNT
        ]
        own_versions = self.replica.versions(buckets)
        newer = [
            self.replica.objects[item.name]
            for item in own_versions
            if remote_versions.get(item.name, -1) < item.version
        ]
        wanted_names = [
            name
            for name, version in remote_versions.items()
            if self._lacks(name, version)
            and self.wants.on_offer(name, version, sender, now)
        ]
        replies = [
            model.SendPeerMessage(sender, push)
            for push in _split_pushes(newer, synced=self.replica.synced)
        ]
        if wanted_names:
            replies.append(
                model.SendPeerMessage(
                    sender, model.StateWant(wanted_names, True)
                )
            )
        return replies

    def _lacks(self, name: str, version: int) -> bool:
        current = self.replica.objects.get(name)
        return current is None or current.version < version

    def on_want(
        self, sender: str, message: model.StateWant
    ) -> list[model.SendPeerMessage]:
        """Push the objects asked for, which may not be all that is known."""
        objects = [
            self.replica.objects[name]
            for name in message.names
            if self._has_object(name)
        ]
        pushes = _split_pushes(objects, synced=False)
        return [
            model.SendPeerMessage(
                sender, push, is_compressed=message.reads_compressed
            )
            for push in pushes
        ]

    def on_push(
        self, message: model.StatePush, now: float, peer_count: int
    ) -> list[model.StoredObject]:
        """Merge pushed objects and return those adopted."""
        adopted = self.replica.merge(message.objects, now)
        for item in message.objects:
            self.wants.on_received(item.name, item.version)
        if message.synced:
            self.replica.synced = True
        # A large transfer is a repair; as rumours it would flood the network.
        if len(adopted) <= MAX_RUMOURED_OBJECTS:
            self.add_rumours(adopted, peer_count)
        return adopted


def _object_bytes(item: model.StoredObject) -> int:
    """Return the approximate size of an object in a message."""
    return len(item.value or '') + len(item.name) + OBJECT_OVERHEAD_BYTES


def _rumours_of(
    objects: list[model.StoredObject],
) -> list[model.StatePush | model.StateVersions]:
    """Push the smallest objects and tell the versions of the others."""
    pushed: list[model.StoredObject] = []
    offered: list[model.ObjectVersion] = []
    size = 0
    for item in sorted(objects, key=_object_bytes):
        size += _object_bytes(item)
        if size <= MAX_RUMOUR_BYTES:
            pushed.append(item)
        else:
            offered.append(model.ObjectVersion(item.name, item.version))
    rumours: list[model.StatePush | model.StateVersions] = []
    if pushed:
        rumours.append(model.StatePush(pushed, False))
    if offered:
        rumours.append(model.StateVersions([], offered))
    return rumours


def _split_pushes(
    objects: list[model.StoredObject], synced: bool
) -> list[model.StatePush]:
    """Split objects into bounded messages; synced is for the last one."""
    pushes: list[model.StatePush] = []
    batch: list[model.StoredObject] = []
    size = 0
    for item in objects:
        size += _object_bytes(item)
        if batch and size > MAX_PUSH_BYTES:
            pushes.append(model.StatePush(batch, False))
            batch, size = [], 0
        batch.append(item)
    if batch or synced:
        pushes.append(model.StatePush(batch, synced))
    return pushes
