"""The node: a sans-I/O core and the Twisted daemon that runs it."""

from ragwort_node._caller_http import STATUS_BY_REFUSAL
from ragwort_node._control import TICK_S
from ragwort_node._core import NodeCore
from ragwort_node._daemon import NodeDaemon
from ragwort_node._effects import Count
from ragwort_node._effects import Decision
from ragwort_node._effects import DecisionKind
from ragwort_node._effects import Effect
from ragwort_node._effects import RefusalKind
from ragwort_node._effects import RefuseCaller
from ragwort_node._effects import Timing
from ragwort_node._logs import configure_logs
from ragwort_node._options import NodeOptions
from ragwort_node._options import options_from_settings
from ragwort_node._status import ClassStatus
from ragwort_node._status import NodeState
from ragwort_node._status import NodeStatus
from ragwort_node._status import RunnerStatus
from ragwort_node._store_client import store_method
from ragwort_node._store_client import store_url
from ragwort_node._store_client import StoreClient

__all__ = [
    'ClassStatus',
    'configure_logs',
    'Count',
    'Decision',
    'DecisionKind',
    'Effect',
    'NodeCore',
    'NodeDaemon',
    'NodeOptions',
    'NodeState',
    'NodeStatus',
    'options_from_settings',
    'RefusalKind',
    'RefuseCaller',
    'RunnerStatus',
    'STATUS_BY_REFUSAL',
    'store_method',
    'store_url',
    'StoreClient',
    'TICK_S',
    'Timing',
]
