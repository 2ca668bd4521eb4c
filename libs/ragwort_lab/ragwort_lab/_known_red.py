"""Cases that are known to fail, as KNOWN-RED.txt lists them."""

import pathlib

FILE_NAME = 'KNOWN-RED.txt'


def load_known_red(folder: pathlib.Path | None = None) -> set[str]:
    """Return the names of known red cases; none without the file."""
    path = (folder or pathlib.Path.cwd()) / FILE_NAME
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.split()[0] for line in lines if line and line[0] != '#'}
