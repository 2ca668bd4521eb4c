"""Types of durations, sizes and addresses in pydantic models of settings."""

from typing import Annotated

import pydantic

from ragwort_model import _units

Duration = Annotated[float, pydantic.BeforeValidator(_units.parse_duration)]
Size = Annotated[int, pydantic.BeforeValidator(_units.parse_size)]
Address = Annotated[str, pydantic.BeforeValidator(_units.parse_address)]
