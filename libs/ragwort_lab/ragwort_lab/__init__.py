"""Virtual-time harness, fault matrix, invariants and benches."""

from ragwort_lab._trace import Dispatch
from ragwort_lab._trace import Submission
from ragwort_lab._trace import Trace
from ragwort_lab._world import World
from ragwort_lab._world import WorldShape

__all__ = [
    'Dispatch',
    'Submission',
    'Trace',
    'World',
    'WorldShape',
]
