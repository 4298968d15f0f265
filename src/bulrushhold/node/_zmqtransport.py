"""Message transport between processes over ZeroMQ and TCP."""

import asyncio
import collections
import collections.abc as cabc
import itertools
import socket
import typing as t

import loguru
import zmq

from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import ports

MAX_QUEUED_MESSAGES: t.Final = 4096
# Of each connection to the listening socket, which anybody may open. Further
# ones stay with the sender.
MAX_RECEIVED_MESSAGES: t.Final = 256
MAX_MESSAGE_BYTES: t.Final = 256 << 20
# Shorter than an election, so that a reconnect doesn't cause one.
HEARTBEAT_INTERVAL_MS: t.Final = 300
CONNECTION_TIMEOUT_MS: t.Final = 900
_NO_REPLY: t.Final = b''
# After this many messages the event loop runs other callbacks.
MAX_MESSAGES_PER_READ: t.Final = 50
DROP_LOG_INTERVAL_S: t.Final = 10.0
UNBIND_TIMEOUT_S: t.Final = 1.0
UNBIND_CHECK_INTERVAL_S: t.Final = 0.005
# Time for ZeroMQ's thread to send the last replies.
FLUSH_S: t.Final = 0.05


class _AsyncSocket:
    """A ZeroMQ socket that calls back from the running event loop.

    The socket's descriptor is edge-triggered: after a notification, and
    after each send, the socket has to be read until it is empty.

    :param on_message: called with the frames of each message.
    :param frame_count: frames of a valid message; others are ignored.
    """

    def __init__(
        self,
        zmq_socket: zmq.Socket[bytes],
        on_message: cabc.Callable[[list[bytes]], None],
        frame_count: int,
    ) -> None:
        self.socket = zmq_socket
        self.on_message = on_message
        self.frame_count = frame_count
        self.loop = asyncio.get_running_loop()
        self.descriptor = zmq_socket.getsockopt(zmq.FD)
        self.scheduled_read: asyncio.Handle | None = None
        self.loop.add_reader(self.descriptor, self._read)
        self._schedule_read()

    @property
    def closed(self) -> bool:
        """Whether the socket is closed."""
        return self.socket.closed

    def send(self, frames: list[bytes]) -> bool:
        """Send a message; return ``False`` if it is dropped.

        It is if the send queue is full, or the socket is closed.
        """
        if self.closed:
            return False
        try:
            self.socket.send_multipart(frames, zmq.DONTWAIT)
        except zmq.ZMQError:
            return False
        finally:
            self._schedule_read()
        return True

    def close(self) -> None:
        """Stop reading and drop queued messages.

        A second call does nothing, as the descriptor may already belong to
        another connection.
        """
        if self.closed:
            return
        self.loop.remove_reader(self.descriptor)
        if self.scheduled_read is not None:
            self.scheduled_read.cancel()
        self.socket.close(linger=0)

    def _schedule_read(self) -> None:
        if self.scheduled_read is None:
            self.scheduled_read = self.loop.call_soon(self._read)

    def _read(self) -> None:
        if self.scheduled_read is not None:
            self.scheduled_read.cancel()
            self.scheduled_read = None
        for _ in range(MAX_MESSAGES_PER_READ):
            try:
                frames = self.socket.recv_multipart(zmq.DONTWAIT)
            except zmq.Again:
                return
            if len(frames) == self.frame_count:
                self.on_message(frames)
        self._schedule_read()


class ZmqTransport(ports.Transport):
    """Receives on one ROUTER socket and sends on one DEALER per peer.

    Messages beyond a queue's limit are dropped, so that an unreachable peer
    doesn't exhaust memory. Messages may also be lost on a connection failure.
    """

    def __init__(
        self, listen: str, context: 'zmq.Context[t.Any] | None' = None
    ) -> None:
        self.listen = listen
        self.context = context or zmq.Context.instance()
        router = self.context.socket(zmq.ROUTER)
        _configure(router)
        router.setsockopt(zmq.RCVHWM, MAX_RECEIVED_MESSAGES)
        router.bind(f'tcp://{listen}')
        self.router = _AsyncSocket(router, self._on_request, 3)
        self.handlers: dict[type, ports.Handler] = {}
        self.peers: dict[str, _AsyncSocket] = {}
        self.pending: dict[bytes, asyncio.Future[t.Any]] = {}
        self.request_ids = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()
        self.refusing = False
        self.sent_bytes = 0
        self.dropped: collections.Counter[str] = collections.Counter()
        self.drops_logged_at = float('-inf')

    def handle(self, kind: type, handler: ports.Handler) -> None:
        """Call ``handler`` for each message of ``kind``."""
        self.handlers[kind] = handler

    def send(self, address: str, message: messages.Message) -> None:
        """Send a message, or drop it if it can't be queued."""
        try:
            self._transmit(address, _NO_REPLY, messages.encode(message))
        except errors.PeerError as error:
            loguru.logger.bind(peer=address, error=str(error)).warning(
                'message not sent'
            )

    async def request(
        self, address: str, message: messages.Message, timeout: float
    ) -> t.Any:
        """Send a message and wait for its reply.

        :raises PeerError: if there is no reply in time, or the address or the
            reply is malformed.
        """
        request_id = next(self.request_ids).to_bytes(8)
        future: asyncio.Future[t.Any] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending[request_id] = future
        operation = type(message).__name__
        try:
            self._transmit(address, request_id, messages.encode(message))
            async with asyncio.timeout(timeout):
                reply = await future
        except TimeoutError:
            raise errors.PeerError('no reply', operation, address) from None
        finally:
            del self.pending[request_id]
        if isinstance(reply, messages.Failure):
            raise errors.PeerError(reply.reason, operation, address)
        return reply

    async def refuse_requests(self) -> None:
        """Answer the requests that are held, and all later ones, with errors.

        Without it peers would wait for their timeouts once this process has
        stopped, as ZeroMQ doesn't tell them of a closed connection.
        """
        self.refusing = True
        # A task that is cancelled before it runs would send no answer.
        await asyncio.sleep(0)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.sleep(FLUSH_S)

    @property
    def closed(self) -> bool:
        """Whether peers can't reach this process any more."""
        return bool(self.router.closed)

    async def close(self) -> None:
        """Close all sockets, drop queued messages and release the address."""
        if self.router.closed:
            return
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for peer in self.peers.values():
            peer.close()
        self.peers.clear()
        self.router.close()
        await self._wait_until_unbound()

    async def _wait_until_unbound(self) -> None:
        """Wait until the address can be bound again.

        ZeroMQ closes listeners in a background thread, so that an immediate
        restart at the same address could fail.
        """
        host, _, port = self.listen.rpartition(':')
        try:
            async with asyncio.timeout(UNBIND_TIMEOUT_S):
                while not _can_bind(host, int(port)):
                    await asyncio.sleep(UNBIND_CHECK_INTERVAL_S)
        except TimeoutError:
            loguru.logger.bind(address=self.listen).warning(
                'address still in use'
            )

    def _transmit(self, address: str, request_id: bytes, data: bytes) -> None:
        peer = self.peers.get(address) or self._connect(address)
        self.sent_bytes += len(data) + len(request_id)
        if not peer.send([request_id, data]):
            self._record_dropped(address)

    def _record_dropped(self, address: str) -> None:
        self.dropped[address] += 1
        now = asyncio.get_running_loop().time()
        if now < self.drops_logged_at + DROP_LOG_INTERVAL_S:
            return
        self.drops_logged_at = now
        for peer, count in self.dropped.items():
            loguru.logger.bind(peer=peer, messages=count).warning(
                'messages dropped'
            )
        self.dropped.clear()

    def _connect(self, address: str) -> _AsyncSocket:
        dealer = self.context.socket(zmq.DEALER)
        _configure(dealer)
        try:
            dealer.connect(f'tcp://{address}')
        except (zmq.ZMQError, ValueError) as error:
            # Addresses come from settings and from other processes.
            dealer.close(linger=0)
            raise errors.PeerError(str(error), 'connect', address) from error
        self.peers[address] = _AsyncSocket(dealer, self._on_reply, 2)
        return self.peers[address]

    def _on_reply(self, frames: list[bytes]) -> None:
        request_id, data = frames
        future = self.pending.get(request_id)
        if future is None or future.done():
            return
        try:
            future.set_result(messages.decode(data))
        except errors.PeerError as error:
            future.set_exception(error)

    def _on_request(self, frames: list[bytes]) -> None:
        peer, request_id, data = frames
        coroutine = self._dispatch(peer, request_id, data)
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _dispatch(
        self, peer: bytes, request_id: bytes, data: bytes
    ) -> None:
        try:
            reply = await self._handle(data)
        except asyncio.CancelledError:
            if not self.refusing:
                raise
            reply = messages.Failure('stopping')
        except errors.BulrushholdError as error:
            reply = messages.Failure(str(error))
        except Exception:
            loguru.logger.bind(message_bytes=len(data)).exception(
                'message handler failed'
            )
            reply = messages.Failure('internal error')
        if request_id != _NO_REPLY and reply is not None:
            encoded = messages.encode(reply)
            self.sent_bytes += len(encoded)
            self.router.send([peer, request_id, encoded])

    async def _handle(self, data: bytes) -> t.Any:
        message = messages.decode(data)
        handler = self.handlers.get(type(message))
        if handler is None:
            return messages.Failure('not handled here')
        if self.refusing:
            return messages.Failure('stopping')
        return await handler(message)


def _can_bind(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
        return True


def _configure(zmq_socket: t.Any) -> None:
    zmq_socket.setsockopt(zmq.LINGER, 0)
    zmq_socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
    zmq_socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
    zmq_socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    zmq_socket.setsockopt(zmq.RECONNECT_IVL, 50)
    zmq_socket.setsockopt(zmq.RECONNECT_IVL_MAX, 250)
    # Detect dead connections that were not reset. Without heartbeats ZeroMQ
    # would keep them for hours.
    zmq_socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    zmq_socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, CONNECTION_TIMEOUT_MS)
    zmq_socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECTION_TIMEOUT_MS)
    zmq_socket.setsockopt(zmq.HANDSHAKE_IVL, CONNECTION_TIMEOUT_MS)
