"""The sends of one request until one of them has its answer.

A runner that falls silent may go on: its connection stays open until another
runner has taken the request over, and while none can, it is waited for.
"""

from collections.abc import Callable
import math
import traceback
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from ragwort_edge import _client
from ragwort_edge import _context
from ragwort_edge import _sends
import ragwort_relay as relay

if TYPE_CHECKING:
    from ragwort_edge import _request_handler

# Interval of looking for another runner while one is silent.
LOOK_AGAIN_S = 0.25
# Longest time for which two runners work on one stream. Most runners that do
# not take a request say so within it.
OVERLAP_S = 0.3
# Interval of looking whether the second runner has the request.
CONNECTING_S = 0.05
# Interval of looking whether a silent runner's address answers connections,
# and the time without an answer after which its connection counts as dead.
REACH_CHECK_S = 1.0
UNREACHABLE_S = 1.0
# Why a request is taken back that waits at a runner.
INPUTS_GONE = 'inputs are gone with their makers'
# Name of a failed second send in the log and the metrics.
SECOND_SEND = 'second-send'


class SendEnd(msgspec.Struct):
    """How the last send ended, and what to do."""

    step: relay.NextStep
    outcome: _sends.SendOutcome


class SendLoop:
    """Sends one request to one runner after another."""

    def __init__(
        self,
        handler: '_request_handler.RequestHandler',
        service: str,
        overlap_s: float | None,
    ) -> None:
        """Prepare to send handler's request to runners of a service.

        overlap_s is how long two runners may work on it, None for any time.
        """
        self.handler = handler
        self.context = handler.context
        self.service = service
        self.overlap_s = overlap_s
        self.tried: set[str] = set()
        self.lead: _sends.Send | None = None
        # A silent send whose connection is open while another one is tried.
        self.kept: _sends.Send | None = None
        # The second send, from its preparation to its end.
        self.trial: defer.Deferred[_sends.SendOutcome] | None = None
        self.is_first_back = False
        self.overlap_timer: Any = None
        self.check_due_at = -math.inf
        # Interval until another runner is looked for again.
        self.look_again_s = LOOK_AGAIN_S

    async def run(self) -> SendEnd | None:
        """Return how the request ended, None if another host served it.

        Raise RefusedError if no runner can be asked.
        """
        try:
            while True:
                if self.lead is None:
                    if await self.handler.hops.is_served_elsewhere():
                        return None
                    await self.handler.await_place(self.service)
                    if self.handler.stages.has_outlived_inputs:
                        await self.handler.stages.execute()
                    self.lead = self._open(())
                outcome = await self._next_end(self.lead)
                if outcome is None:
                    continue
                step = await self._step_after(outcome)
                if step != relay.NextStep.SEND_AGAIN:
                    return SendEnd(step, outcome)
                await self._renew_inputs(outcome.is_input_gone)
        finally:
            self._stop_all()

    async def _next_end(self, send: _sends.Send) -> _sends.SendOutcome | None:
        """Return how the leading send ended, None if another one leads."""
        outcome: _sends.SendOutcome | None = await send.outcome()
        if self.lead is not send:
            return None
        while outcome is not None and outcome.is_silent:
            assert self.lead is not None
            outcome = await self._ask_another(self.lead)
        return outcome

    def _open(self, excluded: tuple[str, ...]) -> _sends.Send:
        """Send the request to a runner; raise RefusedError if there is none.

        excluded names runners that have the request already.
        """
        handler = self.handler
        runner = handler.take_runner(self.service, self.tried, excluded)
        send = handler.new_send(runner, self)
        runner.state.on_dispatch()
        try:
            self.context.catalog.on_send(runner, send.opened_at)
            handler.open_send(send)
        except Exception:
            self._abandon(send)
            raise
        return send

    async def _step_after(self, outcome: _sends.SendOutcome) -> relay.NextStep:
        """Record the end of the leading send and return the next step."""
        if await self._note_end(outcome):
            return relay.NextStep.FAIL
        return self.handler.next_step(self.service, outcome)

    async def _note_end(self, outcome: _sends.SendOutcome) -> bool:
        """Record the end of the leading send.

        Return whether the request likely crashed its runner.
        """
        send, self.lead = self.lead, None
        assert send is not None
        self.handler.placement.on_send_over(self.context.reactor.seconds())
        self.handler.record_send(self.service, send, outcome)
        return await self.handler.has_likely_crashed(
            self.service, send, outcome
        )

    async def _renew_inputs(self, is_gone: bool = False) -> None:
        """Make the results of the stages again if they were freed."""
        if self.handler.route.kind != relay.CallKind.STREAM:
            return
        stages = self.handler.stages
        if is_gone or stages.run is None or stages.has_outlived_inputs:
            self.handler.log_fields['remade'] = True
            await self.handler.stages.execute()

    def on_makers_ended(self) -> None:
        """Take a request back that may wait for inputs which are gone.

        A runner fetches them once it has room; by then the next start of
        their maker may have given their handles to other results. A request
        that can't be sent again waits until there is a next start: most
        runners have the inputs by then.
        """
        send, handler = self.lead, self.handler
        if send is None or send.has_begun or send.ended is not None:
            return
        if self.kept is not None or not handler.stages.has_outlived_inputs:
            return
        if self.trial is None and self._may_send_beside(send):
            self.lead = None
            handler.placement.on_send_over(self.context.reactor.seconds())
            self._abandon(send)
            send.pass_on(send.lost(INPUTS_GONE))
        elif handler.stages.may_be_replaced:
            outcome = send.lost(INPUTS_GONE)
            outcome.is_given_up = True
            send.stop()
            send.end(outcome)

    def _may_send_beside(self, send: _sends.Send) -> bool:
        """Spend the budget for a send beside an open one, if all allows it."""
        handler = self.handler
        return (
            handler.fits(relay.Span.SEND)
            and handler.attempts.may_send_beside(
                handler.left_s(), send.is_counted
            )
            and self.context.budget.take(
                self.service, self.context.reactor.seconds()
            )
        )

    # A silent runner.

    @property
    def has_other(self) -> bool:
        """Tell whether a silent send is open beside the leading one."""
        return self.kept is not None

    def on_silent(self, send: _sends.Send) -> None:
        """Ask another runner if one can take over, else go on waiting."""
        may_ask = self.kept is None and self._may_ask_another(send)
        if may_ask or send.silence_logged_at != send.heard_at:
            send.silence_logged_at = send.heard_at
            self.handler.log_silence(send, may_ask)
        self._check_reach(send)
        if may_ask:
            send.pass_on(send.lost('runner is silent', is_silent=True))
        else:
            send.expect(self.look_again_s)

    def _may_ask_another(self, send: _sends.Send) -> bool:
        """Spend the budget for another runner, if there is one."""
        others = [
            runner
            for runner in self.handler.sendable(self.service)
            if runner.name != send.runner.name
        ]
        return bool(others) and self._may_send_beside(send)

    def _check_reach(self, send: _sends.Send) -> None:
        """Look whether a silent runner's address answers connections."""
        now = self.context.reactor.seconds()
        if now < self.check_due_at:
            return
        # The result of the check says when the next one is due.
        self.check_due_at = math.inf
        checked = self.context.client.check(send.runner.address)
        checked.addCallback(self._on_checked, send)

    def _on_checked(
        self, state: _client.AddressState, send: _sends.Send
    ) -> None:
        """Give a send up whose runner has been out of reach for a while."""
        now = self.context.reactor.seconds()
        self.check_due_at = now
        if state != _client.AddressState.OPEN:
            self.context.catalog.reach.on_unreachable(send.runner, now)
        if state != _client.AddressState.SILENT:
            # A runner that refuses new connections may keep those it has.
            self.check_due_at += REACH_CHECK_S
            send.unreachable_at = None
            return
        if send is not self.lead or send.ended is not None:
            return
        since = send.unreachable_at
        if since is None or since < send.heard_at:
            send.unreachable_at = now
        elif now >= since + UNREACHABLE_S:
            send.stop()
            send.end(send.lost('runner is silent and out of reach'))

    async def _ask_another(
        self, first: _sends.Send
    ) -> _sends.SendOutcome | None:
        """Return how a second send ended, None if the first one goes on."""
        self.lead, self.kept = None, first
        self._count(first)
        if not first.has_begun:
            self.handler.note_silence(first.runner, first.opened_at)
        self.is_first_back = False
        self.trial = defer.Deferred.fromCoroutine(self._try_second(first))
        try:
            outcome: _sends.SendOutcome = await self.trial
        except defer.CancelledError:
            if not self.is_first_back:
                raise
            self._go_back(first)
            return None
        # Whatever keeps the request from a second runner.
        except Exception as error:
            if self.kept is None:
                raise
            if not isinstance(error, _context.RefusedError):
                self.context.last_resort.report(
                    SECOND_SEND, traceback.format_exc()
                )
            self.look_again_s *= 2
            self._go_back(first)
            return None
        finally:
            self.trial = None
            self._stop_overlap_timer()
        if self.kept is None:
            return outcome
        if outcome.result == relay.SendResult.DONE:
            self._drop_kept()
            return outcome
        await self._note_end(outcome)
        self._go_back(first)
        return None

    async def _try_second(self, first: _sends.Send) -> _sends.SendOutcome:
        """Send to a second runner and return how that ended."""
        self.handler.placement.on_send_over(self.context.reactor.seconds())
        await self._renew_inputs()
        await self.handler.await_place(self.service)
        self.lead = self._open((first.runner.name,))
        if self.overlap_s is not None and self.kept is not None:
            self._await_connection(self.overlap_s)
        ended: _sends.SendOutcome = await self.lead.outcome()
        return ended

    def _set_overlap_timer(
        self, delay_s: float, then: Callable[[], None]
    ) -> None:
        self.overlap_timer = self.context.reactor.callLater(delay_s, then)

    def _stop_overlap_timer(self) -> None:
        if self.overlap_timer is not None and self.overlap_timer.active():
            self.overlap_timer.cancel()
        self.overlap_timer = None

    def _await_connection(self, overlap_s: float) -> None:
        """Count the overlap from when the second runner has the request."""
        if self.lead is not None and self.lead.was_sent:
            self._set_overlap_timer(overlap_s, self._drop_kept)
        else:
            self._set_overlap_timer(
                CONNECTING_S, lambda: self._await_connection(overlap_s)
            )

    def on_answer(self, send: _sends.Send) -> None:
        """Let the first send that brings something go on alone."""
        if self.kept is None:
            return
        if send is self.kept:
            self._let_first_back()
        else:
            self._drop_kept()

    def on_end(self, send: _sends.Send) -> None:
        """Take the first runner's answer, or forget its send."""
        if send is not self.kept or send.ended is None:
            return
        is_alone = self.trial is None
        if is_alone or send.ended.result == relay.SendResult.DONE:
            self._let_first_back()
        else:
            self.kept = None
            self.handler.record_send(self.service, send, send.ended)

    def _let_first_back(self) -> None:
        self.is_first_back = True
        if self.trial is not None:
            self.trial.cancel()

    def _go_back(self, first: _sends.Send) -> None:
        """Wait for the first runner again and drop the second send."""
        second, self.lead = self.lead, first
        self.kept = None
        if second is not None:
            self._abandon(second)
        if first.has_begun:
            # Whatever was made again was for the second runner.
            self.handler.stages.release_all()
        first.go_on()
        if first.ended is None and not self.is_first_back:
            first.expect(self.look_again_s)

    def _drop_kept(self) -> None:
        """Close the connection to the silent runner."""
        kept, self.kept = self.kept, None
        if kept is None:
            return
        kept.stop()
        self.handler.record_send(
            self.service, kept, kept.lost('runner is silent')
        )

    def _count(self, send: _sends.Send) -> None:
        """Count a send among the attempts that may have run."""
        if not send.is_counted:
            send.is_counted = True
            self.handler.attempts.on_result(relay.SendResult.LOST)

    def _abandon(self, send: _sends.Send) -> None:
        """Close the connection of a send that nobody needs any more."""
        send.stop()
        send.runner.state.on_cancel()
        if send.was_sent:
            self._count(send)

    def _stop_all(self) -> None:
        self._stop_overlap_timer()
        self.handler.placement.on_send_over(self.context.reactor.seconds())
        sends = [send for send in (self.lead, self.kept) if send is not None]
        self.lead = self.kept = None
        for send in sends:
            if send.ended is not None:
                self.handler.record_send(self.service, send, send.ended)
                continue
            self._abandon(send)
            if send.was_sent and not send.has_begun:
                self.handler.note_silence(send.runner, send.opened_at)
