"""The platform's rendering of settings templates."""

from collections.abc import Mapping
import re

_SECTION = re.compile(r'{{#([^}]+)}}\n?(.*?){{/\1}}\n?', re.DOTALL)
_VALUE = re.compile(r'{{([^}#/]+)}}')


def render(text: str, values: Mapping[str, str]) -> str:
    """Return a template with its values and the sections that have one."""

    def keep(match: re.Match[str]) -> str:
        return match[2] if match[1] in values else ''

    return _VALUE.sub(lambda m: values[m[1]], _SECTION.sub(keep, text))
