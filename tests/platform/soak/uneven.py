"""Servers of different speeds and pace, compared with equal ones."""

import asyncio
import random
import time

import attrs

from tests.platform.soak import fakes
from tests.platform.soak import figures
from tests.platform.soak import loadrun
from tests.platform.soak import result
from tests.platform.soak import run
from tests.platform.soak import serial
from tests.platform.soak import system

SLOW_SPEED, FAST_SPEED = 0.55, 1.2
ENGINES, SERVERS, SLOTS = 8, 4, 6
MAX_ON_TIME_LOSS = 0.02
MAX_P95_RATIO = 1.2
BUILD_UP_S = 2.0
# Mean speed while the pace varies, as a share of the normal one.
PACED_SHARE = 1 - serial.SLOW_SHARE * (1 - 1 / serial.SLOW_PACE)


@attrs.frozen
class Variant:
    """Servers with a sum of speeds.

    :param mixed: whether they have different speeds.
    :param slowed: whether they are slower by the mean of a varying pace.
    :param reference: name of the equal servers of the same total speed.
    """

    name: str
    reference: str = ''
    mixed: bool = False
    slowed: bool = False
    varies: bool = False
    announces_pace: bool = True

    def speeds(self, count):
        """Return the speeds of a number of servers."""
        slow = count // 2
        speeds = [SLOW_SPEED] * slow + [FAST_SPEED] * (count - slow)
        if not self.mixed:
            speeds = [sum(speeds) / count] * count
        share = PACED_SHARE if self.slowed else 1.0
        return tuple(share * speed for speed in speeds)

    def load(self, load):
        """Return the load relative to the speeds at a normal pace."""
        return load * (PACED_SHARE if self.varies else 1.0)


VARIANTS = (
    Variant('equal'),
    Variant('different speeds', 'equal', mixed=True),
    Variant('equal and slower', slowed=True),
    Variant('pace announced', 'equal and slower', varies=True),
    Variant(
        'pace not announced',
        'equal and slower',
        varies=True,
        announces_pace=False,
    ),
)


async def play_engines(seed, folder, entries=6, seconds=18.0, load=0.7):
    """Streams on engines of different speeds and pace."""
    results = {}
    for variant in VARIANTS:
        plan = loadrun.LoadPlan(
            load=variant.load(load),
            seconds=seconds,
            entries=entries,
            speeds=variant.speeds(ENGINES),
            varies=variant.varies,
            announces_pace=variant.announces_pace,
            priorities={1: 1.0},
        )
        subfolder = folder / variant.name.replace(' ', '-')
        results[variant.name] = await result.play(seed, subfolder, plan)
    checks, lines = [], []
    for variant in VARIANTS:
        load_run = results[variant.name]
        lines += [f'{variant.name}:', *result.lines(load_run)]
        checks += result.truth_checks(load_run)
        if not variant.reference:
            continue
        equal = results[variant.reference]
        checks += [
            figures.Check(
                f'{variant.name}: on time',
                figures.on_time_share(load_run.counted),
                figures.on_time_share(equal.counted) - MAX_ON_TIME_LOSS,
            ),
            figures.Check(
                f'{variant.name}: tokens in vain',
                load_run.tokens_in_vain,
                equal.tokens_in_vain,
                at_least=False,
            ),
        ]
    return result.Result(checks, lines)


class PlainRun(run.SoakRun):
    """Sends plain requests to servers with slots.

    :ivar response_times: of the requests that count, in seconds.
    """

    def __init__(self, seed, folder, network_number, variant, **options):
        super().__init__(seed, folder, network_number, options['seconds'])
        self.entry_count = options['entries']
        self.load_rng = random.Random(f'load {seed}')
        self.pace_rng = random.Random(f'pace {seed}')
        self.variant = variant
        self.engines = [
            serial.SlotServer(
                's-desk',
                f'zone-{n % 3}',
                self.observations,
                self.rng,
                slots=SLOTS,
                speed=speed,
            )
            for n, speed in enumerate(variant.speeds(SERVERS))
        ]
        rate = sum(SLOTS / server.service_s for server in self.engines)
        self.requests_per_s = rate * variant.load(options['load'])
        for server in self.engines:
            server.announces_pace = variant.announces_pace
        self.response_times = []

    def _make_system(self, *arguments):
        return system.System(*arguments, entry_count=self.entry_count)

    async def _run_with_faults(self):
        varied = self.engines if self.variant.varies else []
        pace = asyncio.ensure_future(serial.vary_pace(varied, self.pace_rng))
        await self._call_for(BUILD_UP_S, [])
        await self._call_for(self.seconds, self.response_times)
        await asyncio.gather(*self.tasks)
        pace.cancel()

    async def _call_for(self, seconds, response_times):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self._start_task(self._time(response_times))
            await asyncio.sleep(self.load_rng.expovariate(self.requests_per_s))

    async def _time(self, response_times):
        started_at = time.monotonic()
        kind = self.load_rng.choice((fakes.SAFE_PATH, fakes.UNSAFE_PATH))
        await self._send_request(kind)
        response_times.append(time.monotonic() - started_at)

    async def _check_recovery(self):
        pass


async def play_servers(seed, folder, entries=6, seconds=18.0, load=0.7):
    """Plain requests on four servers of six slots."""
    checks, lines, p95s = [], [], {}
    for variant in VARIANTS:
        subfolder = folder / variant.name.replace(' ', '-')
        subfolder.mkdir()
        with system.LoopbackNetwork() as network:
            plain_run = PlainRun(
                seed,
                subfolder,
                network.number,
                variant,
                entries=entries,
                seconds=seconds,
                load=load,
            )
            report = await plain_run.execute()
        p95_s = figures.percentile(plain_run.response_times)
        p95s[variant.name] = p95_s
        lines.append(
            f'{variant.name}: p95 {p95_s:.3f} s, '
            f'{report.served} of {report.sent} served'
        )
        checks.append(
            figures.Check(
                f'{variant.name}: violated guarantees',
                len(report.violations),
                0,
                at_least=False,
            )
        )
        if variant.reference:
            checks.append(
                figures.Check(
                    f'{variant.name}: p95, s',
                    p95_s,
                    MAX_P95_RATIO * p95s[variant.reference],
                    at_least=False,
                )
            )
    return result.Result(checks, lines)
