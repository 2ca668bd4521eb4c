"""Network layer of an entry host that relays requests to runners."""

from ragwort_edge._body import HeldBytes
from ragwort_edge._client import AddressState
from ragwort_edge._client import CallError
from ragwort_edge._client import CallErrorKind
from ragwort_edge._client import fetch
from ragwort_edge._client import HttpClient
from ragwort_edge._client import OpenCall
from ragwort_edge._client import ResponseReader
from ragwort_edge._context import RelayContext
from ragwort_edge._crash_watch import CrashWatch
from ragwort_edge._dialect import Dialect
from ragwort_edge._dialect import FOREIGN_REPLY
from ragwort_edge._dialect import MainCall
from ragwort_edge._dialect import PieceReply
from ragwort_edge._dialect import PieceResult
from ragwort_edge._dialect import RequestMetadata
from ragwort_edge._dialect import RunnerReply
from ragwort_edge._guard import Guard
from ragwort_edge._host import ADDRESS_TTL_S
from ragwort_edge._host import HostOptions
from ragwort_edge._host import RelayHost
from ragwort_edge._host import Store
from ragwort_edge._last_resort import LastResort
from ragwort_edge._logs import configure_logs
from ragwort_edge._messages import end_to_end
from ragwort_edge._messages import find_header
from ragwort_edge._messages import Headers
from ragwort_edge._messages import HttpRequest
from ragwort_edge._messages import HttpResponse
from ragwort_edge._metrics import Metrics
from ragwort_edge._request_handler import RequestHandler
from ragwort_edge._server import Exchange
from ragwort_edge._server import Site
from ragwort_edge._stage_service import StageService
from ragwort_edge._stream_origins import OriginService

__all__ = [
    'ADDRESS_TTL_S',
    'AddressState',
    'CallError',
    'CallErrorKind',
    'configure_logs',
    'CrashWatch',
    'Dialect',
    'end_to_end',
    'Exchange',
    'fetch',
    'find_header',
    'FOREIGN_REPLY',
    'Guard',
    'Headers',
    'HeldBytes',
    'HostOptions',
    'HttpClient',
    'HttpRequest',
    'HttpResponse',
    'LastResort',
    'MainCall',
    'Metrics',
    'OpenCall',
    'OriginService',
    'PieceReply',
    'PieceResult',
    'RelayContext',
    'RelayHost',
    'RequestHandler',
    'RequestMetadata',
    'ResponseReader',
    'RunnerReply',
    'Site',
    'StageService',
    'Store',
]
