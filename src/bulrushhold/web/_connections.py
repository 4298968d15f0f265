"""HTTP client connections hardened against faulty backend servers."""

import asyncio
import collections.abc as cabc
import functools
import socket
import typing as t

import aiohttp
from aiohttp import client_proto


FIRST_FINAL_STATUS: t.Final = 200
# Bounds what a response may send ahead of its body: all interim heads and the
# final one. Otherwise a server could keep the event loop parsing forever.
MAX_HEAD_BYTES: t.Final = 64 << 10
# With bounded buffers, sizes of one read from a socket, of a read buffer's low
# mark (reading stops at twice that) and of a write buffer. By default, a
# connection that isn't read holds 256 KB, and a caller that doesn't read as
# much as is written. Bodies that have budget are read in larger parts, which
# takes half of the time.
BULK_RECEIVE_BYTES: t.Final = 64 << 10
RECEIVE_BYTES: t.Final = 16 << 10
READ_BUFFER_BYTES: t.Final = 4 << 10
WRITE_BUFFER_BYTES: t.Final = 8 << 10
# Unsent bytes that the system keeps for a caller whose response is passed on.
# Without this bound it takes 0.3 to 2.8 MB for a caller on the loopback
# network who doesn't read, and a part of 16 KB costs about 0.2 ms.
UNSENT_BYTES: t.Final = 64 << 10
# From the system's ``tcp_states.h``.
_TCP_ESTABLISHED: t.Final = 1


# Called with the address, the bytes received and what exceeded its limit.
OversizedListener = cabc.Callable[[str, int, str], None]


def ignore_oversized(address: str, byte_count: int, reason: str) -> None:
    """Do nothing; an :data:`OversizedListener`."""


class ResponseLimitError(aiohttp.ClientError):
    """A response exceeded a limit, and its connection was closed.

    :param byte_count: bytes received by then.
    :param reason: what exceeded its limit.
    """

    def __init__(self, byte_count: int, reason: str) -> None:
        super().__init__(f'{reason} too large: {byte_count} bytes')
        self.byte_count = byte_count
        self.reason = reason


class _StrictResponseHandler(client_proto.ResponseHandler):
    """Closes a connection that receives data while no response is due.

    A faulty backend server may send a second response. On a pooled
    connection it would be read as the response to the next request, and
    reach the wrong caller.

    It also aborts a connection whose response exceeds ``MAX_HEAD_BYTES``.

    :ivar response_due: a request was sent, and its response isn't complete.
    :ivar head_bytes: bytes received while the final head isn't complete.
    """

    response_due = False
    head_received = False
    head_bytes = 0

    def set_response_params(self, **params: t.Any) -> None:
        """Expect a response; called for each request before it is sent."""
        self.response_due = True
        self.head_received = False
        self.head_bytes = 0
        super().set_response_params(**params)

    def feed_data(self, data: t.Any, size: int = 0) -> None:
        """Pass the head of a response on; interim ones complete nothing."""
        if data[0].code >= FIRST_FINAL_STATUS:
            self.head_received = True
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Process response data; abort if no response is due."""
        if data and not self.response_due and self.transport:
            self.force_close()
            self.transport.abort()
            return
        if self.response_due and not self.head_received:
            self._receive_head(data)
        else:
            super().data_received(data)
        payload = self._payload
        if self.head_received and (payload is None or payload.is_eof()):
            self.response_due = False

    def _receive_head(self, data: bytes) -> None:
        """Process no more than a head may hold, and what follows it."""
        room = MAX_HEAD_BYTES - self.head_bytes
        part = data[:room]
        rest = data[room:]
        super().data_received(part)
        if not self.head_received:
            self.head_bytes += len(part)
            if self.head_bytes >= MAX_HEAD_BYTES:
                self._abort_head()
        elif rest:
            super().data_received(rest)

    def _abort_head(self) -> None:
        # Interim heads that wait to be skipped would delay the error.
        self._buffer.clear()
        self.set_exception(
            ResponseLimitError(self.head_bytes, 'response head')
        )
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response without a length if the connection was reset.

        Such a response ends when the connection closes. Without this
        check, a reset would make a truncated response look complete.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f'connection lost: {exc}')
            )
        super().connection_lost(exc)


class _BoundedResponseHandler(_StrictResponseHandler):
    """Reads little at a time, as an unread connection keeps what it read."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start a connection."""
        bound_buffers(transport)
        super().connection_made(transport)

    def set_response_params(self, **params: t.Any) -> None:
        """Expect a response, and read little of it at first."""
        set_receive_bytes(self.transport, RECEIVE_BYTES)
        super().set_response_params(**params)


def bound_buffers(transport: t.Any) -> None:
    """Make a connection keep no more than tens of KB in memory."""
    set_receive_bytes(transport, RECEIVE_BYTES)
    transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)


def set_receive_bytes(transport: t.Any, count: int) -> None:
    """Set how much is read from a socket at a time."""
    # asyncio has no public setting for this.
    if transport is not None:
        transport.max_size = count


def bound_unsent(transport: t.Any, count: int) -> None:
    """Bound what the system keeps to be sent, beyond what is in flight.

    :param count: bytes; 0 for the system's default.
    """
    connection = transport.get_extra_info('socket')
    if connection is not None:
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, count
        )


def has_disconnected(transport: asyncio.Transport | None) -> bool:
    """Return whether the client of a connection that isn't read is gone.

    Of those that are read, the event loop notices it.
    """
    if transport is None or transport.is_reading():
        return False
    connection = transport.get_extra_info('socket')
    try:
        state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return bool(state[0] != _TCP_ESTABLISHED)


class StrictConnector(aiohttp.TCPConnector):
    """Creates strict connections, without limiting their number.

    Concurrency is limited by admission control. A limit here would add
    queueing that looks like slow backend servers.
    """

    def __init__(self, bounded: bool, **options: t.Any) -> None:
        super().__init__(limit=0, **options)
        self._factory = functools.partial(
            _BoundedResponseHandler if bounded else _StrictResponseHandler,
            loop=self._loop,
        )


def make_session(
    bounded: bool = False, **connector_options: t.Any
) -> aiohttp.ClientSession:
    """Return a session that sends each request unchanged and only once.

    :param bounded: whether connections keep little unread data.
    """
    options = {'read_bufsize': READ_BUFFER_BYTES} if bounded else {}
    session = aiohttp.ClientSession(
        connector=StrictConnector(bounded, **connector_options),
        **options,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None),
        max_line_size=16384,
        max_field_size=16384,
    )
    # aiohttp retries idempotent methods when a pooled connection breaks, but
    # here the method doesn't tell whether a request may be repeated.
    session._retry_connection = False
    return session
