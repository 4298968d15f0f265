"""Logs and metrics: non-blocking writes and the Prometheus text format."""

import json
import os
import subprocess
import sys
import time

import pytest

from bulrushhold import node
from bulrushhold.node import _logs


def test_a_full_log_pipe_does_not_block_the_caller():
    # Nothing reads the pipe. Lines must be queued up to a limit, then dropped
    # and counted.
    reader, writer = os.pipe()
    line_writer = _logs.LineWriter(writer, clock=_stepping_clock(0.01))
    started_at = time.monotonic()
    for number in range(20_000):
        line_writer.put('x' * 200 + str(number))
    assert time.monotonic() - started_at < 2.0
    assert line_writer.queue.qsize() <= _logs.MAX_QUEUED_LINES
    assert line_writer.dropped > 0
    os.close(reader)


def test_log_lines_above_the_rate_limit_are_dropped_and_counted():
    reader, writer = os.pipe()
    now = [0.0]
    line_writer = _logs.LineWriter(writer, clock=lambda: now[0])
    for _ in range(1000):
        line_writer.put('{}')
    now[0] = 1.0
    line_writer.put('{}')
    line_writer.close()
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


def test_lines_of_libraries_are_lines_of_the_process():
    """Guards against a process that blocks as nobody reads what they write."""
    script = """
import logging
from bulrushhold import node
writer = node.configure_logs('INFO', 'entry e1')
try:
    raise OSError('reset')
except OSError:
    logging.getLogger('aiohttp.server').exception('unhandled')
for number in range(1000):
    logging.getLogger('asyncio').warning('line %d', number)
writer.close()
"""
    completed = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stderr == ''
    lines = [json.loads(line) for line in completed.stdout.splitlines()]
    assert lines[0]['library'] == 'aiohttp.server'
    assert lines[0]['error'] == 'OSError: reset'
    assert len(lines) <= 2 * _logs.MAX_LINES_PER_S


def test_metrics_are_served_in_the_prometheus_text_format():
    metrics = node.make_prometheus_metrics('bulrushhold_entry')
    metrics.count('requests.refused.503', 2)
    metrics.time('streams.resumed', 0.2)
    metrics.gauge('map.version', 7)
    text = metrics.text().decode()
    assert 'bulrushhold_entry_requests_refused_503_total 2.0' in text
    assert 'bulrushhold_entry_streams_resumed_seconds_bucket' in text
    assert 'bulrushhold_entry_map_version 7.0' in text


@pytest.mark.parametrize('names', [('v1.0-1', 'v1.0.1'), ('a b', 'a"\nb')])
def test_label_values_that_differ_in_punctuation_are_kept_apart(names):
    # Guards against a metric that is refused for having the name of another.
    metrics = node.make_prometheus_metrics('test')
    for number, name in enumerate(names):
        metrics.gauge('engines', number, {'service': 's', 'version': name})
        metrics.count('retries.own', number + 1, {'service': name})
    samples = {
        (sample.name, sample.labels.get('version', sample.labels['service']))
        for family in metrics.registry.collect()
        for sample in family.samples
        if sample.name.endswith(('engines', '_total'))
    }
    assert samples == {
        (metric, name)
        for metric in ('test_engines', 'test_retries_own_total')
        for name in names
    }
    assert metrics.text().count(b'test_engines{') == 2


def test_labels_of_statsd_metrics_are_part_of_one_level_of_the_name():
    # Guards against datagrams that a name from outside splits or forges.
    sender = node.StatsdMetrics.__new__(node.StatsdMetrics)
    sender.client = RecordingStatsdClient()
    for version in ('v1.0', 'v1-0', 'v1:0|c\n', 'v1%2E0'):
        sender.gauge('engines', 1.0, {'version': version})
    names = [name for name, _ in sender.client.gauges]
    assert len(set(names)) == 4
    for name in names:
        assert name.count('.') == 1
        assert not set(name) & set(':|@\n')


class RecordingStatsdClient:
    def __init__(self):
        self.gauges = []

    def gauge(self, name, value):
        self.gauges.append((name, value))


def _stepping_clock(step):
    now = [0.0]

    def clock():
        now[0] += step
        return now[0]

    return clock
