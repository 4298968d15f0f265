"""Tests of backend servers that send bytes until the connection is closed."""

import asyncio
import time

import attrs
import pytest
import pytest_asyncio

from bulrushhold import calls
from bulrushhold import errors
from bulrushhold import ports
from bulrushhold import web
from tests import test_backend_connections

INTERIM_HEAD = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
GENERATION = ports.GenerationRequest(
    request='r',
    attempt=1,
    model='m',
    messages=[],
    prefix=[],
    max_tokens=1,
    priority=0,
    deadline_s=5.0,
)
PART_BYTES = 64 << 10
# Bytes that two sockets on the loopback network hold unread, and more.
IN_FLIGHT_BYTES = 16 << 20
# A server gives up after this; a client without a bound is still reading.
MAX_SENT_BYTES = 96 << 20
CLOSED_S = 1.0


@attrs.define
class EndlessServer:
    """Answers each request with a start, and a part again and again.

    :ivar sent: bytes written to all connections.
    :ivar closed: number of connections that were closed by the other side.
    """

    start: bytes = b''
    part: bytes = b''
    address: str = ''
    sent: int = 0
    closed: int = 0

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.start)
            part = self.part * (PART_BYTES // len(self.part))
            while self.sent < MAX_SENT_BYTES:
                writer.write(part)
                self.sent += len(part)
                await writer.drain()
                await asyncio.sleep(0)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        finally:
            writer.close()


@attrs.define
class Reports:
    """Collects the responses that exceeded a limit."""

    records: list = attrs.field(factory=list)

    def record(self, address, byte_count, reason):
        self.records.append((address, byte_count, reason))


@pytest_asyncio.fixture
async def endless():
    created = EndlessServer()
    listener = await asyncio.start_server(created.serve, '127.0.0.1', 0)
    host, port = listener.sockets[0].getsockname()
    created.address = f'{host}:{port}'
    yield created
    listener.close()


@pytest.fixture
def reports():
    return Reports()


@pytest_asyncio.fixture
async def client(reports):
    created = web.HttpBackendClient(
        test_backend_connections.StubDialect(), on_oversized=reports.record
    )
    yield created
    await created.close()


async def send(client, address, method='POST', new_connection=False):
    call = calls.Call('r', method, '/a', 'h', '', (), b'', 1.0)
    attempt = calls.Attempt(
        address, 'i', '', 1.0, new_connection=new_connection
    )
    return await client.send(call, attempt)


async def wait_until_closed(server):
    async with asyncio.timeout(CLOSED_S):
        while not server.closed:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('new_connection', [False, True])
async def test_a_response_with_endless_interim_heads_is_ended(
    client, reports, endless, new_connection
):
    # Guards against an entry that stands still parsing heads without end.
    endless.part = INTERIM_HEAD
    started = time.monotonic()
    with pytest.raises(errors.BackendError) as exc_info:
        async with asyncio.timeout(CLOSED_S):
            await send(client, endless.address, new_connection=new_connection)
    assert exc_info.value.step == 'send'
    assert isinstance(exc_info.value, errors.OversizedResponseError)
    await wait_until_closed(endless)
    assert time.monotonic() - started < CLOSED_S
    assert endless.sent < IN_FLIGHT_BYTES
    ((address, byte_count, _),) = reports.records
    assert address == endless.address
    assert byte_count == web.MAX_HEAD_BYTES


async def test_a_probe_with_endless_interim_heads_fails_at_once(
    client, reports, endless
):
    # Guards against a probe that takes all of the loop until it times out.
    endless.part = INTERIM_HEAD
    started = time.monotonic()
    assert not await client.probe(endless.address, 5 * CLOSED_S)
    assert time.monotonic() - started < CLOSED_S
    assert len(reports.records) == 1


@pytest.mark.parametrize('size', [1, 60 << 10])
async def test_interim_heads_within_the_limit_are_skipped(client, size):
    # Guards against a limit that counts the body as a head.
    heads = INTERIM_HEAD * max(1, size // len(INTERIM_HEAD))
    body = bytes(range(256)) * 1024
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    server = test_backend_connections.ScriptedServer(
        responses=[heads + head + body] * 2
    )
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    host, port = listener.sockets[0].getsockname()
    for _ in range(2):
        response = await send(client, f'{host}:{port}')
        assert await response.body() == body
    assert server.connections == 1
    listener.close()


CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
DECLARED_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n'
CHUNK = b'400\r\n%b\r\n' % bytes(1024)
ENDLESS_BODIES = [
    (CHUNKED_HEAD, CHUNK),
    (UNFRAMED_HEAD, bytes(1024)),
    (DECLARED_HEAD, bytes(1024)),
]
TIMEOUT_S = 5 * CLOSED_S


async def probe(client, address):
    assert not await client.probe(address, TIMEOUT_S)


async def list_segments(client, address):
    with pytest.raises(errors.OversizedResponseError) as exc_info:
        await client.cached_segments(address, TIMEOUT_S)
    assert exc_info.value.step == 'segments'


async def request_copy(client, address):
    call = calls.Call('r', 'POST', '/a', 'h', '', (), b'', 1.0)
    with pytest.raises(errors.OversizedResponseError) as exc_info:
        await client.copy_run(call, address, 'target:1', TIMEOUT_S)
    assert exc_info.value.step == 'copy'


async def delete_copy(client, address):
    await client.drop_copy(calls.RunCopy(address, 'c'), TIMEOUT_S)


async def read_failure(client, address):
    # A stream's failure is passed on whole.
    response = await send(client, address)
    with pytest.raises(errors.OversizedResponseError) as exc_info:
        await response.body()
    assert exc_info.value.step == 'answer'
    response.close()


@pytest.mark.parametrize(('start', 'part'), ENDLESS_BODIES)
@pytest.mark.parametrize(
    'read', [probe, list_segments, request_copy, delete_copy, read_failure]
)
async def test_a_body_without_end_is_not_collected(
    client, reports, endless, read, start, part
):
    # Guards against memory that grows until an operation times out.
    endless.start, endless.part = start, part
    started = time.monotonic()
    await read(client, endless.address)
    assert time.monotonic() - started < CLOSED_S
    await wait_until_closed(endless)
    assert endless.sent < IN_FLIGHT_BYTES
    ((address, _, reason),) = reports.records
    assert (address, reason) == (endless.address, 'response body')


@pytest.mark.parametrize(
    ('start', 'part'),
    [
        (b'', b'x'),
        (b'HTTP/1.1 200 O', b'K'),
        (b'HTTP/1.1 200 OK\r\nX: ', b'x'),
        (b'HTTP/1.1 200 OK\r\n', b'X: y\r\n'),
        (CHUNKED_HEAD + b'1', b'0'),
        (CHUNKED_HEAD + b'1;', b'x'),
        (CHUNKED_HEAD + b'0\r\n', b'X: y\r\n'),
        (CHUNKED_HEAD + b'0\r\nX: ', b'x'),
        (CHUNKED_HEAD + b'0\r\nX: y\r\n', b' x\r\n'),
    ],
)
async def test_no_part_of_a_response_is_without_end(
    client, endless, start, part
):
    # Guards against memory, or time of the loop, that one line takes.
    endless.start, endless.part = start, part
    started = time.monotonic()
    with pytest.raises(errors.InvalidResponseError):
        async with asyncio.timeout(TIMEOUT_S):
            response = await send(client, endless.address)
            await response.body()
    assert time.monotonic() - started < CLOSED_S
    await wait_until_closed(endless)
    assert endless.sent < IN_FLIGHT_BYTES


async def test_an_event_without_end_is_not_collected(endless):
    # Guards against an engine that fills the memory of the own interface.
    endless.start, endless.part = CHUNKED_HEAD, CHUNK
    endless.start += b'6\r\ndata: \r\n'
    started = time.monotonic()
    async with web.make_session() as session:
        with pytest.raises(errors.EngineLostError) as exc_info:
            async with asyncio.timeout(TIMEOUT_S):
                await web.HttpEngineClient(session).run(
                    endless.address, GENERATION, lambda event: True
                )
    assert 'too large' in exc_info.value.reason
    assert time.monotonic() - started < CLOSED_S
    await wait_until_closed(endless)
    assert endless.sent < IN_FLIGHT_BYTES


@pytest.mark.parametrize(('start', 'part'), ENDLESS_BODIES)
async def test_a_body_is_passed_on_without_a_budget_as_it_is_read(
    client, endless, start, part
):
    # Guards against a plain response that fills the memory of an entry whose
    # settings name none.
    endless.start, endless.part = start, part
    response = await send(client, endless.address)
    async with asyncio.timeout(TIMEOUT_S):
        body = await response.receive()
        size = 0
        while size < MAX_SENT_BYTES // 4:
            piece = await body.piece()
            size += len(piece)
    assert size - len(piece) < endless.sent
    await asyncio.sleep(0.2)
    unread = endless.sent - size
    assert unread < web.READ_AHEAD_BYTES + IN_FLIGHT_BYTES
    body.close()
    await wait_until_closed(endless)


async def test_a_large_body_is_received_whole_without_a_budget(client):
    # Guards against a bound that truncates what is passed on.
    body = bytes(range(256)) * (12 << 10)
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    server = test_backend_connections.ScriptedServer(responses=[head + body])
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    host, port = listener.sockets[0].getsockname()
    response = await send(client, f'{host}:{port}')
    received = await response.receive()
    pieces = []
    while piece := await received.piece():
        pieces.append(bytes(piece))
    assert b''.join(pieces) == body
    assert received.complete
    received.close()
    listener.close()


async def test_a_declared_length_without_a_body_exceeds_no_limit(client):
    # Guards against a limit on what a HEAD request only tells of.
    server = test_backend_connections.ScriptedServer(responses=[DECLARED_HEAD])
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    host, port = listener.sockets[0].getsockname()
    response = await send(client, f'{host}:{port}', method='HEAD')
    assert await response.receive() == b''
    listener.close()
