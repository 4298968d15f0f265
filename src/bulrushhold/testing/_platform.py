"""A fake platform service that serves the list of entries and backends."""

from aiohttp import web
import msgspec

from bulrushhold import ports
from bulrushhold.testing import _http


class PlatformService(_http.FakeHttpServer):
    """Serves a platform list with an ETag; ``PUT /list`` replaces the list."""

    def __init__(
        self, platform: ports.Platform | None = None, port: int = 0
    ) -> None:
        super().__init__(port)
        self.platform = platform or ports.Platform()

    def routes(self) -> list[web.RouteDef]:
        """Return the platform's routes."""
        return [
            web.get('/list', self._read),
            web.put('/list', self._replace),
        ]

    async def _read(self, request: web.Request) -> web.Response:
        body = msgspec.json.encode(self.platform)
        etag = f'"{hash(body) & 0xFFFFFFFF:x}"'
        if request.headers.get('If-None-Match') == etag:
            return web.Response(status=304)
        return web.Response(
            body=body,
            content_type='application/json',
            headers={'ETag': etag},
        )

    async def _replace(self, request: web.Request) -> web.Response:
        self.platform = msgspec.json.decode(
            await request.read(), type=ports.Platform
        )
        return web.Response()
