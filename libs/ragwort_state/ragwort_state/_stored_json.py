"""What decoding JSON in stored objects raises, and bounds on its numbers."""

from typing import Annotated

import msgspec

# Values that are nested some hundreds deep raise RecursionError.
ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
MAX_INT64 = 2**63 - 1

# A time of day in milliseconds; 10^15 is 30,000 years ahead.
TimeMs = Annotated[int, msgspec.Meta(ge=0, le=10**15)]
Int64 = Annotated[int, msgspec.Meta(ge=-MAX_INT64, le=MAX_INT64)]
