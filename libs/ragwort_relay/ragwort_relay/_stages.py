"""Progress of one request through the stages before its main call."""

from collections.abc import Sequence
import math

import msgspec

from ragwort_relay import _routes


class PieceWork(msgspec.Struct, frozen=True):
    """One piece of a stage to run.

    A piece of a stage without dependencies gets the request's own key, any
    other the handles of all results that it reads, with the starts of the
    runners that made them, 0 where a start is not known.
    """

    request_id: str
    stage: int
    piece: int
    key: str | None
    inputs: tuple[str, ...]
    input_starts: tuple[int, ...] = ()


class StageRun:
    """Progress of a request's stages and the handles of their results."""

    def __init__(
        self,
        request_id: str,
        stages: Sequence[_routes.StageSpec],
        pieces: Sequence[int],
        key: str,
    ) -> None:
        """Start without results; raise ValueError for invalid counts."""
        if len(pieces) != len(stages):
            raise ValueError(f'{len(pieces)} counts for {len(stages)} stages')
        if any(count < 0 for count in pieces):
            raise ValueError('negative number of pieces')
        self.request_id = request_id
        self.stages = stages
        self.pieces = pieces
        self.key = key
        self.handles: list[dict[int, str]] = [{} for _ in stages]
        # Starts of the runners that made the results, by handle.
        self.starts: dict[str, int] = {}
        # When the results are gone at the latest, by handle.
        self.expires_at: dict[str, float] = {}
        self.started_at: dict[int, float] = {}
        self.stages_with_dependents = {
            index for spec in stages for index in spec.after
        }

    def is_complete(self, stage: int) -> bool:
        """Tell whether all pieces of a stage have results."""
        return len(self.handles[stage]) == self.pieces[stage]

    @property
    def is_done(self) -> bool:
        """Tell whether every stage is complete."""
        return all(self.is_complete(index) for index in range(len(self)))

    def __len__(self) -> int:
        """Return the number of stages."""
        return len(self.stages)

    def ready(self) -> list[int]:
        """Return the unstarted stages whose dependencies are complete."""
        return [
            index
            for index, spec in enumerate(self.stages)
            if index not in self.started_at
            and self.pieces[index]
            and all(self.is_complete(needed) for needed in spec.after)
        ]

    def start(self, stage: int, now: float) -> None:
        """Record the start of a stage."""
        self.started_at[stage] = now

    def slack_s(
        self, stage: int, stage_s: Sequence[float], now: float
    ) -> float:
        """Return how long a stage can be delayed without delaying the rest.

        stage_s is the expected time of each stage in seconds. Stages with
        dependents have no slack.
        """
        if stage in self.stages_with_dependents:
            return 0.0
        remaining_s = [
            0.0
            if index == stage
            else max(s - (now - self.started_at.get(index, now)), 0.0)
            for index, s in enumerate(stage_s)
        ]
        return max(self.critical_path_s(remaining_s) - stage_s[stage], 0.0)

    def work(self, stage: int) -> list[PieceWork]:
        """Return the pieces of a ready stage."""
        spec = self.stages[stage]
        inputs = tuple(
            handle for needed in spec.after for handle in self.results(needed)
        )
        key = None if spec.after else self.key
        return [
            PieceWork(
                self.request_id,
                stage,
                piece,
                key,
                inputs,
                tuple(self.starts_of(inputs)),
            )
            for piece in range(self.pieces[stage])
        ]

    def results(self, stage: int) -> list[str]:
        """Return the handles of a stage's results in order of pieces."""
        return [handle for _, handle in sorted(self.handles[stage].items())]

    def add_result(
        self,
        stage: int,
        piece: int,
        handle: str,
        started_ms: int = 0,
        expires_at: float = math.inf,
    ) -> None:
        """Store the handle of a piece's result; a second one is ignored.

        started_ms is the start of the runner that made it, expires_at when it
        is gone at the latest, in seconds of this host's clock.
        """
        if self.handles[stage].setdefault(piece, handle) is handle:
            self.expires_at[handle] = expires_at
            # Two starts of a runner may have given one handle.
            known_ms = self.starts.get(handle, started_ms)
            self.starts[handle] = min(known_ms, started_ms)

    def starts_of(self, handles: Sequence[str]) -> list[int]:
        """Return the starts of the runners that made some results."""
        return [self.starts.get(handle, 0) for handle in handles]

    def inputs_expire_at(self, stage: int) -> float:
        """Return when the first input of a stage is gone at the latest."""
        return min(
            (
                self.expires_at.get(handle, math.inf)
                for needed in self.stages[stage].after
                for handle in self.results(needed)
            ),
            default=math.inf,
        )

    def is_consumed(self, stage: int) -> bool:
        """Tell whether every stage that reads these results is complete."""
        dependents = [
            index
            for index, spec in enumerate(self.stages)
            if stage in spec.after
        ]
        return bool(dependents) and all(map(self.is_complete, dependents))

    def main_call_inputs(self) -> list[str]:
        """Return the handles of the results that the main call reads."""
        return [
            handle
            for stage in range(len(self))
            if stage not in self.stages_with_dependents
            for handle in self.results(stage)
        ]

    def all_handles(self) -> list[str]:
        """Return the handles of all results."""
        return [
            handle for results in self.handles for handle in results.values()
        ]

    def critical_path_s(self, stage_s: Sequence[float]) -> float:
        """Return the longest time along the stages still to run.

        stage_s is the expected time of each stage in seconds.
        """
        ends: list[float] = []
        for index, spec in enumerate(self.stages):
            before = max((ends[needed] for needed in spec.after), default=0.0)
            is_pending = self.pieces[index] and not self.is_complete(index)
            ends.append(before + (stage_s[index] if is_pending else 0.0))
        return max(ends, default=0.0)
