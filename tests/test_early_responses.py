"""Tests of responses that arrive while their requests are being sent."""

import asyncio
import socket
import struct

import attrs
import pytest
import pytest_asyncio

from bulrushhold import calls
from bulrushhold import errors
from bulrushhold import node
from bulrushhold import web
from tests import ingress_process
from tests import test_broken_responses

NO_LINGER = struct.pack('ii', 1, 0)
UNFRAMED = b'HTTP/1.1 200 OK\r\nX-Stamp: 1\r\n\r\nhalf'
SIZED = b'HTTP/1.1 200 OK\r\nX-Stamp: 1\r\nContent-Length: 4\r\n\r\nhalf'
# Far more than a socket takes whose other end isn't read.
UPLOAD_BYTES = 8 << 20
SMALL_UPLOAD_BYTES = 900 << 10
PAUSE_S = 0.02
TIMEOUT_S = 5.0
BUDGET_BYTES = 32 << 20


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    connection.close()


async def reset_at_once(connection):
    reset(connection)


async def reset_later(connection):
    await asyncio.sleep(PAUSE_S)
    reset(connection)


async def close_unread(connection):
    connection.close()


async def end_and_reset(connection):
    connection.shutdown(socket.SHUT_WR)
    reset(connection)


async def end_and_reset_later(connection):
    connection.shutdown(socket.SHUT_WR)
    await asyncio.sleep(PAUSE_S)
    reset(connection)


async def take_part_and_reset(connection):
    # Its system has more room for what isn't read, and takes all of it.
    loop = asyncio.get_running_loop()
    taken = 0
    while taken < SMALL_UPLOAD_BYTES // 2:
        taken += len(await loop.sock_recv(connection, 1 << 18))
    await end_and_reset_later(connection)


async def end_and_read(connection):
    connection.shutdown(socket.SHUT_WR)
    await asyncio.sleep(PAUSE_S)
    while await asyncio.get_running_loop().sock_recv(connection, 1 << 16):
        pass
    connection.close()


RESETS = [
    reset_at_once,
    reset_later,
    close_unread,
    end_and_reset,
    end_and_reset_later,
    take_part_and_reset,
]


@attrs.define
class EarlyServer:
    """Answers as soon as it has the head of a request.

    :ivar end: what it does then with the connection, of which it has read
        nothing else.
    """

    response: bytes = b''
    end: object = None
    address: str = ''
    requests: int = 0

    async def run(self, listener):
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            while True:
                connection, _ = await loop.sock_accept(listener)
                connection.setblocking(False)
                group.create_task(self.serve(connection))

    async def serve(self, connection):
        loop = asyncio.get_running_loop()
        received = b''
        while b'\r\n\r\n' not in received:
            received += await loop.sock_recv(connection, 64)
        self.requests += 1
        await loop.sock_sendall(connection, self.response)
        await self.end(connection)


@pytest_asyncio.fixture
async def server():
    listener = socket.create_server(('127.0.0.1', 0))
    listener.setblocking(False)
    host, port = listener.getsockname()
    created = EarlyServer(address=f'{host}:{port}')
    task = asyncio.ensure_future(created.run(listener))
    yield created
    task.cancel()
    await asyncio.wait([task])
    listener.close()


@pytest_asyncio.fixture(params=['unbounded', 'bounded'])
async def client(request):
    budget = None
    if request.param == 'bounded':
        budget = web.BufferBudget(BUDGET_BYTES, node.NullMetrics())
    created = web.HttpBackendClient(
        test_broken_responses.StatementDialect(), budget
    )
    yield created
    await created.close()


async def upload(client, server, size):
    call = calls.Call('r', 'POST', '/a', 'h', '', (), bytes(size), 1.0)
    attempt = calls.Attempt(server.address, 'i', '', 1.0, new_connection=True)
    async with asyncio.timeout(TIMEOUT_S):
        response = await client.send(call, attempt)
        return await response.body()


@pytest.mark.parametrize('size', [SMALL_UPLOAD_BYTES, UPLOAD_BYTES])
@pytest.mark.parametrize('end', RESETS)
async def test_a_reset_beside_an_unfinished_upload_completes_no_response(
    client, server, end, size
):
    # Guards against the part of a body that arrived, taken for all of it.
    server.response, server.end = UNFRAMED, end
    with pytest.raises(errors.BackendError):
        await upload(client, server, size)
    assert server.requests == 1


@pytest.mark.parametrize('target', ['/plain', '/stream'])
@pytest.mark.parametrize('end', RESETS)
async def test_a_caller_who_uploads_gets_no_half_response(
    client, server, end, target
):
    server.response, server.end = UNFRAMED, end
    forwarder = test_broken_responses.Forwarder(client, server.address)
    ingress = web.Ingress(forwarder.handle, ingress_process.CallerDialect())
    await ingress.start('127.0.0.1', 0)
    port = ingress.runner.addresses[0][1]
    async with asyncio.timeout(TIMEOUT_S):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(
            b'POST %b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%b'
            % (target.encode(), SMALL_UPLOAD_BYTES, bytes(SMALL_UPLOAD_BYTES))
        )
        received = await test_broken_responses.read_response(reader)
    writer.close()
    await ingress.close()
    assert received.status == 502 or received.broken


@pytest.mark.parametrize('size', [0, SMALL_UPLOAD_BYTES, UPLOAD_BYTES])
async def test_an_early_response_is_complete_once_the_upload_is(
    client, server, size
):
    # Guards against a valid response that is taken for a broken one.
    server.response, server.end = UNFRAMED, end_and_read
    assert await upload(client, server, size) == b'half'


async def test_a_cut_response_with_a_length_fails_beside_an_upload(
    client, server
):
    # Guards against a caller that waits for what can't come any more.
    async def end(connection):
        connection.shutdown(socket.SHUT_WR)
        await asyncio.Event().wait()

    server.response, server.end = SIZED[:-1], end
    with pytest.raises(errors.BackendError):
        await upload(client, server, SMALL_UPLOAD_BYTES)


@pytest.mark.parametrize('end', [reset_later, end_and_reset_later])
async def test_an_early_response_with_a_length_is_complete_before_a_reset(
    client, server, end
):
    # Guards against a valid response that is taken for a broken one.
    server.response, server.end = SIZED, end
    assert await upload(client, server, SMALL_UPLOAD_BYTES) == b'half'
