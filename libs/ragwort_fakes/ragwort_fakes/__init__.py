"""Fakes of the platform, model engines and plain services."""

from ragwort_fakes._content import expected_answer
from ragwort_fakes._content import stage_chunks
from ragwort_fakes._platform import PlatformCore
from ragwort_fakes._platform import PlatformFault
from ragwort_fakes._platform import WatchAnswer
from ragwort_fakes._platform_http import PlatformServer
from ragwort_fakes._runner import RunnerCore
from ragwort_fakes._runner import RunnerFault
from ragwort_fakes._runner import RunnerReply
from ragwort_fakes._runner import RunnerShape
from ragwort_fakes._runner_http import RunnerServer
from ragwort_fakes._samples import CAMPBELL_CLASSES
from ragwort_fakes._samples import CAMPBELL_WORKSPACES
from ragwort_fakes._samples import HOULE_CLASSES
from ragwort_fakes._samples import HOULE_WORKSPACES
from ragwort_fakes._samples import Objects
from ragwort_fakes._samples import PIPELINES
from ragwort_fakes._samples import sample_objects
from ragwort_fakes._samples import SERVICES
from ragwort_fakes._samples import with_name

__all__ = [
    'CAMPBELL_CLASSES',
    'CAMPBELL_WORKSPACES',
    'expected_answer',
    'HOULE_CLASSES',
    'HOULE_WORKSPACES',
    'Objects',
    'PIPELINES',
    'PlatformCore',
    'PlatformFault',
    'PlatformServer',
    'RunnerCore',
    'RunnerFault',
    'RunnerReply',
    'RunnerServer',
    'RunnerShape',
    'sample_objects',
    'SERVICES',
    'stage_chunks',
    'WatchAnswer',
    'with_name',
]
