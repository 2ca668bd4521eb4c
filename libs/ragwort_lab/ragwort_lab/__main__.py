"""Command for the matrix and the benches: python -m ragwort_lab NAME."""

import sys

from ragwort_lab import _commands

if __name__ == '__main__':
    sys.exit(_commands.main(sys.argv[1:]))
