"""Tests of the limits on what clients send, hold and take, in one process."""

import asyncio
import errno
import json
import random

import attrs
import pytest
import pytest_asyncio

from bulrushhold import calls
from bulrushhold import node
from bulrushhold import routes
from bulrushhold import settings
from bulrushhold import web
from tests import conftest
from tests import ingress_process

MB = 1 << 20
BUDGET_BYTES = 8 * MB
BODY_BYTES = 2 * MB
IDENT = 'X-Ident'
WAITING = '/waiting'
LARGE = '/large'
ANSWER_BYTES = 16 * MB
LIMITS = settings.Clients(
    max_head_bytes=4096,
    head_timeout_s=3.0,
    body_timeout_s=10.0,
    unread_timeout_s=20.0,
    idle_timeout_s=15.0,
    max_connections=4,
    max_requests=3,
)


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


class Dialect(ingress_process.CallerDialect):
    def decode_call(self, method, target, headers, body):
        call = super().decode_call(method, target, headers, body)
        return attrs.evolve(call, ident=headers.get(IDENT, ''))

    def echo(self, ident):
        return ((IDENT, ident),) if ident else ()


class Metrics(node.NullMetrics):
    def __init__(self):
        self.reasons = []

    def count(self, name, amount=1, labels=()):
        if name == 'clients.ended':
            self.reasons.append(labels['reason'])


class Client:
    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()
        await settle()

    async def answer(self):
        """Return status, headers and body."""
        async with asyncio.timeout(5):
            head = await self.reader.readuntil(b'\r\n\r\n')
            first, *lines = head.decode().splitlines()
            headers = dict(line.split(': ', 1) for line in lines if line)
            length = int(headers.get('Content-Length', 0))
            body = await self.reader.readexactly(length)
        return int(first.split()[1]), headers, body

    async def is_closed(self):
        """Return whether the connection is closed, after what was sent."""
        try:
            async with asyncio.timeout(1):
                return await self.reader.read(1) == b''
        except ConnectionError:
            return True
        except TimeoutError:
            return False


async def settle():
    for _ in range(20):
        await asyncio.sleep(0.001)


class Server:
    """An ingress whose handler answers with the size of the body.

    :ivar may_answer: set once requests for :data:`WAITING` are answered.
    """

    def __init__(self):
        self.clock = Clock()
        self.metrics = Metrics()
        self.budget = web.BufferBudget(
            BUDGET_BYTES, node.NullMetrics(), self.clock
        )
        self.guard = web.ClientGuard(
            LIMITS, self.budget, self.metrics, clock=self.clock
        )
        self.may_answer = asyncio.Event()
        self.handled = 0
        self.clients = []

    async def start(self):
        self.ingress = web.Ingress(
            self._handle, Dialect(), self.budget, self.guard
        )
        await self.ingress.start('127.0.0.1', 0)
        self.port = self.ingress.runner.addresses[0][1]

    async def _handle(self, call, stream):
        del stream
        self.handled += 1
        if call.target == WAITING:
            await self.may_answer.wait()
        if call.target == LARGE:
            return calls.Reply(200, (), bytes(ANSWER_BYTES))
        return calls.Reply(200, (), str(len(call.body)).encode())

    async def connect(self):
        client = Client(*await asyncio.open_connection('127.0.0.1', self.port))
        self.clients.append(client)
        await settle()
        return client

    def pass_time(self, seconds):
        self.clock.now += seconds
        self.guard.check()

    def has_no_connection(self):
        self.guard.check()
        return not self.guard.connections

    async def stop(self):
        for client in self.clients:
            client.writer.transport.abort()
        await self.ingress.close()


@pytest_asyncio.fixture
async def server():
    created = Server()
    await created.start()
    yield created
    await created.stop()


def request(body=b'', *fields, length=None, path='/'):
    size = len(body) if length is None else length
    lines = [
        f'POST {path} HTTP/1.1',
        'Host: h',
        f'{IDENT}: r1',
        f'Content-Length: {size}',
        *fields,
        '',
        '',
    ]
    return '\r\n'.join(lines).encode() + body


def check_refusal(answer, status, *, returns=False):
    """Check that an answer says that the request did not run."""
    assert answer[0] == status
    assert json.loads(answer[2])['error']['ran'] == 'no'
    assert ('Retry-After' in answer[1]) == returns


async def test_a_head_that_is_too_long_in_sum_is_refused(server):
    """Guards against heads whose fields are bounded, but not their sum."""
    client = await server.connect()
    await client.send(b'POST / HTTP/1.1\r\nHost: h\r\n')
    for number in range(5):
        await client.send(b'X-%d: ' % number + b'x' * 1000 + b'\r\n')
    check_refusal(await client.answer(), 431)
    assert await client.is_closed()
    assert server.metrics.reasons == ['head_bytes']
    assert server.budget.used == 0


async def test_empty_lines_do_not_begin_a_request_and_are_bounded(server):
    """Guards against a process that reads empty lines without end."""
    client = await server.connect()
    await client.send(b'\r\n' * 100 + request(b'body'))
    assert (await client.answer())[2] == b'4'
    for _ in range(3):
        await client.send(b'\r\n' * 1000)
    check_refusal(await client.answer(), 431)


async def test_trailers_are_bounded_like_heads(server):
    """Guards against fields that are kept after a body."""
    client = await server.connect()
    head = request(b'', 'Transfer-Encoding: chunked')
    head = head.replace(b'Content-Length: 0\r\n', b'')
    await client.send(head + b'1\r\nx\r\n0\r\n')
    for number in range(5):
        await client.send(b'X-%d: ' % number + b'x' * 1000 + b'\r\n')
    answer = await client.answer()
    check_refusal(answer, 431)
    assert answer[1][IDENT] == 'r1'
    assert await client.is_closed()


async def test_a_malformed_head_is_refused_as_not_run(server):
    client = await server.connect()
    await client.send(b'POST / HTTP/1.1\r\nbad line\r\n\r\n')
    check_refusal(await client.answer(), 400)
    assert await client.is_closed()


async def test_a_head_that_does_not_come_on_is_ended(server):
    client = await server.connect()
    await client.send(b'POST / HTTP/1.1\r\nHost: h\r\n')
    server.pass_time(LIMITS.head_timeout_s - 0.1)
    await client.send(b'X-A: b\r\n')
    server.pass_time(0.2)
    check_refusal(await client.answer(), 408, returns=True)
    assert server.metrics.reasons == ['head_timeout']


async def test_a_body_that_does_not_come_on_is_ended(server):
    client = await server.connect()
    await client.send(request(b'x' * 100, length=200))
    server.pass_time(LIMITS.body_timeout_s + 0.1)
    answer = await client.answer()
    check_refusal(answer, 408, returns=True)
    assert answer[1][IDENT] == 'r1'
    assert server.metrics.reasons == ['body_timeout']


async def test_a_large_body_sent_slowly_is_served_in_calm(server):
    """Guards against limits that a legal request meets."""
    client = await server.connect()
    await client.send(request(b'', length=BODY_BYTES))
    for _ in range(16):
        server.pass_time(0.8 * LIMITS.body_timeout_s)
        await client.send(b'x' * (BODY_BYTES // 16))
    assert (await client.answer())[::2] == (200, str(BODY_BYTES).encode())
    assert server.metrics.reasons == [] and server.budget.used == 0


async def test_an_idle_connection_stays_open_for_its_time(server):
    client = await server.connect()
    for _ in range(3):
        await client.send(request())
        assert (await client.answer())[0] == 200
        server.pass_time(0.8 * LIMITS.idle_timeout_s)
    server.pass_time(0.3 * LIMITS.idle_timeout_s)
    assert await client.is_closed()
    assert server.metrics.reasons == ['idle']


async def test_a_body_that_has_stalled_gives_way_to_another(server):
    """Guards against refusing all others for what somebody doesn't finish."""
    stalled = await server.connect()
    await stalled.send(request(b'x' * MB, length=BODY_BYTES))
    other = await server.connect()
    server.pass_time(0.5)
    await other.send(request(b'x' * BODY_BYTES))
    check_refusal(await other.answer(), 503, returns=True)
    server.pass_time(1.0)
    another = await server.connect()
    await another.send(request(b'x' * BODY_BYTES))
    assert (await another.answer())[::2] == (200, str(BODY_BYTES).encode())
    answer = await stalled.answer()
    check_refusal(answer, 503, returns=True)
    assert answer[1][IDENT] == 'r1'
    assert server.handled == 1


async def test_small_requests_fit_beside_large_ones(server):
    """Guards against a crowd of large bodies that shuts out all others."""
    for _ in range(2):
        large = await server.connect()
        await large.send(request(b'x' * MB, length=MB + 1))
    refused = await server.connect()
    await refused.send(request(b'x' * BODY_BYTES))
    check_refusal(await refused.answer(), 503, returns=True)
    small = await server.connect()
    await small.send(request(b'small'))
    assert (await small.answer())[2] == b'5'


async def test_a_refused_body_is_read_on_so_that_its_client_is_answered(
    server,
):
    """Guards against a reset that takes the refusal from its client."""
    server.ingress.set_limits(routes.ClientLimits(body_bytes=MB))
    client = await server.connect()
    await client.send(request(b'x' * BODY_BYTES))
    answer = await client.answer()
    check_refusal(answer, 413)
    assert answer[1][IDENT] == 'r1'
    await client.send(request(b'next'))
    assert (await client.answer())[2] == b'4'


async def test_limits_of_operators_bound_callers(server):
    server.ingress.set_limits(
        routes.ClientLimits(head_bytes=16384, head_s=1.0, idle_s=5.0)
    )
    fields = [f'X-{n}: ' + 'x' * 1000 for n in range(16)]
    client = await server.connect()
    await client.send(request(b'body', *fields))
    assert (await client.answer())[2] == b'4'
    server.pass_time(5.1)
    assert await client.is_closed()
    late = await server.connect()
    await late.send(b'POST / HTTP/1.1\r\n')
    server.pass_time(3.1)
    check_refusal(await late.answer(), 408, returns=True)


async def test_requests_behind_one_another_are_read_as_they_are_handled(
    server,
):
    """Guards against requests that are read ahead and counted by nobody."""
    client = await server.connect()
    body = b'x' * 20000
    client.writer.write(request(body, path=WAITING) * 40)
    await settle()
    held = server.budget.used
    server.may_answer.set()
    for _ in range(40):
        assert (await client.answer())[2] == b'20000'
    assert held < 250_000
    await settle()
    assert server.budget.used == 0


async def test_a_new_connection_replaces_the_one_that_is_of_least_use(server):
    """Guards against silent connections that take all descriptors."""
    handled = await server.connect()
    await handled.send(request(path=WAITING))
    kept = await server.connect()
    await kept.send(request())
    assert (await kept.answer())[0] == 200
    silent = await server.connect()
    half = await server.connect()
    await half.send(b'POST / HTTP/1.1\r\n')
    server.pass_time(2.0)
    for gone in (silent, half, kept):
        await server.connect()
        assert await gone.is_closed()
    server.may_answer.set()
    assert (await handled.answer())[0] == 200
    assert server.metrics.reasons == ['connections'] * 3


async def test_a_request_in_progress_is_not_closed_for_the_one_behind_it(
    server,
):
    """Guards against taking a started next head for all that goes on."""
    client = await server.connect()
    await client.send(request(path=WAITING) + b'POST / HTTP/1.1\r\n')
    server.pass_time(2 * LIMITS.head_timeout_s)
    for _ in range(LIMITS.max_connections + 2):
        await server.connect()
    server.may_answer.set()
    assert (await client.answer())[0] == 200
    await client.send(b'Host: h\r\n\r\n')
    assert (await client.answer())[0] == 200


async def test_an_answer_that_is_read_slowly_is_not_ended(server):
    """Guards against ending what is read, and keeping what isn't."""
    client = await server.connect()
    await client.send(request(path=LARGE))
    for _ in range(4):
        await client.reader.readexactly(2 * MB)
        server.pass_time(0.8 * LIMITS.unread_timeout_s)
    assert server.metrics.reasons == []
    client.writer.transport.pause_reading()
    for _ in range(3):
        await settle()
        server.pass_time(0.8 * LIMITS.unread_timeout_s)
    assert server.metrics.reasons == ['unread_answer']


async def test_requests_beyond_the_descriptors_are_refused(server):
    clients = [await server.connect() for _ in range(4)]
    for client in clients:
        await client.send(request(path=WAITING))
    check_refusal(await clients[3].answer(), 503, returns=True)
    server.may_answer.set()
    for client in clients[:3]:
        assert (await client.answer())[0] == 200
    await clients[3].send(request())
    assert (await clients[3].answer())[0] == 200


async def test_a_kept_connection_holds_nothing_of_its_last_request(server):
    client = await server.connect()
    await client.send(request(b'x' * BODY_BYTES))
    assert (await client.answer())[0] == 200
    await settle()
    assert server.budget.used == 0


async def test_what_a_caller_held_is_free_after_it_disconnects(server):
    """Guards against memory that stays counted, until all are refused."""
    for data in (
        b'POST / HTTP/1.1\r\nX-A: ' + b'x' * 2000,
        request(b'x' * MB, length=BODY_BYTES),
        request(b'x' * 20000, path=WAITING) * 3,
    ):
        client = await server.connect()
        await client.send(data)
        client.writer.transport.abort()
        await conftest.wait_until(server.has_no_connection)
        assert server.budget.used == 0 and server.guard.requests == 0


async def test_a_client_that_resets_its_refused_request_leaves_no_error(
    server, caplog
):
    """Guards against a log line for each reset, of which there is no end."""

    def fail():
        raise OSError(errno.ENOTCONN, 'reset')

    client = await server.connect()
    (connection,) = server.guard.connections
    connection.transport.write_eof = fail
    await client.send(b'bad line\r\n\r\n')
    check_refusal(await client.answer(), 400)
    assert await client.is_closed()
    assert [r for r in caplog.records if r.name.startswith('aiohttp')] == []


PIECES = (
    request(),
    request(b'body'),
    request(b'x' * 40000),
    request(b'', length=10),
    request(b'', 'Expect: 100-continue', length=10),
    request(path=WAITING),
    request(path=LARGE),
    b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n',
    b'5\r\nabcde\r\n',
    b'0\r\n\r\n',
    b'0\r\nX: y\r\n',
    b'GET / HTTP/1.0\r\n\r\n',
    b'CONNECT a:1 HTTP/1.1\r\nHost: h\r\n\r\n',
    b'GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n',
    b'0123456789',
    b'\r\n',
    b'x' * 3000,
    b'X-A: ' + b'y' * 1500 + b'\r\n',
)


async def send_pieces(server, rng):
    """Send pieces of requests, some cut, and leave at some point."""
    try:
        client = await server.connect()
        for _ in range(rng.randint(1, 12)):
            data = rng.choice(PIECES)
            if rng.random() < 0.2:
                data = data[: rng.randrange(len(data))]
            client.writer.write(data)
            await asyncio.sleep(0.01 * rng.random())
        if rng.random() < 0.5:
            async with asyncio.timeout(0.02):
                await client.reader.read()
    except (OSError, TimeoutError):
        pass
    client.writer.transport.abort()


@pytest.mark.parametrize('seed', range(3))
async def test_nothing_is_left_of_any_sequence_of_bytes(server, seed, caplog):
    """Guards against memory, places and errors that strange clients leave."""
    errors = []
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: errors.append(context)
    )
    rng = random.Random(seed)
    server.may_answer.set()
    for _ in range(20):
        await asyncio.gather(*(send_pieces(server, rng) for _ in range(8)))
        server.pass_time(4 * rng.random())
    await conftest.wait_until(server.has_no_connection)
    assert server.budget.used == 0 and server.guard.requests == 0
    assert errors == []
    assert [r for r in caplog.records if r.name.startswith('aiohttp')] == []


@pytest.mark.parametrize('field', ['max_head_bytes', 'head_timeout_s'])
def test_limits_of_clients_are_checked(field):
    with pytest.raises(ValueError):
        settings.Clients(**{field: 0})
