"""Servers that answer with bytes until the connection is closed."""

import asyncio
import contextlib
import time

import aiohttp
from aiohttp import web

from tests.platform.soak import fakes
from tests.platform.soak import figures
from tests.platform.soak import result
from tests.platform.soak import silence
from tests.platform.soak import slowreaders
from tests.platform.soak import system

INTERIM_HEAD = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
PART = INTERIM_HEAD * 512
# A response that isn't closed after this counts as not closed.
MAX_ENDLESS_S = 5.0
SHARE = 1 / 3
DEADLINE_S = 4.0
REQUESTS_PER_S = 60
BEFORE_S = 3.0
ENDLESS_S = 6.0
AFTER_S = 3.0
MEMORY_INTERVAL_S = 0.1
MAX_GROWTH_MB = 10
MAX_CLOSED_S = 1.0
MAX_P95_FACTOR = 1.5
# Keeps short response times from failing a run.
MAX_P95_MORE_S = 0.05


class EndlessServer(fakes.Engine):
    """Answers with interim heads without end while asked to.

    It has no proxy, whose copying would delay what the scenario measures.

    :ivar endless: whether it does so now.
    :ivar idents: IDs of the requests that it answered so.
    :ivar closed_s: seconds until each such response was closed.
    :ivar not_closed: such responses that it had to end.
    """

    handler_cancellation = True

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.endless = False
        self.idents = set()
        self.closed_s = []
        self.not_closed = 0

    async def start(self):
        await super().start()
        self.address = '{}:{}'.format(*self.proxy.target)

    def to_json(self):
        return {**super().to_json(), 'address': self.address}

    async def handle(self, request):
        if not self.endless:
            return await super().handle(request)
        self.idents.add(request.headers.get('Bulrushhold-Request-Id', ''))
        transport = request.transport
        started_at = time.monotonic()
        try:
            async with asyncio.timeout(MAX_ENDLESS_S):
                while not transport.is_closing():
                    transport.write(PART)
                    await request.protocol._drain_helper()
                    await asyncio.sleep(0)
            self.closed_s.append(time.monotonic() - started_at)
        except TimeoutError:
            self.not_closed += 1
        except (asyncio.CancelledError, ConnectionError):
            self.closed_s.append(time.monotonic() - started_at)
            raise
        finally:
            transport.abort()
        return web.Response()


class EndlessRun(silence.SilenceRun):
    """Sends requests while a share of the servers answers without end.

    :ivar times: part of the run, ID, outcome and response time of each
        request.
    :ivar start_mb: highest resident memory of an entry before.
    :ivar peak_mb: the same in the whole run.
    """

    deadline_s = DEADLINE_S

    def __init__(self, seed, folder, network_number, entries):
        plan = silence.SilencePlan(kinds=silence.ALL_KINDS, entries=entries)
        super().__init__(seed, folder, network_number, plan)
        self.engines = [
            EndlessServer(
                service, f'zone-{n % 3}', self.observations, self.rng
            )
            for service, count in silence.SERVERS_PER_SERVICE.items()
            for n in range(count)
        ]
        self.deadline_s = DEADLINE_S
        self.times = []
        self.start_mb = self.peak_mb = 0.0

    async def _run_with_faults(self):
        watch = asyncio.ensure_future(self._watch_memory())
        lag = asyncio.ensure_future(figures.measure_lag(self.lags))
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            calls = [*await self._call_for(session, BEFORE_S, 'before')]
            self.start_mb = self.peak_mb
            servers = self._draw_servers()
            self._record_fault('endless', ' '.join(e.ident for e in servers))
            for server in servers:
                server.endless = True
            calls += await self._call_for(session, ENDLESS_S, 'beside')
            for server in servers:
                server.endless = False
            calls += await self._call_for(session, AFTER_S, 'after')
            await asyncio.gather(*calls)
        for task in (watch, lag):
            task.cancel()
        await asyncio.gather(watch, lag, return_exceptions=True)

    def _draw_servers(self):
        drawn = []
        for service in silence.SERVERS_PER_SERVICE:
            servers = [e for e in self.engines if e.service == service]
            count = round(SHARE * len(servers))
            drawn += self.silence_rng.sample(servers, count)
        return drawn

    async def _call_for(self, session, seconds, part):
        deadline = time.monotonic() + seconds
        calls = []
        while time.monotonic() < deadline:
            kind = self.load_rng.choice(self.plan.kinds)
            call = self._time(session, kind, f'{part}-{len(calls)}', part)
            calls.append(asyncio.ensure_future(call))
            pause_s = self.load_rng.expovariate(REQUESTS_PER_S)
            await asyncio.sleep(pause_s)
        return calls

    async def _time(self, session, kind, number, part):
        started_at = time.monotonic()
        outcome = await self._send(session, kind, number)
        seconds = time.monotonic() - started_at
        self.slowest_s = max(self.slowest_s, seconds)
        self.outcomes[f'{part} {kind}', outcome] += 1
        ident = f'{self.report.seed}-{number}'
        self.times.append((part, ident, outcome, seconds))

    async def _watch_memory(self):
        entries = self.system.programs_with_role('entry')
        while True:
            with contextlib.suppress(AttributeError):
                now_mb = max(
                    slowreaders.resident_mb(e.process.pid) for e in entries
                )
                self.peak_mb = max(self.peak_mb, now_mb)
            await asyncio.sleep(MEMORY_INTERVAL_S)

    def _others(self, part):
        hit = set().union(*(engine.idents for engine in self.engines))
        return [t for t in self.times if t[0] == part and t[1] not in hit]

    def p95_s(self, part):
        """Return that of requests that no endless response was sent to."""
        return figures.percentile([t[3] for t in self._others(part)])

    def checks(self):
        """Return the figures with their bounds."""
        not_served = [
            t for t in self._others('beside') if t[2] != silence.WHOLE
        ]
        closed_s = [s for e in self.engines for s in e.closed_s]
        longest_s = MAX_P95_FACTOR * self.p95_s('before') + MAX_P95_MORE_S
        return [
            figures.Check(
                "other callers' p95, s",
                self.p95_s('beside'),
                longest_s,
                at_least=False,
            ),
            figures.Check(
                'other requests not served', len(not_served), 0, at_least=False
            ),
            figures.Check(
                'closed, p95, s',
                figures.percentile(closed_s),
                MAX_CLOSED_S,
                at_least=False,
            ),
            figures.Check(
                'not closed',
                sum(e.not_closed for e in self.engines),
                0,
                at_least=False,
            ),
            figures.Check(
                'growth of an entry, MB',
                self.peak_mb - self.start_mb,
                MAX_GROWTH_MB,
                at_least=False,
            ),
            figures.Check(
                'violated guarantees',
                len(self.report.violations),
                0,
                at_least=False,
            ),
        ]

    def lines(self):
        """Return more figures."""
        closed = sum(len(e.closed_s) for e in self.engines)
        return [
            f'entry memory at the start {self.start_mb:.0f} MB, '
            f'endless responses closed {closed}',
            *super().lines(),
        ]


async def play(seed, folder, entries=4, seconds=None):
    """A third of the servers answers without end; durations are fixed."""
    del seconds
    folder.mkdir(exist_ok=True)
    with system.LoopbackNetwork() as network:
        endless_run = EndlessRun(seed, folder, network.number, entries)
        await endless_run.execute()
    return result.Result(endless_run.checks(), endless_run.lines())
