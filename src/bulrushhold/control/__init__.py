"""Control processes: replicas of the replicated log, and relays to them."""

from bulrushhold.control._fleetcontrol import FleetControl
from bulrushhold.control._fleetcontrol import FleetRelay
from bulrushhold.control._leaderclient import LeaderClient
from bulrushhold.control._registry import EntryRegistry
from bulrushhold.control._relay import Relay
from bulrushhold.control._server import bootstrap
from bulrushhold.control._server import ControlServer
from bulrushhold.control._server import open_replica

__all__ = [
    'ControlServer',
    'EntryRegistry',
    'FleetControl',
    'FleetRelay',
    'LeaderClient',
    'Relay',
    'bootstrap',
    'open_replica',
]
