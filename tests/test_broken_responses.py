"""Tests of backend servers whose responses break off at any byte."""

import asyncio
import contextlib
import random
import socket
import struct
import sys

import attrs
import pytest
import pytest_asyncio

from bulrushhold import bodies
from bulrushhold import calls
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import web
from tests import ingress_process
from tests import test_backend_connections

NO_LINGER = struct.pack('ii', 1, 0)
TIMEOUT_S = 5.0
PAUSE_S = 0.002
BUDGET_BYTES = 1 << 20
SEEDS_PER_TEST = 100
# Larger than what an entry holds whole, and than the buffers of connections.
LARGE_BYTES = 3 << 20
GOOD_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nX-Stamp: 1\r\nContent-Length: 4\r\n\r\nmine'
)
FRAMINGS = ('length', 'chunked', 'connection')
ENDINGS = ('close', 'half-close', 'reset')


@attrs.define
class Drawn:
    """A correct response, and how it breaks off.

    :ivar data: all of its bytes.
    :ivar head_size: bytes before its body.
    :ivar cut: how many of its bytes are sent.
    :ivar good_before: whole responses before it on its connection.
    """

    framing: str
    body: bytes
    data: bytes
    head_size: int
    cut: int
    pieces: int
    ending: str
    good_before: int
    not_run: bool
    method: str
    target: str

    @property
    def sent(self):
        return self.data[: self.cut]

    @property
    def is_whole(self):
        return self.cut == len(self.data)


def draw(seed, target='/plain', body=None):
    """Return a response that is cut at a place drawn by the seed.

    :param body: its body; drawn if ``None``.
    """
    chance = random.Random(seed)
    framing = chance.choice(FRAMINGS)
    if body is None:
        size = chance.choice((0, 1, 5, 100, 40 << 10, 200 << 10))
        body = chance.randbytes(size)
    not_run = chance.random() < 0.1
    is_old = framing != 'chunked' and chance.random() < 0.2
    lines = ['X-Stamp: 1']
    payload = body
    if framing == 'length':
        lines.append(f'Content-Length: {len(body)}')
    elif framing == 'chunked':
        lines.append('Transfer-Encoding: chunked')
        payload = encode_chunks(body, chance)
    if not_run:
        lines.append('X-Not-Run: 1')
    chance.shuffle(lines)
    lines.insert(0, 'HTTP/1.0 200 OK' if is_old else 'HTTP/1.1 200 OK')
    interim = 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
    head = interim * chance.choice((0, 0, 0, 1, 2))
    head += '\r\n'.join(lines) + '\r\n\r\n'
    if chance.random() < 0.1:
        head = head.replace('\r\n', '\n')
    data = head.encode() + payload
    # Half of the cuts are in or next to the head or the end.
    places = (len(head), len(head) + 1, len(data) - 1, len(data))
    cut = chance.choice(
        (
            chance.randrange(len(data) + 1),
            chance.randrange(len(head) + 1),
            min(len(data), chance.choice(places)),
        )
    )
    return Drawn(
        framing,
        body,
        data,
        len(head),
        cut,
        chance.choice((1, 1, 2, 4)),
        chance.choice(ENDINGS),
        chance.choice((0, 0, 1, 2)),
        not_run,
        chance.choice(('GET', 'POST')),
        target,
    )


def encode_chunks(body, chance):
    data = b''
    while body:
        size = chance.randrange(1, len(body) + 1)
        data += b'%x\r\n%b\r\n' % (size, body[:size])
        body = body[size:]
    return data + b'0\r\n\r\n'


@attrs.define
class BreakingServer:
    """Answers with good responses, and then with one that breaks off.

    :ivar arrivals: numbers of requests, by their targets.
    """

    drawn: Drawn | None = None
    arrivals: dict = attrs.field(factory=dict)
    address: str = ''

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                target = head.split(b' ', 2)[1].decode()
                self.arrivals[target] = self.arrivals.get(target, 0) + 1
                if 'good' in target:
                    writer.write(GOOD_RESPONSE)
                    continue
                await self.break_off(reader, writer)
                return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def break_off(self, reader, writer):
        sent, pieces = self.drawn.sent, self.drawn.pieces
        for number in range(pieces):
            start = len(sent) * number // pieces
            writer.write(sent[start : len(sent) * (number + 1) // pieces])
            await writer.drain()
            if pieces > 1:
                await asyncio.sleep(PAUSE_S)
        if self.drawn.ending == 'reset':
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )
            writer.transport.abort()
        elif self.drawn.ending == 'half-close':
            writer.write_eof()
            async with asyncio.timeout(TIMEOUT_S):
                await reader.read()


class StatementDialect(test_backend_connections.StubDialect):
    def decode_head(self, call, status, headers):
        stamped = 'X-Stamp' in headers
        return calls.ResponseHead(
            status, (), stamped, stamped, 'X-Not-Run' in headers
        )


@attrs.define
class Forwarder:
    """Forwards each request once, to one server."""

    client: web.HttpBackendClient
    address: str

    async def handle(self, call, stream):
        try:
            return await self.forward(call, stream)
        except errors.BackendError as error:
            if stream.headers_sent:
                stream.abort()
                return None
            raise errors.RequestError(
                str(error), 'entry', ran=errors.Ran.UNKNOWN, status=502
            ) from error

    async def forward(self, call, stream):
        attempt = calls.Attempt(self.address, 'i', '', 1.0)
        response = await self.client.send(call, attempt)
        try:
            return await self.pass_on(call, stream, response)
        except BaseException:
            response.close()
            raise

    async def pass_on(self, call, stream, response):
        head = response.head
        if head.not_run or not head.from_backend:
            raise errors.BackendError('refused', 'send', self.address)
        if call.target.startswith('/stream'):
            await stream.send_headers(200, (), head.framed)
            while chunk := await response.chunk():
                await stream.write(chunk)
            await stream.end()
            return None
        body = await response.receive()
        return calls.Reply(head.status, head.headers, body, head.framed)


@attrs.frozen
class Received:
    """A response as its caller sees it.

    :param status: 0 if there was none.
    :param framing: as in ``Drawn``.
    :param broken: the caller sees that it broke off.
    """

    status: int
    framing: str = ''
    body: bytes = b''
    broken: bool = False
    headers: bytes = b''


async def fetch(port, target, method='GET', version='1.1'):
    """Return the response to a request on a new connection."""
    async with asyncio.timeout(TIMEOUT_S):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        try:
            writer.write(
                f'{method} {target} HTTP/{version}\r\nHost: h\r\n'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            return await read_response(reader, method)
        finally:
            writer.close()


async def fetch_good(port, target):
    # The server may have closed the pooled connection just now.
    for _ in range(3):
        received = await fetch(port, target)
        if received.status == 200:
            break
    assert received.body == b'mine' and not received.broken


async def read_response(reader, method='GET'):
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return Received(0)
    status = int(head.split(b' ', 2)[1])
    fields = {}
    for line in head.split(b'\r\n')[1:-2]:
        name, _, value = line.partition(b':')
        fields[name.lower()] = value.strip().lower()
    framing, body, broken = 'connection', bytearray(), False
    try:
        if method == 'HEAD' or status in (204, 304):
            framing = 'none'
        elif fields.get(b'transfer-encoding') == b'chunked':
            framing = 'chunked'
            while size := int(await reader.readuntil(b'\r\n'), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        elif b'content-length' in fields:
            framing = 'length'
            size = int(fields[b'content-length'])
            body += await reader.readexactly(size)
        else:
            assert fields.get(b'connection') != b'keep-alive'
            while chunk := await reader.read(1 << 16):
                body += chunk
    except (asyncio.IncompleteReadError, ConnectionError):
        broken = True
    return Received(status, framing, bytes(body), broken, head)


@pytest_asyncio.fixture
async def server():
    created = BreakingServer()
    listener = await asyncio.start_server(created.serve, '127.0.0.1', 0)
    host, port = listener.sockets[0].getsockname()
    created.address = f'{host}:{port}'
    yield created
    listener.close()


@pytest_asyncio.fixture(params=['pooled', 'bounded'])
async def port(request, server):
    budget = None
    if request.param == 'bounded':
        budget = web.BufferBudget(BUDGET_BYTES, node.NullMetrics())
    client = web.HttpBackendClient(StatementDialect(), budget)
    forwarder = Forwarder(client, server.address)
    ingress = web.Ingress(
        forwarder.handle, ingress_process.CallerDialect(), budget
    )
    await ingress.start('127.0.0.1', 0)
    yield ingress.runner.addresses[0][1]
    await ingress.close()
    await client.close()


def check(drawn, received):
    """Check that a response claims no more than its server did."""
    assert received.status in (200, 502)
    if received.status != 200:
        return
    assert not drawn.not_run
    assert drawn.cut >= drawn.head_size
    sent_body = drawn.sent[drawn.head_size :]
    if drawn.framing != 'chunked':
        assert sent_body.startswith(received.body)
    assert drawn.body.startswith(received.body)
    if received.broken:
        assert not drawn.is_whole or drawn.ending == 'reset'
    elif received.framing == 'connection':
        assert drawn.framing == 'connection'
        assert drawn.ending != 'reset'
        assert received.body == sent_body
    else:
        assert drawn.framing != 'connection'
        assert received.body == drawn.body


@pytest.mark.parametrize('first', range(0, 400, SEEDS_PER_TEST))
@pytest.mark.parametrize('target', ['/plain', '/stream'])
async def test_a_response_that_breaks_off_anywhere_is_not_whole(
    server, port, target, first
):
    # Guards against a short answer that its caller takes for a whole one.
    for seed in range(first, first + SEEDS_PER_TEST):
        server.drawn = drawn = draw(seed, target)
        for number in range(drawn.good_before):
            await fetch_good(port, f'/good/{seed}/{number}')
        name = f'{target}/{seed}'
        received = await fetch(port, name, drawn.method)
        try:
            check(drawn, received)
            assert server.arrivals.get(name, 0) <= 1
        except AssertionError as error:
            raise AssertionError(f'seed {seed}: {drawn}') from error


UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\nX-Stamp: 1\r\n\r\n'


def make_unframed(size, ending):
    body = random.Random(size).randbytes(size)
    data = UNFRAMED_HEAD + body
    return Drawn(
        'connection',
        body,
        data,
        len(UNFRAMED_HEAD),
        len(data),
        1,
        ending,
        0,
        False,
        'GET',
        '',
    )


@pytest.mark.parametrize('target', ['/plain', '/stream'])
@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('size', [0, 1000, LARGE_BYTES])
async def test_a_body_that_ends_with_its_connection_gets_no_frame(
    server, port, size, version, target
):
    # Guards against an end that the entry claims and can't know.
    server.drawn = make_unframed(size, 'close')
    received = await fetch(port, target, version=version)
    assert (received.status, received.framing) == (200, 'connection')
    assert received.body == server.drawn.body and not received.broken
    if version == '1.1':
        assert b'\r\nConnection: close\r\n' in received.headers


@pytest.mark.parametrize('target', ['/plain', '/stream'])
@pytest.mark.parametrize('size', [1000, LARGE_BYTES])
async def test_a_reset_of_a_body_without_a_frame_is_passed_on(
    server, port, size, target
):
    # Guards against a reset that reaches the caller as a clean end.
    server.drawn = make_unframed(size, 'reset')
    received = await fetch(port, target)
    assert received.broken or received.status != 200


@pytest.mark.parametrize(
    ('method', 'status'),
    [('HEAD', '200 OK'), ('GET', '204 No Content'), ('GET', '304 X')],
)
async def test_a_response_that_has_no_body_keeps_its_connection(
    server, port, method, status
):
    # Guards against connections closed for a body that can't be.
    head = UNFRAMED_HEAD.replace(b'200 OK', status.encode())
    server.drawn = attrs.evolve(
        make_unframed(0, 'close'), data=head, cut=len(head)
    )
    received = await fetch(port, '/plain', method)
    assert received.status == int(status.split()[0])
    assert b'Connection: close' not in received.headers


@attrs.define
class HalfBody(bodies.Body):
    """A body of which only the first half ever arrives."""

    length: int | None = None
    begun: bool = False

    async def piece(self):
        if self.begun:
            await asyncio.Event().wait()
        self.begun = True
        return b'half'

    def close(self):
        pass


async def send_half(call, stream):
    if call.target == '/plain':
        return calls.Reply(200, (), HalfBody(), False)
    await stream.send_headers(200, (), False)
    await stream.write(b'half')
    await asyncio.Event().wait()
    return None


@pytest.mark.parametrize('target', ['/plain', '/stream'])
async def test_a_body_without_a_frame_does_not_end_with_its_entry(target):
    # Guards against half of a body that looks whole as the entry shuts down.
    ingress = web.Ingress(send_half, ingress_process.CallerDialect())
    await ingress.start('127.0.0.1', 0)
    port = ingress.runner.addresses[0][1]
    fetching = asyncio.ensure_future(fetch(port, target))
    await asyncio.sleep(0.1)
    await ingress.close()
    received = await fetching
    assert (received.status, received.body) == (200, b'half')
    assert received.broken


@attrs.define
class DirectHandler(calls.PeerProxyHandler):
    """Sends what other entries ask for to one server."""

    client: web.HttpBackendClient

    async def send(self, call, attempt):
        return await self.client.send(call, attempt)

    async def answer(self, question):
        raise errors.ProxyRefusedError('no answer', 'proxy')

    def wait_s(self, instance):
        return 0.0


@attrs.define
class ProxiedClient:
    """Sends calls by way of another entry."""

    client: web.HttpPeerProxyClient
    proxy: str

    async def send(self, call, attempt):
        return await self.client.send(self.proxy, call, attempt)


@contextlib.asynccontextmanager
async def serve_by_proxy(client, address):
    """Serve callers by way of another entry; the context is the port.

    :param client: of the entry that reaches the server.
    """
    proxy = web.PeerProxyServer(DirectHandler(client))
    await proxy.start('127.0.0.1', 0)
    peer_client = web.HttpPeerProxyClient()
    proxy_address = f'127.0.0.1:{proxy.runner.addresses[0][1]}'
    forwarder = Forwarder(ProxiedClient(peer_client, proxy_address), address)
    ingress = web.Ingress(forwarder.handle, ingress_process.CallerDialect())
    await ingress.start('127.0.0.1', 0)
    yield ingress.runner.addresses[0][1]
    await ingress.close()
    await peer_client.close()
    await proxy.close()


@pytest_asyncio.fixture
async def proxied_port(server):
    client = web.HttpBackendClient(StatementDialect())
    async with serve_by_proxy(client, server.address) as port:
        yield port
    await client.close()


@pytest.mark.parametrize('target', ['/plain', '/stream'])
async def test_a_proxied_response_that_breaks_off_is_not_whole(
    server, proxied_port, target
):
    # Guards against an end that another entry can't know and claims.
    for seed in range(SEEDS_PER_TEST):
        server.drawn = drawn = draw(seed, target)
        name = f'{target}/{seed}'
        received = await fetch(proxied_port, name, drawn.method)
        try:
            check(drawn, received)
            assert server.arrivals.get(name, 0) <= 1
        except AssertionError as error:
            raise AssertionError(f'seed {seed}: {drawn}') from error


async def stream_whole(call, stream):
    await stream.send_headers(200, ())
    await stream.write(b'whole')
    await stream.end()


async def test_a_stream_is_sent_to_a_caller_that_takes_no_chunks():
    # Guards against a caller without any answer.
    ingress = web.Ingress(stream_whole, ingress_process.CallerDialect())
    await ingress.start('127.0.0.1', 0)
    port = ingress.runner.addresses[0][1]
    received = await fetch(port, '/', version='1.0')
    assert (received.status, received.framing) == (200, 'connection')
    assert received.body == b'whole' and not received.broken
    await ingress.close()


def make_failing_handler(error, framed):
    async def fail(call, stream):
        await stream.send_headers(200, (), framed)
        await stream.write(b'half')
        raise error

    return fail


@pytest.mark.parametrize('framed', [False, True])
@pytest.mark.parametrize(
    'error',
    [
        ValueError('internal'),
        errors.RequestError('x', 'entry', ran=errors.Ran.UNKNOWN, status=502),
    ],
)
async def test_a_stream_that_fails_after_its_headers_is_not_whole(
    error, framed
):
    # Guards against half of a stream that looks whole.
    ingress = web.Ingress(
        make_failing_handler(error, framed), ingress_process.CallerDialect()
    )
    await ingress.start('127.0.0.1', 0)
    received = await fetch(ingress.runner.addresses[0][1], '/')
    assert (received.status, received.broken) == (200, True)
    await ingress.close()


@pytest.mark.parametrize('target', ['/plain', '/stream'])
async def test_a_body_without_a_frame_does_not_end_with_a_killed_entry(target):
    # Guards against half of a body that looks whole as its entry is killed.
    async def send_part(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(UNFRAMED_HEAD + bytes(LARGE_BYTES))
        await reader.read()
        writer.close()

    listener = await asyncio.start_server(send_part, '127.0.0.1', 0)
    host, port = listener.sockets[0].getsockname()
    entry = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'tests.ingress_process',
        f'{host}:{port}',
        '0',
        '1',
        stdout=asyncio.subprocess.PIPE,
    )
    entry_port = int(await entry.stdout.readline())
    reader, writer = await asyncio.open_connection('127.0.0.1', entry_port)
    writer.write(f'GET {target} HTTP/1.1\r\nHost: h\r\n\r\n'.encode())
    head = await reader.readuntil(b'\r\n\r\n')
    assert b'Connection: close' in head
    entry.kill()
    await entry.wait()
    with pytest.raises(ConnectionResetError):
        while await reader.read(1 << 20):
            pass
    writer.close()
    listener.close()


def draw_proxied(seed, body):
    """Return the response of another entry, cut at any place."""
    head = calls.ResponseHead(200, (), True, True, False)
    message = messages.encode(messages.ProxiedHead(head))
    content = struct.pack('!I', len(message)) + message + body
    while True:
        drawn = draw(seed, '', content)
        if drawn.framing != 'connection':
            return drawn
        # Entries frame what they send to each other.
        seed += 1 << 32


async def test_a_response_of_another_entry_that_breaks_off_is_not_whole(
    server,
):
    # Guards against a body that another entry couldn't pass on whole.
    client = web.HttpPeerProxyClient()
    call = calls.Call('r', 'POST', '/proxied', 'h', '', (), b'', 1.0)
    attempt = calls.Attempt('10.0.0.1:80', 'i', '', 1.0)
    for seed in range(SEEDS_PER_TEST):
        body = random.Random(seed).randbytes(1000)
        server.drawn = drawn = draw_proxied(seed, body)
        server.arrivals.clear()
        received = None
        async with asyncio.timeout(TIMEOUT_S):
            try:
                response = await client.send(server.address, call, attempt)
                received = await response.body()
            except errors.BackendError as error:
                refused = isinstance(error, errors.ProxyRefusedError)
                assert not refused, seed
        assert received in (None, body), f'seed {seed}: {drawn}'
        assert sum(server.arrivals.values()) <= 1
    await client.close()


async def test_a_report_that_breaks_off_fails_only_itself(server):
    # Guards against an error that nobody expects, and a server that is read
    # as another one.
    client = web.HttpBackendClient(StatementDialect())
    for seed in range(SEEDS_PER_TEST):
        server.drawn = drawn = draw(seed, '', b'p1 p2 p3')
        try:
            found = await client.cached_segments(server.address, TIMEOUT_S)
        except errors.BackendError:
            found = None
        if drawn.framing != 'connection':
            assert found in (None, frozenset(('p1', 'p2', 'p3'))), seed
        await client.probe(server.address, TIMEOUT_S)
        await client.has_ended(server.address, TIMEOUT_S, 'i')
        await client.identify(server.address, TIMEOUT_S, 'i')
    await client.close()
