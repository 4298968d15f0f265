"""HTTP server that accepts callers' opaque requests."""

import asyncio
import collections.abc as cabc
import json
import socket
import struct
import typing as t

import aiohttp
from aiohttp import web
import attrs
import loguru

from bulrushhold import bodies
from bulrushhold import calls
from bulrushhold import errors
from bulrushhold import routes
from bulrushhold.web import _buffers
from bulrushhold.web import _clients
from bulrushhold.web import _connections
from bulrushhold.web import _listeners
from bulrushhold.web import _requests
from bulrushhold.web import _shutdown

# Long, so that callers close idle connections first: a request sent while the
# server closes the connection would be lost.
KEEPALIVE_TIMEOUT_S: t.Final = 3600.0
# Short: requests were drained before the server shuts down, and what arrives
# meanwhile on an open connection isn't read any more. It passes twice.
SHUTDOWN_TIMEOUT_S: t.Final = 0.1
# Other entries accept at once what one that exits refuses.
CLOSING_RETRY_S: t.Final = 0.05
MAX_FIELD_BYTES: t.Final = 65536
# Operators bound the fields of a head and the time of their sender, which
# don't include the request line and delays on the way.
REQUEST_LINE_BYTES: t.Final = 8 << 10
HEAD_DELAY_S: t.Final = 2.0
_NO_LINGER: t.Final = struct.pack('ii', 1, 0)
_LINGER: t.Final = struct.pack('ii', 0, 0)

Handler = cabc.Callable[
    [calls.Call, calls.CallerStream], cabc.Awaitable[calls.Reply | None]
]


class _UnframedResponse(web.StreamResponse):
    """A response whose end is that of its connection.

    However the connection is closed before :meth:`write_eof`, also by the end
    of the process, it is reset: a body that ends early doesn't look whole.
    """

    # Else aiohttp would use chunks.
    _length_check = False

    async def prepare(self, request: web.BaseRequest) -> t.Any:
        """Send the head."""
        if not self.prepared:
            self.force_close()
            _set_linger(request.transport, _NO_LINGER)
        try:
            return await super().prepare(request)
        except ValueError:
            # Nothing was sent, and an error is to arrive whole.
            _set_linger(request.transport, _LINGER)
            raise

    async def write_eof(self, data: bytes = b'') -> None:
        """End the body once the system has all of it."""
        if self._eof_sent or self._req is None:
            return
        transport = self._req.transport
        if data:
            await self.write(data)
        if transport is not None:
            transport.set_write_buffer_limits(high=0)
        await _drain(self)
        _set_linger(transport, _LINGER)
        await super().write_eof()


class _HttpCallerStream(calls.CallerStream):
    def __init__(
        self,
        request: web.BaseRequest,
        closes_connection: cabc.Callable[[], bool],
        bounded: bool,
    ) -> None:
        self.request = request
        self.bounded = bounded
        self.response: web.StreamResponse = web.StreamResponse()
        self.closes_connection = closes_connection
        self.headers_sent = False

    @property
    def connected(self) -> bool:
        transport = self.request.transport
        return transport is not None and not transport.is_closing()

    async def send_headers(
        self, status: int, headers: calls.Headers, framed: bool = True
    ) -> None:
        self.framed = framed and _takes_chunks(self.request)
        if self.framed:
            self.response.enable_chunked_encoding()
        else:
            self.response = _UnframedResponse()
        self.response.set_status(status)
        self.response.headers.extend(headers)
        if self.closes_connection():
            self.response.force_close()
        await self.response.prepare(self.request)
        self.headers_sent = True

    async def write(self, data: bytes) -> None:
        await self.response.write(data)
        if self.bounded:
            await _drain(self.response)

    async def end(self) -> None:
        await self.response.write_eof()

    def abort(self) -> None:
        # Flushes written data but omits the final chunk, so that the caller
        # detects the truncated body. Without chunks, it is a reset.
        if self.request.transport is not None:
            self.request.transport.close()


class Ingress:
    """The HTTP server for callers.

    :param handle: returns a reply, or ``None`` if it wrote to the stream.
    :param budget: bounds the bodies in memory; ``None`` to bound those of
        requests only.
    :param guard: bounds the connections; by default one for this listener.
    :ivar draining: responses ask callers to disconnect.
    :ivar closing: only requests that have been received are served.
    """

    def __init__(
        self,
        handle: Handler,
        dialect: calls.CallerDialect,
        budget: _buffers.BufferBudget | None = None,
        guard: _clients.ClientGuard | None = None,
    ) -> None:
        self.handle = handle
        self.dialect = dialect
        self.bounded = budget is not None
        self.guard = guard or _clients.make_guard(budget)
        self.draining = False
        self.handling = 0
        self.closing = False
        self.reading: set[asyncio.Timeout] = set()
        self.server = _listeners.ClientServer(
            self._on_request,
            self.guard,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            max_body_bytes=_requests.MAX_BODY_BYTES,
            bounded=self.bounded,
            passes_encoded=True,
        )

    @property
    def in_progress(self) -> int:
        """The number of requests whose answers an exit would cut off."""
        return self.handling + _shutdown.count_unsent(self.server)

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        self.runner = web.ServerRunner(
            self.server, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self.runner.setup()
        await _listeners.listen(self.runner, host, port)

    def set_limits(self, limits: routes.ClientLimits) -> None:
        """Bound what callers send by what operators have set."""
        own = self.guard.limits
        self.server.max_body_bytes = (
            limits.body_bytes or _requests.MAX_BODY_BYTES
        )
        self.server.limits = attrs.evolve(
            own,
            max_head_bytes=limits.head_bytes + REQUEST_LINE_BYTES
            if limits.head_bytes
            else own.max_head_bytes,
            head_timeout_s=limits.head_s + HEAD_DELAY_S
            if limits.head_s
            else own.head_timeout_s,
            idle_timeout_s=limits.idle_s or own.idle_timeout_s,
        )

    def stop_reading(self) -> None:
        """Refuse all requests that haven't been received completely."""
        self.closing = True
        now = asyncio.get_running_loop().time()
        for cutoff in self.reading:
            if not cutoff.expired():
                cutoff.reschedule(now)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await _shutdown.close_runner(self.runner)

    async def _on_request(self, request: web.BaseRequest) -> t.Any:
        self.handling += 1
        try:
            return await self._serve(request)
        finally:
            self.handling -= 1

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        stream = _HttpCallerStream(
            request,
            lambda: self._is_last(request),
            self.bounded,
        )
        ident = ''
        try:
            with _requests.RequestReader(
                self.guard, request, invites=not self.closing
            ) as reader:
                body = await self._read(reader)
                reader.begin()
                call = self._decode(request, body)
                ident = call.ident
                reply = await self.handle(call, stream)
        except errors.RequestError as error:
            ident = ident or self._read_ident(request)
            reply = _error_reply(error, self.dialect.echo(ident))
        except (asyncio.CancelledError, ConnectionError):
            raise
        except Exception:
            loguru.logger.bind(request=ident).exception('request failed')
            error = errors.RequestError(
                'internal error', 'entry', ran=errors.Ran.UNKNOWN, status=500
            )
            reply = _error_reply(error, self.dialect.echo(ident))
        if stream.headers_sent:
            if reply is not None:
                # It failed after its headers, and aiohttp would complete it.
                stream.abort()
            return stream.response
        assert reply is not None
        if isinstance(reply.body, bodies.Body):
            return await self._send(request, reply, reply.body)
        if not reply.framed:
            return await self._send_unframed(request, reply, reply.body)
        request.writer.restart()
        response = web.Response(
            status=reply.status, headers=reply.headers, body=reply.body
        )
        if self._is_last(request):
            response.force_close()
        return response

    async def _read(self, reader: _requests.RequestReader) -> bytes:
        cutoff = asyncio.timeout(0 if self.closing else None)
        self.reading.add(cutoff)
        try:
            async with cutoff:
                return await reader.read()
        except TimeoutError:
            if not cutoff.expired():
                raise
            raise errors.RequestError(
                'shutting down before the request was received',
                'accept',
                status=503,
                retry_after=CLOSING_RETRY_S,
            ) from None
        finally:
            self.reading.discard(cutoff)

    def _decode(self, request: web.BaseRequest, body: bytes) -> calls.Call:
        return self.dialect.decode_call(
            request.method, request.raw_path, request.headers, body
        )

    def _read_ident(self, request: web.BaseRequest) -> str:
        """Return the id of a request whose body isn't needed for it."""
        try:
            return self._decode(request, b'').ident
        except errors.RequestError:
            return ''

    def _is_last(self, request: web.BaseRequest) -> bool:
        """Return whether a response asks its caller to disconnect.

        It ends the connection: what else was read from it is answered first.
        """
        return self.draining and not request.protocol._messages

    async def _send_unframed(
        self, request: web.BaseRequest, reply: calls.Reply, body: bytes
    ) -> web.StreamResponse:
        response = _UnframedResponse(
            status=reply.status, headers=reply.headers
        )
        await response.prepare(request)
        await response.write(body)
        await response.write_eof()
        return response

    async def _send(
        self, request: web.BaseRequest, reply: calls.Reply, body: bodies.Body
    ) -> web.StreamResponse:
        """Send a body in pieces, each once the caller has read enough.

        A truncated body never looks complete: its connection is closed before
        its declared length, or its last chunk, has been sent.
        """
        framed = reply.framed and (
            body.length is not None or _takes_chunks(request)
        )
        response_class = web.StreamResponse if framed else _UnframedResponse
        response = response_class(status=reply.status, headers=reply.headers)
        if self._is_last(request):
            response.force_close()
        transport = request.transport
        try:
            if transport is None:
                raise ConnectionResetError('caller disconnected')
            body.on_stalled = transport.abort
            if framed and body.length is not None:
                response.content_length = body.length
            # A body that is complete frees its memory as the system takes it.
            unsent = 0 if body.complete else _connections.UNSENT_BYTES
            _connections.bound_unsent(transport, unsent)
            await response.prepare(request)
            while piece := await body.piece():
                await response.write(piece)
                await _drain(response)
            await response.write_eof()
        except errors.BackendError as error:
            loguru.logger.bind(peer=error.peer, error=str(error)).warning(
                'response truncated by its server'
            )
            _reset(transport)
        finally:
            body.close()
        return response


def _takes_chunks(request: web.BaseRequest) -> bool:
    return request.version >= aiohttp.HttpVersion11


def _reset(transport: asyncio.Transport | None) -> None:
    """Reset a connection: without a length, its end completes a response."""
    if transport is not None:
        _set_linger(transport, _NO_LINGER)
        transport.abort()


def _set_linger(transport: asyncio.Transport | None, linger: bytes) -> None:
    if transport is not None and not transport.is_closing():
        connection = transport.get_extra_info('socket')
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def _drain(response: web.StreamResponse) -> None:
    """Wait until the write buffer is nearly empty.

    :meth:`aiohttp.web.StreamResponse.write` waits only every 64 KB.
    """
    if response._payload_writer is not None:
        await response._payload_writer.drain()


def _error_reply(
    error: errors.RequestError, headers: calls.Headers
) -> calls.Reply:
    reply_headers = [('Content-Type', 'application/json'), *headers]
    if error.retry_after is not None:
        reply_headers.append(('Retry-After', f'{error.retry_after:.2f}'))
    body = json.dumps(error.body()).encode()
    return calls.Reply(error.status, tuple(reply_headers), body)
