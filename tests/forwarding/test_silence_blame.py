"""Servers that were silent for a moment are used as before."""

import attrs
import pytest

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import routes
from tests.forwarding import fakes

OBJECTIVE = decisions.LatencyObjective(8000, 1.0, 0.0)


def healthy_engines(context):
    return context.placement.estimate_capacity(
        'engines', context.clock(), objective=OBJECTIVE, memory=8000
    ).engines


@pytest.mark.parametrize('kind', [routes.Kind.IDEMPOTENT, routes.Kind.ONCE])
async def test_plain_requests_are_served_right_after_all_servers_were_silent(
    client, context, kind
):
    # Guards against a silence that ejects servers and refuses requests.
    client.scripts = [fakes.Script(then='silent') for _ in range(30)]
    for _ in range(6):
        with pytest.raises(errors.RequestError) as caught:
            await fakes.run_plain(context, kind, timeout_s=0.5)
        assert caught.value.status == 504
    assert not context.placement.lost
    assert not context.placement.load_report('e1', {}, 0.0).lost
    client.scripts = [fakes.Script() for _ in range(6)]
    for _ in range(6):
        reply = await fakes.run_plain(context, kind, attempts=1)
        assert reply.status == 200


async def test_a_plain_request_stays_where_no_retry_is_left(client, context):
    # Guards against a run given up before the next one is allowed.
    budget = decisions.ServiceRetryBudget(0.0, 0, 10.0)
    context = attrs.evolve(context, budget=budget)
    client.scripts = [fakes.Script(open_delay_s=0.6)]
    reply = await fakes.run_plain(
        context, routes.Kind.IDEMPOTENT, timeout_s=2.0, aim_s=0.05
    )
    assert reply.status == 200
    assert len(client.attempts) == 1


async def test_engines_that_others_found_silent_count_again_as_they_answer(
    client, context
):
    # Guards against seconds of refusals at entries that had no stream there.
    lost = [f'i{n}' for n in range(5)]
    context.placement.apply_loads(
        messages.LoadSummary(1, {}, lost), context.clock()
    )
    assert healthy_engines(context) == 1
    await forwarding.SilenceMonitor(context).check()
    assert healthy_engines(context) == 6


async def test_engines_that_others_found_lost_stay_on_probation(
    client, context
):
    # Guards against crashed engines that pass for silent ones.
    lost = [f'i{n}' for n in range(5)]
    client.dead = {context.placement.backends[i].address for i in lost}
    context.placement.apply_loads(
        messages.LoadSummary(1, {}, lost), context.clock()
    )
    await forwarding.SilenceMonitor(context).check()
    assert not context.placement.silent_since
    assert healthy_engines(context) == 1
