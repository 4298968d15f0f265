"""Tests of servers whose responses exceed a limit."""

import pytest

from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import routes
from tests.forwarding import fakes

OVERSIZED = fakes.Script(error='send', oversized=True)


class CountingMetrics:
    def __init__(self):
        self.counted = []

    def count(self, name, amount=1, labels=None):
        self.counted.append(name)


@pytest.fixture
def metrics():
    return CountingMetrics()


@pytest.fixture(autouse=True)
def oversized(client, context, metrics):
    created = forwarding.OversizedResponses(
        context.placement, metrics, context.clock
    )
    client.on_oversized = created.record
    return created


def ejected(context):
    now = context.clock()
    return [
        backend
        for backend in context.placement.backends.values()
        if backend.ejected_until > now
    ]


async def test_a_server_that_sends_without_end_is_left_alone(
    client, context, metrics
):
    # Guards against a server that gets, and fails, request after request.
    client.scripts = [OVERSIZED, *[fakes.Script()] * 20]
    with pytest.raises(errors.RequestError) as caught:
        await fakes.run_plain(context, routes.Kind.ONCE)
    assert (caught.value.status, caught.value.ran) == (502, 'unknown')
    (server,) = ejected(context)
    assert server.address == client.attempts[0].address
    for _ in range(20):
        await fakes.run_plain(context, routes.Kind.ONCE)
    assert server.address not in [a.address for a in client.attempts[1:]]
    assert metrics.counted == ['responses.oversized']


async def test_a_repeatable_request_goes_on_at_another_server(client, context):
    client.scripts = [OVERSIZED, fakes.Script()]
    reply = await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    assert reply.body == b'done'
    assert client.attempts[0].address != client.attempts[1].address


async def test_a_stream_goes_on_at_another_engine(client, context):
    client.scripts = [OVERSIZED, fakes.Script(events=(1, 2))]
    caller, _ = await fakes.run_stream(context)
    assert caller.data == fakes.encode_events(1, 2)
    assert [e.address for e in ejected(context)] == [
        client.attempts[0].address
    ]


@pytest.mark.parametrize('run', [fakes.run_plain, fakes.run_stream])
async def test_a_response_without_end_is_no_crash(client, context, run):
    # Guards against a request that is blocked as if it crashed engines.
    client.scripts = [OVERSIZED, fakes.Script(events=(1,))]
    if run is fakes.run_plain:
        await run(context, routes.Kind.IDEMPOTENT)
    else:
        await run(context)
    (server,) = ejected(context)
    detector = context.poison_requests
    assert not detector.was_reset(server.ident, context.clock())
    assert detector.take_pending() == []
    assert context.placement.pending_losses == []


async def test_a_server_that_is_not_listed_is_logged_only(oversized, metrics):
    oversized.record('10.9.9.9:1', 65536, 'response head')
    assert metrics.counted == ['responses.oversized']
