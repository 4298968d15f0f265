"""Tests of what an invalid response leaves in logs and metrics."""

import pytest

from bulrushhold import node
from bulrushhold import web


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def metrics():
    return node.make_prometheus_metrics('test')


@pytest.fixture
def invalid(metrics, clock):
    return web.InvalidResponses(metrics, clock)


def test_each_invalid_response_is_counted(invalid, metrics):
    for _ in range(3):
        invalid.record('10.0.0.1:80', 'invalid status line')
    assert b'test_responses_invalid_total 3.0' in metrics.text()


def test_invalid_responses_fill_no_log(invalid, clock, log_records):
    # Guards against a line for each answer of a faulty server.
    for _ in range(100):
        invalid.record('10.0.0.1:80', 'invalid status line')
    invalid.record('10.0.0.2:80', 'invalid field')
    clock.now = 1.0
    invalid.record('10.0.0.1:80', 'invalid field')
    lines = [(r['address'], r['reason'], r['count']) for r in log_records]
    assert lines == [
        ('10.0.0.1:80', 'invalid status line', 1),
        ('10.0.0.2:80', 'invalid field', 1),
        ('10.0.0.1:80', 'invalid field', 100),
    ]


def test_addresses_of_invalid_responses_fill_no_memory(invalid):
    # Guards against servers that are replaced for months.
    for number in range(3000):
        invalid.record(f'10.0.0.1:{number}', 'invalid status line')
    assert len(invalid.logged_at) <= 1000
    assert len(invalid.pending) <= 1000
