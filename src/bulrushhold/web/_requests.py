"""Receives the bodies of callers' requests within the budget."""

import typing as t

import aiohttp
from aiohttp import web

from bulrushhold import errors
from bulrushhold.web import _buffers

MAX_BODY_BYTES: t.Final = 64 << 20
# Smaller bodies aren't counted: aiohttp may have received them already.
UNCOUNTED_BYTES: t.Final = 32 << 10
# A body is joined from its parts, and exists twice for a moment.
JOIN_FACTOR: t.Final = 2
REFUSED_STEP: t.Final = 'buffers'


class RequestReader:
    """Receives one request's body, and counts it until the request ends.

    :param budget: ``None`` for no bound.
    :param invites: whether callers who wait for it are asked for the body.
    """

    def __init__(
        self,
        budget: _buffers.BufferBudget | None,
        request: web.BaseRequest,
        invites: bool = True,
    ) -> None:
        self.budget = budget
        self.request = request
        self.invites = invites
        self.holder = _buffers.Holder(budget) if budget is not None else None

    def __enter__(self) -> t.Self:
        return self

    def __exit__(self, *error: object) -> None:
        if self.holder is not None:
            self.holder.release()

    async def read(self) -> bytes:
        """Return the body.

        :raises RequestError: if there is no memory for it; the request did
            not run.
        """
        if self.budget is None or self.holder is None:
            await self._invite()
            return await self.request.read()
        if self.budget.refuses():
            raise _full_error()
        length = self.request.content_length or 0
        if length > MAX_BODY_BYTES:
            raise _too_large_error()
        if length > UNCOUNTED_BYTES:
            self._take(length * JOIN_FACTOR)
        await self._invite()
        body = await self._read_parts(length)
        if len(body) > UNCOUNTED_BYTES:
            self.holder.resize(len(body))
        return body

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

    async def _read_parts(self, length: int) -> bytes:
        parts = []
        received = 0
        while part := await self.request.content.readany():
            parts.append(part)
            received += len(part)
            if received > MAX_BODY_BYTES:
                raise _too_large_error()
            if received > max(length, UNCOUNTED_BYTES):
                self._take(len(part) * JOIN_FACTOR)
        return b''.join(parts)

    def _take(self, count: int) -> None:
        assert self.budget is not None and self.holder is not None
        if not self.budget.take_request(self.holder, count):
            raise _full_error()


def _full_error() -> errors.RequestError:
    return errors.RequestError(
        'no memory for another request',
        REFUSED_STEP,
        status=503,
        retry_after=_buffers.REFUSAL_RETRY_S,
    )


def _too_large_error() -> errors.RequestError:
    return errors.RequestError('body too large', REFUSED_STEP, status=413)
