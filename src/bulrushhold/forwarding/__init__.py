"""Forwards opaque requests: routing, retries and stream resumption."""

from bulrushhold.forwarding._context import Job
from bulrushhold.forwarding._context import Parts
from bulrushhold.forwarding._events import Event
from bulrushhold.forwarding._events import EventSplitter
from bulrushhold.forwarding._fleet import Fleet
from bulrushhold.forwarding._forwarder import Forwarder
from bulrushhold.forwarding._plain import PlainRun
from bulrushhold.forwarding._streams import StreamRun

__all__ = [
    'Event',
    'EventSplitter',
    'Fleet',
    'Forwarder',
    'Job',
    'Parts',
    'PlainRun',
    'StreamRun',
]
