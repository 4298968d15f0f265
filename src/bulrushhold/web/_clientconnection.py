"""Client connections that count what they hold, and end what goes too far."""

import asyncio
import contextlib
import json
import socket
import typing as t

from aiohttp import http_exceptions
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol
import loguru

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.web import _buffers
from bulrushhold.web import _clients
from bulrushhold.web import _connections

# A head exists as received bytes and as decoded fields; a body that isn't
# handed over yet as parts and as one piece.
COPIES: t.Final = 2
# Bytes of further requests that are received while one is being handled.
AHEAD_BYTES: t.Final = 32 << 10
# After an error that ends the connection, its client has this time to read
# the response before the connection is reset.
LINGER_S: t.Final = 2.0
DISCARD_BYTES: t.Final = 1 << 20
# Less than this doesn't count as going on.
PROGRESS_BYTES: t.Final = 1 << 10
# Memory for a larger body is reserved before it arrives.
SMALL_BODY_BYTES: t.Final = 32 << 10
# Memory for a larger answer is reserved before it is sent.
LARGE_ANSWER_BYTES: t.Final = 64 << 10
SAFE_METHODS: t.Final = ('GET', 'HEAD')
TIMEOUT_RETRY_S: t.Final = 0.5
RECEIVE_STEP: t.Final = 'receive'

# From the system's ``tcp_states.h``.
_TCP_ESTABLISHED: t.Final = 1

_Stage = decisions.ClientStage


class RequestContent:
    """A request's body, counted and bounded as its handler receives it.

    Takes the place of aiohttp's stream, for what handlers use of it.

    :param length: the declared length in bytes; 0 if there is none.
    """

    def __init__(
        self,
        payload: streams.StreamReader,
        connection: 'ClientConnection',
        length: int,
    ) -> None:
        self.payload = payload
        self.connection = connection
        self.length = length
        self.is_admitted = False
        self.received = 0
        self.error: errors.RequestError | None = None
        self.cutoff: asyncio.Timeout | None = None

    def __getattr__(self, name: str) -> t.Any:
        return getattr(self.payload, name)

    def set_read_chunk_size(self, size: int) -> None:
        """Keep the size of the buffer, which requests can't change."""

    def admit(self) -> None:
        """Reserve memory for a body of the declared length.

        :raises RequestError: if it is too large, or there is no memory.
        """
        if self.is_admitted:
            return
        self.is_admitted = True
        if self.error is not None:
            raise self.error
        self._check_size(self.length)
        self.connection.reserve(self, self.length)

    async def readany(self) -> bytes:
        """Return the next bytes, ``b''`` at the end.

        :raises RequestError: if the body is too large, there is no memory for
            it, or it didn't arrive in time; the request did not run.
        """
        self.admit()
        part = await self._receive()
        self.received += len(part)
        self.connection.on_body(len(part))
        self._check_size(self.received)
        if not part:
            self.connection.settle(self.received)
        elif self.received > self.length:
            self.connection.reserve(self, self.received)
        return part

    async def _receive(self) -> bytes:
        if self.error is not None:
            raise self.error
        self.cutoff = asyncio.timeout(None)
        try:
            async with self.cutoff:
                part = await self.payload.readany()
        except TimeoutError:
            if self.error is None:
                raise
            raise self.error from None
        finally:
            self.cutoff = None
        if self.error is not None:
            raise self.error
        return part

    def _check_size(self, size: int) -> None:
        limit = self.connection.server.max_body_bytes
        if limit and size > limit:
            raise errors.RequestError(
                f'the body exceeds {limit} bytes', RECEIVE_STEP, status=413
            )

    def fail(self, error: errors.RequestError) -> None:
        """Let the handler, which receives the body, fail."""
        if self.error is not None:
            return
        self.error = error
        if self.cutoff is not None and not self.cutoff.expired():
            self.cutoff.reschedule(asyncio.get_running_loop().time())


class ClientConnection(web.RequestHandler):
    """aiohttp's side of a connection, with its use of memory and time bounded.

    Everything that arrives passes :meth:`data_received`. What doesn't advance
    the request that it belongs to is bounded there: heads, empty lines before
    them, trailers, and the extensions of chunks.

    :param bounded: whether little unsent data is kept.
    :param passes_encoded: whether handlers take compressed bodies as they are.
        None is decompressed.
    :param repeatable_reads: whether requests that only read may be refused
        after they were handled, as there is no memory for their answers.
    :ivar unread: bytes received that no handler has yet.
    :ivar body_bytes: bytes of memory reserved for the body.
    :ivar answer_bytes: bytes of an answer that is being sent.
    :ivar idle_bytes: received since the request last advanced.
    :ivar ahead: received since the request being handled was complete.
    :ivar is_answered: before all of its request had arrived.
    :ivar is_rejected: nothing that arrives any more is parsed.
    :ivar received_at: when the last bytes arrived, in seconds.
    :ivar progress_at: when the last KB did, or a stage began.
    """

    def __init__(
        self,
        manager: t.Any,
        *,
        guard: '_clients.ClientGuard',
        bounded: bool = False,
        passes_encoded: bool = False,
        repeatable_reads: bool = False,
        **options: t.Any,
    ) -> None:
        super().__init__(manager, auto_decompress=False, **options)
        self.server = manager
        self.guard = guard
        self.bounded = bounded
        self.passes_encoded = passes_encoded
        self.repeatable_reads = repeatable_reads
        self.holder = _buffers.Holder(guard.budget)
        self.make_request = self._request_factory
        self._request_factory = self._begin_request
        self.payload: streams.StreamReader = streams.EMPTY_PAYLOAD
        self.delivered = 0
        self.content: RequestContent | None = None
        self.unread = self.body_bytes = self.answer_bytes = 0
        self.idle_bytes = self.ahead = self.discarded = 0
        self.in_head = self.is_used = False
        self.is_answered = self.is_rejected = False
        self.holds_reading = False
        self.unsent = 0
        self.began_at = self.received_at = self.progress_at = guard.clock()
        self.progress_bytes = 0
        self.lost = asyncio.Event()

    # What the guard needs

    def state(self) -> decisions.ClientState:
        """Return what the connection does, and what it holds."""
        return decisions.ClientState(
            self._stage(), self.holder.held, self.progress_at
        )

    def is_open(self) -> bool:
        """Return whether it isn't being closed already."""
        return self.transport is not None and not self.transport.is_closing()

    def give_way(self, error: errors.RequestError) -> None:
        """End what is being received with an error response."""
        if self.in_head and not self.is_rejected:
            self.reject(error)
        elif self.content is not None and self._is_reading():
            self.content.fail(error)
            self.body_bytes = self.unread = 0
            self._account()
        elif self._stage() is not _Stage.ANSWERING:
            self.drop()

    def drop(self) -> None:
        """Close the connection without an answer."""
        if self.transport is not None:
            self.transport.abort()

    def check(self, now: float) -> None:
        """End what takes longer than the limits.

        :param now: the time in seconds.
        """
        if _has_disconnected(self.transport):
            self.drop()
            return
        limits = self.server.limits
        self._check_unsent(now)
        idle_s = now - max(self.received_at, self.progress_at)
        match self._stage():
            case _Stage.RECEIVING if self.in_head:
                if now - self.began_at > limits.head_timeout_s:
                    self.guard.record('head_timeout')
                    self.reject(_timeout_error('head'))
            case _Stage.RECEIVING if idle_s > limits.body_timeout_s:
                self.guard.record('body_timeout')
                self.give_way(_timeout_error('body'))
            case _Stage.SENDING if idle_s > limits.unread_timeout_s:
                self.guard.record('unread_answer')
                self.drop()
            case _Stage.UNUSED | _Stage.KEPT if idle_s > limits.idle_timeout_s:
                self.guard.record('idle')
                self.drop()

    def _check_unsent(self, now: float) -> None:
        if self.transport is None:
            return
        unsent = self.transport.get_write_buffer_size()
        if unsent and unsent < self.unsent:
            self.progress_at = now
        self.unsent = unsent

    def _stage(self) -> '_Stage':
        if self.is_answered or self.is_rejected:
            return _Stage.DISCARDING
        if self.in_head or self._is_reading():
            return _Stage.RECEIVING
        if self._has_request():
            return _Stage.SENDING if self.unsent else _Stage.ANSWERING
        return _Stage.KEPT if self.is_used else _Stage.UNUSED

    def _has_request(self) -> bool:
        return self._current_request is not None or bool(self._messages)

    def _is_reading(self) -> bool:
        """Return whether a handler waits for the rest of a body."""
        return self.content is not None and self.content.cutoff is not None

    # Receiving

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start a connection that reads little at a time."""
        _connections.set_receive_bytes(transport, _connections.RECEIVE_BYTES)
        if self.bounded:
            _connections.bound_buffers(transport)
        super().connection_made(transport)
        self.guard.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget all of the connection."""
        self.guard.remove(self)
        self.lost.set()
        self.unread = self.body_bytes = self.answer_bytes = 0
        self.holder.release()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count and parse bytes; end the request if they go too far."""
        if self.is_rejected:
            self._discard(len(data))
            return
        if self._force_close or self._close:
            return
        count = self._request_count
        was_complete = self.payload.is_eof()
        if data:
            self.received_at = self.guard.clock()
        if was_complete:
            self._count_head(data)
        super().data_received(data)
        advanced = self._measure(count, was_complete, len(data))
        self.idle_bytes = 0 if advanced else self.idle_bytes + len(data)
        if self.is_answered:
            self.is_answered = not self.payload.is_eof()
        else:
            self.unread += len(data)
            self._account()
        self._check_bounds()

    def _count_head(self, data: bytes) -> None:
        if self._has_request():
            self.ahead += len(data)
        # Empty lines before a request don't begin it.
        if not self.in_head and data and not data.isspace():
            self.in_head = True
            self.began_at = self.progress_at = self.received_at

    def _measure(self, count: int, was_complete: bool, size: int) -> bool:
        """Return whether a request has advanced with the last bytes."""
        if self._request_count != count:
            self._on_head()
        delivered = self.payload.total_bytes - self.delivered
        self.delivered += delivered
        is_complete = self.payload.is_eof() and not was_complete
        self.progress_bytes += size if self.in_head else delivered
        if self.progress_bytes >= PROGRESS_BYTES or is_complete:
            self.progress_bytes = 0
            self.progress_at = self.received_at
        return bool(delivered or is_complete or self._request_count != count)

    def _on_head(self) -> None:
        message, self.payload = self._messages[-1]
        self.delivered = 0
        self.in_head = False
        self.is_used = True
        if isinstance(message, web_protocol._ErrInfo):
            self._stop_parsing()

    def _check_bounds(self) -> None:
        if self.is_rejected:
            return
        if self.idle_bytes > self.server.limits.max_head_bytes:
            self.guard.record('head_bytes')
            self._reject_oversized()
        elif self.ahead > AHEAD_BYTES:
            self._hold_reading()
        elif not self.is_answered:
            self.guard.check_memory(self)

    def _hold_reading(self) -> None:
        self.holds_reading = True
        self._pause_transport_reading()

    def _account(self) -> None:
        held = COPIES * self.unread + self.body_bytes + self.answer_bytes
        if self.lost.is_set():
            held = 0
        if held != self.holder.held:
            self.holder.resize(held)

    # Bodies

    def reserve(self, content: RequestContent, size: int) -> None:
        """Reserve memory for a body of a size.

        :raises RequestError: if there is none.
        """
        needed = COPIES * size
        if size <= SMALL_BODY_BYTES or needed <= self.body_bytes:
            return
        if self.guard.budget.take_request(
            self.holder, needed - self.body_bytes
        ):
            self.body_bytes = needed
            return
        content.error = _clients.memory_error()
        raise content.error

    def on_body(self, size: int) -> None:
        """Note that a handler has received bytes of its body."""
        self.unread = max(0, self.unread - size)
        if self.content is not None:
            self.body_bytes = max(self.body_bytes, self.content.received)
        self._account()

    def settle(self, size: int) -> None:
        """Note that a handler has all of its body."""
        self.body_bytes = size
        self._account()

    def release(self) -> None:
        """Note that a handler doesn't need the body any more."""
        self.body_bytes = 0
        self._account()

    # Requests

    def _begin_request(
        self,
        message: t.Any,
        payload: streams.StreamReader,
        protocol: t.Any,
        writer: t.Any,
        task: t.Any,
    ) -> web.BaseRequest:
        """Return the next request, with its body bounded."""
        self.is_answered = False
        self.content = None
        if not self._messages:
            self._resume_held()
        content: t.Any = payload
        if payload is not streams.EMPTY_PAYLOAD:
            length = int(message.headers.get('Content-Length') or 0)
            self.content = content = RequestContent(payload, self, length)
            encoding = message.headers.get('Content-Encoding', 'identity')
            if not self.passes_encoded and encoding.lower() != 'identity':
                self.content.error = _encoding_error()
        assert self.make_request is not None
        return self.make_request(message, content, protocol, writer, task)

    def _resume_held(self) -> None:
        self.ahead = 0
        if not self.holds_reading:
            return
        self.holds_reading = False
        if not self._reading_paused:
            self._resume_transport_reading()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response, and free what its request held."""
        if self.is_rejected:
            # What is left of the body isn't parsed.
            self._lingering_time = 0
            if not resp.prepared:
                resp.force_close()
        resp = self._count_answer(request, resp)
        try:
            result = await super().finish_response(request, resp, start_time)
        finally:
            _forget_bodies(request, resp)
            self._end_request()
        if self.is_rejected and not result[1]:
            await self._linger()
        return result

    def _count_answer(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Return the response, or a refusal if there is no memory for it.

        It stays in memory until its client has read it.
        """
        if not isinstance(response, web.Response) or not isinstance(
            response.body, bytes
        ):
            return response
        size = len(response.body)
        if (
            self.repeatable_reads
            and size > LARGE_ANSWER_BYTES
            and request.method in SAFE_METHODS
            and not response.prepared
            and not self.guard.budget.take_request(self.holder, size)
        ):
            return self.handle_error(request, exc=_clients.memory_error())
        self.answer_bytes = size
        self._account()
        return response

    def _end_request(self) -> None:
        self.content = None
        self.body_bytes = self.answer_bytes = 0
        self.is_answered = not self._messages and not self.payload.is_eof()
        if self.is_answered:
            self.unread = 0
        elif not self._messages and not self.in_head:
            self.unread = 0
        else:
            bound = AHEAD_BYTES + self.server.limits.max_head_bytes
            self.unread = min(self.unread, bound)
        self.progress_at = self.guard.clock()
        self._account()

    # Errors

    def reject(self, error: errors.RequestError) -> None:
        """Answer a request whose head isn't complete, and close."""
        if self.is_rejected or self._force_close:
            return
        self._stop_parsing()
        self._request_count += 1
        info = web_protocol._ErrInfo(error.status, error, error.reason)
        self._messages.append((info, streams.EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _stop_parsing(self) -> None:
        """Drop the parser with what it holds, and discard what still comes."""
        self.is_rejected = True
        self.in_head = False
        self._parser = None
        self.unread = 0
        self._account()

    def _reject_oversized(self) -> None:
        limit = self.server.limits.max_head_bytes
        error = errors.RequestError(
            f'the head or trailers exceed {limit} bytes',
            RECEIVE_STEP,
            status=431,
        )
        if self.payload.is_eof():
            self.reject(error)
        elif self.content is not None:
            self._stop_parsing()
            self.content.fail(error)
        else:
            self.drop()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that can't be served."""
        error = self._to_error(status, exc, message)
        if request.writer.output_size > 0:
            raise ConnectionError('a part of the response has been sent')
        headers = {}
        if error.retry_after is not None:
            headers['Retry-After'] = f'{error.retry_after:.2f}'
        response = web.Response(
            status=error.status,
            body=json.dumps(error.body()).encode(),
            content_type='application/json',
            headers=headers,
        )
        response.force_close()
        return response

    def _to_error(
        self, status: int, exc: BaseException | None, message: str | None
    ) -> errors.RequestError:
        if isinstance(exc, errors.RequestError):
            return exc
        if isinstance(exc, http_exceptions.HttpProcessingError):
            self.guard.record('malformed')
            if isinstance(exc, http_exceptions.LineTooLong):
                status = 431
            reason = ' '.join((message or str(exc)).split())
            return errors.RequestError(reason, RECEIVE_STEP, status=status)
        loguru.logger.opt(exception=exc).error('request failed')
        return errors.RequestError(
            'internal error', 'entry', ran=errors.Ran.UNKNOWN, status=status
        )

    async def _linger(self) -> None:
        """Leave the client time to read a response before the close.

        A connection that is closed with unread bytes is reset, which may take
        the response from its client.
        """
        transport = self.transport
        if transport is None or not transport.can_write_eof():
            return
        transport.write_eof()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LINGER_S):
                await self.lost.wait()

    def _discard(self, size: int) -> None:
        self.discarded += size
        if self.discarded > DISCARD_BYTES:
            self.drop()


def _has_disconnected(transport: asyncio.Transport | None) -> bool:
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


def _forget_bodies(
    request: web.BaseRequest, response: web.StreamResponse
) -> None:
    """Free two bodies, which aiohttp keeps until the next request arrives."""
    request._read_bytes = None
    if isinstance(response, web.Response):
        response._body = None


def _encoding_error() -> errors.RequestError:
    return errors.RequestError(
        'compressed bodies are not supported', RECEIVE_STEP, status=415
    )


def _timeout_error(part: str) -> errors.RequestError:
    return errors.RequestError(
        f'the {part} of the request was not received in time',
        RECEIVE_STEP,
        status=408,
        retry_after=TIMEOUT_RETRY_S,
    )
