"""Tests of entries that send what is no valid response to other entries."""

import asyncio
import struct

import attrs
import pytest
import pytest_asyncio

from bulrushhold import calls
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import web
from tests import http_responses
from tests import test_invalid_responses
from tests import test_peer_proxy_http

CALL = test_peer_proxy_http.CALL
ATTEMPT = test_peer_proxy_http.ATTEMPT
TIMEOUT_S = 5.0
HEAD = messages.encode(messages.ProxiedHead(test_peer_proxy_http.HEAD))
MESSAGE = struct.pack('!I', len(HEAD)) + HEAD
QUESTION = messages.ProxiedConnect('a:1', TIMEOUT_S)

server = test_invalid_responses.server
reports = test_invalid_responses.reports
handler = test_peer_proxy_http.handler
proxy_server = test_peer_proxy_http.proxy_server
proxy = test_peer_proxy_http.proxy


@pytest_asyncio.fixture
async def client(reports):
    created = web.HttpPeerProxyClient(on_invalid=reports.record)
    yield created
    await created.close()


@pytest.mark.parametrize('name', http_responses.INVALID)
async def test_an_invalid_response_of_another_entry_is_no_message(
    server, client, reports, name
):
    # Guards against an attempt or a question that is believed answered.
    server.response = http_responses.INVALID[name]
    async with asyncio.timeout(TIMEOUT_S):
        with pytest.raises(errors.BackendError):
            await client.send(server.address, CALL, ATTEMPT)
        with pytest.raises(errors.ProxyRefusedError):
            await client.ask(server.address, QUESTION, TIMEOUT_S)


@pytest.mark.parametrize('read', ['body', 'chunk'])
async def test_a_body_of_another_entry_whose_end_is_not_marked_is_not_whole(
    server, client, read
):
    # Guards against half of a body that is completed by a closed connection.
    server.response = b'HTTP/1.1 200 OK\r\n\r\n' + MESSAGE + b'half'
    server.keeps = False
    response = await client.send(server.address, CALL, ATTEMPT)
    with pytest.raises(errors.BackendError):
        while await getattr(response, read)() == b'half':
            pass


async def test_a_failure_of_another_entry_holds_no_message(server, client):
    # Guards against an error that is read as a response.
    server.response = b'HTTP/1.1 500 X\r\nContent-Length: %d\r\n\r\n%b' % (
        len(MESSAGE),
        MESSAGE,
    )
    with pytest.raises(errors.BackendError):
        await client.send(server.address, CALL, ATTEMPT)


async def test_a_head_that_no_message_can_hold_is_invalid(
    client, proxy, handler
):
    # Guards against a connection that ends without an answer.
    handler.response = test_peer_proxy_http.ScriptedResponse(b'body')
    handler.response.head = attrs.evolve(
        handler.response.head, instance='a\udce9'
    )
    with pytest.raises(errors.InvalidResponseError):
        await client.send(proxy, CALL, ATTEMPT)
    async with asyncio.timeout(TIMEOUT_S):
        await handler.response.closed.wait()


@pytest.mark.parametrize('value', ['caf\udce9', 'é', '\udcff\udc80', 'ÿ'])
async def test_bytes_of_a_value_pass_between_entries(
    client, proxy, handler, value
):
    # Guards against a valid response that another entry can't pass on.
    head = calls.ResponseHead(200, (('X-A', value),), True, True, False)
    handler.response = test_peer_proxy_http.ScriptedResponse(b'body')
    handler.response.head = head
    response = await client.send(proxy, CALL, ATTEMPT)
    assert response.head == head
    assert await response.body() == b'body'
