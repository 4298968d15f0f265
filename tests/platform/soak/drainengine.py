"""Engines whose requests run for drawn lengths."""

import asyncio
import copy
import math
import time

from aiohttp import web
import attrs

from tests.platform.soak import drainplan
from tests.platform.soak import fakes

MIN_WORK_S, MAX_WORK_S = 0.02, 3.0


@attrs.define
class EngineWork:
    """One run of a request at an engine.

    :param due_at: when it would be complete.
    """

    engine: str
    passed_at: float
    began_at: float = math.inf
    due_at: float = math.inf
    ended_at: float = math.inf


class DrainEngine(fakes.Engine):
    """Draws how long each request runs; requests beyond its slots wait.

    :param works: gets each :class:`EngineWork`, by request ID.
    :param streams: number of events of each stream and the time between
        two, by request ID; another engine goes on with the same.
    :ivar started_at: when the load began.
    """

    handler_cancellation = True

    def __init__(self, *arguments, plan, slots, slowness, works, streams):
        super().__init__(*arguments)
        self.plan = plan
        self.slots = slots
        self.slowness = slowness
        self.works = works
        self.streams = streams
        self.free = asyncio.Semaphore(slots)
        self.held = 0
        self.started_at = math.inf

    def to_json(self):
        return {**super().to_json(), 'slots': self.slots}

    async def handle(self, request):
        running = min(self.held, self.slots)
        load = f'{running},{self.held - running},{self.slots}'
        self.statements = {fakes.LOAD_HEADER: load}
        if request.path == '/bulrushhold/report':
            report = {'running': running, 'waiting': self.held - running}
            return web.json_response(
                {**report, 'slots': self.slots, 'born': self.born_ms},
                headers=self.statements,
            )
        expected = request.headers.get('Bulrushhold-Expect-Instance')
        if request.path.startswith('/bulrushhold/') or expected != self.ident:
            return await super().handle(request)
        return await self._queue(request)

    async def _queue(self, request):
        ident = request.headers['Bulrushhold-Request-Id']
        work = EngineWork(self.ident, time.monotonic())
        self.works[ident].append(work)
        self.held += 1
        try:
            async with self.free:
                work.began_at = time.monotonic()
                return await super().handle(request)
        finally:
            self.held -= 1
            work.ended_at = time.monotonic()

    async def _stream(self, request, ident, headers):
        elapsed_s = time.monotonic() - self.started_at
        if ident not in self.streams:
            grown = elapsed_s >= self.plan.grow_after_s
            length_s = drainplan.LENGTHS_S[self.plan.lengths](self.rng, grown)
            gap_s = self.rng.uniform(*self.plan.gaps_s)
            self.streams[ident] = max(1, round(length_s / gap_s)), gap_s
        events, gap_s = self.streams[ident]
        head_s = self.rng.uniform(0.0, self.plan.max_head_s)
        # The base class sends streams of one length.
        engine = copy.copy(self)
        engine.event_count = events
        engine.event_interval_s = gap_s * self.slowness
        rest = events - int(request.headers.get('Last-Event-Id', '0'))
        duration_s = head_s + rest * engine.event_interval_s
        self.works[ident][-1].due_at = time.monotonic() + duration_s
        await asyncio.sleep(head_s)
        return await fakes.Engine._stream(engine, request, ident, headers)

    async def _answer(self, request, body, headers):
        ident = headers['Bulrushhold-Request-Id']
        work_s = self.slowness * self.rng.uniform(MIN_WORK_S, MAX_WORK_S)
        self.works[ident][-1].due_at = time.monotonic() + work_s
        await asyncio.sleep(work_s)
        return await super()._answer(request, body, headers)
