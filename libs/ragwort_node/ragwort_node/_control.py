"""Control plane of a node: members, configuration and claims."""

import dataclasses
import random

import ragwort_membership as membership
import ragwort_model as model
from ragwort_node import _options
import ragwort_state as state

TICK_S = 0.1
WATCHERS_PER_REGION = 2
WATCHER_ROLE = 'watcher'
JANITOR_ROLE = 'janitor'
TOMBSTONE_CHECK_INTERVAL_S = 600.0

ControlEffect = model.SendPeerMessage | model.StoreCall | state.ClaimResolved


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreNotice:
    """What a node noticed or wrote because the store was restored."""

    subject: str
    rule: str
    detail: str


class ControlPlane:
    """Membership, replicated configuration and claims of a node."""

    def __init__(
        self,
        options: _options.NodeOptions,
        rng: random.Random,
        now: float,
        wall: float,
    ) -> None:
        """Start with the seeds as only peers and without configuration."""
        self.options = options
        self.members = membership.Membership(
            options.host, options.seeds, rng, now, wall
        )
        self.replica = state.Replica(state.Catalog())
        self.store_era = state.StoreEra(wall_offset_s=wall - now)
        self.gossip = state.Gossip(self.replica, rng, now)
        self.watcher = state.Watcher(self.replica, self.store_era, rng, now)
        self.ledger = state.Ledger(rng, self.store_era, options.clock_skew_s)
        self.janitor = state.Janitor(
            options.claim_retention_s, options.clock_skew_s
        )
        self.next_tombstone_check = now + TOMBSTONE_CHECK_INTERVAL_S
        self.adopted: list[model.StoredObject] = []
        self.restore_notices: list[RestoreNotice] = []

    @property
    def catalog(self) -> state.Catalog:
        """Return the configuration in force."""
        return self.replica.catalog

    def tick(self, now: float, wall: float) -> list[ControlEffect]:
        """Run the periodic work and return its effects."""
        self.store_era.wall_offset_s = wall - now
        effects: list[ControlEffect] = []
        effects += self.members.tick(now, wall)
        effects += self.gossip.tick(now, self.members.peer_addresses())
        effects += self.watcher.tick(now, self._watch_turn())
        effects += self.ledger.tick(now)
        if self.replica.synced and self._is_janitor():
            effects += self.janitor.tick(wall)
        if now >= self.next_tombstone_check:
            self.next_tombstone_check = now + TOMBSTONE_CHECK_INTERVAL_S
            self.replica.drop_old_tombstones(now)
        return effects

    def _watch_turn(self) -> state.WatchTurn | None:
        region = self.options.host.region
        role = (WATCHER_ROLE, WATCHERS_PER_REGION, region)
        if not membership.is_elected(self.members, *role):
            return None
        watchers = membership.role_holders(self.members, *role)
        return state.WatchTurn.of(self.options.host.name, watchers)

    def _is_janitor(self) -> bool:
        return membership.is_elected(self.members, JANITOR_ROLE, 1, None)

    def publish(self, objects: list[model.StoredObject], now: float) -> None:
        """Adopt objects that originate at this node and gossip them."""
        adopted = self.replica.merge(objects, now)
        self._gossip_adopted(adopted)

    def _gossip_adopted(self, adopted: list[model.StoredObject]) -> None:
        self.adopted += adopted
        if len(adopted) <= state.MAX_RUMOURED_OBJECTS:
            self.gossip.add_rumours(
                adopted, len(self.members.peer_addresses())
            )

    def observe_era(self, era: int, source: str, now: float) -> None:
        """Record an era of the store, heard of from the store or a peer."""
        earlier = self.store_era.current
        if self.store_era.observe(era, now):
            self.restore_notices.append(
                RestoreNotice(
                    'store', 'new-era', f'{earlier} to {era}, {source}'
                )
            )

    def _observe_rewritten(self, op: str, count: int) -> None:
        """Note how many lost claims a write brought back to the store."""
        if count:
            bucket = op.removeprefix(state.LEDGER_OP).partition('#')[0]
            self.restore_notices.append(
                RestoreNotice(bucket, 'claims-rewritten', f'{count} claims')
            )

    def take_restore_notices(self) -> list['RestoreNotice']:
        """Return the notices of restores since the last call."""
        notices, self.restore_notices = self.restore_notices, []
        return notices

    def take_adopted(self) -> list[model.StoredObject]:
        """Return the objects adopted since the last call."""
        adopted, self.adopted = self.adopted, []
        return adopted

    def on_store_result(
        self, result: model.StoreResult, now: float
    ) -> list[ControlEffect]:
        """Pass a store result to the component that made the call."""
        if result.op.startswith((state.LIST_OP, state.WATCH_OP)):
            self._gossip_adopted(self.watcher.on_store_result(result, now))
            return []
        if result.op.startswith(state.LEDGER_OP):
            before = self.ledger.rewritten_count
            effects = list(self.ledger.on_store_result(result, now))
            count = self.ledger.rewritten_count - before
            self._observe_rewritten(result.op, count)
            return effects
        if result.op.startswith(state.JANITOR_OP):
            return list(self.janitor.on_store_result(result))
        return []

    def on_peer(
        self, sender: str, message: model.PeerMessage, now: float, wall: float
    ) -> list[ControlEffect]:
        """Pass a peer's message to the component that handles it."""
        members = self.members
        match message:
            case model.Ping():
                return list(members.on_ping(sender, message, now, wall))
            case model.Ack():
                return list(members.on_ack(sender, message, now, wall))
            case model.IndirectPing():
                return list(members.on_indirect(sender, message, now, wall))
            case model.MemberSync():
                return list(members.on_sync(sender, message, now))
            case model.StateDigest():
                return list(self.gossip.on_digest(sender, message))
            case model.StateVersions():
                return list(self.gossip.on_versions(sender, message, now))
            case model.StateWant():
                return list(self.gossip.on_want(sender, message))
            case model.StatePush():
                era = state.latest_era(message.objects)
                self.observe_era(era, sender, now)
                peer_count = len(members.peer_addresses())
                self.adopted += self.gossip.on_push(message, now, peer_count)
                return []
            case model.ClaimForward():
                return list(self.ledger.on_forward(sender, message, now))
            case model.ClaimReply():
                return list(self.ledger.on_reply(message))
            case _:
                return []

    def begin_claim(
        self, claim: model.Claim, now: float, expires_at: float
    ) -> list[ControlEffect]:
        """Start a claim through the owner of its shard."""
        shard = state.shard_of(claim.workspace, claim.key)
        owner = membership.owner_address(self.members, f'shard/{shard}')
        return list(self.ledger.claim(claim, owner, now, expires_at))
