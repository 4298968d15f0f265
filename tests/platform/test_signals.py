"""Tests of signals that reach a process at an inconvenient time."""

import pathlib
import signal
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[2]
# Stops where the program would import its first own module.
STOP_AT_IMPORT = """
import runpy, signal, sys
class Finder:
    def find_spec(self, name, path, target=None):
        if name == 'adapter':
            print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
            sys.exit(0)
sys.meta_path.insert(0, Finder())
sys.argv = ['platform/run.py', 'entry']
runpy.run_path('platform/run.py', run_name='__main__')
"""
# Receives the signal with its event loop closed.
AFTER_LOOP = """
import asyncio, os, signal
from bulrushhold.composition import _background
async def main():
    _background.handle_stop_signals(lambda: None)
    os.kill(os.getpid(), signal.SIGHUP)
    await asyncio.sleep(0.01)
asyncio.run(main())
os.kill(os.getpid(), signal.SIGHUP)
"""


@pytest.mark.parametrize(
    ('program', 'output'), [(STOP_AT_IMPORT, 'True\n'), (AFTER_LOOP, '')]
)
def test_sighup_does_not_end_a_process_that_starts_or_ends(program, output):
    # Guards against processes that end as their settings change meanwhile.
    done = subprocess.run(
        [sys.executable, '-c', program],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert done.returncode != -signal.SIGHUP
    assert done.stdout == output
