"""Decisions on sending a call again after it failed."""

import enum

import msgspec

from ragwort_relay import _routes

# Another send needs at least this much time.
MIN_RETRY_S = 0.05
# Limit on sends that were rejected or never arrived, which the route's
# attempts do not count.
MAX_SENDS_NOT_RUN = 3


class SendResult(enum.StrEnum):
    """How sending a call to a runner ended.

    NOT_SENT and NOT_RUN prove that the runner did not run it. FAILED is
    the runner's own error answer. LOST means that it may have run, but no
    complete answer arrived, BROKEN that a stream stopped early.
    """

    DONE = 'done'
    NOT_SENT = 'not_sent'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    LOST = 'lost'
    BROKEN = 'broken'


NOT_RUN_RESULTS = (SendResult.NOT_SENT, SendResult.NOT_RUN)


class NextStep(enum.StrEnum):
    """What to do after a send."""

    DELIVER = 'deliver'
    SEND_AGAIN = 'send_again'
    REFUSE = 'refuse'
    FAIL = 'fail'


class Attempts(msgspec.Struct):
    """The sends of one call so far.

    ran counts the sends that may have run, not_run those that did not.
    """

    route: _routes.Route
    ran: int = 0
    not_run: int = 0

    def on_result(self, result: SendResult) -> None:
        """Count a send by its result."""
        if result in NOT_RUN_RESULTS:
            self.not_run += 1
        else:
            self.ran += 1

    def on_end(self, result: SendResult, is_counted: bool) -> None:
        """Count a send that ended.

        is_counted tells that it was counted as one that may have run before.
        """
        if is_counted:
            self.ran -= 1
        self.on_result(result)

    def may_send_again(self, result: SendResult, remaining_s: float) -> bool:
        """Tell whether the route's kind and limits allow another send."""
        if remaining_s < MIN_RETRY_S:
            return False
        if result in NOT_RUN_RESULTS:
            return self.not_run < MAX_SENDS_NOT_RUN
        if not self.route.may_repeat:
            return False
        return self.ran < max(self.route.attempts, 1)

    def may_send_beside(self, remaining_s: float, is_counted: bool) -> bool:
        """Tell whether a call may go to a second runner beside a first.

        is_counted tells whether ran includes the first one.
        """
        if remaining_s < MIN_RETRY_S or not self.route.may_repeat:
            return False
        if self.not_run >= MAX_SENDS_NOT_RUN:
            return False
        return self.ran + (not is_counted) < self.route.attempts


def next_step(
    result: SendResult, may_send_again: bool, may_have_run: bool
) -> NextStep:
    """Return the next step after a send.

    A runner's own error answer is delivered if the call can't be sent
    again. Only calls of which no send may have run are refused.
    """
    if result == SendResult.DONE:
        return NextStep.DELIVER
    if may_send_again:
        return NextStep.SEND_AGAIN
    if result == SendResult.FAILED:
        return NextStep.DELIVER
    return NextStep.FAIL if may_have_run else NextStep.REFUSE
