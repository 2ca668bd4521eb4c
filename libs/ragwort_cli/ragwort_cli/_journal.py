"""Entries of the journal of bench runs."""

import pathlib
from typing import Any

import msgspec

import ragwort_model as model


# What was charged for, how much of it, and the price.
Price = tuple[str, float | None, float | None]


class JournalDay(msgspec.Struct):
    """A day as it was played; shares are of the requests owed."""

    name: str
    score: float | None = None
    # The bench's worth of a day: what callers got, less prices.
    worth: float | None = msgspec.field(name='G', default=None)
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    gate: bool = False
    rules: dict[str, Any] = {}
    # The worth below which a day counts for nothing, and that of a full mark.
    zero: float | None = msgspec.field(name='naive', default=None)
    one: float | None = msgspec.field(name='top', default=None)
    prices: list[Price] = []
    # Share of the credit owed that was earned, by class of work.
    by_class: list[float | None] = []


class JournalEntry(msgspec.Struct):
    """One run of the bench."""

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
    return [_read(path) for path in sorted(folder.glob('*.json'))]


def _read(path: pathlib.Path) -> JournalEntry:
    try:
        return msgspec.json.decode(path.read_bytes(), type=JournalEntry)
    except msgspec.DecodeError as error:
        raise model.InvalidInputError(f'{path}: {error}') from None


def find_entry(entries: list[JournalEntry], ident: str) -> JournalEntry:
    """Return the entry with an id; raise InvalidInputError."""
    for entry in entries:
        if entry.id == ident:
            return entry
    raise model.InvalidInputError(f'the journal has no run {ident!r}')


def compare_rows(
    first: JournalEntry, second: JournalEntry
) -> list[list[object]]:
    """Return a row per day that both runs played."""
    others = {day.name: day for day in second.days}
    return [
        [
            day.name,
            _number(day.worth),
            _number(other.worth),
            _change(day.worth, other.worth),
            f'{day.served:.3f}',
            f'{other.served:.3f}',
            ', '.join([*day.rules, *other.rules]) or '-',
        ]
        for day in first.days
        if (other := others.get(day.name)) is not None
    ]


def show_rows(entry: JournalEntry, most_prices: int) -> list[list[object]]:
    """Return a row per day with its marks and its largest prices."""
    return [
        [
            day.name,
            _number(day.zero),
            _number(day.one),
            _number(day.worth),
            f'{day.served:.3f}',
            f'{day.refused:.3f}',
            f'{day.failed:.3f}',
            ' '.join(_share(share) for share in day.by_class),
            _largest(day.prices, most_prices),
            ', '.join(day.rules) or '-',
        ]
        for day in entry.days
    ]


def _share(value: float | None) -> str:
    return '-' if value is None else f'{value:.2f}'


def _largest(prices: list[Price], most: int) -> str:
    """Return the largest prices; what was not charged has none."""
    charged = [(price, name) for name, _, price in prices if price is not None]
    largest = sorted(charged, reverse=True)[:most]
    return ', '.join(f'{name} {price:.3f}' for price, name in largest)


def _number(value: float | None) -> str:
    return '-' if value is None else f'{value:.3f}'


def _change(first: float | None, second: float | None) -> str:
    if first is None or second is None:
        return '-'
    return f'{second - first:+.3f}'
