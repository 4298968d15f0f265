"""Client connections that count what they hold, and end what goes too far."""

import asyncio
import contextlib
import typing as t

from aiohttp import http_exceptions
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.web import _buffers
from bulrushhold.web import _clients
from bulrushhold.web import _connections
from bulrushhold.web import _receiveprogress
from bulrushhold.web import _refusals
from bulrushhold.web import _requestcontent
from bulrushhold.web import _responsewriter

# A head exists as received bytes and as decoded fields; a body that isn't
# handed over yet as parts and as one piece.
COPIES: t.Final = 2
# Bytes of further requests that are received while one is being handled.
AHEAD_BYTES: t.Final = 32 << 10
# After an error that ends the connection, its client has this time to read
# the response before the connection is reset.
LINGER_S: t.Final = 2.0
DISCARD_BYTES: t.Final = 1 << 20
# Memory for a larger body is reserved before it arrives.
SMALL_BODY_BYTES: t.Final = 32 << 10
# Memory for a larger answer is reserved before it is sent.
LARGE_ANSWER_BYTES: t.Final = 64 << 10
SAFE_METHODS: t.Final = ('GET', 'HEAD')

_Stage = decisions.ClientStage


class ClientConnection(web.RequestHandler, _requestcontent.ContentHolder):
    """aiohttp's side of a connection, with its use of memory and time bounded.

    Everything that arrives passes :meth:`data_received`. It counts in memory
    until its request is answered, and what doesn't advance the request that
    it belongs to is bounded (see :class:`ReceiveProgress`).

    :param bounded: whether little unsent data is kept.
    :param passes_encoded: whether handlers take compressed bodies as they are.
        None is decompressed.
    :param repeatable_reads: whether requests that only read may be refused
        after they were handled, as there is no memory for their answers.
    :ivar pending_bytes: received that no handler has yet.
    :ivar body_bytes: bytes of memory reserved for the body.
    :ivar answer_bytes: bytes of an answer that is being sent.
    :ivar ahead: received since the request being handled was complete.
    :ivar is_handling: from the start of a request until it is answered.
    :ivar is_answered: before all of its request had arrived.
    :ivar is_rejected: nothing that arrives any more is parsed.
    :ivar unsent: bytes of an answer that the system hasn't taken yet.
    :ivar taken: changes as it takes more.
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
        self.progress = _receiveprogress.ReceiveProgress(guard.clock)
        self.content: _requestcontent.RequestContent | None = None
        self.pending_bytes = self.body_bytes = self.answer_bytes = 0
        self.ahead = self.discarded = 0
        self.is_used = self.is_handling = False
        self.is_answered = self.is_rejected = False
        self.holds_reading = False
        self.unsent = self.taken = 0
        self.lost = asyncio.Event()

    # What the guard needs

    def state(self) -> decisions.ClientState:
        """Return what the connection does, and what it holds."""
        return decisions.ClientState(
            self._stage(), self.holder.held, self.progress.progress_at
        )

    def is_open(self) -> bool:
        """Return whether it isn't being closed already."""
        return self.transport is not None and not self.transport.is_closing()

    def give_way(self, error: errors.RequestError) -> None:
        """End what is being received with an error response."""
        if self.content is not None and self.content.is_awaited:
            self.content.fail(error)
            self.body_bytes = self.pending_bytes = 0
            self._account()
        elif self._stage() is _Stage.RECEIVING:
            self.reject(error)
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
        if _connections.has_disconnected(self.transport):
            self.drop()
            return
        limits = self.server.limits
        progress = self.progress
        self._check_unsent(now)
        idle_s = now - max(progress.received_at, progress.progress_at)
        match self._stage():
            case _Stage.RECEIVING if not self.is_handling:
                if now - progress.head_began_at > limits.head_timeout_s:
                    self.guard.record('head_timeout')
                    self.reject(_refusals.timeout_error('head'))
            case _Stage.RECEIVING if idle_s > limits.body_timeout_s:
                self.guard.record('body_timeout')
                self.give_way(_refusals.timeout_error('body'))
            case _Stage.SENDING if idle_s > limits.unread_timeout_s:
                self.guard.record('unread_answer')
                self.drop()
            case _Stage.UNUSED | _Stage.KEPT if idle_s > limits.idle_timeout_s:
                self.guard.record('idle')
                self.drop()

    def _check_unsent(self, now: float) -> None:
        if self.transport is None:
            return
        self.unsent = self.transport.get_write_buffer_size()
        request = self._current_request
        written = request.writer.output_size if request is not None else 0
        if written - self.unsent != self.taken:
            self.taken = written - self.unsent
            if self.unsent:
                self.progress.progress_at = now

    def _stage(self) -> '_Stage':
        if self.is_answered or self.is_rejected:
            return _Stage.DISCARDING
        if self.content is not None and self.content.is_awaited:
            return _Stage.RECEIVING
        if self._has_request():
            return _Stage.SENDING if self.unsent else _Stage.ANSWERING
        if self.progress.in_head:
            return _Stage.RECEIVING
        return _Stage.KEPT if self.is_used else _Stage.UNUSED

    def _has_request(self) -> bool:
        return self.is_handling or bool(self._messages)

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
        self.pending_bytes = self.body_bytes = self.answer_bytes = 0
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
        if self._has_request() and self.progress.is_complete:
            self.ahead += len(data)
        self.progress.before_parsing(data)
        super().data_received(data)
        has_head = self._request_count != count
        payload = self._on_head() if has_head else None
        self.progress.after_parsing(len(data), payload)
        if self.is_answered:
            self.is_answered = not self.progress.is_complete
        else:
            self.pending_bytes += len(data)
            self._account()
        self._check_bounds()

    def _on_head(self) -> streams.StreamReader:
        message, payload = self._messages[-1]
        self.is_used = True
        if isinstance(message, web_protocol._ErrInfo):
            self._stop_parsing()
        return payload

    def _check_bounds(self) -> None:
        if self.is_rejected:
            return
        if self.progress.idle_bytes > self.server.limits.max_head_bytes:
            self.guard.record('head_bytes')
            self._reject_oversized()
        elif self.ahead > AHEAD_BYTES:
            self._hold_reading()
        elif not self.is_answered:
            self.guard.check_memory(self)

    def _hold_reading(self) -> None:
        if self.transport is not None:
            self.holds_reading = True
            self.transport.pause_reading()

    def _account(self) -> None:
        held = (
            COPIES * self.pending_bytes + self.body_bytes + self.answer_bytes
        )
        if self.lost.is_set():
            held = 0
        if held != self.holder.held:
            self.holder.resize(held)

    # Bodies

    def reserve(self, size: int) -> None:
        """Reserve memory; see :meth:`_requestcontent.ContentHolder.reserve`.

        :raises RequestError: if there is none.
        """
        needed = COPIES * size - self.body_bytes
        if size <= SMALL_BODY_BYTES or needed <= 0 or self.lost.is_set():
            return
        if not self.guard.budget.take_request(self.holder, needed):
            raise _refusals.memory_error()
        self.body_bytes += needed

    def on_part(self, size: int, received: int) -> None:
        """Count a body; see :meth:`_requestcontent.ContentHolder.on_part`."""
        self.pending_bytes = max(0, self.pending_bytes - size)
        self.body_bytes = max(self.body_bytes, received) if size else received
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
        del writer
        self.is_handling = True
        self.is_answered = False
        self.content = None
        if not self._messages:
            self._resume_held()
        content: t.Any = payload
        if payload is not streams.EMPTY_PAYLOAD:
            self.content = content = _requestcontent.RequestContent(
                payload,
                self,
                int(message.headers.get('Content-Length') or 0),
                self.server.max_body_bytes,
            )
            encoding = message.headers.get('Content-Encoding', 'identity')
            if not self.passes_encoded and encoding.lower() != 'identity':
                content.fail(_refusals.encoding_error())
        assert self.make_request is not None
        response_writer = _responsewriter.ResponseWriter(self, self._loop)
        return self.make_request(
            message, content, protocol, response_writer, task
        )

    def _resume_held(self) -> None:
        self.ahead = 0
        if not self.holds_reading:
            return
        self.holds_reading = False
        if self.transport is not None and not self._reading_paused:
            self.transport.resume_reading()

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
            result = await self._send(request, resp, start_time)
        finally:
            _forget_bodies(request, resp)
            self._end_request()
        if self.is_rejected and not result[1]:
            await self._linger()
        return result

    async def _send(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response, or an error if that one can't be written."""
        try:
            return await super().finish_response(request, resp, start_time)
        except ConnectionError:
            raise
        except Exception as exc:
            if request.writer.output_size:
                raise
            error = self.handle_error(request, exc=exc)
            return await super().finish_response(request, error, start_time)

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
            return self.handle_error(request, exc=_refusals.memory_error())
        self.answer_bytes = size
        self._account()
        return response

    def _end_request(self) -> None:
        self.is_handling = False
        self.content = None
        self.body_bytes = self.answer_bytes = 0
        is_last = not self._messages
        self.is_answered = is_last and not self.progress.is_complete
        if is_last and not self.progress.in_head:
            self.pending_bytes = 0
        else:
            bound = AHEAD_BYTES + self.server.limits.max_head_bytes
            self.pending_bytes = min(self.pending_bytes, bound)
        self.progress.restart()
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
        self._parser = None
        self.pending_bytes = 0
        self._account()

    def _reject_oversized(self) -> None:
        error = _refusals.head_error(self.server.limits.max_head_bytes)
        if self.progress.is_complete:
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
        if request.writer.output_size > 0:
            raise ConnectionError('a part of the response has been sent')
        request.writer.restart()
        if isinstance(exc, http_exceptions.HttpProcessingError):
            self.guard.record('malformed')
        error = _refusals.to_error(status, exc, message)
        return _refusals.closing_response(error)

    async def _linger(self) -> None:
        """Leave the client time to read a response before the close.

        A connection that is closed with unread bytes is reset, which may take
        the response from its client.
        """
        transport = self.transport
        if transport is None or not transport.can_write_eof():
            return
        # The client may have reset the connection already.
        with contextlib.suppress(TimeoutError, OSError):
            transport.write_eof()
            async with asyncio.timeout(LINGER_S):
                await self.lost.wait()

    def _discard(self, size: int) -> None:
        self.discarded += size
        if self.discarded > DISCARD_BYTES:
            self.drop()


def _forget_bodies(
    request: web.BaseRequest, response: web.StreamResponse
) -> None:
    """Free two bodies, which aiohttp keeps until the next request arrives."""
    request._read_bytes = None
    if isinstance(response, web.Response):
        response._body = None
