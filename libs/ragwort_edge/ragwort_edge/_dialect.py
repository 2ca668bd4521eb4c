"""What the relay needs to know of the messages of a platform.

An adapter implements Dialect; the relay itself reads and writes no header
and no body.
"""

from collections.abc import Sequence
import dataclasses
import enum
from typing import Protocol

from ragwort_edge import _messages
import ragwort_model as model
import ragwort_relay as relay


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller says of its request.

    deadline_s counts from the arrival; last_event is the number of the
    last event that the caller has of a stream; pieces and piece_key
    describe the work of the stages.
    """

    request_id: str
    deadline_s: float | None = None
    access_key: str | None = None
    last_event: int | None = None
    prompt: tuple[relay.PromptPart, ...] = ()
    pieces: tuple[int, ...] = ()
    piece_key: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class MainCall:
    """A call as it is sent to one runner."""

    request: _messages.HttpRequest
    metadata: RequestMetadata
    workspace: str | None
    runner: relay.FleetRunner
    left_s: float
    rank: int
    inputs: tuple[str, ...] = ()
    last_event: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerReply:
    """What the head of a runner's response says.

    is_authentic tells whether it answers the call it is read for and is sealed
    by a runner; an encoded body is not the runner's own.
    """

    is_authentic: bool
    is_not_run: bool
    is_misdirected: bool
    is_input_gone: bool
    load: model.LoadReport | None


class PieceResult(enum.StrEnum):
    """How making a piece ended."""

    MADE = 'made'
    LATE = 'late'
    INPUT_GONE = 'gone'
    NO_ROOM = 'room'
    ERROR = 'error'


@dataclasses.dataclass(frozen=True, slots=True)
class PieceReply:
    """A runner's answer for one piece."""

    result: PieceResult
    handle: str | None = None


class Dialect(relay.ObjectDecoder, Protocol):
    """Reads and writes a platform's messages."""

    def read_request(self, request: _messages.HttpRequest) -> RequestMetadata:
        """Return what a request says; raise InvalidInputError."""

    def main_request(self, call: MainCall) -> _messages.HttpRequest:
        """Return the request for a runner."""

    def read_reply(
        self, response: _messages.HttpResponse, request_id: str
    ) -> RunnerReply:
        """Return what a runner's response says."""

    def stage_request(
        self, batch: relay.BatchCall, now: float
    ) -> _messages.HttpRequest:
        """Return the call that makes pieces."""

    def read_stage_reply(
        self, response: _messages.HttpResponse, count: int
    ) -> Sequence[PieceReply]:
        """Return the results in order; raise WireError."""

    def release_request(
        self, address: str, handles: Sequence[str]
    ) -> _messages.HttpRequest:
        """Return the call that frees results."""

    def room_request(self, address: str) -> _messages.HttpRequest:
        """Return the question for a runner's room for results."""

    def read_room(self, response: _messages.HttpResponse) -> float:
        """Return the free bytes for results; raise WireError."""

    def handle_address(self, handle: str) -> str:
        """Return the address of the runner that keeps a result."""

    def error_response(
        self, status: int, retry_after_s: float | None, reason: str
    ) -> _messages.HttpResponse:
        """Return an answer of our own."""
