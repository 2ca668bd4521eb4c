"""Domain types, identifiers, validation schemas and errors."""

from typing import TYPE_CHECKING

from ragwort_model._domain import ClassOfWork
from ragwort_model._domain import EntryHost
from ragwort_model._domain import HostState
from ragwort_model._domain import Outcome
from ragwort_model._domain import Pipeline
from ragwort_model._domain import Request
from ragwort_model._domain import Runner
from ragwort_model._domain import Service
from ragwort_model._domain import ServiceKind
from ragwort_model._domain import Target
from ragwort_model._errors import ConfigurationError
from ragwort_model._errors import IncompleteAnswerError
from ragwort_model._errors import InvalidInputError
from ragwort_model._errors import RagwortError
from ragwort_model._errors import RequestError
from ragwort_model._errors import SettingsError
from ragwort_model._errors import StoreError
from ragwort_model._errors import StoreUnavailableError
from ragwort_model._errors import TargetConflictError
from ragwort_model._errors import UnknownMessageError
from ragwort_model._errors import VersionConflictError
from ragwort_model._errors import WireError
from ragwort_model._hashing import content_digest
from ragwort_model._hashing import fields_digest
from ragwort_model._hashing import select_by_rendezvous
from ragwort_model._hashing import stable_hash
from ragwort_model._ids import AttemptId
from ragwort_model._ids import new_nonce
from ragwort_model._ids import new_request_key
from ragwort_model._ids import request_key_at
from ragwort_model._ids import request_key_time
from ragwort_model._late import late_names
from ragwort_model._peer import Ack
from ragwort_model._peer import Claim
from ragwort_model._peer import ClaimForward
from ragwort_model._peer import ClaimReply
from ragwort_model._peer import ClaimStatus
from ragwort_model._peer import ClearedSuspect
from ragwort_model._peer import ColdRunner
from ragwort_model._peer import ColdRunners
from ragwort_model._peer import CrashNews
from ragwort_model._peer import Follow
from ragwort_model._peer import FollowEvent
from ragwort_model._peer import IndirectPing
from ragwort_model._peer import LeavingRunner
from ragwort_model._peer import MemberStatus
from ragwort_model._peer import MemberSync
from ragwort_model._peer import MemberUpdate
from ragwort_model._peer import ObjectVersion
from ragwort_model._peer import PeerMessage
from ragwort_model._peer import PieceOutcome
from ragwort_model._peer import Ping
from ragwort_model._peer import RunnerLimit
from ragwort_model._peer import RunnerLimits
from ragwort_model._peer import RunnersLeaving
from ragwort_model._peer import RunnerStart
from ragwort_model._peer import RunnerStarts
from ragwort_model._peer import SeenVersion
from ragwort_model._peer import SendPeerMessage
from ragwort_model._peer import ServiceWait
from ragwort_model._peer import StageAsk
from ragwort_model._peer import StageDeclined
from ragwort_model._peer import StageDrop
from ragwort_model._peer import StageRelease
from ragwort_model._peer import StageReply
from ragwort_model._peer import StageTaken
from ragwort_model._peer import StageWork
from ragwort_model._peer import StateDigest
from ragwort_model._peer import StatePush
from ragwort_model._peer import StateVersions
from ragwort_model._peer import StateWant
from ragwort_model._peer import StreamAnswer
from ragwort_model._peer import StreamBegan
from ragwort_model._peer import StreamQuestion
from ragwort_model._peer import StreamsBegan
from ragwort_model._peer import SuspectCrash
from ragwort_model._stage import Accepted
from ragwort_model._stage import AnswerCaller
from ragwort_model._stage import CallerEvent
from ragwort_model._stage import CallFailure
from ragwort_model._stage import CallRunner
from ragwort_model._stage import CancelCall
from ragwort_model._stage import Chunk
from ragwort_model._stage import DesiredState
from ragwort_model._stage import End
from ragwort_model._stage import Heartbeat
from ragwort_model._stage import LoadReport
from ragwort_model._stage import LoadResult
from ragwort_model._stage import NOT_RUN_FAILURES
from ragwort_model._stage import ReadLoad
from ragwort_model._stage import RunnerOrder
from ragwort_model._stage import SendOrder
from ragwort_model._stage import StageCall
from ragwort_model._stage import StageChunk
from ragwort_model._stage import StageEnd
from ragwort_model._stage import StageFailed
from ragwort_model._stage import StageHeartbeat
from ragwort_model._store import era_of
from ragwort_model._store import format_version
from ragwort_model._store import make_version
from ragwort_model._store import MAX_ERA
from ragwort_model._store import MAX_REVISION
from ragwort_model._store import revision_of
from ragwort_model._store import StoreCall
from ragwort_model._store import StoredObject
from ragwort_model._store import StoreResult
from ragwort_model._store import StoreStatus
from ragwort_model._store import StoreVerb
from ragwort_model._units import parse_address
from ragwort_model._units import parse_duration
from ragwort_model._units import split_address

if TYPE_CHECKING:
    from ragwort_model._documents import ClassDocument
    from ragwort_model._documents import describe_problem
    from ragwort_model._documents import Document
    from ragwort_model._documents import is_finite
    from ragwort_model._documents import MAX_DEADLINE_S
    from ragwort_model._documents import MAX_HISTORY
    from ragwort_model._documents import Name
    from ragwort_model._documents import parse_document
    from ragwort_model._documents import PipelineDocument
    from ragwort_model._documents import PlacementDocument
    from ragwort_model._documents import RunnerDocument
    from ragwort_model._documents import ServiceDocument
    from ragwort_model._documents import TargetDocument
    from ragwort_model._documents import to_class_of_work
    from ragwort_model._documents import to_runner
    from ragwort_model._documents import to_service
    from ragwort_model._documents import WorkspaceDocument
    from ragwort_model._settings import DaemonSettings
    from ragwort_model._settings import LimitSettings
    from ragwort_model._settings import load_settings
    from ragwort_model._settings import NodeSettings
    from ragwort_model._settings import parse_settings
    from ragwort_model._settings import PlatformSettings
    from ragwort_model._settings import RunnerSettings
    from ragwort_model._settings import select_settings
    from ragwort_model._types import Address

__all__ = [
    'Accepted',
    'Ack',
    'Address',
    'AnswerCaller',
    'AttemptId',
    'CallerEvent',
    'CallFailure',
    'CallRunner',
    'CancelCall',
    'Chunk',
    'Claim',
    'ClaimForward',
    'ClaimReply',
    'ClaimStatus',
    'ClassDocument',
    'ClassOfWork',
    'ClearedSuspect',
    'ConfigurationError',
    'content_digest',
    'ColdRunner',
    'ColdRunners',
    'CrashNews',
    'DaemonSettings',
    'describe_problem',
    'DesiredState',
    'Document',
    'End',
    'EntryHost',
    'era_of',
    'fields_digest',
    'Follow',
    'FollowEvent',
    'format_version',
    'Heartbeat',
    'HostState',
    'IncompleteAnswerError',
    'IndirectPing',
    'InvalidInputError',
    'is_finite',
    'late_names',
    'LeavingRunner',
    'LimitSettings',
    'load_settings',
    'LoadReport',
    'LoadResult',
    'make_version',
    'MAX_ERA',
    'MAX_REVISION',
    'MAX_DEADLINE_S',
    'MAX_HISTORY',
    'MemberStatus',
    'MemberSync',
    'MemberUpdate',
    'Name',
    'new_nonce',
    'new_request_key',
    'NodeSettings',
    'NOT_RUN_FAILURES',
    'ObjectVersion',
    'Outcome',
    'parse_address',
    'parse_document',
    'parse_duration',
    'parse_settings',
    'PeerMessage',
    'PieceOutcome',
    'Ping',
    'Pipeline',
    'PipelineDocument',
    'PlacementDocument',
    'PlatformSettings',
    'RagwortError',
    'ReadLoad',
    'Request',
    'request_key_at',
    'request_key_time',
    'RequestError',
    'revision_of',
    'Runner',
    'RunnerDocument',
    'RunnerLimit',
    'RunnerLimits',
    'RunnerOrder',
    'RunnerSettings',
    'RunnersLeaving',
    'RunnerStart',
    'RunnerStarts',
    'SeenVersion',
    'select_by_rendezvous',
    'select_settings',
    'SendOrder',
    'SendPeerMessage',
    'Service',
    'ServiceDocument',
    'ServiceKind',
    'ServiceWait',
    'SettingsError',
    'split_address',
    'stable_hash',
    'StageAsk',
    'StageCall',
    'StageChunk',
    'StageDeclined',
    'StageDrop',
    'StageEnd',
    'StageFailed',
    'StageHeartbeat',
    'StageRelease',
    'StageReply',
    'StageTaken',
    'StageWork',
    'StateDigest',
    'StatePush',
    'StateVersions',
    'StateWant',
    'StoreCall',
    'StoredObject',
    'StoreError',
    'StoreResult',
    'StoreStatus',
    'StoreUnavailableError',
    'StoreVerb',
    'StreamAnswer',
    'StreamBegan',
    'StreamQuestion',
    'StreamsBegan',
    'SuspectCrash',
    'Target',
    'TargetConflictError',
    'TargetDocument',
    'to_class_of_work',
    'to_runner',
    'to_service',
    'UnknownMessageError',
    'VersionConflictError',
    'WireError',
    'WorkspaceDocument',
]

if not TYPE_CHECKING:
    __getattr__ = late_names(
        __name__, __all__, ('_types', '_documents', '_settings')
    )
