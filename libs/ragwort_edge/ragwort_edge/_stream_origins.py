"""What hosts tell and ask each other of the origins of streams.

While a service has several software versions, two hosts chosen by the
stream's first attempt are told what began it, and are asked when a caller
takes it up at a host that doesn't know.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
import random
from typing import Any

import msgspec
from twisted.internet import defer

from ragwort_edge import _metrics
from ragwort_edge import _stream_store
from ragwort_edge import _version_store
import ragwort_membership as membership
import ragwort_model as model
import ragwort_relay as relay
import ragwort_state as state

# Hosts that are told of a stream, and that are asked: one more, since a host
# that has just joined may have taken the place of one that was told.
TOLD_HOSTS = 2
ASKED_HOSTS = 3
# Streams share their hosts by shard, so that the choice can be cached.
SHARDS = 256
# Further hosts that are asked whether a service has a second version. In a
# fleet cut in halves the chance that all are in the same one is 1 in 100.
WITNESSES = 7
# Age of a store's answer that still tells which versions there are.
STORE_ANSWER_AGE_S = 0.5
# A host that does not answer in this time is down or cut off.
ANSWER_TIMEOUT_S = 0.3
MAX_STREAMS_PER_MESSAGE = 200
OBSERVE_INTERVAL_S = 1.0
# More than differences of times are rounded by.
ROUNDING_S = 0.001

Homes = Callable[[str, int], list[str]]
Witnesses = Callable[[], list[str] | None]


def stream_homes(
    members: membership.Membership, first_attempt: str, count: int
) -> list[str]:
    """Return the peer addresses of the hosts that know a stream's origin."""
    shard = model.stable_hash('stream', first_attempt) % SHARDS
    names = membership.role_holders(
        members, f'stream-home/{shard}', count, None
    )
    return [
        members.members[name].update.peer_address
        for name in names
        if name != members.self_name
    ]


def random_witnesses(
    members: membership.Membership, rng: random.Random
) -> list[str] | None:
    """Return the peer addresses of some other hosts.

    None tells that there has been no other host.
    """
    if len(members.members) <= 1:
        return None
    addresses = members.peer_addresses()
    return rng.sample(addresses, min(WITNESSES, len(addresses)))


class _Told(msgspec.Struct, frozen=True):
    """What other hosts told of a stream.

    is_sure tells that all have answered that were asked, or that there is no
    other host: none has seen a version that this host has not.
    """

    origin: relay.StreamOrigin | None
    is_sure: bool


class _Question(msgspec.Struct):
    """An open question to other hosts and how many have yet to answer."""

    done: 'defer.Deferred[_Told]'
    service: str
    open_answers: int
    timer: Any = None


class OriginService:
    """Knows or finds out which software version began a stream."""

    def __init__(
        self,
        reactor: Any,
        catalog: relay.RelayCatalog,
        metrics: _metrics.Metrics,
        logger: Any,
        rng: random.Random,
        send_peer: Callable[[model.SendPeerMessage], None],
        homes: Homes,
        version_store: _version_store.VersionStore | None = None,
        stream_store: _stream_store.StreamStore | None = None,
        witnesses: Witnesses = lambda: None,
    ) -> None:
        """Send to the homes of a stream, which homes returns.

        witnesses returns other hosts, None if there has never been one.
        """
        self.witnesses = witnesses
        self.stream_store = stream_store
        self.version_store = version_store
        self.reactor = reactor
        self.catalog = catalog
        self.origins = catalog.stream_origins
        self.metrics = metrics
        self.logger = logger
        self.rng = rng
        self.send_peer = send_peer
        self.homes = homes
        self.questions: dict[str, _Question] = {}
        self.next_observe_at = 0.0

    def tick(self, now: float) -> None:
        """Note the versions that serve; forget old streams."""
        if now >= self.next_observe_at:
            self.next_observe_at = now + OBSERVE_INTERVAL_S
            self.origins.observe(self.catalog.fleet.runners.values(), now)
            self.origins.remove_expired(now)
        self.share_newly_mixed(now)
        if self.version_store is not None:
            self.version_store.tick(now)
        if self.stream_store is not None:
            self.stream_store.tick(now)

    def share_newly_mixed(self, now: float) -> None:
        """Tell of the streams that began before a second version came."""
        if not self.origins.newly_mixed:
            return
        services = sorted(self.origins.newly_mixed)
        self.origins.newly_mixed.clear()
        self.logger.info(
            'software-versions',
            versions={
                s: sorted(self.origins.versions(s, now)) for s in services
            },
        )
        self._share(self.origins.to_share(services, now, only_own=True))

    def hand_over(self, now: float) -> None:
        """Tell others all that this host knows, before it leaves."""
        services = [s for s in self.origins.seen_at if self._is_mixed(s, now)]
        self._share(self.origins.to_share(services, now, only_own=False))

    def _is_mixed(self, service: str, now: float) -> bool:
        return self.origins.is_mixed(service, now)

    def _share(self, streams: Iterable[model.StreamBegan]) -> None:
        by_home: dict[str, list[model.StreamBegan]] = {}
        for stream in streams:
            for address in self._told_hosts(stream):
                by_home.setdefault(address, []).append(stream)
        for address, told in by_home.items():
            for at in range(0, len(told), MAX_STREAMS_PER_MESSAGE):
                part = told[at : at + MAX_STREAMS_PER_MESSAGE]
                message = model.StreamsBegan(part)
                self.send_peer(model.SendPeerMessage(address, message))

    def _told_hosts(self, stream: model.StreamBegan) -> set[str]:
        """Return the addresses of a stream's homes and of its recorder."""
        told = set(self.homes(stream.first_attempt, TOLD_HOSTS))
        if self.stream_store is None:
            return told
        recorder = self.stream_store.recorder(stream.first_attempt)
        if recorder is not None:
            return told | {recorder}
        self.stream_store.record(
            relay.StreamKey(stream.workspace, stream.first_attempt)
        )
        return told

    def on_began(
        self, key: relay.StreamKey, origin: relay.StreamOrigin, ttl_s: float
    ) -> None:
        """Record that a caller got a stream's first event from here."""
        now = self.reactor.seconds()
        self.origins.record(key, origin, ttl_s, now, is_own=True)
        told = self.origins.to_tell(key, now)
        if told is not None and self._is_mixed(origin.service, now):
            self._share([told])

    # Questions.

    async def find(
        self, key: relay.StreamKey | None, service: str
    ) -> tuple[relay.StreamOrigin | None, str]:
        """Return what began a stream, and the source of that belief.

        The key is None if the caller did not name the first attempt. A host
        that was out of step, or started lately, may have missed a version: it
        takes the only one that it knows once the others or the store have
        said that there is no other.
        """
        now = self.reactor.seconds()
        known = self.origins.find(key, now) if key is not None else None
        if known is not None:
            return known, 'own'
        told = await self._ask(key, service)
        if told.origin is not None:
            return told.origin, 'peer'
        sole = self._sole_origin(service)
        if sole is not None and not told.is_sure:
            sole = await self._confirmed_by_store(service)
        if sole is None and self._may_be_stored(service):
            assert self.version_store is not None
            await self.version_store.read()
            sole = self._sole_origin(service)
        if sole is None and key is not None and self._may_find_stored():
            stored = await self._find_stored(key)
            if stored is not None:
                return stored, 'store'
        return sole, 'only-version' if sole is not None else 'unknown'

    def _sole_origin(self, service: str) -> relay.StreamOrigin | None:
        """Return the origin of all streams if a service had one version."""
        now = self.reactor.seconds()
        version = self.origins.sole_version(service, now)
        if version is None:
            return None
        if not self.origins.remembers_all_versions(service, now):
            return None
        return relay.StreamOrigin(service, version)

    async def _confirmed_by_store(
        self, service: str
    ) -> relay.StreamOrigin | None:
        """Return the only origin if the store has just told of no other."""
        if self.version_store is None:
            return None
        since = self.reactor.seconds() - STORE_ANSWER_AGE_S
        await self.version_store.read(STORE_ANSWER_AGE_S)
        if not self.version_store.has_read_since(since):
            return None
        return self._sole_origin(service)

    def _may_find_stored(self) -> bool:
        """Tell whether the store may know a stream that nobody remembers.

        A store that has just failed to tell the versions is not asked again.
        """
        versions = self.version_store
        has_failed = versions is not None and versions.has_failed
        age_s = self.reactor.seconds() - self.origins.started_at
        return not has_failed and bool(age_s < self.origins.memory_s)

    async def _find_stored(
        self, key: relay.StreamKey
    ) -> relay.StreamOrigin | None:
        """Return what the store tells of a stream's origin."""
        if self.stream_store is None:
            return None
        await self.stream_store.read()
        return self.origins.find(key, self.reactor.seconds())

    def _may_be_stored(self, service: str) -> bool:
        """Tell whether the store may say that there was one version."""
        now = self.reactor.seconds()
        return (
            self.version_store is not None
            and not self._is_mixed(service, now)
            and not self.origins.remembers_all_versions(service, now)
        )

    def _asked_hosts(
        self, key: relay.StreamKey | None, service: str
    ) -> tuple[list[str], bool]:
        """Return the hosts to ask, and whether there has been any other."""
        asked = self.homes(key.first_attempt, ASKED_HOSTS) if key else []
        others = self.witnesses()
        if others is None:
            return asked, bool(asked)
        if self._sole_origin(service) is not None:
            asked = list(dict.fromkeys(asked + others))
        return asked, True

    def _ask(
        self, key: relay.StreamKey | None, service: str
    ) -> 'defer.Deferred[_Told]':
        """Ask the homes of a stream, and others if there is one version."""
        done: defer.Deferred[_Told] = defer.Deferred()
        addresses, has_others = self._asked_hosts(key, service)
        if not addresses:
            done.callback(_Told(None, not has_others))
            return done
        name = f'{self.rng.getrandbits(64):x}'
        question = _Question(done, service, len(addresses))
        self.questions[name] = question
        question.timer = self.reactor.callLater(
            ANSWER_TIMEOUT_S, self._end, name, _Told(None, False)
        )
        asked = model.StreamQuestion(
            name,
            key.first_attempt if key else '',
            key.workspace if key else '',
            service,
        )
        for address in addresses:
            self.send_peer(model.SendPeerMessage(address, asked))
        return done

    def _end(self, name: str, told: _Told) -> None:
        question = self.questions.pop(name, None)
        if question is None:
            return
        if question.timer.active():
            question.timer.cancel()
        if not question.done.called:
            question.done.callback(told)

    def on_store_result(self, result: model.StoreResult, now: float) -> None:
        """Take over what the store knows of versions and streams."""
        is_streams = result.op.startswith(state.STREAMS_OP)
        if is_streams and self.stream_store is not None:
            self.stream_store.on_store_result(result, now)
        elif not is_streams and self.version_store is not None:
            self.version_store.on_store_result(result, now)

    # What other hosts send.

    def on_peer(self, sender: str, message: model.PeerMessage) -> None:
        """Handle another host's message on streams."""
        match message:
            case model.StreamsBegan():
                self._on_told(message)
            case model.StreamQuestion():
                self._on_question(sender, message)
            case model.StreamAnswer():
                self._on_answer(sender, message)

    def _on_told(self, message: model.StreamsBegan) -> None:
        now = self.reactor.seconds()
        for stream in message.streams:
            if math.isfinite(stream.ttl_s):
                self.origins.on_told(stream, now)
                if self.stream_store is not None:
                    self.stream_store.record(
                        relay.StreamKey(stream.workspace, stream.first_attempt)
                    )
            else:
                self.logger.warning('invalid-stream', stream=repr(stream))

    def _on_question(self, sender: str, asked: model.StreamQuestion) -> None:
        now = self.reactor.seconds()
        key = relay.StreamKey(asked.workspace, asked.first_attempt)
        versions = self.origins.versions(asked.service_name, now)
        answer = model.StreamAnswer(
            asked.question,
            self.origins.to_tell(key, now),
            [model.SeenVersion(v, now - at) for v, at in versions.items()],
            self.origins.remembers_all_versions(asked.service_name, now),
        )
        self.send_peer(model.SendPeerMessage(sender, answer))

    def _remembers_all(self, sender: str, answer: model.StreamAnswer) -> bool:
        """Tell whether the answering host knows all of a service's versions.

        A host whose build does not say does so once it has run for long.
        """
        if answer.remembers_all is not None:
            return answer.remembers_all
        store, memory_s = self.version_store, self.origins.memory_s
        return store is not None and store.has_run_for(sender, memory_s)

    def _on_answer(self, sender: str, answer: model.StreamAnswer) -> None:
        question = self.questions.get(answer.question)
        if question is None:
            return
        now = self.reactor.seconds()
        for seen in answer.versions:
            if math.isfinite(seen.age_s) and seen.age_s >= 0:
                self.origins.observe_version(
                    question.service,
                    seen.software_version,
                    now - seen.age_s,
                    now,
                )
        if self._remembers_all(sender, answer):
            since = now - self.origins.memory_s - ROUNDING_S
            self.origins.extend_knowledge(question.service, since)
        question.open_answers -= 1
        told = answer.origin
        if told is not None and math.isfinite(told.ttl_s):
            origin = self.origins.on_told(told, now)
            self._end(answer.question, _Told(origin, True))
        elif question.open_answers <= 0:
            self._end(answer.question, _Told(None, True))
