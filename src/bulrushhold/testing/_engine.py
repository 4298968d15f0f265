"""A fake model engine with fault injection."""

import asyncio
import itertools
import json
import typing as t

from aiohttp import web

from bulrushhold.testing import _http

CRASH_MARKER: t.Final = 'CRASH'


class Engine(_http.FakeHttpServer):
    """Streams tokens that carry the ID of their generation.

    Token ``i`` of a generation is ``<generation>:<i> ``. A new request gets
    a new generation; a request with a prefix continues the generation of the
    prefix. The text of a response therefore shows whether it mixes
    generations.

    :param gap_s: seconds between tokens.
    :param slots: maximum concurrent streams; further ones are queued.
    :ivar wrong_request_id: stamp events with the ID of another request.
    :ivar omit_finish_event: end streams without the finish event.
    :ivar error_status: HTTP status to reject requests with; 0 for none.
    :ivar leaving: announce in responses that the engine is leaving.
    """

    generation_numbers = itertools.count(1)

    def __init__(
        self,
        name: str,
        port: int = 0,
        *,
        gap_s: float = 0.01,
        slots: int = 1000,
    ) -> None:
        super().__init__(port)
        self.name = name
        self.gap_s = gap_s
        self.slots = asyncio.Semaphore(slots)
        self.running: dict[tuple[str, int], asyncio.Event] = {}
        self.generated = 0
        self.prefilled = 0
        self.requests = 0
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.wrong_request_id = False
        self.omit_finish_event = False
        self.error_status = 0
        self.leaving = False

    def routes(self) -> list[web.RouteDef]:
        """Return the engine's routes."""
        return [
            web.post('/v1/chat/completions', self._complete),
            web.post('/v1/cancel', self._cancel),
            web.get('/v1/work', self._report_work),
        ]

    def freeze(self) -> None:
        """Stop sending tokens but keep all connections open."""
        self.thawed.clear()

    def thaw(self) -> None:
        """Resume sending tokens after :meth:`freeze`."""
        self.thawed.set()

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        payload = await request.json()
        self.requests += 1
        if self.error_status:
            return web.Response(status=self.error_status)
        if CRASH_MARKER in json.dumps(payload['messages']):
            await self.crash()
        key = (payload['request'], payload['attempt'])
        cancelled = self.running[key] = asyncio.Event()
        headers = {
            'Content-Type': 'text/event-stream',
            'X-Running': str(len(self.running)),
        }
        if self.leaving:
            headers['X-Leaving'] = '1'
        response = web.StreamResponse(headers=headers)
        try:
            await response.prepare(request)
            async with self.slots:
                await self._stream(payload, response, cancelled)
        except ConnectionError:
            # The entry has closed the connection.
            return response
        finally:
            self.running.pop(key, None)
        return response

    async def _stream(
        self,
        payload: dict[str, t.Any],
        response: web.StreamResponse,
        cancelled: asyncio.Event,
    ) -> None:
        prefix = payload['prefix']
        self.prefilled += len(json.dumps(payload['messages'])) // 4
        self.prefilled += len(prefix)
        if prefix:
            generation = prefix[0].partition(':')[0]
        else:
            generation = f'{self.name}-{next(self.generation_numbers)}'
        ids = {
            'request': 'another'
            if self.wrong_request_id
            else payload['request'],
            'attempt': payload['attempt'],
        }
        for offset in range(len(prefix), payload['max_tokens']):
            await asyncio.sleep(self.gap_s)
            await self.thawed.wait()
            if cancelled.is_set():
                return
            self.generated += 1
            token = f'{generation}:{offset} '
            event = {**ids, 'offset': offset, 'token': token}
            await response.write(b'data: %b\n\n' % json.dumps(event).encode())
        if self.omit_finish_event:
            return
        event = {**ids, 'offset': payload['max_tokens'], 'finish': 'stop'}
        await response.write(b'data: %b\n\n' % json.dumps(event).encode())

    async def crash(self) -> None:
        """Abort all connections and stop listening."""
        runner, self.runner = self.runner, None
        assert runner is not None
        for site in list(runner.sites):
            await site.stop()
        assert runner.server is not None
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def _cancel(self, request: web.Request) -> web.Response:
        payload = await request.json()
        cancelled = self.running.get((payload['request'], payload['attempt']))
        if cancelled is not None:
            cancelled.set()
        return web.Response()

    async def _report_work(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(
            {
                'generated': self.generated,
                'prefilled': self.prefilled,
                'requests': self.requests,
                'running': len(self.running),
            }
        )
