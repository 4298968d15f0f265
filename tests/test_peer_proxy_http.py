"""Attempts that one entry sends through another over HTTP."""

import asyncio

import pytest
import pytest_asyncio

from bulrushhold import calls
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import testing
from bulrushhold import web as adapters

HEAD = calls.ResponseHead(200, (('X-Server', 'a'),), True, True, False)
CALL = calls.Call('r1', 'POST', '/a/', 'h', 'k', (('X-A', 'b'),), b'body', 1.0)
ATTEMPT = calls.Attempt('10.0.0.1:80', 'i1', 'acct', 0.9, priority=2)


class ScriptedResponse(calls.BackendResponse):
    """Yields chunks; an exception among them is raised.

    :ivar closed: set once the response is closed.
    """

    def __init__(self, *chunks):
        self.head = HEAD
        self.chunks = list(chunks)
        self.closed = asyncio.Event()

    async def chunk(self):
        if not self.chunks:
            return b''
        chunk = self.chunks.pop(0)
        if isinstance(chunk, Exception):
            raise chunk
        if chunk is None:
            await asyncio.sleep(60)
        return chunk

    async def body(self):
        return b''

    def close(self):
        self.closed.set()


class ScriptedHandler(calls.PeerProxyHandler):
    def __init__(self):
        self.response = None
        self.received = []

    async def send(self, call, attempt):
        self.received.append((call, attempt))
        if isinstance(self.response, Exception):
            raise self.response
        return self.response

    async def answer(self, question):
        self.received.append(question)
        if isinstance(self.response, Exception):
            raise self.response
        return messages.ProxyAnswer(True, frozenset({'p'}))

    def wait_s(self, instance):
        return 3.0


@pytest.fixture
def handler():
    return ScriptedHandler()


@pytest_asyncio.fixture
async def proxy_server(handler):
    server = adapters.PeerProxyServer(handler)
    (port,) = testing.free_ports(1)
    await server.start('127.0.0.1', port)
    yield server
    await server.close()


@pytest.fixture
def proxy(proxy_server):
    host, port = proxy_server.runner.addresses[0][:2]
    return f'{host}:{port}'


@pytest_asyncio.fixture
async def client():
    proxy_client = adapters.HttpPeerProxyClient()
    yield proxy_client
    await proxy_client.close()


async def test_call_attempt_head_and_body_pass_unchanged(
    client, proxy, handler
):
    handler.response = ScriptedResponse(b'one', b'two')
    response = await client.send(proxy, CALL, ATTEMPT)
    assert response.head == HEAD
    assert await response.body() == b'onetwo'
    assert handler.received == [(CALL, ATTEMPT)]


async def test_an_empty_body_leaves_the_connection_usable(
    client, proxy, handler
):
    # Guards against the next response of a connection that is thrown away.
    for body in (b'', b'x', b'', b'y'):
        handler.response = ScriptedResponse(*([body] if body else []))
        response = await client.send(proxy, CALL, ATTEMPT)
        assert await response.body() == body


async def test_an_attempt_that_arrived_during_a_pause_is_answered(
    proxy_server, proxy, handler
):
    # Guards against a busy entry that closes connections it hasn't read.
    handler.response = errors.ProxyRefusedError('shutting down', 'proxy')
    reader, writer = await asyncio.open_connection(*proxy.split(':'))
    await asyncio.sleep(0.05)
    body = messages.encode(messages.ProxiedAttempt(CALL, ATTEMPT))
    head = (
        'POST /attempts HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    writer.write(head.encode() + body)
    await proxy_server.close()
    async with asyncio.timeout(2.0):
        answer = await reader.read()
    writer.close()
    assert answer.startswith(b'HTTP/1.1 200')
    assert handler.received == [(CALL, ATTEMPT)]


async def test_a_response_that_breaks_off_is_not_whole(client, proxy, handler):
    # Guards against a truncated body that looks complete.
    lost = errors.BackendError('reset', 'answer', '')
    handler.response = ScriptedResponse(b'one', lost)
    response = await client.send(proxy, CALL, ATTEMPT)
    with pytest.raises(errors.BackendError):
        await response.body()


@pytest.mark.parametrize(
    'error',
    [
        errors.ProxyRefusedError('cut off', 'proxy', ''),
        errors.NoPermitError('backoff', 'permit', '', 3.0),
        errors.RequestBlockedError('blocked', 'permit', ''),
        errors.BackendError('refused', 'connect', ''),
        errors.BackendError('reset', 'send', ''),
        errors.OversizedResponseError('response head', 'send', ''),
        errors.InvalidResponseError('status line', 'send', ''),
    ],
)
async def test_errors_keep_their_type_and_step(client, proxy, handler, error):
    handler.response = error
    with pytest.raises(errors.BulrushholdError) as caught:
        await client.send(proxy, CALL, ATTEMPT)
    assert type(caught.value) is type(error)
    assert caught.value.step == error.step
    assert getattr(caught.value, 'wait_s', 3.0) == 3.0


async def test_closing_a_response_ends_the_request_to_the_server(
    client, proxy, handler
):
    # Guards against engines that work on for a caller who has left.
    handler.response = ScriptedResponse(b'one', None)
    response = await client.send(proxy, CALL, ATTEMPT)
    assert await response.chunk() == b'one'
    response.close()
    async with asyncio.timeout(0.4):
        await handler.response.closed.wait()


async def test_a_proxy_that_does_not_listen_has_sent_nothing(client):
    (port,) = testing.free_ports(1)
    address = f'127.0.0.1:{port}'
    with pytest.raises(errors.ProxyRefusedError):
        await client.send(address, CALL, ATTEMPT)
    with pytest.raises(errors.ProxyRefusedError):
        await client.ask(address, messages.ProxiedConnect('a', 1.0), 0.5)


async def test_questions_are_answered(client, proxy, handler):
    question = messages.ProxiedSegmentsRead('10.0.0.1:80', 0.5)
    answer = await client.ask(proxy, question, 0.5)
    assert answer == messages.ProxyAnswer(True, frozenset({'p'}))
    assert handler.received == [question]


async def test_a_question_that_is_refused_has_no_answer(
    client, proxy, handler
):
    handler.response = errors.ProxyRefusedError('cut off', 'proxy', '')
    with pytest.raises(errors.ProxyRefusedError):
        await client.ask(proxy, messages.ProxiedConnect('a', 0.1), 0.5)


async def test_a_proxy_without_memory_leaves_attempts_to_others(handler):
    # Guards against an entry that is killed by what it proxies.
    budget = adapters.BufferBudget(1000, node.NullMetrics())
    server = adapters.PeerProxyServer(handler, budget)
    (port,) = testing.free_ports(1)
    await server.start('127.0.0.1', port)
    client = adapters.HttpPeerProxyClient(budget)
    handler.response = ScriptedResponse(b'a' * 50000, b'b' * 50000)
    response = await client.send(f'127.0.0.1:{port}', CALL, ATTEMPT)
    body = await response.receive()
    with pytest.raises(errors.ProxyRefusedError):
        await client.send(f'127.0.0.1:{port}', CALL, ATTEMPT)
    received = b''
    while piece := await body.piece():
        received += piece
    body.close()
    assert received == b'a' * 50000 + b'b' * 50000
    assert budget.used == 0 and len(handler.received) == 1
    await client.close()
    await server.close()
