"""Tests of the load that servers report in their responses."""

import collections

import attrs

from bulrushhold import calls
from bulrushhold import node
from bulrushhold import routes
from tests.forwarding import fakes


class CountingMetrics(node.NullMetrics):
    def __init__(self):
        self.counts = collections.Counter()

    def count(self, name, amount=1):
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
