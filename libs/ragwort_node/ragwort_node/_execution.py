"""State of one request while its pipeline runs."""

import dataclasses
import enum

import ragwort_model as model
from ragwort_node import _effects
import ragwort_policy as policy

MAX_DECISIONS = 64


class Phase(enum.StrEnum):
    """Phase of a request."""

    CLAIMING = 'claiming'
    QUEUED = 'queued'
    RUNNING = 'running'
    ENDED = 'ended'


class ChunkVerdict(enum.StrEnum):
    """Result of checking the sequence number of a chunk."""

    ACCEPTED = 'accepted'
    REPEATED = 'repeated'
    GAP = 'gap'


@dataclasses.dataclass(slots=True)
class Attempt:
    """One call for one stage.

    chunks holds the stage result from sequence number resume_from on;
    fresh_connection is set if the call has a connection of its own.
    software_version is that of the runner when it was called.
    """

    ident: model.AttemptId
    state: policy.RunnerState
    started_at: float
    last_progress_at: float
    fresh_connection: bool
    is_hedge: bool = False
    is_probe: bool = False
    resume_from: int = 0
    software_version: str = ''
    chunks: list[str] = dataclasses.field(default_factory=list)

    def accept_chunk(self, seq: int, data: str) -> ChunkVerdict:
        """Append a chunk if it is the next one in sequence."""
        expected = self.resume_from + len(self.chunks)
        if seq < expected:
            return ChunkVerdict.REPEATED
        if seq > expected:
            return ChunkVerdict.GAP
        self.chunks.append(data)
        return ChunkVerdict.ACCEPTED

    @property
    def chunk_count(self) -> int:
        """Return how many chunks of the stage result have arrived."""
        return self.resume_from + len(self.chunks)


@dataclasses.dataclass(slots=True)
class Execution:
    """State of a request, its current stage and its answer so far.

    delivered_chunks were sent to the callers; streaming_attempt is the id
    of the attempt whose chunks are sent on. reconnect_runner is the runner
    to call again over a fresh connection. stream_version is the software
    version that began the stream, None before its first chunk. in_doubt is
    set while a non-idempotent call may have run without its result having
    been seen.
    """

    request: model.Request
    class_of_work: model.ClassOfWork
    services: tuple[model.Service, ...]
    started_at: float
    deadline_at: float
    stage_input: str
    claim_nonce: str = ''
    phase: Phase = Phase.QUEUED
    stage_index: int = 0
    stage_attempt_count: int = 0
    total_attempt_count: int = 0
    stage_started_at: float = 0.0
    open_attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    streaming_attempt: str = ''
    stream_version: str | None = None
    failed_runners: set[str] = dataclasses.field(default_factory=set)
    reconnect_runner: str = ''
    delivered_chunks: list[str] = dataclasses.field(default_factory=list)
    dispatched: bool = False
    in_doubt: bool = False
    side_effect_done: bool = False
    subscribers: dict[str, int] = dataclasses.field(default_factory=dict)
    last_event_at: float = 0.0
    end: model.End | None = None
    decisions: list[_effects.Decision] = dataclasses.field(
        default_factory=list
    )

    @property
    def key(self) -> str:
        """Return the request key."""
        return self.request.key

    @property
    def is_cut_short(self) -> bool:
        """Tell whether the request ends before its own deadline."""
        own_at = self.started_at + self.request.deadline_s
        return self.deadline_at < own_at

    @property
    def service(self) -> model.Service:
        """Return the service of the current stage."""
        return self.services[self.stage_index]

    @property
    def is_last_stage(self) -> bool:
        """Tell whether the current stage produces the answer."""
        return self.stage_index == len(self.services) - 1

    @property
    def streams_chunks(self) -> bool:
        """Tell whether the caller receives chunks as they arrive."""
        return self.is_last_stage and self.service.streams

    @property
    def remaining_services(self) -> tuple[str, ...]:
        """Return the services of the current and later stages."""
        return tuple(
            service.name for service in self.services[self.stage_index :]
        )

    def may_continue_at(self, runner: model.Runner) -> bool:
        """Tell whether a runner's chunks fit behind those delivered."""
        return self.stream_version in (None, runner.software_version)

    def failure_outcome(self) -> model.Outcome:
        """Return the outcome if the request ended now without an answer."""
        if self.in_doubt or self.side_effect_done:
            return model.Outcome.UNKNOWN
        if self.dispatched:
            return model.Outcome.FAILED
        return model.Outcome.NOT_RUN

    def record_decision(self, decision: _effects.Decision) -> None:
        """Keep a decision for the explain command, up to MAX_DECISIONS."""
        if len(self.decisions) < MAX_DECISIONS:
            self.decisions.append(decision)

    def is_result_complete(
        self, attempt: Attempt, end: model.StageEnd
    ) -> bool:
        """Tell whether an end record matches all chunks received."""
        if end.count != attempt.chunk_count:
            return False
        prior = self.delivered_chunks[: attempt.resume_from]
        return end.digest == model.content_digest(prior + attempt.chunks)
