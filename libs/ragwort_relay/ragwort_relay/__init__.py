"""Decisions of a host that relays callers' requests to runners."""

from ragwort_policy import Drain
from ragwort_relay._admission import Admission
from ragwort_relay._admission import admit
from ragwort_relay._admission import first_event_s
from ragwort_relay._admission import Forecast
from ragwort_relay._admission import forecast
from ragwort_relay._admission import retry_after_s
from ragwort_relay._admission import time_after_stage_s
from ragwort_relay._admission import typical_stage_s
from ragwort_relay._admission import Verdict
from ragwort_relay._answer_times import AnswerTimes
from ragwort_relay._answer_times import Span
from ragwort_relay._attempts import Attempts
from ragwort_relay._attempts import next_step
from ragwort_relay._attempts import NextStep
from ragwort_relay._attempts import SendResult
from ragwort_relay._batcher import Batcher
from ragwort_relay._brittle import PLACE_WAIT_S
from ragwort_relay._budget import RetryBudget
from ragwort_relay._budget import WindowCounter
from ragwort_relay._catalog import ObjectDecoder
from ragwort_relay._catalog import RelayCatalog
from ragwort_relay._cold import ColdBound
from ragwort_relay._cold import ColdRunners
from ragwort_relay._crash_evidence import BREAK_TTL_S
from ragwort_relay._crash_evidence import CrashEvidence
from ragwort_relay._crash_evidence import sound_news
from ragwort_relay._departures import DepartureNews
from ragwort_relay._evacuations import Evacuation
from ragwort_relay._evacuations import EVACUATION_PREFIX
from ragwort_relay._evacuations import EvacuationChange
from ragwort_relay._evacuations import Evacuations
from ragwort_relay._events import EventSplitter
from ragwort_relay._events import StreamEvent
from ragwort_relay._events import StreamProgress
from ragwort_relay._fleet import Fleet
from ragwort_relay._fleet import FleetRunner
from ragwort_relay._fleet import RunnerEntry
from ragwort_relay._helpers import Helpers
from ragwort_relay._homes import ANYWHERE
from ragwort_relay._homes import entry_regions
from ragwort_relay._homes import Homes
from ragwort_relay._homes import homes_of
from ragwort_relay._limits import RateLimits
from ragwort_relay._makers import MakerStarts
from ragwort_relay._order import ChooseTimely
from ragwort_relay._order import SLACK_PER_RANK_S
from ragwort_relay._order import Throughput
from ragwort_relay._order import timely_groups
from ragwort_relay._origins import StreamKey
from ragwort_relay._origins import StreamOrigin
from ragwort_relay._origins import StreamOrigins
from ragwort_relay._pauses import Pauses
from ragwort_relay._pieces import BatchCall
from ragwort_relay._pieces import PieceGroup
from ragwort_relay._pieces import QueuedPiece
from ragwort_relay._prompts import choose_by_load
from ragwort_relay._prompts import choose_by_prompt_cache
from ragwort_relay._prompts import prompt_trade
from ragwort_relay._prompts import PromptCacheIndex
from ragwort_relay._prompts import PromptTrade
from ragwort_relay._prompts import PromptView
from ragwort_relay._prompts import TradeOutcome
from ragwort_relay._reach import Reach
from ragwort_relay._routes import BatchLimits
from ragwort_relay._routes import CallerLimits
from ragwort_relay._routes import CallKind
from ragwort_relay._routes import EngineSpec
from ragwort_relay._routes import RelayConfiguration
from ragwort_relay._routes import Route
from ragwort_relay._routes import ServiceShare
from ragwort_relay._routes import ServiceSpec
from ragwort_relay._routes import StageSpec
from ragwort_relay._routes import Workspace
from ragwort_relay._rumours import SPREAD_FANOUT
from ragwort_relay._runner_model import Expected
from ragwort_relay._runner_model import RunnerModels
from ragwort_relay._runner_model import SentWork
from ragwort_relay._runner_model import Work
from ragwort_relay._sharing import Home
from ragwort_relay._sharing import PromptPart
from ragwort_relay._sharing import PromptSharing
from ragwort_relay._stages import PieceWork
from ragwort_relay._stages import StageRun
from ragwort_relay._suspects import Suspects
from ragwort_relay._suspects import suspects_of
from ragwort_relay._waits import QueueWait
from ragwort_relay._waits import QueueWaits

__all__ = [
    'Admission',
    'admit',
    'AnswerTimes',
    'ANYWHERE',
    'Attempts',
    'BatchCall',
    'Batcher',
    'BatchLimits',
    'BREAK_TTL_S',
    'CallerLimits',
    'CallKind',
    'choose_by_load',
    'choose_by_prompt_cache',
    'ChooseTimely',
    'ColdBound',
    'ColdRunners',
    'CrashEvidence',
    'DepartureNews',
    'EngineSpec',
    'entry_regions',
    'Drain',
    'Evacuation',
    'EVACUATION_PREFIX',
    'EvacuationChange',
    'Evacuations',
    'EventSplitter',
    'Expected',
    'first_event_s',
    'Fleet',
    'FleetRunner',
    'forecast',
    'Forecast',
    'Helpers',
    'Home',
    'Homes',
    'homes_of',
    'next_step',
    'MakerStarts',
    'NextStep',
    'ObjectDecoder',
    'Pauses',
    'PieceGroup',
    'PieceWork',
    'PLACE_WAIT_S',
    'prompt_trade',
    'PromptCacheIndex',
    'PromptPart',
    'PromptSharing',
    'PromptTrade',
    'PromptView',
    'QueuedPiece',
    'QueueWait',
    'QueueWaits',
    'RateLimits',
    'Reach',
    'RelayCatalog',
    'RelayConfiguration',
    'retry_after_s',
    'RetryBudget',
    'Route',
    'RunnerEntry',
    'RunnerModels',
    'SendResult',
    'SentWork',
    'ServiceShare',
    'ServiceSpec',
    'SLACK_PER_RANK_S',
    'sound_news',
    'Span',
    'SPREAD_FANOUT',
    'StageRun',
    'StageSpec',
    'StreamEvent',
    'StreamKey',
    'StreamOrigin',
    'StreamOrigins',
    'StreamProgress',
    'Suspects',
    'suspects_of',
    'Throughput',
    'time_after_stage_s',
    'timely_groups',
    'TradeOutcome',
    'typical_stage_s',
    'Verdict',
    'WindowCounter',
    'Work',
    'Workspace',
]
