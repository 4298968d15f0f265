"""Receives the bodies of callers' requests within the budget."""

import typing as t

import aiohttp
from aiohttp import web

from bulrushhold.web import _clientconnection
from bulrushhold.web import _clients
from bulrushhold.web import _refusals
from bulrushhold.web import _requestcontent

MAX_BODY_BYTES: t.Final = 64 << 20


class RequestReader:
    """Receives one request's body, which counts until the reader is left.

    :param guard: refuses requests while memory or descriptors are short.
    :param request: of a :class:`_clientconnection.ClientConnection`.
    :param invites: whether callers who wait for it are asked for the body.
    """

    def __init__(
        self,
        guard: _clients.ClientGuard,
        request: web.BaseRequest,
        invites: bool = True,
    ) -> None:
        self.guard = guard
        self.request = request
        self.invites = invites
        self.is_counted = False

    def __enter__(self) -> t.Self:
        return self

    def __exit__(self, *error: object) -> None:
        self._connection().release()
        if self.is_counted:
            self.guard.end_request()

    def _connection(self) -> _clientconnection.ClientConnection:
        connection = self.request.protocol
        assert isinstance(connection, _clientconnection.ClientConnection)
        return connection

    async def read(self) -> bytes:
        """Return the body.

        :raises RequestError: if it is too large, there is no memory for it,
            or it isn't received in time; the request did not run.
        """
        if self.guard.budget.refuses(self._connection().holder):
            raise _refusals.memory_error()
        content = self.request.content
        if isinstance(content, _requestcontent.RequestContent):
            content.admit()
        await self._invite()
        body = bytearray()
        while part := await content.readany():
            body += part
        return bytes(body)

    def begin(self) -> None:
        """Count the request until the reader is left.

        Only once its body is there, as unfinished ones could take all places.

        :raises RequestError: if there are too many; it did not run.
        """
        self.guard.begin_request()
        self.is_counted = True

    async def _invite(self) -> None:
        request = self.request
        if (
            self.invites
            and request.version >= aiohttp.HttpVersion11
            and request.headers.get('Expect', '').lower() == '100-continue'
            and not request.content.is_eof()
        ):
            await request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
            # It is no part of the response.
            request.writer.output_size = 0
