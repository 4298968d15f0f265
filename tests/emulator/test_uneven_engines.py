"""Engines of different and changing speed, compared with equal ones.

Guards against slow engines whose prompts are late, or are read again
elsewhere, while the same total speed of equal engines suffices.
"""

import functools

import pytest

from bulrushhold import emulator

ENGINES = 12
LOAD = 0.7
PROMPT_TOKENS = 8000
STEADY = emulator.PaceProfile(slow=1.0)
CHANGING = emulator.PaceProfile()
MIXED = (0.55, 1.2)
MEAN_SPEED = sum(MIXED) / 2


def profiles(speeds, pace):
    return tuple(
        emulator.EngineProfile(speed=speeds[n // 3 % len(speeds)], pace=pace)
        for n in range(ENGINES)
    )


async def simulate(engines, workload, seed):
    """Return the streams on time, all streams, and the tokens read in vain."""
    system = emulator.System(engines, 10, seed)
    outcomes = await system.simulate(workload)
    prompts = {}
    for engine in system.engines.values():
        prompts |= engine.cached_segments
    tokens = sum(engine.tokens_read for engine in system.engines.values())
    on_time = sum(
        outcome.first_event_s is not None
        and outcome.first_event_s <= workload.target_latency_s
        for outcome in outcomes
    )
    return on_time, len(outcomes), tokens - sum(prompts.values())


@functools.cache
def play(engines, mean_speed, seeds=(1, 2, 3)):
    """Return share of streams on time, and tokens read in vain for each."""
    baseline = emulator.EngineProfile()
    steps = PROMPT_TOKENS / baseline.chunk_tokens
    prompt_s = (
        PROMPT_TOKENS / baseline.read_tokens_per_s + steps * baseline.step_s
    )
    workload = emulator.Workload(
        LOAD * ENGINES * mean_speed / prompt_s, 30.0, output_tokens=300
    )
    results = [
        emulator.run(simulate(engines, workload, seed)) for seed in seeds
    ]
    on_time, count, tokens_in_vain = map(sum, zip(*results, strict=True))
    return on_time / count, tokens_in_vain / count


@pytest.mark.parametrize(
    ('speeds', 'pace'),
    [(MIXED, STEADY), ((MEAN_SPEED,), CHANGING), (MIXED, CHANGING)],
)
def test_uneven_engines_are_on_time_as_often_as_equal_ones(speeds, pace):
    mean_speed = MEAN_SPEED * pace.mean_speed
    equal = (emulator.EngineProfile(speed=mean_speed),) * ENGINES
    on_time, in_vain = play(profiles(speeds, pace), mean_speed)
    equal_on_time, equal_in_vain = play(equal, mean_speed)
    assert on_time >= equal_on_time - 0.02
    assert in_vain <= equal_in_vain
