"""HTTP adapters for callers, backend servers and the platform's list."""

from bulrushhold.web._backends import HttpBackendClient
from bulrushhold.web._bodies import read_whole
from bulrushhold.web._buffers import BufferBudget
from bulrushhold.web._buffers import MemoryMonitor
from bulrushhold.web._buffers import READ_AHEAD_BYTES
from bulrushhold.web._clients import ClientGuard
from bulrushhold.web._clients import make_guard
from bulrushhold.web._connections import make_session
from bulrushhold.web._connections import StrictConnector
from bulrushhold.web._engine import HttpEngineClient
from bulrushhold.web._ingress import Ingress
from bulrushhold.web._instancelist import HttpPlatformList
from bulrushhold.web._invalidresponses import InvalidResponses
from bulrushhold.web._listeners import ApplicationRunner
from bulrushhold.web._listeners import start_application
from bulrushhold.web._metrics import metrics_application
from bulrushhold.web._peerproxy import HttpPeerProxyClient
from bulrushhold.web._peerproxy import PeerProxyServer
from bulrushhold.web._responsesyntax import MAX_HEAD_BYTES
from bulrushhold.web._service import HttpServiceClient
from bulrushhold.web._shutdown import close_runner
from bulrushhold.web._shutdown import count_unsent

__all__ = [
    'ApplicationRunner',
    'BufferBudget',
    'ClientGuard',
    'HttpBackendClient',
    'HttpEngineClient',
    'HttpPeerProxyClient',
    'HttpPlatformList',
    'HttpServiceClient',
    'Ingress',
    'InvalidResponses',
    'MAX_HEAD_BYTES',
    'MemoryMonitor',
    'PeerProxyServer',
    'READ_AHEAD_BYTES',
    'StrictConnector',
    'close_runner',
    'count_unsent',
    'make_guard',
    'make_session',
    'metrics_application',
    'read_whole',
    'start_application',
]
