"""Demand that is uneven between prompts and data centres.

Guards against streams of one prompt that fill one engine or that all engines
have to read, and against streams that wait in a full data centre while
engines elsewhere are idle, or that stay away once there is room.
"""

import functools

import attrs
import pytest

from bulrushhold import emulator

ENGINES = 27
ENTRIES = 9
SLOTS = 16
STATES_PACE = emulator.PaceProfile(slow=1.0)
PROFILE = emulator.EngineProfile(slots=SLOTS)
LOAD = 0.6
HOT_SHARE = 0.4
PROMPT_S = 8000 / PROFILE.read_tokens_per_s + (
    8000 / PROFILE.chunk_tokens * PROFILE.step_s
)
SEEDS = (1, 2, 3)
# Load while each data centre has its share, and duration of each phase.
USUAL_LOAD = 0.4
PHASE_S = 20.0
# After a change of demand, streams placed before it occupy engines.
SETTLING_S = 5.0
# What callers may lose of the share of first events on time.
TOLERANCE = 0.05
# If each engine reads the hot prompt once.
READS_AGAIN_BY_ALL = ENGINES - 1
MIN_OWN = 0.9
# Its own engines can read 1 / 1.2 of the prompts of dc0 while it has three
# times its share.
MAX_OWN_WHILE_FULL = 0.88


def workload_at(load, duration_s=PHASE_S):
    return emulator.Workload(
        load * ENGINES / PROMPT_S, duration_s, output_tokens=300
    )


def is_on_time(stream):
    first_event_s = stream.outcome.first_event_s
    return (
        first_event_s is not None
        and first_event_s <= workload_at(LOAD).target_latency_s
    )


def share(values):
    values = list(values)
    return sum(values) / len(values)


async def send(pace, phases, seed):
    profile = attrs.evolve(PROFILE, pace=pace)
    system = emulator.DemandSystem([profile] * ENGINES, ENTRIES, seed)
    await system.send_streams(phases)
    return system


@functools.cache
def play_hot(pace, hot_tokens):
    workload = workload_at(LOAD, 30.0)
    demand = emulator.Demand(HOT_SHARE, hot_tokens)
    return [
        emulator.run(send(pace, [(workload, demand)], seed)) for seed in SEEDS
    ]


@functools.cache
def play_shift(pace):
    total = USUAL_LOAD * (3 + 1 + 1) / 3
    usual = (workload_at(USUAL_LOAD), emulator.Demand())
    shifted = (workload_at(total), emulator.Demand(weights={'dc0': 3.0}))
    phases = [usual, shifted, usual]
    return [emulator.run(send(pace, phases, seed)) for seed in SEEDS]


@functools.cache
def play_even(pace, load):
    phases = [(workload_at(load), emulator.Demand())]
    return [emulator.run(send(pace, phases, seed)) for seed in SEEDS]


def on_time(systems, chosen=lambda stream: True):
    return share(
        is_on_time(stream)
        for system in systems
        for stream in system.streams
        if chosen(stream)
    )


def own_share(systems, phase):
    """Return the share of dc0's streams in a phase that its engines get."""
    begin = phase * PHASE_S + (SETTLING_S if phase else 0.0)
    end = (phase + 1) * PHASE_S
    own = []
    for system in systems:
        data_centres = {
            engine.ident: engine.data_centre
            for engine in system.engines.values()
        }
        # Reversed: a stream that is retried counts by its first engine.
        chosen = {
            arrival.segment: data_centres[arrival.engine]
            for arrival in reversed(system.client.arrivals)
        }
        own += [
            chosen.get(stream.segment) == 'dc0'
            for stream in system.streams
            if stream.data_centre == 'dc0'
            and begin <= stream.outcome.arrived_at < end
        ]
    return share(own)


def reads_again(system, hot_tokens):
    """Return the reads of the hot prompt after the first, in prompts."""
    return system.hot_tokens_read / hot_tokens - 1


@pytest.fixture(params=[None, STATES_PACE], ids=['pace unknown', 'pace'])
def pace(request):
    return request.param


def assert_within_limits(systems):
    for system in systems:
        for use in system.uses.values():
            assert use.streams <= SLOTS
            assert use.tokens <= PROFILE.kv_capacity


@pytest.mark.parametrize('hot_tokens', [2000, 8000])
def test_a_hot_prompt_fills_no_engine_and_is_not_read_by_all(pace, hot_tokens):
    systems = play_hot(pace, hot_tokens)
    assert_within_limits(systems)
    reads = [reads_again(system, hot_tokens) for system in systems]
    assert max(reads) < READS_AGAIN_BY_ALL


@pytest.mark.parametrize('hot_tokens', [2000, 8000])
def test_streams_beside_a_hot_prompt_are_on_time_as_with_even_demand(
    pace, hot_tokens
):
    hot = play_hot(pace, hot_tokens)
    even = play_even(pace, LOAD)
    assert on_time(hot) >= on_time(even) - TOLERANCE


def test_a_full_data_centre_uses_others_until_it_has_room(pace):
    systems = play_shift(pace)
    assert_within_limits(systems)
    before, during, after = (own_share(systems, n) for n in range(3))
    assert before >= MIN_OWN
    assert 1 / 3 <= during <= MAX_OWN_WHILE_FULL
    assert after >= before - TOLERANCE


def test_streams_of_a_full_data_centre_are_on_time(pace):
    systems = play_shift(pace)
    even = play_even(pace, USUAL_LOAD * 5 / 3)

    def is_shifted(stream):
        return (
            stream.data_centre == 'dc0'
            and PHASE_S <= stream.outcome.arrived_at < 2 * PHASE_S
        )

    assert on_time(systems, is_shifted) >= on_time(even) - TOLERANCE
