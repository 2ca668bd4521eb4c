"""Entries of the journal of bench runs."""

import pathlib
from typing import Any

import msgspec

import ragwort_model as model


# The item charged for, its quantity and the price.
Price = tuple[str, float | None, float | None]


class JournalDay(msgspec.Struct):
    """Results of a day; shares are fractions of the requests due."""

    name: str
    score: float | None = None
    # The bench's net value of a day: value delivered to callers less prices.
    worth: float | None = msgspec.field(name='G', default=None)
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    gate: bool = False
    rules: dict[str, Any] = {}
    # Worth below which a day scores nothing, and worth that scores in full.
    zero_score_worth: float | None = msgspec.field(name='naive', default=None)
    full_score_worth: float | None = msgspec.field(name='top', default=None)
    prices: list[Price] = []
    # Fraction of the possible credit that was earned, by class of work.
    by_class: list[float | None] = []


class JournalEntry(msgspec.Struct):
    """One bench run."""

    id: str
    at: list[str]
    cmd: str
    why: str | None = None
    site: str | None = None
    score: float | None = None
    days: list[JournalDay] = []


def read_journal(folder: pathlib.Path) -> list[JournalEntry]:
    """Return all entries in order of time; raise InvalidInputError."""
    if not folder.is_dir():
        raise model.InvalidInputError(f'{folder}: no such folder')
    return [_read_entry(path) for path in sorted(folder.glob('*.json'))]


def _read_entry(path: pathlib.Path) -> JournalEntry:
    try:
        return msgspec.json.decode(path.read_bytes(), type=JournalEntry)
    except msgspec.DecodeError as error:
        raise model.InvalidInputError(f'{path}: {error}') from None


def find_entry(entries: list[JournalEntry], run_id: str) -> JournalEntry:
    """Return the entry with an id; raise InvalidInputError."""
    for entry in entries:
        if entry.id == run_id:
            return entry
    raise model.InvalidInputError(f'no run {run_id!r} in the journal')


def compare_rows(
    first: JournalEntry, second: JournalEntry
) -> list[list[object]]:
    """Return a row for each day that both runs have."""
    second_days = {day.name: day for day in second.days}
    return [
        [
            day.name,
            _format_number(day.worth),
            _format_number(second_day.worth),
            _format_change(day.worth, second_day.worth),
            f'{day.served:.3f}',
            f'{second_day.served:.3f}',
            ', '.join([*day.rules, *second_day.rules]) or '-',
        ]
        for day in first.days
        if (second_day := second_days.get(day.name)) is not None
    ]


def show_rows(entry: JournalEntry, max_prices: int) -> list[list[object]]:
    """Return a row for each day with its worth and largest prices."""
    return [
        [
            day.name,
            _format_number(day.zero_score_worth),
            _format_number(day.full_score_worth),
            _format_number(day.worth),
            f'{day.served:.3f}',
            f'{day.refused:.3f}',
            f'{day.failed:.3f}',
            ' '.join(_format_share(share) for share in day.by_class),
            _format_largest_prices(day.prices, max_prices),
            ', '.join(day.rules) or '-',
        ]
        for day in entry.days
    ]


def _format_share(value: float | None) -> str:
    return '-' if value is None else f'{value:.2f}'


def _format_largest_prices(prices: list[Price], max_prices: int) -> str:
    """Return the largest prices; items without a price are left out."""
    charged = [(price, name) for name, _, price in prices if price is not None]
    largest = sorted(charged, reverse=True)[:max_prices]
    return ', '.join(f'{name} {price:.3f}' for price, name in largest)


def _format_number(value: float | None) -> str:
    return '-' if value is None else f'{value:.3f}'


def _format_change(first: float | None, second: float | None) -> str:
    if first is None or second is None:
        return '-'
    return f'{second - first:+.3f}'
