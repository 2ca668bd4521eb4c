"""Callers that keep connections open and note what they get."""

from collections.abc import Callable
import itertools
import random
import re
from typing import Any

import h11
from twisted.internet import protocol

from features.soak import hosts
from features.soak import ledger
from features.soak import runners

SITE = 'soak.example'
DEADLINE_S = 4.0
CONNECT_S = 1.0
# Pause between requests of one caller.
THINK_S = (0.02, 0.15)
# Share of answers after which other callers go on with their connection.
# Share of the streams with a part that crashes runners.
DEADLY_SHARE = 0.2
KEEP_SHARE = 0.8
# Requests by path, with what goes before the main call.
KINDS = {
    'safe': ('GET', '/safe/'),
    'unsafe': ('POST', '/once/'),
    'stream': ('POST', '/stream/'),
    'staged': ('POST', '/stream/staged/'),
}
# Requests that tell runners how long to work on them.
LATE_KINDS = {
    'late-safe': ('GET', '/safe/late/'),
    'late-unsafe': ('POST', '/once/late/'),
    'late-stream': ('POST', '/stream/late/'),
}
# Streams that are short until their host leaves, then long.
OUTLASTING_KINDS = {
    'late-stream': LATE_KINDS['late-stream'],
    'outlasting': ('POST', '/stream/outlasting/'),
}
# Requests whose bodies are large, at either end.
SLOW_KINDS = {
    'slow-answer': ('POST', '/once/slow-answer/'),
    'slow-upload': ('POST', runners.UPLOAD_PREFIX),
}
ALL_KINDS = KINDS | LATE_KINDS | OUTLASTING_KINDS | SLOW_KINDS
LATE_DEADLINE_S = 12.0
LATE_WORK_S = (0.05, 1.0, 3.0, 6.0)
OUTLASTING_WORK_S = (0.3, 5.0)
SLOW_DEADLINE_S = 15.0
SLOW_BYTES = 300_000
STAGED_PIECES = '1,2,3'
_SHOWN_VERSION = re.compile(rb' (v\d+)$', re.MULTILINE)


class _Connection(protocol.Protocol):
    """A kept connection; hands events of an answer to its caller."""

    def __init__(self, caller: 'Caller') -> None:
        self.caller = caller
        self.parser = h11.Connection(h11.CLIENT)

    def connectionMade(self) -> None:  # noqa: N802
        self.caller.on_open(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.caller.on_surplus(data)
        try:
            self.parser.receive_data(data)
            self._read()
        except h11.RemoteProtocolError as error:
            self.caller.on_lost(self, f'unreadable: {error}')
            self.transport.abortConnection()

    def _read(self) -> None:
        while True:
            event = self.parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                return
            self.caller.on_event(self, event)
            if isinstance(event, h11.EndOfMessage):
                return

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        try:
            self.parser.receive_data(b'')
            self._read()
        except h11.RemoteProtocolError:
            pass
        self.caller.on_lost(self, 'closed')

    def send(self, request: h11.Request, body: bytes) -> None:
        data = self.parser.send(request)
        data += self.parser.send(h11.Data(data=body)) or b''
        data += self.parser.send(h11.EndOfMessage()) or b''
        self.transport.write(data)


class Caller:
    """Sends one request after the other, on one connection while it lasts."""

    numbers = itertools.count(1)
    kinds = KINDS
    deadline_s = DEADLINE_S
    think_s = THINK_S

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        records: ledger.Ledger,
        choose_host: Callable[[], hosts.HostProcess | None],
        choose_key: Callable[[], str],
        keeps_connections: bool,
        takes_up: bool = False,
        has_deadly: bool = False,
        has_same: bool = False,
    ) -> None:
        """Bind to what chooses hosts and keys.

        A caller that keeps its connections closes none by itself; one that
        takes up goes on with a stream that broke. With has_deadly some streams
        have a part in their prompts that crashes runners, with has_same some
        requests are the same one, which crashes them.
        """
        self.reactor = reactor
        self.rng = rng
        self.records = records
        self.choose_host = choose_host
        self.choose_key = choose_key
        self.keeps_connections = keeps_connections
        self.takes_up = takes_up
        self.has_deadly = has_deadly
        self.has_same = has_same
        self.broken: ledger.Outcome | None = None
        self.connection: _Connection | None = None
        self.host: hosts.HostProcess | None = None
        self.outcome: ledger.Outcome | None = None
        # The one that ended last.
        self.last: ledger.Outcome | None = None
        self.timer: Any = None
        self.is_stopped = False

    def start(self) -> None:
        """Begin after a short while."""
        self.reactor.callLater(self.rng.uniform(*self.think_s), self._next)

    def stop(self) -> None:
        """Send nothing more and close."""
        self.is_stopped = True
        self.outcome = None
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.connection is not None:
            self.connection.transport.abortConnection()

    def _next(self) -> None:
        if self.is_stopped:
            return
        if self.connection is None:
            self._connect()
        else:
            self._send(self.connection)

    def _connect(self) -> None:
        self.host = self.choose_host()
        if self.host is None:
            self.start()
            return
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda address: _Connection(self)
        factory.clientConnectionFailed = lambda connector, reason: self.start()
        name, _, port = self.host.front.address.partition(':')
        self.reactor.connectTCP(name, int(port), factory, timeout=CONNECT_S)

    def on_open(self, connection: _Connection) -> None:
        """Use a new connection."""
        self.connection = connection
        self._send(connection)

    def _send(self, connection: _Connection) -> None:
        assert self.host is not None
        if self.is_stopped:
            connection.transport.abortConnection()
            return
        # What a host has still to show goes first.
        wanted = [
            kind
            for host, kind in self.records.unserved
            if host == self.host.name and kind in self.kinds
        ]
        kind = self.rng.choice(wanted or sorted(self.kinds))
        broken, self.broken = self.broken, None
        kind = broken.kind if broken else kind
        method, prefix = ALL_KINDS[kind]
        request_id = f'{next(self.numbers):08x}'
        body = request_body(kind, request_id)
        headers = [
            ('host', SITE),
            ('request-id', request_id),
            ('authorization', f'Bearer {self.choose_key()}'),
            ('deadline-milliseconds', str(int(self.deadline_s * 1000))),
            ('content-length', str(len(body))),
            *self.more_headers(kind),
        ]
        if kind == 'staged':
            headers += [('pieces', STAGED_PIECES), ('piece-key', request_id)]
            headers += [('prompt-prefix', f'{self.rng.randrange(9):x}:500')]
        self.outcome = ledger.Outcome(
            request_id,
            kind,
            self.host.name,
            headers[2][1].removeprefix('Bearer '),
            self.reactor.seconds(),
            first_attempt=request_id,
        )
        self.records.asked_hosts[request_id] = self.host.name
        if kind == 'stream' and self.has_deadly:
            is_deadly = self.rng.random() < DEADLY_SHARE
            middle = (
                runners.DEADLY_PART
                if is_deadly
                else f'b{self.rng.randrange(9)}'
            )
            headers += [
                ('prompt-prefix', f'a0:900,{middle}:90,c0{request_id}:9')
            ]
        if broken is not None:
            self.outcome.first_attempt = broken.first_attempt
            self.outcome.last_event = last_event(broken)
            headers += [
                ('resumes', broken.first_attempt),
                ('last-event-id', str(self.outcome.last_event)),
            ]
        target = prefix + request_id
        if (
            kind == 'safe'
            and self.has_same
            and (self.rng.random() < DEADLY_SHARE)
        ):
            target = runners.DEADLY_PATH
        request = h11.Request(method=method, target=target, headers=headers)
        connection.send(request, body)
        self.timer = self.reactor.callLater(
            self.deadline_s, self._on_deadline, self.outcome
        )

    def more_headers(self, kind: str) -> list[tuple[str, str]]:
        """Return what a kind of caller adds to a kind of request."""
        return []

    def on_event(self, connection: _Connection, event: Any) -> None:
        """Take a part of an answer."""
        outcome = self.outcome
        if outcome is None:
            return
        if isinstance(event, h11.Response):
            outcome.status = event.status_code
        elif isinstance(event, h11.Data):
            outcome.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            outcome.surplus = connection.parser.trailing_data[0]
            self._end(None)
            may_go_on = (
                connection.parser.our_state is h11.DONE
                and connection.parser.their_state is h11.DONE
                and (self.keeps_connections or self.rng.random() < KEEP_SHARE)
            )
            if not may_go_on:
                self.connection = None
                connection.transport.loseConnection()
            else:
                connection.parser.start_next_cycle()

    def on_surplus(self, data: bytes) -> None:
        """Note bytes that come while nothing is asked."""
        if self.outcome is None and self.last is not None:
            self.last.surplus += data

    def on_lost(self, connection: _Connection, problem: str) -> None:
        """Note that a connection is gone."""
        if self.connection is not connection:
            return
        self.connection = None
        if self.outcome is not None:
            self._end(problem)

    def _on_deadline(self, outcome: ledger.Outcome) -> None:
        if self.outcome is outcome:
            connection, self.connection = self.connection, None
            self._end('deadline')
            if connection is not None:
                connection.transport.abortConnection()

    def _end(self, problem: str | None) -> None:
        outcome, self.outcome = self.outcome, None
        assert outcome is not None
        self.last = outcome
        outcome.problem = problem
        outcome.ended_at = self.reactor.seconds()
        self.records.outcomes.append(outcome)
        if self.takes_up and problem is not None:
            is_stream = ALL_KINDS[outcome.kind][1].startswith('/stream/')
            if is_stream and last_event(outcome):
                self.broken = outcome
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.start()


class StagedCaller(Caller):
    """A caller of staged requests alone."""

    kinds = {'staged': KINDS['staged']}
    think_s = (0.0, 0.05)

    @classmethod
    def like(cls, caller: Caller) -> 'StagedCaller':
        """Return one that chooses hosts and keys as another caller does."""
        return cls(
            caller.reactor,
            random.Random(f'staged/{caller.rng.random()}'),
            caller.records,
            caller.choose_host,
            caller.choose_key,
            True,
        )


class LateCaller(Caller):
    """A caller whose long requests follow each other on one connection.

    Whichever host leaves, some of its next requests come late in the grace.
    """

    kinds = LATE_KINDS
    deadline_s = LATE_DEADLINE_S
    think_s = (0.0, 0.01)

    def more_headers(self, kind: str) -> list[tuple[str, str]]:
        """Tell the runner how long to work."""
        work_ms = round(self.rng.choice(LATE_WORK_S) * 1000)
        return [('work-ms', str(work_ms))]


class OutlastingCaller(LateCaller):
    """A caller whose streams are short until its host leaves, then long.

    They follow long streams of another route, so that some come late in the
    grace at a host that has seen only short ones of theirs.
    """

    kinds = OUTLASTING_KINDS

    def more_headers(self, kind: str) -> list[tuple[str, str]]:
        """Tell the runner how long to work."""
        if kind != 'outlasting':
            return super().more_headers(kind)
        short_s, long_s = OUTLASTING_WORK_S
        is_leaving = self.host is not None and self.host.is_leaving
        work_s = long_s if is_leaving else short_s
        return [('work-ms', str(round(work_s * 1000)))]


class SlowCaller(Caller):
    """A caller of large answers, or with large requests."""

    kinds = SLOW_KINDS
    deadline_s = SLOW_DEADLINE_S

    def more_headers(self, kind: str) -> list[tuple[str, str]]:
        """Ask the runner for a large answer."""
        if kind != 'slow-answer':
            return []
        return [('answer-bytes', str(SLOW_BYTES))]


def request_body(kind: str, request_id: str) -> bytes:
    """Return the body of a request."""
    if ALL_KINDS[kind][0] == 'GET':
        return b''
    body = request_id.encode() * 20
    return body.ljust(SLOW_BYTES, b'.') if kind == 'slow-upload' else body


def expected_body(outcome: ledger.Outcome) -> bytes:
    """Return the whole body of a good answer."""
    prefix = ALL_KINDS[outcome.kind][1]
    if prefix.startswith('/stream/'):
        return b''.join(
            runners.event_text(outcome.request_id, number)
            for number in range(outcome.last_event + 1, runners.EVENTS + 1)
        )
    body = request_body(outcome.kind, outcome.request_id)
    path = prefix + outcome.request_id
    size = SLOW_BYTES if outcome.kind == 'slow-answer' else 0
    return runners.answer_body(outcome.request_id, path, body, size)


def events(outcome: ledger.Outcome) -> list[bytes]:
    """Return the whole events that a stream brought."""
    return outcome.body.split(b'\n\n')[:-1] if outcome.status == 200 else []


def last_event(outcome: ledger.Outcome) -> int:
    """Return the number of the last event that the caller has, else 0."""
    return outcome.last_event + len(events(outcome))


def versions(outcome: ledger.Outcome) -> set[bytes]:
    """Return the software versions that a stream's events show."""
    found = (_SHOWN_VERSION.search(event) for event in events(outcome))
    return {match[1] for match in found if match}


def body_without_versions(outcome: ledger.Outcome) -> bytes:
    """Return a stream's body as runners of one version send it."""
    return _SHOWN_VERSION.sub(b'', outcome.body)
