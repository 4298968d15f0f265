"""Base class of the fake services: an aiohttp server on loopback."""

from aiohttp import web


class FakeHttpServer:
    """Serves routes on 127.0.0.1.

    :param port: 0 selects a free port, see ``address``.
    """

    def __init__(self, port: int = 0) -> None:
        self.port = port
        self.runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """Host and port of the server."""
        return f'127.0.0.1:{self.port}'

    def routes(self) -> list[web.RouteDef]:
        """Return the routes to serve."""
        raise NotImplementedError

    async def start(self) -> None:
        """Start listening."""
        app = web.Application()
        app.add_routes(self.routes())
        self.runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.05
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, '127.0.0.1', self.port)
        await site.start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None
