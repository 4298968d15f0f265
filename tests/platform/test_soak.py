"""Short soak runs with fixed seeds; add each seed that fails."""

import pytest

from tests.platform.soak import run
from tests.platform.soak import system

DURATION_S = 4.0


@pytest.mark.parametrize('seed', [1, 2])
async def test_guarantees_hold_while_processes_and_connections_fail(
    tmp_path, seed
):
    # Guards against mixed-up or truncated responses, duplicate runs of
    # non-idempotent requests, false refusals, loss of an acknowledged route
    # map, and requests that still fail after the faults have ended.
    with system.LoopbackNetwork() as network:
        report = await run.SoakRun(
            seed, tmp_path, network.number, DURATION_S
        ).execute()
    assert report.violations == []
    assert report.served > 20


def test_concurrent_runs_use_separate_networks():
    """Guards against concurrent runs that bind the same addresses."""
    with system.LoopbackNetwork() as one, system.LoopbackNetwork() as other:
        assert one.number != other.number
