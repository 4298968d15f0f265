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

    :param slow: number of slow ones; all are equal if there is none.
    """

    name: str
    slow: int = 0
    varies: bool = False
    announces_pace: bool = True

    def speeds(self, count):
        """Return the speeds of a number of servers.

        Those that never vary are slower by the mean of those that do.
        """
        slow = count // 2
        mixed = [SLOW_SPEED] * slow + [FAST_SPEED] * (count - slow)
        if self.slow:
            return tuple(mixed)
        mean = sum(mixed) / count
        return (mean,) * count


# Each is compared with the first; the last two have less capacity, so that
# their load is less, too.
VARIANTS = (
    Variant('equal'),
    Variant('different speeds', slow=1),
    Variant('pace announced', varies=True),
    Variant('pace not announced', varies=True, announces_pace=False),
)


def _scaled(load, variant):
    return load * (PACED_SHARE if variant.varies else 1.0)


async def play_engines(seed, folder, entries=6, seconds=18.0, load=0.7):
    """Streams on engines of different speeds and pace."""
    results = {}
    for variant in VARIANTS:
        plan = loadrun.LoadPlan(
            load=_scaled(load, variant),
            seconds=seconds,
            entries=entries,
            speeds=variant.speeds(ENGINES),
            varies=variant.varies,
            announces_pace=variant.announces_pace,
            priorities={1: 1.0},
        )
        subfolder = folder / variant.name.replace(' ', '-')
        results[variant] = await result.play(seed, subfolder, plan)
    equal = results[VARIANTS[0]]
    checks, lines = [], []
    for variant, load_run in results.items():
        lines += [f'{variant.name}:', *result.lines(load_run)]
        checks += result.truth_checks(load_run)
        if load_run is equal:
            continue
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
        self.requests_per_s = rate * _scaled(options['load'], variant)
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
    checks, lines, equal_s = [], [], None
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
        equal_s = equal_s or p95_s
        checks.append(
            figures.Check(
                f'{variant.name}: p95, s',
                p95_s,
                MAX_P95_RATIO * equal_s,
                at_least=False,
            )
        )
    return result.Result(checks, lines)
