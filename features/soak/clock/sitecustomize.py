"""Steps the time of day of a host process by what a file says, in seconds.

Python imports this module by its name at its start; the soak puts its
folder on a host's path. A process can't set the real clock.
"""

import os
import pathlib
import time

_real_time = time.time
_file = pathlib.Path(os.environ['SOAK_CLOCK_FILE'])


def _stepped_time() -> float:
    try:
        return _real_time() + float(_file.read_text())
    except (OSError, ValueError):
        return _real_time()


time.time = _stepped_time
