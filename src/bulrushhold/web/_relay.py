"""Relays attempts between entries over HTTP."""

import asyncio
import struct
import typing as t

import aiohttp
from aiohttp import web

from bulrushhold import calls
from bulrushhold import errors
from bulrushhold import messages

ATTEMPTS_PATH: t.Final = '/attempts'
QUESTIONS_PATH: t.Final = '/questions'
CONNECT_TIMEOUT_S: t.Final = 0.25
CLIENT_KEEPALIVE_S: t.Final = 15.0
# Longer than the client's, which therefore closes idle connections first.
SERVER_KEEPALIVE_S: t.Final = 60.0
SHUTDOWN_TIMEOUT_S: t.Final = 0.2
MAX_MESSAGE_BYTES: t.Final = 65 << 20
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


class _RelayedResponse(calls.BackendResponse):
    def __init__(
        self,
        head: calls.ResponseHead,
        response: aiohttp.ClientResponse,
        relay: str,
    ) -> None:
        self.head = head
        self.response = response
        self.relay = relay

    async def chunk(self) -> bytes:
        try:
            return await self.response.content.readany()
        except _HTTP_ERRORS as error:
            raise _to_backend_error(error, 'answer', self.relay) from error

    async def body(self) -> bytes:
        chunks = []
        while chunk := await self.chunk():
            chunks.append(chunk)
        return b''.join(chunks)

    def close(self) -> None:
        self.response.close()


class HttpRelayClient(calls.RelayClient):
    """Asks other entries over pooled connections.

    They send nothing after a complete response, unlike faulty servers.
    """

    def __init__(self) -> None:
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=CLIENT_KEEPALIVE_S
            ),
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S
            ),
        )
        # A request that may run once must not be sent twice.
        self.session._retry_connection = False

    async def send(
        self, relay: str, call: calls.Call, attempt: calls.Attempt
    ) -> calls.BackendResponse:
        """Send an attempt; see :meth:`calls.RelayClient.send`."""
        message = messages.RelayedAttempt(call, attempt)
        response = await self._post(relay, ATTEMPTS_PATH, message)
        try:
            first = await _read_message(response, relay)
        except BaseException:
            response.close()
            raise
        if isinstance(first, messages.RelayedHead):
            return _RelayedResponse(first.head, response, relay)
        response.close()
        raise _to_error(first, attempt.address)

    async def ask(self, relay: str, question: t.Any, timeout: float) -> t.Any:
        """Ask a question; see :meth:`calls.RelayClient.ask`."""
        try:
            async with asyncio.timeout(timeout):
                response = await self._post(relay, QUESTIONS_PATH, question)
                async with response:
                    return await _read_message(response, relay)
        except (TimeoutError, errors.BackendError) as error:
            raise errors.RelayRefusedError(
                f'no answer: {error}', 'relay', relay
            ) from error

    async def _post(
        self, relay: str, path: str, message: messages.Message
    ) -> aiohttp.ClientResponse:
        try:
            return await self.session.post(
                f'http://{relay}{path}', data=messages.encode(message)
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise errors.RelayRefusedError(
                f'{type(error).__name__}: {error}', 'relay', relay
            ) from error
        except _HTTP_ERRORS as error:
            raise _to_backend_error(error, 'send', relay) from error

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


async def _read_message(response: aiohttp.ClientResponse, relay: str) -> t.Any:
    try:
        prefix = await response.content.readexactly(_LENGTH.size)
        (length,) = _LENGTH.unpack(prefix)
        return messages.decode(await response.content.readexactly(length))
    except (*_HTTP_ERRORS, errors.PeerError) as error:
        raise _to_backend_error(error, 'send', relay) from error


def _to_backend_error(
    error: BaseException, step: str, relay: str
) -> errors.BackendError:
    reason = ' '.join(f'{type(error).__name__}: {error}'.split())
    return errors.BackendError(f'relay {relay}: {reason}', step, relay)


def _to_error(
    failure: messages.RelayFailure, address: str
) -> errors.BulrushholdError:
    match failure.kind:
        case messages.RelayFailureKind.REFUSED:
            return errors.RelayRefusedError(failure.reason, 'relay', address)
        case messages.RelayFailureKind.PERMIT:
            return errors.NoPermitError(
                failure.reason, 'permit', address, failure.wait_s
            )
        case messages.RelayFailureKind.BLOCKED:
            return errors.RequestBlockedError(
                failure.reason, failure.step, address
            )
    return errors.BackendError(failure.reason, failure.step, address)


class RelayServer:
    """Serves other entries.

    :ivar in_progress: number of requests being relayed.
    """

    def __init__(self, handler: calls.RelayHandler) -> None:
        self.handler = handler
        self.in_progress = 0
        self.server = web.Server(
            self._on_request,
            # Ends the request to the server once the other entry is gone.
            handler_cancellation=True,
            keepalive_timeout=SERVER_KEEPALIVE_S,
            access_log=None,
            auto_decompress=False,
        )

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        self.runner = web.ServerRunner(
            self.server, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self.runner.cleanup()

    async def _on_request(self, request: web.BaseRequest) -> t.Any:
        request._client_max_size = MAX_MESSAGE_BYTES
        self.in_progress += 1
        try:
            message = messages.decode(await request.read())
            if isinstance(message, messages.RelayedAttempt):
                return await self._relay(request, message)
            answer = await self.handler.answer(message)
            return web.Response(body=_frame(answer))
        except errors.PeerError as error:
            return web.Response(status=400, text=str(error))
        finally:
            self.in_progress -= 1

    async def _relay(
        self, request: web.BaseRequest, message: messages.RelayedAttempt
    ) -> web.StreamResponse:
        try:
            backend = await self.handler.send(message.call, message.attempt)
        except errors.BulrushholdError as error:
            failure = self._to_failure(error, message.attempt.instance)
            return web.Response(body=_frame(failure))
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        try:
            await response.prepare(request)
            await response.write(_frame(messages.RelayedHead(backend.head)))
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
    ) -> messages.RelayFailure:
        kinds = messages.RelayFailureKind
        wait_s = 0.0
        if isinstance(error, errors.RelayRefusedError):
            kind = kinds.REFUSED
        elif isinstance(error, errors.NoPermitError):
            kind = kinds.PERMIT
            wait_s = self.handler.wait_s(instance)
        elif isinstance(error, errors.RequestBlockedError):
            kind = kinds.BLOCKED
        else:
            kind = kinds.BACKEND
        return messages.RelayFailure(kind, error.reason, error.step, wait_s)
