"""Types of the structures that the thrift library reads and writes."""

from collections.abc import Mapping
from typing import Any

from thriftpy2 import thrift


class _Payload(thrift.TPayload):
    """A structure; fields that are not set have their type's value."""

    def __init__(self, **fields: Any) -> None:
        """Set some fields."""
        self.__dict__.update(fields)


def new_type(
    name: str,
    fields: dict[int, tuple[Any, ...]],
    defaults: Mapping[str, Any] | None = None,
) -> Any:
    """Return the type of a structure.

    fields holds the library's specification of each field by its number. Its
    own way to make a type compiles a function, which takes ten times as long.
    """
    values: dict[str, Any] = {spec[1]: None for spec in fields.values()}
    values |= defaults or {}
    return type(name, (_Payload,), {'thrift_spec': fields, **values})
