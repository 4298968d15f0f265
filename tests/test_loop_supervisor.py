"""Tests of the loops that run as long as their process."""

import asyncio

import pytest
import pytest_asyncio

from bulrushhold import composition
from bulrushhold.composition import _background
from bulrushhold import node


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


class FailingLoop:
    """Raises as often as it is told, then runs until cancelled."""

    def __init__(self, failures, clock=None, step_s=0.0):
        self.failures = failures
        self.clock = clock
        self.step_s = step_s
        self.starts = 0
        self.running = asyncio.Event()

    async def run(self):
        self.starts += 1
        if self.clock is not None:
            self.clock.now += self.step_s
        if self.starts <= self.failures:
            raise ValueError('unexpected')
        self.running.set()
        await asyncio.sleep(60)


@pytest.fixture
def metrics():
    return node.make_prometheus_metrics('test_loops')


@pytest.fixture
def clock():
    return Clock()


@pytest_asyncio.fixture
async def supervisor(metrics, clock, monkeypatch):
    monkeypatch.setattr(_background, 'RESTART_DELAY_S', 0.0)
    supervisor = composition.LoopSupervisor(metrics, clock)
    yield supervisor
    await supervisor.close()


async def test_a_loop_that_raised_goes_on(supervisor):
    # Guards against a process that runs on without one of its loops.
    loop = FailingLoop(failures=1)
    supervisor.start('control', loop.run)
    async with asyncio.timeout(2):
        await loop.running.wait()
    assert loop.starts == 2


async def test_one_error_does_not_make_a_process_unready(supervisor, metrics):
    # Guards against entries that all leave for one input that failed once.
    loop = FailingLoop(failures=1)
    supervisor.start('control', loop.run)
    await loop.running.wait()
    assert supervisor.failing == []
    assert b'test_loops_loops_failed_total{loop="control"} 1' in metrics.text()


async def test_a_loop_that_fails_again_shows_until_it_has_recovered(
    supervisor, clock
):
    # Guards against a loop that fails at each start, unnoticed.
    loop = FailingLoop(failures=3)
    supervisor.start('control', loop.run)
    await loop.running.wait()
    assert supervisor.failing == ['control']
    clock.now += _background.RECOVERY_S
    assert supervisor.failing == []


async def test_failures_are_logged_at_a_bounded_rate(
    supervisor, clock, log_records
):
    # Guards against logs that one bad input fills.
    loop = FailingLoop(failures=100, clock=clock, step_s=0.25)
    supervisor.start('control', loop.run)
    await loop.running.wait()
    lines = [fields for fields in log_records if 'loop' in fields]
    assert [line['loop'] for line in lines] == ['control'] * 3
    # One at once, then 40 in each interval.
    assert [line['failures'] for line in lines] == [1, 40, 40]


async def test_closing_ends_all_loops(supervisor):
    loop = FailingLoop(failures=0)
    task = supervisor.start('control', loop.run)
    await loop.running.wait()
    await supervisor.close()
    assert task.cancelled()
