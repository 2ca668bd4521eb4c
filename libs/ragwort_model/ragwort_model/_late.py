"""Modules of a package that are imported when a name of theirs is used.

A host must not spend the processor time of its start on schemas and codecs
that it doesn't use.
"""

from collections.abc import Callable
from collections.abc import Collection
import importlib
from typing import Any


def late_names(
    package: str, names: Collection[str], modules: Collection[str]
) -> Callable[[str], Any]:
    """Return a package's __getattr__ that looks its names up in modules.

    Names that are not among the package's public ones raise AttributeError,
    without an import.
    """

    def look_up(name: str) -> Any:
        if name in names:
            for module in modules:
                found = importlib.import_module(f'{package}.{module}')
                if name in vars(found):
                    return vars(found)[name]
        raise AttributeError(f'module {package!r} has no attribute {name!r}')

    return look_up
