"""Command line of the fault soak."""

import typer

from features.soak import run


def main(
    seed: int = typer.Option(0, help='0 draws a fresh one.'),
    hosts: int = 4,
    callers: int = 12,
    faults_s: float = run.FAULTS_S,
    restores: bool = False,
    limits: bool = False,
    versions: bool = False,
    severed: bool = False,
    notices: bool = False,
    deadly: bool = False,
    same: bool = False,
    stranded: bool = False,
    brittle: bool = False,
    evacuation: bool = False,
    silences: bool = False,
    odd: bool = False,
    repeats: bool = False,
    errors: bool = False,
    late: bool = False,
    outlasting: bool = False,
    slow: bool = False,
    renumbered: bool = False,
    late_writes: bool = False,
) -> None:
    """Play one seed; every broken promise is a line and status 1."""
    options = run.SoakOptions(
        seed or run.fresh_seed(),
        hosts,
        callers,
        faults_s,
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
    )
    result = run.play(options)
    typer.echo(result.line())
    for text in result.broken:
        typer.echo(f'  {text}')
    if result.folder is not None:
        typer.echo(f'  logs in {result.folder}')
        raise typer.Exit(1)


if __name__ == '__main__':
    typer.run(main)
