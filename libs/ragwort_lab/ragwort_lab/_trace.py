"""What happened in a world, for invariants to look at."""

import dataclasses

import ragwort_model as model
import ragwort_node as node


@dataclasses.dataclass(slots=True)
class Submission:
    """One sending of a request to one node, and all that came back.

    told is when its end or refusal came; broken is set when the
    connection was cut by the node's death. resumed marks a stream that
    continues another submission's.
    """

    key: str
    class_of_work: str
    text: str
    host: str
    epoch: int
    at: float
    deadline_s: float
    from_seq: int = 0
    resumed: bool = False
    accepted_host: str = ''
    chunks: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    end: model.End | None = None
    refusal: node.RefuseCaller | None = None
    told_at: float | None = None
    broken: bool = False
    after_end: int = 0

    @property
    def outcome(self) -> model.Outcome | None:
        """Return the outcome told, None so far."""
        if self.end is not None:
            return self.end.outcome
        return None if self.refusal is None else model.Outcome.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """A call that a node sent to a runner."""

    at: float
    host: str
    epoch: int
    key: str
    service: str
    runner: str
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A call that reached a living runner."""

    at: float
    host: str
    runner: str


@dataclasses.dataclass(slots=True)
class Trace:
    """Everything that the invariants need."""

    submissions: list[Submission] = dataclasses.field(default_factory=list)
    dispatches: list[Dispatch] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    decisions: list[tuple[str, node.Decision]] = dataclasses.field(
        default_factory=list
    )
    counts: dict[str, int] = dataclasses.field(default_factory=dict)
    drained_runners: dict[str, float] = dataclasses.field(default_factory=dict)
    version_falls: list[str] = dataclasses.field(default_factory=list)
    cut_by_drain: list[str] = dataclasses.field(default_factory=list)
    order_violations: list[str] = dataclasses.field(default_factory=list)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] = self.counts.get(name, 0) + value
