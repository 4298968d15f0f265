"""Tests of the product's own interface among servers with invalid answers."""

import asyncio
import socket

import aiohttp
import attrs
from click import testing as click_testing
import pytest
import pytest_asyncio

from bulrushhold import cli
from bulrushhold import client
from bulrushhold import errors
from bulrushhold import web
from tests import conftest
from tests import http_responses
from tests import test_broken_responses
from tests import test_endless_responses
from tests import test_invalid_responses

HALF = b'HTTP/1.1 200 OK\r\nX-Stamp: 1\r\n\r\n{"half'
# One of each part of a response; other tests have all.
NAMES = [
    'status 000',
    'blank after the name of the length',
    'control bytes in a value',
    'two codings',
    'a length of 64 bits',
    'control byte in a trailer',
]


reports = test_invalid_responses.reports


@attrs.define
class EchoingServer:
    """Answers each request with the same response, under the request's id.

    :ivar ending: how the connection ends; see ``BreakingServer``.
    """

    response: bytes = b''
    ending: str = 'close'
    address: str = ''
    requests: int = 0

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            self.requests += 1
            _, _, rest = head.lower().partition(b'x-request-id: ')
            ident = rest.partition(b'\r\n')[0]
            writer.write(
                self.response.replace(b'X-Stamp: 1', b'X-Request-Id: ' + ident)
            )
            await writer.drain()
            if self.ending == 'reset':
                await asyncio.sleep(0.02)
                writer.get_extra_info('socket').setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    test_broken_responses.NO_LINGER,
                )
                writer.transport.abort()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def listen(self, port=0):
        listener = await asyncio.start_server(self.serve, '127.0.0.1', port)
        host, port = listener.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return listener


@pytest_asyncio.fixture
async def server():
    created = EchoingServer()
    listener = await created.listen()
    yield created
    listener.close()


@pytest_asyncio.fixture
async def replace():
    """Return a function that puts the stand-in in the place of a fake."""
    listeners = []

    async def stand_in(fake, response, ending='close'):
        port = fake.port
        await fake.stop()
        created = EchoingServer(response, ending)
        listeners.append(await created.listen(port))
        return created

    yield stand_in
    for listener in listeners:
        listener.close()


BROKEN = [
    *((http_responses.INVALID[name], 'close') for name in NAMES),
    (HALF, 'reset'),
]
BROKEN_IDS = [*NAMES, 'half of a body']


@pytest.mark.parametrize(('response', 'ending'), BROKEN, ids=BROKEN_IDS)
async def test_a_booking_gets_no_invalid_answer(
    system, replace, response, ending
):
    # Guards against a status or a half that a caller takes for an outcome.
    stand_in = await replace(system.booking, response, ending)
    with pytest.raises(errors.RequestError) as caught:
        await system.client(deadline_s=0).call(
            'booking', 'slots', method='POST', body={'slot': 'oven-1'}
        )
    assert (caught.value.status, caught.value.ran) == (502, 'unknown')
    assert stand_in.requests == 1


@pytest.mark.parametrize(('response', 'ending'), BROKEN, ids=BROKEN_IDS)
async def test_a_lookup_gets_no_invalid_answer(
    system, replace, response, ending
):
    await replace(system.booking, response, ending)
    with pytest.raises(errors.RequestError):
        await system.client(deadline_s=0).call('booking', 'availability')


@pytest.mark.parametrize(('response', 'ending'), BROKEN, ids=BROKEN_IDS)
async def test_a_generation_goes_on_at_an_engine_with_valid_answers(
    system, replace, response, ending
):
    # Guards against a stream that ends, or begins, with what is no answer.
    await replace(system.engines['m1'], response, ending)
    caller = system.client()
    for _ in range(4):
        tokens = [
            token
            async for token in caller.generate(
                'small', conftest.PROMPT, max_tokens=5
            )
        ]
        conftest.assert_complete(tokens, 5)


@pytest.mark.parametrize('name', http_responses.INVALID)
async def test_an_invalid_list_is_not_applied(server, reports, name):
    # Guards against a list whose end, or status, nobody has checked.
    server.response = http_responses.INVALID[name]
    session = web.make_session(on_invalid=reports.record)
    listed = web.HttpPlatformList(session, f'http://{server.address}/list')
    with pytest.raises(errors.PeerError):
        await listed.fetch()
    assert len(reports.records) == 1
    await session.close()


@pytest.mark.parametrize('name', NAMES)
async def test_the_client_library_takes_no_invalid_answer(server, name):
    # Guards against an answer of an entry that isn't one.
    server.response = http_responses.INVALID[name]
    async with client.Client(
        'vendors', [server.address], deadline_s=0.5
    ) as caller:
        with pytest.raises(errors.RequestError):
            await caller.call('booking', 'slots', method='POST', body={})
        caller.entries = [server.address]
        caller.entries_expire_at = float('inf')
        with pytest.raises(errors.RequestError) as caught:
            await caller.call('booking', 'slots', method='POST', body={})
    assert caught.value.ran is errors.Ran.UNKNOWN


@pytest.mark.parametrize('body', [b'ok', b'[]', b'{"entries": 1}'])
async def test_the_client_library_survives_what_is_no_list(server, body):
    # Guards against an error that no caller of the library expects.
    server.response = http_responses.response(
        b'Content-Length: %d' % len(body), body=body
    )
    async with client.Client(
        'vendors', [server.address], deadline_s=0.5
    ) as caller:
        answer = await caller.call('booking', 'slots')
    assert (answer.status, answer.body) == (200, body)


@pytest.mark.parametrize('line', [b'id: x', b'data: x', b'data: {}'])
async def test_the_client_library_survives_what_is_no_event(server, line):
    # Guards against an error that no caller of the library expects.
    body = line + b'\n\n'
    server.response = http_responses.response(
        b'Content-Length: %d' % len(body), body=body
    )
    async with client.Client(
        'vendors', [server.address], deadline_s=0.5
    ) as caller:
        with pytest.raises((errors.RequestError, aiohttp.ClientError)):
            async for _ in caller.generate('small', conftest.PROMPT):
                pass


@pytest.fixture
def show_table(tmp_path, server):
    """Return a function that runs the command."""
    key_file = tmp_path / 'key'
    key_file.write_text(conftest.OPERATOR_KEY)

    async def run():
        return await asyncio.to_thread(
            click_testing.CliRunner().invoke,
            cli.main,
            ['table', 'show', '--entry', server.address]
            + ['--key-file', str(key_file)],
        )

    return run


@pytest.mark.parametrize('name', NAMES)
async def test_a_command_fails_on_an_invalid_answer(server, show_table, name):
    # Guards against a table that is written from what is no answer.
    server.response = http_responses.INVALID[name]
    result = await show_table()
    assert result.exit_code == 1
    assert 'ok' not in result.stdout


async def test_a_command_reads_a_valid_answer(server, show_table):
    server.response = http_responses.response(body=b'ok')
    result = await show_table()
    assert (result.exit_code, result.stdout) == (0, 'ok')


@pytest.mark.parametrize('body', [b'{"error": {"reason": "why"}}', b'why'])
async def test_a_command_shows_the_error_of_an_entry(server, show_table, body):
    server.response = http_responses.response(
        b'Content-Length: %d' % len(body),
        status=b'HTTP/1.1 403 why',
        body=body,
    )
    result = await show_table()
    assert result.exit_code == 1
    expected = 'why' if body.startswith(b'{') else 'status 403'
    assert expected in result.stderr


@pytest.mark.parametrize('running', ['²', '9' * 5000, '-1', 'x', ''])
async def test_an_odd_count_of_an_engine_is_no_report(server, running):
    # Guards against an error that ends a generation.
    server.response = http_responses.response(
        b'X-Running: ' + running.encode(), b'Content-Length: 2'
    )
    async with web.make_session() as session:
        engines = web.HttpEngineClient(session)
        with pytest.raises(errors.EngineLostError):
            await engines.run(
                server.address, test_endless_responses.GENERATION, bool
            )
    assert engines.reports == {}
