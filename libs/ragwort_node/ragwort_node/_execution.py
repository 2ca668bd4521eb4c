"""State of one request on its way through the stages."""

import dataclasses
import enum

import ragwort_model as model
from ragwort_node import _effects
import ragwort_policy as policy

MAX_HISTORY = 64


class Phase(enum.StrEnum):
    """Where a request stands."""

    CLAIMING = 'claiming'
    QUEUED = 'queued'
    RUNNING = 'running'
    ENDED = 'ended'


class ChunkVerdict(enum.StrEnum):
    """What becomes of a chunk that names the right attempt."""

    ACCEPTED = 'accepted'
    REPEATED = 'repeated'
    GAP = 'gap'


@dataclasses.dataclass(slots=True)
class Attempt:
    """One try of one stage; chunks holds its result from resume_from."""

    ident: model.AttemptId
    state: policy.RunnerState
    started_at: float
    last_sign_at: float
    fresh: bool
    is_hedge: bool = False
    is_probe: bool = False
    resume_from: int = 0
    chunks: list[str] = dataclasses.field(default_factory=list)

    def accept_chunk(self, seq: int, data: str) -> ChunkVerdict:
        """Accept the next chunk of the sequence and nothing else."""
        expected = self.resume_from + len(self.chunks)
        if seq < expected:
            return ChunkVerdict.REPEATED
        if seq > expected:
            return ChunkVerdict.GAP
        self.chunks.append(data)
        return ChunkVerdict.ACCEPTED

    @property
    def count(self) -> int:
        """Return the number of chunks of the stage result so far."""
        return self.resume_from + len(self.chunks)


@dataclasses.dataclass(slots=True)
class Execution:
    """A request, its current stage and what its caller has been told.

    delivered are the chunks relayed to callers; leader is the attempt
    that relays. in_doubt is set while a non-idempotent call may have run
    without its result having been seen.
    """

    request: model.Request
    class_of_work: model.ClassOfWork
    services: tuple[model.Service, ...]
    started_at: float
    deadline_at: float
    input: str
    claim_nonce: str = ''
    phase: Phase = Phase.QUEUED
    stage: int = 0
    tries: int = 0
    total_tries: int = 0
    stage_started_at: float = 0.0
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    leader: str = ''
    excluded: set[str] = dataclasses.field(default_factory=set)
    fresh_runner: str = ''
    delivered: list[str] = dataclasses.field(default_factory=list)
    dispatched: bool = False
    in_doubt: bool = False
    side_effect_done: bool = False
    subscribers: dict[str, int] = dataclasses.field(default_factory=dict)
    last_event_at: float = 0.0
    end: model.End | None = None
    history: list[_effects.Decision] = dataclasses.field(default_factory=list)

    @property
    def key(self) -> str:
        """Return the request key."""
        return self.request.key

    @property
    def service(self) -> model.Service:
        """Return the service of the current stage."""
        return self.services[self.stage]

    @property
    def is_last_stage(self) -> bool:
        """Tell whether the current stage gives the answer."""
        return self.stage == len(self.services) - 1

    @property
    def relays(self) -> bool:
        """Tell whether chunks go to the caller as they come."""
        return self.is_last_stage and self.service.streams

    @property
    def remaining_services(self) -> tuple[str, ...]:
        """Return the names of the services still to be called."""
        return tuple(service.name for service in self.services[self.stage :])

    def failure_outcome(self) -> model.Outcome:
        """Return the honest outcome if the request ended now, unanswered."""
        if self.in_doubt or self.side_effect_done:
            return model.Outcome.UNKNOWN
        if self.dispatched:
            return model.Outcome.FAILED
        return model.Outcome.NOT_RUN

    def remember(self, decision: _effects.Decision) -> None:
        """Keep a decision for the explanation of this request."""
        if len(self.history) < MAX_HISTORY:
            self.history.append(decision)

    def is_result_complete(
        self, attempt: Attempt, end: model.StageEnd
    ) -> bool:
        """Tell whether an end record matches all chunks of the stage."""
        if end.count != attempt.count:
            return False
        prior = self.delivered[: attempt.resume_from]
        return end.digest == model.content_digest(prior + attempt.chunks)
