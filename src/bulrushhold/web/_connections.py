"""HTTP client connections hardened against faulty backend servers."""

import array
import asyncio
import collections.abc as cabc
import fcntl
import functools
import socket
import struct
import termios
import typing as t

import aiohttp
from aiohttp import client_proto
from aiohttp import helpers
from aiohttp import http_exceptions
from aiohttp import streams

from bulrushhold.web import _responsesyntax


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
_TCP_CLOSE: t.Final = 7
# From ``struct tcp_info`` of the system's ``tcp.h``.
_TCP_BYTES_ACKED_AT: t.Final = 120
_COUNT: t.Final = struct.Struct('=Q')
# Interval at which a connection is checked whose peer has ended its response
# before it had all of the request.
SENT_CHECK_S: t.Final = 0.01
# A peer that hasn't read all of a large request may reset the connection
# within this time after it has ended its response. Smaller ones are read
# before they are answered.
LATE_RESET_S: t.Final = 0.1
SMALL_REQUEST_BYTES: t.Final = 64 << 10


# Called with the address, the bytes received and what exceeded its limit.
OversizedListener = cabc.Callable[[str, int, str], None]
# Called with the address and what was invalid.
InvalidListener = cabc.Callable[[str, str], None]


def ignore_oversized(address: str, byte_count: int, reason: str) -> None:
    """Do nothing; an :data:`OversizedListener`."""


def ignore_invalid(address: str, reason: str) -> None:
    """Do nothing; an :data:`InvalidListener`."""


class _StrictResponseHandler(client_proto.ResponseHandler):
    """Lets no bytes pass that aren't part of one valid response.

    The library's parser gets them only once they were checked, and no more
    than the response. If a faulty backend server sends a second one, it would
    be read as the response to the next request on a pooled connection.

    :param on_invalid: called for each response that is invalid.
    :ivar scanner: of the response that is due; ``None`` before a request.
    :ivar payload: the body that is being received.
    :ivar acknowledged: bytes that the peer had before the request.
    :ivar is_invalid: the response is, and the connection is being closed.
    :ivar peer_closed: the peer has received all of the request, and has
        closed the connection.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, on_invalid: InvalidListener
    ) -> None:
        super().__init__(loop=loop)
        self.on_invalid = on_invalid
        self.scanner: _responsesyntax.ResponseScanner | None = None
        self.payload: streams.StreamReader | None = None
        self.acknowledged = 0
        self.is_invalid = False
        self.peer_closed = False

    def set_response_params(
        self, *, skip_payload: bool = False, **params: t.Any
    ) -> None:
        """Expect a response; called for each request before it is sent."""
        self.scanner = _responsesyntax.ResponseScanner(not skip_payload)
        self.payload = None
        self.acknowledged = _count_acknowledged(self.transport)
        if 'max_headers' in params:
            # The size of the head bounds them.
            params['max_headers'] = _responsesyntax.MAX_HEAD_BYTES
        super().set_response_params(skip_payload=skip_payload, **params)

    def feed_data(self, data: t.Any, size: int = 0) -> None:
        """Pass a head on, with the body that follows it."""
        message, payload = data
        if message.code >= _responsesyntax.FIRST_FINAL_STATUS:
            self.payload = payload
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Check and parse response data; abort if no response is due."""
        if not data:
            super().data_received(data)
            return
        try:
            rest = self._receive(data)
        except _responsesyntax.InvalidResponseError as error:
            # Interim heads that wait to be skipped would delay the error.
            self._buffer.clear()
            self.set_exception(error)
            return
        if rest and self.transport is not None:
            self.force_close()
            self.transport.abort()

    def _receive(self, data: bytes) -> bytes:
        """Parse data up to the end of the response; return what follows."""
        scanner = self.scanner
        while data and scanner is not None and not scanner.complete:
            part, data = scanner.take(data)
            if part:
                super().data_received(part)
            if self.is_invalid:
                return b''
        return data

    def set_exception(
        self,
        exc: BaseException,
        exc_cause: BaseException = helpers._EXC_SENTINEL,
    ) -> None:
        """Fail the response that is due, and its body.

        The library leaves those who read a body waiting.
        """
        if isinstance(exc, http_exceptions.HttpProcessingError):
            reason = ' '.join(exc.message.split()) or 'malformed'
            exc = _responsesyntax.InvalidResponseError(reason)
        super().set_exception(exc, exc_cause)
        if isinstance(exc, _responsesyntax.InvalidResponseError):
            self._end_invalid(exc)

    def _end_invalid(
        self, error: _responsesyntax.InvalidResponseError
    ) -> None:
        self.is_invalid = True
        self._fail_payload(error)
        if self.transport is None:
            return
        if not isinstance(error, _responsesyntax.ResponseLimitError):
            self.on_invalid(_peer_address(self.transport), error.reason)
        self.transport.abort()

    def _fail_payload(self, error: Exception) -> None:
        if self.payload is not None and not self.payload.is_eof():
            self.payload.set_exception(error)

    def eof_received(self) -> bool:
        """Note that the peer sends no more.

        The end of the connection completes a response without a length, but
        a peer that then resets it, as it doesn't want the rest of the
        request, has broken off. Which of the two it is shows once the peer
        has all of the request, and a moment later: the peer's system takes
        what the peer itself doesn't read. Until then the connection stays
        open.
        """
        super().eof_received()
        body = self.scanner.body if self.scanner is not None else None
        if not isinstance(body, _responsesyntax.UnframedBody):
            return False
        return not self._end_response()

    def _end_response(self) -> bool:
        """Complete the response, or fail it; return whether it was decided."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return True
        if _tcp_state(transport) == _TCP_CLOSE:
            transport.abort()
            return True
        if _has_unacknowledged(transport):
            self._loop.call_later(SENT_CHECK_S, self._end_response)
            return False
        if self._is_large_request():
            self.acknowledged = _count_acknowledged(transport)
            self._loop.call_later(LATE_RESET_S, self._end_response)
            return False
        self.peer_closed = True
        transport.close()
        return True

    def _is_large_request(self) -> bool:
        """Return whether the peer's system may hold some that isn't read."""
        sent = _count_acknowledged(self.transport) - self.acknowledged
        return sent > SMALL_REQUEST_BYTES

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response that isn't complete.

        One without a length ends when the peer closes the connection. Without
        this check, the library would take each other end for that one.
        """
        if exc is not None or not self.peer_closed:
            reason = str(exc) if exc is not None else 'closed'
            self._fail_payload(
                aiohttp.ClientPayloadError(f'connection lost: {reason}')
            )
        super().connection_lost(exc)


def _peer_address(transport: asyncio.BaseTransport) -> str:
    host, port = transport.get_extra_info('peername', ('', 0))[:2]
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'


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
    return _tcp_state(transport) not in (_TCP_ESTABLISHED, None)


def _tcp_state(transport: asyncio.BaseTransport) -> int | None:
    connection = transport.get_extra_info('socket')
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return None
    return int(info[0])


def _count_acknowledged(transport: asyncio.BaseTransport | None) -> int:
    """Return how many bytes the peer's system has received."""
    if transport is None:
        return 0
    connection = transport.get_extra_info('socket')
    size = _TCP_BYTES_ACKED_AT + _COUNT.size
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
        return int(_COUNT.unpack_from(info, _TCP_BYTES_ACKED_AT)[0])
    except (OSError, struct.error):
        return 0


def _has_unacknowledged(transport: asyncio.Transport) -> bool:
    """Return whether the peer doesn't have all that was written yet."""
    if transport.get_write_buffer_size():
        return True
    connection = transport.get_extra_info('socket')
    count = array.array('i', [0])
    try:
        fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, count)
    except OSError:
        return False
    return count[0] > 0


class StrictConnector(aiohttp.TCPConnector):
    """Creates strict connections, without limiting their number.

    Concurrency is limited by admission control. A limit here would add
    queueing that looks like slow backend servers.
    """

    def __init__(
        self,
        bounded: bool = False,
        on_invalid: InvalidListener = ignore_invalid,
        **options: t.Any,
    ) -> None:
        super().__init__(limit=0, **options)
        self._factory = functools.partial(
            _BoundedResponseHandler if bounded else _StrictResponseHandler,
            loop=self._loop,
            on_invalid=on_invalid,
        )


def make_session(
    bounded: bool = False,
    on_invalid: InvalidListener = ignore_invalid,
    **connector_options: t.Any,
) -> aiohttp.ClientSession:
    """Return a session that sends each request unchanged and only once.

    :param bounded: whether connections keep little unread data.
    :param on_invalid: called for each response that is invalid.
    """
    options = {'read_bufsize': READ_BUFFER_BYTES} if bounded else {}
    session = aiohttp.ClientSession(
        connector=StrictConnector(bounded, on_invalid, **connector_options),
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
