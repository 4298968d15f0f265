"""Tests of backend servers that send what is no valid HTTP response."""

import asyncio
import random

import attrs
import pytest
import pytest_asyncio

from bulrushhold import calls
from bulrushhold import errors
from bulrushhold import node
from bulrushhold import web
from tests import http_responses
from tests import ingress_process
from tests.platform.soak import invalid
from tests import test_backend_connections
from tests import test_broken_responses

BUDGET_BYTES = 1 << 20
TIMEOUT_S = 5.0
# Far below any deadline.
AT_ONCE_S = 0.5
PAUSE_S = 0.02
# Those that have a meaning in responses, and some that mustn't be in any.
ODD_BYTES = b'\r\n\t :;,0123456789aAfF\x00\x01\x7f\x80\xff'


@attrs.define
class RawServer:
    """Answers each request with bytes, and keeps the connection.

    :ivar rest: sent a moment after the response.
    :ivar piece_bytes: size of the parts of a response; 0 to send it at once.
    """

    response: bytes = b''
    rest: bytes = b''
    piece_bytes: int = 0
    address: str = ''
    requests: int = 0
    keeps: bool = True

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            self.requests += 1
            await self.send(writer)
            if self.rest:
                await asyncio.sleep(PAUSE_S)
                writer.write(self.rest)
            if self.keeps:
                await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def send(self, writer):
        step = self.piece_bytes or len(self.response)
        for start in range(0, len(self.response), step):
            writer.write(self.response[start : start + step])
            await writer.drain()
            await asyncio.sleep(0)


class PassingDialect(test_broken_responses.StatementDialect):
    """Passes on all fields but those of the connection."""

    def decode_head(self, call, status, headers):
        dropped = ('content-length', 'transfer-encoding', 'connection')
        head = super().decode_head(call, status, headers)
        passed = tuple(
            (name, value)
            for name, value in headers.items()
            if name.lower() not in dropped
        )
        return attrs.evolve(head, headers=passed)


@attrs.define
class NewConnections:
    """Sends each call on a connection of its own."""

    client: web.HttpBackendClient

    async def send(self, call, attempt):
        attempt = attrs.evolve(attempt, new_connection=True)
        return await self.client.send(call, attempt)


@attrs.define
class Reports:
    """Collects the invalid responses."""

    records: list = attrs.field(factory=list)

    def record(self, address, reason):
        self.records.append((address, reason))


@pytest.fixture
def reports():
    return Reports()


@pytest_asyncio.fixture
async def server():
    created = RawServer()
    listener = await asyncio.start_server(created.serve, '127.0.0.1', 0)
    host, port = listener.sockets[0].getsockname()
    created.address = f'{host}:{port}'
    yield created
    listener.close()


@pytest_asyncio.fixture(params=['unbounded', 'bounded'])
async def client(request, reports):
    budget = None
    if request.param == 'bounded':
        budget = web.BufferBudget(BUDGET_BYTES, node.NullMetrics())
    created = web.HttpBackendClient(
        PassingDialect(), budget, on_invalid=reports.record
    )
    yield created
    await created.close()


@pytest_asyncio.fixture
async def port(client, server):
    forwarder = test_broken_responses.Forwarder(
        NewConnections(client), server.address
    )
    ingress = web.Ingress(forwarder.handle, ingress_process.CallerDialect())
    await ingress.start('127.0.0.1', 0)
    yield ingress.runner.addresses[0][1]
    await ingress.close()


@pytest_asyncio.fixture
async def proxied_port(client, server):
    async with test_broken_responses.serve_by_proxy(
        NewConnections(client), server.address
    ) as port:
        yield port


async def fetch(port, target='/plain', method='POST'):
    return await test_broken_responses.fetch(port, target, method)


async def send(client, address, method='POST'):
    call = calls.Call('r', method, '/a', 'h', '', (), b'', 1.0)
    attempt = calls.Attempt(address, 'i', '', 1.0, new_connection=True)
    return await client.send(call, attempt)


def check_invalid(received):
    """Check that the caller got the entry's own error, and all of it."""
    assert (received.status, received.framing) == (502, 'length')
    assert not received.broken
    assert b'X-Stamp' not in received.headers


@pytest.mark.parametrize('piece_bytes', [0, 1])
@pytest.mark.parametrize('name', http_responses.INVALID)
async def test_an_invalid_response_does_not_reach_a_caller(
    server, port, reports, name, piece_bytes
):
    # Guards against bytes that are no response, passed on as an answer.
    server.response = http_responses.INVALID[name]
    server.piece_bytes = piece_bytes
    # Its end may be what shows that it is one.
    server.keeps = False
    check_invalid(await fetch(port))
    assert server.requests == 1
    ((address, _),) = reports.records
    assert address == server.address


@pytest.mark.parametrize('name', http_responses.INVALID)
async def test_an_invalid_response_does_not_reach_a_caller_of_another_entry(
    server, proxied_port, name
):
    # Guards against bytes that are no response, passed on between entries.
    server.response = http_responses.INVALID[name]
    server.keeps = False
    check_invalid(await fetch(proxied_port))


@pytest.mark.parametrize('name', http_responses.INVALID)
async def test_an_invalid_response_fails_at_once(server, client, name):
    # Guards against a request that waits for its deadline.
    server.response = http_responses.INVALID[name]
    with pytest.raises(errors.InvalidResponseError):
        async with asyncio.timeout(AT_ONCE_S):
            await (await send(client, server.address)).body()


OWN_FIELDS = (
    b'Connection',
    b'Content-Length',
    b'Content-Type',
    b'Date',
    b'Server',
)


def passed_fields(head):
    """Return the lines of a head that an entry doesn't add."""
    lines = head.removesuffix(b'\r\n\r\n').split(b'\r\n')[1:]
    return [line for line in lines if line.split(b':')[0] not in OWN_FIELDS]


@pytest.mark.parametrize('piece_bytes', [0, 1])
@pytest.mark.parametrize('name', http_responses.VALID)
async def test_a_valid_response_arrives_unchanged(
    server, port, reports, name, piece_bytes
):
    # Guards against a check that refuses, or changes, what is only odd.
    server.response, fields = http_responses.VALID[name]
    server.piece_bytes = piece_bytes
    received = await fetch(port)
    assert (received.status, received.body) == (200, b'ok')
    assert not received.broken
    assert passed_fields(received.headers) == [b'X-Stamp: 1', *fields]
    assert not reports.records


@pytest.mark.parametrize('name', http_responses.VALID)
async def test_a_valid_response_to_another_entry_arrives_unchanged(
    server, proxied_port, name
):
    # Guards against a message between entries that can't hold what is odd.
    server.response, fields = http_responses.VALID[name]
    received = await fetch(proxied_port)
    assert (received.status, received.body) == (200, b'ok')
    assert not received.broken
    assert passed_fields(received.headers) == [b'X-Stamp: 1', *fields]


@pytest.mark.parametrize('status', [200, 299, 399, 404, 418, 499, 500, 599])
async def test_any_final_status_arrives_unchanged(server, port, status):
    # Guards against a check that knows registered statuses only.
    server.response = http_responses.with_status(b'HTTP/1.1 %d X' % status)
    received = await fetch(port)
    assert (received.status, received.body) == (status, b'ok')


@pytest.mark.parametrize('status', [b'204 No Content', b'304 Not Modified'])
async def test_a_response_without_a_body_may_name_a_length(
    server, port, status
):
    # Guards against a body that is waited for and never comes.
    server.response = http_responses.response(
        status=b'HTTP/1.1 ' + status, body=b''
    )
    received = await fetch(port)
    assert received.status == int(status[:3])


async def test_a_response_to_a_head_request_has_no_body(server, port):
    # Guards against a body that is waited for and never comes.
    for fields in ((b'Content-Length: 9',), (http_responses.CHUNKED,)):
        server.response = http_responses.response(*fields, body=b'')
        received = await fetch(port, method='HEAD')
        assert (received.status, received.broken) == (200, False)


BROKEN_RESTS = {
    'chunk size': b'zz\r\nok\r\n',
    'end of chunk': b'2\r\nokXX',
    'trailer': b'0\r\nX Y: 1\r\n\r\n',
    'value of a trailer': b'0\r\nX: \x01\r\n\r\n',
    'length in a trailer': b'0\r\nContent-Length : 1\r\n\r\n',
}


@pytest.mark.parametrize('rest', BROKEN_RESTS.values(), ids=BROKEN_RESTS)
async def test_a_body_that_becomes_invalid_fails_at_once(server, client, rest):
    # Guards against a caller that waits for the rest until its deadline.
    server.response = http_responses.chunked(b'2\r\nok\r\n')
    server.rest = rest
    received = await send(client, server.address)
    with pytest.raises(errors.InvalidResponseError) as exc_info:
        async with asyncio.timeout(AT_ONCE_S):
            await received.body()
    assert exc_info.value.step == 'answer'


async def test_a_stream_that_becomes_invalid_does_not_end_whole(server, port):
    # Guards against half of a stream that looks whole.
    server.response = http_responses.chunked(b'2\r\nok\r\n')
    server.rest = b'0\r\nX: \x01\r\n\r\n'
    received = await fetch(port, '/stream')
    assert (received.status, received.broken) == (200, True)


@pytest.mark.parametrize('name', http_responses.INVALID)
async def test_an_invalid_report_is_no_report(server, reports, name):
    # Guards against a probe, or another small answer, that is believed.
    server.response = http_responses.INVALID[name]
    client = web.HttpBackendClient(
        test_backend_connections.StubDialect(), on_invalid=reports.record
    )
    async with asyncio.timeout(TIMEOUT_S):
        assert not await client.probe(server.address, TIMEOUT_S)
        assert not await client.has_ended(server.address, TIMEOUT_S, 'i')
        assert not await client.identify(server.address, TIMEOUT_S, 'i')
        with pytest.raises(errors.InvalidResponseError):
            await client.read_start(server.address, TIMEOUT_S)
        with pytest.raises(errors.InvalidResponseError):
            await client.cached_segments(server.address, TIMEOUT_S)
        call = calls.Call('r', 'POST', '/a', 'h', '', (), b'', 1.0)
        with pytest.raises(errors.InvalidResponseError):
            await client.copy_run(call, server.address, 'a:1', TIMEOUT_S)
    await client.close()
    assert len(reports.records) == server.requests == 6


def mutate(chance):
    """Return a valid response of which some bytes are others."""
    data, _ = http_responses.VALID[chance.choice(list(http_responses.VALID))]
    data = bytearray(data[:400])
    for _ in range(chance.choice((1, 1, 1, 2, 4))):
        place = chance.randrange(len(data))
        match chance.randrange(3):
            case 0:
                data[place] = chance.choice(ODD_BYTES)
            case 1:
                data.insert(place, chance.choice(ODD_BYTES))
            case 2:
                del data[place]
    return bytes(data)


@pytest.mark.parametrize('first', range(0, 600, 200))
async def test_a_caller_of_a_server_that_sends_anything_gets_http(
    server, port, first
):
    # Guards against forms of invalid responses that nobody has thought of.
    host = '127.0.0.1'
    server.keeps = False
    for seed in range(first, first + 200):
        server.response = mutate(random.Random(seed))
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b'POST /plain HTTP/1.1\r\nHost: h\r\n')
            writer.write(b'Connection: close\r\nContent-Length: 0\r\n\r\n')
            received = await invalid.read_response(reader)
            assert await reader.read() == b''
        writer.close()
        assert not received.fault, f'{seed}: {received.fault}'
        assert 200 <= received.status <= 599, seed


async def test_a_session_that_closes_completes_no_response(server):
    # Guards against half of a body that looks whole as an entry shuts down.
    server.response = http_responses.response(b'X: 1', body=b'half')
    client = web.HttpBackendClient(test_backend_connections.StubDialect())
    received = await send(client, server.address)
    assert await received.chunk() == b'half'
    await client.close()
    with pytest.raises(errors.BackendError):
        async with asyncio.timeout(TIMEOUT_S):
            await received.chunk()
