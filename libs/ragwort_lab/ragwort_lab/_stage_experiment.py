"""Experiments on stage work: a YAML file in, a table of figures out."""

from collections.abc import Sequence
import dataclasses
import pathlib
from typing import Annotated

import pydantic
import yaml

from ragwort_lab import _stage_bench
import ragwort_model as model
import ragwort_relay as relay

MB = 1_000_000.0
Positive = Annotated[float, pydantic.Field(gt=0)]
Duration = Annotated[
    float,
    pydantic.BeforeValidator(model.parse_duration),
    pydantic.Field(gt=0),
]
Count = Annotated[int, pydantic.Field(gt=0, le=1000)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid')


class _Phase(_Section):
    rate: Positive
    lasts: Duration


class _Service(_Section):
    runners: Count = 4
    batch: Count = 4
    call: Duration = 0.150
    piece: Duration = 0.032
    room_mb: Positive = 22.0
    result_mb: Positive = 3.0
    result_life: Duration = 4.0


class _Requests(_Section):
    target: Duration = 0.7
    deadline: Duration = 5.0
    hold: Duration = 0.25
    pieces: list[Count] = pydantic.Field(default=[1, 2, 2, 3, 4], min_length=1)


class StageExperiment(_Section):
    """What to play; each rule is played with each seed."""

    name: str = pydantic.Field(min_length=1)
    hosts: Count = 6
    service: _Service = _Service()
    requests: _Requests = _Requests()
    load: list[_Phase] = pydantic.Field(min_length=1)
    rules: list[_stage_bench.StageRule] = pydantic.Field(
        default=list(_stage_bench.StageRule), min_length=1
    )
    seeds: list[int] = pydantic.Field(default=[1], min_length=1)

    def pattern(self) -> _stage_bench.StagePattern:
        """Return the load and the service as the bench takes them."""
        service, requests = self.service, self.requests
        return _stage_bench.StagePattern(
            self.name,
            tuple(_stage_bench.LoadPhase(p.rate, p.lasts) for p in self.load),
            relay.BatchLimits(
                service.batch,
                service.call,
                service.piece,
                service.room_mb * MB,
                service.result_life,
            ),
            service.runners,
            self.hosts,
            service.result_mb * MB,
            requests.target,
            requests.deadline,
            requests.hold,
            tuple(requests.pieces),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class RuleFigures:
    """The figures of one rule, summed over all seeds."""

    rule: _stage_bench.StageRule
    figures: _stage_bench.StageFigures


def read_experiment(path: pathlib.Path) -> StageExperiment:
    """Return the experiment in a file; raise SettingsError."""
    try:
        content = yaml.safe_load(path.read_text())
    except (OSError, UnicodeError, yaml.YAMLError) as error:
        raise model.SettingsError(f'{path}: {error}') from None
    try:
        return StageExperiment.model_validate(content)
    except pydantic.ValidationError as error:
        problems = '; '.join(
            f'{".".join(map(str, e["loc"]))}: {e["msg"]}'
            for e in error.errors()
        )
        raise model.SettingsError(f'{path}: {problems}') from None


def play_experiment(experiment: StageExperiment) -> list[RuleFigures]:
    """Play each rule with each seed; return a sum for each rule."""
    pattern = experiment.pattern()
    return [
        RuleFigures(
            rule,
            _sum(
                [
                    _stage_bench.play_stage_pattern(pattern, rule, seed)
                    for seed in experiment.seeds
                ]
            ),
        )
        for rule in experiment.rules
    ]


def _sum(
    runs: Sequence[_stage_bench.StageFigures],
) -> _stage_bench.StageFigures:
    total = _stage_bench.StageFigures()
    for field in dataclasses.fields(total):
        values = [getattr(run, field.name) for run in runs]
        start = type(values[0])()
        setattr(total, field.name, sum(values, start))
    return total
