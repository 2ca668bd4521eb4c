"""Virtual-time harness, fault matrix, invariants and benches."""

from ragwort_lab._faults import Fault
from ragwort_lab._faults import FAULTS
from ragwort_lab._faults import Victim
from ragwort_lab._invariants import INVARIANTS
from ragwort_lab._invariants import violations
from ragwort_lab._known_red import load_known_red
from ragwort_lab._matrix import Case
from ragwort_lab._matrix import CaseResult
from ragwort_lab._matrix import CaseRun
from ragwort_lab._matrix import pair_cases
from ragwort_lab._matrix import REGRESSIONS
from ragwort_lab._matrix import restore_pair_cases
from ragwort_lab._matrix import run_case
from ragwort_lab._matrix import single_cases
from ragwort_lab._matrix import STEPS
from ragwort_lab._mutations import is_caught
from ragwort_lab._mutations import MUTATIONS
from ragwort_lab._policy_bench import Figures
from ragwort_lab._policy_bench import OURS
from ragwort_lab._policy_bench import Run
from ragwort_lab._policy_bench import run
from ragwort_lab._policy_bench import SCENARIOS
from ragwort_lab._relay_fakes import Arrival
from ragwort_lab._relay_fakes import CutManner
from ragwort_lab._relay_fakes import LabExchange
from ragwort_lab._relay_fakes import LabRunner
from ragwort_lab._relay_fakes import LabStageRunner
from ragwort_lab._relay_fakes import ScriptedRunner
from ragwort_lab._relay_world import RelayWorld
from ragwort_lab._scale_bench import cold_start_s
from ragwort_lab._scale_bench import measure_control
from ragwort_lab._scale_bench import scale_world
from ragwort_lab._scale_bench import spread_s
from ragwort_lab._scale_bench import with_loss
from ragwort_lab._scale_bench import with_lost_watches
from ragwort_lab._scale_bench import without_watchers
from ragwort_lab._stage_bench import DOMAIN
from ragwort_lab._stage_bench import PATTERNS
from ragwort_lab._stage_bench import run_stage_pattern
from ragwort_lab._stage_bench import SIZE
from ragwort_lab._stage_bench import StageFigures
from ragwort_lab._stage_bench import StageRule
from ragwort_lab._stage_experiment import play_experiment
from ragwort_lab._stage_experiment import read_experiment
from ragwort_lab._stage_experiment import RuleFigures
from ragwort_lab._stage_experiment import StageExperiment
from ragwort_lab._state_bench import LedgerRun
from ragwort_lab._trace import Dispatch
from ragwort_lab._trace import Submission
from ragwort_lab._trace import Trace
from ragwort_lab._world import World
from ragwort_lab._world_parts import WorldShape

__all__ = [
    'Arrival',
    'Case',
    'CaseResult',
    'CaseRun',
    'cold_start_s',
    'CutManner',
    'Dispatch',
    'DOMAIN',
    'Fault',
    'FAULTS',
    'Figures',
    'INVARIANTS',
    'is_caught',
    'LabExchange',
    'LabRunner',
    'LabStageRunner',
    'LedgerRun',
    'load_known_red',
    'measure_control',
    'MUTATIONS',
    'OURS',
    'pair_cases',
    'PATTERNS',
    'play_experiment',
    'read_experiment',
    'REGRESSIONS',
    'RelayWorld',
    'restore_pair_cases',
    'RuleFigures',
    'Run',
    'run',
    'run_case',
    'run_stage_pattern',
    'scale_world',
    'SCENARIOS',
    'ScriptedRunner',
    'single_cases',
    'SIZE',
    'spread_s',
    'StageExperiment',
    'StageFigures',
    'StageRule',
    'STEPS',
    'Submission',
    'Trace',
    'Victim',
    'violations',
    'with_loss',
    'with_lost_watches',
    'without_watchers',
    'World',
    'WorldShape',
]
