"""Stand-ins for what the system serves, for tests and demos.

Each runs in a loop of its caller's, or as a process by
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
