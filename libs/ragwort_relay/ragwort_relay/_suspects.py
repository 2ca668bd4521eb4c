"""What a request has in common with others that may crash runners."""

from collections.abc import Sequence

import msgspec

import ragwort_model as model
from ragwort_relay import _sharing

# No part of a prompt has such a name.
_REQUEST_PREFIX = 'request='


class Suspects(msgspec.Struct, frozen=True):
    """The parts of a request's prompt, and the name of the request itself.

    The last part of a prompt is the request's own and never a suspect.
    """

    parts: tuple[str, ...]
    request: str

    def names(self) -> list[str]:
        """Return the suspects, the first part before all others."""
        return [*self.parts[:-1], self.request]

    def is_first_part(self, name: str) -> bool:
        """Tell whether a suspect is the part that most requests share."""
        return len(self.parts) > 1 and name == self.parts[0]


def suspects_of(
    prompt: Sequence[_sharing.PromptPart],
    caller: str,
    method: bytes,
    target: bytes,
    body: bytes,
) -> Suspects:
    """Return the suspects of a request.

    Requests with the same method, target, body and caller, which is known by
    its access key, are the same request.
    """
    fields = (caller.encode(), method, target, body)
    return Suspects(
        tuple(part.part_id for part in prompt),
        _REQUEST_PREFIX + model.fields_digest(fields),
    )


def is_request(name: str) -> bool:
    """Tell whether a suspect is a whole request."""
    return name.startswith(_REQUEST_PREFIX)
