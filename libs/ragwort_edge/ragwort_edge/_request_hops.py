"""Handing one request to other hosts while its service is out of reach."""

from typing import TYPE_CHECKING

from twisted.internet import defer

from ragwort_edge import _hand_over
import ragwort_model as model

if TYPE_CHECKING:
    from ragwort_edge import _request_handler

HTTP_BAD_GATEWAY = 502


class RequestHops:
    """The hops of one request."""

    def __init__(self, handler: '_request_handler.RequestHandler') -> None:
        """Start with no other host asked."""
        self.handler = handler
        self.context = handler.context
        self.asked = 0

    @property
    def is_out_of_reach(self) -> bool:
        """Tell whether this host sends nothing to the service's runners."""
        catalog = self.context.catalog
        service = self.handler.service
        now = self.context.reactor.seconds()
        return catalog.is_lost(service) or (
            catalog.is_left_to_others(service, now, self.handler.homes)
        )

    @property
    def _may_hand_over(self) -> bool:
        """Tell whether another host may serve the request from its start.

        It must not have run here: the other host uses all of its attempts.
        """
        return self.handler.hop is None and not self.handler.attempts.ran

    async def is_served_elsewhere(self) -> bool:
        """Hand the request over if its service is out of reach here.

        Return whether that ended it.
        """
        hand_over = self.context.hand_over
        while (
            hand_over is not None
            and self._may_hand_over
            and self.is_out_of_reach
        ):
            helper = hand_over.choose(
                self.handler.service,
                self.asked,
                self.context.catalog.senders(
                    self.handler.service,
                    self.context.reactor.seconds(),
                    self.handler.homes,
                ),
                self.handler.homes,
            )
            if helper is None:
                return False
            self.asked += 1
            self.handler.stages.release_all()
            if await self._hand_to(hand_over, helper):
                return True
        return False

    async def _hand_to(
        self, hand_over: _hand_over.HandOver, helper: model.MemberUpdate
    ) -> bool:
        """Hand the request to one host; return whether that ended it."""
        handler = self.handler
        hop = _hand_over.Hop(
            hand_over.members.self_name,
            handler.left_s(),
            handler.configuration.version,
            self.context.catalog.is_lost(handler.service),
        )
        may_ask_again = handler.route.may_repeat
        handler.has_sent = True
        call = hand_over.open(
            helper,
            handler.service,
            handler.exchange,
            hop,
            handler.send_timeout_s() if may_ask_again else None,
        )
        try:
            result, detail = await call.done
        except defer.CancelledError:
            call.cancel()
            handler.attempts.ran += call.was_sent
            raise
        handler.log_fields['helper'] = helper.name
        if result == _hand_over.HopResult.ANSWERED:
            handler.log_end('handed-over')
            return True
        self.context.logger.info(
            'hop-failed',
            request=handler.metadata.request_id,
            service=handler.service,
            helper=helper.name,
            result=result,
            detail=detail,
        )
        if result in (_hand_over.HopResult.BROKEN, _hand_over.HopResult.LOST):
            handler.fail(HTTP_BAD_GATEWAY, detail)
            return True
        return False
