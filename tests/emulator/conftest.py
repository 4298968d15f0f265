"""Fixture for simulations with 12 engines in 3 data centres and 10 entries."""

import asyncio
import statistics

import attrs
import pytest

from bulrushhold import emulator

ENGINES = 12
ENTRIES = 10
WORKLOAD = emulator.Workload(streams_per_s=3.1, duration_s=24.0)
# Start time, data centre, whether its engines become unreachable.
OUTAGES = ((4.5, 'dc0', False), (11.0, 'dc1', True), (18.0, 'dc2', False))


@attrs.frozen
class Result:
    """Results averaged over the seeds.

    :param within_objective: share of streams that met their objective.
    :param completed: share of complete streams.
    :param long_pauses: share of streams with a pause above the limit.
    :param reads_per_prompt: prompt tokens read, relative to one read of each
        prompt.
    """

    within_objective: float
    completed: float
    long_pauses: float
    reads_per_prompt: float


async def _simulate(profile, workload, outages, seed):
    system = emulator.System([profile] * ENGINES, ENTRIES, seed)
    faults = [
        asyncio.ensure_future(
            system.fail_data_centre(
                data_centre, start_s, 1.2, unreachable=unreachable
            )
        )
        for start_s, data_centre, unreachable in outages
    ]
    outcomes = await system.simulate(workload)
    for fault in faults:
        fault.cancel()
    tokens = sum(engine.tokens_read for engine in system.engines.values())
    count = len(outcomes)
    return Result(
        sum(outcome.meets_objective(workload) for outcome in outcomes) / count,
        sum(outcome.completed for outcome in outcomes) / count,
        sum(
            outcome.longest_pause_s > workload.max_gap_s
            for outcome in outcomes
        )
        / count,
        tokens / count / workload.prompt_tokens,
    )


@pytest.fixture
def simulate():
    def run(profile, workload=WORKLOAD, outages=OUTAGES, seeds=(1, 2)):
        results = [
            emulator.run(_simulate(profile, workload, outages, seed))
            for seed in seeds
        ]
        means = map(
            statistics.mean, zip(*map(attrs.astuple, results), strict=True)
        )
        return Result(*means)

    return run
