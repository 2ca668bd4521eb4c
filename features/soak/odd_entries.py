"""Odd entries among those of the runners, written by another writer."""

import random

import msgspec

from features.soak import faults
from features.soak import runners
from features.soak import system

ODD = 'odd-entries'
# The same, but entries stay until the end of the run.
ODD_KEPT = 'odd-entries-kept'
ODD_S = (2.0, 5.0)
COUNT = (3, 6)
# When the entries change, and when the first runner of a service leaves.
CHANGE_S = (0.4, 1.5)
LEAVE_S = 0.5
# From one leaving runner of the service to the next.
LEAVE_INTERVAL_S = 1.5

DEPTH = 5000
DIGITS = '7' * 400
ARRAYS = '[' * DEPTH + ']' * DEPTH
OBJECTS = '{"a":' * DEPTH + '1' + '}' * DEPTH
# Nobody listens there, so that hosts that take the entry find no runner.
SOUND = {
    'address': '"127.0.0.1:1"',
    'zone': '"north"',
    'version': '""',
    'state': '"ready"',
    'slots': '8',
    'born': '1',
}
# What differs from a sound entry, as JSON.
ODD_FIELDS = {
    'nested arrays': {'note': ARRAYS},
    'nested objects': {'note': OBJECTS},
    'nested zone': {'zone': ARRAYS},
    'nested cold time': {'coldRemainingMs': OBJECTS},
    'long slots': {'slots': DIGITS},
    'long born': {'born': DIGITS},
    'long cold time': {'coldRemainingMs': DIGITS},
    'port out of range': {'address': '"127.0.0.1:70000"'},
    'long port': {'address': f'"127.0.0.1:{DIGITS}"'},
    'Arabic digits': {'address': '"127.0.0.1:٨٠٨٠"', 'slots': '"٨"'},
    'Arabic port': {'address': '"127.0.0.1:٨٠٨٠"'},
    'superscript port': {'address': '"127.0.0.1:²"'},
}
ODD_BODIES = {
    'arrays alone': ARRAYS,
    'objects alone': OBJECTS,
    'a number': DIGITS,
    'a text': '"odd"',
    'an array': '[]',
    'null': 'null',
}
KINDS = (*ODD_FIELDS, *ODD_BODIES)
# At least one of them is among the entries of each moment.
NESTED = (
    'nested arrays',
    'nested objects',
    'nested zone',
    'nested cold time',
    'arrays alone',
    'objects alone',
)


def odd_entry(kind: str, service: str) -> msgspec.Raw:
    """Return the bytes of an odd entry."""
    text = ODD_BODIES.get(kind)
    if text is None:
        fields = {'service': f'"{service}"', **SOUND, **ODD_FIELDS[kind]}
        members = (f'"{name}": {value}' for name, value in fields.items())
        text = '{' + ', '.join(members) + '}'
    return msgspec.Raw(text.encode())


def _put_odd(
    whole: system.SoakSystem, rng: random.Random, is_kept: bool
) -> faults.Begun:
    """Write odd entries, change them, and let a service's runners leave.

    Hosts that follow the list no more lose all runners of the service.
    """
    kinds = [rng.choice(NESTED), *rng.sample(KINDS, rng.randint(*COUNT))]
    names = [f'odd-{rng.randrange(1000):03}' for _ in kinds]
    service = rng.choice(sorted(system.SERVICES))

    def write() -> None:
        for name, kind in zip(names, kinds, strict=True):
            whole.store.put(runners.KIND, name, odd_entry(kind, service))

    def change() -> None:
        rng.shuffle(names)
        write()

    def end() -> None:
        for name in [] if is_kept else names:
            whole.store.remove(runners.KIND, name)

    write()
    whole.reactor.callLater(rng.uniform(*CHANGE_S), change)
    found = [r for r in whole.runners if r.service == service]
    for index, runner in enumerate(found):
        at = LEAVE_S + index * LEAVE_INTERVAL_S
        whole.reactor.callLater(at, runner.drain)
        at += runners.DRAIN_S + 0.2
        whole.reactor.callLater(at, runner.start_if_down)
    last_s = len(found) * LEAVE_INTERVAL_S + runners.DRAIN_S
    return faults.Begun('none', end, last_s)


faults.EXTRA_FAULTS[ODD] = lambda whole, rng: _put_odd(whole, rng, False)
faults.EXTRA_FAULTS[ODD_KEPT] = lambda whole, rng: _put_odd(whole, rng, True)


def draw_odd_entries(
    rng: random.Random, length_s: float
) -> list[faults.Planned]:
    """Return times with odd entries; those of the last one stay."""
    third = length_s / 3
    names = (ODD, ODD, ODD_KEPT)
    return [
        faults.Planned(
            name, (index + rng.random() / 2) * third, rng.uniform(*ODD_S)
        )
        for index, name in enumerate(names)
    ]
