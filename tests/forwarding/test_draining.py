"""Tests of requests at an entry that shuts down."""

import asyncio
import time

import attrs
import pytest

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold.forwarding import _permits
from bulrushhold import messages
from bulrushhold import routes
from tests.forwarding import fakes

DRAIN_S = 3.0
SHORT_DRAIN_S = 0.4
RUN_S = 0.1


@pytest.fixture
def make_forwarder(context, fleet):
    """Return a forwarder for one kind of route.

    :param kind: of the route.
    :param resumable: whether its streams may go on elsewhere.
    """

    def make(kind=routes.Kind.STREAM, resumable=True):
        fleet._apply_reply(
            fakes.make_reply(kind=kind, resumable=resumable, timeout_s=10.0)
        )
        for _ in range(20):
            context.placement.speeds.record_run(
                'engines', RUN_S, context.clock()
            )
        return forwarding.Forwarder(fleet, context)

    return make


@pytest.fixture
def make_call(context):
    def make(kind=routes.Kind.STREAM, timeout_s=10.0, limit=100, **more):
        call = fakes.make_job(context, kind, timeout_s=timeout_s, **more).call
        prompt = calls.Prompt(8000, limit, ('p',)) if limit else None
        return attrs.evolve(call, prompt=prompt)

    return make


def start_drain(forwarder, seconds):
    forwarder.drain_deadline = forwarder.context.clock() + seconds


async def test_a_request_without_a_map_is_refused_at_once_at_the_exit(
    context, fleet, make_call
):
    # Guards against a request that waits for a map as its entry exits.
    forwarder = forwarding.Forwarder(fleet, context)
    forwarder.closing = True
    async with asyncio.timeout(0.5):
        with pytest.raises(errors.RequestError) as caught:
            await forwarder.handle(make_call(), fakes.FakeCaller())
    assert (caught.value.status, caught.value.ran) == (503, errors.Ran.NO)


def silent_scripts(**first):
    """Return scripts of a server that falls silent, and of silent ones."""
    others = [fakes.Script(then='silent') for _ in range(20)]
    return [fakes.Script(then='silent', **first), *others]


async def get_error(handling):
    with pytest.raises(errors.RequestError) as caught:
        async with asyncio.timeout(2.0):
            await handling
    return caught.value


@pytest.mark.parametrize('limit', [0, 100])
async def test_a_stream_that_does_not_end_in_time_is_not_cut_midway(
    client, make_forwarder, make_call, limit
):
    # Guards against a 200 that breaks off as the entry exits.
    forwarder, caller = make_forwarder(), fakes.FakeCaller()
    start_drain(forwarder, SHORT_DRAIN_S)
    client.scripts = silent_scripts(events=(1, 2))
    error = await get_error(forwarder.handle(make_call(limit=limit), caller))
    assert (error.status, error.ran) == (502, errors.Ran.UNKNOWN)
    assert not caller.headers_sent


async def test_a_withheld_stream_that_ends_in_time_is_whole(
    client, make_forwarder, make_call
):
    # Guards against a gap or the wrong head where engines change meanwhile.
    forwarder, caller = make_forwarder(), fakes.FakeCaller()
    start_drain(forwarder, DRAIN_S)
    client.scripts = [
        fakes.Script(events=(1, 2), then='crash'),
        fakes.Script(events=(3, 4)),
    ]
    await forwarder.handle(make_call(), caller)
    assert caller.ended
    assert caller.data == fakes.encode_events(1, 2, 3, 4)
    assert caller.headers == (('X-Engine', client.opened[0]),)


async def test_a_stream_that_ends_by_its_own_limit_is_passed_on_at_once(
    client, make_forwarder, make_call
):
    forwarder, caller = make_forwarder(), fakes.FakeCaller()
    start_drain(forwarder, DRAIN_S)
    client.scripts = silent_scripts(events=(1, 2))
    handling = asyncio.ensure_future(
        forwarder.handle(make_call(timeout_s=1.0), caller)
    )
    async with asyncio.timeout(0.5):
        while caller.data != fakes.encode_events(1, 2):
            await asyncio.sleep(0.01)
    handling.cancel()


async def test_a_stream_whose_caller_would_leave_first_is_refused(
    client, context, make_forwarder, make_call
):
    # Guards against work for callers that give up before they get anything.
    forwarder = make_forwarder()
    for _ in range(400):
        context.placement.speeds.record_run('engines', 4.0, context.clock())
    start_drain(forwarder, 8.0)
    error = await get_error(forwarder.handle(make_call(), fakes.FakeCaller()))
    assert (error.status, error.ran) == (503, errors.Ran.NO)
    assert not client.attempts


async def test_a_reply_does_not_follow_events_that_were_withheld(
    client, make_forwarder, make_call
):
    # Guards against the 404 of an engine that didn't know where to go on.
    forwarder = make_forwarder()
    start_drain(forwarder, DRAIN_S)
    client.scripts = [
        fakes.Script(events=(1, 2), then='crash'),
        fakes.Script(status=404),
    ]
    error = await get_error(forwarder.handle(make_call(), fakes.FakeCaller()))
    assert (error.status, error.ran) == (502, errors.Ran.UNKNOWN)


async def test_a_drain_begins_at_once_beside_many_requests(
    make_forwarder, make_call, monkeypatch
):
    # Guards against a pause that itself takes the time for answers.
    async def wait(*arguments, **more):
        await asyncio.sleep(10)

    monkeypatch.setattr(_permits, 'choose_permitted', wait)
    forwarder = make_forwarder()
    handlings = [
        asyncio.ensure_future(
            forwarder.handle(make_call(), fakes.FakeCaller())
        )
        for _ in range(1000)
    ]
    while len(forwarder.drain.requests) < 1000:
        await asyncio.sleep(0)
    started_at = time.monotonic()
    start_drain(forwarder, DRAIN_S)
    assert time.monotonic() - started_at < 0.2
    for handling in handlings:
        handling.cancel()


async def test_a_stream_sent_before_the_shutdown_is_passed_on(
    client, make_forwarder, make_call
):
    # Its caller can take up elsewhere what it has got.
    forwarder, caller = make_forwarder(), fakes.FakeCaller()
    client.scripts = silent_scripts(events=(1, 2), open_delay_s=0.1)
    handling = asyncio.ensure_future(forwarder.handle(make_call(), caller))
    await asyncio.sleep(0.05)
    start_drain(forwarder, SHORT_DRAIN_S)
    async with asyncio.timeout(1.0):
        while caller.data != fakes.encode_events(1, 2):
            await asyncio.sleep(0.01)
    await asyncio.sleep(SHORT_DRAIN_S)
    assert not handling.done()
    handling.cancel()


async def test_a_stream_that_must_not_repeat_is_refused_at_once(
    client, make_forwarder, make_call
):
    # Guards against a stream that ran in vain and can't be offered again.
    forwarder = make_forwarder(resumable=False)
    start_drain(forwarder, 2.0)
    error = await get_error(forwarder.handle(make_call(), fakes.FakeCaller()))
    assert (error.status, error.ran) == (503, errors.Ran.NO)
    assert not client.attempts


@pytest.mark.parametrize(
    'kind', [routes.Kind.STREAM, routes.Kind.ONCE, routes.Kind.IDEMPOTENT]
)
async def test_what_waits_for_a_server_is_refused_before_the_exit(
    client, make_forwarder, make_call, monkeypatch, kind
):
    # Guards against a connection that is closed without any answer.
    async def wait(*arguments, **more):
        await asyncio.sleep(10)

    monkeypatch.setattr(_permits, 'choose_permitted', wait)
    forwarder = make_forwarder(kind)
    handling = asyncio.ensure_future(
        forwarder.handle(make_call(kind), fakes.FakeCaller())
    )
    await asyncio.sleep(0)
    start_drain(forwarder, SHORT_DRAIN_S)
    error = await get_error(handling)
    assert (error.status, error.ran) == (503, errors.Ran.NO)
    assert not client.attempts


@pytest.mark.parametrize('kind', [routes.Kind.ONCE, routes.Kind.IDEMPOTENT])
async def test_what_a_server_still_runs_at_the_exit_is_answered(
    client, make_forwarder, make_call, kind
):
    # Guards against a caller that can't tell a lost request from a refusal.
    forwarder = make_forwarder(kind)
    client.scripts = silent_scripts()
    handling = asyncio.ensure_future(
        forwarder.handle(make_call(kind), fakes.FakeCaller())
    )
    await asyncio.sleep(0.05)
    start_drain(forwarder, SHORT_DRAIN_S)
    error = await get_error(handling)
    assert (error.status, error.ran) == (502, errors.Ran.UNKNOWN)


async def test_a_booking_that_may_outlast_the_entry_is_refused(
    client, make_forwarder, make_call
):
    # Guards against an outcome that stays unknown as the entry exits.
    forwarder = make_forwarder(routes.Kind.ONCE)
    call = make_call(routes.Kind.ONCE)
    client.scripts = [fakes.Script() for _ in range(10)]
    for _ in range(10):
        await forwarder.handle(call, fakes.FakeCaller())
    forwarder.drain.durations.record('engines', routes.Kind.ONCE, 2.0, 'r')
    start_drain(forwarder, DRAIN_S)
    error = await get_error(forwarder.handle(call, fakes.FakeCaller()))
    assert (error.status, error.ran) == (503, errors.Ran.NO)
    assert len(client.attempts) == 10


async def test_a_booking_of_unknown_duration_is_left_to_other_entries(
    client, make_forwarder, make_call
):
    # Guards against an outcome that stays unknown as a young entry exits.
    forwarder = make_forwarder(routes.Kind.ONCE)
    client.scripts = silent_scripts()
    start_drain(forwarder, DRAIN_S)
    call = make_call(routes.Kind.ONCE)
    error = await get_error(forwarder.handle(call, fakes.FakeCaller()))
    assert (error.status, error.ran) == (503, errors.Ran.NO)
    assert not client.attempts


@pytest.mark.parametrize(('ready', 'accepted'), [(4, False), (2, True)])
async def test_a_stream_is_refused_where_its_chance_elsewhere_is_better(
    client, fleet, make_forwarder, make_call, ready, accepted
):
    # Guards against callers that are sent from one leaving entry to another.
    forwarder = make_forwarder()
    entries = [
        messages.ListedEntry(f'e{n}', 'dc0', f'10.0.1.{n}:80', n <= ready)
        for n in range(1, 5)
    ]
    fleet.listed_entries = decisions.EntryList(entries, b'')
    for seconds in (0.1,) * 7 + (5.0,) * 3:
        forwarder.drain.durations.record(
            'engines', routes.Kind.STREAM, seconds
        )
    start_drain(forwarder, DRAIN_S)
    client.scripts = [fakes.Script(events=(1, 2))]
    caller = fakes.FakeCaller()
    if accepted:
        await forwarder.handle(make_call(), caller)
        assert caller.ended
        return
    error = await get_error(forwarder.handle(make_call(), caller))
    assert (error.status, error.ran) == (503, errors.Ran.NO)


async def test_a_booking_is_not_accepted_by_the_durations_of_other_routes(
    context, make_forwarder
):
    # Guards against an outcome that stays unknown beside short bookings.
    drain = make_forwarder(routes.Kind.ONCE).drain
    job = fakes.make_job(context, routes.Kind.ONCE, timeout_s=10.0)
    for _ in range(20):
        async with drain.track(job.call, fakes.FakeCaller()) as request:
            drain.accept(request, job)
    drain.finish_by(context.clock() + DRAIN_S)
    other = attrs.evolve(job, route=attrs.evolve(job.route, name='long'))
    async with drain.track(job.call, fakes.FakeCaller()) as request:
        drain.accept(request, job)
        with pytest.raises(errors.RequestError) as caught:
            drain.accept(request, other)
    assert (caught.value.status, caught.value.ran) == (503, errors.Ran.NO)
