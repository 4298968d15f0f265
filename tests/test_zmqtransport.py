"""Messages between processes over real sockets."""

import asyncio

import pytest
import pytest_asyncio
import zmq

from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import testing


@pytest_asyncio.fixture
async def pair():
    addresses = [f'127.0.0.1:{port}' for port in testing.free_ports(2)]
    transports = [node.ZmqTransport(address) for address in addresses]
    yield transports, addresses
    for transport in transports:
        await transport.close()


async def test_every_message_of_a_burst_arrives_in_order(pair):
    """Guards against messages that wait unread until the next one comes."""
    (one, other), (_, address) = pair
    seen = []

    async def take(read):
        seen.append(read.limit)

    other.handle(messages.HistoryRead, take)
    for number in range(2000):
        one.send(address, messages.HistoryRead(number))
        if number % 100 == 0:
            await asyncio.sleep(0)
    async with asyncio.timeout(5):
        while len(seen) < 2000:
            await asyncio.sleep(0.01)
    assert seen == list(range(2000))


async def test_requests_in_both_directions_are_all_answered(pair):
    (one, other), (first, second) = pair

    async def answer(read):
        await asyncio.sleep(0)
        return messages.Failure(str(read.limit))

    for transport in (one, other):
        transport.handle(messages.HistoryRead, answer)

    async def ask(transport, address, number):
        with pytest.raises(errors.PeerError) as caught:
            await transport.request(address, messages.HistoryRead(number), 5.0)
        assert caught.value.reason == str(number)

    await asyncio.gather(
        *(ask(one, second, number) for number in range(200)),
        *(ask(other, first, number) for number in range(200)),
    )


async def test_a_stranger_that_sends_other_frames_stops_nothing(pair):
    """Guards against one malformed message that ends all reading."""
    (one, other), (_, address) = pair
    stranger = zmq.Context.instance().socket(zmq.DEALER)
    stranger.connect(f'tcp://{address}')
    stranger.send_multipart([b'a', b'b', b'c', b'd'])
    stranger.send_multipart([b'a'])
    await asyncio.sleep(0.1)
    arrived = asyncio.Event()

    async def take(read):
        arrived.set()

    other.handle(messages.HistoryRead, take)
    one.send(address, messages.HistoryRead(1))
    async with asyncio.timeout(2):
        await arrived.wait()
    stranger.close(linger=0)


async def test_a_transport_can_be_closed_twice():
    """Guards against taking a reader from whoever has the number now."""
    address = f'127.0.0.1:{testing.free_ports(1)[0]}'
    transport = node.ZmqTransport(address)
    await transport.close()
    loop = asyncio.get_running_loop()
    server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    connections = [
        await asyncio.open_connection('127.0.0.1', port) for _ in range(20)
    ]
    await transport.close()
    transport.send(address, messages.StatusRead())
    assert loop.is_running()
    for _, writer in connections:
        writer.close()
    server.close()


async def test_an_address_is_free_once_its_transport_is_closed(pair):
    """Guards against a process that can't begin anew at its own address."""
    (one, _), _ = pair
    address = f'127.0.0.1:{testing.free_ports(1)[0]}'
    for _ in range(100):
        transport = node.ZmqTransport(address)
        one.send(address, messages.StatusRead())
        await transport.close()
