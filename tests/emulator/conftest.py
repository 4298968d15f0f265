"""Emulated deployments: twelve engines in three data centres, ten entries."""

import asyncio
import statistics

import attrs
import pytest

from bulrushhold import emulator

ENGINES = 12
ENTRIES = 10
# At the basic engine's speed reading takes a third of the engines' time.
LOAD = emulator.Load(streams_per_s=3.1, duration_s=24.0)
OUTAGES = ((4.5, 'dc0', False), (11.0, 'dc1', True), (18.0, 'dc2', False))


@attrs.frozen
class Result:
    """Shares of all streams, over some seeds."""

    within_objective: float
    completed: float
    long_pauses: float
    reads_per_prompt: float


async def _simulate(profile, load, outages, seed):
    system = emulator.System([profile] * ENGINES, ENTRIES, seed)
    faults = [
        asyncio.ensure_future(
            system.fail_data_centre(
                data_centre, at, 1.2, unreachable=unreachable
            )
        )
        for at, data_centre, unreachable in outages
    ]
    outcomes = await system.simulate(load)
    for fault in faults:
        fault.cancel()
    tokens = sum(engine.tokens_read for engine in system.engines.values())
    count = len(outcomes)
    return Result(
        sum(outcome.meets_objective(load) for outcome in outcomes) / count,
        sum(outcome.completed for outcome in outcomes) / count,
        sum(outcome.longest_pause_s > load.max_gap_s for outcome in outcomes)
        / count,
        tokens / count / load.prompt_tokens,
    )


@pytest.fixture
def simulate():
    def run(profile, load=LOAD, outages=OUTAGES, seeds=(1, 2)):
        results = [
            emulator.run(_simulate(profile, load, outages, seed))
            for seed in seeds
        ]
        means = map(
            statistics.mean, zip(*map(attrs.astuple, results), strict=True)
        )
        return Result(*means)

    return run
