"""Plays many seeds, each in a process of its own, and sums them up."""

import pathlib
import random
import subprocess
import sys
import time

import typer
import yaml

from features.soak import run

KEPT_FILE = pathlib.Path(__file__).with_name('kept_seeds.yaml')
# What a seed may have beside its usual faults.
EXTRAS = (
    'restores',
    'limits',
    'versions',
    'severed',
    'notices',
    'deadly',
    'same',
    'stranded',
    'brittle',
    'evacuation',
    'silences',
    'odd',
    'repeats',
    'errors',
    'late',
    'outlasting',
    'slow',
    'renumbered',
    'late-writes',
)
RUN_TIMEOUT_S = 180.0


def kept_options() -> list[list[str]]:
    """Return the command lines of the seeds that failed once."""
    kept = yaml.safe_load(KEPT_FILE.read_text()) or []
    return [
        _options(
            entry['seed'],
            entry.get('hosts', 4),
            [extra for extra in EXTRAS if entry.get(extra, False)],
        )
        for entry in kept
    ]


def _options(seed: int, hosts: int, extras: list[str]) -> list[str]:
    names = [f'--{extra}' for extra in extras]
    return [f'--seed={seed}', f'--hosts={hosts}', *names]


def _play(options: list[str]) -> bool:
    """Play one seed, print what it says, and tell whether all held."""
    done = subprocess.run(
        [sys.executable, '-m', 'features.soak', *options],
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
    )
    typer.echo(done.stdout.rstrip() or done.stderr.rstrip())
    return done.returncode == 0


def main(
    first: int = typer.Option(0, help='First of a row of seeds.'),
    count: int = typer.Option(0, help='Seeds in the row.'),
    minutes: float = typer.Option(0.0, help='Time for fresh seeds.'),
    kept: bool = typer.Option(False, help='Seeds that failed once, first.'),
    restores: bool = typer.Option(False, help='Restore the store as well.'),
    limits: bool = typer.Option(False, help='Let runners name limits too.'),
    versions: bool = typer.Option(False, help='Two software versions.'),
    severed: bool = typer.Option(False, help='Silence between hosts.'),
    notices: bool = typer.Option(False, help='Runners that leave or pause.'),
    deadly: bool = typer.Option(False, help='A part that crashes runners.'),
    same: bool = typer.Option(False, help='A request that crashes runners.'),
    stranded: bool = typer.Option(False, help='Hosts lose all runners.'),
    brittle: bool = typer.Option(False, help='Runners that fall over.'),
    evacuation: bool = typer.Option(False, help='Evacuate a domain.'),
    silences: bool = typer.Option(False, help='Runners that fall silent.'),
    odd: bool = typer.Option(False, help='Odd entries of runners.'),
    repeats: bool = typer.Option(False, help='Refusals sent once more.'),
    errors: bool = typer.Option(False, help='Errors behind broken streams.'),
    late: bool = typer.Option(False, help='Requests late in the grace.'),
    outlasting: bool = typer.Option(False, help='Streams that grow then.'),
    slow: bool = typer.Option(False, help='Readers that stop for a while.'),
    renumbered: bool = typer.Option(False, help='Results numbered anew.'),
    late_writes: bool = typer.Option(False, help='Heartbeats of before.'),
    hosts: int = typer.Option(4, help='Hosts of the seeds in the row.'),
) -> None:
    """Play seeds; status 1 if a promise broke on any."""
    wanted = zip(
        EXTRAS,
        (
            restores,
            limits,
            versions,
            severed,
            notices,
            deadly,
            same,
            stranded,
            brittle,
            evacuation,
            silences,
            odd,
            repeats,
            errors,
            late,
            outlasting,
            slow,
            renumbered,
            late_writes,
        ),
        strict=True,
    )
    extras = [extra for extra, is_wanted in wanted if is_wanted]
    plays = kept_options() if kept else []
    plays += [
        _options(seed, hosts, extras) for seed in range(first, first + count)
    ]
    results = [_play(options) for options in plays]
    rng = random.Random(run.fresh_seed())
    until = time.monotonic() + 60.0 * minutes
    while time.monotonic() < until:
        seed = run.fresh_seed()
        results.append(_play(_options(seed, rng.choice((3, 4, 6)), extras)))
    typer.echo(f'{sum(results)} of {len(results)} seeds kept all promises')
    if not all(results):
        raise typer.Exit(1)


if __name__ == '__main__':
    typer.run(main)
