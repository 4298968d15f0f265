"""Moves of streams away from silent engines."""

import asyncio

import attrs
import pytest

from bulrushhold import forwarding
from bulrushhold.forwarding import _enginechooser
from bulrushhold import routes
from tests.forwarding import fakes
from tests.forwarding import test_silent_engines as silences

client = silences.client
paced = silences.paced
verdicts = silences.verdicts
monitored = silences.monitored


def silence_at(client, remaining, addresses=None):
    """Silence the first engine as so many of its events remain."""

    def lose(response):
        is_first = len(client.attempts) == 1
        if is_first and len(response.remaining_events) == remaining:
            client.silent |= addresses or {response.address}

    client.on_chunk = lose


@pytest.mark.parametrize('attempts', [2, 3])
async def test_moves_reach_no_more_engines_than_attempts(
    client, context, paced, attempts
):
    """Guards against more engines than the route of a stream allows."""
    client.scripts = [fakes.Script(events=(n, n + 1)) for n in range(1, 6)]

    def lose(response):
        if len(response.remaining_events) == 1 and client.scripts:
            silences.start_silence(client, {response.address})

    client.on_chunk = lose
    await fakes.run_stream(context, gap_s=0.1, attempts=attempts)
    assert len({a.address for a in client.attempts}) <= attempts


async def test_a_successor_found_earlier_is_not_used_later(
    client, context, paced
):
    """Guards against a move to an engine that has been replaced since."""
    client.scripts = [
        fakes.Script(events=tuple(range(1, 30)), then='reset'),
        fakes.Script(events=(30,)),
    ]
    take, context.budget.take = context.budget.take, lambda *arguments: False
    silence_at(client, 28)
    stream = forwarding.StreamForwarder(
        context,
        fakes.make_job(context, routes.Kind.STREAM, gap_s=0.1),
        fakes.FakeCaller(),
    )
    run = asyncio.ensure_future(stream.run())
    while stream.moves.successor is None:
        await asyncio.sleep(0.01)
    context.placement.mark_replaced(stream.moves.successor.ident)
    client.on_chunk = lambda response: None
    client.silent.clear()
    context.budget.take = take
    await run
    second = client.attempts[1].instance
    assert second not in context.placement.replaced_idents


async def test_engines_that_did_not_answer_are_not_asked_again_first(
    client, context, paced
):
    """Guards against probes of the same silent engines until the deadline."""
    client.scripts = [
        fakes.Script(events=(1, 2, 3)),
        fakes.Script(events=(2, 3)),
    ]

    def lose(response):
        if len(response.remaining_events) != 2 or client.silent:
            return
        job = fakes.make_job(context, routes.Kind.STREAM, gap_s=0.1)
        chooser = _enginechooser.EngineChooser(context, job)
        first = context.placement.backends[client.attempts[0].instance]
        others = chooser.alternatives(first, 3, set())
        client.silent = {first.address, *(other.address for other in others)}

    client.on_chunk = lose
    await fakes.run_stream(context, gap_s=0.1, timeout_s=3.0)
    assert len(client.attempts) == 2


async def test_a_run_with_events_may_leave_a_silent_engine(
    client, context, paced
):
    """Guards against an earlier failure that ties a stream to its engine."""
    client.scripts = [
        fakes.Script(events=(1,), then='reset'),
        fakes.Script(events=(2, 3, 4)),
        fakes.Script(events=(4,)),
    ]

    def lose(response):
        is_second = len(client.attempts) == 2
        if is_second and len(response.remaining_events) == 1:
            client.silent = {response.address}

    client.on_chunk = lose
    run = fakes.run_stream(context, gap_s=0.1, attempts=2, timeout_s=2.0)
    caller, _ = await asyncio.wait_for(run, 4)
    assert caller.data == fakes.encode_events(1, 2, 3, 4)


async def test_an_engine_at_which_a_stream_waits_is_known_as_silent(
    client, context, paced
):
    """Guards against an engine whose silence nothing ends or shows."""
    client.scripts = [fakes.Script(events=(1, 2, 3))]
    silences.silence_all(client, remaining=2)
    job = fakes.make_job(context, routes.Kind.STREAM, gap_s=0.1)
    job = attrs.evolve(job, route=attrs.evolve(job.route, resumable=False))
    stream = forwarding.StreamForwarder(context, job, fakes.FakeCaller())
    run = asyncio.ensure_future(stream.run())
    await asyncio.sleep(0.5)
    assert set(context.placement.silent_since) == {client.attempts[0].instance}
    await run
    assert not context.placement.silent_since


async def test_an_answer_that_comes_as_a_retry_is_asked_for_is_used(
    client, context
):
    """Guards against a second run of a request that has its answer."""
    client.scripts = [fakes.Script(open_delay_s=0.3), fakes.Script()]

    class SlowPool(forwarding.RetryPool):
        async def take(self, service, priority):
            await asyncio.sleep(0.15)
            return True

        def record_delay(self, service):
            pass

    context = attrs.evolve(context, retry_pool=SlowPool())
    context.budget.take = lambda service, now, priority: False
    await fakes.run_plain(context, routes.Kind.IDEMPOTENT, aim_s=0.07)
    assert len(client.attempts) == 1


async def test_a_check_of_silent_engines_outlasts_a_new_list(client, context):
    """Guards against a monitor that ends as a silent engine is delisted."""
    silences.lose_silently(context)
    check = asyncio.ensure_future(forwarding.SilenceMonitor(context).check())
    await asyncio.sleep(0)
    context.placement.update([])
    await check


def test_a_silence_that_is_over_is_no_failure_of_a_data_centre(context):
    """Guards against data centres that count as failing after a silence."""
    placement, now = context.placement, context.clock()
    for ident in ('i0', 'i3'):
        placement.record_failure(ident, now, unreachable=True)
        placement.record_silence(ident, now)
        placement.record_answer(ident, now + 0.1)
    failures = placement.data_centre_failures
    assert not failures.is_failing(('engines', 'dc0'), now + 0.2)
    assert not placement.pending_losses


async def test_a_text_under_which_engines_fall_silent_for_good_is_blocked(
    client, context, paced, verdicts, monitored
):
    """Guards against poison requests whose engines close no connection."""
    client.scripts = [fakes.Script(events=(n, n + 1)) for n in range(1, 12)]

    def lose(response):
        if len(response.remaining_events) == 1:
            client.silent.add(response.address)

    client.on_chunk = lose
    caller, _ = await fakes.run_stream(context, gap_s=0.1, timeout_s=9.0)
    assert caller.aborted
    assert len(client.attempts) <= 5
    assert context.poison_requests.blocks.blocks


async def test_a_silent_engine_is_waited_for_no_longer_than_the_deadline(
    client, context, paced
):
    """Guards against a request that is held after its deadline."""
    client.silent = set(silences.ALL_ADDRESSES)
    started = context.clock()
    with pytest.raises(Exception, match='deadline'):
        await fakes.run_stream(context, gap_s=0.1, timeout_s=0.7)
    assert context.clock() - started < 0.7 + 0.25
