"""Configuration of the sample deployments."""

from typing import Any

Objects = dict[str, dict[str, Any]]

SERVICES: Objects = {
    'encoder': {'kind': 'encoder'},
    'retriever': {'kind': 'retriever'},
    'reranker': {'kind': 'reranker'},
    'generator': {'kind': 'generator', 'streams': True},
    'registrar': {'kind': 'plain', 'idempotent': False},
}
PIPELINES: dict[str, list[str]] = {
    'full': ['encoder', 'retriever', 'reranker', 'generator'],
    'question': ['encoder', 'retriever', 'generator'],
    'lookup': ['encoder', 'retriever', 'reranker'],
    'notice': [
        'encoder',
        'retriever',
        'reranker',
        'generator',
        'registrar',
    ],
    'ticket': ['encoder', 'registrar'],
}
# Class of work: pipeline, attainment, deadline (s), cost (units).
HOULE_CLASSES: dict[str, tuple[str, float, float, float]] = {
    'morning-briefing': ('full', 0.99, 8.0, 3.0),
    'tide-question': ('question', 0.95, 4.0, 2.0),
    'safety-notice': ('notice', 0.99, 8.0, 4.0),
}
CAMPBELL_CLASSES: dict[str, tuple[str, float, float, float]] = {
    'fault-diagnosis': ('full', 0.95, 6.0, 0.08),
    'parts-lookup': ('lookup', 0.95, 2.0, 0.05),
    'repair-ticket': ('ticket', 0.95, 4.0, 0.05),
}
HOULE_WORKSPACES = ['app', 'schools', 'radio', 'forecast', 'harbour']
CAMPBELL_WORKSPACES = ['kingston', 'bench', 'parts', 'spanish-town', 'home']


def sample_objects(
    classes: dict[str, tuple[str, float, float, float]],
    workspaces: list[str],
    runners: Objects,
) -> Objects:
    """Return the configuration objects of a deployment by name."""
    objects: Objects = {f'workspace/{name}': {} for name in workspaces}
    for name, stages in PIPELINES.items():
        objects[f'pipeline/{name}'] = {'stages': stages}
    for name, (pipeline, attainment, deadline_s, cost) in classes.items():
        target = {
            'attainment': attainment,
            'deadline_s': deadline_s,
            'cost': cost,
        }
        objects[f'class/{name}'] = {'pipeline': pipeline, 'target': target}
    for name, service in SERVICES.items():
        objects[f'service/{name}'] = dict(service)
    for name, runner in runners.items():
        objects[f'runner/{name}'] = dict(runner)
    return objects


def with_name(name: str, content: dict[str, Any]) -> dict[str, Any]:
    """Return an object's content with the name from its key added."""
    return {'name': name.partition('/')[2], **content}
