"""Connections to backend servers that don't keep to HTTP."""

import asyncio
import socket

import attrs
import pytest
import pytest_asyncio

from bulrushhold import calls
from bulrushhold import errors
from bulrushhold import web


WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine'
EXTRA = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\ntheirs'
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\nhalf'


class PlainDialect(calls.EngineDialect):
    def request_headers(self, call, attempt):
        return [*call.headers, ('Host', call.host)]

    def read_head(self, call, status, headers):
        return calls.AnswerHead(status, (), True, True, False)

    def copy_order(self, call, target):
        return '/copy', b''

    def drop_path(self, copy):
        return '/copy'

    def read_copy(self, body):
        return ''

    def probe_path(self):
        return '/report'

    def parts_path(self):
        return '/parts'

    def read_parts(self, body):
        return frozenset(body.decode().split())


@attrs.define
class Server:
    """Answers each request as told, byte for byte."""

    answers: list = attrs.field(factory=list)
    requests: list = attrs.field(factory=list)
    then: str = ''
    address: str = ''

    async def serve(self, reader, writer):
        try:
            while head := await reader.readuntil(b'\r\n\r\n'):
                self.requests.append(head)
                writer.write(self.answers.pop(0))
                await writer.drain()
                await asyncio.sleep(0.02)
                if self.then == 'late':
                    writer.write(EXTRA)
                if self.then == 'reset':
                    linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
                    writer.get_extra_info('socket').setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
                if self.then in ('reset', 'close'):
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@pytest_asyncio.fixture
async def server():
    made = Server()
    listening = await asyncio.start_server(made.serve, '127.0.0.1', 0)
    host, port = listening.sockets[0].getsockname()
    made.address = f'{host}:{port}'
    yield made
    listening.close()


@pytest_asyncio.fixture
async def client():
    made = web.HttpBackendClient(PlainDialect())
    yield made
    await made.close()


async def ask(client, server, target='/a', method='GET', fresh=False):
    call = calls.Call('r', method, target, 'h', '', (), b'', 1.0)
    attempt = calls.Attempt(server.address, 'i', '', 1.0, fresh=fresh)
    answer = await client.send(call, attempt)
    return await answer.body()


@pytest.mark.parametrize('late', [False, True])
async def test_a_second_answer_is_never_taken_for_the_next(
    client, server, late
):
    # A faulty server sends two answers to one request, at once or a moment
    # later. The next caller on that connection must not get the second.
    server.answers = [WHOLE if late else WHOLE + EXTRA, WHOLE]
    server.then = 'late' if late else ''
    assert await ask(client, server) == b'mine'
    await asyncio.sleep(0.05)
    server.then = ''
    assert await ask(client, server) == b'mine'


async def test_an_answer_without_a_length_is_whole_only_if_closed(
    client, server
):
    # It ends with its connection; a reset looks alike, and half an answer
    # would go out as a whole one.
    server.answers = [UNFRAMED, UNFRAMED]
    server.then = 'close'
    assert await ask(client, server) == b'half'
    server.then = 'reset'
    with pytest.raises(errors.BackendError) as caught:
        await ask(client, server)
    assert caught.value.step == 'answer'


async def test_a_get_is_not_sent_again_behind_our_back(client, server):
    # Whether a request may be repeated isn't told by its method: a booking
    # may be a GET. The library would repeat it on a new connection.
    server.answers = [WHOLE, b'', WHOLE]
    assert await ask(client, server) == b'mine'
    server.then = 'close'
    with pytest.raises(errors.BackendError) as caught:
        await ask(client, server)
    assert caught.value.step == 'send'
    assert len(server.requests) == 2


async def test_target_bytes_go_through_unchanged(client, server):
    server.answers = [WHOLE]
    target = '/a%2Fb//c;d?x=%2f&y=+%20'
    await ask(client, server, target, 'POST')
    line = server.requests[0].split(b'\r\n')[0]
    assert line == f'POST {target} HTTP/1.1'.encode()


async def test_nothing_can_have_left_where_the_connection_is_refused(client):
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        gone = Server(address=f'127.0.0.1:{unused.getsockname()[1]}')
    with pytest.raises(errors.BackendError) as caught:
        await ask(client, gone, fresh=True)
    assert caught.value.step == 'connect'
