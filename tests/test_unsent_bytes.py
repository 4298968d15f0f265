"""Tests of what the system keeps to be sent for callers that read slowly."""

import asyncio
import socket

import attrs
import pytest
import pytest_asyncio

from bulrushhold import bodies
from bulrushhold import calls
from bulrushhold import node
from bulrushhold import web
from bulrushhold.web import _connections
from tests import ingress_process

PIECE = bytes(16 << 10)
PIECES = 256
REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
# What is in flight to a caller with the smallest receive buffer, and what the
# entry itself keeps.
OTHER_BYTES = 64 << 10
SETTLED_S = 0.3


class LargeBody(bodies.Body):
    """A body that is always ready.

    :ivar taken: bytes that were taken to be sent.
    """

    def __init__(self, complete, pieces=PIECES):
        self.complete = complete
        self.length = pieces * len(PIECE)
        self.taken = 0

    async def piece(self):
        if self.taken == self.length:
            return b''
        self.taken += len(PIECE)
        return PIECE

    def close(self):
        pass


@attrs.define
class Server:
    """An ingress that answers with the bodies in order.

    :ivar bounds: of unsent bytes, at the end of each body.
    """

    bodies: list = attrs.field(factory=list)
    bounds: list = attrs.field(factory=list)
    port: int = 0

    async def handle(self, call, stream):
        body = self.bodies.pop(0)
        connection = stream.request.transport.get_extra_info('socket')
        body.close = lambda: self.bounds.append(
            connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT)
        )
        return calls.Reply(200, (), body)


@pytest_asyncio.fixture
async def server():
    server = Server()
    budget = web.BufferBudget(0, node.NullMetrics())
    dialect = ingress_process.CallerDialect()
    ingress = web.Ingress(server.handle, dialect, budget)
    await ingress.start('127.0.0.1', 0)
    server.port = ingress.runner.addresses[0][1]
    yield server
    await ingress.close()


async def connect(port):
    """Return a connection with the smallest receive buffer."""
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, ('127.0.0.1', port))
    return await asyncio.open_connection(sock=connection, limit=4096)


async def test_little_is_passed_on_to_a_caller_that_does_not_read(server):
    # Guards against an entry that is busy filling the system's buffers of
    # slow readers, while other callers wait.
    body = LargeBody(complete=False)
    server.bodies.append(body)
    _, writer = await connect(server.port)
    writer.write(REQUEST)
    await asyncio.sleep(SETTLED_S)
    assert 0 < body.taken <= _connections.UNSENT_BYTES + OTHER_BYTES
    writer.transport.abort()


@pytest.mark.parametrize('complete', [False, True])
async def test_a_caller_gets_the_whole_response(server, complete):
    # Guards against a response that stops at the bound.
    server.bodies.append(LargeBody(complete))
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    writer.write(REQUEST)
    head = await reader.readuntil(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')
    body = await reader.readexactly(PIECES * len(PIECE))
    assert body == PIECE * PIECES
    writer.close()


async def test_a_complete_body_is_not_bound(server):
    # Guards against memory that a complete body keeps although the system
    # takes it, also after a response that was passed on.
    server.bodies += [LargeBody(False, 1), LargeBody(True, 1)]
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    for _ in range(2):
        writer.write(REQUEST)
        await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(len(PIECE))
    await asyncio.sleep(0)
    assert server.bounds == [_connections.UNSENT_BYTES, 0]
    writer.close()
