"""Rollouts with real processes, ordered through the platform's API."""

import asyncio
import contextlib
import signal
import time

import aiohttp
import pytest

from tests.platform.soak import fakes
from tests.platform.soak import run
from tests.platform.soak import system

DURATION_S = 8.0
REQUESTS_PER_S = 60
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50


class RolloutRun(run.SoakRun):
    """Rolls out version v2 of the plain service while callers use it.

    :param error_rate: share of requests that version v2 fails.
    :param disturb: called once with this run, a third into the rollout.
    """

    def __init__(self, folder, network_number, error_rate, disturb=None):
        super().__init__(1, folder, network_number, DURATION_S)
        self.new_engines = [
            fakes.Engine(
                's-desk', f'zone-{n}', self.observations, self.rng, 'v2'
            )
            for n in range(run.PLAIN_SERVERS)
        ]
        for engine in self.new_engines:
            engine.error_rate = error_rate
        self.engines += self.new_engines
        self.disturb = disturb
        self.state = ''
        self.ended_after_s = None

    async def _run_with_faults(self):
        await self._order_until_acknowledged()
        started_at = time.monotonic()
        watch = asyncio.ensure_future(self._watch_state(started_at))
        if self.disturb is not None:
            delay = DURATION_S / 3
            asyncio.get_running_loop().call_later(delay, self.disturb, self)
        while time.monotonic() < started_at + DURATION_S:
            self._start_task(self._send_request(fakes.SAFE_PATH))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await watch
        # Read the outcome once more at each process.
        self.states = {
            await self._read_state(program)
            for program in self.system.programs_with_role('control')
        }

    async def _order(self, program, **changes):
        url = self.system.url(
            program, 'control', '/bulrushhold/Rollouts.Start'
        )
        order = {'service': 's-desk', 'target': 'v2', 'duration-s': DURATION_S}
        with contextlib.suppress(*run._CONNECTION_ERRORS):
            async with self.session.post(
                url, json={**order, **changes}
            ) as response:
                return response.status
        return 0

    async def _order_until_acknowledged(self):
        async with asyncio.timeout(20):
            for program in self.system.programs_with_role('control'):
                # The same order is acknowledged at each process.
                while await self._order(program) != 200:
                    await asyncio.sleep(0.1)
                assert await self._order(program, target='v3') == 409
                assert await self._order(program, target='') == 400

    async def _read_state(self, program):
        url = self.system.url(
            program, 'control', '/bulrushhold/Rollouts.Get/s-desk'
        )
        timeout = aiohttp.ClientTimeout(total=4.0)
        with contextlib.suppress(*run._CONNECTION_ERRORS):
            async with self.session.get(url, timeout=timeout) as response:
                if response.status == 200:
                    return (await response.json())['state']
        return ''

    async def _watch_state(self, started_at):
        while time.monotonic() < started_at + DURATION_S + 4.0:
            program = self.rng.choice(
                self.system.programs_with_role('control')
            )
            state = await self._read_state(program)
            if state not in ('', 'running'):
                self.state = state
                self.ended_after_s = time.monotonic() - started_at
                return
            await asyncio.sleep(0.1)

    def count_requests(self, version):
        return sum(
            engine.plain_requests
            for engine in self.engines
            if engine.service == 's-desk' and engine.version == version
        )


def kill_control(rollout):
    program = rollout.system.programs_with_role('control')[0]
    rollout.system.signal(program, signal.SIGKILL)


@pytest.fixture
def run_rollout(tmp_path):
    async def run_one(**options):
        with system.LoopbackNetwork() as network:
            rollout = RolloutRun(tmp_path, network.number, **options)
            report = await rollout.execute()
        assert report.violations == []
        return rollout

    return run_one


async def test_a_good_version_takes_over_all_requests(run_rollout):
    rollout = await run_rollout(error_rate=0.0)
    assert rollout.state == 'succeeded'
    assert rollout.states == {'succeeded'}
    assert rollout.ended_after_s <= DURATION_S
    assert rollout.count_requests('v2') > 0


async def test_a_failing_version_is_rolled_back(run_rollout):
    rollout = await run_rollout(error_rate=0.5)
    assert rollout.state == 'rolled_back'
    assert rollout.states == {'rolled_back'}
    exposed = rollout.count_requests('v2')
    received = exposed + rollout.count_requests(fakes.DEFAULT_VERSION)
    assert exposed <= EXPOSURE_SHARE * received + EXPOSURE_SLACK


async def test_a_rollout_survives_a_killed_control_process(run_rollout):
    # The first process bootstraps the log, and is most likely the leader.
    rollout = await run_rollout(error_rate=0.0, disturb=kill_control)
    assert rollout.state == 'succeeded'
