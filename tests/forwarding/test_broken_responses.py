"""Tests of requests whose first response breaks off at any byte."""

import asyncio
import random

import attrs
import pytest
import pytest_asyncio

from bulrushhold import decisions
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import routes
from bulrushhold import web
from tests.forwarding import fakes
from tests import ingress_process
from tests import test_broken_responses as broken

EVENTS = 8
SERVERS = 4
SEEDS_PER_TEST = 60
KINDS = {
    '/once': routes.Kind.ONCE,
    '/safe': routes.Kind.IDEMPOTENT,
    '/stream': routes.Kind.STREAM,
}


class EventDialect(broken.StatementDialect):
    def request_headers(self, call, attempt):
        headers = super().request_headers(call, attempt)
        if attempt.last_event_id is not None:
            headers.append(('Last-Event-Id', str(attempt.last_event_id)))
        return headers


@attrs.define
class Servers(broken.BreakingServer):
    """Several servers, of which only the first response breaks off.

    :ivar addresses: of the servers.
    :ivar framing: of all responses after the first one.
    """

    addresses: list = attrs.field(factory=list)
    framing: str = 'length'

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            target = head.split(b' ', 2)[1].decode()
            if target == self.drawn.target:
                count = self.arrivals.get(target, 0) + 1
                self.arrivals[target] = count
                if count == 1:
                    await self.break_off(reader, writer)
                else:
                    writer.write(self.encode_whole(head.decode().lower()))
            else:
                writer.write(broken.GOOD_RESPONSE)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def encode_whole(self, request):
        body = self.drawn.body
        if 'last-event-id: ' in request:
            last = int(request.split('last-event-id: ')[1].split('\r')[0])
            body = fakes.encode_events(*range(last + 1, EVENTS + 1))
        head = broken.UNFRAMED_HEAD
        if self.framing == 'length':
            length = b'Content-Length: %d\r\n\r\n' % len(body)
            head = head.removesuffix(b'\r\n') + length
        return head + body


@pytest_asyncio.fixture
async def servers():
    created = Servers()
    listeners = []
    for _ in range(SERVERS):
        listener = await asyncio.start_server(created.serve, '127.0.0.1', 0)
        host, port = listener.sockets[0].getsockname()
        created.addresses.append(f'{host}:{port}')
        listeners.append(listener)
    yield created
    for listener in listeners:
        listener.close()


@pytest_asyncio.fixture
async def client():
    created = web.HttpBackendClient(EventDialect())
    yield created
    await created.close()


def make_context(client, addresses, seed):
    placement = decisions.Placement(random.Random(seed))
    placement.update(
        [
            messages.ListedBackend(f'i{n}', 'engines', address, 'dc', 64)
            for n, address in enumerate(addresses)
        ]
    )
    for ident in placement.backends:
        placement.verification.record_answer(ident)
    poison_requests = decisions.PoisonRequestDetector(placement.losses)
    return forwarding.ForwardingContext(
        placement,
        forwarding.PermitCheckingClient(client, placement, poison_requests),
        decisions.ServiceRetryBudget(1.0, 100, 10.0),
        node.NullMetrics(),
        poison_requests,
        decisions.AdmissionController(),
        'e1',
        fakes.FakePermitSource(),
    )


@pytest_asyncio.fixture
async def port(servers, client):
    async def handle(call, stream):
        name, _, seed = call.target.rpartition('/')
        context = make_context(client, servers.addresses, int(seed))
        job = fakes.make_job(context, KINDS[name], ident=call.target)
        call = attrs.evolve(job.call, method=call.method, target=call.target)
        job = attrs.evolve(job, call=call)
        if job.route.kind is routes.Kind.STREAM:
            return await forwarding.StreamForwarder(context, job, stream).run()
        return await forwarding.PlainForwarder(context, job).run()

    ingress = web.Ingress(handle, ingress_process.CallerDialect())
    await ingress.start('127.0.0.1', 0)
    yield ingress.runner.addresses[0][1]
    await ingress.close()


def check(drawn, servers, received):
    """Check that a response claims no more than its servers did."""
    assert received.status in (200, 502, 503, 504)
    arrivals = servers.arrivals.get(drawn.target, 0)
    if drawn.target.startswith('/once') and not drawn.not_run:
        assert arrivals <= 1
    if received.status != 200:
        return
    assert drawn.body.startswith(received.body)
    if received.broken:
        return
    if received.framing == 'connection':
        is_unframed = arrivals > 1 and servers.framing == 'connection'
        assert drawn.framing == 'connection' or is_unframed
        if arrivals > 1:
            assert received.body == drawn.body
        return
    assert received.body == drawn.body


@pytest.mark.parametrize('framing', ['length', 'connection'])
@pytest.mark.parametrize('target', sorted(KINDS))
@pytest.mark.parametrize('first', range(0, 180, SEEDS_PER_TEST))
async def test_a_request_whose_response_breaks_off_anywhere(
    servers, port, target, framing, first
):
    # Guards against short answers that look whole, events that are missing or
    # come twice, runs of more than once, and callers without an answer.
    body = fakes.encode_events(*range(1, EVENTS + 1))
    servers.framing = framing
    for seed in range(first, first + SEEDS_PER_TEST):
        name = f'{target}/{seed}'
        servers.drawn = drawn = broken.draw(seed, name, body)
        received = await broken.fetch(port, name, drawn.method)
        try:
            check(drawn, servers, received)
        except AssertionError as error:
            raise AssertionError(f'seed {seed}: {drawn}') from error


@pytest.mark.parametrize('target', ['/safe', '/stream'])
async def test_a_request_that_may_be_repeated_is_served_elsewhere(
    servers, port, target
):
    # Guards against refusals where another server would have answered.
    body = fakes.encode_events(*range(1, EVENTS + 1))
    for seed in range(SEEDS_PER_TEST):
        name = f'{target}/{seed}'
        servers.drawn = drawn = broken.draw(seed, name, body)
        received = await broken.fetch(port, name)
        if drawn.framing != 'connection' and target == '/safe':
            assert (received.status, received.body) == (200, body), seed
            assert not received.broken
        assert received.status == 200, seed
