"""What decoding JSON of another process raises, and bounds on its numbers."""

from typing import Annotated

import msgspec

import ragwort_model as model

# Values that are nested some hundreds deep raise RecursionError, texts that
# are not UTF-8 UnicodeDecodeError.
ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
# Above any real size, time or count; products and quotients of such numbers
# are finite, and exact as floats.
MAX_NUMBER = 10**12
MAX_INT64 = 2**63 - 1

Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
# For versions and fencing numbers, which peers are told in 64 bits.
Int64 = Annotated[int, msgspec.Meta(ge=-MAX_INT64, le=MAX_INT64)]
Revision = Annotated[int, msgspec.Meta(ge=0, le=model.MAX_REVISION)]
Era = Annotated[int, msgspec.Meta(ge=0, le=model.MAX_ERA)]
