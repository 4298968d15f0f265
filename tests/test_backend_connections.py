"""Tests of connections to backend servers that violate HTTP."""

import asyncio
import socket

import attrs
import pytest
import pytest_asyncio

from bulrushhold import calls
from bulrushhold import errors
from bulrushhold import web


RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine'
EXTRA_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\ntheirs'
UNFRAMED_RESPONSE = b'HTTP/1.1 200 OK\r\n\r\nhalf'


class StubDialect(calls.EngineDialect):
    def request_headers(self, call, attempt):
        return [*call.headers, ('Host', call.host)]

    def decode_head(self, call, status, headers):
        return calls.ResponseHead(status, (), True, True, False)

    def copy_request(self, call, target):
        return '/copy', b''

    def drop_path(self, copy):
        return '/copy'

    def decode_copy_name(self, body):
        return ''

    def probe_path(self):
        return '/report'

    def probe_headers(self, instance):
        return [('Wanted', instance)] if instance else []

    def decode_instance(self, headers):
        return headers.get('Instance', '')

    def decode_start(self, body):
        return None

    def segments_path(self):
        return '/segments'

    def decode_segments(self, body):
        return frozenset(body.decode().split())


@attrs.define
class ScriptedServer:
    """Answers each request with the next of the given byte strings.

    :ivar connections: number of connections that it has accepted.
    """

    responses: list = attrs.field(factory=list)
    requests: list = attrs.field(factory=list)
    after_response: str = ''
    address: str = ''
    connections: int = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while head := await reader.readuntil(b'\r\n\r\n'):
                self.requests.append(head)
                writer.write(self.responses.pop(0))
                await writer.drain()
                await asyncio.sleep(0.02)
                if self.after_response == 'late':
                    writer.write(EXTRA_RESPONSE)
                if self.after_response == 'reset':
                    linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
                    writer.get_extra_info('socket').setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
                if self.after_response in ('reset', 'close'):
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@pytest_asyncio.fixture
async def server():
    created = ScriptedServer()
    listener = await asyncio.start_server(created.serve, '127.0.0.1', 0)
    host, port = listener.sockets[0].getsockname()
    created.address = f'{host}:{port}'
    yield created
    listener.close()


@pytest_asyncio.fixture
async def client():
    created = web.HttpBackendClient(StubDialect())
    yield created
    await created.close()


async def send_request(
    client, server, target='/a', method='GET', new_connection=False
):
    call = calls.Call('r', method, target, 'h', '', (), b'', 1.0)
    attempt = calls.Attempt(
        server.address, 'i', '', 1.0, new_connection=new_connection
    )
    response = await client.send(call, attempt)
    return await response.body()


@pytest.mark.parametrize('late', [False, True])
async def test_extra_response_is_not_used_for_the_next_request(
    client, server, late
):
    # A faulty server sends two responses to one request, at once or a moment
    # later. The second must not reach the next caller on that connection.
    server.responses = [
        RESPONSE if late else RESPONSE + EXTRA_RESPONSE,
        RESPONSE,
    ]
    server.after_response = 'late' if late else ''
    assert await send_request(client, server) == b'mine'
    await asyncio.sleep(0.05)
    server.after_response = ''
    assert await send_request(client, server) == b'mine'


async def test_response_without_length_is_complete_only_after_a_clean_close(
    client, server
):
    # Guards against forwarding a truncated response as complete: without a
    # length, a reset looks like the end of the body.
    server.responses = [UNFRAMED_RESPONSE, UNFRAMED_RESPONSE]
    server.after_response = 'close'
    assert await send_request(client, server) == b'half'
    server.after_response = 'reset'
    with pytest.raises(errors.BackendError) as exc_info:
        await send_request(client, server)
    assert exc_info.value.step == 'answer'


async def test_get_is_not_retried_by_the_http_library(client, server):
    # aiohttp would repeat a GET on a new connection, but a GET may have side
    # effects here.
    server.responses = [RESPONSE, b'', RESPONSE]
    assert await send_request(client, server) == b'mine'
    await asyncio.sleep(0.05)
    server.after_response = 'close'
    with pytest.raises(errors.BackendError) as exc_info:
        await send_request(client, server)
    assert exc_info.value.step == 'send'
    assert len(server.requests) == 2
    assert server.connections == 1


async def test_request_target_is_sent_unchanged(client, server):
    server.responses = [RESPONSE]
    target = '/a%2Fb//c;d?x=%2f&y=+%20'
    await send_request(client, server, target, 'POST')
    line = server.requests[0].split(b'\r\n')[0]
    assert line == f'POST {target} HTTP/1.1'.encode()


async def test_refused_connection_fails_in_the_connect_step(client):
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        unreachable = ScriptedServer(
            address=f'127.0.0.1:{unused.getsockname()[1]}'
        )
    with pytest.raises(errors.BackendError) as exc_info:
        await send_request(client, unreachable, new_connection=True)
    assert exc_info.value.step == 'connect'


REPORT = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
OTHER_REPORT = REPORT.replace(b'\r\n\r\n', b'\r\nInstance: other\r\n\r\n')
OWN_REPORT = REPORT.replace(b'\r\n\r\n', b'\r\nInstance: i\r\n\r\n')
REFUSAL = REPORT.replace(b'200 OK', b'421 Misdirected Request')


@pytest.mark.parametrize(
    ('response', 'alive'),
    [
        (REPORT, True),
        (OWN_REPORT, True),
        (OTHER_REPORT, False),
        (REFUSAL, False),
    ],
)
async def test_a_probe_of_an_instance_is_not_answered_by_another(
    client, server, response, alive
):
    server.responses = [response]
    assert await client.probe(server.address, 1.0, 'i') is alive
    assert b'Wanted: i\r\n' in server.requests[0]


async def test_a_probe_of_an_address_is_answered_by_any_instance(
    client, server
):
    server.responses = [OTHER_REPORT]
    assert await client.probe(server.address, 1.0)
    assert b'Wanted' not in server.requests[0]


async def test_a_process_that_listens_is_told_from_one_that_is_gone(
    client, server
):
    assert await client.accepts_connections(server.address, 1.0)
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        host, port = unused.getsockname()
        assert not await client.accepts_connections(f'{host}:{port}', 1.0)


EMPTY_RESPONSE = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'
NO_CONTENT_RESPONSE = b'HTTP/1.1 204 No Content\r\n\r\n'
INTERIM_RESPONSE = b'HTTP/1.1 102 Processing\r\n\r\n'


@pytest.mark.parametrize(
    'first',
    [
        RESPONSE,
        EMPTY_RESPONSE,
        NO_CONTENT_RESPONSE,
        INTERIM_RESPONSE + EMPTY_RESPONSE,
    ],
)
async def test_a_response_after_one_without_a_body_is_received(
    client, server, first
):
    # Guards against a response that passes for data after the one before it.
    server.responses = [first, RESPONSE, first, first, RESPONSE]
    bodies = [await send_request(client, server) for _ in range(5)]
    assert bodies[1] == bodies[4] == b'mine'
    # They were received on one connection, which is used again.
    assert server.connections == 1


async def test_a_response_after_one_that_was_not_read_is_received(
    client, server
):
    # Guards against the same after a response that was closed unread.
    server.responses = [RESPONSE] * 4
    call = calls.Call('r', 'GET', '/a', 'h', '', (), b'', 1.0)
    for _ in range(3):
        attempt = calls.Attempt(server.address, 'i', '', 1.0)
        response = await client.send(call, attempt)
        await asyncio.sleep(0.05)
        response.close()
    assert await send_request(client, server) == b'mine'


@pytest.mark.parametrize('first', [RESPONSE, EMPTY_RESPONSE])
@pytest.mark.parametrize('late', [False, True])
async def test_extra_response_after_any_response_is_not_used(
    client, server, first, late
):
    # Guards against an answer to nobody that reaches the next caller.
    server.responses = [first if late else first + EXTRA_RESPONSE, RESPONSE]
    server.after_response = 'late' if late else ''
    await send_request(client, server)
    await asyncio.sleep(0.05)
    server.after_response = ''
    assert await send_request(client, server) == b'mine'


@pytest.mark.parametrize('address', ['[127.0.0.1:80', '::1:x', '\ud800:80'])
async def test_an_address_that_is_no_url_fails_its_attempt_only(
    client, address
):
    # Guards against 500 for each request that is sent to such a server.
    call = calls.Call('r', 'GET', '/a', 'h', '', (), b'', 1.0)
    with pytest.raises(errors.BackendError) as caught:
        await client.send(call, calls.Attempt(address, '', '', 1.0))
    assert caught.value.step == 'connect'
    assert not await client.probe(address, 0.1)
    assert not await client.has_ended(address, 0.1)
    assert not await client.accepts_connections(address, 0.1)
