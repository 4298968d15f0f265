"""Tests of what is known of the durations of requests."""

import time

import pytest

from bulrushhold.forwarding import _durations
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


def test_streams_that_still_run_are_longer_than_they_are_old(durations):
    # Guards against accepting by the short streams, which end first.
    assert durations.quantile_s('s', STREAM, 0.5, [5.5] * 10) == 7.0


def test_few_streams_tell_nothing(durations):
    assert durations.quantile_s('other', STREAM, 0.9, [5.0] * 9) == 0.0


def test_many_running_streams_delay_no_decision(durations):
    # Guards against an entry that stands still with each request it accepts.
    for number in range(90):
        durations.record('s', STREAM, 10.0 + number)
    running = [number % 100 for number in range(20_000)]
    started = time.process_time()
    durations.quantile_s('s', STREAM, 0.95, running)
    assert time.process_time() - started < 0.03
