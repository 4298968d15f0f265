"""Tests of servers that send what is no valid response."""

import pytest

from bulrushhold import errors
from bulrushhold import routes
from tests.forwarding import fakes

HEAD = {'error': 'send', 'invalid': True}
BODY = {'then': 'invalid'}


def was_blamed(client, context):
    """Return whether anything counts as a crash of the first server."""
    (ident,) = [
        backend.ident
        for backend in context.placement.backends.values()
        if backend.address == client.attempts[0].address
    ]
    detector = context.poison_requests
    return bool(
        detector.was_reset(ident, context.clock())
        or detector.take_pending()
        or context.placement.pending_losses
    )


@pytest.mark.parametrize('script', [HEAD, BODY])
async def test_a_request_that_runs_once_is_not_sent_again(
    client, context, script
):
    # Guards against a booking that a server has made before it went wrong.
    client.scripts = [fakes.Script(**script), fakes.Script()]
    with pytest.raises(errors.RequestError) as caught:
        await fakes.run_plain(context, routes.Kind.ONCE)
    assert (caught.value.status, caught.value.ran) == (502, 'unknown')
    assert len(client.attempts) == 1
    assert not was_blamed(client, context)


@pytest.mark.parametrize('script', [HEAD, BODY])
async def test_a_repeatable_request_goes_on_at_another_server(
    client, context, script
):
    # Guards against a failure that another server would not have had.
    client.scripts = [fakes.Script(**script), fakes.Script()]
    reply = await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    assert reply.body == b'done'
    assert client.attempts[0].address != client.attempts[1].address
    assert not was_blamed(client, context)


@pytest.mark.parametrize(
    'script', [HEAD, BODY, {'then': 'invalid', 'events': (1, 2)}]
)
async def test_a_stream_goes_on_at_another_engine(client, context, script):
    # Guards against a text that is blocked as if it had crashed its engine.
    client.scripts = [
        fakes.Script(**script),
        fakes.Script(events=(1, 2, 3)),
    ]
    caller, _ = await fakes.run_stream(context)
    assert caller.data == fakes.encode_events(1, 2, 3)
    assert client.attempts[0].address != client.attempts[1].address
    assert not was_blamed(client, context)


async def test_an_invalid_failure_of_a_stream_goes_on_elsewhere(
    client, context
):
    # Guards against a failure whose body is passed on though it is none.
    client.scripts = [
        fakes.Script(status=500, then='invalid'),
        fakes.Script(events=(1,)),
    ]
    caller, _ = await fakes.run_stream(context)
    assert caller.data == fakes.encode_events(1)
