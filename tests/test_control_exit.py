"""Tests of what others wait for as a control process stops."""

import asyncio
import os
import signal
import time

import pytest
import pytest_asyncio

from bulrushhold import composition
from bulrushhold.composition import _background
from bulrushhold import control
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import settings
from bulrushhold import testing
from tests import conftest

WAIT_S = 5.0
pytestmark = pytest.mark.usefixtures('restored_signals')


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
    return asyncio.ensure_future(relay.run(None)), held


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


@pytest.fixture
def stop_callbacks(monkeypatch):
    """What a stop signal calls, by the order in which processes started."""
    callbacks = []
    monkeypatch.setattr(_background, 'handle_stop_signals', callbacks.append)
    return callbacks


@pytest_asyncio.fixture
async def group(tmp_path, monkeypatch, stop_callbacks):
    """Three replicas with a leader: processes, servers, the leader's index."""
    # All run in one event loop, which a sync of each of them stops.
    monkeypatch.setattr('os.fdatasync', lambda descriptor: None)
    monkeypatch.setattr('os.fsync', lambda descriptor: None)
    voters = {
        f'c{number}': settings.Address('127.0.0.1', port)
        for number, port in enumerate(testing.free_ports(3), 1)
    }
    servers = []

    def attach(server):
        servers.append(server)
        return NoAttachment()

    processes = []
    for name, own in voters.items():
        folder = tmp_path / name
        folder.mkdir()
        config = settings.Control(name, 'dc', own, str(folder), voters)
        control.bootstrap(config, node.FileLog(folder))
        processes.append(
            asyncio.ensure_future(composition.run_control(config, attach))
        )
        await conftest.wait_until(lambda: len(servers) == len(processes))
    await conftest.wait_until(lambda: any(map(is_leader, servers)))
    yield (
        processes,
        servers,
        servers.index(next(filter(is_leader, servers))),
    )
    for stop in stop_callbacks:
        stop()
    await asyncio.gather(*processes)


def is_leader(server):
    return server.replica.role is decisions.Role.LEADER


async def propose(server):
    """Start a proposal; return a task once the leader has accepted it."""
    command = messages.encode(messages.RouteMapPut(1, b'', b''))
    proposal = asyncio.ensure_future(server.propose(command))
    await asyncio.sleep(0)
    assert server.pending_proposals
    return proposal


async def test_a_stopping_leader_commits_what_it_has_accepted(
    group, stop_callbacks
):
    # Guards against an order whose sender learns nothing for seconds.
    _, servers, leader = group
    proposal = await propose(servers[leader])
    stop_callbacks[leader]()
    assert (await proposal).status == 'done'


async def test_a_leader_without_a_majority_stops_soon(group, stop_callbacks):
    # Guards against a process that is killed before it has closed its files.
    processes, servers, leader = group
    for index, process in enumerate(processes):
        if index != leader:
            stop_callbacks[index]()
            await process
    proposal = await propose(servers[leader])
    stop_callbacks[leader]()
    async with asyncio.timeout(2.0):
        await processes[leader]
    assert (await proposal).status != 'done'
