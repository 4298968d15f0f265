"""Tests of what others wait for as a control process stops."""

import asyncio
import os
import signal
import time

from aiohttp import web
import pytest
import pytest_asyncio

from bulrushhold import composition
from bulrushhold import control
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import settings
from bulrushhold import testing
from tests import conftest

WAIT_S = 5.0


@pytest.fixture(autouse=True)
def restored_signals():
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    handlers = [signal.getsignal(number) for number in numbers]
    yield
    for number, handler in zip(numbers, handlers, strict=True):
        signal.signal(number, handler)


class NoAttachment(composition.Attachment):
    async def start(self):
        pass

    async def close(self):
        pass


@pytest.fixture
def addresses():
    return [f'127.0.0.1:{port}' for port in testing.free_ports(2)]


@pytest_asyncio.fixture
async def peer(addresses):
    transport = node.ZmqTransport(addresses[1])
    yield transport
    await transport.close()


def hold_requests(transport):
    """Let a process hold place asks; return the event of the first one."""
    held = asyncio.Event()

    async def hold(ask):
        held.set()
        await asyncio.sleep(60)

    transport.handle(messages.PlaceAsk, hold)
    return held


async def start_relay(address, tmp_path):
    relay = composition.RelayProcess(address, 'dc', [], bootstraps=False)
    held = hold_requests(relay.transport)
    return asyncio.ensure_future(relay.run(None, web.Application())), held


async def start_replica(address, tmp_path):
    host, _, port = address.rpartition(':')
    own = settings.Address(host, int(port))
    config = settings.Control('c1', 'dc', own, str(tmp_path), {'c1': own})
    control.bootstrap(config, node.FileLog(tmp_path))
    held = []

    def attach(server):
        held.append(hold_requests(server.transport))
        return NoAttachment()

    process = asyncio.ensure_future(composition.run_control(config, attach))
    await conftest.wait_until(lambda: held)
    return process, held[0]


@pytest.mark.parametrize('start', [start_relay, start_replica])
async def test_a_stopping_process_answers_what_it_holds(
    addresses, peer, tmp_path, start
):
    # Guards against entries that wait for a process that has stopped.
    process, held = await start(addresses[0], tmp_path)
    report = messages.PlaceReport('s1', 'e1', 1, 0, 0)
    ask = messages.PlaceAsk(report, 1, WAIT_S)
    waiting = asyncio.ensure_future(peer.request(addresses[0], ask, WAIT_S))
    await held.wait()
    os.kill(os.getpid(), signal.SIGTERM)
    stopped_at = time.monotonic()
    with pytest.raises(errors.PeerError):
        await waiting
    assert time.monotonic() - stopped_at < 1.0
    await process
