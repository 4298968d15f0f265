"""Tests of a platform list that is sent without end."""

import asyncio
import json
import time

import pytest
import pytest_asyncio

from adapter import _backendlist
from bulrushhold import errors
from bulrushhold import node
from bulrushhold import web
from tests import test_backend_connections
from tests import test_endless_responses

CLOSED_S = test_endless_responses.CLOSED_S
PAGE = json.dumps(
    {'instances': [{'id': 'x' * 1000}] * 1000, 'next': 'again'}
).encode()
PAGE_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(PAGE)

endless = test_endless_responses.endless


@pytest_asyncio.fixture(params=['instances', 'platform'])
async def fetch(request, endless):
    session = web.make_session()
    if request.param == 'instances':
        listed = _backendlist.PlatformBackendList(
            session, endless.address, node.NullMetrics()
        )
    else:
        url = f'http://{endless.address}/list'
        listed = web.HttpPlatformList(session, url)
    yield listed.fetch
    await session.close()


@pytest.mark.parametrize(
    ('start', 'part'),
    [
        (b'', test_endless_responses.INTERIM_HEAD),
        *test_endless_responses.ENDLESS_BODIES,
    ],
)
async def test_a_list_without_end_is_not_collected(
    fetch, endless, start, part
):
    # Guards against a faulty platform that fills the memory of a process.
    endless.start, endless.part = start, part
    started = time.monotonic()
    with pytest.raises(errors.PeerError) as exc_info:
        async with asyncio.timeout(5 * CLOSED_S):
            await fetch()
    assert 'too large' in exc_info.value.reason
    assert time.monotonic() - started < CLOSED_S
    await test_endless_responses.wait_until_closed(endless)


async def test_pages_without_end_are_not_collected():
    # Guards against the same in pages that are each within the limit.
    server = test_backend_connections.ScriptedServer(
        responses=[PAGE_HEAD + PAGE] * _backendlist.MAX_PAGES
    )
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    host, port = listener.sockets[0].getsockname()
    session = web.make_session()
    listed = _backendlist.PlatformBackendList(
        session, f'{host}:{port}', node.NullMetrics()
    )
    with pytest.raises(errors.PeerError) as exc_info:
        await listed.fetch()
    assert 'too large' in exc_info.value.reason
    assert len(server.requests) <= _backendlist.MAX_LIST_BYTES // len(PAGE) + 1
    await session.close()
    listener.close()
