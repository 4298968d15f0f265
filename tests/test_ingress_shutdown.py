"""Tests of callers' connections as an entry shuts down."""

import asyncio
import contextlib
import json
import socket

import pytest

from bulrushhold import calls
from bulrushhold import web
from tests import ingress_process

REQUEST = b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc'
STREAM_REQUEST = REQUEST.replace(b'/x', b'/stream')
EXPECTING = (
    b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
    b'Expect: 100-continue\r\n\r\n'
)
LARGE_BYTES = 4 << 20
HEAD = b'POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'


@pytest.fixture
async def ingress():
    async def handle(call, stream):
        if call.target == '/large':
            return calls.Reply(200, (), bytes(LARGE_BYTES))
        if call.target != '/stream':
            return calls.Reply(200, (), call.body)
        await asyncio.sleep(0.1)
        await stream.send_headers(200, ())
        await stream.end()
        return None

    server = web.Ingress(handle, ingress_process.CallerDialect())
    await server.start('127.0.0.1', 0)
    yield server
    await server.close()


async def connect(ingress):
    host, port = ingress.runner.addresses[0][:2]
    return await asyncio.open_connection(host, port)


async def read_answer(reader):
    """Return the head and the body of an answer with a length."""
    async with asyncio.timeout(2.0):
        head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
        length = int(head.partition('content-length: ')[2].split('\r')[0])
        return head, await reader.readexactly(length)


async def test_a_request_that_arrives_in_parts_is_answered_at_the_exit(
    ingress,
):
    # Guards against a connection that is closed after its last part was sent.
    reader, writer = await connect(ingress)
    writer.write(HEAD + b'3\r\nabc\r\n')
    await asyncio.sleep(0.1)
    ingress.draining = True
    ingress.stop_reading()
    head, body = await read_answer(reader)
    writer.close()
    assert head.startswith('http/1.1 503')
    assert 'connection: close' in head
    assert json.loads(body)['error']['ran'] == 'no'


async def test_a_request_that_has_arrived_is_served_at_the_exit(ingress):
    ingress.stop_reading()
    reader, writer = await connect(ingress)
    writer.write(HEAD + b'3\r\nabc\r\n0\r\n\r\n')
    head, body = await read_answer(reader)
    writer.close()
    assert head.startswith('http/1.1 200')
    assert body == b'abc'


async def test_a_stream_that_begins_after_the_signal_closes_its_connection(
    ingress,
):
    # Guards against callers that go on using an entry that is leaving.
    reader, writer = await connect(ingress)
    writer.write(b'GET /stream HTTP/1.1\r\nHost: h\r\n\r\n')
    await asyncio.sleep(0.05)
    ingress.draining = True
    async with asyncio.timeout(2.0):
        head = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    assert b'connection: close' in head.lower()


@pytest.mark.parametrize('first', [REQUEST, STREAM_REQUEST])
async def test_requests_sent_together_are_all_answered_after_the_signal(
    ingress, first
):
    # Guards against a connection that is closed before what was read from it.
    reader, writer = await connect(ingress)
    ingress.draining = True
    writer.write(first + REQUEST + REQUEST)
    async with asyncio.timeout(2.0):
        answers = (await reader.read()).lower()
    writer.close()
    assert answers.count(b'http/1.1 200') == 3
    *_, last = answers.split(b'http/1.1 200')
    assert answers.count(b'connection: close') == 1
    assert b'connection: close' in last


async def test_a_caller_who_waits_to_send_its_body_is_asked_for_it(ingress):
    # Guards against a caller and an entry that wait for each other.
    reader, writer = await connect(ingress)
    writer.write(EXPECTING)
    async with asyncio.timeout(2.0):
        interim = await reader.readuntil(b'\r\n\r\n')
    writer.write(b'abc')
    head, body = await read_answer(reader)
    writer.close()
    assert interim == b'HTTP/1.1 100 Continue\r\n\r\n'
    assert head.startswith('http/1.1 200')
    assert body == b'abc'


async def test_a_caller_who_waits_to_send_its_body_is_refused_at_the_exit(
    ingress,
):
    # Guards against a body that is sent in vain.
    ingress.draining = True
    ingress.stop_reading()
    reader, writer = await connect(ingress)
    writer.write(EXPECTING)
    head, body = await read_answer(reader)
    writer.close()
    assert head.startswith('http/1.1 503')
    assert json.loads(body)['error']['ran'] == 'no'


async def test_a_request_that_arrived_during_a_pause_is_answered(ingress):
    # Guards against a busy process that closes connections it hasn't read.
    reader, writer = await connect(ingress)
    await asyncio.sleep(0.05)
    writer.write(HEAD + b'3\r\nabc\r\n0\r\n\r\n')
    ingress.stop_reading()
    await ingress.close()
    head, _ = await read_answer(reader)
    writer.close()
    assert head.startswith('http/1.1 200')


async def test_an_answer_is_in_progress_until_the_system_has_all_of_it(
    ingress,
):
    # Guards against an exit that cuts the end of an answer to a slow reader.
    loop = asyncio.get_running_loop()
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(ingress.runner.addresses[0][:2])
        caller.setblocking(False)
        caller.sendall(b'GET /large HTTP/1.1\r\nHost: h\r\n\r\n')
        await asyncio.sleep(0.05)
        async with asyncio.timeout(5.0):
            while ingress.in_progress:
                await loop.sock_recv(caller, 4096)
        [connection] = ingress.server.connections
        assert not connection.transport.get_write_buffer_size()


async def test_a_full_pipeline_is_answered_before_the_close(ingress):
    # Guards against a connection that is closed before what was read from it.
    reader, writer = await connect(ingress)
    await asyncio.sleep(0.05)
    writer.write(REQUEST * 30)
    ingress.draining = True
    ingress.stop_reading()
    await ingress.close()
    answers = await reader.read()
    writer.close()
    assert answers.lower().count(b'http/1.1 ') == 30


async def test_a_caller_who_connected_during_a_pause_is_answered(ingress):
    # Guards against a busy process that resets connections it hasn't accepted.
    caller = socket.create_connection(ingress.runner.addresses[0][:2])
    caller.sendall(REQUEST)
    ingress.stop_reading()
    await ingress.close()
    with caller:
        caller.settimeout(2.0)
        assert caller.recv(99).startswith(b'HTTP/1.1 200')


@pytest.mark.parametrize('steps', range(12, 24))
async def test_a_connection_accepted_as_listening_ends_is_not_kept(
    ingress, steps
):
    # Guards against a caller whose connection nobody reads until the exit.
    address = ingress.runner.addresses[0][:2]
    ingress.stop_reading()
    closing = asyncio.ensure_future(ingress.close())
    for _ in range(steps):
        await asyncio.sleep(0)
    with contextlib.suppress(ConnectionError):
        with socket.create_connection(address) as caller:
            caller.sendall(REQUEST)
            await closing
            caller.settimeout(1.0)
            caller.recv(99)
    await closing


async def test_a_connection_does_not_stay_open_unread(ingress):
    # Guards against a whole request that waits on a connection being closed.
    reader, writer = await connect(ingress)
    writer.write(
        b'GET /stream HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n'
    )
    await asyncio.sleep(0.05)
    closing = asyncio.ensure_future(ingress.close())
    await asyncio.sleep(0)
    writer.write(b'body body')
    sent_at = asyncio.get_running_loop().time()
    async with asyncio.timeout(2.0):
        await reader.read()
    writer.close()
    assert asyncio.get_running_loop().time() - sent_at < 0.18
    await closing
