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


async def lost_after_silence(seed):
    """Return the engines that count as lost at all entries, by second."""
    profiles = [emulator.EngineProfile()] * ENGINES
    system = emulator.System(profiles, ENTRIES, seed)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    for engine in list(system.engines.values())[::2]:
        loop.call_later(4.0, engine.fall_silent, SILENT_S)
    lost = {}

    def count(second):
        lost[second] = sum(
            len(entry.placement.recently_lost(loop.time()))
            for entry in system.entries
        )

    for second in (5.4, 6.5):
        loop.call_at(started_at + second, count, second)
    await system.simulate(WORKLOAD)
    return lost


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_engines_count_again_everywhere_within_a_second(seed):
    # Guards against engines that stay on probation where nobody tried them.
    lost = emulator.run(lost_after_silence(seed))
    assert lost[5.4] > ENTRIES
    assert lost[6.5] == 0
