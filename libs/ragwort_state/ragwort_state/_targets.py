"""Changes of a target by several operators at once."""

import dataclasses
import json

import ragwort_model as model

TARGET_FIELDS = ('attainment', 'deadline_s', 'cost')


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChange:
    """Target fields that an operator sets, and the base values it read."""

    class_of_work: str
    operator: str
    operation_id: str
    changed_at: str
    base: dict[str, float]
    wanted: dict[str, float]


def parse_target(value: str) -> dict[str, float]:
    """Return the target fields of a stored class of work."""
    target = json.loads(value)['target']
    return {field: target[field] for field in TARGET_FIELDS}


def apply_change(change: TargetChange, value: str) -> str:
    """Return the stored class of work with the change merged in.

    Raises TargetConflictError if a field that the change sets was set to
    something else since base, and ConfigurationError if the merged
    document is not valid.
    """
    document = json.loads(value)
    current = document['target']
    for field, wanted in change.wanted.items():
        was_changed = current[field] != change.base[field]
        if was_changed and current[field] != wanted:
            raise model.TargetConflictError(
                f'{change.class_of_work}: {field} was {change.base[field]}, '
                f'{document.get("changed_by") or "another operator"} has set '
                f'it to {current[field]}, and {wanted} was requested; check '
                'the current target before you retry'
            )
    previous = {
        'target': current,
        'changed_by': document.get('changed_by', ''),
        'changed_at': document.get('changed_at', ''),
    }
    history = [previous, *document.get('history', [])]
    document['history'] = history[: model.MAX_HISTORY]
    document['target'] = current | change.wanted
    document['changed_at'] = change.changed_at
    document['changed_by'] = change.operator
    document['operation_id'] = change.operation_id
    merged = json.dumps(document, sort_keys=True)
    model.parse_document(f'class/{change.class_of_work}', merged)
    return merged


def is_applied(change: TargetChange, value: str) -> bool:
    """Tell whether this change is the last one made to the object."""
    return bool(json.loads(value).get('operation_id') == change.operation_id)
