"""Structured logging of decisions."""

import dataclasses
import logging
import sys

import structlog

from ragwort_node import _effects

MAX_CANDIDATES = 8


def configure_logs(console: bool | None = None) -> None:
    """Log to standard error: JSON lines, or console lines on a terminal."""
    if console is None:
        console = sys.stderr.isatty()
    renderer: structlog.types.Processor = (
        structlog.dev.ConsoleRenderer()
        if console
        else structlog.processors.JSONRenderer()
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def log_decision(
    logger: structlog.typing.FilteringBoundLogger,
    decision: _effects.Decision,
) -> None:
    """Log a decision with its first candidates and its estimate."""
    fields: dict[str, object] = {
        'subject': decision.subject,
        'rule': decision.rule,
    }
    if decision.chosen:
        fields['chosen'] = decision.chosen
    if decision.detail:
        fields['detail'] = decision.detail
    if decision.estimate_s is not None:
        fields['estimate_s'] = round(decision.estimate_s, 4)
    if decision.candidates:
        fields['candidates'] = [
            dataclasses.asdict(candidate)
            for candidate in decision.candidates[:MAX_CANDIDATES]
        ]
    logger.info(decision.kind.value, **fields)
