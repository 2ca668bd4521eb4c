"""Interface between the relay and the HTTP messages of a platform.

An adapter implements Dialect; the relay itself interprets no header or body
of the platform.
"""

from collections.abc import Sequence
import enum
from typing import Protocol

import msgspec

from ragwort_edge import _messages
import ragwort_model as model
import ragwort_relay as relay


class RequestMetadata(msgspec.Struct, frozen=True):
    """Parameters that a caller sends with its request.

    deadline_s counts from the arrival; last_event is the number of the last
    event of a stream that the caller received, first_attempt the id of its
    request that brought the stream's first event; pieces holds the number of
    pieces of each stage, piece_key the key of those without inputs.
    """

    request_id: str
    deadline_s: float | None = None
    access_key: str | None = None
    last_event: int | None = None
    prompt: tuple[relay.PromptPart, ...] = ()
    pieces: tuple[int, ...] = ()
    piece_key: str = ''
    first_attempt: str | None = None


class MainCall(msgspec.Struct, frozen=True):
    """The main call of a request, as sent to one runner."""

    request: _messages.HttpRequest
    metadata: RequestMetadata
    workspace: str | None
    runner: relay.FleetRunner
    left_s: float
    rank: int
    inputs: tuple[str, ...] = ()
    last_event: int | None = None


class RunnerReply(msgspec.Struct, frozen=True):
    """What the status and headers of a runner's response say.

    is_authentic tells whether the response answers this call and carries a
    runner's seal; an encoded body does not come from the runner. limit_per_s
    is how many requests a second the runner takes from all hosts together,
    None if it names no limit. is_leaving tells whether it says that it leaves.
    pause_s is the time for which it wants nothing more from this host, None if
    it turned nothing away or named no time. rejects_per_s is how many requests
    it may turn away in a second before it falls over, None if it is not
    brittle; is_full tells whether it turned this one away for want of room.
    cold_s is how long it will still be cold, None if it does not say.
    is_foreign tells whether the response names another request than this
    call's: a faulty runner sent it before, and nothing in it holds now.
    """

    is_authentic: bool
    is_not_run: bool
    is_misdirected: bool
    is_input_gone: bool
    load: model.LoadReport | None
    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    rejects_per_s: float | None = None
    is_full: bool = False
    cold_s: float | None = None
    is_foreign: bool = False


# The reading of a response to another request: no word of it may be recorded,
# and the request may have run.
FOREIGN_REPLY = RunnerReply(False, False, False, False, None, is_foreign=True)


class PieceResult(enum.StrEnum):
    """Result of one piece of stage work."""

    MADE = 'made'
    LATE = 'late'
    INPUT_GONE = 'gone'
    STORAGE_FULL = 'room'
    ERROR = 'error'


class PieceReply(msgspec.Struct, frozen=True):
    """A runner's reply for one piece."""

    result: PieceResult
    handle: str | None = None


class Dialect(relay.ObjectDecoder, Protocol):
    """Converts between a platform's messages and the relay's types."""

    def read_request(self, request: _messages.HttpRequest) -> RequestMetadata:
        """Return a request's metadata; raise InvalidInputError."""

    def main_request(self, call: MainCall) -> _messages.HttpRequest:
        """Return the request to a runner for the main call."""

    def read_reply(
        self, response: _messages.HttpResponse, request_id: str
    ) -> RunnerReply:
        """Return what the status and headers of a response say."""

    def stage_request(
        self, batch: relay.BatchCall, now: float
    ) -> _messages.HttpRequest:
        """Return the request that runs a batch of pieces."""

    def read_stage_reply(
        self, response: _messages.HttpResponse, count: int
    ) -> Sequence[PieceReply]:
        """Return the pieces' results in order; raise WireError."""

    def release_request(
        self,
        address: str,
        handles: Sequence[str],
        runner: relay.FleetRunner | None,
    ) -> _messages.HttpRequest:
        """Return the request that frees results.

        runner is None if no runner with that address is known.
        """

    def storage_request(
        self, runner: relay.FleetRunner
    ) -> _messages.HttpRequest:
        """Return the request for a runner's free storage."""

    def read_free_storage(self, response: _messages.HttpResponse) -> float:
        """Return the free storage in bytes; raise WireError."""

    def report_request(self, address: str) -> _messages.HttpRequest:
        """Return the request for the report of whatever is at an address."""

    def read_start(self, response: _messages.HttpResponse) -> int:
        """Return the start in Unix milliseconds that a report tells.

        Return 0 if it tells none.
        """

    def handle_address(self, handle: str) -> str:
        """Return the address of the runner that stores a result."""

    def error_response(
        self, status: int, retry_after_s: float | None, reason: str
    ) -> _messages.HttpResponse:
        """Return a response that the relay itself creates."""
