"""Tests of plain requests with failing backend servers."""

import asyncio

import attrs
import pytest

from bulrushhold import bodies
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import routes
from tests.forwarding import fakes


async def test_a_call_that_may_run_only_once_is_not_sent_twice(
    client, context
):
    client.scripts = [fakes.Script(error='send')]
    with pytest.raises(errors.RequestError) as caught:
        await fakes.run_plain(context, routes.Kind.ONCE)
    assert caught.value.status == 502
    assert caught.value.ran is errors.Ran.UNKNOWN
    assert len(client.attempts) == 1


@pytest.mark.parametrize(
    'first',
    [fakes.Script(error='connect'), fakes.Script(status=503, not_run=True)],
)
async def test_a_call_that_did_not_run_is_retried_elsewhere(
    client, context, first
):
    client.scripts = [first, fakes.Script()]
    reply = await fakes.run_plain(context, routes.Kind.ONCE)
    assert reply.body == b'done'
    assert client.attempts[0].address != client.attempts[1].address
    assert all(attempt.new_connection for attempt in client.attempts)


async def test_a_server_error_is_returned_for_a_call_that_may_run_only_once(
    client, context
):
    client.scripts = [fakes.Script(status=500, body=b'broken')]
    reply = await fakes.run_plain(context, routes.Kind.ONCE)
    assert (reply.status, reply.body) == (500, b'broken')


async def test_a_failed_idempotent_call_is_retried_elsewhere(client, context):
    client.scripts = [fakes.Script(status=500), fakes.Script()]
    reply = await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    assert reply.status == 200


@pytest.mark.parametrize(
    'fault', [{'matches_request': False}, {'from_backend': False}]
)
async def test_a_mismatched_response_is_never_forwarded(
    client, context, fault
):
    # Guards against a late response to another request on a reused connection.
    client.scripts = [
        fakes.Script(body=b'theirs', **fault),
        fakes.Script(body=b'mine'),
    ]
    reply = await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    assert reply.body == b'mine'


async def test_the_last_attempt_has_no_stall_timeout(client, context):
    # Guards against giving up the last attempt before the deadline.
    client.scripts = [fakes.Script(then='silent'), fakes.Script(then='silent')]
    with pytest.raises(errors.RequestError) as caught:
        await fakes.run_plain(
            context, routes.Kind.IDEMPOTENT, timeout_s=1.0, attempts=2
        )
    assert caught.value.status == 504
    assert client.attempts[1].remaining_s < 0.6
    assert len(client.attempts) == 2


async def test_a_retry_does_not_rely_on_a_connection_used_before(
    client, context
):
    # Guards against attempts that all end on connections gone silent.
    client.scripts = [fakes.Script(error='send'), fakes.Script()]
    await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    assert [a.new_connection for a in client.attempts] == [False, True]


class OpenBody(bodies.Body):
    closed = False

    async def piece(self):
        return b''

    def close(self):
        self.closed = True


@pytest.mark.parametrize('second', [200, 502])
async def test_only_the_forwarded_body_stays_open(
    client, context, monkeypatch, second
):
    # Guards against memory and connections of responses that nobody gets.
    received = []

    async def receive(response):
        received.append(OpenBody())
        return received[-1]

    monkeypatch.setattr(fakes.FakeResponse, 'receive', receive)
    client.scripts = [fakes.Script(status=s) for s in (503, second)]
    job = fakes.make_job(context, routes.Kind.IDEMPOTENT)
    job = attrs.evolve(job, route=attrs.evolve(job.route, max_attempts=2))
    reply = await forwarding.PlainForwarder(context, job).run()
    assert reply.status == second and reply.body is received[1]
    assert [body.closed for body in received] == [True, False]


async def test_a_hung_server_is_left_once_another_one_is_back(client, context):
    # Guards against a wait to the deadline as others were ejected for once.
    backends = context.placement.backends
    for backend in backends.values():
        backend.latency = 0.02
    client.silent = {backend.address for backend in backends.values()}
    client.scripts = [fakes.Script(then='silent'), fakes.Script()]
    task = asyncio.ensure_future(
        fakes.run_plain(context, routes.Kind.IDEMPOTENT, timeout_s=4.0)
    )
    await asyncio.sleep(0.05)
    [hung] = client.attempts
    others = [b for b in backends.values() if b.address != hung.address]
    for other in others:
        context.placement.record_failure(
            other.ident, context.clock(), unreachable=True
        )
    await asyncio.sleep(0.5)
    client.silent = {hung.address}
    for other in others:
        context.placement.record_success(other.ident, context.clock(), 0.02)
    reply = await task
    assert reply.body == b'done'
