"""A stand-in of the platform's store, whose answers can go wrong."""

import collections
import dataclasses
import enum
import json
import math
from typing import Any
import urllib.parse

import msgspec

import ragwort_edge as edge
import ragwort_relay as relay

HISTORY = 400
# Copies of the store that a restore can return to, and their interval.
COPIES = 40
COPY_INTERVAL_S = 0.25


class StoreMode(enum.StrEnum):
    """How the store answers hosts; the operator always gets through."""

    OK = 'ok'
    BUSY = 'busy'
    SILENT = 'silent'
    RESET = 'reset'
    SLOW = 'slow'
    LOST_ANSWERS = 'lost-answers'


SLOW_S = 0.8


@dataclasses.dataclass(slots=True)
class _Watch:
    exchange: edge.Exchange
    kind: str
    since: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Copy:
    """The store as it was at a time."""

    at: float
    revision: int
    objects: dict[tuple[str, str], tuple[int, Any]]


class StoreStandIn:
    """Objects by kind and name, with watches, over HTTP."""

    def __init__(self, reactor: Any) -> None:
        """Listen on a free loopback port."""
        self.reactor = reactor
        self.revision = 10
        self.floor = 10
        self.mode = StoreMode.OK
        self.objects: dict[tuple[str, str], tuple[int, Any]] = {}
        self.history: list[tuple[int, str, str, Any]] = []
        self.watches: list[_Watch] = []
        self.calls = 0
        self.era = 1
        # When hosts could last not rely on it.
        self.disturbed_at = -math.inf
        self.copies: collections.deque[_Copy] = collections.deque(
            maxlen=COPIES
        )
        self._copy()
        site = edge.Site(
            reactor, relay.CallerLimits, self._on_call, lambda status: None
        )
        self.port = reactor.listenTCP(0, site, interface='127.0.0.1')
        self.address = f'127.0.0.1:{self.port.getHost().port}'

    # Copies.

    def _copy(self) -> None:
        now = self.reactor.seconds()
        self.copies.append(_Copy(now, self.revision, dict(self.objects)))
        self.reactor.callLater(COPY_INTERVAL_S, self._copy)

    def restore(self, age_s: float) -> list[tuple[str, str]]:
        """Return to a copy that is age_s old; return the objects it lacks.

        Later revisions are given out again, and the era rises.
        """
        wanted_at = self.reactor.seconds() - age_s
        older = [copy for copy in self.copies if copy.at <= wanted_at]
        copy = older[-1] if older else self.copies[0]
        lost = [key for key in self.objects if key not in copy.objects]
        self.era += 1
        self.disturbed_at = self.reactor.seconds()
        self.revision = copy.revision
        self.objects = dict(copy.objects)
        self.history = [h for h in self.history if h[0] <= copy.revision]
        self.floor = min(self.floor, copy.revision)
        self.copies.clear()
        self.copies.append(_Copy(copy.at, copy.revision, dict(copy.objects)))
        return lost

    # What the operator and the runners write.

    def put(self, kind: str, name: str, specification: Any) -> None:
        """Write an object and tell the watches.

        A msgspec.Raw is stored as the bytes that it holds.
        """
        self.revision += 1
        self.objects[kind, name] = (self.revision, specification)
        self._note(kind, name, specification)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object and tell the watches."""
        if self.objects.pop((kind, name), None) is not None:
            self.revision += 1
            self._note(kind, name, None)

    def _note(self, kind: str, name: str, specification: Any) -> None:
        self.history.append((self.revision, kind, name, specification))
        while len(self.history) > HISTORY:
            self.floor = self.history.pop(0)[0]
        for watch in list(self.watches):
            self._serve_watch(watch)

    def compact(self) -> None:
        """Drop the history and cut the watches."""
        self.disturbed_at = self.reactor.seconds()
        self.floor = self.revision
        self.history.clear()
        watches, self.watches = self.watches, []
        for watch in watches:
            watch.exchange.abort()

    def set_mode(self, mode: StoreMode) -> None:
        """Change how hosts are answered from now on."""
        self.mode = mode
        # Until it answers again.
        is_ok = mode == StoreMode.OK
        self.disturbed_at = self.reactor.seconds() if is_ok else math.inf
        if mode == StoreMode.LOST_ANSWERS:
            # The open watches lose theirs without a sign.
            self.watches.clear()
        if mode in (StoreMode.RESET, StoreMode.SILENT):
            watches, self.watches = self.watches, []
            for watch in watches:
                watch.exchange.abort()

    # What hosts call.

    def _on_call(self, exchange: edge.Exchange) -> None:
        self.calls += 1
        if self.mode == StoreMode.BUSY:
            self._answer(exchange, 503, {})
        elif self.mode == StoreMode.RESET:
            exchange.abort()
        elif self.mode == StoreMode.SLOW:
            self.reactor.callLater(SLOW_S, self._carry_out, exchange)
        elif self.mode != StoreMode.SILENT:
            self._carry_out(exchange)

    def _carry_out(self, exchange: edge.Exchange) -> None:
        request = exchange.request
        path, _, query = request.target.decode().partition('?')
        kind, _, name = path.removeprefix('/api/objects/').partition('/')
        name = urllib.parse.unquote(name)
        argument = dict(urllib.parse.parse_qsl(query))
        if request.method == b'GET' and 'watch' in argument:
            self._watch(exchange, kind, argument)
        elif request.method == b'GET':
            self._list(exchange, kind)
        else:
            self._write(exchange, kind, name)

    def _list(self, exchange: edge.Exchange, kind: str) -> None:
        items = [
            _stored(name, revision, specification)
            for (known, name), (revision, specification) in sorted(
                self.objects.items()
            )
            if known == kind
        ]
        self._answer(
            exchange,
            200,
            {'items': items, 'storeRevision': self.revision, 'hasMore': False},
        )

    def _watch(
        self, exchange: edge.Exchange, kind: str, argument: dict[str, str]
    ) -> None:
        watch = _Watch(exchange, kind, int(argument['watch']))
        if not self.floor <= watch.since <= self.revision:
            self._answer(exchange, 410, {})
            return
        self.watches.append(watch)
        if not self._serve_watch(watch):
            wait_s = int(argument.get('waitMs', '0')) / 1000
            self.reactor.callLater(wait_s, self._end_watch, watch)

    def _serve_watch(self, watch: _Watch) -> bool:
        events = [
            {
                'object': _stored(name, revision, specification),
                'deleted': specification is None,
            }
            for revision, kind, name, specification in self.history
            if kind == watch.kind and revision > watch.since
        ]
        if events:
            self._end_watch(watch, events)
        return bool(events)

    def _end_watch(self, watch: _Watch, events: Any = ()) -> None:
        if watch in self.watches:
            self.watches.remove(watch)
            body = {'events': list(events), 'storeRevision': self.revision}
            self._answer(watch.exchange, 200, body)

    def _write(self, exchange: edge.Exchange, kind: str, name: str) -> None:
        method = exchange.request.method
        status = 200
        if method == b'DELETE':
            status = 200 if (kind, name) in self.objects else 404
            self.remove(kind, name)
        else:
            body = json.loads(exchange.request.body)
            name = name or body['metadata']['name']
            is_known = (kind, name) in self.objects
            if method == b'POST' and is_known:
                status = 409
            else:
                self.put(kind, name, body['specification'])
        if self.mode == StoreMode.LOST_ANSWERS:
            exchange.abort()
        else:
            self._answer(exchange, status, {})

    def _answer(self, exchange: edge.Exchange, status: int, body: Any) -> None:
        headers = (
            (b'content-type', b'application/json'),
            (b'store-era', b'%d' % self.era),
        )
        exchange.respond(
            edge.HttpResponse(status, headers, msgspec.json.encode(body))
        )


def _stored(name: str, revision: int, specification: Any) -> Any:
    return {
        'metadata': {'name': name, 'revision': revision},
        'specification': specification,
    }
