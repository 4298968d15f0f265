"""Requests that crash engines, callers that repeat them, real processes."""

import asyncio
import contextlib
import signal

import aiohttp
import pytest

from tests.platform.soak import fakes
from tests.platform.soak import poison
from tests.platform.soak import run
from tests.platform.soak import system

DURATION_S = 8.0
ENGINES = 18
STREAMS_PER_S = 8
# Each caller repeats its request at once, or as it is told, but in this time.
REPEAT_S = 0.2
MAX_REPEAT_S = 5.0
# After a request has crashed this many engines, it may be sent this often once
# entries have had time to learn of it.
CRASHES = 3
CONTACT_S = 3.0
ALLOWED = 3
MAX_CRASHES = 5
MIN_SERVED_SHARE = 0.99
# Long enough for a process to serve again before the next one is killed.
RESTARTS_AFTER_S = 2.0
RESTART_INTERVAL_S = 1.2


class PoisonRun(run.SoakRun):
    """Streams of callers, beside others that repeat a poison request.

    :param kind: path of the poison request's route.
    :param texts: number of different poison requests.
    :param callers: number of callers of each of them.
    :param interval_s: time between the first requests of two callers.
    :param restarts: roles whose processes are killed and started one after
        the other.
    :param engine_options: attributes of all engines.
    """

    def __init__(
        self,
        folder,
        network_number,
        kind=fakes.STREAM_PATH,
        texts=1,
        callers=1,
        interval_s=0.0,
        restarts=(),
        **engine_options,
    ):
        super().__init__(1, folder, network_number, DURATION_S)
        self.engines = [
            fakes.Engine(service, f'zone-{n % 3}', self.observations, self.rng)
            for service, count in (('s-model', ENGINES), ('s-desk', 12))
            for n in range(count)
        ]
        for engine in self.engines:
            for name, value in engine_options.items():
                setattr(engine, name, value)
        self.paths = [f'{kind}{fakes.POISON}-{n}' for n in range(texts)]
        self.callers = callers
        self.interval_s = interval_s
        self.restarts = restarts
        self.answers = []
        self.refused_poison = set()

    async def _run_with_faults(self):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await asyncio.sleep(1.0)
        repeats = [
            asyncio.ensure_future(self._repeat(path, number))
            for path in self.paths
            for number in range(self.callers)
        ]
        restart = asyncio.ensure_future(self._restart_in_turn())
        innocents = []
        while loop.time() < started_at + DURATION_S:
            innocents.append(
                asyncio.ensure_future(self._send_request(fakes.STREAM_PATH))
            )
            await asyncio.sleep(self.rng.expovariate(STREAMS_PER_S))
        await asyncio.gather(*innocents, restart)
        for repeat in repeats:
            repeat.cancel()

    async def _restart_in_turn(self):
        await asyncio.sleep(RESTARTS_AFTER_S)
        for role in self.restarts:
            for program in self.system.programs_with_role(role):
                self.system.signal(program, signal.SIGKILL)
                await self.system.wait_for_exit(program)
                self.system.start(program)
                await asyncio.sleep(RESTART_INTERVAL_S)

    def _make_route_map(self, version):
        route_map = super()._make_route_map(version)
        # Streams may wait in the queues of these engines.
        route_map['routes'][0]['target-latency-ms'] = 4500
        return route_map

    async def _check_recovery(self):
        # The answers and what reached the engines are checked.
        pass

    async def _repeat(self, path, number):
        await asyncio.sleep(number * self.interval_s)
        name = f'{path[1:]}-{number}'
        attempt = 0
        while True:
            attempt += 1
            entry = self.rng.choice(self.system.programs_with_role('entry'))
            ident = f'{name}-{attempt}'.replace('/', '')
            pause_s = REPEAT_S
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with poison.post(
                    self.session, self.system, entry, path, ident, run.API_KEY
                ) as response:
                    await response.read()
                    self.answers.append((path, response.status))
                    if response.status == 503:
                        self.refused_poison.add(ident)
                    pause_s = float(
                        response.headers.get('Retry-After', REPEAT_S)
                    )
            await asyncio.sleep(min(pause_s, MAX_REPEAT_S))


@pytest.fixture
def run_poison(tmp_path):
    async def run_one(**options):
        with system.LoopbackNetwork() as network:
            poison_run = PoisonRun(tmp_path, network.number, **options)
            await poison_run.execute()
        assert poison_run.report.violations == []
        # A refusal promises that the request has not run.
        runs = poison_run.observations.poison_runs
        assert not runs & poison_run.refused_poison
        return poison_run

    return run_one


def check_late_arrivals(poison_run):
    observations = poison_run.observations
    for path in poison_run.paths:
        assert observations.poison_arrivals[path]
        late = observations.count_late_arrivals(path, CRASHES, CONTACT_S)
        assert late <= ALLOWED


def check_served(poison_run):
    report = poison_run.report
    assert report.served >= MIN_SERVED_SHARE * report.sent


async def test_accepted_streams_of_a_poison_request_are_not_sent_on(
    run_poison,
):
    # Guards against a block that only new requests ask for.
    poison_run = await run_poison(
        callers=12, interval_s=0.25, queue_s=1.5, down_s=3.0
    )
    check_late_arrivals(poison_run)
    crashes = poison_run.observations.poison_crashes
    assert all(len(times) <= MAX_CRASHES for times in crashes.values())
    check_served(poison_run)


async def test_crashes_of_engines_that_are_back_at_once_count(run_poison):
    # Guards against a new instance at the address that hides the crash.
    check_late_arrivals(await run_poison(callers=12))


@pytest.mark.parametrize('kind', [fakes.SAFE_PATH, fakes.UNSAFE_PATH])
async def test_plain_requests_that_crash_servers_are_blocked(run_poison, kind):
    # Guards against crashes that only streams record.
    check_late_arrivals(await run_poison(kind=kind, callers=12, down_s=2.0))


@pytest.mark.parametrize('restarts', [['entry'], ['control', 'entry']])
async def test_a_block_outlives_the_restart_of_all_processes_in_turn(
    run_poison, restarts
):
    # Guards against entries that know of no block after their restart.
    poison_run = await run_poison(callers=12, down_s=2.0, restarts=restarts)
    check_late_arrivals(poison_run)
