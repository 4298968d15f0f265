"""Engines that fall over if they have to reject many requests."""

import asyncio
import collections

from aiohttp import web

from tests.platform.soak import fakes

WINDOW_S = 1.0


class BrittleEngine(fakes.Engine):
    """Rejects requests beyond its slots, and falls over after too many.

    :param slots: requests that it runs at once; none waits.
    :param tolerated: rejections a second that it bears.
    :ivar fallen: how often it has fallen over.
    """

    def __init__(self, *arguments, slots, tolerated, work_s, down_s):
        super().__init__(*arguments)
        self.slots = slots
        self.tolerated = tolerated
        self.work_s = work_s
        self.down_s = down_s
        self.running = 0
        self.fallen = 0
        self.rejected_at = collections.deque()
        self.statements = {'Server-Brittle': str(tolerated)}
        self.recoveries = set()

    def to_json(self):
        return {**super().to_json(), 'slots': self.slots}

    async def handle(self, request):
        if request.path.startswith('/bulrushhold/'):
            return await super().handle(request)
        if self.running >= self.slots:
            return self._reject(request)
        self.running += 1
        try:
            return await super().handle(request)
        finally:
            self.running -= 1

    def _reject(self, request):
        now = asyncio.get_running_loop().time()
        self.rejected_at.append(now)
        while now - self.rejected_at[0] > WINDOW_S:
            self.rejected_at.popleft()
        if len(self.rejected_at) > self.tolerated:
            self._fall()
        ident = request.headers.get('Bulrushhold-Request-Id', '')
        headers = {
            'Bulrushhold-Request-Id': ident,
            'Bulrushhold-Not-Run': '1',
            **self.statements,
        }
        return web.Response(status=503, headers=headers)

    def _fall(self):
        self.fallen += 1
        self.rejected_at.clear()
        self.crash()
        recovery = asyncio.ensure_future(self.proxy.go_down(self.down_s))
        self.recoveries.add(recovery)
        recovery.add_done_callback(self.recoveries.discard)
