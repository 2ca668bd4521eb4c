"""Typed view of the replicated configuration objects."""

import dataclasses
import json

import ragwort_model as model
from ragwort_state import _replica

DRAIN_STATUS_PREFIX = 'sign/'


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectProblem:
    """Why a version of an object is not in force."""

    version: int
    text: str


class Catalog:
    """Hold the last valid content of each configuration object.

    An invalid object leaves its last valid content in force and is
    listed in problems.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.classes: dict[str, model.ClassOfWork] = {}
        self.pipelines: dict[str, model.Pipeline] = {}
        self.services: dict[str, model.Service] = {}
        self.workspaces: set[str] = set()
        self.runners: dict[str, model.Runner] = {}
        self.runners_by_service: dict[str, dict[str, model.Runner]] = {}
        self.draining_runners: set[str] = set()
        self.standby: dict[str, frozenset[str]] = {}
        self.problems: dict[str, ObjectProblem] = {}
        self.in_force: dict[str, int] = {}
        self.generation = 0

    def apply(self, item: model.StoredObject) -> None:
        """Put a newer version of an object in force if it is valid."""
        self.generation += 1
        if item.name.startswith(DRAIN_STATUS_PREFIX):
            self._apply_drain_status(item)
            return
        name = item.name.removeprefix(_replica.CONFIG_PREFIX)
        if item.value is None:
            self._remove(name)
        else:
            try:
                self._put(name, model.parse_document(name, item.value))
            except model.ConfigurationError as error:
                self.problems[name] = ObjectProblem(item.version, str(error))
                return
        self.problems.pop(name, None)
        self.in_force[name] = item.version

    def is_standby(self, runner: model.Runner) -> bool:
        """Tell whether placement keeps a runner out of use."""
        return runner.name in self.standby.get(runner.service, frozenset())

    def _apply_drain_status(self, item: model.StoredObject) -> None:
        runner = item.name.removeprefix(DRAIN_STATUS_PREFIX)
        if item.value == DRAINING_VALUE:
            self.draining_runners.add(runner)
        else:
            self.draining_runners.discard(runner)

    def _put(self, name: str, document: model.Document) -> None:
        match document:
            case model.ClassDocument():
                self.classes[document.name] = model.to_class_of_work(document)
            case model.PipelineDocument():
                self.pipelines[document.name] = model.Pipeline(
                    document.name, tuple(document.stages)
                )
            case model.ServiceDocument():
                self.services[document.name] = model.to_service(document)
            case model.WorkspaceDocument():
                self.workspaces.add(document.name)
            case model.PlacementDocument():
                self.standby[document.name] = frozenset(document.standby)
            case model.RunnerDocument():
                self._remove(name)
                runner = model.to_runner(document)
                self.runners[runner.name] = runner
                self.runners_by_service.setdefault(runner.service, {})[
                    runner.name
                ] = runner

    def _remove(self, name: str) -> None:
        kind, _, document_name = name.partition('/')
        match kind:
            case 'class':
                self.classes.pop(document_name, None)
            case 'pipeline':
                self.pipelines.pop(document_name, None)
            case 'service':
                self.services.pop(document_name, None)
            case 'placement':
                self.standby.pop(document_name, None)
            case 'workspace':
                self.workspaces.discard(document_name)
            case 'runner':
                runner = self.runners.pop(document_name, None)
                if runner is not None:
                    self.runners_by_service[runner.service].pop(
                        document_name, None
                    )


DRAINING_VALUE = json.dumps({'draining': True})
NOT_DRAINING_VALUE = json.dumps({'draining': False})


def drain_status_object(
    runner: str, draining: bool, state_version: int
) -> model.StoredObject:
    """Return the replicated object that holds a runner's drain status."""
    value = DRAINING_VALUE if draining else NOT_DRAINING_VALUE
    return model.StoredObject(
        DRAIN_STATUS_PREFIX + runner, state_version, value
    )
