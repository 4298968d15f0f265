"""Tests of what is known of the durations of requests."""

import pytest

from bulrushhold.forwarding import _durations
from bulrushhold.forwarding import _runpace
from bulrushhold import routes

STREAM = routes.Kind.STREAM


@pytest.fixture
def durations():
    recorded = _durations.Durations()
    for seconds in range(1, 11):
        recorded.record('s', STREAM, float(seconds))
    return recorded


def test_a_share_of_the_streams_is_not_longer(durations):
    assert durations.quantile_s('s', STREAM, 0.9, []) == 9.0


def test_streams_that_have_become_longer_show_before_they_end(durations):
    # Guards against accepting long streams by the short ones before them.
    assert durations.quantile_s('s', STREAM, 0.9, [0.1] * 90) == 9.0
    assert durations.quantile_s('s', STREAM, 0.9, [30.0] * 10) == 30.0


def test_few_streams_tell_nothing(durations):
    assert durations.quantile_s('other', STREAM, 0.9, [5.0] * 9) == 0.0


@pytest.fixture
def pace():
    recorded = _runpace.RunPace()
    for number in range(1, 7):
        recorded.record(number, number * 0.1)
    return recorded


def test_the_rest_of_a_stream_may_be_slower_and_pause(pace):
    assert pace.longest_s(16) == pytest.approx(2 * (1.0 + 0.1) + 0.5)


@pytest.mark.parametrize('limit', [5, 0])
def test_a_stream_beyond_its_limit_has_no_known_end(pace, limit):
    assert pace.longest_s(limit) == float('inf')


def test_a_few_events_show_no_pace():
    pace = _runpace.RunPace()
    for number in range(1, 5):
        pace.record(number, number * 0.1)
    assert pace.longest_s(16) == float('inf')
