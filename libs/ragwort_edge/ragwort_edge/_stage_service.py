"""Asking a stage service's owner for pieces, or this host without one."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import itertools
import time
from typing import Any

from twisted.internet import defer

from ragwort_edge import _client
from ragwort_edge import _dialect
from ragwort_edge import _metrics
from ragwort_edge import _stage_owner
import ragwort_model as model
import ragwort_relay as relay

# Time for an owner to acknowledge work: a few round trips between
# failure domains, and its loop being busy.
ACKNOWLEDGE_S = 0.12
# Time to pass over an owner that did not acknowledge.
AVOID_OWNER_S = 1.0
# Time after which an owner that brought nothing is asked for a sign.
OWNER_CHECK_S = 0.4
# Groups whose handles a host remembers, to know an answer that came twice.
MAX_DELIVERED = 256
# Results of which a host remembers who made them.
MAX_HANDLE_OWNERS = 8192
# Hosts that take over a stage service in turn when its owner is silent.
OWNER_CANDIDATES = 3

Outcomes = dict[int, model.PieceOutcome]


@dataclasses.dataclass(slots=True)
class _PendingGroup:
    """A group that a request here waits for."""

    group: relay.PieceGroup
    service: str
    done: 'defer.Deferred[Outcomes]'
    asked_at: float
    outcomes: Outcomes = dataclasses.field(default_factory=dict)
    owner: str | None = None
    timer: Any = None


class StageService:
    """Has pieces made for requests here, and results freed."""

    def __init__(
        self,
        reactor: Any,
        client: _client.HttpClient,
        dialect: _dialect.Dialect,
        catalog: relay.RelayCatalog,
        budget: relay.RetryBudget,
        metrics: _metrics.Metrics,
        logger: Any,
        name: str,
        send_peer: Callable[[model.SendPeerMessage], None],
        owner_candidates: Callable[[str], Sequence[str | None]],
    ) -> None:
        """Bind to what calls runners and peers.

        owner_candidates returns the peer addresses of the hosts that may own a
        service, best first, None for this host.
        """
        self.reactor = reactor
        self.logger = logger
        self.name = name
        self.send_peer = send_peer
        self.owner_candidates = owner_candidates
        self.catalog = catalog
        self.waits = relay.QueueWaits()
        self.local_owner = _stage_owner.StageOwner(
            reactor,
            client,
            dialect,
            catalog,
            budget,
            metrics,
            logger,
            self.waits,
            send_peer,
            self._on_outcomes,
        )
        self.ids = itertools.count(1)
        # Unlike the steady clock's, no start has the same twice.
        self.prefix = f'{name}/{time.time_ns()}'
        self.pending: dict[str, _PendingGroup] = {}
        self.delivered: collections.OrderedDict[str, frozenset[str]] = (
            collections.OrderedDict()
        )
        self.avoided_owners: dict[str, float] = {}
        self.handle_owners: collections.OrderedDict[str, str | None] = (
            collections.OrderedDict()
        )

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is gathered or asked for."""
        return not self.local_owner.owned and not self.pending

    def refresh_waits(self, services: Iterable[str]) -> None:
        """Bring up to date what is known of queues at this host."""
        for service in services:
            if self._owner(service) is None:
                self.local_owner.note_wait(service)

    def _owner(self, service: str) -> str | None:
        """Return the first owner that is not silent, None for this host."""
        for owner in self.owner_candidates(service):
            if owner is None or not self._is_avoided(owner):
                return owner
        return None

    def _is_avoided(self, owner: str) -> bool:
        return bool(
            self.avoided_owners.get(owner, 0.0) > self.reactor.seconds()
        )

    def submit(
        self, service: str, group: relay.PieceGroup
    ) -> 'defer.Deferred[Outcomes]':
        """Return the outcome of each piece; cancelling drops the group."""
        group.group_id = f'{self.prefix}/{next(self.ids)}'
        done: defer.Deferred[Outcomes] = defer.Deferred(
            lambda _: self._abandon(group.group_id)
        )
        pending = _PendingGroup(group, service, done, self.reactor.seconds())
        self.pending[group.group_id] = pending
        owner = self._owner(service)
        if owner is None:
            self._make_here(pending)
        else:
            self._ask(pending, owner)
        return done

    def _ask(self, pending: _PendingGroup, owner: str) -> None:
        """Send a group to its owner; once more is a check for a sign."""
        group = pending.group
        now = self.reactor.seconds()
        pending.owner = owner
        message = model.StageAsk(
            group.group_id,
            pending.service,
            [
                model.StageWork(
                    w.request_id, w.stage, w.piece, w.key, list(w.inputs)
                )
                for w in group.work
                if w.piece not in pending.outcomes
            ],
            group.target_at - now,
            group.deadline_at - now,
            group.rank,
            group.result_bytes,
            group.failure_domain,
        )
        self.send_peer(model.SendPeerMessage(owner, message))
        self._set_timer(pending, ACKNOWLEDGE_S, self._on_silent_owner)

    def on_taken(self, message: model.StageTaken) -> None:
        """Take an owner's word that it has a group."""
        pending = self.pending.get(message.group)
        if pending is None or pending.owner is None:
            return
        self._hear_waits(message.waits)
        self._set_timer(pending, OWNER_CHECK_S, self._check_owner)

    def _hear_waits(self, waits: Iterable[model.ServiceWait]) -> None:
        now = self.reactor.seconds()
        for wait in waits:
            word = relay.QueueWait(
                tuple(wait.waits_s),
                wait.late_wait_s,
                now - max(wait.age_s, 0.0),
            )
            self.waits.update(wait.service_name, word)

    def _check_owner(self, group_id: str) -> None:
        pending = self.pending.get(group_id)
        if pending is not None and pending.owner is not None:
            self._ask(pending, pending.owner)

    def _set_timer(
        self,
        pending: _PendingGroup,
        delay_s: float,
        on_time: Callable[[str], None],
    ) -> None:
        self._stop_timer(pending)
        pending.timer = self.reactor.callLater(
            delay_s, on_time, pending.group.group_id
        )

    def _on_silent_owner(self, group_id: str) -> None:
        pending = self.pending.get(group_id)
        if pending is None or pending.owner is None:
            return
        owner = pending.owner
        pending.timer = None
        self.avoided_owners[owner] = self.reactor.seconds() + AVOID_OWNER_S
        self.logger.warning(
            'stage-owner-silent',
            service=pending.service,
            owner=owner,
            request=pending.group.work[0].request_id,
        )
        drop = model.StageDrop(group_id, pending.service)
        self.send_peer(model.SendPeerMessage(owner, drop, True))
        another = self._owner(pending.service)
        if another is None:
            self._make_here(pending)
        else:
            self._ask(pending, another)

    def _make_here(self, pending: _PendingGroup) -> None:
        pending.owner = None
        group = pending.group
        group.work = [w for w in group.work if w.piece not in pending.outcomes]
        self.local_owner.gather(pending.service, group, None)

    def on_peer(self, sender: str, message: model.PeerMessage) -> None:
        """Take a peer's message if it is about stages."""
        match message:
            case model.StageAsk():
                self.local_owner.on_ask(sender, message)
            case model.StageTaken():
                self.on_taken(message)
            case model.StageReply():
                self.on_reply(message)
            case model.StageDrop():
                self.local_owner.on_drop(message)
            case model.StageRelease():
                self.local_owner.on_release(message)

    def on_reply(self, message: model.StageReply) -> None:
        """Take outcomes from an owner."""
        self._hear_waits(message.waits)
        self._on_outcomes(message.group, message.outcomes)

    def _on_outcomes(
        self, group_id: str, outcomes: list[model.PieceOutcome]
    ) -> None:
        pending = self.pending.get(group_id)
        if pending is None:
            # An answer that came twice names results that are in use.
            used = self.delivered.get(group_id, frozenset())
            self._release_unwanted(
                [o for o in outcomes if o.handle not in used]
            )
            return
        for outcome in outcomes:
            pending.outcomes.setdefault(outcome.piece, outcome)
            if outcome.handle:
                self.handle_owners[outcome.handle] = pending.owner
        while len(self.handle_owners) > MAX_HANDLE_OWNERS:
            self.handle_owners.popitem(last=False)
        pieces = {work.piece for work in pending.group.work}
        if pieces <= pending.outcomes.keys():
            self._stop_timer(pending)
            self._log_made(pending)
            del self.pending[group_id]
            self.delivered[group_id] = frozenset(
                o.handle for o in pending.outcomes.values() if o.handle
            )
            while len(self.delivered) > MAX_DELIVERED:
                self.delivered.popitem(last=False)
            pending.done.callback(pending.outcomes)

    def _log_made(self, pending: _PendingGroup) -> None:
        group = pending.group
        now = self.reactor.seconds()
        word = self.waits.by_service.get(pending.service)
        self.logger.info(
            'stage-done',
            request=group.work[0].request_id,
            stage=group.work[0].stage,
            service=pending.service,
            pieces=len(pending.outcomes),
            made=sum(o.handle is not None for o in pending.outcomes.values()),
            owner=pending.owner or self.name,
            took_s=round(now - pending.asked_at, 3),
            slack_s=round(group.target_at - now, 3),
            queue_s=[round(s, 3) for s in word.waits_s] if word else None,
            queue_late_s=round(word.late_wait_s, 3) if word else None,
            queue_age_s=round(now - word.measured_at, 3) if word else None,
        )

    def _release_unwanted(self, outcomes: list[model.PieceOutcome]) -> None:
        handles = [o.handle for o in outcomes if o.handle]
        if handles:
            self.local_owner.queue_release(handles)

    def _abandon(self, group_id: str) -> None:
        pending = self.pending.pop(group_id, None)
        if pending is None:
            return
        self._stop_timer(pending)
        self._release_unwanted(list(pending.outcomes.values()))
        if pending.owner is None:
            self.local_owner.on_drop(
                model.StageDrop(group_id, pending.service)
            )
        else:
            drop = model.StageDrop(group_id, pending.service)
            self.send_peer(model.SendPeerMessage(pending.owner, drop))

    def _stop_timer(self, pending: _PendingGroup) -> None:
        if pending.timer is not None and pending.timer.active():
            pending.timer.cancel()
        pending.timer = None

    def release(self, service: str, handles: list[str]) -> None:
        """Give results up, through the host that counts their room.

        A host that went silent would never free them.
        """
        by_maker: dict[str | None, list[str]] = {}
        for handle in handles:
            maker = self.handle_owners.pop(handle, None)
            if maker is not None and self._is_avoided(maker):
                maker = None
            by_maker.setdefault(maker, []).append(handle)
        for maker, made in by_maker.items():
            message = model.StageRelease(service, made)
            if maker is None:
                self.local_owner.on_release(message)
            else:
                self.send_peer(model.SendPeerMessage(maker, message))
