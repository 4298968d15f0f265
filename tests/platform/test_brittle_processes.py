"""Brittle servers under more requests than they have room for."""

import asyncio

import pytest

from tests.platform.soak import brittle
from tests.platform.soak import fakes
from tests.platform.soak import run
from tests.platform.soak import system

ENTRIES = 6
SERVERS = 6
SLOTS = 4
TOLERATED = 4
WORK_S = 0.4
DOWN_S = 3.0
DURATION_S = 8.0
# All servers together may fall over this often.
ALLOWED_FALLS = 2 + 0.1 * SERVERS
# Of what the slots allow; the rest is the way to the servers and back.
MIN_SERVED_SHARE = 0.7
SPIKE_S = 0.5
FILL_S = 1.0


class BrittleRun(run.SoakRun):
    """Sends twice as many plain requests as brittle servers can do.

    :param path: path of the requests' route.
    :param spikes: send four times as many, half of the time.
    :param work_s: how long a request runs.
    """

    def __init__(self, folder, network_number, path, spikes, work_s=WORK_S):
        super().__init__(1, folder, network_number, DURATION_S)
        self.path = path
        self.spikes = spikes
        self.capacity_per_s = SERVERS * SLOTS / work_s
        self.engines = [
            brittle.BrittleEngine(
                's-desk',
                f'zone-{n % 3}',
                self.observations,
                self.rng,
                slots=SLOTS,
                tolerated=TOLERATED,
                work_s=work_s,
                down_s=DOWN_S,
            )
            for n in range(SERVERS)
        ]

    def _make_system(self, *arguments):
        return system.System(*arguments, entry_count=ENTRIES)

    async def _run_with_faults(self):
        # Each entry learns of it from an answer.
        for _ in range(30):
            self._start_task(self._send_request(self.path))
            await asyncio.sleep(0.05)
        for engine in self.engines:
            engine.fallen = 0
        # The slots are in use when the count begins.
        await self._send_load(FILL_S)
        served_before = self.report.served
        await self._send_load(DURATION_S)
        self.falls = sum(engine.fallen for engine in self.engines)
        self.served = self.report.served - served_before

    async def _send_load(self, seconds):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while loop.time() < started_at + seconds:
            elapsed_s = loop.time() - started_at
            if self.spikes and elapsed_s % (2 * SPIKE_S) > SPIKE_S:
                await asyncio.sleep(0.01)
                continue
            rate = self.capacity_per_s * (4 if self.spikes else 2)
            self._start_task(self._send_request(self.path))
            await asyncio.sleep(self.rng.expovariate(rate))

    async def _check_recovery(self):
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.mark.parametrize('path', [fakes.SAFE_PATH, fakes.UNSAFE_PATH])
@pytest.mark.parametrize('spikes', [False, True])
async def test_brittle_servers_get_no_more_than_they_have_room_for(
    tmp_path, path, spikes
):
    # Guards against servers that fall over for the requests they reject.
    with system.LoopbackNetwork() as network:
        brittle_run = BrittleRun(tmp_path, network.number, path, spikes)
        report = await brittle_run.execute()
    possible = brittle_run.capacity_per_s * DURATION_S
    served = brittle_run.served
    print(f'{brittle_run.falls=} {served=} {report.sent=} {possible=}')
    assert report.violations == []
    assert brittle_run.falls <= ALLOWED_FALLS
    assert served >= MIN_SERVED_SHARE * possible
