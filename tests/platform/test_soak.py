"""Short soak runs with fixed seeds; add each seed that fails."""

import asyncio
import socket
import subprocess
import sys

import pytest

from tests.platform.soak import contended
from tests.platform.soak import largemaps
from tests.platform.soak import netfault
from tests.platform.soak import system

DURATION_S = 4.0
LARGE_MAP_S = 8.0


@pytest.mark.parametrize('seed', [1, 2])
async def test_guarantees_hold_while_processes_and_connections_fail(
    tmp_path, seed
):
    # Guards against mixed-up or truncated responses, duplicate runs of
    # non-idempotent requests, false refusals, loss of an acknowledged route
    # map, and requests that still fail after the faults have ended.
    with system.LoopbackNetwork() as network:
        report = await contended.ContendedSoakRun(
            seed, tmp_path, network.number, DURATION_S
        ).execute()
    assert report.violations == []
    assert report.served > 20


async def test_large_route_maps_survive_kills_in_their_writes(tmp_path):
    # Guards against control processes that hang at their start as a record of
    # their log is incomplete, and don't return what was acknowledged.
    with system.LoopbackNetwork() as network:
        report = await largemaps.LargeMapSoakRun(
            1, tmp_path, network.number, LARGE_MAP_S
        ).execute()
    assert report.violations == []
    assert report.served > 20


def test_concurrent_runs_use_separate_networks():
    """Guards against concurrent runs that bind the same addresses."""
    with system.LoopbackNetwork() as one, system.LoopbackNetwork() as other:
        assert one.number != other.number


def test_processes_of_a_killed_run_keep_their_network():
    """Guards against a run whose callers reach processes of another."""
    with system.LoopbackNetwork() as network:
        number = network.number
    port = system.first_port(number) + system.INTERNAL_PORT
    with socket.socket() as left_over:
        left_over.bind((f'127.0.{number}.1', port))
        left_over.listen()
        with system.LoopbackNetwork() as network:
            assert network.number != number


async def test_waiting_for_an_exit_ends_if_the_program_was_restarted(tmp_path):
    """Guards against a run that waits for ever for the new process."""

    def start(seconds):
        command = f'import time; time.sleep({seconds})'
        return subprocess.Popen([sys.executable, '-c', command])

    with system.LoopbackNetwork() as network:
        deployed = system.System(tmp_path, '127.0.0.1:1', network.number)
    program = deployed.programs[0]
    program.process = first = start(30)
    wait = asyncio.ensure_future(deployed.wait_for_exit(program))
    await asyncio.sleep(0.1)
    first.kill()
    first.wait()
    program.process = second = start(30)
    try:
        async with asyncio.timeout(2.0):
            await wait
    finally:
        second.kill()
        second.wait()


def test_entries_run_the_code_of_their_own_tree(tmp_path):
    """Guards against entries that run an environment's copy of the code."""
    other = tmp_path / 'other' / 'bulrushhold'
    other.mkdir(parents=True)
    (other / '__init__.py').write_text("raise SystemExit('other tree')")
    settings = tmp_path / 'entry.toml'
    ended = subprocess.run(
        [sys.executable, netfault.__file__, 'entry'],
        env={
            'BULRUSHHOLD_NODE_FILE': str(settings),
            'SOAK_ENTRY_IP': '127.0.0.1',
            'PYTHONPATH': str(other.parent),
        },
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert 'other tree' not in ended.stderr
    # It ends as it has no settings, not before.
    assert netfault.started_file(settings).exists()
    assert str(settings) in ended.stderr
