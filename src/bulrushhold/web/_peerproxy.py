"""Proxies attempts between entries over HTTP."""

import asyncio
import struct
import typing as t

import aiohttp
from aiohttp import web
import attrs

from bulrushhold import bodies
from bulrushhold import calls
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold.web import _bodies
from bulrushhold.web import _buffers
from bulrushhold.web import _clients
from bulrushhold.web import _connections
from bulrushhold.web import _listeners
from bulrushhold.web import _requests
from bulrushhold.web import _responsesyntax
from bulrushhold.web import _shutdown

ATTEMPTS_PATH: t.Final = '/attempts'
QUESTIONS_PATH: t.Final = '/questions'
CONNECT_TIMEOUT_S: t.Final = 0.25
CLIENT_KEEPALIVE_S: t.Final = 15.0
# Longer than the client's, which therefore closes idle connections first.
SERVER_KEEPALIVE_S: t.Final = 60.0
SHUTDOWN_TIMEOUT_S: t.Final = 0.2
MAX_MESSAGE_BYTES: t.Final = 65 << 20
# An answer may hold the names of all segments that an engine has cached.
MAX_ANSWER_BYTES: t.Final = 8 << 20
# Precedes the first message of a response: its length, in network order.
_LENGTH: t.Final = struct.Struct('!I')
_HTTP_ERRORS: t.Final = (
    aiohttp.ClientError,
    asyncio.IncompleteReadError,
    OSError,
    ValueError,
)


def _frame(message: messages.Message) -> bytes:
    data = messages.encode(message)
    return _LENGTH.pack(len(data)) + data


def _frame_head(head: calls.ResponseHead) -> bytes:
    """Return the message of a head.

    Values may hold bytes that aren't UTF-8, which messages can't: they are
    sent as one character a byte.

    :raises UnicodeEncodeError: if another part of the head holds such bytes.
    """
    headers = tuple(
        (name, value.encode('utf-8', 'surrogateescape').decode('latin-1'))
        for name, value in head.headers
    )
    return _frame(messages.ProxiedHead(attrs.evolve(head, headers=headers)))


def _restore_head(head: calls.ResponseHead) -> calls.ResponseHead:
    """Return the head that :func:`_frame_head` was given.

    :raises UnicodeEncodeError: if no such message holds it.
    """
    headers = tuple(
        (name, value.encode('latin-1').decode('utf-8', 'surrogateescape'))
        for name, value in head.headers
    )
    return attrs.evolve(head, headers=headers)


class _ProxiedResponse(calls.BackendResponse):
    def __init__(
        self,
        head: calls.ResponseHead,
        response: aiohttp.ClientResponse,
        proxy: str,
        client: 'HttpPeerProxyClient',
    ) -> None:
        self.head = head
        self.response = response
        self.proxy = proxy
        self.client = client

    async def chunk(self) -> bytes:
        try:
            chunk = await self.response.content.readany()
            if not chunk:
                self._check_end()
        except _HTTP_ERRORS as error:
            raise self.client.to_error(error, 'answer', self.proxy) from error
        return chunk

    async def body(self) -> bytes:
        try:
            body = await _bodies.read_whole(
                self.response, _bodies.MAX_WHOLE_BYTES
            )
            self._check_end()
        except _HTTP_ERRORS as error:
            raise self.client.to_error(error, 'answer', self.proxy) from error
        return body

    def _check_end(self) -> None:
        """Check that the end is marked, as entries do for each other.

        Else a body that is cut would look whole.
        """
        if not _bodies.is_framed(self.response):
            raise _responsesyntax.InvalidResponseError('end not marked')

    async def receive(self) -> bytes | bodies.Body:
        return await _bodies.receive(self.client.budget, self, None)

    def close(self) -> None:
        self.response.close()


class HttpPeerProxyClient(calls.PeerProxyClient):
    """Asks other entries over pooled connections.

    :param budget: bounds the bodies in memory; ``None`` to bound only what
        responses hold that are received ahead of their callers.
    :param on_oversized: called when a response exceeds a limit.
    :param on_invalid: called when another entry's response is invalid.
    """

    def __init__(
        self,
        budget: _buffers.BufferBudget | None = None,
        on_oversized: _connections.OversizedListener = (
            _connections.ignore_oversized
        ),
        on_invalid: _connections.InvalidListener = _connections.ignore_invalid,
    ) -> None:
        self.on_oversized = on_oversized
        self.budget = budget or _buffers.make_read_ahead_budget()
        options = {}
        if budget is not None:
            options['read_bufsize'] = _connections.READ_BUFFER_BYTES
        self.session = aiohttp.ClientSession(
            **options,
            connector=_connections.StrictConnector(
                on_invalid=on_invalid, keepalive_timeout=CLIENT_KEEPALIVE_S
            ),
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S
            ),
        )
        # A request that may run once must not be sent twice.
        self.session._retry_connection = False

    async def send(
        self, proxy: str, call: calls.Call, attempt: calls.Attempt
    ) -> calls.BackendResponse:
        """Send an attempt; see :meth:`calls.PeerProxyClient.send`."""
        message = messages.ProxiedAttempt(call, attempt)
        response = await self._post(proxy, ATTEMPTS_PATH, message)
        try:
            first = await self._read_message(response, proxy)
        except BaseException:
            response.close()
            raise
        if isinstance(first, messages.ProxiedHead):
            try:
                head = _restore_head(first.head)
            except UnicodeEncodeError as error:
                response.close()
                raise self.to_error(error, 'send', proxy) from error
            return _ProxiedResponse(head, response, proxy, self)
        response.close()
        if first.kind is messages.ProxyFailureKind.OVERSIZED:
            self.on_oversized(attempt.address, 0, first.reason)
        raise _to_error(first, attempt.address)

    async def ask(self, proxy: str, question: t.Any, timeout: float) -> t.Any:
        """Ask a question; see :meth:`calls.PeerProxyClient.ask`."""
        try:
            async with asyncio.timeout(timeout):
                response = await self._post(proxy, QUESTIONS_PATH, question)
                async with response:
                    answer = await self._read_message(response, proxy)
                if isinstance(answer, messages.ProxyFailure):
                    raise _to_error(answer, proxy)
                return answer
        except (TimeoutError, errors.BackendError) as error:
            raise errors.ProxyRefusedError(
                f'no answer: {error}', 'proxy', proxy
            ) from error

    async def _post(
        self, proxy: str, path: str, message: messages.Message
    ) -> aiohttp.ClientResponse:
        try:
            response = await self.session.post(
                f'http://{proxy}{path}', data=messages.encode(message)
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise errors.ProxyRefusedError(
                f'{type(error).__name__}: {error}', 'proxy', proxy
            ) from error
        except _HTTP_ERRORS as error:
            raise self.to_error(error, 'send', proxy) from error
        if response.status != 200:
            response.close()
            raise errors.BackendError(
                f'proxy {proxy}: status {response.status}', 'send', proxy
            )
        return response

    async def _read_message(
        self, response: aiohttp.ClientResponse, proxy: str
    ) -> t.Any:
        try:
            prefix = await response.content.readexactly(_LENGTH.size)
            (length,) = _LENGTH.unpack(prefix)
            if length > MAX_ANSWER_BYTES:
                response.close()
                raise _responsesyntax.ResponseLimitError(length, 'message')
            return messages.decode(await response.content.readexactly(length))
        except (*_HTTP_ERRORS, errors.PeerError) as error:
            raise self.to_error(error, 'send', proxy) from error

    def to_error(
        self, error: BaseException, step: str, proxy: str
    ) -> errors.BackendError:
        """Return the error of an operation, reported if it is oversized."""
        reason = ' '.join(f'{type(error).__name__}: {error}'.split())
        reason = f'proxy {proxy}: {reason}'
        if isinstance(error, _responsesyntax.ResponseLimitError):
            self.on_oversized(proxy, error.byte_count, error.reason)
            return errors.OversizedResponseError(reason, step, proxy)
        if isinstance(error, _responsesyntax.InvalidResponseError):
            return errors.InvalidResponseError(reason, step, proxy)
        return errors.BackendError(reason, step, proxy)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


def _to_error(
    failure: messages.ProxyFailure, address: str
) -> errors.BulrushholdError:
    match failure.kind:
        case messages.ProxyFailureKind.REFUSED:
            return errors.ProxyRefusedError(failure.reason, 'proxy', address)
        case messages.ProxyFailureKind.PERMIT:
            return errors.NoPermitError(
                failure.reason, 'permit', address, failure.wait_s
            )
        case messages.ProxyFailureKind.BLOCKED:
            return errors.RequestBlockedError(
                failure.reason, failure.step, address
            )
        case messages.ProxyFailureKind.OVERSIZED:
            return errors.OversizedResponseError(
                failure.reason, failure.step, address
            )
        case messages.ProxyFailureKind.INVALID:
            return errors.InvalidResponseError(
                failure.reason, failure.step, address
            )
    return errors.BackendError(failure.reason, failure.step, address)


class PeerProxyServer:
    """Serves other entries.

    :param budget: bounds the requests in memory; ``None`` for a fixed bound.
    :param guard: bounds the connections; by default one for this listener.
    :ivar handling: number of requests being proxied.
    """

    def __init__(
        self,
        handler: calls.PeerProxyHandler,
        budget: _buffers.BufferBudget | None = None,
        guard: _clients.ClientGuard | None = None,
    ) -> None:
        self.handler = handler
        self.guard = guard or _clients.make_guard(budget)
        self.handling = 0
        self.server = _listeners.ClientServer(
            self._on_request,
            self.guard,
            # Ends the request to the server once the other entry is gone.
            handler_cancellation=True,
            keepalive_timeout=SERVER_KEEPALIVE_S,
            max_body_bytes=MAX_MESSAGE_BYTES,
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

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await _shutdown.close_runner(self.runner)

    async def _on_request(self, request: web.BaseRequest) -> t.Any:
        self.handling += 1
        try:
            with _requests.RequestReader(self.guard, request) as reader:
                message = messages.decode(await reader.read())
                if isinstance(message, messages.ProxiedAttempt):
                    reader.begin()
                    return await self._proxy(request, message)
                return web.Response(body=_frame(await self._answer(message)))
        except errors.RequestError as error:
            refusal = errors.ProxyRefusedError(error.reason, error.step)
            return web.Response(body=_frame(self._to_failure(refusal, '')))
        except errors.PeerError as error:
            return web.Response(status=400, text=str(error))
        finally:
            self.handling -= 1

    async def _answer(self, question: t.Any) -> messages.Message:
        try:
            return await self.handler.answer(question)
        except errors.ProxyRefusedError as error:
            return self._to_failure(error, '')

    async def _proxy(
        self, request: web.BaseRequest, message: messages.ProxiedAttempt
    ) -> web.StreamResponse:
        try:
            backend = await self.handler.send(message.call, message.attempt)
        except errors.BulrushholdError as error:
            failure = self._to_failure(error, message.attempt.instance)
            return web.Response(body=_frame(failure))
        try:
            head = _frame_head(backend.head)
        except UnicodeEncodeError as error:
            backend.close()
            invalid = errors.InvalidResponseError(str(error), 'send')
            return web.Response(body=_frame(self._to_failure(invalid, '')))
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        try:
            await response.prepare(request)
            await response.write(head)
            while chunk := await backend.chunk():
                await response.write(chunk)
            await response.write_eof()
        except errors.BackendError:
            # Without the final chunk the other entry sees a truncated body.
            if request.transport is not None:
                request.transport.close()
        finally:
            backend.close()
        return response

    def _to_failure(
        self, error: errors.BulrushholdError, instance: str
    ) -> messages.ProxyFailure:
        kinds = messages.ProxyFailureKind
        wait_s = 0.0
        if isinstance(error, errors.ProxyRefusedError):
            kind = kinds.REFUSED
        elif isinstance(error, errors.NoPermitError):
            kind = kinds.PERMIT
            wait_s = self.handler.wait_s(instance)
        elif isinstance(error, errors.RequestBlockedError):
            kind = kinds.BLOCKED
        elif isinstance(error, errors.OversizedResponseError):
            kind = kinds.OVERSIZED
        elif isinstance(error, errors.InvalidResponseError):
            kind = kinds.INVALID
        else:
            kind = kinds.BACKEND
        return messages.ProxyFailure(kind, error.reason, error.step, wait_s)
