"""The composition root, which builds and runs each kind of process.

Functions import other packages when they run, so that a control process
doesn't load the HTTP stack and stays within its memory budget.
"""

from bulrushhold.composition._background import ignore_hangup
from bulrushhold.composition._background import LoopSupervisor
from bulrushhold.composition._control import Attachment
from bulrushhold.composition._control import run_control
from bulrushhold.composition._entry import EntryProcess
from bulrushhold.composition._entry import run_entry
from bulrushhold.composition._forwarding import ForwardingAdapters
from bulrushhold.composition._forwarding import ForwardingEntry
from bulrushhold.composition._forwarding import run_forwarding
from bulrushhold.composition._operatorport import OperatorPort
from bulrushhold.composition._relay import RelayProcess

__all__ = [
    'Attachment',
    'EntryProcess',
    'ForwardingAdapters',
    'ForwardingEntry',
    'LoopSupervisor',
    'OperatorPort',
    'RelayProcess',
    'ignore_hangup',
    'run_control',
    'run_entry',
    'run_forwarding',
]
