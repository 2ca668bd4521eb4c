"""Stand-ins for the relay's surroundings: dialect, runners, callers.

Everything runs on one virtual clock. The dialect is the plainest that can
carry what the relay asks; runners follow the rules of real ones closely
enough for the relay's promises: one call at a time, a short queue, storage
for results, work that ends when its connection closes.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
import json
from typing import Any

import msgspec
from twisted.internet import defer
from twisted.internet import task

import ragwort_edge as edge
import ragwort_model as model
import ragwort_relay as relay

ONE_WAY_S = 0.001
CONNECT_TIMEOUT_S = 0.4
QUEUE = 2
HTTP_OK = 200
HTTP_FULL = 503
EVENT_STREAM: edge.Headers = ((b'content-type', b'text/event-stream'),)
# What a runner said as it turned away another request; none of it still holds.
STALE_REFUSAL: edge.Headers = (
    (b'echo', b'an earlier request'),
    (b'not-run', b'1'),
    (b'leaving', b'1'),
    (b'pause', b'60'),
    (b'limit', b'0.01'),
    (b'brittle', b'0.01'),
    (b'cold', b'60'),
)


class LabDialect:
    """Messages as JSON, facts of a call in headers of that name."""

    def is_configuration(self, name: str) -> bool:
        """Tell whether the object holds the configuration."""
        return name == 'config/main'

    def is_runner(self, name: str) -> bool:
        """Tell whether the object is a runner's entry."""
        return name.startswith('runner/')

    def evacuated_domain(self, name: str) -> str | None:
        """Return the failure domain that an object evacuates."""
        if not name.startswith(relay.EVACUATION_PREFIX):
            return None
        return name.removeprefix(relay.EVACUATION_PREFIX)

    def decode_configuration(self, value: str) -> relay.RelayConfiguration:
        """Refuse: lab worlds set the configuration directly."""
        raise model.ConfigurationError('not in the lab')

    def decode_runner(self, name: str, value: str) -> relay.RunnerEntry:
        """Return a runner's entry."""
        try:
            fields = json.loads(value)
            runner = model.Runner(
                name,
                fields['service'],
                fields['address'],
                fields['domain'],
                state=model.HostState(fields['state']),
                software_version=fields.get('version', ''),
            )
            return relay.RunnerEntry(
                runner, fields['born'], fields['slots'], fields.get('cold_s')
            )
        except (ValueError, KeyError, TypeError) as error:
            raise model.ConfigurationError(f'{name}: {error}') from None

    def read_request(self, request: edge.HttpRequest) -> edge.RequestMetadata:
        """Return the facts as the caller stated them."""
        facts = json.loads(request.header(b'facts') or b'{}')
        prompt = facts.pop('prompt', ())
        return edge.RequestMetadata(
            **facts,
            prompt=tuple(relay.PromptPart(*part) for part in prompt),
        )

    def main_request(self, call: edge.MainCall) -> edge.HttpRequest:
        """Return the request with what a runner needs to know."""
        told = {
            'id': call.metadata.request_id,
            'runner': call.runner.name,
            'left_s': call.left_s,
            'inputs': call.inputs,
            'last_event': call.last_event,
            'workspace': call.workspace,
            'parts': [part.part_id for part in call.metadata.prompt],
        }
        headers = ((b'call', json.dumps(told).encode()),)
        request = call.request
        return edge.HttpRequest(
            request.method, request.target, headers, request.body
        )

    def read_reply(
        self, response: edge.HttpResponse, request_id: str
    ) -> edge.RunnerReply:
        """Return what a runner's response says."""
        echoed = (response.header(b'echo') or b'').decode()
        if request_id and echoed not in ('', request_id):
            return edge.FOREIGN_REPLY
        not_run = response.header(b'not-run') is not None
        limit = response.header(b'limit')
        pause = response.header(b'pause')
        brittle = response.header(b'brittle')
        cold = response.header(b'cold')
        return edge.RunnerReply(
            echoed == request_id,
            not_run,
            response.status == 421,
            response.status == 409,
            None,
            float(limit) if limit else None,
            response.header(b'leaving') is not None,
            float(pause) if pause else None,
            float(brittle) if brittle else None,
            not_run and response.status == HTTP_FULL,
            float(cold) if cold else None,
        )

    def stage_request(
        self, batch: relay.BatchCall, now: float
    ) -> edge.HttpRequest:
        """Return the call that makes pieces."""
        items = [
            msgspec.structs.asdict(piece.work)
            | {'size': piece.group.result_bytes}
            for piece in batch.pieces
        ]
        body = json.dumps(items).encode()
        return edge.HttpRequest(b'POST', b'/make', (), body)

    def read_stage_reply(
        self, response: edge.HttpResponse, count: int
    ) -> Sequence[edge.PieceReply]:
        """Return the results in order."""
        made = json.loads(response.body)
        if len(made) != count:
            raise model.WireError(f'{len(made)} results for {count} pieces')
        return [
            edge.PieceReply(edge.PieceResult(result), handle)
            for result, handle in made
        ]

    def release_request(
        self,
        address: str,
        handles: Sequence[str],
        runner: relay.FleetRunner | None,
    ) -> edge.HttpRequest:
        """Return the call that frees results."""
        body = json.dumps(list(handles)).encode()
        return edge.HttpRequest(b'POST', b'/free', (), body)

    def storage_request(self, runner: relay.FleetRunner) -> edge.HttpRequest:
        """Return the request for a runner's free storage."""
        return edge.HttpRequest(b'GET', b'/room', ())

    def read_free_storage(self, response: edge.HttpResponse) -> float:
        """Return the free storage in bytes."""
        try:
            return float(response.body)
        except ValueError as error:
            raise model.WireError(str(error)) from None

    def report_request(self, address: str) -> edge.HttpRequest:
        """Return the request for the report of whatever is at an address."""
        return edge.HttpRequest(b'GET', b'/room', ())

    def read_start(self, response: edge.HttpResponse) -> int:
        """Return the start that a report tells, 0 if it tells none."""
        return int(response.header(b'born') or b'0')

    def handle_address(self, handle: str) -> str:
        """Return the address of the runner that keeps a result."""
        return handle.partition('/')[0]

    def error_response(
        self, status: int, retry_after_s: float | None, reason: str
    ) -> edge.HttpResponse:
        """Return an answer of the relay's own."""
        headers: edge.Headers = ()
        if retry_after_s is not None:
            headers = ((b'retry-after', b'%.2f' % retry_after_s),)
        return edge.HttpResponse(status, headers, reason.encode())


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request as it reached a runner, and what became of it there."""

    at: float
    runner: str
    request: edge.HttpRequest
    told: dict[str, Any]
    ran: bool = False
    closed_at: float | None = None


class LabRunner:
    """Base of runners: answers by script or by its kind's rule."""

    def __init__(
        self, clock: task.Clock, name: str, address: str, domain: str
    ) -> None:
        """Start idle and sound."""
        self.clock = clock
        self.name = name
        self.address = address
        self.domain = domain
        self.arrivals: list[Arrival] = []
        # Named in each answer, for all hosts together.
        self.limit_per_s: float | None = None
        self.is_leaving = False
        # The requests whose answers tell of leaving, None for all.
        self.leaving_target: bytes | None = None
        # Time for which a host that is turned away is to send nothing.
        self.pause_s: float | None = None
        # Requests that it turns away in a second without falling over.
        self.brittle_per_s: float | None = None
        self.turned_away_at: list[float] = []
        # Returns for how long it is still cold, None if no answer tells.
        self.cold_s: Callable[[], float] | None = None
        # When the first answer told of leaving, and the pauses asked for.
        self.left_at: float | None = None
        self.pauses: list[tuple[float, float]] = []

    def notices(self, target: bytes = b'') -> edge.Headers:
        """Return the headers that tell of a limit and of leaving."""
        found: edge.Headers = ()
        if self.brittle_per_s is not None:
            found += ((b'brittle', str(self.brittle_per_s).encode()),)
        if self.cold_s is not None:
            found += ((b'cold', str(self.cold_s()).encode()),)
        if self.limit_per_s is not None:
            found += ((b'limit', str(self.limit_per_s).encode()),)
        if self.is_leaving and self.leaving_target in (None, target):
            if self.left_at is None:
                self.left_at = self.clock.seconds()
            found += ((b'leaving', b'1'),)
        return found

    def turn_away(self, open_call: 'LabCall') -> None:
        """Answer that a request has not run."""
        headers = ((b'not-run', b'1'), *self.notices())
        if self.pause_s is not None:
            now = self.clock.seconds()
            self.pauses.append((now, now + self.pause_s))
            headers += ((b'pause', str(self.pause_s).encode()),)
        open_call.respond(HTTP_FULL, headers)
        now = self.clock.seconds()
        recent = [at for at in self.turned_away_at if at > now - 1.0]
        self.turned_away_at = [*recent, now]
        most = self.brittle_per_s
        if most is not None and len(self.turned_away_at) > most:
            self.clock.callLater(ONE_WAY_S, self.fall)

    def fall(self) -> None:
        """End, as too many requests were turned away."""

    def serve(self, request: edge.HttpRequest, open_call: 'LabCall') -> None:
        """Take a request that has arrived."""
        raise NotImplementedError


class LabCall(edge.OpenCall):
    """A call on its way in the lab."""

    def __init__(self, clock: task.Clock, reader: edge.ResponseReader) -> None:
        """Hand what the runner sends to reader, a link's delay later."""
        self.clock = clock
        self.reader = reader
        self.is_over = False
        self.sent = False
        self.address = ''
        # Set once its runner has ended without a word.
        self.is_abandoned = False
        # Set while nothing passes on its connection.
        self.is_muted = False
        # Set while its connection is kept behind the response.
        self.keeps_open = False
        self.is_kept = False
        # What came while the host did not read.
        self.is_paused = False
        self.unread: list[Callable[[], None]] = []
        self.on_close: Callable[[], None] = lambda: None

    @property
    def was_sent(self) -> bool:
        """Tell whether the request has gone out."""
        return self.sent

    @property
    def is_open(self) -> bool:
        """Tell whether its connection is open."""
        return self.is_kept or not self.is_over

    def pause(self) -> None:
        """Deliver nothing for now."""
        self.is_paused = True

    def resume(self) -> None:
        """Deliver what came meanwhile."""
        self.is_paused = False
        unread, self.unread = self.unread, []
        for deliver in unread:
            deliver()

    def cancel(self) -> None:
        """Close the connection; the runner hears of it."""
        self.is_kept = False
        if not self.is_over:
            self.is_over = True
            self.clock.callLater(ONE_WAY_S, self.on_close)

    def send(self, name: str, *arguments: Any, ends: bool = False) -> None:
        """Let the reader hear something, unless the call is over."""

        def deliver() -> None:
            if self.is_over or self.is_muted:
                return
            if self.is_paused:
                self.unread.append(deliver)
                return
            self.is_over = ends
            self.is_kept = ends and self.keeps_open and name == 'on_end'
            getattr(self.reader, name)(*arguments)

        self.clock.callLater(ONE_WAY_S, deliver)

    def respond(
        self, status: int, headers: edge.Headers = (), body: bytes = b''
    ) -> None:
        """Send a whole response."""
        self.send('on_head', edge.HttpResponse(status, headers))
        if body:
            self.send('on_data', body)
        self.send('on_end', ends=True)

    def fail(self, kind: edge.CallErrorKind, is_refused: bool = False) -> None:
        """End the call without a whole response."""
        error = edge.CallError(kind, 'lab', is_refused)
        self.send('on_error', error, ends=True)

    def close(self) -> None:
        """End a connection that is kept, or the call."""

        def deliver() -> None:
            if self.is_kept and not self.is_muted:
                self.is_kept = False
                self.reader.on_closed()

        if self.is_kept:
            self.clock.callLater(ONE_WAY_S, deliver)
        else:
            self.fail(edge.CallErrorKind.CLOSED)


class CutManner(enum.StrEnum):
    """What becomes of a host's connections when it loses all runners."""

    HANG = 'hang'
    RESET = 'reset'
    # Open connections live on, new ones are refused.
    REFUSE = 'refuse'


class LabNetwork:
    """Stands in for the HTTP client; addresses lead to lab runners."""

    def __init__(self, clock: task.Clock) -> None:
        """Start without runners."""
        self.reactor = clock
        self.held = edge.HeldBytes()
        self.runners: dict[str, LabRunner] = {}
        # Addresses that answer nothing, not even that nobody listens.
        self.silent: set[str] = set()
        # Hosts by the addresses at which they take requests of other hosts.
        self.hosts: dict[str, LabRunner] = {}
        self.cut: CutManner | None = None
        self.runner_calls: list[LabCall] = []

    def view(self) -> 'LabNetwork':
        """Return the way of one host into this network."""
        view = LabNetwork(self.reactor)
        view.runners, view.silent = self.runners, self.silent
        view.hosts = self.hosts
        return view

    def cut_off(self, manner: CutManner) -> None:
        """Lose all runners, but not the other hosts."""
        self.cut = manner
        for call in self.runner_calls:
            if manner == CutManner.HANG:
                call.is_muted = True
            elif manner == CutManner.RESET and call.is_open:
                call.close()
                self.reactor.callLater(ONE_WAY_S, call.on_close)

    def end_connections(self, address: str) -> None:
        """End all connections to a runner, whose process ends."""
        for call in self.runner_calls:
            if call.address == address and call.is_open:
                call.close()

    def heal(self) -> None:
        """Reach the runners again."""
        self.cut = None

    def open(
        self,
        address: str,
        request: edge.HttpRequest,
        reader: edge.ResponseReader,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        keeps_open: bool = False,
    ) -> LabCall:
        """Send a request; keep the connection behind a whole response."""
        call = LabCall(self.reactor, reader)
        call.keeps_open = keeps_open
        call.address = address
        target = self.hosts.get(address)
        if target is None:
            if self._is_silent(address):
                self.reactor.callLater(
                    connect_timeout_s,
                    call.fail,
                    edge.CallErrorKind.NOT_CONNECTED,
                )
                return call
            target = self.runners.get(address) if self.cut is None else None
            self.runner_calls = [c for c in self.runner_calls if c.is_open]
            self.runner_calls.append(call)
        if target is None:
            call.fail(edge.CallErrorKind.NOT_CONNECTED, is_refused=True)
            return call
        call.sent = True
        self.reactor.callLater(ONE_WAY_S, self._arrive, target, request, call)
        return call

    def _is_silent(self, address: str) -> bool:
        return address in self.silent or self.cut == CutManner.HANG

    def check(self, address: str) -> 'defer.Deferred[edge.AddressState]':
        """Return what a connection to a runner's address meets."""
        done: defer.Deferred[edge.AddressState] = defer.Deferred()
        state, delay_s = edge.AddressState.OPEN, ONE_WAY_S
        if self._is_silent(address):
            state, delay_s = edge.AddressState.SILENT, CONNECT_TIMEOUT_S
        elif address not in self.runners or self.cut is not None:
            state = edge.AddressState.REFUSED
        self.reactor.callLater(delay_s, done.callback, state)
        return done

    def _arrive(
        self, target: LabRunner, request: edge.HttpRequest, call: LabCall
    ) -> None:
        if not call.is_over:
            target.serve(request, call)


class ScriptedRunner(LabRunner):
    """Answers each request by the next step of a script, then by OK.

    Steps: ok, error (its own failure), full (not run), reset (ran, answer
    lost), refused (not run, 421), silent, foreign (another's answer),
    gone (not run, its inputs are gone), leave (ok, and it leaves), pause:S
    (not run, and nothing is wanted for S seconds), brittle:N (not run, and it
    falls over if it turns away more than N a second), stale:N (ran, and an
    earlier refusal of another request, with status N, is sent in place of
    the answer), stale:N,early (the same, as soon as the connection is
    there), status:N (its own answer with this status, after it ran),
    unsealed:N (the same without an echo), unrun:N (not run, with this
    status), bytes:NAME (an event stream of bodies[NAME] behind the caller's
    last event), late:S (ok, after S seconds of silence), events:N (a stream
    of N events), cut:N (a stream reset behind event N), drip:S (a stream that
    sends a byte of its first event each S seconds), stall:N,S (a stream that
    is silent for S seconds behind event N). Events show the software version,
    which runners don't check.
    """

    def __init__(
        self, clock: task.Clock, name: str, address: str, domain: str
    ) -> None:
        """Start with an empty script."""
        super().__init__(clock, name, address, domain)
        self.script: list[str] = []
        # Steps for all requests with a target; they go before the script.
        self.steps: dict[bytes, str] = {}
        self.work_s = 0.01
        self.events = 0
        self.event_gap_s = 0.0
        self.version = ''
        # Further headers of answers with a status of their own.
        self.extra_headers: edge.Headers = ()
        # Bodies of event streams by name; each returns the bytes behind an
        # event.
        self.bodies: dict[str, Callable[[int], bytes]] = {}
        self.calls: list[LabCall] = []
        # Parts of a prompt, and requests by target, on which it crashes as it
        # begins its answer.
        self.deadly_parts: frozenset[str] = frozenset()
        self.deadly_targets: frozenset[bytes] = frozenset()
        # Requests that it takes at a time, None for any number.
        self.room: int | None = None
        self.falls: list[float] = []
        # A silent crash resets no connection.
        self.crashes_silently = False
        self.on_crash: Callable[[], None] = lambda: None

    def serve(self, request: edge.HttpRequest, open_call: LabCall) -> None:
        """Take a request that has arrived."""
        told = json.loads(request.header(b'call') or b'{}')
        arrival = Arrival(self.clock.seconds(), self.name, request, told)
        self.arrivals.append(arrival)
        step = self.steps.get(request.target) or (
            self.script.pop(0) if self.script else self._sound_step()
        )
        arrival.ran = step.partition(':')[0] not in (
            'full',
            'refused',
            'gone',
            'pause',
            'brittle',
            'unrun',
        )

        def close() -> None:
            arrival.closed_at = self.clock.seconds()

        open_call.on_close = close
        self.calls = [call for call in self.calls if not call.is_over]
        if self.room is not None and len(self.calls) >= self.room:
            arrival.ran = False
            self.turn_away(open_call)
            return
        self.calls.append(open_call)
        delay_s = 0.0 if step.endswith(',early') else self.work_s
        self.clock.callLater(delay_s, self._answer, step, arrival, open_call)

    def _sound_step(self) -> str:
        return f'events:{self.events}' if self.events else 'ok'

    def fall(self) -> None:
        """Crash and note when."""
        self.falls.append(self.clock.seconds())
        self.crash()

    def crash(self) -> None:
        """Answer no open call any more; reset the connections."""
        for call in self.calls:
            call.is_abandoned = True
            if not self.crashes_silently:
                call.fail(edge.CallErrorKind.CLOSED)
        self.calls.clear()
        self.on_crash()

    def _answer(self, step: str, arrival: Arrival, call: LabCall) -> None:
        if call.is_over or call.is_abandoned:
            return
        told = arrival.told
        if self.deadly_parts & set(told['parts']) or (
            arrival.request.target in self.deadly_targets
        ):
            self.crash()
            return
        echo: edge.Headers = ((b'echo', str(told['id']).encode()),)
        echo += self.notices()
        kind, _, count = step.partition(':')
        if kind == 'leave':
            self.is_leaving = True
            call.respond(HTTP_OK, echo + self.notices(), b'whole')
        elif kind == 'pause':
            self.pause_s = float(count)
            self.turn_away(call)
        elif kind == 'brittle':
            self.brittle_per_s = float(count)
            self.turn_away(call)
        elif kind == 'late':
            self.clock.callLater(
                float(count), self._answer, self._sound_step(), arrival, call
            )
        elif kind == 'ok':
            call.respond(HTTP_OK, echo, b'whole')
        elif kind == 'error':
            call.respond(500, echo, b'own failure')
        elif kind == 'status':
            call.respond(int(count), echo + self.extra_headers, b'own answer')
        elif kind == 'unsealed':
            call.respond(int(count), self.extra_headers, b'own answer')
        elif kind == 'unrun':
            call.respond(int(count), ((b'not-run', b'1'),), b'own answer')
        elif kind == 'bytes':
            headers = EVENT_STREAM + echo + self.extra_headers
            body = self.bodies[count](told['last_event'] or 0)
            call.respond(HTTP_OK, headers, body)
        elif kind == 'full':
            self.turn_away(call)
        elif kind == 'refused':
            call.respond(421, ((b'not-run', b'1'),))
        elif kind == 'stale':
            status = int(count.partition(',')[0])
            call.respond(status, STALE_REFUSAL)
        elif kind == 'gone':
            call.respond(409, ((b'not-run', b'1'),))
        elif kind == 'reset':
            call.fail(edge.CallErrorKind.CLOSED)
        elif kind == 'foreign':
            call.respond(HTTP_OK, ((b'echo', b'other'),), b'not yours')
        elif kind == 'drip':
            call.send(
                'on_head', edge.HttpResponse(HTTP_OK, EVENT_STREAM + echo)
            )
            self._drip(float(count), call)
        elif kind in ('events', 'cut'):
            self._stream(kind, int(count), told, echo, call)
        elif kind == 'stall':
            behind, _, stall_s = count.partition(',')
            stall = int(behind), float(stall_s)
            self._stream('events', self.events, told, echo, call, stall)

    def _drip(self, gap_s: float, call: LabCall) -> None:
        if not call.is_over:
            call.send('on_data', b'x')
            self.clock.callLater(gap_s, self._drip, gap_s, call)

    def _stream(
        self,
        kind: str,
        last: int,
        told: dict[str, Any],
        echo: edge.Headers,
        call: LabCall,
        stall: tuple[int, float] = (0, 0.0),
    ) -> None:
        """Send events; stall is a number of an event and a time behind it."""
        call.send('on_head', edge.HttpResponse(HTTP_OK, EVENT_STREAM + echo))
        first = (told['last_event'] or 0) + 1
        later = self.clock.callLater
        delay_s = 0.0
        for number in range(first, last + 1):
            if number == stall[0] + 1:
                delay_s += stall[1]
            text = f'id: {number}\ndata: e{number}{self.version}\n\n'
            later(delay_s, call.send, 'on_data', text.encode())
            delay_s += self.event_gap_s
        if kind == 'events':
            later(delay_s, lambda: call.send('on_end', ends=True))
        else:
            later(delay_s, call.send, 'on_data', b'id: %d\nda' % (last + 1))
            later(delay_s, call.fail, edge.CallErrorKind.CLOSED)


class LabStageRunner(LabRunner):
    """Makes pieces: one call at a time, a queue of two, limited storage."""

    def __init__(
        self,
        clock: task.Clock,
        name: str,
        address: str,
        domain: str,
        limits: relay.BatchLimits,
    ) -> None:
        """Start empty."""
        super().__init__(clock, name, address, domain)
        self.limits = limits
        self.born = 1
        self.tells_start = True
        self.waiting: list[tuple[edge.HttpRequest, LabCall]] = []
        self.is_busy = False
        self.results: dict[str, float] = {}
        self.count = 0
        self.calls = 0
        self.turned_away = 0
        self.no_room = 0
        self.made: list[tuple[str, int, int]] = []
        # Calls that will find no inputs; runners may share the list.
        self.lost_inputs: list[bool] = []
        # How long each answer to a call is held back, once for each number.
        self.silences_s: list[float] = []

    def serve(self, request: edge.HttpRequest, open_call: LabCall) -> None:
        """Take a call that makes pieces or frees results."""
        self.arrivals.append(
            Arrival(self.clock.seconds(), self.name, request, {})
        )
        if self.pause_s is not None:
            self.turn_away(open_call)
            return
        if request.target == b'/free':
            for handle in json.loads(request.body):
                self.results.pop(handle, None)
            open_call.respond(HTTP_OK, self.notices(request.target))
            return
        if request.target == b'/room':
            used = sum(self.results.values())
            free = self.limits.storage_bytes - used
            told: edge.Headers = ()
            if self.tells_start:
                told = ((b'born', str(self.born).encode()),)
            open_call.respond(
                HTTP_OK,
                told + self.notices(request.target),
                str(free).encode(),
            )
            return
        if len(self.waiting) >= QUEUE:
            self.turned_away += 1
            self.turn_away(open_call)
            return
        self.waiting.append((request, open_call))
        self._next()

    def _next(self) -> None:
        if self.is_busy or not self.waiting:
            return
        request, call = self.waiting.pop(0)
        if call.is_over:
            self._next()
            return
        self.is_busy = True
        self.calls += 1
        items = json.loads(request.body)
        if self.lost_inputs and items[0]['inputs']:
            self.lost_inputs.pop()
            made: list[tuple[str, str | None]] = [('gone', None)] * len(items)
        else:
            made = [self._make(item) for item in items]
        held_s = self.silences_s.pop(0) if self.silences_s else 0.0
        self.clock.callLater(
            self.limits.duration_s(len(items)) + held_s,
            self._finish,
            made,
            call,
        )

    def _make(self, item: dict[str, Any]) -> tuple[str, str | None]:
        if (
            sum(self.results.values()) + item['size']
            > self.limits.storage_bytes
        ):
            self.no_room += 1
            return 'room', None
        self.count += 1
        handle = f'{self.address}/{self.count}'
        self.results[handle] = item['size']
        self.made.append((item['request_id'], item['stage'], item['piece']))
        self.clock.callLater(
            self.limits.result_ttl_s, self.results.pop, handle, None
        )
        return 'made', handle

    def _finish(
        self, made: list[tuple[str, str | None]], call: LabCall
    ) -> None:
        self.is_busy = False
        headers = self.notices(b'/make')
        call.respond(HTTP_OK, headers, json.dumps(made).encode())
        self._next()


class LabExchange:
    """A caller's request and what it got."""

    def __init__(self, clock: task.Clock, request: edge.HttpRequest) -> None:
        """Wait for an answer."""
        self.clock = clock
        self.request = request
        self.on_disconnect: Callable[[], None] | None = None
        self.on_pause: Callable[[bool], None] = lambda is_behind: None
        self.is_behind = False
        self.is_started = False
        self.is_over = False
        self.status: int | None = None
        self.headers: edge.Headers = ()
        self.body = b''
        self.is_whole = False
        self.started_at = clock.seconds()
        self.ended_at: float | None = None

    def respond(self, response: edge.HttpResponse) -> None:
        """Take a whole answer."""
        if not self.is_over:
            self.start(response.status, response.headers)
            self.body = response.body
            self.finish()

    def start(self, status: int, headers: edge.Headers) -> None:
        """Take status and headers."""
        self.is_started = True
        self.status, self.headers = status, headers

    def write(self, data: bytes) -> None:
        """Take a part of the body."""
        self.body += data

    def finish(self) -> None:
        """Take the end of a whole answer."""
        if not self.is_over:
            self.is_whole = True
            self._end()

    def abort(self) -> None:
        """Take the end of an answer that is not whole."""
        if not self.is_over:
            self._end()

    def _end(self) -> None:
        self.is_over = True
        self.ended_at = self.clock.seconds()

    def leave(self) -> None:
        """Close the connection as a caller that wants no answer."""
        if not self.is_over:
            self._end()
            if self.on_disconnect is not None:
                self.on_disconnect()
