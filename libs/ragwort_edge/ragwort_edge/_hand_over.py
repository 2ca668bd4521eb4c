"""Requests that a host without runners hands to another host.

The whole request goes over, before anything of it has run here, as HTTP on a
port of its own between hosts. The other host serves it as its own and hands
it no further. Headers of the hop say which host asks, how much time is left
and which configuration judged the request.
"""

from collections.abc import Callable
from collections.abc import Collection
import enum
import math
import random
from typing import Any

import msgspec
from twisted.internet import defer

from ragwort_edge import _back_pressure
from ragwort_edge import _client
from ragwort_edge import _heads
from ragwort_edge import _messages
from ragwort_edge import _metrics
import ragwort_membership as membership
import ragwort_model as model
import ragwort_relay as relay

HOST_HEADER = _messages.HOP_PREFIX + b'host'
LEFT_HEADER = _messages.HOP_PREFIX + b'left-ms'
VERSION_HEADER = _messages.HOP_PREFIX + b'version'
DECLINED_HEADER = _messages.HOP_PREFIX + b'declined'
CUT_OFF_HEADER = _messages.HOP_PREFIX + b'cut-off'
# Bytes of the hop's headers, beyond what a caller may send.
MAX_HOP_HEADER_BYTES = 1024
# Interval of looking whether a silent helper is alive, once its answer is due.
LIFE_CHECK_S = 0.1
HTTP_UNAVAILABLE = 503


class HopResult(enum.StrEnum):
    """How handing a request to another host ended.

    DECLINED and NOT_SENT prove that it has not run. LOST means that it may
    have run, BROKEN that an answer stopped early.
    """

    ANSWERED = 'answered'
    DECLINED = 'declined'
    NOT_SENT = 'not_sent'
    LOST = 'lost'
    BROKEN = 'broken'


class Hop(msgspec.Struct, frozen=True):
    """What the host that hands a request over says of it.

    is_cut_off tells whether that host reaches no runner of the service.
    """

    host: str
    left_s: float
    version: int
    is_cut_off: bool = False


def read_hop(
    request: _messages.HttpRequest,
) -> tuple[Hop, _messages.HttpRequest]:
    """Return the hop and the caller's request; raise InvalidInputError."""
    try:
        host = (request.header(HOST_HEADER) or b'').decode('ascii')
        left_s = int(request.header(LEFT_HEADER) or b'') / 1000.0
        version = int(request.header(VERSION_HEADER) or b'')
    except ValueError as error:
        raise model.InvalidInputError(f'damaged hop: {error}') from None
    if not host or left_s <= 0:
        raise model.InvalidInputError('hop without a host or without time')
    is_cut_off = request.header(CUT_OFF_HEADER) is not None
    return Hop(host, left_s, version, is_cut_off), _without_hop(request)


def _without_hop(request: _messages.HttpRequest) -> _messages.HttpRequest:
    headers = tuple(
        (name, value)
        for name, value in request.headers
        if not name.startswith(_messages.HOP_PREFIX)
    )
    return msgspec.structs.replace(request, headers=headers)


def decline(reason: str, is_cut_off: bool = False) -> _messages.HttpResponse:
    """Return the answer to a request that another host should serve.

    is_cut_off tells that this host reaches no runner of the service.
    """
    headers: tuple[tuple[bytes, bytes], ...] = (
        (DECLINED_HEADER, _heads.header_text(reason)),
    )
    if is_cut_off:
        headers += ((CUT_OFF_HEADER, b'1'),)
    return _messages.HttpResponse(HTTP_UNAVAILABLE, headers)


class HopCall(_client.ResponseReader):
    """One request handed to another host, whose answer the caller gets.

    done returns how it ended and why.
    """

    def __init__(self, reactor: Any, exchange: Any) -> None:
        """Pass the answer on to an exchange as it comes."""
        self.reactor = reactor
        self.exchange = exchange
        self.done: defer.Deferred[tuple[HopResult, str]] = defer.Deferred()
        self.open_call: _client.OpenCall | None = None
        self.timer: Any = None
        self.pressure = _back_pressure.BackPressure(reactor, exchange)
        self.is_alive: Callable[[], bool] = lambda: False
        self.declined: str | None = None
        self.is_helper_cut_off = False
        self.has_head = False
        self.has_frame = False

    def open(
        self,
        client: _client.HttpClient,
        address: str,
        request: _messages.HttpRequest,
        head_timeout_s: float | None,
        is_alive: Callable[[], bool],
    ) -> None:
        """Send the request; wait so long for a head, None for any time.

        A host that is alive is waited for longer: it may serve slowly.
        """
        self.open_call = client.open(address, request, self)
        self.pressure.call = self.open_call
        self.is_alive = is_alive
        if head_timeout_s is not None:
            self.timer = self.reactor.callLater(
                head_timeout_s, self._on_head_timeout
            )

    @property
    def was_sent(self) -> bool:
        """Tell whether any bytes of the request may have been sent."""
        return self.open_call is not None and self.open_call.was_sent

    def cancel(self) -> None:
        """Close the connection, which cancels the request there."""
        self._stop_timer()
        self.pressure.stop()
        if self.open_call is not None:
            self.open_call.cancel()

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _on_head_timeout(self) -> None:
        if self.is_alive():
            self.timer = self.reactor.callLater(
                LIFE_CHECK_S, self._on_head_timeout
            )
            return
        was_sent = self.was_sent
        self.cancel()
        result = HopResult.LOST if was_sent else HopResult.NOT_SENT
        self._end(result, 'host is silent')

    def on_head(self, response: _messages.HttpResponse) -> None:
        """Pass on status and headers, unless the host declines."""
        self._stop_timer()
        self.has_head = True
        self.has_frame = _messages.is_framed(response)
        declined = response.header(DECLINED_HEADER)
        if declined is not None:
            self.declined = declined.decode('latin-1')
            self.is_helper_cut_off = (
                response.header(CUT_OFF_HEADER) is not None
            )
            return
        headers = _messages.end_to_end(response.headers)
        length = response.header(b'content-length')
        if length is not None:
            headers += ((b'content-length', length),)
        problem = _heads.head_problem(response.status, headers)
        if problem is not None:
            self.cancel()
            self._end(HopResult.LOST, problem)
            return
        self.exchange.start(response.status, headers)

    def on_data(self, data: bytes) -> None:
        """Pass on a part of the body."""
        if self.declined is None:
            self.exchange.write(data)
            self.pressure.on_data()

    def on_end(self) -> None:
        """End the caller's answer as a whole one."""
        if self.declined is not None:
            self._end(HopResult.DECLINED, self.declined)
            return
        if not self.has_frame:
            # Hosts frame their answers, so that no end of one is a close.
            self._end(HopResult.BROKEN, 'ends with its connection')
            return
        self.exchange.finish()
        self._end(HopResult.ANSWERED, '')

    def on_error(self, call_error: _client.CallError) -> None:
        """Tell what is known of a request without a whole answer."""
        if call_error.kind == _client.CallErrorKind.NOT_CONNECTED:
            result = HopResult.NOT_SENT
        elif self.declined is not None:
            result = HopResult.DECLINED
        else:
            result = HopResult.BROKEN if self.has_head else HopResult.LOST
        self._end(result, str(call_error))

    def _end(self, result: HopResult, detail: str) -> None:
        self._stop_timer()
        self.pressure.stop()
        if not self.done.called:
            self.done.callback((result, detail))


class HandOver:
    """Hands requests to other hosts."""

    def __init__(
        self,
        reactor: Any,
        client: _client.HttpClient,
        members: membership.Membership,
        rng: random.Random,
        metrics: _metrics.Metrics,
    ) -> None:
        """Choose among the members that accept requests."""
        self.reactor = reactor
        self.client = client
        self.members = members
        self.rng = rng
        self.metrics = metrics
        self.helpers = relay.Helpers()

    def choose(
        self,
        service: str,
        asked: int,
        preferred: Collection[str] = (),
        homes: relay.Homes = relay.ANYWHERE,
    ) -> model.MemberUpdate | None:
        """Return the next host to ask for a request, None if there is none.

        The preferred hosts go before all others. Only hosts in the home
        regions of a request get its body: the region of the caller, which
        might get it too, is not known here.
        """
        now = self.reactor.seconds()
        if not self.helpers.may_ask(service, asked, now):
            return None
        hosts = [
            update
            for update in self.members.live()
            if update.accepting
            and update.hand_over_address
            and update.name != self.members.self_name
            and homes.admits_region(update.region)
        ]
        likely = [update for update in hosts if update.name in preferred]
        return self.helpers.choose(
            service, likely, self.rng, now
        ) or self.helpers.choose(service, hosts, self.rng, now)

    def open(
        self,
        helper: model.MemberUpdate,
        service: str,
        exchange: Any,
        hop: Hop,
        head_timeout_s: float | None,
    ) -> HopCall:
        """Hand a request to another host."""
        request = _hop_request(exchange.request, hop)
        call = HopCall(self.reactor, exchange)
        self.helpers.on_open(helper.name)

        def on_done(outcome: Any) -> Any:
            self.helpers.on_end(helper.name)
            if isinstance(outcome, tuple):
                self._on_result(helper.name, service, outcome[0])
            if call.is_helper_cut_off:
                now = self.reactor.seconds()
                self.helpers.on_cut_off(helper.name, service, now)
            return outcome

        call.done.addBoth(on_done)
        address = helper.hand_over_address
        call.open(
            self.client,
            address,
            request,
            head_timeout_s,
            lambda: self.members.is_alive(helper.name),
        )
        return call

    def on_asked(self, hop: Hop, service: str) -> None:
        """Note that a host which hands requests over is itself no helper."""
        now = self.reactor.seconds()
        self.helpers.on_declined(hop.host, service, now)
        if hop.is_cut_off:
            self.helpers.on_cut_off(hop.host, service, now)

    def _on_result(self, helper: str, service: str, result: HopResult) -> None:
        self.metrics.hops.labels(service, result).inc()
        now = self.reactor.seconds()
        if result in (HopResult.ANSWERED, HopResult.BROKEN):
            self.helpers.on_served(helper, service, now)
        else:
            self.helpers.on_declined(helper, service, now)


def _hop_request(
    request: _messages.HttpRequest, hop: Hop
) -> _messages.HttpRequest:
    headers = _messages.end_to_end(_without_hop(request).headers)
    headers += (
        (HOST_HEADER, hop.host.encode()),
        (LEFT_HEADER, b'%d' % max(math.floor(hop.left_s * 1000), 1)),
        (VERSION_HEADER, b'%d' % hop.version),
    )
    if hop.is_cut_off:
        headers += ((CUT_OFF_HEADER, b'1'),)
    return msgspec.structs.replace(request, headers=headers)
