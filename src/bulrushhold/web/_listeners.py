"""HTTP listeners, all of which bound what their clients hold."""

import collections.abc as cabc
import socket
import typing as t

from aiohttp import web

from bulrushhold.web import _clientconnection
from bulrushhold.web import _clients
from bulrushhold.web import _connections

# Connections that the system keeps until they are accepted.
BACKLOG: t.Final = 1024
# Connections accepted in one pass of the event loop: each has a descriptor
# before it is counted.
ACCEPTED_PER_PASS: t.Final = 4

_Handler = cabc.Callable[[t.Any], cabc.Awaitable[web.StreamResponse]]


class ClientServer(web.Server):  # type: ignore[type-arg]
    """Makes connections that are counted, and bounded in memory and time.

    :param max_body_bytes: of a request; 0 for no bound.
    :param options: of :class:`_clientconnection.ClientConnection`.
    :ivar limits: of each connection; by default those of the process.
    """

    def __init__(
        self,
        handler: _Handler,
        guard: _clients.ClientGuard,
        max_body_bytes: int = 0,
        **options: t.Any,
    ) -> None:
        self.limits = guard.limits
        self.max_body_bytes = max_body_bytes
        super().__init__(
            handler,
            guard=guard,
            read_bufsize=_connections.READ_BUFFER_BYTES,
            access_log=None,
            **options,
        )

    def __call__(self) -> _clientconnection.ClientConnection:
        """Return the protocol of a new connection."""
        return _clientconnection.ClientConnection(
            self, loop=self._loop, **self._kwargs
        )


class ApplicationRunner(web.AppRunner):
    """Runs an application on a :class:`ClientServer`."""

    def __init__(
        self,
        application: web.Application,
        guard: _clients.ClientGuard,
        **options: t.Any,
    ) -> None:
        super().__init__(application, **options)
        self.guard = guard

    async def _make_server(self) -> ClientServer:
        server = await super()._make_server()
        options = dict(server._kwargs)
        options.pop('access_log', None)
        return ClientServer(
            server.request_handler,
            self.guard,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **options,
        )


async def listen(
    runner: 'web.BaseRunner[t.Any]', host: str, port: int
) -> None:
    """Open a listening address for a runner that has been set up.

    :raises OSError: if the address is in use.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        site = web.SockSite(runner, listener, backlog=ACCEPTED_PER_PASS)
        await site.start()
    except BaseException:
        listener.close()
        raise
    # asyncio accepts as many in one pass as its backlog, and asks the system
    # to keep no more.
    listener.listen(BACKLOG)


async def start_application(
    application: web.Application,
    guard: _clients.ClientGuard,
    host: str,
    port: int,
    **options: t.Any,
) -> ApplicationRunner:
    """Serve an application at an address.

    :param options: of the runner.
    """
    runner = ApplicationRunner(application, guard, **options)
    await runner.setup()
    await listen(runner, host, port)
    return runner
