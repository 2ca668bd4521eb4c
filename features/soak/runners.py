"""Stand-ins of runners: plain services, streams and stage services."""

from collections.abc import Callable
from collections.abc import Sequence
import enum
import hashlib
import itertools
import json
import time
from typing import Any

from features.soak import ledger
from features.soak import notices
from features.soak import proxy
from features.soak import store
from features.soak import strange_answers
import ragwort_edge as edge
import ragwort_relay as relay

KIND = 'servers'
WORK_S = 0.02
EVENTS = 8
EVENT_S = 0.02
# Where software versions differ, so that more streams break than end.
LONG_EVENT_S = 0.1
CALL_S = 0.05
PIECE_S = 0.005
BATCH = 6
SLOTS = 8
# Slower than usual by this factor while a runner is slow.
SLOWNESS = 8.0
# Time after a crash until its entry lapses.
LAPSE_S = 3.6
# Time that a leaving runner goes on serving.
DRAIN_S = 2.0
# Slack for hosts that hear of a report, and time without trouble at the store
# before it.
REPORT_SLACK_S = 1.5
STABLE_S = 3.0
# Time after a runner names a limit from which hosts must keep it.
LIMIT_NOTICE_S = 3.0
# A part of a prompt that crashes each runner, for so long.
DEADLY_PART = 'dead'
DEADLY_DOWN_S = 2.5
# A request that crashes each runner, with the same body each time.
DEADLY_PATH = '/safe/same-again'
# Requests that a proxy may hold for longer than hosts have to hear a notice.
UPLOAD_PREFIX = '/once/slow-upload/'
SEAL = (b'response-seal', b'soak')
NOT_RUN = (b'not-executed', b'1')
# Refusals that a faulty runner gives first, to send them again later, and
# their status then. A host that gets 421 for its own request leaves the runner
# alone until its entry changes, so the first ones are 503.
KEPT_REFUSALS = 2
REPEATED_STATUSES = (503, 421)
# The event within which a faulty runner cuts a stream.
CUT_EVENT = 4


def _told_s(exchange: edge.Exchange) -> float:
    """Return for how long a caller wants its request worked on, or 0."""
    return int(exchange.request.header(b'work-ms') or b'0') / 1000.0


class RunnerMode(enum.StrEnum):
    """How a runner treats what reaches it."""

    OK = 'ok'
    ERRORS = 'errors'
    SHED = 'shed'
    HANG = 'hang'
    RESET = 'reset'
    CUT = 'cut'
    FOREIGN = 'foreign'
    SLOW = 'slow'


def answer_body(
    request_id: str, path: str, body: bytes, size: int = 0
) -> bytes:
    """Return what a plain runner answers, at least so many bytes long.

    Callers compare it.
    """
    digest = hashlib.sha256(body).hexdigest()[:16]
    return f'{request_id} {path} {digest}'.encode().ljust(size, b'.')


def event_text(request_id: str, number: int, version: str = '') -> bytes:
    """Return one event of a stream, which shows the software version."""
    shown = f' {version}' if version else ''
    return f'id: {number}\ndata: {request_id} {number}{shown}\n\n'.encode()


class RunnerStandIn:
    """One runner behind a proxy of its own.

    Every start is a new incarnation; the address stays the proxy's.
    """

    numbers = itertools.count(1)

    def __init__(
        self,
        reactor: Any,
        place: store.StoreStandIn,
        records: ledger.Ledger,
        service: str,
        zone: str,
        versions: Sequence[str] = ('',),
    ) -> None:
        """Start and register."""
        self.reactor = reactor
        self.store = place
        self.records = records
        self.service = service
        self.zone = zone
        self.mode = RunnerMode.OK
        self.limit_per_s: float | None = None
        self.limited_at = 0.0
        # Set while hosts may send nothing to the runner's domain.
        self.is_evacuated = False
        # Requests that it turns away in a second without falling over.
        self.brittle_per_s: int | None = None
        self.turned_away_at: list[float] = []
        self.places = SLOTS
        # Faulty answers to requests that it runs, and to streams taken up.
        self.repeats = strange_answers.Repeats.NEVER
        self.resumed = ''
        self.refused: list[bytes] = []
        self.statuses = itertools.cycle(REPEATED_STATUSES)
        self.turns = itertools.count()
        # No answer leaves the runner before that time.
        self.silent_until = 0.0
        self.open_calls: set[str] = set()
        # Each start takes the next one.
        self.versions = itertools.cycle(versions)
        self.version = ''
        self.running = 0
        self.handles: set[str] = set()
        # Set if it starts again under its name and numbers results from 1.
        self.renumbers = False
        self.result_numbers = itertools.count(1)
        # What its clock is set by before each start, in ms.
        self.clock_step_ms = 0
        self.tells_start = True
        # Its calls take so many times as long as the configuration says.
        self.pace = 1.0
        self.is_draining = False
        # When the store took its report that it leaves.
        self.reported_at: float | None = None
        self.beat_s = 0.0
        self.notices = notices.Notices(records)
        self.is_up = False
        self.site = edge.Site(
            reactor, relay.CallerLimits, self._on_call, lambda status: None
        )
        self.port = reactor.listenTCP(0, self.site, interface='127.0.0.1')
        self.number = self.port.getHost().port
        self.proxy = proxy.FaultProxy(reactor, f'127.0.0.1:{self.number}')
        self.identifier = ''
        self.born = 0
        self.start()

    @property
    def address(self) -> str:
        """Return the address in the runner's entry."""
        return self.proxy.address

    @property
    def is_sound(self) -> bool:
        """Tell whether nothing but silence concerns the runner."""
        return (
            self.is_up
            and not self.is_draining
            and self.mode == RunnerMode.OK
            and self.repeats == strange_answers.Repeats.NEVER
            and not self.resumed
            and self.brittle_per_s is None
            and self.proxy.mode == proxy.ProxyMode.PASS
        )

    def note_unsound(self) -> None:
        """Note that another fault concerns the runner now."""
        now = self.reactor.seconds()
        for name in (self.address, self.service):
            self.records.unsound.setdefault(name, []).append(now)

    # Its life.

    def start(self) -> None:
        """Begin as a new incarnation."""
        self.proxy.listen()
        if self.port is None:
            self.port = self.reactor.listenTCP(
                self.number, self.site, interface='127.0.0.1'
            )
        if not (self.renumbers and self.identifier):
            self.identifier = f'i-{next(self.numbers):04x}'
        self.result_numbers = itertools.count(1)
        self.version = next(self.versions)
        if self.clock_step_ms and self.born:
            self.born += self.clock_step_ms
        else:
            self.born = int(time.time() * 1000)
        self.is_draining = False
        self.reported_at = None
        self.is_up = True
        self.limit_per_s = None
        self.turned_away_at.clear()
        self.notices = notices.Notices(self.records)
        self.register()

    def entry(self) -> dict[str, Any]:
        """Return what the runner writes of itself."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'state': 'draining' if self.is_draining else 'ready',
            'slots': SLOTS,
            'born': self.born,
        }

    def register(self) -> None:
        """Write the runner's entry."""
        self.store.put(KIND, self.identifier, self.entry())

    def beat(self) -> None:
        """Write the entry again, now and then, if it isn't the runner's."""
        known = self.store.objects.get((KIND, self.identifier), (0, None))
        is_written = not self.is_draining or self.reported_at is not None
        if self.is_up and is_written and known[1] != self.entry():
            self.register()
        self.reactor.callLater(self.beat_s, self.beat)

    def name_limit(self, rate_per_s: float | None) -> None:
        """Name a limit in all answers from now on, or none."""
        self.limit_per_s = rate_per_s
        self.limited_at = self.reactor.seconds()

    def fall_silent(self, for_s: float) -> None:
        """Hold all answers back for a while, then go on."""
        self.silent_until = self.reactor.seconds() + for_s
        for request_id in self.open_calls:
            self._note_silent(request_id)

    @property
    def silent_s(self) -> float:
        """Return how long the runner will still be silent."""
        return max(self.silent_until - float(self.reactor.seconds()), 0.0)

    def _open_call(self, request_id: str) -> None:
        """Count a request among those that the runner has."""
        self.open_calls.add(request_id)
        if self.silent_s:
            self._note_silent(request_id)

    def _note_silent(self, request_id: str) -> None:
        now = self.reactor.seconds()
        self.records.silent_calls.append(
            ledger.SilentCall(request_id, now, self.silent_until)
        )

    def set_brittle(self, rejects_per_s: int | None, places: int) -> None:
        """Say in all answers that it is brittle, and take so many calls."""
        self.brittle_per_s = rejects_per_s
        self.places = places

    def _note_rejected(self) -> None:
        """Fall over if too many were turned away within a second."""
        if self.brittle_per_s is None:
            return
        now = self.reactor.seconds()
        recent = [at for at in self.turned_away_at if at > now - 1.0]
        self.turned_away_at = [*recent, now]
        if len(self.turned_away_at) > self.brittle_per_s:
            self.records.falls.append(now)
            self.crash()
            self.reactor.callLater(DEADLY_DOWN_S, self.start_if_down)

    def crash(self) -> None:
        """End without a word; the entry lapses later."""
        if not self.is_up:
            return
        self._stop()
        self.lapse_later(self.identifier, self.born)

    def lapse_later(self, identifier: str, born: int) -> None:
        """Let the entry of a start lapse unless it is at work then."""
        self.reactor.callLater(LAPSE_S, self._lapse, identifier, born)

    def _lapse(self, identifier: str, born: int) -> None:
        """Remove the entry of a start unless a later one has its name."""
        if (identifier, born) == (self.identifier, self.born) and self.is_up:
            return
        known = self.store.objects.get((KIND, identifier))
        if known is not None and known[1]['born'] == born:
            self.store.remove(KIND, identifier)

    def _die(self, arrivals: list[float], crashes: list[float]) -> None:
        """Crash under a request and come back later."""
        now = self.reactor.seconds()
        arrivals.append(now)
        crashes.append(now)
        self.crash()
        self.reactor.callLater(DEADLY_DOWN_S, self.start_if_down)

    def start_if_down(self) -> None:
        """Begin as a new incarnation unless the runner is up."""
        if not self.is_up:
            self.start()

    def drain(self) -> None:
        """Announce the end, go on for a while, then end."""
        if self.is_draining or not self.is_up:
            return
        self.site.is_closing = True
        self.notices.leave()
        self.report_leaving(DRAIN_S)

    def report_leaving(self, lasts_s: float) -> None:
        """Report in the entry that it leaves, and end later."""
        if self.is_draining or not self.is_up:
            return
        self.is_draining = True
        self.reported_at = self.reactor.seconds()
        self.register()
        self.reactor.callLater(lasts_s, self._end_drain, self.identifier)

    def leave_quietly(self) -> None:
        """Say in answers alone that it leaves, go on for long, then end."""
        if self.is_draining or not self.is_up:
            return
        self.is_draining = True
        self.notices.leave()
        self.reactor.callLater(
            notices.LEAVING_S, self._end_drain, self.identifier
        )

    def _end_drain(self, identifier: str) -> None:
        if self.identifier == identifier and not self.is_draining:
            # It has started again under its name.
            return
        self.store.remove(KIND, identifier)
        if self.identifier == identifier and self.is_up:
            self._stop()

    def _stop(self) -> None:
        self.is_up = False
        self.proxy.refuse()
        self.site.is_closing = False
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()
        for connection in list(self.site.connections):
            connection.abort()
        self.running = 0
        self.open_calls.clear()
        self.note_unsound()
        self._forget(set(self.handles))

    def _forget(self, handles: set[str]) -> None:
        self.handles -= handles
        self.records.handles -= handles

    # What it is asked.

    def _note_reported(self, request_id: str) -> None:
        """Note what comes long after the store took a report of leaving."""
        now = self.reactor.seconds()
        at, host = self.reported_at, self.records.asked_hosts.get(request_id)
        if at is None or host is None or now <= at + DRAIN_S + REPORT_SLACK_S:
            return
        if self.store.disturbed_at < at - STABLE_S:
            self.records.reported.append(
                ledger.ReportedArrival(self.identifier, host, at, now)
            )

    def _note_limited(self) -> None:
        now = self.reactor.seconds()
        rate_per_s = self.limit_per_s
        if rate_per_s is not None and now >= self.limited_at + LIMIT_NOTICE_S:
            self.records.limited.append(
                ledger.LimitedArrival(self.identifier, rate_per_s, now)
            )

    def _on_call(self, exchange: edge.Exchange) -> None:
        self._note_limited()
        expected = exchange.request.header(b'expected-instance')
        is_other = (
            expected is not None and expected.decode() != self.identifier
        )
        if self.is_evacuated and not is_other:
            target = exchange.request.target.decode('latin-1')
            self.records.evacuated.append((self.identifier, target))
        # Also one that hangs or resets runs nothing that is for another.
        if self.mode == RunnerMode.HANG:
            self._note_main(exchange, not is_other)
            return
        if self.mode == RunnerMode.RESET:
            self._note_main(exchange, not is_other)
            exchange.abort()
            return
        if is_other:
            self._note_main(exchange, False)
            self.reply(exchange, 421, (NOT_RUN,))
            return
        now = self.reactor.seconds()
        request_id = exchange.request.header(b'request-id') or b''
        if not exchange.request.path.startswith(UPLOAD_PREFIX):
            self.notices.on_arrival(self, request_id.decode(), now)
            self._note_reported(request_id.decode())
        if now < self.notices.pause_until:
            self._note_main(exchange, False)
            self.reply(exchange, 503, (NOT_RUN,))
            return
        handler = self._handlers().get(exchange.request.path, self._main)
        handler(exchange)

    def _handlers(self) -> dict[str, Callable[[edge.Exchange], None]]:
        return {
            '/api/stage-run': self._stage_run,
            '/api/stage-free': self._stage_free,
            '/api/report': self._report,
        }

    def reply(
        self,
        exchange: edge.Exchange,
        status: int,
        extra: edge.Headers = (),
        body: bytes = b'',
    ) -> None:
        """Answer a request, at the end of a silence."""
        if self.silent_s:
            self.reactor.callLater(
                self.silent_s, self.reply, exchange, status, extra, body
            )
            return
        request_id = exchange.request.header(b'request-id') or b''
        self.open_calls.discard(request_id.decode())
        if self.mode == RunnerMode.FOREIGN:
            request_id = b'another'
        headers = (
            (b'request-id', request_id),
            SEAL,
            self._load(),
            *self._limit(),
            *self._brittleness(),
            *self.notices.headers(self.reactor.seconds()),
            *extra,
        )
        exchange.respond(edge.HttpResponse(status, headers, body))

    def _load(self) -> tuple[bytes, bytes]:
        return b'server-load', b'%d,0,%d' % (self.running, SLOTS)

    def _limit(self) -> edge.Headers:
        if self.limit_per_s is None:
            return ()
        return ((b'server-limit', str(self.limit_per_s).encode()),)

    def _brittleness(self) -> edge.Headers:
        if self.brittle_per_s is None:
            return ()
        return ((b'server-brittle', str(self.brittle_per_s).encode()),)

    def _note_main(self, exchange: edge.Exchange, ran: bool) -> None:
        request = exchange.request
        if request.path not in self._handlers():
            request_id = (request.header(b'request-id') or b'').decode()
            self.records.arrivals.append(
                ledger.Arrival(
                    request_id,
                    self.service,
                    request.path,
                    self.reactor.seconds(),
                    ran,
                    self.address,
                )
            )

    def _work_s(self, usual_s: float) -> float:
        return usual_s * (SLOWNESS if self.mode == RunnerMode.SLOW else 1.0)

    def _main(self, exchange: edge.Exchange) -> None:
        is_full = self.running >= self.places or self.mode == RunnerMode.SHED
        inputs = (exchange.request.header(b'inputs') or b'').decode()
        if self.repeats != strange_answers.Repeats.NEVER:
            if len(self.refused) < KEPT_REFUSALS:
                self._refuse_for_later(exchange)
                return
        handles = [i for i in inputs.split(',') if i]
        request_id = exchange.request.header(b'request-id') or b''
        has_inputs = self._fetch(request_id.decode(), handles)
        missing = bool(handles) and not has_inputs
        self._note_main(exchange, not (is_full or missing))
        if is_full or missing:
            self.reply(exchange, 503 if is_full else 409, (NOT_RUN,))
            if is_full and self.mode != RunnerMode.SHED:
                self._note_rejected()
            return
        if exchange.request.path == DEADLY_PATH:
            self._die(self.records.same_arrivals, self.records.same_crashes)
            return
        self.running += 1
        request_id = exchange.request.header(b'request-id') or b''
        self._open_call(request_id.decode())
        if exchange.request.path.startswith('/stream/'):
            self._begin_stream(exchange, self.born)
        else:
            self.reactor.callLater(
                self._work_s(_told_s(exchange) or WORK_S),
                self._finish_plain,
                exchange,
                self.born,
            )

    def _refuse_for_later(self, exchange: edge.Exchange) -> None:
        """Refuse a request, and keep the refusal to send it once more."""
        request_id = exchange.request.header(b'request-id') or b''
        self._note_main(exchange, False)
        self.refused.append(request_id)
        self.reply(exchange, 503, (NOT_RUN,))

    def _repeats_now(self, repeats: strange_answers.Repeats) -> bool:
        """Tell whether an earlier refusal goes out again, in turns."""
        is_wanted = self.repeats == repeats and bool(self.refused)
        return is_wanted and next(self.turns) % 2 == 0

    def _repeat_refusal(self, exchange: edge.Exchange) -> None:
        """Send an earlier refusal behind whatever was sent."""
        self.refused.reverse()
        request_id = self.refused[0]
        status = next(self.statuses)
        headers = ((b'request-id', request_id), SEAL, self._load(), NOT_RUN)
        strange_answers.write_raw(
            exchange, strange_answers.refusal(status, headers)
        )

    def _finish_plain(self, exchange: edge.Exchange, born: int) -> None:
        if born != self.born or not self.is_up:
            return
        self.running = max(self.running - 1, 0)
        request = exchange.request
        if self.mode == RunnerMode.ERRORS:
            self.reply(exchange, 500)
            return
        request_id = (request.header(b'request-id') or b'').decode()
        size = int(request.header(b'answer-bytes') or b'0')
        body = answer_body(request_id, request.path, request.body, size)
        if self.mode == RunnerMode.CUT:
            exchange.start(200, _sized(request_id, body))
            exchange.write(body[: len(body) // 2])
            exchange.abort()
            return
        if self._repeats_now(strange_answers.Repeats.INSTEAD):
            self._repeat_refusal(exchange)
            return
        repeats_after = self._repeats_now(strange_answers.Repeats.AFTER)
        self.reply(exchange, 200, (), body)
        if repeats_after and not self.silent_s:
            self._repeat_refusal(exchange)

    def _begin_stream(self, exchange: edge.Exchange, born: int) -> None:
        if born != self.born or not self.is_up:
            return
        if self.silent_s:
            self.reactor.callLater(
                self.silent_s, self._begin_stream, exchange, born
            )
            return
        if self.mode == RunnerMode.ERRORS:
            self.running -= 1
            self.reply(exchange, 500)
            return
        request = exchange.request
        request_id = (request.header(b'request-id') or b'').decode()
        echoed = 'another' if self.mode == RunnerMode.FOREIGN else request_id
        last = int(request.header(b'last-event-id') or b'0')
        if self._repeats_now(strange_answers.Repeats.INSTEAD):
            self.running -= 1
            self._repeat_refusal(exchange)
            return
        if self.resumed and last:
            self.running -= 1
            answer = strange_answers.RESUMED[self.resumed]
            answer(self, exchange, event_text(request_id, last + 1))
            return
        headers = (
            (b'request-id', echoed.encode()),
            (b'content-type', b'text/event-stream'),
            (b'transfer-encoding', b'chunked'),
            SEAL,
            *self._limit(),
            *self._brittleness(),
            *self.notices.headers(self.reactor.seconds()),
        )
        exchange.start(200, headers)
        prompt = (request.header(b'prompt-prefix') or b'').decode()
        if f'{DEADLY_PART}:' in prompt:
            records = self.records
            self._die(records.deadly_arrivals, records.deadly_crashes)
            return
        self._next_event(exchange, request_id, last + 1, self.born)

    def _next_event(
        self, exchange: edge.Exchange, request_id: str, number: int, born: int
    ) -> None:
        if born != self.born or not self.is_up:
            return
        if self.silent_s and not exchange.is_over:
            self.reactor.callLater(
                self.silent_s,
                self._next_event,
                exchange,
                request_id,
                number,
                born,
            )
            return
        if exchange.is_over or number > EVENTS:
            self.running = max(self.running - 1, 0)
            self.open_calls.discard(request_id)
            is_whole = not exchange.is_over
            exchange.finish()
            if is_whole and self._repeats_now(strange_answers.Repeats.AFTER):
                self._repeat_refusal(exchange)
            return
        text = event_text(request_id, number, self.version)
        if self.resumed and number == CUT_EVENT and next(self.turns) % 2:
            self.running = max(self.running - 1, 0)
            exchange.write(text[: len(text) // 2])
            self.records.broken_off.add(request_id)
            strange_answers.close(exchange)
            return
        if self.mode == RunnerMode.CUT and number > EVENTS // 2:
            self.running = max(self.running - 1, 0)
            exchange.write(text[: len(text) // 2])
            self.records.broken_off.add(request_id)
            exchange.abort()
            return
        exchange.write(text)
        self.reactor.callLater(
            self._work_s(
                _told_s(exchange) / EVENTS
                or (LONG_EVENT_S if self.version else EVENT_S)
            ),
            self._next_event,
            exchange,
            request_id,
            number + 1,
            born,
        )

    # Stages.

    def _stage_run(self, exchange: edge.Exchange) -> None:
        if self.running >= 1 or self.mode == RunnerMode.SHED:
            self.reply(exchange, 503, (NOT_RUN,))
            return
        self.running += 1
        items = json.loads(exchange.request.body)['items']
        for item in items:
            self._open_call(item['identifier'])
        # Inputs are fetched as the call begins.
        has_inputs = [
            self._fetch(item['identifier'], item.get('inputs') or ())
            for item in items
        ]
        self.reactor.callLater(
            self.pace * self._work_s(CALL_S + PIECE_S * len(items)),
            self._finish_stage,
            exchange,
            list(zip(items, has_inputs, strict=True)),
            self.born,
        )

    def _fetch(self, request_id: str, handles: Sequence[str]) -> bool:
        """Read the results under some handles; tell whether all are there."""
        for handle in set(handles) & self.records.handles:
            owner = self.records.made_for[handle]
            if owner != request_id:
                self.records.foreign.append((handle, request_id, owner))
        return self.records.handles.issuperset(handles)

    def _finish_stage(
        self,
        exchange: edge.Exchange,
        items: list[tuple[Any, bool]],
        born: int,
    ) -> None:
        if born != self.born or not self.is_up:
            return
        self.running = max(self.running - 1, 0)
        if not self.silent_s:
            self.open_calls -= {item['identifier'] for item, _ in items}
        if self.mode == RunnerMode.ERRORS:
            self.reply(exchange, 500)
            return
        results = [
            self._make(item) if has_inputs else {'reason': 'gone'}
            for item, has_inputs in items
        ]
        body = json.dumps({'items': results}).encode()
        if self.mode == RunnerMode.CUT:
            exchange.start(200, _sized('', body))
            exchange.write(body[: len(body) // 2])
            exchange.abort()
            return
        self.reply(exchange, 200, (), body)

    def _make(self, item: Any) -> dict[str, str]:
        numbers = self.result_numbers if self.renumbers else self.numbers
        handle = f'{self.address}/{next(numbers):x}'
        self.handles.add(handle)
        self.records.handles.add(handle)
        self.records.made_for[handle] = item['identifier']
        return {'handle': handle}

    def _stage_free(self, exchange: edge.Exchange) -> None:
        named = json.loads(exchange.request.body)['handles']
        self._forget(set(named))
        self.reply(exchange, 200)

    def _report(self, exchange: edge.Exchange) -> None:
        told: dict[str, int] = {'freeMb': 100}
        if self.tells_start:
            told['born'] = self.born
        self.reply(exchange, 200, (), json.dumps(told).encode())


def _sized(request_id: str, body: bytes) -> edge.Headers:
    return (
        (b'request-id', request_id.encode()),
        SEAL,
        (b'content-length', str(len(body)).encode()),
    )
