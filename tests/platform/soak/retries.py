"""Plain servers that reject or fail requests, and what retries reach them."""

import asyncio
import bisect
import collections
import random
import time

import aiohttp
from aiohttp import web
import attrs

from tests.platform.soak import fakes
from tests.platform.soak import figures
from tests.platform.soak import result
from tests.platform.soak import run
from tests.platform.soak import serial
from tests.platform.soak import system

SERVERS, SLOTS, QUEUE = 9, 4, 8
BUILD_UP_S = 2.0
BUILD_UP_LOAD = 0.4
# Those of the settings in :mod:`system`.
RATIO, ALLOWANCE, WINDOW_S = 0.8, 150, 10.0
# Servers turn all requests away for the first half of each period.
PERIOD_S = 6.0
MAX_REFUSAL_S = 0.1
MEAN_FAULT_S = 1.5


@attrs.frozen
class Variant:
    """How servers fail, and under which load.

    :param load: as a multiple of what all servers can do.
    :param fault: see :class:`RoomServer`; ``''`` for none.
    :param share: share of the servers that have the fault.
    :param periodic: whether the fault comes and goes.
    :param paths: kinds of the requests.
    :param restarts: whether processes are killed, paused and restarted.
    """

    load: float
    fault: str = ''
    share: float = 1.0
    periodic: bool = False
    paths: tuple = (fakes.SAFE_PATH, fakes.UNSAFE_PATH)
    restarts: bool = False


VARIANTS = {
    'full': Variant(2.0),
    'all-shed': Variant(2.0, 'shed', periodic=True),
    'two-thirds-shed': Variant(0.9, 'shed', 2 / 3),
    'two-thirds-shed-once': Variant(
        0.9, 'shed', 2 / 3, paths=(fakes.UNSAFE_PATH,)
    ),
    'two-thirds-fail': Variant(0.9, 'fail', 2 / 3),
    'two-thirds-break': Variant(0.9, 'break', 2 / 3),
    'restarts': Variant(0.9, 'shed', 2 / 3, restarts=True),
}


class RoomServer(serial.SlotServer):
    """Rejects requests beyond its slots and its queue.

    :ivar fault: ``shed`` (rejects all), ``fail`` (answers with status 500),
        ``break`` (closes the connection) or ``''``.
    :ivar arrivals_by_id: when requests reached it, with their IDs.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments, slots=SLOTS)
        self.fault = ''
        self.arrivals_by_id = []

    async def handle(self, request):
        if request.path.startswith('/bulrushhold/'):
            return await super().handle(request)
        ident = request.headers.get('Bulrushhold-Request-Id', '')
        self.arrivals_by_id.append((time.monotonic(), ident))
        if self.fault == 'break':
            request.transport.abort()
            return web.Response(status=500)
        if self.fault == 'fail':
            return web.Response(
                status=500, headers={'Bulrushhold-Request-Id': ident}
            )
        if self.fault == 'shed' or self.held >= SLOTS + QUEUE:
            return self._reject(ident)
        return await super().handle(request)

    def _reject(self, ident):
        headers = {
            'Bulrushhold-Request-Id': ident,
            'Bulrushhold-Not-Run': '1',
            fakes.LOAD_HEADER: f'{SLOTS},{self.held},{SLOTS}',
        }
        return web.Response(status=503, headers=headers)


@attrs.frozen
class Usage:
    """The retry budget in the window that used most of it.

    :param repeats: arrivals beyond the first of their request.
    :param allowed: the budget.
    """

    since: float
    repeats: int
    allowed: float

    @property
    def share(self):
        return self.repeats / self.allowed


def find_repeats(arrivals):
    """Return when requests reached servers once more, in order.

    :param arrivals: pairs of a time and the ID of a request, in any order.
    """
    seen, repeats = set(), []
    for at, ident in sorted(arrivals):
        if ident in seen:
            repeats.append(at)
        seen.add(ident)
    return repeats


def highest_usage(requests, repeats):
    """Return the :class:`Usage` of the window with the highest share.

    :param requests: when callers sent requests, in order.
    :param repeats: when repeats reached servers, in order.
    """

    def count(times, since):
        return bisect.bisect_left(times, since + WINDOW_S) - (
            bisect.bisect_left(times, since)
        )

    usages = [Usage(0.0, 0, ALLOWANCE)]
    for since in repeats:
        requests_count = max(
            count(requests, since - earlier)
            for earlier in (0, WINDOW_S / 2, WINDOW_S)
        )
        usages.append(
            Usage(
                since,
                count(repeats, since),
                RATIO * requests_count + ALLOWANCE,
            )
        )
    return max(usages, key=lambda usage: usage.share)


class RetryRun(run.SoakRun):
    """Callers that don't come back, and servers that reject or fail.

    :ivar sent_at: when callers sent requests, in order.
    :ivar refusals: seconds until each refusal, and its ``Retry-After``.
    """

    def __init__(self, seed, folder, network_number, variant, **options):
        super().__init__(seed, folder, network_number, options['seconds'])
        self.entry_count = options['entries']
        self.load_rng = random.Random(f'load {seed}')
        self.variant = variant
        self.engines = [
            RoomServer('s-desk', f'zone-{n % 3}', self.observations, self.rng)
            for n in range(SERVERS)
        ]
        self.capacity_per_s = sum(
            SLOTS / server.service_s for server in self.engines
        )
        self.sent_at = []
        self.refusals = []

    def _make_system(self, *arguments):
        return system.System(*arguments, entry_count=self.entry_count)

    def _make_session(self):
        # Callers would otherwise wait for each other's connections.
        return super()._make_session(connector=aiohttp.TCPConnector(limit=0))

    async def _run_with_faults(self):
        self.started_at = time.monotonic()
        await self._call_for(BUILD_UP_S, BUILD_UP_LOAD)
        faults = [asyncio.ensure_future(self._inject())]
        if self.variant.restarts:
            faults.append(asyncio.ensure_future(self._disturb()))
        await self._call_for(self.seconds, self.variant.load)
        for fault in faults:
            fault.cancel()
        await asyncio.gather(*self.tasks)

    async def _inject(self):
        count = round(self.variant.share * len(self.engines))
        while True:
            self._set_fault(count, self.variant.fault)
            await asyncio.sleep(PERIOD_S / 2)
            if self.variant.periodic:
                self._set_fault(count, '')
            await asyncio.sleep(PERIOD_S / 2)

    def _set_fault(self, count, fault):
        for server in self.engines[:count]:
            server.fault = fault

    async def _disturb(self):
        """Kill, pause and restart processes, also several at once."""
        while True:
            disturb = self.rng.choice((self._kill, self._pause, self._kill))
            count = self.rng.choice((1, 1, len(self.system.programs) // 2))
            for _ in range(count):
                self._start_task(disturb())
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_FAULT_S))

    async def _call_for(self, seconds, load):
        loop = asyncio.get_running_loop()
        due_at, ends_at = loop.time(), loop.time() + seconds
        while due_at < ends_at:
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            kind = self.load_rng.choice(self.variant.paths)
            self._start_task(self._call(kind))
            due_at += self.load_rng.expovariate(load * self.capacity_per_s)

    async def _call(self, kind):
        self.sent_at.append(time.monotonic())
        await self._send_request(kind)

    def _check_response(self, kind, ident, target, body, response, data):
        if response.status in (429, 503):
            sent_at = self.sent_at[int(ident.partition('-')[2]) - 1]
            retry_after = response.headers.get('Retry-After')
            self.refusals.append((time.monotonic() - sent_at, retry_after))
        super()._check_response(kind, ident, target, body, response, data)

    async def _check_recovery(self):
        pass

    @property
    def repeats(self):
        """When repeats reached servers, in order."""
        return find_repeats(
            arrival
            for server in self.engines
            for arrival in server.arrivals_by_id
        )

    def lines(self):
        """Return lines that explain the figures."""
        usage = highest_usage(self.sent_at, self.repeats)
        by_second = collections.Counter(
            int(at - self.started_at) for at in self.repeats
        )
        attempts = collections.Counter(
            ident for s in self.engines for _, ident in s.arrivals_by_id
        )
        waits = [seconds for seconds, _ in self.refusals]
        told = collections.Counter(retry for _, retry in self.refusals)
        return [
            f'{usage.repeats} repeats of {usage.allowed:.0f} allowed in the '
            f'window from {usage.since - self.started_at:.1f} s, '
            f'{len(self.repeats)} in all',
            f'repeats by second: {dict(sorted(by_second.items()))}',
            f'{self.report.served} of {self.report.sent} served, '
            f'most arrivals of one request '
            f'{max(attempts.values(), default=0)}',
            f'{len(waits)} refusals, p50 {figures.percentile(waits, 0.5):.3f}'
            f', p95 {figures.percentile(waits):.3f} s, '
            f'Retry-After: {len(told)} values, '
            f'most common {told.most_common(3)}',
            *self.report.violations[:10],
        ]


async def play(seed, folder, variant, entries=9, seconds=18.0, load=0.0):
    """Play one variant; see :data:`VARIANTS`."""
    if load:
        variant = attrs.evolve(variant, load=load)
    with system.LoopbackNetwork() as network:
        retry_run = RetryRun(
            seed,
            folder,
            network.number,
            variant,
            entries=entries,
            seconds=seconds,
        )
        report = await retry_run.execute()
    usage = highest_usage(retry_run.sent_at, retry_run.repeats)
    waits = [waited for waited, _ in retry_run.refusals]
    checks = [
        figures.Check('retry budget used', usage.share, 1.0, at_least=False),
        figures.Check(
            'violated guarantees', len(report.violations), 0, at_least=False
        ),
    ]
    if variant.fault == 'shed' and variant.share == 1.0:
        checks.append(
            figures.Check(
                'p95 of refusals, s',
                figures.percentile(waits),
                MAX_REFUSAL_S,
                at_least=False,
            )
        )
    return result.Result(checks, retry_run.lines())
