"""Messages between the system's processes over zmq and TCP."""

import asyncio
import collections.abc as cabc
import contextlib
import itertools
import typing as t

import zmq
import zmq.asyncio

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


class ZmqTransport(ports.Transport):
    """One ROUTER socket for what comes in, one DEALER per peer.

    Sockets drop what they can't hold: a peer that is gone must not fill
    this process's memory, and every message may be lost anyway.
    """

    def __init__(self, listen: str, context: t.Any = None) -> None:
        self.context = context or zmq.asyncio.Context.instance()
        self.router = self.context.socket(zmq.ROUTER)
        _limit(self.router)
        self.router.bind(f'tcp://{listen}')
        self.handlers: dict[type, ports.Handler] = {}
        self.peers: dict[str, t.Any] = {}
        self.pending: dict[bytes, asyncio.Future[t.Any]] = {}
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()
        self.sent_bytes = 0
        self._spawn(self._receive())

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
        """Stop receiving and drop what is queued."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for dealer in self.peers.values():
            dealer.close(linger=0)
        self.peers.clear()
        self.router.close(linger=0)

    def _transmit(self, address: str, number: bytes, data: bytes) -> None:
        dealer = self.peers.get(address) or self._connect(address)
        self.sent_bytes += len(data) + len(number)
        with contextlib.suppress(zmq.Again):
            # The plain call: the asyncio one would make a future for each.
            zmq.Socket.send_multipart(dealer, [number, data], zmq.DONTWAIT)

    def _connect(self, address: str) -> t.Any:
        dealer = self.context.socket(zmq.DEALER)
        _limit(dealer)
        dealer.connect(f'tcp://{address}')
        self.peers[address] = dealer
        self._spawn(self._receive_replies(dealer))
        return dealer

    async def _receive(self) -> None:
        while True:
            peer, number, data = await self.router.recv_multipart()
            self._spawn(self._dispatch(peer, number, data))

    async def _receive_replies(self, dealer: t.Any) -> None:
        while True:
            number, data = await dealer.recv_multipart()
            future = self.pending.get(number)
            if future is not None and not future.done():
                future.set_result(messages.decode(data))

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
            parts = [peer, number, messages.encode(reply)]
            self.sent_bytes += len(parts[2])
            with contextlib.suppress(zmq.Again, zmq.ZMQError):
                zmq.Socket.send_multipart(self.router, parts, zmq.DONTWAIT)

    def _spawn(self, work: cabc.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _limit(socket: t.Any) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.RECONNECT_IVL, 50)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, 250)
    # A connection may fall silent for good without a reset, while new ones
    # work. Without probes of its own zmq would keep it for hours, and a
    # replica would stay out of reach of its leader.
    socket.setsockopt(zmq.HEARTBEAT_IVL, PROBE_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, SILENCE_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, SILENCE_MS)
    socket.setsockopt(zmq.HANDSHAKE_IVL, SILENCE_MS)
