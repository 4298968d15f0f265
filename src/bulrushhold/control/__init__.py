"""The control process: one replica of the system's durable state."""

from bulrushhold.control._hub import Hub
from bulrushhold.control._registry import EntryRegistry
from bulrushhold.control._server import ControlServer
from bulrushhold.control._server import found
from bulrushhold.control._server import open_replica

__all__ = [
    'ControlServer',
    'EntryRegistry',
    'Hub',
    'found',
    'open_replica',
]
