"""Replica of versioned objects whose versions never decrease."""

from collections.abc import Iterable
from typing import Generic
from typing import Protocol
from typing import TypeVar

import ragwort_model as model

CONFIG_PREFIX = 'config/'
BUCKET_COUNT = 64
TOMBSTONE_RETENTION_S = 24 * 3600.0
_HASH_MASK = (1 << 63) - 1


def _bucket_of(name: str) -> int:
    return model.stable_hash('bucket', name) % BUCKET_COUNT


def _prefix_of(name: str) -> str:
    return name.partition('/')[0] + '/'


def _object_hash(name: str, version: int) -> int:
    return model.stable_hash(name, str(version)) & _HASH_MASK


class ObjectCatalog(Protocol):
    """A typed view of the objects of a replica."""

    def apply(self, item: model.StoredObject) -> None:
        """Put a newer version of an object in force if it is valid."""


CatalogT = TypeVar('CatalogT', bound=ObjectCatalog)


class Replica(Generic[CatalogT]):
    """Keep the highest version seen of each object, from any source."""

    def __init__(self, catalog: CatalogT) -> None:
        """Start empty; synced tells whether a full state was merged.

        changed_at is when an object below a prefix was last adopted.
        """
        self.objects: dict[str, model.StoredObject] = {}
        self.catalog = catalog
        self.adopted_at: dict[str, float] = {}
        self.changed_at: dict[str, float] = {}
        self.bucket_hashes = [0] * BUCKET_COUNT
        self.bucket_names: list[set[str]] = [
            set() for _ in range(BUCKET_COUNT)
        ]
        self.synced = False
        # Prefixes whose watchers have yet to read the store's full list.
        self.unlisted: set[str] = set()

    def merge(
        self, objects: Iterable[model.StoredObject], now: float
    ) -> list[model.StoredObject]:
        """Adopt newer versions and return those that were adopted."""
        return [item for item in objects if self._adopt(item, now)]

    def _adopt(self, item: model.StoredObject, now: float) -> bool:
        current = self.objects.get(item.name)
        if current is not None and current.version >= item.version:
            return False
        bucket = _bucket_of(item.name)
        if current is not None:
            self.bucket_hashes[bucket] ^= _object_hash(
                current.name, current.version
            )
        self.bucket_hashes[bucket] ^= _object_hash(item.name, item.version)
        self.bucket_names[bucket].add(item.name)
        self.objects[item.name] = item
        self.adopted_at[item.name] = now
        self.changed_at[_prefix_of(item.name)] = now
        self.catalog.apply(item)
        return True

    def merge_list(
        self,
        objects: Iterable[model.StoredObject],
        revision: int,
        now: float,
        prefix: str = CONFIG_PREFIX,
    ) -> list[model.StoredObject]:
        """Adopt the full list of objects below prefix, read at revision.

        An object missing from the list was deleted at or before revision
        unless its version is higher.
        """
        listed = list(objects)
        names = {item.name for item in listed}
        deleted = [
            model.StoredObject(item.name, revision, None)
            for item in self.objects.values()
            if item.name.startswith(prefix)
            and item.name not in names
            and item.value is not None
            and item.version < revision
        ]
        return self.merge(listed + deleted, now)

    def drop_old_tombstones(self, now: float) -> None:
        """Delete tombstones old enough for every node to have seen them."""
        for item in list(self.objects.values()):
            age = now - self.adopted_at[item.name]
            if item.value is None and age > TOMBSTONE_RETENTION_S:
                self._delete(item)

    def _delete(self, item: model.StoredObject) -> None:
        bucket = _bucket_of(item.name)
        self.bucket_hashes[bucket] ^= _object_hash(item.name, item.version)
        self.bucket_names[bucket].discard(item.name)
        del self.objects[item.name]
        del self.adopted_at[item.name]

    def root_hash(self) -> int:
        """Return a hash over all names and versions."""
        return model.stable_hash(*map(str, self.bucket_hashes)) & _HASH_MASK

    def versions(self, buckets: Iterable[int]) -> list[model.ObjectVersion]:
        """Return names and versions of the objects in the buckets."""
        return [
            model.ObjectVersion(name, self.objects[name].version)
            for bucket in buckets
            for name in sorted(self.bucket_names[bucket])
        ]

    def differing_buckets(self, hashes: list[int]) -> list[int]:
        """Return the buckets whose hash differs from the given one."""
        return [
            index
            for index, (own, other) in enumerate(
                zip(self.bucket_hashes, hashes, strict=False)
            )
            if own != other
        ]
