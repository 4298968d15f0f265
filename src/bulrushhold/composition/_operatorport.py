"""The HTTP port for operators of a control process."""

import typing as t

from bulrushhold.composition import _background
from bulrushhold import settings

if t.TYPE_CHECKING:
    from aiohttp import web

    from bulrushhold import ports

# Short: operators retry requests that got no response.
SHUTDOWN_TIMEOUT_S: t.Final = 0.2


class OperatorPort:
    """Serves operators, and bounds what they send.

    :param memory_bytes: memory of the instance; 0 if it isn't bounded.
    :param max_files: file descriptors of the process; 0 if not given.
    :param max_body_bytes: of a request.
    """

    def __init__(
        self,
        app: 'web.Application',
        address: settings.Address,
        clients: settings.Clients,
        *,
        memory_bytes: int = 0,
        max_files: int = 0,
        max_body_bytes: int = 0,
    ) -> None:
        self.app = app
        self.address = address
        self.clients = clients
        self.memory_bytes = memory_bytes
        self.max_files = max_files
        self.max_body_bytes = max_body_bytes

    async def start(
        self, loops: _background.LoopSupervisor, metrics: 'ports.Metrics'
    ) -> None:
        """Open the port."""
        from bulrushhold import web as adapters

        budget = None
        if self.memory_bytes:
            budget = adapters.BufferBudget(self.memory_bytes, metrics)
            monitor = adapters.MemoryMonitor(budget, self.memory_bytes)
            loops.start('memory', monitor.watch)
        guard = adapters.make_guard(
            budget, self.clients, metrics, self.max_files, self.memory_bytes
        )
        loops.start('clients', guard.watch)
        self.runner = await adapters.start_application(
            self.app,
            guard,
            self.address.host,
            self.address.port,
            max_body_bytes=self.max_body_bytes,
            repeatable_reads=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )

    async def close(self) -> None:
        """Close the port and all of its connections."""
        await self.runner.cleanup()
