"""Requests that become blocked while they wait or run."""

import asyncio

import attrs
import pytest

from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import routes
from tests.forwarding import fakes

FINGERPRINT = 'bad'


def block(context):
    context.poison_requests.add_reports(
        [messages.CrashReport(FINGERPRINT, f'lost-{n}') for n in range(3)],
        context.clock(),
    )


def start(context, kind, *, canary=False, **options):
    job = attrs.evolve(
        fakes.make_job(context, kind, **options),
        fingerprint=FINGERPRINT,
        canary=canary,
    )
    caller = fakes.FakeCaller()
    if kind is routes.Kind.STREAM:
        forwarder = forwarding.StreamForwarder(context, job, caller)
    else:
        forwarder = forwarding.PlainForwarder(context, job)
    return asyncio.ensure_future(forwarder.run()), caller


async def start_queued(client, context):
    """Start a stream that its engine keeps in its queue."""
    client.scripts = [fakes.Script(open_delay_s=30.0)]
    task, _ = start(context, routes.Kind.STREAM)
    await asyncio.sleep(0.05)
    return task


def attempts(client):
    return [event for event in client.log if event[0] == 'send']


async def assert_ended_by_block(task, ran):
    with pytest.raises(errors.RequestError) as caught:
        async with asyncio.timeout(0.5):
            await task
    error = caught.value
    assert error.ran is ran
    if ran is errors.Ran.NO:
        assert error.status == 503
        assert 50 < error.retry_after <= 60
    else:
        assert error.status == 502


async def test_a_queued_stream_leaves_its_engine_as_it_is_blocked(
    client, context
):
    # Guards against crashing an engine that hasn't begun the request.
    task = await start_queued(client, context)
    block(context)
    await assert_ended_by_block(task, errors.Ran.UNKNOWN)
    assert len(attempts(client)) == 1


async def test_a_stream_that_its_engine_has_begun_is_not_ended(
    client, context
):
    client.scripts = [fakes.Script(events=(1, 2, 3))]
    task, caller = start(context, routes.Kind.STREAM)
    while not caller.headers_sent:
        await asyncio.sleep(0)
    block(context)
    assert await task is None
    assert caller.ended


async def test_a_lost_stream_is_not_resumed_once_it_is_blocked(
    client, context
):
    # Guards against resuming a stream whose crash completes the block.
    client.scripts = [fakes.Script(events=(1,), then='crash')]
    task, caller = start(context, routes.Kind.STREAM)
    while not caller.headers_sent:
        await asyncio.sleep(0)
    block(context)
    assert await task is None
    assert caller.aborted
    assert not caller.ended
    assert len(attempts(client)) == 1


@pytest.mark.parametrize(
    'kind', [routes.Kind.STREAM, routes.Kind.IDEMPOTENT, routes.Kind.ONCE]
)
async def test_a_request_that_waits_is_refused_as_it_is_blocked(
    client, context, kind
):
    # Guards against sending it to the next free server.
    now = context.clock()
    for ident in context.placement.backends:
        context.placement.demands.backoffs.record(ident, 0.4, now)
    task, _ = start(context, kind, timeout_s=20.0, aim_s=9.0)
    await asyncio.sleep(0.05)
    assert not task.done()
    block(context)
    await assert_ended_by_block(task, errors.Ran.NO)
    assert client.log == []


@pytest.mark.parametrize(
    'kind', [routes.Kind.STREAM, routes.Kind.IDEMPOTENT, routes.Kind.ONCE]
)
async def test_a_request_blocked_after_its_server_was_chosen_is_not_sent(
    client, context, kind
):
    # Guards against the time between the check and the sending.
    context.running.check = lambda fingerprint, now: None
    block(context)
    task, _ = start(context, kind)
    await assert_ended_by_block(task, errors.Ran.NO)
    assert client.log == []


async def test_an_idempotent_request_is_not_retried_once_it_is_blocked(
    client, context
):
    client.scripts = [
        fakes.Script(error='send', open_delay_s=0.0),
        fakes.Script(),
    ]
    send = client.send

    async def send_and_block(call, attempt):
        block(context)
        return await send(call, attempt)

    client.send = send_and_block
    task, _ = start(context, routes.Kind.IDEMPOTENT)
    await assert_ended_by_block(task, errors.Ran.UNKNOWN)
    assert len(attempts(client)) == 1


async def test_a_running_request_that_may_run_once_is_not_ended(
    client, context
):
    # Guards against losing the outcome of a booking.
    client.scripts = [fakes.Script(open_delay_s=0.1)]
    task, _ = start(context, routes.Kind.ONCE)
    await asyncio.sleep(0.02)
    block(context)
    reply = await task
    assert reply.status == 200


async def test_a_caller_that_leaves_is_not_taken_for_a_block(client, context):
    task = await start_queued(client, context)
    task.cancel()
    block(context)
    with pytest.raises(asyncio.CancelledError):
        await task
    assert not context.running.requests


@pytest.mark.parametrize(
    'kind', [routes.Kind.STREAM, routes.Kind.IDEMPOTENT, routes.Kind.ONCE]
)
async def test_a_request_blocked_as_its_server_is_checked_may_have_run(
    client, context, kind
):
    # Guards against "not run" for a request that its server broke off.
    async def block_and_wait(*arguments):
        asyncio.get_running_loop().call_soon(block, context)
        await asyncio.sleep(0.05)
        return False

    client.probe = client.has_ended = block_and_wait
    client.scripts = [fakes.Script(error='send')]
    task, _ = start(context, kind)
    await assert_ended_by_block(task, errors.Ran.UNKNOWN)


@pytest.mark.parametrize('kind', [routes.Kind.STREAM, routes.Kind.IDEMPOTENT])
async def test_a_request_blocked_before_its_retry_may_have_run(
    client, context, kind
):
    # Guards against "not run" for a request that waits for crash reports.
    client.scripts = [fakes.Script(error='send')]
    client.dead.update(
        backend.address for backend in context.placement.backends.values()
    )
    task, _ = start(context, kind, aim_s=9.0, timeout_s=20.0)
    await asyncio.sleep(0.03)
    assert not task.done()
    block(context)
    await assert_ended_by_block(task, errors.Ran.UNKNOWN)


async def test_a_blocked_stream_does_not_resume_from_a_copy(client, context):
    # Guards against the way to the engine that holds the run's copy.
    client.scripts = [fakes.Script(events=(1,), then='crash')]
    task, caller = start(context, routes.Kind.STREAM)
    while not caller.headers_sent:
        await asyncio.sleep(0)
    context.running.check = lambda fingerprint, now: None
    block(context)
    assert await task is None
    assert caller.aborted
    assert len(attempts(client)) == 1


@pytest.mark.parametrize('kind', [routes.Kind.STREAM, routes.Kind.IDEMPOTENT])
async def test_a_blocked_canary_is_not_sent(client, context, kind):
    # Guards against a request that a rollout sends to its target version.
    context.running.check = lambda fingerprint, now: None
    block(context)
    task, _ = start(context, kind, canary=True)
    await assert_ended_by_block(task, errors.Ran.NO)
    assert client.log == []
