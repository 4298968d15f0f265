"""The entry process: serves callers' requests and operators' edits."""

from bulrushhold.entry._admission import Admission
from bulrushhold.entry._control import ControlClient
from bulrushhold.entry._control import TableView
from bulrushhold.entry._keyregistrar import KeyRegistrar
from bulrushhold.entry._operators import OperatorRoutes
from bulrushhold.entry._platformview import PlatformView
from bulrushhold.entry._prober import Prober
from bulrushhold.entry._quarantine import Quarantine
from bulrushhold.entry._quarantine import SharedQuarantine
from bulrushhold.entry._registry import GenerationRegistry
from bulrushhold.entry._replication import TranscriptReplicator
from bulrushhold.entry._runner import GenerationRunner
from bulrushhold.entry._server import EntryServer
from bulrushhold.entry._services import ServiceRunner

__all__ = [
    'Admission',
    'ControlClient',
    'EntryServer',
    'GenerationRegistry',
    'GenerationRunner',
    'KeyRegistrar',
    'OperatorRoutes',
    'PlatformView',
    'Prober',
    'Quarantine',
    'ServiceRunner',
    'SharedQuarantine',
    'TableView',
    'TranscriptReplicator',
]
