"""Tests of the control processes that grant retries."""

import types

import pytest

from bulrushhold.control import _retries
from bulrushhold import ports
from tests import retrypools


class Network:
    """Delivers messages between processes at once."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    async def deliver(self):
        while self.sent:
            address, message = self.sent.pop(0)
            await self.handlers[address, type(message)](message)


class NetworkTransport(ports.Transport):
    """The way of one process to all others."""

    def __init__(self, network, address):
        self.network = network
        self.address = address

    def handle(self, kind, handler):
        self.network.handlers[self.address, kind] = handler

    def send(self, address, message):
        self.network.sent.append((address, message))

    async def request(self, address, message, timeout):
        return await self.network.handlers[address, type(message)](message)

    async def close(self):
        pass


@pytest.fixture
def clock():
    return types.SimpleNamespace(now=0.0)


@pytest.fixture
def network():
    return Network()


@pytest.fixture
def servers(network, clock):
    """Return two processes, the home of the service first."""
    addresses = retrypools.home_first('n0', 'n1')
    return [make_server(network, a, addresses, clock) for a in addresses]


def make_server(network, address, addresses, clock):
    view = types.SimpleNamespace(
        nodes=retrypools.make_nodes(*addresses),
        backends=(types.SimpleNamespace(service=retrypools.SERVICE),),
    )
    return _retries.RetryServer(
        NetworkTransport(network, address),
        address,
        view,
        lambda: True,
        lambda: clock.now,
        first_start=False,
    )


async def run_to(server, clock, now):
    """Follow the cluster view as often as a running process."""
    while clock.now < now:
        clock.now += 0.5
        server._update(clock.now)


async def ask(server, count):
    grant = await server._on_ask(retrypools.ask(count))
    return grant.begun


async def test_a_home_lost_right_after_a_grant_leaves_its_record(
    servers, network, clock
):
    # Guards against a second budget if a home is lost as it grants.
    home, successor = servers
    await run_to(home, clock, 11.0)
    home._send_copies(clock.now)
    assert await ask(home, 300) == 300
    await network.deliver()
    del successor.view.nodes[0]
    successor._update(clock.now)
    await run_to(successor, clock, 13.0)
    assert await ask(successor, 300) == 100
