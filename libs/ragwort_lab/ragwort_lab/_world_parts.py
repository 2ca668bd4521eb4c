"""Parts of a world: hosts, runners, open calls, sizes."""

from collections.abc import Callable
import dataclasses
import json
from typing import Any

import ragwort_fakes as fakes
import ragwort_model as model
import ragwort_node as node

PEER_DELAY_S = 0.001
RUNNER_DELAY_S = 0.0005
STORE_DELAY_S = 0.003
STORE_SLOW_S = 0.8
STORE_TIMEOUT_S = 2.0
PLATFORM_TICK_S = 0.02
CHECK_S = 0.25
RESUME_GRACE_S = 3.0
HOST_LIST_LAG_S = 3.0
WALL_START = 1_800_000_000.0
DOMAINS = ('fd-1', 'fd-2', 'fd-3', 'fd-4')


@dataclasses.dataclass(slots=True)
class NodeSlot:
    """A host on which a node runs, or is dead or paused.

    clock_offset keeps the monotonic clocks of nodes apart; wall_offset
    is how far the time of day is off.
    """

    options: node.NodeOptions
    core: node.NodeCore
    clock_offset: float
    epoch: int = 0
    alive: bool = True
    paused: bool = False
    held: list[Callable[[], None]] = dataclasses.field(default_factory=list)
    wall_offset: float = 0.0
    timer_at: float = -1.0
    draining: bool = False
    high_versions: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class RunnerSlot:
    """A runner, dead or alive, and its connections."""

    core: fakes.RunnerCore
    alive: bool = True
    timer_at: float = -1.0
    calls: dict[str, 'OpenCall'] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class OpenCall:
    """A call between a node and a runner."""

    node: str
    epoch: int
    attempt: model.AttemptId
    connection: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorldShape:
    """Size of a world and the speed of its services."""

    node_count: int = 4
    runners_per_service: int = 3
    regions: int = 1
    service_s: float = 0.02
    deviation: float = 0.0
    strategy: str = 'ragwort'
    slots: int = 8
    report_lag_s: float = 0.0
    address_ttl_s: float = 2.0
    workspaces: tuple[str, ...] = tuple(
        [*fakes.HOULE_WORKSPACES, *fakes.CAMPBELL_WORKSPACES]
    )
    count_bytes: bool = False


def document_text(content: dict[str, Any]) -> str:
    """Return a document as the JSON that the platform keeps."""
    return json.dumps(content, sort_keys=True)
