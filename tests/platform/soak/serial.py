"""Backend servers with a speed, a pace and a capacity that can run out."""

import asyncio
import contextlib

from aiohttp import web
import attrs

from tests.platform.soak import fakes

TOKENS_PER_S = 8000.0
EVENT_COUNT = 30
EVENT_INTERVAL_S = 0.05
STEP_S = 0.02
# Restart of an engine that ran out of memory.
RESTART_S = 3.0
SLOW_PACE = 2.5
SLOW_SHARE = 0.15
MEAN_SLOW_S = 0.6


async def vary_pace(servers, rng):
    """Slow each server down for :data:`SLOW_SHARE` of the time."""

    async def vary(server):
        while True:
            normal_s = MEAN_SLOW_S * (1 / SLOW_SHARE - 1)
            await asyncio.sleep(rng.expovariate(1 / normal_s))
            server.pace = SLOW_PACE
            await asyncio.sleep(rng.expovariate(1 / MEAN_SLOW_S))
            server.pace = 1.0

    await asyncio.gather(*map(vary, servers))


def _load_header(running, waiting, server):
    load = f'{running},{waiting},{server.slots}'
    if server.announces_pace:
        load += f',{round(100 * server.pace)}'
    return {fakes.LOAD_HEADER: load}


@attrs.define(eq=False)
class _Prompt:
    ident: str
    priority: int
    tokens: int
    memory: int
    read: asyncio.Future
    tokens_read: float = 0.0


class _Incarnation:
    """What one start of an engine holds.

    :ivar held: requests that wait, are read or run.
    """

    def __init__(self):
        self.held = set()
        self.waiting = []
        self.changed = asyncio.Event()
        self.reader = None

    @property
    def memory(self):
        return sum(prompt.memory for prompt in self.held)

    @property
    def running(self):
        return len(self.held) - len(self.waiting)

    def pop_next(self):
        """Return the oldest of the most urgent prompts."""
        prompt = min(self.waiting, key=lambda waiting: waiting.priority)
        self.waiting.remove(prompt)
        return prompt


class SerialEngine(fakes.Engine):
    """Reads prompts one after the other, the more urgent ones first.

    :param speed: as a multiple of :data:`TOKENS_PER_S`.
    :param slots: requests whose prompt is read or that send events.
    :param memory_tokens: crashes if it holds requests of more tokens.
    :ivar pace: multiple of the time that its work takes at present.
    :ivar announces_pace: whether the load header has a fourth figure.
    :ivar memory_crashes: how often its memory ran out.
    :ivar tokens_in_vain: read for requests that were given up.
    :ivar peak_memory: most tokens held at once.
    """

    handler_cancellation = True
    event_count = EVENT_COUNT

    def __init__(
        self, *arguments, speed=1.0, slots=16, memory_tokens=88_000, **options
    ):
        super().__init__(*arguments, **options)
        self.speed = speed
        self.slots = slots
        self.memory_tokens = memory_tokens
        self.pace = 1.0
        self.announces_pace = True
        self.memory_crashes = 0
        self.tokens_in_vain = 0.0
        self.peak_memory = 0
        self.current = _Incarnation()
        self.recoveries = set()

    @property
    def event_interval_s(self):
        return EVENT_INTERVAL_S * self.pace

    def to_json(self):
        return {**super().to_json(), 'slots': self.slots}

    async def stop(self):
        self._end_incarnation()
        for recovery in self.recoveries:
            recovery.cancel()
        await super().stop()

    def crash(self):
        super().crash()
        self._end_incarnation()

    def lose(self, seconds):
        """Crash, and be back after a time."""
        self.crash()
        recovery = asyncio.ensure_future(self.proxy.go_down(seconds))
        self.recoveries.add(recovery)
        recovery.add_done_callback(self.recoveries.discard)

    def _end_incarnation(self):
        old, self.current = self.current, _Incarnation()
        if old.reader is not None:
            old.reader.cancel()
        for prompt in old.held:
            prompt.read.cancel()

    async def handle(self, request):
        if request.path == '/bulrushhold/report':
            current = self.current
            return web.json_response(
                {
                    'running': current.running,
                    'waiting': len(current.waiting),
                    'slots': self.slots,
                    'held-tokens': current.memory,
                },
                headers=self._load(),
            )
        return await super().handle(request)

    def _load(self):
        current = self.current
        return _load_header(current.running, len(current.waiting), self)

    async def _stream(self, request, ident, headers):
        current = self.current
        prompt = self._hold(request, ident)
        if current is not self.current:
            return web.Response(status=500)
        try:
            if 'Kv-From' in request.headers:
                self.observations.begun.add(ident)
            else:
                current.waiting.append(prompt)
                current.changed.set()
                await prompt.read
            headers.update(self._load())
            return await super()._stream(request, ident, headers)
        finally:
            current.held.discard(prompt)
            if prompt in current.waiting:
                current.waiting.remove(prompt)
            if not prompt.read.done() or prompt.read.cancelled():
                self.tokens_in_vain += prompt.tokens_read
                prompt.read.cancel()
            current.changed.set()

    def _hold(self, request, ident):
        counts = request.headers['Bulrushhold-Token-Counts'].split(',')
        tokens, output = map(int, counts)
        priority = request.headers.get(
            fakes.PRIORITY_HEADER, fakes.DEFAULT_PRIORITY
        )
        prompt = _Prompt(
            ident,
            int(priority),
            tokens,
            tokens + output,
            asyncio.get_running_loop().create_future(),
        )
        current = self.current
        current.held.add(prompt)
        self.peak_memory = max(self.peak_memory, current.memory)
        if current.memory > self.memory_tokens:
            self.memory_crashes += 1
            self.lose(RESTART_S)
        elif current.reader is None:
            current.reader = asyncio.ensure_future(self._read_all(current))
        return prompt

    async def _read_all(self, current):
        loop = asyncio.get_running_loop()
        free_at = loop.time()
        while True:
            while not current.waiting or current.running >= self.slots:
                current.changed.clear()
                await current.changed.wait()
                free_at = loop.time()
            free_at = await self._read(current.pop_next(), free_at)

    async def _read(self, prompt, at):
        """Read one prompt from a time on; return when the engine is free.

        The time is kept apart from the clock, so that a late wake-up doesn't
        cost the engine capacity.
        """
        loop = asyncio.get_running_loop()
        self.observations.begun.add(prompt.ident)
        while not prompt.read.done():
            rate = TOKENS_PER_S * self.speed / self.pace
            left = prompt.tokens - prompt.tokens_read
            step_s = min(STEP_S, left / rate)
            at += step_s
            await asyncio.sleep(at - loop.time())
            prompt.tokens_read += step_s * rate
            if prompt.tokens_read >= prompt.tokens - 0.5:
                with contextlib.suppress(asyncio.InvalidStateError):
                    prompt.read.set_result(None)
        return at


class SlotServer(fakes.Engine):
    """Runs as many plain requests as it has slots; others wait in order.

    :param service_s: duration of a request at a pace of 1.
    """

    def __init__(self, *arguments, slots=6, service_s=0.2, speed=1.0):
        super().__init__(*arguments)
        self.slots = slots
        self.service_s = service_s / speed
        self.pace = 1.0
        self.announces_pace = True
        self.free = asyncio.Semaphore(slots)
        self.held = 0

    def to_json(self):
        return {**super().to_json(), 'slots': self.slots}

    async def _answer(self, request, body, headers):
        self.held += 1
        try:
            async with self.free:
                await self._work()
        finally:
            self.held -= 1
        running = min(self.slots, self.held)
        headers.update(_load_header(running, self.held - running, self))
        body = fakes.make_body(request.raw_path, body)
        return web.Response(body=body, headers=headers)

    async def _work(self):
        left_s = self.service_s
        while left_s > 0:
            step_s = min(STEP_S, left_s)
            await asyncio.sleep(step_s * self.pace)
            left_s -= step_s


class PacedEngine(fakes.Engine):
    """Sends events and answers at a speed and a pace, in any number."""

    slots = 16
    announces_pace = True

    def __init__(self, *arguments, speed=1.0, **options):
        super().__init__(*arguments, **options)
        self.speed = speed
        self.pace = 1.0
        self.running = 0

    @property
    def event_interval_s(self):
        return fakes.EVENT_INTERVAL_S * self.pace / self.speed

    async def handle(self, request):
        self.running += 1
        try:
            self.statements.update(_load_header(self.running, 0, self))
            return await super().handle(request)
        finally:
            self.running -= 1
