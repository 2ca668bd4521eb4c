"""What follows when a runner's answer is not the caller's answer."""

import dataclasses
import enum

from ragwort_relay import _routes

# Least time that another try is worth starting with, in seconds.
MIN_RETRY_S = 0.05
# Tries that runners turned away or never got, over those that ran.
MAX_SENDS_NOT_RUN = 3


class SendResult(enum.StrEnum):
    """How sending a call to a runner ended.

    NOT_SENT and NOT_RUN prove that the runner did not run it. FAILED is
    the runner's own error answer. LOST: it may have run, and no whole
    answer came. BROKEN: a stream ended before its end.
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


@dataclasses.dataclass(slots=True)
class Attempts:
    """The sends of one call so far.

    ran counts those that may have run, not_run those that did not.
    """

    route: _routes.Route
    ran: int = 0
    not_run: int = 0

    def on_result(self, result: SendResult) -> None:
        """Count a send."""
        if result in NOT_RUN_RESULTS:
            self.not_run += 1
        else:
            self.ran += 1

    def may_send_again(self, result: SendResult, remaining_s: float) -> bool:
        """Tell whether the route's kind and limits allow another send."""
        if remaining_s < MIN_RETRY_S:
            return False
        if result in NOT_RUN_RESULTS:
            return self.not_run < MAX_SENDS_NOT_RUN
        if not self.route.may_repeat:
            return False
        return self.ran < max(self.route.attempts, 1)


def next_step(
    result: SendResult, may_send_again: bool, may_have_run: bool
) -> NextStep:
    """Return what follows a send.

    A runner's own failure is delivered as it is if nothing better can be
    had; a refusal is only for calls of which no send may have run.
    """
    if result == SendResult.DONE:
        return NextStep.DELIVER
    if may_send_again:
        return NextStep.SEND_AGAIN
    if result == SendResult.FAILED:
        return NextStep.DELIVER
    return NextStep.FAIL if may_have_run else NextStep.REFUSE
