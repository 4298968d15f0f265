"""Forwards opaque requests: routing, retries and stream resumption."""

from bulrushhold.forwarding._blocks import refuse_blocked
from bulrushhold.forwarding._context import ForwardingContext
from bulrushhold.forwarding._context import Job
from bulrushhold.forwarding._crashlog import make_crash_listener
from bulrushhold.forwarding._entryload import EntryLoadMonitor
from bulrushhold.forwarding._events import Event
from bulrushhold.forwarding._events import EventSplitter
from bulrushhold.forwarding._failuregauges import FailureGauges
from bulrushhold.forwarding._fleet import FleetView
from bulrushhold.forwarding._forwarder import Forwarder
from bulrushhold.forwarding._localscheduling import EngineShareScheduler
from bulrushhold.forwarding._origins import ControlOrigins
from bulrushhold.forwarding._origins import LocalOrigins
from bulrushhold.forwarding._origins import OriginFinding
from bulrushhold.forwarding._origins import OriginSource
from bulrushhold.forwarding._oversizedresponses import OversizedResponses
from bulrushhold.forwarding._permitcheck import PermitCheckingClient
from bulrushhold.forwarding._permitsource import ControlPermitSource
from bulrushhold.forwarding._places import ControlPlaces
from bulrushhold.forwarding._places import PlaceSource
from bulrushhold.forwarding._plain import PlainForwarder
from bulrushhold.forwarding._proxyhandler import DirectProxyHandler
from bulrushhold.forwarding._proxyingclient import ProxyingClient
from bulrushhold.forwarding._reachabilitymonitor import ReachabilityMonitor
from bulrushhold.forwarding._resumption import resolve as resolve_resumption
from bulrushhold.forwarding._retries import RetryGauges
from bulrushhold.forwarding._retrypool import ControlRetryPool
from bulrushhold.forwarding._retrypool import RetryPool
from bulrushhold.forwarding._runlimit import RunLimit
from bulrushhold.forwarding._scheduling import HomeScheduling
from bulrushhold.forwarding._scheduling import LocalScheduling
from bulrushhold.forwarding._scheduling import Scheduled
from bulrushhold.forwarding._scheduling import StreamScheduling
from bulrushhold.forwarding._serverchecks import ServerChecks
from bulrushhold.forwarding._silencemonitor import SilenceMonitor
from bulrushhold.forwarding._streams import StreamForwarder
from bulrushhold.forwarding._versiongauges import VersionGauges

__all__ = [
    'ControlOrigins',
    'ControlPermitSource',
    'ControlPlaces',
    'ControlRetryPool',
    'DirectProxyHandler',
    'Event',
    'EventSplitter',
    'EngineShareScheduler',
    'EntryLoadMonitor',
    'FailureGauges',
    'FleetView',
    'Forwarder',
    'ForwardingContext',
    'HomeScheduling',
    'Job',
    'LocalOrigins',
    'LocalScheduling',
    'OriginFinding',
    'OriginSource',
    'OversizedResponses',
    'PermitCheckingClient',
    'PlaceSource',
    'PlainForwarder',
    'ProxyingClient',
    'ReachabilityMonitor',
    'RetryGauges',
    'RetryPool',
    'RunLimit',
    'Scheduled',
    'ServerChecks',
    'SilenceMonitor',
    'StreamForwarder',
    'StreamScheduling',
    'VersionGauges',
    'make_crash_listener',
    'refuse_blocked',
    'resolve_resumption',
]
