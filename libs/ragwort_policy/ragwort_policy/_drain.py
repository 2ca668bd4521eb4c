"""What a leaving host may still take, given the time that it has left."""

import msgspec

# Share of the time to leave in which new connections are accepted.
ACCEPT_SHARE = 1.0 / 3.0
# Time before the end in which the last answers go out, and its largest share
# of the time to leave.
FLUSH_S = 0.5
FLUSH_SHARE = 1.0 / 6.0
# Time before the end at which the host stops with whatever is open.
STOP_MARGIN_S = 0.2
# Time in which callers learn that the host leaves. A stream that was sent
# before and outlasts the host is cut by the stop; one that was sent later is
# cut by the decision to take it.
NOTICE_S = 3.0


class Drain(msgspec.Struct, frozen=True):
    """A planned stop of a host.

    Times are in seconds of the host's clock. The process is killed grace_s
    after started_at; callers use an address for up to address_age_s.
    """

    started_at: float
    grace_s: float
    address_age_s: float

    @property
    def accept_until(self) -> float:
        """Return when new connections are no longer accepted."""
        share_s = self.grace_s * ACCEPT_SHARE
        return self.started_at + min(self.address_age_s, share_s)

    @property
    def answers_due_at(self) -> float:
        """Return when each request must have its answer."""
        flush_s = min(FLUSH_S, self.grace_s * FLUSH_SHARE)
        return self.started_at + self.grace_s - flush_s

    @property
    def stop_at(self) -> float:
        """Return when the host stops with whatever is open."""
        margin_s = min(STOP_MARGIN_S, self.grace_s * FLUSH_SHARE / 2.0)
        return self.started_at + self.grace_s - margin_s

    def may_estimate(self, sent_by: float, may_repeat: bool) -> bool:
        """Tell whether an estimate is enough to take a request on.

        Otherwise the request must be certain to end in time. sent_by is when
        the request was whole here. may_repeat tells that its caller gets a
        whole failure at the worst, and may send it again.
        """
        return may_repeat or sent_by <= self.started_at + NOTICE_S

    def fits(
        self,
        limit_at: float,
        expected_s: float,
        now: float,
        may_estimate: bool = True,
    ) -> bool:
        """Tell whether what begins now ends before answers are due.

        It ends at its time limit at the latest. Without may_estimate only
        the limit counts.
        """
        if limit_at <= self.answers_due_at:
            return True
        return may_estimate and now + expected_s <= self.answers_due_at
