"""The control process: one replica of the system's durable state."""

from bulrushhold.control._server import ControlServer
from bulrushhold.control._server import found
from bulrushhold.control._server import open_replica

__all__ = ['ControlServer', 'found', 'open_replica']
