"""Tests of the load that servers report in their responses."""

import collections

import attrs

from bulrushhold import calls
from bulrushhold import forwarding
from bulrushhold import node
from bulrushhold import routes
from tests.forwarding import fakes


class CountingMetrics(node.NullMetrics):
    def __init__(self):
        self.counts = collections.Counter()

    def count(self, name, amount=1, labels=None):
        self.counts[name] += amount


async def test_a_malformed_load_is_counted_and_logged_once_a_server(
    client, context, log_records
):
    # Guards against a response that is lost because of its load header.
    context = attrs.evolve(context, metrics=CountingMetrics())
    client.scripts = [fakes.Script(load='malformed') for _ in range(40)]
    for _ in range(40):
        reply = await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
        assert reply.status == 200
    lines = [
        line['backend']
        for line in log_records
        if line.get('decision') == 'malformed server load'
    ]
    assert len(lines) == len(set(lines))
    assert set(lines) == {f'i{n}' for n in range(6)}
    assert context.metrics.counts['loads.malformed'] == 40


def paced(pace=1.0, **options):
    return fakes.Script(load=calls.BackendLoad(1, 0, 8, pace), **options)


async def test_a_stated_pace_is_counted_and_used(client, context):
    context = attrs.evolve(context, metrics=CountingMetrics())
    client.scripts = [paced(2.5)]
    await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    speeds = context.placement.server_speeds
    assert context.metrics.counts['pace.samples'] == 1
    assert speeds.services == {'engines'}
    (ident,) = speeds.paces.statements
    assert ident in speeds.service_times.averages


async def test_the_pace_of_another_server_at_the_address_is_ignored(
    client, context
):
    # Guards against figures of a new server that are kept for the old one.
    client.scripts = [paced(2.5, instance='another')]
    await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    assert not context.placement.server_speeds.services


async def test_a_dispatch_names_expected_times_if_servers_state_their_pace(
    client, context, log_records
):
    client.scripts = [
        fakes.Script(events=(1, 2)),
        paced(2.5, events=(1, 2)),
        paced(2.5, events=(1, 2)),
    ]
    for _ in range(3):
        await fakes.run_stream(context)
    lines = [
        line
        for line in log_records
        if line.get('decision') == 'stream dispatched'
    ]
    fields = {
        'expected_s',
        'next_best',
        'next_best_s',
        'slowness',
        'pace',
        'pace_age_s',
    }
    assert not fields & lines[1].keys()
    assert fields <= lines[2].keys()
    assert lines[2]['next_best'] in context.placement.backends
    assert lines[2]['next_best'] != lines[2]['engine']


async def test_a_slow_engine_that_is_alive_is_awaited(client, context):
    # Guards against prompts that are read twice as an engine is slow.
    speeds = context.placement.server_speeds
    for ident in context.placement.backends:
        speeds.record_pace('engines', ident, 1.0, context.clock())
    client.scripts = [paced(2.5, events=(1, 2), open_delay_s=1.2)]
    caller, _ = await fakes.run_stream(context)
    assert caller.ended
    assert len(client.attempts) == 1
    assert not any(
        backend.ejected_until
        for backend in context.placement.backends.values()
    )
    (slow,) = speeds.slowness.local
    assert context.placement.slowness('engines', context.clock())[slow] > 1.1


def attempts_reported(context):
    report = context.placement.load_report('e1', {}, context.clock())
    return report.failures or {}


async def test_attempts_at_plain_servers_are_reported_and_logged(
    client, context, log_records
):
    # Guards against failures that only one entry learns of.
    client.scripts = [paced(), paced(status=500)]
    await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    await fakes.run_plain(context, routes.Kind.ONCE)
    samples = attempts_reported(context)
    assert sum(sample.attempts for sample in samples.values()) == 2
    assert sum(sample.failures for sample in samples.values()) == 1
    (line,) = [
        line
        for line in log_records
        if line.get('decision') == 'attempt failed'
    ]
    assert line['failure_share'] > 0


async def test_failures_are_neither_reported_nor_logged_without_a_pace(
    client, context, log_records
):
    client.scripts = [fakes.Script(status=500)]
    await fakes.run_plain(context, routes.Kind.ONCE)
    assert not attempts_reported(context)
    (line,) = [
        line
        for line in log_records
        if line.get('decision') == 'attempt failed'
    ]
    assert 'failure_share' not in line


async def test_an_unreachable_server_is_not_reported_as_failing(
    client, context
):
    # Guards against a lost link of one entry that costs others a server.
    client.scripts = [paced(), fakes.Script(error='connect'), paced()]
    await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    samples = attempts_reported(context).values()
    assert len(client.attempts) == 3
    assert sum(sample.attempts for sample in samples) == 2
    assert not any(sample.failures for sample in samples)


async def test_streams_are_not_reported_as_attempts(client, context):
    client.scripts = [paced(events=(1, 2)), paced(events=(1, 2))]
    for _ in range(2):
        await fakes.run_stream(context)
    assert not attempts_reported(context)


async def test_the_highest_failure_share_is_a_gauge(client, context):
    gauges = {}
    metrics = node.NullMetrics()
    metrics.gauge = lambda name, value, labels: gauges.update(
        {(name, labels['service']): value}
    )
    now = [context.clock()]
    monitor = forwarding.FailureGauges(
        context.placement, metrics, lambda: now[0]
    )
    monitor.update()
    assert gauges == {}
    client.scripts = [paced(), paced(status=500)]
    await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    await fakes.run_plain(context, routes.Kind.ONCE)
    now[0] = context.clock() + 2
    monitor.update()
    assert 0 < gauges['failure_share', 'engines'] <= 0.2
