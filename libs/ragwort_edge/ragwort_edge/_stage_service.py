"""Submission of stage work to the service's owner, or to this host."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import math
import time
from typing import Any

import msgspec
from twisted.internet import defer

from ragwort_edge import _client
from ragwort_edge import _dialect
from ragwort_edge import _metrics
from ragwort_edge import _stage_owner
import ragwort_model as model
import ragwort_relay as relay

# Time for an owner to acknowledge work: a few round trips between
# failure domains and a busy event loop.
ACK_TIMEOUT_S = 0.12
# Time to avoid an owner that did not acknowledge.
AVOID_OWNER_S = 1.0
# Interval of repeated StageAsks that check whether an owner is alive.
OWNER_CHECK_INTERVAL_S = 0.4
# Delivered groups whose handles are kept to recognise a repeated reply.
MAX_DELIVERED = 256
# Results whose owner is remembered for their release.
MAX_HANDLE_OWNERS = 8192
# Owner of a stage service and the hosts that replace it when it is silent.
OWNER_CANDIDATES = 3

Outcomes = dict[int, model.PieceOutcome]


class _PendingGroup(msgspec.Struct):
    """A group that one of this host's requests waits for."""

    group: relay.PieceGroup
    service: str
    done: 'defer.Deferred[Outcomes]'
    submitted_at: float
    outcomes: Outcomes = msgspec.field(default_factory=dict)
    owner: str | None = None
    timer: Any = None


class StageService:
    """Runs pieces for this host's requests and frees their results."""

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
        """Submit work through peers, or through an owner on this host.

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
            self._on_given_back,
        )
        self.local_owner.on_ended_makers = self._on_makers_ended
        # Called when results that requests here hold may be gone.
        self.on_inputs_ended: Callable[[], None] = lambda: None
        self.group_numbers = itertools.count(1)
        # Wall time, as the steady clock may repeat values after a restart.
        self.group_prefix = f'{name}/{time.time_ns()}'
        self.pending: dict[str, _PendingGroup] = {}
        self.delivered: collections.OrderedDict[str, frozenset[str]] = (
            collections.OrderedDict()
        )
        self.avoided_owners: dict[str, float] = {}
        self.handle_owners: collections.OrderedDict[str, str | None] = (
            collections.OrderedDict()
        )

    def forget_makers(self, now: float) -> None:
        """Forget starts and holders of results that are gone by now."""
        self.catalog.forget_makers(now)
        self.local_owner.maker_news.forget(now)

    @property
    def is_idle(self) -> bool:
        """Tell whether no group is queued or pending here."""
        return not self.local_owner.owned and not self.pending

    def refresh_waits(self, services: Iterable[str]) -> None:
        """Update the known queueing times of local queues."""
        for service in services:
            if self.owns(service):
                self.local_owner.update_wait(service)

    def _choose_owner(self, service: str) -> str | None:
        """Return the first candidate that may serve, None for this host."""
        is_lost = self.catalog.is_lost(service)
        for owner in self.owner_candidates(service):
            if owner is None and not is_lost:
                return None
            if owner is not None and not self._is_avoided(owner):
                return owner
        return None

    def owns(self, service: str) -> bool:
        """Tell whether this host makes the calls to a service's runners."""
        return self._choose_owner(service) is None

    def _is_avoided(self, owner: str) -> bool:
        return bool(
            self.avoided_owners.get(owner, 0.0) > self.reactor.seconds()
        )

    def submit(
        self, service: str, group: relay.PieceGroup
    ) -> 'defer.Deferred[Outcomes]':
        """Return the outcome of each piece; cancelling drops the group."""
        group.group_id = f'{self.group_prefix}/{next(self.group_numbers)}'
        done: defer.Deferred[Outcomes] = defer.Deferred(
            lambda _: self._cancel(group.group_id)
        )
        pending = _PendingGroup(group, service, done, self.reactor.seconds())
        self.pending[group.group_id] = pending
        owner = self._choose_owner(service)
        if owner is None:
            self._enqueue_here(pending)
        else:
            self._send_to_owner(pending, owner)
        return done

    def _send_to_owner(self, pending: _PendingGroup, owner: str) -> None:
        """Send a group to its owner, or again to check that it is alive."""
        group = pending.group
        now = self.reactor.seconds()
        pending.owner = owner
        starts = self._maker_starts(group)
        message = model.StageAsk(
            group.group_id,
            pending.service,
            [
                model.StageWork(
                    w.request_id,
                    w.stage,
                    w.piece,
                    w.key,
                    list(w.inputs),
                )
                for w in group.work
                if w.piece not in pending.outcomes
            ],
            group.target_at - now,
            group.deadline_at - now,
            group.rank,
            group.result_bytes,
            group.failure_domain,
            list(group.next_services),
            None if group.domains is None else sorted(group.domains),
            list(starts),
            list(starts.values()),
            (
                group.inputs_expire_at - now
                if math.isfinite(group.inputs_expire_at)
                else None
            ),
        )
        self.send_peer(model.SendPeerMessage(owner, message))
        self._set_timer(pending, ACK_TIMEOUT_S, self._on_owner_timeout)

    def _maker_starts(self, group: relay.PieceGroup) -> dict[str, int]:
        """Return the start of each maker of a group's inputs, by address.

        All pieces read the same inputs, so that it goes with the group. Of two
        starts of one maker the earlier one counts, which is over.
        """
        starts: dict[str, int] = {}
        work = group.work[0]
        for handle, started_ms in zip(
            work.inputs, work.input_starts, strict=True
        ):
            address = self.local_owner.dialect.handle_address(handle)
            known_ms = starts.get(address, started_ms)
            starts[address] = min(known_ms, started_ms)
        return starts

    def on_taken(self, message: model.StageTaken) -> None:
        """Handle an owner's acknowledgement of a group."""
        pending = self.pending.get(message.group)
        if pending is None or pending.owner is None:
            return
        self._update_waits(message.waits)
        self._set_timer(pending, OWNER_CHECK_INTERVAL_S, self._check_owner)

    def _update_waits(self, waits: Iterable[model.ServiceWait]) -> None:
        now = self.reactor.seconds()
        for wait in waits:
            if not _is_sound_wait(wait):
                self.logger.warning('invalid-queue-wait', wait=repr(wait))
                continue
            queue_wait = relay.QueueWait(
                tuple(wait.waits_s),
                wait.late_wait_s,
                now - max(wait.age_s, 0.0),
                max(wait.call_s, 0.0),
            )
            self.waits.update(wait.service_name, queue_wait)

    def _check_owner(self, group_id: str) -> None:
        pending = self.pending.get(group_id)
        if pending is not None and pending.owner is not None:
            self._send_to_owner(pending, pending.owner)

    def _set_timer(
        self,
        pending: _PendingGroup,
        delay_s: float,
        on_timeout: Callable[[str], None],
    ) -> None:
        self._stop_timer(pending)
        pending.timer = self.reactor.callLater(
            delay_s, on_timeout, pending.group.group_id
        )

    def _on_owner_timeout(self, group_id: str) -> None:
        pending = self.pending.get(group_id)
        if pending is None or pending.owner is None:
            return
        owner = pending.owner
        pending.timer = None
        self._log_owner('stage-owner-timeout', pending)
        drop = model.StageDrop(group_id, pending.service)
        self.send_peer(model.SendPeerMessage(owner, drop, True))
        self._avoid_owner(pending, owner)

    def _log_owner(self, event: str, pending: _PendingGroup) -> None:
        self.logger.warning(
            event,
            service=pending.service,
            owner=pending.owner or self.name,
            request=pending.group.work[0].request_id,
        )

    def _avoid_owner(self, pending: _PendingGroup, owner: str) -> None:
        """Leave an owner alone for a while and ask the next one."""
        self.avoided_owners[owner] = self.reactor.seconds() + AVOID_OWNER_S
        next_owner = self._choose_owner(pending.service)
        if next_owner is None:
            self._enqueue_here(pending)
        else:
            self._send_to_owner(pending, next_owner)

    def on_declined(self, sender: str, message: model.StageDeclined) -> None:
        """Ask another owner for a group that its owner gives back."""
        pending = self.pending.get(message.group)
        if pending is None or pending.owner != sender:
            return
        self._stop_timer(pending)
        self._log_owner('stage-owner-declined', pending)
        self._avoid_owner(pending, sender)

    def _on_given_back(self, group_id: str) -> bool:
        """Find another owner for a group of this host's own requests.

        Return whether there is one.
        """
        pending = self.pending.get(group_id)
        if pending is None:
            return True
        next_owner = self._choose_owner(pending.service)
        if next_owner is None:
            return False
        self._log_owner('stage-owner-declined', pending)
        self._send_to_owner(pending, next_owner)
        return True

    def _enqueue_here(self, pending: _PendingGroup) -> None:
        pending.owner = None
        group = pending.group
        if self.catalog.is_unreachable(pending.service):
            failed = [
                model.PieceOutcome(work.piece, None, 'no runner in reach')
                for work in group.work
            ]
            # The caller has yet to wait for the outcome.
            self.reactor.callLater(
                0.0, self._on_outcomes, group.group_id, failed
            )
            return
        group.work = [w for w in group.work if w.piece not in pending.outcomes]
        self.local_owner.enqueue(pending.service, group, None)

    def on_peer(self, sender: str, message: model.PeerMessage) -> None:
        """Handle a peer's message about stages; ignore any other."""
        match message:
            case model.StageAsk():
                self.local_owner.on_ask(sender, message)
            case model.StageTaken():
                self.on_taken(message)
            case model.StageReply():
                self.on_reply(message)
            case model.StageDeclined():
                self.on_declined(sender, message)
            case model.StageDrop():
                self.local_owner.on_drop(message)
            case model.StageRelease():
                self.local_owner.on_release(message)
            case model.RunnerStarts():
                self.local_owner.maker_news.on_told(
                    sender, message, self.reactor.seconds()
                )

    def _on_makers_ended(self, addresses: list[str]) -> None:
        """Tell the owners of pieces that read results of ended starts."""
        owners: dict[str, set[str]] = {}
        for pending in self.pending.values():
            if pending.owner is None:
                continue
            starts = self._maker_starts(pending.group)
            found = {
                address
                for address in addresses
                if self.catalog.makers.has_ended(
                    address, starts.get(address, 0)
                )
            }
            owners.setdefault(pending.owner, set()).update(found)
        for owner, found in owners.items():
            if found:
                self.local_owner.maker_news.tell(owner, sorted(found))
        self.on_inputs_ended()

    def on_reply(self, message: model.StageReply) -> None:
        """Handle outcomes from an owner."""
        self._update_waits(message.waits)
        self._on_outcomes(message.group, message.outcomes)

    def _on_outcomes(
        self, group_id: str, outcomes: list[model.PieceOutcome]
    ) -> None:
        pending = self.pending.get(group_id)
        if pending is None:
            # A repeated reply names results that are in use.
            used = self.delivered.get(group_id, frozenset())
            self._release_unneeded(
                [o for o in outcomes if o.handle not in used]
            )
            return
        for outcome in map(self._with_start, outcomes):
            pending.outcomes.setdefault(outcome.piece, outcome)
            if outcome.handle:
                self.handle_owners[outcome.handle] = pending.owner
        while len(self.handle_owners) > MAX_HANDLE_OWNERS:
            self.handle_owners.popitem(last=False)
        pieces = {work.piece for work in pending.group.work}
        if pieces <= pending.outcomes.keys():
            self._stop_timer(pending)
            self._log_done(pending)
            del self.pending[group_id]
            self.delivered[group_id] = frozenset(
                o.handle for o in pending.outcomes.values() if o.handle
            )
            while len(self.delivered) > MAX_DELIVERED:
                self.delivered.popitem(last=False)
            pending.done.callback(pending.outcomes)

    def _with_start(self, outcome: model.PieceOutcome) -> model.PieceOutcome:
        """Return an outcome with the start of its maker as known here.

        Hosts of earlier builds tell none.
        """
        if not outcome.handle or outcome.started_ms:
            return outcome
        address = self.local_owner.dialect.handle_address(outcome.handle)
        started_ms = self.catalog.makers.start_at(address)
        return msgspec.structs.replace(outcome, started_ms=started_ms)

    def _log_done(self, pending: _PendingGroup) -> None:
        group = pending.group
        now = self.reactor.seconds()
        wait = self.waits.by_service.get(pending.service)
        self.logger.info(
            'stage-done',
            request=group.work[0].request_id,
            stage=group.work[0].stage,
            service=pending.service,
            pieces=len(pending.outcomes),
            made=sum(o.handle is not None for o in pending.outcomes.values()),
            owner=pending.owner or self.name,
            took_s=round(now - pending.submitted_at, 3),
            slack_s=round(group.target_at - now, 3),
            queue_s=[round(s, 3) for s in wait.waits_s] if wait else None,
            queue_late_s=round(wait.late_wait_s, 3) if wait else None,
            queue_age_s=round(now - wait.measured_at, 3) if wait else None,
        )

    def _release_unneeded(self, outcomes: list[model.PieceOutcome]) -> None:
        results = [(o.handle, o.started_ms) for o in outcomes if o.handle]
        if results:
            self.local_owner.queue_release(results)

    def _cancel(self, group_id: str) -> None:
        pending = self.pending.pop(group_id, None)
        if pending is None:
            return
        self._stop_timer(pending)
        self._release_unneeded(list(pending.outcomes.values()))
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

    def release(
        self, service: str, handles: list[str], starts: Iterable[int] = ()
    ) -> None:
        """Free results through the owner that counts their storage.

        starts are those of the runners that made them. Those of a silent
        owner, which would never free them, are freed here.
        """
        by_owner: dict[str | None, list[tuple[str, int]]] = {}
        known = itertools.chain(starts, itertools.repeat(0))
        for handle, started_ms in zip(handles, known, strict=False):
            owner = self.handle_owners.pop(handle, None)
            if owner is not None and self._is_avoided(owner):
                owner = None
            by_owner.setdefault(owner, []).append((handle, started_ms))
        for owner, owned in by_owner.items():
            message = model.StageRelease(
                service, [h for h, _ in owned], [at for _, at in owned]
            )
            if owner is None:
                self.local_owner.on_release(message)
            else:
                self.send_peer(model.SendPeerMessage(owner, message))


def _is_sound_wait(wait: model.ServiceWait) -> bool:
    """Tell whether an owner's queueing times are numbers of a known age.

    Without a number for its age, no later ones would replace them.
    """
    times_s = (*wait.waits_s, wait.late_wait_s, wait.call_s)
    return math.isfinite(wait.age_s) and not any(map(math.isnan, times_s))
