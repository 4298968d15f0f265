"""Speed estimates and stall timeouts for engines of any speed."""

import pytest

from bulrushhold import decisions
from bulrushhold import messages

OBJECTIVE = decisions.LatencyObjective(8000, 4.5, 0.7)
SPEEDS = [3.0, 1.0, 1 / 3]
READ_S = 1.0
PAUSE_S = 0.028


def add_reads(speeds, seconds, at, count=1, engine='i0'):
    for number in range(count):
        reading = speeds.start_read('s', engine, 8000, at + number)
        speeds.record_read(reading, OBJECTIVE, at + number + seconds)


def add_pauses(speeds, at, *seconds):
    pauses = decisions.PauseSamples(speeds.pause_s('s', OBJECTIVE, at, 4.0))
    for pause_s in seconds:
        pauses.add(pause_s)
    speeds.record_pauses('s', pauses, at)


@pytest.mark.parametrize('speed', SPEEDS)
def test_the_read_speed_is_estimated_at_any_engine_speed(speed):
    speeds = decisions.EngineSpeeds()
    add_reads(speeds, READ_S / speed, 0.0, count=12)
    estimated_s = 8000 * speeds.token_s('s', OBJECTIVE, 12.0)
    assert estimated_s == pytest.approx(READ_S / speed, rel=0.15)


def test_estimates_without_samples_follow_the_route():
    speeds = decisions.EngineSpeeds()
    slow = decisions.LatencyObjective(8000, 45.0, 7.0)
    assert 8000 * speeds.token_s('s', OBJECTIVE, 0.0) == pytest.approx(1.5)
    assert 8000 * speeds.token_s('s', slow, 0.0) == pytest.approx(15.0)
    assert speeds.pause_s('s', OBJECTIVE, 0.0, 4.0) < 0.35
    assert speeds.pause_s('s', slow, 0.0, 4.0) > 1.0
    assert speeds.run_s('s', 0.0) is None


def test_samples_of_all_entries_are_combined():
    # Each entry alone has too few samples to differ from the route's prior.
    loads = decisions.LoadAggregator()
    for number in range(10):
        placement = decisions.Placement(None)
        add_reads(placement.speeds, 3.0, 0.0)
        placement.speeds.record_run('s', 9.0, 3.0)
        loads.add_report(placement.load_report(f'e{number}', {}, 3.0), 3.0)
    combined = decisions.EngineSpeeds()
    combined.apply_remote_samples(loads.summary_for('e99', 0).speeds)
    assert 8000 * combined.token_s('s', OBJECTIVE, 3.0) > 2.7
    assert combined.run_s('s', 3.0) == pytest.approx(9.0)
    excluding_own = decisions.EngineSpeeds()
    excluding_own.apply_remote_samples(loads.summary_for('e1', 0).speeds)
    assert excluding_own.remote['s'].runs == pytest.approx(9.0)


def test_one_paused_entry_hardly_changes_the_estimates():
    # Guards against the long samples of a paused entry.
    speeds = decisions.EngineSpeeds()
    others = messages.EngineSpeed(
        80_000, 10 * READ_S, 1000, 1000 * PAUSE_S, 1000 * PAUSE_S**2
    )
    speeds.apply_remote_samples({'s': others})
    before = speeds.token_s('s', OBJECTIVE, 10.0)
    add_reads(speeds, 60.0, 10.0)
    assert speeds.token_s('s', OBJECTIVE, 70.0) < 1.5 * before
    baseline = speeds.pause_s('s', OBJECTIVE, 70.0, 4.0)
    add_pauses(speeds, 70.0, 60.0)
    assert speeds.pause_s('s', OBJECTIVE, 70.0, 4.0) < 2 * baseline


def test_a_slowdown_is_detected_within_seconds():
    speeds = decisions.EngineSpeeds()
    add_reads(speeds, READ_S, 0.0, count=20)
    add_reads(speeds, 4 * READ_S, 24.0, count=8)
    assert 8000 * speeds.token_s('s', OBJECTIVE, 36.0) > 2.5 * READ_S


def test_pending_reads_raise_the_estimate():
    # Guards against needless failovers while all engines are slow: no read has
    # completed since the slowdown.
    speeds = decisions.EngineSpeeds()
    add_reads(speeds, READ_S, 0.0, count=10)
    for number in range(6):
        speeds.start_read('s', f'i{number}', 8000, 10.0)
    baseline = speeds.token_s('s', OBJECTIVE, 11.0)
    assert speeds.token_s('s', OBJECTIVE, 14.0) > 2 * baseline


def test_an_excluded_engine_does_not_affect_the_estimate():
    # One engine is stalled, so that its reads stay pending.
    speeds = decisions.EngineSpeeds()
    add_reads(speeds, READ_S, 0.0, count=10)
    readings = [speeds.start_read('s', 'stuck', 8000, 10.0) for _ in range(4)]
    others = speeds.token_s('s', OBJECTIVE, 14.0, excluding='stuck')
    assert 8000 * others < 1.3 * READ_S
    for reading in readings:
        speeds.cancel_read(reading)
    assert speeds.token_s('s', OBJECTIVE, 14.0) == pytest.approx(others)


@pytest.mark.parametrize('speed', SPEEDS)
def test_stall_timeouts_fit_engines_of_any_speed(speed):
    # Pauses grow while the engine reads a prompt. A healthy engine must not be
    # abandoned for that. A crashed one must be detected within the longest
    # pause allowed, unless the usual pauses are nearly as long.
    speeds = decisions.EngineSpeeds()
    idle_pause_s, reading_pause_s = PAUSE_S / speed, 4 * PAUSE_S / speed
    add_pauses(speeds, 0.0, *[idle_pause_s] * 200, *[reading_pause_s] * 60)
    typical_pause_s, long_pause_s = (
        speeds.pause_s('s', OBJECTIVE, 0.0, deviations)
        for deviations in (1.5, 4.0)
    )
    timeouts = decisions.StallTimeouts(
        typical_pause_s, long_pause_s, OBJECTIVE.gap_s, 0.18
    )
    assert timeouts.probe_after_s > idle_pause_s
    assert (
        timeouts.probe_after_s < long_pause_s
        or long_pause_s < OBJECTIVE.gap_s / 2
    )
    if 2 * reading_pause_s + 0.18 < OBJECTIVE.gap_s:
        assert (
            timeouts.probe_after_s + 0.18 + reading_pause_s < OBJECTIVE.gap_s
        )
    assert timeouts.failover_timeout_s() > 2 * reading_pause_s
    without_copy_s = timeouts.reread_timeout_s(1.0)
    assert without_copy_s >= 2.0 > timeouts.failover_timeout_s()


def test_the_first_event_timeout_follows_the_slower_engine():
    assert decisions.first_event_timeout_s(1.0, 1.0) == 2.0
    assert decisions.first_event_timeout_s(1.0, 5.0) == 10.0
    assert decisions.first_event_timeout_s(6.0, 1.0) == 12.0
    assert decisions.first_event_timeout_s(1.0, float('inf')) == float('inf')
