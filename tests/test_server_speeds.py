"""Servers of different speeds: pace, slowness, and decisions by them."""

import random

import pytest

from bulrushhold import decisions
from bulrushhold import messages

OBJECTIVE = decisions.LatencyObjective(8000, 4.0, 0.7)
SECOND = messages.SpeedSample(1.0, 1.0)


def make_placement(engines=6, slots=16, prefix='i', seed=1):
    placement = decisions.Placement(random.Random(seed))
    placement.update(
        [
            messages.ListedBackend(
                f'{prefix}{n}', 'engines', f'10.0.0.{n}:80', f'dc{n}', slots
            )
            for n in range(engines)
        ]
    )
    return placement


def state_pace(placement, now, **paces):
    for ident, pace in paces.items():
        placement.server_speeds.record_pace('engines', ident, pace, now)


def record_reads(placement, ident, slowness, now, count=20):
    """Record prompts read by an engine within the last seconds."""
    for _ in range(count):
        placement.server_speeds.record_read(
            'engines', ident, messages.SpeedSample(1.0, slowness), now
        )


def choose_engines(placement, now, count=1):
    chosen = []
    for number in range(count):
        engine = placement.choose_engine(
            'engines', now, tokens=8000, segment=f's{number}', tried=set()
        )
        placement.stream_started(engine, 8000)
        chosen.append(engine.ident)
    return chosen


def choose_plain(placement, now):
    return placement.choose(
        'engines', now, at_most_once=True, tried=set()
    ).ident


def estimate(placement, now):
    return placement.estimate_capacity(
        'engines', now, objective=OBJECTIVE, memory=8300
    )


def slowness_of(placement, ident, now):
    return placement.slowness('engines', now).get(ident, 1.0)


def test_a_stale_pace_is_forgotten():
    # Guards against a server that is avoided for a pace which is long over.
    placement = make_placement()
    state_pace(placement, 0.0, i0=2.5)
    paces = placement.server_speeds.paces
    assert paces.pace('i0', 0.0) == 2.5
    assert paces.pace('i0', 0.3) == pytest.approx(1.75)
    assert paces.pace('i0', 1.0) == 1.0
    assert paces.age_s('i0', 1.0) == 1.0
    assert paces.age_s('i1', 1.0) is None


def test_a_server_that_always_states_a_slow_pace_is_not_avoided():
    # Guards against an incorrect pace that keeps all requests from a server.
    placement = make_placement(2)
    chosen = []
    for step in range(2000):
        now = step * 0.02
        state_pace(placement, now, i0=2.5, i1=1.0)
        chosen.append(choose_plain(placement, now))
        placement.record_service_time(
            chosen[-1],
            0.1,
            placement.explained_factor(placement.backends[chosen[-1]], now),
            now,
        )
    assert 0.3 < chosen[-500:].count('i0') / 500 < 0.7


def test_a_stated_pace_does_not_change_what_times_show():
    # Guards against an engine that hides its slowness by its pace.
    for pace in (1.0, 2.5):
        placement = make_placement()
        state_pace(placement, 0.0, i0=pace)
        record_reads(placement, 'i0', 2.0, 0.0)
        assert slowness_of(placement, 'i0', 0.0) == pytest.approx(1.93, 0.01)


def test_an_engine_that_stops_stating_its_pace_has_the_usual_one():
    placement = make_placement()
    state_pace(placement, 0.0, i0=2.5, i1=1.0)
    record_reads(placement, 'i0', 2.0, 3.0)
    assert placement.server_speeds.paces.pace('i0', 3.0) == 1.0
    assert slowness_of(placement, 'i0', 3.0) > 1.8


def test_entries_that_know_different_paces_choose_by_their_own():
    # Guards against a pace that is sent on and outdated when it arrives.
    first, second = make_placement(2), make_placement(2)
    state_pace(first, 0.0, i0=2.5, i1=1.0)
    state_pace(second, 0.0, i0=1.0, i1=2.5)
    assert first.load_report('e1', {}, 0.0).samples == {}
    assert choose_plain(first, 0.1) == 'i1'
    assert choose_plain(second, 0.1) == 'i0'


def test_slow_engines_get_fewer_prompts():
    placement = make_placement()
    state_pace(placement, 0.0, i0=1.0)
    for ident in ('i0', 'i1', 'i2'):
        record_reads(placement, ident, 1.8, 0.0)
    for ident in ('i3', 'i4', 'i5'):
        record_reads(placement, ident, 0.8, 0.0)
    chosen = choose_engines(placement, 0.0, 12)
    slow = sum(ident in ('i0', 'i1', 'i2') for ident in chosen)
    assert 2 <= slow <= 5


def test_without_a_stated_pace_all_engines_count_as_equal():
    # Guards against changed decisions where servers don't state a pace.
    placement, plain = make_placement(), make_placement()
    for ident in ('i0', 'i1', 'i2'):
        record_reads(placement, ident, 1.8, 0.0)
    assert choose_engines(placement, 0.0, 20) == choose_engines(plain, 0.0, 20)
    assert placement.load_report('e1', {}, 0.0).samples == {}
    assert placement.rng.random() == plain.rng.random()


def test_a_pace_decides_between_engines_of_equal_cost():
    placement = make_placement(2)
    state_pace(placement, 0.0, i0=2.5, i1=1.0)
    assert set(choose_engines(placement, 0.1)) == {'i1'}
    placement = make_placement(2)
    state_pace(placement, 0.0, i0=1.0, i1=2.5)
    assert set(choose_engines(placement, 0.1)) == {'i0'}


def test_capacity_falls_by_the_speed_of_lost_engines():
    # Guards against streams that are admitted for fast engines which are lost.
    placement = make_placement(8)
    state_pace(placement, 0.0, i0=1.0)
    for n in range(8):
        record_reads(placement, f'i{n}', 2.0 if n < 4 else 0.5, 0.0, 200)
    before = estimate(placement, 0.0)
    for ident in ('i4', 'i5'):
        placement.record_failure(ident, 0.0, unreachable=True)
    after = estimate(placement, 0.1)
    # Four engines of speed 0.5 and four of speed 2.
    assert after.completions_per_s / before.completions_per_s == pytest.approx(
        6 / 10, 0.02
    )
    for ident in ('i6', 'i7'):
        placement.stream_started(placement.backends[ident], 80_000)
    assert estimate(placement, 0.1).first_event_s > 1.5 * before.first_event_s


def test_slowness_stays_in_use_while_reports_are_lost():
    # Guards against prompts for slow engines while control is unreachable.
    placement = make_placement()
    summary = messages.LoadSummary(1, {}, [], slowness={'i0': 1.8, 'i1': 0.8})
    placement.apply_loads(summary, 0.0)
    assert slowness_of(placement, 'i0', 0.0) == 1.8
    assert 1.5 < slowness_of(placement, 'i0', 6.0) < 1.8
    record_reads(placement, 'i2', 2.0, 6.0)
    assert slowness_of(placement, 'i2', 6.0) > 1.8
    assert choose_engines(placement, 6.0) != ['i0']


def test_an_engine_that_returns_as_another_one_starts_anew():
    # Guards against a fast replacement that is taken for the slow engine.
    placement = make_placement()
    state_pace(placement, 0.0, i0=2.5)
    record_reads(placement, 'i0', 2.0, 0.0)
    renewed = [
        messages.ListedBackend('j0', 'engines', '10.0.0.0:80', 'dc0', 16)
    ]
    placement.update(renewed)
    assert slowness_of(placement, 'j0', 0.1) == 1.0
    assert placement.server_speeds.paces.pace('j0', 0.1) == 1.0
    placement.update(renewed)
    assert slowness_of(placement, 'i0', 0.1) == 1.0


def test_an_engine_that_becomes_slow_and_recovers_is_noticed():
    placement = make_placement()
    state_pace(placement, 0.0, i0=1.0)
    for second in range(40):
        record_reads(placement, 'i0', 2.5, float(second), 1)
        if second == 8:
            assert slowness_of(placement, 'i0', second) > 1.8
    for second in range(40, 100):
        record_reads(placement, 'i0', 1.0, float(second), 1)
    assert slowness_of(placement, 'i0', 100.0) < 1.3


def test_an_avoided_engine_is_tried_again():
    # Guards against a slowness that no prompt would ever correct.
    placement = make_placement()
    state_pace(placement, 0.0, i0=1.0)
    record_reads(placement, 'i0', 4.0, 0.0)
    assert slowness_of(placement, 'i0', 150.0) < 1.3


def test_a_pending_read_that_is_late_shows_a_slow_engine():
    # Guards against more prompts for an engine that has nearly stopped.
    placement = make_placement()
    state_pace(placement, 0.0, i0=1.0)
    reading = placement.speeds.start_read('engines', 'i0', 8000, 0.0)
    reading.expected_s = 1.0
    assert slowness_of(placement, 'i0', 0.5) == 1.0
    assert slowness_of(placement, 'i0', 4.0) > 1.8
    placement.speeds.cancel_read(reading)
    assert slowness_of(placement, 'i0', 4.1) == 1.0


def test_a_plain_server_at_a_slow_pace_gets_what_it_can_finish():
    # Guards against a busy service that leaves a slow server idle.
    placement = make_placement(4, slots=6)
    state_pace(placement, 0.0, i0=2.5, i1=1.0, i2=1.0, i3=1.0)
    for n in range(4):
        placement.record_service_time(f'i{n}', 0.1, 1.0, 0.0)
    chosen = []
    for _ in range(60):
        chosen.append(choose_plain(placement, 0.0))
        placement.backends[chosen[-1]].inflight += 1
    assert 'i0' not in chosen[:15]
    assert 4 <= chosen.count('i0') <= 11


def test_entries_spread_over_servers_that_are_about_equal():
    # Guards against entries that all choose the same server at once.
    chosen = set()
    for seed in range(20):
        placement = make_placement(4, seed=seed)
        state_pace(placement, 0.0, i0=1.0)
        for n in range(4):
            placement.record_service_time(f'i{n}', 0.1 + n / 2000, 1.0, 0.0)
        chosen.add(choose_plain(placement, 0.0))
    assert chosen == {'i0', 'i1', 'i2', 'i3'}


def test_a_plain_server_that_fails_is_avoided_although_it_is_fast():
    placement = make_placement(2)
    state_pace(placement, 0.0, i0=1.0)
    placement.record_service_time('i0', 0.05, 1.0, 0.0)
    placement.record_service_time('i1', 0.1, 1.0, 0.0)
    assert choose_plain(placement, 0.0) == 'i0'
    placement.record_failure('i0', 0.0, unreachable=False)
    assert choose_plain(placement, 0.0) == 'i1'


def test_plain_requests_are_reported_at_a_limited_rate():
    # Guards against queues that only the entry which fills them knows, and
    # against a report for each request.
    placement = make_placement(2)
    reports = []
    placement.on_load_change = lambda: reports.append(1)
    backend = placement.backends['i0']
    placement.request_started(backend, 0.0)
    assert not reports
    state_pace(placement, 0.0, i0=1.0)
    for step in range(100):
        placement.request_started(backend, step / 100)
        placement.request_ended(backend, step / 100)
        if step == 0:
            # The end of a single request is reported as well.
            assert len(reports) == 2
    assert len(reports) in (5, 6)
    assert placement.load_report('e1', {}, 1.0).engines['i0'].running == 1


def test_other_entries_requests_count_as_queue_of_a_plain_server():
    placement = make_placement(2, slots=4)
    state_pace(placement, 0.0, i0=1.0)
    loads = {'i0': messages.EngineLoad(0, 12)}
    placement.apply_loads(messages.LoadSummary(1, loads, []), 0.0)
    assert {choose_plain(placement, 0.1) for _ in range(9)} == {'i1'}
    placement.record_reported_load('i1', 20, 4, 0.1)
    assert {choose_plain(placement, 0.1) for _ in range(9)} == {'i0'}


def test_an_engine_is_chosen_if_nothing_is_known_of_reading_times():
    # Guards against a division by zero: without samples, reading times are
    # estimated from what remains of the aim, which may be over.
    placement = make_placement()
    state_pace(placement, 0.0, i0=1.0)
    engine = placement.choose_engine(
        'engines',
        0.0,
        tokens=8000,
        segment='s',
        tried=set(),
        objective=decisions.LatencyObjective(8000, 0.0, 0.7),
    )
    assert engine is not None
