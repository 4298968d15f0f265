"""What shows that a server has crashed under a request."""

import pytest

from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import routes
from tests.forwarding import fakes


async def test_each_engine_lost_by_a_stream_is_reported(client, context):
    client.scripts = [
        fakes.Script(events=(1,), then='crash'),
        fakes.Script(events=(2,), then='crash'),
        fakes.Script(events=(3,)),
    ]
    await fakes.run_stream(context)
    assert len(context.poison_requests.take_pending()) == 2


async def test_an_engine_that_is_back_as_another_instance_has_crashed(
    client, context
):
    # Guards against a new instance at the address that hides the crash.
    client.scripts = [
        fakes.Script(events=(1,), then='restart'),
        fakes.Script(events=(2,)),
    ]
    await fakes.run_stream(context)
    assert len(context.poison_requests.take_pending()) == 1
    assert len(context.placement.pending_losses) == 1


async def test_a_stream_broken_off_by_a_live_engine_is_no_crash(
    client, context
):
    client.scripts = [
        fakes.Script(events=(1,), then='reset'),
        fakes.Script(events=(2,)),
    ]
    await fakes.run_stream(context)
    assert context.poison_requests.take_pending() == []
    assert context.placement.pending_losses == []


@pytest.mark.parametrize('evidence', ['status 421', 'report', 'list'])
async def test_an_engine_found_replaced_after_a_reset_has_crashed(
    client, context, evidence
):
    # Guards against probes that can't tell the instances apart.
    client.scripts = [
        fakes.Script(events=(1,), then='reset'),
        fakes.Script(events=(2,)),
    ]
    await fakes.run_stream(context)
    placement = context.placement
    broken = next(
        backend
        for backend in placement.backends.values()
        if backend.address == client.attempts[0].address
    )
    if evidence == 'status 421':
        placement.mark_replaced(broken.ident)
    elif evidence == 'report':
        placement.apply_loads(
            messages.LoadSummary(1, {}, [], [broken.ident]), context.clock()
        )
    else:
        placement.update(
            [
                messages.ListedBackend(
                    f'new-{backend.ident}'
                    if backend is broken
                    else backend.ident,
                    backend.service,
                    backend.address,
                    backend.data_centre,
                    backend.slots,
                )
                for backend in placement.backends.values()
            ]
        )
    reports = context.poison_requests.take_pending()
    assert [report.engine for report in reports] == [broken.ident]
    assert placement.pending_losses == [broken.ident]


async def test_an_engine_that_left_as_announced_has_not_crashed(
    client, context
):
    client.scripts = [
        fakes.Script(events=(1,), then='reset'),
        fakes.Script(events=(2,)),
    ]
    await fakes.run_stream(context)
    placement = context.placement
    for backend in placement.backends.values():
        backend.leaving = True
    placement.update([])
    assert context.poison_requests.take_pending() == []


@pytest.mark.parametrize('kind', [routes.Kind.IDEMPOTENT, routes.Kind.ONCE])
@pytest.mark.parametrize('step', ['send', 'answer'])
async def test_a_server_that_crashes_under_a_plain_request_is_reported(
    client, context, kind, step
):
    # Guards against crashes that only streams record.
    client.scripts = [fakes.Script(then='crash'), fakes.Script()]
    if step == 'send':
        client.scripts[0].error = 'send'
        client.dead.update(
            backend.address for backend in context.placement.backends.values()
        )
    if kind is routes.Kind.ONCE:
        with pytest.raises(errors.RequestError):
            await fakes.run_plain(context, kind)
    else:
        await fakes.run_plain(context, kind)
    assert len(context.poison_requests.take_pending()) == 1
    assert len(context.placement.pending_losses) == 1


@pytest.mark.parametrize('step', ['connect', 'send'])
async def test_a_server_that_still_listens_or_got_nothing_has_not_crashed(
    client, context, step
):
    client.scripts = [fakes.Script(error=step), fakes.Script()]
    await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    assert context.poison_requests.take_pending() == []


async def test_a_plain_request_whose_server_was_replaced_is_reported(
    client, context
):
    client.scripts = [fakes.Script(error='send'), fakes.Script()]
    await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    context.placement.mark_replaced(client.attempts[0].instance)
    assert len(context.poison_requests.take_pending()) == 1
