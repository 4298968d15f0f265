"""Tests of request limits that backend servers name in their responses."""

import asyncio
import contextlib

import attrs
import pytest

from bulrushhold import calls
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import routes
from tests.forwarding import fakes

NO_PERMIT = messages.PermitGrant(False, 9.0, 9.0)


def limited_script(per_s):
    return fakes.Script(limit=calls.RequestLimit(per_s))


async def send_one(context, **options):
    return await fakes.run_plain(context, routes.Kind.IDEMPOTENT, **options)


def limit_lines(log_records):
    return [
        (line['per_s'], line['previous_per_s'])
        for line in log_records
        if line.get('decision') == 'server limit'
    ]


async def test_a_limit_is_logged_as_it_begins_changes_and_ends(
    client, context, log_records
):
    keep_only_server(context)
    client.scripts = [
        limited_script(50.0),
        limited_script(50.0),
        limited_script(25.0),
        fakes.Script(),
        fakes.Script(),
    ]
    for _ in range(5):
        await send_one(context)
    assert limit_lines(log_records) == [
        (50.0, None),
        (25.0, 50.0),
        (None, 25.0),
    ]


async def test_a_malformed_limit_is_logged_once_and_changes_nothing(
    client, context, log_records
):
    keep_only_server(context)
    client.scripts = [limited_script(None)] * 3
    for _ in range(3):
        await send_one(context)
    assert context.placement.demands.limits.current('i0') is None
    lines = [line.get('decision') for line in log_records]
    assert lines.count('malformed server limit') == 1


def keep_only_server(context):
    backend = context.placement.backends['i0']
    context.placement.services['engines'] = [backend]


async def test_without_a_permit_a_request_goes_elsewhere(client, context):
    name_limits(context, 'i0', 'i1', 'i2', 'i3', 'i4')
    context.permit_source.grants = [NO_PERMIT] * 5
    client.scripts = [fakes.Script()]
    reply = await send_one(context)
    assert reply.status == 200
    assert [a.address for a in client.attempts] == ['10.0.0.5:80']


async def test_without_any_permit_a_request_is_refused_unsent(client, context):
    name_limits(context, *context.placement.backends)
    context.permit_source.grants = [NO_PERMIT] * 6
    with pytest.raises(errors.RequestError) as caught:
        await send_one(context)
    assert caught.value.status == 503
    assert caught.value.ran is errors.Ran.NO
    assert caught.value.retry_after >= 9.0
    assert client.attempts == []


async def test_a_request_waits_for_a_permit_that_is_due_in_time(
    client, context
):
    name_limits(context, *context.placement.backends)
    context.permit_source.grants = [
        *[messages.PermitGrant(False, 0.2, 0.2)] * 5,
        messages.PermitGrant(True, 0.05),
    ]
    client.scripts = [fakes.Script()]
    started = context.clock()
    assert (await send_one(context)).status == 200
    assert context.clock() - started >= 0.05
    waits = [ask.max_wait_s > 0 for ask in context.permit_source.asks]
    assert waits == [False] * 5 + [True]


async def test_a_limit_learned_before_sending_is_kept(client, context):
    # Guards against requests chosen before the limit and sent after it.
    limits = context.placement.demands.limits
    choose = context.placement.choose

    def learn_meanwhile(*args, **options):
        backend = choose(*args, **options)
        if limits.current(backend.ident) is None and not client.attempts:
            loop = asyncio.get_running_loop()
            loop.call_soon(limits.record, backend.ident, 2.6, 1.0)
        return backend

    context.placement.choose = learn_meanwhile
    context.permit_source.grants = [NO_PERMIT]
    client.scripts = [fakes.Script()]
    with contextlib.suppress(errors.RequestError):
        await send_one(context)
    assert len(client.attempts) <= 1
    limited = {
        f'10.0.0.{ident[1:]}:80'
        for ident in context.placement.backends
        if limits.current(ident) is not None
    }
    assert limited
    assert not limited & {a.address for a in client.attempts}


async def test_without_its_home_an_entry_uses_its_part_of_the_floor(
    client, context
):
    context.budget.entries = 1000
    name_limits(context, 'i0')
    context.permit_source.grants = [errors.PeerError('lost')] * 3
    client.scripts = [fakes.Script()] * 20
    for _ in range(20):
        await send_one(context)
    assert '10.0.0.0:80' not in {a.address for a in client.attempts}


async def test_a_floor_does_not_grow_at_once_as_entries_leave_the_list(
    client, context
):
    # Guards against a part of the floor that a lost entry has used.
    now = context.clock()
    context.budget.update_entries(1000, now - 1.0)
    context.budget.update_entries(1, now)
    name_limits(context, 'i0')
    context.permit_source.grants = [errors.PeerError('lost')] * 3
    client.scripts = [fakes.Script()] * 20
    for _ in range(20):
        await send_one(context)
    limits = context.placement.demands.limits
    # One entry alone would have its first turn within 2 s.
    assert limits.servers['i0'].next_floor_at - now > 5.0


async def test_a_stream_goes_to_an_engine_whose_limit_allows_it(
    client, context
):
    name_limits(context, 'i0', 'i1', 'i2', 'i3', 'i4')
    context.permit_source.grants = [NO_PERMIT] * 5
    client.scripts = [fakes.Script(events=(1, 2))]
    caller, _ = await fakes.run_stream(context)
    assert caller.ended
    assert [a.address for a in client.attempts] == ['10.0.0.5:80']


async def test_a_stream_without_any_permit_is_refused_unsent(client, context):
    name_limits(context, *context.placement.backends)
    context.permit_source.grants = [NO_PERMIT] * 6
    with pytest.raises(errors.RequestError) as caught:
        await fakes.run_stream(context)
    assert caught.value.ran is errors.Ran.NO
    assert caught.value.retry_after >= 9.0
    assert client.attempts == []


async def test_a_stream_does_not_resume_on_a_backup_without_a_permit(
    client, context
):
    # Guards against a resumption that exceeds the limit of the copy's engine.
    client.scripts = [
        fakes.Script(events=(1, 2), then='crash', open_delay_s=0.35),
        fakes.Script(events=(3, 4)),
    ]
    task = asyncio.ensure_future(fakes.run_stream(context, aim_s=2.0))
    await asyncio.sleep(0.1)
    backup = client.attempts[0].backup
    ident = next(
        b.ident
        for b in context.placement.backends.values()
        if b.address == backup
    )
    name_limits(context, ident)
    context.permit_source.grants = [NO_PERMIT]
    caller, _ = await task
    assert caller.data == fakes.encode_events(1, 2, 3, 4)
    assert client.attempts[1].address != backup
    assert client.attempts[1].copy is None


def name_limits(context, *idents):
    for ident in idents:
        context.placement.demands.limits.record(ident, 2.6, context.clock())


async def test_a_permit_of_a_rate_since_lowered_is_asked_for_again(
    client, context
):
    # Guards against permits of the old rate that are used after the change.
    keep_only_server(context)
    name_limits(context, 'i0')
    source = context.permit_source
    source.grants = [messages.PermitGrant(True, 0.05), NO_PERMIT]
    task = asyncio.ensure_future(send_one(context))
    await asyncio.sleep(0.02)
    context.placement.demands.limits.record('i0', 1.0, context.clock())
    with pytest.raises(errors.RequestError):
        await task
    assert [ask.per_s for ask in source.asks] == [2.6, 1.0]
    assert client.attempts == []


async def test_an_entry_asks_again_soon_after_its_home_was_unreachable(
    client, context
):
    # Guards against a refusal for as long as the floor alone would last.
    context.budget.entries = 1000
    name_limits(context, *context.placement.backends)
    context.permit_source.grants = [errors.PeerError('lost')] * 20
    with pytest.raises(errors.RequestError) as caught:
        await send_one(context)
    assert caught.value.retry_after <= 2.0
    limits = context.placement.demands.limits
    later = context.clock() + 1.0
    assert not any(limits.is_held(i, later) for i in limits.servers)


async def test_an_entry_without_its_home_does_not_ask_in_a_busy_loop(
    client, context
):
    # Guards against an entry that stops while a request waits for a permit.
    context.budget.entries = 1000
    name_limits(context, *context.placement.backends)
    context.permit_source.grants = [errors.PeerError('lost')] * 200
    with pytest.raises(errors.RequestError):
        await send_one(context, aim_s=2.4, timeout_s=5.0)
    assert len(context.permit_source.asks) < 40
    assert client.attempts == []


@pytest.mark.parametrize('change', ['ended', 'unlisted'])
async def test_a_limit_may_end_while_its_home_is_asked(
    client, context, change
):
    # Guards against an error of our own in place of an answer.
    keep_only_server(context)
    name_limits(context, 'i0')
    limits = context.placement.demands.limits

    async def request(ask):
        if change == 'ended':
            limits.record('i0', None, context.clock())
        else:
            limits.retain(set())
        raise errors.PeerError('lost')

    context.permit_source.request = request
    client.scripts = [fakes.Script()]
    assert (await send_one(context)).status == 200


class RecordingPool(forwarding.RetryPool):
    """Grants all retries."""

    def __init__(self):
        self.delays = 0

    async def take(self, service, priority):
        return True

    def record_delay(self, service):
        self.delays += 1


@pytest.mark.parametrize('granted', [False, True])
async def test_a_retry_that_waits_for_a_permit_counts_as_it_is_sent(
    client, context, granted
):
    # Guards against retries that arrive with those allowed after them.
    keep_only_server(context)
    context = attrs.evolve(context, retry_pool=RecordingPool())
    budget = context.budget
    if granted:
        budget.ratio = budget.allowance = 0
    wait_s = 0.35
    context.permit_source.grants = [
        messages.PermitGrant(False, wait_s, wait_s),
        messages.PermitGrant(True, wait_s),
    ]
    limit = calls.RequestLimit(50.0)
    client.scripts = [
        fakes.Script(status=503, not_run=True, limit=limit),
        limited_script(50.0),
    ]
    started = context.clock()
    assert (await send_one(context, aim_s=2.0)).status == 200
    retries = budget.granted_retries if granted else budget.own_retries
    assert retries.by_service['engines'][0] >= started + wait_s
    assert context.retry_pool.delays == granted
