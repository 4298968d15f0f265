"""Tests of signals that stop a process early, twice or late."""

import asyncio
import os
import signal
import subprocess
import sys

import pytest

from bulrushhold import composition
from bulrushhold.composition import _entry

# Receives the signal with its event loop closed.
AFTER_LOOP = """
import asyncio, os, signal, sys
from bulrushhold.composition import _background
async def main():
    _background.handle_stop_signals(lambda: None)
asyncio.run(main())
os.kill(os.getpid(), int(sys.argv[1]))
"""
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
pytestmark = pytest.mark.usefixtures('restored_signals')


@pytest.mark.parametrize('signal_number', STOP_SIGNALS)
def test_a_signal_at_the_very_end_does_not_look_like_a_crash(signal_number):
    # Guards against a drained process whose exit status is a signal's.
    done = subprocess.run(
        [sys.executable, '-c', AFTER_LOOP, str(int(signal_number))],
        capture_output=True,
        timeout=30,
    )
    assert done.returncode == 0


class FakeProcess:
    """Records the calls of an entry's life; starts and drains slowly."""

    def __init__(self, config):
        self.calls = []
        self.drained = False
        FakeProcess.last = self

    async def start(self):
        self.calls.append('start')
        await asyncio.sleep(0.2)

    async def drain(self):
        self.calls.append('drain')
        await asyncio.sleep(0.6)
        self.drained = True

    async def close(self):
        self.calls.append('close')


@pytest.fixture
async def run(monkeypatch):
    monkeypatch.setattr(_entry, 'EntryProcess', FakeProcess)
    task = asyncio.ensure_future(composition.run_entry(None))
    await asyncio.sleep(0.05)
    return task


def send(*signal_numbers):
    for number in signal_numbers:
        os.kill(os.getpid(), number)


async def test_a_signal_during_the_start_drains_the_entry(run):
    # Guards against a start that is left half done.
    send(signal.SIGTERM)
    await run
    assert FakeProcess.last.calls == ['start', 'drain', 'close']
    assert FakeProcess.last.drained


@pytest.mark.parametrize('delay_s', [0.0, 0.3])
async def test_signals_that_come_together_end_no_drain(run, delay_s):
    # Guards against streams that are cut as a supervisor and its process
    # group both pass a signal on.
    await asyncio.sleep(delay_s)
    send(*STOP_SIGNALS, signal.SIGTERM)
    await run
    assert FakeProcess.last.drained


async def test_a_later_signal_ends_the_drain(run, monkeypatch):
    monkeypatch.setattr(_entry, 'SIGNAL_BURST_S', 0.1)
    await asyncio.sleep(0.3)
    send(signal.SIGTERM)
    await asyncio.sleep(0.3)
    send(signal.SIGTERM)
    await run
    assert FakeProcess.last.calls == ['start', 'drain', 'close']
    assert not FakeProcess.last.drained
