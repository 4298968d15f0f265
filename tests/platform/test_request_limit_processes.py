"""Request limits of servers, kept by real processes together."""

import asyncio
import signal

import pytest

from tests.platform.soak import fakes
from tests.platform.soak import run
from tests.platform.soak import system

DURATION_S = 9.0
REQUESTS_PER_S = 40
LIMIT_PER_S = 2.6
AGREEMENT_S = 3.0
WINDOW_S = 4.0
ALLOWED = 1.5 * WINDOW_S * LIMIT_PER_S + 5


class LimitRun(run.SoakRun):
    """Calls a plain service some of whose servers name a request limit.

    :param limited: number of servers with a limit.
    :param disturb: called once with this run, after the agreement.
    """

    def __init__(self, folder, network_number, limited, disturb=None):
        super().__init__(1, folder, network_number, DURATION_S)
        servers = [e for e in self.engines if e.service == 's-desk']
        self.limited = servers[:limited]
        self.disturb = disturb

    async def _run_with_faults(self):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for engine in self.limited:
            engine.limit = LIMIT_PER_S
        if self.disturb is not None:
            loop.call_later(AGREEMENT_S, self.disturb, self)
        while loop.time() < started_at + DURATION_S:
            self._start_task(self._send_request(fakes.UNSAFE_PATH))
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S))
        self.highest_counts = [
            engine.highest_count(started_at + AGREEMENT_S, WINDOW_S)
            for engine in self.limited
        ]
        self.served_under_limit = self.report.served
        for engine in self.limited:
            engine.limit = None
        # Time for the entries to learn that the limits have ended.
        await asyncio.sleep(1.0)


def kill_relay(limit_run):
    programs = limit_run.system.programs_with_role('control')
    limit_run.system.signal(programs[-1], signal.SIGKILL)


@pytest.fixture
def run_limits(tmp_path):
    async def run_one(**options):
        with system.LoopbackNetwork() as network:
            limit_run = LimitRun(tmp_path, network.number, **options)
            report = await limit_run.execute()
        assert report.violations == []
        return limit_run

    return run_one


@pytest.mark.parametrize('limited', [1, 3])
async def test_entries_keep_a_request_limit_together(run_limits, limited):
    # Guards against a limit that entries ignore, or that each keeps alone.
    limit_run = await run_limits(limited=limited)
    assert max(limit_run.highest_counts) <= ALLOWED
    if limited == 1:
        assert limit_run.served_under_limit > 0.95 * limit_run.report.sent - 20


async def test_a_request_limit_holds_as_a_control_process_is_killed(
    run_limits,
):
    limit_run = await run_limits(limited=3, disturb=kill_relay)
    assert max(limit_run.highest_counts) <= ALLOWED
