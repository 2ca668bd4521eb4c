"""Connections that tell when a runner with results in use starts again.

A process that ends closes its connections at once, long before its next start
has made a result, and whatever the store does. The report asked for on a
connection tells which start is at its other end.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from ragwort_edge import _body
from ragwort_edge import _client
from ragwort_edge import _dialect
from ragwort_edge import _messages
import ragwort_model as model
import ragwort_relay as relay

# Interval of asking a runner that can't be reached while results of it wait:
# less than a call to its next start takes.
RETRY_INTERVAL_S = 0.1
# The same behind a connection that the runner had said it would close.
ANNOUNCED_CLOSE_INTERVAL_S = 1.0
ANSWER_TIMEOUT_S = 0.5
# Time in which a connection behind a broken one is opened at once: less than
# a process takes to start.
AT_ONCE_S = 0.02
# Refused connections in a row before a runner counts as down.
MIN_REFUSALS = 2


OnAnswer = Callable[[_messages.HttpResponse, relay.FleetRunner, float], object]


class _Link(msgspec.Struct):
    """The connection to one runner's address.

    used_until is until when results of calls that were sent there may live.
    is_told tells whether its report has come, is_closing whether that said
    that the runner would close it. broken_start is the start that was there
    when it was closed without notice at broken_at, None if it was not; opened
    and refusals count the connections opened and refused since.
    """

    runner: relay.FleetRunner
    used_until: float
    call: Any = None
    timer: Any = None
    opened_at: float = 0.0
    next_at: float = 0.0
    is_told: bool = False
    is_closing: bool = False
    broken_start: int | None = None
    broken_at: float = 0.0
    opened: int = 0
    refusals: int = 0

    @property
    def is_taken_at_once(self) -> bool:
        """Tell whether the first connection behind a break was taken.

        A process that ends leaves its port closed until its next start
        listens.
        """
        is_prompt = self.opened_at <= self.broken_at + AT_ONCE_S
        return is_prompt and self.opened == 1


class MakerWatch:
    """Asks runners for their starts, once a connection."""

    def __init__(
        self,
        reactor: Any,
        client: _client.HttpClient,
        dialect: _dialect.Dialect,
        catalog: relay.RelayCatalog,
        logger: Any,
        has_results: Callable[[relay.FleetRunner], bool],
        on_answer: OnAnswer,
    ) -> None:
        """Watch nothing yet.

        has_results tells whether results of a runner are in use; on_answer
        records what a runner's answer says of it besides, with the time of
        the request.
        """
        self.reactor = reactor
        self.client = client
        self.dialect = dialect
        self.catalog = catalog
        self.logger = logger
        self.has_results = has_results
        self.on_answer = on_answer
        self.links: dict[str, _Link] = {}
        catalog.makers.on_doubt = self._ask_again

    def expect(self, runner: relay.FleetRunner, until: float) -> None:
        """Watch a runner whose results may be in use until a time."""
        link = self.links.get(runner.address)
        if link is None:
            link = _Link(runner, until)
            self.links[runner.address] = link
        link.runner = runner
        link.used_until = max(link.used_until, until)
        if link.call is None and link.timer is None:
            self._open_at(link, link.next_at)

    def _ask_again(self, address: str) -> None:
        """Ask on a new connection, as an entry tells of another start."""
        link = self.links.get(address)
        if link is None:
            return
        self._drop_call(link)
        self._stop_timer(link)
        self._open(link)

    def _open_at(self, link: _Link, at: float) -> None:
        delay_s = at - self.reactor.seconds()
        if delay_s <= 0.0:
            self._open(link)
        elif link.timer is None:
            link.timer = self.reactor.callLater(delay_s, self._on_due, link)

    def _on_due(self, link: _Link) -> None:
        link.timer = None
        if self._is_needed(link):
            self._open(link)

    def _is_needed(self, link: _Link) -> bool:
        is_in_use = link.broken_start is not None or self.has_results(
            link.runner
        )
        if is_in_use and self.reactor.seconds() < link.used_until:
            return True
        self.links.pop(link.runner.address, None)
        self.catalog.makers.on_up(link.runner.address)
        return False

    def _may_ask(self, runner: relay.FleetRunner, now: float) -> bool:
        """Tell whether a request that is no work may go to a runner."""
        catalog = self.catalog
        return not (
            runner.entry.runner.state == model.HostState.LEAVING
            or catalog.is_evacuated(runner, now)
            or catalog.pauses.left_s(runner, now) > 0.0
            or catalog.rate_limits.is_limited(runner, now)
            or catalog.brittle.is_brittle(runner)
        )

    def _open(self, link: _Link) -> None:
        now = self.reactor.seconds()
        link.next_at = now + RETRY_INTERVAL_S
        if not self._may_ask(link.runner, now):
            link.next_at = now + ANNOUNCED_CLOSE_INTERVAL_S
            self._open_at(link, link.next_at)
            return
        link.opened_at = now
        link.opened += 1
        link.is_told = False
        reader = _ReportReader(self, link)
        link.call = self.client.open(
            link.runner.address,
            self.dialect.report_request(link.runner.address),
            reader,
            keeps_open=True,
        )
        reader.call = link.call
        link.timer = self.reactor.callLater(
            ANSWER_TIMEOUT_S, self._on_silent, link
        )

    def _on_silent(self, link: _Link) -> None:
        link.timer = None
        self._drop_call(link)
        self._reopen(link)

    def on_report(self, link: _Link, response: _messages.HttpResponse) -> None:
        """Take the start that a runner tells."""
        self._stop_timer(link)
        now = self.reactor.seconds()
        link.is_told = True
        closing = (response.header(b'connection') or b'').lower() == b'close'
        link.is_closing = closing
        if closing:
            link.next_at = now + ANNOUNCED_CLOSE_INTERVAL_S
        broken_start, link.broken_start = link.broken_start, None
        link.refusals = 0
        self.catalog.makers.on_up(link.runner.address)
        started_ms = self.dialect.read_start(response)
        if started_ms and started_ms == link.runner.entry.started_ms:
            self.on_answer(response, link.runner, link.opened_at)
        makers, address = self.catalog.makers, link.runner.address
        before_ms = makers.start_at(address)
        if started_ms:
            has_ended = makers.on_told(address, started_ms, now)
        else:
            # The connection was all that told this process from another,
            # unless an entry has come meanwhile.
            has_ended = (
                broken_start == before_ms
                and not link.is_taken_at_once
                and makers.on_lost(address, now)
            )
        if has_ended:
            self.logger.info(
                'runner-started-again',
                runner=link.runner.name,
                started_ms=makers.start_at(address),
                before_ms=before_ms,
                source='report' if started_ms else 'connection',
            )

    def on_refused(self, link: _Link) -> None:
        """Take a runner for ended whose connection broke before.

        A host that reaches no runner of the service can't tell.
        """
        runner, catalog = link.runner, self.catalog
        catalog.reach.on_unreachable(runner, self.reactor.seconds())
        if link.broken_start is None:
            return
        link.refusals += 1
        is_lost = catalog.is_lost(runner.entry.runner.service)
        if link.refusals >= MIN_REFUSALS and not is_lost:
            catalog.makers.on_down(runner.address)

    def on_broken(self, link: _Link) -> None:
        """Ask again if results of the runner are in use."""
        link.call = None
        self._stop_timer(link)
        makers, address = self.catalog.makers, link.runner.address
        if link.is_told and not link.is_closing:
            link.broken_start = makers.start_at(address)
            link.broken_at = self.reactor.seconds()
            link.opened = 0
        makers.on_closed(address)
        self._reopen(link)

    def _reopen(self, link: _Link) -> None:
        if self._is_needed(link):
            self._open_at(link, link.next_at)

    def _drop_call(self, link: _Link) -> None:
        call, link.call = link.call, None
        if call is not None:
            call.cancel()
            self.catalog.makers.on_closed(link.runner.address)

    def _stop_timer(self, link: _Link) -> None:
        if link.timer is not None and link.timer.active():
            link.timer.cancel()
        link.timer = None


class _ReportReader(_client.ResponseReader):
    """Collects the report that a connection begins with."""

    def __init__(self, watch: MakerWatch, link: _Link) -> None:
        self.watch = watch
        self.link = link
        self.call: Any = None
        self.head: _messages.HttpResponse | None = None
        self.body = _body.BodyBuffer(
            watch.client.held, _body.MAX_REPORT_BYTES, self._on_too_large
        )

    def _on_too_large(self, reason: str) -> None:
        self.call.cancel()
        self.on_error(_client.CallError(_client.CallErrorKind.DAMAGED, reason))

    def on_head(self, response: _messages.HttpResponse) -> None:
        self.head = response

    def on_data(self, data: bytes) -> None:
        self.body.add(data)

    def on_end(self) -> None:
        assert self.head is not None
        response = _messages.HttpResponse(
            self.head.status, self.head.headers, self.body.take()
        )
        if self.call is self.link.call:
            self.watch.on_report(self.link, response)

    def on_error(self, call_error: _client.CallError) -> None:
        self.body.drop()
        if call_error.is_refused and self.call is self.link.call:
            self.watch.on_refused(self.link)
        self._break()

    def on_closed(self) -> None:
        self._break()

    def _break(self) -> None:
        if self.call is self.link.call:
            self.watch.on_broken(self.link)
