"""Messages between the system's processes over zmq and TCP."""

import asyncio
import collections.abc as cabc
import contextlib
import itertools
import socket
import typing as t

import loguru
import zmq

from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import ports

HIGH_WATER_MARK: t.Final = 4096
MAX_MESSAGE_BYTES: t.Final = 256 << 20
# A silent connection is replaced within an election's time, so that one
# replica's reconnection never costs an election.
PROBE_MS: t.Final = 300
SILENCE_MS: t.Final = 900
_ONE_WAY: t.Final = b''
# Then the loop's other work has its turn.
MESSAGES_IN_A_ROW: t.Final = 50
RELEASE_S: t.Final = 1.0
RELEASE_CHECK_S: t.Final = 0.005


class _Channel:
    """A socket whose messages go to a callback, within the running loop.

    The socket's descriptor tells of a message only once: whoever is called
    has to read until nothing is left, and to look again after each send.

    :param take: is called with the parts of each message.
    :param parts: of a message; others come from strangers.
    """

    def __init__(
        self,
        zmq_socket: zmq.Socket[bytes],
        take: cabc.Callable[[list[bytes]], None],
        parts: int,
    ) -> None:
        self.socket = zmq_socket
        self.take = take
        self.parts = parts
        self.loop = asyncio.get_running_loop()
        self.descriptor = zmq_socket.getsockopt(zmq.FD)
        self.scheduled: asyncio.Handle | None = None
        self.loop.add_reader(self.descriptor, self._read)
        self._read_soon()

    @property
    def closed(self) -> bool:
        """Whether the socket is closed."""
        return self.socket.closed

    def send(self, parts: list[bytes]) -> None:
        """Send a message, or drop it where the peer can't take it."""
        if self.closed:
            return
        with contextlib.suppress(zmq.Again, zmq.ZMQError):
            self.socket.send_multipart(parts, zmq.DONTWAIT)
        self._read_soon()

    def close(self) -> None:
        """Stop reading, and drop what is queued.

        The second time does nothing: another connection may have got the
        descriptor's number by then.
        """
        if self.closed:
            return
        self.loop.remove_reader(self.descriptor)
        if self.scheduled is not None:
            self.scheduled.cancel()
        self.socket.close(linger=0)

    def _read_soon(self) -> None:
        if self.scheduled is None:
            self.scheduled = self.loop.call_soon(self._read)

    def _read(self) -> None:
        if self.scheduled is not None:
            self.scheduled.cancel()
            self.scheduled = None
        for _ in range(MESSAGES_IN_A_ROW):
            try:
                parts = self.socket.recv_multipart(zmq.DONTWAIT)
            except zmq.Again:
                return
            if len(parts) == self.parts:
                self.take(parts)
        self._read_soon()


class ZmqTransport(ports.Transport):
    """One ROUTER socket for what comes in, one DEALER per peer.

    Sockets drop what they can't hold: a peer that is gone must not fill
    this process's memory, and every message may be lost anyway.
    """

    def __init__(
        self, listen: str, context: 'zmq.Context[t.Any] | None' = None
    ) -> None:
        self.listen = listen
        self.context = context or zmq.Context.instance()
        router = self.context.socket(zmq.ROUTER)
        _limit(router)
        router.bind(f'tcp://{listen}')
        self.router = _Channel(router, self._take, 3)
        self.handlers: dict[type, ports.Handler] = {}
        self.peers: dict[str, _Channel] = {}
        self.pending: dict[bytes, asyncio.Future[t.Any]] = {}
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()
        self.sent_bytes = 0

    def handle(self, kind: type, handler: ports.Handler) -> None:
        """Call ``handler`` for each message of ``kind``."""
        self.handlers[kind] = handler

    def send(self, address: str, message: messages.Message) -> None:
        """Send one message, or drop it where the peer can't take it."""
        self._transmit(address, _ONE_WAY, messages.encode(message))

    async def request(
        self, address: str, message: messages.Message, timeout: float
    ) -> t.Any:
        """Send a message and return its reply."""
        number = next(self.numbers).to_bytes(8)
        future: asyncio.Future[t.Any] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending[number] = future
        step = type(message).__name__
        try:
            self._transmit(address, number, messages.encode(message))
            async with asyncio.timeout(timeout):
                reply = await future
        except TimeoutError:
            raise errors.PeerError('no answer', step, address) from None
        finally:
            del self.pending[number]
        if isinstance(reply, messages.Failure):
            raise errors.PeerError(reply.reason, step, address)
        return reply

    async def close(self) -> None:
        """Stop receiving and drop what is queued; free the address."""
        if self.router.closed:
            return
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for peer in self.peers.values():
            peer.close()
        self.peers.clear()
        self.router.close()
        await self._release()

    async def _release(self) -> None:
        """Wait until the address can be bound again.

        zmq closes a listener in a thread of its own. A process that begins
        anew at its address at once would find it in use, and end.
        """
        host, _, port = self.listen.rpartition(':')
        try:
            async with asyncio.timeout(RELEASE_S):
                while not _can_bind(host, int(port)):
                    await asyncio.sleep(RELEASE_CHECK_S)
        except TimeoutError:
            loguru.logger.bind(address=self.listen).warning('address in use')

    def _transmit(self, address: str, number: bytes, data: bytes) -> None:
        peer = self.peers.get(address) or self._connect(address)
        self.sent_bytes += len(data) + len(number)
        peer.send([number, data])

    def _connect(self, address: str) -> _Channel:
        dealer = self.context.socket(zmq.DEALER)
        _limit(dealer)
        dealer.connect(f'tcp://{address}')
        self.peers[address] = _Channel(dealer, self._take_reply, 2)
        return self.peers[address]

    def _take_reply(self, parts: list[bytes]) -> None:
        number, data = parts
        future = self.pending.get(number)
        if future is None or future.done():
            return
        try:
            future.set_result(messages.decode(data))
        except errors.PeerError as error:
            future.set_exception(error)

    def _take(self, parts: list[bytes]) -> None:
        peer, number, data = parts
        work = self._dispatch(peer, number, data)
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _dispatch(self, peer: bytes, number: bytes, data: bytes) -> None:
        try:
            message = messages.decode(data)
            handler = self.handlers.get(type(message))
            if handler is None:
                reply: t.Any = messages.Failure('not handled here')
            else:
                reply = await handler(message)
        except errors.BulrushholdError as error:
            reply = messages.Failure(str(error))
        if number != _ONE_WAY and reply is not None:
            encoded = messages.encode(reply)
            self.sent_bytes += len(encoded)
            self.router.send([peer, number, encoded])


def _can_bind(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
        return True


def _limit(channel: t.Any) -> None:
    channel.setsockopt(zmq.LINGER, 0)
    channel.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    channel.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    channel.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    channel.setsockopt(zmq.RECONNECT_IVL, 50)
    channel.setsockopt(zmq.RECONNECT_IVL_MAX, 250)
    # A connection may fall silent for good without a reset, while new ones
    # work. Without probes of its own zmq would keep it for hours, and a
    # replica would stay out of reach of its leader.
    channel.setsockopt(zmq.HEARTBEAT_IVL, PROBE_MS)
    channel.setsockopt(zmq.HEARTBEAT_TIMEOUT, SILENCE_MS)
    channel.setsockopt(zmq.CONNECT_TIMEOUT, SILENCE_MS)
    channel.setsockopt(zmq.HANDSHAKE_IVL, SILENCE_MS)
