"""The entry process: serves callers' requests and operators' edits."""

from bulrushhold.entry._admission import Admission
from bulrushhold.entry._control import ControlClient
from bulrushhold.entry._control import TableView
from bulrushhold.entry._copywriter import CopyWriter
from bulrushhold.entry._keys import KeyTaker
from bulrushhold.entry._members import Prober
from bulrushhold.entry._operators import OperatorRoutes
from bulrushhold.entry._quarantine import Quarantine
from bulrushhold.entry._quarantine import SharedQuarantine
from bulrushhold.entry._runner import GenerationRunner
from bulrushhold.entry._server import EntryServer
from bulrushhold.entry._services import ServiceRunner
from bulrushhold.entry._streams import Streams
from bulrushhold.entry._view import PlatformView

__all__ = [
    'Admission',
    'ControlClient',
    'CopyWriter',
    'EntryServer',
    'GenerationRunner',
    'KeyTaker',
    'OperatorRoutes',
    'PlatformView',
    'Prober',
    'Quarantine',
    'ServiceRunner',
    'SharedQuarantine',
    'Streams',
    'TableView',
]
