"""Tests of backend servers that want no requests for a time."""

import asyncio

import pytest

from bulrushhold import calls
from bulrushhold import errors
from bulrushhold import routes
from tests.forwarding import fakes


def turned_away(seconds):
    return fakes.Script(
        status=503, not_run=True, backoff=calls.Backoff(seconds)
    )


async def send_one(context, **options):
    return await fakes.run_plain(context, routes.Kind.IDEMPOTENT, **options)


def keep_servers(context, *idents):
    backends = context.placement.backends
    context.placement.services['engines'] = [backends[i] for i in idents]


async def test_a_backoff_is_logged_once_as_it_begins(
    client, context, log_records
):
    client.scripts = [turned_away(3.0), fakes.Script()]
    await send_one(context)
    lines = [
        line['seconds']
        for line in log_records
        if line.get('decision') == 'server backoff'
    ]
    assert lines == [3.0]


async def test_a_malformed_backoff_is_logged_once_and_changes_nothing(
    client, context, log_records
):
    keep_servers(context, 'i0')
    client.scripts = [turned_away(None), turned_away(None), fakes.Script()]
    assert (await send_one(context)).status == 200
    assert not context.placement.demands.backoffs.ends_at
    lines = [line.get('decision') for line in log_records]
    assert lines.count('malformed server backoff') == 1


async def test_a_server_that_turned_a_request_away_gets_no_other(
    client, context
):
    # Guards against new requests to a server that wants none for a time.
    keep_servers(context, 'i0', 'i1')
    client.scripts = [turned_away(3.0), *[fakes.Script()] * 20]
    for _ in range(20):
        assert (await send_one(context)).status == 200
    addresses = [attempt.address for attempt in client.attempts]
    assert addresses.count(addresses[0]) == 1


async def test_requests_that_no_server_takes_in_time_are_refused_at_once(
    client, context
):
    # Guards against one request that goes round the servers until its end.
    client.scripts = [turned_away(3.0)] * 6
    for _ in range(10):
        with pytest.raises(errors.RequestError) as caught:
            await send_one(context)
        assert caught.value.status == 503
        assert caught.value.ran is errors.Ran.NO
        assert caught.value.retry_after >= 2.5
    assert len(client.attempts) == 6


async def test_a_request_waits_for_a_backoff_that_ends_in_time(
    client, context
):
    keep_servers(context, 'i0')
    client.scripts = [turned_away(0.05), fakes.Script()]
    assert (await send_one(context, aim_s=1.0)).status == 200
    assert len(client.attempts) == 2


async def test_a_request_on_its_way_to_a_resting_server_is_not_sent(
    client, context
):
    # Guards against requests chosen before the 503 and sent after it.
    keep_servers(context, 'i0', 'i1')
    choose = context.placement.choose

    def rest_meanwhile(*args, **options):
        backend = choose(*args, **options)
        if not context.placement.demands.backoffs.ends_at:
            loop = asyncio.get_running_loop()
            loop.call_soon(
                context.placement.demands.backoffs.record,
                backend.ident,
                3.0,
                context.clock(),
            )
        return backend

    context.placement.choose = rest_meanwhile
    client.scripts = [fakes.Script()]
    assert (await send_one(context)).status == 200
    (resting,) = context.placement.demands.backoffs.ends_at
    assert client.attempts[0].instance != resting


async def test_a_failed_request_is_retried_although_all_others_rest(
    client, context
):
    keep_servers(context, 'i0', 'i1')
    context.placement.demands.backoffs.record('i1', 3.0, context.clock())
    client.scripts = [fakes.Script(status=500), fakes.Script()]
    assert (await send_one(context)).status == 200
    assert [a.instance for a in client.attempts] == ['i0', 'i0']


async def test_a_stream_does_not_resume_on_a_resting_backup(client, context):
    client.scripts = [
        fakes.Script(events=(1, 2), then='crash', open_delay_s=0.35),
        fakes.Script(events=(3, 4)),
    ]
    task = asyncio.ensure_future(fakes.run_stream(context, aim_s=2.0))
    await asyncio.sleep(0.1)
    address = client.attempts[0].backup
    backup = next(
        b for b in context.placement.backends.values() if b.address == address
    )
    context.placement.demands.backoffs.record(
        backup.ident, 3.0, context.clock()
    )
    caller, _ = await task
    assert caller.data == fakes.encode_events(1, 2, 3, 4)
    assert client.attempts[1].address != address


async def test_streams_leave_a_resting_engine_alone(client, context):
    keep_servers(context, 'i0', 'i1')
    client.scripts = [turned_away(3.0), *[fakes.Script(events=(1,))] * 10]
    for _ in range(10):
        caller, _ = await fakes.run_stream(context)
        assert caller.ended
    addresses = [attempt.address for attempt in client.attempts]
    assert addresses.count(addresses[0]) == 1


def test_the_later_end_of_two_backoffs_is_in_force(context):
    backoffs = context.placement.demands.backoffs
    assert backoffs.record('i0', 3.0, 10.0)
    assert not backoffs.record('i0', 1.0, 11.0)
    assert backoffs.until('i0') == 13.0
    assert backoffs.is_active('i0', 12.9)
    assert not backoffs.is_active('i0', 13.0)


def test_a_backoff_ends_with_its_server_and_after_an_hour(context):
    # Guards against a server that no request could reach any more.
    backoffs = context.placement.demands.backoffs
    backoffs.record('i0', 1e9, 0.0)
    assert not backoffs.is_active('i0', 3600.0)
    backoffs.retain({'i1'})
    assert not backoffs.is_active('i0', 1.0)
