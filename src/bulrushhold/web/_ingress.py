"""HTTP server that accepts callers' opaque requests."""

import asyncio
import collections.abc as cabc
import json
import typing as t

from aiohttp import web
import loguru

from bulrushhold import calls
from bulrushhold import errors

# Long, so that callers close idle connections first: a request sent while the
# server closes the connection would be lost.
KEEPALIVE_TIMEOUT_S: t.Final = 3600.0
# Short: requests were drained before the server shuts down.
SHUTDOWN_TIMEOUT_S: t.Final = 0.2
MAX_BODY_BYTES: t.Final = 64 << 20
MAX_FIELD_BYTES: t.Final = 65536

Handler = cabc.Callable[
    [calls.Call, calls.CallerStream], cabc.Awaitable[calls.Reply | None]
]


class _HttpCallerStream(calls.CallerStream):
    def __init__(
        self, request: web.BaseRequest, close_connection: bool
    ) -> None:
        self.request = request
        self.response = web.StreamResponse()
        self.close_connection = close_connection
        self.headers_sent = False

    @property
    def connected(self) -> bool:
        transport = self.request.transport
        return transport is not None and not transport.is_closing()

    async def send_headers(self, status: int, headers: calls.Headers) -> None:
        self.response.set_status(status)
        self.response.headers.extend(headers)
        self.response.enable_chunked_encoding()
        if self.close_connection:
            self.response.force_close()
        self.headers_sent = True
        await self.response.prepare(self.request)

    async def write(self, data: bytes) -> None:
        await self.response.write(data)

    async def end(self) -> None:
        await self.response.write_eof()

    def abort(self) -> None:
        # Flushes written data but omits the final chunk, so that the caller
        # detects the truncated body.
        if self.request.transport is not None:
            self.request.transport.close()


class Ingress:
    """The HTTP server for callers.

    :param handle: returns a reply, or ``None`` if it wrote to the stream.
    """

    def __init__(self, handle: Handler, dialect: calls.CallerDialect) -> None:
        self.handle = handle
        self.dialect = dialect
        self.draining = False
        self.in_progress = 0
        self.server = web.Server(
            self._on_request,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
        )

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        self.runner = web.ServerRunner(
            self.server, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port, backlog=1024).start()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self.runner.cleanup()

    async def _on_request(self, request: web.BaseRequest) -> t.Any:
        self.in_progress += 1
        try:
            return await self._serve(request)
        finally:
            self.in_progress -= 1

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        request._client_max_size = MAX_BODY_BYTES
        stream = _HttpCallerStream(request, self.draining)
        ident = ''
        try:
            body = await request.read()
            call = self.dialect.decode_call(
                request.method, request.raw_path, request.headers, body
            )
            ident = call.ident
            reply = await self.handle(call, stream)
        except errors.RequestError as error:
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
            return stream.response
        assert reply is not None
        response = web.Response(
            status=reply.status, headers=reply.headers, body=reply.body
        )
        if self.draining:
            response.force_close()
        return response


def _error_reply(
    error: errors.RequestError, headers: calls.Headers
) -> calls.Reply:
    reply_headers = [('Content-Type', 'application/json'), *headers]
    if error.retry_after is not None:
        reply_headers.append(('Retry-After', f'{error.retry_after:.2f}'))
    body = json.dumps(error.body()).encode()
    return calls.Reply(error.status, tuple(reply_headers), body)
