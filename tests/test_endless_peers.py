"""Tests of peers that send bytes until the connection is closed."""

import struct
import time

import pytest
import pytest_asyncio

from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import web
from tests import test_endless_responses
from tests import test_peer_proxy_http

CALL = test_peer_proxy_http.CALL
ATTEMPT = test_peer_proxy_http.ATTEMPT
CLOSED_S = test_endless_responses.CLOSED_S
TIMEOUT_S = 5 * CLOSED_S
QUESTION = messages.ProxiedConnect('a:1', TIMEOUT_S)
UNFRAMED_HEAD = test_endless_responses.UNFRAMED_HEAD
INTERIM_HEAD = test_endless_responses.INTERIM_HEAD
LARGEST_MESSAGE = UNFRAMED_HEAD + struct.pack('!I', 0xFFFFFFFF)

endless = test_endless_responses.endless
reports = test_endless_responses.reports
handler = test_peer_proxy_http.handler
proxy_server = test_peer_proxy_http.proxy_server
proxy = test_peer_proxy_http.proxy


@pytest_asyncio.fixture
async def client(reports):
    created = web.HttpPeerProxyClient(on_oversized=reports.record)
    yield created
    await created.close()


async def assert_ended(endless, reports, started):
    assert time.monotonic() - started < CLOSED_S
    await test_endless_responses.wait_until_closed(endless)
    assert endless.sent < test_endless_responses.IN_FLIGHT_BYTES
    ((address, _, _),) = reports.records
    assert address == endless.address


@pytest.mark.parametrize(
    ('start', 'part'), [(b'', INTERIM_HEAD), (LARGEST_MESSAGE, bytes(1024))]
)
async def test_a_message_without_end_is_not_collected(
    client, reports, endless, start, part
):
    # Guards against a faulty entry that fills the memory of others.
    endless.start, endless.part = start, part
    started = time.monotonic()
    with pytest.raises(errors.OversizedResponseError) as exc_info:
        await client.send(endless.address, CALL, ATTEMPT)
    assert exc_info.value.step == 'send'
    await assert_ended(endless, reports, started)


@pytest.mark.parametrize(
    ('start', 'part'), [(b'', INTERIM_HEAD), (LARGEST_MESSAGE, bytes(1024))]
)
async def test_an_answer_without_end_is_not_collected(
    client, reports, endless, start, part
):
    endless.start, endless.part = start, part
    started = time.monotonic()
    with pytest.raises(errors.ProxyRefusedError):
        await client.ask(endless.address, QUESTION, TIMEOUT_S)
    await assert_ended(endless, reports, started)


async def test_a_proxied_body_without_end_is_not_collected(
    client, reports, endless
):
    data = messages.encode(messages.ProxiedHead(test_peer_proxy_http.HEAD))
    endless.start = UNFRAMED_HEAD + struct.pack('!I', len(data)) + data
    endless.part = bytes(1024)
    started = time.monotonic()
    response = await client.send(endless.address, CALL, ATTEMPT)
    with pytest.raises(errors.OversizedResponseError) as exc_info:
        await response.body()
    assert exc_info.value.step == 'answer'
    response.close()
    await assert_ended(endless, reports, started)


async def test_a_server_that_sends_without_end_to_a_proxy_is_reported(
    client, reports, proxy, handler
):
    # Guards against attempts through other entries at such a server.
    handler.response = errors.OversizedResponseError('head', 'send', '')
    with pytest.raises(errors.OversizedResponseError):
        await client.send(proxy, CALL, ATTEMPT)
    ((address, _, _),) = reports.records
    assert address == ATTEMPT.address
