"""Logs and figures never hold a request up."""

import json
import os
import time

from bulrushhold import node
from bulrushhold.node import _logs


def test_a_log_that_nobody_reads_blocks_nothing():
    # The pipe behind standard output is full. Lines wait in a bounded
    # queue, and those beyond it are counted.
    reader, writer = os.pipe()
    lines = _logs.LineWriter(writer, clock=_ticking(0.01))
    begun = time.monotonic()
    for number in range(20_000):
        lines.put('x' * 200 + str(number))
    assert time.monotonic() - begun < 2.0
    assert lines.queue.qsize() <= _logs.MAX_QUEUED_LINES
    assert lines.dropped > 0
    os.close(reader)


def test_a_flood_is_bounded_and_what_is_dropped_is_counted():
    reader, writer = os.pipe()
    now = [0.0]
    lines = _logs.LineWriter(writer, clock=lambda: now[0])
    for _ in range(1000):
        lines.put('{}')
    now[0] = 1.0
    lines.put('{}')
    lines.close()
    os.close(writer)
    read = b''
    while chunk := os.read(reader, 65536):
        read += chunk
    written = read.decode().splitlines()
    assert len(written) == _logs.MAX_LINES_PER_S + 2
    dropped = json.loads(written[-2])
    assert dropped == {
        'message': 'lines dropped',
        'n': 1000 - _logs.MAX_LINES_PER_S,
    }


def test_figures_are_served_as_text():
    metrics = node.make_prometheus_metrics('bulrushhold_entry')
    metrics.count('requests.refused.503', 2)
    metrics.time('streams.resumed', 0.2)
    metrics.gauge('map.version', 7)
    text = metrics.text().decode()
    assert 'bulrushhold_entry_requests_refused_503_total 2.0' in text
    assert 'bulrushhold_entry_streams_resumed_seconds_bucket' in text
    assert 'bulrushhold_entry_map_version 7.0' in text


def _ticking(step):
    now = [0.0]

    def clock():
        now[0] += step
        return now[0]

    return clock
