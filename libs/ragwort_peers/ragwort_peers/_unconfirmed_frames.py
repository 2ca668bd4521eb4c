"""Frames sent to a peer whose receipt has not come back yet."""

import collections

import msgspec

# Time for a receipt: some round trips between regions and a busy event loop.
RECEIPT_TIMEOUT_S = 0.3
# Frames that follow each other over a narrow link take their time.
MIN_LINK_BYTES_PER_S = 250_000
# Without any receipt, each further connection is given twice the time.
MAX_TIMEOUT_FACTOR = 8
# Older frames are not sent again: what they say is repeated or out of date.
MAX_AGE_S = 2.0
MAX_FRAMES = 256
MAX_BYTES = 4 * 1024 * 1024


class _Frame(msgspec.Struct):
    number: int
    data: bytes
    queued_at: float
    due_at: float


class UnconfirmedFrames:
    """Keeps the frames to send again if their connection turns out silent."""

    def __init__(self) -> None:
        """Start without frames."""
        self.frames: collections.deque[_Frame] = collections.deque()
        self.size_bytes = 0
        self.timeout_factor = 1

    @property
    def due_at(self) -> float | None:
        """Return when the next receipt is due, None if none is awaited."""
        return self.frames[0].due_at if self.frames else None

    def age_s(self, now: float) -> float:
        """Return the age of the oldest frame, in seconds."""
        return now - self.frames[0].queued_at if self.frames else 0.0

    def add(self, number: int, data: bytes, now: float) -> None:
        """Keep a frame; drop the oldest ones beyond the bounds."""
        self.drop_outdated(now)
        self.size_bytes += len(data)
        self.frames.append(_Frame(number, data, now, self._due_at(now)))
        while len(self.frames) > 1 and (
            len(self.frames) > MAX_FRAMES or self.size_bytes > MAX_BYTES
        ):
            self.drop_first()

    def _due_at(self, now: float) -> float:
        """Return when the receipt for all frames so far is due."""
        timeout_s = RECEIPT_TIMEOUT_S * self.timeout_factor
        return now + timeout_s + self.size_bytes / MIN_LINK_BYTES_PER_S

    def drop_first(self) -> None:
        """Drop the oldest frame, if there is any."""
        if self.frames:
            self.size_bytes -= len(self.frames.popleft().data)

    def clear(self) -> None:
        """Drop all frames."""
        self.frames.clear()
        self.size_bytes = 0

    def drop_outdated(self, now: float) -> None:
        """Drop frames that are not sent again any more."""
        while self.frames and self.age_s(now) > MAX_AGE_S:
            self.drop_first()

    def confirm(self, number: int) -> None:
        """Drop the frames up to a number, which the peer has read."""
        self.timeout_factor = 1
        while self.frames and self.frames[0].number <= number:
            self.drop_first()

    def on_sent_again(self, now: float) -> None:
        """Wait for the receipts anew, on another connection."""
        for frame in self.frames:
            frame.due_at = self._due_at(now)

    def wait_longer(self) -> None:
        """Double the time for a receipt after one did not come."""
        self.timeout_factor = min(2 * self.timeout_factor, MAX_TIMEOUT_FACTOR)
