"""Fake backend servers and a local deployment, for tests and demos.

Fakes run on the caller's event loop, or as a process of their own with
``python -m bulrushhold.testing KIND``.
"""

from bulrushhold.testing._booking import BookingService
from bulrushhold.testing._deployment import Deployment
from bulrushhold.testing._engine import Engine
from bulrushhold.testing._platform import PlatformService
from bulrushhold.testing._ports import free_ports

__all__ = [
    'BookingService',
    'Deployment',
    'Engine',
    'PlatformService',
    'free_ports',
]
