"""A fake booking service that counts the bookings of each slot."""

import asyncio
import collections

from aiohttp import web

from bulrushhold.testing import _http


class BookingService(_http.FakeHttpServer):
    """Books slots without deduplication, so that duplicate requests show up.

    :param delay_s: time between a booking and its response.
    :ivar drop_response: abort the connection instead of responding.
    :ivar wrong_request_id: respond with the ID of another request.
    """

    def __init__(self, port: int = 0, *, delay_s: float = 0.0) -> None:
        super().__init__(port)
        self.delay_s = delay_s
        self.booking_counts: collections.Counter[str] = collections.Counter()
        self.drop_response = False
        self.wrong_request_id = False
        self.lookups = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the service's routes."""
        return [
            web.post('/slots', self._book),
            web.get('/availability', self._look_up),
            web.get('/runs', self._report_runs),
        ]

    async def _book(self, request: web.Request) -> web.Response:
        slot = (await request.json())['slot']
        self.booking_counts[slot] += 1
        if self.drop_response and request.transport is not None:
            request.transport.abort()
        await asyncio.sleep(self.delay_s)
        return self._respond(request, {'booked': slot})

    async def _look_up(self, request: web.Request) -> web.Response:
        self.lookups += 1
        if self.drop_response and request.transport is not None:
            request.transport.abort()
        return self._respond(request, {'free': ['oven-1', 'oven-2']})

    async def _report_runs(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(dict(self.booking_counts))

    def _respond(
        self, request: web.Request, body: dict[str, object]
    ) -> web.Response:
        request_id = request.headers.get('X-Request-Id', '')
        if self.wrong_request_id:
            request_id = 'another'
        return web.json_response(body, headers={'X-Request-Id': request_id})
