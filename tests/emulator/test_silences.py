"""Engines that stand still for a time and go on, on emulated time."""

import asyncio

import pytest

from bulrushhold import emulator

ENGINES = 12
ENTRIES = 10
SILENT_S = 1.5
SILENCES_AT_S = (4.0, 7.0, 10.0)
WORKLOAD = emulator.Workload(streams_per_s=3.1, duration_s=12.0)


async def simulate(seed):
    """Return streams that weren't completed, and tokens read in vain."""
    profiles = [emulator.EngineProfile()] * ENGINES
    system = emulator.System(profiles, ENTRIES, seed)
    loop = asyncio.get_running_loop()
    for at in SILENCES_AT_S:
        for engine in system.engines.values():
            loop.call_later(at, engine.fall_silent, SILENT_S)
    outcomes = await system.simulate(WORKLOAD)
    prompts = {}
    for engine in system.engines.values():
        prompts |= engine.cached_segments
    tokens = sum(engine.tokens_read for engine in system.engines.values())
    lost = sum(not outcome.completed for outcome in outcomes)
    return lost, tokens - sum(prompts.values())


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_streams_wait_where_all_engines_are_silent(seed):
    """Guards against streams that are lost, or read anew, for a silence."""
    assert emulator.run(simulate(seed)) == (0, 0)
