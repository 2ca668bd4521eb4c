"""Decisions on admission, routing, retries, limits and fairness."""

from typing import TYPE_CHECKING

import ragwort_model as model
from ragwort_policy._drain import Drain
from ragwort_policy._runners import DEFAULT_BUSY_S
from ragwort_policy._runners import RunnerState

if TYPE_CHECKING:
    from ragwort_policy._attainment import AttainmentTracker
    from ragwort_policy._attainment import ClassRecord
    from ragwort_policy._deadline import estimate_finish
    from ragwort_policy._deadline import FinishEstimate
    from ragwort_policy._deadline import MIN_PROBABILITY
    from ragwort_policy._deadline import stage_budget_s
    from ragwort_policy._fair_queue import FairQueue
    from ragwort_policy._fair_queue import is_too_late
    from ragwort_policy._fair_queue import QueuedCall
    from ragwort_policy._latency import DecayedHistogram
    from ragwort_policy._latency import LatencyModel
    from ragwort_policy._outliers import detect_outlier
    from ragwort_policy._outliers import eject
    from ragwort_policy._outliers import Ejection
    from ragwort_policy._outliers import EjectionReason
    from ragwort_policy._outliers import is_ejected
    from ragwort_policy._outliers import may_probe
    from ragwort_policy._outliers import on_probe_result
    from ragwort_policy._placement import PlacementDecision
    from ragwort_policy._placement import PlacementHistory
    from ragwort_policy._placement import PlacementStep
    from ragwort_policy._placement import plan_placement
    from ragwort_policy._placement import RunnerLoad
    from ragwort_policy._retry import Budget
    from ragwort_policy._retry import hedge_budget
    from ragwort_policy._retry import HEDGE_QUANTILE
    from ragwort_policy._retry import retry_budget
    from ragwort_policy._routing import Candidate
    from ragwort_policy._routing import find_strategy
    from ragwort_policy._routing import RoutingContext
    from ragwort_policy._routing import RoutingDecision
    from ragwort_policy._routing import STRATEGIES
    from ragwort_policy._routing import Strategy
    from ragwort_policy._routing import strategy
    from ragwort_policy._subset import choose_subset

__all__ = [
    'AttainmentTracker',
    'Budget',
    'Candidate',
    'choose_subset',
    'ClassRecord',
    'DecayedHistogram',
    'DEFAULT_BUSY_S',
    'detect_outlier',
    'Drain',
    'eject',
    'Ejection',
    'EjectionReason',
    'estimate_finish',
    'FairQueue',
    'find_strategy',
    'FinishEstimate',
    'hedge_budget',
    'HEDGE_QUANTILE',
    'is_ejected',
    'is_too_late',
    'LatencyModel',
    'may_probe',
    'MIN_PROBABILITY',
    'on_probe_result',
    'PlacementDecision',
    'PlacementHistory',
    'PlacementStep',
    'plan_placement',
    'QueuedCall',
    'retry_budget',
    'RoutingContext',
    'RoutingDecision',
    'RunnerLoad',
    'RunnerState',
    'stage_budget_s',
    'STRATEGIES',
    'Strategy',
    'strategy',
]

if not TYPE_CHECKING:
    __getattr__ = model.late_names(
        __name__,
        __all__,
        (
            '_attainment',
            '_deadline',
            '_fair_queue',
            '_latency',
            '_outliers',
            '_placement',
            '_retry',
            '_routing',
            '_subset',
        ),
    )
