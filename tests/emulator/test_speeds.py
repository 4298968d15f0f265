"""What callers get from engines of other speeds.

Data centres are lost every six seconds, one of them without a word. An entry
that held the speeds of some engines as constants would leave slower ones
while they live, read their prompts again, and so slow down all others.
"""

import attrs
import pytest

from bulrushhold import emulator

BASELINE = emulator.EngineProfile()


def scaled_profile(step=1.0, reading=1.0, kv_capacity=1.0):
    return attrs.evolve(
        BASELINE,
        step_s=BASELINE.step_s / step,
        step_s_per_run=BASELINE.step_s_per_run / step,
        read_tokens_per_s=BASELINE.read_tokens_per_s * reading,
        kv_capacity=int(BASELINE.kv_capacity * kv_capacity),
    )


@pytest.mark.parametrize(
    'profile',
    [
        scaled_profile(),
        scaled_profile(step=3),
        scaled_profile(step=0.7),
        scaled_profile(reading=2),
        scaled_profile(reading=0.7),
        scaled_profile(step=0.7, reading=0.8),
        scaled_profile(kv_capacity=2),
    ],
)
def test_where_half_is_used_nearly_all_are_served_in_time(simulate, profile):
    result = simulate(profile)
    assert result.within_objective >= 0.8
    assert result.completed >= 0.95
    assert result.reads_per_prompt <= 1.25


def test_at_twice_the_load_two_in_five_are_served_in_time(simulate):
    load = emulator.Load(streams_per_s=6.2, duration_s=20.0)
    result = simulate(scaled_profile(), load)
    assert result.within_objective >= 0.4


@pytest.mark.parametrize('step', [0.34, 0.5, 1, 3])
def test_living_engines_are_not_left_for_being_slow(simulate, step):
    # No engine is lost at all: each prompt is read once, and no stream has a
    # pause from being moved.
    result = simulate(scaled_profile(step=step), outages=())
    assert result.reads_per_prompt <= 1.1
    assert result.long_pauses <= 0.03


def test_the_same_seed_gives_the_same_run(simulate):
    assert simulate(scaled_profile(), seeds=(7,)) == simulate(
        scaled_profile(), seeds=(7,)
    )
