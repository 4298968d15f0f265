"""ZeroMQ transport over real sockets."""

import asyncio

import pytest
import pytest_asyncio
import zmq

from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import testing


@pytest_asyncio.fixture
async def connected_pair():
    addresses = [f'127.0.0.1:{port}' for port in testing.free_ports(2)]
    transports = [node.ZmqTransport(address) for address in addresses]
    yield transports, addresses
    for transport in transports:
        await transport.close()


@pytest.mark.parametrize('address', ['nowhere', '', 'a b:1', '\ud800:7'])
async def test_a_malformed_address_fails_like_an_unreachable_peer(
    connected_pair, address
):
    # Guards against one bad seed that ends the loop which follows control.
    (sender, _), _ = connected_pair
    with pytest.raises(errors.PeerError) as raised:
        await sender.request(address, messages.HistoryRead(1), 1.0)
    assert raised.value.peer == address
    sender.send(address, messages.HistoryRead(1))
    assert address not in sender.peers


async def test_a_handler_that_fails_is_answered_at_once(connected_pair):
    # Guards against a peer that waits out its timeout at each attempt.
    (sender, receiver), (_, address) = connected_pair

    async def fail(read):
        raise ValueError(read.limit)

    receiver.handle(messages.HistoryRead, fail)
    with pytest.raises(errors.PeerError) as raised:
        await sender.request(address, messages.HistoryRead(1), 5.0)
    assert raised.value.reason == 'internal error'


async def test_messages_that_are_dropped_show_in_the_log(
    connected_pair, log_records, monkeypatch
):
    # Guards against records that are believed to be sent.
    module = 'bulrushhold.node._zmqtransport'
    monkeypatch.setattr(f'{module}.MAX_QUEUED_MESSAGES', 10)
    (sender, _), _ = connected_pair
    [port] = testing.free_ports(1)
    for _ in range(13):
        sender.send(f'127.0.0.1:{port}', messages.HistoryRead(1))
    lines = [r for r in log_records if 'messages' in r]
    assert [(r['peer'], r['messages']) for r in lines] == [
        (f'127.0.0.1:{port}', 1)
    ]
    assert sender.dropped.total() == 2


@pytest.mark.parametrize(
    'data',
    [b'', b'\xff', b'\x92\xa4Read\xc0', b'\x91' * 100_000],
    ids=['empty', 'reserved', 'unknown class', 'nested'],
)
async def test_malformed_messages_delay_no_others(connected_pair, data):
    # Guards against a socket that is read no further.
    (sender, receiver), (_, address) = connected_pair
    received = []

    async def on_message(read):
        received.append(read.limit)

    receiver.handle(messages.HistoryRead, on_message)
    for number in range(20):
        sender._transmit(address, b'', data)
        sender.send(address, messages.HistoryRead(number))
    async with asyncio.timeout(5):
        while len(received) < 20:
            await asyncio.sleep(0.01)


async def test_every_message_of_a_burst_arrives_in_order(connected_pair):
    """No message may stay unread until the next one arrives."""
    (sender, receiver), (_, address) = connected_pair
    received = []

    async def on_message(read):
        received.append(read.limit)

    receiver.handle(messages.HistoryRead, on_message)
    for number in range(2000):
        sender.send(address, messages.HistoryRead(number))
        if number % 100 == 0:
            await asyncio.sleep(0)
    async with asyncio.timeout(5):
        while len(received) < 2000:
            await asyncio.sleep(0.01)
    assert received == list(range(2000))


async def test_requests_in_both_directions_are_all_answered(connected_pair):
    (first, second), (first_address, second_address) = connected_pair

    async def answer(read):
        await asyncio.sleep(0)
        return messages.Failure(str(read.limit))

    for transport in (first, second):
        transport.handle(messages.HistoryRead, answer)

    async def request_error(transport, address, number):
        with pytest.raises(errors.PeerError) as raised:
            await transport.request(address, messages.HistoryRead(number), 5.0)
        assert raised.value.reason == str(number)

    await asyncio.gather(
        *(
            request_error(first, second_address, number)
            for number in range(200)
        ),
        *(
            request_error(second, first_address, number)
            for number in range(200)
        ),
    )


async def test_messages_with_a_wrong_frame_count_are_ignored(connected_pair):
    """A malformed message must not stop the socket's reader."""
    (sender, receiver), (_, address) = connected_pair
    foreign_socket = zmq.Context.instance().socket(zmq.DEALER)
    foreign_socket.connect(f'tcp://{address}')
    foreign_socket.send_multipart([b'a', b'b', b'c', b'd'])
    foreign_socket.send_multipart([b'a'])
    await asyncio.sleep(0.1)
    arrived = asyncio.Event()

    async def on_message(read):
        arrived.set()

    receiver.handle(messages.HistoryRead, on_message)
    sender.send(address, messages.HistoryRead(1))
    async with asyncio.timeout(2):
        await arrived.wait()
    foreign_socket.close(linger=0)


async def test_a_transport_can_be_closed_twice():
    """The second close must not remove the reader of a reused descriptor."""
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


async def test_an_address_is_free_once_its_transport_is_closed(connected_pair):
    """A process must be able to restart at once at its own address."""
    (sender, _), _ = connected_pair
    address = f'127.0.0.1:{testing.free_ports(1)[0]}'
    for _ in range(100):
        transport = node.ZmqTransport(address)
        sender.send(address, messages.StatusRead())
        await transport.close()


async def test_a_request_that_is_held_is_answered_before_the_close(
    connected_pair,
):
    # Guards against a peer that waits out its timeout as a process stops.
    (sender, receiver), (_, address) = connected_pair
    held = asyncio.Event()

    async def hold(read):
        held.set()
        await asyncio.sleep(60)

    receiver.handle(messages.HistoryRead, hold)
    read = messages.HistoryRead(1)
    waiting = asyncio.ensure_future(sender.request(address, read, 30.0))
    await held.wait()
    await receiver.refuse_requests()
    late = asyncio.ensure_future(sender.request(address, read, 30.0))
    for request in (waiting, late):
        async with asyncio.timeout(1.0):
            with pytest.raises(errors.PeerError, match='stopping'):
                await request
    await receiver.close()
