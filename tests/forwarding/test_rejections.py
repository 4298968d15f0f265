"""Tests of requests that all servers reject."""

import attrs
import pytest

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import node
from bulrushhold import routes
from tests.forwarding import fakes

SERVERS = 6


class OpenPool(forwarding.RetryPool):
    """Grants all retries."""

    async def take(self, service, priority):
        return True

    def record_delay(self, service):
        pass


def script_rejections(client, count):
    client.scripts = [
        fakes.Script(status=503, not_run=True) for _ in range(count)
    ]


async def send(context, **options):
    """Return the refusal of a request, and how long it took."""
    started_at = context.clock()
    with pytest.raises(errors.RequestError) as caught:
        await fakes.run_plain(context, routes.Kind.IDEMPOTENT, **options)
    return caught.value, context.clock() - started_at


async def test_a_request_that_all_servers_reject_is_refused_soon(
    client, context
):
    # Guards against one request that goes round the servers until its end.
    script_rejections(client, 200)
    refusal, seconds = await send(context, timeout_s=3.0)
    assert len(client.attempts) <= 4 * SERVERS
    assert seconds < 0.5
    assert (refusal.status, refusal.ran) == (503, errors.Ran.NO)


async def test_while_all_servers_reject_a_request_is_tried_once(
    client, context
):
    # Guards against retries where their result is known.
    context.budget.allowance = 250
    script_rejections(client, 200)
    await send(context, timeout_s=3.0)
    client.attempts.clear()
    told = set()
    for _ in range(5):
        refusal, seconds = await send(context, timeout_s=3.0)
        assert seconds < 0.1
        told.add(refusal.retry_after)
    assert len(client.attempts) == 5
    assert len(told) == 5


async def test_a_server_that_was_full_for_a_moment_is_tried_again(
    client, context
):
    # Guards against refusals while servers have room again.
    script_rejections(client, SERVERS)
    client.scripts.append(fakes.Script())
    reply = await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    assert reply.status == 200


def test_one_server_that_accepts_is_reason_to_retry():
    backends = [
        decisions.BackendServer(f'i{n}', 'engines', '', '', 4)
        for n in range(2)
    ]
    rejections = decisions.Rejections()
    for now in (0.0, 0.1, 0.2):
        rejections.record('i0', now)
    assert not rejections.all_reject(backends, 0.2)
    for now in (0.0, 0.2):
        rejections.record('i1', now)
    assert not rejections.all_reject(backends, 0.2)
    rejections.record('i1', 0.2)
    assert rejections.all_reject(backends, 0.2)
    # It was so for a moment only, or too long ago.
    assert not rejections.all_reject(backends, 0.8)
    rejections.record_accepted('i1')
    assert not rejections.all_reject(backends, 0.2)
    backends[1].ejected_until = 1.0
    assert rejections.all_reject(backends, 0.2)


async def test_a_request_that_was_rejected_often_waits_behind_others(
    client, context
):
    # Guards against one request that spends what many others need.
    context.budget.update_entries(20, context.clock())
    script_rejections(client, 200)
    await send(context, timeout_s=3.0, attempts=2)
    # Its own share is 2.5 retries, of which later retries get half.
    assert len(client.attempts) == 2


async def test_counters_and_gauges_of_retries_have_names_of_their_own(
    client, context
):
    # Guards against requests that fail as a metric has the name of another.
    metrics = node.make_prometheus_metrics('test_retries')
    context = attrs.evolve(context, metrics=metrics, retry_pool=OpenPool())
    gauges = forwarding.RetryGauges(context.budget, metrics)
    context.budget.count_request('engines', context.clock())
    gauges.update()
    context.budget.update_entries(1000, context.clock())
    context.budget.rounding = 0.0
    script_rejections(client, 1)
    client.scripts.append(fakes.Script())
    reply = await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    assert reply.status == 200
    assert context.budget.usage('engines', context.clock()).granted == 1


async def test_streams_that_meet_dead_engines_keep_their_priority(
    client, context
):
    # Guards against streams given up while the data centre's engines are lost.
    context.budget.update_entries(20, context.clock())
    context = attrs.evolve(context, retry_pool=OpenPool())
    client.scripts = [fakes.Script(error='connect') for _ in range(3)]
    client.scripts.append(fakes.Script(events=(1, 2)))
    caller, _ = await fakes.run_stream(context, attempts=2)
    assert len(client.attempts) == 4
