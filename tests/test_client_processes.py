"""Clients that don't behave, at processes with the product's interface."""

import aiohttp
import pytest

from bulrushhold import testing
from tests import crowds

# The memory of the smallest instance that users run.
MEMORY_MB = 150
SETTINGS = {'max_body_bytes': 4 << 20}
BODY_BYTES = 3 << 20
CHAT_PATH = '/v1/chat/completions'
CHAT = {
    'model': 'small',
    'max_tokens': 2,
    'messages': [{'role': 'user', 'content': 'hello'}],
}


@pytest.fixture
def deployment(tmp_path):
    deployed = testing.Deployment(
        tmp_path, controls=1, entries=1, engines=1, entry_settings=SETTINGS
    )
    try:
        deployed.start()
        yield deployed
    finally:
        deployed.stop()


async def check(deployment, path, send):
    port = deployment.entry_ports['e1']
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def ask():
            try:
                async with session.post(
                    f'http://127.0.0.1:{port}{CHAT_PATH}',
                    json=CHAT,
                    headers={'Bulrushhold-Account': 'vendors'},
                ) as response:
                    await response.read()
                    return response.status == 200
            except aiohttp.ClientError:
                return False

        headers = (
            'Bulrushhold-Account: vendors',
            'Content-Type: application/json',
        )
        watch = await crowds.play(
            deployment.processes['e1'],
            crowds.Target('127.0.0.1', port, path, headers, BODY_BYTES),
            send,
            ask,
        )
    print(f'{watch.peak_mb:.0f} MB, {watch.peak_files} descriptors')
    assert watch.peak_mb <= MEMORY_MB


@pytest.mark.parametrize('path', [CHAT_PATH, '/readyz'])
async def test_long_heads_do_not_fill_the_memory(deployment, path):
    """Guards against heads whose fields are bounded, but not their sum."""
    await check(deployment, path, crowds.send_long_head)


@pytest.mark.parametrize(
    'send',
    [
        crowds.send_endless_fields,
        crowds.send_endless_trailers,
        crowds.send_requests_behind,
        crowds.send_short_body,
        crowds.send_short_chunks,
    ],
)
async def test_what_callers_send_does_not_fill_the_memory(deployment, send):
    """Guards against bytes that are kept before anything counts them."""
    await check(deployment, CHAT_PATH, send)
