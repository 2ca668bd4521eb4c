"""Answers of fake services, which depend on their input alone."""

from collections.abc import Iterable

import ragwort_model as model

DIGEST_CHARS = 12


def stage_chunks(
    service: str, kind: model.ServiceKind, text: str, count: int
) -> list[str]:
    """Return the chunks of a service's answer to an input."""
    digest = model.content_digest([service, text])[:DIGEST_CHARS]
    if kind == model.ServiceKind.GENERATOR:
        return [f'{digest}.{index} ' for index in range(count)]
    return [f'{service}:{digest}']


def expected_answer(
    services: Iterable[tuple[str, model.ServiceKind]], text: str, count: int
) -> list[str]:
    """Return the chunks of a pipeline's answer to an input."""
    chunks = [text]
    for name, kind in services:
        chunks = stage_chunks(name, kind, ''.join(chunks), count)
    return chunks
