"""What stand-in services answer: a function of their input alone."""

from collections.abc import Iterable

import ragwort_model as model

PIECE_CHARS = 12


def stage_chunks(
    service: str, kind: model.ServiceKind, text: str, count: int
) -> list[str]:
    """Return the chunks that a service answers to an input."""
    piece = model.content_digest([service, text])[:PIECE_CHARS]
    if kind == model.ServiceKind.GENERATOR:
        return [f'{piece}.{index} ' for index in range(count)]
    return [f'{service}:{piece}']


def expected_answer(
    services: Iterable[tuple[str, model.ServiceKind]], text: str, count: int
) -> list[str]:
    """Return the chunks of the answer of a whole pipeline."""
    chunks = [text]
    for name, kind in services:
        chunks = stage_chunks(name, kind, ''.join(chunks), count)
    return chunks
