"""Schemas of the configuration objects stored by the platform."""

import json
import math
from typing import Annotated
from typing import Any

import pydantic

from ragwort_model import _domain
from ragwort_model import _errors

MAX_DEADLINE_S = 3600.0
MAX_STAGES = 16
MAX_HISTORY = 20

Name = Annotated[str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')]


class Document(pydantic.BaseModel):
    """Base of all configuration documents; rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class TargetDocument(Document):
    """Service-level target of a class of work."""

    attainment: float = pydantic.Field(gt=0, lt=1)
    deadline_s: float = pydantic.Field(gt=0, le=MAX_DEADLINE_S)
    cost: float = pydantic.Field(gt=0, allow_inf_nan=False)


class TargetRecord(Document):
    """A replaced target, who replaced it and when (UTC, ISO 8601)."""

    target: TargetDocument
    changed_by: str = pydantic.Field(default='', max_length=200)
    changed_at: str = pydantic.Field(default='', max_length=40)


class ClassDocument(Document):
    """A class of work, its last change and its previous targets."""

    name: Name
    pipeline: Name
    target: TargetDocument
    changed_by: str = pydantic.Field(default='', max_length=200)
    changed_at: str = pydantic.Field(default='', max_length=40)
    operation_id: str = pydantic.Field(default='', max_length=64)
    history: list[TargetRecord] = pydantic.Field(
        default_factory=list, max_length=MAX_HISTORY
    )


class ServiceDocument(Document):
    """A service that runners offer."""

    name: Name
    kind: _domain.ServiceKind
    idempotent: bool = True
    streams: bool = False


class PipelineDocument(Document):
    """A pipeline as an ordered list of service names."""

    name: Name
    stages: list[Name] = pydantic.Field(min_length=1, max_length=MAX_STAGES)


class WorkspaceDocument(Document):
    """A workspace that may send requests."""

    name: Name


class RunnerDocument(Document):
    """A runner as listed by the platform."""

    name: Name
    service: Name
    address: str
    failure_domain: Name
    cost_rate: float = pydantic.Field(default=1.0, ge=0, allow_inf_nan=False)
    checks_fencing: bool = True
    state: _domain.HostState = _domain.HostState.LIVE
    software_version: str = ''


class PlacementDocument(Document):
    """Runners of a service that are on standby and get no calls."""

    name: Name
    standby: list[Name] = pydantic.Field(default_factory=list)
    fencing: int = pydantic.Field(default=0, ge=0)


_SCHEMA_BY_KIND: dict[str, type[Document]] = {
    'class': ClassDocument,
    'service': ServiceDocument,
    'pipeline': PipelineDocument,
    'workspace': WorkspaceDocument,
    'runner': RunnerDocument,
    'placement': PlacementDocument,
}


def describe_problem(error: pydantic.ValidationError) -> str:
    """Return the first validation error as one line."""
    first = error.errors()[0]
    path = '.'.join(str(part) for part in first['loc']) or 'document'
    return f'{path}: {first["msg"]}'


def parse_document(name: str, value: str) -> Document:
    """Return the document stored under an object name such as class/tide.

    Raises ConfigurationError if the kind or the content is invalid.
    """
    kind, _, object_name = name.partition('/')
    schema = _SCHEMA_BY_KIND.get(kind)
    if schema is None:
        raise _errors.ConfigurationError(f'{name}: unknown kind {kind!r}')
    try:
        document = schema.model_validate(json.loads(value))
    except pydantic.ValidationError as error:
        raise _errors.ConfigurationError(
            f'{name}: {describe_problem(error)}'
        ) from None
    except (ValueError, RecursionError) as error:
        raise _errors.ConfigurationError(f'{name}: {error}') from None
    if getattr(document, 'name', None) != object_name:
        raise _errors.ConfigurationError(
            f'{name}: field name of the document differs from the object name'
        )
    return document


def to_class_of_work(document: ClassDocument) -> _domain.ClassOfWork:
    """Return the class of work that a valid document describes."""
    target = document.target
    return _domain.ClassOfWork(
        document.name,
        document.pipeline,
        _domain.Target(target.attainment, target.deadline_s, target.cost),
    )


def to_runner(document: RunnerDocument) -> _domain.Runner:
    """Return the runner that a valid document describes."""
    return _domain.Runner(**document.model_dump())


def to_service(document: ServiceDocument) -> _domain.Service:
    """Return the service that a valid document describes."""
    return _domain.Service(**document.model_dump())


def is_finite(value: Any) -> bool:
    """Return whether value is a number other than infinity or NaN."""
    return isinstance(value, int | float) and math.isfinite(value)
