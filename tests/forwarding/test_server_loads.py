"""Tests of the load that servers report in their responses."""

import collections

import attrs

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
