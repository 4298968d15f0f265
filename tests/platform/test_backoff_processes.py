"""Servers that want no requests for a time, and real processes."""

import asyncio

import pytest

from tests.platform.soak import fakes
from tests.platform.soak import run
from tests.platform.soak import system

DURATION_S = 6.0
REQUESTS_PER_S = 40
BACKOFF_S = 30.0
# For each entry the request that is turned away, and two on their way.
ALLOWED = 3 * system.ENTRY_COUNT


class BackoffRun(run.SoakRun):
    """Calls a plain service some of whose servers turn requests away."""

    def __init__(self, folder, network_number, resting):
        super().__init__(1, folder, network_number, DURATION_S)
        servers = [e for e in self.engines if e.service == 's-desk']
        self.resting = servers[:resting]

    async def _run_with_faults(self):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for engine in self.resting:
            engine.arrivals.clear()
            engine.backoff_s = BACKOFF_S
        while loop.time() < started_at + DURATION_S:
            self._start_task(self._send_request(fakes.UNSAFE_PATH))
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S))
        self.arrivals = [len(engine.arrivals) for engine in self.resting]

    async def _check_recovery(self):
        # The servers still rest; what is left to check are the answers.
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.mark.parametrize('resting', [1, 3])
async def test_entries_leave_a_server_alone_that_wants_no_requests(
    tmp_path, resting
):
    # Guards against retries and new requests to a server that wants none.
    with system.LoopbackNetwork() as network:
        backoff_run = BackoffRun(tmp_path, network.number, resting)
        report = await backoff_run.execute()
    assert report.violations == []
    assert max(backoff_run.arrivals) <= ALLOWED
    if resting == 1:
        assert report.served > 0.95 * report.sent - 20
